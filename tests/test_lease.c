/* Leases at upstreams end the runs of lost entries even if their agent is
 * paused, and end no others. */
#include "caller.h"

#define JOB_NAME 0x5c0e7a21d94b36f8ull
#define OTHER_NAME 0x5c0e7a21d94b4000ull

static struct net net;
static struct net_node *entry;
static struct net_node *other_entry;
static struct net_node *agent;

static void
start_net(void)
{
    Net_InitRestartable(&net);
    net.lease_us = LEASE_MS * US_PER_MS;
    agent = Net_AddWorker(&net, "worker-1");
    agent->run_ms = -1;
    entry = Net_AddEntry(&net, "entry-1");
    other_entry = Net_AddEntry(&net, "entry-2");
    Net_Run(&net, 1500);
}

static int
set_up(void **state)
{
    *state = &net;
    start_net();
    return 0;
}

static void
submit(struct net_node *node, uint64_t name)
{
    struct net_job job = {name, 1, 3000, 60000, 60000};
    Net_SubmitJob(node, name, &job);
}

static uint32_t
running(uint64_t name)
{
    uint32_t count = 0;
    for (int i = 0; i < NET_MAX_RUNNING; i++) {
        const struct net_run *run = &net.runs[i];
        count += run->node && !run->is_over && run->job_name == name;
    }
    return count;
}

/* Kills an entry `alive_ms` after its task began, and pauses its agent
 * `pause_ms` later. A task of another entry keeps the leases being renewed. */
static void
check_kill_and_pause(uint32_t alive_ms, uint32_t pause_ms)
{
    start_net();
    submit(entry, JOB_NAME);
    submit(other_entry, OTHER_NAME);
    Net_Run(&net, 10 + alive_ms);
    assert_int_equal(running(JOB_NAME), 1);
    Net_Kill(entry);
    Net_Run(&net, pause_ms);
    agent->paused = 1;
    Net_Run(&net, RESUBMIT_MS - pause_ms);
    if (running(JOB_NAME)) {
        fail_msg("killed after %u ms, paused %u ms later: still running",
                 alive_ms, pause_ms);
    }
    Net_Finish(&net);
}

static void
no_run_outlives_the_time_after_which_its_caller_submits_again(void **state)
{
    (void)state;
    for (uint32_t alive_ms = 0; alive_ms < 800; alive_ms += 90) {
        for (uint32_t ms = 0; ms < RESUBMIT_MS; ms += 40) {
            check_kill_and_pause(alive_ms, ms);
        }
    }
}

/* The start waits at an agent that is paused, and its entry is killed. */
static void
a_start_that_waited_does_not_outlive_that_time_either(void **state)
{
    (void)state;
    for (uint32_t ms = 100; ms < RESUBMIT_MS - 20; ms += 40) {
        start_net();
        submit(other_entry, OTHER_NAME);
        Net_Run(&net, 10);
        submit(entry, JOB_NAME);
        agent->paused = 1;
        Net_Kill(entry);
        Net_Run(&net, ms);
        agent->paused = 0;
        Net_Run(&net, 12);
        agent->paused = 1;
        Net_Run(&net, RESUBMIT_MS - 12 - ms);
        assert_int_equal(running(JOB_NAME), 0);
        Net_Finish(&net);
    }
}

static void
a_lost_entrys_tasks_do_not_end_those_of_other_entries(void **state)
{
    (void)state;
    submit(entry, JOB_NAME);
    submit(other_entry, OTHER_NAME);
    Net_Run(&net, 500);
    Net_Kill(entry);
    for (int ms = 0; ms < 5000; ms++) {
        Net_Run(&net, 1);
        assert_int_equal(running(OTHER_NAME), 1);
    }
    assert_int_equal(running(JOB_NAME), 0);
}

static void
a_start_whose_run_an_earlier_lease_would_outlive_is_refused(void **state)
{
    (void)state;
    Ag_OnLease(&agent->agent, net.now.us + 2 * US_PER_MS * RESUBMIT_MS);
    submit(entry, JOB_NAME);
    Net_Run(&net, RESUBMIT_MS);
    assert_int_equal(net.start_count, 0);
    Net_Run(&net, RESUBMIT_MS);
    assert_int_equal(running(JOB_NAME), 1);
}

/* Drops the agent's heartbeats to the first entry. */
static enum net_verdict
drop_heartbeats(struct net *n, const struct net_node *from,
                const struct net_node *to, const struct msg *msg)
{
    (void)n;
    return from == agent && to == entry && msg->type == MSG_HEARTBEAT
               ? NET_DROP
               : NET_PASS;
}

static void
a_start_refused_as_stale_is_soon_accepted(void **state)
{
    (void)state;
    for (uint32_t ms = 300; ms < 880; ms += 30) {
        start_net();
        submit(other_entry, OTHER_NAME);
        Net_Run(&net, 10);
        net.filter = drop_heartbeats;
        Net_Run(&net, ms);
        net.filter = NULL;
        submit(entry, JOB_NAME);
        Net_Run(&net, 10);
        assert_int_equal(running(JOB_NAME), 1);
        for (int i = 0; i < NET_MAX_RUNNING; i++) {
            const struct net_run *run = &net.runs[i];
            assert_false(run->node && run->id.number > 2);
        }
        Net_Finish(&net);
    }
}

static void
an_agent_that_is_paused_for_a_short_time_loses_no_run(void **state)
{
    (void)state;
    submit(entry, JOB_NAME);
    submit(other_entry, OTHER_NAME);
    for (int i = 0; i < 50; i++) {
        Net_Run(&net, 530);
        agent->paused = 1;
        Net_Run(&net, 200);
        agent->paused = 0;
        assert_int_equal(running(JOB_NAME), 1);
        assert_int_equal(running(OTHER_NAME), 1);
    }
    assert_int_equal(net.start_count, 2);
}

int
main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, Net_TearDown)
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            no_run_outlives_the_time_after_which_its_caller_submits_again),
        cmocka_unit_test(
            a_start_that_waited_does_not_outlive_that_time_either),
        TEST(a_lost_entrys_tasks_do_not_end_those_of_other_entries),
        TEST(a_start_whose_run_an_earlier_lease_would_outlive_is_refused),
        cmocka_unit_test(a_start_refused_as_stale_is_soon_accepted),
        TEST(an_agent_that_is_paused_for_a_short_time_loses_no_run),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
