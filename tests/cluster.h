/** @file
 * A cluster of entries and agents in one process. The test controls the clock,
 * the table service and the links; messages are encoded as on a real link. */
#ifndef TESTS_CLUSTER_H
#define TESTS_CLUSTER_H

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

#define ENTRIES 3
#define AGENTS 2
#define NODES (ENTRIES + AGENTS)
#define QUEUE_MAX 65536
#define STEP_US (10 * US_PER_MS)
#define START_US (100 * US_PER_S)

/* A frame with one message that has been sent and not yet delivered. */
struct packet {
    int from;
    uint64_t to;
    struct frame_out frame;
};

struct node {
    int index;
    uint64_t incarnation;
    int is_paused;
    struct entry entry;
    struct agent agent;
    struct config config;
    uint64_t last_read_us; /* Time of the latest read of the store. */
};

static const struct key_secret secret = {{1}};

static struct {
    struct node nodes[NODES];
    struct counters counters;
    struct packet *queue;
    size_t count;
    uint8_t cut[NODES][NODES]; /* By sender and receiver. */
    uint8_t store_cut[NODES];  /* The node cannot read the store. */
    uint8_t drop_state[NODES]; /* The node loses configurations sent to it. */
    struct config stored;      /* In the store. */
    uint64_t rows_version;     /* Version of the store's rows. */
    struct now now;
} cluster;

static int
is_agent(int index)
{
    return index >= ENTRIES;
}

static void
emit(void *context, const struct act *act)
{
    struct node *node = context;
    if (act->type != ACT_SEND || act->u.send.msg->type == MSG_ISSUERS) {
        return;
    }
    assert_true(cluster.count < QUEUE_MAX);
    struct packet *packet = &cluster.queue[cluster.count++];
    struct frame_header header = {
        .from = node->incarnation,
        .to = act->u.send.to,
        .role = is_agent(node->index) ? ROLE_AGENT : ROLE_ENTRY,
    };
    packet->from = node->index;
    packet->to = act->u.send.to;
    Frame_Init(&packet->frame, &header);
    Frame_Add(&packet->frame, act->u.send.msg);
    Frame_Sign(&packet->frame, &secret);
}

static struct ent_member
make_member(int index)
{
    struct ent_member member = {.role =
                                    is_agent(index) ? ROLE_AGENT : ROLE_ENTRY};
    snprintf(member.node, sizeof(member.node), "node-%d", index);
    snprintf(member.dc, sizeof(member.dc), "dc-%d", index % 2);
    member.incarnation = cluster.nodes[index].incarnation;
    member.registered = (uint64_t)index + 1;
    return member;
}

/* The entry reads the members and the newest configuration from the store. The
 * read was requested at `read_us`. */
static void
read_store(struct node *node, uint64_t read_us)
{
    if (node->entry.registry_version == 0) {
        for (int i = 0; i < NODES; i++) {
            struct ent_member member = make_member(i);
            Ent_OnMember(&node->entry, cluster.now, &member);
        }
    }
    if (cluster.stored.version > node->config.version) {
        node->config = cluster.stored;
        Ent_OnConfig(&node->entry, cluster.now, &node->config,
                     (struct bytes){"whole", 5}, (struct bytes){NULL, 0}, 0);
    }
    Ent_OnVersion(&node->entry, cluster.now, cluster.rows_version);
    Ent_OnStoreRead(&node->entry, cluster.now, read_us);
}

static void
dispatch_message(void *context, const struct frame_header *header,
                 const struct msg *msg)
{
    struct node *to = context;
    if (!is_agent(to->index)) {
        Ent_OnMessage(&to->entry, cluster.now, header, msg);
    }
    else if (msg->type == MSG_STATE) {
        if (!cluster.drop_state[to->index]) {
            Ag_OnConfig(&to->agent, cluster.now, msg->u.state.version, 0);
        }
    }
    else {
        Ag_OnMessage(&to->agent, cluster.now, header, msg);
    }
}

static void
deliver(struct packet *packet)
{
    struct node *to = NULL;
    for (int i = 0; i < NODES; i++) {
        if (cluster.nodes[i].incarnation == packet->to) {
            to = &cluster.nodes[i];
        }
    }
    if (!to || cluster.cut[packet->from][to->index] || to->is_paused) {
        return;
    }
    struct err err = {0};
    const msgpack_sbuffer *bytes = &packet->frame.buffer;
    assert_int_equal(Frame_Decode(bytes->data, bytes->size, &secret,
                                  dispatch_message, to, &err),
                     0);
}

static void
deliver_all(void)
{
    for (size_t i = 0; i < cluster.count; i++) {
        struct packet packet = cluster.queue[i];
        deliver(&packet);
        Frame_Finish(&packet.frame);
    }
    cluster.count = 0;
}

static void
step_node(struct node *node)
{
    if (node->is_paused) {
        return;
    }
    if (is_agent(node->index)) {
        Ag_OnTick(&node->agent, cluster.now);
        return;
    }
    Ent_OnTick(&node->entry, cluster.now);
    if (!cluster.store_cut[node->index] &&
        cluster.now.us - node->last_read_us >= 250 * US_PER_MS) {
        node->last_read_us = cluster.now.us;
        read_store(node, cluster.now.us);
    }
}

static void
run_ms(uint64_t ms)
{
    uint64_t end_us = cluster.now.us + ms * US_PER_MS;
    while (cluster.now.us < end_us) {
        cluster.now.us += STEP_US;
        for (int i = 0; i < NODES; i++) {
            step_node(&cluster.nodes[i]);
        }
        deliver_all();
    }
}

static void
init_node(int index)
{
    struct node *node = &cluster.nodes[index];
    struct act_sink sink = {emit, node};
    node->index = index;
    node->incarnation = 1000 + (uint64_t)index;
    struct ent_settings entry = {.incarnation = node->incarnation,
                                 .job_capacity = 16,
                                 .peer_capacity = 16,
                                 .key_lifetime_s = 300,
                                 .require_fresh = 1};
    struct ag_settings agent = {.incarnation = node->incarnation,
                                .task_capacity = 16,
                                .key_lifetime_s = 300,
                                .require_fresh = 1};
    if (is_agent(index)) {
        assert_int_equal(
            Ag_Init(&node->agent, &agent, sink, &cluster.counters), 0);
        Ag_OnRegistered(&node->agent, (uint64_t)index + 1);
    }
    else {
        assert_int_equal(Ent_Init(&node->entry, &entry, cluster.now, sink,
                                  &cluster.counters),
                         0);
    }
}

static int
set_up(void **state)
{
    (void)state;
    memset(&cluster, 0, sizeof(cluster));
    cluster.queue = calloc(QUEUE_MAX, sizeof(cluster.queue[0]));
    cluster.now = (struct now){START_US, 1000};
    cluster.rows_version = NODES;
    for (int i = 0; i < NODES; i++) {
        init_node(i);
    }
    run_ms(3000);
    return 0;
}

static int
tear_down(void **state)
{
    (void)state;
    for (size_t i = 0; i < cluster.count; i++) {
        Frame_Finish(&cluster.queue[i].frame);
    }
    for (int i = 0; i < NODES; i++) {
        if (is_agent(i)) {
            Ag_Finish(&cluster.nodes[i].agent);
        }
        else {
            Ent_Finish(&cluster.nodes[i].entry);
        }
    }
    free(cluster.queue);
    return 0;
}

#endif
