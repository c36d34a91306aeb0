/* Regression tests for faults that the models, or a review of the code against
 * them, have found. */
#include "net_fixture.h"

#define CAPACITY 64
#define US(ms) ((uint64_t)(ms)*US_PER_MS)

static struct net_node *node;
static struct msg_result result;

static void
capture(void *context, const struct act *act)
{
    if (act->type != ACT_SEND) {
        net_emit(context, act);
    }
    else if (act->u.send.msg->type == MSG_RESULT) {
        result = act->u.send.msg->u.result;
    }
}

static void
start(uint32_t seq, uint32_t issued_s)
{
    struct frame_header header = {.from = 500, .role = ROLE_ENTRY};
    struct msg msg = {.type = MSG_START};
    msg.u.start.key.issuer = 77;
    msg.u.start.key.registry_version = 9;
    msg.u.start.key.seq = seq;
    msg.u.start.key.issued_s = issued_s;
    msg.u.start.epoch = (struct epoch){1, 500};
    msg.u.start.task = 1;
    msg.u.start.attempt = 1;
    msg.u.start.deadline_ms = 10000;
    msg.u.start.lease_ms = 1000;
    Ag_OnMessage(&node->agent, net.now, &header, &msg);
}

/* When the table is full, the agent drops the records of the oldest keys. The
 * start being accepted may itself have the oldest key: dropping its record
 * would let a second copy of the start run the task again. */
static void
removing_old_records_keeps_that_of_the_start(void **state)
{
    (void)state;
    Net_Init(&net);
    net.task_capacity = CAPACITY;
    node = Net_AddAgentUnregistered(&net, "x");
    node->agent.sink.emit = capture;
    Net_Run(&net, 500);
    Ag_OnRegistered(&node->agent, 5);
    uint32_t wall = net.now.wall;
    uint32_t limit = CAPACITY - CAPACITY / 16;
    for (uint32_t i = 0; i < limit; i++) {
        start(i + 1, wall + i);
        Net_Run(&net, 100);
    }
    uint32_t before = net.start_count;
    start(1000, wall - 1);
    assert_int_equal(net.start_count, before + 1);
    start(1000, wall - 1);
    assert_int_equal(net.start_count, before + 1);
    assert_int_equal(result.state, TASK_RUNNING);
    Net_Finish(&net);
}

static struct entry entry;
static struct counters counters;

static void
ignore(void *context, const struct act *act)
{
    (void)context;
    (void)act;
}

static struct now
at_ms(uint64_t ms)
{
    return (struct now){.us = US(ms), .wall = 1000};
}

static void
add_member(uint64_t incarnation, enum role role, const char *name,
           uint64_t version)
{
    struct ent_member member = {
        .incarnation = incarnation, .role = role, .registered = version};
    snprintf(member.node, sizeof(member.node), "%s", name);
    Ent_OnMember(&entry, at_ms(1), &member);
}

static void
receive_version(uint64_t ms, uint64_t from, uint64_t config, uint64_t members)
{
    struct frame_header header = {.from = from, .role = ROLE_ENTRY};
    struct msg msg = {.type = MSG_VERSION};
    msg.u.version.config = config;
    msg.u.version.members = members;
    Ent_OnMessage(&entry, at_ms(ms), &header, &msg);
}

/* An entry that does not know of a removal may keep confirming the
 * configuration to the removed agent long after another entry has learned of
 * the removal. A change must therefore not be accepted until the agent can no
 * longer be fresh, counted from when every entry knows of the removal. */
static void
removal_counts_from_when_every_entry_knows_it(void **state)
{
    (void)state;
    struct config config = {.version = 1};
    struct ent_settings settings = {.incarnation = 1,
                                    .job_capacity = 16,
                                    .peer_capacity = 8,
                                    .key_lifetime_s = 300,
                                    .require_fresh = 1};
    struct act_sink sink = {.emit = ignore};
    assert_int_equal(Ent_Init(&entry, &settings, at_ms(1), sink, &counters),
                     0);
    add_member(2, ROLE_ENTRY, "b", 2);
    add_member(3, ROLE_AGENT, "x", 3);
    Ent_OnMemberRemoved(&entry, at_ms(1000), "x", 10);
    Ent_OnVersion(&entry, at_ms(1000), 10);
    Ent_OnConfig(&entry, at_ms(9000), &config, (struct bytes){"w", 1},
                 (struct bytes){NULL, 0}, 0);
    Ent_OnVersion(&entry, at_ms(9000), 11);
    struct ent_pending_change accept = {.rows_version = 11,
                                        .config_version = 1};
    receive_version(9001, 2, 1, 11);
    assert_false(Ent_CheckAcceptance(&entry, at_ms(9002), &accept).accepted);
    assert_false(Ent_CheckAcceptance(&entry, at_ms(11000), &accept).accepted);
    assert_true(Ent_CheckAcceptance(&entry, at_ms(13000), &accept).accepted);
    /* Later changes need only the acknowledgements. */
    config.version = 2;
    accept =
        (struct ent_pending_change){.rows_version = 12, .config_version = 2};
    Ent_OnVersion(&entry, at_ms(14000), 12);
    receive_version(14001, 2, 2, 12);
    assert_true(Ent_CheckAcceptance(&entry, at_ms(14002), &accept).accepted);
    Ent_Finish(&entry);
}

/* An agent that has expired the key may have run it and dropped the record. If
 * the agent reports its watermark to a new owner and is then lost, the key
 * must still be answered as expired: to start it could run the job twice. */
static void
watermark_of_a_lost_agent_still_counts(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
    struct key other = Net_IssueKey(entries[0]);
    while (other.issuer != key.issuer) {
        other = Net_IssueKey(entries[0]);
    }
    for (int i = 0; i < 3; i++) {
        agents[i]->agent.expired_until_s = i == 0 ? key.issued_s : 0;
    }
    Net_Kill(entries[0]);
    Net_Submit(entries[1], CONN(1), &other, 1, 7, 0, 20000);
    Net_Run(&net, 6000);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_KEY_EXPIRED);
    struct net_node *new_owner = current_owner(&key);
    assert_non_null(new_owner);
    Net_Kill(agents[0]);
    for (int i = 1; i < 3; i++) {
        Ent_OnMemberRemoved(&entries[i]->entry, net.now,
                            agents[0]->header.node, net.version + 1);
        Ent_OnVersion(&entries[i]->entry, net.now, net.version + 1);
    }
    net.version++;
    Net_Submit(new_owner, CONN(2), &key, 1, 7, 0, 20000);
    Net_Run(&net, 6000);
    assert_int_equal(Net_Starts(&net, &key), 0);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_KEY_EXPIRED);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(removing_old_records_keeps_that_of_the_start),
        NET_TEST(watermark_of_a_lost_agent_still_counts),
        cmocka_unit_test(removal_counts_from_when_every_entry_knows_it),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
