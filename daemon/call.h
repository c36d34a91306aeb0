/** @file
 * Calls of an agent to its upstream: tasks being run, and orders to stop
 * them. */
#ifndef DAEMON_CALL_H
#define DAEMON_CALL_H

#include "base/tab.h"
#include "shell/httpc.h"
#include "shell/httpd.h"

/** Called once for each task, never from Call_Run(). CODE_OK,
 * CODE_TASK_FAILED, CODE_NO_UPSTREAM when the upstream was not reached, or
 * CODE_OUTCOME_UNKNOWN when its answer was lost. */
typedef void call_ended(void *context, tab_handle task, enum code code,
                        struct bytes output, uint32_t run_us);

struct call;

/** Calls to one upstream. */
struct calls {
    struct httpc run_client;
    struct httpc stop_client;
    struct call *running;
    call_ended *ended;
    void *context;
    struct counters *counters;
};

/** Make the clients. */
int Call_Init(struct calls *calls, struct loop *loop, call_ended *ended,
              void *context, struct counters *counters, struct err *err);

/** Free them, after the loop. */
void Call_Finish(struct calls *calls);

/** Run a task: POST `path` at `addr`. The call is cut only when the upstream
 * has not ended it long after `lease_ms`. */
void Call_Run(struct calls *calls, tab_handle task, const char *addr,
              const char *path, struct bytes input, uint32_t lease_ms);

/** Order a task to be stopped: DELETE at its path. The task ends when its
 * call does. */
void Call_Stop(struct calls *calls, tab_handle task);

/** Report the calls that could not be made. */
void Call_Flush(struct calls *calls);

#endif
