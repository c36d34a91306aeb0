/* Order of restartable jobs under load, for bursts that exceed the capacity of
 * the workers. Jobs are served in the order of the times by which they have to
 * start to end by their objective. A job that has missed that time is served
 * after those that can still meet theirs, so that a burst makes some jobs late
 * and not all of them. */
#include <utlist.h>

#include "job.h"
#include "place.h"

/* An answer is still of use within this multiple of the target response
 * time. */
#define USEFUL_FACTOR 3
/* Time from a start to the answer beyond the run time: the messages both ways,
 * and one pass over the queues on either side. */
#define START_MARGIN_US (20 * US_PER_MS)
/* Time by which each priority class is served ahead of the next one. */
#define CLASS_LEAD_US (50 * US_PER_MS)

/* Time by which a job should end: its objective, the limit of usefulness if it
 * is late already, but at most its deadline. */
static uint64_t
end_by(const struct ent_job *job)
{
    if (!job->objective_us) {
        return job->deadline_us;
    }
    uint64_t target_us = job->objective_us - job->submitted_us;
    uint64_t end_us =
        job->submitted_us + target_us * (job->is_late ? USEFUL_FACTOR : 1);
    return end_us < job->deadline_us ? end_us : job->deadline_us;
}

int
Enti_EndsInTime(struct now now, const struct ent_job *job, uint64_t extra_us)
{
    return now.us + job->critical_path_us + START_MARGIN_US + extra_us <=
           end_by(job);
}

/* Time by which a job has to start in order to end by end_by(); 0 when the
 * time needed exceeds it. */
static uint64_t
start_by(const struct ent_job *job)
{
    uint64_t end_us = end_by(job);
    uint64_t run_us = job->critical_path_us + START_MARGIN_US;
    return end_us > run_us ? end_us - run_us : 0;
}

uint64_t
Enti_SortKeyByTime(const struct ent_job *job)
{
    return start_by(job) + (uint64_t)job->priority * CLASS_LEAD_US;
}

static void
demote_late(struct entry *entry, struct now now, struct ent_lane *lane)
{
    struct ent_job *job;
    struct ent_job *following;
    DL_FOREACH_SAFE(lane->jobs, job, following)
    {
        /* A job with a started task stays in the due lane, as work has been
         * spent on it. */
        if (start_by(job) >= now.us || Enti_HasStarted(job)) {
            continue;
        }
        CTR_INC(entry->counters, jobs_late);
        Enti_Unqueue(job);
        job->is_late = 1;
        Enti_LogDecision(entry, now, LOG_EVENT_LATE, job, NULL, NULL, CODE_OK);
        Enti_Enqueue(entry, job, 0);
    }
}

static void
refuse_useless(struct entry *entry, struct now now, struct ent_lane *lane)
{
    struct ent_job *job;
    struct ent_job *following;
    DL_FOREACH_SAFE(lane->jobs, job, following)
    {
        if (start_by(job) < now.us && !Enti_HasStarted(job)) {
            job->retry_after_ms = Enti_RetryAfterMs(
                entry, job->critical_path_us + now.us - start_by(job));
            Enti_Answer(entry, job, CODE_TOO_LATE, job->service_name);
        }
    }
}

void
Enti_DemoteLateJobs(struct entry *entry, struct now now)
{
    struct ent_service *service;
    for (service = entry->service_index; service; service = service->hh.next) {
        demote_late(entry, now, &service->lanes[ENT_LANE_DUE]);
        refuse_useless(entry, now, &service->lanes[ENT_LANE_LATE]);
    }
}
