/** @file
 * What the load tool submits: the kinds of work of a deployment, drawn from
 * a seed. */
#ifndef MEASURE_MIX_H
#define MEASURE_MIX_H

#include <stdint.h>

#include "wire/msg.h"

/** A kind of work. */
struct mix_kind {
    const char *name;
    unsigned flags; /**< enum sub_flags. */
    enum priority priority;
    double work_share; /**< Of the offered task slots; jobs only. */
    double rate;       /**< Submissions a second; requests only. */
    uint32_t min_tasks;
    uint32_t max_tasks;
    double min_ms; /**< Run times are spread evenly on a log scale. */
    double max_ms;
    double long_share; /**< Of the tasks that take LONG_MIN_MS and more. */
    uint32_t deadline_ms;
};

/** The work of a deployment. */
struct mix {
    const char *name;
    const char *service;
    int count;
    struct mix_kind kinds[8];
};

/** Seeded random numbers. */
struct mix_random {
    uint64_t state;
};

/** Find a mix by name; NULL when there is none. */
const struct mix *Mix_Find(const char *name);

/** A number from 0 to below 1. */
double Mix_Uniform(struct mix_random *random);

/** Seconds to the next event of a Poisson stream. */
double Mix_Interarrival(struct mix_random *random, double rate);

/** Submissions a second of a kind that take `slots` task slots in all. */
double Mix_Rate(const struct mix *mix, int kind, double slots);

/** Tasks of one job. */
uint32_t Mix_TaskCount(struct mix_random *random, const struct mix_kind *kind);

/** Run time of one task in milliseconds. */
double Mix_RunMs(struct mix_random *random, const struct mix_kind *kind);

#endif
