/* Processes, the network between them, the registry and the upstreams. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"
#include "wire/frame.h"

#define JOBS 2048
#define OUTPUT_SIZE 64

static const struct key_secret secret;
static const char *const dcs[] = {"erie-shore", "huron-bay"};

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
fill_head(const struct sim_node *node, struct frame_header *head, uint64_t to)
{
    memset(head, 0, sizeof(*head));
    head->from = node->incarnation;
    head->to = to;
    head->role = is_entry(node) ? ROLE_ENTRY : ROLE_AGENT;
    snprintf(head->node, sizeof(head->node), "node-%u", node->index);
    snprintf(head->addr, sizeof(head->addr), "127.0.0.1:%u", node->index);
    memcpy(head->dc, dcs[node->index % 2], strlen(dcs[node->index % 2]));
}

static void
add_flight(struct sim *sim, uint64_t to, const struct frame_out *out)
{
    if (sim->frame_count == SIM_MAX_FRAMES) {
        return;
    }
    struct sim_frame *frame = &sim->frames[sim->frame_count++];
    uint64_t most_us = Sim_Chance(sim, sim->faults.frame_delay)
                           ? 5 * US_PER_S
                           : 5 * US_PER_MS;
    frame->to = to;
    frame->due_us = sim->now_us + Sim_Random(sim, most_us);
    frame->size = out->buffer.size;
    frame->data = malloc(frame->size);
    if (!frame->data) {
        abort();
    }
    memcpy(frame->data, out->buffer.data, frame->size);
}

static void
post(struct sim *sim, const struct sim_node *node, const struct act_send *act)
{
    struct frame_header head;
    struct frame_out out;
    if (Sim_Chance(sim, sim->faults.frame_loss)) {
        return;
    }
    fill_head(node, &head, act->to);
    Frame_Init(&out, &head);
    Frame_Add(&out, act->msg);
    Frame_Sign(&out, &secret);
    add_flight(sim, act->to, &out);
    if (Sim_Chance(sim, sim->faults.frame_duplication)) {
        add_flight(sim, act->to, &out);
    }
    Frame_Finish(&out);
}

static void
begin_run(struct sim *sim, const struct sim_node *node,
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
        post(sim, node, &act->u.send);
        break;
    case ACT_REPLY:
        Chk_OnReply(sim, node, act->u.reply.conn, act->u.reply.answer);
        break;
    case ACT_RUN:
        begin_run(sim, node, &act->u.run);
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

/* The commit takes effect at once; the process hears of it later. */
static void
commit_row(struct sim *sim, struct sim_node *node)
{
    struct sim_row *row = &sim->rows[node->index];
    struct frame_header head;
    uint8_t replaced = row->changed_version != 0;
    fill_head(node, &head, 0);
    memset(row, 0, sizeof(*row));
    memcpy(row->member.node, head.node, sizeof(row->member.node));
    memcpy(row->member.addr, head.addr, sizeof(row->member.addr));
    memcpy(row->member.dc, head.dc, sizeof(row->member.dc));
    row->member.role = head.role;
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
    Chk_Trace(sim, NULL, "node %u starts as %llx", node->index,
              (unsigned long long)node->incarnation);
    int status;
    if (is_entry(node)) {
        struct ent_settings settings = {
            .incarnation = node->incarnation,
            .job_capacity = JOBS,
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
            .task_capacity = JOBS,
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
        Chk_Trace(sim, NULL, "row of node %u removed at %llu", node->index,
                  (unsigned long long)row->changed_version);
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

/* One read at a time; its answer shows the rows as they were when it was
 * made, and may come late. */
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
    uint64_t most_us =
        Sim_Chance(sim, sim->faults.registry_delay) ? 6 * US_PER_S : US_PER_S;
    poll->pending = 1;
    poll->due_us = sim->now_us + Sim_Random(sim, most_us);
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

struct visit {
    struct sim *sim;
    struct sim_node *node;
};

static void
trace_msg(const struct sim *sim, const struct sim_node *node,
          const struct frame_header *head, const struct msg *msg)
{
    struct key range = {0};
    switch (msg->type) {
    case MSG_START:
        Chk_Trace(sim, &msg->u.start.key, "%s -> %u START task %u epoch %llu",
                  head->node, node->index, msg->u.start.task,
                  (unsigned long long)msg->u.start.epoch.n);
        break;
    case MSG_RESULT:
    case MSG_TASK_RECORD:
        Chk_Trace(sim, &msg->u.result.key, "%s -> %u %s task %d state %d %s",
                  head->node, node->index,
                  msg->type == MSG_TASK_RECORD ? "HELD" : "RESULT",
                  (int)msg->u.result.task, (int)msg->u.result.state,
                  Code_Name(msg->u.result.code));
        break;
    case MSG_FENCE:
        range.issuer = msg->u.fence.issuer;
        Chk_Trace(sim, &range, "%s -> %u FENCE epoch %llu/%llx", head->node,
                  node->index, (unsigned long long)msg->u.fence.epoch.n,
                  (unsigned long long)msg->u.fence.epoch.owner);
        break;
    case MSG_FENCED:
        range.issuer = msg->u.fenced.issuer;
        Chk_Trace(sim, &range, "%s -> %u FENCED epoch %llu/%llx, %u held",
                  head->node, node->index,
                  (unsigned long long)msg->u.fenced.epoch.n,
                  (unsigned long long)msg->u.fenced.epoch.owner,
                  msg->u.fenced.count);
        break;
    case MSG_SUBMIT:
        Chk_Trace(sim, &msg->u.submit.sub.key, "%s -> %u SUBMIT", head->node,
                  node->index);
        break;
    case MSG_ANSWER:
        Chk_Trace(sim, &msg->u.answer.answer.key, "%s -> %u ANSWER %s",
                  head->node, node->index,
                  Code_Name(msg->u.answer.answer.code));
        break;
    case MSG_CANCEL:
        Chk_Trace(sim, &msg->u.cancel.key, "%s -> %u CANCEL", head->node,
                  node->index);
        break;
    default:
        break;
    }
}

static void
on_message(void *context, const struct frame_header *head,
           const struct msg *msg)
{
    struct sim *sim = ((struct visit *)context)->sim;
    struct sim_node *node = ((struct visit *)context)->node;
    trace_msg(sim, node, head, msg);
    if (is_entry(node)) {
        Ent_OnMessage(&node->core.entry, Sim_Now(sim, node), head, msg);
    }
    else {
        Ag_OnMessage(&node->core.agent, Sim_Now(sim, node), head, msg);
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
        struct visit visit = {sim, node};
        struct err err = {0};
        if (Frame_Decode(frame.data, frame.size, &secret, on_message, &visit,
                         &err)) {
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
