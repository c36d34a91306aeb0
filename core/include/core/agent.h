/** @file
 * State machine of an agent: it fences, remembers every start, and runs
 * tasks on the upstream beside it. */
#ifndef CORE_AGENT_H
#define CORE_AGENT_H

#include <uthash.h>

#include "base/counter.h"
#include "base/tab.h"
#include "core/act.h"
#include "core/clock.h"
#include "wire/msg.h"

/** Issuer numbers whose epochs an agent keeps, unless set otherwise. */
#define AG_MAX_ISSUERS 32768
/** Most entries that an agent talks to. */
#define AG_MAX_ENTRIES 256
/** Most starts that may wait for a slot. */
#define AG_MAX_HOLDS 1024
/** Outcomes that may wait for others of their job; a full outbox only costs
 * messages. */
#define AG_OUTBOX_SIZE 64
/** An entry whose tasks wait for room is told when the slots taken differ by
 * this many from what it knows, or all are taken. */
#define AG_NEWS_SLOTS 2
/** The same where resources count: a change by this part of the capacity. */
#define AG_NEWS_PARTS 6
/** An entry is told again after this time for each entry that the agent knows:
 * 200 messages a second leave an agent, however many entries there are. At 55
 * agents and 13 entries that is 850 a second for an entry, two hundredths of a
 * core. Each result tells the same, at no cost. */
#define AG_NEWS_GAP_US (5 * US_PER_MS)
/** Such an entry sent a start that may wait, or was refused for want of room,
 * within this time. */
#define AG_NEWS_US (1 * US_PER_S)
/** Bytes of outputs kept for owners that may still ask. */
#define AG_OUTPUT_BYTES (32u << 20)
/** An order to stop a task is given again after this. */
#define AG_STOP_RETRY_US (1 * US_PER_S)
/** A stopping agent offers its results again after this. */
#define AG_OFFER_INTERVAL_US (200 * US_PER_MS)
/** A stopping agent waits this long for owners that it does not hear. */
#define AG_ORPHAN_WAIT_US (5 * US_PER_S)
/** An upstream that has not announced itself for this long is gone. */
#define AG_ANNOUNCE_TTL_US (3 * US_PER_S)

/** Settings of an agent. */
struct ag_settings {
    uint64_t incarnation;
    uint32_t task_capacity;   /**< Starts remembered at once. */
    uint32_t key_lifetime_s;  /**< Keys older than this are forgotten. */
    uint32_t issuer_capacity; /**< 0 for AG_MAX_ISSUERS. */
    uint8_t check_fresh;      /**< Start nothing unless fresh. */
    struct timing timing;     /**< All 0 for Timing_Init(). */
};

/** What an upstream says of itself. */
struct ag_announce {
    char service[WIRE_NAME_SIZE];
    uint32_t slots;
    uint32_t connections;
    uint32_t memory_mb;
    uint32_t cores;
    uint32_t running;          /**< Tasks that it is running now. */
    struct resources capacity; /**< All 0 where only slots count. */
    struct labels labels;
    uint8_t leaving;
};

/** Identity of a key. */
struct ag_key_id {
    uint64_t issuer;
    uint64_t seq;
};

/** What is remembered of a task that was started or refused. */
struct ag_task {
    struct tab_row row;
    struct ag_job *job;
    struct ag_task *next; /**< Of the same job. */
    struct epoch epoch;
    uint64_t from; /**< Incarnation of the entry that it counts for. */
    uint32_t no;
    uint32_t attempt;
    enum task_state state;
    enum code code;
    uint32_t run_us;
    unsigned flags;
    struct resources need;
    uint64_t name; /**< The caller's name for the job, 0 for none. */
    uint64_t lease_end_us;
    uint64_t stop_us; /**< When to order the stop again, 0 for no stop. */
    uint8_t lapsed;   /**< Stopped because its lease ended. */
    uint8_t taken;    /**< The owner has the outcome. */
    struct ag_task *prev, *following; /**< In the list of running tasks. */
    struct bytes output;              /**< Owned. */
};

/** What the outcomes say of the worker. */
struct ag_health {
    uint32_t failures;     /**< In a row, each of another job. */
    struct ag_key_id last; /**< Job of the latest failure. */
    uint64_t since_us;     /**< When the first of the row ended. */
    uint64_t out_us;       /**< How long it was last put out, 0 for not. */
    uint64_t out_until_us; /**< 0 when it is not out. */
    uint8_t probing;       /**< Back, with one task at a time. */
};

/** A start that waits for a slot. */
struct ag_hold {
    struct tab_row row;
    struct ag_hold *prev, *next; /**< Of the same priority class. */
    struct ag_task *task;
    uint64_t from; /**< Incarnation of the sender. */
    uint64_t since_us;
    uint64_t until_us;      /**< Refused when it still waits then. */
    struct msg_start start; /**< Its input is owned. */
};

/** What is remembered of a key. */
struct ag_job {
    struct tab_row row;
    struct ag_key_id id;
    struct key key;
    struct ag_task *tasks;
    uint64_t body_hash; /**< Of the submission, 0 when not known. */
    uint32_t running;
    uint8_t cancelled; /**< No more of its tasks may start. */
    uint8_t read;      /**< The caller has read the answer. */
    UT_hash_handle hh;
};

/** Highest epoch seen for an issuer. */
struct ag_issuer {
    struct tab_row row;
    uint64_t issuer;
    struct epoch epoch;
    uint64_t used_us;
    UT_hash_handle hh;
};

/** An entry that this agent talks to. */
struct ag_entry {
    struct tab_row row;
    uint64_t incarnation;
    char addr[WIRE_ADDR_SIZE];
    uint64_t met_us; /**< When it was first heard. */
    uint64_t heard_us;
    uint64_t link_us; /**< When the connection was last made. */
    uint64_t echo_us; /**< Entry's `sent_us` to echo. */
    uint64_t back_us; /**< When the latest heartbeat that came back left. */
    uint64_t version; /**< Registry version that it has applied. */
    uint64_t ask_us;  /**< Its latest question, to be echoed. */
    uint64_t want_us; /**< When it last wanted more room than it knew of. */
    uint32_t tasks;   /**< Slots taken by its tasks, held ones too. */
    uint32_t told;    /**< Slots taken, as it was last told. */
    uint64_t news_us; /**< When it was last sent news. */
    struct resources used; /**< Taken by its tasks. */
    uint32_t told_cpu;     /**< Of `used` of all, as it was last told. */
    UT_hash_handle hh;
};

/** Outcomes that wait to be sent together. */
struct ag_outbox {
    uint32_t count;
    tab_handle tasks[AG_OUTBOX_SIZE];
};

/** The agent. */
struct agent {
    struct ag_settings settings;
    struct act_sink sink;
    struct counters *counters;
    struct tab tasks;
    struct tab jobs;
    struct ag_job *job_index;
    struct ag_outbox outbox;
    struct tab issuers;
    struct ag_issuer *issuer_index;
    struct tab entries;
    struct ag_entry *entry_index;
    uint64_t registered;  /**< Version of the registration, 0 before it. */
    uint32_t forgotten_s; /**< Keys issued at or before this are refused. */
    struct ag_announce upstream;
    uint64_t announced_us; /**< 0 when no upstream has announced. */
    uint32_t busy;         /**< Task slots taken. */
    struct resources used; /**< Taken by running tasks. */
    uint32_t calls;        /**< Connections taken by requests. */
    uint32_t foreign;      /**< Tasks running since before this process. */
    struct ag_health health;
    struct tab hold_table;
    struct ag_hold *holds[PRIO_COUNT];
    uint32_t held;  /**< Starts that wait for a slot. */
    uint32_t least; /**< Least `busy + calls` since an announcement. */
    struct ag_task *running;
    uint64_t output_bytes;
    uint32_t report; /**< Number of the latest report to a taker. */
    uint64_t next_beat_us;
    uint32_t sweep_slot;
    uint64_t drain_us;      /**< When the stop began. */
    uint64_t next_offer_us; /**< When results are offered again. */
    uint32_t untaken;       /**< Outcomes that no owner is known to have. */
    uint8_t draining;
    uint64_t config;   /**< Version of the configuration applied. */
    uint64_t fresh_us; /**< When it was known to be the newest, 0: never. */
    uint8_t is_out;    /**< Out of service by the configuration. */
};

/** Make an agent on the caller's memory. Returns -1 for lack of memory. */
int Ag_Init(struct agent *agent, const struct ag_settings *settings,
            struct act_sink sink, struct counters *counters);

/** Free what the agent owns. */
void Ag_Finish(struct agent *agent);

/** The registration was committed at `version`. */
void Ag_OnRegistered(struct agent *agent, uint64_t version);

/** A configuration is in force from now on; an older one is ignored. `is_out`
 * takes this agent out of service. */
void Ag_OnConfig(struct agent *agent, struct now now, uint64_t version,
                 int is_out);

/** True while this agent may start tasks. */
int Ag_IsFresh(const struct agent *agent, struct now now);

/** The upstream announced itself or renewed. */
void Ag_OnAnnounce(struct agent *agent, struct now now,
                   const struct ag_announce *announce);

/** A message came in. */
void Ag_OnMessage(struct agent *agent, struct now now,
                  const struct frame_header *head, const struct msg *msg);

/** A task that was to be run has ended. CODE_OK, CODE_TASK_FAILED,
 * CODE_NO_UPSTREAM when it did not reach the upstream, which is a refusal, or
 * CODE_OUTCOME_UNKNOWN when the upstream's answer was lost. */
void Ag_OnTaskEnd(struct agent *agent, struct now now, tab_handle task,
                  enum code code, struct bytes output, uint32_t run_us);

/** The upstream is gone: nothing starts until it announces itself again. */
void Ag_OnUpstreamGone(struct agent *agent, struct now now);

/** Tell all entries at once what the upstream offers. */
void Ag_TellAll(struct agent *agent);

/** A frame for an earlier process at this address shows that its sender does
 * not know this one yet: introduce it. */
void Ag_OnStranger(struct agent *agent, struct now now,
                   const struct frame_header *head);

/** Time has passed: heartbeats, leases, forgetting. */
void Ag_OnTick(struct agent *agent, struct now now);

/** Stop gracefully: take no more starts. */
void Ag_Drain(struct agent *agent, struct now now);

/** True when nothing is running any more and every outcome is with the
 * owner of its key. Of use once the agent drains. */
int Ag_IsIdle(const struct agent *agent);

#endif
