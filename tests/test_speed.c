/* Machines of different speeds: what is learned of them, and which tasks run
 * where. Guards against long tasks that miss their objective on a slow machine
 * while a fast one has room, and against fast machines that are taken for slow
 * because of a single long task. */
#include "caller.h"

#include "core/speed.h"

#define ESTIMATE_US 100000u
#define SHORT_MS 40
#define LONG_MS 800
/* Run times on the slow worker, as a multiple of those on the fast one. */
#define SLOW_FACTOR 3
#define CONN(n) ((conn_id)(n) + 100)

static const uint64_t kind_a = 1;
static const uint64_t kind_b = 2;

static struct net net;
static struct net_node *entry;
static struct net_node *fast;
static struct net_node *slow;

static struct now
at_ms(uint64_t ms)
{
    struct now now = {.us = 100 * US_PER_S + ms * US_PER_MS};
    return now;
}

/* The worker runs `count` tasks of `factor` times their estimate, one every 10
 * ms from `from_ms` on. */
static void
learn(struct speed_table *table, struct speed *worker, uint64_t kind,
      uint64_t from_ms, uint32_t count, double factor)
{
    for (uint32_t i = 0; i < count; i++) {
        Speed_Learn(table, worker, kind, at_ms(from_ms + 10ull * i),
                    (uint64_t)(ESTIMATE_US * factor), ESTIMATE_US);
    }
}

static void
nothing_is_known_of_a_new_worker(void **state)
{
    struct speed_table table = {.count = 0};
    struct speed worker = {0};
    (void)state;
    assert_true(Speed_Factor(&table, &worker, kind_a, at_ms(0)) == 1);
    Speed_Learn(&table, &worker, kind_a, at_ms(0), 0, ESTIMATE_US);
    Speed_Learn(&table, &worker, kind_a, at_ms(0), ESTIMATE_US, 0);
    assert_int_equal(table.count, 0);
}

static void
a_new_worker_is_like_others_of_its_kind(void **state)
{
    struct speed_table table = {.count = 0};
    struct speed known = {0};
    struct speed added = {0};
    (void)state;
    learn(&table, &known, kind_b, 0, 60, 1.7);
    double factor = Speed_Factor(&table, &added, kind_b, at_ms(600));
    assert_true(factor > 1.6 && factor < 1.8);
    assert_true(Speed_Factor(&table, &added, kind_a, at_ms(600)) == 1);
}

static void
a_worker_that_turns_slow_differs_from_its_kind(void **state)
{
    struct speed_table table = {.count = 0};
    struct speed others = {0};
    struct speed worker = {0};
    (void)state;
    learn(&table, &others, kind_a, 0, 300, 1);
    learn(&table, &worker, kind_a, 0, 100, 1);
    learn(&table, &worker, kind_a, 1000, 24, 3);
    assert_true(Speed_Factor(&table, &worker, kind_a, at_ms(1240)) > 1.7);
    assert_true(Speed_Factor(&table, &others, kind_a, at_ms(1240)) == 1);
    learn(&table, &worker, kind_a, 1240, 48, 1);
    assert_true(Speed_Factor(&table, &worker, kind_a, at_ms(1720)) < 1.7);
}

/* Run times spread by a factor of 1.5 either way, and 3 of 100 take 7 times as
 * long. */
static void
a_long_tail_is_not_taken_for_a_slow_worker(void **state)
{
    struct speed_table table = {.count = 0};
    struct speed worker = {0};
    (void)state;
    for (uint64_t i = 0; i < 600; i++) {
        double factor = i % 2 ? 1.5 : 1 / 1.5;
        factor = i % 33 == 32 ? 7 : factor;
        learn(&table, &worker, kind_a, 10 * i, 1, factor);
        assert_true(Speed_Factor(&table, &worker, kind_a, at_ms(10 * i)) <
                    1.6);
    }
}

/* A slow worker gets few tasks, so its own average must not last. */
static void
an_old_average_is_not_used(void **state)
{
    struct speed_table table = {.count = 0};
    struct speed others = {0};
    struct speed worker = {0};
    (void)state;
    learn(&table, &others, kind_a, 0, 300, 1);
    learn(&table, &worker, kind_a, 0, 24, 3);
    assert_true(Speed_Factor(&table, &worker, kind_a, at_ms(240)) > 1.7);
    assert_true(Speed_Factor(&table, &worker, kind_a, at_ms(3300)) == 1);
}

static void
the_kind_unused_for_longest_is_replaced(void **state)
{
    struct speed_table table = {.count = 0};
    struct speed worker = {0};
    (void)state;
    for (uint64_t kind = 1; kind <= 1000; kind++) {
        learn(&table, &worker, kind, kind * 1000, 20, 2);
        assert_true(table.count <= SPEED_KINDS);
    }
    struct speed added = {0};
    assert_true(Speed_Factor(&table, &added, 1000, at_ms(2000000)) > 1.5);
    assert_true(Speed_Factor(&table, &added, 1, at_ms(2000000)) == 1);
}

static int
set_up(void **state)
{
    *state = &net;
    Net_InitRestartable(&net);
    fast = Net_AddWorker(&net, "fast");
    slow = Net_AddWorker(&net, "slow");
    Labels_Add(&fast->labels, "a");
    Labels_Add(&slow->labels, "b");
    entry = Net_AddEntry(&net, "entry-1");
    Net_Run(&net, 1500);
    return 0;
}

/* Submits a job of one task that needs `cpu` thousandths of a core and is
 * estimated to run for `run_ms`. */
static void
submit(uint32_t conn, const char *kind, uint32_t run_ms, uint32_t cpu)
{
    struct sub_step step = {.need = {cpu, 64, 0}};
    struct sub_task task = {.no = 1, .run_ms = run_ms};
    struct submission sub = {
        .key = Net_IssueKey(entry),
        .service = "finishing",
        .deadline_ms = 6000,
        .flags = SUB_RESTART,
        .task_count = 1,
        .tasks = &task,
        .name = 7000 + conn,
        .step_count = 1,
        .steps = &step,
        .max_attempts = 3,
        .target_ms = 60,
        .stretch_percent = 160,
    };
    snprintf(sub.kind, sizeof(sub.kind), "%s", kind);
    Ent_OnSubmit(&entry->entry, net.now, CONN(conn), &sub);
}

static uint32_t
starts_at(const struct net_node *node, uint32_t from)
{
    uint32_t count = 0;
    for (uint32_t i = from; i < net.start_count; i++) {
        count += net.starts[i].node == node;
    }
    return count;
}

/* Short tasks on both workers, two of three on the fast one, show the
 * difference. */
static void
learn_speeds(void)
{
    fast->run_ms = SHORT_MS;
    slow->run_ms = SLOW_FACTOR * SHORT_MS;
    for (uint32_t i = 0; i < 30; i++) {
        for (uint32_t j = 0; j < 3; j++) {
            submit(3 * i + j, "short", SHORT_MS, 8000);
        }
        Net_Run(&net, 150);
    }
    fast->run_ms = LONG_MS;
    slow->run_ms = SLOW_FACTOR * LONG_MS;
}

static void
long_tasks_run_on_fast_workers(void **state)
{
    (void)state;
    learn_speeds();
    uint32_t before = net.start_count;
    for (uint32_t i = 0; i < 4; i++) {
        submit(200 + i, "long", LONG_MS, 2000);
    }
    Net_Run(&net, 200);
    assert_int_equal(starts_at(fast, before), 4);
    assert_int_equal(starts_at(slow, before), 0);
}

/* The fast worker is full until 250 ms later. Long tasks wait, as long as they
 * can still end in time there. */
static void
long_tasks_wait_for_a_fast_worker(void **state)
{
    (void)state;
    learn_speeds();
    fast->run_ms = 250;
    submit(200, "long", LONG_MS, 8000);
    Net_Run(&net, 20);
    fast->run_ms = LONG_MS;
    uint32_t before = net.start_count;
    submit(201, "long", LONG_MS, 8000);
    Net_Run(&net, 200);
    assert_int_equal(net.start_count, before);
    assert_true(net.counters.value[CTR_waits_for_fast] > 0);
    Net_Run(&net, 200);
    assert_int_equal(starts_at(fast, before), 1);
}

/* No slot stays idle for the sake of a job that cannot end in time anyway. */
static void
long_tasks_that_cannot_be_in_time_run_on_slow_workers(void **state)
{
    (void)state;
    learn_speeds();
    submit(200, "long", LONG_MS, 8000);
    Net_Run(&net, 20);
    uint32_t before = net.start_count;
    submit(201, "long", LONG_MS, 8000);
    Net_Run(&net, 650);
    assert_int_equal(starts_at(slow, before), 1);
}

/* The slack of a short job covers the slow worker. */
static void
short_tasks_use_slow_workers_at_once(void **state)
{
    (void)state;
    learn_speeds();
    uint32_t before = net.start_count;
    submit(200, "long", LONG_MS, 8000);
    submit(201, "short", SHORT_MS, 8000);
    Net_Run(&net, 20);
    assert_int_equal(starts_at(fast, before), 1);
    assert_int_equal(starts_at(slow, before), 1);
}

/* With slow workers only, a job must not wait for a fast one. */
static void
slow_workers_are_used_where_there_are_no_others(void **state)
{
    (void)state;
    learn_speeds();
    fast->leaving = 1;
    Net_Run(&net, 600); /* Until the next announcement. */
    uint32_t before = net.start_count;
    uint64_t on_slow = net.counters.value[CTR_starts_on_slow];
    submit(200, "long", LONG_MS, 8000);
    Net_Run(&net, 20);
    assert_int_equal(starts_at(slow, before), 1);
    assert_true(net.counters.value[CTR_starts_on_slow] > on_slow);
}

#define TEST(f) cmocka_unit_test(f)
#define NET_TEST(f) cmocka_unit_test_setup_teardown(f, set_up, Net_TearDown)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        TEST(nothing_is_known_of_a_new_worker),
        TEST(a_new_worker_is_like_others_of_its_kind),
        TEST(a_worker_that_turns_slow_differs_from_its_kind),
        TEST(a_long_tail_is_not_taken_for_a_slow_worker),
        TEST(an_old_average_is_not_used),
        TEST(the_kind_unused_for_longest_is_replaced),
        NET_TEST(long_tasks_run_on_fast_workers),
        NET_TEST(long_tasks_wait_for_a_fast_worker),
        NET_TEST(long_tasks_that_cannot_be_in_time_run_on_slow_workers),
        NET_TEST(short_tasks_use_slow_workers_at_once),
        NET_TEST(slow_workers_are_used_where_there_are_no_others),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
