/** @file
 * A simulated network of three entries and three agents. */
#ifndef TESTS_NET_FIXTURE_H
#define TESTS_NET_FIXTURE_H

#include "caller.h"

#define CONN(n) ((1ull << 63) | (n))

static struct net net;
static struct net_node *entries[3];
static struct net_node *agents[3];

/* Adds the nodes and runs until they have heard from each other. */
NET_UNUSED static int
set_up(void **state)
{
    static const char *const names[] = {"a", "b", "c", "x", "y", "z"};
    (void)state;
    Net_Init(&net);
    for (int i = 0; i < 3; i++) {
        agents[i] = Net_AddAgent(&net, names[3 + i]);
    }
    for (int i = 0; i < 3; i++) {
        entries[i] = Net_AddEntry(&net, names[i]);
    }
    Net_Run(&net, 2600);
    return 0;
}

NET_UNUSED static int
tear_down(void **state)
{
    (void)state;
    Net_Finish(&net);
    return 0;
}

/* Replaces agents[i] by a new process of the same name. */
NET_UNUSED static struct net_node *
restart_agent(int i)
{
    struct net_node *old = agents[i];
    Net_Kill(old);
    agents[i] = Net_AddAgentUnregistered(&net, old->header.node);
    agents[i]->member.replaced = 1;
    Net_Register(&net, agents[i]);
    return agents[i];
}

/* The running entry that owns the key's issuer, or NULL. If several think that
 * they do, the last of them. */
NET_UNUSED static struct net_node *
current_owner(const struct key *key)
{
    struct net_node *owner = NULL;
    for (int i = 0; i < 3; i++) {
        struct ent_issuer *issuer;
        struct entry *entry = &entries[i]->entry;
        uint64_t number = key->issuer;
        HASH_FIND(hh, entry->issuer_index, &number, sizeof(number), issuer);
        if (entries[i]->up && issuer && issuer->state != ENT_ISSUER_PEER) {
            owner = entries[i];
        }
    }
    return owner;
}

/* Drops all messages from entry to entry. */
NET_UNUSED static enum net_verdict
partition_entries(struct net *n, const struct net_node *from,
                  const struct net_node *to, const struct msg *msg)
{
    (void)n;
    (void)msg;
    int between_entries = from->role == ROLE_ENTRY && to->role == ROLE_ENTRY;
    return between_entries ? NET_DROP : NET_PASS;
}

/* A refusal of the first attempt of task 1, as an agent sends it. */
NET_UNUSED static struct msg
make_refusal(const struct key *key, enum code code, struct epoch epoch)
{
    struct msg msg = {.type = MSG_RESULT};
    msg.u.result.key = *key;
    msg.u.result.task = 1;
    msg.u.result.attempt = 1;
    msg.u.result.state = TASK_REFUSED;
    msg.u.result.code = code;
    msg.u.result.epoch = epoch;
    return msg;
}

/* The agent that first started a task of the key, or NULL. */
NET_UNUSED static struct net_node *
first_runner(const struct key *key)
{
    for (uint32_t i = 0; i < net.start_count; i++) {
        if (net.starts[i].seq == key->seq) {
            return net.starts[i].node;
        }
    }
    return NULL;
}

/* Makes the upstreams that have started tasks of the key leave, so that new
 * tasks go to the others. */
NET_UNUSED static void
set_runners_leaving(const struct key *key)
{
    for (uint32_t i = 0; i < net.start_count; i++) {
        if (net.starts[i].seq == key->seq) {
            net.starts[i].node->leaving = 1;
        }
    }
    Net_Run(&net, 1100);
}

#define NET_TEST(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

#endif
