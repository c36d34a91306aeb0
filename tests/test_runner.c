/* The runner against an upstream that loses orders, carries them out late,
 * stops slowly and starts again. */
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
static int lose_starts;  /* Starts to lose, and carry out... */
static uint64_t late_ms; /* ...this much later. */
static int refuse_old;   /* Starts below this number are refused. */
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
find_row(const struct rn_id *id)
{
    for (int i = 0; i < MAX_ROWS; i++) {
        if (rows[i].used && memcmp(&rows[i].id, id, sizeof(*id)) == 0) {
            return &rows[i];
        }
    }
    return NULL;
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
    ended_count = starts = ends = most_twins = voided_count = 0;
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
    msg.expect_ms = expect_ms;
    Rn_Start(&runner, now(), job, &msg);
}

static void
a_task_runs_to_its_end(void **state)
{
    (void)state;
    meet();
    assert_true(ready);
    start(1, 1, 60);
    run_for(70);
    assert_int_equal(ends, 1);
    assert_int_equal(last_code, CODE_OK);
    assert_int_equal(runner.runs.used, 0);
}

static void
runs_of_before_are_ended_before_it_is_usable(void **state)
{
    struct rn_id old = {.job = 9, .number = 3};
    (void)state;
    run_ms = 5000;
    fence = clock_now() - 50;
    until_ms = clock_now() + LEASE_MS;
    add_row(&old);
    Rn_OnAnnounce(&runner, now(), born, clock_now());
    run_for(2);
    /* The lists have not come yet: nothing is known to be clear. */
    Rn_OnTick(&runner, now());
    assert_false(ready);
    run_for(200);
    assert_true(ready);
    assert_null(find_row(&old));
    assert_true(ready_ms >= 1000 + STOP_MS);
}

static void
a_stopped_run_keeps_its_row_until_its_end_is_listed(void **state)
{
    (void)state;
    run_ms = 5000;
    meet();
    start(1, 1, 0);
    run_for(20);
    Rn_Stop(&runner, now(), 1);
    for (int i = 0; i < STOP_MS - 5; i++) {
        run_for(1);
        assert_int_equal(ends, 0);
    }
    run_for(30);
    assert_int_equal(ends, 1);
}

static void
an_unanswered_start_is_ordered_again_and_runs_once(void **state)
{
    (void)state;
    meet();
    lose_starts = 1;
    late_ms = 2000;
    start(1, 1, 0);
    run_for(400);
    assert_int_equal(ends, 1);
    assert_int_equal(last_code, CODE_OK);
    assert_int_equal(starts, 2);
    run_for(2500);
    /* The late order found its run over. */
    assert_int_equal(next_n, 1);
}

static void
an_unanswered_start_is_made_void_before_its_end(void **state)
{
    (void)state;
    run_ms = 5000;
    meet();
    lose_starts = 5;
    late_ms = 3000;
    start(1, 1, 0);
    run_for(1000);
    assert_int_equal(ends, 1);
    assert_int_equal(last_code, CODE_NO_UPSTREAM);
    /* The next attempt runs; the late order must not run beside it. */
    start(1, 2, 0);
    run_for(4000);
    assert_int_equal(most_twins, 1);
}

static void
an_unanswered_start_that_ran_is_found_in_the_lists(void **state)
{
    (void)state;
    run_ms = 5000;
    meet();
    lose_starts = 5;
    late_ms = 1;
    start(1, 1, 0);
    run_for(800);
    assert_int_equal(ends, 0);
    run_for(4400);
    assert_int_equal(ends, 1);
    assert_int_equal(last_code, CODE_OK);
    assert_int_equal(most_twins, 1);
}

static void
a_new_life_ends_all_runs_at_once(void **state)
{
    (void)state;
    run_ms = 5000;
    meet();
    start(1, 1, 0);
    run_for(20);
    memset(rows, 0, sizeof(rows));
    born += 10;
    fence = ended_count = 0;
    next_n = 0;
    clock_offset = 0;
    Rn_OnAnnounce(&runner, now(), born, clock_now());
    assert_int_equal(ends, 1);
    assert_int_equal(last_code, CODE_RUN_LOST);
    run_for(100);
    assert_true(ready);
}

static void
a_late_word_of_an_earlier_life_changes_nothing(void **state)
{
    (void)state;
    meet();
    start(1, 1, 0);
    Rn_OnAnnounce(&runner, now(), born - 1, 5);
    assert_int_equal(ends, 0);
    run_for(80);
    assert_int_equal(last_code, CODE_OK);
}

/* A question of before may be carried out now: its lease counts from then. */
static void
a_lost_question_may_renew_the_leases(void **state)
{
    (void)state;
    run_ms = 50000;
    meet();
    start(1, 1, 0);
    run_for(600);
    is_silent = 1;
    for (int i = 0; i < 10000; i++) {
        if (i == 3000 || i == 3900) {
            until_ms = clock_now() + LEASE_MS;
        }
        run_for(1);
        struct rn_id id = {.job = 1, .number = 1};
        assert_false(ends && find_row(&id));
        if (i == 500) {
            /* It is alive all the while. */
            until_ms = clock_now() + 5000;
        }
    }
    assert_int_equal(ends, 0);
    run_for(5000);
    assert_int_equal(ends, 1);
}

static void
an_upstream_that_has_gone_keeps_its_runs_until_their_lease_is_over(
    void **state)
{
    (void)state;
    run_ms = 50000;
    meet();
    start(1, 1, 0);
    run_for(600);
    is_silent = 1;
    uint64_t from_ms = now_ms;
    run_for(400);
    Rn_OnRefused(&runner, now());
    while (ends == 0 && now_ms < from_ms + 5000) {
        struct rn_id id = {.job = 1, .number = 1};
        int ran = find_row(&id) != NULL;
        run_for(1);
        if (ends) {
            assert_false(ran);
        }
    }
    assert_int_equal(ends, 1);
    assert_int_equal(last_code, CODE_RUN_LOST);
    assert_false(ready);
}

static void
a_lower_number_is_raised(void **state)
{
    (void)state;
    meet();
    refuse_old = 20;
    start(1, 1, 0);
    run_for(100);
    assert_int_equal(last_code, CODE_OK);
    assert_true(starts > 1);
}

static void
a_task_without_progress_is_stopped(void **state)
{
    (void)state;
    meet();
    stand_still = 1;
    start(1, 1, 60);
    run_for(1500);
    assert_int_equal(ends, 1);
    assert_int_equal(last_code, CODE_STALLED);
}

static void
leases_are_renewed_while_a_task_runs(void **state)
{
    (void)state;
    run_ms = 4000;
    meet();
    start(1, 1, 0);
    run_for(4200);
    assert_int_equal(last_code, CODE_OK);
}

int
main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)
    const struct CMUnitTest tests[] = {
        TEST(a_task_runs_to_its_end),
        TEST(runs_of_before_are_ended_before_it_is_usable),
        TEST(a_stopped_run_keeps_its_row_until_its_end_is_listed),
        TEST(an_unanswered_start_is_ordered_again_and_runs_once),
        TEST(an_unanswered_start_is_made_void_before_its_end),
        TEST(an_unanswered_start_that_ran_is_found_in_the_lists),
        TEST(a_new_life_ends_all_runs_at_once),
        TEST(a_late_word_of_an_earlier_life_changes_nothing),
        TEST(a_lost_question_may_renew_the_leases),
        TEST(
            an_upstream_that_has_gone_keeps_its_runs_until_their_lease_is_over),
        TEST(a_lower_number_is_raised),
        TEST(a_task_without_progress_is_stopped),
        TEST(leases_are_renewed_while_a_task_runs),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
