/* Jobs whose caller's name for them is 0, which is as valid as any other.
 * Guards against code that takes it for no name: the job is not found, is not
 * cancelled, and runs twice at a time. */
#include "caller.h"

#define DEADLY 1u /* Number of the task that crashes its upstream. */

static struct net net;
static struct net_node *entry;
static struct net_node *other_entry;
static struct net_node *agent;

static int
is_deadly(const struct msg_start *start)
{
    return start->task == DEADLY;
}

static int
set_up(void **state)
{
    *state = &net;
    Net_InitRestartable(&net);
    agent = Net_AddWorker(&net, "worker-1");
    agent->run_ms = 500;
    entry = Net_AddEntry(&net, "entry-1");
    other_entry = Net_AddEntry(&net, "entry-2");
    Net_Run(&net, 1500);
    return 0;
}

static struct key
submit(struct net_node *node, conn_id conn, uint32_t tasks)
{
    struct net_job job = {0, tasks, 1000, 60, 10000};
    return Net_SubmitJob(node, conn, &job);
}

static void
job_is_found_until_it_is_answered(void **state)
{
    int is_running = 0;
    (void)state;
    assert_false(Ent_FindJobByName(&entry->entry, 0, &is_running));
    submit(entry, 1, 1);
    Net_Run(&net, 50);
    assert_true(Ent_FindJobByName(&entry->entry, 0, &is_running));
    assert_true(is_running);
    Net_Run(&net, 600);
    assert_int_equal(Net_Answer(&net, 1), CODE_OK);
    assert_false(Ent_FindJobByName(&entry->entry, 0, &is_running));
}

static void
job_is_cancelled_by_name(void **state)
{
    (void)state;
    submit(entry, 1, 2);
    Net_Run(&net, 50);
    assert_int_equal(Net_RunningAt(&net, agent), 2);
    assert_true(Ent_CancelJobByName(&entry->entry, 0));
    Net_Run(&net, 50);
    assert_int_equal(Net_RunningAt(&net, agent), 0);
    assert_int_equal(Net_Answer(&net, 1), CODE_JOB_CANCELLED);
}

static void
second_submission_joins_the_first(void **state)
{
    (void)state;
    submit(entry, 1, 2);
    Net_Run(&net, 50);
    submit(entry, 2, 2);
    Net_Run(&net, 600);
    assert_int_equal(Net_Answer(&net, 1), CODE_OK);
    assert_int_equal(Net_Answer(&net, 2), CODE_OK);
    assert_int_equal(net.start_count, 2);
}

/* A job with another name is not held up. */
static void
agent_starts_no_task_that_runs_for_another_entry(void **state)
{
    struct net_job other = {1, 1, 1000, 60, 10000};
    (void)state;
    submit(entry, 1, 2);
    Net_Run(&net, 50);
    submit(other_entry, 2, 2);
    Net_SubmitJob(other_entry, 3, &other);
    for (int ms = 0; ms < 400; ms++) {
        Net_Run(&net, 1);
        assert_in_range(Net_RunningAt(&net, agent), 2, 3);
    }
    assert_int_equal(net.start_count, 3);
}

static void
known_job_is_accepted_under_overload(void **state)
{
    uint32_t retry_ms;
    (void)state;
    submit(entry, 1, 1);
    entry->entry.pressure.refuse_percent = 95;
    for (int i = 0; i < 100; i++) {
        assert_int_equal(Ent_CheckOverload(&entry->entry, 0, &retry_ms),
                         CODE_OK);
    }
}

static void
task_that_crashes_upstreams_is_given_up(void **state)
{
    static const char *const names[] = {"worker-2", "worker-3", "worker-4"};
    struct net_node *workers[4] = {agent};
    uint32_t crashes = 0;
    (void)state;
    for (int i = 0; i < 3; i++) {
        workers[i + 1] = Net_AddWorker(&net, names[i]);
    }
    net.is_deadly = is_deadly;
    Net_Run(&net, 1500);
    submit(entry, 1, 2);
    Net_Run(&net, 9900);
    for (int i = 0; i < 4; i++) {
        crashes += workers[i]->crashes;
    }
    assert_int_equal(crashes, 2);
    assert_int_equal(Net_Answer(&net, 1), CODE_CRASHES_WORKERS);
}

int
main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, Net_TearDown)
    const struct CMUnitTest tests[] = {
        TEST(job_is_found_until_it_is_answered),
        TEST(job_is_cancelled_by_name),
        TEST(second_submission_joins_the_first),
        TEST(agent_starts_no_task_that_runs_for_another_entry),
        TEST(known_job_is_accepted_under_overload),
        TEST(task_that_crashes_upstreams_is_given_up),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
