/* Simulated processes, the network between them, the registry and the
 * upstreams. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"
#include "wire/frame.h"

#define JOB_CAPACITY 2048
#define OUTPUT_SIZE 64

static const struct key_secret secret;
static const char *const data_centres[] = {"erie-shore", "huron-bay"};

uint64_t
Sim_Random(struct sim *sim, uint64_t n)
{
    sim->random_state += 0x9e3779b97f4a7c15ull;
    uint64_t z = sim->random_state;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
    return (z ^ (z >> 31)) % n;
}

int
Sim_Chance(struct sim *sim, uint32_t thousandths)
{
    return Sim_Random(sim, 1000) < thousandths;
}

struct now
Sim_Now(const struct sim *sim, const struct sim_node *node)
{
    struct now now = {sim->now_us, 0};
    now.wall =
        (uint32_t)((int64_t)(SIM_START_WALL_S + sim->now_us / US_PER_S) +
                   node->wall_offset_s);
    return now;
}

int
Sim_IsRunning(const struct sim *sim, const struct sim_node *node)
{
    return node->up && node->paused_until_us <= sim->now_us;
}

static int
is_entry(const struct sim_node *node)
{
    return node->index < SIM_ENTRIES;
}

static struct sim_node *
find_node(struct sim *sim, uint64_t incarnation)
{
    for (uint32_t i = 0; i < SIM_NODES; i++) {
        if (sim->nodes[i].incarnation == incarnation) {
            return &sim->nodes[i];
        }
    }
    return NULL;
}

static void
fill_header(const struct sim_node *node, struct frame_header *header,
            uint64_t to)
{
    memset(header, 0, sizeof(*header));
    header->from = node->incarnation;
    header->to = to;
    header->role = is_entry(node) ? ROLE_ENTRY : ROLE_AGENT;
    snprintf(header->node, sizeof(header->node), "node-%u", node->index);
    snprintf(header->addr, sizeof(header->addr), "127.0.0.1:%u", node->index);
    memcpy(header->dc, data_centres[node->index % 2],
           strlen(data_centres[node->index % 2]));
}

static void
queue_frame(struct sim *sim, uint64_t to, const struct frame_out *out)
{
    if (sim->frame_count == SIM_MAX_FRAMES) {
        return;
    }
    struct sim_frame *frame = &sim->frames[sim->frame_count++];
    uint64_t max_delay_us = Sim_Chance(sim, sim->faults.frame_delay)
                                ? 5 * US_PER_S
                                : 5 * US_PER_MS;
    frame->to = to;
    frame->due_us = sim->now_us + Sim_Random(sim, max_delay_us);
    frame->size = out->buffer.size;
    frame->data = malloc(frame->size);
    if (!frame->data) {
        abort();
    }
    memcpy(frame->data, out->buffer.data, frame->size);
}

static void
send_frame(struct sim *sim, const struct sim_node *node,
           const struct act_send *act)
{
    struct frame_header header;
    struct frame_out out;
    if (Sim_Chance(sim, sim->faults.frame_loss)) {
        return;
    }
    fill_header(node, &header, act->to);
    Frame_Init(&out, &header);
    Frame_Add(&out, act->msg);
    Frame_Sign(&out, &secret);
    queue_frame(sim, act->to, &out);
    if (Sim_Chance(sim, sim->faults.frame_duplication)) {
        queue_frame(sim, act->to, &out);
    }
    Frame_Finish(&out);
}

static void
start_run(struct sim *sim, const struct sim_node *node,
          const struct act_run *act)
{
    Chk_OnStart(sim, node, act->start);
    if (sim->run_count == SIM_MAX_RUNS) {
        abort();
    }
    struct sim_run *run = &sim->runs[sim->run_count++];
    run->node = node->index;
    run->incarnation = node->incarnation;
    run->task = act->task;
    run->key = act->start->key;
    run->task_no = act->start->task;
    run->end_us = sim->now_us + Sim_Random(sim, 2 * US_PER_S);
}

static void
stop_run(struct sim *sim, const struct sim_node *node, tab_handle task)
{
    for (uint32_t i = 0; i < sim->run_count; i++) {
        struct sim_run *run = &sim->runs[i];
        if (run->incarnation == node->incarnation && run->task == task) {
            run->end_us = sim->now_us;
        }
    }
}

struct sink_context {
    struct sim *sim;
    struct sim_node *node;
};

static struct sink_context contexts[SIM_NODES];

static void
emit(void *context, const struct act *act)
{
    struct sim *sim = ((struct sink_context *)context)->sim;
    struct sim_node *node = ((struct sink_context *)context)->node;
    switch (act->type) {
    case ACT_SEND:
        send_frame(sim, node, &act->u.send);
        break;
    case ACT_REPLY:
        Chk_OnReply(sim, node, act->u.reply.conn, act->u.reply.answer);
        break;
    case ACT_RUN:
        start_run(sim, node, &act->u.run);
        break;
    case ACT_STOP:
        stop_run(sim, node, act->u.stop.task);
        break;
    case ACT_LINK:
    case ACT_LOG_EVENT:
    case ACT_UNLINK:
        break;
    }
}

/* The row is visible to others at once; the process learns of the commit up to
 * 1 s later. */
static void
commit_row(struct sim *sim, struct sim_node *node)
{
    struct sim_row *row = &sim->rows[node->index];
    struct frame_header header;
    uint8_t replaced = row->changed_version != 0;
    fill_header(node, &header, 0);
    memset(row, 0, sizeof(*row));
    memcpy(row->member.node, header.node, sizeof(row->member.node));
    memcpy(row->member.addr, header.addr, sizeof(row->member.addr));
    memcpy(row->member.dc, header.dc, sizeof(row->member.dc));
    row->member.role = header.role;
    row->member.incarnation = node->incarnation;
    row->member.registered = ++sim->registry_version;
    row->member.replaced = replaced;
    row->changed_version = sim->registry_version;
    node->registered = sim->registry_version;
    node->registration_known_us = sim->now_us + Sim_Random(sim, US_PER_S);
}

void
Sim_Boot(struct sim *sim, struct sim_node *node)
{
    struct sink_context *context = &contexts[node->index];
    struct act_sink sink = {emit, context};
    context->sim = sim;
    context->node = node;
    node->incarnation =
        ((uint64_t)node->index << 32) + ++sim->incarnation_count;
    node->up = 1;
    node->registered = 0;
    Chk_Trace(sim, NULL, "node %u starts, incarnation %llx", node->index,
              (unsigned long long)node->incarnation);
    int status;
    if (is_entry(node)) {
        struct ent_settings settings = {
            .incarnation = node->incarnation,
            .job_capacity = JOB_CAPACITY,
            .peer_capacity = SIM_NODES,
            .key_lifetime_s = SIM_KEY_LIFETIME_S,
        };
        memcpy(settings.dc, "erie-shore", sizeof("erie-shore"));
        memcpy(settings.seed, &node->incarnation, sizeof(uint64_t));
        memcpy(settings.seed + 8, &sim->seed, sizeof(uint64_t));
        status = Ent_Init(&node->core.entry, &settings, Sim_Now(sim, node),
                          sink, &node->counters);
    }
    else {
        struct ag_settings settings = {
            .incarnation = node->incarnation,
            .task_capacity = JOB_CAPACITY,
            .key_lifetime_s = SIM_KEY_LIFETIME_S,
        };
        status = Ag_Init(&node->core.agent, &settings, sink, &node->counters);
    }
    if (status) {
        abort();
    }
}

void
Sim_Crash(struct sim *sim, struct sim_node *node)
{
    Chk_Trace(sim, NULL, "node %u crashes", node->index);
    if (is_entry(node)) {
        Ent_Finish(&node->core.entry);
    }
    else {
        Ag_Finish(&node->core.agent);
    }
    node->up = 0;
    node->incarnation = 0;
    node->paused_until_us = 0;
    node->poll.pending = 0;
    node->down_until_us = sim->now_us + Sim_Random(sim, 8 * US_PER_S);
}

void
Sim_RemoveRow(struct sim *sim, struct sim_node *node)
{
    struct sim_row *row = &sim->rows[node->index];
    if (row->changed_version && !row->removed) {
        row->removed = 1;
        row->changed_version = ++sim->registry_version;
        Chk_Trace(sim, NULL, "row of node %u removed, registry version %llu",
                  node->index, (unsigned long long)row->changed_version);
    }
}

static void
apply_poll(struct sim *sim, struct sim_node *node)
{
    struct entry *entry = &node->core.entry;
    struct now now = Sim_Now(sim, node);
    struct sim_poll *poll = &node->poll;
    poll->pending = 0;
    for (uint32_t i = 0; i < SIM_NODES; i++) {
        struct sim_row *row = &poll->rows[i];
        if (row->changed_version <= poll->since) {
            continue;
        }
        if (row->removed) {
            Ent_OnMemberRemoved(entry, now, row->member.node,
                                row->changed_version);
        }
        else {
            Ent_OnMember(entry, now, &row->member);
        }
    }
    Ent_OnVersion(entry, now, poll->version);
}

/* An entry has at most one read of the registry in progress. Its answer holds
 * the rows as of the request, and may be delayed by up to 6 s. */
static void
poll_rows(struct sim *sim, struct sim_node *node)
{
    struct sim_poll *poll = &node->poll;
    if (poll->pending) {
        if (poll->due_us <= sim->now_us) {
            apply_poll(sim, node);
        }
        return;
    }
    uint64_t max_delay_us =
        Sim_Chance(sim, sim->faults.registry_delay) ? 6 * US_PER_S : US_PER_S;
    poll->pending = 1;
    poll->due_us = sim->now_us + Sim_Random(sim, max_delay_us);
    poll->version = sim->registry_version;
    poll->since = node->core.entry.registry_version;
    memcpy(poll->rows, sim->rows, sizeof(poll->rows));
}

void
Sim_Tick(struct sim *sim, struct sim_node *node)
{
    struct now now = Sim_Now(sim, node);
    if (!node->registered) {
        commit_row(sim, node);
    }
    if (is_entry(node)) {
        if (node->registration_known_us <= sim->now_us) {
            poll_rows(sim, node);
        }
        Ent_OnTick(&node->core.entry, now);
        return;
    }
    struct ag_announce announce = {
        .service = "finishing", .slots = 4, .connections = 8};
    for (uint32_t i = 0; i < sim->run_count; i++) {
        announce.running += sim->runs[i].node == node->index;
    }
    if (node->registration_known_us <= sim->now_us) {
        Ag_OnRegistered(&node->core.agent, node->registered);
    }
    Ag_OnAnnounce(&node->core.agent, now, &announce);
    Ag_OnTick(&node->core.agent, now);
}

struct delivery {
    struct sim *sim;
    struct sim_node *node;
};

static void
trace_msg(const struct sim *sim, const struct sim_node *node,
          const struct frame_header *header, const struct msg *msg)
{
    struct key issuer_keys = {0};
    switch (msg->type) {
    case MSG_START:
        Chk_Trace(sim, &msg->u.start.key, "%s -> %u START task %u epoch %llu",
                  header->node, node->index, msg->u.start.task,
                  (unsigned long long)msg->u.start.epoch.n);
        break;
    case MSG_RESULT:
    case MSG_TASK_RECORD:
        Chk_Trace(sim, &msg->u.result.key, "%s -> %u %s task %d state %d %s",
                  header->node, node->index,
                  msg->type == MSG_TASK_RECORD ? "TASK_RECORD" : "RESULT",
                  (int)msg->u.result.task, (int)msg->u.result.state,
                  Code_Name(msg->u.result.code));
        break;
    case MSG_FENCE:
        issuer_keys.issuer = msg->u.fence.issuer;
        Chk_Trace(sim, &issuer_keys, "%s -> %u FENCE epoch %llu/%llx",
                  header->node, node->index,
                  (unsigned long long)msg->u.fence.epoch.n,
                  (unsigned long long)msg->u.fence.epoch.owner);
        break;
    case MSG_FENCED:
        issuer_keys.issuer = msg->u.fenced.issuer;
        Chk_Trace(sim, &issuer_keys,
                  "%s -> %u FENCED epoch %llu/%llx, %u records", header->node,
                  node->index, (unsigned long long)msg->u.fenced.epoch.n,
                  (unsigned long long)msg->u.fenced.epoch.owner,
                  msg->u.fenced.count);
        break;
    case MSG_SUBMIT:
        Chk_Trace(sim, &msg->u.submit.sub.key, "%s -> %u SUBMIT", header->node,
                  node->index);
        break;
    case MSG_ANSWER:
        Chk_Trace(sim, &msg->u.answer.answer.key, "%s -> %u ANSWER %s",
                  header->node, node->index,
                  Code_Name(msg->u.answer.answer.code));
        break;
    case MSG_CANCEL:
        Chk_Trace(sim, &msg->u.cancel.key, "%s -> %u CANCEL", header->node,
                  node->index);
        break;
    default:
        break;
    }
}

static void
on_message(void *context, const struct frame_header *header,
           const struct msg *msg)
{
    struct sim *sim = ((struct delivery *)context)->sim;
    struct sim_node *node = ((struct delivery *)context)->node;
    trace_msg(sim, node, header, msg);
    if (is_entry(node)) {
        Ent_OnMessage(&node->core.entry, Sim_Now(sim, node), header, msg);
    }
    else {
        Ag_OnMessage(&node->core.agent, Sim_Now(sim, node), header, msg);
    }
}

void
Sim_Deliver(struct sim *sim)
{
    if (sim->frame_count == 0) {
        return;
    }
    uint32_t index = (uint32_t)Sim_Random(sim, sim->frame_count);
    struct sim_frame frame = sim->frames[index];
    struct sim_node *node = find_node(sim, frame.to);
    if (frame.due_us > sim->now_us || (node && !Sim_IsRunning(sim, node))) {
        return;
    }
    sim->frames[index] = sim->frames[--sim->frame_count];
    if (node) {
        struct delivery delivery = {sim, node};
        struct err err = {0};
        if (Frame_Decode(frame.data, frame.size, &secret, on_message,
                         &delivery, &err)) {
            abort();
        }
    }
    free(frame.data);
}

void
Sim_EndRun(struct sim *sim)
{
    if (sim->run_count == 0) {
        return;
    }
    uint32_t index = (uint32_t)Sim_Random(sim, sim->run_count);
    struct sim_run run = sim->runs[index];
    struct sim_node *node = find_node(sim, run.incarnation);
    if (run.end_us > sim->now_us || (node && !Sim_IsRunning(sim, node))) {
        return;
    }
    sim->runs[index] = sim->runs[--sim->run_count];
    if (node) {
        char output[OUTPUT_SIZE];
        int size =
            Chk_FormatOutput(output, sizeof(output), &run.key, run.task_no);
        enum code code = Sim_Chance(sim, 10) ? CODE_TASK_FAILED : CODE_OK;
        Ag_OnTaskEnd(&node->core.agent, Sim_Now(sim, node), run.task, code,
                     (struct bytes){output, (uint32_t)size}, 1);
    }
}

void
Sim_Finish(struct sim *sim)
{
    for (uint32_t i = 0; i < SIM_NODES; i++) {
        struct sim_node *node = &sim->nodes[i];
        if (node->up) {
            sim->takeovers += node->counters.value[CTR_takeovers];
            Sim_Crash(sim, node);
        }
    }
    for (uint32_t i = 0; i < sim->frame_count; i++) {
        free(sim->frames[i].data);
    }
}
