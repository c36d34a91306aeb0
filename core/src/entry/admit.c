/* Which jobs are taken in. A job that would wait too long, or end after its
 * deadline, is refused whole before any of its tasks starts. */
#include <string.h>
#include <utlist.h>

#include "job.h"
#include "peer.h"
#include "place.h"
#include "range.h"

/* Time over which the load of a class is averaged: a burst that waits is
 * counted as waiting already. */
#define LOAD_US (20.0 * US_PER_S)
/* Bounds of what a refused caller is told to wait. */
#define LEAST_RETRY_MS 100
#define MOST_RETRY_MS 10000

/* Slots of the service that this entry can count on; 0 when no agent has
 * been heard of late. */
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

static double
lane_load(const struct ent_lane *lane, struct now now)
{
    double age_us = (double)(now.us - lane->load_us);
    return lane->load * LOAD_US / (LOAD_US + age_us);
}

static void
add_load(struct ent_lane *lane, struct now now, uint64_t work_us)
{
    lane->load = lane_load(lane, now) + (double)work_us / LOAD_US;
    lane->load_us = now.us;
}

struct ent_outlook
Enti_Estimate(const struct entry *entry, struct now now,
              const struct ent_job *job)
{
    const struct ent_service *service = job->service;
    const struct policy *policy = Enti_Policy(entry, service->name, "");
    struct ent_outlook outlook = {0, 0};
    uint32_t index = Enti_Lane(job);
    if (index >= PRIO_COUNT) {
        outlook.run_us = Enti_IsRestartable(job) ? job->longest_us : 0;
        return outlook;
    }
    double all = usable_slots(entry, now, service);
    double slots = all;
    if (all < 1) {
        /* Nothing is known, as after a pause: the deadline bounds it. */
        return outlook;
    }
    double ahead_us = 0;
    for (uint32_t i = 0; i <= index; i++) {
        ahead_us += (double)service->lanes[i].work_us;
        if (i < index) {
            slots -= lane_load(&service->lanes[i], now);
        }
    }
    double least = all * (double)policy->value[POL_LEAST_SHARE] / 100;
    least = least < 1 ? 1 : least;
    slots = slots < least ? least : slots;
    /* Whatever is more urgent, the class keeps its least share. */
    double own_us = (double)service->lanes[index].work_us / least * slots;
    ahead_us = ahead_us > own_us ? own_us : ahead_us;
    double work_us = (double)(job->task_us * job->task_count);
    double longest_us = (double)job->longest_us;
    outlook.wait_us = (uint64_t)(ahead_us / slots);
    work_us /= slots;
    outlook.run_us = (uint64_t)(work_us > longest_us ? work_us : longest_us);
    return outlook;
}

uint32_t
Enti_RetryAfterMs(struct entry *entry, uint64_t excess_us)
{
    uint64_t ms = excess_us / US_PER_MS;
    ms = ms < LEAST_RETRY_MS ? LEAST_RETRY_MS : ms;
    ms = ms > MOST_RETRY_MS ? MOST_RETRY_MS : ms;
    /* Spread over half as much again, or all come back at once. */
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

/* Each step has an agent that could run it, as far as agents are known. */
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
    struct ent_outlook outlook = Enti_Estimate(entry, now, job);
    uint64_t wait_us = is_waiting ? 0 : outlook.wait_us;
    uint64_t end_us = now.us + wait_us + outlook.run_us;
    if (end_us > job->deadline_us) {
        return refuse(entry, job, CODE_TOO_LATE, end_us - job->deadline_us);
    }
    return CODE_OK;
}

/* An entry that has just joined and has not heard all agents does not know
 * what they offer. */
static int
is_joining(const struct entry *entry, struct now now)
{
    uint32_t slot = 0;
    const struct ent_peer *peer;
    if (now.us - entry->joined_us >= SETTLE_US) {
        return 0;
    }
    while ((peer = Tab_Next(&entry->peers, &slot))) {
        if (peer->member.role == ROLE_AGENT && peer->heard_us == 0) {
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
    policy = Enti_Policy(entry, job->service_name, job->team);
    uint64_t limit_us = (uint64_t)policy->value[POL_QUEUE_WAIT_MS] * US_PER_MS;
    struct ent_outlook outlook = Enti_Estimate(entry, now, job);
    if (service->waiting + job->task_count > policy->value[POL_QUEUE_LIMIT]) {
        return refuse(entry, job, CODE_QUEUE_FULL, outlook.wait_us);
    }
    if (job->share->waiting + job->task_count >
        policy->value[POL_TEAM_QUEUE]) {
        return refuse(entry, job, CODE_OVER_QUOTA, outlook.wait_us);
    }
    if (outlook.wait_us > limit_us) {
        return refuse(entry, job, CODE_QUEUE_FULL, outlook.wait_us - limit_us);
    }
    return Enti_CheckDeadline(entry, now, job, 0);
}

void
Enti_CountLoad(struct now now, struct ent_job *job)
{
    add_load(&job->service->lanes[Enti_Lane(job)], now,
             job->task_us * job->task_count);
}
