/** @file
 * The one event loop of a process, on libwebsockets. */
#ifndef SHELL_LOOP_H
#define SHELL_LOOP_H

#include <libwebsockets.h>

#include "base/err.h"
#include "core/clock.h"

struct loop;

/** Called at the end of each round of events. */
typedef void loop_flush(void *context);

/** The event loop. */
struct loop {
    struct lws_context *lws;
    struct lws_vhost *timer_vhost;
    loop_flush *flush;
    void *flush_context;
    int stopping;
};

/** Make the loop. CODE_SYSTEM on failure. */
int Loop_Init(struct loop *loop, struct err *err);

/** Free it. */
void Loop_Finish(struct loop *loop);

/** Run until Loop_Stop(). */
void Loop_Run(struct loop *loop);

/** Make Loop_Run() return. */
void Loop_Stop(struct loop *loop);

/** Call `flush` after each round of events. */
void Loop_OnFlush(struct loop *loop, loop_flush *flush, void *context);

/** The time now. */
struct now Loop_Now(void);

/** A timer that calls again and again. */
struct loop_timer {
    int fd;
    void (*fire)(void *context);
    void *context;
};

/** Call `fire` every `period_us` from now on, until the loop is freed.
 * Returns -1 when the system has no timer left. */
int Loop_Every(struct loop *loop, struct loop_timer *timer, uint64_t period_us,
               void (*fire)(void *context), void *context);

#endif
