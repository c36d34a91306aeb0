/** @file
 * Entries and agents in memory, with a clock, a table service and links under
 * the test's control. Messages are encoded as on a link. */
#ifndef TESTS_FRESH_H
#define TESTS_FRESH_H

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

/* A message on its way, encoded as on a link. */
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
    uint64_t last_read_us; /* Latest read of the store. */
};

static const struct key_secret secret = {{1}};

static struct {
    struct node nodes[NODES];
    struct counters counters;
    struct packet *queue;
    size_t count;
    uint8_t cut[NODES][NODES];
    uint8_t store_cut[NODES];
    uint8_t lose_state[NODES]; /* Configurations to it are lost. */
    struct config stored;
    uint64_t stored_rows;
    struct now now;
} world;

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
    assert_true(world.count < QUEUE_MAX);
    struct packet *letter = &world.queue[world.count++];
    struct frame_header head = {
        .from = node->incarnation,
        .to = act->u.send.to,
        .role = is_agent(node->index) ? ROLE_AGENT : ROLE_ENTRY,
    };
    letter->from = node->index;
    letter->to = act->u.send.to;
    Frame_Init(&letter->frame, &head);
    Frame_Add(&letter->frame, act->u.send.msg);
    Frame_Sign(&letter->frame, &secret);
}

static struct ent_member
make_member(int index)
{
    struct ent_member member = {.role =
                                    is_agent(index) ? ROLE_AGENT : ROLE_ENTRY};
    snprintf(member.node, sizeof(member.node), "node-%d", index);
    snprintf(member.dc, sizeof(member.dc), "dc-%d", index % 2);
    member.incarnation = world.nodes[index].incarnation;
    member.registered = (uint64_t)index + 1;
    return member;
}

/* The entry reads the store: the members and the newest configuration. */
static void
read_store(struct node *node, uint64_t asked_us)
{
    if (node->entry.registry_version == 0) {
        for (int i = 0; i < NODES; i++) {
            struct ent_member member = make_member(i);
            Ent_OnMember(&node->entry, world.now, &member);
        }
    }
    if (world.stored.version > node->config.version) {
        node->config = world.stored;
        Ent_OnConfig(&node->entry, world.now, &node->config,
                     (struct bytes){"whole", 5}, (struct bytes){NULL, 0}, 0);
    }
    Ent_OnVersion(&node->entry, world.now, world.stored_rows);
    Ent_OnStoreRead(&node->entry, world.now, asked_us);
}

static void
dispatch_message(void *context, const struct frame_header *head,
                 const struct msg *msg)
{
    struct node *to = context;
    if (!is_agent(to->index)) {
        Ent_OnMessage(&to->entry, world.now, head, msg);
    }
    else if (msg->type == MSG_STATE) {
        if (!world.lose_state[to->index]) {
            Ag_OnConfig(&to->agent, world.now, msg->u.state.version, 0);
        }
    }
    else {
        Ag_OnMessage(&to->agent, world.now, head, msg);
    }
}

static void
deliver(struct packet *letter)
{
    struct node *to = NULL;
    for (int i = 0; i < NODES; i++) {
        if (world.nodes[i].incarnation == letter->to) {
            to = &world.nodes[i];
        }
    }
    if (!to || world.cut[letter->from][to->index] || to->is_paused) {
        return;
    }
    struct err err = {0};
    const msgpack_sbuffer *bytes = &letter->frame.buffer;
    assert_int_equal(Frame_Decode(bytes->data, bytes->size, &secret,
                                  dispatch_message, to, &err),
                     0);
}

static void
deliver_all(void)
{
    for (size_t i = 0; i < world.count; i++) {
        struct packet letter = world.queue[i];
        deliver(&letter);
        Frame_Finish(&letter.frame);
    }
    world.count = 0;
}

static void
step_node(struct node *node)
{
    if (node->is_paused) {
        return;
    }
    if (is_agent(node->index)) {
        Ag_OnTick(&node->agent, world.now);
        return;
    }
    Ent_OnTick(&node->entry, world.now);
    if (!world.store_cut[node->index] &&
        world.now.us - node->last_read_us >= 250 * US_PER_MS) {
        node->last_read_us = world.now.us;
        read_store(node, world.now.us);
    }
}

static void
run_ms(uint64_t ms)
{
    uint64_t end_us = world.now.us + ms * US_PER_MS;
    while (world.now.us < end_us) {
        world.now.us += STEP_US;
        for (int i = 0; i < NODES; i++) {
            step_node(&world.nodes[i]);
        }
        deliver_all();
    }
}

static void
init_node(int index)
{
    struct node *node = &world.nodes[index];
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
        assert_int_equal(Ag_Init(&node->agent, &agent, sink, &world.counters),
                         0);
        Ag_OnRegistered(&node->agent, (uint64_t)index + 1);
    }
    else {
        assert_int_equal(
            Ent_Init(&node->entry, &entry, world.now, sink, &world.counters),
            0);
    }
}

static int
set_up(void **state)
{
    (void)state;
    memset(&world, 0, sizeof(world));
    world.queue = calloc(QUEUE_MAX, sizeof(world.queue[0]));
    world.now = (struct now){START_US, 1000};
    world.stored_rows = NODES;
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
    for (size_t i = 0; i < world.count; i++) {
        Frame_Finish(&world.queue[i].frame);
    }
    for (int i = 0; i < NODES; i++) {
        if (is_agent(i)) {
            Ag_Finish(&world.nodes[i].agent);
        }
        else {
            Ent_Finish(&world.nodes[i].entry);
        }
    }
    free(world.queue);
    return 0;
}

#endif
