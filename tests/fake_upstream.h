/** @file
 * A runner and the upstream that it gives orders to, which loses orders,
 * carries them out late, stops slowly and starts again. */
#ifndef TESTS_FAKE_UPSTREAM_H
#define TESTS_FAKE_UPSTREAM_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "core/runner.h"

#define LEASE_MS 1000
#define STOP_MS 50
#define MAX_ROWS 64
#define MAX_ORDERS 256
#define BORN 7000

/* A run at the upstream. */
struct row {
    struct rn_id id;
    uint64_t end_ms;  /* When it ends by itself. */
    uint64_t stop_ms; /* When it ends because it was stopped, 0 for not. */
    int used;
};

/* An order on its way. */
struct order {
    struct rn_act act;
    uint64_t due_ms;
    uint64_t reply_ms;
    int is_lost; /* It gets no answer. */
    int used;
    uint64_t sent_ms;
};

static struct runner runner;
static struct counters counters;
static uint64_t now_ms;
static uint64_t clock_offset;
static uint64_t born;
static uint64_t fence;
static uint64_t until_ms;
static uint64_t next_n;
static uint32_t run_ms;
static int stand_still;
static int is_silent;
static int lose_starts;           /* Starts to lose, and carry out... */
static uint64_t late_ms;          /* ...this much later. */
static int refuse_old;            /* Starts below this number are refused. */
static enum rn_reply refuse_with; /* Starts are, RN_DONE for not. */
static struct row rows[MAX_ROWS];
static struct rn_ended ended[MAX_ROWS];
static uint32_t ended_count;
static struct order orders[MAX_ORDERS];
static uint32_t starts;
static uint32_t ends;
static enum code last_code;
static int ready;
static uint64_t ready_ms;
static uint32_t most_twins;
static uint32_t early_ends; /* Runs said to be over that went on. */

static struct now
now(void)
{
    struct now t = {.us = now_ms * US_PER_MS, .wall = 0};
    return t;
}

static uint64_t
clock_now(void)
{
    return now_ms + clock_offset;
}

static struct order *
add_order(const struct rn_act *act)
{
    for (int i = 0; i < MAX_ORDERS; i++) {
        if (!orders[i].used) {
            memset(&orders[i], 0, sizeof(orders[i]));
            orders[i].used = 1;
            orders[i].act = *act;
            orders[i].sent_ms = now_ms;
            orders[i].due_ms = now_ms + 1;
            return &orders[i];
        }
    }
    fail_msg("too many orders");
    return NULL;
}

static struct row *
find_row(const struct rn_id *id)
{
    for (int i = 0; i < MAX_ROWS; i++) {
        if (rows[i].used && memcmp(&rows[i].id, id, sizeof(*id)) == 0) {
            return &rows[i];
        }
    }
    return NULL;
}

static void
emit(void *context, const struct rn_act *act)
{
    (void)context;
    struct order *order;
    switch (act->type) {
    case RN_START:
        starts++;
        order = add_order(act);
        if (lose_starts > 0) {
            lose_starts--;
            order->is_lost = 1;
            order->due_ms = now_ms + late_ms;
        }
        break;
    case RN_STOP:
    case RN_LOOK:
        add_order(act);
        break;
    case RN_END:
        ends++;
        early_ends += find_row(&act->id) != NULL;
        last_code = act->code;
        break;
    case RN_READY:
        ready = 1;
        ready_ms = now_ms;
        break;
    case RN_GONE:
        ready = 0;
        break;
    }
}

/* Numbers that a stop or an end has made void. */
static struct rn_id voided[MAX_ROWS];
static uint32_t voided_count;

static void
make_void(const struct rn_id *id)
{
    voided[voided_count++ % MAX_ROWS] = *id;
}

static struct row *
add_row(const struct rn_id *id)
{
    for (int i = 0; i < MAX_ROWS; i++) {
        if (!rows[i].used) {
            rows[i] =
                (struct row){.id = *id, .end_ms = now_ms + run_ms, .used = 1};
            return &rows[i];
        }
    }
    fail_msg("too many runs");
    return NULL;
}

static void
end_row(struct row *row, enum rn_how how)
{
    row->used = 0;
    make_void(&row->id);
    if (ended_count == MAX_ROWS) {
        memmove(ended, ended + 1, sizeof(ended) - sizeof(ended[0]));
        ended_count--;
    }
    ended[ended_count++] =
        (struct rn_ended){.n = ++next_n, .id = row->id, .how = how};
}

static int
is_void(const struct rn_id *id)
{
    for (uint32_t i = 0; i < voided_count && i < MAX_ROWS; i++) {
        if (voided[i].job == id->job && voided[i].task == id->task &&
            id->number <= voided[i].number) {
            return 1;
        }
    }
    return 0;
}

static enum rn_reply
carry_out(const struct rn_act *act)
{
    if (act->fence < fence) {
        return RN_FENCED;
    }
    fence = act->fence;
    if (act->until_ms > until_ms) {
        until_ms = act->until_ms;
    }
    struct row *row = find_row(&act->id);
    switch (act->type) {
    case RN_START:
        if (refuse_with != RN_DONE) {
            return refuse_with;
        }
        if (is_void(&act->id) || act->id.number < (uint32_t)refuse_old) {
            return RN_OLD_NUMBER;
        }
        if (!row) {
            add_row(&act->id);
        }
        break;
    case RN_STOP:
        make_void(&act->id);
        if (row && !row->stop_ms) {
            row->stop_ms = now_ms + STOP_MS;
        }
        break;
    default:
        break;
    }
    return RN_DONE;
}

static void
write_view(struct rn_view *view, uint64_t seen)
{
    memset(view, 0, sizeof(*view));
    view->clock_ms = clock_now();
    view->born_ms = born;
    for (int i = 0; i < MAX_ROWS; i++) {
        /* What is being stopped is not listed, but takes its room. */
        if (rows[i].used && !rows[i].stop_ms) {
            struct rn_running *out = &view->running[view->running_count++];
            out->id = rows[i].id;
            out->percent = stand_still ? 0 : (uint32_t)(now_ms % 1000000);
        }
    }
    for (uint32_t i = 0; i < ended_count; i++) {
        if (ended[i].n > seen) {
            view->ended[view->ended_count++] = ended[i];
        }
    }
}

static int
has_news(const struct order *order)
{
    return ended_count && ended[ended_count - 1].n > order->act.seen;
}

static void
answer(struct order *order)
{
    static struct rn_view view;
    struct rn_act act = order->act;
    if (is_silent || order->is_lost) {
        uint64_t limit_ms = act.type == RN_LOOK ? act.wait_ms + 200 : 100;
        if (now_ms < order->sent_ms + limit_ms &&
            order->due_ms <= order->sent_ms + 1) {
            return;
        }
    }
    if (is_silent) {
        order->used = 0;
        if (act.type == RN_LOOK) {
            Rn_OnLook(&runner, now(), act.look, RN_NO_ANSWER, &view);
        }
        return;
    }
    if (act.type == RN_LOOK && act.wait_ms && !has_news(order) &&
        now_ms < order->due_ms + act.wait_ms) {
        return;
    }
    order->used = 0;
    enum rn_reply reply = carry_out(&act);
    if (order->is_lost) {
        return;
    }
    switch (act.type) {
    case RN_START:
        Rn_OnStarted(&runner, now(), act.run, reply, clock_now());
        break;
    case RN_STOP:
        Rn_OnStopped(&runner, now(), act.run, reply, clock_now());
        break;
    default:
        write_view(&view, act.seen);
        Rn_OnLook(&runner, now(), act.look, reply, &view);
        break;
    }
}

static void
time_out_lost(void)
{
    for (int i = 0; i < MAX_ORDERS; i++) {
        struct order *order = &orders[i];
        if (order->used && order->is_lost == 1 &&
            now_ms >= order->sent_ms + 100) {
            order->is_lost = 2;
            Rn_OnStarted(&runner, now(), order->act.run, RN_NO_ANSWER, 0);
        }
    }
}

static void
count_twins(void)
{
    for (int i = 0; i < MAX_ROWS; i++) {
        uint32_t twins = 0;
        for (int j = 0; rows[i].used && j < MAX_ROWS; j++) {
            twins += rows[j].used && rows[j].id.job == rows[i].id.job &&
                     rows[j].id.task == rows[i].id.task;
        }
        most_twins = twins > most_twins ? twins : most_twins;
    }
}

static void
run_for(uint64_t ms)
{
    for (uint64_t end = now_ms + ms; now_ms < end; now_ms++) {
        for (int i = 0; i < MAX_ROWS; i++) {
            if (!rows[i].used) {
                continue;
            }
            if (rows[i].stop_ms && now_ms >= rows[i].stop_ms) {
                end_row(&rows[i], RN_HOW_STOPPED);
            }
            else if (clock_now() >= until_ms) {
                end_row(&rows[i], RN_HOW_LOST);
            }
            else if (now_ms >= rows[i].end_ms && !stand_still) {
                end_row(&rows[i], RN_HOW_DONE);
            }
        }
        time_out_lost();
        for (int i = 0; i < MAX_ORDERS; i++) {
            if (orders[i].used && now_ms >= orders[i].due_ms) {
                answer(&orders[i]);
            }
        }
        count_twins();
        if (now_ms % 20 == 0) {
            Rn_OnTick(&runner, now());
        }
    }
}

static int
set_up(void **state)
{
    struct rn_sink sink = {emit, NULL};
    (void)state;
    memset(&counters, 0, sizeof(counters));
    memset(rows, 0, sizeof(rows));
    memset(orders, 0, sizeof(orders));
    now_ms = 1000;
    clock_offset = 400000;
    born = BORN;
    fence = until_ms = next_n = 0;
    run_ms = 60;
    stand_still = is_silent = lose_starts = refuse_old = ready = 0;
    refuse_with = RN_DONE;
    ended_count = starts = ends = most_twins = early_ends = voided_count = 0;
    return Rn_Init(&runner, LEASE_MS * US_PER_MS, STOP_MS * US_PER_MS, sink,
                   &counters);
}

static int
tear_down(void **state)
{
    (void)state;
    Rn_Finish(&runner);
    return 0;
}

static void
meet(void)
{
    Rn_OnAnnounce(&runner, now(), born, clock_now());
    run_for(100);
}

static void
start(uint64_t job, uint32_t attempt, uint32_t expect_ms)
{
    struct msg_start msg = {.name = job, .attempt = attempt};
    msg.estimate_ms = expect_ms;
    Rn_Start(&runner, now(), job, &msg);
}

#endif
