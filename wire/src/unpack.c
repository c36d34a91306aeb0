#include "unpack.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Iterator over the elements of an array. `failed` is set by the first element
 * that is missing, of the wrong type or out of range, and stays set, so that
 * it needs to be checked only once, at the end. */
struct cursor {
    const msgpack_object *item;
    uint32_t left;
    int failed;
};

/* Return the next element and advance, or NULL if it is missing or not of this
 * type. */
static const msgpack_object *
take(struct cursor *c, msgpack_object_type type)
{
    if (c->failed || c->left == 0 || c->item->type != type) {
        c->failed = 1;
        return NULL;
    }
    c->left--;
    return c->item++;
}

/* Take an unsigned integer of at most `max`. */
static uint64_t
take_uint(struct cursor *c, uint64_t max)
{
    const msgpack_object *object = take(c, MSGPACK_OBJECT_POSITIVE_INTEGER);
    if (!object || object->via.u64 > max) {
        c->failed = 1;
        return 0;
    }
    return object->via.u64;
}

static uint64_t
take_u64(struct cursor *c)
{
    return take_uint(c, UINT64_MAX);
}

static uint32_t
take_u32(struct cursor *c)
{
    return (uint32_t)take_uint(c, UINT32_MAX);
}

/* Take a string without NUL that fits in `size` bytes with its terminator. */
static void
take_str(struct cursor *c, char *out, size_t size)
{
    const msgpack_object *object = take(c, MSGPACK_OBJECT_STR);
    out[0] = '\0';
    if (!object || object->via.str.size == 0) {
        return;
    }
    if (object->via.str.size >= size ||
        memchr(object->via.str.ptr, '\0', object->via.str.size)) {
        c->failed = 1;
        return;
    }
    memcpy(out, object->via.str.ptr, object->via.str.size);
    out[object->via.str.size] = '\0';
}

static struct bytes
take_bytes(struct cursor *c)
{
    struct bytes bytes = {NULL, 0};
    const msgpack_object *object = take(c, MSGPACK_OBJECT_BIN);
    if (object) {
        bytes.data = object->via.bin.ptr;
        bytes.size = object->via.bin.size;
    }
    return bytes;
}

static struct cursor
take_array(struct cursor *c)
{
    struct cursor inner = {NULL, 0, 1};
    const msgpack_object *object = take(c, MSGPACK_OBJECT_ARRAY);
    if (object) {
        inner.item = object->via.array.ptr;
        inner.left = object->via.array.size;
        inner.failed = 0;
    }
    return inner;
}

static void
take_key(struct cursor *c, struct key *key)
{
    struct cursor inner = take_array(c);
    key->issuer = take_u64(&inner);
    key->registry_version = take_u64(&inner);
    key->seq = take_u32(&inner);
    key->issued_s = take_u32(&inner);
    c->failed |= inner.failed || inner.left != 0;
}

static void
take_epoch(struct cursor *c, struct epoch *epoch)
{
    epoch->n = take_u64(c);
    epoch->owner = take_u64(c);
}

static void
take_resources(struct cursor *c, struct resources *amount)
{
    amount->cpu = take_u32(c);
    amount->memory_mb = take_u32(c);
    amount->gpu = take_u32(c);
}

static void
take_labels(struct cursor *c, struct labels *labels)
{
    struct cursor inner = take_array(c);
    labels->count = inner.left;
    if (labels->count > WIRE_MAX_LABELS) {
        labels->count = 0;
        c->failed = 1;
        return;
    }
    for (uint32_t i = 0; i < labels->count; i++) {
        take_str(&inner, labels->names[i], sizeof(labels->names[i]));
    }
    c->failed |= inner.failed;
}

static enum code
take_code(struct cursor *c)
{
    uint32_t number = take_u32(c);
    if (!Code_IsKnown(number)) {
        c->failed = 1;
    }
    return (enum code)number;
}

static void
get_heartbeat(struct cursor *c, struct msg_heartbeat *m)
{
    m->sent_us = take_u64(c);
    m->echo_us = take_u64(c);
    m->version = take_u64(c);
    m->draining = (uint8_t)take_uint(c, 1);
    m->is_last = (uint8_t)take_uint(c, 1);
}

static void
get_agent_status(struct cursor *c, struct msg_agent_status *m)
{
    take_str(c, m->service, sizeof(m->service));
    m->slots = take_u32(c);
    m->busy = take_u32(c);
    m->receiver_busy = take_u32(c);
    m->connections = take_u32(c);
    m->memory_mb = take_u32(c);
    m->cores = take_u32(c);
    take_resources(c, &m->capacity);
    take_resources(c, &m->used);
    take_resources(c, &m->receiver_used);
    m->registered = take_u64(c);
    m->ejected = (uint8_t)take_uint(c, 1);
    m->leaving = (uint8_t)take_uint(c, 1);
    take_labels(c, &m->labels);
}

static void
get_issuers(struct cursor *c, struct msg_issuers *m)
{
    m->count = c->left / 3;
    if (m->count > WIRE_MAX_ISSUERS) {
        c->failed = 1;
        return;
    }
    for (uint32_t i = 0; i < m->count; i++) {
        m->items[i].issuer = take_u64(c);
        take_epoch(c, &m->items[i].epoch);
    }
}

static void
get_start(struct cursor *c, struct msg_start *m)
{
    take_key(c, &m->key);
    take_epoch(c, &m->epoch);
    m->task = take_u32(c);
    m->attempt = take_u32(c);
    m->deadline_ms = take_u32(c);
    m->lease_ms = take_u32(c);
    m->flags = take_u32(c);
    m->priority = (enum priority)take_uint(c, PRIO_COUNT - 1);
    m->hold_ms = take_u32(c);
    take_str(c, m->kind, sizeof(m->kind));
    take_str(c, m->team, sizeof(m->team));
    m->body_hash = take_u64(c);
    m->input = take_bytes(c);
    m->name = take_u64(c);
    take_resources(c, &m->need);
    m->estimate_ms = take_u32(c);
    m->agent_heartbeat_us = take_u64(c);
    take_str(c, m->label, sizeof(m->label));
}

static void
get_result(struct cursor *c, enum msg_type type, struct msg_result *m)
{
    take_key(c, &m->key);
    take_epoch(c, &m->epoch);
    m->task = take_u32(c);
    m->attempt = take_u32(c);
    m->state = (enum task_state)take_uint(c, TASK_WAITING);
    if (m->state < TASK_REFUSED) {
        c->failed = 1;
    }
    m->code = take_code(c);
    m->run_us = take_u32(c);
    m->busy = take_u32(c);
    m->receiver_busy = take_u32(c);
    take_resources(c, &m->used);
    take_resources(c, &m->receiver_used);
    if (type == MSG_TASK_RECORD) {
        m->body_hash = take_u64(c);
        m->report = take_u32(c);
        m->index = take_u32(c);
    }
    m->output = take_bytes(c);
}

static void
get_fenced(struct cursor *c, struct msg_fenced *m)
{
    m->issuer = take_u64(c);
    take_epoch(c, &m->epoch);
    m->report = take_u32(c);
    m->count = take_u32(c);
    m->expired_until_s = take_u32(c);
}

static void
get_version(struct cursor *c, struct msg_version *m)
{
    m->config = take_u64(c);
    m->members = take_u64(c);
    m->sent_us = take_u64(c);
    m->echo_us = take_u64(c);
    m->age_us = take_u64(c);
    m->store_read = (uint8_t)take_uint(c, 1);
}

/* Number of tasks in an array with three elements for each task. */
static uint32_t
read_task_count(struct cursor *c, const struct cursor *inner)
{
    uint32_t count = inner->left / 3;
    if (inner->failed || inner->left % 3 != 0 || count > WIRE_MAX_TASKS) {
        c->failed = 1;
        return 0;
    }
    return count;
}

static void
get_submit(struct cursor *c, struct msg_submit *m, struct arena *arena)
{
    struct submission *sub = &m->sub;
    m->conn = take_u64(c);
    take_key(c, &sub->key);
    take_str(c, sub->service, sizeof(sub->service));
    take_str(c, sub->kind, sizeof(sub->kind));
    take_str(c, sub->team, sizeof(sub->team));
    sub->deadline_ms = take_u32(c);
    sub->memory_mb = take_u32(c);
    sub->cores = take_u32(c);
    sub->priority = (enum priority)take_uint(c, PRIO_COUNT - 1);
    sub->flags = take_u32(c);
    struct cursor inner = take_array(c);
    uint32_t count = read_task_count(c, &inner);
    struct sub_task *tasks = Unpk_AllocArray(arena, count, sizeof(*tasks));
    if (!tasks || count == 0) {
        c->failed = 1;
        return;
    }
    for (uint32_t i = 0; i < count; i++) {
        tasks[i].no = take_u32(&inner);
        tasks[i].run_ms = take_u32(&inner);
        tasks[i].input = take_bytes(&inner);
    }
    sub->tasks = tasks;
    sub->task_count = count;
    c->failed |= inner.failed;
}

static void
get_answer(struct cursor *c, struct answer *answer, struct arena *arena)
{
    take_key(c, &answer->key);
    answer->code = take_code(c);
    take_str(c, answer->detail, sizeof(answer->detail));
    answer->retry_after_ms = take_u32(c);
    struct cursor inner = take_array(c);
    uint32_t count = read_task_count(c, &inner);
    struct answer_task *tasks = Unpk_AllocArray(arena, count, sizeof(*tasks));
    if (!tasks) {
        c->failed = 1;
        return;
    }
    for (uint32_t i = 0; i < count; i++) {
        tasks[i].no = take_u32(&inner);
        tasks[i].code = take_code(&inner);
        tasks[i].output = take_bytes(&inner);
    }
    answer->tasks = tasks;
    answer->task_count = count;
    c->failed |= inner.failed;
}

static void
get_handover(struct cursor *c, struct msg_handover *m, struct arena *arena)
{
    get_answer(c, &m->answer, arena);
    m->body_hash = take_u64(c);
    take_epoch(c, &m->epoch);
    m->last = (uint8_t)take_uint(c, 1);
}

static void
get_usage(struct cursor *c, struct msg_usage *m)
{
    uint32_t count = c->left / 4;
    if (c->left % 4 != 0 || count > WIRE_MAX_USAGE) {
        c->failed = 1;
        return;
    }
    m->count = count;
    for (uint32_t i = 0; i < count; i++) {
        take_str(c, m->items[i].service, sizeof(m->items[i].service));
        take_str(c, m->items[i].team, sizeof(m->items[i].team));
        m->items[i].slots = take_u32(c);
        m->items[i].has_waiting = (uint8_t)take_uint(c, 1);
    }
}

static void
get_crash(struct cursor *c, struct msg_crash *m)
{
    m->agent = take_u64(c);
    m->number = take_u32(c);
    m->age_ms = take_u32(c);
    m->young_count = take_u32(c);
    take_str(c, m->service, sizeof(m->service));
    uint32_t count = c->left / 4;
    if (c->left % 4 != 0 || count > WIRE_MAX_SUSPECTS ||
        m->young_count > count) {
        c->failed = 1;
        return;
    }
    m->count = count;
    for (uint32_t i = 0; i < count; i++) {
        struct crash_suspect *suspect = &m->suspects[i];
        suspect->name = take_u64(c);
        suspect->task = take_u32(c);
        suspect->has_begun = (uint8_t)take_uint(c, 1);
        take_str(c, suspect->kind, sizeof(suspect->kind));
    }
}

int
Unpk_Msg(const msgpack_object *object, struct msg *msg, struct arena *arena)
{
    struct cursor outer = {object, 1, 0};
    struct cursor c = take_array(&outer);
    memset(msg, 0, sizeof(*msg));
    msg->type = (enum msg_type)take_uint(&c, MSG_CRASH);
    switch (msg->type) {
    case MSG_HEARTBEAT:
        get_heartbeat(&c, &msg->u.heartbeat);
        break;
    case MSG_AGENT_STATUS:
        get_agent_status(&c, &msg->u.agent_status);
        break;
    case MSG_ISSUERS:
        get_issuers(&c, &msg->u.issuers);
        break;
    case MSG_START:
        get_start(&c, &msg->u.start);
        break;
    case MSG_RESULT:
    case MSG_TASK_RECORD:
        get_result(&c, msg->type, &msg->u.result);
        break;
    case MSG_RELEASE:
        take_key(&c, &msg->u.release.key);
        break;
    case MSG_CANCEL:
        take_key(&c, &msg->u.cancel.key);
        take_epoch(&c, &msg->u.cancel.epoch);
        break;
    case MSG_FENCE:
        msg->u.fence.issuer = take_u64(&c);
        take_epoch(&c, &msg->u.fence.epoch);
        break;
    case MSG_FENCED:
        get_fenced(&c, &msg->u.fenced);
        break;
    case MSG_SUBMIT:
        get_submit(&c, &msg->u.submit, arena);
        break;
    case MSG_ANSWER:
        msg->u.answer.conn = take_u64(&c);
        get_answer(&c, &msg->u.answer.answer, arena);
        break;
    case MSG_JOB_QUERY:
        take_key(&c, &msg->u.job_query.key);
        msg->u.job_query.query =
            (enum job_query)take_uint(&c, JOB_QUERY_CANCEL);
        msg->u.job_query.conn = take_u64(&c);
        break;
    case MSG_STATE:
        msg->u.state.version = take_u64(&c);
        msg->u.state.rows = take_bytes(&c);
        break;
    case MSG_RESULT_ACK:
        take_key(&c, &msg->u.result_ack.key);
        msg->u.result_ack.task = take_u32(&c);
        break;
    case MSG_HANDOVER:
        get_handover(&c, &msg->u.handover, arena);
        break;
    case MSG_HANDOVER_ACK:
        take_key(&c, &msg->u.handover_ack.key);
        take_epoch(&c, &msg->u.handover_ack.epoch);
        msg->u.handover_ack.last = (uint8_t)take_uint(&c, 1);
        break;
    case MSG_USAGE:
        get_usage(&c, &msg->u.usage);
        break;
    case MSG_VERSION:
        get_version(&c, &msg->u.version);
        break;
    case MSG_CRASH:
        get_crash(&c, &msg->u.crash);
        break;
    default:
        return -1;
    }
    return c.failed || c.left != 0 ? -1 : 0;
}

int
Unpk_Header(const msgpack_object *object, struct frame_header *header,
            struct err *err)
{
    struct cursor outer = {object, 1, 0};
    struct cursor c = take_array(&outer);
    uint64_t version = take_u64(&c);
    if (!c.failed && version != WIRE_VERSION) {
        return Err_Set(err, CODE_BAD_VERSION,
                       "frame has message version %llu, expected %d",
                       (unsigned long long)version, WIRE_VERSION);
    }
    memset(header, 0, sizeof(*header));
    header->from = take_u64(&c);
    header->to = take_u64(&c);
    header->role = (enum role)take_uint(&c, ROLE_AGENT);
    take_str(&c, header->node, sizeof(header->node));
    take_str(&c, header->addr, sizeof(header->addr));
    take_str(&c, header->dc, sizeof(header->dc));
    if (c.failed || c.left != 0 || header->role < ROLE_ENTRY ||
        header->from == 0) {
        return Err_Set(err, CODE_BAD_FRAME, "frame header is malformed");
    }
    return 0;
}
