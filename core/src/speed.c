#include "core/speed.h"

#include <math.h>
#include <sodium.h>
#include <string.h>

/* Length of a worker's average in tasks: short, as its speed may change. */
#define WORKER_WINDOW 24
/* The same for a kind, whose speed does not change. */
#define KIND_WINDOW 256
/* A worker's own average is used for this long after its latest task. A slow
 * worker gets few tasks that could show that it has recovered. */
#define WORKER_MAX_AGE_US (3 * US_PER_S)
/* Weight, in tasks, of the kind's average against the worker's own. */
#define KIND_WEIGHT 8
/* Tasks of a kind from which its average is used. */
#define MIN_KIND_TASKS 16
/* Averages in a range of this factor either way are ordinary: run times and
 * their estimates spread by a factor of 1.5, and the averages of 24 tasks by
 * 1.1. */
#define MIN_FACTOR 1.4
/* Bounds of the factor counted for one task. */
#define MAX_TASK_FACTOR 20.0

uint64_t
Speed_KindId(const struct labels *labels)
{
    static const unsigned char key[crypto_shorthash_KEYBYTES];
    uint64_t id = 0;
    for (uint32_t i = 0; i < labels->count; i++) {
        uint64_t hash;
        crypto_shorthash((unsigned char *)&hash,
                         (const unsigned char *)labels->names[i],
                         strlen(labels->names[i]), key);
        id += hash;
    }
    return id;
}

static const struct speed *
find_kind(const struct speed_table *table, uint64_t id)
{
    for (uint32_t i = 0; i < table->count; i++) {
        if (table->kinds[i].id == id) {
            return &table->kinds[i].speed;
        }
    }
    return NULL;
}

static struct speed *
add_kind(struct speed_table *table, uint64_t id)
{
    struct speed_kind *kind = &table->kinds[0];
    if (table->count < SPEED_KINDS) {
        kind = &table->kinds[table->count++];
    }
    for (uint32_t i = 0; table->count == SPEED_KINDS && i < SPEED_KINDS; i++) {
        if (table->kinds[i].speed.us < kind->speed.us) {
            kind = &table->kinds[i];
        }
    }
    memset(kind, 0, sizeof(*kind));
    kind->id = id;
    return &kind->speed;
}

static void
add_task(struct speed *speed, struct now now, double log_factor,
         uint32_t window)
{
    if (speed->count < window) {
        speed->count++;
    }
    speed->mean_log += (log_factor - speed->mean_log) / speed->count;
    speed->us = now.us;
}

void
Speed_Learn(struct speed_table *table, struct speed *worker, uint64_t kind,
            struct now now, uint64_t run_us, uint64_t estimate_us)
{
    if (run_us == 0 || estimate_us == 0) {
        return;
    }
    double factor = (double)run_us / (double)estimate_us;
    factor = factor > MAX_TASK_FACTOR ? MAX_TASK_FACTOR : factor;
    factor = factor < 1 / MAX_TASK_FACTOR ? 1 / MAX_TASK_FACTOR : factor;
    struct speed *average = (struct speed *)find_kind(table, kind);
    average = average ? average : add_kind(table, kind);
    add_task(average, now, log(factor), KIND_WINDOW);
    if (now.us - worker->us >= WORKER_MAX_AGE_US) {
        worker->count = 0;
        worker->mean_log = 0;
    }
    add_task(worker, now, log(factor), WORKER_WINDOW);
}

double
Speed_Factor(const struct speed_table *table, const struct speed *worker,
             uint64_t kind, struct now now)
{
    const struct speed *average = find_kind(table, kind);
    double sum = 0;
    double weight = KIND_WEIGHT;
    if (average && average->count >= MIN_KIND_TASKS) {
        sum = average->mean_log * KIND_WEIGHT;
    }
    if (now.us - worker->us < WORKER_MAX_AGE_US) {
        sum += worker->mean_log * worker->count;
        weight += worker->count;
    }
    double factor = exp(sum / weight);
    return factor < MIN_FACTOR && factor > 1 / MIN_FACTOR ? 1 : factor;
}
