/** @file
 * A simulated network: entries and agents in one process that exchange encoded
 * frames through queues. A test may drop or delay frames. The starts seen by
 * the upstreams are recorded. */
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
#include "core/runner.h"
#include "wire/frame.h"

#define NET_MAX_NODES 80
#define NET_MAX_STARTS 4096
#define NET_MAX_REPLIES 256
#define NET_MAX_RUNNING 256
#define NET_MAX_ORDERS 64
/** Latest ended or stopped runs that an upstream remembers. */
#define NET_MAX_ENDED 512
/** Start time of the first instances of upstreams, milliseconds since 1970. */
#define NET_BORN_MS 7000
/** Time from the start of a deadly task to the crash, and the time for which
 * an upstream is away after it. */
#define NET_CRASH_MS 10
#define NET_AWAY_MS 3300
#define NET_UNUSED __attribute__((unused))

struct net;

/** What a filter does with a message. */
enum net_verdict { NET_PASS, NET_DROP, NET_DELAY };

/** What becomes of an order to an upstream. */
enum net_fate {
    NET_ANSWERED,
    NET_UNANSWERED, /**< It is carried out, and its reply is lost. */
    NET_LATE        /**< It gets no reply, and is carried out seconds later. */
};

/** An order to an upstream, and its reply. */
struct net_order {
    struct rn_act act;
    tab_handle task; /**< RN_START. */
    enum rn_reply reply;
    uint64_t due_us;     /**< The reply is delivered after this. */
    uint64_t execute_us; /**< When it is carried out late, 0 for never. */
};

/** An entry, or an agent with its upstream. */
struct net_node {
    struct net *net;
    enum role role;
    int up;     /**< The process runs; if 0, frames to it are lost. */
    int paused; /**< It receives frames and ticks only once this is 0. */
    struct entry entry;
    struct agent agent;
    struct frame_header header;
    struct ent_member member;
    int run_ms;   /**< Run time of its tasks; below 0 they never end. */
    int end_code; /**< Code with which its tasks end. */
    int leaving;  /**< The upstream accepts no new tasks. */
    uint64_t away_until_us;    /**< Its upstream has crashed and is away. */
    uint32_t crashes;          /**< Of its upstream. */
    struct resources capacity; /**< Of its upstream; if all 0, it has slots. */
    struct labels labels;      /**< Of its upstream. */
    uint8_t linked[NET_MAX_NODES]; /**< Which nodes it has a connection to;
                                        messages to others are lost. */
    /** Used if `net.lease_us` is not 0: */
    struct runner runner;
    uint64_t lease_end_ms; /**< Of all its runs, on the upstream's clock. */
    uint64_t last_end;     /**< Number of the latest end listed. */
    int is_gone;           /**< Its runner takes its upstream for unusable. */
    uint64_t born_ms;      /**< Start time of its upstream's instance. */
    uint64_t clock_ms;     /**< Added to its upstream's clock. */
    uint64_t fence;        /**< Highest one that its upstream has seen. */
    struct rn_id ended[NET_MAX_ENDED];
    uint32_t ended_count;
    struct net_order orders[NET_MAX_ORDERS];
    uint32_t order_count;
    struct net_order late[NET_MAX_ORDERS]; /**< Orders with `execute_us`. */
    uint32_t late_count;
};

/** A frame that has been sent and not yet delivered. */
struct net_frame {
    struct net_frame *next;
    uint64_t from;
    uint64_t to;
    struct frame_out out;
};

/** A task that runs at an upstream; `node` is NULL in a free record. */
struct net_run {
    struct net_node *node;
    tab_handle task;
    uint64_t job_name; /**< The caller's name for the job. */
    uint32_t no;       /**< Number of the task in the job. */
    uint64_t start_us;
    uint64_t end_us;
    uint64_t crash_us; /**< When it crashes the upstream, 0 for never. */
    int stopped;
    /** Used if `net.lease_us` is not 0: */
    struct rn_id id;
    enum rn_outcome outcome;
    int is_over; /**< It has ended, and the agent has not been told yet. */
};

/** A start of a task at an upstream. */
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

/** A simulated network. */
struct net {
    struct now now;
    uint64_t version; /**< Version of the registry. */
    struct counters counters;
    struct key_secret secret;
    struct net_node nodes[NET_MAX_NODES];
    int count;
    struct net_frame *in_flight; /**< Delivered by Net_Pump(). */
    struct net_frame *delayed;   /**< Until Net_ReleaseDelayed(). */
    struct net_start starts[NET_MAX_STARTS];
    uint32_t start_count;
    struct net_run runs[NET_MAX_RUNNING];
    struct net_reply replies[NET_MAX_REPLIES];
    uint32_t reply_count;
    uint32_t peer_capacity; /**< Of entries added from now on. */
    uint32_t job_capacity;  /**< Of entries added from now on. */
    uint32_t task_capacity; /**< Of agents added from now on. */
    /** Decides about each message to a known node; NULL passes all. */
    enum net_verdict (*filter)(struct net *net, const struct net_node *from,
                               const struct net_node *to,
                               const struct msg *msg);
    int filter_arg; /**< For use by `filter`. */
    /** Decides about each start and stop order; NULL answers all. */
    enum net_fate (*fate)(struct net *net);
    uint32_t late_order_ms;  /**< Time until a late order is carried out. */
    int late_orders_outlive; /**< They reach the next instance of an upstream
                                  that restarts. */
    /** Tells which tasks crash the upstream NET_CRASH_MS after their start;
     * NULL for none. */
    int (*is_deadly)(const struct msg_start *start);
    int are_starts_unanswered; /**< So it is not known which tasks ran at a
                                    crash. */
    uint32_t crash_ms;         /**< Instead of NET_CRASH_MS, if not 0. */
    struct timing timing;   /**< Of nodes added from now on; all 0: default. */
    int keep_heard_members; /**< Setting of entries added from now on. */
    uint32_t subset_size;   /**< The same. */
    uint64_t lease_us; /**< Longest lease at an upstream of agents added from
                            now on; 0 for upstreams without leases. */
    const char *dc;    /**< Data centre of nodes added from now on, or NULL. */
};

/** The node with this incarnation, or NULL. */
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
    enum net_verdict verdict = NET_PASS;
    if (!target || !node->linked[target - net->nodes]) {
        return;
    }
    if (net->filter) {
        verdict = net->filter(net, node, target, msg);
    }
    if (verdict == NET_DROP) {
        return;
    }
    struct net_frame *frame = calloc(1, sizeof(*frame));
    node->header.to = to;
    Frame_Init(&frame->out, &node->header);
    Frame_Add(&frame->out, msg);
    Frame_Sign(&frame->out, &net->secret);
    frame->from = node->header.from;
    frame->to = to;
    net_append(verdict == NET_DELAY ? &net->delayed : &net->in_flight, frame);
}

static struct net_run *
net_add_run(struct net_node *node, tab_handle task, uint64_t job_name,
            uint32_t no)
{
    struct net *net = node->net;
    for (int i = 0; i < NET_MAX_RUNNING; i++) {
        struct net_run *run = &net->runs[i];
        if (!run->node) {
            memset(run, 0, sizeof(*run));
            run->node = node;
            run->task = task;
            run->job_name = job_name;
            run->no = no;
            run->start_us = net->now.us;
            run->end_us = node->run_ms < 0
                              ? UINT64_MAX
                              : net->now.us + (uint64_t)node->run_ms * 1000;
            return run;
        }
    }
    fail_msg("more tasks running than NET_MAX_RUNNING");
    return NULL;
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
    if (net->lease_us) {
        Rn_Start(&node->runner, net->now, run->task, run->start);
        return;
    }
    struct net_run *added =
        net_add_run(node, run->task, run->start->name, run->start->task);
    if (net->is_deadly && net->is_deadly(run->start)) {
        uint64_t crash_ms = net->crash_ms ? net->crash_ms : NET_CRASH_MS;
        added->crash_us = net->now.us + crash_ms * US_PER_MS;
    }
}

static void
net_stop_task(struct net_node *node, tab_handle task)
{
    struct net *net = node->net;
    if (net->lease_us) {
        Rn_Stop(&node->runner, net->now, task);
        return;
    }
    for (int i = 0; i < NET_MAX_RUNNING; i++) {
        if (net->runs[i].node == node && net->runs[i].task == task) {
            net->runs[i].stopped = 1;
        }
    }
}

static void
net_set_linked(struct net_node *node, uint64_t peer, int is_linked)
{
    const struct net_node *target = Net_Find(node->net, peer);
    if (target) {
        node->linked[target - node->net->nodes] = (uint8_t)is_linked;
    }
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
        net_stop_task(node, act->u.stop.task);
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
    case ACT_UNLINK:
        net_set_linked(node, act->u.link.peer, act->type == ACT_LINK);
        break;
    case ACT_LOG_EVENT:
        break;
    }
}

/** Initialise a network without nodes. */
NET_UNUSED static void
Net_Init(struct net *net)
{
    memset(net, 0, sizeof(*net));
    net->now.us = 1000 * US_PER_S;
    net->now.wall = 1000000;
    net->peer_capacity = 32;
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
    node->born_ms = NET_BORN_MS;
    /* If the name ends in '-', later nodes get lower incarnations. */
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
    if (net->dc) {
        snprintf(node->member.dc, sizeof(node->member.dc), "%s", net->dc);
        memcpy(node->header.dc, node->member.dc, sizeof(node->header.dc));
    }
    node->member.role = role;
    node->member.incarnation = node->header.from;
    return node;
}

/** Commit the registry row of `node`, and let each running entry read it. */
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

/** Let an entry read the whole registry: the latest row of each node name. */
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

/** Add a registered entry that has read the registry. */
NET_UNUSED static struct net_node *
Net_AddEntry(struct net *net, const char *name)
{
    struct net_node *node = net_add(net, ROLE_ENTRY, name);
    struct ent_settings settings = {
        .incarnation = node->header.from,
        .job_capacity = net->job_capacity,
        .peer_capacity = net->peer_capacity,
        .key_lifetime_s = 300,
        .timing = net->timing,
        .keep_heard_members = (uint8_t)net->keep_heard_members,
        .subset_size = net->subset_size,
    };
    memcpy(settings.node, node->member.node, sizeof(settings.node));
    memcpy(settings.dc, node->member.dc, sizeof(settings.dc));
    settings.seed[0] = (unsigned char)net->count;
    struct act_sink sink = {net_emit, node};
    assert_int_equal(
        Ent_Init(&node->entry, &settings, net->now, sink, &net->counters), 0);
    Net_Register(net, node);
    Net_ReadRegistry(net, node);
    return node;
}

static void net_add_upstream(struct net_node *node);

/** Add an agent without a registry row. */
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
    if (net->lease_us) {
        net_add_upstream(node);
    }
    return node;
}

/** Add a registered agent. */
NET_UNUSED static struct net_node *
Net_AddAgent(struct net *net, const char *name)
{
    struct net_node *node = Net_AddAgentUnregistered(net, name);
    Net_Register(net, node);
    return node;
}

/** End a process at once. Its tasks end without a result, and frames to it are
 * lost. */
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
