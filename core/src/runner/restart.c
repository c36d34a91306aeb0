/* Restarts of the upstream. It keeps its identifier, so orders that are sent
 * before the restart is known may reach either instance. */
#include "runner_impl.h"

/* Leases that the new instance may have taken from orders for the earlier one,
 * computed for another clock, last up to the longest that it allows. None has
 * arrived there if the earlier process was known to be gone by then. */
static void
mark_leases_unknown(struct runner *runner, uint64_t granted_us)
{
    uint64_t until_us = granted_us + runner->max_lease_us *
                                         (100 + RNI_CLOCK_SLACK_PERCENT) / 100;
    if (granted_us <= runner->process_gone_us) {
        return;
    }
    if (until_us > runner->leased_until_us) {
        runner->leased_until_us = until_us;
    }
}

/* The run of the earlier instance has ended with it, and no start order is on
 * its way to the next one. */
static int
has_ended_with_instance(const struct rn_run *run)
{
    return run->is_listed && !run->start_pending && !run->start_unanswered;
}

/* No stop is ordered: a run that is being stopped is not listed, and would
 * look as if it had ended. */
void
Rni_LeaveUnsettled(struct runner *runner, struct rn_run *run)
{
    if (!run->is_unsettled) {
        CTR_INC(runner->counters, runs_unsettled);
    }
    run->is_unsettled = 1;
    run->is_listed = 0;
    run->was_running = 1;
    run->state = RN_STOPPING;
    run->code = CODE_RUN_LOST;
    run->due_us = UINT64_MAX;
    run->sent_clock_ms = 0;
}

static void
forget_instance(struct runner *runner, struct now now)
{
    runner->phase = RN_READING_CLOCK;
    runner->last_ended = 0;
    runner->clock_ms = 0;
    runner->poll_failures = 0;
    runner->refused_us = 0;
    runner->is_used = 0;
    runner->late_orders_are_refused = 0;
    /* Ignore answers of the earlier instance to pending polls. */
    runner->long_poll.id = 0;
    runner->short_poll.id = 0;
    runner->want_short_poll = 0;
    runner->next_poll_us = now.us;
}

void
Rni_OnRestart(struct runner *runner, struct now now, uint64_t born_ms)
{
    struct rn_act act = {.type = RN_RESTART};
    uint32_t slot = 0;
    struct rn_run *run;
    act.earlier_born_ms = runner->born_ms;
    Rni_Disconnect(runner);
    Rni_ReportCrash(runner, now);
    while ((run = Tab_Next(&runner->runs, &slot))) {
        if (has_ended_with_instance(run)) {
            Rni_End(runner, now, run, RN_RESTARTED, CODE_RUN_LOST);
            continue;
        }
        Rni_LeaveUnsettled(runner, run);
        act.unsettled_count++;
    }
    mark_leases_unknown(runner, runner->granted_us);
    /* The orders on their way to the earlier instance include starts of runs
     * that have ended: from its first poll on the new one refuses them all. */
    runner->fence++;
    runner->born_ms = born_ms;
    forget_instance(runner, now);
    if (act.earlier_born_ms) {
        runner->sink.emit(runner->sink.context, &act);
    }
}

void
Rni_Settle(struct runner *runner, struct now now, const struct rn_view *view)
{
    uint32_t slot = 0;
    uint32_t count = 0;
    struct rn_run *run;
    while ((run = Tab_Next(&runner->runs, &slot))) {
        if (!run->is_unsettled) {
            continue;
        }
        count++;
        run->is_unsettled = 0;
        run->tries = 0;
        run->due_us = now.us;
        if (!Rni_IsListed(view, &run->id)) {
            Rni_End(runner, now, run, RN_RESTARTED, CODE_RUN_LOST);
        }
        else if (!run->order_pending) {
            Rni_OrderStop(runner, now, run);
        }
    }
    if (count || now.us < runner->late_order_until_us) {
        mark_leases_unknown(runner, now.us);
    }
    runner->late_orders_are_refused = 1;
}
