/* Set-up, the upstream's lives, and the passing of time. */
#include "core/runner.h"

#include <stdlib.h>
#include <string.h>

#include "runner_impl.h"

/* A task without progress for this many times its expected run time, and
 * for this long at least, stands still. */
#define STALL_FACTOR 3
#define STALL_LEAST_US (400 * US_PER_MS)

int
Rn_Init(struct runner *runner, uint64_t lease_us, uint64_t stop_us,
        struct rn_sink sink, struct counters *counters)
{
    memset(runner, 0, sizeof(*runner));
    runner->lease_us = lease_us;
    runner->stop_us = stop_us;
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
Rni_NoteClock(struct runner *runner, struct now now, uint64_t clock_ms)
{
    if (clock_ms) {
        runner->clock_ms = clock_ms;
        runner->clock_us = now.us;
    }
}

uint64_t
Rni_Until(const struct runner *runner, struct now now)
{
    uint64_t since_us = now.us - runner->clock_us;
    return runner->clock_ms + (since_us + runner->lease_us) / US_PER_MS;
}

void
Rni_Cover(struct runner *runner, struct now now)
{
    uint32_t slot = 0;
    struct rn_run *run;
    while ((run = Tab_Next(&runner->runs, &slot))) {
        run->covered_us = now.us;
    }
}

static void
say(struct runner *runner, enum rn_act_type type)
{
    struct rn_act act = {.type = type};
    runner->sink.emit(runner->sink.context, &act);
}

void
Rni_Lose(struct runner *runner)
{
    if (runner->phase == RN_USABLE) {
        say(runner, RN_GONE);
    }
    runner->phase = RN_UNKNOWN;
}

void
Rni_NewLife(struct runner *runner, struct now now, uint64_t born_ms)
{
    uint32_t slot = 0;
    struct rn_run *run;
    Rni_Lose(runner);
    while ((run = Tab_Next(&runner->runs, &slot))) {
        Rni_End(runner, now, run, CODE_RUN_LOST);
    }
    runner->born_ms = born_ms;
    runner->fence = 0;
    runner->seen = 0;
    runner->clock_ms = 0;
    runner->failures = 0;
    runner->late_us = 0;
    /* Answers of the old life count no more. */
    runner->wait.look = 0;
    runner->peek.look = 0;
    runner->want_peek = 0;
    runner->next_look_us = now.us;
}

void
Rn_OnAnnounce(struct runner *runner, struct now now, uint64_t born_ms,
              uint64_t clock_ms)
{
    /* One that was held up on its way may speak of an earlier life. */
    if (born_ms < runner->born_ms) {
        return;
    }
    if (born_ms != runner->born_ms) {
        Rni_NewLife(runner, now, born_ms);
    }
    if (runner->phase == RN_UNKNOWN) {
        runner->phase = RN_MEETING;
        runner->failures = 0;
        runner->next_look_us = now.us;
    }
    if (runner->clock_ms == 0) {
        Rni_NoteClock(runner, now, clock_ms);
    }
    Rni_Look(runner, now);
}

void
Rni_NoteLost(struct runner *runner, struct now now)
{
    runner->late_us = now.us + RN_LATE_US + runner->lease_us;
}

void
Rn_OnRefused(struct runner *runner, struct now now)
{
    runner->refused_us = now.us;
}

/* The lease has run out, however slow the upstream's clock is. While an order
 * is lost that may yet renew it, only an upstream that has gone is sure not to
 * run anything. */
static int
is_over(const struct runner *runner, struct now now, const struct rn_run *run)
{
    if (now.us < runner->late_us && runner->refused_us <= run->covered_us) {
        return 0;
    }
    uint64_t lease_us =
        runner->lease_us * (100 + RNI_CLOCK_SLACK_PERCENT) / 100;
    return (run->was_running || run->state == RN_STOPPED) &&
           now.us - run->covered_us > lease_us + RNI_LAPSE_SLACK_US;
}

static int
is_stalled(struct now now, const struct rn_run *run)
{
    uint64_t limit_us = run->expect_ms * US_PER_MS * STALL_FACTOR;
    uint64_t since_us =
        run->moved_us > run->settled_us ? run->moved_us : run->settled_us;
    if (run->state != RN_RUNNING || run->expect_ms == 0) {
        return 0;
    }
    return now.us - since_us >
           (limit_us > STALL_LEAST_US ? limit_us : STALL_LEAST_US);
}

/* Once its runs of before are gone the upstream can be used. */
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
    say(runner, RN_READY);
}

void
Rn_OnTick(struct runner *runner, struct now now)
{
    uint32_t slot = 0;
    struct rn_run *run;
    while ((run = Tab_Next(&runner->runs, &slot))) {
        if (run->state == RN_STOPPING && !run->order_out &&
            now.us >= run->next_us) {
            Rni_OrderStop(runner, now, run);
        }
        else if (run->state == RN_STOPPED && now.us >= run->next_us) {
            runner->want_peek = 1;
        }
        if (is_over(runner, now, run)) {
            Rni_End(runner, now, run, CODE_RUN_LOST);
        }
        else if (is_stalled(now, run)) {
            CTR_INC(runner->counters, runs_stalled);
            Rni_BeginStop(runner, now, run, CODE_STALLED);
        }
    }
    Rni_Look(runner, now);
    check_cleared(runner);
}
