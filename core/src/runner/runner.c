/* Initialisation, announcements of the upstream, leases, stalled runs and
 * periodic work. */
#include "core/runner.h"

#include <stdlib.h>
#include <string.h>

#include "runner_impl.h"

/* A run is stalled when it has made no progress for this many times its
 * estimated run time, and for at least STALL_MIN_US. */
#define STALL_FACTOR 3
#define STALL_MIN_US (400 * US_PER_MS)

int
Rn_Init(struct runner *runner, uint64_t lease_us, uint64_t max_lease_us,
        uint64_t stop_us, struct rn_sink sink, struct counters *counters)
{
    memset(runner, 0, sizeof(*runner));
    runner->lease_us = lease_us;
    runner->max_lease_us = max_lease_us;
    runner->max_stop_us = stop_us;
    runner->sink = sink;
    runner->counters = counters;
    return Tab_Init(&runner->runs, sizeof(struct rn_run), RN_MAX_RUNS);
}

void
Rn_Finish(struct runner *runner)
{
    uint32_t slot = 0;
    struct rn_run *run;
    while ((run = Tab_Next(&runner->runs, &slot))) {
        free((void *)run->input.data);
    }
    HASH_CLEAR(hh, runner->index);
    Tab_Finish(&runner->runs);
}

int
Rn_IsUsable(const struct runner *runner)
{
    return runner->phase == RN_USABLE;
}

void
Rni_SetClock(struct runner *runner, struct now now, uint64_t clock_ms)
{
    if (clock_ms) {
        runner->clock_ms = clock_ms;
        runner->clock_us = now.us;
    }
}

/* The earliest time at which a run must end. A run whose stop has been
 * acknowledged ends without a lease. */
static uint64_t
earliest_limit_us(const struct runner *runner)
{
    uint64_t earliest_us = UINT64_MAX;
    uint32_t slot = 0;
    const struct rn_run *run;
    if (!runner->sink.run_limit) {
        return earliest_us;
    }
    while ((run = Tab_Next(&runner->runs, &slot))) {
        uint64_t limit_us =
            run->state == RN_STOPPED
                ? UINT64_MAX
                : runner->sink.run_limit(runner->sink.context, run->task);
        earliest_us = limit_us < earliest_us ? limit_us : earliest_us;
    }
    return earliest_us;
}

uint64_t
Rni_GrantLease(struct runner *runner, struct now now)
{
    uint64_t limit_us = earliest_limit_us(runner);
    uint64_t end_us = now.us + runner->lease_us;
    end_us = limit_us < end_us ? limit_us : end_us;
    runner->granted_us = now.us;
    if (end_us > runner->leased_until_us) {
        runner->leased_until_us = end_us;
    }
    uint64_t since_us =
        end_us > runner->clock_us ? end_us - runner->clock_us : 0;
    /* The upstream's clock may be slow. */
    since_us = since_us * (100 - RNI_CLOCK_SLACK_PERCENT) / 100;
    return runner->clock_ms + since_us / US_PER_MS;
}

static void
emit(struct runner *runner, enum rn_act_type type)
{
    struct rn_act act = {.type = type};
    runner->sink.emit(runner->sink.context, &act);
}

void
Rni_Disconnect(struct runner *runner)
{
    if (runner->phase == RN_USABLE) {
        emit(runner, RN_GONE);
    }
    runner->phase = RN_UNKNOWN;
}

void
Rn_OnAnnounce(struct runner *runner, struct now now, uint64_t born_ms,
              uint64_t clock_ms)
{
    /* A delayed announcement may be from an earlier instance. */
    if (born_ms < runner->born_ms &&
        runner->answered_born_ms == runner->born_ms) {
        return;
    }
    if (runner->leased_until_us == 0) {
        /* An earlier process may have granted a lease until then. */
        runner->leased_until_us = now.us + runner->lease_us;
    }
    if (born_ms != runner->born_ms) {
        Rni_OnRestart(runner, now, born_ms);
    }
    if (runner->phase == RN_UNKNOWN) {
        runner->phase = RN_READING_CLOCK;
        runner->poll_failures = 0;
        runner->next_poll_us = now.us;
    }
    if (runner->clock_ms == 0) {
        Rni_SetClock(runner, now, clock_ms);
    }
    Rni_Poll(runner, now);
}

void
Rn_Restore(struct runner *runner, struct now now, uint64_t fence)
{
    if (fence > runner->fence) {
        runner->fence = fence;
    }
    runner->late_start_until_us = now.us + RN_MAX_ORDER_DELAY_US;
}

void
Rn_Verify(struct runner *runner, struct now now)
{
    runner->want_short_poll = 1;
    Rni_Poll(runner, now);
}

void
Rni_OnReplyLost(struct runner *runner, struct now now)
{
    runner->late_order_until_us =
        now.us + RN_MAX_ORDER_DELAY_US + runner->lease_us;
    runner->late_orders_are_refused = 0;
}

int
Rni_MayStartLate(const struct runner *runner, struct now now)
{
    return now.us < runner->late_start_until_us;
}

/* True if the lease of a run has expired. It holds for all runs there, so it
 * is the latest one of any order, as computed for a clock that is slow. While
 * an order without an answer may still renew the lease, only a refused
 * connection shows that nothing runs any more, unless that order is a start:
 * the next instance may carry it out. */
static int
is_lease_over(const struct runner *runner, struct now now,
              const struct rn_run *run)
{
    if (!runner->late_orders_are_refused &&
        now.us < runner->late_order_until_us &&
        runner->process_gone_us <= runner->granted_us) {
        return 0;
    }
    if (run->start_unanswered && Rni_MayStartLate(runner, now)) {
        return 0;
    }
    return (run->was_running || run->state == RN_STOPPED) &&
           now.us > runner->leased_until_us + RNI_LEASE_SLACK_US;
}

static int
is_stalled(struct now now, const struct rn_run *run)
{
    uint64_t limit_us = run->estimate_ms * US_PER_MS * STALL_FACTOR;
    uint64_t since_us =
        run->progress_us > run->acked_us ? run->progress_us : run->acked_us;
    if (run->state != RN_RUNNING || run->estimate_ms == 0) {
        return 0;
    }
    return now.us - since_us >
           (limit_us > STALL_MIN_US ? limit_us : STALL_MIN_US);
}

/* Make the upstream usable once all runs of earlier processes have ended. */
static void
check_cleared(struct runner *runner)
{
    uint32_t slot = 0;
    struct rn_run *run;
    if (runner->phase != RN_CLEARING) {
        return;
    }
    while ((run = Tab_Next(&runner->runs, &slot))) {
        if (run->task == 0) {
            return;
        }
    }
    runner->phase = RN_USABLE;
    emit(runner, RN_READY);
}

static void
refuse_unstarted(struct runner *runner)
{
    while (runner->unstarted_count > 0) {
        struct rn_act act = {.type = RN_END, .code = CODE_NO_MEMORY};
        act.task = runner->unstarted[--runner->unstarted_count];
        runner->sink.emit(runner->sink.context, &act);
    }
}

void
Rn_OnTick(struct runner *runner, struct now now)
{
    uint32_t slot = 0;
    struct rn_run *run;
    refuse_unstarted(runner);
    while ((run = Tab_Next(&runner->runs, &slot))) {
        if (run->state == RN_STOPPING && !run->order_pending &&
            now.us >= run->due_us) {
            Rni_OrderStop(runner, now, run);
        }
        else if (run->state == RN_STOPPED && now.us >= run->due_us) {
            runner->want_short_poll = 1;
        }
        if (is_lease_over(runner, now, run)) {
            Rni_End(runner, now, run, RN_LAPSED, CODE_RUN_LOST);
        }
        else if (is_stalled(now, run)) {
            CTR_INC(runner->counters, runs_stalled);
            Rni_BeginStop(runner, now, run, CODE_STALLED);
        }
    }
    Rni_Poll(runner, now);
    check_cleared(runner);
}
