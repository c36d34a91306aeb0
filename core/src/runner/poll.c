/* Polls of the upstream. Each poll renews the leases and is answered with the
 * lists of running and ended runs. */
#include "runner_impl.h"

/* Leases are renewed at intervals of their length divided by this. */
#define RENEWALS_PER_LEASE 3
/* The upstream is treated as unreachable after MAX_FAILURES consecutive polls
 * without an answer, if in addition no order was answered for UNREACHABLE_US:
 * single orders are lost even while the upstream works. */
#define MAX_FAILURES 2
#define UNREACHABLE_US (500 * US_PER_MS)
/* Time from a poll without an answer to the next one. */
#define RETRY_US (10 * US_PER_MS)
/* For FAST_POLL_US after a poll without an answer, polls wait no longer than
 * FAST_POLL_WAIT_MS. When the answer that lists an end is lost, the run
 * occupies its resources until the next poll is answered. */
#define FAST_POLL_US (2 * US_PER_S)
#define FAST_POLL_WAIT_MS 25
/* Interval of polls of an upstream that is not usable, while a start may still
 * be carried out by its next instance. */
#define RETURN_POLL_INTERVAL_US (50 * US_PER_MS)
/* Interval of short polls while the end of a stopped run is awaited. */
#define SHORT_POLL_INTERVAL_US (20 * US_PER_MS)

/* Longest time that the upstream may delay its answer to a long poll. */
static uint32_t
long_poll_wait_ms(const struct runner *runner, struct now now)
{
    if (runner->runs.used > 0 && now.us < runner->fast_poll_until_us) {
        return FAST_POLL_WAIT_MS;
    }
    return (uint32_t)(runner->lease_us / RENEWALS_PER_LEASE / US_PER_MS);
}

static void
send_poll(struct runner *runner, struct now now, struct rn_poll *poll,
          uint32_t ms)
{
    struct rn_act act = {.type = RN_POLL};
    int is_known = runner->phase >= RN_CLEARING;
    poll->id = ++runner->last_poll;
    poll->sent_us = now.us;
    poll->fence = runner->fence;
    act.poll = poll->id;
    act.fence = runner->fence;
    act.last_ended = runner->last_ended;
    /* After a failure the leases must be renewed soon, so the upstream is to
     * answer at once. */
    act.wait_ms = is_known && runner->poll_failures == 0 ? ms : 0;
    if (is_known && runner->runs.used > 0) {
        act.lease_end_ms = Rni_GrantLease(runner, now);
    }
    act.leased_until_us = runner->leased_until_us;
    runner->sink.emit(runner->sink.context, &act);
}

/* Time from the outcome of a poll to the next one. */
static uint64_t
poll_interval_us(const struct runner *runner, uint64_t interval_us)
{
    return runner->phase == RN_UNKNOWN && !runner->refused_us
               ? RETURN_POLL_INTERVAL_US
               : interval_us;
}

void
Rni_Poll(struct runner *runner, struct now now)
{
    int may_start_late = Rni_MayStartLate(runner, now);
    int is_needed =
        runner->runs.used > 0 || may_start_late ||
        (runner->phase != RN_UNKNOWN && runner->phase != RN_USABLE);
    /* A refusal is confirmed or refuted even if the upstream is unusable. */
    if ((runner->phase == RN_UNKNOWN && !runner->refused_us &&
         !may_start_late) ||
        now.us < runner->next_poll_us) {
        return;
    }
    if (is_needed && !runner->long_poll.id) {
        send_poll(runner, now, &runner->long_poll,
                  long_poll_wait_ms(runner, now));
        runner->want_short_poll = 0;
    }
    else if (runner->want_short_poll && !runner->short_poll.id) {
        runner->want_short_poll = 0;
        send_poll(runner, now, &runner->short_poll, 0);
    }
}

static enum code
outcome_code(const struct rn_run *run, enum rn_outcome outcome)
{
    switch (outcome) {
    case RN_OUTCOME_DONE:
        return CODE_OK;
    case RN_OUTCOME_FAILED:
        return CODE_TASK_FAILED;
    case RN_OUTCOME_STOPPED:
        return run->code == CODE_OK ? CODE_RUN_LOST : run->code;
    case RN_OUTCOME_LOST:
        break;
    }
    return CODE_RUN_LOST;
}

static void
apply_ended(struct runner *runner, struct now now, const struct rn_view *view)
{
    uint64_t last_ended = runner->last_ended;
    for (uint32_t i = 0; i < view->ended_count; i++) {
        const struct rn_ended *ended = &view->ended[i];
        if (ended->seq <= last_ended) {
            continue;
        }
        runner->last_ended =
            ended->seq > runner->last_ended ? ended->seq : runner->last_ended;
        struct rn_run *run = Rni_Find(runner, &ended->id);
        if (run) {
            Rni_End(runner, now, run, RN_LISTED,
                    outcome_code(run, ended->outcome));
        }
    }
}

static void
apply_running(struct now now, struct rn_run *run, uint32_t percent)
{
    run->was_running = 1;
    run->is_listed = 1;
    if (run->state == RN_STARTING) {
        /* The start order was carried out, even if its answer is lost. */
        run->state = RN_RUNNING;
        run->acked_us = now.us;
    }
    if (percent > run->percent || run->progress_us == 0) {
        run->percent = percent;
        run->progress_us = now.us;
    }
}

/* Stop a listed run that this process did not start, but an earlier one. */
static void
stop_unknown(struct runner *runner, struct now now, const struct rn_id *id)
{
    struct rn_run *run = Rni_Add(runner, id);
    if (run) {
        CTR_INC(runner->counters, runs_unknown);
        run->state = RN_RUNNING;
        run->ordered_us = now.us;
        Rni_BeginStop(runner, now, run, CODE_RUN_LOST);
    }
}

int
Rni_IsListed(const struct rn_view *view, const struct rn_id *id)
{
    for (uint32_t i = 0; i < view->running_count; i++) {
        const struct rn_id *found = &view->running[i].id;
        if (found->job == id->job && found->task == id->task &&
            found->number == id->number) {
            return 1;
        }
    }
    return 0;
}

/* Time from which a run must be in one of the lists: if a poll was sent later
 * and the run is listed neither as running nor as ended, it does not exist. 0
 * if there is no such time yet. A run that is being stopped is not listed as
 * running any more, but occupies its resources until its end is listed. */
static uint64_t
listed_from_us(const struct rn_run *run)
{
    switch (run->state) {
    case RN_RUNNING:
        return run->acked_us;
    case RN_STOPPED:
        return run->due_us;
    default:
        return 0;
    }
}

/* End the runs that are missing from both lists. */
static void
end_missing(struct runner *runner, struct now now, uint64_t sent_us,
            const struct rn_view *view)
{
    uint32_t slot = 0;
    struct rn_run *run;
    if (view->is_partial) {
        return;
    }
    while ((run = Tab_Next(&runner->runs, &slot))) {
        uint64_t since_us = listed_from_us(run);
        if (since_us == 0 || since_us >= sent_us ||
            Rni_IsListed(view, &run->id)) {
            continue;
        }
        Rni_End(runner, now, run, RN_UNLISTED,
                run->state == RN_STOPPED ? run->code : CODE_RUN_LOST);
    }
}

void
Rni_ApplyView(struct runner *runner, struct now now, uint64_t sent_us,
              const struct rn_view *view)
{
    apply_ended(runner, now, view);
    for (uint32_t i = 0; i < view->running_count; i++) {
        const struct rn_running *running = &view->running[i];
        struct rn_run *run = Rni_Find(runner, &running->id);
        if (run) {
            apply_running(now, run, running->percent);
        }
        else {
            stop_unknown(runner, now, &running->id);
        }
    }
    end_missing(runner, now, sent_us, view);
}

static void
on_failure(struct runner *runner, struct now now)
{
    runner->next_poll_us = now.us + poll_interval_us(runner, RETRY_US);
    runner->fast_poll_until_us = now.us + FAST_POLL_US;
    if (runner->poll_failures == 0) {
        runner->silent_from_us = now.us;
    }
    if (++runner->poll_failures >= MAX_FAILURES &&
        now.us - runner->last_reply_us > UNREACHABLE_US) {
        Rni_Disconnect(runner);
    }
}

/* The lists are complete, and stay true of earlier orders, if they were
 * requested under the fence that makes the upstream refuse those. */
static void
on_listing(struct runner *runner, struct now now, uint64_t fence,
           const struct rn_view *view)
{
    if (fence >= runner->first_fence && !view->is_partial) {
        Rni_Settle(runner, now, view);
        runner->phase = RN_CLEARING;
    }
}

static struct rn_poll *
find_poll(struct runner *runner, uint32_t id)
{
    if (id && runner->long_poll.id == id) {
        return &runner->long_poll;
    }
    return id && runner->short_poll.id == id ? &runner->short_poll : NULL;
}

void
Rn_OnPoll(struct runner *runner, struct now now, uint32_t poll,
          enum rn_reply reply, const struct rn_view *view)
{
    struct rn_poll *pending = find_poll(runner, poll);
    if (!pending) {
        return;
    }
    uint64_t sent_us = pending->sent_us;
    uint64_t fence = pending->fence;
    pending->id = 0;
    if (reply != RN_DONE && reply != RN_FENCED) {
        CTR_INC(runner->counters, looks_unanswered);
        if (reply == RN_NO_ANSWER) {
            Rni_OnReplyLost(runner, now);
        }
        on_failure(runner, now);
        return;
    }
    runner->poll_failures = 0;
    runner->refused_us = 0;
    runner->last_reply_us = now.us;
    if (view->born_ms && view->born_ms != runner->born_ms) {
        Rni_OnRestart(runner, now, view->born_ms);
    }
    runner->answered_born_ms = runner->born_ms;
    Rni_SetClock(runner, now, view->clock_ms);
    if (runner->phase == RN_READING_CLOCK) {
        if (runner->clock_ms) {
            Rni_TakeFence(runner);
            runner->phase = RN_LISTING;
        }
    }
    else if (reply == RN_FENCED) {
        Rni_OnFenced(runner, fence);
    }
    else {
        runner->fence_step = 0;
        Rni_ApplyView(runner, now, sent_us, view);
        if (runner->phase == RN_LISTING) {
            on_listing(runner, now, fence, view);
        }
    }
    runner->next_poll_us = now.us + poll_interval_us(runner, 0);
    if (runner->want_short_poll && runner->long_poll.id) {
        runner->next_poll_us = now.us + SHORT_POLL_INTERVAL_US;
    }
    Rni_Poll(runner, now);
}
