/** @file
 * Jobs as an entry keeps them: steps, tasks, and the waiters for the answer.
 * Members in `_us` are points in monotonic time, in microseconds; only
 * `mean_task_us`, `longest_task_us` and `critical_path_us` are durations. */
#ifndef CORE_JOB_H
#define CORE_JOB_H

#include <uthash.h>

#include "base/code.h"
#include "base/tab.h"
#include "core/act.h"
#include "wire/msg.h"

/** State of a task at the entry that owns its job. */
enum ent_task_state {
    ENT_WAITING = 0, /**< May be placed; no run is outstanding. */
    ENT_BLOCKED,     /**< Not started: a step that it depends on has not
                          ended. */
    ENT_SENT,        /**< A start was sent to an agent; outcome not yet
                          known. */
    ENT_LOST,        /**< Its agent is lost; its run may not have ended. */
    ENT_DONE,        /**< Finished; the output is kept. */
};

/** A task of a job. */
struct ent_task {
    uint32_t no;        /**< The caller's number, unique in the job. */
    uint32_t run_ms;    /**< Declared run time, 0 when not declared. */
    uint32_t step;      /**< Index into ent_job.steps. */
    struct bytes input; /**< Points into ent_job.body. */
    enum ent_task_state state;
    uint8_t unconfirmed; /**< The job is cancelled, and the agent has not
                              confirmed that the task does not run. */
    uint8_t may_wait;    /**< The agent may hold the start until a slot is
                              free. */
    uint8_t is_confined; /**< The start was sent with START_CONFINED. */
    uint32_t failures;   /**< Runs that ended with CODE_TASK_FAILED. */
    uint32_t attempt;    /**< Number of the latest start, from 1. */
    uint64_t agent;      /**< Incarnation of the agent that it was last sent
                              to, 0 for none. */
    uint64_t sent_us;    /**< When the start was last sent. */
    uint64_t resend_us;  /**< ENT_SENT: when the start is sent again;
                              ENT_LOST: when the task is placed again. */
    struct bytes output; /**< Owned; no data until it is known. */
};

/** A step of a job; its tasks are contiguous in ent_job.tasks. */
struct ent_step {
    struct sub_step spec;     /**< As submitted. */
    uint32_t first;           /**< Index of its first task. */
    uint32_t count;           /**< Number of its tasks. */
    uint32_t waiting;         /**< Tasks in ENT_WAITING. */
    uint32_t unfinished;      /**< Tasks not in ENT_DONE. */
    uint32_t cursor;          /**< Task index at which the search for a waiting
                                   task continues. */
    uint64_t mean_task_us;    /**< Mean estimated run time of a task. */
    uint64_t longest_task_us; /**< Estimated run time of the longest task. */
    uint64_t critical_path_us; /**< Estimated time from its start to the end
                                    of the steps that depend on it, each
                                    taking as long as its longest task. */
};

/** State of a task as an agent reported it during a takeover of the key
 * range. */
struct ent_task_record {
    struct ent_task_record *next;
    uint64_t agent; /**< Incarnation of the reporting agent. */
    uint32_t task;  /**< Task number, or WIRE_ALL_TASKS. */
    enum task_state state;
    enum code code;
    struct bytes output; /**< Owned. */
};

/** A caller, here or at another entry, that waits for a job's answer. */
struct ent_waiter {
    struct ent_waiter *next;
    uint64_t entry; /**< Incarnation of the entry that forwarded the
                         submission, 0 for a caller connected here. */
    conn_id conn;   /**< Connection of the caller, at that entry. */
};

/** State of a job at an entry. */
enum ent_job_state {
    ENT_JOB_REPORTED,   /**< Known only from agents' reports; no
                             submission yet. */
    ENT_JOB_COLLECTING, /**< Submitted; the takeover of its key range has
                             not ended. */
    ENT_JOB_OPEN,       /**< Owned here; its tasks are placed and run. */
    ENT_JOB_ANSWERED,   /**< The final answer is set. */
    ENT_JOB_REMOTE,     /**< Forwarded to the owner; awaiting the answer. */
};

/** The part of a key that identifies it, used as hash key. */
struct ent_key_id {
    uint64_t issuer;
    uint64_t seq;
};

/** A job known to an entry, in any state. */
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
    uint32_t max_attempts; /**< The job fails when one of its tasks has failed
                                this often. */
    enum priority priority;
    unsigned flags; /**< enum sub_flags. */
    uint64_t name;  /**< The caller's name for the job; SUB_RESTART only. */
    uint64_t objective_us; /**< Target time of the answer, 0 when only the
                                deadline counts. */
    uint64_t body_hash;    /**< Enti_HashBody(), 0 when not submitted. */
    uint64_t submitted_us;
    uint64_t deadline_us;
    void *body; /**< Inputs of all tasks; owned, freed when the job is
                   answered. */
    struct ent_step *steps;
    struct ent_task *tasks;
    uint32_t step_count;
    uint32_t task_count;
    uint32_t waiting;         /**< Tasks in ENT_WAITING. */
    uint32_t blocked;         /**< Tasks in ENT_BLOCKED. */
    uint32_t unfinished;      /**< Tasks not in ENT_DONE. */
    uint8_t queued;           /**< Is in a lane of its service. */
    uint8_t deadline_checked; /**< Its turn came, and it could still end by its
                                   deadline then. */
    uint8_t answer_read;      /**< A caller has read the answer, and the
                                   agents were told. */
    uint8_t in_name_index;    /**< Is in the index by caller's name. */
    uint8_t is_suspect;       /**< An upstream has crashed under a task. */
    uint8_t is_late;          /**< It can no longer end by its objective. */
    enum code code;           /**< Of the answer, in ENT_JOB_ANSWERED. */
    uint64_t not_before_us; /**< Its tasks are not placed before this time. */
    char detail[WIRE_ADDR_SIZE]; /**< What `code` refers to, such as a task or
                                    service; may be "". */
    uint32_t retry_after_ms;     /**< 0 when a retry is of no use. */
    struct ent_waiter *waiters;
    struct ent_task_record *task_records; /**< Owned list. */
    uint64_t reported_hash; /**< Body hash that agents reported, 0 for
                                 none. */
    uint8_t cancelled;      /**< The key was cancelled, as an agent reported or
                                 a caller asked during the takeover. */
    uint8_t may_have_run;   /**< A waiting task may have run before. */
    uint8_t rerouted;       /**< More than one entry may have accepted it, so a
                                 refusal by one does not prove that it has
                                 not run. */
    uint8_t handed_over;    /**< The successor holds its answer. */
    uint8_t unknown_retries; /**< Tasks placed again after an unknown
                                  outcome, at most ENT_MAX_UNKNOWN_RETRIES. */
    uint64_t forwarded_to; /**< Incarnation of the entry that it was forwarded
                                to, 0 for none. */
    uint64_t resend_us;    /**< When it is forwarded again. */
    struct ent_share *share; /**< Its team's share of the service; not NULL
                                  once accepted. */
    struct ent_kind_stats *kind_stats; /**< Of its kind; not NULL once
                                            accepted. */
    uint64_t mean_task_us;     /**< Mean estimated run time of a task. */
    uint64_t critical_path_us; /**< Estimated time for all that is left,
                                    given a slot for every task that may
                                    start. */
    uint64_t preferred_agent;  /**< Incarnation of the agent that its tasks go
                                    to while it has free slots, 0 for none. */
    uint64_t sort_key;         /**< Order in its lane, lowest first: a start
                                    tag or Enti_SortKeyByTime(). */
    uint64_t next_resend_us;   /**< No `resend_us` of its tasks is earlier. */
    uint32_t unconfirmed;      /**< Tasks with `unconfirmed` set. */
    uint64_t cancel_until_us;  /**< When the cancellation is sent no more, 0
                                    before it is sent again. */
    struct ent_job *cancelled_prev, *cancelled_next; /**< Links in
                                    `entry.cancelled_jobs`. */
    uint32_t open_index; /**< Index in the entry's list of open jobs. */
    struct ent_service *service;
    struct ent_job *prev, *next; /**< In the lane of the service. */
    UT_hash_handle hh;
    UT_hash_handle name_hh; /**< By `name`, while it is unanswered. */
};

#endif
