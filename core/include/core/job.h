/** @file
 * Jobs as an entry knows them: their steps, tasks, and who waits. */
#ifndef CORE_JOB_H
#define CORE_JOB_H

#include <uthash.h>

#include "base/code.h"
#include "base/tab.h"
#include "core/act.h"
#include "wire/msg.h"

/** What an entry knows of a task of its job. */
enum ent_task_state {
    ENT_WAITING = 0, /**< Not started anywhere. */
    ENT_BLOCKED,     /**< The same; earlier steps have not ended. */
    ENT_SENT,        /**< Sent to an agent, outcome not yet known. */
    ENT_LOST,        /**< Its agent is gone; its run may not have ended. */
    ENT_DONE,
};

/** A task of a job. */
struct ent_task {
    uint32_t no;
    uint32_t run_ms;
    uint32_t step;
    struct bytes input;
    enum ent_task_state state;
    uint8_t may_wait;  /**< Sent to wait for a slot at a full agent. */
    uint32_t failures; /**< Runs that failed. */
    uint32_t attempt;
    uint64_t agent; /**< Incarnation that it was last sent to. */
    uint64_t sent_us;
    uint64_t resend_us;
    struct bytes output; /**< Owned. */
};

/** A step of a job: its tasks stand next to each other. */
struct ent_step {
    struct sub_step spec;
    uint32_t first; /**< Index of its first task. */
    uint32_t count;
    uint32_t waiting;         /**< Tasks in ENT_WAITING. */
    uint32_t unfinished;      /**< Tasks not in ENT_DONE. */
    uint32_t cursor;          /**< Index of the task that is looked at next. */
    uint64_t mean_task_us;    /**< Expected run time of one task. */
    uint64_t longest_task_us; /**< The same of the longest task. */
    uint64_t critical_path_us; /**< From its start to the end of all that waits
                            for it, by the longest tasks. */
};

/** What an agent reported of a task when its issuer was taken over. */
struct ent_task_record {
    struct ent_task_record *next;
    uint64_t agent;
    uint32_t task;
    enum task_state state;
    enum code code;
    struct bytes output; /**< Owned. */
};

/** Somebody who waits for a job's answer. */
struct ent_waiter {
    struct ent_waiter *next;
    uint64_t entry; /**< Incarnation of a forwarding entry, 0 for none. */
    conn_id conn;
};

/** Life of a job at an entry. */
enum ent_job_state {
    ENT_JOB_REPORTED,   /**< Known from agents; no submission yet. */
    ENT_JOB_COLLECTING, /**< Submitted; its issuer is being taken over. */
    ENT_JOB_OPEN,       /**< Being run. */
    ENT_JOB_ANSWERED,
    ENT_JOB_REMOTE, /**< Passed to the owner, waiting for the answer. */
};

/** Identity of a key. */
struct ent_key_id {
    uint64_t issuer;
    uint64_t seq;
};

/** A job. */
struct ent_job {
    struct tab_row row;
    struct ent_key_id id;
    struct key key;
    enum ent_job_state state;
    char service_name[WIRE_NAME_SIZE];
    char kind[WIRE_NAME_SIZE];
    char team[WIRE_NAME_SIZE];
    uint32_t memory_mb;
    uint32_t cores;
    uint32_t max_attempts; /**< Failed runs of a task that end the job. */
    enum priority priority;
    unsigned flags;
    uint64_t name; /**< The caller's, 0 for none. */
    uint64_t
        objective_us; /**< When its answer is wanted, 0: by its deadline. */
    uint64_t body_hash;
    uint64_t submitted_us;
    uint64_t deadline_us;
    void *body; /**< Inputs of the tasks, owned. */
    struct ent_step *steps;
    struct ent_task *tasks;
    uint32_t step_count;
    uint32_t task_count;
    uint32_t waiting;    /**< Tasks in ENT_WAITING. */
    uint32_t blocked;    /**< Tasks in ENT_BLOCKED. */
    uint32_t unfinished; /**< Tasks not in ENT_DONE. */
    uint8_t queued;
    uint8_t deadline_checked; /**< Its turn came while it could still end in
                                 time. */
    uint8_t answer_read;      /**< A caller has read the answer. */
    uint8_t in_name_index;    /**< Found by its caller's name. */
    uint8_t is_late;          /**< It cannot end when it is wanted. */
    enum code code;
    uint64_t not_before_us; /**< Its tasks are not placed before this. */
    char detail[WIRE_ADDR_SIZE];
    uint32_t retry_after_ms;
    struct ent_waiter *waiters;
    struct ent_task_record *task_records;
    uint64_t reported_hash; /**< Body hash that agents reported, 0 for none. */
    uint8_t cancelled;      /**< An agent knows that the key was cancelled. */
    uint8_t maybe_ran;      /**< A waiting task may have been run before. */
    uint8_t rerouted;       /**< More than one entry may act on it. */
    uint8_t handed_over;    /**< The successor has its answer. */
    uint8_t
        unknown_retries;   /**< Times placed again after an unknown outcome. */
    uint64_t forwarded_to; /**< Entry that it was passed to. */
    uint64_t resend_us;
    struct ent_share *share; /**< Its team's part, never NULL once filled. */
    struct ent_kind_stats
        *kind_stats;           /**< What is known of its kind, the same. */
    uint64_t mean_task_us;     /**< Expected run time of one task. */
    uint64_t critical_path_us; /**< The same of all that is left, were there
                              room for all that may start. */
    uint64_t preferred_agent;  /**< Agent that its tasks go to while it has
                         room, by  incarnation; 0 for none. */
    uint64_t sort_key;         /**< Place in the fair order of its queue. */
    uint64_t next_resend_us; /**< No start has to be sent again before this. */
    uint32_t open_index;     /**< Place in the entry's list of open jobs. */
    struct ent_service *service;
    struct ent_job *prev, *next; /**< In the service's queue. */
    UT_hash_handle hh;
    UT_hash_handle name_hh; /**< By the caller's name, while it is open. */
};

#endif
