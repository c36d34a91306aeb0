/* Reads of the tables at the start of a process.
 *
 * Guards against a start that waits for the whole time-out of a call because
 * its connection has become silent, while a new connection would be served;
 * and against answers that arrive after a later one was applied. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "shell/httpd.h"
#include "shell/store.h"

#define PORT 23900
/* Time after which the test is considered hung. */
#define TIMEOUT_S 60
#define MAX_REQUESTS 32
#define TICK_US (10 * US_PER_MS)

static struct loop loop;
static struct httpd server;
static struct store store;
static struct loop_timer timer;
static struct counters counters;
static char listen_addr[32];
static conn_id requests[MAX_REQUESTS];
static int request_count;
static int silent_count; /* Number of requests that get no answer at first. */
static int delivered;
static uint64_t delivered_version;

static void
answer(conn_id conn, unsigned version)
{
    char body[128];
    snprintf(body, sizeof(body),
             "{\"rows\":[],\"hasMore\":false,\"versionNumber\":%u,"
             "\"nowMs\":1}",
             version);
    Hs_ReplyJson(&server, conn, 200, body);
}

static void
on_request(void *context, const struct hs_request *request)
{
    (void)context;
    assert_true(request_count < MAX_REQUESTS);
    requests[request_count++] = request->conn;
    if (request_count > silent_count && !strstr(request->path, "feed")) {
        answer(request->conn, 9);
    }
}

static void
on_rows(void *context, const struct store_result *result)
{
    (void)context;
    assert_int_equal(result->code, CODE_OK);
    delivered++;
    delivered_version =
        (uint64_t)json_integer_value(json_object_get(result->body, "version"));
}

static void
on_tick(void *context)
{
    (void)context;
    Store_OnTick(&store, Loop_Now());
}

static int
set_up(void **state)
{
    static int round;
    struct err err = {0};
    unsigned pid = (unsigned)getpid();
    (void)state;
    alarm(TIMEOUT_S);
    memset(&counters, 0, sizeof(counters));
    request_count = silent_count = delivered = 0;
    delivered_version = 0;
    snprintf(listen_addr, sizeof(listen_addr), "127.%u.%u.%u:%d",
             1 + (pid >> 16 & 63), pid >> 8 & 255, 1 + (pid & 255) % 254,
             PORT + round++);
    assert_int_equal(Loop_Init(&loop, &err), 0);
    assert_int_equal(Hs_Init(&server, &loop, listen_addr, NULL, NULL,
                             on_request, NULL, NULL, &counters, &err),
                     0);
    assert_int_equal(Store_Init(&store, &loop, listen_addr, STORE_PLATFORM,
                                &counters, &err),
                     0);
    assert_int_equal(Loop_Every(&loop, &timer, TICK_US, on_tick, NULL), 0);
    return 0;
}

static int
tear_down(void **state)
{
    (void)state;
    Loop_Finish(&loop);
    Store_Finish(&store);
    Hs_Finish(&server);
    alarm(0);
    return 0;
}

/* Runs the loop until both tables have been read. */
static void
run_until_read(void)
{
    while (delivered_version == 0) {
        assert_true(lws_service(loop.lws, 0) >= 0);
    }
}

static void
both_tables_are_read(void **state)
{
    (void)state;
    Store_Follow(&store, on_rows, NULL);
    run_until_read();
    assert_int_equal(delivered_version, 9);
}

/* The first call for each table gets no answer. The tables are read before
 * those calls are given up. */
static void
a_silent_connection_does_not_delay_the_first_read(void **state)
{
    (void)state;
    silent_count = PF_TABLE_COUNT;
    Store_Follow(&store, on_rows, NULL);
    run_until_read();
    assert_int_equal(delivered_version, 9);
    for (int i = 0; i < PF_TABLE_COUNT; i++) {
        assert_true(store.feeds[i].calls[0].is_busy);
        assert_true(store.feeds[i].calls[0].step == 0);
    }
}

/* The service answers the first calls with what it had then, after the second
 * ones have been applied. */
static void
a_late_answer_is_ignored(void **state)
{
    (void)state;
    silent_count = PF_TABLE_COUNT;
    Store_Follow(&store, on_rows, NULL);
    run_until_read();
    int before = delivered;
    for (int i = 0; i < PF_TABLE_COUNT; i++) {
        answer(requests[i], 5);
    }
    while (store.feeds[0].calls[0].is_busy ||
           store.feeds[1].calls[0].is_busy) {
        assert_true(lws_service(loop.lws, 0) >= 0);
    }
    assert_int_equal(delivered, before);
    assert_int_equal(delivered_version, 9);
    for (int i = 0; i < PF_TABLE_COUNT; i++) {
        assert_true(store.feeds[i].after == 9);
    }
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        TEST(both_tables_are_read),
        TEST(a_silent_connection_does_not_delay_the_first_read),
        TEST(a_late_answer_is_ignored),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
