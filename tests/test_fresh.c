/* Freshness and acceptance through pauses, cuts and outages. */
#include "fresh.h"

static void
cut(int from, int to)
{
    world.cut[from][to] = 1;
    world.cut[to][from] = 1;
}

static int
is_fresh(int index)
{
    struct node *node = &world.nodes[index];
    return is_agent(index) ? Ag_IsFresh(&node->agent, world.now)
                           : Ent_IsFresh(&node->entry, world.now);
}

static uint64_t
version_at(int index)
{
    struct node *node = &world.nodes[index];
    return is_agent(index) ? node->agent.config : node->config.version;
}

/* Commit a change through an entry, which takes it in at once. */
static struct ent_accept
commit(int index)
{
    struct node *node = &world.nodes[index];
    world.stored.version++;
    world.stored_rows++;
    struct ent_accept accept = {.rows = world.stored_rows,
                                .config = world.stored.version,
                                .commit_us = world.now.us};
    node->config = world.stored;
    Ent_OnConfig(&node->entry, world.now, &node->config,
                 (struct bytes){"whole", 5}, (struct bytes){NULL, 0}, 1);
    Ent_OnVersion(&node->entry, world.now, world.stored_rows);
    return accept;
}

/* Runs until accepted; returns the milliseconds, or `limit_ms`. Meanwhile no
 * process may be fresh with an older version once it is accepted. */
static uint64_t
wait_accepted(int index, struct ent_accept *accept, uint64_t limit_ms)
{
    uint64_t waited_ms = 0;
    while (waited_ms < limit_ms &&
           !Ent_CheckAccept(&world.nodes[index].entry, world.now, accept)
                .accepted) {
        run_ms(10);
        waited_ms += 10;
    }
    return waited_ms;
}

static void
assert_nobody_acts_on_older(uint64_t version)
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
    memset(world.store_cut, 1, sizeof(world.store_cut));
    world.nodes[2].is_paused = 1;
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
    memset(world.store_cut, 1, sizeof(world.store_cut));
    world.nodes[1].is_paused = 1;
    world.nodes[2].is_paused = 1;
    run_ms(10000);
    for (int i = 0; i < NODES; i++) {
        assert_false(is_fresh(i));
    }
}

static void
entry_started_in_an_outage_vouches_for_nobody(void **state)
{
    (void)state;
    memset(world.store_cut, 1, sizeof(world.store_cut));
    world.nodes[1].is_paused = 1;
    /* The third starts anew and knows the members, not from the store. */
    world.nodes[2].entry.conf.store_us = 0;
    run_ms(10000);
    assert_false(is_fresh(0));
    assert_false(is_fresh(2));
    assert_false(is_fresh(3));
}

static void
pause_is_noticed_at_the_act(void **state)
{
    (void)state;
    world.nodes[0].is_paused = 1;
    world.nodes[3].is_paused = 1;
    run_ms(4000);
    world.nodes[0].is_paused = 0;
    world.nodes[3].is_paused = 0;
    assert_false(is_fresh(0));
    assert_false(is_fresh(3));
    run_ms(2000);
    assert_true(is_fresh(0));
    assert_true(is_fresh(3));
}

static void
answer_counts_from_the_question(void **state)
{
    (void)state;
    struct node *node = &world.nodes[0];
    memset(world.store_cut, 1, sizeof(world.store_cut));
    cut(0, 1);
    cut(0, 2);
    run_ms(5000);
    assert_false(is_fresh(0));
    /* A slow answer of the store arrives. */
    Ent_OnRead(&node->entry, world.now, world.now.us - CONFIG_MAX_AGE_US);
    assert_false(is_fresh(0));
    Ent_OnRead(&node->entry, world.now, world.now.us - CONFIG_MAX_AGE_US + 1);
    assert_true(is_fresh(0));
}

static void
change_is_accepted_when_all_have_it(void **state)
{
    (void)state;
    struct ent_accept accept = commit(0);
    uint64_t waited_ms = wait_accepted(0, &accept, 60000);
    assert_true(waited_ms < 3000);
    for (int i = 0; i < NODES; i++) {
        assert_int_equal(version_at(i), 1);
    }
}

static void
cut_off_entry_and_agent_lapse_before_acceptance(void **state)
{
    (void)state;
    for (int i = 0; i < 2; i++) {
        cut(2, i);
        cut(4, i);
    }
    cut(2, 3);
    cut(4, 3);
    world.store_cut[2] = 1;
    struct ent_accept accept = commit(0);
    uint64_t waited_ms = wait_accepted(0, &accept, 60000);
    assert_in_range(waited_ms, CONFIG_MAX_AGE_US / US_PER_MS, 10000);
    assert_int_equal(version_at(2), 0);
    assert_int_equal(version_at(4), 0);
    assert_nobody_acts_on_older(1);
}

static void
change_without_a_majority_is_not_accepted(void **state)
{
    (void)state;
    /* The others see each other, not the store: they go on as they are. */
    world.store_cut[1] = 1;
    world.store_cut[2] = 1;
    cut(0, 1);
    cut(0, 2);
    run_ms(10000);
    struct ent_accept accept = commit(0);
    assert_int_equal(wait_accepted(0, &accept, 60000), 60000);
    assert_true(is_fresh(1));
    assert_int_equal(version_at(1), 0);
}

static void
paused_entry_does_not_act_on_the_older_version(void **state)
{
    (void)state;
    world.nodes[1].is_paused = 1;
    world.nodes[3].is_paused = 1;
    struct ent_accept accept = commit(0);
    wait_accepted(0, &accept, 60000);
    world.nodes[1].is_paused = 0;
    world.nodes[3].is_paused = 0;
    assert_nobody_acts_on_older(1);
    for (int i = 0; i < 300; i++) {
        run_ms(10);
        assert_nobody_acts_on_older(1);
    }
    assert_true(is_fresh(1));
    assert_true(is_fresh(3));
}

/* They hear from those that have the change, and have not got it. */
static void
whoever_hears_of_a_newer_version_lapses(void **state)
{
    (void)state;
    world.store_cut[0] = 1;
    world.lose_state[3] = 1;
    struct ent_accept accept = commit(1);
    assert_in_range(wait_accepted(1, &accept, 60000),
                    CONFIG_MAX_AGE_US / US_PER_MS, 10000);
    assert_int_equal(version_at(0), 0);
    assert_int_equal(version_at(3), 0);
    assert_nobody_acts_on_older(1);
    run_ms(10000);
    assert_nobody_acts_on_older(1);
}

static void
older_version_is_never_applied(void **state)
{
    (void)state;
    struct agent *agent = &world.nodes[3].agent;
    Ag_OnConfig(agent, world.now, 5, 1);
    Ag_OnConfig(agent, world.now, 4, 0);
    assert_int_equal(agent->config, 5);
    assert_int_equal(agent->is_out, 1);
}

static struct ent_peer *
find_agent(int index)
{
    uint32_t slot = 0;
    struct ent_peer *agent = NULL;
    do {
        agent = Tab_Next(&world.nodes[0].entry.peers, &slot);
        if (!agent) {
            fail();
            abort();
        }
    } while (agent->member.incarnation != world.nodes[index].incarnation);
    return agent;
}

static void
returning_agent_gets_its_slots_back_over_time(void **state)
{
    (void)state;
    struct ent_peer *agent = find_agent(3);
    struct cfg_exception *out = &world.stored.exceptions[0];
    world.stored.exception_count = 1;
    *out = (struct cfg_exception){.id = 1,
                                  .scope = CFG_DATA_CENTRE,
                                  .name = "dc-1",
                                  .setting = POL_IN_SERVICE,
                                  .reason = "a reason"};
    commit(0);
    assert_int_equal(agent->is_out, 1);
    assert_int_equal(agent->policy.value[POL_IN_SERVICE], 0);
    world.stored.exception_count = 0;
    commit(0);
    assert_int_equal(agent->is_out, 0);
    assert_int_equal(agent->return_us, world.now.us);
}

static void
submit_unknown(uint64_t rv)
{
    struct sub_task task = {.no = 1};
    struct submission sub = {.key = {.issuer = 999,
                                     .registry_version = rv,
                                     .seq = 1,
                                     .issued_s = 1000},
                             .service = "finishing",
                             .deadline_ms = 30000,
                             .task_count = 1,
                             .tasks = &task};
    Ent_OnSubmit(&world.nodes[0].entry, world.now, 0, &sub);
}

/* Seen in a rolling replacement: the keys of an entry that had only just
 * registered were taken over by one that did not know it yet. */
static void
keys_of_an_entry_just_met_are_not_taken_over(void **state)
{
    (void)state;
    struct entry *entry = &world.nodes[0].entry;
    struct ent_member member = {.node = "node-new",
                                .role = ROLE_ENTRY,
                                .incarnation = 5000,
                                .registered = ++world.stored_rows};
    submit_unknown(world.stored_rows);
    assert_int_equal(world.counters.value[CTR_takeovers], 0);
    Ent_OnMember(entry, world.now, &member);
    run_ms(1500);
    assert_int_equal(world.counters.value[CTR_takeovers], 0);
    /* It never said that it owns them. */
    run_ms(3000);
    assert_int_equal(world.counters.value[CTR_takeovers], 1);
}

/* An entry's row is written over only by a process that proves, by having its
 * port, that the one before has ended. */
static void
only_an_entry_at_the_same_address_replaces_an_entry(void **state)
{
    struct ent_member row = {.role = ROLE_ENTRY, .addr = "10.0.0.1:7000"};
    (void)state;
    assert_true(Ent_MayReplace(&row, ROLE_ENTRY, "10.0.0.1:7000"));
    assert_false(Ent_MayReplace(&row, ROLE_ENTRY, "10.0.0.2:7000"));
    assert_false(Ent_MayReplace(&row, ROLE_ENTRY, "10.0.0.1:7001"));
    /* Agents vouch for nobody. */
    row.role = ROLE_AGENT;
    assert_true(Ent_MayReplace(&row, ROLE_AGENT, "10.0.0.2:7000"));
}

int
main(void)
{
#define T(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(only_an_entry_at_the_same_address_replaces_an_entry),
        T(all_are_fresh_with_the_store),
        T(outage_with_an_entry_lost_leaves_all_fresh),
        T(outage_with_two_entries_lost_stops_starts),
        T(entry_started_in_an_outage_vouches_for_nobody),
        T(pause_is_noticed_at_the_act),
        T(answer_counts_from_the_question),
        T(change_is_accepted_when_all_have_it),
        T(cut_off_entry_and_agent_lapse_before_acceptance),
        T(change_without_a_majority_is_not_accepted),
        T(paused_entry_does_not_act_on_the_older_version),
        T(whoever_hears_of_a_newer_version_lapses),
        T(older_version_is_never_applied),
        T(returning_agent_gets_its_slots_back_over_time),
        T(keys_of_an_entry_just_met_are_not_taken_over),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
