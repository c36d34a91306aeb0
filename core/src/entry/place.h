/** @file
 * Internals of the entry: which jobs are taken in, in which order, and where
 * their tasks go. */
#ifndef ENTRY_PLACE_H
#define ENTRY_PLACE_H

#include "core/entry.h"

/** A start without an answer is sent again after this. */
#define START_RESEND_US (1 * US_PER_S)
/** A pace that is older than this says nothing: a slow agent is used last,
 * and would not be tried again. */
#define PACE_LIFE_US (3 * US_PER_S)

/* admit.c */

/** What a job has to expect. */
struct ent_outlook {
    uint64_t wait_us; /**< Until its first task starts. */
    uint64_t run_us;  /**< From then to its end. */
};

/** Work out what a job with a service has to expect. */
struct ent_outlook Enti_Estimate(const struct entry *entry, struct now now,
                                 const struct ent_job *job);

/** A reason to refuse a job of which nothing was started, CODE_OK for none.
 * Sets the job's time after which a retry may help. */
enum code Enti_Admit(struct entry *entry, struct now now, struct ent_job *job);

/** CODE_TOO_LATE when the job cannot end before its deadline; `is_waiting`
 * for one whose turn has come. */
enum code Enti_CheckDeadline(struct entry *entry, struct now now,
                             struct ent_job *job, int is_waiting);

/** Count an admitted job's work as load. */
void Enti_CountLoad(struct now now, struct ent_job *job);

/** Time to tell a refused caller, from what was missing; with jitter. */
uint32_t Enti_RetryAfterMs(struct entry *entry, uint64_t excess_us);

/* pressure.c */

/** Note that a tick came: late ones tell that the processor is behind. */
void Enti_NoteTick(struct entry *entry, struct now now);

/* queue.c */

/** Queue of a job in its service. */
uint32_t Enti_Lane(const struct ent_job *job);

/** Put a job into its service's queue; `again` keeps its place. */
void Enti_Enqueue(struct entry *entry, struct ent_job *job, int again);

/** Remove a job from its service's queue. */
void Enti_Unqueue(struct ent_job *job);

/** Note that more (or, below 0, fewer) tasks of a queued job wait. */
void Enti_CountWaiting(struct ent_job *job, int tasks);

/** The classes in the order in which they may have the next start. */
void Enti_OrderLanes(const struct ent_service *service,
                     uint32_t order[PRIO_COUNT]);

/** Note that a job was given a start. */
void Enti_Served(const struct entry *entry, struct ent_job *job);

/* urgency.c */

/** Place of a restartable job in its queue: the time by which its tasks have
 * to be started, the more urgent classes first among those of one time. */
uint64_t Enti_StartBy(const struct ent_job *job);

/** Move jobs that can no longer end when they are wanted behind the others;
 * refuse those that nothing was started of and whose answer is of no use. */
void Enti_AgeQueues(struct entry *entry, struct now now);

/* usage.c */

/** True while the job's team may take one more slot from here. */
int Enti_MayTake(const struct entry *entry, struct now now,
                 const struct ent_job *job);

/** Take in what another entry has reserved. */
void Enti_OnUsage(struct entry *entry, struct now now,
                  const struct ent_peer *peer, const struct msg_usage *msg);

/** Work out the reservations again and tell the other entries. */
void Enti_SendUsage(struct entry *entry, struct now now);

/* room.c */

/** Tasks that need `need` for which an agent has the resources, as far as is
 * known here; UINT32_MAX where only slots count. */
uint32_t Enti_Fits(const struct ent_peer *agent, const struct resources *need);

/** True when an agent could ever run a task of the step. */
int Enti_CouldFit(const struct ent_peer *agent, const struct ent_job *job,
                  const struct ent_step *step);

/** Count (or, with `sign` -1, count no more) a task's need at an agent. */
void Enti_Take(struct ent_peer *agent, const struct resources *need, int sign);

/** Take in what an agent says is taken, and what of it by this entry. */
void Enti_NoteUsed(struct ent_peer *agent, const struct resources *used,
                   const struct resources *mine);

/* pick.c */

/** True when tasks may be sent to an agent. */
int Enti_IsUsable(const struct entry *entry, struct now now,
                  const struct ent_peer *agent);

/** True when tasks take much longer on an agent than elsewhere. */
int Enti_IsSlow(const struct entry *entry, struct now now,
                const struct ent_peer *agent);

/** Starts that an agent may be sent, by its slots. */
uint32_t Enti_CountRoom(const struct entry *entry, struct now now,
                        const struct ent_service *service,
                        const struct ent_peer *agent);

/** The agent that a task of a step should go to, NULL for none. */
struct ent_peer *Enti_PickAgent(struct entry *entry, struct now now,
                                const struct ent_job *job,
                                const struct ent_step *step);

/* place.c */

/** Send waiting tasks of a service to agents with free slots. */
void Enti_Place(struct entry *entry, struct now now,
                struct ent_service *service);

/** Tasks of a job that waited for a step may start. */
void Enti_Unblock(struct entry *entry, struct ent_job *job, uint32_t count);

/** Put a task back into the queue after a true refusal. */
void Enti_Requeue(struct entry *entry, struct now now, struct ent_job *job,
                  struct ent_task *task);

/** Place what waits in every service. */
void Enti_PlaceAll(struct entry *entry, struct now now);

/** Free the slot that a task took at its agent. */
void Enti_Release(struct entry *entry, const struct ent_job *job,
                  const struct ent_task *task);

/* start.c */

/** Send a start, the first time or again. */
void Enti_SendStart(struct entry *entry, struct now now, struct ent_job *job,
                    struct ent_task *task);

#endif
