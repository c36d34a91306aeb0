/** @file
 * What an entry keeps to decide which task goes next, and where. */
#ifndef CORE_SCHED_H
#define CORE_SCHED_H

#include <uthash.h>

#include "base/tab.h"
#include "wire/msg.h"

/** Queues of a service: one for each priority class, one for requests, two
 * for restartable jobs. */
#define ENT_LANES (PRIO_COUNT + 3)
/** Queue of requests, which take no task slot. */
#define ENT_LANE_REQUEST PRIO_COUNT
/** Queue of restartable jobs that can still end when they are wanted. */
#define ENT_LANE_DUE (PRIO_COUNT + 1)
/** Queue of those that cannot. */
#define ENT_LANE_LATE (PRIO_COUNT + 2)
/** Most pairs of service and team, and of service and kind, kept apart; the
 * ones above share a row. */
#define ENT_MAX_SHARES 4096
/** The same for pairs of service and kind. */
#define ENT_MAX_KINDS 4096

/** Most reports of other entries kept. */
#define ENT_MAX_USAGES 16384

struct ent_job;

/** Jobs of a service that wait, in the order in which they are served. */
struct ent_lane {
    struct ent_job *jobs;
    uint64_t virtual_time; /**< Start tag of the job served last. */
    uint64_t work_us;      /**< Expected run time of the waiting tasks. */
    double load;      /**< Slots that the admitted work takes on average. */
    uint64_t load_us; /**< When `load` was last brought up to date. */
    uint32_t credit;  /**< Percent of a start owed to this class. */
};

/** A service and a team, or a service and a kind. */
struct ent_pair_id {
    char service[WIRE_NAME_SIZE];
    char name[WIRE_NAME_SIZE];
};

/** A team's part in a service. */
struct ent_share {
    struct tab_row row;
    struct ent_pair_id id;
    uint64_t finish_tag[ENT_LANES]; /**< Finish tag of its latest job. */
    uint32_t running;               /**< Task slots taken from here. */
    uint32_t waiting;               /**< Its tasks that wait here. */
    uint32_t others_reserved;       /**< Slots reserved by other entries. */
    uint32_t others_waiting;        /**< Other entries where its tasks wait. */
    uint32_t reserved; /**< Slots reserved here, when it has a quota. */
    uint64_t grown_us; /**< When `limit` was last worked out. */
    uint8_t reported;  /**< Others know of a use here. */
    UT_hash_handle hh;
};

/** Whose report of which team. */
struct ent_usage_id {
    uint64_t from; /**< Incarnation of the reporting entry. */
    struct ent_share *share;
};

/** What another entry last reported of a team. */
struct ent_usage {
    struct tab_row row;
    struct ent_usage_id id;
    uint32_t slots;
    uint32_t is_waiting;
    uint64_t heard_us;
    UT_hash_handle hh;
};

/** Buckets of a histogram; the last has no bound. */
#define ENT_BUCKETS 14
/** Bound of the first bucket; each next one is twice as high. */
#define ENT_FIRST_BUCKET_MS 8u

/** Response times. */
struct ent_histogram {
    uint64_t count[ENT_BUCKETS];
    uint64_t sum_ms;
};

/** What has been learned of a kind of task. */
struct ent_kind_stats {
    struct tab_row row;
    struct ent_pair_id id;
    uint32_t count;          /**< Tasks seen, up to a bound. */
    uint32_t declared_count; /**< The same of those with a declared time. */
    double mean_us;          /**< Run time. */
    double declared_ratio;   /**< True over declared run time. */
    struct ent_histogram responses; /**< Of jobs answered complete here. */
    UT_hash_handle hh;
};

/** All that is kept of teams and kinds. */
struct ent_sched {
    struct tab shares;
    struct ent_share *share_index;
    struct ent_share overflow_share;
    struct tab usages;
    struct ent_usage *usage_index;
    struct tab kinds;
    struct ent_kind_stats *kind_index;
    struct ent_kind_stats overflow_kind;
};

#endif
