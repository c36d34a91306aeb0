/* When a process may act on its configuration (freshness) and when a change of
 * the configuration is accepted, while nodes pause, links are cut and the
 * store is out of reach. */
#include "cluster.h"

static void
cut(int from, int to)
{
    cluster.cut[from][to] = 1;
    cluster.cut[to][from] = 1;
}

static int
is_fresh(int index)
{
    struct node *node = &cluster.nodes[index];
    return is_agent(index) ? Ag_IsFresh(&node->agent, cluster.now)
                           : Ent_IsFresh(&node->entry, cluster.now);
}

static uint64_t
version_at(int index)
{
    struct node *node = &cluster.nodes[index];
    return is_agent(index) ? node->agent.config : node->config.version;
}

/* Commits a change through an entry, which applies it at once. */
static struct ent_pending_change
commit(int index)
{
    struct node *node = &cluster.nodes[index];
    cluster.stored.version++;
    cluster.rows_version++;
    struct ent_pending_change change = {.rows_version = cluster.rows_version,
                                        .config_version =
                                            cluster.stored.version,
                                        .commit_us = cluster.now.us};
    node->config = cluster.stored;
    Ent_OnConfig(&node->entry, cluster.now, &node->config,
                 (struct bytes){"whole", 5}, (struct bytes){NULL, 0}, 1);
    Ent_OnVersion(&node->entry, cluster.now, cluster.rows_version);
    return change;
}

/* Runs until the change is accepted, at most `limit_ms`. Returns the time that
 * it took in ms. */
static uint64_t
wait_accepted(int index, struct ent_pending_change *change, uint64_t limit_ms)
{
    uint64_t waited_ms = 0;
    while (
        waited_ms < limit_ms &&
        !Ent_CheckAcceptance(&cluster.nodes[index].entry, cluster.now, change)
             .accepted) {
        run_ms(10);
        waited_ms += 10;
    }
    return waited_ms;
}

/* Once `version` is accepted, no node may be fresh with an older one. */
static void
assert_none_fresh_with_older(uint64_t version)
{
    for (int i = 0; i < NODES; i++) {
        assert_true(!is_fresh(i) || version_at(i) >= version);
    }
}

static void
all_are_fresh_with_the_store(void **state)
{
    (void)state;
    for (int i = 0; i < NODES; i++) {
        assert_true(is_fresh(i));
    }
}

static void
outage_with_an_entry_lost_leaves_all_fresh(void **state)
{
    (void)state;
    memset(cluster.store_cut, 1, sizeof(cluster.store_cut));
    cluster.nodes[2].is_paused = 1;
    run_ms(3600ull * 1000);
    assert_true(is_fresh(0));
    assert_true(is_fresh(1));
    assert_true(is_fresh(3));
    assert_true(is_fresh(4));
}

static void
outage_with_two_entries_lost_stops_starts(void **state)
{
    (void)state;
    memset(cluster.store_cut, 1, sizeof(cluster.store_cut));
    cluster.nodes[1].is_paused = 1;
    cluster.nodes[2].is_paused = 1;
    run_ms(10000);
    for (int i = 0; i < NODES; i++) {
        assert_false(is_fresh(i));
    }
}

static void
entry_started_in_an_outage_confirms_to_nobody(void **state)
{
    (void)state;
    memset(cluster.store_cut, 1, sizeof(cluster.store_cut));
    cluster.nodes[1].is_paused = 1;
    /* Node 2 has restarted: it knows the members, but has not read the store
     * since. */
    cluster.nodes[2].entry.conf.store_read_us = 0;
    run_ms(10000);
    assert_false(is_fresh(0));
    assert_false(is_fresh(2));
    assert_false(is_fresh(3));
}

static void
process_is_not_fresh_after_a_pause(void **state)
{
    (void)state;
    cluster.nodes[0].is_paused = 1;
    cluster.nodes[3].is_paused = 1;
    run_ms(4000);
    cluster.nodes[0].is_paused = 0;
    cluster.nodes[3].is_paused = 0;
    assert_false(is_fresh(0));
    assert_false(is_fresh(3));
    run_ms(2000);
    assert_true(is_fresh(0));
    assert_true(is_fresh(3));
}

static void
store_read_counts_from_its_request(void **state)
{
    (void)state;
    struct node *node = &cluster.nodes[0];
    memset(cluster.store_cut, 1, sizeof(cluster.store_cut));
    cut(0, 1);
    cut(0, 2);
    run_ms(5000);
    assert_false(is_fresh(0));
    /* A delayed answer of the store arrives. It proves what was newest when
     * the read was requested. */
    Ent_OnStoreRead(&node->entry, cluster.now,
                    cluster.now.us - CONFIG_MAX_AGE_US);
    assert_false(is_fresh(0));
    Ent_OnStoreRead(&node->entry, cluster.now,
                    cluster.now.us - CONFIG_MAX_AGE_US + 1);
    assert_true(is_fresh(0));
}

static void
change_is_accepted_when_all_have_it(void **state)
{
    (void)state;
    struct ent_pending_change change = commit(0);
    uint64_t waited_ms = wait_accepted(0, &change, 60000);
    assert_true(waited_ms < 3000);
    for (int i = 0; i < NODES; i++) {
        assert_int_equal(version_at(i), 1);
    }
}

static void
change_is_accepted_after_unreachable_nodes_expired(void **state)
{
    (void)state;
    for (int i = 0; i < 2; i++) {
        cut(2, i);
        cut(4, i);
    }
    cut(2, 3);
    cut(4, 3);
    cluster.store_cut[2] = 1;
    struct ent_pending_change change = commit(0);
    uint64_t waited_ms = wait_accepted(0, &change, 60000);
    assert_in_range(waited_ms, CONFIG_MAX_AGE_US / US_PER_MS, 10000);
    assert_int_equal(version_at(2), 0);
    assert_int_equal(version_at(4), 0);
    assert_none_fresh_with_older(1);
}

static void
change_without_a_majority_is_not_accepted(void **state)
{
    (void)state;
    /* The other entries reach each other but not the store, and keep on with
     * the older version. */
    cluster.store_cut[1] = 1;
    cluster.store_cut[2] = 1;
    cut(0, 1);
    cut(0, 2);
    run_ms(10000);
    struct ent_pending_change change = commit(0);
    assert_int_equal(wait_accepted(0, &change, 60000), 60000);
    assert_true(is_fresh(1));
    assert_int_equal(version_at(1), 0);
}

static void
paused_entry_does_not_act_on_the_older_version(void **state)
{
    (void)state;
    cluster.nodes[1].is_paused = 1;
    cluster.nodes[3].is_paused = 1;
    struct ent_pending_change change = commit(0);
    wait_accepted(0, &change, 60000);
    cluster.nodes[1].is_paused = 0;
    cluster.nodes[3].is_paused = 0;
    assert_none_fresh_with_older(1);
    for (int i = 0; i < 300; i++) {
        run_ms(10);
        assert_none_fresh_with_older(1);
    }
    assert_true(is_fresh(1));
    assert_true(is_fresh(3));
}

/* Two nodes hear from others that have the change but do not get the change
 * itself. They must not stay fresh with the older version. */
static void
a_process_that_hears_of_a_newer_version_is_not_fresh(void **state)
{
    (void)state;
    cluster.store_cut[0] = 1;
    cluster.drop_state[3] = 1;
    struct ent_pending_change change = commit(1);
    assert_in_range(wait_accepted(1, &change, 60000),
                    CONFIG_MAX_AGE_US / US_PER_MS, 10000);
    assert_int_equal(version_at(0), 0);
    assert_int_equal(version_at(3), 0);
    assert_none_fresh_with_older(1);
    run_ms(10000);
    assert_none_fresh_with_older(1);
}

static void
older_version_is_never_applied(void **state)
{
    (void)state;
    struct agent *agent = &cluster.nodes[3].agent;
    Ag_OnConfig(agent, cluster.now, 5, 1);
    Ag_OnConfig(agent, cluster.now, 4, 0);
    assert_int_equal(agent->config, 5);
    assert_int_equal(agent->out_of_service, 1);
}

static struct ent_peer *
find_agent(int index)
{
    uint32_t slot = 0;
    struct ent_peer *agent = NULL;
    do {
        agent = Tab_Next(&cluster.nodes[0].entry.peers, &slot);
        if (!agent) {
            fail();
            abort();
        }
    } while (agent->member.incarnation != cluster.nodes[index].incarnation);
    return agent;
}

static void
returning_agent_gets_its_slots_back_over_time(void **state)
{
    (void)state;
    struct ent_peer *agent = find_agent(3);
    struct cfg_exception *exception = &cluster.stored.exceptions[0];
    cluster.stored.exception_count = 1;
    *exception = (struct cfg_exception){.id = 1,
                                        .scope = CFG_DATA_CENTRE,
                                        .name = "dc-1",
                                        .setting = POL_IN_SERVICE,
                                        .reason = "a reason"};
    commit(0);
    assert_int_equal(agent->is_out_of_service, 1);
    assert_int_equal(agent->policy.value[POL_IN_SERVICE], 0);
    cluster.stored.exception_count = 0;
    commit(0);
    assert_int_equal(agent->is_out_of_service, 0);
    assert_int_equal(agent->returned_us, cluster.now.us);
}

static void
submit_unknown_issuer(uint64_t registry_version)
{
    struct sub_task task = {.no = 1};
    struct submission sub = {.key = {.issuer = 999,
                                     .registry_version = registry_version,
                                     .seq = 1,
                                     .issued_s = 1000},
                             .service = "finishing",
                             .deadline_ms = 30000,
                             .task_count = 1,
                             .tasks = &task};
    Ent_OnSubmit(&cluster.nodes[0].entry, cluster.now, 0, &sub);
}

/* Guards against a takeover of a live entry's keys. In a rolling replacement,
 * an entry received a key of an entry that had just registered and that it did
 * not know yet, and took the keys over. */
static void
keys_of_an_entry_just_registered_are_not_taken_over(void **state)
{
    (void)state;
    struct entry *entry = &cluster.nodes[0].entry;
    struct ent_member member = {.node = "node-new",
                                .role = ROLE_ENTRY,
                                .incarnation = 5000,
                                .registered = ++cluster.rows_version};
    submit_unknown_issuer(cluster.rows_version);
    assert_int_equal(cluster.counters.value[CTR_takeovers], 0);
    Ent_OnMember(entry, cluster.now, &member);
    run_ms(1500);
    assert_int_equal(cluster.counters.value[CTR_takeovers], 0);
    /* The new entry never announced that it owns the keys. */
    run_ms(3000);
    assert_int_equal(cluster.counters.value[CTR_takeovers], 1);
}

/* A process may overwrite an entry's row only if it listens at the same
 * address: as the port is free, the earlier entry has ended. */
static void
only_an_entry_at_the_same_address_replaces_an_entry(void **state)
{
    struct ent_member row = {.role = ROLE_ENTRY, .addr = "10.0.0.1:7000"};
    (void)state;
    assert_true(Ent_MayReplace(&row, ROLE_ENTRY, "10.0.0.1:7000"));
    assert_false(Ent_MayReplace(&row, ROLE_ENTRY, "10.0.0.2:7000"));
    assert_false(Ent_MayReplace(&row, ROLE_ENTRY, "10.0.0.1:7001"));
    /* An agent confirms no configuration to others, so any address will do. */
    row.role = ROLE_AGENT;
    assert_true(Ent_MayReplace(&row, ROLE_AGENT, "10.0.0.2:7000"));
}

int
main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(only_an_entry_at_the_same_address_replaces_an_entry),
        TEST(all_are_fresh_with_the_store),
        TEST(outage_with_an_entry_lost_leaves_all_fresh),
        TEST(outage_with_two_entries_lost_stops_starts),
        TEST(entry_started_in_an_outage_confirms_to_nobody),
        TEST(process_is_not_fresh_after_a_pause),
        TEST(store_read_counts_from_its_request),
        TEST(change_is_accepted_when_all_have_it),
        TEST(change_is_accepted_after_unreachable_nodes_expired),
        TEST(change_without_a_majority_is_not_accepted),
        TEST(paused_entry_does_not_act_on_the_older_version),
        TEST(a_process_that_hears_of_a_newer_version_is_not_fresh),
        TEST(older_version_is_never_applied),
        TEST(returning_agent_gets_its_slots_back_over_time),
        TEST(keys_of_an_entry_just_registered_are_not_taken_over),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
