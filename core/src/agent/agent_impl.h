/** @file
 * Internals shared by the agent's files. */
#ifndef AGENT_IMPL_H
#define AGENT_IMPL_H

#include "core/agent.h"

/* record.c */

/** Find the record of a key. NULL if there is none. */
struct ag_job *Agi_FindJob(const struct agent *agent, const struct key *key);

/** Find or create the record of a key. NULL if the table is full. */
struct ag_job *Agi_AddJob(struct agent *agent, const struct key *key);

/** Find the record of task `no` of a job. NULL if there is none. */
struct ag_task *Agi_FindTask(const struct ag_job *job, uint32_t no);

/** Create a record of task `no` of a job, which must not have one. NULL if the
 * table is full. */
struct ag_task *Agi_AddTask(struct agent *agent, struct ag_job *job,
                            uint32_t no);

/** Copy a task's output into its record. Returns 0, or -1 if this would exceed
 * AG_OUTPUT_BYTES or memory cannot be allocated. */
int Agi_KeepOutput(struct agent *agent, struct ag_task *task,
                   struct bytes output);

/** Free the copy of a task's output. */
void Agi_DropOutput(struct agent *agent, struct ag_task *task);

/** Highest epoch known for an issuer; {0, 0} if none. */
struct epoch Agi_Epoch(const struct agent *agent, uint64_t issuer);

/** Raise the known epoch of an issuer to `epoch`. CODE_OLD_EPOCH if a higher
 * one is known, CODE_NO_MEMORY if the table is full and no issuer may be
 * removed from it. */
enum code Agi_AdoptEpoch(struct agent *agent, struct now now, uint64_t issuer,
                         struct epoch epoch);

/** True if the task table has space for a start. Removes the oldest records
 * if that is needed to make space. */
int Agi_HasTableSpace(struct agent *agent);

/* fence.c */

/** Order the upstream to stop a task, unless the task is not running or the
 * previous order is more recent than AG_STOP_RETRY_US. */
void Agi_StopTask(struct agent *agent, struct now now, struct ag_task *task);

/* resend.c */

/** Handle an owner's acknowledgement of an outcome. */
void Agi_OnResultAck(struct agent *agent, const struct msg_result_ack *ack);

/** Resend unacknowledged outcomes to their owners, if that is due. Called
 * while the agent drains. */
void Agi_ResendResults(struct agent *agent, struct now now);

/* start.c */

/** Handle a start sent by the entry with incarnation `from`. */
void Agi_OnStart(struct agent *agent, struct now now, uint64_t from,
                 const struct msg_start *start);

/** Send a task's state to the process with incarnation `to`. */
void Agi_SendTask(struct agent *agent, uint64_t to, enum msg_type type,
                  const struct ag_task *task);

/** Send a refusal: the start was not carried out, and will not be. */
void Agi_Refuse(struct agent *agent, uint64_t to,
                const struct msg_start *start, enum code code);

/** Check whether the agent can run a start of the entry `from` now. Returns
 * CODE_OK or the reason against it, which may cease to apply later. */
enum code Agi_CheckAdmission(struct agent *agent, struct now now,
                             uint64_t from, const struct msg_start *start);

/** Run a task on the upstream, for the entry with incarnation `from`. */
void Agi_BeginTask(struct agent *agent, struct now now, uint64_t from,
                   struct ag_task *task, const struct msg_start *start);

/* resources.c */

/** True if the upstream has `need` free. */
int Agi_Fits(const struct agent *agent, const struct resources *need);

/** Add the resources that a task needs to those used in total and by its
 * entry, or subtract them if `sign` is -1. */
void Agi_AddUsage(struct agent *agent, const struct ag_task *task, int sign);

/* orphan.c */

/** Stop the restartable tasks of entries that are considered lost. */
void Agi_StopOrphans(struct agent *agent, struct now now);

/** True if a start of the entry `from` is recent enough to be carried out. The
 * sender may have given up one that was delayed in a queue, and the run must
 * not get a lease beyond its limit, see Ag_RunLimit(). */
int Agi_IsCurrent(const struct agent *agent, struct now now, uint64_t from,
                  const struct msg_start *start);

/* start.c */

/** Number of used slots as reported to entries: running, untracked and held
 * tasks. */
uint32_t Agi_UsedSlots(const struct agent *agent);

/* agent.c */

/** Find an entry by its incarnation. NULL if it is not known. */
struct ag_entry *Agi_FindEntry(const struct agent *agent,
                               uint64_t incarnation);

/** Send the capacity and load of the upstream to an entry. */
void Agi_SendAgentStatus(struct agent *agent, struct ag_entry *entry);

/* load_update.c */

/** Send load updates to the entries with waiting tasks to which the load last
 * reported is out of date. */
void Agi_SendUpdates(struct agent *agent, struct now now);

/** Record that an entry has more tasks to start than there are free slots. */
void Agi_RecordDemand(struct agent *agent, struct now now, uint64_t from);

/** Add `tasks`, which may be negative, to the slots used by an entry. */
void Agi_CountTask(struct agent *agent, uint64_t from, int tasks);

/** Fill in the used slots and resources of a result that is sent to `to`, in
 * total and by the tasks of `to`, and record them as reported to it. */
void Agi_FillUsage(struct agent *agent, uint64_t to,
                   struct msg_result *result);

/* outbox.c */

/** Send a task's outcome to its owner, or put it into the outbox while other
 * tasks of the job are running here. */
void Agi_Report(struct agent *agent, struct ag_task *task);

/** Send all outcomes in the outbox. */
void Agi_FlushOutbox(struct agent *agent);

/* health.c */

/** True while the worker is ejected because its tasks fail. */
int Agi_IsEjected(const struct agent *agent);

/** True while the worker gets one task at a time after an ejection. */
int Agi_IsProbing(const struct agent *agent);

/** Update the worker's health with the outcome of a task. */
void Agi_RecordOutcome(struct agent *agent, struct now now,
                       const struct ag_task *task);

/** Begin probing the worker if its ejection has ended. */
void Agi_CheckHealth(struct agent *agent, struct now now);

/** CODE_UNHEALTHY if the worker is ejected, CODE_NO_SLOT if it is being probed
 * with another task, CODE_OK otherwise or with START_IF_EJECTED. */
enum code Agi_CheckEjected(const struct agent *agent,
                           const struct msg_start *start);

/* hold.c */

/** True if a run of the same restartable task that was started for another
 * submission of its job, through another entry, has not ended. The two must
 * not overlap. */
int Agi_HasOtherRun(const struct agent *agent, const struct ag_task *task,
                    const struct msg_start *start);

/** Hold a start until a slot is free and Agi_HasOtherRun() is false. Returns
 * -1 if the table of holds is full or memory cannot be allocated. */
int Agi_Hold(struct agent *agent, struct now now, uint64_t from,
             const struct msg_start *start, struct ag_task *task);

/** Start held tasks while there are free slots, most urgent first, except
 * those of which another run has not ended. */
void Agi_RunHeld(struct agent *agent, struct now now);

/** Refuse held starts that have waited too long or cannot be run here any
 * more, then call Agi_RunHeld(). */
void Agi_CheckHeld(struct agent *agent, struct now now);

/** Refuse the held starts of an issuer whose owner has changed. No refusals
 * are sent. */
void Agi_RevokeIssuer(struct agent *agent, uint64_t issuer);

/** Refuse the held restartable starts of an entry that is considered lost. No
 * refusals are sent. */
void Agi_RevokeEntry(struct agent *agent, uint64_t from);

/** Refuse the held starts of a cancelled job. No refusals are sent. */
void Agi_RevokeJob(struct agent *agent, const struct ag_job *job);

/** Remove all holds without sending refusals. */
void Agi_DropHolds(struct agent *agent);

/* fence.c */

/** Handle a fence: adopt its epoch and report the starts of its issuer to the
 * entry with incarnation `from`, the new owner. */
void Agi_OnFence(struct agent *agent, struct now now, uint64_t from,
                 const struct msg_fence *fence);

/** Handle the cancellation of a job, sent by `entry`. */
void Agi_OnCancel(struct agent *agent, struct now now,
                  const struct ag_entry *entry,
                  const struct msg_cancel *cancel);

/** Handle the notice that the caller has read the answer: free the outputs. */
void Agi_OnRelease(struct agent *agent, const struct msg_release *release);

/* record.c */

/** Remove records of keys past their lifetime, a limited number per call. */
void Agi_Sweep(struct agent *agent, struct now now);

/* agent.c */

/** Send a heartbeat and the agent's status to an entry. */
void Agi_SendHeartbeat(struct agent *agent, struct now now,
                       struct ag_entry *entry);

/* crash.c */

/** Send the recent reports of crashes to an entry, again or for the first
 * time. */
void Agi_SendCrashes(struct agent *agent, struct now now,
                     const struct ag_entry *entry);

/* config.c */

/** Send the version of the applied configuration, and when it was last known
 * to be the newest, to an entry. */
void Agi_SendVersion(struct agent *agent, struct now now,
                     struct ag_entry *entry);

/** Handle the configuration version sent by an entry. */
void Agi_OnVersion(struct agent *agent, struct now now, struct ag_entry *entry,
                   const struct msg_version *version);

#endif
