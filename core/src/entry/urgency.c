/* Order of restartable jobs under load, for bursts beyond what the workers
 * carry. A job is served by the time at which it has to start to end when it
 * is wanted. One that has missed that time gives way to those that can still
 * make it, so a burst makes some jobs late and not all of them. */
#include <utlist.h>

#include "job.h"
#include "place.h"

/* An answer within this many times the wanted response time is of use. */
#define USEFUL_FACTOR 3
/* Time from a start to the answer beyond the run: messages there and back,
 * and a look over the queues on either side. */
#define START_MARGIN_US (20 * US_PER_MS)
/* Part of a second by which each class of priority goes before the next. */
#define CLASS_LEAD_US (50 * US_PER_MS)

static uint64_t
end_by(const struct ent_job *job)
{
    if (!job->objective_us) {
        return job->deadline_us;
    }
    uint64_t wanted_us = job->objective_us - job->submitted_us;
    uint64_t end_us =
        job->submitted_us + wanted_us * (job->is_late ? USEFUL_FACTOR : 1);
    return end_us < job->deadline_us ? end_us : job->deadline_us;
}

/* 0 when it is over already. */
static uint64_t
start_by(const struct ent_job *job)
{
    uint64_t end_us = end_by(job);
    uint64_t run_us = job->longest_us + START_MARGIN_US;
    return end_us > run_us ? end_us - run_us : 0;
}

uint64_t
Enti_StartBy(const struct ent_job *job)
{
    return start_by(job) + (uint64_t)job->priority * CLASS_LEAD_US;
}

static void
age_due(struct entry *entry, struct now now, struct ent_lane *lane)
{
    struct ent_job *job;
    struct ent_job *following;
    DL_FOREACH_SAFE(lane->jobs, job, following)
    {
        /* What has been begun is finished first: its work is done already. */
        if (start_by(job) >= now.us || Enti_IsBegun(job)) {
            continue;
        }
        CTR_INC(entry->counters, jobs_late);
        Enti_Unqueue(job);
        job->is_late = 1;
        Enti_Note(entry, now, LOG_EVENT_LATE, job, NULL, NULL, CODE_OK);
        Enti_Enqueue(entry, job, 0);
    }
}

static void
age_late(struct entry *entry, struct now now, struct ent_lane *lane)
{
    struct ent_job *job;
    struct ent_job *following;
    DL_FOREACH_SAFE(lane->jobs, job, following)
    {
        if (start_by(job) < now.us && !Enti_IsBegun(job)) {
            job->retry_after_ms = Enti_RetryAfterMs(
                entry, job->longest_us + now.us - start_by(job));
            Enti_Answer(entry, job, CODE_TOO_LATE, job->service_name);
        }
    }
}

void
Enti_AgeQueues(struct entry *entry, struct now now)
{
    struct ent_service *service;
    for (service = entry->service_index; service; service = service->hh.next) {
        age_due(entry, now, &service->lanes[ENT_LANE_DUE]);
        age_late(entry, now, &service->lanes[ENT_LANE_LATE]);
    }
}
