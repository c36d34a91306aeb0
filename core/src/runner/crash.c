/* Crashes of the upstream: its process has ended, and its runs with it. */
#include "runner_impl.h"

/* A task that crashes its upstream does so shortly after its start. Runs that
 * began within this time before the crash are suspected of it. */
#define SUSPECT_AGE_US (40 * US_PER_MS)

/* When the upstream crashed. A poll is pending all the time while there are
 * runs, so the first one that failed shows it. */
static uint64_t
crash_us(const struct runner *runner, struct now now)
{
    return runner->poll_failures ? runner->silent_from_us : now.us;
}

/* A run whose start was not acknowledged may never have begun. */
static uint32_t
collect_suspects(const struct runner *runner, struct now now,
                 struct rn_suspect *suspects, uint64_t max_age_us)
{
    uint64_t end_us = crash_us(runner, now);
    uint32_t slot = 0;
    uint32_t count = 0;
    const struct rn_run *run;
    while (count < RN_MAX_SUSPECTS && (run = Tab_Next(&runner->runs, &slot))) {
        if (run->task && run->was_running && run->ordered_us <= end_us &&
            end_us - run->ordered_us <= max_age_us) {
            suspects[count++] = (struct rn_suspect){run->id, run->task,
                                                    end_us - run->ordered_us};
        }
    }
    return count;
}

void
Rni_ReportCrash(struct runner *runner, struct now now)
{
    struct rn_suspect suspects[RN_MAX_SUSPECTS];
    struct rn_act act = {.type = RN_CRASH, .suspects = suspects};
    if (runner->crashed_born_ms == runner->born_ms) {
        return;
    }
    runner->crashed_born_ms = runner->born_ms;
    act.suspect_count =
        collect_suspects(runner, now, suspects, SUSPECT_AGE_US);
    act.is_by_age = act.suspect_count > 0;
    if (!act.is_by_age) {
        act.suspect_count =
            collect_suspects(runner, now, suspects, UINT64_MAX);
    }
    if (act.suspect_count) {
        runner->sink.emit(runner->sink.context, &act);
    }
}

/* A start whose order is pending is kept: a new instance may be listening when
 * the order arrives, and its reply shows what became of it. */
static void
end_crashed(struct runner *runner, struct now now)
{
    uint32_t slot = 0;
    struct rn_run *run;
    while ((run = Tab_Next(&runner->runs, &slot))) {
        if (run->state == RN_STARTING && run->order_pending) {
            continue;
        }
        CTR_INC(runner->counters, runs_crashed);
        Rni_End(runner, now, run, CODE_WORKER_CRASHED);
    }
}

void
Rn_OnConnectionRefused(struct runner *runner, struct now now, uint64_t born_ms,
                       int is_leaving)
{
    if (born_ms != runner->born_ms) {
        return;
    }
    runner->connection_refused_us = now.us;
    if (is_leaving) {
        return;
    }
    Rni_Disconnect(runner);
    Rni_ReportCrash(runner, now);
    end_crashed(runner, now);
}
