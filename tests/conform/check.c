/* Invariants of the protocol, and the trace of events that is printed when one
 * is violated. */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

#define TRACE_LINES 16384
#define TRACE_TEXT 112
/* Maximum number of trace lines printed for the key of a violation. */
#define TRACE_SHOWN 80

struct trace_line {
    uint64_t step;
    uint64_t us;
    uint64_t issuer;
    uint32_t seq;
    char text[TRACE_TEXT];
};

static struct trace_line trace[TRACE_LINES];
static uint64_t trace_count;

void
Chk_Reset(void)
{
    trace_count = 0;
}

void
Chk_Trace(const struct sim *sim, const struct key *key, const char *format,
          ...)
{
    struct trace_line *line = &trace[trace_count++ % TRACE_LINES];
    va_list args;
    line->step = sim->step;
    line->us = sim->now_us;
    line->issuer = key ? key->issuer : 0;
    line->seq = key ? key->seq : 0;
    va_start(args, format);
    vsnprintf(line->text, sizeof(line->text), format, args);
    va_end(args);
}

/* A line without a key applies to all keys, one with seq 0 to all keys of its
 * issuer. */
static int
is_about(const struct trace_line *line, const struct key *key)
{
    if (line->issuer == 0) {
        return 1;
    }
    return line->issuer == key->issuer &&
           (line->seq == 0 || line->seq == key->seq);
}

static void
print_trace(const struct key *key)
{
    uint64_t first = trace_count > TRACE_LINES ? trace_count - TRACE_LINES : 0;
    uint64_t about = 0;
    for (uint64_t i = first; i < trace_count; i++) {
        about += (uint64_t)is_about(&trace[i % TRACE_LINES], key);
    }
    for (uint64_t i = first; i < trace_count; i++) {
        const struct trace_line *line = &trace[i % TRACE_LINES];
        if (is_about(line, key) && about-- <= TRACE_SHOWN) {
            printf("  %8llu %9.3f s  %s\n", (unsigned long long)line->step,
                   (double)line->us / (double)US_PER_S, line->text);
        }
    }
}

static void
report_violation(struct sim *sim, const struct sim_key *key, const char *what)
{
    if (sim->failed) {
        return;
    }
    sim->failed = 1;
    printf("conform: seed %llu, step %llu: key %016llx/%u: %s\n",
           (unsigned long long)sim->seed, (unsigned long long)sim->step,
           (unsigned long long)key->key.issuer, key->key.seq, what);
    print_trace(&key->key);
}

struct sim_key *
Chk_FindKey(struct sim *sim, const struct key *key)
{
    for (uint32_t i = sim->key_count; i > 0; i--) {
        if (Key_Equal(&sim->keys[i - 1].key, key)) {
            return &sim->keys[i - 1];
        }
    }
    return NULL;
}

int
Chk_FormatOutput(char *text, size_t size, const struct key *key, uint32_t no)
{
    return snprintf(text, size, "%016llx/%u/%u",
                    (unsigned long long)key->issuer, key->seq, no);
}

void
Chk_OnStart(struct sim *sim, const struct sim_node *node,
            const struct msg_start *start)
{
    struct sim_key *key = Chk_FindKey(sim, &start->key);
    Chk_Trace(sim, &start->key, "start task %u at agent %u, attempt %u",
              start->task, node->index, start->attempt);
    if (!key || start->task == 0 || start->task > key->tasks) {
        abort();
    }
    sim->starts++;
    key->total_starts++;
    key->starts[start->task - 1]++;
    if (key->starts[start->task - 1] > 1 && !(key->flags & SUB_IDEMPOTENT)) {
        report_violation(sim, key,
                         "a task that is not idempotent was started twice");
    }
    if (key->must_not_start) {
        report_violation(
            sim, key,
            "a task was started after its caller was answered \"not run\"");
    }
}

static void
check_complete(struct sim *sim, struct sim_key *key,
               const struct answer *answer)
{
    char expected[64];
    if (answer->task_count != key->tasks) {
        report_violation(
            sim, key, "a complete answer does not hold all tasks of the job");
        return;
    }
    for (uint32_t i = 0; i < key->tasks; i++) {
        const struct answer_task *task = &answer->tasks[i];
        int size =
            Chk_FormatOutput(expected, sizeof(expected), &key->key, i + 1);
        if (task->no != i + 1 || task->output.size != (uint32_t)size ||
            memcmp(task->output.data, expected, (size_t)size) != 0) {
            report_violation(sim, key,
                             "an answer holds the output of another task");
        }
        if (key->starts[i] == 0) {
            report_violation(sim, key,
                             "an answer holds a task that was never started");
        }
    }
    key->complete = 1;
    sim->complete++;
}

static struct epoch
find_epoch(const struct sim_node *node, uint64_t number)
{
    struct epoch none = {0, 0};
    struct ent_issuer *issuer;
    HASH_FIND(hh, node->core.entry.issuer_index, &number, sizeof(number),
              issuer);
    return issuer ? issuer->epoch : none;
}

/* True if another entry has taken over the keys of the issuer and this entry
 * does not know it yet. A submission that it refuses is not started, but
 * another submission of the same key may have been run by the new owner. */
static int
is_superseded(const struct sim *sim, const struct sim_node *node,
              const struct key *key)
{
    struct epoch own = find_epoch(node, key->issuer);
    for (uint32_t i = 0; i < SIM_ENTRIES; i++) {
        const struct sim_node *other = &sim->nodes[i];
        if (other->up && other != node &&
            Epoch_Compare(find_epoch(other, key->issuer), own) > 0) {
            return 1;
        }
    }
    return 0;
}

/* An answer to a query may have crossed a start in transit. The same holds for
 * a submission while other submissions of its key are open. */
static void
check_not_run(struct sim *sim, const struct sim_node *node,
              struct sim_key *key, const struct sim_conn *conn, enum code code)
{
    int start_may_cross =
        conn->request_type == SIM_QUERY || key->open_submissions > 0;
    sim->not_run++;
    key->last_refusal = code;
    if (conn->request_type == SIM_QUERY || code == CODE_CANCELLED) {
        /* The answer may repeat the state of an owner that has since been
         * superseded. */
        return;
    }
    int was_started =
        conn->was_started || (key->total_starts && !start_may_cross);
    if (was_started && is_superseded(sim, node, &key->key)) {
        sim->stale_refusals++;
        return;
    }
    if (was_started) {
        report_violation(sim, key,
                         "a key that was started was answered \"not run\"");
    }
    if (key->open_submissions == 0) {
        key->must_not_start = 1;
    }
}

static void
count_answered_submission(struct sim_key *key, const struct sim_conn *conn,
                          enum code code)
{
    int outcome_is_known = Code_Run(code) != CODE_UNKNOWN;
    if (conn->request_type == SIM_SUBMIT && outcome_is_known) {
        key->open_submissions--;
    }
}

void
Chk_OnReply(struct sim *sim, const struct sim_node *node, conn_id id,
            const struct answer *answer)
{
    uint64_t index = id & 0xffffffffu;
    if (index >= sim->conn_count) {
        abort();
    }
    struct sim_conn *conn = &sim->conns[index];
    struct sim_key *key = &sim->keys[conn->key];
    if (conn->answered || conn->incarnation != node->incarnation) {
        return;
    }
    conn->answered = 1;
    Chk_Trace(sim, &answer->key, "entry %u answers: %s", node->index,
              Code_Name(answer->code));
    if (!Key_Equal(&key->key, &answer->key)) {
        report_violation(sim, key,
                         "an answer was sent to the caller of another key");
        return;
    }
    count_answered_submission(key, conn, answer->code);
    if (answer->code == CODE_OK) {
        check_complete(sim, key, answer);
    }
    else if (answer->code == CODE_KEY_REUSED) {
        return; /* The code concerns the second body, not the key's job. */
    }
    else if (Code_Run(answer->code) == CODE_NOT_RUN) {
        check_not_run(sim, node, key, conn, answer->code);
    }
    else {
        sim->unknown += Code_Run(answer->code) == CODE_UNKNOWN;
    }
    int is_not_idempotent = !(key->flags & SUB_IDEMPOTENT);
    if (is_not_idempotent && key->complete &&
        answer->code == CODE_TASK_FAILED) {
        report_violation(
            sim, key,
            "a job answered as complete was later answered as failed");
    }
}

void
Chk_AllAnswered(struct sim *sim)
{
    for (uint32_t i = 0; i < sim->conn_count; i++) {
        const struct sim_conn *conn = &sim->conns[i];
        const struct sim_node *node = &sim->nodes[conn->node];
        int is_up = node->up && node->incarnation == conn->incarnation;
        if (conn->request_type == SIM_SUBMIT && is_up && !conn->answered &&
            conn->answer_due_us < sim->now_us) {
            report_violation(sim, &sim->keys[conn->key],
                             "a submission was not answered in time");
        }
    }
}
