/** @file
 * Messages between entries and agents.
 *
 * Enumerators are sent by value, and pack.c and unpack.c define the order of
 * the elements of a message. WIRE_VERSION is the version of both. */
#ifndef WIRE_MSG_H
#define WIRE_MSG_H

#include <stdint.h>

#include "base/code.h"
#include "wire/key.h"

/** Version of the message format. Frames of any other version are rejected. */
#define WIRE_VERSION 4
/** Maximum number of tasks in a job. */
#define WIRE_MAX_TASKS 820
/** Task number that refers to all tasks of a job. */
#define WIRE_ALL_TASKS UINT32_MAX
/** Highest task number that a caller may use. */
#define WIRE_MAX_TASK_NO 0x7fffffffu
/** Size of a name (service, kind, team, node, data centre, rack, label),
 * including its terminator. */
#define WIRE_NAME_SIZE 32
/** Size of an address, "ip:port", including its terminator. */
#define WIRE_ADDR_SIZE 48
/** Maximum number of labels of a worker. */
#define WIRE_MAX_LABELS 8
/** Maximum number of steps of a job; sub_step.after has a bit for each. */
#define WIRE_MAX_STEPS 64
/** Maximum number of key ranges in one MSG_ISSUERS. */
#define WIRE_MAX_ISSUERS 64

/** A byte string. Its data is not owned, unless a comment on its use says
 * otherwise. */
struct bytes {
    const void *data;
    uint32_t size;
};

/** Largest amount of a resource, half the range, so that the sum of two does
 * not overflow. */
#define WIRE_MAX_RESOURCE (UINT32_MAX / 2)

/** Resources of a worker other than task slots. */
struct resources {
    uint32_t cpu; /**< In thousandths of a core. */
    uint32_t memory_mb;
    uint32_t gpu;
};

/** Labels of a worker, by which tasks select workers. */
struct labels {
    uint32_t count;
    char names[WIRE_MAX_LABELS][WIRE_NAME_SIZE];
};

/** Return nonzero if `labels` contains all of `required`. */
int Labels_HasAll(const struct labels *labels, const struct labels *required);

/** Add a label. Silently ignored if it is NULL, empty or longer than
 * WIRE_NAME_SIZE - 1 bytes, or if there are WIRE_MAX_LABELS already. */
void Labels_Add(struct labels *labels, const char *label);

/** Return nonzero if `labels` contains `label`, or if `label` is "". */
int Labels_Has(const struct labels *labels, const char *label);

/** Ownership epoch of a key range, ordered by `n`, then by `owner`. Each
 * change of owner raises it, and agents refuse messages of lower epochs. */
struct epoch {
    uint64_t n;
    uint64_t owner; /**< Incarnation of the owning entry. */
};

/** Compare two epochs: <0, 0 or >0 if `a` is lower than, equal to or higher
 * than `b`. */
static inline int
Epoch_Compare(struct epoch a, struct epoch b)
{
    if (a.n != b.n) {
        return a.n < b.n ? -1 : 1;
    }
    if (a.owner != b.owner) {
        return a.owner < b.owner ? -1 : 1;
    }
    return 0;
}

/** Role of a process. */
enum role { ROLE_ENTRY = 1, ROLE_AGENT = 2 };

/** Priority classes, the most urgent first. */
enum priority { PRIO_URGENT = 0, PRIO_NORMAL = 1, PRIO_BULK = 2, PRIO_COUNT };

/** State of a task as recorded by an agent. */
enum task_state {
    TASK_REFUSED = 1, /**< Not run, and will not be run by this attempt. */
    TASK_RUNNING = 2,
    TASK_FINISHED = 3,  /**< Succeeded; the output is retained. */
    TASK_FAILED = 4,    /**< Failed. */
    TASK_DISCARDED = 5, /**< Ended; the output is no longer retained. */
    TASK_WAITING = 6,   /**< Held: queued at the agent for a slot. */
};

/** Flags of a submission, also sent with its starts. */
enum sub_flags {
    SUB_IDEMPOTENT = 1, /**< May be run again if its outcome is unknown. */
    SUB_REQUEST = 2,    /**< A single call to a service; uses no task slot. */
    SUB_RESTART = 4, /**< Outcomes are not retained: its tasks may be run again
                          from the start once their earlier runs are certain
                          to have ended. */
};

/** Flag of a start: start the task even if the worker has been ejected because
 * of its failures. */
#define START_IF_EJECTED 0x100u
/** Flag of a start: the task may crash the worker. It is not started beside
 * such a task of another job. */
#define START_CONFINED 0x200u

/** One task of a submission. */
struct sub_task {
    uint32_t no;     /**< Number chosen by the caller, unique in the job. */
    uint32_t run_ms; /**< Declared run time, 0 if not declared. */
    uint32_t step;   /**< Index of its step; numbers are ordered by step. */
    struct bytes input;
};

/** One step of a submission: a set of tasks that start once the steps that
 * they depend on have ended. */
struct sub_step {
    struct resources need;      /**< Required by each task. */
    char label[WIRE_NAME_SIZE]; /**< Label that a worker must have, "" for
                                   none. */
    char preferred_label[WIRE_NAME_SIZE]; /**< Label of the workers close to
                                             the step's data, "" for none. */
    uint32_t max_per_worker; /**< Maximum number of its tasks on one worker at
                                     a time, 0 for no limit. */
    uint8_t prefer_one_rack; /**< Its tasks run slower on several racks. */
    uint64_t after; /**< Bit mask of the earlier steps that must end first. */
};

/** A job as submitted by a caller. */
struct submission {
    struct key key;
    char service[WIRE_NAME_SIZE];
    char kind[WIRE_NAME_SIZE];
    char team[WIRE_NAME_SIZE];
    uint32_t deadline_ms; /**< Relative to the time of sending. */
    uint32_t memory_mb;   /**< Declared memory, 0 if not declared. */
    uint32_t cores;       /**< Declared cores, 0 if not declared. */
    enum priority priority;
    unsigned flags; /**< Bit mask of enum sub_flags. */
    uint32_t task_count;
    const struct sub_task *tasks;
    /* The following are set for SUB_RESTART only. They are not encoded: such
     * jobs are never forwarded to another entry. */
    uint64_t name;       /**< Job identifier chosen by the caller; any value is
                              valid. */
    uint32_t step_count; /**< 0 for a single step that needs only slots. */
    const struct sub_step *steps;
    uint32_t max_attempts; /**< Failed runs of a task that fail the job. */
    /* The target response time is target_ms plus stretch_percent of the run
     * time of the job's critical path. */
    uint32_t target_ms;
    uint32_t stretch_percent;
};

/** Outcome of one task. */
struct answer_task {
    uint32_t no;
    enum code code;
    struct bytes output;
};

/** Answer to a submission or a job query. */
struct answer {
    struct key key;
    enum code code;
    char detail[WIRE_ADDR_SIZE]; /**< Subject of the code, such as a name; may
                                    be "". */
    uint32_t retry_after_ms;     /**< 0 if a retry is pointless. */
    uint32_t task_count;         /**< 0 unless the job is complete. */
    const struct answer_task *tasks;
};

/** A key range and its ownership epoch. */
struct issuer_epoch {
    uint64_t issuer; /**< Number of the range. */
    struct epoch epoch;
};

/** Type of a message. */
enum msg_type {
    MSG_HEARTBEAT = 1,
    MSG_AGENT_STATUS,
    MSG_ISSUERS,
    MSG_START,
    MSG_RESULT,
    MSG_RELEASE,
    MSG_CANCEL,
    MSG_FENCE,
    MSG_TASK_RECORD,
    MSG_FENCED,
    MSG_SUBMIT,
    MSG_ANSWER,
    MSG_JOB_QUERY,
    MSG_STATE,
    MSG_RESULT_ACK,
    MSG_HANDOVER,
    MSG_HANDOVER_ACK,
    MSG_VERSION,
    MSG_USAGE,
    MSG_CRASH,
};

/** MSG_HEARTBEAT, between two entries or an entry and an agent. */
struct msg_heartbeat {
    uint64_t sent_us; /**< Time of sending, on the sender's monotonic clock. */
    uint64_t echo_us; /**< Latest `sent_us` from the receiver, 0 for none. */
    uint64_t version; /**< Entry: registry version that it has applied. Agent:
                           registry version of its registration. */
    uint8_t draining; /**< The sender is shutting down. */
    uint8_t is_last;  /**< The sender, an entry, has no tasks at the receiver
                           and sends no further heartbeats until it has. */
};

/** MSG_AGENT_STATUS, agent to entry: capacity and load of the upstream. */
struct msg_agent_status {
    char service[WIRE_NAME_SIZE]; /**< "" before an upstream has announced
                                     itself and after it is gone. */
    uint32_t slots;               /**< Task slots in total. */
    uint32_t busy;                /**< Task slots in use. */
    uint32_t receiver_busy; /**< Of these, used by the receiver's tasks. */
    uint32_t connections;
    uint32_t memory_mb;
    uint32_t cores;
    struct resources capacity;      /**< All 0 if only slots are limited. */
    struct resources used;          /**< By the tasks of all entries. */
    struct resources receiver_used; /**< Of these, by the receiver's tasks. */
    uint64_t registered; /**< Registry version of the agent's registration. */
    uint8_t ejected;     /**< The worker is ejected for failures. */
    uint8_t leaving;     /**< The upstream or the agent is shutting down. */
    struct labels labels;
};

/** MSG_ISSUERS, entry to entry: the key ranges that the sender owns. */
struct msg_issuers {
    uint32_t count;
    struct issuer_epoch items[WIRE_MAX_ISSUERS];
};

/** MSG_START, owner to agent: start a task. */
struct msg_start {
    struct key key;
    struct epoch epoch;
    uint32_t task;
    uint32_t attempt;
    uint32_t deadline_ms; /**< Relative to the time of sending. */
    uint32_t lease_ms;    /**< Longest run time of the task. */
    unsigned flags;       /**< enum sub_flags and START_IF_EJECTED. */
    enum priority priority;
    uint32_t hold_ms; /**< Longest wait for a slot, 0 for none. */
    char kind[WIRE_NAME_SIZE];
    char team[WIRE_NAME_SIZE];
    uint64_t body_hash; /**< Hash of the whole submission. */
    struct bytes input;
    uint64_t name; /**< Job identifier of the caller; SUB_RESTART only. */
    struct resources need;
    uint32_t estimate_ms;        /**< Estimated run time. */
    uint64_t agent_heartbeat_us; /**< `sent_us` of the latest heartbeat that
                                    the sender has received from the agent. */
    char label[WIRE_NAME_SIZE];  /**< Label that the worker must have, "" for
                                      none. */
};

/** MSG_RESULT, agent to owner: outcome of a task, or refusal of a start. With
 * WIRE_ALL_TASKS, CODE_CANCELLED, in reply to MSG_CANCEL: no task of the job
 * runs or is held, and none will be started.
 * MSG_TASK_RECORD, agent to the new owner of a key range, in reply to
 * MSG_FENCE: the agent's record of a task. */
struct msg_result {
    struct key key;
    struct epoch epoch; /**< Highest epoch known to the agent. */
    uint32_t task;
    uint32_t attempt;
    enum task_state state;
    enum code code;
    uint32_t run_us;
    uint32_t busy; /**< Slots in use at the agent at the time of sending. */
    uint32_t receiver_busy; /**< Of these, used by the receiver's tasks. */
    struct resources used;  /**< Resources in use at the time of sending. */
    struct resources receiver_used; /**< Of these, by the receiver's tasks. */
    uint64_t body_hash; /**< As in the start; MSG_TASK_RECORD only. */
    uint32_t report;    /**< As in MSG_FENCED; MSG_TASK_RECORD only. */
    uint32_t index;     /**< Index in the report; MSG_TASK_RECORD only. */
    struct bytes output;
};

/** MSG_RELEASE, owner to agent: the caller has read the answer, so the agent
 * may discard the outputs. An entry that is not the owner sends it to the
 * owner. */
struct msg_release {
    struct key key;
};

/** MSG_CANCEL, owner to agent: stop the tasks of the job and start no more of
 * them. The owner of a restartable job sends it until the agent has sent a
 * result for each task that it was sent, or one for WIRE_ALL_TASKS. */
struct msg_cancel {
    struct key key;
    struct epoch epoch;
};

/** MSG_FENCE, new owner of a key range to agent: refuse messages with a lower
 * epoch, and report the tasks that were started. */
struct msg_fence {
    uint64_t issuer;
    struct epoch epoch;
};

/** MSG_FENCED, agent to new owner: end of the report, or a refusal if `epoch`
 * is higher than that of the fence. */
struct msg_fenced {
    uint64_t issuer;
    struct epoch epoch;       /**< Highest epoch known to the agent. */
    uint32_t report;          /**< Number of this report, increasing. */
    uint32_t count;           /**< Number of MSG_TASK_RECORD in the report. */
    uint32_t expired_until_s; /**< The agent has discarded records of keys
                                  issued up to this time, in seconds since
                                  1970, and refuses such keys. */
};

/** What an entry requests from the owner of a job: the job's state without
 * waiting, its answer once it has ended, or its cancellation. */
enum job_query {
    JOB_QUERY_STATE = 0,
    JOB_QUERY_WAIT = 1,
    JOB_QUERY_CANCEL = 2
};

/** MSG_JOB_QUERY, entry to owner: query, await or cancel a job. The reply is
 * MSG_ANSWER. */
struct msg_job_query {
    struct key key;
    enum job_query query;
    uint64_t conn; /**< Handle of the sender, returned in the reply. */
};

/** MSG_SUBMIT, entry to owner: a submission received for it. The reply is
 * MSG_ANSWER. */
struct msg_submit {
    struct submission sub;
    uint64_t conn; /**< Handle of the sender, returned in the reply. */
};

/** MSG_ANSWER, owner to entry: reply to MSG_SUBMIT or MSG_JOB_QUERY. */
struct msg_answer {
    struct answer answer;
    uint64_t conn; /**< As in the request. */
};

/** MSG_STATE, from an entry, as JSON: to an entry, rows of the table service;
 * to an agent, the configuration or its difference to the previous version. */
struct msg_state {
    uint64_t version;
    struct bytes rows;
};

/** MSG_RESULT_ACK, owner to an agent that is shutting down: the owner knows
 * the outcome of the task, so the agent need not resend it. */
struct msg_result_ack {
    struct key key;
    uint32_t task;
};

/** MSG_HANDOVER, owner that is shutting down to its successor: an answered
 * job. With `last` set, the end of a key range: only the issuer of the key is
 * valid then. */
struct msg_handover {
    struct answer answer;
    uint64_t body_hash;
    struct epoch epoch; /**< Of the range, under the sender's ownership. */
    uint8_t last;
};

/** MSG_HANDOVER_ACK, successor to the owner that is shutting down:
 * acknowledges one MSG_HANDOVER. */
struct msg_handover_ack {
    struct key key;
    struct epoch epoch; /**< Of the range, as known to the successor. */
    uint8_t last;
};

/** Value of msg_version.age_us if the sender cannot confirm that its
 * configuration is current. */
#define WIRE_AGE_UNKNOWN UINT64_MAX

/** MSG_VERSION, between two entries or an entry and an agent: versions that
 * the sender has applied. It replies to the receiver's message sent at
 * `echo_us`, so the receiver knows that its contents were true after that
 * time. */
struct msg_version {
    uint64_t config;  /**< Version of the configuration. */
    uint64_t members; /**< Version of the table service's rows; entries
                           only. */
    uint64_t sent_us; /**< Time of sending, on the sender's monotonic clock. */
    uint64_t echo_us; /**< Latest `sent_us` from the receiver, 0 for none. */
    uint64_t age_us; /**< Time since the configuration was last confirmed to be
                          the newest; WIRE_AGE_UNKNOWN if that is unknown or
                          at least CONFIG_MAX_AGE_US. */
    uint8_t store_read; /**< The sender has read the table service since it
                             started. */
};

/** Maximum number of items in one MSG_USAGE. */
#define WIRE_MAX_USAGE 32

/** Part of a team's quota for a service. */
struct usage_item {
    char service[WIRE_NAME_SIZE];
    char team[WIRE_NAME_SIZE];
    uint32_t slots;      /**< Slots reserved by the sender. */
    uint8_t has_waiting; /**< The sender has queued tasks of the team. */
};

/** MSG_USAGE, entry to entry: slots that the sender has reserved for teams
 * with a quota. */
struct msg_usage {
    uint32_t count;
    struct usage_item items[WIRE_MAX_USAGE];
};

/** Maximum number of suspects in one MSG_CRASH. */
#define WIRE_MAX_SUSPECTS 32

/** A task that ran where an upstream has crashed. */
struct crash_suspect {
    uint64_t name;     /**< The caller's name for its job. */
    uint32_t task;     /**< Number of the task in the job. */
    uint8_t has_begun; /**< It surely ran; else its start had no answer. */
    char kind[WIRE_NAME_SIZE]; /**< Of the job. */
};

/** MSG_CRASH, agent to entry, and entry to entry: an upstream has crashed. */
struct msg_crash {
    uint64_t agent;       /**< Incarnation of the upstream's agent. */
    uint32_t number;      /**< Of the crash at this agent, from 1. */
    uint32_t age_ms;      /**< Time from the crash to the sending. */
    uint32_t young_count; /**< The first of the suspects, which began shortly
                               before the crash. */
    char service[WIRE_NAME_SIZE];
    uint32_t count;
    struct crash_suspect suspects[WIRE_MAX_SUSPECTS];
};

/** A message; `type` selects the member of the union. */
struct msg {
    enum msg_type type;
    union {
        struct msg_heartbeat heartbeat;
        struct msg_agent_status agent_status;
        struct msg_issuers issuers;
        struct msg_start start;
        struct msg_result result; /**< Also MSG_TASK_RECORD. */
        struct msg_release release;
        struct msg_cancel cancel;
        struct msg_fence fence;
        struct msg_fenced fenced;
        struct msg_submit submit;
        struct msg_answer answer;
        struct msg_job_query job_query;
        struct msg_state state;
        struct msg_result_ack result_ack;
        struct msg_handover handover;
        struct msg_handover_ack handover_ack;
        struct msg_version version;
        struct msg_usage usage;
        struct msg_crash crash;
    } u;
};

/** Header of a frame: its sender and its receiver. */
struct frame_header {
    uint64_t from; /**< Incarnation of the sender. */
    uint64_t to;   /**< Incarnation of the receiver, 0 if not yet known. */
    enum role role;
    char node[WIRE_NAME_SIZE];
    char addr[WIRE_ADDR_SIZE]; /**< Address on which the sender listens. */
    char dc[WIRE_NAME_SIZE];
};

#endif
