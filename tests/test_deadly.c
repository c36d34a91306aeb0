/* Tasks that crash the upstreams that run them. Guards against one task that
 * crashes upstream after upstream, and against a price for the tasks beside
 * it. */
#include "caller.h"

#define DEADLY 0xdeadull
#define WORKERS 9
#define ENTRIES 3

static struct net net;
static struct net_node *workers[WORKERS];
static struct net_node *entries[ENTRIES];

static int
is_deadly(const struct msg_start *start)
{
    return start->name / 0x10000 == DEADLY && start->task == 0;
}

static int
set_up(void **state)
{
    *state = &net;
    Net_InitRestartable(&net);
    Net_AddFleet(&net, workers, WORKERS, entries, ENTRIES);
    net.is_deadly = is_deadly;
    Net_Run(&net, 1500);
    return 0;
}

static struct key
submit(int entry, conn_id conn, uint64_t name, uint32_t tasks)
{
    struct net_job job = {name, tasks, 2000, 50, 5000};
    return Net_SubmitJob(entries[entry], conn, &job);
}

static uint32_t
count_crashes(void)
{
    uint32_t crashes = 0;
    for (int i = 0; i < WORKERS; i++) {
        crashes += workers[i]->crashes;
    }
    return crashes;
}

static void
a_task_that_crashes_upstreams_is_given_up_after_two(void **state)
{
    (void)state;
    submit(0, 1, DEADLY * 0x10000, 2);
    Net_Run(&net, 4900);
    assert_int_equal(count_crashes(), 2);
    assert_int_equal(Net_Answer(&net, 1), CODE_CRASHES_WORKERS);
    /* Its caller submits it again, to another entry. */
    submit(1, 2, DEADLY * 0x10000, 2);
    Net_Run(&net, 4900);
    assert_int_equal(count_crashes(), 2);
    assert_int_equal(Net_Answer(&net, 2), CODE_CRASHES_WORKERS);
}

static void
crashes_are_counted_across_entries(void **state)
{
    (void)state;
    submit(0, 1, DEADLY * 0x10000, 1);
    Net_Run(&net, NET_CRASH_MS);
    Net_Kill(entries[0]);
    Net_Run(&net, RESUBMIT_MS);
    assert_int_equal(count_crashes(), 1);
    submit(1, 2, DEADLY * 0x10000, 1);
    Net_Run(&net, 4900);
    assert_int_equal(count_crashes(), 2);
    assert_int_equal(Net_Answer(&net, 2), CODE_CRASHES_WORKERS);
}

static void
tasks_beside_a_deadly_one_are_not_given_up(void **state)
{
    (void)state;
    for (int i = 0; i < WORKERS; i++) {
        workers[i]->run_ms = 200;
    }
    for (uint32_t i = 0; i < 18; i++) {
        submit((int)i % ENTRIES, 100 + i, 1000 + i, 1);
    }
    Net_Run(&net, 100);
    submit(0, 1, DEADLY * 0x10000, 1);
    Net_Run(&net, 2000);
    assert_int_equal(Net_Answer(&net, 1), CODE_CRASHES_WORKERS);
    for (uint32_t i = 0; i < 18; i++) {
        assert_int_equal(Net_Answer(&net, 100 + i), CODE_OK);
    }
    assert_true(Net_Repeats(&net) > 1);
}

/* Drops the first report of each crash. */
static enum net_verdict
drop_first_report(struct net *n, const struct net_node *from,
                  const struct net_node *to, const struct msg *msg)
{
    (void)from;
    (void)to;
    return msg->type == MSG_CRASH && n->filter_arg++ < ENTRIES ? NET_DROP
                                                               : NET_PASS;
}

static void
a_lost_report_of_a_crash_is_repeated(void **state)
{
    (void)state;
    net.filter = drop_first_report;
    submit(0, 1, DEADLY * 0x10000, 1);
    Net_Run(&net, NET_CRASH_MS);
    Net_Kill(entries[0]);
    Net_Run(&net, RESUBMIT_MS);
    submit(1, 2, DEADLY * 0x10000, 1);
    Net_Run(&net, 4900);
    assert_int_equal(count_crashes(), 2);
}

int
main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, Net_TearDown)
    const struct CMUnitTest tests[] = {
        TEST(a_task_that_crashes_upstreams_is_given_up_after_two),
        TEST(crashes_are_counted_across_entries),
        TEST(tasks_beside_a_deadly_one_are_not_given_up),
        TEST(a_lost_report_of_a_crash_is_repeated),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
