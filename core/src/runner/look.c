/* Questions to the upstream: each renews the leases and brings the lists of
 * what runs and what has ended. */
#include "runner_impl.h"

/* Part of a lease after which it is renewed. */
#define RENEW_PARTS 5
/* Questions in a row without an answer, and time without an answer to any
 * order, after which the upstream counts as gone: some orders are lost while
 * it is well. */
#define MAX_FAILURES 2
#define GONE_US (500 * US_PER_MS)
/* Time until the next question after one without an answer. */
#define PAUSE_US (10 * US_PER_MS)
/* For this long after a lost answer questions wait no longer than the second
 * figure: an end whose answer is lost holds its room until the next one. */
#define DOUBT_US (2 * US_PER_S)
#define DOUBT_WAIT_MS 25
/* While a stopped run is to vanish from the list it is looked for this
 * often. */
#define PEEK_PAUSE_US (20 * US_PER_MS)

static uint32_t
wait_ms(const struct runner *runner, struct now now)
{
    if (now.us < runner->fast_poll_until_us) {
        return DOUBT_WAIT_MS;
    }
    return (uint32_t)(runner->lease_us / RENEW_PARTS / US_PER_MS);
}

static void
ask(struct runner *runner, struct now now, struct rn_poll *question,
    uint32_t ms)
{
    struct rn_act act = {.type = RN_POLL};
    int known = runner->phase >= RN_CLEARING;
    question->id = ++runner->last_poll;
    question->sent_us = now.us;
    act.poll = question->id;
    act.fence = runner->fence;
    act.last_ended = runner->last_ended;
    /* After a failure the leases need renewing at once. */
    act.wait_ms = known && runner->poll_failures == 0 ? ms : 0;
    if (known) {
        act.lease_end_ms = Rni_LeaseEnd(runner, now);
        Rni_MarkRenewed(runner, now);
    }
    runner->sink.emit(runner->sink.context, &act);
}

void
Rni_Poll(struct runner *runner, struct now now)
{
    int wanted = runner->runs.used > 0 ||
                 (runner->phase != RN_UNKNOWN && runner->phase != RN_USABLE);
    if (runner->phase == RN_UNKNOWN || now.us < runner->next_poll_us) {
        return;
    }
    if (wanted && !runner->long_poll.id) {
        ask(runner, now, &runner->long_poll, wait_ms(runner, now));
        runner->want_short_poll = 0;
    }
    else if (runner->want_short_poll && !runner->short_poll.id) {
        runner->want_short_poll = 0;
        ask(runner, now, &runner->short_poll, 0);
    }
}

static enum code
code_of(const struct rn_run *run, enum rn_outcome how)
{
    switch (how) {
    case RN_OUTCOME_DONE:
        return CODE_OK;
    case RN_OUTCOME_FAILED:
        return CODE_TASK_FAILED;
    case RN_OUTCOME_STOPPED:
        /* It was thought not to run, and has run for a while. */
        if (run->code == CODE_NO_UPSTREAM || run->code == CODE_OK) {
            return CODE_RUN_LOST;
        }
        return run->code;
    case RN_OUTCOME_LOST:
        break;
    }
    return CODE_RUN_LOST;
}

static void
take_ended(struct runner *runner, struct now now, const struct rn_view *view)
{
    uint64_t seen = runner->last_ended;
    for (uint32_t i = 0; i < view->ended_count; i++) {
        const struct rn_ended *ended = &view->ended[i];
        if (ended->seq <= seen) {
            continue;
        }
        runner->last_ended =
            ended->seq > runner->last_ended ? ended->seq : runner->last_ended;
        struct rn_run *run = Rni_Find(runner, &ended->id);
        if (run) {
            Rni_End(runner, now, run, code_of(run, ended->outcome));
        }
    }
}

static void
take_running(struct now now, struct rn_run *run, uint32_t percent)
{
    run->was_running = 1;
    if (run->state == RN_STARTING) {
        /* Its order was carried out, whatever became of the answer. */
        run->state = RN_RUNNING;
        run->acked_us = now.us;
    }
    if (percent > run->percent || run->progress_us == 0) {
        run->percent = percent;
        run->progress_us = now.us;
    }
}

/* A run that nobody here asked for: of a process before this one. */
static void
stop_unknown(struct runner *runner, struct now now, const struct rn_id *id)
{
    struct rn_run *run = Rni_Add(runner, id);
    if (run) {
        CTR_INC(runner->counters, runs_unknown);
        run->state = RN_RUNNING;
        run->ordered_us = now.us;
        run->renewed_us = now.us;
        Rni_BeginStop(runner, now, run, CODE_RUN_LOST);
    }
}

static int
is_listed(const struct rn_view *view, const struct rn_id *id)
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

/* What was settled before the question was sent, and is neither listed as
 * running nor as ended, is not there. What is being stopped takes its room
 * until its end is listed, and is not listed as running any more. */
static uint64_t
settled_us(const struct rn_run *run)
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

static void
end_missing(struct runner *runner, struct now now, uint64_t sent_us,
            const struct rn_view *view)
{
    uint32_t slot = 0;
    struct rn_run *run;
    if (view->running_count == RN_MAX_ROWS ||
        view->ended_count == RN_MAX_ROWS) {
        return;
    }
    while ((run = Tab_Next(&runner->runs, &slot))) {
        uint64_t since_us = settled_us(run);
        if (since_us == 0 || since_us >= sent_us ||
            is_listed(view, &run->id)) {
            continue;
        }
        int never_ran = !run->was_running && run->state == RN_STOPPED;
        Rni_End(runner, now, run, never_ran ? run->code : CODE_RUN_LOST);
    }
}

void
Rni_ApplyView(struct runner *runner, struct now now, uint64_t sent_us,
              const struct rn_view *view)
{
    take_ended(runner, now, view);
    for (uint32_t i = 0; i < view->running_count; i++) {
        const struct rn_running *running = &view->running[i];
        struct rn_run *run = Rni_Find(runner, &running->id);
        if (run) {
            take_running(now, run, running->percent);
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
    runner->next_poll_us = now.us + PAUSE_US;
    runner->fast_poll_until_us = now.us + DOUBT_US;
    if (++runner->poll_failures >= MAX_FAILURES &&
        now.us - runner->last_reply_us > GONE_US) {
        Rni_Disconnect(runner);
    }
}

/* The first answer brings the clock, which only rises in one life of the
 * upstream: no earlier process can have taken a higher fence from it. */
static void
on_met(struct runner *runner, struct now now, const struct rn_view *view)
{
    if (view->born_ms && view->born_ms != runner->born_ms) {
        Rni_OnRestart(runner, now, view->born_ms);
        runner->phase = RN_READING_CLOCK;
        Rni_SetClock(runner, now, view->clock_ms);
    }
    if (runner->clock_ms) {
        runner->fence = runner->clock_ms;
        runner->phase = RN_LISTING;
    }
}

static struct rn_poll *
find_question(struct runner *runner, uint32_t look)
{
    if (look && runner->long_poll.id == look) {
        return &runner->long_poll;
    }
    return look && runner->short_poll.id == look ? &runner->short_poll : NULL;
}

void
Rn_OnPoll(struct runner *runner, struct now now, uint32_t look,
          enum rn_reply reply, const struct rn_view *view)
{
    struct rn_poll *question = find_question(runner, look);
    if (!question) {
        return;
    }
    uint64_t sent_us = question->sent_us;
    question->id = 0;
    if (reply != RN_DONE && reply != RN_FENCED) {
        CTR_INC(runner->counters, looks_unanswered);
        if (reply == RN_NO_ANSWER) {
            Rni_OnReplyLost(runner, now);
        }
        on_failure(runner, now);
        return;
    }
    runner->poll_failures = 0;
    runner->last_reply_us = now.us;
    Rni_SetClock(runner, now, view->clock_ms);
    if (runner->phase == RN_READING_CLOCK) {
        on_met(runner, now, view);
    }
    else if (reply == RN_FENCED && runner->clock_ms > runner->fence) {
        runner->fence = runner->clock_ms;
    }
    else if (view->born_ms && view->born_ms != runner->born_ms) {
        Rni_OnRestart(runner, now, view->born_ms);
    }
    else if (reply == RN_DONE) {
        Rni_ApplyView(runner, now, sent_us, view);
        if (runner->phase == RN_LISTING) {
            runner->phase = RN_CLEARING;
        }
    }
    runner->next_poll_us = now.us;
    if (runner->want_short_poll && runner->long_poll.id) {
        runner->next_poll_us = now.us + PEEK_PAUSE_US;
    }
    Rni_Poll(runner, now);
}
