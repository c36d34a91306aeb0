/* Orders to start and to stop, and their replies. */
#include <stdlib.h>
#include <string.h>

#include "runner_impl.h"

/* A start that meets a higher number is given one higher by this, doubled
 * each time. */
#define NUMBER_STEP 16
/* Times that a start is ordered while its replies may be mended or do not
 * come. The same run starts once, however often it is ordered. */
#define MAX_TRIES 5
/* Orders in a row that did not leave after which the upstream is gone. */
#define MAX_UNREACHED 3
/* A stop without an answer is ordered again after this, doubled each time up
 * to the second bound. */
#define STOP_LEAST_US (50 * US_PER_MS)
#define STOP_MOST_US (1 * US_PER_S)

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

static void
drop_input(struct rn_run *run)
{
    free((void *)run->input.data);
    run->input = (struct bytes){NULL, 0};
}

void
Rni_End(struct runner *runner, struct now now, struct rn_run *run,
        enum code code)
{
    struct rn_act act = {.type = RN_END};
    act.task = run->task;
    act.id = run->id;
    act.code = code;
    act.run_us = (uint32_t)(now.us - run->begun_us);
    drop_input(run);
    HASH_DELETE(hh, runner->index, run);
    Tab_Remove(&runner->runs, run);
    if (act.task) {
        runner->sink.emit(runner->sink.context, &act);
    }
}

void
Rni_OrderStart(struct runner *runner, struct now now, struct rn_run *run)
{
    struct rn_act act = {.type = RN_START};
    act.run = Tab_Handle(&runner->runs, run);
    act.id = run->id;
    act.fence = runner->fence;
    act.until_ms = Rni_Until(runner, now);
    act.input = run->input;
    run->order_out = 1;
    run->tries++;
    run->covered_us = now.us;
    runner->sink.emit(runner->sink.context, &act);
}

void
Rni_OrderStop(struct runner *runner, struct now now, struct rn_run *run)
{
    struct rn_act act = {.type = RN_STOP};
    uint64_t pause_us = STOP_LEAST_US << (run->tries < 5 ? run->tries : 5);
    act.run = Tab_Handle(&runner->runs, run);
    act.id = run->id;
    act.fence = runner->fence;
    run->order_out = 1;
    run->tries++;
    run->next_us =
        now.us + (pause_us < STOP_MOST_US ? pause_us : STOP_MOST_US);
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
    run->next_us = now.us;
    /* A start under way is settled first: its reply decides. */
    if (!was_starting || !run->order_out) {
        Rni_OrderStop(runner, now, run);
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
    /* Another entry's run of the same task may still be ending. */
    while (Rni_Find(runner, &id)) {
        id.number++;
    }
    struct rn_run *run = Rni_Add(runner, &id);
    void *input = malloc(start->input.size ? start->input.size : 1);
    if (!run || !input) {
        /* Without a row the task's own lease ends it at the agent. */
        CTR_INC(runner->counters, actions_dropped);
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
    run->expect_ms = start->estimate_ms;
    run->begun_us = now.us;
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

/* A reply after which the start can be ordered again. Returns -1 when it has
 * been ordered too often. */
static int
order_again(struct runner *runner, struct now now, struct rn_run *run)
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
    run->settled_us = now.us;
    run->moved_us = 0;
    drop_input(run);
    if (run->state == RN_STARTING) {
        run->state = RN_RUNNING;
        Rni_Look(runner, now);
        return;
    }
    Rni_OrderStop(runner, now, run);
}

/* The run is over here. A refusal tells of one order only: an earlier one
 * without an answer may have been carried out, or be later, until a stop makes
 * it void. */
static void
give_up(struct runner *runner, struct now now, struct rn_run *run,
        enum code code)
{
    if (!run->was_unanswered) {
        Rni_End(runner, now, run, code);
        return;
    }
    run->state = RN_STARTING;
    Rni_BeginStop(runner, now, run, code);
}

/* The order was not carried out. */
static void
on_not_started(struct runner *runner, struct now now, struct rn_run *run,
               enum rn_reply reply)
{
    int wanted = run->state == RN_STARTING;
    switch (reply) {
    case RN_OLD_NUMBER:
        if (run->was_unanswered) {
            /* The order before was carried out, and the run has ended: the
             * lists tell how. */
            on_started(runner, now, run);
            return;
        }
        Rni_Renumber(runner, run,
                     run->id.number + ((uint32_t)NUMBER_STEP << run->tries));
        if (wanted && order_again(runner, now, run) == 0) {
            return;
        }
        break;
    case RN_FENCED:
        /* Its clock has passed every fence that was taken from it. */
        if (runner->clock_ms > runner->fence) {
            runner->fence = runner->clock_ms;
        }
        if (wanted && order_again(runner, now, run) == 0) {
            return;
        }
        break;
    case RN_LATE:
        if (wanted && order_again(runner, now, run) == 0) {
            return;
        }
        break;
    case RN_NO_ROOM:
        runner->want_peek = 1;
        give_up(runner, now, run, wanted ? CODE_NO_ROOM : run->code);
        return;
    case RN_NOT_NOW:
        give_up(runner, now, run, wanted ? CODE_UNHEALTHY : run->code);
        return;
    case RN_NOT_UNDERSTOOD:
        give_up(runner, now, run, CODE_TASK_FAILED);
        return;
    case RN_UNREACHED:
        if (++runner->unreached >= MAX_UNREACHED) {
            Rni_Lose(runner);
        }
        break;
    case RN_OTHER_LIFE:
        /* What ran in the life before has ended with it. */
        run->was_unanswered = 0;
        Rni_Lose(runner);
        break;
    case RN_DONE:
    case RN_NO_ANSWER:
        break;
    }
    give_up(runner, now, run, wanted ? CODE_NO_UPSTREAM : run->code);
}

/* The run whose order got a reply; NULL when it is over. */
static struct rn_run *
take_reply(struct runner *runner, struct now now, tab_handle handle,
           enum rn_reply reply, uint64_t clock_ms)
{
    struct rn_run *run = Tab_Get(&runner->runs, handle);
    if (!run) {
        return NULL;
    }
    run->order_out = 0;
    Rni_NoteClock(runner, now, clock_ms);
    if (reply != RN_NO_ANSWER && reply != RN_UNREACHED) {
        runner->heard_us = now.us;
        runner->unreached = 0;
    }
    return run;
}

void
Rn_OnStarted(struct runner *runner, struct now now, tab_handle handle,
             enum rn_reply reply, uint64_t clock_ms)
{
    struct rn_run *run = take_reply(runner, now, handle, reply, clock_ms);
    if (run && reply == RN_NO_ANSWER) {
        Rni_NoteLost(runner, now);
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
        int wanted = run->state == RN_STARTING;
        CTR_INC(runner->counters, starts_unanswered);
        run->was_unanswered = 1;
        if (!wanted || order_again(runner, now, run)) {
            give_up(runner, now, run, wanted ? CODE_NO_UPSTREAM : run->code);
        }
    }
}

void
Rn_OnStopped(struct runner *runner, struct now now, tab_handle handle,
             enum rn_reply reply, uint64_t clock_ms)
{
    struct rn_run *run = take_reply(runner, now, handle, reply, clock_ms);
    if (!run) {
        return;
    }
    if (reply == RN_DONE) {
        run->state = RN_STOPPED;
        run->settled_us = now.us;
        run->next_us = now.us + 2 * runner->stop_us;
        Rni_Look(runner, now);
        return;
    }
    CTR_INC(runner->counters, stops_unanswered);
    if (reply == RN_FENCED && runner->clock_ms > runner->fence) {
        runner->fence = runner->clock_ms;
    }
}
