/* Reads of the tables at the start of a process.
 *
 * Guards against a start that waits for the whole time-out of a call because
 * its connection has become silent, while a new connection would be served;
 * against answers that arrive after a later one was applied; against a
 * configuration that others take for an older one than they have, because a
 * row was removed before the start; and against changes that are lost while a
 * table is read page by page. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
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
static const char *operator_rows; /* Rows of the operator's table. */
static uint64_t config_version;   /* Of the row last delivered, 0 for none. */
static uint64_t routes_version;   /* Likewise. */
static int lost_feeds;            /* Number of feeds answered with 410. */
static unsigned read_version;     /* Of the answers to full reads. */
static unsigned page_version;     /* Of second pages; 0 if there are none. */
static unsigned long long followed_from; /* The last feed of the operator's
                                            table started there. */

static void
answer_page(conn_id conn, const char *rows, unsigned version, int has_more)
{
    char body[512];
    snprintf(body, sizeof(body),
             "{\"rows\":[%s],\"hasMore\":%s,\"versionNumber\":%u,"
             "\"nowMs\":1}",
             rows, has_more ? "true" : "false", version);
    Hs_ReplyJson(&server, conn, 200, body);
}

static void
answer_rows(conn_id conn, const char *rows, unsigned version)
{
    answer_page(conn, rows, version, 0);
}

static void
answer(conn_id conn, unsigned version)
{
    answer_rows(conn, "", version);
}

static void
on_request(void *context, const struct hs_request *request)
{
    (void)context;
    assert_true(request_count < MAX_REQUESTS);
    requests[request_count++] = request->conn;
    int is_operator = strstr(request->query, "table=op") != NULL;
    if (strstr(request->path, "feed")) {
        if (is_operator) {
            followed_from =
                strtoull(strstr(request->query, "after=") + 6, NULL, 10);
        }
        if (lost_feeds > 0) {
            lost_feeds--;
            read_version = 12;
            Hs_ReplyJson(&server, request->conn, 410, "{}");
        }
    }
    else if (is_operator && page_version && strstr(request->query, "from=")) {
        answer_rows(request->conn, "", page_version);
    }
    else if (request_count > silent_count) {
        answer_page(request->conn, is_operator ? operator_rows : "",
                    read_version, is_operator && page_version);
    }
}

static void
on_rows(void *context, const struct store_result *result)
{
    size_t i;
    const json_t *row;
    (void)context;
    assert_int_equal(result->code, CODE_OK);
    json_array_foreach(json_object_get(result->body, "rows"), i, row)
    {
        const char *key = json_string_value(json_object_get(row, "key"));
        uint64_t version =
            (uint64_t)json_integer_value(json_object_get(row, "version"));
        config_version =
            strcmp(key, PF_ROW_CONFIG) == 0 ? version : config_version;
        routes_version =
            strcmp(key, PF_ROW_ROUTES) == 0 ? version : routes_version;
    }
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
    delivered_version = config_version = routes_version = 0;
    operator_rows = "";
    lost_feeds = 0;
    page_version = 0;
    followed_from = 0;
    read_version = 9;
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

/* {"routes": [{"name": "r", "host": "h", "prefix": "/", "service": "s"}]} */
#define CONFIG                                                                \
    "{\"table\":\"op\",\"part\":\"\",\"key\":\"config\",\"versionNumber\":4," \
    "\"value\":\"eyJyb3V0ZXMiOiBbeyJuYW1lIjogInIiLCAiaG9zdCI6ICJoIiwgInByZ"   \
    "WZpeCI6ICIvIiwgInNlcnZpY2UiOiAicyJ9XX0=\"}"

/* An evacuation of version 8 that was removed before the process started is
 * still in force at agents. The configuration without it replaces it there if
 * its version is that of the read, not that of the rows which are left. */
static void
configuration_has_the_version_of_its_read(void **state)
{
    (void)state;
    operator_rows = CONFIG;
    Store_Follow(&store, on_rows, NULL);
    run_until_read();
    assert_int_equal(config_version, 9);
    assert_int_equal(routes_version, 4);
}

/* As above, for a process that is up: the configuration in force may have come
 * from another entry, and then its own reads never had the row that was
 * removed. */
static void
configuration_has_the_version_of_a_later_read(void **state)
{
    (void)state;
    operator_rows = CONFIG;
    lost_feeds = PF_TABLE_COUNT;
    Store_Follow(&store, on_rows, NULL);
    while (delivered_version != 12) {
        assert_true(lws_service(loop.lws, 0) >= 0);
    }
    assert_int_equal(config_version, 12);
    assert_int_equal(routes_version, 4);
}

/* The second page is of a later version than the first one. What changed in
 * the first one between the two is in neither: the feed has to start at the
 * version of the first page. */
static void
changes_are_followed_from_the_first_page(void **state)
{
    (void)state;
    operator_rows = CONFIG;
    page_version = 11;
    Store_Follow(&store, on_rows, NULL);
    while (followed_from == 0) {
        assert_true(lws_service(loop.lws, 0) >= 0);
    }
    assert_int_equal(followed_from, 9);
    assert_int_equal(config_version, 9);
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        TEST(both_tables_are_read),
        TEST(a_silent_connection_does_not_delay_the_first_read),
        TEST(a_late_answer_is_ignored),
        TEST(configuration_has_the_version_of_its_read),
        TEST(configuration_has_the_version_of_a_later_read),
        TEST(changes_are_followed_from_the_first_page),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
