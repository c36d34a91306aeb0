/* Random faults in a fleet whose entries follow a subset of the agents each:
 * messages are lost, entries die, pause or are cut off from agents, callers
 * resubmit, and the subsets are extended and shrunk meanwhile. No task may run
 * twice at the same time, and once the faults end every job is answered. */
#include "caller.h"

#define ENTRIES 6
#define AGENTS 15
#define JOBS 120
#define SEEDS 4
#define JOB_INTERVAL_MS 160
#define FAULTS_MS (JOBS * JOB_INTERVAL_MS)
#define FIRST_NAME 0x5c0e7a21d94b0000ull
#define RECORDED 7
#define MAX_TESTS 8192

/* Agents pause for times up to these. The first are shorter than a lease of
 * the time when the recorded days failed; the second outlast every lease. */
#define SHORT_PAUSE_MS 550
#define LONG_PAUSE_MS 2500

/* Days on which a task ran twice: its entry was killed and its agent paused
 * when the task had to be stopped. */
static const uint64_t recorded_seeds[RECORDED] = {4,   107, 209, 286,
                                                  354, 541, 607};

/* A day with faults of upstreams on which a task ran twice: the next instance
 * carried out a late start of a run that had ended. */
#define LATE_START_SEED 20

/* Faults of upstreams on a day. */
enum upstream_faults {
    NO_FAULTS,
    RESTARTS,    /* They restart, orders get no reply or are carried out late,
                    but not by the next instance. */
    LATE_STARTS, /* The same, the next instance carries them out too, and tasks
                    fail, so that they are started elsewhere. */
};

/* A day of faults. */
struct day {
    uint64_t seed;
    uint32_t agent_pause_ms; /* Longest pause of an agent. */
    enum upstream_faults upstream_faults;
};

/* A caller with one job. */
struct job {
    struct net_node *entry; /* Where it is submitted; NULL for nowhere. */
    uint64_t resubmit_us;   /* When it is submitted again. */
    uint32_t tasks;
    int is_submitted;
    int is_answered;
};

static struct net net;
static struct net_node *entries[ENTRIES];
static struct net_node *agents[AGENTS];
static struct job jobs[JOBS];
static uint64_t random_state;
static uint64_t paused_until_us[NET_MAX_NODES];
static const struct net_node *cut_entry;
static const struct net_node *cut_agent;
static uint32_t loss_percent;
static uint32_t agent_pause_ms;
static enum upstream_faults upstream_faults;
static uint32_t unanswered_percent; /* Of the orders to upstreams. */
static uint32_t late_percent;

static uint32_t
draw(uint32_t bound)
{
    random_state = random_state * 6364136223846793005ull + 1442695040888963407;
    return (uint32_t)(random_state >> 33) % bound;
}

static enum net_verdict
lose_some(struct net *n, const struct net_node *from,
          const struct net_node *to, const struct msg *msg)
{
    (void)n;
    (void)msg;
    int is_cut = (from == cut_entry && to == cut_agent) ||
                 (from == cut_agent && to == cut_entry);
    return is_cut || draw(100) < loss_percent ? NET_DROP : NET_PASS;
}

static enum net_fate
draw_fate(struct net *n)
{
    uint32_t drawn = draw(100);
    if (drawn < late_percent) {
        n->late_order_ms = 2000 + draw(10000);
        return NET_LATE;
    }
    return drawn < late_percent + unanswered_percent ? NET_UNANSWERED
                                                     : NET_ANSWERED;
}

static void
start_fleet(uint64_t seed)
{
    unanswered_percent = late_percent = 0;
    memset(jobs, 0, sizeof(jobs));
    memset(paused_until_us, 0, sizeof(paused_until_us));
    cut_entry = cut_agent = NULL;
    loss_percent = 0;
    random_state = seed;
    Net_InitRestartable(&net);
    net.subset_size = 4;
    net.lease_us = LEASE_MS * US_PER_MS;
    net.peer_capacity = NET_MAX_NODES;
    Net_AddFleet(&net, agents, AGENTS, entries, ENTRIES);
    Net_Run(&net, 7000);
}

static void
submit(uint32_t i)
{
    struct job *job = &jobs[i];
    struct net_node *entry = entries[draw(ENTRIES)];
    job->is_submitted = 1;
    if (!entry->up || entry->paused) {
        job->resubmit_us = net.now.us + RESUBMIT_MS * US_PER_MS;
        return;
    }
    job->entry = entry;
    job->resubmit_us = 0;
    struct net_job submission = {FIRST_NAME + i, job->tasks, 3000, 300, 8000};
    Net_SubmitJob(entry, 1 + i, &submission);
}

/* The connections of callers to an entry break. */
static void
break_connections(const struct net_node *entry)
{
    for (int i = 0; i < JOBS; i++) {
        if (jobs[i].entry == entry && !jobs[i].is_answered) {
            jobs[i].entry = NULL;
            jobs[i].resubmit_us = net.now.us + RESUBMIT_MS * US_PER_MS;
        }
    }
}

static void
read_answers(void)
{
    for (uint32_t i = 0; i < net.reply_count; i++) {
        struct job *job = &jobs[net.replies[i].conn - 1];
        if (net.replies[i].code == CODE_OUTCOME_UNKNOWN) {
            job->entry = NULL;
            job->resubmit_us = net.now.us + RESUBMIT_MS * US_PER_MS;
        }
        else {
            job->is_answered = 1;
        }
    }
    net.reply_count = 0;
    net.start_count = 0;
}

static int
is_running(const struct net_run *run)
{
    return run->node && !run->is_over;
}

static void
check_no_task_runs_twice(uint64_t seed)
{
    for (int i = 0; i < NET_MAX_RUNNING; i++) {
        const struct net_run *run = &net.runs[i];
        for (int j = 0; is_running(run) && j < i; j++) {
            const struct net_run *other = &net.runs[j];
            if (is_running(other) && other->job_name == run->job_name &&
                other->no == run->no) {
                fail_msg("seed %llu: task %u of job %llu runs twice",
                         (unsigned long long)seed, run->no,
                         (unsigned long long)(run->job_name - FIRST_NAME));
            }
        }
    }
}

static void
pause_node(struct net_node *node, uint32_t ms)
{
    if (node->up && !node->paused) {
        node->paused = 1;
        paused_until_us[node - net.nodes] = net.now.us + ms * US_PER_MS;
    }
}

/* C leaves the order of draws in the arguments of one call open, so each has a
 * statement of its own: a seed is the same day with each compiler. */
static void
pause_one(struct net_node *const *nodes, uint32_t count, uint32_t min_ms,
          uint32_t range_ms)
{
    struct net_node *node = nodes[draw(count)];
    uint32_t ms = min_ms + draw(range_ms);
    pause_node(node, ms);
}

static void
restart_entry(int i)
{
    char name[WIRE_NAME_SIZE];
    snprintf(name, sizeof(name), "%s", entries[i]->member.node);
    break_connections(entries[i]);
    Net_Kill(entries[i]);
    net.dc = entries[i]->member.dc;
    entries[i] = Net_AddEntry(&net, name);
}

/* The upstream's new clock begins anywhere. */
static void
restart_upstream(void)
{
    struct net_node *agent = agents[draw(AGENTS)];
    uint64_t clock_ms = 1 + draw(3000000);
    Net_RestartUpstream(agent, clock_ms);
}

static void
inject_upstream_fault(void)
{
    if (upstream_faults == LATE_STARTS && draw(2)) {
        agents[draw(AGENTS)]->end_code = draw(3) ? CODE_OK : CODE_TASK_FAILED;
    }
    if (draw(2)) {
        restart_upstream();
        return;
    }
    unanswered_percent = draw(30);
    late_percent = draw(10);
}

static void
inject_fault(void)
{
    if (upstream_faults != NO_FAULTS && draw(2)) {
        inject_upstream_fault();
        return;
    }
    switch (draw(5)) {
    case 0:
        pause_one(entries, ENTRIES, 200, 3000);
        break;
    case 1:
        pause_one(agents, AGENTS, 50, agent_pause_ms - 50);
        break;
    case 2:
        if (net.count < NET_MAX_NODES) {
            restart_entry((int)draw(ENTRIES));
        }
        break;
    case 3:
        cut_entry = entries[draw(ENTRIES)];
        cut_agent = agents[draw(AGENTS)];
        break;
    default:
        loss_percent = draw(8);
        break;
    }
}

static void
step_ms(uint64_t seed)
{
    Net_Run(&net, 1);
    read_answers();
    for (int i = 0; i < net.count; i++) {
        struct net_node *node = &net.nodes[i];
        if (node->paused && net.now.us >= paused_until_us[i]) {
            node->paused = 0;
        }
    }
    for (uint32_t i = 0; i < JOBS; i++) {
        if (jobs[i].is_submitted && !jobs[i].is_answered &&
            jobs[i].resubmit_us && net.now.us >= jobs[i].resubmit_us) {
            submit(i);
        }
    }
    check_no_task_runs_twice(seed);
}

static void
run_day(const struct day *day)
{
    uint64_t seed = day->seed;
    agent_pause_ms = day->agent_pause_ms;
    upstream_faults = day->upstream_faults;
    start_fleet(seed);
    net.late_orders_outlive = upstream_faults == LATE_STARTS;
    for (int i = 0; i < AGENTS; i++) {
        agents[i]->run_ms = 100 + (int)draw(2400);
    }
    net.filter = lose_some;
    net.fate = upstream_faults != NO_FAULTS ? draw_fate : NULL;
    for (uint32_t ms = 0; ms < FAULTS_MS; ms++) {
        if (ms % JOB_INTERVAL_MS == 0) {
            uint32_t i = ms / JOB_INTERVAL_MS;
            jobs[i].tasks = 1 + draw(4);
            submit(i);
        }
        if (ms % 200 == 0) {
            inject_fault();
        }
        step_ms(seed);
    }
    loss_percent = unanswered_percent = late_percent = 0;
    cut_entry = cut_agent = NULL;
    for (int i = 0; i < AGENTS; i++) {
        agents[i]->end_code = CODE_OK;
    }
    for (uint32_t ms = 0; ms < 30000; ms++) {
        step_ms(seed);
    }
    for (uint32_t i = 0; i < JOBS; i++) {
        if (!jobs[i].is_answered) {
            fail_msg("seed %llu: job %u is not answered",
                     (unsigned long long)seed, i);
        }
    }
}

static void
no_task_runs_twice_at_a_time(void **state)
{
    run_day(*state);
}

static int
finish(void **state)
{
    (void)state;
    net.filter = NULL;
    Net_Finish(&net);
    return 0;
}

static uint64_t
count_from_environment(const char *name, uint64_t otherwise)
{
    const char *count = getenv(name);
    return count ? strtoull(count, NULL, 10) : otherwise;
}

static void
no_task_runs_twice_while_agents_pause_for_long(void **state)
{
    run_day(*state);
}

static void
no_task_runs_twice_while_upstreams_restart(void **state)
{
    run_day(*state);
}

static void
no_task_runs_twice_though_late_starts_outlive_restarts(void **state)
{
    run_day(*state);
}

/* Each day is a test of its own, so that a run names all that fail. */
static struct CMUnitTest
make_test(struct day *day)
{
    struct CMUnitTest restarts = cmocka_unit_test_prestate_setup_teardown(
        no_task_runs_twice_while_upstreams_restart, NULL, finish, day);
    struct CMUnitTest late_starts = cmocka_unit_test_prestate_setup_teardown(
        no_task_runs_twice_though_late_starts_outlive_restarts, NULL, finish,
        day);
    if (day->upstream_faults != NO_FAULTS) {
        return day->upstream_faults == RESTARTS ? restarts : late_starts;
    }
    struct CMUnitTest short_pauses = cmocka_unit_test_prestate_setup_teardown(
        no_task_runs_twice_at_a_time, NULL, finish, day);
    struct CMUnitTest long_pauses = cmocka_unit_test_prestate_setup_teardown(
        no_task_runs_twice_while_agents_pause_for_long, NULL, finish, day);
    return day->agent_pause_ms == LONG_PAUSE_MS ? long_pauses : short_pauses;
}

/* Add the seeds 1 to `seeds`. Returns the number of days. */
static uint32_t
add_days(struct day *days, uint32_t count, uint64_t seeds,
         uint32_t longest_pause_ms, enum upstream_faults faults)
{
    for (uint64_t seed = 1; seed <= seeds && count < MAX_TESTS; seed++) {
        days[count++] = (struct day){seed, longest_pause_ms, faults};
    }
    return count;
}

/* SUBSET_RECORDED recorded days are played first, then the seeds 1 to
 * SUBSET_SEEDS with short pauses, with long ones, and with each kind of faults
 * of upstreams too. Unused entries of `tests` are skipped. */
int
main(void)
{
    static struct CMUnitTest tests[MAX_TESTS];
    static struct day days[MAX_TESTS];
    uint32_t count = 0;
    uint64_t recorded = count_from_environment("SUBSET_RECORDED", RECORDED);
    uint64_t others = count_from_environment("SUBSET_SEEDS", SEEDS);
    for (uint64_t i = 0; i < recorded && i < RECORDED; i++) {
        days[count++] =
            (struct day){recorded_seeds[i], SHORT_PAUSE_MS, NO_FAULTS};
    }
    if (recorded >= RECORDED) {
        days[count++] =
            (struct day){LATE_START_SEED, LONG_PAUSE_MS, LATE_STARTS};
    }
    count = add_days(days, count, others, SHORT_PAUSE_MS, NO_FAULTS);
    count = add_days(days, count, others, LONG_PAUSE_MS, NO_FAULTS);
    count = add_days(days, count, others, LONG_PAUSE_MS, RESTARTS);
    count = add_days(days, count, others, LONG_PAUSE_MS, LATE_STARTS);
    for (uint32_t i = 0; i < count; i++) {
        tests[i] = make_test(&days[i]);
    }
    return cmocka_run_group_tests(tests, NULL, NULL);
}
