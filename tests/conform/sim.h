/** @file
 * Deterministic simulation that checks the core against its protocol: real
 * entries and agents run in one process under a seeded schedule of messages
 * and faults, and invariants are checked at each start of a task and each
 * answer. No other process, socket or clock is used. */
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
/* Wall time at the start of a simulation, in seconds since 1970. */
#define SIM_START_WALL_S 1700000000u

/** Probabilities of faults in thousandths, chosen at random for each seed. */
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

/** A key, and what has been observed of its job from outside the core. */
struct sim_key {
    struct key key;
    uint32_t tasks;
    unsigned flags;
    uint32_t starts[SIM_MAX_TASKS]; /**< Starts of each task at agents. */
    uint32_t total_starts;
    /** Submissions that may still cause a start. */
    uint32_t open_submissions;
    uint8_t must_not_start; /**< A caller was answered "not run" while no other
                                 submission was open. */
    uint8_t complete;       /**< A caller has received a complete answer. */
    enum code last_refusal; /**< Code of the latest "not run" answer. */
};

/** Request of a caller. */
enum sim_request_type { SIM_SUBMIT, SIM_QUERY };

/** A caller's connection, which carries one request. */
struct sim_conn {
    uint32_t key;         /**< Index in `keys`. */
    uint32_t node;        /**< Index of the entry. */
    uint64_t incarnation; /**< Of the entry's process. */
    enum sim_request_type request_type;
    uint8_t answered;
    uint8_t was_started;    /**< A task of the key had been started before the
                                 request was sent. */
    uint64_t answer_due_us; /**< When an answer must have been received. */
};

/** A frame in transit. */
struct sim_frame {
    uint64_t to; /**< Incarnation of the receiver. */
    uint64_t due_us;
    void *data;
    size_t size;
};

/** A row of the registry. */
struct sim_row {
    struct ent_member member;
    uint64_t changed_version; /**< Registry version of the last change. */
    uint8_t removed;
};

/** A read of the registry by an entry, with the rows as of the request. */
struct sim_poll {
    uint8_t pending;
    uint64_t due_us;  /**< When the entry receives the answer. */
    uint64_t version; /**< Registry version of `rows`. */
    uint64_t since;   /**< Rows changed after this version are reported. */
    struct sim_row rows[SIM_NODES];
};

/** A run of a task at the upstream of an agent. */
struct sim_run {
    uint32_t node;        /**< Index of the agent. */
    uint64_t incarnation; /**< Of the agent's process. */
    tab_handle task;
    struct key key;
    uint32_t task_no; /**< Number of the task in the job, from 1. */
    uint64_t end_us;
};

/** An entry or an agent. */
struct sim_node {
    uint32_t index;
    uint64_t incarnation;
    uint8_t up;
    uint64_t paused_until_us; /**< The process handles no events until then. */
    uint64_t down_until_us;   /**< When a crashed process is started again. */
    uint64_t registered;      /**< Registry version at which the row was
                                   committed, 0 if not yet. */
    uint64_t registration_known_us; /**< When the process learns that it is
                                         registered. */
    int64_t wall_offset_s;          /**< Error of its wall clock. */
    struct sim_poll poll;
    struct counters counters;
    union {
        struct entry entry;
        struct agent agent;
    } core;
};

/** State of the simulation of one seed. */
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
    uint64_t starts;         /**< Tasks started at agents. */
    uint64_t complete;       /**< Complete answers. */
    uint64_t not_run;        /**< Answers that nothing was run. */
    uint64_t unknown;        /**< Answers that the outcome is unknown. */
    uint64_t stale_refusals; /**< "Not run" answers of a superseded owner for a
                                  key that was run elsewhere. */
    uint64_t takeovers;      /**< Of the nodes that are up at the end. */
    int failed;              /**< An invariant was violated. */
};

/** Return a random number below `n`, which must not be 0. */
uint64_t Sim_Random(struct sim *sim, uint64_t n);

/** True with a probability of `thousandths` / 1000. */
int Sim_Chance(struct sim *sim, uint32_t thousandths);

/** Return the time as a node's clocks show it, including the error of its
 * wall clock. */
struct now Sim_Now(const struct sim *sim, const struct sim_node *node);

/** True if a node is up and not paused. */
int Sim_IsRunning(const struct sim *sim, const struct sim_node *node);

/** Start a node's process with a new incarnation and empty state. */
void Sim_Boot(struct sim *sim, struct sim_node *node);

/** End a node's process and discard its state. It is started again after a
 * random time of up to 8 s. */
void Sim_Crash(struct sim *sim, struct sim_node *node);

/** Remove a node's row from the registry, as an operator does for a dead
 * process. No effect if it has none. */
void Sim_RemoveRow(struct sim *sim, struct sim_node *node);

/** Register a node if it is not registered yet, and run its periodic work: an
 * entry reads the registry, an agent receives an announcement. */
void Sim_Tick(struct sim *sim, struct sim_node *node);

/** Choose a frame at random and deliver it if it is due. A frame to an ended
 * process is discarded; one to a paused process waits. */
void Sim_Deliver(struct sim *sim);

/** Choose a run at random and end it if it is due. */
void Sim_EndRun(struct sim *sim);

/** End all processes, add their takeovers to `takeovers` and free the frames
 * in transit. */
void Sim_Finish(struct sim *sim);

/** Discard all lines of the trace. */
void Chk_Reset(void);

/** Add a line about `key` to the trace. If `key` is NULL the line applies to
 * all keys, if its `seq` is 0 to all keys of its issuer. */
void Chk_Trace(const struct sim *sim, const struct key *key,
               const char *format, ...) __attribute__((format(printf, 3, 4)));

/** Return the record of a key, NULL if there is none. */
struct sim_key *Chk_FindKey(struct sim *sim, const struct key *key);

/** Record the start of a task at an agent's upstream, and report a violation
 * if the task must not be started. */
void Chk_OnStart(struct sim *sim, const struct sim_node *node,
                 const struct msg_start *start);

/** Record an answer to a caller, and report a violation if it contradicts the
 * recorded starts. */
void Chk_OnReply(struct sim *sim, const struct sim_node *node, conn_id conn,
                 const struct answer *answer);

/** Report a violation if a submission to a process that is still up has no
 * answer although its `answer_due_us` has passed. */
void Chk_AllAnswered(struct sim *sim);

/** Write the expected output of a task of a key to `text`. Returns its length
 * in bytes. */
int Chk_FormatOutput(char *text, size_t size, const struct key *key,
                     uint32_t no);

#endif
