/* A single agent: which starts it refuses, what it records and drops, and
 * which tasks it stops. The test acts as its entries. */
#include "net.h"

#define ISSUERS 64

static struct net net;
static struct net_node *node;

static struct msg_result result;
static struct msg_fenced fenced;
static uint32_t results;
static uint32_t task_records;
static uint32_t statuses;
static struct act_log_event cancelled;
static uint32_t cancelled_events;

/* Records the messages that the agent sends, and the cancellations that it
 * logs. */
static void
capture(void *context, const struct act *act)
{
    if (act->type == ACT_LOG_EVENT &&
        act->u.log_event.type == LOG_EVENT_CANCELLED) {
        cancelled = act->u.log_event;
        cancelled_events++;
    }
    if (act->type != ACT_SEND) {
        net_emit(context, act);
        return;
    }
    const struct msg *msg = act->u.send.msg;
    if (msg->type == MSG_RESULT) {
        result = msg->u.result;
        results++;
    }
    if (msg->type == MSG_FENCED) {
        fenced = msg->u.fenced;
    }
    task_records += msg->type == MSG_TASK_RECORD;
    statuses += msg->type == MSG_AGENT_STATUS;
}

static int
set_up_with(uint32_t capacity)
{
    Net_Init(&net);
    net.task_capacity = capacity;
    node = Net_AddAgentUnregistered(&net, "x");
    node->agent.sink.emit = capture;
    results = 0;
    task_records = 0;
    cancelled_events = 0;
    Net_Run(&net, 500);
    return 0;
}

static int
set_up(void **state)
{
    *state = &net;
    set_up_with(256);
    Ag_OnRegistered(&node->agent, 5);
    return 0;
}

static struct msg
make_start(uint32_t seq, uint32_t task, uint32_t attempt)
{
    struct msg msg = {.type = MSG_START};
    msg.u.start.key.issuer = 77;
    msg.u.start.key.registry_version = 9;
    msg.u.start.key.seq = seq;
    msg.u.start.key.issued_s = net.now.wall;
    msg.u.start.epoch = (struct epoch){1, 500};
    msg.u.start.task = task;
    msg.u.start.attempt = attempt;
    msg.u.start.deadline_ms = 10000;
    msg.u.start.lease_ms = 1000;
    return msg;
}

static void
deliver_from(uint64_t from, const struct msg *msg)
{
    struct frame_header header = {.from = from, .role = ROLE_ENTRY};
    Ag_OnMessage(&node->agent, net.now, &header, msg);
}

static void
deliver(const struct msg *msg)
{
    deliver_from(500, msg);
}

static void
a_start_is_run_once(void **state)
{
    (void)state;
    struct msg start = make_start(1, 1, 1);
    deliver(&start);
    deliver(&start);
    assert_int_equal(net.start_count, 1);
    assert_int_equal(result.state, TASK_RUNNING);
    Net_Run(&net, 100);
    start.u.start.attempt = 2;
    deliver(&start);
    assert_int_equal(result.state, TASK_FINISHED);
    assert_int_equal(net.start_count, 1);
}

static void
a_refused_attempt_stays_refused(void **state)
{
    (void)state;
    struct msg start = make_start(1, 1, 1);
    node->agent.upstream.slots = 0;
    deliver(&start);
    assert_int_equal(result.code, CODE_NO_SLOT);
    node->agent.upstream.slots = 8;
    deliver(&start);
    assert_int_equal(result.code, CODE_OLD_ATTEMPT);
    assert_int_equal(net.start_count, 0);
    start.u.start.attempt = 2;
    deliver(&start);
    assert_int_equal(net.start_count, 1);
}

/* If the reply to the agent's registration is lost, an entry may know of the
 * registration before the agent does. A start that it refused meanwhile must
 * not run when a copy arrives later. */
static void
a_start_before_the_registration_stays_refused(void **state)
{
    (void)state;
    Net_Finish(&net);
    set_up_with(256);
    struct msg start = make_start(1, 1, 1);
    deliver(&start);
    assert_int_equal(result.code, CODE_NOT_ADMITTED);
    Ag_OnRegistered(&node->agent, 5);
    deliver(&start);
    assert_int_equal(result.state, TASK_REFUSED);
    assert_int_equal(net.start_count, 0);
}

static void
a_refusal_for_lack_of_memory_is_recorded(void **state)
{
    (void)state;
    Net_Finish(&net);
    set_up_with(32);
    Ag_OnRegistered(&node->agent, 5);
    node->agent.upstream.slots = 64;
    for (uint32_t i = 1; i <= 31; i++) {
        struct msg start = make_start(i, 1, 1);
        deliver(&start);
    }
    assert_int_equal(result.code, CODE_NO_MEMORY);
    uint32_t started = net.start_count;
    struct msg again = make_start(31, 1, 1);
    node->agent.tasks.capacity = 64;
    deliver(&again);
    assert_int_equal(result.code, CODE_OLD_ATTEMPT);
    assert_int_equal(net.start_count, started);
    node->agent.tasks.capacity = 32;
    /* Without memory to record a refusal, the agent sends no answer. */
    for (uint32_t i = 32; i <= 40; i++) {
        struct msg start = make_start(i, 1, 1);
        deliver(&start);
    }
    uint32_t before = results;
    struct msg unanswered = make_start(41, 1, 1);
    deliver(&unanswered);
    assert_int_equal(results, before);
    assert_int_equal(net.start_count, started);
}

static void
a_full_table_expires_the_oldest_keys(void **state)
{
    (void)state;
    struct msg first = make_start(1, 1, 1);
    for (uint32_t i = 1; i <= 255; i++) {
        struct msg start = make_start(i, 1, 1);
        deliver(&start);
        Net_Run(&net, 100);
    }
    assert_int_equal(net.start_count, 255);
    assert_true(node->agent.expired_until_s > 0);
    deliver(&first);
    assert_int_equal(result.code, CODE_KEY_EXPIRED);
    assert_int_equal(net.start_count, 255);
}

static void
a_known_task_is_answered_after_its_key_expired(void **state)
{
    (void)state;
    node->run_ms = -1;
    struct msg start = make_start(1, 1, 1);
    deliver(&start);
    node->agent.expired_until_s = net.now.wall + 10;
    deliver(&start);
    assert_int_equal(result.state, TASK_RUNNING);
    struct msg other = make_start(2, 1, 1);
    deliver(&other);
    assert_int_equal(result.code, CODE_KEY_EXPIRED);
    assert_int_equal(net.start_count, 1);
}

/* Guards against a refusal that hides a run: a superseded owner that resends a
 * start must learn that the task was started. */
static void
a_known_start_is_reported_to_a_fenced_owner(void **state)
{
    (void)state;
    node->run_ms = -1;
    struct msg start = make_start(1, 1, 1);
    struct msg fence = {.type = MSG_FENCE};
    deliver(&start);
    fence.u.fence.issuer = 77;
    fence.u.fence.epoch = (struct epoch){2, 600};
    deliver_from(600, &fence);
    deliver(&start);
    assert_int_equal(result.state, TASK_RUNNING);
    assert_int_equal(result.epoch.n, 2);
    /* Nor may a start whose record may have been dropped be refused with a
     * code that says it never ran. */
    struct msg other = make_start(2, 1, 1);
    node->agent.expired_until_s = net.now.wall;
    deliver(&other);
    assert_int_equal(result.code, CODE_KEY_EXPIRED);
}

static void
an_older_key_than_the_registration_is_refused(void **state)
{
    (void)state;
    struct msg start = make_start(1, 1, 1);
    start.u.start.key.registry_version = 4;
    deliver(&start);
    assert_int_equal(result.code, CODE_KEY_TOO_OLD);
    start.u.start.key.registry_version = 5;
    deliver(&start);
    assert_int_equal(net.start_count, 1);
}

static void
a_fence_outlives_many_other_issuers(void **state)
{
    (void)state;
    struct msg fence = {.type = MSG_FENCE};
    fence.u.fence.issuer = 77;
    fence.u.fence.epoch = (struct epoch){2, 600};
    deliver_from(600, &fence);
    for (uint64_t i = 0; i < 2ull * ISSUERS; i++) {
        struct msg start = make_start(1, 1, 1);
        start.u.start.key.issuer = 1000 + i;
        start.u.start.key.registry_version = 1;
        net.now.us += 1000;
        deliver(&start);
    }
    struct msg stale = make_start(1, 1, 1);
    deliver(&stale);
    assert_int_equal(result.code, CODE_OLD_EPOCH);
    assert_int_equal(result.epoch.n, 2);
    assert_int_equal(net.start_count, 0);
}

/* When all issuer records hold fences, the agent evicts none and does not
 * answer. An evicted fence would let a superseded owner start tasks. */
static void
no_fence_is_evicted_for_another(void **state)
{
    (void)state;
    for (uint64_t i = 0; i <= ISSUERS; i++) {
        struct msg fence = {.type = MSG_FENCE};
        fence.u.fence.issuer = 1000 + i;
        fence.u.fence.epoch = (struct epoch){2, 600};
        deliver_from(600, &fence);
    }
    assert_int_equal(fenced.issuer, 1000 + ISSUERS - 1);
    uint32_t before = results;
    struct msg start = make_start(1, 1, 1);
    deliver(&start);
    assert_int_equal(results, before);
    assert_int_equal(net.start_count, 0);
}

static void
a_report_is_numbered(void **state)
{
    (void)state;
    struct msg fence = {.type = MSG_FENCE};
    for (uint32_t i = 1; i <= 3; i++) {
        struct msg start = make_start(i, 1, 1);
        deliver(&start);
    }
    fence.u.fence.issuer = 77;
    fence.u.fence.epoch = (struct epoch){2, 600};
    deliver_from(600, &fence);
    assert_int_equal(task_records, 3);
    assert_int_equal(fenced.count, 3);
    uint32_t report = fenced.report;
    deliver_from(600, &fence);
    assert_true(fenced.report > report);
    fence.u.fence.epoch = (struct epoch){2, 599};
    deliver_from(599, &fence);
    assert_int_equal(fenced.epoch.owner, 600);
    assert_int_equal(task_records, 6);
}

static void
a_task_past_its_lease_is_stopped(void **state)
{
    (void)state;
    node->run_ms = -1;
    struct msg start = make_start(1, 1, 1);
    deliver(&start);
    Net_Run(&net, 900);
    assert_int_equal(node->agent.busy, 1);
    Net_Run(&net, 200);
    assert_int_equal(node->agent.busy, 0);
    assert_int_equal(result.state, TASK_FAILED);
    assert_int_equal(result.code, CODE_LEASE_LAPSED);
}

static void
a_slot_is_not_free_before_the_run_has_ended(void **state)
{
    (void)state;
    node->run_ms = -1;
    struct msg start = make_start(1, 1, 1);
    deliver(&start);
    struct net_run *run = &net.runs[0];
    for (int i = 0; i < 300; i++) {
        Net_Run(&net, 10);
        run->stopped = 0; /* The upstream ignores the stop. */
    }
    assert_int_equal(node->agent.busy, 1);
    Net_Run(&net, 1100);
    assert_int_equal(node->agent.busy, 0);
}

static void
requests_do_not_count_as_untracked_tasks(void **state)
{
    (void)state;
    node->run_ms = -1;
    for (uint32_t i = 1; i <= 20; i++) {
        struct msg start = make_start(i, 1, 1);
        start.u.start.flags = SUB_REQUEST;
        start.u.start.lease_ms = 60000;
        deliver(&start);
    }
    Net_Run(&net, 1100);
    assert_int_equal(node->agent.untracked, 0);
    struct msg task = make_start(30, 1, 1);
    deliver(&task);
    assert_int_equal(net.start_count, 21);
}

static void
tasks_from_before_this_process_take_slots(void **state)
{
    (void)state;
    struct ag_announce announce = {
        .service = "finishing", .slots = 8, .connections = 64, .running = 8};
    node->agent.announced_us = 0;
    Ag_OnAnnounce(&node->agent, net.now, &announce);
    struct msg start = make_start(1, 1, 1);
    deliver(&start);
    assert_int_equal(result.code, CODE_NO_SLOT);
    announce.running = 5;
    Ag_OnAnnounce(&node->agent, net.now, &announce);
    assert_int_equal(node->agent.untracked, 5);
    for (uint32_t i = 2; i <= 5; i++) {
        struct msg more = make_start(i, 1, 1);
        deliver(&more);
    }
    assert_int_equal(net.start_count, 3);
    assert_int_equal(result.code, CODE_NO_SLOT);
}

/* Entries would take it for unusable until the next heartbeat. */
static void
an_upstream_that_returns_is_reported_at_once(void **state)
{
    (void)state;
    struct ag_announce announce = node->agent.upstream;
    struct msg start = make_start(1, 1, 1);
    deliver(&start);
    Ag_OnUpstreamGone(&node->agent, net.now);
    statuses = 0;
    Ag_OnAnnounce(&node->agent, net.now, &announce);
    assert_int_equal(statuses, 1);
    Ag_OnAnnounce(&node->agent, net.now, &announce);
    assert_int_equal(statuses, 1);
}

static void
requests_are_limited_by_connections(void **state)
{
    (void)state;
    node->run_ms = -1;
    for (uint32_t i = 1; i <= 65; i++) {
        struct msg start = make_start(i, 1, 1);
        start.u.start.flags = SUB_REQUEST;
        deliver(&start);
    }
    assert_int_equal(net.start_count, 64);
    assert_int_equal(result.code, CODE_NO_SLOT);
}

static void
check_cancellation_is_logged_once(uint64_t name)
{
    struct msg cancel = {.type = MSG_CANCEL};
    node->run_ms = -1;
    for (uint32_t task = 1; task <= 3; task++) {
        struct msg start = make_start(1, task, 1);
        start.u.start.flags = SUB_RESTART;
        start.u.start.name = name;
        deliver(&start);
    }
    cancel.u.cancel.key = make_start(1, 1, 1).u.start.key;
    cancel.u.cancel.epoch = (struct epoch){1, 500};
    deliver(&cancel);
    deliver(&cancel);
    assert_int_equal(cancelled_events, 1);
    assert_int_equal(cancelled.job, name);
    assert_int_equal(cancelled.running, 3);
}

static void
a_cancellation_is_logged_once(void **state)
{
    (void)state;
    check_cancellation_is_logged_once(0x4692dca03af585dbull);
}

static void
a_cancellation_of_a_job_named_0_is_logged_once(void **state)
{
    (void)state;
    check_cancellation_is_logged_once(0);
}

/* The records of older keys are removed while a run of one goes on. */
static void
a_run_of_an_expired_key_is_stopped_by_its_cancellation(void **state)
{
    (void)state;
    struct msg cancel = {.type = MSG_CANCEL};
    struct msg start = make_start(1, 1, 1);
    node->run_ms = -1;
    deliver(&start);
    node->agent.expired_until_s = net.now.wall + 10;
    cancel.u.cancel.key = start.u.start.key;
    cancel.u.cancel.epoch = (struct epoch){1, 500};
    deliver(&cancel);
    Net_Run(&net, 20);
    assert_int_equal(node->agent.busy, 0);
}

/* A start with such a key is refused, so nothing is to be remembered. */
static void
a_cancellation_of_an_unknown_expired_key_is_confirmed(void **state)
{
    (void)state;
    struct msg cancel = {.type = MSG_CANCEL};
    struct msg start = make_start(1, 1, 1);
    node->agent.expired_until_s = net.now.wall + 10;
    cancel.u.cancel.key = start.u.start.key;
    cancel.u.cancel.epoch = (struct epoch){1, 500};
    deliver(&cancel);
    assert_int_equal(result.task, WIRE_ALL_TASKS);
    assert_int_equal(result.code, CODE_CANCELLED);
    assert_int_equal(node->agent.jobs.used, 0);
    deliver(&start);
    assert_int_equal(result.code, CODE_KEY_EXPIRED);
    assert_int_equal(net.start_count, 0);
}

#define AGENT_TEST(f) cmocka_unit_test_setup_teardown(f, set_up, Net_TearDown)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        AGENT_TEST(a_start_is_run_once),
        AGENT_TEST(a_refused_attempt_stays_refused),
        AGENT_TEST(a_start_before_the_registration_stays_refused),
        AGENT_TEST(a_refusal_for_lack_of_memory_is_recorded),
        AGENT_TEST(a_full_table_expires_the_oldest_keys),
        AGENT_TEST(a_known_task_is_answered_after_its_key_expired),
        AGENT_TEST(a_known_start_is_reported_to_a_fenced_owner),
        AGENT_TEST(an_older_key_than_the_registration_is_refused),
        AGENT_TEST(a_fence_outlives_many_other_issuers),
        AGENT_TEST(no_fence_is_evicted_for_another),
        AGENT_TEST(a_report_is_numbered),
        AGENT_TEST(a_task_past_its_lease_is_stopped),
        AGENT_TEST(a_slot_is_not_free_before_the_run_has_ended),
        AGENT_TEST(requests_do_not_count_as_untracked_tasks),
        AGENT_TEST(tasks_from_before_this_process_take_slots),
        AGENT_TEST(an_upstream_that_returns_is_reported_at_once),
        AGENT_TEST(requests_are_limited_by_connections),
        AGENT_TEST(a_cancellation_is_logged_once),
        AGENT_TEST(a_cancellation_of_a_job_named_0_is_logged_once),
        AGENT_TEST(a_run_of_an_expired_key_is_stopped_by_its_cancellation),
        AGENT_TEST(a_cancellation_of_an_unknown_expired_key_is_confirmed),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
