/* Takeover of a dead entry's keys: what the new owner learns from the agents,
 * and what it must not start again. The starts recorded at the upstreams show
 * whether a task ran twice. */
#include "net_fixture.h"

/* The new owner can learn the body of the first submission only from the
 * agents' reports. If it accepted a different body, that would run under the
 * same key. */
static void
another_body_is_refused_after_the_owner_died(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
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
    struct key key = Net_IssueKey(entries[0]);
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

static void
a_third_entry_takes_over_from_a_dead_new_owner(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
    Net_Submit(entries[0], CONN(1), &key, 60, 7, 0, 30000);
    Net_Run(&net, 20);
    Net_Kill(entries[0]);
    Net_Submit(entries[1], CONN(2), &key, 60, 7, 0, 30000);
    Net_Submit(entries[2], CONN(3), &key, 60, 7, 0, 30000);
    struct net_node *new_owner = NULL;
    for (int i = 0; i < 8000 && !new_owner; i++) {
        Net_Run(&net, 1);
        new_owner = current_owner(&key);
    }
    assert_non_null(new_owner);
    Net_Run(&net, 30);
    Net_Kill(new_owner);
    Net_Run(&net, 10000);
    conn_id conn = new_owner == entries[1] ? CONN(3) : CONN(2);
    assert_int_equal(Net_Answer(&net, conn), CODE_OK);
    assert_int_equal(Net_Repeats(&net), 0);
}

/* The owner is paused during a takeover and then continues with its old state.
 * The agents must refuse its starts, as the new owner may have started the
 * same tasks. */
static void
a_stale_owner_starts_nothing_twice(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
    Net_Submit(entries[0], CONN(1), &key, 60, 7, 0, 30000);
    Net_Run(&net, 20);
    entries[0]->paused = 1;
    Net_Submit(entries[1], CONN(2), &key, 60, 7, 0, 30000);
    Net_Run(&net, 6000);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_OK);
    entries[0]->paused = 0;
    struct key late = Net_IssueKey(entries[0]);
    Net_Submit(entries[0], CONN(3), &late, 4, 9, 0, 30000);
    Net_Run(&net, 3000);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_OK);
    assert_int_equal(Net_Answer(&net, CONN(3)), CODE_OK);
    assert_int_equal(Net_Starts(&net, &key), 60);
    assert_int_equal(Net_Repeats(&net), 0);
}

/* Entries that cannot reach each other each consider themselves the new owner
 * of the keys. */
static void
concurrent_takeovers_do_not_both_complete(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
    net.filter = partition_entries;
    Net_Submit(entries[0], CONN(1), &key, 60, 7, 0, 30000);
    Net_Run(&net, 4000);
    struct key second = Net_IssueKey(entries[0]);
    Net_Submit(entries[0], CONN(2), &second, 60, 7, 0, 30000);
    Net_Submit(entries[1], CONN(3), &second, 60, 7, 0, 30000);
    Net_Submit(entries[2], CONN(4), &second, 60, 7, 0, 30000);
    Net_Run(&net, 8000);
    assert_int_equal(Net_Repeats(&net), 0);
    net.filter = NULL;
    Net_Run(&net, 8000);
    for (uint32_t n = 1; n <= 4; n++) {
        assert_int_equal(Net_Answer(&net, CONN(n)), CODE_OK);
    }
    assert_int_equal(Net_Starts(&net, &second), 60);
    assert_int_equal(Net_Repeats(&net), 0);
}

static void
owner_and_agent_lost_together_leave_the_rest_uncertain(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
    Net_Submit(entries[0], CONN(1), &key, 60, 7, 0, 20000);
    Net_Run(&net, 20);
    Net_Kill(entries[0]);
    restart_agent(0);
    Net_Submit(entries[1], CONN(2), &key, 60, 7, 0, 20000);
    Net_Run(&net, 8000);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_OUTCOME_UNKNOWN);
    assert_int_equal(Net_Repeats(&net), 0);
}

/* The entry learns that an agent was lost only from the row of the agent's new
 * incarnation. */
static void
an_entry_that_joins_later_learns_of_the_loss(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
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

static enum net_verdict
delay_answers(struct net *n, const struct net_node *from,
              const struct net_node *to, const struct msg *msg)
{
    (void)from;
    (void)to;
    return msg->type == MSG_ANSWER && n->filter_arg ? NET_DELAY : NET_PASS;
}

/* The answer of the old owner arrives after the entry that forwarded the job
 * has collected the agents' reports. It must not make that entry drop the
 * reports and start the tasks again. */
static void
a_late_answer_does_not_discard_agents_reports(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
    net.filter = delay_answers;
    net.filter_arg = 1;
    Net_Submit(entries[1], CONN(1), &key, 20, 7, 0, 3500);
    Net_Run(&net, 300);
    assert_int_equal(Net_Starts(&net, &key), 20);
    Net_Kill(entries[0]);
    Net_Kill(entries[2]);
    Net_Run(&net, 2500);
    Net_ReleaseDelayed(&net);
    net.filter_arg = 0;
    Net_Run(&net, 3000);
    Net_Submit(entries[1], CONN(2), &key, 20, 7, 0, 20000);
    Net_Run(&net, 8000);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_OK);
    assert_int_equal(Net_Starts(&net, &key), 20);
    assert_int_equal(Net_Repeats(&net), 0);
}

static void
a_cancellation_during_a_takeover_is_kept(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
    for (int i = 0; i < 3; i++) {
        agents[i]->run_ms = -1;
    }
    Net_Submit(entries[0], CONN(1), &key, 30, 7, 0, 60000);
    Net_Run(&net, 50);
    Net_Kill(entries[0]);
    agents[2]->paused = 1;
    Net_Submit(entries[1], CONN(2), &key, 30, 7, 0, 60000);
    Net_Run(&net, 5000);
    struct net_node *new_owner = current_owner(&key);
    assert_non_null(new_owner);
    Ent_OnQuery(&new_owner->entry, net.now, CONN(3), &key, JOB_QUERY_CANCEL);
    agents[2]->paused = 0;
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
    struct key key = Net_IssueKey(entries[0]);
    Net_Submit(entries[0], CONN(1), &key, 60, 7, 0, 60000);
    Net_Run(&net, 20);
    Net_Kill(entries[0]);
    agents[1]->paused = 1;
    Net_Submit(entries[1], CONN(2), &key, 60, 7, 0, 8000);
    Net_Run(&net, 8100);
    enum code code = Net_Answer(&net, CONN(2));
    assert_true(code == CODE_OUTCOME_UNKNOWN || code == CODE_OWNER_AWAY);
    agents[1]->paused = 0;
    Net_Run(&net, 5000);
    assert_int_equal(Net_Repeats(&net), 0);
}

/* A new owner numbers attempts from 1 again, so a late refusal under an
 * earlier epoch may carry the number of an attempt that runs. To believe it
 * would start the task twice. */
static void
a_refusal_under_an_earlier_epoch_is_stale(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
    for (int i = 0; i < 3; i++) {
        agents[i]->run_ms = -1;
    }
    Net_Kill(entries[0]);
    Net_Run(&net, 4000);
    Net_Submit(entries[1], CONN(1), &key, 1, 7, 0, 60000);
    Net_Run(&net, 500);
    struct net_node *owner = current_owner(&key);
    struct net_node *agent = first_runner(&key);
    assert_int_equal(Net_Starts(&net, &key), 1);
    set_runners_leaving(&key);
    struct msg msg = make_refusal(&key, CODE_NO_SLOT,
                                  (struct epoch){1, entries[0]->header.from});
    Ent_OnMessage(&owner->entry, net.now, &agent->header, &msg);
    Net_Run(&net, 2000);
    assert_int_equal(Net_Starts(&net, &key), 1);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_PENDING);
}

static void
an_epoch_is_not_used_twice(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
    Net_Kill(entries[0]);
    Net_Kill(entries[2]);
    Net_Run(&net, 4000);
    Net_Submit(entries[1], CONN(1), &key, 1, 7, 0, 20000);
    Net_Run(&net, 500);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_OK);
    struct entry *entry = &entries[1]->entry;
    uint64_t first = entry->highest_epoch;
    /* The entry drops the issuer once its keys have not been used for a
     * while. */
    entry->next_issuer_expiry_us = net.now.us + 400 * US_PER_S;
    net.now.us += 400 * US_PER_S;
    Net_Run(&net, 2600);
    Net_Submit(entries[1], CONN(2), &key, 1, 7, 0, 20000);
    struct key other = key;
    other.seq += 100;
    Net_Submit(entries[1], CONN(3), &other, 1, 7, 0, 20000);
    Net_Run(&net, 2000);
    assert_true(entry->highest_epoch > first);
    assert_int_equal(Net_Answer(&net, CONN(3)), CODE_OK);
    assert_int_equal(Net_Repeats(&net), 0);
}

/* A row that is written again gets a newer version. The agent must still be
 * asked about keys older than that version, as it may have run them. */
static void
a_rewritten_row_does_not_hide_an_earlier_agent(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
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

/* An agent for which the member table had no space cannot be fenced, so it may
 * run any key: the new owner must start nothing. */
static void
a_member_that_does_not_fit_makes_takeovers_uncertain(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
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
        Ent_OnMemberRemoved(&entries[1]->entry, net.now, name, 1);
        Ent_OnMemberRemoved(&entries[2]->entry, net.now, name, 1);
    }
    Net_Submit(entries[1], CONN(1), &key, 4, 7, 0, 20000);
    Net_Run(&net, 6000);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_OUTCOME_UNKNOWN);
    assert_int_equal(Net_Starts(&net, &key), 0);
}

/* An agent registered at the same version as the key may have run it, so the
 * takeover must wait for its report. */
static void
takeover_waits_for_the_newest_agent_of_a_key(void **state)
{
    (void)state;
    agents[2] = Net_AddAgent(&net, "w");
    Net_Run(&net, 1500);
    struct key key = Net_IssueKey(entries[0]);
    assert_int_equal(key.registry_version, agents[2]->member.registered);
    agents[0]->run_ms = agents[1]->run_ms = agents[2]->run_ms = 300;
    Net_Submit(entries[0], CONN(1), &key, 32, 7, 0, 30000);
    Net_Run(&net, 20);
    Net_Kill(entries[0]);
    agents[2]->paused = 1;
    Net_Submit(entries[1], CONN(2), &key, 32, 7, 0, 30000);
    Net_Run(&net, 6000);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_PENDING);
    agents[2]->paused = 0;
    Net_Run(&net, 3000);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_OK);
    assert_int_equal(Net_Repeats(&net), 0);
}

/* The old owner answers a forwarded job after the entry that forwarded it has
 * taken the keys over and collected the reports. The reports must be kept, or
 * the next submission would start the tasks again. */
static void
the_end_of_a_forwarded_job_keeps_agents_reports(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
    struct key other = key;
    other.seq += 500;
    Net_Submit(entries[0], CONN(1), &key, 2, 7, 0, 30000);
    Net_Run(&net, 200);
    assert_int_equal(Net_Starts(&net, &key), 2);
    Net_Kill(entries[2]);
    Net_Run(&net, 4000);
    net.filter = partition_entries;
    Net_Submit(entries[1], CONN(2), &key, 2, 7, 0, 30000);
    struct ent_job *job = entries[1]->entry.open_list[0];
    conn_id handle = Tab_Handle(&entries[1]->entry.jobs, job);
    job->resend_us = net.now.us + 60 * US_PER_S;
    Net_Run(&net, 4000);
    /* A submission under another key of the issuer starts the takeover. */
    Net_Submit(entries[1], CONN(3), &other, 1, 7, 0, 30000);
    Net_Run(&net, 500);
    assert_int_equal(Net_Answer(&net, CONN(3)), CODE_OK);
    assert_int_equal(job->state, ENT_JOB_REMOTE);
    struct msg late = {.type = MSG_ANSWER};
    late.u.answer.answer.key = key;
    late.u.answer.answer.code = CODE_OUTCOME_UNKNOWN;
    late.u.answer.conn = handle;
    Ent_OnMessage(&entries[1]->entry, net.now, &entries[0]->header, &late);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_OUTCOME_UNKNOWN);
    set_runners_leaving(&key);
    Net_Submit(entries[1], CONN(4), &key, 2, 7, 0, 30000);
    Net_Run(&net, 2000);
    assert_int_equal(Net_Answer(&net, CONN(4)), CODE_OK);
    assert_int_equal(Net_Starts(&net, &key), 2);
    assert_int_equal(Net_Repeats(&net), 0);
}

/* The reports must also be kept if the deadline of a forwarded job passes. */
static void
the_deadline_of_a_forwarded_job_keeps_agents_reports(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
    struct key other = key;
    other.seq += 500;
    Net_Submit(entries[0], CONN(1), &key, 2, 7, 0, 30000);
    Net_Run(&net, 200);
    Net_Kill(entries[2]);
    Net_Run(&net, 4000);
    net.filter = partition_entries;
    Net_Submit(entries[1], CONN(2), &key, 2, 7, 0, 8000);
    entries[1]->entry.open_list[0]->resend_us = net.now.us + 60 * US_PER_S;
    Net_Run(&net, 4000);
    Net_Submit(entries[1], CONN(3), &other, 1, 7, 0, 30000);
    Net_Run(&net, 4500);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_OWNER_AWAY);
    set_runners_leaving(&key);
    Net_Submit(entries[1], CONN(4), &key, 2, 7, 0, 30000);
    Net_Run(&net, 2000);
    assert_int_equal(Net_Answer(&net, CONN(4)), CODE_OK);
    assert_int_equal(Net_Starts(&net, &key), 2);
    assert_int_equal(Net_Repeats(&net), 0);
}

/* After an entry has refused a job and lost its keys to another owner, that
 * owner may run the job. The entry must neither repeat the refusal nor run the
 * job when a late copy of the submission arrives. */
static void
a_refusal_is_neither_repeated_nor_forgotten_after_stepping_down(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
    struct msg msg = {.type = MSG_ISSUERS};
    Ent_OnQuery(&entries[0]->entry, net.now, CONN(1), &key, JOB_QUERY_CANCEL);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_CANCELLED);
    msg.u.issuers.count = 1;
    msg.u.issuers.items[0].issuer = key.issuer;
    msg.u.issuers.items[0].epoch.n = 2;
    msg.u.issuers.items[0].epoch.owner = entries[1]->header.from;
    Ent_OnMessage(&entries[0]->entry, net.now, &entries[1]->header, &msg);
    Net_Submit(entries[0], CONN(2), &key, 4, 7, 0, 20000);
    Net_Run(&net, 8000);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_OUTCOME_UNKNOWN);
    assert_int_equal(Net_Starts(&net, &key), 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        NET_TEST(another_body_is_refused_after_the_owner_died),
        NET_TEST(the_job_goes_on_after_its_owner_died),
        NET_TEST(a_third_entry_takes_over_from_a_dead_new_owner),
        NET_TEST(a_stale_owner_starts_nothing_twice),
        NET_TEST(concurrent_takeovers_do_not_both_complete),
        NET_TEST(owner_and_agent_lost_together_leave_the_rest_uncertain),
        NET_TEST(an_entry_that_joins_later_learns_of_the_loss),
        NET_TEST(a_late_answer_does_not_discard_agents_reports),
        NET_TEST(a_cancellation_during_a_takeover_is_kept),
        NET_TEST(a_deadline_while_collecting_is_uncertain),
        NET_TEST(a_refusal_under_an_earlier_epoch_is_stale),
        NET_TEST(an_epoch_is_not_used_twice),
        NET_TEST(a_rewritten_row_does_not_hide_an_earlier_agent),
        NET_TEST(a_member_that_does_not_fit_makes_takeovers_uncertain),
        NET_TEST(takeover_waits_for_the_newest_agent_of_a_key),
        NET_TEST(the_end_of_a_forwarded_job_keeps_agents_reports),
        NET_TEST(the_deadline_of_a_forwarded_job_keeps_agents_reports),
        NET_TEST(
            a_refusal_is_neither_repeated_nor_forgotten_after_stepping_down),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
