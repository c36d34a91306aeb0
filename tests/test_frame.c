/* Frames: a decoded frame equals the encoded one, and a frame that is changed,
 * truncated or of another version is rejected without delivering a message. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdlib.h>
#include <string.h>

#include "wire/frame.h"

static struct key_secret secret;
static struct frame_header header;
static struct msg received[4];
static uint32_t received_count;

static int
set_up(void **state)
{
    (void)state;
    Key_Derive(&secret, "a passphrase");
    memset(&header, 0, sizeof(header));
    header.from = 5;
    header.to = 6;
    header.role = ROLE_AGENT;
    strncpy(header.node, "agent-1", sizeof(header.node) - 1);
    received_count = 0;
    return 0;
}

static void
on_message(void *context, const struct frame_header *received_header,
           const struct msg *msg)
{
    (void)context;
    assert_int_equal(received_header->from, 5);
    assert_string_equal(received_header->node, "agent-1");
    received[received_count++] = *msg;
}

static int
decode(const struct frame_out *frame, struct err *err)
{
    return Frame_Decode(frame->buffer.data, frame->buffer.size, &secret,
                        on_message, NULL, err);
}

static void
task_records_and_handovers_round_trip(void **state)
{
    struct frame_out frame;
    struct err err = {0};
    struct answer_task tasks[2] = {{.no = 1, .output = {"ab", 2}},
                                   {.no = 9, .output = {"", 0}}};
    struct msg record = {.type = MSG_TASK_RECORD};
    struct msg handover = {.type = MSG_HANDOVER};
    (void)state;
    record.u.result.key.issuer = UINT64_MAX;
    record.u.result.state = TASK_FINISHED;
    record.u.result.report = 3;
    record.u.result.index = 4;
    record.u.result.body_hash = 1ull << 63;
    handover.u.handover.answer.key.seq = 8;
    handover.u.handover.answer.task_count = 2;
    handover.u.handover.answer.tasks = tasks;
    handover.u.handover.epoch = (struct epoch){7, 8};
    handover.u.handover.last = 1;
    Frame_Init(&frame, &header);
    Frame_Add(&frame, &record);
    Frame_Add(&frame, &handover);
    Frame_Sign(&frame, &secret);
    assert_int_equal(decode(&frame, &err), 0);
    assert_int_equal(received_count, 2);
    assert_int_equal(received[0].u.result.key.issuer, UINT64_MAX);
    assert_int_equal(received[0].u.result.report, 3);
    assert_int_equal(received[0].u.result.index, 4);
    assert_int_equal(received[0].u.result.body_hash, 1ull << 63);
    assert_int_equal(received[1].u.handover.answer.key.seq, 8);
    assert_int_equal(received[1].u.handover.answer.task_count, 2);
    assert_int_equal(received[1].u.handover.epoch.owner, 8);
    assert_int_equal(received[1].u.handover.last, 1);
    Frame_Finish(&frame);
}

static void
changed_byte_is_rejected(void **state)
{
    struct frame_out frame;
    struct msg heartbeat = {.type = MSG_HEARTBEAT};
    (void)state;
    Frame_Init(&frame, &header);
    Frame_Add(&frame, &heartbeat);
    Frame_Sign(&frame, &secret);
    for (size_t i = 0; i < frame.buffer.size; i++) {
        struct err err = {0};
        frame.buffer.data[i] ^= 1;
        assert_int_equal(decode(&frame, &err), -1);
        assert_int_equal(err.code, CODE_BAD_MAC);
        frame.buffer.data[i] ^= 1;
    }
    assert_int_equal(received_count, 0);
    Frame_Finish(&frame);
}

static void
other_version_is_rejected(void **state)
{
    struct frame_out frame;
    struct err err = {0};
    struct msg heartbeat = {.type = MSG_HEARTBEAT};
    (void)state;
    Frame_Init(&frame, &header);
    Frame_Add(&frame, &heartbeat);
    /* A frame begins with the MAC, the header of a MessagePack array and the
     * wire version. */
    assert_int_equal(frame.buffer.data[KEY_MAC_SIZE + 1], WIRE_VERSION);
    frame.buffer.data[KEY_MAC_SIZE + 1] = WIRE_VERSION + 1;
    Frame_Sign(&frame, &secret);
    assert_int_equal(decode(&frame, &err), -1);
    assert_int_equal(err.code, CODE_BAD_VERSION);
    assert_int_equal(received_count, 0);
    Frame_Finish(&frame);
}

/* Only a faulty process of the cluster can send a truncated frame with a valid
 * MAC. The frame must be rejected, not crash the receiver. */
static void
truncated_frame_with_valid_mac_is_rejected(void **state)
{
    struct frame_out frame;
    struct msg heartbeat = {.type = MSG_HEARTBEAT};
    (void)state;
    Frame_Init(&frame, &header);
    size_t first_message = frame.buffer.size;
    Frame_Add(&frame, &heartbeat);
    size_t full_size = frame.buffer.size;
    for (size_t size = KEY_MAC_SIZE + 1; size < full_size; size++) {
        struct err err = {0};
        if (size == first_message) {
            continue; /* A frame without messages is valid. */
        }
        frame.buffer.size = size;
        Frame_Sign(&frame, &secret);
        assert_int_equal(decode(&frame, &err), -1);
        assert_int_equal(err.code, CODE_BAD_FRAME);
    }
    assert_int_equal(received_count, 0);
    frame.buffer.size = full_size;
    Frame_Finish(&frame);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(task_records_and_handovers_round_trip, set_up),
        cmocka_unit_test_setup(changed_byte_is_rejected, set_up),
        cmocka_unit_test_setup(other_version_is_rejected, set_up),
        cmocka_unit_test_setup(truncated_frame_with_valid_mac_is_rejected,
                               set_up),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
