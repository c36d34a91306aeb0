/* The budget of memory and connections for clients that are not trusted.
 *
 * Guards against a process that outgrows its machine because many clients send
 * large bodies and do not finish them, and against a crowd that keeps ordinary
 * clients out. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "shell/intake.h"

#define CROWD 1000
#define KIB 1024ull

static struct intake intake;
static struct intake_item crowd[CROWD];
static struct intake_item ordinary;
static uint32_t evicted_for_memory;
static uint32_t evicted_for_connections;
static struct intake_item *latest;

static void
evict(struct intake_item *item, enum intake_reason reason)
{
    latest = item;
    if (reason == INTAKE_MEMORY) {
        evicted_for_memory++;
        Intake_Release(&intake, item);
    }
    else {
        evicted_for_connections++;
        Intake_Remove(&intake, item);
    }
}

static int
set_up(void **state)
{
    (void)state;
    Intake_Init(&intake, 64, 400);
    memset(crowd, 0, sizeof(crowd));
    memset(&ordinary, 0, sizeof(ordinary));
    for (int i = 0; i < CROWD; i++) {
        crowd[i].evict = evict;
    }
    ordinary.evict = evict;
    evicted_for_memory = 0;
    evicted_for_connections = 0;
    latest = NULL;
    return 0;
}

static void
limits_follow_the_machine(void **state)
{
    (void)state;
    assert_int_equal(intake.max_bytes, 16u << 20);
    assert_int_equal(intake.max_items, 150);
    Intake_Init(&intake, 64, 100000);
    assert_int_equal(intake.max_items, 1024);
    Intake_Init(&intake, 1, 1);
    assert_int_equal(intake.max_items, 16);
    Intake_Init(&intake, 0, 0);
    assert_true(intake.max_bytes > 0);
    assert_true(intake.max_items >= 16);
}

static void
connections_stay_within_the_limit(void **state)
{
    (void)state;
    for (int i = 0; i < CROWD; i++) {
        assert_int_equal(Intake_Add(&intake, &crowd[i]), 0);
        assert_true(intake.items <= intake.max_items);
    }
    assert_int_equal(evicted_for_connections, CROWD - intake.max_items);
}

/* Those that have waited longest go first. */
static void
a_young_connection_is_not_evicted(void **state)
{
    (void)state;
    for (int i = 0; i < 200; i++) {
        assert_int_equal(Intake_Add(&intake, &crowd[i]), 0);
    }
    assert_int_equal(Intake_Add(&intake, &ordinary), 0);
    for (int i = 200; i < 300; i++) {
        assert_int_equal(Intake_Add(&intake, &crowd[i]), 0);
        assert_ptr_not_equal(latest, &ordinary);
    }
}

/* A request that is complete has been promised an answer. */
static void
a_connection_that_waits_for_its_answer_is_not_evicted(void **state)
{
    (void)state;
    for (uint32_t i = 0; i < intake.max_items; i++) {
        assert_int_equal(Intake_Add(&intake, &crowd[i]), 0);
        Intake_SetWaiting(&intake, &crowd[i], 0);
    }
    assert_int_equal(Intake_Add(&intake, &ordinary), -1);
    assert_int_equal(evicted_for_connections, 0);
    Intake_SetWaiting(&intake, &crowd[7], 1);
    assert_int_equal(Intake_Add(&intake, &ordinary), 0);
    assert_ptr_equal(latest, &crowd[7]);
}

static void
bodies_stay_within_the_limit(void **state)
{
    (void)state;
    for (uint32_t i = 0; i < 100; i++) {
        assert_int_equal(Intake_Add(&intake, &crowd[i]), 0);
        for (int piece = 0; piece < 64; piece++) {
            Intake_Reserve(&intake, &crowd[i], 4 * KIB);
            assert_true(intake.bytes <= intake.max_bytes);
        }
    }
    assert_true(evicted_for_memory >= 100 - 64);
}

/* A small body is read while the crowd holds all the memory, and so is one as
 * large as the crowd's. */
static void
an_ordinary_body_is_read_beside_a_crowd(void **state)
{
    (void)state;
    for (uint32_t i = 0; i < 64; i++) {
        assert_int_equal(Intake_Add(&intake, &crowd[i]), 0);
        assert_int_equal(Intake_Reserve(&intake, &crowd[i], 256 * KIB), 0);
    }
    assert_true(intake.bytes == intake.max_bytes);
    assert_int_equal(Intake_Add(&intake, &ordinary), 0);
    assert_int_equal(Intake_Reserve(&intake, &ordinary, 4 * KIB), 0);
    assert_ptr_equal(latest, &crowd[0]);
    assert_int_equal(Intake_Reserve(&intake, &ordinary, 252 * KIB), 0);
    assert_int_equal(evicted_for_memory, 1);
}

/* It would evict all others for itself. */
static void
the_largest_body_is_itself_refused(void **state)
{
    (void)state;
    for (uint32_t i = 0; i < 64; i++) {
        assert_int_equal(Intake_Add(&intake, &crowd[i]), 0);
        assert_int_equal(Intake_Reserve(&intake, &crowd[i], 256 * KIB), 0);
    }
    assert_int_equal(Intake_Add(&intake, &ordinary), 0);
    assert_int_equal(Intake_Reserve(&intake, &ordinary, 257 * KIB), -1);
    assert_int_equal(evicted_for_memory, 0);
}

/* What connections hold beside their bodies, such as that of TLS. */
static void
held_memory_stays_within_the_limit(void **state)
{
    (void)state;
    Intake_Init(&intake, 64, 100000);
    for (int i = 0; i < CROWD; i++) {
        assert_int_equal(Intake_Add(&intake, &crowd[i]), 0);
        assert_int_equal(Intake_SetHeld(&intake, &crowd[i], 130 * KIB), 0);
        assert_true(intake.held <= intake.max_held);
    }
    assert_true(evicted_for_connections > 0);
    /* A young one gets its place and keeps it. */
    assert_int_equal(Intake_Add(&intake, &ordinary), 0);
    assert_int_equal(Intake_SetHeld(&intake, &ordinary, 130 * KIB), 0);
    for (int i = 0; i < 20; i++) {
        assert_int_equal(Intake_SetHeld(&intake, &crowd[CROWD - 1],
                                        (uint64_t)i * 130 * KIB),
                         0);
        assert_ptr_not_equal(latest, &ordinary);
        assert_ptr_not_equal(latest, &crowd[CROWD - 1]);
    }
}

/* It is never evicted in favour of itself. */
static void
a_connection_that_holds_too_much_is_refused(void **state)
{
    (void)state;
    assert_int_equal(Intake_Add(&intake, &crowd[0]), 0);
    assert_int_equal(Intake_Add(&intake, &ordinary), 0);
    assert_int_equal(Intake_SetHeld(&intake, &ordinary, 17u << 20), -1);
    assert_ptr_equal(latest, &crowd[0]);
    assert_int_equal(intake.items, 1);
    Intake_Remove(&intake, &ordinary);
    assert_true(intake.held == 0);
}

static void
all_memory_is_released(void **state)
{
    (void)state;
    for (int round = 0; round < 10; round++) {
        for (uint32_t i = 0; i < 100; i++) {
            assert_int_equal(Intake_Add(&intake, &crowd[i]), 0);
            Intake_Reserve(&intake, &crowd[i], 256 * KIB);
            Intake_SetHeld(&intake, &crowd[i], 40 * KIB);
            Intake_SetWaiting(&intake, &crowd[i], (int)i % 2);
        }
        for (uint32_t i = 0; i < 100; i++) {
            Intake_Remove(&intake, &crowd[i]);
        }
        assert_true(intake.bytes == 0);
        assert_true(intake.held == 0);
        assert_int_equal(intake.items, 0);
        assert_null(intake.waiting);
    }
}

#define TEST(f) cmocka_unit_test_setup(f, set_up)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        TEST(limits_follow_the_machine),
        TEST(connections_stay_within_the_limit),
        TEST(a_young_connection_is_not_evicted),
        TEST(a_connection_that_waits_for_its_answer_is_not_evicted),
        TEST(bodies_stay_within_the_limit),
        TEST(an_ordinary_body_is_read_beside_a_crowd),
        TEST(the_largest_body_is_itself_refused),
        TEST(held_memory_stays_within_the_limit),
        TEST(a_connection_that_holds_too_much_is_refused),
        TEST(all_memory_is_released),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
