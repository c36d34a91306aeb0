/** @file
 * Client of an upstream that speaks this project's own protocol: an agent
 * runs each task with one HTTP request and stops it with another. */
#ifndef DAEMON_CALL_H
#define DAEMON_CALL_H

#include "base/tab.h"
#include "shell/httpc.h"
#include "shell/httpd.h"

/** Called exactly once for each task when its call has ended, never from
 * within Call_Run(). `code` is CODE_OK, CODE_TASK_FAILED, CODE_NO_UPSTREAM if
 * the request did not reach the upstream, or CODE_OUTCOME_UNKNOWN if it may
 * have and no response came. `output` is valid only in the callback. */
typedef void call_ended(void *context, tab_handle task, enum code code,
                        struct bytes output, uint32_t run_us);

struct call;

/** The calls in progress to one upstream. */
struct calls {
    struct httpc run_client;
    struct httpc stop_client;
    struct call *running; /**< List of calls that have not ended. */
    call_ended *ended;
    void *context;
    struct counters *counters;
};

/** Initialises the HTTP clients. Returns -1 and sets `err` on failure. */
int Call_Init(struct calls *calls, struct loop *loop, call_ended *ended,
              void *context, struct counters *counters, struct err *err);

/** Frees all calls and both clients, without callbacks. Call it after
 * Loop_Finish(). */
void Call_Finish(struct calls *calls);

/** Runs a task: sends POST `path` to `addr` ("ip:port") with `input` as the
 * body, or "{}" if it is empty. The upstream is expected to respond within
 * `lease_ms`; the request times out 30 s after that. */
void Call_Run(struct calls *calls, tab_handle task, const char *addr,
              const char *path, struct bytes input, uint32_t lease_ms);

/** Asks the upstream to stop a task: sends DELETE to its path. The task ends
 * when its own call ends. Does nothing for an unknown task. */
void Call_Stop(struct calls *calls, tab_handle task);

/** Ends the calls that could not be sent, with CODE_NO_UPSTREAM. Call it once
 * in each iteration of the loop. */
void Call_Flush(struct calls *calls);

#endif
