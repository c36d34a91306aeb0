/** @file
 * Internals of the entry: admission of jobs, order of the queues, and
 * placement of tasks on agents. */
#ifndef ENTRY_PLACE_H
#define ENTRY_PLACE_H

#include "core/entry.h"

/** Interval after which an unanswered start is sent again. */
#define START_RESEND_US (1 * US_PER_S)
/** Maximum age of a measured slowdown. As a slow agent is used last, it would
 * otherwise never get a task that shows that it has recovered. */
#define SLOWDOWN_MAX_AGE_US (3 * US_PER_S)

/* admit.c */

/** Estimated times of a job, as durations. */
struct ent_estimate {
    uint64_t wait_us; /**< From now to the start of its first task. */
    uint64_t run_us;  /**< From that start to the end of the job. */
};

/** Estimate the times of a job whose `service` is set. */
struct ent_estimate Enti_Estimate(const struct entry *entry, struct now now,
                                  const struct ent_job *job);

/** Decide on the admission of a job of which no task has started. Returns
 * CODE_OK, or the reason to refuse it; sets `retry_after_ms` of the job where
 * a retry may help. */
enum code Enti_Admit(struct entry *entry, struct now now, struct ent_job *job);

/** Returns CODE_TOO_LATE and sets `retry_after_ms` when the job cannot end
 * before its deadline, else CODE_OK. With `is_waiting` the job is at the head
 * of its queue, and no further wait is assumed. */
enum code Enti_CheckDeadline(struct entry *entry, struct now now,
                             struct ent_job *job, int is_waiting);

/** Add the work of an admitted job to the average load of its lane. */
void Enti_CountLoad(struct now now, struct ent_job *job);

/** Time in milliseconds after which a refused caller may retry: `excess_us`,
 * the time by which the limit was exceeded, within bounds and with jitter. */
uint32_t Enti_RetryAfterMs(struct entry *entry, uint64_t excess_us);

/* overload.c */

/** Update the share of refused jobs from the lateness of a tick. To be called
 * on each tick. */
void Enti_UpdatePressure(struct entry *entry, struct now now);

/* queue.c */

/** Index of the job's lane in its service. */
uint32_t Enti_LaneIndex(const struct ent_job *job);

/** Put a job into its lane, unless it is in one. The job gets a new sort
 * key unless `keep_sort_key` is set. */
void Enti_Enqueue(struct entry *entry, struct ent_job *job, int keep_sort_key);

/** Remove a job from its lane; does nothing if it is in none. */
void Enti_Unqueue(struct ent_job *job);

/** Add `tasks`, which may be negative, to the waiting tasks of a queued job's
 * lane, service and share. */
void Enti_AdjustQueueWaiting(struct ent_job *job, int tasks);

/** Order the priority classes for the next start: the most urgent first, but
 * before it a class that is owed a whole start. */
void Enti_OrderLanes(const struct ent_service *service,
                     uint32_t order[PRIO_COUNT]);

/** Account for a start given to a job: advance the virtual time of its lane
 * and credit the less urgent classes that were passed over. */
void Enti_AccountStart(const struct entry *entry, struct ent_job *job);

/* dispatch_order.c */

/** Sort key of a restartable job: the time in microseconds by which it has to
 * start, later by a fixed amount for each less urgent class. */
uint64_t Enti_SortKeyByTime(const struct ent_job *job);

/** True if a job whose remaining tasks start now, and run for `extra_us`
 * longer than estimated, ends by its objective or, if it is late, in time to
 * be of use. */
int Enti_EndsInTime(struct now now, const struct ent_job *job,
                    uint64_t extra_us);

/** Move restartable jobs that can no longer end by their objective to the late
 * lane. Refuse those there whose answer would come too late to be of use. Jobs
 * with a started task are left alone. */
void Enti_DemoteLateJobs(struct entry *entry, struct now now);

/* quota.c */

/** True when the quota of the job's team allows this entry one more slot. May
 * enlarge the reservation of this entry. */
int Enti_HasQuota(const struct entry *entry, struct now now,
                  const struct ent_job *job);

/** Record the reservations reported by another entry. */
void Enti_OnUsage(struct entry *entry, struct now now,
                  const struct ent_peer *peer, const struct msg_usage *msg);

/** Update the reservations of this entry and report them to the others. */
void Enti_SendUsage(struct entry *entry, struct now now);

/* confine.c */

/** Count a crash at `at_us` for the kinds of the tasks that began shortly
 * before, and confine a kind that is found to crash upstreams. Suspects of
 * other kinds are removed if there are some of a kind that is confined
 * already. */
void Enti_CountKindCrash(struct entry *entry, struct now now, uint64_t at_us,
                         struct msg_crash *crash);

/** True if the tasks of a job may run only at the agents for confined
 * tasks. */
int Enti_IsConfined(struct now now, const struct ent_job *job);

/** True if the agent is kept from the job: as it is not for confined tasks, or
 * has those of another job. */
int Enti_IsBarred(const struct entry *entry, struct now now,
                  const struct ent_job *job, const struct ent_peer *agent);

/** True if the agent is to be avoided by a job that is not confined. */
int Enti_IsForConfined(struct now now, const struct ent_peer *agent);

/** Count (`sign` 1) or release (`sign` -1) a confined task of the job at an
 * agent. */
void Enti_AdjustConfined(struct ent_peer *agent, const struct ent_job *job,
                         int sign);

/** Record that an agent has refused a confined task: it has one of another
 * entry. */
void Enti_OnConfinedRefused(struct now now, struct ent_peer *agent);

/** True if a confined job would wait behind as many others as may run at a
 * time. */
int Enti_IsConfinementFull(const struct entry *entry, struct now now,
                           const struct ent_job *job);

/** Choose the agents for confined tasks of each service that needs them. */
void Enti_ChooseForConfined(struct entry *entry, struct now now);

/* capacity.c */

/** Number of tasks with the requirement `need` that fit into the free
 * resources of an agent, as known here. UINT32_MAX when the agent reports no
 * capacities: then only slots count. */
uint32_t Enti_CountFits(const struct ent_peer *agent,
                        const struct resources *need);

/** True when an idle agent could run a task of the step: its size, label and
 * resources suffice. */
int Enti_CouldFit(const struct ent_peer *agent, const struct ent_job *job,
                  const struct ent_step *step);

/** Add (`sign` 1) or subtract (`sign` -1) a task's requirement to or from the
 * resources that this entry uses at an agent. */
void Enti_AdjustUsed(struct ent_peer *agent, const struct resources *need,
                     int sign);

/** Set the resources used by other entries at an agent from its report: all
 * those in use, and those of them used by this entry. */
void Enti_SetOthersUsed(struct ent_peer *agent, const struct resources *used,
                        const struct resources *own);

/* agent_selection.c */

/** True when tasks may be sent to an agent: it is alive, in service and not
 * stopping, and its worker is not ejected for failures, or the service uses
 * ejected workers too. */
int Enti_IsUsable(const struct entry *entry, struct now now,
                  const struct ent_peer *agent);

/** True when the recent slowdown of an agent (run times there over those
 * estimated) exceeds the setting slow_percent. */
int Enti_IsSlow(const struct entry *entry, struct now now,
                const struct ent_peer *agent);

/** Number of starts that an agent may be sent now: its free slots and those
 * that it may hold beyond them. */
uint32_t Enti_CountFreeCapacity(const struct entry *entry, struct now now,
                                const struct ent_service *service,
                                const struct ent_peer *agent);

/** Choose the agent for a task of a step. Returns NULL if there is none. */
struct ent_peer *Enti_PickAgent(struct entry *entry, struct now now,
                                const struct ent_job *job,
                                const struct ent_step *step);

/* place.c */

/** Send waiting tasks of a service to agents with free slots, as long as this
 * entry's configuration is fresh. */
void Enti_Place(struct entry *entry, struct now now,
                struct ent_service *service);

/** Queue `count` tasks of a job that a finished step has unblocked. */
void Enti_Unblock(struct entry *entry, struct ent_job *job, uint32_t count);

/** Release a task's slot and put the task back into the queue, to be placed
 * again. */
void Enti_Requeue(struct entry *entry, struct now now, struct ent_job *job,
                  struct ent_task *task);

/** Place the waiting tasks of every service. */
void Enti_PlaceAll(struct entry *entry, struct now now);

/** Release the slot, connection and resources that a task takes at its
 * agent. */
void Enti_ReleaseSlot(struct entry *entry, const struct ent_job *job,
                      const struct ent_task *task);

/* start.c */

/** Send the start of a task to its agent, for the first time or again, and
 * schedule the next resending. */
void Enti_SendStart(struct entry *entry, struct now now, struct ent_job *job,
                    struct ent_task *task);

#endif
