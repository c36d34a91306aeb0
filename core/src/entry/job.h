/** @file
 * Internals of the entry: life cycle of jobs, their steps and the outcomes of
 * their tasks. */
#ifndef ENTRY_JOB_H
#define ENTRY_JOB_H

#include "core/entry.h"

/* job.c */

/** Find a job by its key. Returns NULL if it is not known. */
struct ent_job *Enti_FindJob(const struct entry *entry, const struct key *key);

/** Find a job by its key, or add one in ENT_JOB_REPORTED. Returns NULL when
 * the table is full. */
struct ent_job *Enti_AddJob(struct entry *entry, const struct key *key);

/** Free the task records that agents reported for a job. */
void Enti_FreeTaskRecords(struct ent_job *job);

/** Remove a job from all indexes and free it with all that it owns. */
void Enti_DropJob(struct entry *entry, struct ent_job *job);

/** Copy a submission into a job and set its tasks to their initial states.
 * Returns -1 for lack of memory or when there are no tasks; the job then has
 * none. */
int Enti_FillJob(struct ent_job *job, struct now now,
                 const struct submission *sub);

/** Answer all waiters of a job that is not owned here, then drop the
 * submission. Task records that agents reported for the key are kept, as a
 * later submission needs them. `detail` may be NULL. */
void Enti_EndRemote(struct entry *entry, struct ent_job *job, enum code code,
                    const char *detail);

/** Hash of the service, kind and tasks of a submission, independent of the
 * order of the tasks; never 0. */
uint64_t Enti_HashBody(const struct submission *sub);

/** Add a waiter for the answer: connection `conn` of the entry `from`, or of
 * this one when `from` is 0. Does nothing when both are 0, the waiter is
 * there already, or memory cannot be allocated. */
void Enti_AddWaiter(struct ent_job *job, uint64_t from, conn_id conn);

/** Set a job's state, and update the list of open jobs and the index by
 * name. */
void Enti_SetState(struct entry *entry, struct ent_job *job,
                   enum ent_job_state state);

/** Set the final code of a job, release its slots and answer all waiters.
 * `detail` may be NULL. */
void Enti_Answer(struct entry *entry, struct ent_job *job, enum code code,
                 const char *detail);

/** Refuse a submission for which no job is kept: send `code` to connection
 * `conn` of the entry `from`, or of this one when `from` is 0. `detail` may be
 * NULL. */
void Enti_Refuse(struct entry *entry, uint64_t from, conn_id conn,
                 const struct key *key, enum code code, const char *detail);

/** Send a job's answer, or CODE_PENDING, to connection `conn` of the entry
 * `from`, or of this one when `from` is 0. */
void Enti_Reply(struct entry *entry, const struct ent_job *job, uint64_t from,
                conn_id conn);

/* step.c */

/** Copy the steps of a submission whose tasks have been copied; a submission
 * without steps gets one. Returns -1 for lack of memory. */
int Enti_FillSteps(struct ent_job *job, const struct submission *sub);

/** Set all tasks to their initial states: ENT_WAITING in the steps that depend
 * on no other, ENT_BLOCKED in the rest. */
void Enti_ResetSteps(struct ent_job *job);

/** Estimate the run times of the job's tasks and the critical paths of its
 * steps and of the job. */
void Enti_EstimateSteps(struct ent_job *job);

/** True when a task of the job has been sent to an agent, under this owner or
 * possibly under an earlier one. */
int Enti_HasStarted(const struct ent_job *job);

/** Find the step with waiting tasks and the longest critical path, among those
 * whose bit in `skipped` (bit i for step i) is clear. Returns NULL if there is
 * none. */
struct ent_step *Enti_NextStep(const struct ent_job *job, uint64_t skipped);

/** Choose the task to start next in a step that has waiting tasks. */
struct ent_task *Enti_NextWaiting(const struct ent_job *job,
                                  struct ent_step *step);

/** Add `waits` (1 or -1) to the waiting tasks of the job and of the task's
 * step. */
void Enti_AdjustStepWaiting(struct ent_job *job, const struct ent_task *task,
                            int waits);

/** Count a task as finished. Returns the number of tasks that had to wait for
 * its step and may start now. */
uint32_t Enti_FinishTask(struct ent_job *job, const struct ent_task *task);

/** Number of tasks of a step that may be running at the agent with this
 * incarnation. */
uint32_t Enti_CountAtAgent(const struct ent_job *job,
                           const struct ent_step *step, uint64_t agent);

/* restart.c */

/** True for a job whose tasks may run again from the start (SUB_RESTART). */
int Enti_IsRestartable(const struct ent_job *job);

/** Find an unanswered job by the caller's name for it. Returns NULL if there
 * is none or `name` is 0. */
struct ent_job *Enti_FindJobByName(const struct entry *entry, uint64_t name);

/** Handle an agent that has fallen silent: end the restartable jobs whose
 * deadline does not allow them to wait until their runs there have certainly
 * ended. */
void Enti_OnAgentSilent(struct entry *entry, struct now now,
                        const struct ent_peer *agent);

/** Handle the loss of the agent that runs a restartable task. The task is
 * placed again once its run has certainly ended; if that does not leave enough
 * time before the deadline, the job ends with CODE_OUTCOME_UNKNOWN. */
void Enti_OnRunLost(struct entry *entry, struct now now, struct ent_job *job,
                    struct ent_task *task, const struct ent_peer *agent);

/** Handle a failed or lost run. Returns 1 when the task has been put back into
 * the queue, 0 when the job is not restartable or its attempts are used up. */
int Enti_Retry(struct entry *entry, struct now now, struct ent_job *job,
               struct ent_task *task, enum code code);

/* crash.c */

/** Count a crash of an upstream under the suspects, and give up the jobs of
 * those under which there have been too many. */
void Enti_OnCrash(struct entry *entry, struct now now,
                  const struct ent_peer *from, const struct msg_crash *crash);

/** Answer a job with CODE_CRASHES_WORKERS if upstreams have crashed
 * too often under one of its tasks. Returns whether it did. */
int Enti_GiveUp(struct entry *entry, struct now now, struct ent_job *job);

/** True if a task that is reported as young at a crash was young at an earlier
 * one. */
int Enti_WasYoung(const struct entry *entry,
                  const struct crash_suspect *reported);

/** Forget the suspects whose latest crash is long ago. */
void Enti_ExpireSuspects(struct entry *entry, struct now now);

/* submit.c */

/** Process a submission from a caller connected here (`from` is 0) or
 * forwarded by the entry `from`. */
void Enti_Submit(struct entry *entry, struct now now, uint64_t from,
                 conn_id conn, const struct submission *sub);

/** Put a job that this entry owns into ENT_JOB_OPEN, or refuse it if none of
 * its tasks has started and it is not admitted. Answers it if all its tasks
 * have finished. */
void Enti_OpenJob(struct entry *entry, struct now now, struct ent_job *job);

/* result.c */

/** Find a task of a job by its number. Returns NULL if there is none. */
struct ent_task *Enti_FindTask(const struct ent_job *job, uint32_t no);

/** Process the state or outcome of a task, or a refusal, from an agent. */
void Enti_OnResult(struct entry *entry, struct now now, struct ent_peer *agent,
                   const struct msg_result *result);

/** Handle the loss of an agent and of all runs on it. */
void Enti_OnAgentLost(struct entry *entry, struct now now,
                      struct ent_peer *agent);

/** Bring forward the resending of all starts sent to the agent with this
 * incarnation, to one heartbeat interval from now at the latest. */
void Enti_ResendSoon(struct entry *entry, struct now now, uint64_t agent);

/** Tell the agents, once, that the job's answer has been read, so that they
 * may release the outputs. */
void Enti_SendRelease(struct entry *entry, struct ent_job *job);

/** Send a message once to each agent that was sent a task of the job. */
void Enti_SendToAgents(struct entry *entry, const struct ent_job *job,
                       const struct msg *msg);

/** Stop the job's tasks and answer it with `code`, which `task` has caused. */
void Enti_FailJob(struct entry *entry, struct ent_job *job,
                  const struct ent_task *task, enum code code);

/* decision_log.c */

/** Log a decision on a restartable job or on a task of it; does nothing for
 * other jobs. `task` and `agent` may be NULL. */
void Enti_LogDecision(const struct entry *entry, struct now now,
                      enum log_event_type type, const struct ent_job *job,
                      const struct ent_task *task,
                      const struct ent_peer *agent, enum code code);

/* runtime_stats.c */

/** Find or add the statistics of a kind of task; the overflow row when the
 * table is full, never NULL. */
struct ent_kind_stats *Enti_GetKind(struct entry *entry, const char *service,
                                    const char *name);

/** Find or add the share of a team in a service; the overflow row when the
 * table is full, never NULL. */
struct ent_share *Enti_GetShare(struct entry *entry, const char *service,
                                const char *team);

/** Estimated run time of a task, in microseconds; `declared_ms` is 0 when none
 * was declared. */
uint64_t Enti_EstimateRunUs(const struct ent_kind_stats *kind,
                            uint32_t declared_ms);

/** Update the run times of the task's kind and the agent's slowdown from a
 * finished run that took `run_us`. */
void Enti_LearnRunTime(struct now now, const struct ent_job *job,
                       const struct ent_task *task, struct ent_peer *agent,
                       uint32_t run_us);

/* status.c */

/** Add the response time of a job answered with CODE_OK to the histogram of
 * its kind. */
void Enti_CountResponse(const struct ent_job *job, struct now now);

#endif
