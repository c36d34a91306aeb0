/* Admission at an entry, the order in which it starts tasks, quotas, and the
 * run times that it learns. */
#include "caller.h"

#include "../core/src/entry/job.h"
#include "../core/src/entry/peer.h"
#include "../core/src/entry/place.h"

#define CONN(n) (((conn_id)1 << 63) + (n))

static struct net net;
static struct net_node *entry;
static struct net_node *agents[2];

static int
set_up(void **state)
{
    *state = &net;
    Net_Init(&net);
    net.job_capacity = 4096;
    entry = Net_AddEntry(&net, "e");
    agents[0] = Net_AddAgent(&net, "a");
    agents[1] = Net_AddAgent(&net, "b");
    Net_Run(&net, 1500);
    return 0;
}

static struct sub_task tasks[WIRE_MAX_TASKS];

static struct submission
make_job(uint32_t count, enum priority priority, const char *team)
{
    struct submission sub = {
        .key = Net_IssueKey(entry),
        .service = "finishing",
        .kind = "buff-plan",
        .deadline_ms = 60000,
        .priority = priority,
        .task_count = count,
        .tasks = tasks,
    };
    snprintf(sub.team, sizeof(sub.team), "%s", team);
    for (uint32_t i = 0; i < count; i++) {
        tasks[i] = (struct sub_task){.no = i + 1};
    }
    return sub;
}

static void
submit(conn_id conn, const struct submission *sub)
{
    Ent_OnSubmit(&entry->entry, net.now, conn, sub);
}

static uint32_t
submit_job(conn_id conn, uint32_t count, enum priority priority,
           const char *team)
{
    struct submission sub = make_job(count, priority, team);
    submit(conn, &sub);
    return sub.key.seq;
}

static uint32_t
starts_of(uint32_t seq)
{
    struct key key = {.seq = seq};
    return Net_Starts(&net, &key);
}

static void
a_job_that_ends_too_late_is_refused_unstarted(void **state)
{
    (void)state;
    struct submission sub = make_job(4, PRIO_NORMAL, "");
    for (int i = 0; i < 4; i++) {
        tasks[i].run_ms = 5000;
    }
    sub.deadline_ms = 1000;
    submit(CONN(1), &sub);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_TOO_LATE);
    Net_Run(&net, 200);
    assert_int_equal(starts_of(sub.key.seq), 0);
}

static void
a_full_queue_refuses_jobs(void **state)
{
    (void)state;
    submit_job(CONN(1), 800, PRIO_NORMAL, "");
    uint32_t seq = submit_job(CONN(2), 10, PRIO_NORMAL, "");
    assert_int_equal(Net_Answer(&net, CONN(2)), CODE_QUEUE_FULL);
    Net_Run(&net, 100);
    assert_int_equal(starts_of(seq), 0);
}

static void
a_time_to_retry_is_bounded_and_spread(void **state)
{
    (void)state;
    uint32_t first = Enti_RetryAfterMs(&entry->entry, 0);
    uint32_t min = first;
    uint32_t max = first;
    for (int i = 0; i < 50; i++) {
        uint32_t ms = Enti_RetryAfterMs(&entry->entry, 0);
        min = ms < min ? ms : min;
        max = ms > max ? ms : max;
    }
    assert_true(min >= 100 && max < 150 && max > min);
    assert_true(Enti_RetryAfterMs(&entry->entry, 3600 * US_PER_S) < 15000);
}

static void
an_urgent_job_overtakes_waiting_jobs(void **state)
{
    (void)state;
    submit_job(CONN(1), 100, PRIO_NORMAL, "");
    uint32_t urgent = submit_job(CONN(2), 4, PRIO_URGENT, "");
    Net_Run(&net, 130);
    assert_int_equal(starts_of(urgent), 4);
}

static void
urgent_jobs_leave_a_share_to_normal_jobs(void **state)
{
    (void)state;
    agents[0]->run_ms = 10;
    agents[1]->run_ms = 10;
    uint32_t urgent = submit_job(CONN(1), 800, PRIO_URGENT, "");
    uint32_t normal = submit_job(CONN(2), 20, PRIO_NORMAL, "");
    Net_Run(&net, 300);
    assert_true(starts_of(urgent) < 800);
    assert_true(starts_of(normal) > 2);
}

static void
a_request_does_not_wait_behind_jobs(void **state)
{
    (void)state;
    submit_job(CONN(1), 200, PRIO_NORMAL, "");
    struct submission request = make_job(1, PRIO_NORMAL, "");
    request.flags = SUB_REQUEST;
    submit(CONN(2), &request);
    Net_Run(&net, 10);
    assert_int_equal(starts_of(request.key.seq), 1);
}

/* One team fills the queue. A job that another team submits later must still
 * get its fair share. */
static void
teams_of_a_class_share_fairly(void **state)
{
    (void)state;
    uint32_t first_team[3];
    for (uint32_t i = 0; i < 3; i++) {
        first_team[i] = submit_job(CONN(1 + i), 60, PRIO_NORMAL, "hog");
    }
    uint32_t other = submit_job(CONN(9), 10, PRIO_NORMAL, "other");
    while (starts_of(other) < 10) {
        Net_Run(&net, 1);
    }
    assert_true(starts_of(first_team[0]) <= 60);
    assert_int_equal(starts_of(first_team[2]), 0);
}

static void
run_times_are_learned_by_kind(void **state)
{
    struct now now = {.us = 1 * US_PER_S};
    (void)state;
    struct ent_kind_stats kind = {.count = 0};
    struct ent_step step = {.count = 1};
    struct ent_job job = {.kind_stats = &kind, .steps = &step};
    struct ent_task task = {.run_ms = 0};
    struct ent_peer agent = {.slots = 8};
    for (int i = 0; i < 50; i++) {
        Enti_LearnRunTime(now, &job, &task, &agent, 300000);
    }
    assert_in_range(Enti_EstimateRunUs(&kind, 0), 299000, 301000);
}

/* The declared run time is a tenth of the real one, then ten times it. */
static void
declared_times_are_corrected(void **state)
{
    struct now now = {.us = 1 * US_PER_S};
    (void)state;
    static const uint32_t declared_ms[] = {30, 3000};
    for (int i = 0; i < 2; i++) {
        struct ent_kind_stats kind = {.count = 0};
        struct ent_step step = {.count = 1};
        struct ent_job job = {.kind_stats = &kind, .steps = &step};
        struct ent_task task = {.run_ms = declared_ms[i]};
        struct ent_peer agent = {.slots = 8};
        for (int n = 0; n < 20; n++) {
            Enti_LearnRunTime(now, &job, &task, &agent, 300000);
        }
        assert_in_range(Enti_EstimateRunUs(&kind, declared_ms[i]), 299000,
                        301000);
    }
}

static void
a_straggler_has_a_slowdown(void **state)
{
    struct now now = {.us = 1 * US_PER_S};
    (void)state;
    struct ent_kind_stats kind = {.count = 0};
    struct ent_step step = {.count = 1};
    struct ent_job job = {.kind_stats = &kind, .steps = &step};
    struct ent_task task = {.run_ms = 0};
    struct ent_peer fast = {.slots = 8};
    struct ent_peer slow = {.slots = 8};
    for (int i = 0; i < 60; i++) {
        Enti_LearnRunTime(now, &job, &task, i % 10 ? &fast : &slow,
                          i % 10 ? 100000 : 300000);
    }
    assert_true(fast.slowdown < 1.2);
    assert_true(slow.slowdown > 1.7);
}

static void
a_task_that_fits_no_worker_is_refused(void **state)
{
    (void)state;
    struct submission sub = make_job(1, PRIO_NORMAL, "");
    sub.memory_mb = 4096;
    submit(CONN(1), &sub);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_CANNOT_RUN);
}

static void
a_worker_that_fails_its_tasks_is_ejected(void **state)
{
    (void)state;
    agents[0]->end_code = CODE_TASK_FAILED;
    agents[0]->run_ms = 1;
    entry->entry.policy.value[POL_EJECT_SHARE] = 50;
    Enti_GetService(&entry->entry, "finishing", 0)
        ->policy.value[POL_EJECT_SHARE] = 50;
    int complete = 0;
    for (uint32_t i = 0; i < 40; i++) {
        submit_job(CONN(1 + i), 4, PRIO_NORMAL, "");
        Net_Run(&net, 20);
    }
    Net_Run(&net, 500);
    for (uint32_t i = 0; i < 40; i++) {
        complete += Net_Answer(&net, CONN(1 + i)) == CODE_OK;
    }
    assert_true(complete >= 36);
}

/* If the tasks of a kind fail at all workers, the fault is in the tasks. To
 * eject every worker would stop the other jobs too. */
static void
a_failing_kind_does_not_eject_all_workers(void **state)
{
    (void)state;
    for (int i = 0; i < 2; i++) {
        agents[i]->end_code = CODE_TASK_FAILED;
        agents[i]->run_ms = 1;
    }
    for (uint32_t i = 0; i < 20; i++) {
        submit_job(CONN(1 + i), 4, PRIO_NORMAL, "");
        Net_Run(&net, 20);
    }
    agents[0]->end_code = CODE_OK;
    agents[1]->end_code = CODE_OK;
    submit_job(CONN(50), 4, PRIO_NORMAL, "");
    Net_Run(&net, 300);
    assert_int_equal(Net_Answer(&net, CONN(50)), CODE_OK);
}

static void
status_and_run_times_are_printed(void **state)
{
    (void)state;
    char text[65536];
    submit_job(CONN(1), 4, PRIO_NORMAL, "");
    Net_Run(&net, 10);
    Ent_PrintStatus(&entry->entry, net.now, text, sizeof(text));
    assert_non_null(strstr(text, "serving: 1 jobs open"));
    assert_non_null(strstr(text, "2 of 2 workers usable"));
    assert_non_null(strstr(text, "4 of 16 slots"));
    Net_Run(&net, 200);
    Ent_PrintKinds(&entry->entry, text, sizeof(text));
    assert_non_null(strstr(text, "kind=\"buff-plan\",le=\"8\"} 0"));
    assert_non_null(strstr(text, "kind=\"buff-plan\",le=\"+Inf\"} 1"));
    assert_true(Ent_PrintKinds(&entry->entry, text, 100) < 100);
}

static void
the_longest_task_of_a_job_starts_first(void **state)
{
    (void)state;
    struct submission sub = make_job(40, PRIO_NORMAL, "");
    for (uint32_t i = 0; i < 40; i++) {
        tasks[i].run_ms = i == 30 ? 400 : 100 - i;
    }
    submit(CONN(1), &sub);
    Net_Run(&net, 10);
    assert_int_equal(net.starts[0].task, 31);
}

static void
set_quota(struct net_node *node, int64_t slots)
{
    node->entry.policy.value[POL_TEAM_SLOTS] = slots;
    Enti_GetService(&node->entry, "finishing", 1)
        ->policy.value[POL_TEAM_SLOTS] = slots;
}

/* Three entries share a team's quota of 4 slots. Each of the other two entries
 * may cause an excess of one slot; on average at least 3 slots are used. */
static void
a_quota_holds_over_all_entries(void **state)
{
    (void)state;
    struct net_node *entries[3] = {entry};
    uint32_t max = 0;
    uint64_t sum = 0;
    entries[1] = Net_AddEntry(&net, "f");
    entries[2] = Net_AddEntry(&net, "g");
    Net_Run(&net, 1500);
    for (uint32_t i = 0; i < 3; i++) {
        set_quota(entries[i], 4);
        struct submission sub = make_job(60, PRIO_NORMAL, "team");
        sub.key = Net_IssueKey(entries[i]);
        Ent_OnSubmit(&entries[i]->entry, net.now, CONN(i), &sub);
    }
    for (int i = 0; i < 2000; i++) {
        Net_Run(&net, 1);
        uint32_t busy = agents[0]->agent.busy + agents[1]->agent.busy;
        max = busy > max ? busy : max;
        sum += busy;
    }
    assert_true(max <= 4 + 2);
    assert_true(sum / 2000 >= 3);
}

/* The share of a quota that one entry does not use goes to another. */
static void
one_entry_may_use_a_whole_quota(void **state)
{
    (void)state;
    Net_AddEntry(&net, "f");
    Net_Run(&net, 1500);
    agents[0]->run_ms = 10000;
    agents[1]->run_ms = 10000;
    set_quota(entry, 6);
    submit_job(CONN(1), 20, PRIO_NORMAL, "team");
    Net_Run(&net, 3000);
    assert_int_equal(agents[0]->agent.busy + agents[1]->agent.busy, 6);
}

static void
a_teams_own_quota_holds(void **state)
{
    static struct config config;
    (void)state;
    Cfg_Init(&config);
    config.team_count = 1;
    config.teams[0].quota = 5;
    memcpy(config.teams[0].name, "team", 5);
    entry->entry.conf.config = &config;
    agents[0]->run_ms = 10000;
    agents[1]->run_ms = 10000;
    submit_job(CONN(1), 14, PRIO_NORMAL, "team");
    Net_Run(&net, 3000);
    assert_int_equal(agents[0]->agent.busy + agents[1]->agent.busy, 5);
    submit_job(CONN(2), 3, PRIO_NORMAL, "other");
    Net_Run(&net, 1000);
    assert_int_equal(agents[0]->agent.busy + agents[1]->agent.busy, 8);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, Net_TearDown)

int
main(void)
{
    const struct CMUnitTest list[] = {
        TEST(a_job_that_ends_too_late_is_refused_unstarted),
        TEST(a_full_queue_refuses_jobs),
        TEST(a_time_to_retry_is_bounded_and_spread),
        TEST(an_urgent_job_overtakes_waiting_jobs),
        TEST(urgent_jobs_leave_a_share_to_normal_jobs),
        TEST(a_request_does_not_wait_behind_jobs),
        TEST(teams_of_a_class_share_fairly),
        TEST(run_times_are_learned_by_kind),
        TEST(declared_times_are_corrected),
        TEST(a_straggler_has_a_slowdown),
        TEST(a_task_that_fits_no_worker_is_refused),
        TEST(a_worker_that_fails_its_tasks_is_ejected),
        TEST(the_longest_task_of_a_job_starts_first),
        TEST(status_and_run_times_are_printed),
        TEST(a_quota_holds_over_all_entries),
        TEST(one_entry_may_use_a_whole_quota),
        TEST(a_teams_own_quota_holds),
        TEST(a_failing_kind_does_not_eject_all_workers),
    };
    return cmocka_run_group_tests(list, NULL, NULL);
}
