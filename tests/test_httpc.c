/* Calls of the HTTP client over connections that the server resets, leaves
 * unanswered or refuses, each repeated as soon as it has ended; answers that
 * are large together, which could take the memory of the machine. */
#include <fcntl.h>
#include <poll.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <cmocka.h>

#include "shell/httpc.h"
#include "shell/httpd.h"

#define PORT 20710
/* Calls in progress, connections of the client, and of the server at most. */
#define CALLS 24
#define CONNS 96
#define MAX_CONNS 256
#define CALL_TIMEOUT_MS 30
/* Calls of one test. */
#define TOTAL 6000
/* Calls over one connection, which is reset after each. */
#define RESETS 20
/* Time after which the test is considered hung. */
#define TIMEOUT_S 300

/* What the server does with a request; chosen at random, by these shares of
 * 100. The rest is answered. */
struct behaviour {
    int reset;      /* The connection is reset. */
    int unanswered; /* Nothing is done. */
    int half;       /* A part of the answer is sent, then a reset. */
    int all;        /* All connections are reset, those not accepted too. */
};

struct request {
    int call;
    int has_ended;
};

/* Of the server. Each process has an address of its own, so that copies of
 * this test can run at the same time. */
static uint32_t server_ip;
static char server_addr[32];

static struct loop loop;
static struct httpc client;
static int begun;
static int ended;
static int answered;
static int in_call; /* Hc_Call() has not returned. */
static int ended_in_call;
static struct request requests[TOTAL];

/* -- Server, a process of its own. */

static int
listen_at_port(void)
{
    struct sockaddr_in addr = {.sin_family = AF_INET, .sin_port = htons(PORT)};
    int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    addr.sin_addr.s_addr = htonl(server_ip);
    if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) ||
        bind(fd, (struct sockaddr *)&addr, sizeof(addr)) || listen(fd, 64)) {
        _exit(3);
    }
    return fd;
}

static void
reset(int fd)
{
    struct linger now = {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(fd);
}

/* Handles what was received; returns 1 if all connections are to be reset, -1
 * if this one was. */
static int
handle(int fd, const struct behaviour *behaviour)
{
    char text[2048];
    char reply[128];
    ssize_t size = recv(fd, text, sizeof(text) - 1, MSG_PEEK);
    if (size <= 0) {
        close(fd);
        return -1;
    }
    text[size] = '\0';
    const char *body = strchr(text, '{');
    if (!body || !strchr(body, '}')) {
        return 0;
    }
    (void)!recv(fd, text, (size_t)size, 0);
    int draw = rand() % 100;
    int length = snprintf(reply, sizeof(reply),
                          "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                          strlen(body), body);
    if ((draw -= behaviour->reset) < 0) {
        reset(fd);
        return -1;
    }
    if ((draw -= behaviour->unanswered) < 0) {
        return 0;
    }
    if ((draw -= behaviour->half) < 0) {
        if (send(fd, reply, (size_t)length / 2, MSG_NOSIGNAL) < 0) {
            close(fd);
            return -1;
        }
        reset(fd);
        return -1;
    }
    if (draw < behaviour->all) {
        return 1;
    }
    if (send(fd, reply, (size_t)length, MSG_NOSIGNAL) < 0) {
        close(fd);
        return -1;
    }
    return 0;
}

static void
serve(int listener, const struct behaviour *behaviour)
{
    struct pollfd fds[MAX_CONNS + 1];
    int count = 1;
    srand(1);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    fds[0] = (struct pollfd){listener, POLLIN, 0};
    for (;;) {
        poll(fds, (nfds_t)count, -1);
        for (int i = count - 1; i > 0; i--) {
            int outcome = fds[i].revents ? handle(fds[i].fd, behaviour) : 0;
            if (outcome < 0) {
                fds[i] = fds[--count];
            }
            else if (outcome > 0) {
                close(fds[0].fd);
                while (count > 1) {
                    reset(fds[--count].fd);
                }
                fds[0].fd = listen_at_port();
                fds[0].revents = 0;
                break;
            }
        }
        if (fds[0].revents && count <= MAX_CONNS) {
            int fd = accept4(fds[0].fd, NULL, NULL, SOCK_CLOEXEC);
            if (fd >= 0) {
                fds[count++] = (struct pollfd){fd, POLLIN, 0};
            }
        }
    }
}

/* -- Client. */

static void begin(void);

static void
on_done(void *context, const struct hc_result *result)
{
    struct request *request = context;
    char expected[32];
    ended_in_call += in_call;
    assert_false(request->has_ended);
    request->has_ended = 1;
    if (result->status == 200) {
        snprintf(expected, sizeof(expected), "{\"call\":%d}", request->call);
        assert_int_equal(result->body.size, strlen(expected));
        assert_memory_equal(result->body.data, expected, result->body.size);
        answered++;
    }
    ended++;
    if (begun < TOTAL) {
        begin();
    }
    else if (ended == TOTAL) {
        Loop_Stop(&loop);
    }
}

static void
begin(void)
{
    char body[32];
    struct request *request = &requests[begun];
    request->call = begun++;
    request->has_ended = 0;
    snprintf(body, sizeof(body), "{\"call\":%d}", request->call);
    struct hc_call call = {
        .addr = server_addr,
        .method = "POST",
        .path = "/order",
        .body = {body, (uint32_t)strlen(body)},
        .timeout_ms = CALL_TIMEOUT_MS,
        .done = on_done,
        .context = request,
    };
    in_call++;
    assert_int_equal(Hc_Call(&client, &call), 0);
    in_call--;
}

static void
begin_client(uint32_t conns)
{
    struct err err = {0};
    begun = ended = answered = ended_in_call = 0;
    alarm(TIMEOUT_S);
    assert_int_equal(Loop_Init(&loop, &err), 0);
    assert_int_equal(Hc_Init(&client, &loop, conns, &err), 0);
}

static void
end_client(pid_t server)
{
    Loop_Finish(&loop);
    Hc_Finish(&client);
    kill(server, SIGKILL);
    waitpid(server, NULL, 0);
}

static void
run(const struct behaviour *behaviour)
{
    int listener = listen_at_port();
    pid_t server = fork();
    assert_true(server >= 0);
    if (server == 0) {
        serve(listener, behaviour);
    }
    close(listener);
    begin_client(CONNS);
    for (int i = 0; i < CALLS; i++) {
        begin();
    }
    Loop_Run(&loop);
    end_client(server);
    assert_int_equal(ended, TOTAL);
    assert_true(answered > 0);
    assert_int_equal(ended_in_call, 0);
}

static void
calls_are_repeated_over_connections_that_are_reset(void **state)
{
    static const struct behaviour behaviour = {.reset = 20};
    (void)state;
    run(&behaviour);
}

static void
calls_are_repeated_while_some_are_not_answered(void **state)
{
    static const struct behaviour behaviour = {.reset = 10, .unanswered = 10};
    (void)state;
    run(&behaviour);
}

static void
calls_are_repeated_after_a_part_of_an_answer(void **state)
{
    static const struct behaviour behaviour = {.half = 20};
    (void)state;
    run(&behaviour);
}

static void
calls_are_repeated_while_all_connections_are_reset(void **state)
{
    static const struct behaviour behaviour = {.unanswered = 3, .all = 3};
    (void)state;
    run(&behaviour);
}

/* -- Calls over a connection that the server has reset since the last one. */

/* The client writes a byte when it has an answer, and reads one when the
 * server has reset the connection. */
static int answer_pipe[2];
static int reset_pipe[2];
static struct loop_timer next_call;

static void
wait_for_byte(int fd)
{
    char byte;
    if (read(fd, &byte, 1) != 1) {
        abort();
    }
}

/* Answers one request of each connection, then resets it. */
static void
serve_once_each(int listener)
{
    static const char reply[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    char text[2048];
    struct pollfd ready = {listener, POLLIN, 0};
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    for (;;) {
        poll(&ready, 1, -1);
        int fd = accept4(ready.fd, NULL, NULL, SOCK_CLOEXEC);
        size_t size = 0;
        do {
            ssize_t received = recv(fd, text + size, sizeof(text) - size, 0);
            size += received > 0 ? (size_t)received : 0;
        } while (!memchr(text, '}', size));
        (void)!send(fd, reply, strlen(reply), MSG_NOSIGNAL);
        wait_for_byte(answer_pipe[0]);
        reset(fd);
        (void)!write(reset_pipe[1], "r", 1);
    }
}

static void
on_answer(void *context, const struct hc_result *result)
{
    (void)context;
    ended_in_call += in_call;
    ended++;
    answered += result->status == 200;
}

/* Blocks until the connection of the last call is reset, so that the loop has
 * not seen it when the call begins. */
static void
call_after_reset(void *context)
{
    struct hc_call call = {
        .addr = server_addr,
        .method = "POST",
        .path = "/order",
        .body = {"{}", 2},
        .timeout_ms = 5000,
        .done = on_answer,
    };
    (void)context;
    if (begun > ended) {
        return;
    }
    if (begun == RESETS || answered < ended) {
        Loop_Stop(&loop);
        return;
    }
    if (begun) {
        assert_int_equal(write(answer_pipe[1], "a", 1), 1);
        wait_for_byte(reset_pipe[0]);
    }
    begun++;
    in_call++;
    assert_int_equal(Hc_Call(&client, &call), 0);
    in_call--;
}

static void
a_call_is_sent_again_if_its_connection_was_reset_at_rest(void **state)
{
    (void)state;
    assert_int_equal(pipe2(answer_pipe, O_CLOEXEC), 0);
    assert_int_equal(pipe2(reset_pipe, O_CLOEXEC), 0);
    int listener = listen_at_port();
    pid_t server = fork();
    assert_true(server >= 0);
    if (server == 0) {
        serve_once_each(listener);
    }
    close(listener);
    begin_client(2);
    assert_int_equal(
        Loop_Every(&loop, &next_call, 2000, call_after_reset, NULL), 0);
    Loop_Run(&loop);
    end_client(server);
    for (int i = 0; i < 2; i++) {
        close(answer_pipe[i]);
        close(reset_pipe[i]);
    }
    assert_int_equal(answered, RESETS);
    assert_int_equal(ended_in_call, 0);
}

/* -- Answers that are large together, from a server on the same loop. */

static struct httpd large_server;

static void
answer_with_spaces(void *context, const struct hs_request *request)
{
    size_t size = (size_t)strtoul(request->path + 1, NULL, 10);
    char *text = calloc(1, size + 1);
    (void)context;
    assert_non_null(text);
    memset(text, ' ', size);
    assert_int_equal(Hs_ReplyJson(&large_server, request->conn, 200, text), 0);
    free(text);
}

static void
call_for(const char *addr, const char *path, int count)
{
    struct hc_call call = {
        .addr = addr,
        .method = "GET",
        .path = path,
        .timeout_ms = 60000,
        .done = on_answer,
    };
    begun = ended = answered = 0;
    for (; begun < count; begun++) {
        assert_int_equal(Hc_Call(&client, &call), 0);
    }
    while (ended < begun) {
        assert_true(lws_service(loop.lws, -1) >= 0);
        assert_true(loop.replies.bytes <= loop.replies.max_bytes);
    }
    assert_true(loop.replies.bytes == 0);
}

/* An answer alone may take what many small ones do not need. */
static void
answers_that_are_too_large_together_are_dropped(void **state)
{
    struct counters counters = {0};
    struct err err = {0};
    char addr[sizeof(server_addr) + 1];
    (void)state;
    snprintf(addr, sizeof(addr), "%s", server_addr);
    snprintf(strchr(addr, ':'), 7, ":%d", PORT + 1);
    begin_client(8);
    Loop_SetLimits(&loop, 64, 400);
    assert_int_equal(Hs_Init(&large_server, &loop, addr, NULL, NULL,
                             answer_with_spaces, NULL, NULL, &counters, &err),
                     0);
    call_for(addr, "/4000000", 8);
    assert_true(answered > 0);
    assert_true(answered < 8);
    call_for(addr, "/4000000", 1);
    assert_int_equal(answered, 1);
    call_for(addr, "/9000000", 1);
    assert_int_equal(answered, 0);
    call_for(addr, "/4000", 8);
    assert_int_equal(answered, 8);
    Loop_Finish(&loop);
    Hc_Finish(&client);
    Hs_Finish(&large_server);
}

static void
choose_address(void)
{
    uint32_t pid = (uint32_t)getpid();
    uint32_t a = 1 + (pid >> 16 & 63);
    uint32_t b = pid >> 8 & 255;
    uint32_t c = 1 + (pid & 255) % 254;
    server_ip = 127u << 24 | a << 16 | b << 8 | c;
    snprintf(server_addr, sizeof(server_addr), "127.%u.%u.%u:%d", a, b, c,
             PORT);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            a_call_is_sent_again_if_its_connection_was_reset_at_rest),
        cmocka_unit_test(calls_are_repeated_over_connections_that_are_reset),
        cmocka_unit_test(calls_are_repeated_while_some_are_not_answered),
        cmocka_unit_test(calls_are_repeated_after_a_part_of_an_answer),
        cmocka_unit_test(calls_are_repeated_while_all_connections_are_reset),
        cmocka_unit_test(answers_that_are_too_large_together_are_dropped),
    };
    choose_address();
    return cmocka_run_group_tests(tests, NULL, NULL);
}
