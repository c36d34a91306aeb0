/* Placement: the order in which waiting tasks are started. */
#include <utlist.h>

#include "job.h"
#include "peer.h"
#include "place.h"
#include "subset.h"

/* ENT_BASELINE: delay before a refused task is placed again. */
#define BASELINE_RETRY_US (50 * US_PER_MS)
/* Maximum number of jobs of a lane that are tried for one start. */
#define LOOKAHEAD_JOBS 16

static void
send_task(struct entry *entry, struct now now, struct ent_job *job,
          struct ent_step *step, struct ent_peer *agent)
{
    struct ent_task *task = Enti_NextWaiting(job, step);
    task->state = ENT_SENT;
    task->attempt++;
    task->agent = agent->member.incarnation;
    agent->used_us = now.us;
    job->preferred_agent = job->flags & SUB_REQUEST ? 0 : task->agent;
    Enti_AdjustStepWaiting(job, task, -1);
    Enti_AdjustQueueWaiting(job, -1);
    Enti_AccountStart(entry, job);
    if (job->flags & SUB_REQUEST) {
        agent->requests++;
    }
    else {
        agent->outstanding++;
        Enti_AdjustUsed(agent, &step->spec.need, 1);
        job->share->running++;
    }
    task->is_confined = (uint8_t)Enti_IsConfined(now, job);
    if (task->is_confined) {
        Enti_AdjustConfined(agent, job, 1);
    }
    if (job->waiting == 0 || job->is_late) {
        Enti_Unqueue(job);
    }
    if (job->is_late) {
        /* With a task started, the rest of the job returns to the due lane, so
         * that jobs that are on time no longer go before it. */
        job->is_late = 0;
        job->sort_key = Enti_SortKeyByTime(job);
        if (job->waiting > 0) {
            Enti_Enqueue(entry, job, 1);
        }
    }
    task->may_wait = !(job->flags & SUB_REQUEST) &&
                     job->service->waiting >= job->service->free_capacity;
    Enti_SendStart(entry, now, job, task);
}

/* Start one task of a job, if the quota of its team and an agent allow it.
 * Returns 0 when a start was sent, -1 otherwise. */
static int
place_task(struct entry *entry, struct now now, struct ent_job *job)
{
    if (job->not_before_us > now.us || !Enti_HasQuota(entry, now, job)) {
        return -1;
    }
    uint64_t skipped_steps = 0;
    struct ent_step *step;
    while ((step = Enti_NextStep(job, skipped_steps))) {
        struct ent_peer *agent = Enti_PickAgent(entry, now, job, step);
        if (agent) {
            send_task(entry, now, job, step, agent);
            return 0;
        }
        skipped_steps |= (uint64_t)1 << (step - job->steps);
    }
    return -1;
}

/* Refuse a job whose turn has come but that can no longer end before its
 * deadline. Returns 1 when it was refused. */
static int
refuse_late(struct entry *entry, struct now now, struct ent_job *job)
{
    if (job->deadline_checked || Enti_HasStarted(job) ||
        entry->settings.mode == ENT_BASELINE) {
        return 0;
    }
    enum code code = Enti_CheckDeadline(entry, now, job, 1);
    if (code != CODE_OK) {
        Enti_Answer(entry, job, code, job->service_name);
        return 1;
    }
    job->deadline_checked = 1;
    return 0;
}

/* Start one task of the first job of the lane that can be placed. Returns 0
 * when a start was sent, -1 otherwise. */
static int
place_lane(struct entry *entry, struct now now, struct ent_lane *lane)
{
    struct ent_job *job;
    struct ent_job *following;
    int tried = 0;
    DL_FOREACH_SAFE(lane->jobs, job, following)
    {
        if (refuse_late(entry, now, job)) {
            continue;
        }
        if (place_task(entry, now, job) == 0) {
            return 0;
        }
        /* Confined jobs must not keep the others from their agents. */
        tried += !Enti_IsConfined(now, job);
        if (tried == LOOKAHEAD_JOBS) {
            break;
        }
    }
    return -1;
}

static int
place_next(struct entry *entry, struct now now, struct ent_service *service)
{
    uint32_t order[PRIO_COUNT];
    if (place_lane(entry, now, &service->lanes[ENT_LANE_DUE]) == 0) {
        return 0;
    }
    Enti_OrderLanes(service, order);
    for (int i = 0; i < PRIO_COUNT; i++) {
        if (place_lane(entry, now, &service->lanes[order[i]]) == 0) {
            return 0;
        }
    }
    return place_lane(entry, now, &service->lanes[ENT_LANE_LATE]);
}

/* When the share of ejected workers exceeds the setting eject_share, the fault
 * is taken to lie with the tasks, and ejected workers are used too. */
static void
update_use_ejected(const struct entry *entry, struct ent_service *service)
{
    const struct policy *policy = Enti_Policy(entry, service->name, "");
    const struct ent_peer *agent;
    uint32_t agents = 0;
    uint32_t ejected = 0;
    DL_FOREACH(service->agents, agent)
    {
        agents += agent->link == ENT_LINKED;
        ejected += agent->link == ENT_LINKED && agent->ejected;
    }
    service->use_ejected =
        (int64_t)ejected * 100 > agents * policy->value[POL_EJECT_SHARE];
}

static void
update_free_capacity(const struct entry *entry, struct now now,
                     struct ent_service *service)
{
    const struct ent_peer *agent;
    update_use_ejected(entry, service);
    service->fast_slots = 0;
    service->free_capacity = 0;
    DL_FOREACH(service->agents, agent)
    {
        if (!Enti_IsUsable(entry, now, agent)) {
            continue;
        }
        service->fast_slots +=
            Enti_IsSlow(entry, now, agent) ? 0 : agent->slots;
        service->free_capacity +=
            Enti_CountFreeCapacity(entry, now, service, agent);
    }
    if (entry->settings.mode == ENT_BASELINE) {
        service->free_capacity = service->waiting;
    }
}

void
Enti_Place(struct entry *entry, struct now now, struct ent_service *service)
{
    struct ent_lane *requests = &service->lanes[ENT_LANE_REQUEST];
    if (service->waiting == 0) {
        return;
    }
    if (!Ent_IsFresh(entry, now)) {
        CTR_INC(entry->counters, places_not_fresh);
        return;
    }
    update_free_capacity(entry, now, service);
    while (requests->jobs && place_lane(entry, now, requests) == 0) {
    }
    while (service->free_capacity && place_next(entry, now, service) == 0) {
        service->free_capacity--;
    }
    if (service->waiting) {
        Enti_ExtendSubset(entry, now, service);
    }
}

void
Enti_PlaceAll(struct entry *entry, struct now now)
{
    uint32_t slot = 0;
    struct ent_service *service;
    while ((service = Tab_Next(&entry->services, &slot))) {
        if (service->waiting) {
            Enti_Place(entry, now, service);
        }
    }
}

void
Enti_ReleaseSlot(struct entry *entry, const struct ent_job *job,
                 const struct ent_task *task)
{
    struct ent_peer *agent = Enti_FindPeer(entry, task->agent);
    if (!(job->flags & SUB_REQUEST) && job->share->running > 0) {
        job->share->running--;
    }
    if (!agent) {
        return;
    }
    uint32_t *used =
        job->flags & SUB_REQUEST ? &agent->requests : &agent->outstanding;
    if (*used > 0) {
        (*used)--;
    }
    Enti_AdjustUsed(agent, &job->steps[task->step].spec.need, -1);
    if (task->is_confined) {
        Enti_AdjustConfined(agent, job, -1);
    }
}

/* Add `count` waiting tasks, and queue the job if it is not queued. */
static void
add_waiting(struct entry *entry, struct ent_job *job, int count,
            int keep_sort_key)
{
    if (job->queued) {
        Enti_AdjustQueueWaiting(job, count);
        return;
    }
    if (!job->service) {
        job->service = Enti_GetService(entry, job->service_name, 1);
    }
    Enti_Enqueue(entry, job, keep_sort_key);
}

void
Enti_Requeue(struct entry *entry, struct now now, struct ent_job *job,
             struct ent_task *task)
{
    Enti_ReleaseSlot(entry, job, task);
    if (entry->settings.mode == ENT_BASELINE) {
        job->not_before_us = now.us + BASELINE_RETRY_US;
    }
    CTR_INC(entry->counters, start_retried);
    /* The cause of the refusal may persist at that agent. */
    job->preferred_agent = 0;
    task->state = ENT_WAITING;
    Enti_AdjustStepWaiting(job, task, 1);
    add_waiting(entry, job, 1, 1);
}

void
Enti_Unblock(struct entry *entry, struct ent_job *job, uint32_t count)
{
    add_waiting(entry, job, (int)count, 0);
}
