/* Restartable jobs: their tasks may run again, but never twice at the same
 * time. Entries and agents die, pause or are cut off, and callers resubmit. */
#include "caller.h"

#define JOB_NAME 0x5c0e7a21d94b36f8ull

static struct net net;
static struct net_node *entry;
static struct net_node *other_entry;
static struct net_node *agent;
static struct net_node *other_agent;

static int
set_up(void **state)
{
    *state = &net;
    Net_InitRestartable(&net);
    agent = Net_AddWorker(&net, "worker-1");
    other_agent = Net_AddWorker(&net, "worker-2");
    entry = Net_AddEntry(&net, "entry-1");
    other_entry = Net_AddEntry(&net, "entry-2");
    Net_Run(&net, 1500);
    return 0;
}

/* Submits a job named `name` of `tasks` tasks that need `cpu` thousandths of a
 * core each. Returns its key. */
static struct key
submit_to(struct net_node *node, conn_id conn, uint64_t name, uint32_t tasks,
          uint32_t cpu, uint32_t deadline_ms)
{
    struct net_job job = {name, tasks, cpu, 60, deadline_ms};
    return Net_SubmitJob(node, conn, &job);
}

static void
capacity_is_never_exceeded(void **state)
{
    (void)state;
    agent->run_ms = 37;
    other_agent->run_ms = 71;
    for (uint32_t i = 0; i < 60; i++) {
        submit_to(i % 2 ? entry : other_entry, 100 + i, 1000 + i, 3, 3000,
                  5000);
        for (int ms = 0; ms < 20; ms++) {
            Net_Run(&net, 1);
            assert_true(Net_RunningAt(&net, agent) * 3000 <= 8000);
            assert_true(Net_RunningAt(&net, other_agent) * 3000 <= 8000);
            assert_int_equal(agent->agent.used.cpu,
                             3000 * Net_RunningAt(&net, agent));
        }
    }
}

/* The upstream starts whatever it is told to. */
static void
a_capacity_that_shrinks_is_not_exceeded(void **state)
{
    uint32_t largest = 0;
    (void)state;
    Net_Kill(other_agent);
    agent->run_ms = 70;
    for (uint32_t i = 0; i < 150; i++) {
        uint32_t cpu = i / 50 % 2 ? 3000 : 8000;
        if (cpu != agent->capacity.cpu) {
            agent->capacity.cpu = cpu;
            /* To the next announcement. */
            Net_Run(&net, 501 - (uint32_t)(net.now.us / 1000 % 500));
        }
        submit_to(i % 2 ? entry : other_entry, 100 + i, 1000 + i, 1, 1000,
                  5000);
        for (int ms = 0; ms < 20; ms++) {
            uint32_t starts = net.start_count;
            Net_Run(&net, 1);
            uint32_t used = Net_RunningAt(&net, agent) * 1000;
            assert_true(used <= cpu || net.start_count == starts);
            largest = used > largest ? used : largest;
        }
    }
    assert_true(largest > 3000);
}

static uint32_t
known_cpu(struct net_node *node)
{
    uint32_t slot = 0;
    const struct ent_peer *peer;
    while ((peer = Tab_Next(&node->entry.peers, &slot))) {
        if (peer->member.incarnation == agent->member.incarnation) {
            return peer->capacity.cpu;
        }
    }
    return 0;
}

/* An entry that plans with an old capacity sends starts that are refused, or
 * lets jobs wait beside free cores. */
static void
entries_learn_of_a_changed_capacity_at_once(void **state)
{
    (void)state;
    for (uint32_t cpu = 8000; cpu > 3000; cpu -= 1000) {
        agent->capacity.cpu = cpu - 1000;
        Net_Run(&net, 505 - (uint32_t)(net.now.us / 1000 % 500));
        assert_int_equal(known_cpu(entry), cpu - 1000);
        assert_int_equal(known_cpu(other_entry), cpu - 1000);
    }
}

static void
a_job_is_spread_over_few_agents(void **state)
{
    (void)state;
    agent->run_ms = other_agent->run_ms = -1;
    submit_to(entry, 1, JOB_NAME, 4, 1000, 5000);
    submit_to(entry, 2, JOB_NAME + 1, 4, 1000, 5000);
    Net_Run(&net, 50);
    /* Each job runs at one agent, so the loss of one ends only one job. */
    assert_int_equal(Net_RunningAt(&net, agent), 4);
    assert_int_equal(Net_RunningAt(&net, other_agent), 4);
    Net_Kill(agent);
    other_agent->run_ms = 10;
    for (int i = 0; i < NET_MAX_RUNNING; i++) {
        if (net.runs[i].node) {
            net.runs[i].end_us = net.now.us;
        }
    }
    Net_Run(&net, 500);
    assert_int_equal((Net_Answer(&net, 1) == CODE_OK) +
                         (Net_Answer(&net, 2) == CODE_OK),
                     1);
}

static void
a_dead_entrys_tasks_end_before_its_callers_resubmit(void **state)
{
    (void)state;
    agent->run_ms = other_agent->run_ms = -1;
    submit_to(entry, 1, JOB_NAME, 4, 3000, 10000);
    Net_Run(&net, 50);
    assert_int_equal(
        Net_RunningAt(&net, agent) + Net_RunningAt(&net, other_agent), 4);
    Net_Kill(entry);
    Net_Run(&net, RESUBMIT_MS - 100);
    assert_int_equal(
        Net_RunningAt(&net, agent) + Net_RunningAt(&net, other_agent), 0);
}

/* Drops all messages from the agents to the first entry and, if `filter_arg`
 * is 0, also those from that entry to the agents. */
static enum net_verdict
cut_off_entry(struct net *n, const struct net_node *from,
              const struct net_node *to, const struct msg *msg)
{
    (void)msg;
    if (from->role == ROLE_AGENT && to == entry) {
        return NET_DROP;
    }
    return n->filter_arg == 0 && from == entry && to->role == ROLE_AGENT
               ? NET_DROP
               : NET_PASS;
}

static void
check_cut(void)
{
    agent->run_ms = other_agent->run_ms = -1;
    submit_to(entry, 1, JOB_NAME, 1, 3000, 3000);
    Net_Run(&net, 50);
    net.filter = cut_off_entry;
    uint64_t from_us = net.now.us;
    while (Net_Answer(&net, 1) == CODE_PENDING) {
        Net_Run(&net, 1);
        assert_true(net.now.us - from_us < 3100 * US_PER_MS);
    }
    /* A task may have run, so the answer must not say that none did. */
    assert_int_not_equal(Code_Run(Net_Answer(&net, 1)), CODE_NOT_RUN);
    Net_Run(&net, RESUBMIT_MS);
    assert_int_equal(
        Net_RunningAt(&net, agent) + Net_RunningAt(&net, other_agent), 0);
    submit_to(other_entry, 2, JOB_NAME, 1, 3000, 3000);
    Net_Run(&net, 50);
    assert_int_equal(
        Net_RunningAt(&net, agent) + Net_RunningAt(&net, other_agent), 1);
}

static void
a_job_cut_off_ends_before_its_caller_resubmits(void **state)
{
    (void)state;
    net.filter_arg = 0;
    check_cut();
}

static void
a_job_cut_off_one_way_ends_before_its_caller_resubmits(void **state)
{
    (void)state;
    net.filter_arg = 1;
    check_cut();
}

static void
a_second_submission_of_a_name_joins_the_first(void **state)
{
    (void)state;
    agent->run_ms = other_agent->run_ms = 200;
    submit_to(entry, 1, JOB_NAME, 2, 3000, 3000);
    Net_Run(&net, 20);
    submit_to(entry, 2, JOB_NAME, 2, 3000, 3000);
    Net_Run(&net, 400);
    assert_int_equal(Net_Answer(&net, 1), CODE_OK);
    assert_int_equal(Net_Answer(&net, 2), CODE_OK);
    assert_int_equal(net.start_count, 2);
}

static void
a_failing_task_runs_max_attempts_times(void **state)
{
    (void)state;
    agent->end_code = other_agent->end_code = CODE_TASK_FAILED;
    submit_to(entry, 1, JOB_NAME, 1, 3000, 5000);
    Net_Run(&net, 2000);
    assert_int_equal(Net_Answer(&net, 1), CODE_TASK_FAILED);
    assert_int_equal(net.start_count, 3);
}

static void
a_lost_run_is_not_a_failed_attempt(void **state)
{
    (void)state;
    agent->end_code = other_agent->end_code = CODE_RUN_LOST;
    submit_to(entry, 1, JOB_NAME, 1, 3000, 5000);
    Net_Run(&net, 700);
    assert_true(net.start_count > 3);
    agent->end_code = other_agent->end_code = CODE_OK;
    Net_Run(&net, 200);
    assert_int_equal(Net_Answer(&net, 1), CODE_OK);
}

/* The result of an attempt arrives again while the next attempt runs. It must
 * not end that attempt or queue the task once more. */
static void
late_result_of_an_earlier_attempt_is_ignored(void **state)
{
    struct msg msg = {.type = MSG_RESULT};
    (void)state;
    Net_Kill(other_agent);
    Net_Run(&net, 1000);
    agent->run_ms = 20;
    agent->end_code = CODE_RUN_LOST;
    struct key key = submit_to(entry, 1, JOB_NAME, 1, 3000, 5000);
    Net_Run(&net, 10);
    agent->run_ms = -1;
    Net_Run(&net, 100);
    assert_int_equal(net.start_count, 2);
    assert_int_equal(Net_RunningAt(&net, agent), 1);
    msg.u.result.key = key;
    msg.u.result.epoch = (struct epoch){1, entry->header.from};
    msg.u.result.attempt = 1;
    msg.u.result.state = TASK_FAILED;
    msg.u.result.code = CODE_RUN_LOST;
    Ent_OnMessage(&entry->entry, net.now, &agent->header, &msg);
    assert_int_equal(entry->entry.open_jobs, 1);
    assert_int_equal(entry->entry.open_list[0]->waiting, 0);
    Net_Run(&net, 50);
    assert_int_equal(entry->entry.open_list[0]->tasks[0].attempt, 2);
}

/* Leaves one worker, starts a job there through one entry, and submits it
 * through the other one as well. */
static void
submit_twice_to_one_agent(int run_ms)
{
    Net_Kill(other_agent);
    Net_Run(&net, 4000);
    agent->run_ms = run_ms;
    submit_to(entry, 1, JOB_NAME, 2, 1000, 10000);
    Net_Run(&net, 50);
    submit_to(other_entry, 2, JOB_NAME, 2, 1000, 10000);
}

static void
an_agent_does_not_start_a_task_that_still_runs_for_another_entry(void **state)
{
    (void)state;
    /* Longer than a hold lasts, and than a start stays current. */
    submit_twice_to_one_agent(2500);
    for (int ms = 0; ms < 2400; ms++) {
        Net_Run(&net, 1);
        assert_int_equal(Net_RunningAt(&net, agent), 2);
    }
    /* It holds up only that job. */
    agent->run_ms = 20;
    submit_to(other_entry, 3, JOB_NAME + 1, 1, 1000, 10000);
    Net_Run(&net, 40);
    assert_int_equal(Net_Answer(&net, 3), CODE_OK);
    Net_Run(&net, 300);
    assert_int_equal(Net_Answer(&net, 1), CODE_OK);
    assert_int_equal(Net_Answer(&net, 2), CODE_OK);
}

static void
a_start_held_for_another_run_ends_with_its_job(void **state)
{
    (void)state;
    submit_twice_to_one_agent(-1);
    Net_Run(&net, 1000);
    assert_int_equal(agent->agent.held, 2);
    assert_int_equal(Ent_CancelJobByName(&other_entry->entry, JOB_NAME), 1);
    Net_Run(&net, 20);
    assert_int_equal(agent->agent.held, 0);
    assert_int_equal(Net_RunningAt(&net, agent), 2);
}

static void
a_disconnected_caller_frees_its_capacity(void **state)
{
    (void)state;
    agent->run_ms = other_agent->run_ms = -1;
    struct key key = submit_to(entry, 1, JOB_NAME, 4, 3000, 60000);
    Net_Run(&net, 50);
    Ent_OnCallerDisconnected(&entry->entry, 1, &key);
    Net_Run(&net, 50);
    assert_int_equal(
        Net_RunningAt(&net, agent) + Net_RunningAt(&net, other_agent), 0);
    assert_int_equal(entry->entry.open_jobs, 0);
}

static void
a_disconnected_caller_does_not_end_a_shared_job(void **state)
{
    (void)state;
    agent->run_ms = other_agent->run_ms = 300;
    struct key key = submit_to(entry, 1, JOB_NAME, 1, 3000, 5000);
    submit_to(entry, 2, JOB_NAME, 1, 3000, 5000);
    Net_Run(&net, 50);
    Ent_OnCallerDisconnected(&entry->entry, 1, &key);
    Net_Run(&net, 400);
    assert_int_equal(Net_Answer(&net, 2), CODE_OK);
}

static void
a_lost_agents_task_waits_until_its_lease_expired(void **state)
{
    (void)state;
    struct net_node *replacement;
    agent->run_ms = other_agent->run_ms = -1;
    submit_to(entry, 1, JOB_NAME, 1, 3000, 20000);
    Net_Run(&net, 50);
    struct net_node *first = Net_RunningAt(&net, agent) ? agent : other_agent;
    first->up = 0;
    replacement = Net_AddAgent(&net, first->header.node);
    replacement->capacity = agent->capacity;
    replacement->run_ms = -1;
    uint32_t starts = net.start_count;
    Net_Run(&net, (uint32_t)(net.timing.lease_us / US_PER_MS));
    assert_int_equal(net.start_count, starts);
    Net_Run(&net, 300);
    assert_int_equal(net.start_count, starts + 1);
}

static void
a_job_that_cannot_wait_for_the_lease_is_answered_at_once(void **state)
{
    (void)state;
    agent->run_ms = other_agent->run_ms = -1;
    submit_to(entry, 1, JOB_NAME, 1, 3000,
              (uint32_t)(net.timing.lease_us / US_PER_MS));
    Net_Run(&net, 50);
    struct net_node *first = Net_RunningAt(&net, agent) ? agent : other_agent;
    first->up = 0;
    Net_AddAgent(&net, first->header.node);
    Net_Run(&net, 5);
    assert_int_equal(Net_Answer(&net, 1), CODE_OUTCOME_UNKNOWN);
}

static void
a_start_queued_at_a_paused_agent_is_refused(void **state)
{
    (void)state;
    other_agent->up = 0;
    Net_Run(&net, 1500);
    agent->paused = 1;
    submit_to(entry, 1, JOB_NAME, 1, 3000, 900);
    Net_Run(&net, 2000);
    assert_int_not_equal(Net_Answer(&net, 1), CODE_PENDING);
    agent->paused = 0;
    Net_Run(&net, 500);
    assert_int_equal(net.start_count, 0);
}

static void
a_member_that_is_heard_is_kept_without_its_row(void **state)
{
    (void)state;
    Ent_OnMemberRemoved(&entry->entry, net.now, "worker-1", ++net.version);
    Ent_OnMemberRemoved(&entry->entry, net.now, "worker-2", net.version);
    submit_to(entry, 1, JOB_NAME, 1, 3000, 900);
    Net_Run(&net, 200);
    assert_int_equal(Net_Answer(&net, 1), CODE_OK);
}

static void
a_silent_member_without_a_row_is_dropped(void **state)
{
    (void)state;
    Net_Kill(agent);
    Net_Run(&net, 4000);
    uint32_t peers = entry->entry.peers.used;
    Ent_OnMemberRemoved(&entry->entry, net.now, "worker-1", ++net.version);
    assert_int_equal(entry->entry.peers.used, peers - 1);
}

static void
unknown_peer_is_added_by_its_first_frame(void **state)
{
    (void)state;
    struct net_node *newcomer = Net_AddAgentUnregistered(&net, "worker-3");
    newcomer->capacity = agent->capacity;
    Net_Kill(agent);
    Net_Kill(other_agent);
    Ent_OnUnknownPeer(&entry->entry, net.now, &newcomer->header);
    Net_Run(&net, 1000);
    submit_to(entry, 1, JOB_NAME, 1, 3000, 900);
    Net_Run(&net, 200);
    assert_int_equal(Net_Answer(&net, 1), CODE_OK);
}

/* Submits `jobs` jobs of one task, one each 40 ms, with names from `name` on.
 * Returns how many tasks were started at `node`. */
static uint32_t
starts_at(const struct net_node *node, uint32_t jobs, uint64_t name)
{
    uint32_t count = 0;
    uint32_t from = net.start_count;
    for (uint32_t i = 0; i < jobs; i++) {
        submit_to(entry, 100, name + i, 1, 3000, 2000);
        Net_Run(&net, 40);
    }
    for (uint32_t i = from; i < net.start_count; i++) {
        count += net.starts[i].node == node;
    }
    return count;
}

static void
a_worker_that_turns_slow_is_used_last_and_tried_again(void **state)
{
    (void)state;
    agent->run_ms = other_agent->run_ms = 60;
    assert_true(starts_at(agent, 40, 1000) > 5);
    agent->run_ms = 400;
    starts_at(agent, 20, 2000);
    assert_true(starts_at(agent, 20, 3000) <= 4);
    agent->run_ms = 60;
    Net_Run(&net, 3000);
    assert_true(starts_at(agent, 40, 4000) > 5);
}

/* For 2 s jobs arrive at twice the rate that the workers can serve, which is 4
 * tasks in 60 ms. Each job should end within 60 * 1.6 + 60 ms. Guards against
 * a queue in which every job becomes late. */
static void
a_burst_makes_some_jobs_late_and_not_all(void **state)
{
    uint32_t limit_ms = 60 * 160 / 100 + 60;
    uint32_t in_time = 0;
    uint32_t jobs = 0;
    uint64_t sent_us[300];
    uint64_t end_us[300] = {0};
    (void)state;
    agent->run_ms = other_agent->run_ms = 60;
    for (uint32_t ms = 0; ms < 4000; ms++) {
        if (ms < 2000 && ms % 15 == 0) {
            sent_us[jobs] = net.now.us;
            submit_to(jobs % 2 ? entry : other_entry, 10 + jobs, 7000 + jobs,
                      2, 4000, 2000);
            jobs++;
        }
        Net_Run(&net, 1);
        for (uint32_t i = 0; i < jobs; i++) {
            if (!end_us[i] && Net_Answer(&net, 10 + i) != CODE_PENDING) {
                end_us[i] = net.now.us;
            }
        }
    }
    for (uint32_t i = 0; i < jobs; i++) {
        uint64_t took_ms = (end_us[i] - sent_us[i]) / US_PER_MS;
        int is_served = Net_Answer(&net, 10 + i) == CODE_OK;
        assert_true(end_us[i] != 0);
        in_time += is_served && took_ms <= limit_ms;
        /* A job that is too late to be of use is answered early. */
        assert_true(took_ms <= 3 * limit_ms + 100);
    }
    /* The workers can serve half of the jobs, and four fifths of these must
     * end in time. */
    assert_true(in_time * 10 >= jobs * 4);
}

int
main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, Net_TearDown)
    const struct CMUnitTest tests[] = {
        TEST(capacity_is_never_exceeded),
        TEST(a_capacity_that_shrinks_is_not_exceeded),
        TEST(entries_learn_of_a_changed_capacity_at_once),
        TEST(a_job_is_spread_over_few_agents),
        TEST(a_dead_entrys_tasks_end_before_its_callers_resubmit),
        TEST(a_job_cut_off_ends_before_its_caller_resubmits),
        TEST(a_job_cut_off_one_way_ends_before_its_caller_resubmits),
        TEST(a_second_submission_of_a_name_joins_the_first),
        TEST(a_failing_task_runs_max_attempts_times),
        TEST(a_lost_run_is_not_a_failed_attempt),
        TEST(late_result_of_an_earlier_attempt_is_ignored),
        TEST(an_agent_does_not_start_a_task_that_still_runs_for_another_entry),
        TEST(a_start_held_for_another_run_ends_with_its_job),
        TEST(a_disconnected_caller_frees_its_capacity),
        TEST(a_disconnected_caller_does_not_end_a_shared_job),
        TEST(a_lost_agents_task_waits_until_its_lease_expired),
        TEST(a_job_that_cannot_wait_for_the_lease_is_answered_at_once),
        TEST(a_start_queued_at_a_paused_agent_is_refused),
        TEST(a_member_that_is_heard_is_kept_without_its_row),
        TEST(a_silent_member_without_a_row_is_dropped),
        TEST(unknown_peer_is_added_by_its_first_frame),
        TEST(a_worker_that_turns_slow_is_used_last_and_tried_again),
        TEST(a_burst_makes_some_jobs_late_and_not_all),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
