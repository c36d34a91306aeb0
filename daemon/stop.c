/* Signal handling and graceful stop. */
#include <signal.h>
#include <stddef.h>

#include "daemon.h"

static volatile sig_atomic_t stop_signals;
static volatile sig_atomic_t reload_pending;

static void
on_stop_signal(int number)
{
    (void)number;
    stop_signals++;
}

static void
on_reload_signal(int number)
{
    (void)number;
    reload_pending = 1;
}

int
Stop_TakeReload(void)
{
    int pending = reload_pending;
    reload_pending = 0;
    return pending;
}

void
Stop_Init(void)
{
    struct sigaction reload = {.sa_handler = on_reload_signal};
    sigaction(SIGHUP, &reload, NULL);
    struct sigaction action = {.sa_handler = on_stop_signal};
    sigaction(SIGTERM, &action, NULL);
    sigaction(SIGINT, &action, NULL);
    signal(SIGPIPE, SIG_IGN);
}

enum stop_step
Stop_Step(struct stop *stop, struct now now, int requested, int is_idle,
          int64_t limit_s)
{
    if (stop_signals > 1) {
        return STOP_END;
    }
    if (!stop->deadline_us) {
        if (!requested && stop_signals == 0) {
            return STOP_NOTHING;
        }
        stop->deadline_us = now.us + (uint64_t)limit_s * US_PER_S;
        return STOP_BEGIN;
    }
    if (!is_idle) {
        stop->idle_since_us = 0;
    }
    else if (!stop->idle_since_us) {
        stop->idle_since_us = now.us;
    }
    int flushed =
        stop->idle_since_us && now.us - stop->idle_since_us >= STOP_FLUSH_US;
    return flushed || now.us >= stop->deadline_us ? STOP_END : STOP_NOTHING;
}
