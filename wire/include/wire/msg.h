/** @file
 * Typed messages between our processes. */
#ifndef WIRE_MSG_H
#define WIRE_MSG_H

#include <stdint.h>

#include "base/code.h"
#include "wire/key.h"

/** Version of the messages; a frame of another version is refused. */
#define WIRE_VERSION 3
/** Most tasks in a job. */
#define WIRE_MAX_TASKS 820
/** Task number that stands for all tasks of a key. */
#define WIRE_ALL_TASKS UINT32_MAX
/** Highest task number that a caller may use. */
#define WIRE_MAX_TASK_NO 0x7fffffffu
/** Room for a name (service, kind, team, node, data centre, rack). */
#define WIRE_NAME_SIZE 32
/** Room for an address, "ip:port". */
#define WIRE_ADDR_SIZE 48
/** Most labels of a worker. */
#define WIRE_MAX_LABELS 8
/** Most steps of a job. */
#define WIRE_MAX_STEPS 64
/** Most issuer numbers in one message. */
#define WIRE_MAX_ISSUERS 64

/** Bytes owned by somebody else. */
struct bytes {
    const void *data;
    uint32_t size;
};

/** An amount of what a worker offers beside its slots. */
struct resources {
    uint32_t cpu; /**< Thousandths of a core. */
    uint32_t memory_mb;
    uint32_t gpu;
};

/** What a worker is called by those who ask for one of a kind or a place. */
struct labels {
    uint32_t count;
    char names[WIRE_MAX_LABELS][WIRE_NAME_SIZE];
};

/** True when all of `some` are among them. */
int Labels_HasAll(const struct labels *labels, const struct labels *some);

/** Add one; NULL, one that is too long and one too many are left out. */
void Labels_Add(struct labels *labels, const char *label);

/** True when `label` is among them, or "". */
int Labels_Has(const struct labels *labels, const char *label);

/** Epoch of an issuer's owner, ordered by `n`, then by `owner`. */
struct epoch {
    uint64_t n;
    uint64_t owner; /**< Incarnation of the owning entry. */
};

/** <0, 0 or >0 as `a` is below, equal to or above `b`. */
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

/** What a process is. */
enum role { ROLE_ENTRY = 1, ROLE_AGENT = 2 };

/** Priority classes; the most urgent first. */
enum priority { PRIO_URGENT = 0, PRIO_NORMAL = 1, PRIO_BULK = 2, PRIO_COUNT };

/** State of a task as an agent remembers it. */
enum task_state {
    TASK_REFUSED = 1, /**< Not run, and not to be run by this attempt. */
    TASK_RUNNING = 2,
    TASK_FINISHED = 3,  /**< Ended well; the output is known. */
    TASK_FAILED = 4,    /**< Ended badly. */
    TASK_DISCARDED = 5, /**< Ended; the output is no longer kept. */
    TASK_WAITING = 6,   /**< Not started; waits at the agent for a slot. */
};

/** Flags of a submission. */
enum sub_flags {
    SUB_IDEMPOTENT = 1, /**< May be run again when its outcome is unknown. */
    SUB_REQUEST = 2,    /**< One call to a service: takes no task slot. */
    SUB_RESTART = 4,    /**< Not kept: its tasks may run again from the start
                             once their earlier runs have surely ended. */
};

/** Flag of a start: also on a worker that fails what it starts. */
#define START_ON_SUSPECT 0x100u

/** One task of a submission. */
struct sub_task {
    uint32_t no;     /**< The caller's number, unique in the job. */
    uint32_t run_ms; /**< Declared run time, 0 when not declared. */
    uint32_t step;   /**< Index of its step, which also orders the numbers. */
    struct bytes input;
};

/** One step of a submission: tasks that start when others have ended. */
struct sub_step {
    struct resources need;      /**< Of each task. */
    char label[WIRE_NAME_SIZE]; /**< That the worker must have, "" for any. */
    char preferred_label[WIRE_NAME_SIZE]; /**< Label of the workers beside the
                                    step's data, "" for none. */
    uint32_t
        max_per_worker; /**< Most tasks on one worker, 0 for any number. */
    uint8_t
        prefer_one_rack; /**< Its tasks are slower on more racks than one. */
    uint64_t after; /**< Bit for each earlier step that has to end first. */
};

/** A job as a caller submits it. */
struct submission {
    struct key key;
    char service[WIRE_NAME_SIZE];
    char kind[WIRE_NAME_SIZE];
    char team[WIRE_NAME_SIZE];
    uint32_t deadline_ms; /**< From now. */
    uint32_t memory_mb;   /**< Declared size, 0 when not declared. */
    uint32_t cores;       /**< Declared size, 0 when not declared. */
    enum priority priority;
    unsigned flags; /**< enum sub_flags. */
    uint32_t task_count;
    const struct sub_task *tasks;
    /* Of jobs with SUB_RESTART only, which are never passed on. */
    uint64_t name;       /**< The caller's name for the job. */
    uint32_t step_count; /**< 0: one step that needs only slots. */
    const struct sub_step *steps;
    uint32_t max_attempts;    /**< Failed runs of a task that end the job. */
    uint32_t target_ms;       /**< Response time beyond the stretched work. */
    uint32_t stretch_percent; /**< Wanted response over the longest task. */
};

/** One task's outcome. */
struct answer_task {
    uint32_t no;
    enum code code;
    struct bytes output;
};

/** The whole answer to a submission. */
struct answer {
    struct key key;
    enum code code;
    char detail[WIRE_ADDR_SIZE]; /**< What the code is about, may be "". */
    uint32_t retry_after_ms;     /**< 0 when a retry is of no use. */
    uint32_t task_count;         /**< 0 unless complete. */
    const struct answer_task *tasks;
};

/** An issuer number with the epoch of its owner. */
struct issuer_epoch {
    uint64_t issuer;
    struct epoch epoch;
};

/** Kind of a message; numbers on the wire. */
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
    MSG_JOB_REQUEST,
    MSG_STATE,
    MSG_RESULT_ACK,
    MSG_HANDOVER,
    MSG_HANDOVER_ACK,
    MSG_VERSION,
    MSG_USAGE,
};

/** Heartbeat, both ways. */
struct msg_heartbeat {
    uint64_t sent_us; /**< Sender's monotonic time. */
    uint64_t echo_us; /**< Latest `sent_us` from the receiver, 0 for none. */
    uint64_t version; /**< Registry version that the sender has applied. */
    uint8_t draining; /**< The sender is stopping. */
};

/** Agent to entry: what its upstream offers. */
struct msg_agent_status {
    char service[WIRE_NAME_SIZE]; /**< "" when no upstream has announced. */
    uint32_t slots;
    uint32_t busy;
    uint32_t receiver_busy; /**< Of these, taken by the receiver's tasks. */
    uint32_t connections;
    uint32_t memory_mb;
    uint32_t cores;
    struct resources capacity; /**< All 0 where only slots count. */
    struct resources used;
    struct resources receiver_used; /**< Of these, by the receiver's tasks. */
    uint64_t registered; /**< Version of the agent's registration. */
    uint8_t suspect;     /**< The worker is out for its failures. */
    uint8_t leaving;
    struct labels labels;
};

/** Entry to entry: the ranges that it owns. */
struct msg_issuers {
    uint32_t count;
    struct issuer_epoch items[WIRE_MAX_ISSUERS];
};

/** Owner to agent: start a task. */
struct msg_start {
    struct key key;
    struct epoch epoch;
    uint32_t task;
    uint32_t attempt;
    uint32_t deadline_ms; /**< From now. */
    uint32_t lease_ms;    /**< The task may run this long. */
    unsigned flags;       /**< enum sub_flags. */
    enum priority priority;
    uint32_t hold_ms; /**< May wait this long for a slot, 0 for not. */
    char kind[WIRE_NAME_SIZE];
    char team[WIRE_NAME_SIZE];
    uint64_t body_hash; /**< Of the whole submission that it belongs to. */
    struct bytes input;
    uint64_t name; /**< The caller's name for the job, 0 for none. */
    struct resources need;
    uint32_t expect_ms;          /**< Expected run time. */
    uint64_t agent_heartbeat_us; /**< Time of the agent's latest heartbeat that
                            the sender had heard, on the agent's clock. */
    char label[WIRE_NAME_SIZE];  /**< That the worker must have, "" for any. */
};

/** Agent to owner: a task's outcome, or a refusal of a start. As
 * MSG_TASK_RECORD, agent to taker: what is remembered of a task. */
struct msg_result {
    struct key key;
    struct epoch epoch; /**< Highest epoch that the agent knows. */
    uint32_t task;
    uint32_t attempt;
    enum task_state state;
    enum code code;
    uint32_t run_us;
    uint32_t busy;          /**< Slots taken at the agent after this. */
    uint32_t receiver_busy; /**< Of these, taken by the receiver's tasks. */
    struct resources used;  /**< At the agent after this. */
    struct resources receiver_used; /**< Of these, by the receiver's tasks. */
    uint64_t body_hash; /**< The one of the start; MSG_TASK_RECORD only. */
    uint32_t report; /**< Report that it belongs to; MSG_TASK_RECORD only. */
    uint32_t index;  /**< Place in the report, from 0; MSG_TASK_RECORD only. */
    struct bytes output;
};

/** Owner to agent: the caller has read the answer; drop the outputs. */
struct msg_release {
    struct key key;
};

/** Owner to agent: stop the job's tasks, start no more of them. */
struct msg_cancel {
    struct key key;
    struct epoch epoch;
};

/** Taker to agent: refuse lower epochs; report what was started. */
struct msg_fence {
    uint64_t issuer;
    struct epoch epoch;
};

/** Agent to taker: all starts have been reported, or a refusal. */
struct msg_fenced {
    uint64_t issuer;
    struct epoch epoch;       /**< Highest epoch that the agent knows. */
    uint32_t report;          /**< Number of this report, rising. */
    uint32_t count;           /**< MSG_TASK_RECORD records in the report. */
    uint32_t expired_until_s; /**< The agent's forgetting watermark. */
};

/** What an entry asks the owner of a job. */
enum job_request {
    JOB_REQUEST_STATE = 0,
    JOB_REQUEST_WAIT = 1,
    JOB_REQUEST_CANCEL = 2
};

/** Entry to owner: a question about a job, answered with MSG_ANSWER. */
struct msg_job_request {
    struct key key;
    enum job_request what;
    uint64_t conn; /**< The asking entry's handle, echoed in the answer. */
};

/** Entry to owner: a submission taken in for it. */
struct msg_submit {
    struct submission sub;
    uint64_t conn; /**< The asking entry's handle, echoed in the answer. */
};

/** Owner to entry: the whole answer. */
struct msg_answer {
    struct answer answer;
    uint64_t conn;
};

/** Entry to agent, and entry to entry: rows of the shared state, as JSON. */
struct msg_state {
    uint64_t version;
    struct bytes rows;
};

/** Owner to a stopping agent: the outcome of a task is safe here. */
struct msg_result_ack {
    struct key key;
    uint32_t task;
};

/** Stopping owner to its successor: an answered job, or, with `last` set
 * and only the issuer of the key of use, the end of a range. */
struct msg_handover {
    struct answer answer;
    uint64_t body_hash;
    struct epoch epoch; /**< Under which the sender owned the range. */
    uint8_t last;
};

/** Successor to stopping owner: it has what MSG_HANDOVER told. */
struct msg_handover_ack {
    struct key key;
    struct epoch epoch; /**< Of the range at the successor. */
    uint8_t last;
};

/** Age of a freshness that the sender does not have. */
#define WIRE_AGE_UNKNOWN UINT64_MAX

/** Any to any: what the sender has applied. It answers the receiver's
 * message of time `echo_us`, so it shows what was known after that. */
struct msg_version {
    uint64_t config;    /**< Version of the configuration. */
    uint64_t members;   /**< Version of the table service's rows; entries. */
    uint64_t sent_us;   /**< Sender's monotonic time. */
    uint64_t echo_us;   /**< Latest `sent_us` from the receiver, 0 for none. */
    uint64_t age_us;    /**< Since the sender's configuration was known to be
                             the newest; WIRE_AGE_UNKNOWN for too long. */
    uint8_t store_read; /**< Has read the table service since it started. */
};

/** Most teams in one report. */
#define WIRE_MAX_USAGE 32

/** A team's part of its quota. */
struct usage_item {
    char service[WIRE_NAME_SIZE];
    char team[WIRE_NAME_SIZE];
    uint32_t slots;      /**< Reserved by the sender. */
    uint8_t has_waiting; /**< Tasks of the team wait at the sender. */
};

/** Entry to entry: the slots that it has reserved for teams with a quota. */
struct msg_usage {
    uint32_t count;
    struct usage_item items[WIRE_MAX_USAGE];
};

/** One message. */
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
        struct msg_job_request job_request;
        struct msg_state state;
        struct msg_result_ack result_ack;
        struct msg_handover handover;
        struct msg_handover_ack handover_ack;
        struct msg_version version;
        struct msg_usage usage;
    } u;
};

/** Who sent a frame, and to whom. */
struct frame_header {
    uint64_t from; /**< Incarnation of the sender. */
    uint64_t to;   /**< Incarnation of the receiver, 0 when not yet known. */
    enum role role;
    char node[WIRE_NAME_SIZE];
    char addr[WIRE_ADDR_SIZE]; /**< Where the sender listens. */
    char dc[WIRE_NAME_SIZE];
};

#endif
