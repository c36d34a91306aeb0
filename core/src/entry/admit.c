/* Admission control. A job that would wait too long, or end after its
 * deadline, is refused as a whole before any of its tasks is started. */
#include <string.h>
#include <utlist.h>

#include "job.h"
#include "peer.h"
#include "place.h"
#include "key_range.h"
#include "subset.h"

/* Time constant of the average load of a priority class. It need not
 * follow bursts: the jobs of a burst that still wait are counted as queued
 * work. */
#define LOAD_WINDOW_US (20.0 * US_PER_S)
/* Bounds of the retry time given to a refused caller, before jitter. */
#define MIN_RETRY_MS 100
#define MAX_RETRY_MS 10000

/* Retry time given to a caller whose job is of a kind that is confined. */
#define CONFINED_RETRY_US (2 * US_PER_S)

/* Slots of the usable agents of the service that are not taken by tasks of
 * other entries; 0 if no agent is usable, as when none was heard recently. */
static double
usable_slots(const struct entry *entry, struct now now,
             const struct ent_service *service)
{
    double slots = 0;
    const struct ent_peer *agent;
    DL_FOREACH(service->agents, agent)
    {
        if (Enti_IsUsable(entry, now, agent) &&
            agent->other_slots < agent->slots) {
            slots += agent->slots - agent->other_slots;
        }
    }
    return slots;
}

/* Average number of slots taken by admitted work of the class, decayed to
 * `now`. */
static double
lane_load(const struct ent_lane *lane, struct now now)
{
    double age_us = (double)(now.us - lane->load_us);
    return lane->load * LOAD_WINDOW_US / (LOAD_WINDOW_US + age_us);
}

static void
add_load(struct ent_lane *lane, struct now now, uint64_t work_us)
{
    lane->load = lane_load(lane, now) + (double)work_us / LOAD_WINDOW_US;
    lane->load_us = now.us;
}

struct ent_estimate
Enti_Estimate(const struct entry *entry, struct now now,
              const struct ent_job *job)
{
    const struct ent_service *service = job->service;
    const struct policy *policy = Enti_Policy(entry, service->name, "");
    struct ent_estimate estimate = {0, 0};
    uint32_t index = Enti_LaneIndex(job);
    if (index >= PRIO_COUNT) {
        estimate.run_us = Enti_IsRestartable(job) ? job->critical_path_us : 0;
        return estimate;
    }
    double total_slots = usable_slots(entry, now, service);
    double slots = total_slots;
    if (total_slots < 1) {
        /* No usable slot is known, for example after this process was paused:
         * nothing can be estimated, and only the deadline limits the job. */
        return estimate;
    }
    double ahead_us = 0;
    for (uint32_t i = 0; i <= index; i++) {
        ahead_us += (double)service->lanes[i].work_us;
        if (i < index) {
            slots -= lane_load(&service->lanes[i], now);
        }
    }
    double min_slots =
        total_slots * (double)policy->value[POL_LEAST_SHARE] / 100;
    min_slots = min_slots < 1 ? 1 : min_slots;
    slots = slots < min_slots ? min_slots : slots;
    /* The class gets its minimum share whatever the load of more urgent
     * classes. */
    double own_us = (double)service->lanes[index].work_us / min_slots * slots;
    ahead_us = ahead_us > own_us ? own_us : ahead_us;
    double work_us = (double)(job->mean_task_us * job->task_count);
    double longest_us = (double)job->critical_path_us;
    estimate.wait_us = (uint64_t)(ahead_us / slots);
    work_us /= slots;
    estimate.run_us = (uint64_t)(work_us > longest_us ? work_us : longest_us);
    return estimate;
}

uint32_t
Enti_RetryAfterMs(struct entry *entry, uint64_t excess_us)
{
    uint64_t ms = excess_us / US_PER_MS;
    ms = ms < MIN_RETRY_MS ? MIN_RETRY_MS : ms;
    ms = ms > MAX_RETRY_MS ? MAX_RETRY_MS : ms;
    /* Add jitter of up to 50 %, so that refused callers do not all retry at
     * the same time. */
    return (uint32_t)(ms + Enti_Random(entry) % (ms / 2));
}

static enum code
refuse(struct entry *entry, struct ent_job *job, enum code code,
       uint64_t excess_us)
{
    job->retry_after_ms = Enti_RetryAfterMs(entry, excess_us);
    return code;
}

static int
fits_any(const struct ent_service *service, const struct ent_job *job,
         const struct ent_step *step)
{
    const struct ent_peer *agent;
    DL_FOREACH(service->agents, agent)
    {
        if (Enti_CouldFit(agent, job, step)) {
            return 1;
        }
    }
    return 0;
}

/* Whether each step has an agent that could run it; true if no agent of the
 * service is known. */
static int
can_run(const struct ent_service *service, const struct ent_job *job)
{
    for (uint32_t i = 0; i < job->step_count; i++) {
        if (service->agents && !fits_any(service, job, &job->steps[i])) {
            return 0;
        }
    }
    return 1;
}

enum code
Enti_CheckDeadline(struct entry *entry, struct now now, struct ent_job *job,
                   int is_waiting)
{
    struct ent_estimate estimate = Enti_Estimate(entry, now, job);
    uint64_t wait_us = is_waiting ? 0 : estimate.wait_us;
    uint64_t end_us = now.us + wait_us + estimate.run_us;
    if (end_us > job->deadline_us) {
        return refuse(entry, job, CODE_TOO_LATE, end_us - job->deadline_us);
    }
    return CODE_OK;
}

/* Whether this entry joined recently and has not heard from all agents, so
 * that it does not know their services and capacity. */
static int
is_joining(const struct entry *entry, struct now now)
{
    uint32_t slot = 0;
    const struct ent_peer *peer;
    if (now.us - entry->joined_us >= SETTLE_US) {
        return 0;
    }
    while ((peer = Tab_Next(&entry->peers, &slot))) {
        if (peer->member.role == ROLE_AGENT && peer->heard_us == 0 &&
            (peer->in_subset || !Enti_UsesSubset(entry))) {
            return 1;
        }
    }
    return 0;
}

enum code
Enti_Admit(struct entry *entry, struct now now, struct ent_job *job)
{
    int joining = is_joining(entry, now);
    const struct policy *policy;
    if (!job->service && joining) {
        job->service = Enti_GetService(entry, job->service_name, 1);
    }
    const struct ent_service *service = job->service;
    if (!service) {
        return CODE_UNKNOWN_SERVICE;
    }
    if (!joining && !can_run(service, job)) {
        return CODE_CANNOT_RUN;
    }
    if (entry->settings.mode == ENT_BASELINE) {
        return CODE_OK;
    }
    if (Enti_IsConfined(now, job) && Enti_IsConfinementFull(entry, now, job)) {
        return refuse(entry, job, CODE_QUEUE_FULL, CONFINED_RETRY_US);
    }
    policy = Enti_Policy(entry, job->service_name, job->team);
    uint64_t limit_us = (uint64_t)policy->value[POL_QUEUE_WAIT_MS] * US_PER_MS;
    struct ent_estimate estimate = Enti_Estimate(entry, now, job);
    if (service->waiting + job->task_count > policy->value[POL_QUEUE_LIMIT]) {
        return refuse(entry, job, CODE_QUEUE_FULL, estimate.wait_us);
    }
    if (job->share->waiting + job->task_count >
        policy->value[POL_TEAM_QUEUE]) {
        return refuse(entry, job, CODE_OVER_QUOTA, estimate.wait_us);
    }
    if (estimate.wait_us > limit_us) {
        return refuse(entry, job, CODE_QUEUE_FULL,
                      estimate.wait_us - limit_us);
    }
    return Enti_CheckDeadline(entry, now, job, 0);
}

void
Enti_CountLoad(struct now now, struct ent_job *job)
{
    add_load(&job->service->lanes[Enti_LaneIndex(job)], now,
             job->mean_task_us * job->task_count);
}
