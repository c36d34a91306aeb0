/* Signed frames with a MessagePack value that declares a size beyond the end
 * of the frame. The MessagePack library allocates memory for the declared
 * size, so a few bytes could make it allocate gigabytes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <sodium.h>

#include "wire/frame.h"

static const struct key_secret secret = {{1}};

static void
count_message(void *context, const struct frame_header *header,
              const struct msg *msg)
{
    (void)header;
    (void)msg;
    (*(int *)context)++;
}

/* Decode a signed frame that holds one heartbeat, followed by `tail`. */
static int
decode_with(const void *tail, size_t size, int *messages, struct err *err)
{
    struct frame_header header = {.from = 1, .role = ROLE_ENTRY};
    struct msg msg = {.type = MSG_HEARTBEAT};
    struct frame_out out;
    Frame_Init(&out, &header);
    Frame_Add(&out, &msg);
    msgpack_sbuffer_write(&out.buffer, tail, size);
    Frame_Sign(&out, &secret);
    *messages = 0;
    int status = Frame_Decode(out.buffer.data, out.buffer.size, &secret,
                              count_message, messages, err);
    Frame_Finish(&out);
    return status;
}

static void
sizes_beyond_the_frame_are_rejected(void **state)
{
    static const char *const tails[] = {
        "\xdd\xff\xff\xff\xff", /* array of 4 Gi elements */
        "\xdc\xff\xff",         /* array of 65,535 elements */
        "\xc6\xff\xff\xff\xff", /* binary data of 4 GiB */
        "\xdb\x10\x01\x01\x01", /* string of 256 MiB */
        "\xdf\xff\xff\xff\xff", /* map, a type that no message contains */
        "\xdd\x01",             /* truncated array header */
    };
    (void)state;
    for (size_t i = 0; i < sizeof(tails) / sizeof(tails[0]); i++) {
        struct err err = {0};
        int messages;
        assert_int_equal(
            decode_with(tails[i], strlen(tails[i]), &messages, &err), -1);
        assert_int_equal(err.code, CODE_BAD_FRAME);
        assert_int_equal(messages, 0);
    }
}

static void
valid_frame_is_accepted(void **state)
{
    struct err err = {0};
    int messages;
    (void)state;
    assert_int_equal(decode_with("", 0, &messages, &err), 0);
    assert_int_equal(messages, 1);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(sizes_beyond_the_frame_are_rejected),
        cmocka_unit_test(valid_frame_is_accepted),
    };
    if (sodium_init() < 0) {
        return 1;
    }
    return cmocka_run_group_tests(tests, NULL, NULL);
}
