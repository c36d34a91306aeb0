/** @file
 * Callers of a simulated network: they submit jobs to its entries and read
 * the answers and the starts that these led to. */
#ifndef TESTS_CALLER_H
#define TESTS_CALLER_H

#include "net.h"

/** Time after which a caller resubmits a job without an answer. */
#define RESUBMIT_MS 1300
/** Longest lease of a task at an upstream. */
#define LEASE_MS 1000

/** Issue one key at `entry`. */
NET_UNUSED static struct key
Net_IssueKey(struct net_node *entry)
{
    struct key key;
    assert_int_equal(Ent_IssueKeys(&entry->entry, entry->net->now, 1, &key),
                     CODE_OK);
    return key;
}

/** Submit a job of `tasks` tasks, each with the 4 bytes of `body` as its
 * input. `flags` are SUB_*. */
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

/** Initialise a network for restartable jobs: its nodes have the timing that
 * RESUBMIT_MS and LEASE_MS give, and its entries keep members whose row is
 * gone as long as they are heard. */
NET_UNUSED static void
Net_InitRestartable(struct net *net)
{
    Net_Init(net);
    Timing_Derive(&net->timing, RESUBMIT_MS * US_PER_MS, LEASE_MS * US_PER_MS);
    net->keep_heard_members = 1;
}

/** Add an agent whose worker has 8 cores and 1,024 MB of memory. */
NET_UNUSED static struct net_node *
Net_AddWorker(struct net *net, const char *name)
{
    struct net_node *node = Net_AddAgent(net, name);
    node->capacity = (struct resources){8000, 1024, 0};
    return node;
}

/** Add `worker_count` workers, then `entry_count` entries, in turn to three
 * data centres. */
NET_UNUSED static void
Net_AddFleet(struct net *net, struct net_node **workers, int worker_count,
             struct net_node **entries, int entry_count)
{
    static const char *const data_centres[] = {"erie", "huron", "ontario"};
    char name[WIRE_NAME_SIZE];
    for (int i = 0; i < worker_count; i++) {
        net->dc = data_centres[i % 3];
        snprintf(name, sizeof(name), "worker-%d", i);
        workers[i] = Net_AddWorker(net, name);
    }
    for (int i = 0; i < entry_count; i++) {
        net->dc = data_centres[i % 3];
        snprintf(name, sizeof(name), "entry-%d", i);
        entries[i] = Net_AddEntry(net, name);
    }
}

/** A restartable job of one step. */
struct net_job {
    uint64_t name;
    uint32_t tasks;
    uint32_t cpu;    /**< Of each task, in thousandths of a core. */
    uint32_t run_ms; /**< Declared run time of a task. */
    uint32_t deadline_ms;
};

/** Submit a restartable job of a kind under a new key, which is returned. */
NET_UNUSED static struct key
Net_SubmitKind(struct net_node *entry, conn_id conn, const struct net_job *job,
               const char *kind)
{
    static struct sub_task list[WIRE_MAX_TASKS];
    struct sub_step step = {.need = {job->cpu, 64, 0}};
    struct submission sub = {
        .key = Net_IssueKey(entry),
        .service = "finishing",
        .deadline_ms = job->deadline_ms,
        .flags = SUB_RESTART,
        .task_count = job->tasks,
        .tasks = list,
        .name = job->name,
        .step_count = 1,
        .steps = &step,
        .max_attempts = 3,
        .target_ms = 60,
        .stretch_percent = 160,
    };
    for (uint32_t i = 0; i < job->tasks; i++) {
        list[i] = (struct sub_task){.no = i, .run_ms = job->run_ms};
    }
    snprintf(sub.kind, sizeof(sub.kind), "%s", kind);
    Ent_OnSubmit(&entry->entry, entry->net->now, conn, &sub);
    return sub.key;
}

/** Submit a restartable job under a new key, which is returned. */
NET_UNUSED static struct key
Net_SubmitJob(struct net_node *entry, conn_id conn, const struct net_job *job)
{
    return Net_SubmitKind(entry, conn, job, "edge-check");
}

/** The code of the latest answer on a connection, or CODE_PENDING if there is
 * none. */
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

/** The number of tasks that run at the upstream of `node`. */
NET_UNUSED static uint32_t
Net_RunningAt(const struct net *net, const struct net_node *node)
{
    uint32_t count = 0;
    for (int i = 0; i < NET_MAX_RUNNING; i++) {
        count += net->runs[i].node == node && !net->runs[i].is_over;
    }
    return count;
}

/** The number of starts that upstreams saw for the job of `key`. */
NET_UNUSED static uint32_t
Net_Starts(const struct net *net, const struct key *key)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < net->start_count; i++) {
        count += net->starts[i].seq == key->seq;
    }
    return count;
}

/** The number of starts of tasks that had been started before. */
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
