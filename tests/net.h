/** @file
 * Time in the simulated network of net_nodes.h: frames are delivered, tasks
 * end and nodes tick. */
#ifndef TESTS_NET_H
#define TESTS_NET_H

#include "net_nodes.h"
#include "net_upstream.h"

static void
net_on_message(void *context, const struct frame_header *header,
               const struct msg *msg)
{
    struct net_node *node = context;
    if (node->role == ROLE_ENTRY) {
        Ent_OnMessage(&node->entry, node->net->now, header, msg);
    }
    else {
        Ag_OnMessage(&node->agent, node->net->now, header, msg);
    }
}

static void
net_free(struct net_frame *frame)
{
    Frame_Finish(&frame->out);
    free(frame);
}

static void
net_deliver(struct net *net, struct net_frame *frame)
{
    struct err err = {0};
    struct net_node *node = Net_Find(net, frame->to);
    if (node && node->up && node->paused) {
        net_append(&net->in_flight, frame);
        return;
    }
    if (node && node->up) {
        assert_int_equal(Frame_Decode(frame->out.buffer.data,
                                      frame->out.buffer.size, &net->secret,
                                      net_on_message, node, &err),
                         0);
    }
    net_free(frame);
}

/** Deliver the frames that are in flight now, not those sent meanwhile. */
NET_UNUSED static void
Net_Pump(struct net *net)
{
    struct net_frame *frame = net->in_flight;
    net->in_flight = NULL;
    while (frame) {
        struct net_frame *next = frame->next;
        net_deliver(net, frame);
        frame = next;
    }
}

/** Put the delayed frames in flight again, in the order of sending. */
NET_UNUSED static void
Net_ReleaseDelayed(struct net *net)
{
    struct net_frame *frame = net->delayed;
    net->delayed = NULL;
    while (frame) {
        struct net_frame *next = frame->next;
        net_append(&net->in_flight, frame);
        frame = next;
    }
}

/* Append the tasks that run at `node`, and are young or are not, to the
 * list. */
static uint32_t
net_list_tasks(const struct net_node *node, int are_young,
               struct ag_suspect *tasks, uint32_t count)
{
    const struct net *net = node->net;
    for (int i = 0; i < NET_MAX_RUNNING; i++) {
        const struct net_run *run = &net->runs[i];
        uint64_t age_us = net->now.us - run->start_us;
        if (run->node == node && (age_us <= 40 * US_PER_MS) == are_young) {
            tasks[count++] =
                (struct ag_suspect){run->task, !net->are_starts_unanswered};
        }
    }
    return count;
}

/** Crash the upstream of `node`. Tasks that began at most 40 ms before are
 * young. */
static void
Net_Crash(struct net_node *node)
{
    struct net *net = node->net;
    struct ag_suspect tasks[NET_MAX_RUNNING];
    uint32_t young = net_list_tasks(node, 1, tasks, 0);
    uint32_t count = net_list_tasks(node, 0, tasks, young);
    for (int i = 0; i < NET_MAX_RUNNING; i++) {
        if (net->runs[i].node == node) {
            net->runs[i].node = NULL;
        }
    }
    node->crashes++;
    node->away_until_us = net->now.us + NET_AWAY_MS * US_PER_MS;
    Ag_OnUpstreamGone(&node->agent, net->now);
    Ag_OnUpstreamCrash(&node->agent, net->now, 0, tasks, count, young);
    for (uint32_t i = 0; i < count; i++) {
        Ag_OnTaskEnd(&node->agent, net->now, tasks[i].task,
                     CODE_WORKER_CRASHED, (struct bytes){NULL, 0}, 0);
    }
}

static void
net_end_tasks(struct net *net)
{
    for (int i = 0; i < NET_MAX_RUNNING; i++) {
        struct net_run *run = &net->runs[i];
        if (!run->node || run->node->paused ||
            (run->end_us > net->now.us && !run->stopped &&
             (!run->crash_us || run->crash_us > net->now.us))) {
            continue;
        }
        struct net_node *node = run->node;
        if (run->crash_us && run->crash_us <= net->now.us && !run->stopped) {
            Net_Crash(node);
            continue;
        }
        uint32_t output = 0x11223344;
        enum code code =
            run->stopped ? CODE_TASK_FAILED : (enum code)node->end_code;
        struct bytes bytes = {&output, sizeof(output)};
        run->node = NULL;
        if (code != CODE_OK) {
            bytes.size = 0;
        }
        Ag_OnTaskEnd(&node->agent, net->now, run->task, code, bytes,
                     (uint32_t)(net->now.us - run->start_us));
    }
}

static void
net_tick(struct net *net)
{
    for (int i = 0; i < net->count; i++) {
        struct net_node *node = &net->nodes[i];
        if (!node->up || node->paused) {
            continue;
        }
        if (node->role == ROLE_ENTRY) {
            Ent_OnTick(&node->entry, net->now);
            continue;
        }
        struct ag_announce announce = {
            .service = "finishing",
            .slots = 8,
            .connections = 64,
            .memory_mb = 1024,
            .cores = 8,
            .running = node->agent.busy + node->agent.requests,
            .leaving = (uint8_t)node->leaving,
            .capacity = node->capacity,
            .labels = node->labels,
        };
        if (node->capacity.cpu) {
            announce.slots = NET_MAX_RUNNING;
            announce.running = 0;
        }
        int is_announcing = net->now.us / 1000 % 500 == 0 &&
                            net->now.us >= node->away_until_us;
        if (is_announcing && !node->is_gone) {
            Ag_OnAnnounce(&node->agent, net->now, &announce);
        }
        Ag_OnTick(&node->agent, net->now);
        if (net->lease_us) {
            net_tick_upstream(node, is_announcing);
        }
    }
}

/** Advance the time by `ms` in steps of 1 ms. Nodes tick each 10 ms; agents
 * receive an announcement from their upstreams each 500 ms. */
NET_UNUSED static void
Net_Run(struct net *net, uint32_t ms)
{
    for (uint32_t i = 0; i < ms; i++) {
        net->now.us += 1000;
        if (net->now.us % US_PER_S == 0) {
            net->now.wall++;
        }
        Net_Pump(net);
        if (net->lease_us) {
            net_step_upstreams(net);
        }
        else {
            net_end_tasks(net);
        }
        if (net->now.us / 1000 % 10 == 0) {
            net_tick(net);
        }
    }
}

/** Free the frames and the nodes of a network. */
NET_UNUSED static void
Net_Finish(struct net *net)
{
    Net_ReleaseDelayed(net);
    while (net->in_flight) {
        struct net_frame *frame = net->in_flight;
        net->in_flight = frame->next;
        net_free(frame);
    }
    for (int i = 0; i < net->count; i++) {
        if (net->nodes[i].role == ROLE_ENTRY) {
            Ent_Finish(&net->nodes[i].entry);
        }
        else {
            Ag_Finish(&net->nodes[i].agent);
            if (net->lease_us) {
                Rn_Finish(&net->nodes[i].runner);
            }
        }
    }
}

/** Tear-down of a test whose set-up put its network into `*state`. */
NET_UNUSED static int
Net_TearDown(void **state)
{
    Net_Finish(*state);
    return 0;
}

#endif
