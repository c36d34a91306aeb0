/** @file
 * Actions: what a state machine of the core asks its shell to do.
 *
 * The core hands each action to a sink while it handles an event. Pointers
 * in an action are valid only in that call; the sink copies or encodes what
 * it keeps, and does not call back into the core. */
#ifndef CORE_ACT_H
#define CORE_ACT_H

#include <stdint.h>

#include "base/tab.h"
#include "wire/msg.h"

/** Most pending rows, waiters and the like are found by such numbers. */
typedef uint64_t conn_id;

/** Kind of an action. */
enum act_type {
    ACT_SEND,      /**< Send a message to a process. */
    ACT_REPLY,     /**< Answer a caller's connection. */
    ACT_RUN,       /**< Run a task on the upstream. */
    ACT_STOP,      /**< Stop a task on the upstream. */
    ACT_LINK,      /**< Open or replace the connection to a process. */
    ACT_UNLINK,    /**< Close the connection to a process. */
    ACT_LOG_EVENT, /**< Log a decision on a job. */
};

/** Kind of a decision that is logged. */
enum log_event_type {
    LOG_EVENT_RETRIED,  /**< A task goes back into the queue. */
    LOG_EVENT_LATE,     /**< A job can no longer end when it is wanted. */
    LOG_EVENT_LOST,     /**< The agent of a task is gone or silent. */
    LOG_EVENT_ORPHANED, /**< A task ends because its entry is not heard. */
    LOG_EVENT_REFUSED,  /**< An agent refuses a start. */
};

/** A decision on a job, with what decided it. */
struct act_log_event {
    enum log_event_type type;
    uint64_t job; /**< The caller's name for it. */
    uint32_t task;
    uint32_t attempt;
    enum code code;
    const char *node;  /**< Process that it concerns, "" for none. */
    uint64_t age_us;   /**< Since that process was last heard. */
    uint32_t free_cpu; /**< Of the upstream, as believed here. */
    uint32_t waiting;  /**< Tasks that wait here for the service. */
};

/** Send a message; batched by the shell. */
struct act_send {
    uint64_t to; /**< Incarnation. */
    const struct msg *msg;
};

/** Answer a caller. */
struct act_reply {
    conn_id conn;
    const struct answer *answer;
};

/** Run a task on the upstream. */
struct act_run {
    tab_handle task; /**< Given back with the outcome. */
    const struct msg_start *start;
};

/** Stop a running task. */
struct act_stop {
    tab_handle task;
};

/** Connection to a process. */
struct act_link {
    uint64_t peer; /**< Incarnation. */
    const char *addr;
};

/** One action. */
struct act {
    enum act_type type;
    union {
        struct act_send send;
        struct act_reply reply;
        struct act_run run;
        struct act_stop stop;
        struct act_link link;
        struct act_log_event log_event;
    } u;
};

/** Where actions go. */
struct act_sink {
    void (*emit)(void *context, const struct act *act);
    void *context;
};

/** Hand one action to the sink. */
static inline void
Act_Emit(const struct act_sink *sink, const struct act *act)
{
    sink->emit(sink->context, act);
}

/** Hand over a decision for the log. */
static inline void
Act_LogEvent(const struct act_sink *sink, const struct act_log_event *note)
{
    struct act act = {.type = ACT_LOG_EVENT, .u.log_event = *note};
    sink->emit(sink->context, &act);
}

/** Hand over a message for a process. */
static inline void
Act_Send(const struct act_sink *sink, uint64_t to, const struct msg *msg)
{
    struct act act = {.type = ACT_SEND, .u.send = {to, msg}};
    sink->emit(sink->context, &act);
}

#endif
