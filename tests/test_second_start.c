/* Further ways in which a task could run twice at a time: orders to stop that
 * are lost, an outdated registry row, and an agent that can hold no start. */
#include "caller.h"

#define JOB_NAME 0x4692dca03af585dbull
#define OTHER_NAME 0x4692dca03af50000ull

static struct net net;
static struct net_node *entry;
static struct net_node *other_entry;
static struct net_node *agent;
static uint32_t stops_to_lose;
/* A stop order that waits for its reply, and when it times out. */
static tab_handle lost_stop;
static uint64_t lost_until_us;

static int
set_up(void **state)
{
    *state = &net;
    Net_InitRestartable(&net);
    net.lease_us = LEASE_MS * US_PER_MS;
    agent = Net_AddWorker(&net, "worker-1");
    agent->run_ms = -1;
    entry = Net_AddEntry(&net, "entry-1");
    other_entry = Net_AddEntry(&net, "entry-2");
    Net_Run(&net, 1500);
    stops_to_lose = 0;
    lost_stop = 0;
    return 0;
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

static struct key
submit(struct net_node *node, conn_id conn, uint64_t name)
{
    struct net_job job = {name, 1, 1000, 60, 60000};
    return Net_SubmitJob(node, conn, &job);
}

/* Loses the next `stops_to_lose` stop orders on their way. */
static void
lose_stops(void *context, const struct rn_act *act)
{
    if (act->type == RN_STOP && stops_to_lose > 0) {
        stops_to_lose--;
        lost_stop = act->run;
        lost_until_us = net.now.us + 150 * US_PER_MS;
        return;
    }
    net_on_order(context, act);
}

/* Runs for `ms`. Lost stop orders time out after 150 ms, as those of
 * daemon/orders.c do at the latest. */
static void
run_for(uint32_t ms)
{
    for (uint32_t i = 0; i < ms; i++) {
        Net_Run(&net, 1);
        if (lost_stop && net.now.us >= lost_until_us) {
            tab_handle run = lost_stop;
            lost_stop = 0;
            Rn_OnStopped(&agent->runner, net.now, run, RN_NO_ANSWER, 0);
        }
    }
}

/* Polls are answered meanwhile, and renew the lease of the run. */
static void
a_cancelled_run_whose_stop_is_lost_ends_with_its_lease(void **state)
{
    (void)state;
    struct key key = submit(entry, 1, JOB_NAME);
    run_for(300);
    assert_int_equal(running(JOB_NAME), 1);
    agent->runner.sink.emit = lose_stops;
    stops_to_lose = 5;
    Ent_OnCallerDisconnected(&entry->entry, 1, &key);
    run_for(RESUBMIT_MS);
    assert_int_equal(running(JOB_NAME), 0);
}

/* The agent's process was restarted, and the entry heard of it before its row
 * in the registry. The entry is then paused for longer than a link may be
 * silent, but not for so long that the agent stops its tasks, and first reads
 * the row of the agent's earlier process. */
static void
check_outdated_row(uint32_t phase_ms, uint32_t alive_ms)
{
    struct net_node *second;
    struct ent_member outdated = agent->member;
    Net_Kill(agent);
    run_for(phase_ms);
    agent = Net_AddAgentUnregistered(&net, "worker-1");
    agent->capacity = (struct resources){8000, 1024, 0};
    agent->run_ms = -1;
    Ent_OnUnknownPeer(&entry->entry, net.now, &agent->header);
    run_for(3000);
    submit(entry, 1, JOB_NAME);
    run_for(500);
    assert_int_equal(Net_RunningAt(&net, agent), 1);
    second = Net_AddWorker(&net, "worker-2");
    second->run_ms = -1;
    run_for(1000 + alive_ms);
    entry->paused = 1;
    run_for(740);
    entry->paused = 0;
    outdated.registered = ++net.version;
    Ent_OnMember(&entry->entry, net.now, &outdated);
    for (int ms = 0; ms < 3000; ms++) {
        run_for(1);
        if (running(JOB_NAME) > 1) {
            fail_msg("started after %u ms, paused after %u ms: runs twice "
                     "%d ms after the row",
                     phase_ms, alive_ms, ms);
        }
    }
}

static void
an_outdated_row_does_not_place_a_task_a_second_time(void **state)
{
    for (uint32_t phase_ms = 0; phase_ms < 360; phase_ms += 40) {
        for (uint32_t alive_ms = 0; alive_ms < 360; alive_ms += 40) {
            set_up(state);
            check_outdated_row(phase_ms, alive_ms);
            Net_Finish(&net);
        }
    }
}

static void
an_agent_that_can_hold_no_start_does_not_run_a_task_twice(void **state)
{
    (void)state;
    submit(entry, 1, JOB_NAME);
    run_for(100);
    assert_int_equal(running(JOB_NAME), 1);
    uint32_t slots = agent->agent.upstream.slots;
    agent->agent.held = slots;
    submit(other_entry, 2, JOB_NAME);
    run_for(5);
    agent->agent.held -= slots;
    assert_int_equal(running(JOB_NAME), 1);
}

/* The agent's process has ended, so there is nobody to confirm. */
static void
no_cancellation_is_kept_for_an_agent_that_is_gone(void **state)
{
    (void)state;
    struct net_job job = {JOB_NAME, 1, 1000, 60, 700};
    Net_SubmitJob(entry, 1, &job);
    run_for(100);
    assert_int_equal(running(JOB_NAME), 1);
    Net_Kill(agent);
    Net_AddWorker(&net, "worker-1");
    run_for(50);
    assert_int_equal(Net_Answer(&net, 1), CODE_OUTCOME_UNKNOWN);
    assert_null(entry->entry.cancelled_jobs);
    run_for(2000);
    assert_int_equal(net.counters.value[CTR_cancels_unconfirmed], 0);
}

/* Drops the messages of the first entry to the agent. */
static enum net_verdict
drop_to_agent(struct net *n, const struct net_node *from,
              const struct net_node *to, const struct msg *msg)
{
    (void)n;
    (void)msg;
    return from == entry && to == agent ? NET_DROP : NET_PASS;
}

/* The agent does not hear the entry for `cut_ms`. The first message that it
 * gets then is the start of another job, and the entry is killed. */
static void
check_start_before_cancellation(uint32_t alive_ms, uint32_t cut_ms)
{
    struct key key = submit(entry, 1, JOB_NAME);
    run_for(alive_ms);
    assert_int_equal(running(JOB_NAME), 1);
    net.filter = drop_to_agent;
    Ent_OnCallerDisconnected(&entry->entry, 1, &key);
    run_for(cut_ms);
    net.filter = NULL;
    submit(entry, 2, OTHER_NAME);
    run_for(3);
    Net_Kill(entry);
    run_for(RESUBMIT_MS - cut_ms - 3);
    if (running(JOB_NAME)) {
        fail_msg("alive for %u ms, cut for %u ms: still running", alive_ms,
                 cut_ms);
    }
}

static void
no_start_precedes_a_pending_cancellation(void **state)
{
    for (uint32_t alive_ms = 600; alive_ms < 960; alive_ms += 40) {
        for (uint32_t cut_ms = 300; cut_ms < 800; cut_ms += 13) {
            set_up(state);
            check_start_before_cancellation(alive_ms, cut_ms);
            net.filter = NULL;
            Net_Finish(&net);
        }
    }
}

int
main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, Net_TearDown)
    const struct CMUnitTest tests[] = {
        TEST(a_cancelled_run_whose_stop_is_lost_ends_with_its_lease),
        cmocka_unit_test(an_outdated_row_does_not_place_a_task_a_second_time),
        TEST(an_agent_that_can_hold_no_start_does_not_run_a_task_twice),
        TEST(no_cancellation_is_kept_for_an_agent_that_is_gone),
        cmocka_unit_test(no_start_precedes_a_pending_cancellation),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
