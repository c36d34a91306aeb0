/* Links: the end of a process while frames arrive, and connections to the
 * internal address that are not from our processes.
 *
 * Guards against a hang at exit (nng 1.5.2 waits forever when a receiving
 * socket is closed while frames arrive), and against a crowd without the key
 * of the cluster that takes the memory or the connections of a process. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <fcntl.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>

#include "base/addr.h"
#include "shell/link.h"

#define PORT 20600
#define ROUNDS 30
#define SENDERS 8
#define FRAMES 80
#define CROWD 60
/* Time after which the test is considered hung. It is a hundred times the run
 * time of the test, to allow for slow memory checkers. */
#define TIMEOUT_S 300

static char address[WIRE_ADDR_SIZE];

static void
ignore_message(void *context, const struct frame_header *header,
               const struct msg *msg)
{
    (void)context;
    (void)header;
    (void)msg;
}

static void
open_sender(nng_socket *socket, const char *listen)
{
    char url[64];
    snprintf(url, sizeof(url), "tcp://%s", listen);
    assert_int_equal(nng_push0_open(socket), 0);
    nng_socket_set_int(*socket, NNG_OPT_SENDBUF, FRAMES);
    assert_int_equal(nng_dial(*socket, url, NULL, NNG_FLAG_NONBLOCK), 0);
}

/* Each process has an address of its own, so that copies of this test can run
 * at the same time. */
static void
listen_on(struct links *links, struct loop *loop, int port)
{
    static struct counters counters;
    struct err err = {0};
    struct frame_header header = {.from = 1};
    struct key_secret secret = {0};
    unsigned pid = (unsigned)getpid();
    memset(&counters, 0, sizeof(counters));
    snprintf(address, sizeof(address), "127.%u.%u.%u:%d", 1 + (pid >> 16 & 63),
             pid >> 8 & 255, 1 + (pid & 255) % 254, port);
    assert_int_equal(Loop_Init(loop, &err), 0);
    Intake_Init(&loop->intake, 64, 400);
    assert_int_equal(Link_Init(links, loop, address, &header, &secret,
                               ignore_message, NULL, &counters, &err),
                     0);
}

static uint64_t
counted(const struct links *links, int counter)
{
    return links->counters->value[counter];
}

static void
run_round(int round)
{
    struct loop loop;
    struct links links;
    nng_socket senders[SENDERS];
    listen_on(&links, &loop, PORT + round);
    for (int i = 0; i < SENDERS; i++) {
        open_sender(&senders[i], address);
    }
    for (int i = 0; i < FRAMES; i++) {
        nng_send(senders[i % SENDERS], "frame", 5, NNG_FLAG_NONBLOCK);
    }
    while (counted(&links, CTR_frames_received) < (unsigned)round) {
        assert_true(lws_service(loop.lws, 0) >= 0);
    }
    /* The senders stay open, with frames left to send, until the test ends. */
    Link_Finish(&links);
    Loop_Finish(&loop);
}

static void
link_finishes_while_frames_arrive(void **state)
{
    (void)state;
    for (int round = 0; round < ROUNDS; round++) {
        run_round(round);
    }
}

static int
connect_client(void)
{
    struct sockaddr_in addr = {.sin_family = AF_INET};
    char host[WIRE_ADDR_SIZE];
    int port;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_true(fd >= 0);
    assert_int_equal(Addr_Split(address, host, sizeof(host), &port), 0);
    assert_int_equal(inet_pton(AF_INET, host, &addr.sin_addr), 1);
    addr.sin_port = htons((uint16_t)port);
    assert_int_equal(connect(fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
    assert_int_equal(fcntl(fd, F_SETFL, O_NONBLOCK), 0);
    return fd;
}

/* A signed frame without messages. */
static void
send_authentic(nng_socket socket)
{
    struct frame_header header = {
        .from = 2,
        .to = 1,
        .role = ROLE_AGENT,
        .node = "agent-1",
        .addr = "127.0.0.1:1",
    };
    struct key_secret secret = {0};
    struct frame_out frame;
    Frame_Init(&frame, &header);
    Frame_Sign(&frame, &secret);
    assert_int_equal(nng_send(socket, frame.buffer.data, frame.buffer.size, 0),
                     0);
    Frame_Finish(&frame);
}

static void
expect_frame(struct loop *loop, const struct links *links, nng_socket socket)
{
    uint64_t before = counted(links, CTR_frames_received);
    send_authentic(socket);
    while (counted(links, CTR_frames_received) == before) {
        assert_true(lws_service(loop->lws, -1) >= 0);
    }
    assert_int_equal(counted(links, CTR_frame_bad), 0);
    assert_int_equal(counted(links, CTR_frame_bad_mac), 0);
}

/* A process that has sent an authentic frame stays connected beside a crowd,
 * and a further one is heard. */
static void
a_crowd_without_the_key_is_bounded(void **state)
{
    static unsigned char piece[1 << 16];
    static const unsigned char begin[16] = {0, 'S', 'P', 0, 0, 0x50, 0, 0,
                                            0, 0,   0,   0, 0, 0x40, 0, 0};
    struct loop loop;
    struct links links;
    nng_socket first;
    nng_socket second;
    int crowd[CROWD];
    (void)state;
    listen_on(&links, &loop, PORT + ROUNDS);
    struct intake *budget = &links.server.unproved;
    open_sender(&first, address);
    expect_frame(&loop, &links, first);
    assert_int_equal(budget->items, 0);
    for (int i = 0; i < CROWD; i++) {
        crowd[i] = connect_client();
        assert_int_equal(write(crowd[i], begin, sizeof(begin)), sizeof(begin));
        for (int j = 0; j < 63; j++) {
            /* Fails once the connection is evicted. */
            (void)!send(crowd[i], piece, sizeof(piece), MSG_NOSIGNAL);
            assert_true(lws_service(loop.lws, -1) >= 0);
            assert_true(budget->items <= budget->max_items);
            assert_true(budget->bytes <= budget->max_bytes);
        }
    }
    assert_true(counted(&links, CTR_links_evicted) +
                    counted(&links, CTR_links_refused) >
                0);
    expect_frame(&loop, &links, first);
    open_sender(&second, address);
    expect_frame(&loop, &links, second);
    for (int i = 0; i < CROWD; i++) {
        close(crowd[i]);
    }
    while (budget->items) {
        assert_true(lws_service(loop.lws, -1) >= 0);
    }
    assert_true(budget->bytes == 0);
    nng_close(first);
    nng_close(second);
    Link_Finish(&links);
    Loop_Finish(&loop);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(link_finishes_while_frames_arrive),
        cmocka_unit_test(a_crowd_without_the_key_is_bounded),
    };
    alarm(TIMEOUT_S);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
