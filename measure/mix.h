/** @file
 * Workload mixes for the load generator: the kinds of jobs and requests of a
 * deployment, with arrivals, task counts and run times drawn from a seeded
 * random number generator. */
#ifndef MEASURE_MIX_H
#define MEASURE_MIX_H

#include <stdint.h>

#include "wire/msg.h"

/** A kind of job or request. */
struct mix_kind {
    const char *name;
    unsigned flags; /**< Bits of enum sub_flags. */
    enum priority priority;
    double work_share;  /**< Share of the job load, 0 to 1; 0 for requests. */
    double rate;        /**< Submissions per second; 0 for jobs. */
    uint32_t min_tasks; /**< Tasks of a job, uniformly distributed. */
    uint32_t max_tasks;
    double min_ms; /**< Run times are log-uniform from min_ms to max_ms. */
    double max_ms;
    double long_share; /**< Share of tasks that run for 2 to 5 s instead. */
    uint32_t deadline_ms;
};

/** The workload of a deployment. */
struct mix {
    const char *name; /**< Name of the option --mix. */
    const char *service;
    int count; /**< Used elements of `kinds`. */
    struct mix_kind kinds[8];
};

/** A SplitMix64 generator; `state` starts as the seed. */
struct mix_random {
    uint64_t state;
};

/** Find a mix by name. Returns NULL when no mix has that name. */
const struct mix *Mix_Find(const char *name);

/** Draw a uniformly distributed number from [0, 1). */
double Mix_Uniform(struct mix_random *random);

/** Draw the time in seconds until the next event of a Poisson process with
 * `rate` events per second. */
double Mix_Interarrival(struct mix_random *random, double rate);

/** Submissions per second of the kind `index` when the jobs of the mix are to
 * keep `slots` task slots busy on average. Requests have a fixed rate. */
double Mix_Rate(const struct mix *mix, int index, double slots);

/** Draw the number of tasks of a job. */
uint32_t Mix_TaskCount(struct mix_random *random, const struct mix_kind *kind);

/** Draw the run time of a task in milliseconds. */
double Mix_RunMs(struct mix_random *random, const struct mix_kind *kind);

#endif
