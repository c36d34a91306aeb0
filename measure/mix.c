#include "mix.h"

#include <math.h>
#include <string.h>

/* Run times of long tasks are uniform in this range. */
#define LONG_MIN_MS 2000.0
#define LONG_MAX_MS 5000.0

static const struct mix mixes[] = {
    {"lakeshore",
     "finishing",
     5,
     {
         {"edge-check", 0, PRIO_URGENT, 0.15, 0, 1, 4, 50, 200, 0, 3000},
         {"buff-plan", 0, PRIO_NORMAL, 0.55, 0, 8, 40, 50, 1000, 0.01, 12000},
         {"scratch-review", 0, PRIO_BULK, 0.3, 0, 4, 16, 100, 1000, 0.03,
          20000},
         {"pane-lookup", SUB_REQUEST | SUB_IDEMPOTENT, PRIO_URGENT, 0, 8, 1, 1,
          5, 40, 0, 2000},
         {"billing-step", SUB_REQUEST, PRIO_NORMAL, 0, 4, 1, 1, 20, 80, 0,
          4000},
     }},
    {"portland",
     "commission-desk",
     4,
     {
         {"proof", 0, PRIO_URGENT, 0.45, 0, 8, 40, 50, 1000, 0.02, 12000},
         {"price-check", 0, PRIO_NORMAL, 0.3, 0, 1, 6, 50, 300, 0, 4000},
         {"yard-plan", 0, PRIO_BULK, 0.25, 0, 4, 24, 100, 1000, 0.02, 20000},
         {"slot-hold", SUB_REQUEST, PRIO_NORMAL, 0, 8, 1, 1, 20, 80, 0, 4000},
     }},
    {"noop",
     "finishing",
     1,
     {
         {"noop", 0, PRIO_NORMAL, 1, 0, 100, 100, 1, 1.0001, 0, 10000},
     }},
};

const struct mix *
Mix_Find(const char *name)
{
    for (size_t i = 0; i < sizeof(mixes) / sizeof(mixes[0]); i++) {
        if (strcmp(mixes[i].name, name) == 0) {
            return &mixes[i];
        }
    }
    return NULL;
}

/* One step of SplitMix64. */
static uint64_t
next_u64(struct mix_random *random)
{
    uint64_t z = (random->state += 0x9e3779b97f4a7c15ull);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
    return z ^ (z >> 31);
}

double
Mix_Uniform(struct mix_random *random)
{
    return (double)(next_u64(random) >> 11) / 9007199254740992.0;
}

double
Mix_Interarrival(struct mix_random *random, double rate)
{
    return -log(1.0 - Mix_Uniform(random)) / rate;
}

/* Mean of the run times that Mix_RunMs() draws. */
static double
mean_ms(const struct mix_kind *kind)
{
    double short_mean =
        (kind->max_ms - kind->min_ms) / log(kind->max_ms / kind->min_ms);
    double long_mean = (LONG_MIN_MS + LONG_MAX_MS) / 2;
    return short_mean * (1 - kind->long_share) + long_mean * kind->long_share;
}

double
Mix_Rate(const struct mix *mix, int index, double slots)
{
    const struct mix_kind *kind = &mix->kinds[index];
    double mean_tasks = (kind->min_tasks + kind->max_tasks) / 2.0;
    if (kind->flags & SUB_REQUEST) {
        return kind->rate;
    }
    return slots * kind->work_share / (mean_tasks * mean_ms(kind) / 1000);
}

uint32_t
Mix_TaskCount(struct mix_random *random, const struct mix_kind *kind)
{
    uint32_t span = kind->max_tasks - kind->min_tasks + 1;
    return kind->min_tasks + (uint32_t)(Mix_Uniform(random) * span);
}

double
Mix_RunMs(struct mix_random *random, const struct mix_kind *kind)
{
    if (Mix_Uniform(random) < kind->long_share) {
        return LONG_MIN_MS + Mix_Uniform(random) * (LONG_MAX_MS - LONG_MIN_MS);
    }
    double ratio = kind->max_ms / kind->min_ms;
    return kind->min_ms * pow(ratio, Mix_Uniform(random));
}
