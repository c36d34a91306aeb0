/** @file
 * Actions: requests of the core's state machines to the process around them,
 * which performs all input and output.
 *
 * The core passes each action to a sink while it handles an event. Pointers in
 * an action are valid only during that call: the sink copies or encodes what
 * it keeps. It must not call back into the core. */
#ifndef CORE_ACT_H
#define CORE_ACT_H

#include <stdint.h>

#include "base/tab.h"
#include "wire/msg.h"

/** Identifies who waits for a reply: a caller's connection at this entry, or a
 * request of the entry that forwarded it. */
typedef uint64_t conn_id;

/** Type of an action. */
enum act_type {
    ACT_SEND,      /**< Send a message to a peer. */
    ACT_REPLY,     /**< Answer a caller. */
    ACT_RUN,       /**< Run a task on the upstream. */
    ACT_STOP,      /**< Stop a task on the upstream. */
    ACT_LINK,      /**< Open or replace the connection to a peer. */
    ACT_UNLINK,    /**< Close the connection to a peer. */
    ACT_LOG_EVENT, /**< Log a scheduling decision. */
};

/** Scheduling decisions that are logged. */
enum log_event_type {
    LOG_EVENT_RETRIED, /**< A task is put back into the queue. */
    LOG_EVENT_LATE, /**< A job can no longer meet its target response time. */
    LOG_EVENT_LOST, /**< The agent of a task has left or timed out. */
    LOG_EVENT_ORPHANED,    /**< A task is ended because its entry timed out. */
    LOG_EVENT_REFUSED,     /**< An agent refuses a start. */
    LOG_EVENT_CANCELLED,   /**< A cancellation arrives at an agent that has
                                tasks of the job. */
    LOG_EVENT_UNCONFIRMED, /**< An agent has not confirmed a cancellation,
                              which is sent no more. */
    LOG_EVENT_SUSPECTED,   /**< An upstream has crashed under a task;
                                `attempt` is how often. */
    LOG_EVENT_CONFINED,    /**< The tasks of a kind, named by `node`, are
                                confined. */
    LOG_EVENT_GIVEN_UP,    /**< A task is not started any more: it crashes
                                upstreams. */
};

/** A scheduling decision and the state that it was based on. */
struct act_log_event {
    enum log_event_type type;
    uint64_t job; /**< Job identifier of the caller. */
    uint32_t task;
    uint32_t attempt;
    enum code code;
    const char *node;  /**< Peer concerned; NULL or "" for none. */
    uint64_t age_us;   /**< Time since the peer was last heard. */
    uint32_t free_cpu; /**< Free thousandths of a core at the upstream, as
                          known here. */
    uint32_t waiting;  /**< Tasks of the service queued here. */
    uint32_t running;  /**< LOG_EVENT_CANCELLED: tasks of the job that run or
                          are held. */
};

/** Send a message. Messages to the same peer are batched into frames. */
struct act_send {
    uint64_t to; /**< Incarnation of the peer. */
    const struct msg *msg;
};

/** Answer a caller. */
struct act_reply {
    conn_id conn;
    const struct answer *answer;
};

/** Run a task on the upstream. */
struct act_run {
    tab_handle task; /**< Returned with the outcome. */
    const struct msg_start *start;
};

/** Stop a running task on the upstream. */
struct act_stop {
    tab_handle task;
};

/** Open, replace or close the connection to a peer. */
struct act_link {
    uint64_t peer;    /**< Incarnation of the peer. */
    const char *addr; /**< ACT_LINK only. */
};

/** An action; `type` selects the member of the union. ACT_LINK and ACT_UNLINK
 * both use `link`. */
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

/** Receiver of actions. */
struct act_sink {
    void (*emit)(void *context, const struct act *act);
    void *context;
};

/** Pass an action to the sink. */
static inline void
Act_Emit(const struct act_sink *sink, const struct act *act)
{
    sink->emit(sink->context, act);
}

/** Request that a scheduling decision be logged. */
static inline void
Act_LogEvent(const struct act_sink *sink, const struct act_log_event *event)
{
    struct act act = {.type = ACT_LOG_EVENT, .u.log_event = *event};
    sink->emit(sink->context, &act);
}

/** Request that a message be sent to the peer with incarnation `to`. */
static inline void
Act_Send(const struct act_sink *sink, uint64_t to, const struct msg *msg)
{
    struct act act = {.type = ACT_SEND, .u.send = {to, msg}};
    sink->emit(sink->context, &act);
}

#endif
