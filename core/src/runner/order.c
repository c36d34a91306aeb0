/* Start and stop orders, and their replies. */
#include <stdlib.h>
#include <string.h>

#include "runner_impl.h"

/* When a start is refused because the task had a run with a higher number, the
 * number is raised by this, doubled with each try. */
#define NUMBER_STEP 16
/* Maximum number of times that a start is ordered, while it gets no answer or
 * a refusal that another try may avoid. The upstream starts the same run only
 * once, however often it is ordered. */
#define MAX_TRIES 5
/* The upstream is treated as unreachable after this many consecutive orders
 * that could not be sent. */
#define MAX_UNREACHED 3
/* Time until an unacknowledged stop is ordered again, doubled with each try up
 * to the maximum. */
#define STOP_RETRY_MIN_US (50 * US_PER_MS)
#define STOP_RETRY_MAX_US (100 * US_PER_MS)

struct rn_run *
Rni_Find(const struct runner *runner, const struct rn_id *id)
{
    struct rn_run *run;
    HASH_FIND(hh, runner->index, id, sizeof(*id), run);
    return run;
}

struct rn_run *
Rni_FindTask(const struct runner *runner, tab_handle task)
{
    uint32_t slot = 0;
    struct rn_run *run;
    while ((run = Tab_Next(&runner->runs, &slot))) {
        if (run->task == task) {
            return run;
        }
    }
    return NULL;
}

struct rn_run *
Rni_Add(struct runner *runner, const struct rn_id *id)
{
    struct rn_run *run = Tab_Add(&runner->runs);
    if (run) {
        run->id = *id;
        HASH_ADD(hh, runner->index, id, sizeof(run->id), run);
    }
    return run;
}

void
Rni_Renumber(struct runner *runner, struct rn_run *run, uint32_t number)
{
    HASH_DELETE(hh, runner->index, run);
    run->id.number = number;
    HASH_ADD(hh, runner->index, id, sizeof(run->id), run);
}

void
Rni_DropInput(struct rn_run *run)
{
    free((void *)run->input.data);
    run->input = (struct bytes){NULL, 0};
}

void
Rni_OrderStart(struct runner *runner, struct now now, struct rn_run *run)
{
    struct rn_act act = {.type = RN_START};
    act.run = Tab_Handle(&runner->runs, run);
    act.id = run->id;
    act.fence = runner->fence;
    runner->is_used = 1;
    run->sent_fence = runner->fence;
    act.lease_end_ms = Rni_GrantLease(runner, now);
    act.leased_until_us = runner->leased_until_us;
    act.input = run->input;
    run->order_pending = 1;
    run->start_pending = 1;
    run->sent_clock_ms = runner->clock_ms;
    run->tries++;
    runner->sink.emit(runner->sink.context, &act);
}

void
Rni_OrderStop(struct runner *runner, struct now now, struct rn_run *run)
{
    struct rn_act act = {.type = RN_STOP};
    uint64_t delay_us = STOP_RETRY_MIN_US << (run->tries < 5 ? run->tries : 5);
    act.run = Tab_Handle(&runner->runs, run);
    act.id = run->id;
    act.fence = runner->fence;
    run->sent_fence = runner->fence;
    run->order_pending = 1;
    run->tries++;
    run->due_us =
        now.us + (delay_us < STOP_RETRY_MAX_US ? delay_us : STOP_RETRY_MAX_US);
    runner->sink.emit(runner->sink.context, &act);
}

void
Rni_BeginStop(struct runner *runner, struct now now, struct rn_run *run,
              enum code code)
{
    run->code = code;
    if (run->state == RN_STOPPING || run->state == RN_STOPPED) {
        return;
    }
    int was_starting = run->state == RN_STARTING;
    run->state = RN_STOPPING;
    run->tries = 0;
    run->due_us = now.us;
    /* While a start order is pending its reply is awaited first, as it decides
     * whether a stop is needed. */
    if (!was_starting || !run->order_pending) {
        Rni_OrderStop(runner, now, run);
    }
}

/* The task's owner learns of it in the next tick: it must not be called back
 * while it starts the task. */
static void
defer_refusal(struct runner *runner, tab_handle task)
{
    CTR_INC(runner->counters, actions_dropped);
    if (runner->unstarted_count < RN_MAX_UNSTARTED) {
        runner->unstarted[runner->unstarted_count++] = task;
    }
}

void
Rn_Start(struct runner *runner, struct now now, tab_handle task,
         const struct msg_start *start)
{
    struct rn_id id;
    memset(&id, 0, sizeof(id));
    id.job = start->name;
    id.task = start->task;
    id.number = start->attempt;
    /* A run of the same task for another entry may not have ended yet. */
    while (Rni_Find(runner, &id)) {
        id.number++;
    }
    struct rn_run *run = Rni_Add(runner, &id);
    void *input = malloc(start->input.size ? start->input.size : 1);
    if (!run || !input) {
        defer_refusal(runner, task);
        free(input);
        if (run) {
            HASH_DELETE(hh, runner->index, run);
            Tab_Remove(&runner->runs, run);
        }
        return;
    }
    if (start->input.size) {
        memcpy(input, start->input.data, start->input.size);
    }
    run->task = task;
    run->input = (struct bytes){input, start->input.size};
    run->estimate_ms = start->estimate_ms;
    run->ordered_us = now.us;
    Rni_OrderStart(runner, now, run);
}

void
Rn_Stop(struct runner *runner, struct now now, tab_handle task)
{
    struct rn_run *run = Rni_FindTask(runner, task);
    if (run) {
        Rni_BeginStop(runner, now, run, CODE_TASK_FAILED);
    }
}

/* Order a start again. Returns -1 if it has been ordered MAX_TRIES times. */
static int
retry_start(struct runner *runner, struct now now, struct rn_run *run)
{
    if (run->tries >= MAX_TRIES) {
        return -1;
    }
    Rni_OrderStart(runner, now, run);
    return 0;
}

static void
on_started(struct runner *runner, struct now now, struct rn_run *run)
{
    run->was_running = 1;
    run->acked_us = now.us;
    run->progress_us = 0;
    Rni_DropInput(run);
    if (run->state == RN_STARTING) {
        run->state = RN_RUNNING;
        Rni_Poll(runner, now);
        return;
    }
    Rni_OrderStop(runner, now, run);
}

/* Give up starting a run. A refusal concerns one order only: an earlier order
 * without an answer may have been carried out, or may be carried out later.
 * The run is then ended by a stop order, which makes the upstream reject the
 * earlier ones. */
static void
give_up(struct runner *runner, struct now now, struct rn_run *run,
        enum code code)
{
    if (!run->start_unanswered) {
        Rni_End(runner, now, run, RN_REFUSED, code);
        return;
    }
    run->state = RN_STARTING;
    Rni_BeginStop(runner, now, run, code);
}

/* Handle a reply that says that a start order was not carried out. */
static void
on_not_started(struct runner *runner, struct now now, struct rn_run *run,
               enum rn_reply reply)
{
    int is_wanted = run->state == RN_STARTING;
    switch (reply) {
    case RN_OLD_NUMBER:
        if (run->start_unanswered) {
            /* The earlier order without an answer was carried out, and the run
             * has ended already. Its outcome is in the list of ends. */
            on_started(runner, now, run);
            return;
        }
        Rni_Renumber(runner, run,
                     run->id.number + ((uint32_t)NUMBER_STEP << run->tries));
        if (is_wanted && retry_start(runner, now, run) == 0) {
            return;
        }
        break;
    case RN_FENCED:
        Rni_OnFenced(runner, run->sent_fence);
        if (is_wanted && retry_start(runner, now, run) == 0) {
            return;
        }
        break;
    case RN_LATE:
        if (is_wanted && retry_start(runner, now, run) == 0) {
            return;
        }
        break;
    case RN_NO_ROOM:
        runner->want_short_poll = 1;
        give_up(runner, now, run, is_wanted ? CODE_NO_ROOM : run->code);
        return;
    case RN_NOT_NOW:
        give_up(runner, now, run, is_wanted ? CODE_UNHEALTHY : run->code);
        return;
    case RN_NOT_UNDERSTOOD:
        give_up(runner, now, run, CODE_TASK_FAILED);
        return;
    case RN_UNREACHED:
        if (++runner->unreached_orders >= MAX_UNREACHED) {
            Rni_Disconnect(runner);
        }
        break;
    case RN_OTHER_INSTANCE:
        Rni_Disconnect(runner);
        Rni_End(runner, now, run, RN_ELSEWHERE,
                is_wanted ? CODE_NO_UPSTREAM : run->code);
        return;
    case RN_DONE:
    case RN_NO_ANSWER:
        break;
    }
    give_up(runner, now, run, is_wanted ? CODE_NO_UPSTREAM : run->code);
}

/* Find the run whose order got a reply, and record what every reply tells.
 * NULL if the run is over. */
static struct rn_run *
record_reply(struct runner *runner, struct now now, tab_handle handle,
             enum rn_reply reply, uint64_t clock_ms)
{
    struct rn_run *run = Tab_Get(&runner->runs, handle);
    if (!run) {
        return NULL;
    }
    run->order_pending = 0;
    run->start_pending = 0;
    Rni_SetClock(runner, now, clock_ms);
    if (reply != RN_NO_ANSWER && reply != RN_UNREACHED) {
        runner->refused_us = 0;
        runner->last_reply_us = now.us;
        runner->unreached_orders = 0;
    }
    return run;
}

/* An upstream whose clock is behind what it was when the order was sent has
 * restarted. */
static void
check_clock(struct runner *runner, struct now now, tab_handle handle,
            uint64_t clock_ms)
{
    const struct rn_run *run = Tab_Get(&runner->runs, handle);
    if (run && !run->is_unsettled && clock_ms &&
        clock_ms < run->sent_clock_ms) {
        Rni_OnRestart(runner, now, 0);
    }
}

void
Rn_OnStarted(struct runner *runner, struct now now, tab_handle handle,
             enum rn_reply reply, uint64_t clock_ms)
{
    check_clock(runner, now, handle, clock_ms);
    struct rn_run *run = record_reply(runner, now, handle, reply, clock_ms);
    if (reply == RN_NO_ANSWER) {
        Rni_OnReplyLost(runner, now);
        runner->late_start_until_us = now.us + RN_MAX_ORDER_DELAY_US;
    }
    if (run && run->is_unsettled) {
        run->start_unanswered |= reply == RN_NO_ANSWER;
        Rni_Poll(runner, now);
        return;
    }
    if (!run || run->state == RN_RUNNING) {
        return;
    }
    if (reply == RN_DONE) {
        on_started(runner, now, run);
    }
    else if (reply != RN_NO_ANSWER) {
        on_not_started(runner, now, run, reply);
    }
    else {
        int is_wanted = run->state == RN_STARTING;
        CTR_INC(runner->counters, starts_unanswered);
        run->start_unanswered = 1;
        if (!is_wanted || retry_start(runner, now, run)) {
            give_up(runner, now, run,
                    is_wanted ? CODE_NO_UPSTREAM : run->code);
        }
    }
}

void
Rn_OnStopped(struct runner *runner, struct now now, tab_handle handle,
             enum rn_reply reply, uint64_t clock_ms)
{
    struct rn_run *run = record_reply(runner, now, handle, reply, clock_ms);
    if (!run) {
        return;
    }
    if (reply == RN_DONE) {
        run->state = RN_STOPPED;
        run->acked_us = now.us;
        run->due_us = now.us + 2 * runner->max_stop_us;
        Rni_Poll(runner, now);
        return;
    }
    CTR_INC(runner->counters, stops_unanswered);
    if (reply == RN_FENCED) {
        Rni_OnFenced(runner, run->sent_fence);
    }
}
