#include "call.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Maximum number of concurrent stop requests. */
#define MAX_STOP_REQUESTS 8
#define STOP_TIMEOUT_MS 1000
/* Time allowed for an upstream to respond after the lease has expired. */
#define LEASE_GRACE_MS 30000

/* A task run at the upstream. */
struct call {
    struct calls *calls;
    struct call *prev, *next;
    tab_handle task;
    uint64_t start_us;
    char addr[WIRE_ADDR_SIZE];
    char path[HS_PATH_SIZE];
    int starting; /* Call_Run() has not returned yet. */
    int failed;   /* The request could not be sent. */
};

int
Call_Init(struct calls *calls, struct loop *loop, call_ended *ended,
          void *context, struct counters *counters, struct err *err)
{
    memset(calls, 0, sizeof(*calls));
    calls->ended = ended;
    calls->context = context;
    calls->counters = counters;
    if (Hc_Init(&calls->run_client, loop, HC_MAX_CALLS, err) ||
        Hc_Init(&calls->stop_client, loop, MAX_STOP_REQUESTS, err)) {
        return -1;
    }
    return 0;
}

void
Call_Finish(struct calls *calls)
{
    struct call *call;
    struct call *next;
    DL_FOREACH_SAFE(calls->running, call, next)
    {
        free(call);
    }
    Hc_Finish(&calls->run_client);
    Hc_Finish(&calls->stop_client);
}

static enum code
code_of(const struct hc_result *result)
{
    if (result->status == 200) {
        return CODE_OK;
    }
    if (result->status != 0) {
        return CODE_TASK_FAILED;
    }
    return result->sent ? CODE_OUTCOME_UNKNOWN : CODE_NO_UPSTREAM;
}

static void
end_call(struct call *call, enum code code, struct bytes output)
{
    struct calls *calls = call->calls;
    uint32_t run_us = (uint32_t)(Loop_Now().us - call->start_us);
    DL_DELETE(calls->running, call);
    if (code != CODE_OK) {
        CTR_INC(calls->counters, upstream_errors);
    }
    calls->ended(calls->context, call->task, code, output, run_us);
    free(call);
}

static void
on_done(void *context, const struct hc_result *result)
{
    struct call *call = context;
    if (call->starting) {
        call->failed = 1;
        return;
    }
    end_call(call, code_of(result), result->body);
}

void
Call_Run(struct calls *calls, tab_handle task, const char *addr,
         const char *path, struct bytes input, uint32_t lease_ms)
{
    struct call *call = calloc(1, sizeof(*call));
    if (!call) {
        abort();
    }
    call->calls = calls;
    call->task = task;
    call->start_us = Loop_Now().us;
    strncpy(call->addr, addr, sizeof(call->addr) - 1);
    strncpy(call->path, path, sizeof(call->path) - 1);
    DL_APPEND(calls->running, call);
    struct hc_call http = {
        .addr = call->addr,
        .method = "POST",
        .path = call->path,
        .body = input,
        .timeout_ms = lease_ms + LEASE_GRACE_MS,
        .done = on_done,
        .context = call,
    };
    if (input.size == 0) {
        http.body = (struct bytes){"{}", 2};
    }
    call->starting = 1;
    if (Hc_Call(&calls->run_client, &http)) {
        call->failed = 1;
    }
    call->starting = 0;
}

static void
on_stop_response(void *context, const struct hc_result *result)
{
    (void)context;
    (void)result;
}

void
Call_Stop(struct calls *calls, tab_handle task)
{
    struct call *call;
    DL_SEARCH_SCALAR(calls->running, call, task, task);
    if (!call) {
        return;
    }
    char path[HS_PATH_SIZE];
    size_t size = strcspn(call->path, "?");
    memcpy(path, call->path, size);
    path[size] = '\0';
    struct hc_call http = {
        .addr = call->addr,
        .method = "DELETE",
        .path = path,
        .timeout_ms = STOP_TIMEOUT_MS,
        .done = on_stop_response,
    };
    /* No error handling: if too many requests are in progress, the core asks
     * for the stop again. */
    Hc_Call(&calls->stop_client, &http);
}

void
Call_Flush(struct calls *calls)
{
    struct call *call;
    struct call *next;
    DL_FOREACH_SAFE(calls->running, call, next)
    {
        if (call->failed) {
            end_call(call, CODE_NO_UPSTREAM, (struct bytes){NULL, 0});
        }
    }
}
