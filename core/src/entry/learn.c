/* Run times learned by kind: what callers declare may be wrong by any
 * factor, so it counts only with the factor seen so far. */
#include <string.h>

#include "job.h"
#include "place.h"

/* Run time of a kind of which nothing is known. */
#define GUESS_US (200 * US_PER_MS)
/* Weight of the past, in tasks. */
#define MEMORY_TASKS 64
/* The same for the pace of one agent, which may change within seconds. */
#define PACE_MEMORY_TASKS 12
/* Tasks after which declared times are corrected by what was seen. */
#define TRUST_TASKS 4
/* Bounds on how slow or fast one agent is taken to be. */
#define LEAST_PACE 0.1
#define MOST_PACE 20.0

static struct ent_pair
make_pair(const char *service, const char *name)
{
    struct ent_pair id;
    memset(&id, 0, sizeof(id));
    strncpy(id.service, service, sizeof(id.service) - 1);
    strncpy(id.name, name, sizeof(id.name) - 1);
    return id;
}

struct ent_kind *
Enti_Kind(struct entry *entry, const char *service, const char *name)
{
    struct ent_sched *sched = &entry->sched;
    struct ent_pair id = make_pair(service, name);
    struct ent_kind *kind;
    HASH_FIND(hh, sched->kind_index, &id, sizeof(id), kind);
    if (kind) {
        return kind;
    }
    kind = Tab_Add(&sched->kinds);
    if (!kind) {
        return &sched->spare_kind;
    }
    kind->id = id;
    HASH_ADD(hh, sched->kind_index, id, sizeof(kind->id), kind);
    return kind;
}

struct ent_share *
Enti_Share(struct entry *entry, const char *service, const char *team)
{
    struct ent_sched *sched = &entry->sched;
    struct ent_pair id = make_pair(service, team);
    struct ent_share *share;
    HASH_FIND(hh, sched->share_index, &id, sizeof(id), share);
    if (share) {
        return share;
    }
    share = Tab_Add(&sched->shares);
    if (!share) {
        return &sched->spare_share;
    }
    share->id = id;
    HASH_ADD(hh, sched->share_index, id, sizeof(share->id), share);
    return share;
}

uint64_t
Enti_ExpectUs(const struct ent_kind *kind, uint32_t declared_ms)
{
    if (declared_ms) {
        double factor = kind->declared >= TRUST_TASKS ? kind->per_declared : 1;
        if (kind->declared < TRUST_TASKS && kind->count >= TRUST_TASKS) {
            return (uint64_t)kind->mean_us;
        }
        return (uint64_t)(declared_ms * (double)US_PER_MS * factor);
    }
    return kind->count ? (uint64_t)kind->mean_us : GUESS_US;
}

static double
blend(double mean, double value, uint32_t *count, uint32_t memory)
{
    if (*count < memory) {
        (*count)++;
    }
    return mean + (value - mean) / *count;
}

void
Enti_Learn(struct now now, const struct ent_job *job,
           const struct ent_task *task, struct ent_peer *agent,
           uint32_t run_us)
{
    struct ent_kind *kind = job->kind_row;
    double expect_us = (double)Enti_ExpectUs(kind, task->run_ms);
    int is_known = kind->count >= TRUST_TASKS;
    kind->mean_us = blend(kind->mean_us, run_us, &kind->count, MEMORY_TASKS);
    if (task->run_ms) {
        double factor = run_us / (task->run_ms * (double)US_PER_MS);
        kind->per_declared =
            blend(kind->per_declared, factor, &kind->declared, MEMORY_TASKS);
    }
    if (is_known && expect_us > 0 &&
        Labels_Has(&agent->labels,
                   job->steps[task->step].want.preferred_label)) {
        double pace = run_us / expect_us;
        pace = pace < LEAST_PACE ? LEAST_PACE : pace;
        pace = pace > MOST_PACE ? MOST_PACE : pace;
        if (now.us - agent->pace_us >= PACE_LIFE_US) {
            agent->pace_count = 0;
        }
        agent->pace_us = now.us;
        agent->pace =
            blend(agent->pace, pace, &agent->pace_count, PACE_MEMORY_TASKS);
    }
}
