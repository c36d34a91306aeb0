/* The end of a link while frames come in from processes that end as well. */
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

#define FIRST_PORT 20600
#define ROUNDS 30
#define SENDERS 8
#define SENDS 80
/* A link that has not ended by then never will; for a slow checker of memory
 * a hundred times what the test takes. */
#define HANG_S 300

static void
ignore(void *context, const struct frame_header *head, const struct msg *msg)
{
    (void)context;
    (void)head;
    (void)msg;
}

static void
open_sender(nng_socket *socket, const char *listen)
{
    char url[64];
    snprintf(url, sizeof(url), "tcp://%s", listen);
    assert_int_equal(nng_push0_open(socket), 0);
    nng_socket_set_int(*socket, NNG_OPT_SENDBUF, SENDS);
    assert_int_equal(nng_dial(*socket, url, NULL, 0), 0);
}

static void
play_round(struct loop *loop, int round)
{
    struct links links;
    struct counters counters = {0};
    struct err err = {0};
    struct frame_header head = {.from = 1};
    struct key_secret secret = {0};
    nng_socket senders[SENDERS];
    char listen[WIRE_ADDR_SIZE];
    snprintf(listen, sizeof(listen), "127.0.0.1:%d", FIRST_PORT + round);
    assert_int_equal(Loop_Init(loop, &err), 0);
    assert_int_equal(Link_Init(&links, loop, listen, &head, &secret, ignore,
                               NULL, &counters, &err),
                     0);
    for (int i = 0; i < SENDERS; i++) {
        open_sender(&senders[i], listen);
    }
    for (int i = 0; i < SENDS; i++) {
        nng_send(senders[i % SENDERS], "frame", 5, NNG_FLAG_NONBLOCK);
    }
    /* Senders and frames are left to the end of the test. */
    Link_Finish(&links);
}

static void
a_link_ends_while_frames_come_in(void **state)
{
    /* They outlive the links, as in a process that ends. */
    static struct loop loops[ROUNDS];
    (void)state;
    alarm(HANG_S);
    for (int round = 0; round < ROUNDS; round++) {
        play_round(&loops[round], round);
    }
    alarm(0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_link_ends_while_frames_come_in),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
