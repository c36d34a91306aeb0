/* What must always hold, and the trace that is printed when it does not. */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

#define TRACE_LINES 16384
#define TRACE_TEXT 112
/* Lines of a failed key that are printed. */
#define TRACE_SHOWN 80

struct line {
    uint64_t step;
    uint64_t us;
    uint64_t issuer;
    uint32_t seq;
    char text[TRACE_TEXT];
};

static struct line lines[TRACE_LINES];
static uint64_t line_count;

void
Chk_Reset(void)
{
    line_count = 0;
}

void
Chk_Trace(const struct sim *sim, const struct key *key, const char *format,
          ...)
{
    struct line *line = &lines[line_count++ % TRACE_LINES];
    va_list args;
    line->step = sim->step;
    line->us = sim->now_us;
    line->issuer = key ? key->issuer : 0;
    line->seq = key ? key->seq : 0;
    va_start(args, format);
    vsnprintf(line->text, sizeof(line->text), format, args);
    va_end(args);
}

/* A line without a key is of all keys; one with seq 0 of all of a range. */
static int
is_about(const struct line *line, const struct key *key)
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
    uint64_t first = line_count > TRACE_LINES ? line_count - TRACE_LINES : 0;
    uint64_t about = 0;
    for (uint64_t i = first; i < line_count; i++) {
        about += (uint64_t)is_about(&lines[i % TRACE_LINES], key);
    }
    for (uint64_t i = first; i < line_count; i++) {
        const struct line *line = &lines[i % TRACE_LINES];
        if (is_about(line, key) && about-- <= TRACE_SHOWN) {
            printf("  %8llu %9.3f s  %s\n", (unsigned long long)line->step,
                   (double)line->us / (double)US_PER_S, line->text);
        }
    }
}

static void
fail(struct sim *sim, const struct sim_key *key, const char *what)
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
    Chk_Trace(sim, &start->key, "BEGIN task %u at agent %u, attempt %u",
              start->task, node->index, start->attempt);
    if (!key || start->task == 0 || start->task > key->tasks) {
        abort();
    }
    sim->starts++;
    key->total_starts++;
    key->starts[start->task - 1]++;
    if (key->starts[start->task - 1] > 1 && !(key->flags & SUB_IDEMPOTENT)) {
        fail(sim, key, "a task was started twice");
    }
    if (key->must_not_start) {
        fail(sim, key, "a task was started after \"not run\"");
    }
}

static void
check_complete(struct sim *sim, struct sim_key *key,
               const struct answer *answer)
{
    char want[64];
    if (answer->task_count != key->tasks) {
        fail(sim, key, "a complete answer lacks tasks");
        return;
    }
    for (uint32_t i = 0; i < key->tasks; i++) {
        const struct answer_task *task = &answer->tasks[i];
        int size = Chk_FormatOutput(want, sizeof(want), &key->key, i + 1);
        if (task->no != i + 1 || task->output.size != (uint32_t)size ||
            memcmp(task->output.data, want, (size_t)size) != 0) {
            fail(sim, key, "an answer holds another task's output");
        }
        if (key->starts[i] == 0) {
            fail(sim, key, "an answer holds a task that never ran");
        }
    }
    key->complete = 1;
    sim->complete++;
}

static struct epoch
epoch_at(const struct sim_node *node, uint64_t number)
{
    struct epoch none = {0, 0};
    struct ent_issuer *issuer;
    HASH_FIND(hh, node->core.entry.issuer_index, &number, sizeof(number),
              issuer);
    return issuer ? issuer->epoch : none;
}

/* Another entry has taken the key's range over, and this one does not yet
 * know: what it refuses is not started by that submission, but the key may
 * have been run by another one. */
static int
is_superseded(const struct sim *sim, const struct sim_node *node,
              const struct key *key)
{
    struct epoch own = epoch_at(node, key->issuer);
    for (uint32_t i = 0; i < SIM_ENTRIES; i++) {
        const struct sim_node *other = &sim->nodes[i];
        if (other->up && other != node &&
            Epoch_Compare(epoch_at(other, key->issuer), own) > 0) {
            return 1;
        }
    }
    return 0;
}

/* An answer to a question may have crossed a start on its way; so may one to
 * a submission when others of the same key are open. */
static void
check_not_run(struct sim *sim, const struct sim_node *node,
              struct sim_key *key, const struct sim_conn *conn, enum code code)
{
    int crossed = conn->request_type == SIM_QUERY || key->open_submissions > 0;
    sim->not_run++;
    key->last_refusal = code;
    if (conn->request_type == SIM_QUERY || code == CODE_CANCELLED) {
        /* It repeats what an entry said that may since be superseded. */
        return;
    }
    int begun = conn->was_started || (key->total_starts && !crossed);
    if (begun && is_superseded(sim, node, &key->key)) {
        sim->stale_refusals++;
        return;
    }
    if (begun) {
        fail(sim, key, "\"not run\" of a key that was started");
    }
    if (key->open_submissions == 0) {
        key->must_not_start = 1;
    }
}

static void
close_submission(struct sim_key *key, const struct sim_conn *conn,
                 enum code code)
{
    int settled = Code_Run(code) != CODE_UNKNOWN;
    if (conn->request_type == SIM_SUBMIT && settled) {
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
    Chk_Trace(sim, &answer->key, "answer at entry %u: %s", node->index,
              Code_Name(answer->code));
    if (!Key_Equal(&key->key, &answer->key)) {
        fail(sim, key, "an answer crossed to another caller");
        return;
    }
    close_submission(key, conn, answer->code);
    if (answer->code == CODE_OK) {
        check_complete(sim, key, answer);
    }
    else if (answer->code == CODE_KEY_REUSED) {
        return; /* Of the body that came second, not of the key. */
    }
    else if (Code_Run(answer->code) == CODE_NOT_RUN) {
        check_not_run(sim, node, key, conn, answer->code);
    }
    else {
        sim->unknown += Code_Run(answer->code) == CODE_UNKNOWN;
    }
    int once = !(key->flags & SUB_IDEMPOTENT);
    if (once && key->complete && answer->code == CODE_TASK_FAILED) {
        fail(sim, key, "a complete answer turned into a failed one");
    }
}

void
Chk_AllAnswered(struct sim *sim)
{
    for (uint32_t i = 0; i < sim->conn_count; i++) {
        const struct sim_conn *conn = &sim->conns[i];
        const struct sim_node *node = &sim->nodes[conn->node];
        int lives = node->up && node->incarnation == conn->incarnation;
        if (conn->request_type == SIM_SUBMIT && lives && !conn->answered &&
            conn->answer_due_us < sim->now_us) {
            fail(sim, &sim->keys[conn->key], "a submission has no answer");
        }
    }
}
