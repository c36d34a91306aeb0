/* Overload of an entry's processor. A round of its simulated event loop takes
 * as long as the work for the jobs that arrived during the previous round. */
#include "caller.h"

/* Processor time for each job that is served or refused, on a simulated
 * machine with a tenth of a core. */
#define SERVE_US 5000u
#define REFUSE_US 1000u
#define TICK_US 20000u
#define MILLIONTHS_PER_JOB 1000000u

static struct net net;
static struct net_node *node;

static int
set_up(void **state)
{
    *state = &net;
    Net_Init(&net);
    node = Net_AddEntry(&net, "entry-1");
    node->entry.settings.tick_us = TICK_US;
    return 0;
}

struct load_result {
    uint32_t arrived;
    uint32_t served;
    uint32_t in_time;      /**< Served in a round that took at most 100 ms. */
    uint64_t max_round_us; /**< Longest round in the second half. */
    uint32_t min_retry_ms; /**< Shortest retry time given with a refusal. */
};

/* Submits `per_s` jobs a second for `span_us`. A round that takes longer than
 * a tick delays the next one. */
static struct load_result
simulate_load(uint32_t per_s, uint64_t span_us)
{
    struct load_result result = {.min_retry_ms = UINT32_MAX};
    uint64_t end_us = net.now.us + span_us;
    uint64_t round_us = TICK_US;
    uint64_t due = 0; /* Jobs due and not yet submitted, in millionths. */
    while (net.now.us < end_us) {
        uint64_t work_us = 0;
        uint32_t served = 0;
        due += per_s * round_us;
        for (; due >= MILLIONTHS_PER_JOB; due -= MILLIONTHS_PER_JOB) {
            uint32_t retry_ms = 0;
            result.arrived++;
            if (Ent_CheckOverload(&node->entry, 0, &retry_ms) == CODE_OK) {
                work_us += SERVE_US;
                served++;
                continue;
            }
            work_us += REFUSE_US;
            if (retry_ms < result.min_retry_ms) {
                result.min_retry_ms = retry_ms;
            }
        }
        round_us = work_us > TICK_US ? work_us : TICK_US;
        result.served += served;
        result.in_time += round_us <= 100000 ? served : 0;
        if (end_us - net.now.us < span_us / 2 &&
            round_us > result.max_round_us) {
            result.max_round_us = round_us;
        }
        net.now.us += round_us;
        Ent_OnTick(&node->entry, net.now);
    }
    return result;
}

static void
every_job_is_accepted_while_the_processor_keeps_up(void **state)
{
    (void)state;
    struct load_result result = simulate_load(150, 5 * US_PER_S);
    assert_int_equal(result.served, result.arrived);
}

static void
an_overload_is_served_in_part_and_in_time(void **state)
{
    (void)state;
    /* Of 400 jobs a second the processor can serve 150 and refuse 250. */
    struct load_result result = simulate_load(400, 10 * US_PER_S);
    assert_true(result.max_round_us <= 250000);
    assert_true(result.in_time >= 10 * 150 / 2);
    assert_true(result.min_retry_ms >= 200);
}

static void
every_job_is_accepted_after_a_burst(void **state)
{
    (void)state;
    simulate_load(800, 3 * US_PER_S);
    simulate_load(50, 2 * US_PER_S);
    struct load_result result = simulate_load(150, 3 * US_PER_S);
    assert_int_equal(result.served, result.arrived);
}

static void
a_pause_of_the_machine_causes_no_refusals(void **state)
{
    (void)state;
    simulate_load(100, US_PER_S);
    net.now.us += 3 * US_PER_S;
    Ent_OnTick(&node->entry, net.now);
    struct load_result result = simulate_load(100, US_PER_S);
    assert_int_equal(result.served, result.arrived);
}

static void
the_status_reports_the_overload(void **state)
{
    char text[1024];
    (void)state;
    Ent_PrintStatus(&node->entry, net.now, text, sizeof(text));
    assert_null(strstr(text, "short of processor time"));
    simulate_load(800, 3 * US_PER_S);
    Ent_PrintStatus(&node->entry, net.now, text, sizeof(text));
    assert_non_null(strstr(text, "short of processor time"));
}

static void
a_known_job_is_accepted(void **state)
{
    uint32_t retry_ms;
    struct sub_task task = {.no = 0, .run_ms = 60};
    struct submission sub = {
        .key = Net_IssueKey(node),
        .service = "finishing",
        .kind = "edge-check",
        .deadline_ms = 5000,
        .flags = SUB_RESTART,
        .task_count = 1,
        .tasks = &task,
        .name = 77,
    };
    (void)state;
    Net_AddAgent(&net, "worker-1");
    Net_Run(&net, 3000);
    Ent_OnSubmit(&node->entry, net.now, 1, &sub);
    node->entry.pressure.refuse_percent = 95;
    for (int i = 0; i < 100; i++) {
        assert_int_equal(Ent_CheckOverload(&node->entry, 77, &retry_ms),
                         CODE_OK);
    }
}

int
main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, Net_TearDown)
    const struct CMUnitTest tests[] = {
        TEST(every_job_is_accepted_while_the_processor_keeps_up),
        TEST(an_overload_is_served_in_part_and_in_time),
        TEST(every_job_is_accepted_after_a_burst),
        TEST(a_pause_of_the_machine_causes_no_refusals),
        TEST(the_status_reports_the_overload),
        TEST(a_known_job_is_accepted),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
