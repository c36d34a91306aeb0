/* The agents with which an entry exchanges heartbeats, in a fleet with more
 * agents than an entry can follow. */
#include "caller.h"

#define ENTRIES 12
#define AGENTS 48
#define SUBSET_SIZE 12
#define FIRST_NAME 0x5c0e7a21d94b0000ull

static struct net net;
static struct net_node *entries[ENTRIES];
static struct net_node *agents[AGENTS];
static uint32_t heartbeats;

static int
set_up(void **state)
{
    *state = &net;
    Net_InitRestartable(&net);
    net.subset_size = SUBSET_SIZE;
    net.peer_capacity = NET_MAX_NODES;
    Net_AddFleet(&net, agents, AGENTS, entries, ENTRIES);
    /* Connections made while the first entries knew of no others are closed
     * after some seconds without use. */
    Net_Run(&net, 12000);
    return 0;
}

static uint32_t
count_linked(const struct net_node *entry)
{
    uint32_t count = 0;
    for (int i = 0; i < AGENTS; i++) {
        count += entry->linked[agents[i] - net.nodes];
    }
    return count;
}

/* Number of running entries in the data centre, or in any if it is NULL, that
 * exchange heartbeats with the agent. */
static uint32_t
count_homes(const struct net_node *agent, const char *dc)
{
    uint32_t count = 0;
    for (int i = 0; i < ENTRIES; i++) {
        count += entries[i]->up && entries[i]->linked[agent - net.nodes] &&
                 agent->linked[entries[i] - net.nodes] &&
                 (!dc || strcmp(entries[i]->member.dc, dc) == 0);
    }
    return count;
}

static void
every_agent_has_homes_in_two_data_centres(void **state)
{
    (void)state;
    for (int i = 0; i < AGENTS; i++) {
        uint32_t all = count_homes(agents[i], NULL);
        uint32_t local = count_homes(agents[i], agents[i]->member.dc);
        assert_in_range(all, 3, 4);
        assert_in_range(local, 1, all - 1);
        assert_int_equal(agents[i]->agent.entries.used, all);
    }
}

static enum net_verdict
count_heartbeats(struct net *n, const struct net_node *from,
                 const struct net_node *to, const struct msg *msg)
{
    (void)n;
    heartbeats += msg->type == MSG_HEARTBEAT && from->role == ROLE_ENTRY &&
                  to->role == ROLE_AGENT;
    return NET_PASS;
}

/* All pairs would exchange ENTRIES x AGENTS heartbeats in an interval. */
static void
heartbeats_are_limited_to_the_subsets(void **state)
{
    (void)state;
    heartbeats = 0;
    net.filter = count_heartbeats;
    Net_Run(&net, (uint32_t)(net.timing.heartbeat_us / US_PER_MS) * 4);
    net.filter = NULL;
    assert_in_range(heartbeats, 1, ENTRIES * SUBSET_SIZE * 5);
}

static void
submit(struct net_node *entry, conn_id conn, uint32_t tasks, uint32_t cpu)
{
    struct net_job job = {FIRST_NAME + conn, tasks, cpu, 500, 5000};
    Net_SubmitJob(entry, conn, &job);
}

static uint32_t
count_running(void)
{
    uint32_t count = 0;
    for (int i = 0; i < AGENTS; i++) {
        count += (uint32_t)Net_RunningAt(&net, agents[i]);
    }
    return count;
}

/* Each agent has room for one such task. */
static void
submit_more_than_the_subset_holds(void)
{
    for (int i = 0; i < AGENTS; i++) {
        agents[i]->run_ms = 500;
    }
    submit(entries[0], 1, SUBSET_SIZE * 2, 8000);
}

static void
a_full_subset_is_extended(void **state)
{
    (void)state;
    uint32_t linked = count_linked(entries[0]);
    assert_in_range(linked, 1, SUBSET_SIZE * 2 - 1);
    submit_more_than_the_subset_holds();
    Net_Run(&net, 200);
    assert_int_equal(count_running(), SUBSET_SIZE * 2);
    Net_Run(&net, 500);
    assert_int_equal(Net_Answer(&net, 1), CODE_OK);
    /* No start was refused as stale: each new agent was heard first. */
    assert_int_equal(net.counters.value[CTR_start_retried], 0);
}

static void
the_extension_is_limited(void **state)
{
    (void)state;
    for (int i = 0; i < AGENTS; i++) {
        agents[i]->run_ms = -1;
    }
    submit(entries[0], 1, AGENTS, 8000);
    Net_Run(&net, 1000);
    assert_in_range(count_linked(entries[0]), SUBSET_SIZE * 2,
                    SUBSET_SIZE * 2 + 4);
}

static void
unused_agents_are_unlinked(void **state)
{
    (void)state;
    uint32_t linked = count_linked(entries[0]);
    submit_more_than_the_subset_holds();
    Net_Run(&net, 1000);
    assert_true(count_linked(entries[0]) > linked);
    Net_Run(&net, 7000);
    assert_int_equal(count_linked(entries[0]), linked);
    /* The agents have forgotten the entry, and send it nothing. */
    every_agent_has_homes_in_two_data_centres(state);
}

static enum net_verdict
drop_last_heartbeats(struct net *n, const struct net_node *from,
                     const struct net_node *to, const struct msg *msg)
{
    (void)n;
    (void)from;
    (void)to;
    return msg->type == MSG_HEARTBEAT && msg->u.heartbeat.is_last ? NET_DROP
                                                                  : NET_PASS;
}

static void
an_agent_forgets_an_entry_whose_last_heartbeat_is_lost(void **state)
{
    (void)state;
    net.filter = drop_last_heartbeats;
    submit_more_than_the_subset_holds();
    Net_Run(&net, 8000 + PEER_TIMEOUT_US / US_PER_MS);
    every_agent_has_homes_in_two_data_centres(state);
}

static void
a_dead_home_is_replaced(void **state)
{
    (void)state;
    for (int i = 0; i < ENTRIES; i++) {
        if (entries[i]->linked[agents[0] - net.nodes]) {
            Net_Kill(entries[i]);
        }
    }
    assert_int_equal(count_homes(agents[0], NULL), 0);
    Net_Run(&net, 4000);
    assert_in_range(count_homes(agents[0], NULL), 3, ENTRIES);
}

/* A task is never stopped because its entry, which has nothing else there,
 * stopped sending heartbeats. */
static void
an_agent_with_a_task_stays_linked(void **state)
{
    (void)state;
    for (int i = 0; i < AGENTS; i++) {
        agents[i]->run_ms = 8000;
    }
    submit(entries[0], 1, SUBSET_SIZE * 2, 8000);
    Net_Run(&net, 4800);
    assert_int_equal(count_running(), SUBSET_SIZE * 2);
    assert_int_equal(net.counters.value[CTR_tasks_orphaned], 0);
}

/* A running task makes the agent keep the entry, whatever the heartbeat
 * says. */
static void
a_last_heartbeat_does_not_drop_an_entry_with_tasks(void **state)
{
    (void)state;
    struct net_node *agent = NULL;
    for (int i = 0; i < AGENTS; i++) {
        agents[i]->run_ms = -1;
    }
    submit(entries[0], 1, 1, 8000);
    Net_Run(&net, 50);
    for (int i = 0; i < AGENTS; i++) {
        agent = Net_RunningAt(&net, agents[i]) ? agents[i] : agent;
    }
    assert_non_null(agent);
    uint32_t known = agent->agent.entries.used;
    struct msg msg = {.type = MSG_HEARTBEAT};
    msg.u.heartbeat.sent_us = net.now.us;
    msg.u.heartbeat.is_last = 1;
    Ag_OnMessage(&agent->agent, net.now, &entries[0]->header, &msg);
    assert_int_equal(agent->agent.entries.used, known);
}

static enum net_verdict
drop_all_cancels(struct net *n, const struct net_node *from,
                 const struct net_node *to, const struct msg *msg)
{
    (void)n;
    (void)from;
    (void)to;
    return msg->type == MSG_CANCEL ? NET_DROP : NET_PASS;
}

/* A cancellation cannot be sent again on a link that is closed as unused. */
static void
a_link_with_an_unconfirmed_cancellation_is_kept(void **state)
{
    struct net_job job = {FIRST_NAME, SUBSET_SIZE * 2, 8000, 500, 20000};
    (void)state;
    for (int i = 0; i < AGENTS; i++) {
        agents[i]->run_ms = -1;
    }
    Net_SubmitJob(entries[0], 1, &job);
    Net_Run(&net, 6000);
    assert_int_equal(count_running(), SUBSET_SIZE * 2);
    uint64_t orphaned = net.counters.value[CTR_tasks_orphaned];
    net.filter = drop_all_cancels;
    Ent_CancelJobByName(&entries[0]->entry, FIRST_NAME);
    Net_Run(&net, 800);
    net.filter = NULL;
    Net_Run(&net, 150);
    assert_int_equal(count_running(), 0);
    assert_int_equal(net.counters.value[CTR_tasks_orphaned], orphaned);
}

static void
a_job_that_only_an_unlinked_agent_could_run_is_admitted(void **state)
{
    (void)state;
    struct net_node *node = NULL;
    for (int i = 0; i < AGENTS; i++) {
        if (!entries[0]->linked[agents[i] - net.nodes]) {
            node = agents[i];
        }
    }
    assert_non_null(node);
    /* The row of the agent's process says what its upstream has. */
    struct ent_member member = node->member;
    snprintf(member.service, sizeof(member.service), "finishing");
    member.capacity = (struct resources){16000, 1024, 0};
    node->capacity = member.capacity;
    Net_Run(&net, 600);
    Ent_OnMember(&entries[0]->entry, net.now, &member);
    submit(entries[0], 1, 1, 12000);
    submit(entries[0], 2, 1, 17000);
    Net_Run(&net, 2000);
    assert_int_equal(Net_Answer(&net, 1), CODE_OK);
    assert_int_equal(Net_Answer(&net, 2), CODE_CANNOT_RUN);
}

#define SUBSET_TEST(f) cmocka_unit_test_setup_teardown(f, set_up, Net_TearDown)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        SUBSET_TEST(every_agent_has_homes_in_two_data_centres),
        SUBSET_TEST(heartbeats_are_limited_to_the_subsets),
        SUBSET_TEST(a_full_subset_is_extended),
        SUBSET_TEST(the_extension_is_limited),
        SUBSET_TEST(unused_agents_are_unlinked),
        SUBSET_TEST(an_agent_forgets_an_entry_whose_last_heartbeat_is_lost),
        SUBSET_TEST(a_dead_home_is_replaced),
        SUBSET_TEST(an_agent_with_a_task_stays_linked),
        SUBSET_TEST(a_last_heartbeat_does_not_drop_an_entry_with_tasks),
        SUBSET_TEST(a_link_with_an_unconfirmed_cancellation_is_kept),
        SUBSET_TEST(a_job_that_only_an_unlinked_agent_could_run_is_admitted),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
