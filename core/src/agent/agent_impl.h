/** @file
 * Internals shared by the agent's files. */
#ifndef AGENT_IMPL_H
#define AGENT_IMPL_H

#include "core/agent.h"

/** Find what is remembered of a key, NULL when nothing is. */
struct ag_job *Agi_FindJob(const struct agent *agent, const struct key *key);

/** Find or make it. NULL when the table is full. */
struct ag_job *Agi_AddJob(struct agent *agent, const struct key *key);

/** Find a task of a job, NULL when it is not known. */
struct ag_task *Agi_FindTask(const struct ag_job *job, uint32_t no);

/** Make a task of a job. NULL when the table is full. */
struct ag_task *Agi_AddTask(struct agent *agent, struct ag_job *job,
                            uint32_t no);

/** Keep a copy of an output within the agent's bound; 0 when kept. */
int Agi_KeepOutput(struct agent *agent, struct ag_task *task,
                   struct bytes output);

/** Free a task's output. */
void Agi_DropOutput(struct agent *agent, struct ag_task *task);

/** Highest epoch known for an issuer; {0, 0} when none. */
struct epoch Agi_Epoch(const struct agent *agent, uint64_t issuer);

/** Take over a higher epoch. CODE_OLD_EPOCH when `epoch` is below the known,
 * CODE_NO_MEMORY when no issuer may be forgotten in favour of this one. */
enum code Agi_AdoptEpoch(struct agent *agent, struct now now, uint64_t issuer,
                         struct epoch epoch);

/** True when the table has room for a task to be started. */
int Agi_HasRoom(struct agent *agent);

/** Order a running task to be stopped. */
void Agi_StopTask(struct agent *agent, struct now now, struct ag_task *task);

/** Note that an owner has a task's outcome. */
void Agi_OnTaken(struct agent *agent, const struct msg_result_ack *taken);

/** Offer outcomes to their owners again while the agent is stopping. */
void Agi_OfferResults(struct agent *agent, struct now now);

/** Handle a start. */
void Agi_OnStart(struct agent *agent, struct now now, uint64_t from,
                 const struct msg_start *start);

/** Send a task's state to a process. */
void Agi_SendTask(struct agent *agent, uint64_t to, enum msg_type type,
                  const struct ag_task *task);

/** Refuse a start as not run. */
void Agi_Refuse(struct agent *agent, uint64_t to,
                const struct msg_start *start, enum code code);

/** A reason to refuse a start that may pass, CODE_OK for none. */
enum code Agi_CheckRoom(struct agent *agent, struct now now,
                        const struct msg_start *start);

/** Start a task on the upstream. */
void Agi_Begin(struct agent *agent, struct now now, uint64_t from,
               struct ag_task *task, const struct msg_start *start);

/* room.c */

/** True when the upstream has the resources for one more task. */
int Agi_Fits(const struct agent *agent, const struct resources *need);

/** Take (or, with `sign` -1, give back) what a task needs. */
void Agi_Take(struct agent *agent, const struct ag_task *task, int sign);

/* orphan.c */

/** End the restartable tasks of entries that are not heard. */
void Agi_EndOrphans(struct agent *agent, struct now now);

/** True while a start is young enough to be acted on: one that lay in a
 * queue may have been given up by its sender. */
int Agi_IsCurrent(const struct agent *agent, struct now now,
                  const struct msg_start *start);

/** Slots taken, as entries are told. */
uint32_t Agi_Busy(const struct agent *agent);

/** An entry by its incarnation, NULL when it is not known. */
struct ag_entry *Agi_FindEntry(const struct agent *agent,
                               uint64_t incarnation);

/** Tell an entry what the upstream offers now. */
void Agi_SendOffer(struct agent *agent, struct ag_entry *entry);

/* news.c */

/** Tell the entries whose tasks wait when the free slots have changed. */
void Agi_SendNews(struct agent *agent, struct now now);

/** Note that an entry wanted more room than there is. */
void Agi_NoteWant(struct agent *agent, struct now now, uint64_t from);

/** Note that tasks of an entry take more (or, below 0, fewer) slots. */
void Agi_CountTask(struct agent *agent, uint64_t from, int tasks);

/** Write into a result what is taken, all and by the receiver's tasks, and
 * note that it has been told. */
void Agi_NoteTold(struct agent *agent, uint64_t to, struct msg_result *result);

/* outbox.c */

/** Send a task's outcome to its owner, or let it wait for those of its job's
 * other tasks here. */
void Agi_Report(struct agent *agent, struct ag_task *task);

/** Send all outcomes in the outbox. */
void Agi_FlushOutbox(struct agent *agent);

/* health.c */

/** True while the worker is out because it fails what it starts. */
int Agi_IsSuspect(const struct agent *agent);

/** True while a worker that was out gets one task at a time. */
int Agi_IsProbing(const struct agent *agent);

/** Take in how a task ended. */
void Agi_NoteOutcome(struct agent *agent, struct now now,
                     const struct ag_task *task);

/** Try a worker again that has been out for its time. */
void Agi_CheckHealth(struct agent *agent, struct now now);

/** CODE_UNHEALTHY or CODE_NO_SLOT when the worker's health bars a start. */
enum code Agi_CheckSuspect(const struct agent *agent,
                           const struct msg_start *start);

/* hold.c */

/** Let a start wait for a slot. -1 when it may not wait or has no room. */
int Agi_Hold(struct agent *agent, struct now now, uint64_t from,
             const struct msg_start *start, struct ag_task *task);

/** Start what waits, the most urgent first, while there is a slot. */
void Agi_RunHeld(struct agent *agent, struct now now);

/** Refuse what has waited too long or may not start here any more. */
void Agi_CheckHeld(struct agent *agent, struct now now);

/** Refuse what waits of a range that has a new owner. */
void Agi_RevokeIssuer(struct agent *agent, uint64_t issuer);

/** Refuse what waits for an entry that is not heard any more. */
void Agi_RevokeFrom(struct agent *agent, uint64_t from);

/** Refuse what waits of a cancelled job. */
void Agi_RevokeJob(struct agent *agent, const struct ag_job *job);

/** Forget all that waits. */
void Agi_DropHolds(struct agent *agent);

/** Handle a fence. */
void Agi_OnFence(struct agent *agent, struct now now, uint64_t from,
                 const struct msg_fence *fence);

/** Handle a cancellation. */
void Agi_OnCancel(struct agent *agent, struct now now,
                  const struct msg_cancel *cancel);

/** Handle word that the caller has read the answer. */
void Agi_OnRead(struct agent *agent, const struct msg_release *read);

/** Forget keys past their lifetime, a few at a time. */
void Agi_Sweep(struct agent *agent, struct now now);

/** Tell an entry what the upstream offers. */
void Agi_SendStatus(struct agent *agent, struct now now,
                    struct ag_entry *entry);

/* config.c */

/** Tell an entry what this agent has applied. */
void Agi_SendVersion(struct agent *agent, struct now now,
                     struct ag_entry *entry);

/** Take in what an entry has applied. */
void Agi_OnVersion(struct agent *agent, struct now now, struct ag_entry *entry,
                   const struct msg_version *version);

#endif
