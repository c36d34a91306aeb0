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
    if (now.us < runner->doubt_us) {
        return DOUBT_WAIT_MS;
    }
    return (uint32_t)(runner->lease_us / RENEW_PARTS / US_PER_MS);
}

static void
ask(struct runner *runner, struct now now, struct rn_question *question,
    uint32_t ms)
{
    struct rn_act act = {.type = RN_LOOK};
    int known = runner->phase >= RN_CLEARING;
    question->look = ++runner->looks;
    question->sent_us = now.us;
    act.look = question->look;
    act.fence = runner->fence;
    act.seen = runner->seen;
    /* After a failure the leases need renewing at once. */
    act.wait_ms = known && runner->failures == 0 ? ms : 0;
    if (known) {
        act.until_ms = Rni_Until(runner, now);
        Rni_Cover(runner, now);
    }
    runner->sink.emit(runner->sink.context, &act);
}

void
Rni_Look(struct runner *runner, struct now now)
{
    int wanted = runner->runs.used > 0 ||
                 (runner->phase != RN_UNKNOWN && runner->phase != RN_USABLE);
    if (runner->phase == RN_UNKNOWN || now.us < runner->next_look_us) {
        return;
    }
    if (wanted && !runner->wait.look) {
        ask(runner, now, &runner->wait, wait_ms(runner, now));
        runner->want_peek = 0;
    }
    else if (runner->want_peek && !runner->peek.look) {
        runner->want_peek = 0;
        ask(runner, now, &runner->peek, 0);
    }
}

static enum code
code_of(const struct rn_run *run, enum rn_how how)
{
    switch (how) {
    case RN_HOW_DONE:
        return CODE_OK;
    case RN_HOW_FAILED:
        return CODE_TASK_FAILED;
    case RN_HOW_STOPPED:
        /* It was thought not to run, and has run for a while. */
        if (run->code == CODE_NO_UPSTREAM || run->code == CODE_OK) {
            return CODE_RUN_LOST;
        }
        return run->code;
    case RN_HOW_LOST:
        break;
    }
    return CODE_RUN_LOST;
}

static void
take_ended(struct runner *runner, struct now now, const struct rn_view *view)
{
    uint64_t seen = runner->seen;
    for (uint32_t i = 0; i < view->ended_count; i++) {
        const struct rn_ended *ended = &view->ended[i];
        if (ended->n <= seen) {
            continue;
        }
        runner->seen = ended->n > runner->seen ? ended->n : runner->seen;
        struct rn_run *run = Rni_Find(runner, &ended->id);
        if (run) {
            Rni_End(runner, now, run, code_of(run, ended->how));
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
        run->settled_us = now.us;
    }
    if (percent > run->percent || run->moved_us == 0) {
        run->percent = percent;
        run->moved_us = now.us;
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
        run->begun_us = now.us;
        run->covered_us = now.us;
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
        return run->settled_us;
    case RN_STOPPED:
        return run->next_us;
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
Rni_TakeView(struct runner *runner, struct now now, uint64_t sent_us,
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
    runner->next_look_us = now.us + PAUSE_US;
    runner->doubt_us = now.us + DOUBT_US;
    if (++runner->failures >= MAX_FAILURES &&
        now.us - runner->heard_us > GONE_US) {
        Rni_Lose(runner);
    }
}

/* The first answer brings the clock, which only rises in one life of the
 * upstream: no earlier process can have taken a higher fence from it. */
static void
on_met(struct runner *runner, struct now now, const struct rn_view *view)
{
    if (view->born_ms && view->born_ms != runner->born_ms) {
        Rni_NewLife(runner, now, view->born_ms);
        runner->phase = RN_MEETING;
        Rni_NoteClock(runner, now, view->clock_ms);
    }
    if (runner->clock_ms) {
        runner->fence = runner->clock_ms;
        runner->phase = RN_LISTING;
    }
}

static struct rn_question *
find_question(struct runner *runner, uint32_t look)
{
    if (look && runner->wait.look == look) {
        return &runner->wait;
    }
    return look && runner->peek.look == look ? &runner->peek : NULL;
}

void
Rn_OnLook(struct runner *runner, struct now now, uint32_t look,
          enum rn_reply reply, const struct rn_view *view)
{
    struct rn_question *question = find_question(runner, look);
    if (!question) {
        return;
    }
    uint64_t sent_us = question->sent_us;
    question->look = 0;
    if (reply != RN_DONE && reply != RN_FENCED) {
        CTR_INC(runner->counters, looks_unanswered);
        if (reply == RN_NO_ANSWER) {
            Rni_NoteLost(runner, now);
        }
        on_failure(runner, now);
        return;
    }
    runner->failures = 0;
    runner->heard_us = now.us;
    Rni_NoteClock(runner, now, view->clock_ms);
    if (runner->phase == RN_MEETING) {
        on_met(runner, now, view);
    }
    else if (reply == RN_FENCED && runner->clock_ms > runner->fence) {
        runner->fence = runner->clock_ms;
    }
    else if (view->born_ms && view->born_ms != runner->born_ms) {
        Rni_NewLife(runner, now, view->born_ms);
    }
    else if (reply == RN_DONE) {
        Rni_TakeView(runner, now, sent_us, view);
        if (runner->phase == RN_LISTING) {
            runner->phase = RN_CLEARING;
        }
    }
    runner->next_look_us = now.us;
    if (runner->want_peek && runner->wait.look) {
        runner->next_look_us = now.us + PEEK_PAUSE_US;
    }
    Rni_Look(runner, now);
}
