/** @file
 * Callers of the entries of a net, and what they see. */
#ifndef TESTS_CALLER_H
#define TESTS_CALLER_H

#include "net.h"

/** Callers submit again after this. */
#define RESUBMIT_MS 1300
/** Longest lease at an upstream. */
#define LEASE_MS 1000

NET_UNUSED static struct key
Net_IssueKey(struct net_node *entry)
{
    struct key key;
    assert_int_equal(Ent_IssueKeys(&entry->entry, entry->net->now, 1, &key),
                     CODE_OK);
    return key;
}

/** Submit a job of `tasks` tasks; the inputs hold `body`. */
NET_UNUSED static void
Net_Submit(struct net_node *entry, conn_id conn, const struct key *key,
           uint32_t tasks, uint32_t body, unsigned flags, uint32_t deadline_ms)
{
    static struct sub_task list[WIRE_MAX_TASKS];
    struct submission sub = {
        .key = *key,
        .service = "finishing",
        .kind = "buff-plan",
        .deadline_ms = deadline_ms,
        .priority = PRIO_NORMAL,
        .flags = flags,
        .task_count = tasks,
        .tasks = list,
    };
    for (uint32_t i = 0; i < tasks; i++) {
        list[i].no = i + 1;
        list[i].input = (struct bytes){&body, sizeof(body)};
    }
    Ent_OnSubmit(&entry->entry, entry->net->now, conn, &sub);
}

/** Make a net of nodes that meet by contact, where tasks may run again. */
NET_UNUSED static void
Net_InitRestartable(struct net *net)
{
    Net_Init(net);
    Timing_Derive(&net->timing, RESUBMIT_MS * US_PER_MS, LEASE_MS * US_PER_MS);
    net->keep_heard_members = 1;
}

/** Add an agent whose worker has 8 cores and 1,024 MB. */
NET_UNUSED static struct net_node *
Net_AddWorker(struct net *net, const char *name)
{
    struct net_node *node = Net_AddAgent(net, name);
    node->capacity = (struct resources){8000, 1024, 0};
    return node;
}

/** Latest answer on a connection, CODE_PENDING when there is none. */
NET_UNUSED static enum code
Net_Answer(const struct net *net, conn_id conn)
{
    for (uint32_t i = net->reply_count; i-- > 0;) {
        if (net->replies[i].conn == conn) {
            return net->replies[i].code;
        }
    }
    return CODE_PENDING;
}

/** Tasks that an agent's upstream has running. */
NET_UNUSED static uint32_t
Net_RunningAt(const struct net *net, const struct net_node *node)
{
    uint32_t count = 0;
    for (int i = 0; i < NET_MAX_RUNNING; i++) {
        count += net->runs[i].node == node;
    }
    return count;
}

NET_UNUSED static uint32_t
Net_Starts(const struct net *net, const struct key *key)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < net->start_count; i++) {
        count += net->starts[i].seq == key->seq;
    }
    return count;
}

/** Starts of a task beyond its first. */
NET_UNUSED static uint32_t
Net_Repeats(const struct net *net)
{
    uint32_t repeats = 0;
    for (uint32_t i = 0; i < net->start_count; i++) {
        for (uint32_t j = 0; j < i; j++) {
            if (net->starts[i].seq == net->starts[j].seq &&
                net->starts[i].task == net->starts[j].task) {
                repeats++;
                break;
            }
        }
    }
    return repeats;
}

#endif
