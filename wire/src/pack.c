#include "wire/frame.h"

#include <sodium.h>
#include <string.h>

static void
put_uint(msgpack_packer *pk, uint64_t value)
{
    msgpack_pack_uint64(pk, value);
}

static void
put_str(msgpack_packer *pk, const char *text)
{
    size_t size = strlen(text);
    msgpack_pack_str(pk, size);
    msgpack_pack_str_body(pk, text, size);
}

static void
put_bytes(msgpack_packer *pk, struct bytes bytes)
{
    msgpack_pack_bin(pk, bytes.size);
    msgpack_pack_bin_body(pk, bytes.data, bytes.size);
}

static void
put_key(msgpack_packer *pk, const struct key *key)
{
    msgpack_pack_array(pk, 4);
    put_uint(pk, key->issuer);
    put_uint(pk, key->registry_version);
    put_uint(pk, key->seq);
    put_uint(pk, key->issued_s);
}

static void
put_epoch(msgpack_packer *pk, struct epoch epoch)
{
    put_uint(pk, epoch.n);
    put_uint(pk, epoch.owner);
}

static void
put_resources(msgpack_packer *pk, const struct resources *amount)
{
    put_uint(pk, amount->cpu);
    put_uint(pk, amount->memory_mb);
    put_uint(pk, amount->gpu);
}

static void
put_labels(msgpack_packer *pk, const struct labels *labels)
{
    msgpack_pack_array(pk, labels->count);
    for (uint32_t i = 0; i < labels->count; i++) {
        put_str(pk, labels->names[i]);
    }
}

static void
put_heartbeat(msgpack_packer *pk, const struct msg_heartbeat *m)
{
    msgpack_pack_array(pk, 6);
    put_uint(pk, MSG_HEARTBEAT);
    put_uint(pk, m->sent_us);
    put_uint(pk, m->echo_us);
    put_uint(pk, m->version);
    put_uint(pk, m->draining);
    put_uint(pk, m->is_last);
}

static void
put_agent_status(msgpack_packer *pk, const struct msg_agent_status *m)
{
    msgpack_pack_array(pk, 21);
    put_uint(pk, MSG_AGENT_STATUS);
    put_str(pk, m->service);
    put_uint(pk, m->slots);
    put_uint(pk, m->busy);
    put_uint(pk, m->receiver_busy);
    put_uint(pk, m->connections);
    put_uint(pk, m->memory_mb);
    put_uint(pk, m->cores);
    put_resources(pk, &m->capacity);
    put_resources(pk, &m->used);
    put_resources(pk, &m->receiver_used);
    put_uint(pk, m->registered);
    put_uint(pk, m->ejected);
    put_uint(pk, m->leaving);
    put_labels(pk, &m->labels);
}

static void
put_issuers(msgpack_packer *pk, const struct msg_issuers *m)
{
    msgpack_pack_array(pk, 1 + 3 * (size_t)m->count);
    put_uint(pk, MSG_ISSUERS);
    for (uint32_t i = 0; i < m->count; i++) {
        put_uint(pk, m->items[i].issuer);
        put_epoch(pk, m->items[i].epoch);
    }
}

static void
put_start(msgpack_packer *pk, const struct msg_start *m)
{
    msgpack_pack_array(pk, 22);
    put_uint(pk, MSG_START);
    put_key(pk, &m->key);
    put_epoch(pk, m->epoch);
    put_uint(pk, m->task);
    put_uint(pk, m->attempt);
    put_uint(pk, m->deadline_ms);
    put_uint(pk, m->lease_ms);
    put_uint(pk, m->flags);
    put_uint(pk, m->priority);
    put_uint(pk, m->hold_ms);
    put_str(pk, m->kind);
    put_str(pk, m->team);
    put_uint(pk, m->body_hash);
    put_bytes(pk, m->input);
    put_uint(pk, m->name);
    put_resources(pk, &m->need);
    put_uint(pk, m->estimate_ms);
    put_uint(pk, m->agent_heartbeat_us);
    put_str(pk, m->label);
}

static void
put_result(msgpack_packer *pk, enum msg_type type, const struct msg_result *m)
{
    msgpack_pack_array(pk, type == MSG_TASK_RECORD ? 21 : 18);
    put_uint(pk, type);
    put_key(pk, &m->key);
    put_epoch(pk, m->epoch);
    put_uint(pk, m->task);
    put_uint(pk, m->attempt);
    put_uint(pk, m->state);
    put_uint(pk, m->code);
    put_uint(pk, m->run_us);
    put_uint(pk, m->busy);
    put_uint(pk, m->receiver_busy);
    put_resources(pk, &m->used);
    put_resources(pk, &m->receiver_used);
    if (type == MSG_TASK_RECORD) {
        put_uint(pk, m->body_hash);
        put_uint(pk, m->report);
        put_uint(pk, m->index);
    }
    put_bytes(pk, m->output);
}

static void
put_fenced(msgpack_packer *pk, const struct msg_fenced *m)
{
    msgpack_pack_array(pk, 7);
    put_uint(pk, MSG_FENCED);
    put_uint(pk, m->issuer);
    put_epoch(pk, m->epoch);
    put_uint(pk, m->report);
    put_uint(pk, m->count);
    put_uint(pk, m->expired_until_s);
}

static void
put_submit(msgpack_packer *pk, const struct msg_submit *m)
{
    const struct submission *sub = &m->sub;
    msgpack_pack_array(pk, 12);
    put_uint(pk, MSG_SUBMIT);
    put_uint(pk, m->conn);
    put_key(pk, &sub->key);
    put_str(pk, sub->service);
    put_str(pk, sub->kind);
    put_str(pk, sub->team);
    put_uint(pk, sub->deadline_ms);
    put_uint(pk, sub->memory_mb);
    put_uint(pk, sub->cores);
    put_uint(pk, sub->priority);
    put_uint(pk, sub->flags);
    msgpack_pack_array(pk, 3 * (size_t)sub->task_count);
    for (uint32_t i = 0; i < sub->task_count; i++) {
        put_uint(pk, sub->tasks[i].no);
        put_uint(pk, sub->tasks[i].run_ms);
        put_bytes(pk, sub->tasks[i].input);
    }
}

/* Appends five elements to the array of the enclosing message. */
static void
put_answer(msgpack_packer *pk, const struct answer *answer)
{
    put_key(pk, &answer->key);
    put_uint(pk, answer->code);
    put_str(pk, answer->detail);
    put_uint(pk, answer->retry_after_ms);
    msgpack_pack_array(pk, 3 * (size_t)answer->task_count);
    for (uint32_t i = 0; i < answer->task_count; i++) {
        put_uint(pk, answer->tasks[i].no);
        put_uint(pk, answer->tasks[i].code);
        put_bytes(pk, answer->tasks[i].output);
    }
}

static void
put_handover(msgpack_packer *pk, const struct msg_handover *m)
{
    msgpack_pack_array(pk, 10);
    put_uint(pk, MSG_HANDOVER);
    put_answer(pk, &m->answer);
    put_uint(pk, m->body_hash);
    put_epoch(pk, m->epoch);
    put_uint(pk, m->last);
}

static void
put_handover_ack(msgpack_packer *pk, const struct msg_handover_ack *m)
{
    msgpack_pack_array(pk, 5);
    put_uint(pk, MSG_HANDOVER_ACK);
    put_key(pk, &m->key);
    put_epoch(pk, m->epoch);
    put_uint(pk, m->last);
}

static void
put_version(msgpack_packer *pk, const struct msg_version *m)
{
    msgpack_pack_array(pk, 7);
    put_uint(pk, MSG_VERSION);
    put_uint(pk, m->config);
    put_uint(pk, m->members);
    put_uint(pk, m->sent_us);
    put_uint(pk, m->echo_us);
    put_uint(pk, m->age_us);
    put_uint(pk, m->store_read);
}

static void
put_usage(msgpack_packer *pk, const struct msg_usage *m)
{
    msgpack_pack_array(pk, 1 + 4 * (size_t)m->count);
    put_uint(pk, MSG_USAGE);
    for (uint32_t i = 0; i < m->count; i++) {
        put_str(pk, m->items[i].service);
        put_str(pk, m->items[i].team);
        put_uint(pk, m->items[i].slots);
        put_uint(pk, m->items[i].has_waiting);
    }
}

static void
put_crash(msgpack_packer *pk, const struct msg_crash *m)
{
    msgpack_pack_array(pk, 6 + 4 * (size_t)m->count);
    put_uint(pk, MSG_CRASH);
    put_uint(pk, m->agent);
    put_uint(pk, m->number);
    put_uint(pk, m->age_ms);
    put_uint(pk, m->young_count);
    put_str(pk, m->service);
    for (uint32_t i = 0; i < m->count; i++) {
        put_uint(pk, m->suspects[i].name);
        put_uint(pk, m->suspects[i].task);
        put_uint(pk, m->suspects[i].has_begun);
        put_str(pk, m->suspects[i].kind);
    }
}

static void
put_msg(msgpack_packer *pk, const struct msg *msg)
{
    switch (msg->type) {
    case MSG_HEARTBEAT:
        put_heartbeat(pk, &msg->u.heartbeat);
        break;
    case MSG_AGENT_STATUS:
        put_agent_status(pk, &msg->u.agent_status);
        break;
    case MSG_ISSUERS:
        put_issuers(pk, &msg->u.issuers);
        break;
    case MSG_START:
        put_start(pk, &msg->u.start);
        break;
    case MSG_RESULT:
    case MSG_TASK_RECORD:
        put_result(pk, msg->type, &msg->u.result);
        break;
    case MSG_RELEASE:
        msgpack_pack_array(pk, 2);
        put_uint(pk, MSG_RELEASE);
        put_key(pk, &msg->u.release.key);
        break;
    case MSG_CANCEL:
        msgpack_pack_array(pk, 4);
        put_uint(pk, MSG_CANCEL);
        put_key(pk, &msg->u.cancel.key);
        put_epoch(pk, msg->u.cancel.epoch);
        break;
    case MSG_FENCE:
        msgpack_pack_array(pk, 4);
        put_uint(pk, MSG_FENCE);
        put_uint(pk, msg->u.fence.issuer);
        put_epoch(pk, msg->u.fence.epoch);
        break;
    case MSG_FENCED:
        put_fenced(pk, &msg->u.fenced);
        break;
    case MSG_SUBMIT:
        put_submit(pk, &msg->u.submit);
        break;
    case MSG_ANSWER:
        msgpack_pack_array(pk, 7);
        put_uint(pk, MSG_ANSWER);
        put_uint(pk, msg->u.answer.conn);
        put_answer(pk, &msg->u.answer.answer);
        break;
    case MSG_JOB_QUERY:
        msgpack_pack_array(pk, 4);
        put_uint(pk, MSG_JOB_QUERY);
        put_key(pk, &msg->u.job_query.key);
        put_uint(pk, msg->u.job_query.query);
        put_uint(pk, msg->u.job_query.conn);
        break;
    case MSG_STATE:
        msgpack_pack_array(pk, 3);
        put_uint(pk, MSG_STATE);
        put_uint(pk, msg->u.state.version);
        put_bytes(pk, msg->u.state.rows);
        break;
    case MSG_RESULT_ACK:
        msgpack_pack_array(pk, 3);
        put_uint(pk, MSG_RESULT_ACK);
        put_key(pk, &msg->u.result_ack.key);
        put_uint(pk, msg->u.result_ack.task);
        break;
    case MSG_HANDOVER:
        put_handover(pk, &msg->u.handover);
        break;
    case MSG_HANDOVER_ACK:
        put_handover_ack(pk, &msg->u.handover_ack);
        break;
    case MSG_USAGE:
        put_usage(pk, &msg->u.usage);
        break;
    case MSG_VERSION:
        put_version(pk, &msg->u.version);
        break;
    case MSG_CRASH:
        put_crash(pk, &msg->u.crash);
        break;
    }
}

void
Frame_Init(struct frame_out *frame, const struct frame_header *header)
{
    /* Placeholder that Frame_Sign() overwrites with the signature. */
    static const char empty_mac[KEY_MAC_SIZE];
    msgpack_packer pk;
    msgpack_sbuffer_init(&frame->buffer);
    msgpack_sbuffer_write(&frame->buffer, empty_mac, sizeof(empty_mac));
    msgpack_packer_init(&pk, &frame->buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&pk, 7);
    put_uint(&pk, WIRE_VERSION);
    put_uint(&pk, header->from);
    put_uint(&pk, header->to);
    put_uint(&pk, header->role);
    put_str(&pk, header->node);
    put_str(&pk, header->addr);
    put_str(&pk, header->dc);
    frame->count = 0;
}

void
Frame_Finish(struct frame_out *frame)
{
    msgpack_sbuffer_destroy(&frame->buffer);
}

void
Frame_Add(struct frame_out *frame, const struct msg *msg)
{
    msgpack_packer pk;
    msgpack_packer_init(&pk, &frame->buffer, msgpack_sbuffer_write);
    put_msg(&pk, msg);
    frame->count++;
}

void
Frame_Sign(struct frame_out *frame, const struct key_secret *secret)
{
    unsigned char *data = (unsigned char *)frame->buffer.data;
    crypto_generichash(data, KEY_MAC_SIZE, data + KEY_MAC_SIZE,
                       frame->buffer.size - KEY_MAC_SIZE, secret->bytes,
                       KEY_SECRET_SIZE);
}
