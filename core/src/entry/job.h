/** @file
 * Internals of the entry: jobs, their steps, their outcomes. */
#ifndef ENTRY_JOB_H
#define ENTRY_JOB_H

#include "core/entry.h"

/* job.c */

/** Find a job, NULL when it is not known. */
struct ent_job *Enti_FindJob(const struct entry *entry, const struct key *key);

/** Find or make a job. NULL when the table is full. */
struct ent_job *Enti_AddJob(struct entry *entry, const struct key *key);

/** Forget what agents reported of a job. */
void Enti_DropHeld(struct ent_job *job);

/** Forget a job. */
void Enti_DropJob(struct entry *entry, struct ent_job *job);

/** Copy a submission into a job. Returns -1 for lack of memory. */
int Enti_FillJob(struct ent_job *job, struct now now,
                 const struct submission *sub);

/** Answer all who wait for a job that is not owned here, then forget the
 * submission. What agents reported of the key is kept. */
void Enti_EndRemote(struct entry *entry, struct ent_job *job, enum code code,
                    const char *detail);

/** Hash of what a submission asks for, whatever the order of its tasks. */
uint64_t Enti_HashBody(const struct submission *sub);

/** Add somebody who waits for the answer. */
void Enti_AddWaiter(struct ent_job *job, uint64_t from, conn_id conn);

/** Set a job's state, counting those that are not yet answered. */
void Enti_SetState(struct entry *entry, struct ent_job *job,
                   enum ent_job_state state);

/** Give a job its final code and answer all who wait. */
void Enti_Answer(struct entry *entry, struct ent_job *job, enum code code,
                 const char *detail);

/** Answer one asker without a job. */
void Enti_Refuse(struct entry *entry, uint64_t from, conn_id conn,
                 const struct key *key, enum code code, const char *detail);

/** Send a job's answer, or PENDING, to one asker. */
void Enti_Reply(struct entry *entry, const struct ent_job *job, uint64_t from,
                conn_id conn);

/* step.c */

/** Copy the steps of a submission whose tasks have been copied. Returns -1
 * for lack of memory. */
int Enti_FillSteps(struct ent_job *job, const struct submission *sub);

/** Begin anew: the tasks of the steps that wait for no other may start. */
void Enti_ResetSteps(struct ent_job *job);

/** Work out how long the steps should take, and the job with them. */
void Enti_ExpectSteps(struct ent_job *job);

/** True when a task of the job has been sent, now or before. */
int Enti_IsBegun(const struct ent_job *job);

/** The step with waiting tasks that most work depends on, of those whose bit
 * in `passed` is not set. NULL when there is none. */
struct ent_step *Enti_NextStep(const struct ent_job *job, uint64_t passed);

/** The next task of a step that has waiting ones. */
struct ent_task *Enti_NextWaiting(const struct ent_job *job,
                                  struct ent_step *step);

/** Note that a task waits again (1), or no more (-1). */
void Enti_CountTask(struct ent_job *job, const struct ent_task *task,
                    int waits);

/** A task has ended well. Returns how many tasks may start now that had to
 * wait for its step. */
uint32_t Enti_EndTask(struct ent_job *job, const struct ent_task *task);

/** Tasks of the step that may yet run at an agent. */
uint32_t Enti_CountAt(const struct ent_job *job, const struct ent_step *step,
                      uint64_t agent);

/* restart.c */

/** True for a job whose tasks may run again from the start. */
int Enti_IsRestartable(const struct ent_job *job);

/** An open job by its caller's name, NULL when there is none. */
struct ent_job *Enti_FindNamed(const struct entry *entry, uint64_t name);

/** An agent is silent: end the restartable jobs that cannot wait until their
 * tasks there have surely ended. */
void Enti_MarkLost(struct entry *entry, struct now now,
                   const struct ent_peer *agent);

/** The agent of a restartable task is gone: it is placed again once its run
 * has surely ended, if that leaves the job enough time. */
void Enti_LoseRun(struct entry *entry, struct now now, struct ent_job *job,
                  struct ent_task *task, const struct ent_peer *agent);

/** A run of a restartable task ended badly. Returns 1 when the task has been
 * put back into the queue. */
int Enti_Retry(struct entry *entry, struct now now, struct ent_job *job,
               struct ent_task *task, enum code code);

/* submit.c */

/** Take in a submission from a caller (`from` 0) or an entry. */
void Enti_Submit(struct entry *entry, struct now now, uint64_t from,
                 conn_id conn, const struct submission *sub);

/** Open a job whose tasks may be started. */
void Enti_OpenJob(struct entry *entry, struct now now, struct ent_job *job);

/* result.c */

/** Take in a task's outcome or a refusal. */
void Enti_OnResult(struct entry *entry, struct now now, struct ent_peer *agent,
                   const struct msg_result *result);

/** An agent is lost with all that ran on it. */
void Enti_LoseAgent(struct entry *entry, struct now now,
                    struct ent_peer *agent);

/** Ask an agent again for all that was sent to it, soon. */
void Enti_AskAgain(struct entry *entry, struct now now, uint64_t agent);

/** Tell agents that the job's answer has been read. */
void Enti_SendRead(struct entry *entry, struct ent_job *job);

/** Tell agents to stop a job's tasks. */
void Enti_SendCancel(struct entry *entry, struct ent_job *job);

/* note.c */

/** Log a decision on a task; `task` and `agent` may be NULL. */
void Enti_Note(const struct entry *entry, struct now now,
               enum log_event_type type, const struct ent_job *job,
               const struct ent_task *task, const struct ent_peer *agent,
               enum code code);

/* learn.c */

/** What is known of a kind of task; never NULL. */
struct ent_kind *Enti_Kind(struct entry *entry, const char *service,
                           const char *name);

/** A team's part in a service; never NULL. */
struct ent_share *Enti_Share(struct entry *entry, const char *service,
                             const char *team);

/** Expected run time of a task; `declared_ms` is 0 when none was given. */
uint64_t Enti_ExpectUs(const struct ent_kind *kind, uint32_t declared_ms);

/** Learn from a task that ended well. */
void Enti_Learn(struct now now, const struct ent_job *job,
                const struct ent_task *task, struct ent_peer *agent,
                uint32_t run_us);

/* status.c */

/** Count the response time of a job that is answered complete. */
void Enti_CountResponse(const struct ent_job *job, struct now now);

#endif
