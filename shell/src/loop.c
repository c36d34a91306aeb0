#include "shell/loop.h"

#include <string.h>
#include <time.h>

#include "base/log.h"

/* lws gives up on an answer after this, by default after 5 s; a call's own
 * timeout is shorter. */
#define WAIT_LIMIT_S 7200

int
Loop_Init(struct loop *loop, struct err *err)
{
    struct lws_context_creation_info info = {0};
    memset(loop, 0, sizeof(*loop));
    lws_set_log_level(LLL_ERR, NULL);
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
    info.pt_serv_buf_size = 32 * 1024;
    info.timeout_secs = WAIT_LIMIT_S;
    loop->lws = lws_create_context(&info);
    if (!loop->lws) {
        return Err_Set(err, CODE_SYSTEM, "cannot make the event loop");
    }
    return 0;
}

void
Loop_Finish(struct loop *loop)
{
    lws_context_destroy(loop->lws);
    loop->lws = NULL;
}

void
Loop_Run(struct loop *loop)
{
    while (!loop->stopping && lws_service(loop->lws, 0) >= 0) {
        if (loop->flush) {
            loop->flush(loop->flush_context);
        }
    }
}

void
Loop_Stop(struct loop *loop)
{
    loop->stopping = 1;
    lws_cancel_service(loop->lws);
}

void
Loop_OnFlush(struct loop *loop, loop_flush *flush, void *context)
{
    loop->flush = flush;
    loop->flush_context = context;
}

struct now
Loop_Now(void)
{
    struct timespec mono;
    struct timespec wall;
    clock_gettime(CLOCK_BOOTTIME, &mono);
    clock_gettime(CLOCK_REALTIME, &wall);
    struct now now = {
        .us = (uint64_t)mono.tv_sec * US_PER_S + (uint64_t)mono.tv_nsec / 1000,
        .wall = (uint32_t)wall.tv_sec,
    };
    return now;
}

static void
on_timer(lws_sorted_usec_list_t *sul)
{
    struct loop_timer *timer = lws_container_of(sul, struct loop_timer, sul);
    lws_sul_schedule(timer->loop->lws, 0, sul, on_timer,
                     (lws_usec_t)timer->period_us);
    timer->fire(timer->context);
}

void
Loop_Every(struct loop *loop, struct loop_timer *timer, uint64_t period_us,
           void (*fire)(void *context), void *context)
{
    memset(timer, 0, sizeof(*timer));
    timer->loop = loop;
    timer->period_us = period_us;
    timer->fire = fire;
    timer->context = context;
    lws_sul_schedule(loop->lws, 0, &timer->sul, on_timer,
                     (lws_usec_t)period_us);
}

void
Loop_Cancel(struct loop_timer *timer)
{
    lws_sul_schedule(timer->loop->lws, 0, &timer->sul, NULL,
                     LWS_SET_TIMER_USEC_CANCEL);
}
