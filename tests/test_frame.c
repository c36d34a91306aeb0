/* Frames: what one side packs the other reads; anything else is refused. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdlib.h>
#include <string.h>

#include "wire/frame.h"

static struct key_secret secret;
static struct frame_header head;
static struct msg seen[4];
static uint32_t count;

static int
set_up(void **state)
{
    (void)state;
    Key_Derive(&secret, "a passphrase");
    memset(&head, 0, sizeof(head));
    head.from = 5;
    head.to = 6;
    head.role = ROLE_AGENT;
    strncpy(head.node, "agent-1", sizeof(head.node) - 1);
    count = 0;
    return 0;
}

static void
visit(void *context, const struct frame_header *from, const struct msg *msg)
{
    (void)context;
    assert_int_equal(from->from, 5);
    assert_string_equal(from->node, "agent-1");
    seen[count++] = *msg;
}

static int
decode(const struct frame_out *frame, struct err *err)
{
    return Frame_Decode(frame->buffer.data, frame->buffer.size, &secret, visit,
                        NULL, err);
}

static void
records_and_handovers_come_back_whole(void **state)
{
    struct frame_out frame;
    struct err err = {0};
    struct answer_task tasks[2] = {{.no = 1, .output = {"ab", 2}},
                                   {.no = 9, .output = {"", 0}}};
    struct msg held = {.type = MSG_TASK_RECORD};
    struct msg handover = {.type = MSG_HANDOVER};
    (void)state;
    held.u.result.key.issuer = UINT64_MAX;
    held.u.result.state = TASK_FINISHED;
    held.u.result.report = 3;
    held.u.result.index = 4;
    held.u.result.body_hash = 1ull << 63;
    handover.u.handover.answer.key.seq = 8;
    handover.u.handover.answer.task_count = 2;
    handover.u.handover.answer.tasks = tasks;
    handover.u.handover.epoch = (struct epoch){7, 8};
    handover.u.handover.last = 1;
    Frame_Init(&frame, &head);
    Frame_Add(&frame, &held);
    Frame_Add(&frame, &handover);
    Frame_Sign(&frame, &secret);
    assert_int_equal(decode(&frame, &err), 0);
    assert_int_equal(count, 2);
    assert_int_equal(seen[0].u.result.key.issuer, UINT64_MAX);
    assert_int_equal(seen[0].u.result.report, 3);
    assert_int_equal(seen[0].u.result.index, 4);
    assert_int_equal(seen[0].u.result.body_hash, 1ull << 63);
    assert_int_equal(seen[1].u.handover.answer.key.seq, 8);
    assert_int_equal(seen[1].u.handover.answer.task_count, 2);
    assert_int_equal(seen[1].u.handover.epoch.owner, 8);
    assert_int_equal(seen[1].u.handover.last, 1);
    Frame_Finish(&frame);
}

static void
a_changed_byte_is_refused(void **state)
{
    struct frame_out frame;
    struct msg beat = {.type = MSG_HEARTBEAT};
    (void)state;
    Frame_Init(&frame, &head);
    Frame_Add(&frame, &beat);
    Frame_Sign(&frame, &secret);
    for (size_t i = 0; i < frame.buffer.size; i++) {
        struct err err = {0};
        frame.buffer.data[i] ^= 1;
        assert_int_equal(decode(&frame, &err), -1);
        assert_int_equal(err.code, CODE_BAD_MAC);
        frame.buffer.data[i] ^= 1;
    }
    assert_int_equal(count, 0);
    Frame_Finish(&frame);
}

static void
another_version_is_refused(void **state)
{
    struct frame_out frame;
    struct err err = {0};
    struct msg beat = {.type = MSG_HEARTBEAT};
    (void)state;
    Frame_Init(&frame, &head);
    Frame_Add(&frame, &beat);
    /* The signature, the array's head, then the version. */
    assert_int_equal(frame.buffer.data[KEY_MAC_SIZE + 1], WIRE_VERSION);
    frame.buffer.data[KEY_MAC_SIZE + 1] = WIRE_VERSION + 1;
    Frame_Sign(&frame, &secret);
    assert_int_equal(decode(&frame, &err), -1);
    assert_int_equal(err.code, CODE_BAD_VERSION);
    assert_int_equal(count, 0);
    Frame_Finish(&frame);
}

/* Signed by us all the same: a fault of our own must not bring us down. */
static void
a_signed_fragment_is_refused(void **state)
{
    struct frame_out frame;
    struct msg beat = {.type = MSG_HEARTBEAT};
    (void)state;
    Frame_Init(&frame, &head);
    size_t begin = frame.buffer.size;
    Frame_Add(&frame, &beat);
    size_t whole = frame.buffer.size;
    for (size_t size = KEY_MAC_SIZE + 1; size < whole; size++) {
        struct err err = {0};
        if (size == begin) {
            continue; /* A frame without messages is in order. */
        }
        frame.buffer.size = size;
        Frame_Sign(&frame, &secret);
        assert_int_equal(decode(&frame, &err), -1);
        assert_int_equal(err.code, CODE_BAD_FRAME);
    }
    assert_int_equal(count, 0);
    frame.buffer.size = whole;
    Frame_Finish(&frame);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(records_and_handovers_come_back_whole, set_up),
        cmocka_unit_test_setup(a_changed_byte_is_refused, set_up),
        cmocka_unit_test_setup(another_version_is_refused, set_up),
        cmocka_unit_test_setup(a_signed_fragment_is_refused, set_up),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
