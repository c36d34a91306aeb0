/** @file
 * Upstreams of a simulated network that hold leases. The agent's runner grants
 * them, and an upstream ends all its runs when they expire on its own clock,
 * whether or not the agent acts. Orders are carried out at once, unless
 * `net.fate` decides otherwise; replies reach the agent in the next step in
 * which it is not paused. */
#ifndef TESTS_NET_UPSTREAM_H
#define TESTS_NET_UPSTREAM_H

#include "net_nodes.h"

/* Runs per step that an upstream's clock lags behind, in percent: half of the
 * upstreams have a clock that is 2% slow. */
#define NET_CLOCK_LAG_PERCENT 2
#define NET_MAX_STOP_US (50 * US_PER_MS)

/* Longest lease that an upstream allows. */
#define NET_MAX_LEASE_MS 1000
/* Time until an agent is told that an order has got no reply. */
#define NET_TIMEOUT_US (30 * US_PER_MS)

static uint64_t
net_upstream_clock_ms(const struct net_node *node)
{
    uint64_t us = node->net->now.us;
    int is_slow = (node - node->net->nodes) % 2;
    return us * (is_slow ? 100 - NET_CLOCK_LAG_PERCENT : 100) / 100 /
               US_PER_MS +
           node->clock_ms;
}

static struct net_order *
net_add_order(struct net_node *node, const struct rn_act *act,
              enum rn_reply reply)
{
    assert_true(node->order_count < NET_MAX_ORDERS);
    struct net_order *order = &node->orders[node->order_count++];
    memset(order, 0, sizeof(*order));
    order->act = *act;
    order->reply = reply;
    order->due_us = node->net->now.us + act->wait_ms * US_PER_MS;
    return order;
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

static void
net_invalidate(struct net_node *node, const struct rn_id *id)
{
    node->ended[node->ended_count++ % NET_MAX_ENDED] = *id;
}

/* True if a run of the task with this number, or a higher one, has ended or
 * was stopped. */
static int
net_is_old(const struct net_node *node, const struct rn_id *id)
{
    for (uint32_t i = 0; i < node->ended_count && i < NET_MAX_ENDED; i++) {
        const struct rn_id *other = &node->ended[i];
        if (other->job == id->job && other->task == id->task &&
            id->number <= other->number) {
            return 1;
        }
    }
    return 0;
}

static enum rn_reply
net_start_run(struct net_node *node, const struct rn_act *act, tab_handle task)
{
    struct net_run *run = net_find_run(node, &act->id);
    if (net_upstream_clock_ms(node) >= node->lease_end_ms) {
        return RN_LATE;
    }
    if (!run && net_is_old(node, &act->id)) {
        return RN_OLD_NUMBER;
    }
    if (!run) {
        run = net_add_run(node, task, act->id.job, act->id.task);
        run->id = act->id;
    }
    return RN_DONE;
}

static void
net_extend_lease(struct net_node *node, const struct rn_act *act)
{
    uint64_t max_ms = net_upstream_clock_ms(node) + NET_MAX_LEASE_MS;
    uint64_t end_ms = act->lease_end_ms < max_ms ? act->lease_end_ms : max_ms;
    if (end_ms > node->lease_end_ms) {
        node->lease_end_ms = end_ms;
    }
}

/* Carry out an order at the upstream. */
static enum rn_reply
net_execute(struct net_node *node, const struct rn_act *act, tab_handle task)
{
    if (act->fence < node->fence) {
        return RN_FENCED;
    }
    node->fence = act->fence;
    net_extend_lease(node, act);
    if (act->type == RN_START) {
        return net_start_run(node, act, task);
    }
    if (act->type == RN_STOP) {
        struct net_run *run = net_find_run(node, &act->id);
        if (run) {
            run->stopped = 1;
        }
        net_invalidate(node, &act->id);
    }
    return RN_DONE;
}

static void
net_send_order(struct net_node *node, const struct rn_act *act)
{
    struct net *net = node->net;
    const struct rn_run *ordered = Tab_Get(&node->runner.runs, act->run);
    tab_handle task = ordered ? ordered->task : 0;
    enum net_fate fate =
        net->fate && act->type != RN_POLL ? net->fate(net) : NET_ANSWERED;
    if (fate == NET_ANSWERED) {
        net_add_order(node, act, net_execute(node, act, task));
        return;
    }
    if (fate == NET_UNANSWERED) {
        net_execute(node, act, task);
    }
    else if (node->late_count < NET_MAX_ORDERS) {
        struct net_order *late = &node->late[node->late_count++];
        late->act = *act;
        late->task = task;
        late->execute_us = net->now.us + net->late_order_ms * US_PER_MS;
    }
    net_add_order(node, act, RN_NO_ANSWER)->due_us += NET_TIMEOUT_US;
}

static void
net_execute_late(struct net_node *node)
{
    for (uint32_t i = 0; i < node->late_count;) {
        struct net_order late = node->late[i];
        if (late.execute_us > node->net->now.us) {
            i++;
            continue;
        }
        node->late[i] = node->late[--node->late_count];
        net_execute(node, &late.act, late.task);
    }
}

/** The upstream crashes and starts again under its identifier, with this
 * clock. Its agent is not told, and its open polls get no answer. */
NET_UNUSED static void
Net_RestartUpstream(struct net_node *node, uint64_t clock_ms)
{
    struct net *net = node->net;
    for (int i = 0; i < NET_MAX_RUNNING; i++) {
        if (net->runs[i].node == node) {
            net->runs[i].node = NULL;
        }
    }
    for (uint32_t i = 0; i < node->order_count; i++) {
        if (node->orders[i].act.type == RN_POLL) {
            node->orders[i].reply = RN_NO_ANSWER;
            node->orders[i].due_us = net->now.us;
        }
    }
    node->born_ms = NET_BORN_MS + net->now.us / US_PER_MS;
    node->clock_ms = 0;
    node->clock_ms = clock_ms - net_upstream_clock_ms(node);
    node->fence = node->lease_end_ms = node->last_end = 0;
    node->ended_count = 0;
    if (!net->late_orders_outlive) {
        node->late_count = 0;
    }
}

static void
net_on_order(void *context, const struct rn_act *act)
{
    struct net_node *node = context;
    if (act->type == RN_START || act->type == RN_POLL) {
        Ag_OnLease(&node->agent, act->leased_until_us);
    }
    switch (act->type) {
    case RN_START:
    case RN_STOP:
    case RN_POLL:
        net_send_order(node, act);
        break;
    case RN_END:
        Ag_OnTaskEnd(&node->agent, node->net->now, act->task, act->code,
                     (struct bytes){NULL, 0}, act->run_us);
        break;
    case RN_READY:
        node->is_gone = 0;
        break;
    case RN_GONE:
        node->is_gone = 1;
        Ag_OnUpstreamGone(&node->agent, node->net->now);
        break;
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
net_answer_poll(struct net_node *node, uint32_t poll, enum rn_reply reply,
                const struct net_run *ended)
{
    static struct rn_view view;
    struct net *net = node->net;
    memset(&view, 0, sizeof(view));
    view.clock_ms = net_upstream_clock_ms(node);
    view.born_ms = node->born_ms;
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
    Rn_OnPoll(&node->runner, net->now, poll, reply, &view);
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
        uint64_t read_ms = order.reply == RN_NO_ANSWER ? 0 : clock_ms;
        if (order.act.type == RN_START) {
            Rn_OnStarted(&node->runner, net->now, order.act.run, order.reply,
                         read_ms);
        }
        else if (order.act.type == RN_STOP) {
            Rn_OnStopped(&node->runner, net->now, order.act.run, order.reply,
                         read_ms);
        }
        else {
            net_answer_poll(node, order.act.poll, order.reply, NULL);
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
        if (node->orders[i].act.type == RN_POLL &&
            node->orders[i].reply == RN_DONE) {
            struct net_order order;
            struct net_run ended = *run;
            net_take_order(node, i, &order);
            run->node = NULL;
            net_answer_poll(node, order.act.poll, RN_DONE, &ended);
            return;
        }
    }
}

/* One step of all upstreams with leases. */
static void
net_step_upstreams(struct net *net)
{
    for (int i = 0; i < net->count; i++) {
        net_execute_late(&net->nodes[i]);
        if (net->nodes[i].up && !net->nodes[i].paused) {
            net_reply(&net->nodes[i]);
        }
    }
    for (int i = 0; i < NET_MAX_RUNNING; i++) {
        struct net_run *run = &net->runs[i];
        if (run->node && !run->is_over) {
            net_check_end(net, run);
            if (run->is_over) {
                net_invalidate(run->node, &run->id);
            }
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
        Rn_OnAnnounce(&node->runner, net->now, node->born_ms,
                      net_upstream_clock_ms(node));
    }
    Rn_OnTick(&node->runner, net->now);
}

#endif
