/* Starts that an agent holds until a slot is free, the load updates that it
 * sends to entries, and the ejection of workers that fail their tasks. */
#include "caller.h"

#define OWNER 500
#define OTHER_ENTRY 600

static struct net net;
static struct net_node *node;
static struct msg_result result;
static uint32_t results;
static uint32_t refusals;
static uint32_t statuses;
static uint32_t task_records;
static uint8_t is_ejected;

static void
capture(void *context, const struct act *act)
{
    if (act->type != ACT_SEND) {
        net_emit(context, act);
        return;
    }
    const struct msg *msg = act->u.send.msg;
    if (msg->type == MSG_RESULT) {
        result = msg->u.result;
        results++;
        refusals += result.state == TASK_REFUSED;
    }
    if (msg->type == MSG_AGENT_STATUS) {
        statuses++;
        is_ejected = msg->u.agent_status.ejected;
    }
    task_records += msg->type == MSG_TASK_RECORD;
}

static int
set_up(void **state)
{
    *state = &net;
    Net_Init(&net);
    node = Net_AddAgentUnregistered(&net, "x");
    node->agent.sink.emit = capture;
    node->run_ms = 100;
    refusals = 0;
    task_records = 0;
    Net_Run(&net, 500);
    Ag_OnRegistered(&node->agent, 5);
    return 0;
}

static void
deliver(uint64_t from, const struct msg *msg)
{
    struct frame_header header = {.from = from, .role = ROLE_ENTRY};
    Ag_OnMessage(&node->agent, net.now, &header, msg);
}

static struct msg
make_start(uint32_t seq, uint32_t task, uint32_t hold_ms)
{
    struct msg msg = {.type = MSG_START};
    msg.u.start.key.issuer = 77;
    msg.u.start.key.registry_version = 9;
    msg.u.start.key.seq = seq;
    msg.u.start.key.issued_s = net.now.wall;
    msg.u.start.epoch = (struct epoch){1, OWNER};
    msg.u.start.task = task;
    msg.u.start.attempt = 1;
    msg.u.start.deadline_ms = 10000;
    msg.u.start.lease_ms = 5000;
    msg.u.start.priority = PRIO_NORMAL;
    msg.u.start.hold_ms = hold_ms;
    return msg;
}

/* A start of another job by another entry. */
static struct msg
make_other_start(uint32_t hold_ms)
{
    struct msg msg = make_start(9, 1, hold_ms);
    msg.u.start.key.issuer = 78;
    msg.u.start.epoch = (struct epoch){1, OTHER_ENTRY};
    return msg;
}

static void
start(uint32_t seq, uint32_t task, uint32_t hold_ms)
{
    struct msg msg = make_start(seq, task, hold_ms);
    deliver(OWNER, &msg);
}

static void
fill_slots(void)
{
    for (uint32_t i = 0; i < 8; i++) {
        start(1, i, 0);
    }
    assert_int_equal(node->agent.busy, 8);
}

static void
a_held_start_runs_when_a_slot_is_free(void **state)
{
    (void)state;
    fill_slots();
    start(2, 1, 500);
    assert_int_equal(net.start_count, 8);
    assert_int_equal(node->agent.held, 1);
    Net_Run(&net, 150);
    assert_int_equal(net.start_count, 9);
    assert_int_equal(node->agent.held, 0);
    assert_int_equal(refusals, 0);
}

static void
a_held_start_is_refused_after_its_hold_time(void **state)
{
    (void)state;
    fill_slots();
    start(2, 1, 30);
    Net_Run(&net, 60);
    assert_int_equal(result.code, CODE_NO_SLOT);
    Net_Run(&net, 200);
    assert_int_equal(net.start_count, 8);
    start(2, 1, 30);
    assert_int_equal(result.code, CODE_OLD_ATTEMPT);
}

static void
a_second_copy_of_a_held_start_is_held_once(void **state)
{
    (void)state;
    fill_slots();
    start(2, 1, 500);
    start(2, 1, 500);
    assert_int_equal(result.state, TASK_WAITING);
    assert_int_equal(node->agent.held, 1);
    Net_Run(&net, 300);
    assert_int_equal(net.start_count, 9);
}

static void
no_more_are_held_than_there_are_slots(void **state)
{
    (void)state;
    fill_slots();
    for (uint32_t i = 0; i < 9; i++) {
        start(2, i, 500);
    }
    assert_int_equal(node->agent.held, 8);
    assert_int_equal(refusals, 1);
}

static void
the_most_urgent_held_start_runs_first(void **state)
{
    (void)state;
    fill_slots();
    struct msg bulk = make_start(2, 1, 500);
    struct msg urgent = make_start(3, 1, 500);
    bulk.u.start.priority = PRIO_BULK;
    urgent.u.start.priority = PRIO_URGENT;
    deliver(OWNER, &bulk);
    deliver(OWNER, &urgent);
    Net_Run(&net, 150);
    assert_int_equal(net.starts[8].seq, 3);
    assert_int_equal(net.starts[9].seq, 2);
}

static void
a_fence_revokes_what_is_held(void **state)
{
    (void)state;
    fill_slots();
    start(2, 1, 500);
    struct msg fence = {.type = MSG_FENCE};
    fence.u.fence.issuer = 77;
    fence.u.fence.epoch = (struct epoch){2, OTHER_ENTRY};
    deliver(OTHER_ENTRY, &fence);
    assert_int_equal(task_records, 8);
    assert_int_equal(node->agent.held, 0);
    Net_Run(&net, 300);
    assert_int_equal(net.start_count, 8);
}

static void
a_start_of_a_new_owner_revokes_what_is_held(void **state)
{
    (void)state;
    fill_slots();
    start(2, 1, 500);
    struct msg other = make_start(2, 1, 500);
    other.u.start.epoch = (struct epoch){2, OTHER_ENTRY};
    deliver(OTHER_ENTRY, &other);
    assert_int_equal(node->agent.held, 1);
    Net_Run(&net, 300);
    assert_int_equal(net.start_count, 9);
}

static void
a_cancellation_revokes_what_is_held(void **state)
{
    (void)state;
    fill_slots();
    start(2, 1, 500);
    struct msg cancel = {.type = MSG_CANCEL};
    cancel.u.cancel.key = make_start(2, 1, 0).u.start.key;
    cancel.u.cancel.epoch = (struct epoch){1, OWNER};
    deliver(OWNER, &cancel);
    assert_int_equal(node->agent.held, 0);
    Net_Run(&net, 300);
    assert_int_equal(net.start_count, 8);
}

static void
a_leaving_agent_refuses_what_is_held(void **state)
{
    (void)state;
    fill_slots();
    start(2, 1, 5000);
    Ag_Drain(&node->agent, net.now);
    Net_Run(&net, 20);
    assert_int_equal(result.code, CODE_OUT_OF_SERVICE);
    Net_Run(&net, 300);
    assert_int_equal(net.start_count, 8);
}

static void
a_result_carries_its_receivers_share_of_the_load(void **state)
{
    (void)state;
    struct msg other = make_other_start(0);
    fill_slots();
    deliver(OTHER_ENTRY, &other);
    assert_int_equal(result.code, CODE_NO_SLOT);
    assert_int_equal(result.busy, 8);
    assert_int_equal(result.receiver_busy, 0);
}

static void
load_updates_go_to_entries_with_waiting_tasks(void **state)
{
    (void)state;
    struct msg heartbeat = {.type = MSG_HEARTBEAT};
    struct msg other = make_other_start(500);
    deliver(601, &heartbeat);
    deliver(OTHER_ENTRY, &other);
    statuses = 0;
    start(1, 1, 0);
    start(1, 2, 0);
    assert_true(statuses >= 1);
    uint32_t sent = statuses;
    Net_Run(&net, 5);
    assert_true(statuses < sent + 3);
}

static void
no_load_updates_while_slots_are_free(void **state)
{
    (void)state;
    struct msg other = make_other_start(0);
    deliver(OTHER_ENTRY, &other);
    uint64_t before = net.counters.value[CTR_news_sent];
    start(1, 1, 0);
    start(1, 2, 0);
    start(1, 3, 0);
    Net_Run(&net, 200);
    assert_int_equal(net.counters.value[CTR_news_sent], before);
}

static void
a_refusal_for_lack_of_slots_triggers_load_updates(void **state)
{
    (void)state;
    struct msg other = make_other_start(0);
    fill_slots();
    deliver(OTHER_ENTRY, &other);
    assert_int_equal(result.code, CODE_NO_SLOT);
    uint64_t before = net.counters.value[CTR_news_sent];
    Net_Run(&net, 200);
    assert_true(net.counters.value[CTR_news_sent] > before);
}

static void
start_restartable(uint32_t task)
{
    struct msg msg = make_start(30, task, 0);
    msg.u.start.flags = SUB_RESTART;
    deliver(OWNER, &msg);
}

static void
outcomes_of_a_job_are_sent_with_its_last(void **state)
{
    (void)state;
    /* The agent ticks each 10 ms; the tasks are to end between two ticks. */
    while (net.now.us / 1000 % 10 != 1) {
        Net_Run(&net, 1);
    }
    for (uint32_t i = 0; i < 3; i++) {
        start_restartable(i);
        Net_Run(&net, 2);
    }
    results = 0;
    while (node->agent.busy == 3) {
        Net_Run(&net, 1);
    }
    assert_int_equal(results, 0);
    Net_Run(&net, 4);
    assert_int_equal(node->agent.busy, 0);
    assert_int_equal(results, 3);
}

static void
an_outcome_waits_no_longer_than_a_tick(void **state)
{
    (void)state;
    start_restartable(0);
    Net_Run(&net, 60);
    start_restartable(1);
    results = 0;
    Net_Run(&net, 41 + 20);
    assert_int_equal(node->agent.busy, 1);
    assert_int_equal(results, 1);
}

/* Returns the number of load updates that the agent sends in one second,
 * during which `entries` entries in turn send 10 starts each 25 ms. Each task
 * runs 10 ms. */
static uint32_t
count_load_updates(uint32_t entries)
{
    struct msg heartbeat = {.type = MSG_HEARTBEAT};
    uint64_t before = net.counters.value[CTR_news_sent];
    node->run_ms = 10;
    for (uint32_t i = 0; i < entries; i++) {
        deliver(OTHER_ENTRY + i, &heartbeat);
    }
    for (uint32_t round = 0; round < 40; round++) {
        for (uint32_t i = 0; i < 10; i++) {
            struct msg msg = make_start(1000 + round, i, 1);
            uint32_t sender = (round * 10 + i) % entries;
            msg.u.start.key.issuer = 90 + sender;
            msg.u.start.epoch = (struct epoch){1, OTHER_ENTRY + sender};
            deliver(OTHER_ENTRY + sender, &msg);
        }
        Net_Run(&net, 25);
    }
    return (uint32_t)(net.counters.value[CTR_news_sent] - before);
}

static void
load_update_rate_does_not_grow_with_entries(void **state)
{
    (void)state;
    /* An agent sends at most 200 load updates a second, beyond a first one to
     * each entry. */
    assert_true(count_load_updates(3) <= 200 + 3);
    assert_true(count_load_updates(24) <= 200 + 24);
}

static void
fail_jobs(uint32_t first, uint32_t count)
{
    node->run_ms = 0;
    node->end_code = CODE_TASK_FAILED;
    for (uint32_t i = 0; i < count; i++) {
        start(first + i, 1, 0);
        Net_Run(&net, 2);
    }
}

static void
three_failed_jobs_eject_a_worker(void **state)
{
    (void)state;
    fail_jobs(10, 2);
    assert_false(is_ejected);
    fail_jobs(12, 1);
    assert_int_equal(net.start_count, 3);
    start(20, 1, 0);
    assert_int_equal(result.code, CODE_UNHEALTHY);
    assert_int_equal(net.start_count, 3);
}

static void
failures_of_one_job_do_not_eject_its_worker(void **state)
{
    (void)state;
    node->run_ms = 0;
    node->end_code = CODE_TASK_FAILED;
    for (uint32_t i = 0; i < 6; i++) {
        start(10, i, 0);
        Net_Run(&net, 2);
    }
    start(11, 1, 0);
    assert_int_equal(net.start_count, 7);
}

static void
an_ejected_worker_is_probed_and_returns(void **state)
{
    (void)state;
    fail_jobs(10, 3);
    Net_Run(&net, 1100);
    node->end_code = CODE_OK;
    node->run_ms = 100;
    start(20, 1, 0);
    start(21, 1, 0);
    assert_int_equal(result.code, CODE_NO_SLOT);
    Net_Run(&net, 150);
    start(22, 1, 0);
    start(23, 1, 0);
    assert_int_equal(net.start_count, 6);
}

static void
a_failed_probe_doubles_the_ejection_time(void **state)
{
    (void)state;
    fail_jobs(10, 3);
    Net_Run(&net, 1100);
    fail_jobs(20, 1);
    Net_Run(&net, 1500);
    start(21, 1, 0);
    assert_int_equal(result.code, CODE_UNHEALTHY);
    Net_Run(&net, 700);
    start(22, 1, 0);
    assert_int_equal(net.start_count, 5);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, Net_TearDown)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        TEST(a_held_start_runs_when_a_slot_is_free),
        TEST(a_held_start_is_refused_after_its_hold_time),
        TEST(a_second_copy_of_a_held_start_is_held_once),
        TEST(no_more_are_held_than_there_are_slots),
        TEST(the_most_urgent_held_start_runs_first),
        TEST(a_fence_revokes_what_is_held),
        TEST(a_start_of_a_new_owner_revokes_what_is_held),
        TEST(a_cancellation_revokes_what_is_held),
        TEST(a_leaving_agent_refuses_what_is_held),
        TEST(a_result_carries_its_receivers_share_of_the_load),
        TEST(load_updates_go_to_entries_with_waiting_tasks),
        TEST(no_load_updates_while_slots_are_free),
        TEST(a_refusal_for_lack_of_slots_triggers_load_updates),
        TEST(load_update_rate_does_not_grow_with_entries),
        TEST(outcomes_of_a_job_are_sent_with_its_last),
        TEST(an_outcome_waits_no_longer_than_a_tick),
        TEST(three_failed_jobs_eject_a_worker),
        TEST(failures_of_one_job_do_not_eject_its_worker),
        TEST(an_ejected_worker_is_probed_and_returns),
        TEST(a_failed_probe_doubles_the_ejection_time),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
