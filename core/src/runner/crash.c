/* Crashes of the upstream: its process has ended, and its runs with it. */
#include "runner_impl.h"

/* A task that crashes its upstream mostly does so shortly after its start.
 * Runs that began within this time before the crash are young. */
#define SUSPECT_AGE_US (40 * US_PER_MS)

/* When the upstream crashed. A poll is pending all the time while there are
 * runs, so the first one that failed shows it, unless an order was answered
 * later. */
static uint64_t
crash_us(const struct runner *runner, struct now now)
{
    if (runner->poll_failures == 0) {
        return runner->refused_us ? runner->refused_us : now.us;
    }
    return runner->silent_from_us > runner->last_reply_us
               ? runner->silent_from_us
               : runner->last_reply_us;
}

/* Append the runs that were there, and are young or are not, to the suspects.
 * One whose start was not acknowledged may never have begun. */
static void
add_suspects(const struct runner *runner, struct now now, struct rn_act *act,
             struct rn_suspect *suspects, int are_young)
{
    uint64_t end_us = crash_us(runner, now);
    uint32_t slot = 0;
    const struct rn_run *run;
    while (act->suspect_count < RN_MAX_SUSPECTS &&
           (run = Tab_Next(&runner->runs, &slot))) {
        uint64_t age_us = end_us - run->ordered_us;
        if (run->task && run->ordered_us <= end_us &&
            (age_us <= SUSPECT_AGE_US) == are_young) {
            suspects[act->suspect_count++] = (struct rn_suspect){
                run->id, run->task, age_us, run->was_running};
        }
    }
}

void
Rni_ReportCrash(struct runner *runner, struct now now)
{
    struct rn_suspect suspects[RN_MAX_SUSPECTS];
    struct rn_act act = {.type = RN_CRASH, .suspects = suspects};
    act.ago_us = now.us - crash_us(runner, now);
    if (runner->born_ms == 0 || runner->crashed_born_ms == runner->born_ms) {
        return;
    }
    add_suspects(runner, now, &act, suspects, 1);
    act.young_count = act.suspect_count;
    add_suspects(runner, now, &act, suspects, 0);
    if (act.suspect_count) {
        runner->crashed_born_ms = runner->born_ms;
        runner->sink.emit(runner->sink.context, &act);
    }
}

/* A run whose start is pending is kept, even if it was listed: a new instance
 * may be listening when the start arrives, and its reply shows what became of
 * it. One of which a start got no answer is kept until the new instance
 * refuses that, or it is too old to be carried out. */
static void
end_crashed(struct runner *runner, struct now now)
{
    uint32_t slot = 0;
    struct rn_run *run;
    while ((run = Tab_Next(&runner->runs, &slot))) {
        if (run->start_pending) {
            continue;
        }
        if (run->start_unanswered && Rni_MayStartLate(runner, now)) {
            Rni_LeaveUnsettled(runner, run);
            continue;
        }
        CTR_INC(runner->counters, runs_crashed);
        Rni_End(runner, now, run, RN_CRASHED, CODE_WORKER_CRASHED);
    }
}

/* Connections that are being opened fail as if they were refused when those of
 * the machine are reset, so one failure proves nothing. Another attempt, begun
 * after it was handled, does. */
static int
is_confirmed(struct runner *runner, struct now now, uint64_t sent_us)
{
    if (runner->refused_us == 0) {
        CTR_INC(runner->counters, refusals_unconfirmed);
        runner->refused_us = now.us;
        runner->want_short_poll = 1;
        return 0;
    }
    return sent_us > runner->refused_us;
}

void
Rn_OnConnectionRefused(struct runner *runner, struct now now, uint64_t born_ms,
                       uint64_t sent_us, int is_leaving)
{
    if (born_ms != runner->born_ms || !is_confirmed(runner, now, sent_us)) {
        return;
    }
    runner->process_gone_us = now.us;
    runner->want_short_poll = 0;
    if (!is_leaving) {
        Rni_Disconnect(runner);
        Rni_ReportCrash(runner, now);
        end_crashed(runner, now);
    }
    runner->refused_us = 0;
}
