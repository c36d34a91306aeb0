/* Which waiting task has the next start. */
#include <utlist.h>

#include "job.h"
#include "peer.h"
#include "place.h"

/* The baseline places a refused task again after this. */
#define BASELINE_RETRY_US (50 * US_PER_MS)
/* Jobs of a queue looked at for one that can be placed. */
#define LOOK_AHEAD 16

static void
send_task(struct entry *entry, struct now now, struct ent_job *job,
          struct ent_step *step, struct ent_peer *agent)
{
    struct ent_task *task = Enti_NextWaiting(job, step);
    task->state = ENT_SENT;
    task->attempt++;
    task->agent = agent->member.incarnation;
    job->home = job->flags & SUB_REQUEST ? 0 : task->agent;
    Enti_CountTask(job, task, -1);
    Enti_CountWaiting(job, -1);
    Enti_Served(entry, job);
    if (job->flags & SUB_REQUEST) {
        agent->requests++;
    }
    else {
        agent->outstanding++;
        Enti_Take(agent, &step->want.need, 1);
        job->share->running++;
    }
    if (job->waiting == 0 || job->is_late) {
        Enti_Unqueue(job);
    }
    if (job->is_late) {
        /* Work of it is done now: what is due has no claim before the rest. */
        job->is_late = 0;
        job->tag = Enti_StartBy(job);
        if (job->waiting > 0) {
            Enti_Enqueue(entry, job, 1);
        }
    }
    task->may_wait = !(job->flags & SUB_REQUEST) &&
                     job->service->waiting >= job->service->free_capacity;
    Enti_SendStart(entry, now, job, task);
}

/* Give the next start to a job. Returns 0 when it was given. */
static int
place_task(struct entry *entry, struct now now, struct ent_job *job)
{
    if (job->not_before_us > now.us || !Enti_MayTake(entry, now, job)) {
        return -1;
    }
    uint64_t passed = 0;
    struct ent_step *step;
    while ((step = Enti_NextStep(job, passed))) {
        struct ent_peer *agent = Enti_PickAgent(entry, now, job, step);
        if (agent) {
            send_task(entry, now, job, step, agent);
            return 0;
        }
        passed |= (uint64_t)1 << (step - job->steps);
    }
    return -1;
}

/* A job whose turn has come although it can no longer end in time. */
static int
drop_late(struct entry *entry, struct now now, struct ent_job *job)
{
    if (job->is_begun || Enti_IsBegun(job) ||
        entry->settings.mode == ENT_BASELINE) {
        return 0;
    }
    enum code code = Enti_CheckDeadline(entry, now, job, 1);
    if (code != CODE_OK) {
        Enti_Answer(entry, job, code, job->service_name);
        return 1;
    }
    job->is_begun = 1;
    return 0;
}

/* Give one start to the first job of the queue that can use it. */
static int
place_lane(struct entry *entry, struct now now, struct ent_lane *lane)
{
    struct ent_job *job;
    struct ent_job *following;
    int looked = 0;
    DL_FOREACH_SAFE(lane->jobs, job, following)
    {
        if (drop_late(entry, now, job)) {
            continue;
        }
        if (place_task(entry, now, job) == 0) {
            return 0;
        }
        if (++looked == LOOK_AHEAD) {
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

/* When more workers fail than can be bad at once, the tasks are bad. */
static void
check_suspects(const struct entry *entry, struct ent_service *service)
{
    const struct policy *policy = Enti_Policy(entry, service->name, "");
    const struct ent_peer *agent;
    uint32_t agents = 0;
    uint32_t suspects = 0;
    DL_FOREACH(service->agents, agent)
    {
        agents++;
        suspects += agent->ejected;
    }
    service->use_ejected =
        (int64_t)suspects * 100 > agents * policy->value[POL_EJECT_SHARE];
}

static void
count_room(const struct entry *entry, struct now now,
           struct ent_service *service)
{
    const struct ent_peer *agent;
    check_suspects(entry, service);
    service->fast_slots = 0;
    service->free_capacity = 0;
    DL_FOREACH(service->agents, agent)
    {
        if (!Enti_IsUsable(entry, now, agent)) {
            continue;
        }
        service->fast_slots +=
            Enti_IsSlow(entry, now, agent) ? 0 : agent->slots;
        service->free_capacity += Enti_CountRoom(entry, now, service, agent);
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
    count_room(entry, now, service);
    while (requests->jobs && place_lane(entry, now, requests) == 0) {
    }
    while (service->free_capacity && place_next(entry, now, service) == 0) {
        service->free_capacity--;
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
Enti_Release(struct entry *entry, const struct ent_job *job,
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
    Enti_Take(agent, &job->steps[task->step].want.need, -1);
}

/* `count` tasks more wait; `again` keeps the job's place in its queue. */
static void
wait_again(struct entry *entry, struct ent_job *job, int count, int again)
{
    if (job->queued) {
        Enti_CountWaiting(job, count);
        return;
    }
    if (!job->service) {
        job->service = Enti_GetService(entry, job->service_name, 1);
    }
    Enti_Enqueue(entry, job, again);
}

void
Enti_Requeue(struct entry *entry, struct now now, struct ent_job *job,
             struct ent_task *task)
{
    Enti_Release(entry, job, task);
    if (entry->settings.mode == ENT_BASELINE) {
        job->not_before_us = now.us + BASELINE_RETRY_US;
    }
    CTR_INC(entry->counters, start_retried);
    /* What went wrong there may go wrong again. */
    job->home = 0;
    task->state = ENT_WAITING;
    Enti_CountTask(job, task, 1);
    wait_again(entry, job, 1, 1);
}

void
Enti_Unblock(struct entry *entry, struct ent_job *job, uint32_t count)
{
    wait_again(entry, job, (int)count, 0);
}
