/* Run times learned for each kind of task. Run times declared by callers may
 * be wrong by any factor, so they are scaled by the ratio of actual to
 * declared run time seen so far. */
#include <string.h>

#include "job.h"
#include "place.h"

/* Estimated run time of a kind of which no task has been seen. */
#define DEFAULT_RUN_US (200 * US_PER_MS)
/* Length of the moving averages of a kind, in tasks. */
#define KIND_WINDOW 64
/* The same for the slowdown of one agent. It is shorter, as the speed of an
 * agent may change within seconds. */
#define SLOWDOWN_WINDOW 12
/* Tasks needed before learned values are used: to correct declared run times,
 * and to measure the slowdown of an agent. */
#define MIN_SAMPLES 4
/* Bounds of the slowdown counted for one task. */
#define MIN_SLOWDOWN 0.1
#define MAX_SLOWDOWN 20.0

static struct ent_pair_id
make_pair(const char *service, const char *name)
{
    struct ent_pair_id id;
    memset(&id, 0, sizeof(id));
    strncpy(id.service, service, sizeof(id.service) - 1);
    strncpy(id.name, name, sizeof(id.name) - 1);
    return id;
}

struct ent_kind_stats *
Enti_GetKind(struct entry *entry, const char *service, const char *name)
{
    struct ent_sched *sched = &entry->sched;
    struct ent_pair_id id = make_pair(service, name);
    struct ent_kind_stats *kind;
    HASH_FIND(hh, sched->kind_index, &id, sizeof(id), kind);
    if (kind) {
        return kind;
    }
    kind = Tab_Add(&sched->kinds);
    if (!kind) {
        return &sched->overflow_kind;
    }
    kind->id = id;
    HASH_ADD(hh, sched->kind_index, id, sizeof(kind->id), kind);
    return kind;
}

struct ent_share *
Enti_GetShare(struct entry *entry, const char *service, const char *team)
{
    struct ent_sched *sched = &entry->sched;
    struct ent_pair_id id = make_pair(service, team);
    struct ent_share *share;
    HASH_FIND(hh, sched->share_index, &id, sizeof(id), share);
    if (share) {
        return share;
    }
    share = Tab_Add(&sched->shares);
    if (!share) {
        return &sched->overflow_share;
    }
    share->id = id;
    HASH_ADD(hh, sched->share_index, id, sizeof(share->id), share);
    return share;
}

uint64_t
Enti_EstimateRunUs(const struct ent_kind_stats *kind, uint32_t declared_ms)
{
    if (declared_ms) {
        double factor =
            kind->declared_count >= MIN_SAMPLES ? kind->declared_ratio : 1;
        if (kind->declared_count < MIN_SAMPLES && kind->count >= MIN_SAMPLES) {
            return (uint64_t)kind->mean_us;
        }
        return (uint64_t)(declared_ms * (double)US_PER_MS * factor);
    }
    return kind->count ? (uint64_t)kind->mean_us : DEFAULT_RUN_US;
}

/* Adds `value` to a moving average over at most `window` values. */
static double
update_mean(double mean, double value, uint32_t *count, uint32_t window)
{
    if (*count < window) {
        (*count)++;
    }
    return mean + (value - mean) / *count;
}

void
Enti_LearnRunTime(struct now now, const struct ent_job *job,
                  const struct ent_task *task, struct ent_peer *agent,
                  uint32_t run_us)
{
    struct ent_kind_stats *kind = job->kind_stats;
    double estimate_us = (double)Enti_EstimateRunUs(kind, task->run_ms);
    int has_samples = kind->count >= MIN_SAMPLES;
    kind->mean_us =
        update_mean(kind->mean_us, run_us, &kind->count, KIND_WINDOW);
    if (task->run_ms) {
        double factor = run_us / (task->run_ms * (double)US_PER_MS);
        kind->declared_ratio = update_mean(kind->declared_ratio, factor,
                                           &kind->declared_count, KIND_WINDOW);
    }
    if (has_samples && estimate_us > 0 &&
        Labels_Has(&agent->labels,
                   job->steps[task->step].spec.preferred_label)) {
        if (agent->service) {
            Speed_Learn(&agent->service->speeds, &agent->speed, agent->kind_id,
                        now, run_us, (uint64_t)estimate_us);
        }
        double slowdown = run_us / estimate_us;
        slowdown = slowdown < MIN_SLOWDOWN ? MIN_SLOWDOWN : slowdown;
        slowdown = slowdown > MAX_SLOWDOWN ? MAX_SLOWDOWN : slowdown;
        if (now.us - agent->slowdown_us >= SLOWDOWN_MAX_AGE_US) {
            agent->slowdown_count = 0;
        }
        agent->slowdown_us = now.us;
        agent->slowdown = update_mean(agent->slowdown, slowdown,
                                      &agent->slowdown_count, SLOWDOWN_WINDOW);
    }
}
