#include "shell/call_queue.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

static void
free_item(struct queued_call *item)
{
    free((void *)item->call.addr);
    free((void *)item->call.body.data);
    free(item->path);
    free(item->id);
    free(item);
}

static struct queued_call *
make_item(struct call_queue *queue, const struct hc_call *call)
{
    struct queued_call *item = calloc(1, sizeof(*item));
    void *body = malloc(call->body.size + 1);
    if (!item || !body) {
        abort();
    }
    memcpy(body, call->body.data, call->body.size);
    item->queue = queue;
    item->call = *call;
    item->call.body.data = body;
    item->call.addr = strdup(call->addr);
    item->path = strdup(call->path);
    item->id = strdup(call->extra_value);
    if (!item->call.addr || !item->path || !item->id) {
        abort();
    }
    item->call.path = item->path;
    item->call.extra_value = item->id;
    return item;
}

void
Cq_Init(struct call_queue *queue, struct httpc *http, uint32_t connections,
        uint32_t reserved, int (*begin)(void *context),
        struct counters *counters)
{
    *queue = (struct call_queue){.http = http,
                                 .counters = counters,
                                 .max_in_flight = connections - reserved,
                                 .begin = begin};
}

void
Cq_Finish(struct call_queue *queue)
{
    struct queued_call *item;
    struct queued_call *next;
    DL_FOREACH_SAFE(queue->waiting, item, next)
    {
        DL_DELETE(queue->waiting, item);
        free(item->call.context);
        free_item(item);
    }
}

static void send_waiting(struct call_queue *queue);

static void
on_done(void *context, const struct hc_result *result)
{
    struct queued_call *item = context;
    struct call_queue *queue = item->queue;
    hc_done *done = item->call.done;
    void *call_context = item->call.context;
    queue->in_flight--;
    free_item(item);
    done(call_context, result);
    send_waiting(queue);
}

/* Returns -1 if no connection is free. */
static int
send_item(struct call_queue *queue, struct queued_call *item)
{
    struct hc_call call = item->call;
    call.done = on_done;
    call.context = item;
    if (Hc_Call(queue->http, &call)) {
        return -1;
    }
    queue->in_flight++;
    return 0;
}

static void
fail_first(struct call_queue *queue)
{
    struct hc_result not_sent = {0};
    struct queued_call *item = queue->waiting;
    CTR_INC(queue->counters, actions_dropped);
    DL_DELETE(queue->waiting, item);
    item->call.done(item->call.context, &not_sent);
    free_item(item);
}

static void
send_waiting(struct call_queue *queue)
{
    while (queue->waiting && queue->in_flight < queue->max_in_flight) {
        struct queued_call *item = queue->waiting;
        if (queue->begin(item->call.context)) {
            fail_first(queue);
        }
        else if (send_item(queue, item) == 0) {
            DL_DELETE(queue->waiting, item);
        }
        else {
            return;
        }
    }
}

void
Cq_Add(struct call_queue *queue, const struct hc_call *call, int is_urgent)
{
    struct queued_call *item = make_item(queue, call);
    int may_send = is_urgent || (!queue->waiting &&
                                 queue->in_flight < queue->max_in_flight);
    if (may_send && queue->begin(call->context) == 0 &&
        send_item(queue, item) == 0) {
        return;
    }
    CTR_INC(queue->counters, calls_queued);
    if (is_urgent) {
        DL_PREPEND(queue->waiting, item);
    }
    else {
        DL_APPEND(queue->waiting, item);
    }
}

void
Cq_OnTick(struct call_queue *queue)
{
    send_waiting(queue);
    while (queue->waiting && queue->in_flight == 0) {
        fail_first(queue);
        send_waiting(queue);
    }
}
