/* Cancellations of restartable jobs that are lost or late. A caller submits
 * its job again RESUBMIT_MS after its connection broke; the runs must have
 * ended by then. */
#include "caller.h"

#define JOB_NAME 0x4692dca03af585dbull
#define TASKS 3
/* Time from the last cancellation that arrives to the end of the runs. */
#define STOP_MS 50

static struct net net;
static struct net_node *entry;
static struct net_node *other_entry;
static struct net_node *agents[2];

/* What the filters below drop, and what they have seen. */
static uint32_t cancels_to_drop;
static uint32_t cancels_sent;
static uint64_t cut_until_us;
static enum msg_type first_after_cut;

static int
set_up(void **state)
{
    *state = &net;
    Net_InitRestartable(&net);
    agents[0] = Net_AddWorker(&net, "worker-1");
    agents[1] = Net_AddWorker(&net, "worker-2");
    entry = Net_AddEntry(&net, "entry-1");
    other_entry = Net_AddEntry(&net, "entry-2");
    Net_Run(&net, 1500);
    agents[0]->run_ms = agents[1]->run_ms = -1;
    cancels_to_drop = 0;
    cancels_sent = 0;
    cut_until_us = 0;
    return 0;
}

static uint32_t
running(void)
{
    return Net_RunningAt(&net, agents[0]) + Net_RunningAt(&net, agents[1]);
}

static struct key
submit_to(struct net_node *node, conn_id conn, uint32_t deadline_ms)
{
    struct net_job job = {JOB_NAME, TASKS, 1000, 60, deadline_ms};
    return Net_SubmitJob(node, conn, &job);
}

/* Starts a job of TASKS tasks that never end. */
static struct key
start_job(conn_id conn)
{
    struct key key = submit_to(entry, conn, 60000);
    Net_Run(&net, 50);
    assert_int_equal(running(), TASKS);
    return key;
}

/* Drops the next `cancels_to_drop` cancellations. */
static enum net_verdict
drop_cancels(struct net *n, const struct net_node *from,
             const struct net_node *to, const struct msg *msg)
{
    (void)n;
    (void)from;
    (void)to;
    if (msg->type != MSG_CANCEL) {
        return NET_PASS;
    }
    cancels_sent++;
    if (cancels_to_drop == 0) {
        return NET_PASS;
    }
    cancels_to_drop--;
    return NET_DROP;
}

/* Drops all messages between the first entry and the agents until
 * `cut_until_us`. */
static enum net_verdict
cut_links(struct net *n, const struct net_node *from,
          const struct net_node *to, const struct msg *msg)
{
    int is_between = (from == entry && to->role == ROLE_AGENT) ||
                     (to == entry && from->role == ROLE_AGENT);
    if (!is_between) {
        return NET_PASS;
    }
    if (n->now.us < cut_until_us) {
        return NET_DROP;
    }
    if (from == entry && !first_after_cut && Net_RunningAt(n, to)) {
        first_after_cut = msg->type;
    }
    return NET_PASS;
}

static enum net_verdict
delay_starts(struct net *n, const struct net_node *from,
             const struct net_node *to, const struct msg *msg)
{
    (void)n;
    (void)from;
    (void)to;
    cancels_sent += msg->type == MSG_CANCEL;
    return msg->type == MSG_START ? NET_DELAY : NET_PASS;
}

/* The caller submits its job again, through the other entry: it runs at once,
 * and no other run of it is left. */
static void
check_resubmission(void)
{
    assert_int_equal(running(), 0);
    struct key key = submit_to(other_entry, 900, 60000);
    for (int ms = 0; ms < 2000; ms++) {
        Net_Run(&net, 1);
        assert_true(running() <= TASKS);
    }
    assert_int_equal(running(), TASKS);
    Ent_OnCallerDisconnected(&other_entry->entry, 900, &key);
    Net_Run(&net, 500);
    assert_int_equal(running(), 0);
}

static void
a_lost_cancellation_does_not_leave_the_run_going(void **state)
{
    (void)state;
    struct key key = start_job(1);
    net.filter = drop_cancels;
    cancels_to_drop = 1;
    Ent_OnCallerDisconnected(&entry->entry, 1, &key);
    Net_Run(&net, 200 + STOP_MS);
    assert_int_equal(running(), 0);
    Net_Run(&net, RESUBMIT_MS - 200 - STOP_MS);
    check_resubmission();
}

static void
several_lost_cancellations_do_not_leave_the_run_going(void **state)
{
    (void)state;
    struct key key = start_job(1);
    net.filter = drop_cancels;
    cancels_to_drop = 6;
    Ent_OnCallerDisconnected(&entry->entry, 1, &key);
    Net_Run(&net, RESUBMIT_MS);
    check_resubmission();
}

/* The connection to the agent breaks with that to the caller; heartbeats
 * resume before the agent considers the entry lost. */
static void
a_cancellation_in_a_broken_connection_does_not_leave_the_run_going(
    void **state)
{
    (void)state;
    net.filter = cut_links;
    for (uint32_t cut_ms = 150; cut_ms <= 900; cut_ms += 50) {
        struct key key = start_job(cut_ms);
        cut_until_us = net.now.us + cut_ms * US_PER_MS;
        Ent_OnCallerDisconnected(&entry->entry, cut_ms, &key);
        Net_Run(&net, RESUBMIT_MS);
        check_resubmission();
        Net_Run(&net, 2000);
    }
}

/* Any message tells the agent that the entry still follows its runs. After the
 * longest cuts the agent has stopped them as orphans. */
static void
no_message_precedes_a_pending_cancellation_after_a_cut(void **state)
{
    (void)state;
    net.filter = cut_links;
    for (uint32_t cut_ms = 150; cut_ms <= 600; cut_ms += 10) {
        struct key key = start_job(cut_ms);
        first_after_cut = 0;
        uint64_t orphaned = net.counters.value[CTR_tasks_orphaned];
        cut_until_us = net.now.us + cut_ms * US_PER_MS;
        Ent_OnCallerDisconnected(&entry->entry, cut_ms, &key);
        Net_Run(&net, RESUBMIT_MS);
        if (first_after_cut ||
            net.counters.value[CTR_tasks_orphaned] == orphaned) {
            assert_int_equal(first_after_cut, MSG_CANCEL);
        }
        assert_int_equal(running(), 0);
        Net_Run(&net, 1000);
    }
}

static void
a_lost_cancellation_at_the_deadline_does_not_leave_the_run_going(void **state)
{
    (void)state;
    submit_to(entry, 1, 300);
    Net_Run(&net, 200);
    assert_int_equal(running(), TASKS);
    net.filter = drop_cancels;
    cancels_to_drop = 1;
    while (Net_Answer(&net, 1) == CODE_PENDING) {
        Net_Run(&net, 1);
    }
    Net_Run(&net, RESUBMIT_MS);
    check_resubmission();
}

static void
a_lost_cancellation_by_name_does_not_leave_the_run_going(void **state)
{
    (void)state;
    start_job(1);
    net.filter = drop_cancels;
    cancels_to_drop = 1;
    assert_int_equal(Ent_CancelJobByName(&entry->entry, JOB_NAME), 1);
    Net_Run(&net, RESUBMIT_MS);
    check_resubmission();
}

static void
fail_first_run(void)
{
    for (int i = 0; i < NET_MAX_RUNNING; i++) {
        struct net_run *run = &net.runs[i];
        const struct ag_task *task =
            run->node ? Tab_Get(&run->node->agent.tasks, run->task) : NULL;
        if (task && task->no == 0) {
            run->end_us = net.now.us;
        }
    }
}

static void
a_lost_cancellation_of_a_failed_job_does_not_leave_the_run_going(void **state)
{
    (void)state;
    start_job(1);
    agents[0]->end_code = agents[1]->end_code = CODE_TASK_FAILED;
    net.filter = drop_cancels;
    cancels_to_drop = 2;
    for (int attempt = 0; attempt < 3; attempt++) {
        fail_first_run();
        Net_Run(&net, 50);
    }
    assert_int_equal(Net_Answer(&net, 1), CODE_TASK_FAILED);
    Net_Run(&net, RESUBMIT_MS);
    check_resubmission();
}

static void
a_cancellation_that_overtakes_its_start_is_confirmed_and_remembered(
    void **state)
{
    (void)state;
    net.filter = delay_starts;
    struct key key = submit_to(entry, 1, 60000);
    Net_Run(&net, 20);
    Ent_OnCallerDisconnected(&entry->entry, 1, &key);
    Net_Run(&net, 150);
    assert_int_equal(entry->entry.jobs.used, 0);
    net.filter = NULL;
    Net_ReleaseDelayed(&net);
    Net_Run(&net, 50);
    assert_int_equal(net.start_count, 0);
}

static enum net_verdict
drop_results(struct net *n, const struct net_node *from,
             const struct net_node *to, const struct msg *msg)
{
    (void)from;
    (void)to;
    return msg->type == MSG_RESULT && n->now.us < cut_until_us ? NET_DROP
                                                               : NET_PASS;
}

static void
a_lost_confirmation_is_asked_for_again(void **state)
{
    (void)state;
    struct key key = start_job(1);
    net.filter = drop_results;
    cut_until_us = net.now.us + 300 * US_PER_MS;
    Ent_OnCallerDisconnected(&entry->entry, 1, &key);
    Net_Run(&net, 300);
    assert_int_equal(entry->entry.jobs.used, 1);
    Net_Run(&net, 100);
    assert_int_equal(entry->entry.jobs.used, 0);
}

/* CPU that other entries use at an agent, as `node` knows it. */
static uint32_t
others_cpu(const struct net_node *node, const struct net_node *agent)
{
    const struct ent_peer *peer;
    uint32_t slot = 0;
    while ((peer = Tab_Next(&node->entry.peers, &slot))) {
        if (peer->member.incarnation == agent->header.from) {
            return peer->other_used.cpu;
        }
    }
    fail_msg("the entry does not know the agent");
    return 0;
}

/* The agent takes what a result says of its load as reported, and sends no
 * load update for it. */
static void
the_load_in_a_result_of_an_ended_job_is_used(void **state)
{
    struct msg msg = {.type = MSG_RESULT};
    (void)state;
    msg.u.result.key = Net_IssueKey(entry);
    msg.u.result.task = WIRE_ALL_TASKS;
    msg.u.result.state = TASK_REFUSED;
    msg.u.result.code = CODE_CANCELLED;
    msg.u.result.used.cpu = 5000;
    msg.u.result.receiver_used.cpu = 1000;
    Ent_OnMessage(&entry->entry, net.now, &agents[0]->header, &msg);
    assert_int_equal(others_cpu(entry, agents[0]), 4000);
}

static void
a_cancellation_that_arrives_is_sent_once(void **state)
{
    (void)state;
    struct key key = start_job(1);
    net.filter = drop_cancels;
    Ent_OnCallerDisconnected(&entry->entry, 1, &key);
    Net_Run(&net, 1000);
    assert_int_equal(cancels_sent, 1);
    assert_int_equal(entry->entry.jobs.used, 0);
}

static void
a_cancellation_is_given_up_once_nothing_can_run(void **state)
{
    (void)state;
    struct key key = start_job(1);
    agents[0]->paused = agents[1]->paused = 1;
    Ent_OnCallerDisconnected(&entry->entry, 1, &key);
    Net_Run(&net, (uint32_t)(net.timing.quiesce_us / US_PER_MS));
    assert_int_equal(entry->entry.jobs.used, 1);
    Net_Run(&net, 1000);
    assert_int_equal(entry->entry.jobs.used, 0);
}

static void
a_replaced_agent_is_sent_no_cancellations(void **state)
{
    (void)state;
    struct key key = start_job(1);
    net.filter = drop_cancels;
    cancels_to_drop = UINT32_MAX;
    Ent_OnCallerDisconnected(&entry->entry, 1, &key);
    for (int i = 0; i < 2; i++) {
        Net_Kill(agents[i]);
        Net_AddAgent(&net, agents[i]->header.node);
    }
    cancels_sent = 0;
    Net_Run(&net, 500);
    assert_int_equal(cancels_sent, 0);
    assert_int_equal(entry->entry.jobs.used, 0);
}

static void
a_stopping_entry_waits_until_its_cancellations_are_confirmed(void **state)
{
    (void)state;
    struct key key = start_job(1);
    net.filter = drop_cancels;
    cancels_to_drop = 3;
    Ent_OnCallerDisconnected(&entry->entry, 1, &key);
    Ent_Drain(&entry->entry, net.now);
    for (int ms = 0; ms < 1000 && !Ent_IsIdle(&entry->entry); ms++) {
        Net_Run(&net, 1);
    }
    assert_true(Ent_IsIdle(&entry->entry));
    assert_int_equal(running(), 0);
}

int
main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, Net_TearDown)
    const struct CMUnitTest tests[] = {
        TEST(a_lost_cancellation_does_not_leave_the_run_going),
        TEST(several_lost_cancellations_do_not_leave_the_run_going),
        TEST(
            a_cancellation_in_a_broken_connection_does_not_leave_the_run_going),
        TEST(no_message_precedes_a_pending_cancellation_after_a_cut),
        TEST(a_lost_cancellation_at_the_deadline_does_not_leave_the_run_going),
        TEST(a_lost_cancellation_by_name_does_not_leave_the_run_going),
        TEST(a_lost_cancellation_of_a_failed_job_does_not_leave_the_run_going),
        TEST(
            a_cancellation_that_overtakes_its_start_is_confirmed_and_remembered),
        TEST(a_lost_confirmation_is_asked_for_again),
        TEST(the_load_in_a_result_of_an_ended_job_is_used),
        TEST(a_cancellation_that_arrives_is_sent_once),
        TEST(a_cancellation_is_given_up_once_nothing_can_run),
        TEST(a_replaced_agent_is_sent_no_cancellations),
        TEST(a_stopping_entry_waits_until_its_cancellations_are_confirmed),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
