/* Announcements of other writers, and of instances that take the place of the
 * known one.
 *
 * Guards against runs that are reported as ended because of an announcement
 * alone: they go on, and their tasks are started elsewhere. */
#include "core/claim.h"
#include "fake_upstream.h"

static struct claim known;

static struct claim
make_claim(void)
{
    return (struct claim){.id = "i-1",
                          .address = "10.1.0.1:8080",
                          .service = "s",
                          .born_ms = BORN_MS,
                          .sequence = 4,
                          .received_us = now().us};
}

static enum claim_verdict
judge(const struct claim *claim)
{
    return Claim_Judge(&known, &runner, claim);
}

static int
set_up_known(void **state)
{
    set_up(state);
    known = make_claim();
    announce();
    return 0;
}

static void
the_first_announcement_is_taken(void **state)
{
    (void)state;
    assert_int_equal(Claim_Judge(NULL, &runner, &known), CLAIM_TAKEN);
}

static void
a_later_announcement_of_the_known_instance_replaces_it(void **state)
{
    struct claim next = make_claim();
    (void)state;
    next.sequence = 5;
    assert_int_equal(judge(&next), CLAIM_KNOWN);
    next.sequence = 3;
    assert_int_equal(judge(&next), CLAIM_OUTDATED);
}

/* With a copy whose number is too large the upstream would be silent for as
 * long as it lives. */
static void
a_number_too_large_shuts_no_later_announcement_out(void **state)
{
    struct claim next = make_claim();
    (void)state;
    known.sequence = 1ull << 52;
    run_for(4000);
    next.received_us = now().us;
    assert_int_equal(judge(&next), CLAIM_KNOWN);
}

/* Each differs from the known one in one field. */
static void
another_instance_is_asked_first(void **state)
{
    struct claim claims[4];
    (void)state;
    for (int i = 0; i < 4; i++) {
        claims[i] = make_claim();
    }
    claims[0].id = "i-2";
    claims[1].address = "10.1.0.1:8081";
    claims[2].born_ms++;
    claims[3].born_ms = 1ull << 52;
    for (int i = 0; i < 4; i++) {
        assert_int_equal(judge(&claims[i]), CLAIM_ASKED);
    }
    claims[2].born_ms = BORN_MS - 1;
    assert_int_equal(judge(&claims[2]), CLAIM_OUTDATED);
}

static void
an_instance_with_runs_stays_in_its_service(void **state)
{
    struct claim other = make_claim();
    (void)state;
    other.service = "archive";
    other.sequence = 5;
    start_task(1, 1, 0);
    assert_int_equal(judge(&other), CLAIM_FOREIGN);
}

/* Nothing has shown which of the two announcements is its own. */
static void
the_latest_service_of_an_unused_instance_holds(void **state)
{
    struct claim other = make_claim();
    (void)state;
    other.service = "archive";
    other.sequence = 1;
    assert_int_equal(judge(&other), CLAIM_KNOWN);
}

/* The known one was read from a row of another writer, or is gone before it
 * has answered. */
static void
an_instance_that_has_never_answered_gives_way(void **state)
{
    struct claim other = make_claim();
    (void)state;
    Rn_Finish(&runner);
    assert_int_equal(init_runner(), 0);
    known.born_ms = 1ull << 52;
    is_unresponsive = 1;
    Claim_Take(&runner, now(), &known, 0, 0);
    run_for(300);
    assert_int_equal(judge(&other), CLAIM_TAKEN);
    is_unresponsive = 0;
    Claim_Take(&runner, now(), &other, upstream_clock_ms(), 0);
    run_for(300);
    assert_true(ready);
    assert_int_equal(runner.born_ms, BORN_MS);
}

/* Its polls have shown the restart before its announcement came. */
static void
an_instance_that_has_answered_polls_is_not_asked_again(void **state)
{
    struct claim next = make_claim();
    (void)state;
    run_ms = 5000;
    start_task(1, 1, 0);
    restart_upstream(100);
    run_for(300);
    next.born_ms = born_ms;
    assert_int_equal(judge(&next), CLAIM_TAKEN);
    next.address = "10.1.0.1:8081";
    assert_int_equal(judge(&next), CLAIM_ASKED);
}

static void
only_the_claimed_instance_confirms_a_claim(void **state)
{
    struct claim claim = make_claim();
    (void)state;
    assert_int_equal(Claim_OnAnswer(&claim, RN_DONE, BORN_MS),
                     CLAIM_CONFIRMED);
    assert_int_equal(Claim_OnAnswer(&claim, RN_FENCED, BORN_MS),
                     CLAIM_CONFIRMED);
    assert_int_equal(Claim_OnAnswer(&claim, RN_FENCED, 0), CLAIM_CONFIRMED);
    assert_int_equal(Claim_OnAnswer(&claim, RN_DONE, 0), CLAIM_REFUTED);
    assert_int_equal(Claim_OnAnswer(&claim, RN_DONE, BORN_MS + 1),
                     CLAIM_REFUTED);
    assert_int_equal(Claim_OnAnswer(&claim, RN_OTHER_INSTANCE, 0),
                     CLAIM_REFUTED);
    assert_int_equal(Claim_OnAnswer(&claim, RN_NO_ANSWER, 0), CLAIM_UNDECIDED);
    assert_int_equal(Claim_OnAnswer(&claim, RN_UNREACHED, 0), CLAIM_UNDECIDED);
    assert_int_equal(Claim_OnAnswer(&claim, RN_NOT_NOW, 0), CLAIM_UNDECIDED);
}

/* One process has an address, so another one that answers there has replaced
 * it. One at another address shows nothing of the known one. */
static void
an_instance_elsewhere_takes_no_place_that_is_held(void **state)
{
    struct claim here = make_claim();
    struct claim elsewhere = make_claim();
    (void)state;
    run_ms = 5000;
    here.id = elsewhere.id = "i-2";
    here.born_ms = elsewhere.born_ms = BORN_MS + 1;
    elsewhere.address = "10.1.0.1:8081";
    start_task(1, 1, 0);
    run_for(200);
    assert_true(Claim_MayReplace(&known, &runner, &here));
    assert_false(Claim_MayReplace(&known, &runner, &elsewhere));
    is_unresponsive = 1;
    run_for(1000);
    assert_int_equal(runner.phase, RN_UNKNOWN);
    assert_false(Claim_MayReplace(&known, &runner, &elsewhere));
    run_for(20000);
    assert_int_equal(runner.runs.used, 0);
    assert_true(Claim_MayReplace(&known, &runner, &elsewhere));
}

/* An agent without runs does not poll, and would take the one that is gone for
 * the one that holds the place. */
static void
an_idle_upstream_is_polled_when_its_place_is_claimed(void **state)
{
    (void)state;
    run_for(1000);
    uint32_t last_poll = runner.last_poll;
    run_for(1000);
    assert_int_equal(runner.last_poll, last_poll);
    Rn_Verify(&runner, now());
    assert_int_equal(runner.last_poll, last_poll + 1);
}

int
main(void)
{
#define TEST(name)                                                            \
    cmocka_unit_test_setup_teardown(name, set_up_known, tear_down)
    const struct CMUnitTest tests[] = {
        TEST(the_first_announcement_is_taken),
        TEST(a_later_announcement_of_the_known_instance_replaces_it),
        TEST(a_number_too_large_shuts_no_later_announcement_out),
        TEST(another_instance_is_asked_first),
        TEST(an_instance_with_runs_stays_in_its_service),
        TEST(the_latest_service_of_an_unused_instance_holds),
        TEST(an_instance_that_has_never_answered_gives_way),
        TEST(an_instance_that_has_answered_polls_is_not_asked_again),
        TEST(only_the_claimed_instance_confirms_a_claim),
        TEST(an_instance_elsewhere_takes_no_place_that_is_held),
        TEST(an_idle_upstream_is_polled_when_its_place_is_claimed),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
