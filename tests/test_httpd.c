/* Requests that reach the HTTP server before or after their client has left.
 * What a client sent stays readable after it has closed or reset its
 * connection; it then sends the same request elsewhere. */
#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cmocka.h>

#include "base/addr.h"
#include "shell/httpd.h"

#define PORT 20700
#define MAX_HANDLED 80
/* Time after which the test is considered hung. */
#define TIMEOUT_S 300

#define HEADERS(path, size)                                                   \
    "POST " path " HTTP/1.1\r\nHost: a.example\r\nContent-Length: " size      \
    "\r\n\r\n"
#define GET(path) "GET " path " HTTP/1.1\r\nHost: a.example\r\n\r\n"
/* Path of the requests that show how far the server has come. */
#define PROBE "/probe"
/* Path of the requests that are not answered. */
#define WAIT "/wait"
/* Path of the requests that get LARGE_SIZE bytes. */
#define LARGE "/large"
#define LARGE_SIZE (8u << 20)
#define BODY "{\"steps\":[]}"
#define POST(path) HEADERS(path, "12") BODY

/* How a client leaves. */
enum leave { STAY, CLOSE, RESET, CLOSE_WRITING };

static struct loop loop;
static struct httpd server;
static struct counters counters;
static char listen_addr[32];
static char handled[MAX_HANDLED][HS_PATH_SIZE];
static uint32_t handled_size[MAX_HANDLED];
static char handled_host[HS_HEADER_SIZE];
static int handled_count;
static int answered_count;
static int probes_answered;
static int closed_count;
static int waiting_count;

static void
reply_large(conn_id conn)
{
    static char body[LARGE_SIZE];
    struct hs_reply reply = {
        .status = 200, .type = "text/plain", .body = {body, sizeof(body)}};
    assert_int_equal(Hs_Reply(&server, conn, &reply), 0);
}

static void
on_request(void *context, const struct hs_request *request)
{
    static const int is_probe = 1;
    (void)context;
    if (strcmp(request->path, WAIT) == 0) {
        waiting_count++;
        return;
    }
    if (strcmp(request->path, PROBE) == 0) {
        Hs_SetUser(&server, request->conn, &is_probe, sizeof(is_probe));
    }
    else {
        assert_true(handled_count < MAX_HANDLED);
        handled_size[handled_count] = request->body.size;
        memcpy(handled[handled_count++], request->path, HS_PATH_SIZE);
        memcpy(handled_host, request->host, HS_HEADER_SIZE);
    }
    if (strcmp(request->path, LARGE) == 0) {
        reply_large(request->conn);
        return;
    }
    assert_int_equal(
        Hs_ReplyJson(&server, request->conn, 200, "{\"state\":\"queued\"}"),
        0);
}

static void
on_sent(void *context, conn_id conn, const void *user)
{
    int is_probe;
    (void)context;
    (void)conn;
    memcpy(&is_probe, user, sizeof(is_probe));
    if (is_probe) {
        probes_answered++;
    }
    else {
        answered_count++;
    }
}

static void
on_closed(void *context, conn_id conn, const void *user)
{
    (void)context;
    (void)conn;
    (void)user;
    closed_count++;
}

static int
set_up(void **state)
{
    static int round;
    struct err err = {0};
    /* Each process has an address of its own, so that copies of this test can
     * run at the same time. */
    unsigned pid = (unsigned)getpid();
    (void)state;
    alarm(TIMEOUT_S);
    memset(&counters, 0, sizeof(counters));
    memset(handled, 0, sizeof(handled));
    handled_count = 0;
    answered_count = 0;
    probes_answered = 0;
    closed_count = 0;
    waiting_count = 0;
    snprintf(listen_addr, sizeof(listen_addr), "127.%u.%u.%u:%d",
             1 + (pid >> 16 & 63), pid >> 8 & 255, 1 + (pid & 255) % 254,
             PORT + round++);
    assert_int_equal(Loop_Init(&loop, &err), 0);
    assert_int_equal(Hs_Init(&server, &loop, listen_addr, NULL, NULL,
                             on_request, on_sent, NULL, &counters, &err),
                     0);
    server.closed = on_closed;
    return 0;
}

static int
tear_down(void **state)
{
    (void)state;
    Loop_Finish(&loop);
    Hs_Finish(&server);
    alarm(0);
    return 0;
}

static int
open_client(void)
{
    struct sockaddr_in addr = {.sin_family = AF_INET};
    char host[HS_HEADER_SIZE];
    int port;
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_true(fd >= 0);
    assert_int_equal(Addr_Split(listen_addr, host, sizeof(host), &port), 0);
    assert_int_equal(inet_pton(AF_INET, host, &addr.sin_addr), 1);
    addr.sin_port = htons((uint16_t)port);
    assert_int_equal(setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on)),
                     0);
    assert_int_equal(connect(fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
    return fd;
}

static void
send_text(int fd, const char *text)
{
    assert_int_equal(send(fd, text, strlen(text), MSG_NOSIGNAL), strlen(text));
}

static void
leave(int fd, enum leave how)
{
    struct linger reset = {.l_onoff = 1, .l_linger = 0};
    switch (how) {
    case STAY:
        return;
    case CLOSE_WRITING:
        assert_int_equal(shutdown(fd, SHUT_WR), 0);
        return;
    case RESET:
        assert_int_equal(
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset)), 0);
        break;
    case CLOSE:
        break;
    }
    close(fd);
}

/* Runs the server until it has answered `count` requests other than probes. */
static void
run_until_answered(int count)
{
    while (answered_count < count) {
        assert_true(lws_service(loop.lws, 0) >= 0);
    }
}

/* Runs the server until the requests of two clients that came later, one after
 * the other, are answered, so that all that came before has been read. */
static void
run_server(void)
{
    for (int i = 0; i < 2; i++) {
        int before = probes_answered;
        int fd = open_client();
        send_text(fd, GET(PROBE));
        while (probes_answered == before) {
            assert_true(lws_service(loop.lws, 0) >= 0);
        }
        close(fd);
    }
}

/* A request that matches no route because its path or host was cut short is
 * answered as if there were no such route. */
static void
long_paths_and_hosts_are_kept_whole(void **state)
{
    char path[2001] = "/";
    char host[260];
    char padding[8001];
    char request[12000];
    (void)state;
    memset(path + 1, 'p', 1999);
    memset(host, 'h', 253);
    memcpy(host + 253, ":65535", sizeof(":65535"));
    memset(padding, 'x', 8000);
    path[2000] = padding[8000] = '\0';
    snprintf(request, sizeof(request),
             "GET %s HTTP/1.1\r\nHost: %s\r\nPadding: %s\r\n\r\n", path, host,
             padding);
    int fd = open_client();
    send_text(fd, request);
    run_until_answered(1);
    assert_string_equal(handled[0], path);
    assert_string_equal(handled_host, host);
    close(fd);
}

static const enum leave ways_to_leave[] = {CLOSE, RESET};
#define LEAVE_COUNT (sizeof(ways_to_leave) / sizeof(ways_to_leave[0]))

static void
a_request_of_a_closed_connection_is_not_handled(void **state)
{
    static const char *const requests[] = {
        POST("/job"),
        GET("/job"),
        "DELETE /job HTTP/1.1\r\nHost: a.example\r\n\r\n",
        HEADERS("/job", "99999999"),
    };
    uint32_t slot = 0;
    (void)state;
    for (size_t how = 0; how < LEAVE_COUNT; how++) {
        for (size_t i = 0; i < sizeof(requests) / sizeof(requests[0]); i++) {
            int fd = open_client();
            send_text(fd, requests[i]);
            leave(fd, ways_to_leave[how]);
            run_server();
            assert_int_equal(handled_count, 0);
            assert_int_equal(counters.value[CTR_requests_abandoned],
                             how * 4 + i + 1);
        }
    }
    /* A handler that was not called hears nothing of the connection. */
    assert_int_equal(closed_count, 0);
    assert_null(Tab_Next(&server.conns, &slot));
}

static void
a_request_in_two_segments_of_a_closed_connection_is_not_handled(void **state)
{
    (void)state;
    for (size_t how = 0; how < LEAVE_COUNT; how++) {
        for (int headers_are_read = 0; headers_are_read < 2;
             headers_are_read++) {
            int fd = open_client();
            send_text(fd, HEADERS("/job", "12"));
            if (headers_are_read) {
                run_server();
            }
            send_text(fd, BODY);
            leave(fd, ways_to_leave[how]);
            run_server();
            assert_int_equal(handled_count, 0);
        }
    }
    assert_int_equal(counters.value[CTR_requests_abandoned], 4);
}

/* The first request has been answered when the second one is sent. */
static void
a_later_request_of_a_closed_connection_is_not_handled(void **state)
{
    char answer[512];
    (void)state;
    for (size_t how = 0; how < LEAVE_COUNT; how++) {
        int fd = open_client();
        handled_count = 0;
        send_text(fd, POST("/first"));
        run_until_answered(answered_count + 1);
        assert_true(recv(fd, answer, sizeof(answer), 0) > 0);
        send_text(fd, POST("/second"));
        leave(fd, ways_to_leave[how]);
        run_server();
        assert_int_equal(handled_count, 1);
        assert_string_equal(handled[0], "/first");
    }
    assert_int_equal(counters.value[CTR_requests_abandoned], 2);
}

static void
pipelined_requests_of_a_closed_connection_are_not_handled(void **state)
{
    (void)state;
    for (size_t how = 0; how < LEAVE_COUNT; how++) {
        int fd = open_client();
        send_text(fd, POST("/first") GET("/second"));
        leave(fd, ways_to_leave[how]);
        run_server();
        assert_int_equal(handled_count, 0);
    }
}

/* The second request waits, read, until the first one is answered; its client
 * leaves meanwhile. */
static void
a_pipelined_request_is_not_handled_once_its_client_has_left(void **state)
{
    (void)state;
    for (size_t how = 0; how < LEAVE_COUNT; how++) {
        int fd = open_client();
        handled_count = 0;
        send_text(fd, POST("/first") GET("/second"));
        while (handled_count == 0) {
            assert_true(lws_service(loop.lws, 0) >= 0);
        }
        assert_int_equal(handled_count, 1);
        leave(fd, ways_to_leave[how]);
        run_server();
        assert_int_equal(handled_count, 1);
    }
}

static void
requests_of_open_connections_are_handled(void **state)
{
    int whole = open_client();
    int parts = open_client();
    (void)state;
    send_text(whole, POST("/whole"));
    run_server();
    send_text(parts, HEADERS("/parts", "12"));
    run_server();
    send_text(parts, BODY);
    run_server();
    assert_int_equal(handled_count, 2);
    assert_string_equal(handled[0], "/whole");
    assert_string_equal(handled[1], "/parts");
    assert_int_equal(counters.value[CTR_requests_abandoned], 0);
    close(whole);
    close(parts);
}

static void
pipelined_requests_of_an_open_connection_are_handled(void **state)
{
    int fd = open_client();
    (void)state;
    send_text(fd, POST("/first") GET("/second") GET("/third"));
    run_until_answered(3);
    assert_int_equal(handled_count, 3);
    assert_string_equal(handled[0], "/first");
    assert_string_equal(handled[1], "/second");
    assert_string_equal(handled[2], "/third");
    assert_int_equal(counters.value[CTR_requests_abandoned], 0);
    close(fd);
}

/* The end of a client's stream tells nothing of whether it still reads, and
 * callers of HTTP keep theirs open until they have their answer. */
static void
a_client_that_ends_its_stream_has_left(void **state)
{
    char answer[512];
    int fd = open_client();
    (void)state;
    send_text(fd, POST("/job"));
    leave(fd, CLOSE_WRITING);
    run_server();
    assert_int_equal(handled_count, 0);
    assert_int_equal(counters.value[CTR_requests_abandoned], 1);
    assert_int_equal(recv(fd, answer, sizeof(answer), 0), 0);
    close(fd);
}

/* A heartbeat or another report stays true when its sender no longer waits. */
static void
a_server_of_reports_handles_those_of_closed_connections(void **state)
{
    (void)state;
    server.handle_abandoned = 1;
    for (size_t how = 0; how < LEAVE_COUNT; how++) {
        int fd = open_client();
        handled_count = 0;
        send_text(fd, POST("/report"));
        leave(fd, ways_to_leave[how]);
        run_server();
        assert_int_equal(handled_count, 1);
        assert_string_equal(handled[0], "/report");
    }
    assert_int_equal(counters.value[CTR_requests_abandoned], 2);
}

/* The server's loop does not run between the client's leaving and the drop. */
static void
a_waiting_client_that_has_left_is_dropped_before_other_events(void **state)
{
    (void)state;
    for (size_t how = 0; how < LEAVE_COUNT; how++) {
        int fd = open_client();
        closed_count = 0;
        waiting_count = 0;
        send_text(fd, POST(WAIT));
        run_server();
        assert_int_equal(waiting_count, 1);
        Hs_DropLeft(&server);
        assert_int_equal(closed_count, 0);
        leave(fd, ways_to_leave[how]);
        usleep(20000);
        Hs_DropLeft(&server);
        assert_int_equal(closed_count, 1);
        Hs_DropLeft(&server);
        run_server();
        assert_int_equal(closed_count, 1);
        assert_int_equal(server.conns.used, 0);
    }
}

/* Sends `text` in segments of random sizes, and lets the server read each
 * before the next. */
static void
send_in_segments(int fd, const char *text, unsigned *seed)
{
    size_t size = strlen(text);
    while (size) {
        size_t part = (size_t)rand_r(seed) % 120 + 1;
        part = part < size ? part : size;
        assert_int_equal(send(fd, text, part, MSG_NOSIGNAL), part);
        for (int i = 0; i < 3; i++) {
            lws_cancel_service(loop.lws);
            assert_true(lws_service(loop.lws, 0) >= 0);
        }
        text += part;
        size -= part;
    }
}

/* libwebsockets gives a body behind another request wrong bytes, and never
 * returns to the loop. */
static void
pipelined_bodies_are_handled_in_order(void **state)
{
    static const char *const streams[] = {
        POST("/1") POST("/2"),
        GET("/1") POST("/2"),
        POST("/1") POST("/2") POST("/3") POST("/4"),
        GET("/1") GET("/2") POST("/3") GET("/4") POST("/5"),
    };
    static const int counts[] = {2, 2, 4, 5};
    char path[16];
    (void)state;
    for (size_t i = 0; i < sizeof(streams) / sizeof(streams[0]); i++) {
        for (unsigned seed = 0; seed < 50; seed++) {
            unsigned random = seed;
            int fd = open_client();
            int before = answered_count;
            handled_count = 0;
            if (seed == 0) {
                send_text(fd, streams[i]);
            }
            else {
                send_in_segments(fd, streams[i], &random);
            }
            run_until_answered(before + counts[i]);
            assert_int_equal(handled_count, counts[i]);
            for (int n = 0; n < handled_count; n++) {
                snprintf(path, sizeof(path), "/%d", n + 1);
                assert_string_equal(handled[n], path);
                assert_true(handled_size[n] == 0 || handled_size[n] == 12);
            }
            assert_int_equal(handled_size[counts[i] - 1], 12);
            close(fd);
        }
    }
}

static void
many_pipelined_bodies_are_handled(void **state)
{
    int fd = open_client();
    (void)state;
    for (int i = 0; i < 64; i++) {
        send_text(fd, POST("/job"));
    }
    run_until_answered(64);
    assert_int_equal(handled_count, 64);
    close(fd);
}

/* The second request must not hide that the client has left, as its first one
 * would go on beside the copy that it submits elsewhere. */
static void
a_client_that_leaves_is_noticed_behind_a_second_request(void **state)
{
    (void)state;
    for (size_t how = 0; how < LEAVE_COUNT; how++) {
        int fd = open_client();
        closed_count = 0;
        waiting_count = 0;
        send_text(fd, POST(WAIT) GET("/second"));
        run_server();
        assert_int_equal(waiting_count, 1);
        leave(fd, ways_to_leave[how]);
        run_server();
        assert_int_equal(closed_count, 1);
        assert_int_equal(handled_count, 0);
    }
}

static void
a_chunked_body_is_handled(void **state)
{
    int fd = open_client();
    (void)state;
    send_text(fd, "POST /chunked HTTP/1.1\r\nHost: a.example\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n"
                  "5\r\n{\"ste\r\n7;x=y\r\nps\":[]}\r\n0\r\nTrailer: x\r\n"
                  "\r\n" POST("/next"));
    run_until_answered(2);
    assert_int_equal(handled_size[0], 12);
    assert_string_equal(handled[1], "/next");
    close(fd);
}

/* Reads the answer, which must be the last one. */
static void
assert_closed_after(int fd, const char *status)
{
    char answer[512] = "";
    size_t size = 0;
    ssize_t got;
    for (int i = 0; i < 3; i++) {
        run_server();
    }
    while ((got = recv(fd, answer + size, sizeof(answer) - 1 - size, 0)) > 0) {
        size += (size_t)got;
    }
    assert_int_equal(got, 0);
    assert_memory_equal(answer, status, strlen(status));
    assert_non_null(strstr(answer, "Connection: close"));
    close(fd);
}

static void
what_is_not_http_is_refused(void **state)
{
    static const char both_lengths[] =
        "POST /job HTTP/1.1\r\nContent-Length: 5\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    static const char *const requests[] = {
        "POST /job HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        "POST /job HTTP/1.1\r\nno colon\r\n\r\n",
        "POST /a%00b HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST /a%4 HTTP/1.1\r\nHost: a\r\n\r\n",
        both_lengths,
    };
    (void)state;
    for (size_t i = 0; i < sizeof(requests) / sizeof(requests[0]); i++) {
        int fd = open_client();
        send_text(fd, requests[i]);
        assert_closed_after(fd, "HTTP/1.1 400 ");
    }
    assert_int_equal(handled_count, 0);
}

static void
a_head_over_the_limit_is_refused(void **state)
{
    static char text[20000];
    int fd = open_client();
    (void)state;
    int size = snprintf(text, sizeof(text), "GET /job HTTP/1.1\r\nPadding: ");
    memset(text + size, 'x', sizeof(text) - (size_t)size - 1);
    send_text(fd, text);
    assert_closed_after(fd, "HTTP/1.1 400 ");
    assert_int_equal(handled_count, 0);
}

/* The client sends the body although the answer has been given. */
static void
a_body_over_the_limit_is_refused_and_the_answer_can_be_read(void **state)
{
    static char body[100000];
    int fd = open_client();
    (void)state;
    server.max_body = 1000;
    memset(body, 'x', sizeof(body) - 1);
    send_text(fd, HEADERS("/job", "99999"));
    run_server();
    send_text(fd, body);
    assert_closed_after(fd, "HTTP/1.1 413 ");
    assert_int_equal(handled_count, 0);
}

static void
a_client_may_ask_to_close_the_connection(void **state)
{
    int fd = open_client();
    (void)state;
    send_text(fd, "GET /job HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    assert_closed_after(fd, "HTTP/1.1 200 ");
    assert_int_equal(handled_count, 1);
}

/* The socket takes a part of the answer at a time, and the connection must not
 * be closed before the last. */
static void
a_large_last_answer_is_sent_whole(void **state)
{
    static char answer[65536];
    size_t size = 0;
    ssize_t got;
    int fd = open_client();
    (void)state;
    send_text(fd, "GET " LARGE " HTTP/1.1\r\nHost: a\r\n"
                  "Connection: close\r\n\r\n");
    run_server();
    do {
        lws_cancel_service(loop.lws);
        assert_true(lws_service(loop.lws, 0) >= 0);
        got = recv(fd, answer, sizeof(answer), MSG_DONTWAIT);
        size += got > 0 ? (size_t)got : 0;
    } while (got > 0 || (got < 0 && errno == EAGAIN));
    assert_int_equal(got, 0);
    assert_true(size > LARGE_SIZE);
    close(fd);
}

/* A trailer must not change what the head has said. */
static void
trailers_are_not_headers(void **state)
{
    int fd = open_client();
    (void)state;
    send_text(fd, "POST /job HTTP/1.1\r\nHost: a.example\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n"
                  "1\r\n1\r\n0\r\nHost: b.example\r\n\r\n");
    run_until_answered(1);
    assert_string_equal(handled_host, "a.example");
    close(fd);
}

/* All memory for unfinished bodies is taken by others. */
static void
a_body_without_memory_is_refused_as_not_run(void **state)
{
    char answer[512] = "";
    int fd = open_client();
    (void)state;
    loop.intake.max_bytes = 0;
    send_text(fd, POST("/job"));
    for (int i = 0; i < 3; i++) {
        run_server();
    }
    assert_true(recv(fd, answer, sizeof(answer) - 1, 0) > 0);
    assert_memory_equal(answer, "HTTP/1.1 503 ", 13);
    assert_non_null(strstr(answer, "Retry-After: "));
    assert_non_null(strstr(answer, "\"run\":\"not run\""));
    assert_int_equal(handled_count, 0);
    assert_int_equal(counters.value[CTR_bodies_refused], 1);
    close(fd);
}

int
main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)
    const struct CMUnitTest tests[] = {
        TEST(long_paths_and_hosts_are_kept_whole),
        TEST(a_request_of_a_closed_connection_is_not_handled),
        TEST(a_request_in_two_segments_of_a_closed_connection_is_not_handled),
        TEST(a_later_request_of_a_closed_connection_is_not_handled),
        TEST(pipelined_requests_of_a_closed_connection_are_not_handled),
        TEST(a_pipelined_request_is_not_handled_once_its_client_has_left),
        TEST(requests_of_open_connections_are_handled),
        TEST(pipelined_requests_of_an_open_connection_are_handled),
        TEST(a_client_that_ends_its_stream_has_left),
        TEST(a_server_of_reports_handles_those_of_closed_connections),
        TEST(a_waiting_client_that_has_left_is_dropped_before_other_events),
        TEST(pipelined_bodies_are_handled_in_order),
        TEST(many_pipelined_bodies_are_handled),
        TEST(a_client_that_leaves_is_noticed_behind_a_second_request),
        TEST(a_chunked_body_is_handled),
        TEST(what_is_not_http_is_refused),
        TEST(a_head_over_the_limit_is_refused),
        TEST(a_body_over_the_limit_is_refused_and_the_answer_can_be_read),
        TEST(a_client_may_ask_to_close_the_connection),
        TEST(a_large_last_answer_is_sent_whole),
        TEST(trailers_are_not_headers),
        TEST(a_body_without_memory_is_refused_as_not_run),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
