/* The path of a job through entries and agents when things fail on the way.
 * The upstreams' log of starts is the witness. */
#include "net.h"

#define CONN(n) ((1ull << 63) | (n))

static struct net net;
static struct net_node *entries[3];
static struct net_node *agents[3];

/* Three entries and three agents that have heard of each other. */
static int
set_up(void **state)
{
    static const char *const names[] = {"a", "b", "c", "x", "y", "z"};
    (void)state;
    Net_Init(&net);
    for (int i = 0; i < 3; i++) {
        agents[i] = Net_AddAgent(&net, names[3 + i]);
    }
    for (int i = 0; i < 3; i++) {
        entries[i] = Net_AddEntry(&net, names[i]);
    }
    Net_Run(&net, 2600);
    return 0;
}

static int
tear_down(void **state)
{
    (void)state;
    Net_Finish(&net);
    return 0;
}

static struct net_node *
restart_agent(int i)
{
    struct net_node *old = agents[i];
    Net_Kill(old);
    agents[i] = Net_AddAgentUnregistered(&net, old->head.node);
    agents[i]->member.replaced = 1;
    Net_Register(&net, agents[i]);
    return agents[i];
}

static void
a_job_is_answered_whole(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    Net_Submit(entries[0], CONN(1), &key, 40, 7, 0, 10000);
    Net_Run(&net, 500);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_OK);
    assert_int_equal(net.replies[0].tasks, 40);
    assert_int_equal(Net_Starts(&net, &key), 40);
}

static void
a_resubmission_meets_the_job_through_any_entry(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    Net_Submit(entries[0], CONN(1), &key, 40, 7, 0, 10000);
    Net_Run(&net, 20);
    Net_Submit(entries[0], CONN(2), &key, 40, 7, 0, 10000);
    Net_Submit(entries[1], CONN(3), &key, 40, 7, 0, 10000);
    Net_Run(&net, 500);
    Net_Submit(entries[2], CONN(4), &key, 40, 7, 0, 10000);
    Net_Run(&net, 100);
    for (uint32_t n = 1; n <= 4; n++) {
        assert_int_equal(Net_Answer(&net, CONN(n)), CODE_OK);
    }
    assert_int_equal(Net_Starts(&net, &key), 40);
    assert_int_equal(Net_Repeats(&net), 0);
}

static void
the_order_of_tasks_makes_no_other_body(void **state)
{
    (void)state;
    struct sub_task ahead[2] = {{.no = 1, .input = {"a", 1}},
                                {.no = 2, .input = {"b", 1}}};
    struct sub_task back[2] = {ahead[1], ahead[0]};
    struct submission sub = {.key = Net_Key(entries[0]),
                             .service = "finishing",
                             .deadline_ms = 5000,
                             .task_count = 2,
                             .tasks = back};
    Ent_OnSubmit(&entries[0]->entry, net.now, CONN(1), &sub);
    Ent_OnSubmit(&entries[1]->entry, net.now, CONN(2), &sub);
    sub.tasks = ahead;
    Ent_OnSubmit(&entries[2]->entry, net.now, CONN(3), &sub);
    Net_Run(&net, 300);
    for (uint32_t n = 1; n <= 3; n++) {
        assert_int_equal(Net_Answer(&net, CONN(n)), CODE_OK);
    }
    assert_int_equal(Net_Repeats(&net), 0);
}

static void
another_body_under_a_used_key_is_refused(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    Net_Submit(entries[0], CONN(1), &key, 4, 7, 0, 10000);
    Net_Submit(entries[0], CONN(2), &key, 4, 8, 0, 10000);
    Net_Submit(entries[1], CONN(3), &key, 4, 8, 0, 10000);
    Net_Run(&net, 300);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_OK);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_KEY_REUSED);
    assert_int_equal(Net_Answer(&net, CONN(3)), CODE_KEY_REUSED);
    assert_int_equal(Net_Starts(&net, &key), 4);
}

/* Only the agents can tell the taker what the first body was. */
static void
another_body_is_refused_after_the_owner_died(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    Net_Submit(entries[0], CONN(1), &key, 12, 7, 0, 20000);
    Net_Run(&net, 20);
    Net_Kill(entries[0]);
    Net_Run(&net, 4000);
    Net_Submit(entries[1], CONN(2), &key, 30, 8, 0, 20000);
    Net_Run(&net, 6000);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_KEY_REUSED);
    Net_Submit(entries[1], CONN(3), &key, 12, 7, 0, 20000);
    Net_Run(&net, 6000);
    assert_int_equal(Net_Answer(&net, CONN(3)), CODE_OK);
    assert_int_equal(Net_Starts(&net, &key), 12);
    assert_int_equal(Net_Repeats(&net), 0);
}

static void
the_job_goes_on_after_its_owner_died(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    Net_Submit(entries[0], CONN(1), &key, 40, 7, 0, 20000);
    Net_Run(&net, 20);
    assert_true(Net_Starts(&net, &key) < 40);
    Net_Kill(entries[0]);
    Net_Submit(entries[1], CONN(2), &key, 40, 7, 0, 20000);
    Net_Submit(entries[2], CONN(3), &key, 40, 7, 0, 20000);
    Net_Run(&net, 6000);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_OK);
    assert_int_equal(Net_Answer(&net, CONN(3)), CODE_OK);
    assert_int_equal(Net_Starts(&net, &key), 40);
    assert_int_equal(Net_Repeats(&net), 0);
}

static struct net_node *
owner_of(const struct key *key)
{
    struct net_node *owner = NULL;
    for (int i = 0; i < 3; i++) {
        struct ent_issuer *issuer;
        struct entry *entry = &entries[i]->entry;
        uint64_t number = key->issuer;
        HASH_FIND(hh, entry->issuer_index, &number, sizeof(number), issuer);
        if (entries[i]->up && issuer && issuer->state != ENT_ISSUER_PEER) {
            owner = entries[i];
        }
    }
    return owner;
}

static void
a_third_entry_takes_over_from_a_dead_taker(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    Net_Submit(entries[0], CONN(1), &key, 60, 7, 0, 30000);
    Net_Run(&net, 20);
    Net_Kill(entries[0]);
    Net_Submit(entries[1], CONN(2), &key, 60, 7, 0, 30000);
    Net_Submit(entries[2], CONN(3), &key, 60, 7, 0, 30000);
    struct net_node *taker = NULL;
    for (int i = 0; i < 8000 && !taker; i++) {
        Net_Run(&net, 1);
        taker = owner_of(&key);
    }
    assert_non_null(taker);
    Net_Run(&net, 30);
    Net_Kill(taker);
    Net_Run(&net, 10000);
    conn_id conn = taker == entries[1] ? CONN(3) : CONN(2);
    assert_int_equal(Net_Answer(&net, conn), CODE_OK);
    assert_int_equal(Net_Repeats(&net), 0);
}

/* The owner sleeps through a takeover, wakes and goes on where it was. */
static void
a_stale_owner_starts_nothing_twice(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    Net_Submit(entries[0], CONN(1), &key, 60, 7, 0, 30000);
    Net_Run(&net, 20);
    entries[0]->asleep = 1;
    Net_Submit(entries[1], CONN(2), &key, 60, 7, 0, 30000);
    Net_Run(&net, 6000);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_OK);
    entries[0]->asleep = 0;
    struct key late = Net_Key(entries[0]);
    Net_Submit(entries[0], CONN(3), &late, 4, 9, 0, 30000);
    Net_Run(&net, 3000);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_OK);
    assert_int_equal(Net_Answer(&net, CONN(3)), CODE_OK);
    assert_int_equal(Net_Starts(&net, &key), 60);
    assert_int_equal(Net_Repeats(&net), 0);
}

static enum net_fate
part_entries(struct net *n, const struct net_node *from,
             const struct net_node *to, const struct msg *msg)
{
    (void)n;
    (void)msg;
    int both = from->role == ROLE_ENTRY && to->role == ROLE_ENTRY;
    return both ? NET_LOSE : NET_PASS;
}

/* Entries that do not hear each other each think to be the taker. */
static void
takers_that_race_do_not_both_complete(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    net.fate = part_entries;
    Net_Submit(entries[0], CONN(1), &key, 60, 7, 0, 30000);
    Net_Run(&net, 4000);
    struct key second = Net_Key(entries[0]);
    Net_Submit(entries[0], CONN(2), &second, 60, 7, 0, 30000);
    Net_Submit(entries[1], CONN(3), &second, 60, 7, 0, 30000);
    Net_Submit(entries[2], CONN(4), &second, 60, 7, 0, 30000);
    Net_Run(&net, 8000);
    assert_int_equal(Net_Repeats(&net), 0);
    net.fate = NULL;
    Net_Run(&net, 8000);
    for (uint32_t n = 1; n <= 4; n++) {
        assert_int_equal(Net_Answer(&net, CONN(n)), CODE_OK);
    }
    assert_int_equal(Net_Starts(&net, &second), 60);
    assert_int_equal(Net_Repeats(&net), 0);
}

static enum net_fate
lose_results(struct net *n, const struct net_node *from,
             const struct net_node *to, const struct msg *msg)
{
    (void)from;
    (void)to;
    return msg->type == MSG_RESULT && n->knob-- > 0 ? NET_LOSE : NET_PASS;
}

static void
lost_results_are_asked_for_again(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    net.fate = lose_results;
    net.knob = 30;
    Net_Submit(entries[0], CONN(1), &key, 20, 7, 0, 20000);
    Net_Run(&net, 5000);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_OK);
    assert_int_equal(Net_Starts(&net, &key), 20);
    assert_int_equal(Net_Repeats(&net), 0);
}

static enum net_fate
lose_every_other_held(struct net *n, const struct net_node *from,
                      const struct net_node *to, const struct msg *msg)
{
    (void)from;
    (void)to;
    if (msg->type != MSG_HELD || n->knob <= 0) {
        return NET_PASS;
    }
    return n->knob-- % 2 ? NET_LOSE : NET_PASS;
}

/* Records of a report that is sent again do not stand for lost ones. */
static void
a_report_is_complete_only_with_every_record(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    for (int i = 0; i < 3; i++) {
        agents[i]->run_ms = 3000;
    }
    Net_Submit(entries[0], CONN(1), &key, 40, 7, 0, 40000);
    Net_Run(&net, 20);
    Net_Kill(entries[0]);
    net.fate = lose_every_other_held;
    net.knob = 90;
    Net_Submit(entries[1], CONN(2), &key, 40, 7, 0, 40000);
    Net_Run(&net, 25000);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_OK);
    assert_int_equal(Net_Starts(&net, &key), 40);
    assert_int_equal(Net_Repeats(&net), 0);
}

static void
a_lost_agent_makes_its_tasks_uncertain(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    for (int i = 0; i < 3; i++) {
        agents[i]->run_ms = 300;
    }
    Net_Submit(entries[0], CONN(1), &key, 24, 7, 0, 20000);
    Net_Run(&net, 50);
    restart_agent(0);
    Net_Run(&net, 3000);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_OUTCOME_UNKNOWN);
    Net_Submit(entries[1], CONN(2), &key, 24, 7, 0, 20000);
    Net_Run(&net, 3000);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_OUTCOME_UNKNOWN);
    assert_int_equal(Net_Repeats(&net), 0);
}

static void
owner_and_agent_lost_together_leave_the_rest_uncertain(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    Net_Submit(entries[0], CONN(1), &key, 60, 7, 0, 20000);
    Net_Run(&net, 20);
    Net_Kill(entries[0]);
    restart_agent(0);
    Net_Submit(entries[1], CONN(2), &key, 60, 7, 0, 20000);
    Net_Run(&net, 8000);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_OUTCOME_UNKNOWN);
    assert_int_equal(Net_Repeats(&net), 0);
}

/* The row of the new incarnation alone tells a new entry of the loss. */
static void
an_entry_that_joins_later_knows_of_the_loss(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    Net_Submit(entries[0], CONN(1), &key, 60, 7, 0, 20000);
    Net_Run(&net, 20);
    for (int i = 0; i < 3; i++) {
        Net_Kill(entries[i]);
    }
    restart_agent(0);
    struct net_node *late = Net_AddEntry(&net, "d");
    Net_Run(&net, 3000);
    Net_Submit(late, CONN(2), &key, 60, 7, 0, 20000);
    Net_Run(&net, 4000);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_OUTCOME_UNKNOWN);
    assert_int_equal(Net_Repeats(&net), 0);
}

static void
an_agent_that_joined_later_takes_no_older_key(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    struct net_node *late = Net_AddAgent(&net, "w");
    Net_Run(&net, 1500);
    Net_Submit(entries[0], CONN(1), &key, 60, 7, 0, 20000);
    Net_Run(&net, 1000);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_OK);
    for (uint32_t i = 0; i < net.start_count; i++) {
        assert_ptr_not_equal(net.starts[i].node, late);
    }
}

static enum net_fate
hold_answers(struct net *n, const struct net_node *from,
             const struct net_node *to, const struct msg *msg)
{
    (void)from;
    (void)to;
    return msg->type == MSG_ANSWER && n->knob ? NET_HOLD : NET_PASS;
}

/* An old owner's answer comes when its range has been collected here. */
static void
a_late_answer_does_not_make_the_taker_forget(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    net.fate = hold_answers;
    net.knob = 1;
    Net_Submit(entries[1], CONN(1), &key, 20, 7, 0, 3500);
    Net_Run(&net, 300);
    assert_int_equal(Net_Starts(&net, &key), 20);
    Net_Kill(entries[0]);
    Net_Kill(entries[2]);
    Net_Run(&net, 2500);
    Net_Release(&net);
    net.knob = 0;
    Net_Run(&net, 3000);
    Net_Submit(entries[1], CONN(2), &key, 20, 7, 0, 20000);
    Net_Run(&net, 8000);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_OK);
    assert_int_equal(Net_Starts(&net, &key), 20);
    assert_int_equal(Net_Repeats(&net), 0);
}

static void
a_dead_forwarder_loses_nothing(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    Net_Submit(entries[1], CONN(1), &key, 40, 7, 0, 20000);
    Net_Run(&net, 20);
    Net_Kill(entries[1]);
    Net_Submit(entries[2], CONN(2), &key, 40, 7, 0, 20000);
    Net_Run(&net, 2000);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_OK);
    assert_int_equal(Net_Starts(&net, &key), 40);
}

static void
a_cancellation_may_overtake_its_submission(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    Ent_OnAsk(&entries[1]->entry, net.now, CONN(1), &key, ASK_CANCEL);
    Net_Run(&net, 10);
    Net_Submit(entries[0], CONN(2), &key, 10, 7, 0, 5000);
    Net_Run(&net, 500);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_CANCELLED);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_CANCELLED);
    assert_int_equal(Net_Starts(&net, &key), 0);
}

static void
a_cancellation_stops_what_runs(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    for (int i = 0; i < 3; i++) {
        agents[i]->run_ms = -1;
    }
    Net_Submit(entries[0], CONN(1), &key, 40, 7, 0, 60000);
    Net_Run(&net, 50);
    Ent_OnAsk(&entries[2]->entry, net.now, CONN(2), &key, ASK_CANCEL);
    Net_Run(&net, 50);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_JOB_CANCELLED);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_JOB_CANCELLED);
    for (int i = 0; i < 3; i++) {
        assert_int_equal(agents[i]->agent.busy, 0);
    }
}

static void
a_cancellation_during_a_takeover_holds(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    for (int i = 0; i < 3; i++) {
        agents[i]->run_ms = -1;
    }
    Net_Submit(entries[0], CONN(1), &key, 30, 7, 0, 60000);
    Net_Run(&net, 50);
    Net_Kill(entries[0]);
    agents[2]->asleep = 1;
    Net_Submit(entries[1], CONN(2), &key, 30, 7, 0, 60000);
    Net_Run(&net, 5000);
    struct net_node *taker = owner_of(&key);
    assert_non_null(taker);
    Ent_OnAsk(&taker->entry, net.now, CONN(3), &key, ASK_CANCEL);
    agents[2]->asleep = 0;
    Net_Run(&net, 5000);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_JOB_CANCELLED);
    for (int i = 0; i < 3; i++) {
        assert_int_equal(agents[i]->agent.busy, 0);
    }
}

static void
a_deadline_while_collecting_is_uncertain(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    Net_Submit(entries[0], CONN(1), &key, 60, 7, 0, 60000);
    Net_Run(&net, 20);
    Net_Kill(entries[0]);
    agents[1]->asleep = 1;
    Net_Submit(entries[1], CONN(2), &key, 60, 7, 0, 8000);
    Net_Run(&net, 8100);
    enum code code = Net_Answer(&net, CONN(2));
    assert_true(code == CODE_OUTCOME_UNKNOWN || code == CODE_OWNER_AWAY);
    agents[1]->asleep = 0;
    Net_Run(&net, 5000);
    assert_int_equal(Net_Repeats(&net), 0);
}

/* What `agent` answers when it has forgotten the key. */
static struct msg
refusal(const struct key *key, enum code code, struct epoch epoch)
{
    struct msg msg = {.type = MSG_RESULT};
    msg.u.result.key = *key;
    msg.u.result.task = 1;
    msg.u.result.attempt = 1;
    msg.u.result.state = TASK_REFUSED;
    msg.u.result.code = code;
    msg.u.result.epoch = epoch;
    return msg;
}

static struct net_node *
runner(const struct key *key)
{
    for (uint32_t i = 0; i < net.start_count; i++) {
        if (net.starts[i].seq == key->seq) {
            return net.starts[i].node;
        }
    }
    return NULL;
}

/* A clock that jumps makes an agent forget what it runs. */
static void
a_start_refused_as_expired_is_not_placed_elsewhere(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    for (int i = 0; i < 3; i++) {
        agents[i]->run_ms = -1;
    }
    Net_Submit(entries[0], CONN(1), &key, 1, 7, 0, 20000);
    Net_Run(&net, 50);
    struct net_node *agent = runner(&key);
    struct msg msg =
        refusal(&key, CODE_KEY_EXPIRED,
                (struct epoch){1, entries[0]->member.incarnation});
    Ent_OnMessage(&entries[0]->entry, net.now, &agent->head, &msg);
    Net_Run(&net, 500);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_KEY_EXPIRED);
    assert_int_equal(Net_Starts(&net, &key), 1);
}

/* Attempts are counted from new when a range is taken over again. */
static void
a_refusal_under_an_earlier_epoch_is_stale(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    for (int i = 0; i < 3; i++) {
        agents[i]->run_ms = -1;
    }
    Net_Kill(entries[0]);
    Net_Run(&net, 4000);
    Net_Submit(entries[1], CONN(1), &key, 1, 7, 0, 60000);
    Net_Run(&net, 500);
    struct net_node *owner = owner_of(&key);
    struct net_node *agent = runner(&key);
    assert_int_equal(Net_Starts(&net, &key), 1);
    struct msg msg =
        refusal(&key, CODE_NO_SLOT, (struct epoch){1, entries[0]->head.from});
    Ent_OnMessage(&owner->entry, net.now, &agent->head, &msg);
    Net_Run(&net, 2000);
    assert_int_equal(Net_Starts(&net, &key), 1);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_PENDING);
}

static void
an_epoch_is_not_taken_twice(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    Net_Kill(entries[0]);
    Net_Kill(entries[2]);
    Net_Run(&net, 4000);
    Net_Submit(entries[1], CONN(1), &key, 1, 7, 0, 20000);
    Net_Run(&net, 500);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_OK);
    struct entry *entry = &entries[1]->entry;
    uint64_t first = entry->epoch_n;
    /* It forgets the range after a time without use. */
    entry->next_age_us = net.now.us + 400 * US_PER_S;
    net.now.us += 400 * US_PER_S;
    Net_Run(&net, 2600);
    Net_Submit(entries[1], CONN(2), &key, 1, 7, 0, 20000);
    struct key other = key;
    other.seq += 100;
    Net_Submit(entries[1], CONN(3), &other, 1, 7, 0, 20000);
    Net_Run(&net, 2000);
    assert_true(entry->epoch_n > first);
    assert_int_equal(Net_Answer(&net, CONN(3)), CODE_OK);
    assert_int_equal(Net_Repeats(&net), 0);
}

/* A row written again must not hide that the agent ran older keys. */
static void
a_row_written_again_keeps_its_agent_a_witness(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    Net_Submit(entries[0], CONN(1), &key, 60, 7, 0, 30000);
    Net_Run(&net, 20);
    Net_Kill(entries[0]);
    for (int i = 0; i < 3; i++) {
        struct ent_member row = agents[i]->member;
        row.registered = ++net.version;
        for (int j = 1; j < 3; j++) {
            Ent_OnMember(&entries[j]->entry, net.now, &row);
            Ent_OnVersion(&entries[j]->entry, net.now, net.version);
        }
    }
    Net_Submit(entries[1], CONN(2), &key, 60, 7, 0, 30000);
    Net_Run(&net, 8000);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_OK);
    assert_int_equal(Net_Repeats(&net), 0);
}

/* Such a member cannot be fenced. */
static void
a_member_that_does_not_fit_makes_takeovers_uncertain(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    Net_Kill(entries[0]);
    Net_Run(&net, 4000);
    for (int i = 0; i < 40; i++) {
        struct ent_member member = {.role = ROLE_AGENT,
                                    .incarnation = 5000 + (uint64_t)i,
                                    .registered = 1};
        snprintf(member.node, sizeof(member.node), "extra-%d", i);
        Ent_OnMember(&entries[1]->entry, net.now, &member);
        Ent_OnMember(&entries[2]->entry, net.now, &member);
    }
    for (int i = 0; i < 40; i++) {
        char name[WIRE_NAME_SIZE];
        snprintf(name, sizeof(name), "extra-%d", i);
        Ent_OnMemberGone(&entries[1]->entry, net.now, name, 1);
        Ent_OnMemberGone(&entries[2]->entry, net.now, name, 1);
    }
    Net_Submit(entries[1], CONN(1), &key, 4, 7, 0, 20000);
    Net_Run(&net, 6000);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_OUTCOME_UNKNOWN);
    assert_int_equal(Net_Starts(&net, &key), 0);
}

static void
a_request_that_may_have_run_is_never_called_not_run(void **state)
{
    (void)state;
    unsigned again = SUB_REQUEST | SUB_IDEMPOTENT;
    struct key key = Net_Key(entries[0]);
    for (int i = 0; i < 3; i++) {
        agents[i]->fail = CODE_OUTCOME_UNKNOWN;
    }
    Net_Submit(entries[0], CONN(1), &key, 1, 7, again, 2000);
    Net_Run(&net, 60);
    for (int i = 0; i < 3; i++) {
        Net_Kill(agents[i]);
    }
    Net_Run(&net, 2100);
    assert_int_not_equal(Code_Run(Net_Answer(&net, CONN(1))), CODE_NOT_RUN);
}

static enum net_fate
lose_asks(struct net *n, const struct net_node *from,
          const struct net_node *to, const struct msg *msg)
{
    (void)from;
    (void)to;
    return msg->type == MSG_ASK && n->knob-- > 0 ? NET_LOSE : NET_PASS;
}

static void
a_lost_question_is_asked_again(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    net.fate = lose_asks;
    net.knob = 2;
    Net_Submit(entries[0], CONN(1), &key, 4, 7, 0, 20000);
    Ent_OnAsk(&entries[1]->entry, net.now, CONN(2), &key, ASK_WAIT);
    Net_Run(&net, 4000);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_OK);
    net.knob = 1000;
    Ent_OnAsk(&entries[1]->entry, net.now, CONN(3), &key, ASK_STATE);
    Net_Run(&net, 6000);
    assert_int_equal(Net_Answer(&net, CONN(3)), CODE_OWNER_AWAY);
}

static void
a_request_is_placed_again_only_when_idempotent(void **state)
{
    (void)state;
    unsigned again = SUB_REQUEST | SUB_IDEMPOTENT;
    struct key first = Net_Key(entries[0]);
    struct key second = Net_Key(entries[0]);
    for (int i = 0; i < 3; i++) {
        agents[i]->run_ms = 2000;
        agents[i]->fail = CODE_OUTCOME_UNKNOWN;
    }
    Net_Submit(entries[0], CONN(1), &first, 1, 7, SUB_REQUEST, 20000);
    Net_Submit(entries[0], CONN(2), &second, 1, 7, again, 20000);
    Net_Run(&net, 2200);
    for (int i = 0; i < 3; i++) {
        agents[i]->fail = CODE_OK;
    }
    Net_Run(&net, 8000);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_OUTCOME_UNKNOWN);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_OK);
    assert_int_equal(Net_Starts(&net, &first), 1);
    assert_int_equal(Net_Starts(&net, &second), 2);
}

static void
a_full_table_refuses_truly(void **state)
{
    (void)state;
    Net_Finish(&net);
    Net_Init(&net);
    net.job_capacity = 2;
    agents[0] = Net_AddAgent(&net, "x");
    entries[0] = Net_AddEntry(&net, "a");
    entries[1] = Net_AddEntry(&net, "b");
    Net_Run(&net, 2600);
    agents[0]->run_ms = -1;
    for (uint32_t n = 1; n <= 2; n++) {
        struct key key = Net_Key(entries[0]);
        Net_Submit(entries[0], CONN(n), &key, 1, 7, 0, 20000);
    }
    struct key key = Net_Key(entries[0]);
    Net_Submit(entries[0], CONN(3), &key, 1, 7, 0, 20000);
    assert_int_equal(Net_Answer(&net, CONN(3)), CODE_NO_MEMORY);
    /* Passed on, another copy may still be on its way. */
    Net_Submit(entries[1], CONN(4), &key, 1, 7, 0, 2000);
    Net_Run(&net, 2100);
    assert_int_equal(Net_Answer(&net, CONN(4)), CODE_OWNER_AWAY);
    assert_int_equal(Net_Starts(&net, &key), 0);
}

static void
a_stopping_entry_hands_its_answers_on(void **state)
{
    (void)state;
    struct key done = Net_Key(entries[0]);
    struct key running = Net_Key(entries[0]);
    struct key unused = Net_Key(entries[0]);
    Net_Submit(entries[0], CONN(1), &done, 10, 7, 0, 20000);
    Net_Run(&net, 300);
    Ent_OnAnswerRead(&entries[0]->entry, net.now, &done);
    Net_Submit(entries[0], CONN(2), &running, 20, 7, 0, 20000);
    Ent_Drain(&entries[0]->entry, net.now);
    assert_int_equal(
        Ent_IssueKeys(&entries[0]->entry, net.now, 1, &(struct key){0}),
        CODE_DRAINING);
    assert_false(Ent_IsIdle(&entries[0]->entry));
    Net_Run(&net, 1500);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_OK);
    assert_true(Ent_IsIdle(&entries[0]->entry));
    Net_Kill(entries[0]);
    Net_Submit(entries[1], CONN(3), &done, 10, 7, 0, 20000);
    Net_Submit(entries[2], CONN(4), &running, 20, 7, 0, 20000);
    Net_Submit(entries[1], CONN(5), &unused, 5, 7, 0, 20000);
    Net_Run(&net, 2000);
    for (uint32_t n = 3; n <= 5; n++) {
        assert_int_equal(Net_Answer(&net, CONN(n)), CODE_OK);
    }
    assert_int_equal(Net_Repeats(&net), 0);
}

static void
a_stopping_agent_waits_until_its_results_are_taken(void **state)
{
    (void)state;
    struct key key = Net_Key(entries[0]);
    net.fate = lose_results;
    net.knob = 1000000;
    Net_Submit(entries[0], CONN(1), &key, 20, 7, 0, 20000);
    Net_Run(&net, 100);
    Ag_Drain(&agents[0]->agent, net.now);
    Net_Run(&net, 600);
    assert_false(Ag_IsIdle(&agents[0]->agent));
    net.knob = 0;
    Net_Run(&net, 600);
    assert_true(Ag_IsIdle(&agents[0]->agent));
    Net_Kill(agents[0]);
    Net_Run(&net, 3000);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_OK);
    assert_int_equal(Net_Starts(&net, &key), 20);
}

#define PATH_TEST(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        PATH_TEST(a_job_is_answered_whole),
        PATH_TEST(a_resubmission_meets_the_job_through_any_entry),
        PATH_TEST(the_order_of_tasks_makes_no_other_body),
        PATH_TEST(another_body_under_a_used_key_is_refused),
        PATH_TEST(another_body_is_refused_after_the_owner_died),
        PATH_TEST(the_job_goes_on_after_its_owner_died),
        PATH_TEST(a_third_entry_takes_over_from_a_dead_taker),
        PATH_TEST(a_stale_owner_starts_nothing_twice),
        PATH_TEST(takers_that_race_do_not_both_complete),
        PATH_TEST(lost_results_are_asked_for_again),
        PATH_TEST(a_report_is_complete_only_with_every_record),
        PATH_TEST(a_lost_agent_makes_its_tasks_uncertain),
        PATH_TEST(owner_and_agent_lost_together_leave_the_rest_uncertain),
        PATH_TEST(an_entry_that_joins_later_knows_of_the_loss),
        PATH_TEST(an_agent_that_joined_later_takes_no_older_key),
        PATH_TEST(a_late_answer_does_not_make_the_taker_forget),
        PATH_TEST(a_dead_forwarder_loses_nothing),
        PATH_TEST(a_cancellation_may_overtake_its_submission),
        PATH_TEST(a_cancellation_stops_what_runs),
        PATH_TEST(a_cancellation_during_a_takeover_holds),
        PATH_TEST(a_deadline_while_collecting_is_uncertain),
        PATH_TEST(a_start_refused_as_expired_is_not_placed_elsewhere),
        PATH_TEST(a_refusal_under_an_earlier_epoch_is_stale),
        PATH_TEST(an_epoch_is_not_taken_twice),
        PATH_TEST(a_row_written_again_keeps_its_agent_a_witness),
        PATH_TEST(a_member_that_does_not_fit_makes_takeovers_uncertain),
        PATH_TEST(a_request_that_may_have_run_is_never_called_not_run),
        PATH_TEST(a_lost_question_is_asked_again),
        PATH_TEST(a_request_is_placed_again_only_when_idempotent),
        PATH_TEST(a_full_table_refuses_truly),
        PATH_TEST(a_stopping_entry_hands_its_answers_on),
        PATH_TEST(a_stopping_agent_waits_until_its_results_are_taken),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
