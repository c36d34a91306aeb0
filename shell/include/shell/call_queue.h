/** @file
 * Calls that wait for a connection of an HTTP client. A call is sent at once
 * if one is free, else in the order of arrival. */
#ifndef SHELL_CALL_QUEUE_H
#define SHELL_CALL_QUEUE_H

#include "base/counter.h"
#include "shell/httpc.h"

/** A call that waits, or has been sent. */
struct queued_call {
    struct queued_call *prev, *next;
    struct call_queue *queue;
    struct hc_call call; /**< Its body and address are owned. */
    char *path;
    char *id;
};

/** A queue in front of a client. Its user bounds its length. */
struct call_queue {
    struct httpc *http;
    struct counters *counters;
    struct queued_call *waiting; /**< utlist. */
    uint32_t in_flight;
    uint32_t max_in_flight; /**< Of calls that are not urgent. */
    /** Called with the context of a call that is about to be sent. Returns -1
     * if it must not be sent any more; its callback is then told that it was
     * not. */
    int (*begin)(void *context);
};

/** Initialise a queue in front of `http`. `reserved` of its `connections` are
 * left for urgent calls and for other users of the client. */
void Cq_Init(struct call_queue *queue, struct httpc *http,
             uint32_t connections, uint32_t reserved,
             int (*begin)(void *context), struct counters *counters);

/** Free the calls that wait, and their contexts. Their callbacks are not
 * called. */
void Cq_Finish(struct call_queue *queue);

/** Send a call, now or when a connection is free. All members of `call` are
 * copied but `extra_name`; `extra_value` is required. The callback runs from
 * the loop or from Cq_OnTick(), never from within. */
void Cq_Add(struct call_queue *queue, const struct hc_call *call,
            int is_urgent);

/** Send what waits. End as not sent what cannot be sent although nothing is in
 * flight. */
void Cq_OnTick(struct call_queue *queue);

#endif
