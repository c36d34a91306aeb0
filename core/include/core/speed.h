/** @file
 * Speed of workers, as the factor by which run times there differ from the
 * estimates. Each worker has an average of its own tasks; a worker with few
 * recent tasks is taken to be like the other workers of its kind. */
#ifndef CORE_SPEED_H
#define CORE_SPEED_H

#include "core/clock.h"
#include "wire/msg.h"

/** Kinds of workers of a service whose speeds are kept. With more, the kind
 * that was unused for the longest time is replaced. */
#define SPEED_KINDS 64

/** Moving average of the logarithm of actual over estimated run time. In the
 * logarithm a single task that runs many times longer than estimated weighs
 * little. */
struct speed {
    double mean_log;
    uint32_t count; /**< Tasks in the average, up to its length. */
    uint64_t us;    /**< When the latest of them ended. */
};

/** Average of the workers of one kind. */
struct speed_kind {
    uint64_t id; /**< Result of Speed_KindId(). */
    struct speed speed;
};

/** The kinds of workers of a service. */
struct speed_table {
    struct speed_kind kinds[SPEED_KINDS];
    uint32_t count;
};

/** Identifier of the kind of workers with these labels, in any order. */
uint64_t Speed_KindId(const struct labels *labels);

/** Add a task of a worker of kind `kind` that ran for `run_us` and was
 * estimated to run for `estimate_us`. Does nothing if either is 0. */
void Speed_Learn(struct speed_table *table, struct speed *worker,
                 uint64_t kind, struct now now, uint64_t run_us,
                 uint64_t estimate_us);

/** Expected factor of run times at a worker over their estimates; 1 when
 * neither its own recent tasks nor its kind's tell otherwise, or when the
 * factor is too close to 1 to be told from chance. */
double Speed_Factor(const struct speed_table *table,
                    const struct speed *worker, uint64_t kind, struct now now);

#endif
