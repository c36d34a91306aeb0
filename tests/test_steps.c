/* Jobs of several steps: the order of the steps, and the workers that a step
 * may run on. */
#include "caller.h"

/* The number of a task: its step, and its index in the step. */
#define STEP(index, task) ((index) << 16 | (task))

static struct net net;
static struct net_node *entry;
static struct net_node *agent;
static struct net_node *other_agent;

static int
set_up(void **state)
{
    *state = &net;
    Net_InitRestartable(&net);
    agent = Net_AddWorker(&net, "worker-1");
    other_agent = Net_AddWorker(&net, "worker-2");
    Labels_Add(&agent->labels, "a");
    Labels_Add(&agent->labels, "r1");
    Labels_Add(&other_agent->labels, "b");
    Labels_Add(&other_agent->labels, "r2");
    agent->run_ms = other_agent->run_ms = 40;
    entry = Net_AddEntry(&net, "entry-1");
    Net_Run(&net, 1500);
    return 0;
}

/* Submits a job of `count` steps with `tasks` tasks each. */
static void
submit(conn_id conn, const struct sub_step *steps, uint32_t count,
       uint32_t tasks, uint32_t deadline_ms)
{
    static struct sub_task list[WIRE_MAX_TASKS];
    struct submission sub = {
        .key = Net_IssueKey(entry),
        .service = "finishing",
        .kind = "buff-plan",
        .deadline_ms = deadline_ms,
        .flags = SUB_RESTART,
        .task_count = count * tasks,
        .tasks = list,
        .name = 7000 + conn,
        .step_count = count,
        .steps = steps,
        .max_attempts = 3,
        .target_ms = 60,
        .stretch_percent = 160,
    };
    for (uint32_t i = 0; i < count * tasks; i++) {
        list[i].no = STEP(i / tasks, i % tasks);
        list[i].step = i / tasks;
        list[i].run_ms = 40;
        list[i].input = (struct bytes){NULL, 0};
    }
    Ent_OnSubmit(&entry->entry, net.now, conn, &sub);
}

/* The number of starts of a step so far, at `node` or, if NULL, anywhere. */
static uint32_t
starts_of(uint32_t step, const struct net_node *node)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < net.start_count; i++) {
        count += net.starts[i].task >> 16 == step &&
                 (!node || net.starts[i].node == node);
    }
    return count;
}

static void
a_step_starts_when_those_before_it_have_ended(void **state)
{
    struct sub_step steps[4] = {0};
    (void)state;
    for (uint32_t i = 0; i < 4; i++) {
        steps[i].need = (struct resources){1000, 64, 0};
    }
    steps[2].after = 3;
    steps[3].after = 4;
    submit(1, steps, 4, 2, 5000);
    Net_Run(&net, 20);
    /* Steps 0 and 1 depend on no other step. */
    assert_int_equal(starts_of(0, NULL), 2);
    assert_int_equal(starts_of(1, NULL), 2);
    assert_int_equal(starts_of(2, NULL), 0);
    Net_Run(&net, 40);
    assert_int_equal(starts_of(2, NULL), 2);
    assert_int_equal(starts_of(3, NULL), 0);
    Net_Run(&net, 150);
    assert_int_equal(starts_of(3, NULL), 2);
    assert_int_equal(Net_Answer(&net, 1), CODE_OK);
    assert_int_equal(Net_Repeats(&net), 0);
}

static void
a_failed_task_delays_the_steps_after_it(void **state)
{
    struct sub_step steps[2] = {0};
    (void)state;
    steps[1].after = 1;
    agent->end_code = other_agent->end_code = CODE_TASK_FAILED;
    submit(1, steps, 2, 1, 5000);
    Net_Run(&net, 60);
    assert_int_equal(starts_of(0, NULL), 2);
    agent->end_code = other_agent->end_code = CODE_OK;
    Net_Run(&net, 40);
    assert_int_equal(starts_of(0, NULL), 2);
    Net_Run(&net, 100);
    assert_int_equal(starts_of(1, NULL), 1);
    assert_int_equal(Net_Answer(&net, 1), CODE_OK);
}

static void
a_lost_run_of_a_later_step_does_not_repeat_the_earlier(void **state)
{
    struct sub_step steps[2] = {0};
    (void)state;
    steps[1].after = 1;
    submit(1, steps, 2, 2, 20000);
    Net_Run(&net, 50);
    agent->run_ms = other_agent->run_ms = -1;
    Net_Run(&net, 30);
    assert_int_equal(starts_of(1, NULL), 2);
    struct net_node *dead = Net_RunningAt(&net, agent) ? agent : other_agent;
    Net_Kill(dead);
    agent->run_ms = other_agent->run_ms = 40;
    Net_Run(&net, 4000);
    assert_int_equal(starts_of(0, NULL), 2);
    assert_int_equal(Net_Answer(&net, 1), CODE_OK);
}

static void
steps_of_different_needs_stay_within_capacity(void **state)
{
    struct sub_step steps[3] = {0};
    (void)state;
    steps[0].need = (struct resources){5000, 64, 0};
    steps[1].need = (struct resources){500, 400, 0};
    steps[2].need = (struct resources){2500, 64, 0};
    steps[2].after = 2;
    for (uint32_t i = 0; i < 20; i++) {
        submit(10 + i, steps, 3, 3, 20000);
    }
    for (int ms = 0; ms < 3000; ms++) {
        Net_Run(&net, 1);
        assert_true(agent->agent.used.cpu <= 8000);
        assert_true(agent->agent.used.memory_mb <= 1024);
        assert_true(other_agent->agent.used.cpu <= 8000);
        assert_true(other_agent->agent.used.memory_mb <= 1024);
    }
    for (uint32_t i = 0; i < 20; i++) {
        assert_int_not_equal(Net_Answer(&net, 10 + i), CODE_PENDING);
    }
    assert_int_equal(agent->agent.used.cpu + other_agent->agent.used.cpu, 0);
    assert_int_equal(entry->entry.open_jobs, 0);
}

static void
a_step_runs_only_on_workers_with_its_label(void **state)
{
    struct sub_step steps[2] = {{.label = "b"}, {.label = "a", .after = 1}};
    (void)state;
    submit(1, steps, 2, 6, 5000);
    Net_Run(&net, 300);
    assert_int_equal(starts_of(0, other_agent), 6);
    assert_int_equal(starts_of(1, agent), 6);
    assert_int_equal(Net_Answer(&net, 1), CODE_OK);
    steps[1].label[0] = 'c';
    submit(2, steps, 2, 1, 5000);
    Net_Run(&net, 10);
    assert_int_equal(Net_Answer(&net, 2), CODE_CANNOT_RUN);
    assert_int_equal(net.start_count, 12);
}

/* The workers' labels change, and the entry places tasks by the old labels
 * until it hears of that. The agent must refuse tasks whose label its worker
 * lacks. */
static void
an_agent_refuses_a_label_that_its_worker_lacks(void **state)
{
    struct sub_step step = {.label = "b"};
    (void)state;
    other_agent->labels.names[0][0] = 'c';
    Labels_Add(&agent->labels, "b");
    struct ag_announce announce = other_agent->agent.upstream;
    announce.labels = other_agent->labels;
    Ag_OnAnnounce(&other_agent->agent, net.now, &announce);
    announce.labels = agent->labels;
    Ag_OnAnnounce(&agent->agent, net.now, &announce);
    submit(1, &step, 1, 4, 5000);
    Net_Run(&net, 900);
    assert_int_equal(starts_of(0, other_agent), 0);
    assert_int_equal(starts_of(0, agent), 4);
    assert_int_equal(Net_Answer(&net, 1), CODE_OK);
    /* At most the first placement used the old labels: the agents had already
     * sent the new ones. */
    assert_true(net.counters.value[CTR_start_retried] <= 4);
}

static void
tasks_of_a_step_stay_within_max_per_worker(void **state)
{
    struct sub_step step = {.max_per_worker = 2};
    (void)state;
    submit(1, &step, 1, 9, 20000);
    for (int ms = 0; ms < 400; ms++) {
        Net_Run(&net, 1);
        assert_true(Net_RunningAt(&net, agent) <= 2);
        assert_true(Net_RunningAt(&net, other_agent) <= 2);
    }
    assert_int_equal(Net_Answer(&net, 1), CODE_OK);
}

static void
a_step_runs_at_its_preferred_label_while_capacity_is_free(void **state)
{
    struct sub_step step = {.need = {2000, 64, 0}, .preferred_label = "r2"};
    (void)state;
    submit(1, &step, 1, 4, 20000);
    Net_Run(&net, 20);
    assert_int_equal(starts_of(0, other_agent), 4);
    submit(2, &step, 1, 2, 20000);
    Net_Run(&net, 20);
    assert_int_equal(starts_of(0, agent), 2);
    Net_Run(&net, 100);
    assert_int_equal(Net_Answer(&net, 1), CODE_OK);
    assert_int_equal(Net_Answer(&net, 2), CODE_OK);
}

/* A third worker is in the same rack as the first. The three tasks fit on
 * these two workers; on the second worker, alone in its rack, only two fit. */
static void
a_step_that_prefers_one_rack_stays_there(void **state)
{
    struct sub_step step = {.need = {4000, 64, 0}, .prefer_one_rack = 1};
    (void)state;
    struct net_node *third = Net_AddWorker(&net, "worker-3");
    third->labels = agent->labels;
    third->run_ms = 40;
    Net_Run(&net, 1500);
    for (conn_id conn = 1; conn <= 20; conn++) {
        net.start_count = 0;
        submit(conn, &step, 1, 3, 20000);
        Net_Run(&net, 200);
        assert_int_not_equal(starts_of(0, other_agent), 1);
        assert_int_equal(Net_Answer(&net, conn), CODE_OK);
    }
}

/* The estimate must cover all remaining steps of the job. */
static void
steps_that_cannot_end_in_time_are_refused(void **state)
{
    struct sub_step steps[3] = {0};
    (void)state;
    steps[1].after = 1;
    steps[2].after = 2;
    submit(1, steps, 3, 1, 100);
    Net_Run(&net, 10);
    assert_int_equal(Net_Answer(&net, 1), CODE_TOO_LATE);
    assert_int_equal(net.start_count, 0);
    submit(2, steps, 3, 1, 300);
    Net_Run(&net, 250);
    assert_int_equal(Net_Answer(&net, 2), CODE_OK);
}

/* For `ms` submits single-task jobs with short target times, one each 5 ms,
 * which is twice the rate that the workers can serve. */
static void
overload(uint32_t ms)
{
    static conn_id conn = 1000;
    struct sub_step step = {.need = {4000, 64, 0}};
    for (uint32_t i = 0; i < ms; i += 5) {
        submit(++conn, &step, 1, 1, 5000);
        Net_Run(&net, 5);
    }
}

/* Runs without new load until the late job `name` has started. */
static void
run_until_started(uint64_t name)
{
    int is_running = 0;
    assert_int_equal(Ent_FindJobByName(&entry->entry, name, &is_running), 1);
    assert_int_equal(is_running, 0);
    while (!is_running) {
        Net_Run(&net, 1);
        assert_int_equal(Ent_FindJobByName(&entry->entry, name, &is_running),
                         1);
    }
}

/* Guards against wasted work: a job that was late before its first start, and
 * is started nevertheless, must not be given up half done. */
static void
a_job_started_late_is_finished(void **state)
{
    struct sub_step steps[3] = {0};
    (void)state;
    for (uint32_t i = 0; i < 3; i++) {
        steps[i].need = (struct resources){4000, 64, 0};
        steps[i].after = i ? (uint64_t)1 << (i - 1) : 0;
    }
    overload(200);
    submit(1, steps, 3, 1, 5000);
    overload(200);
    run_until_started(7001);
    overload(400);
    assert_int_equal(Net_Answer(&net, 1), CODE_OK);
}

/* A late job of one step must not be given up either when only some of its
 * tasks have started, because not all of them fit at once. */
static void
a_job_partly_started_late_is_finished(void **state)
{
    struct sub_step step = {.need = {4000, 64, 0}};
    (void)state;
    overload(100);
    submit(1, &step, 1, 5, 5000);
    overload(100);
    run_until_started(7001);
    overload(400);
    assert_int_equal(Net_Answer(&net, 1), CODE_OK);
}

int
main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, Net_TearDown)
    const struct CMUnitTest tests[] = {
        TEST(a_step_starts_when_those_before_it_have_ended),
        TEST(a_failed_task_delays_the_steps_after_it),
        TEST(a_lost_run_of_a_later_step_does_not_repeat_the_earlier),
        TEST(steps_of_different_needs_stay_within_capacity),
        TEST(a_step_runs_only_on_workers_with_its_label),
        TEST(an_agent_refuses_a_label_that_its_worker_lacks),
        TEST(tasks_of_a_step_stay_within_max_per_worker),
        TEST(a_step_runs_at_its_preferred_label_while_capacity_is_free),
        TEST(a_step_that_prefers_one_rack_stays_there),
        TEST(steps_that_cannot_end_in_time_are_refused),
        TEST(a_job_started_late_is_finished),
        TEST(a_job_partly_started_late_is_finished),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
