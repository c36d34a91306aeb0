/** @file
 * Event loop of a process, on libwebsockets. */
#ifndef SHELL_LOOP_H
#define SHELL_LOOP_H

#include <libwebsockets.h>

#include "base/err.h"
#include "core/clock.h"
#include "shell/intake.h"

struct loop;

/** Called at the end of each iteration of the loop. */
typedef void loop_flush(void *context);

/** An event loop. */
struct loop {
    struct lws_context *lws;
    struct lws_vhost *timer_vhost;
    loop_flush *flush;
    void *flush_context;
    int stopping;
    struct intake intake;  /**< Shared by the HTTP servers of the process. */
    struct intake replies; /**< Memory of unfinished answers, shared by its
                                HTTP clients. */
    uint64_t reply_logged_us; /**< Latest log line about a dropped answer. */
};

/** Initialise the loop. Error: CODE_SYSTEM. */
int Loop_Init(struct loop *loop, struct err *err);

/** Set the limits of its budgets for a machine with `memory_mb` of memory and
 * a process with `descriptors` descriptors, 0 for those of the operating
 * system. To be called before servers and clients are initialised. */
void Loop_SetLimits(struct loop *loop, uint64_t memory_mb,
                    uint64_t descriptors);

/** Free the loop and close all its connections and timers. */
void Loop_Finish(struct loop *loop);

/** Run until Loop_Stop(). */
void Loop_Run(struct loop *loop);

/** Make Loop_Run() return after the current iteration. */
void Loop_Stop(struct loop *loop);

/** Call `flush` at the end of each iteration, in place of any earlier
 * callback. */
void Loop_OnFlush(struct loop *loop, loop_flush *flush, void *context);

/** Return the current time: `us` counts microseconds since boot, time in
 * suspend included, and `wall` Unix seconds. */
struct now Loop_Now(void);

/** A periodic timer. */
struct loop_timer {
    int fd;
    void (*fire)(void *context);
    void *context;
};

/** Call `fire` every `period_us` until the loop is freed; `timer` must stay
 * valid until then. Returns -1 when no timer can be created. */
int Loop_Every(struct loop *loop, struct loop_timer *timer, uint64_t period_us,
               void (*fire)(void *context), void *context);

#endif
