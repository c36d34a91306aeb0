/** @file
 * State machine of an entry: it issues keys, owns jobs, places their tasks
 * on agents, takes over the keys of dead entries, and answers callers. */
#ifndef CORE_ENTRY_H
#define CORE_ENTRY_H

#include <uthash.h>

#include "base/counter.h"
#include "base/tab.h"
#include "core/act.h"
#include "core/clock.h"
#include "core/config.h"
#include "core/job.h"
#include "core/policy.h"
#include "core/sched.h"
#include "wire/msg.h"

/** Issuer numbers that an entry spreads its keys over. */
#define ENT_OWN_ISSUERS 8
/** Questions to other entries that wait for an answer at once. */
#define ENT_MAX_ASKS 4096
/** Times that a request is placed again after an unknown outcome. */
#define ENT_MAX_UNKNOWN 3
/** Most keys issued in one call. */
#define ENT_MAX_KEYS 1000

/** How an entry decides; the baseline is there to be measured against. */
enum ent_mode {
    ENT_STANDARD = 0,
    ENT_BASELINE, /**< Random placement, no admission limit, fixed retries. */
};

/** Settings of an entry. */
struct ent_settings {
    enum ent_mode mode;
    uint64_t incarnation;
    char dc[WIRE_NAME_SIZE];
    uint32_t job_capacity;   /**< Jobs known at once, answered ones too. */
    uint32_t peer_capacity;  /**< Members known at once. */
    uint32_t key_lifetime_s; /**< Answers and keys are kept this long. */
    unsigned char seed[16];  /**< For random numbers. */
    uint8_t check_fresh;     /**< Place nothing unless fresh. */
    uint8_t by_contact;      /**< A member that is heard stays one, whatever
                                  becomes of its row. */
    struct timing timing;    /**< All 0 for Timing_Init(). */
    uint64_t tick_us; /**< Between calls of Ent_OnTick() while the processor
                           keeps up; 0: do not watch it. */
};

/** Whether the processor keeps up with the work. */
struct ent_pressure {
    uint64_t tick_us;        /**< When the latest tick came, 0 for none. */
    uint64_t late_us;        /**< How late it was. */
    uint32_t refuse_percent; /**< Share of the new jobs that is refused. */
};

/** A row of the registry. */
struct ent_member {
    char node[WIRE_NAME_SIZE];
    enum role role;
    uint64_t incarnation;
    char addr[WIRE_ADDR_SIZE];
    char dc[WIRE_NAME_SIZE];
    char region[WIRE_NAME_SIZE];
    char rack[WIRE_NAME_SIZE];
    uint64_t registered; /**< Version of the row. */
    uint8_t replaced;    /**< The row replaced another incarnation. */
};

/** Agents and jobs of one service. */
struct ent_service {
    struct tab_row row;
    char name[WIRE_NAME_SIZE];
    struct ent_peer *agents;
    struct ent_lane lanes[ENT_LANES]; /**< Jobs with waiting tasks. */
    uint32_t room;        /**< Starts that could be sent, as last counted. */
    uint8_t use_suspects; /**< Too many workers fail: it is not theirs. */
    uint32_t fast_slots;  /**< Of usable agents that are not slow. */
    uint32_t waiting;     /**< Tasks waiting in the queues. */
    struct policy policy; /**< In force for the service. */
    UT_hash_handle hh;
};

/** Another process. */
struct ent_peer {
    struct tab_row row;
    struct ent_member member;
    uint64_t heard_us; /**< 0 when never heard. */
    uint64_t link_us;
    uint64_t echo_us; /**< The peer's `sent_us` to echo. */
    uint64_t back_us; /**< When the latest heartbeat that came back left. */
    uint64_t rtt_us;  /**< Latest round trip. */
    uint64_t version; /**< Registry version that it has applied. */
    uint8_t draining;
    struct ent_service *service;  /**< NULL for entries. */
    struct ent_peer *prev, *next; /**< In the service's list. */
    uint32_t slots;
    uint32_t connections;
    uint32_t memory_mb;
    uint32_t cores;
    uint8_t leaving;
    uint32_t outstanding;      /**< Task slots taken by this entry's tasks. */
    uint32_t calls;            /**< This entry's requests there. */
    uint32_t others;           /**< Slots taken by others, as last reported. */
    struct resources capacity; /**< All 0 where only slots count. */
    struct resources used;     /**< By this entry's tasks. */
    struct resources others_used; /**< The same of others. */
    struct labels labels;
    double pace;          /**< Run times there over those expected. */
    uint8_t suspect;      /**< The agent says that its worker fails. */
    uint32_t pace_count;  /**< Tasks behind `pace`, up to a bound. */
    uint64_t pace_us;     /**< When the latest of them ended. */
    struct policy policy; /**< In force for tasks that run there. */
    uint64_t config;      /**< Configuration that it has applied. */
    uint64_t members;     /**< Rows that it has applied; entries. */
    uint64_t ask_us;      /**< Its latest question, to be echoed. */
    uint64_t vouch_us;    /**< When the question was sent that its latest
                               vouching answered, 0 for none. */
    uint64_t push_us;     /**< When state was last sent to it. */
    uint64_t met_us;      /**< When it became known here. */
    uint64_t return_us;   /**< When it came back into service, 0 for never. */
    uint8_t is_out;       /**< Out of service or said to be leaving. */
    uint8_t says_leaving; /**< What the agent last said. */
    UT_hash_handle hh;
    UT_hash_handle node_hh; /**< By the node's name. */
};

/** Standing of an issuer number here. */
enum ent_issuer_state {
    ENT_ISSUER_OWN,   /**< Drawn here. */
    ENT_ISSUER_TAKEN, /**< Taken over by this entry. */
    ENT_ISSUER_PEER,  /**< Owned by another entry. */
};

/** An agent that a takeover has to hear. */
struct ent_fence {
    struct ent_fence *next;
    uint64_t agent;      /**< Incarnation. */
    uint32_t report;     /**< Number of the report being taken in. */
    uint32_t expected;   /**< Records in the report. */
    uint32_t received;   /**< Different records of it that came. */
    unsigned char *seen; /**< Bit for each record that came, owned. */
    uint32_t seen_size;  /**< Bytes of `seen`. */
    uint32_t forgotten_s;
    uint8_t answered;
    uint64_t resend_us;
};

/** An issuer number. */
struct ent_issuer {
    struct tab_row row;
    uint64_t issuer;
    struct epoch epoch;
    enum ent_issuer_state state;
    uint64_t loss; /**< Latest loss of an agent that had not reported. */
    uint64_t used_us;
    struct ent_fence *fences;
    UT_hash_handle hh;
};

/** A caller's question that another entry is to answer. */
struct ent_ask {
    struct tab_row row;
    struct key key;
    enum job_query what;
    conn_id conn;
    uint64_t resend_us;
    uint64_t end_us; /**< Given up then. */
    UT_hash_handle hh;
};

/** Configuration that an entry has applied. */
struct ent_conf {
    const struct config *config; /**< Borrowed; NULL before the first. */
    struct bytes whole;          /**< Borrowed; as sent to agents. */
    struct bytes diff;           /**< The same, from the version before. */
    uint64_t applied_us;
    uint64_t store_us;  /**< When the last answered read was sent, 0: none. */
    uint64_t fresh_us;  /**< When it was known to be the newest. */
    uint64_t lost_us;   /**< When a member was last lost or replaced, or the
                             last entry was heard to know of it. */
    uint64_t lost_rows; /**< Version of the rows that told of it. */
    uint32_t wall;      /**< Time at which expiry was last looked at. */
    uint8_t superseded; /**< The own row is gone: never fresh again. */
    uint8_t has_team_exceptions;
};

/** A committed change that waits to be accepted. */
struct ent_accept {
    uint64_t rows;        /**< Version of the rows that carry it. */
    uint64_t config;      /**< Version of the configuration. */
    uint64_t commit_us;   /**< When the commit was known. */
    uint64_t majority_us; /**< When most entries had it, 0 for not yet. */
};

/** Who has taken a change in. */
struct ent_acks {
    uint32_t entries; /**< Registered entries, this one too. */
    uint32_t entries_acked;
    uint32_t agents;
    uint32_t agents_acked;
    uint8_t lapsed; /**< Whoever has not, has stopped starting tasks. */
    uint8_t accepted;
};

/** The entry. */
struct entry {
    struct ent_settings settings;
    struct act_sink sink;
    struct counters *counters;
    uint64_t started_us;
    uint64_t joined_us;    /**< When the registry was first known. */
    uint64_t met_entry_us; /**< When another entry last became known. */
    uint64_t version;   /**< Registry version applied, 0 before the first. */
    uint64_t last_loss; /**< Version of the latest loss of an agent. */
    uint32_t forgotten_s;
    uint64_t random_count;
    struct tab peers;
    struct ent_peer *peer_index;
    struct ent_peer *node_index;
    struct tab services;
    struct ent_service *service_index;
    struct tab issuers;
    struct ent_issuer *issuer_index;
    struct ent_issuer *own[ENT_OWN_ISSUERS];
    uint32_t next_own;
    uint32_t next_seq;
    struct tab jobs;
    struct ent_job *job_index;
    struct ent_job *name_index; /**< Open jobs with a caller's name. */
    uint32_t open_jobs;         /**< Jobs not yet answered. */
    struct ent_job **open;      /**< These jobs, in no order. */
    struct tab asks;
    struct ent_ask *ask_index;
    uint64_t epoch_n;     /**< Highest epoch that this entry has taken. */
    uint64_t next_age_us; /**< When unused issuers are looked for. */
    uint64_t successor;   /**< Entry that the ranges are handed to. */
    uint64_t next_hand_us;
    uint8_t alone; /**< No other entry could take the ranges. */
    uint64_t next_beat_us;
    uint64_t next_scan_us;
    uint32_t sweep_slot;
    uint8_t draining;
    struct ent_sched sched;
    struct policy policy;  /**< Fleet-wide values in force. */
    struct policy scratch; /**< Values for a service and a team. */
    struct ent_conf conf;
    struct ent_pressure pressure;
};

/** Make an entry on the caller's memory. Returns -1 for lack of memory. */
int Ent_Init(struct entry *entry, const struct ent_settings *settings,
             struct now now, struct act_sink sink, struct counters *counters);

/** Free what the entry owns. */
void Ent_Finish(struct entry *entry);

/** Whether a process that listens at `addr` may write its row over that of an
 * earlier process of its node. An entry's may still run elsewhere and vouch
 * for others by what it knows; at the same address it has surely ended, as
 * the port is free (model/FINDINGS.md, 17). */
int Ent_MayReplace(const struct ent_member *row, enum role role,
                   const char *addr);

/** A registry row was read. */
void Ent_OnMember(struct entry *entry, struct now now,
                  const struct ent_member *member);

/** A member was removed from the registry at `version`. */
void Ent_OnMemberGone(struct entry *entry, struct now now, const char *node,
                      uint64_t version);

/** All rows up to `version` have been handed in. */
void Ent_OnVersion(struct entry *entry, struct now now, uint64_t version);

/** A read of the table service that was sent at `asked_us` has been
 * answered, and all that it brought has been handed in. */
void Ent_OnRead(struct entry *entry, struct now now, uint64_t asked_us);

/** A configuration is in force from now on. What is given is borrowed until
 * the next call. `announce` tells all agents at once. */
void Ent_OnConfig(struct entry *entry, struct now now,
                  const struct config *config, struct bytes whole,
                  struct bytes diff, int announce);

/** Tell a process at once what this entry has applied. */
void Ent_Acknowledge(struct entry *entry, struct now now, uint64_t to);

/** True while this entry may start tasks. */
int Ent_IsFresh(const struct entry *entry, struct now now);

/** True when a majority of the registered entries vouched of late. */
int Ent_HasMajority(const struct entry *entry, struct now now);

/** True when a process has taken a change in. */
int Ent_HasAcked(const struct ent_peer *peer, const struct ent_accept *accept);

/** Where a change stands: accepted when most registered entries have it and
 * every member has it or has stopped starting tasks. */
struct ent_acks Ent_CheckAccept(const struct entry *entry, struct now now,
                                struct ent_accept *accept);

/** Issue `count` keys. Returns CODE_OK, CODE_NOT_FRESH before the registry
 * is known, CODE_DRAINING when stopping. */
enum code Ent_IssueKeys(struct entry *entry, struct now now, uint32_t count,
                        struct key *keys);

/** Decide on a job that its caller names `name` before the work of taking it
 * in. CODE_OVERLOADED, with a time after which a retry may help, when this
 * entry cannot keep up; a job that is known here is always let in. */
enum code Ent_Screen(struct entry *entry, uint64_t name,
                     uint32_t *retry_after_ms);

/** A caller submitted a job and waits for its answer on `conn`; 0 when it
 * does not wait. The answer comes as ACT_REPLY. */
void Ent_OnSubmit(struct entry *entry, struct now now, conn_id conn,
                  const struct submission *sub);

/** A caller asks for a job's state or answer, or cancels it. */
void Ent_OnAsk(struct entry *entry, struct now now, conn_id conn,
               const struct key *key, enum job_query what);

/** A caller has read the answer to a key. */
void Ent_OnAnswerRead(struct entry *entry, struct now now,
                      const struct key *key);

/** Cancel an open job by its caller's name. Returns 0 when there is none. */
int Ent_CancelNamed(struct entry *entry, uint64_t name);

/** Look for an open job by its caller's name, and whether a task of it has
 * been sent. Returns 0 when there is none. */
int Ent_LookNamed(const struct entry *entry, uint64_t name, int *is_running);

/** Open jobs of a kind of which no task has been sent. */
uint32_t Ent_CountWaiting(const struct entry *entry, const char *kind);

/** The connection on which a caller waited for the answer is closed. A job
 * that nobody waits for and nobody can ask for is ended. */
void Ent_OnCallerGone(struct entry *entry, conn_id conn,
                      const struct key *key);

/** A frame for an earlier process at this address came from a process that
 * may not be known here: meet it. */
void Ent_OnStranger(struct entry *entry, struct now now,
                    const struct frame_header *head);

/** A message came in. */
void Ent_OnMessage(struct entry *entry, struct now now,
                   const struct frame_header *head, const struct msg *msg);

/** Time has passed: heartbeats, deadlines, messages to send again. */
void Ent_OnTick(struct entry *entry, struct now now);

/** Stop gracefully: issue no keys, finish the jobs. */
void Ent_Drain(struct entry *entry, struct now now);

/** True when no job waits for its answer and, in a graceful stop, the keys
 * have been handed to another entry or there is none. */
int Ent_IsIdle(const struct entry *entry);

/** Write one line on this entry and one on each service. Returns the bytes
 * written; what does not fit is left out. */
size_t Ent_PrintStatus(const struct entry *entry, struct now now, char *out,
                       size_t size);

/** Write the response times by kind, as text for /metrics. */
size_t Ent_PrintKinds(const struct entry *entry, char *out, size_t size);

#endif
