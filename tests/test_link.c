/* Link_Finish() while frames arrive from processes that end as well. Guards
 * against a hang at exit: nng 1.5.2 waits forever when a receiving socket is
 * closed while frames arrive. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>

#include "shell/link.h"

#define PORT 20600
#define ROUNDS 30
#define SENDERS 8
#define FRAMES 80
/* Time after which the test is considered hung. It is a hundred times the run
 * time of the test, to allow for slow memory checkers. */
#define TIMEOUT_S 300

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
    assert_int_equal(nng_dial(*socket, url, NULL, 0), 0);
}

static void
run_round(struct loop *loop, int round)
{
    struct links links;
    struct counters counters = {0};
    struct err err = {0};
    struct frame_header header = {.from = 1};
    struct key_secret secret = {0};
    nng_socket senders[SENDERS];
    char listen[WIRE_ADDR_SIZE];
    /* Each process has an address of its own, so that copies of this test can
     * run at the same time. */
    unsigned pid = (unsigned)getpid();
    snprintf(listen, sizeof(listen), "127.%u.%u.%u:%d", 1 + (pid >> 16 & 63),
             pid >> 8 & 255, 1 + (pid & 255) % 254, PORT + round);
    assert_int_equal(Loop_Init(loop, &err), 0);
    assert_int_equal(Link_Init(&links, loop, listen, &header, &secret,
                               ignore_message, NULL, &counters, &err),
                     0);
    for (int i = 0; i < SENDERS; i++) {
        open_sender(&senders[i], listen);
    }
    for (int i = 0; i < FRAMES; i++) {
        nng_send(senders[i % SENDERS], "frame", 5, NNG_FLAG_NONBLOCK);
    }
    /* The senders stay open, with frames left to send, until the test ends. */
    Link_Finish(&links);
}

static void
link_finishes_while_frames_arrive(void **state)
{
    /* The loops must outlive the links, as in a process that exits. */
    static struct loop loops[ROUNDS];
    (void)state;
    alarm(TIMEOUT_S);
    for (int round = 0; round < ROUNDS; round++) {
        run_round(&loops[round], round);
    }
    alarm(0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(link_finishes_while_frames_arrive),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
