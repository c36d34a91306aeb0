/** @file
 * Entries and agents in one process, joined by queues of encoded frames. A
 * test decides which frames are lost or held back; upstreams log starts. */
#ifndef TESTS_NET_NODES_H
#define TESTS_NET_NODES_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/agent.h"
#include "core/entry.h"
#include "wire/frame.h"

#define NET_MAX_NODES 16
#define NET_MAX_STARTS 4096
#define NET_MAX_REPLIES 256
#define NET_MAX_RUNNING 256
#define NET_UNUSED __attribute__((unused))

struct net;

/** What becomes of a message. */
enum net_verdict { NET_PASS, NET_DROP, NET_DELAY };

/** A process. */
struct net_node {
    struct net *net;
    enum role role;
    int up;     /**< Runs; takes messages. */
    int paused; /**< Paused: takes messages and ticks when it wakes. */
    struct entry entry;
    struct agent agent;
    struct frame_header header;
    struct ent_member member;
    int run_ms;                /**< Run time of its tasks, -1 for ever. */
    int end_code;              /**< Tasks end with this code. */
    int leaving;               /**< The upstream takes nothing new. */
    struct resources capacity; /**< Of its upstream; all 0: slots count. */
    struct labels labels;      /**< The same. */
};

/** A frame on its way. */
struct net_frame {
    struct net_frame *next;
    uint64_t from;
    uint64_t to;
    struct frame_out out;
};

/** A task being run. */
struct net_run {
    struct net_node *node;
    tab_handle task;
    uint64_t start_us;
    uint64_t end_us;
    int stopped;
};

/** A start seen by an upstream. */
struct net_start {
    uint32_t seq;
    uint32_t task;
    struct net_node *node;
};

/** An answer given to a caller. */
struct net_reply {
    conn_id conn;
    struct key key;
    enum code code;
    uint32_t tasks;
    uint32_t first_output; /**< First bytes of the first output. */
};

/** Everything. */
struct net {
    struct now now;
    uint64_t version;
    struct counters counters;
    struct key_secret secret;
    struct net_node nodes[NET_MAX_NODES];
    int count;
    struct net_frame *in_flight;
    struct net_frame *delayed;
    struct net_start starts[NET_MAX_STARTS];
    uint32_t start_count;
    struct net_run runs[NET_MAX_RUNNING];
    struct net_reply replies[NET_MAX_REPLIES];
    uint32_t reply_count;
    uint32_t job_capacity;
    uint32_t task_capacity;
    enum net_verdict (*filter)(struct net *net, const struct net_node *from,
                               const struct net_node *to,
                               const struct msg *msg);
    int filter_arg;       /**< For `fate`. */
    struct timing timing; /**< Of nodes added from now on; all 0: standard. */
    int keep_heard_members; /**< The same. */
};

static struct net_node *
Net_Find(struct net *net, uint64_t incarnation)
{
    for (int i = 0; i < net->count; i++) {
        if (net->nodes[i].header.from == incarnation) {
            return &net->nodes[i];
        }
    }
    return NULL;
}

static void
net_append(struct net_frame **list, struct net_frame *frame)
{
    while (*list) {
        list = &(*list)->next;
    }
    frame->next = NULL;
    *list = frame;
}

static void
net_send(struct net_node *node, uint64_t to, const struct msg *msg)
{
    struct net *net = node->net;
    struct net_node *target = Net_Find(net, to);
    enum net_verdict fate = NET_PASS;
    if (target && net->filter) {
        fate = net->filter(net, node, target, msg);
    }
    if (!target || fate == NET_DROP) {
        return;
    }
    struct net_frame *frame = calloc(1, sizeof(*frame));
    node->header.to = to;
    Frame_Init(&frame->out, &node->header);
    Frame_Add(&frame->out, msg);
    Frame_Sign(&frame->out, &net->secret);
    frame->from = node->header.from;
    frame->to = to;
    net_append(fate == NET_DELAY ? &net->delayed : &net->in_flight, frame);
}

static void
net_run_task(struct net_node *node, const struct act_run *run)
{
    struct net *net = node->net;
    struct net_start *start = &net->starts[net->start_count++];
    assert_true(net->start_count < NET_MAX_STARTS);
    start->seq = run->start->key.seq;
    start->task = run->start->task;
    start->node = node;
    for (int i = 0; i < NET_MAX_RUNNING; i++) {
        struct net_run *slot = &net->runs[i];
        if (!slot->node) {
            slot->node = node;
            slot->task = run->task;
            slot->stopped = 0;
            slot->start_us = net->now.us;
            slot->end_us = node->run_ms < 0
                               ? UINT64_MAX
                               : net->now.us + (uint64_t)node->run_ms * 1000;
            return;
        }
    }
    fail_msg("too many tasks");
}

static void
net_emit(void *context, const struct act *act)
{
    struct net_node *node = context;
    struct net *net = node->net;
    switch (act->type) {
    case ACT_SEND:
        net_send(node, act->u.send.to, act->u.send.msg);
        break;
    case ACT_RUN:
        net_run_task(node, &act->u.run);
        break;
    case ACT_STOP:
        for (int i = 0; i < NET_MAX_RUNNING; i++) {
            if (net->runs[i].node == node &&
                net->runs[i].task == act->u.stop.task) {
                net->runs[i].stopped = 1;
            }
        }
        break;
    case ACT_REPLY: {
        const struct answer *answer = act->u.reply.answer;
        struct net_reply *reply = &net->replies[net->reply_count++];
        assert_true(net->reply_count < NET_MAX_REPLIES);
        reply->conn = act->u.reply.conn;
        reply->key = answer->key;
        reply->code = answer->code;
        reply->tasks = answer->task_count;
        reply->first_output = 0;
        if (answer->task_count &&
            answer->tasks[0].output.size >= sizeof(uint32_t)) {
            memcpy(&reply->first_output, answer->tasks[0].output.data,
                   sizeof(uint32_t));
        }
        break;
    }
    case ACT_LINK:
    case ACT_LOG_EVENT:
    case ACT_UNLINK:
        break;
    }
}

NET_UNUSED static void
Net_Init(struct net *net)
{
    memset(net, 0, sizeof(*net));
    net->now.us = 1000 * US_PER_S;
    net->now.wall = 1000000;
    net->job_capacity = 256;
    net->task_capacity = 1024;
    Key_Derive(&net->secret, "test passphrase");
}

static struct net_node *
net_add(struct net *net, enum role role, const char *name)
{
    struct net_node *node = &net->nodes[net->count++];
    assert_true(net->count <= NET_MAX_NODES);
    memset(node, 0, sizeof(*node));
    node->net = net;
    node->role = role;
    node->up = 1;
    node->run_ms = 50;
    /* Later nodes have lower incarnations when the name ends in '-'. */
    node->header.from = 1000 + (uint64_t)net->count;
    if (name[strlen(name) - 1] == '-') {
        node->header.from = 900 - (uint64_t)net->count;
    }
    node->header.role = role;
    snprintf(node->header.node, sizeof(node->header.node), "%s", name);
    snprintf(node->header.addr, sizeof(node->header.addr), "10.0.0.%d:1",
             net->count);
    memcpy(node->member.node, node->header.node, sizeof(node->member.node));
    memcpy(node->member.addr, node->header.addr, sizeof(node->member.addr));
    node->member.role = role;
    node->member.incarnation = node->header.from;
    return node;
}

/** Commit a node's row and let every live entry read it. */
NET_UNUSED static void
Net_Register(struct net *net, struct net_node *node)
{
    node->member.registered = ++net->version;
    for (int i = 0; i < net->count; i++) {
        struct net_node *other = &net->nodes[i];
        if (other->role != ROLE_ENTRY || !other->up || other->paused) {
            continue;
        }
        Ent_OnMember(&other->entry, net->now, &node->member);
        Ent_OnVersion(&other->entry, net->now, net->version);
    }
    if (node->role == ROLE_AGENT) {
        Ag_OnRegistered(&node->agent, net->version);
    }
}

/** Let an entry read the whole registry. */
NET_UNUSED static void
Net_ReadRegistry(struct net *net, struct net_node *entry)
{
    for (int i = 0; i < net->count; i++) {
        struct net_node *other = &net->nodes[i];
        int replaced = 0;
        for (int j = i + 1; j < net->count; j++) {
            replaced |=
                strcmp(other->member.node, net->nodes[j].member.node) == 0 &&
                net->nodes[j].member.registered != 0;
        }
        if (other->member.registered && !replaced) {
            Ent_OnMember(&entry->entry, net->now, &other->member);
        }
    }
    Ent_OnVersion(&entry->entry, net->now, net->version);
}

NET_UNUSED static struct net_node *
Net_AddEntry(struct net *net, const char *name)
{
    struct net_node *node = net_add(net, ROLE_ENTRY, name);
    struct ent_settings settings = {
        .incarnation = node->header.from,
        .job_capacity = net->job_capacity,
        .peer_capacity = 32,
        .key_lifetime_s = 300,
        .timing = net->timing,
        .keep_heard_members = (uint8_t)net->keep_heard_members,
    };
    settings.seed[0] = (unsigned char)net->count;
    struct act_sink sink = {net_emit, node};
    assert_int_equal(
        Ent_Init(&node->entry, &settings, net->now, sink, &net->counters), 0);
    Net_Register(net, node);
    Net_ReadRegistry(net, node);
    return node;
}

NET_UNUSED static struct net_node *
Net_AddAgentUnregistered(struct net *net, const char *name)
{
    struct net_node *node = net_add(net, ROLE_AGENT, name);
    struct ag_settings settings = {
        .incarnation = node->header.from,
        .task_capacity = net->task_capacity,
        .key_lifetime_s = 300,
        .issuer_capacity = 64,
        .timing = net->timing,
    };
    struct act_sink sink = {net_emit, node};
    assert_int_equal(Ag_Init(&node->agent, &settings, sink, &net->counters),
                     0);
    return node;
}

NET_UNUSED static struct net_node *
Net_AddAgent(struct net *net, const char *name)
{
    struct net_node *node = Net_AddAgentUnregistered(net, name);
    Net_Register(net, node);
    return node;
}

NET_UNUSED static void
Net_Kill(struct net_node *node)
{
    struct net *net = node->net;
    node->up = 0;
    for (int i = 0; i < NET_MAX_RUNNING; i++) {
        if (net->runs[i].node == node) {
            net->runs[i].node = NULL;
        }
    }
}

#endif
