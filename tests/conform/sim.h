/** @file
 * Conformance of the core to its protocol: real entries and agents in one
 * process, driven by a seeded schedule of messages and faults, and checked
 * against what must always hold. It is a test of the pure core; no process,
 * socket or clock takes part. */
#ifndef CONFORM_SIM_H
#define CONFORM_SIM_H

#include "core/agent.h"
#include "core/entry.h"

#define SIM_ENTRIES 3
#define SIM_AGENTS 4
#define SIM_NODES (SIM_ENTRIES + SIM_AGENTS)
#define SIM_MAX_TASKS 6
#define SIM_MAX_KEYS 4096
#define SIM_MAX_CONNS 16384
#define SIM_MAX_FRAMES 8192
#define SIM_MAX_RUNS 1024
#define SIM_KEY_LIFETIME_S 90
#define SIM_START_WALL_S 1700000000u

/** Chances in a thousand, drawn anew for each seed. */
struct sim_faults {
    uint32_t frame_loss;
    uint32_t frame_duplication;
    uint32_t frame_delay;
    uint32_t crash;
    uint32_t pause;
    uint32_t clock_jump;
    uint32_t row_removal;
    uint32_t registry_delay;
};

/** A key and what is known of it from outside. */
struct sim_key {
    struct key key;
    uint32_t tasks;
    unsigned flags;
    uint32_t starts[SIM_MAX_TASKS]; /**< Starts by task, the witness. */
    uint32_t total_starts;
    uint32_t
        open_submissions;   /**< Submissions that may still bring a start. */
    uint8_t must_not_start; /**< Told "not run", and nothing is left open. */
    uint8_t complete;       /**< A caller has had the whole answer. */
    enum code last_refusal; /**< Code of the latest "not run". */
};

/** What a caller's connection asked for. */
enum sim_request_type { SIM_SUBMIT, SIM_QUERY };

/** A caller's connection. */
struct sim_conn {
    uint32_t key;
    uint32_t node;
    uint64_t incarnation;
    enum sim_request_type request_type;
    uint8_t answered;
    uint8_t was_started; /**< Tasks of the key had begun when it was opened. */
    uint64_t answer_due_us; /**< An answer is due by then. */
};

/** A frame under way. */
struct sim_frame {
    uint64_t to;
    uint64_t due_us;
    void *data;
    size_t size;
};

/** A row of the registry. */
struct sim_row {
    struct ent_member member;
    uint64_t changed_version;
    uint8_t removed;
};

/** An answer of the table service on its way to an entry. */
struct sim_poll {
    uint8_t pending;
    uint64_t due_us;
    uint64_t version;
    uint64_t since;
    struct sim_row rows[SIM_NODES];
};

/** A task on an upstream. */
struct sim_run {
    uint32_t node;
    uint64_t incarnation;
    tab_handle task;
    struct key key;
    uint32_t task_no;
    uint64_t end_us;
};

/** An entry or an agent. */
struct sim_node {
    uint32_t index;
    uint64_t incarnation;
    uint8_t up;
    uint64_t paused_until_us;       /**< Paused until then. */
    uint64_t down_until_us;         /**< Down until then. */
    uint64_t registered;            /**< Version of the row, 0 before it. */
    uint64_t registration_known_us; /**< When the process learns of it. */
    int64_t wall_offset_s;
    struct sim_poll poll;
    struct counters counters;
    union {
        struct entry entry;
        struct agent agent;
    } core;
};

/** The whole world of one seed. */
struct sim {
    uint64_t seed;
    uint64_t random_state;
    uint64_t now_us;
    uint64_t step;
    uint64_t registry_version;
    uint64_t incarnation_count;
    struct sim_faults faults;
    struct sim_node nodes[SIM_NODES];
    struct sim_row rows[SIM_NODES];
    struct sim_frame frames[SIM_MAX_FRAMES];
    uint32_t frame_count;
    struct sim_run runs[SIM_MAX_RUNS];
    uint32_t run_count;
    struct sim_key keys[SIM_MAX_KEYS];
    uint32_t key_count;
    struct sim_conn conns[SIM_MAX_CONNS];
    uint32_t conn_count;
    uint64_t starts;
    uint64_t complete;
    uint64_t not_run;
    uint64_t unknown;
    uint64_t
        stale_refusals; /**< "Not run" of a superseded owner, run elsewhere. */
    uint64_t takeovers;
    int failed;
};

/** A random number below `n`. */
uint64_t Sim_Random(struct sim *sim, uint64_t n);

/** True in `thousandths` of the calls. */
int Sim_Chance(struct sim *sim, uint32_t thousandths);

/** The time as a node sees it. */
struct now Sim_Now(const struct sim *sim, const struct sim_node *node);

/** True for a node that handles events now. */
int Sim_IsRunning(const struct sim *sim, const struct sim_node *node);

/** Start a node's process, a new incarnation. */
void Sim_Boot(struct sim *sim, struct sim_node *node);

/** End a node's process with all that it knew. */
void Sim_Crash(struct sim *sim, struct sim_node *node);

/** Remove a node's row, as an operator does with a dead one. */
void Sim_RemoveRow(struct sim *sim, struct sim_node *node);

/** Let a node see to its registration and its clock. */
void Sim_Tick(struct sim *sim, struct sim_node *node);

/** Deliver one frame that is due, if there is one. */
void Sim_Deliver(struct sim *sim);

/** End one upstream task that is due, if there is one. */
void Sim_EndRun(struct sim *sim);

/** Free everything. */
void Sim_Finish(struct sim *sim);

/** Forget the trace. */
void Chk_Reset(void);

/** Add a line to the trace. */
void Chk_Trace(const struct sim *sim, const struct key *key,
               const char *format, ...) __attribute__((format(printf, 3, 4)));

/** The key's record. */
struct sim_key *Chk_FindKey(struct sim *sim, const struct key *key);

/** A task was begun on an upstream. */
void Chk_OnStart(struct sim *sim, const struct sim_node *node,
                 const struct msg_start *start);

/** A caller got an answer. */
void Chk_OnReply(struct sim *sim, const struct sim_node *node, conn_id conn,
                 const struct answer *answer);

/** All submissions to processes that live have had their answer by now. */
void Chk_AllAnswered(struct sim *sim);

/** Output that a task of a key must have. */
int Chk_FormatOutput(char *text, size_t size, const struct key *key,
                     uint32_t no);

#endif
