/** @file
 * Upstreams of a simulated network that hold leases. The agent's runner grants
 * them, and an upstream ends all its runs when they expire on its own clock,
 * whether or not the agent acts. Orders are carried out at once; replies reach
 * the agent in the next step in which it is not paused. */
#ifndef TESTS_NET_UPSTREAM_H
#define TESTS_NET_UPSTREAM_H

#include "net_nodes.h"

/* Runs per step that an upstream's clock lags behind, in percent: half of the
 * upstreams have a clock that is 2% slow. */
#define NET_CLOCK_LAG_PERCENT 2
#define NET_MAX_STOP_US (50 * US_PER_MS)

static uint64_t
net_upstream_clock_ms(const struct net_node *node)
{
    uint64_t us = node->net->now.us;
    int is_slow = (node - node->net->nodes) % 2;
    return us * (is_slow ? 100 - NET_CLOCK_LAG_PERCENT : 100) / 100 /
           US_PER_MS;
}

static void
net_add_order(struct net_node *node, const struct rn_act *act,
              enum rn_reply reply)
{
    assert_true(node->order_count < NET_MAX_ORDERS);
    struct net_order *order = &node->orders[node->order_count++];
    order->type = act->type;
    order->run = act->run;
    order->poll = act->poll;
    order->reply = reply;
    order->due_us = node->net->now.us + act->wait_ms * US_PER_MS;
}

static struct net_run *
net_find_run(struct net_node *node, const struct rn_id *id)
{
    for (int i = 0; i < NET_MAX_RUNNING; i++) {
        struct net_run *run = &node->net->runs[i];
        if (run->node == node && memcmp(&run->id, id, sizeof(*id)) == 0) {
            return run;
        }
    }
    return NULL;
}

static enum rn_reply
net_start_run(struct net_node *node, const struct rn_act *act)
{
    const struct rn_run *ordered = Tab_Get(&node->runner.runs, act->run);
    if (net_upstream_clock_ms(node) >= node->lease_end_ms) {
        return RN_LATE;
    }
    struct net_run *run = net_find_run(node, &act->id);
    if (!run) {
        run = net_add_run(node, ordered->task, act->id.job, act->id.task);
        run->id = act->id;
    }
    return RN_DONE;
}

static void
net_on_order(void *context, const struct rn_act *act)
{
    struct net_node *node = context;
    struct net_run *run;
    if (act->lease_end_ms > node->lease_end_ms) {
        node->lease_end_ms = act->lease_end_ms;
    }
    if (act->type == RN_START || act->type == RN_POLL) {
        Ag_OnLease(&node->agent, act->leased_until_us);
    }
    switch (act->type) {
    case RN_START:
        net_add_order(node, act, net_start_run(node, act));
        break;
    case RN_STOP:
        run = net_find_run(node, &act->id);
        if (run) {
            run->stopped = 1;
        }
        net_add_order(node, act, RN_DONE);
        break;
    case RN_POLL:
        net_add_order(node, act, RN_DONE);
        break;
    case RN_END:
        Ag_OnTaskEnd(&node->agent, node->net->now, act->task, act->code,
                     (struct bytes){NULL, 0}, act->run_us);
        break;
    case RN_READY:
    case RN_GONE:
    case RN_CRASH:
    case RN_RESTART:
        break;
    }
}

static uint64_t
net_run_limit(void *context, tab_handle task)
{
    const struct net_node *node = context;
    return Ag_RunLimit(&node->agent, task);
}

static void
net_add_upstream(struct net_node *node)
{
    struct rn_sink sink = {net_on_order, net_run_limit, node};
    uint64_t lease_us = Timing_Lease(&node->net->timing, node->net->lease_us);
    assert_int_equal(Rn_Init(&node->runner, lease_us, node->net->lease_us,
                             NET_MAX_STOP_US, sink, &node->net->counters),
                     0);
}

/* Answer a poll. `ended` is the only end that is listed, or NULL; runs whose
 * end is listed later are listed as running until then. */
static void
net_answer_poll(struct net_node *node, uint32_t poll,
                const struct net_run *ended)
{
    static struct rn_view view;
    struct net *net = node->net;
    memset(&view, 0, sizeof(view));
    view.clock_ms = net_upstream_clock_ms(node);
    view.born_ms = NET_BORN_MS;
    for (int i = 0; i < NET_MAX_RUNNING; i++) {
        const struct net_run *run = &net->runs[i];
        if (run->node == node && run != ended) {
            struct rn_running *row = &view.running[view.running_count++];
            row->id = run->id;
            row->percent = (uint32_t)(net->now.us / US_PER_MS % 1000000);
        }
    }
    if (ended) {
        view.ended[view.ended_count++] =
            (struct rn_ended){++node->last_end, ended->id, ended->outcome};
    }
    Rn_OnPoll(&node->runner, net->now, poll, RN_DONE, &view);
}

static void
net_take_order(struct net_node *node, uint32_t i, struct net_order *order)
{
    *order = node->orders[i];
    node->order_count--;
    memmove(&node->orders[i], &node->orders[i + 1],
            (node->order_count - i) * sizeof(node->orders[0]));
}

/* Deliver the replies that are due to an agent. */
static void
net_reply(struct net_node *node)
{
    struct net *net = node->net;
    uint64_t clock_ms = net_upstream_clock_ms(node);
    for (uint32_t i = 0; i < node->order_count;) {
        struct net_order order;
        if (node->orders[i].due_us >= net->now.us) {
            i++;
            continue;
        }
        net_take_order(node, i, &order);
        if (order.type == RN_START) {
            Rn_OnStarted(&node->runner, net->now, order.run, order.reply,
                         clock_ms);
        }
        else if (order.type == RN_STOP) {
            Rn_OnStopped(&node->runner, net->now, order.run, order.reply,
                         clock_ms);
        }
        else {
            net_answer_poll(node, order.poll, NULL);
        }
    }
}

/* End a run at its upstream if it is due. */
static void
net_check_end(const struct net *net, struct net_run *run)
{
    if (run->stopped) {
        run->outcome = RN_OUTCOME_STOPPED;
        run->is_over = 1;
    }
    else if (net_upstream_clock_ms(run->node) >= run->node->lease_end_ms) {
        run->outcome = RN_OUTCOME_LOST;
        run->is_over = 1;
    }
    else if (run->end_us <= net->now.us) {
        run->outcome = run->node->end_code == CODE_OK ? RN_OUTCOME_DONE
                                                      : RN_OUTCOME_FAILED;
        run->is_over = 1;
    }
}

/* Answer a poll of an agent with the end of a run, if a poll is waiting. */
static void
net_list_end(struct net_run *run)
{
    struct net_node *node = run->node;
    for (uint32_t i = 0; i < node->order_count; i++) {
        if (node->orders[i].type == RN_POLL) {
            struct net_order order;
            struct net_run ended = *run;
            net_take_order(node, i, &order);
            run->node = NULL;
            net_answer_poll(node, order.poll, &ended);
            return;
        }
    }
}

/* One step of all upstreams with leases. */
static void
net_step_upstreams(struct net *net)
{
    for (int i = 0; i < net->count; i++) {
        if (net->nodes[i].up && !net->nodes[i].paused) {
            net_reply(&net->nodes[i]);
        }
    }
    for (int i = 0; i < NET_MAX_RUNNING; i++) {
        struct net_run *run = &net->runs[i];
        if (run->node && !run->is_over) {
            net_check_end(net, run);
        }
        if (run->node && run->is_over && !run->node->paused) {
            net_list_end(run);
        }
    }
}

/* An announcement or tick of an agent with leases. */
static void
net_tick_upstream(struct net_node *node, int is_announcing)
{
    struct net *net = node->net;
    if (is_announcing) {
        Rn_OnAnnounce(&node->runner, net->now, NET_BORN_MS,
                      net_upstream_clock_ms(node));
    }
    Rn_OnTick(&node->runner, net->now);
}

#endif
