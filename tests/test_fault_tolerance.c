/* Jobs on their way through entries and agents while messages and processes
 * are lost. The starts recorded at the upstreams show whether a task ran
 * twice. */
#include "net_fixture.h"

static void
a_job_is_answered_completely(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
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
    struct key key = Net_IssueKey(entries[0]);
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
the_order_of_tasks_does_not_change_the_body(void **state)
{
    (void)state;
    struct sub_task ascending[2] = {{.no = 1, .input = {"a", 1}},
                                    {.no = 2, .input = {"b", 1}}};
    struct sub_task descending[2] = {ascending[1], ascending[0]};
    struct submission sub = {.key = Net_IssueKey(entries[0]),
                             .service = "finishing",
                             .deadline_ms = 5000,
                             .task_count = 2,
                             .tasks = descending};
    Ent_OnSubmit(&entries[0]->entry, net.now, CONN(1), &sub);
    Ent_OnSubmit(&entries[1]->entry, net.now, CONN(2), &sub);
    sub.tasks = ascending;
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
    struct key key = Net_IssueKey(entries[0]);
    Net_Submit(entries[0], CONN(1), &key, 4, 7, 0, 10000);
    Net_Submit(entries[0], CONN(2), &key, 4, 8, 0, 10000);
    Net_Submit(entries[1], CONN(3), &key, 4, 8, 0, 10000);
    Net_Run(&net, 300);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_OK);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_KEY_REUSED);
    assert_int_equal(Net_Answer(&net, CONN(3)), CODE_KEY_REUSED);
    assert_int_equal(Net_Starts(&net, &key), 4);
}

static enum net_verdict
drop_results(struct net *n, const struct net_node *from,
             const struct net_node *to, const struct msg *msg)
{
    (void)from;
    (void)to;
    return msg->type == MSG_RESULT && n->filter_arg-- > 0 ? NET_DROP
                                                          : NET_PASS;
}

static void
lost_results_are_requested_again(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
    net.filter = drop_results;
    net.filter_arg = 30;
    Net_Submit(entries[0], CONN(1), &key, 20, 7, 0, 20000);
    Net_Run(&net, 5000);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_OK);
    assert_int_equal(Net_Starts(&net, &key), 20);
    assert_int_equal(Net_Repeats(&net), 0);
}

static void
a_lost_agent_makes_its_tasks_uncertain(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
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
an_agent_that_joined_later_takes_no_older_key(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
    struct net_node *late = Net_AddAgent(&net, "w");
    Net_Run(&net, 1500);
    Net_Submit(entries[0], CONN(1), &key, 60, 7, 0, 20000);
    Net_Run(&net, 1000);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_OK);
    for (uint32_t i = 0; i < net.start_count; i++) {
        assert_ptr_not_equal(net.starts[i].node, late);
    }
}

static void
a_dead_forwarder_loses_nothing(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
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
    struct key key = Net_IssueKey(entries[0]);
    Ent_OnQuery(&entries[1]->entry, net.now, CONN(1), &key, JOB_QUERY_CANCEL);
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
    struct key key = Net_IssueKey(entries[0]);
    for (int i = 0; i < 3; i++) {
        agents[i]->run_ms = -1;
    }
    Net_Submit(entries[0], CONN(1), &key, 40, 7, 0, 60000);
    Net_Run(&net, 50);
    Ent_OnQuery(&entries[2]->entry, net.now, CONN(2), &key, JOB_QUERY_CANCEL);
    Net_Run(&net, 50);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_JOB_CANCELLED);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_JOB_CANCELLED);
    for (int i = 0; i < 3; i++) {
        assert_int_equal(agents[i]->agent.busy, 0);
    }
}

/* After a jump of its clock an agent may drop the record of a task that still
 * runs, and refuse a resent start as expired. To place the task elsewhere
 * would run it twice. */
static void
a_start_refused_as_expired_is_not_placed_elsewhere(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
    for (int i = 0; i < 3; i++) {
        agents[i]->run_ms = -1;
    }
    Net_Submit(entries[0], CONN(1), &key, 1, 7, 0, 20000);
    Net_Run(&net, 50);
    struct net_node *agent = first_runner(&key);
    struct msg msg =
        make_refusal(&key, CODE_KEY_EXPIRED,
                     (struct epoch){1, entries[0]->member.incarnation});
    Ent_OnMessage(&entries[0]->entry, net.now, &agent->header, &msg);
    Net_Run(&net, 500);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_KEY_EXPIRED);
    assert_int_equal(Net_Starts(&net, &key), 1);
}

static void
a_request_that_may_have_run_is_never_reported_as_not_run(void **state)
{
    (void)state;
    unsigned flags = SUB_REQUEST | SUB_IDEMPOTENT;
    struct key key = Net_IssueKey(entries[0]);
    for (int i = 0; i < 3; i++) {
        agents[i]->run_ms = 1500;
        agents[i]->end_code = CODE_OUTCOME_UNKNOWN;
        agents[i]->leaving = 1;
    }
    Net_Submit(entries[0], CONN(1), &key, 1, 7, flags, 2500);
    Net_Run(&net, 2000);
    assert_int_equal(Net_Starts(&net, &key), 1);
    Net_Run(&net, 600);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_JOB_DEADLINE);
}

/* After a job was rerouted, a refusal by one entry must not be answered as
 * "not run": the entry that it was forwarded to first may still run it. */
static void
a_refusal_after_another_target_is_not_final(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
    net.filter = partition_entries;
    Net_Submit(entries[1], CONN(1), &key, 4, 7, 0, 30000);
    struct ent_job *job = entries[1]->entry.open_list[0];
    struct msg late = {.type = MSG_ANSWER};
    late.u.answer.answer.key = key;
    late.u.answer.answer.code = CODE_QUEUE_FULL;
    late.u.answer.conn = Tab_Handle(&entries[1]->entry.jobs, job);
    job->forwarded_to = entries[2]->header.from;
    job->rerouted = 1;
    Ent_OnMessage(&entries[1]->entry, net.now, &entries[0]->header, &late);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_PENDING);
    Ent_OnMessage(&entries[1]->entry, net.now, &entries[2]->header, &late);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_TRY_AGAIN);
}

static enum net_verdict
drop_queries(struct net *n, const struct net_node *from,
             const struct net_node *to, const struct msg *msg)
{
    (void)from;
    (void)to;
    return msg->type == MSG_JOB_QUERY && n->filter_arg-- > 0 ? NET_DROP
                                                             : NET_PASS;
}

static void
a_lost_query_is_sent_again(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
    net.filter = drop_queries;
    net.filter_arg = 2;
    Net_Submit(entries[0], CONN(1), &key, 4, 7, 0, 20000);
    Ent_OnQuery(&entries[1]->entry, net.now, CONN(2), &key, JOB_QUERY_WAIT);
    Net_Run(&net, 4000);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_OK);
    net.filter_arg = 1000;
    Ent_OnQuery(&entries[1]->entry, net.now, CONN(3), &key, JOB_QUERY_STATE);
    Net_Run(&net, 6000);
    assert_int_equal(Net_Answer(&net, CONN(3)), CODE_OWNER_AWAY);
}

static void
a_request_is_placed_again_only_when_idempotent(void **state)
{
    (void)state;
    unsigned flags = SUB_REQUEST | SUB_IDEMPOTENT;
    struct key first = Net_IssueKey(entries[0]);
    struct key second = Net_IssueKey(entries[0]);
    for (int i = 0; i < 3; i++) {
        agents[i]->run_ms = 2000;
        agents[i]->end_code = CODE_OUTCOME_UNKNOWN;
    }
    Net_Submit(entries[0], CONN(1), &first, 1, 7, SUB_REQUEST, 20000);
    Net_Submit(entries[0], CONN(2), &second, 1, 7, flags, 20000);
    Net_Run(&net, 2200);
    for (int i = 0; i < 3; i++) {
        agents[i]->end_code = CODE_OK;
    }
    Net_Run(&net, 8000);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_OUTCOME_UNKNOWN);
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_OK);
    assert_int_equal(Net_Starts(&net, &first), 1);
    assert_int_equal(Net_Starts(&net, &second), 2);
}

static void
a_forwarded_refusal_of_a_full_table_is_not_final(void **state)
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
        struct key key = Net_IssueKey(entries[0]);
        Net_Submit(entries[0], CONN(n), &key, 1, 7, 0, 20000);
    }
    struct key key = Net_IssueKey(entries[0]);
    Net_Submit(entries[0], CONN(3), &key, 1, 7, 0, 20000);
    assert_int_equal(Net_Answer(&net, CONN(3)), CODE_NO_MEMORY);
    /* If the job was forwarded, another copy of it may still be in flight. */
    Net_Submit(entries[1], CONN(4), &key, 1, 7, 0, 2000);
    Net_Run(&net, 2100);
    assert_int_equal(Net_Answer(&net, CONN(4)), CODE_OWNER_AWAY);
    assert_int_equal(Net_Starts(&net, &key), 0);
}

static void
a_stopping_entry_hands_over_its_answers(void **state)
{
    (void)state;
    struct key done = Net_IssueKey(entries[0]);
    struct key running = Net_IssueKey(entries[0]);
    struct key unused = Net_IssueKey(entries[0]);
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
a_stopping_agent_waits_until_its_results_are_acknowledged(void **state)
{
    (void)state;
    struct key key = Net_IssueKey(entries[0]);
    net.filter = drop_results;
    net.filter_arg = 1000000;
    Net_Submit(entries[0], CONN(1), &key, 20, 7, 0, 20000);
    Net_Run(&net, 100);
    Ag_Drain(&agents[0]->agent, net.now);
    Net_Run(&net, 600);
    assert_false(Ag_IsIdle(&agents[0]->agent));
    net.filter_arg = 0;
    Net_Run(&net, 600);
    assert_true(Ag_IsIdle(&agents[0]->agent));
    Net_Kill(agents[0]);
    Net_Run(&net, 3000);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_OK);
    assert_int_equal(Net_Starts(&net, &key), 20);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        NET_TEST(a_job_is_answered_completely),
        NET_TEST(a_resubmission_meets_the_job_through_any_entry),
        NET_TEST(the_order_of_tasks_does_not_change_the_body),
        NET_TEST(another_body_under_a_used_key_is_refused),
        NET_TEST(lost_results_are_requested_again),
        NET_TEST(a_lost_agent_makes_its_tasks_uncertain),
        NET_TEST(an_agent_that_joined_later_takes_no_older_key),
        NET_TEST(a_dead_forwarder_loses_nothing),
        NET_TEST(a_cancellation_may_overtake_its_submission),
        NET_TEST(a_cancellation_stops_what_runs),
        NET_TEST(a_start_refused_as_expired_is_not_placed_elsewhere),
        NET_TEST(a_request_that_may_have_run_is_never_reported_as_not_run),
        NET_TEST(a_refusal_after_another_target_is_not_final),
        NET_TEST(a_lost_query_is_sent_again),
        NET_TEST(a_request_is_placed_again_only_when_idempotent),
        NET_TEST(a_forwarded_refusal_of_a_full_table_is_not_final),
        NET_TEST(a_stopping_entry_hands_over_its_answers),
        NET_TEST(a_stopping_agent_waits_until_its_results_are_acknowledged),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
