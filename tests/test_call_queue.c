/* More calls at a time than an HTTP client has connections.
 *
 * Guards against calls that are ended within the call that starts them, by
 * which agents freed what they had just started, and against an upstream that
 * counts as unreachable because all connections to it are in use. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "shell/call_queue.h"
#include "shell/httpd.h"

#define PORT 23800
#define TIMEOUT_S 60
#define CONNECTIONS 6
#define RESERVED 2
#define CALLS 200

static struct loop loop;
static struct httpd server;
static struct httpc client;
static struct call_queue queue;
static struct counters counters;
static char listen_addr[32];
static int served;   /* Number of requests that the server has answered. */
static int is_stale; /* Calls must not be sent any more. */
static int is_adding;
static int answered;
static int not_sent;
static int last_number; /* Of the latest call that was answered. */
static int answered_before_urgent;

static void
on_request(void *context, const struct hs_request *request)
{
    (void)context;
    served++;
    assert_int_equal(Hs_ReplyJson(&server, request->conn, 200, "{}"), 0);
}

static int
begin(void *context)
{
    (void)context;
    return is_stale ? -1 : 0;
}

static void
on_done(void *context, const struct hc_result *result)
{
    int number = *(int *)context;
    free(context);
    assert_false(is_adding);
    if (result->status == 200) {
        answered++;
        last_number = number;
        if (number == CALLS) {
            answered_before_urgent = answered - 1;
        }
    }
    not_sent += !result->sent && result->status == 0;
}

static int
set_up(void **state)
{
    struct err err = {0};
    unsigned pid = (unsigned)getpid();
    (void)state;
    alarm(TIMEOUT_S);
    memset(&counters, 0, sizeof(counters));
    served = is_stale = is_adding = answered = not_sent = 0;
    last_number = answered_before_urgent = -1;
    /* Each process has an address of its own, so that copies of this test can
     * run at the same time. */
    snprintf(listen_addr, sizeof(listen_addr), "127.%u.%u.%u:%d",
             1 + (pid >> 16 & 63), pid >> 8 & 255, 1 + (pid & 255) % 254,
             PORT);
    assert_int_equal(Loop_Init(&loop, &err), 0);
    assert_int_equal(Hs_Init(&server, &loop, listen_addr, NULL, NULL,
                             on_request, NULL, NULL, &counters, &err),
                     0);
    assert_int_equal(Hc_Init(&client, &loop, CONNECTIONS, &err), 0);
    Cq_Init(&queue, &client, CONNECTIONS, RESERVED, begin, &counters);
    return 0;
}

static int
tear_down(void **state)
{
    (void)state;
    Loop_Finish(&loop);
    Cq_Finish(&queue);
    Hc_Finish(&client);
    Hs_Finish(&server);
    alarm(0);
    return 0;
}

static void
add(int number, const char *addr, int is_urgent)
{
    int *context = malloc(sizeof(*context));
    struct hc_call call = {.addr = addr,
                           .method = "POST",
                           .path = "/order",
                           .body = {"{}", 2},
                           .extra_name = "Instance:",
                           .extra_value = "i-1",
                           .timeout_ms = 30000,
                           .done = on_done,
                           .context = context};
    *context = number;
    is_adding = 1;
    Cq_Add(&queue, &call, is_urgent);
    is_adding = 0;
}

static void
run_until(const int *value, int wanted)
{
    while (*value < wanted) {
        assert_true(lws_service(loop.lws, 0) >= 0);
    }
}

static void
calls_beyond_the_connections_are_sent_in_turn(void **state)
{
    (void)state;
    for (int i = 0; i < CALLS; i++) {
        add(i, listen_addr, 0);
    }
    run_until(&answered, CALLS);
    assert_int_equal(not_sent, 0);
    assert_int_equal(served, CALLS);
    assert_int_equal(last_number, CALLS - 1);
    assert_int_equal(counters.value[CTR_calls_queued],
                     CALLS - (CONNECTIONS - RESERVED));
    assert_null(queue.waiting);
}

/* Polls renew the leases of what runs already. */
static void
an_urgent_call_does_not_wait_for_the_others(void **state)
{
    (void)state;
    for (int i = 0; i < CALLS; i++) {
        add(i, listen_addr, 0);
    }
    add(CALLS, listen_addr, 1);
    run_until(&answered, CALLS + 1);
    assert_in_range(answered_before_urgent, 0, CALLS / 2);
    assert_int_equal(not_sent, 0);
}

static void
a_call_that_must_not_be_sent_any_more_is_told_so(void **state)
{
    (void)state;
    for (int i = 0; i < CALLS; i++) {
        add(i, listen_addr, 0);
    }
    is_stale = 1;
    run_until(&not_sent, CALLS - (CONNECTIONS - RESERVED));
    run_until(&answered, CONNECTIONS - RESERVED);
    assert_int_equal(served, CONNECTIONS - RESERVED);
}

/* No call in flight would start those that wait. */
static void
a_call_that_cannot_be_sent_ends_with_the_next_tick(void **state)
{
    (void)state;
    add(0, "nowhere", 0);
    add(1, "nowhere", 0);
    assert_int_equal(not_sent, 0);
    Cq_OnTick(&queue);
    assert_int_equal(not_sent, 2);
    add(2, listen_addr, 0);
    run_until(&answered, 1);
}

static void
calls_that_wait_are_freed_at_the_end(void **state)
{
    (void)state;
    for (int i = 0; i < CALLS; i++) {
        add(i, listen_addr, 0);
    }
    Cq_Finish(&queue);
    assert_null(queue.waiting);
    run_until(&answered, CONNECTIONS - RESERVED);
}

int
main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)
    const struct CMUnitTest tests[] = {
        TEST(calls_beyond_the_connections_are_sent_in_turn),
        TEST(an_urgent_call_does_not_wait_for_the_others),
        TEST(a_call_that_must_not_be_sent_any_more_is_told_so),
        TEST(a_call_that_cannot_be_sent_ends_with_the_next_tick),
        TEST(calls_that_wait_are_freed_at_the_end),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
