/* Orders to an upstream: what ends a run, what makes an order void, and when
 * its room is free. */
#include "fake_upstream.h"

static void
a_task_runs_to_its_end(void **state)
{
    (void)state;
    meet();
    assert_true(ready);
    start(1, 1, 60);
    run_for(70);
    assert_int_equal(ends, 1);
    assert_int_equal(last_code, CODE_OK);
    assert_int_equal(runner.runs.used, 0);
}

static void
runs_of_before_are_ended_before_it_is_usable(void **state)
{
    struct rn_id old = {.job = 9, .number = 3};
    (void)state;
    run_ms = 5000;
    fence = clock_now() - 50;
    until_ms = clock_now() + LEASE_MS;
    add_row(&old);
    Rn_OnAnnounce(&runner, now(), born, clock_now());
    run_for(2);
    /* The lists have not come yet: nothing is known to be clear. */
    Rn_OnTick(&runner, now());
    assert_false(ready);
    run_for(200);
    assert_true(ready);
    assert_null(find_row(&old));
    assert_true(ready_ms >= 1000 + STOP_MS);
}

static void
a_stopped_run_keeps_its_row_until_its_end_is_listed(void **state)
{
    (void)state;
    run_ms = 5000;
    meet();
    start(1, 1, 0);
    run_for(20);
    Rn_Stop(&runner, now(), 1);
    for (int i = 0; i < STOP_MS - 5; i++) {
        run_for(1);
        assert_int_equal(ends, 0);
    }
    run_for(30);
    assert_int_equal(ends, 1);
}

static void
an_unanswered_start_is_ordered_again_and_runs_once(void **state)
{
    (void)state;
    meet();
    lose_starts = 1;
    late_ms = 2000;
    start(1, 1, 0);
    run_for(400);
    assert_int_equal(ends, 1);
    assert_int_equal(last_code, CODE_OK);
    assert_int_equal(starts, 2);
    run_for(2500);
    /* The late order found its run over. */
    assert_int_equal(next_n, 1);
}

static void
an_unanswered_start_is_made_void_before_its_end(void **state)
{
    (void)state;
    run_ms = 5000;
    meet();
    lose_starts = 5;
    late_ms = 3000;
    start(1, 1, 0);
    run_for(1000);
    assert_int_equal(ends, 1);
    assert_int_equal(last_code, CODE_NO_UPSTREAM);
    /* The next attempt runs; the late order must not run beside it. */
    start(1, 2, 0);
    run_for(4000);
    assert_int_equal(most_twins, 1);
}

static void
an_unanswered_start_that_ran_is_found_in_the_lists(void **state)
{
    (void)state;
    run_ms = 5000;
    meet();
    lose_starts = 5;
    late_ms = 1;
    start(1, 1, 0);
    run_for(800);
    assert_int_equal(ends, 0);
    run_for(4400);
    assert_int_equal(ends, 1);
    assert_int_equal(last_code, CODE_OK);
    assert_int_equal(most_twins, 1);
}

/* What a second order is told says nothing of the first, which was carried
 * out, or is later. */
static void
a_refusal_after_an_unanswered_start_proves_nothing(void **state)
{
    static const enum rn_reply refusals[] = {RN_NOT_NOW,        RN_NO_ROOM,
                                             RN_NOT_UNDERSTOOD, RN_UNREACHED,
                                             RN_LATE,           RN_FENCED};
    static const uint64_t carried_out_ms[] = {1, 700};
    (void)state;
    run_ms = 5000;
    meet();
    for (uint32_t i = 0; i < sizeof(refusals) / sizeof(refusals[0]); i++) {
        for (uint32_t j = 0; j < 2; j++) {
            uint32_t had = ends;
            uint64_t job = 1 + 2 * i + j;
            lose_starts = 1;
            late_ms = carried_out_ms[j];
            start(job, 1, 0);
            run_for(50);
            refuse_with = refusals[i];
            run_for(500);
            refuse_with = RN_DONE;
            assert_int_equal(early_ends, 0);
            /* The next attempt runs; the late order must not run beside it. */
            if (ends > had) {
                start(job, 2, 0);
            }
            run_for(6000);
            assert_int_equal(early_ends, 0);
            assert_int_equal(most_twins, 1);
            assert_true(ends > had);
        }
    }
}

static void
a_new_life_ends_all_runs_at_once(void **state)
{
    (void)state;
    run_ms = 5000;
    meet();
    start(1, 1, 0);
    run_for(20);
    memset(rows, 0, sizeof(rows));
    born += 10;
    fence = ended_count = 0;
    next_n = 0;
    clock_offset = 0;
    Rn_OnAnnounce(&runner, now(), born, clock_now());
    assert_int_equal(ends, 1);
    assert_int_equal(last_code, CODE_RUN_LOST);
    run_for(100);
    assert_true(ready);
}

static void
a_late_word_of_an_earlier_life_changes_nothing(void **state)
{
    (void)state;
    meet();
    start(1, 1, 0);
    Rn_OnAnnounce(&runner, now(), born - 1, 5);
    assert_int_equal(ends, 0);
    run_for(80);
    assert_int_equal(last_code, CODE_OK);
}

/* A question of before may be carried out now: its lease counts from then. */
static void
a_lost_question_may_renew_the_leases(void **state)
{
    (void)state;
    run_ms = 50000;
    meet();
    start(1, 1, 0);
    run_for(600);
    is_silent = 1;
    for (int i = 0; i < 10000; i++) {
        if (i == 3000 || i == 3900) {
            until_ms = clock_now() + LEASE_MS;
        }
        run_for(1);
        struct rn_id id = {.job = 1, .number = 1};
        assert_false(ends && find_row(&id));
        if (i == 500) {
            /* It is alive all the while. */
            until_ms = clock_now() + 5000;
        }
    }
    assert_int_equal(ends, 0);
    run_for(5000);
    assert_int_equal(ends, 1);
}

static void
an_upstream_that_has_gone_keeps_its_runs_until_their_lease_is_over(
    void **state)
{
    (void)state;
    run_ms = 50000;
    meet();
    start(1, 1, 0);
    run_for(600);
    is_silent = 1;
    uint64_t from_ms = now_ms;
    run_for(400);
    Rn_OnConnectionRefused(&runner, now());
    while (ends == 0 && now_ms < from_ms + 5000) {
        struct rn_id id = {.job = 1, .number = 1};
        int ran = find_row(&id) != NULL;
        run_for(1);
        if (ends) {
            assert_false(ran);
        }
    }
    assert_int_equal(ends, 1);
    assert_int_equal(last_code, CODE_RUN_LOST);
    assert_false(ready);
}

static void
a_lower_number_is_raised(void **state)
{
    (void)state;
    meet();
    refuse_old = 20;
    start(1, 1, 0);
    run_for(100);
    assert_int_equal(last_code, CODE_OK);
    assert_true(starts > 1);
}

static void
a_task_without_progress_is_stopped(void **state)
{
    (void)state;
    meet();
    stand_still = 1;
    start(1, 1, 60);
    run_for(1500);
    assert_int_equal(ends, 1);
    assert_int_equal(last_code, CODE_STALLED);
}

static void
leases_are_renewed_while_a_task_runs(void **state)
{
    (void)state;
    run_ms = 4000;
    meet();
    start(1, 1, 0);
    run_for(4200);
    assert_int_equal(last_code, CODE_OK);
}

int
main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)
    const struct CMUnitTest tests[] = {
        TEST(a_task_runs_to_its_end),
        TEST(runs_of_before_are_ended_before_it_is_usable),
        TEST(a_stopped_run_keeps_its_row_until_its_end_is_listed),
        TEST(an_unanswered_start_is_ordered_again_and_runs_once),
        TEST(an_unanswered_start_is_made_void_before_its_end),
        TEST(an_unanswered_start_that_ran_is_found_in_the_lists),
        TEST(a_refusal_after_an_unanswered_start_proves_nothing),
        TEST(a_new_life_ends_all_runs_at_once),
        TEST(a_late_word_of_an_earlier_life_changes_nothing),
        TEST(a_lost_question_may_renew_the_leases),
        TEST(
            an_upstream_that_has_gone_keeps_its_runs_until_their_lease_is_over),
        TEST(a_lower_number_is_raised),
        TEST(a_task_without_progress_is_stopped),
        TEST(leases_are_renewed_while_a_task_runs),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
