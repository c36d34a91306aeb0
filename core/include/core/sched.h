/** @file
 * State that an entry keeps for scheduling: the queues of a service, the
 * shares of teams, and the run times learned by kind of task. */
#ifndef CORE_SCHED_H
#define CORE_SCHED_H

#include <uthash.h>

#include "base/tab.h"
#include "wire/msg.h"

/** Number of lanes (queues) of a service: one for each priority class, one for
 * requests, two for restartable jobs. */
#define ENT_LANES (PRIO_COUNT + 3)
/** Lane of requests, which take no task slot. */
#define ENT_LANE_REQUEST PRIO_COUNT
/** Lane of restartable jobs that can still end by their objective. */
#define ENT_LANE_DUE (PRIO_COUNT + 1)
/** Lane of restartable jobs that can no longer end by their objective. */
#define ENT_LANE_LATE (PRIO_COUNT + 2)
/** Maximum number of pairs of service and team with a row of their own;
 * further pairs use one overflow row together. */
#define ENT_MAX_SHARES 4096
/** Maximum number of pairs of service and kind with a row of their own;
 * further pairs use one overflow row together. */
#define ENT_MAX_KINDS 4096

/** Maximum number of usage reports kept, one for each pair of another entry
 * and a share. */
#define ENT_MAX_USAGES 16384

struct ent_job;

/** A queue of a service: the jobs with waiting tasks, in service order. */
struct ent_lane {
    struct ent_job *jobs;
    uint64_t virtual_time; /**< Highest sort key served, the virtual time of
                                the fair queueing. */
    uint64_t work_us;      /**< Estimated run time of the waiting tasks. */
    double load;      /**< Mean number of slots that the admitted work takes,
                           decaying with time. */
    uint64_t load_us; /**< When `load` was last updated. */
    uint32_t credit;  /**< Percent of a start that the class is owed for having
                           been passed over. */
};

/** Hash key: a service and a team, or a service and a kind. Zero-padded. */
struct ent_pair_id {
    char service[WIRE_NAME_SIZE];
    char name[WIRE_NAME_SIZE];
};

/** A team's use of a service, and its part of the team's quota there. */
struct ent_share {
    struct tab_row row;
    struct ent_pair_id id;
    uint64_t finish_tag[ENT_LANES]; /**< Finish tag of its latest job, by
                                         lane. */
    uint32_t running;         /**< Task slots taken by jobs of this entry. */
    uint32_t waiting;         /**< Its tasks that wait at this entry. */
    uint32_t others_reserved; /**< Slots reserved by other entries, as they
                                   last reported. */
    uint32_t others_waiting;  /**< Number of other entries where its tasks
                                   wait. */
    uint32_t reserved; /**< Slots of the quota reserved by this entry. */
    uint64_t grown_us; /**< When `reserved` last grew, 0 for never. */
    uint8_t reported;  /**< The last report to the other entries said that it
                            is in use here. */
    UT_hash_handle hh;
};

/** Hash key of a usage report: the reporting entry and the share. */
struct ent_usage_id {
    uint64_t from; /**< Incarnation of the reporting entry. */
    struct ent_share *share;
};

/** The latest report of another entry on a share. */
struct ent_usage {
    struct tab_row row;
    struct ent_usage_id id;
    uint32_t slots;       /**< Reserved there. */
    uint32_t has_waiting; /**< 1 when tasks of the team wait there, else 0. */
    uint64_t heard_us;    /**< When the report came. */
    UT_hash_handle hh;
};

/** Number of buckets of a histogram; the last has no upper bound. */
#define ENT_BUCKETS 14
/** Upper bound of the first bucket; each further bound is twice the one
 * before. */
#define ENT_FIRST_BUCKET_MS 8u

/** Histogram of response times. */
struct ent_histogram {
    uint64_t count[ENT_BUCKETS]; /**< By bucket, not cumulative. */
    uint64_t sum_ms;
};

/** Run times learned of a kind of task, and response times of its jobs. */
struct ent_kind_stats {
    struct tab_row row;
    struct ent_pair_id id;
    uint32_t count;          /**< Weight of `mean_us`: tasks seen, up to the
                                  length of the moving average. */
    uint32_t declared_count; /**< Weight of `declared_ratio`: tasks seen
                                  with a declared run time, up to the same
                                  length. */
    double mean_us;          /**< Mean run time. */
    double declared_ratio;   /**< Mean ratio of actual to declared run time. */
    uint32_t crashes;  /**< Crashes of upstreams shortly after the start of a
                            task of this kind; counted anew after a pause. */
    uint64_t crash_us; /**< When the latest of them happened. */
    uint64_t confined_until_us;     /**< Until then its tasks are confined. */
    struct ent_histogram responses; /**< Of jobs that this entry answered
                                         with CODE_OK. */
    UT_hash_handle hh;
};

/** Shares of teams, usage reports and statistics of kinds of an entry. */
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
