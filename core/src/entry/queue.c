/* Lanes of waiting jobs. In the lanes of priority classes and of requests,
 * teams share by start-time fair queueing; the lanes of restartable jobs are
 * ordered by Enti_SortKeyByTime(). */
#include <utlist.h>

#include "job.h"
#include "peer.h"
#include "place.h"

/* Start and finish tags are run times in microseconds, divided by the weight
 * of the team and multiplied by this. */
#define TAG_SCALE 64

uint32_t
Enti_LaneIndex(const struct ent_job *job)
{
    if (Enti_IsRestartable(job)) {
        return job->is_late ? ENT_LANE_LATE : ENT_LANE_DUE;
    }
    return job->flags & SUB_REQUEST ? ENT_LANE_REQUEST
                                    : (uint32_t)job->priority;
}

static struct ent_lane *
lane_of(const struct ent_job *job)
{
    return &job->service->lanes[Enti_LaneIndex(job)];
}

void
Enti_AdjustQueueWaiting(struct ent_job *job, int tasks)
{
    uint64_t work_us =
        (uint64_t)(tasks < 0 ? -tasks : tasks) * job->mean_task_us;
    struct ent_lane *lane = lane_of(job);
    job->service->waiting += (uint32_t)tasks;
    job->share->waiting += (uint32_t)tasks;
    if (tasks > 0) {
        lane->work_us += work_us;
    }
    else {
        lane->work_us -= work_us;
    }
}

/* Start tag of a job: the finish tag of its team's latest job, at least the
 * virtual time of the lane. Sets the finish tag of the team to that of this
 * job. */
static uint64_t
make_start_tag(const struct entry *entry, const struct ent_job *job)
{
    uint32_t index = Enti_LaneIndex(job);
    struct ent_lane *lane = &job->service->lanes[index];
    const struct policy *policy =
        Enti_Policy(entry, job->service_name, job->team);
    uint64_t work_us = job->mean_task_us * job->waiting;
    uint64_t weight = (uint64_t)policy->value[POL_TEAM_WEIGHT];
    uint64_t tag = job->share->finish_tag[index];
    if (tag < lane->virtual_time) {
        tag = lane->virtual_time;
    }
    job->share->finish_tag[index] = tag + work_us * TAG_SCALE / weight;
    return tag;
}

static void
insert(struct ent_lane *lane, struct ent_job *job)
{
    struct ent_job *after = lane->jobs ? lane->jobs->prev : NULL;
    while (after && after->sort_key > job->sort_key) {
        after = after == lane->jobs ? NULL : after->prev;
    }
    if (after) {
        DL_APPEND_ELEM(lane->jobs, after, job);
    }
    else {
        DL_PREPEND(lane->jobs, job);
    }
}

void
Enti_Enqueue(struct entry *entry, struct ent_job *job, int keep_sort_key)
{
    struct ent_lane *lane = lane_of(job);
    if (job->queued) {
        return;
    }
    if (!keep_sort_key) {
        job->sort_key = Enti_IsRestartable(job) ? Enti_SortKeyByTime(job)
                                                : make_start_tag(entry, job);
    }
    insert(lane, job);
    job->queued = 1;
    Enti_AdjustQueueWaiting(job, (int)job->waiting);
}

void
Enti_Unqueue(struct ent_job *job)
{
    if (!job->queued) {
        return;
    }
    Enti_AdjustQueueWaiting(job, -(int)job->waiting);
    DL_DELETE(lane_of(job)->jobs, job);
    job->queued = 0;
}

/* A class that is owed a whole start (100 percent) comes first, the least
 * urgent one if several are. */
void
Enti_OrderLanes(const struct ent_service *service, uint32_t order[PRIO_COUNT])
{
    uint32_t count = 0;
    for (uint32_t i = PRIO_COUNT; i-- > 0;) {
        if (service->lanes[i].credit >= 100 && service->lanes[i].jobs) {
            order[count++] = i;
            break;
        }
    }
    for (uint32_t i = 0; i < PRIO_COUNT; i++) {
        if (count == 0 || order[0] != i) {
            order[count++] = i;
        }
    }
}

void
Enti_AccountStart(const struct entry *entry, struct ent_job *job)
{
    struct ent_service *service = job->service;
    uint32_t index = Enti_LaneIndex(job);
    if (job->sort_key > service->lanes[index].virtual_time) {
        service->lanes[index].virtual_time = job->sort_key;
    }
    if (index >= PRIO_COUNT) {
        return;
    }
    const struct policy *policy = Enti_Policy(entry, service->name, "");
    uint32_t min_share = (uint32_t)policy->value[POL_LEAST_SHARE];
    struct ent_lane *lane = &service->lanes[index];
    lane->credit -= lane->credit >= 100 ? 100 : lane->credit;
    for (uint32_t i = index + 1; i < PRIO_COUNT; i++) {
        lane = &service->lanes[i];
        lane->credit = lane->jobs ? lane->credit + min_share : 0;
    }
}
