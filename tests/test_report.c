/* How the new owner of an issuer's keys treats the agents' takeover reports,
 * also if some of their messages are lost or sent again. */
#include "net_fixture.h"

static enum net_verdict
drop_every_other_record(struct net *n, const struct net_node *from,
                        const struct net_node *to, const struct msg *msg)
{
    (void)from;
    (void)to;
    if (msg->type != MSG_TASK_RECORD || n->filter_arg <= 0) {
        return NET_PASS;
    }
    return n->filter_arg-- % 2 ? NET_DROP : NET_PASS;
}

/* Half of the first 90 records are lost and the reports are sent again. A
 * record received twice must not count in place of a lost one: the new owner
 * would miss a task that was started, and start it again. */
static void
a_report_is_complete_only_with_every_record(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
    for (int i = 0; i < 3; i++) {
        agents[i]->run_ms = 3000;
    }
    Net_Submit(entries[0], CONN(1), &key, 40, 7, 0, 40000);
    Net_Run(&net, 20);
    Net_Kill(entries[0]);
    net.filter = drop_every_other_record;
    net.filter_arg = 90;
    Net_Submit(entries[1], CONN(2), &key, 40, 7, 0, 40000);
    Net_Run(&net, 25000);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_OK);
    assert_int_equal(Net_Starts(&net, &key), 40);
    assert_int_equal(Net_Repeats(&net), 0);
}

/* Begins a takeover of the key's issuer and returns the new owner, which waits
 * for the reports of the paused agents. */
static struct net_node *
begin_takeover(const struct key *key, conn_id conn)
{
    Net_Kill(entries[0]);
    Net_Kill(entries[2]);
    Net_Run(&net, 4000);
    for (int i = 0; i < 3; i++) {
        agents[i]->paused = 1;
    }
    Net_Submit(entries[1], conn, key, 4, 7, 0, 20000);
    Net_Run(&net, 20);
    return entries[1];
}

static const struct ent_issuer *
find_issuer(const struct net_node *new_owner, const struct key *key)
{
    struct ent_issuer *issuer;
    uint64_t number = key->issuer;
    HASH_FIND(hh, new_owner->entry.issuer_index, &number, sizeof(number),
              issuer);
    if (!issuer) {
        abort();
    }
    return issuer;
}

static struct msg
make_record(const struct net_node *new_owner, const struct key *key,
            uint32_t report, uint32_t index)
{
    struct msg msg = {.type = MSG_TASK_RECORD};
    const struct ent_issuer *issuer = find_issuer(new_owner, key);
    msg.u.result.key = *key;
    msg.u.result.epoch = issuer->epoch;
    msg.u.result.task = index + 1;
    msg.u.result.state = TASK_FINISHED;
    msg.u.result.report = report;
    msg.u.result.index = index;
    return msg;
}

static struct msg
make_report_end(const struct msg *record, uint32_t count)
{
    struct msg msg = {.type = MSG_FENCED};
    msg.u.fenced.issuer = record->u.result.key.issuer;
    msg.u.fenced.epoch = record->u.result.epoch;
    msg.u.fenced.report = record->u.result.report;
    msg.u.fenced.count = count;
    return msg;
}

static int
has_reported(struct net_node *new_owner, const struct key *key,
             const struct net_node *agent)
{
    const struct ent_issuer *issuer = find_issuer(new_owner, key);
    struct ent_fence *fence = issuer->fences;
    while (fence && fence->agent != agent->header.from) {
        fence = fence->next;
    }
    return fence && fence->answered && fence->received >= fence->expected;
}

static void
a_record_counts_once_and_in_its_own_report(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
    struct net_node *new_owner = begin_takeover(&key, CONN(1));
    struct net_node *agent = agents[0];
    struct msg first = make_record(new_owner, &key, 1, 0);
    struct msg end = make_report_end(&first, 2);
    for (int i = 0; i < 3; i++) {
        Ent_OnMessage(&new_owner->entry, net.now, &agent->header, &first);
    }
    Ent_OnMessage(&new_owner->entry, net.now, &agent->header, &end);
    assert_false(has_reported(new_owner, &key, agent));
    /* A record of the first report does not count in the second report. */
    struct msg second = make_record(new_owner, &key, 2, 1);
    end = make_report_end(&second, 2);
    Ent_OnMessage(&new_owner->entry, net.now, &agent->header, &second);
    Ent_OnMessage(&new_owner->entry, net.now, &agent->header, &end);
    assert_false(has_reported(new_owner, &key, agent));
    second = make_record(new_owner, &key, 2, 0);
    Ent_OnMessage(&new_owner->entry, net.now, &agent->header, &second);
    assert_true(has_reported(new_owner, &key, agent) ||
                Net_Answer(&net, CONN(1)) != CODE_PENDING);
}

static void
a_report_under_an_earlier_epoch_does_not_count(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
    struct net_node *new_owner = begin_takeover(&key, CONN(1));
    struct msg record = make_record(new_owner, &key, 1, 0);
    record.u.result.epoch.n--;
    struct msg end = make_report_end(&record, 0);
    Ent_OnMessage(&new_owner->entry, net.now, &agents[0]->header, &record);
    Ent_OnMessage(&new_owner->entry, net.now, &agents[0]->header, &end);
    assert_false(has_reported(new_owner, &key, agents[0]));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        NET_TEST(a_report_is_complete_only_with_every_record),
        NET_TEST(a_record_counts_once_and_in_its_own_report),
        NET_TEST(a_report_under_an_earlier_epoch_does_not_count),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
