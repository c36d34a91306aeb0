/** @file
 * State machine of an agent. It refuses messages from superseded owners of a
 * key range, records every start, to recognise duplicates, and runs tasks on
 * the upstream beside it. */
#ifndef CORE_AGENT_H
#define CORE_AGENT_H

#include <uthash.h>

#include "base/counter.h"
#include "base/tab.h"
#include "core/act.h"
#include "core/clock.h"
#include "wire/msg.h"

/** Default capacity of the table of issuer epochs. */
#define AG_MAX_ISSUERS 32768
/** Maximum number of entries that an agent communicates with. */
#define AG_MAX_ENTRIES 256
/** Maximum number of held starts, that is starts queued for a free slot. */
#define AG_MAX_HOLDS 1024
/** Capacity of the outbox. When it is full, outcomes are sent one by one,
 * which only costs more messages. */
#define AG_OUTBOX_SIZE 64
/** An entry with waiting tasks gets a load update when the number of used
 * slots differs by at least this many from the number last reported to it, or
 * when the last free slot has been taken. */
#define AG_UPDATE_SLOTS 2
/** An entry with waiting tasks also gets a load update when the used CPU
 * differs from the amount last reported to it by at least the upstream's CPU
 * capacity divided by this. */
#define AG_UPDATE_CPU_DIVISOR 6
/** Minimum interval between load updates to one entry, multiplied by the
 * number of entries known. This limits an agent to 200 updates a second in
 * total. With 55 agents and 13 entries an entry gets at most 850 a second,
 * which takes 2% of a core. Results carry the same data at no extra cost. */
#define AG_UPDATE_INTERVAL_US (5 * US_PER_MS)
/** An entry is assumed to have waiting tasks for this long after it sent a
 * start that may be held, or was refused one for lack of a slot. */
#define AG_UPDATE_WINDOW_US (1 * US_PER_S)
/** Maximum total size in bytes of the task outputs kept for owners that may
 * still request them. */
#define AG_OUTPUT_BYTES (32u << 20)
/** Interval at which the order to stop a task is repeated. */
#define AG_STOP_RETRY_US (1 * US_PER_S)
/** Interval at which a draining agent resends unacknowledged outcomes. */
#define AG_RESEND_INTERVAL_US (200 * US_PER_MS)
/** Time that a draining agent waits for owners that it has no contact with to
 * acknowledge their outcomes. */
#define AG_OWNER_WAIT_US (5 * US_PER_S)
/** Minimum interval between heartbeats to an entry whose starts are refused as
 * stale. */
#define AG_REFRESH_INTERVAL_US (10 * US_PER_MS)
/** An announcement that is not renewed within this time expires, and the
 * upstream is treated as gone. */
#define AG_ANNOUNCE_TTL_US (3 * US_PER_S)

/** Settings of an agent. */
struct ag_settings {
    uint64_t incarnation;
    uint32_t task_capacity;   /**< Maximum number of tasks recorded. */
    uint32_t key_lifetime_s;  /**< Records of older keys are removed. */
    uint32_t issuer_capacity; /**< 0 for AG_MAX_ISSUERS. */
    uint8_t require_fresh;    /**< Refuse starts unless the configuration is
                                   known to be current, see Ag_IsFresh(). */
    struct timing timing;     /**< All 0 for the defaults of Timing_Init(). */
};

/** Announcement of an upstream: its service, capacity and load. */
struct ag_announce {
    char service[WIRE_NAME_SIZE];
    uint32_t slots;       /**< Maximum number of tasks, without requests. */
    uint32_t connections; /**< Maximum number of tasks and requests. */
    uint32_t memory_mb;   /**< A job that declares more does not fit. */
    uint32_t cores;       /**< A job that declares more does not fit. */
    uint32_t running;     /**< Number of tasks running now. */
    struct resources capacity; /**< All 0 when only slots are limited. */
    struct labels labels;
    uint8_t leaving; /**< The upstream is about to stop. */
};

/** Identity of a key: its range and its number in the range. */
struct ag_key_id {
    uint64_t issuer;
    uint64_t seq;
};

/** Record of a task that was started, held or refused. */
struct ag_task {
    struct tab_row row;
    struct ag_job *job;
    struct ag_task *next; /**< Next task of the same job. */
    struct epoch epoch;
    uint64_t from; /**< Incarnation of the entry that ordered the run; its
                        slot and resources are counted for that entry. */
    uint32_t no;   /**< The caller's number of the task in its job. */
    uint32_t attempt;
    enum task_state state;
    enum code code;
    uint32_t run_us;
    unsigned flags; /**< enum sub_flags and START_*. */
    struct resources need;
    uint64_t job_name;         /**< The caller's name for the job; any value is
                                    valid. */
    char kind[WIRE_NAME_SIZE]; /**< Of the job. */
    uint64_t lease_end_us;
    uint64_t stop_us;       /**< When to repeat the stop order, 0 if none was
                                 given. */
    uint64_t stop_limit_us; /**< Ag_RunLimit() when a stop was first
                                 ordered. */
    uint8_t lease_expired; /**< It is being stopped because its lease ended. */
    uint8_t acked;         /**< The owner has acknowledged the outcome. */
    uint8_t has_job_name;  /**< `job_name` is set: the job is restartable. */
    struct ag_task *prev, *following; /**< Links in `agent.running`. */
    struct bytes output;              /**< Owned by the record. */
};

/** Health of the worker, derived from the outcomes of its tasks. A worker that
 * is found to be failing is ejected: it gets no starts for a while. */
struct ag_health {
    uint32_t failures;         /**< Consecutive failures, each in a different
                                    job. */
    struct ag_key_id last_job; /**< Job of the latest failure. */
    uint64_t first_failure_us; /**< Time of the first of these failures. */
    uint64_t ejection_us;      /**< Duration of the latest ejection, 0 if there
                                    was none since the last success. */
    uint64_t ejected_until_us; /**< 0 when the worker is not ejected. */
    uint8_t probing;           /**< The worker gets one task at a time after an
                                    ejection, until one succeeds. */
};

/** A held start: one that is queued until a slot is free. */
struct ag_hold {
    struct tab_row row;
    struct ag_hold *prev, *next; /**< Links in the queue of its priority. */
    struct ag_task *task;
    uint64_t from; /**< Incarnation of the entry that sent it. */
    uint64_t since_us;
    uint64_t until_us;      /**< When it is refused if still queued. */
    struct msg_start start; /**< Its input is owned by the hold. */
};

/** Record of a key and the tasks of its job. */
struct ag_job {
    struct tab_row row;
    struct ag_key_id id;
    struct key key;
    struct ag_task *tasks;
    uint64_t body_hash;  /**< Hash of the submission, 0 if not known. */
    uint32_t running;    /**< Number of its tasks that run or are held. */
    uint8_t cancelled;   /**< No more of its tasks may start. */
    uint8_t answer_read; /**< The caller has read the answer. */
    UT_hash_handle hh;
};

/** Highest epoch seen for an issuer, that is for the key range with its
 * number. */
struct ag_issuer {
    struct tab_row row;
    uint64_t issuer;
    struct epoch epoch;
    uint64_t used_us; /**< When a message last named this issuer. */
    UT_hash_handle hh;
};

/** An entry that this agent communicates with. */
struct ag_entry {
    struct tab_row row;
    uint64_t incarnation;
    char addr[WIRE_ADDR_SIZE];
    uint64_t first_heard_us;    /**< When its first message arrived. */
    uint64_t heard_us;          /**< When its latest message arrived. */
    uint64_t linked_us;         /**< When the connection was last opened. */
    uint64_t heartbeat_echo_us; /**< `sent_us` of its latest heartbeat, to be
                                     echoed. */
    uint64_t heartbeat_sent_us; /**< When it was last sent a heartbeat. */
    uint64_t echoed_us;       /**< When the latest heartbeat that it has echoed
                                   was sent. */
    uint64_t version;         /**< Registry version that it has applied. */
    uint64_t version_sent_us; /**< `sent_us` of its latest MSG_VERSION, to be
                                   echoed. */
    uint64_t last_demand_us;  /**< When it last sent a start that may be held,
                                   or was refused one for lack of a slot. */
    uint32_t slots;           /**< Slots used by its tasks and holds. */
    uint32_t reported_slots;  /**< Used slots last reported to it. */
    uint64_t last_update_us;  /**< When it was last sent a load update. */
    struct resources used;    /**< Resources used by its tasks. */
    uint32_t reported_cpu;    /**< Used CPU last reported to it. */
    UT_hash_handle hh;
};

/** Number of reports of crashes that are kept to be repeated. */
#define AG_MAX_CRASHES 4

/** A crash of the upstream. */
struct ag_crash {
    uint64_t at_us; /**< When it happened. */
    struct msg_crash report;
};

/** Outcomes waiting to be sent together. */
struct ag_outbox {
    uint32_t count;
    tab_handle tasks[AG_OUTBOX_SIZE];
};

/** State of an agent. */
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
    uint64_t registered; /**< Registry version of the agent's registration, 0
                              before it is committed. */
    uint32_t expired_until_s; /**< Keys issued at or before this are refused:
                                   records of such keys have been removed. */
    struct ag_announce upstream;
    uint64_t leased_until_us; /**< When the latest lease at the upstream
                                   ends. */
    uint64_t announced_us; /**< When the upstream last announced itself, 0 when
                                there is none. */
    uint32_t busy;         /**< Slots used by running tasks. */
    struct resources used; /**< Resources used by running tasks. */
    uint32_t requests;     /**< Connections used by running requests. */
    uint32_t untracked; /**< Tasks on the upstream that this process does not
                             follow: started by an earlier process, or of
                             unknown outcome. */
    struct ag_health health;
    struct ag_crash crashes[AG_MAX_CRASHES]; /**< The latest ones. */
    uint32_t crash_count;                    /**< Crashes so far. */
    struct tab hold_table;
    struct ag_hold *holds[PRIO_COUNT]; /**< Queues of held starts. */
    uint32_t held;                     /**< Number of held starts. */
    uint32_t min_occupied;             /**< Minimum of `busy + requests` since
                                            the latest announcement. */
    struct ag_task *running;           /**< List of the running tasks. */
    uint64_t output_bytes;             /**< Total size of the outputs kept. */
    uint32_t last_report; /**< Number of the latest takeover report. */
    uint64_t next_heartbeat_us;
    uint32_t sweep_slot;       /**< Where Agi_Sweep() continues. */
    uint64_t drain_started_us; /**< When Ag_Drain() was called. */
    uint64_t next_resend_us;   /**< When outcomes are next resent. */
    uint32_t unacked; /**< Upper bound, while draining, of the outcomes
                           that no owner has acknowledged. */
    uint8_t draining;
    uint64_t config;        /**< Version of the configuration applied. */
    uint64_t confirmed_us;  /**< When that version was last known to be the
                                 newest, 0 for never. */
    uint8_t out_of_service; /**< Set by the configuration. */
};

/** Initialise an agent in memory provided by the caller. Returns -1 if memory
 * cannot be allocated; nothing is left to be freed then. */
int Ag_Init(struct agent *agent, const struct ag_settings *settings,
            struct act_sink sink, struct counters *counters);

/** Free the memory that the agent owns, but not `agent` itself. */
void Ag_Finish(struct agent *agent);

/** Handle the commit of the agent's registration at registry version
 * `version`. */
void Ag_OnRegistered(struct agent *agent, uint64_t version);

/** Apply configuration `version`, unless a newer one has been applied.
 * Non-zero `is_out` takes the agent out of service. */
void Ag_OnConfig(struct agent *agent, struct now now, uint64_t version,
                 int is_out);

/** True if the applied configuration was known to be the newest within the
 * last CONFIG_MAX_AGE_US, or if the agent does not check that. Starts are
 * refused otherwise. */
int Ag_IsFresh(const struct agent *agent, struct now now);

/** Handle an announcement of the upstream, the first one or a renewal. */
void Ag_OnAnnounce(struct agent *agent, struct now now,
                   const struct ag_announce *announce);

/** Handle a message received from an entry. */
void Ag_OnMessage(struct agent *agent, struct now now,
                  const struct frame_header *header, const struct msg *msg);

/** Handle the end of the task of an ACT_RUN. `code` is CODE_OK,
 * CODE_TASK_FAILED, CODE_NO_UPSTREAM if the task did not reach the upstream,
 * which counts as a refusal, CODE_OUTCOME_UNKNOWN if the upstream's answer was
 * lost, or the code of an RN_END. `output` is copied as needed. `run_us` is
 * the run time in microseconds. */
void Ag_OnTaskEnd(struct agent *agent, struct now now, tab_handle task,
                  enum code code, struct bytes output, uint32_t run_us);

/** The time at which the lease of a task's run must end, so that it has ended
 * when the caller of a lost entry submits the job again, even if this agent
 * does not act in time. UINT64_MAX for no limit; 0 for a run of no task, which
 * must get no further lease. */
uint64_t Ag_RunLimit(const struct agent *agent, tab_handle task);

/** Record when the latest lease at the upstream ends, which holds for all runs
 * there. */
void Ag_OnLease(struct agent *agent, uint64_t until_us);

/** Handle the loss of the upstream. Starts are refused until it announces
 * itself again. */
void Ag_OnUpstreamGone(struct agent *agent, struct now now);

/** A task that ran where the upstream has crashed. */
struct ag_suspect {
    tab_handle task;
    uint8_t has_begun; /**< It surely ran; else its start had no answer. */
};

/** Handle a crash of the upstream `ago_us` ago, before the ends of its tasks.
 * The first `young` of the suspects began shortly before it. */
void Ag_OnUpstreamCrash(struct agent *agent, struct now now, uint64_t ago_us,
                        const struct ag_suspect *suspects, uint32_t count,
                        uint32_t young);

/** Send the agent's status to all known entries now. */
void Ag_BroadcastStatus(struct agent *agent);

/** Handle a frame addressed to an earlier incarnation at this address. If its
 * sender is an entry that is not known yet, the agent connects to it and sends
 * a heartbeat, which makes this incarnation known to it. */
void Ag_OnUnknownPeer(struct agent *agent, struct now now,
                      const struct frame_header *header);

/** Do what is due: send heartbeats, load updates and outcomes, stop tasks with
 * expired leases, refuse expired holds, remove old records. To be called every
 * few tens of milliseconds. */
void Ag_OnTick(struct agent *agent, struct now now);

/** Begin a graceful stop: refuse further starts, and resend outcomes until
 * their owners acknowledge them. Ag_IsIdle() tells when it is done. */
void Ag_Drain(struct agent *agent, struct now now);

/** True if no task is running and every outcome has been acknowledged by the
 * owner of its key. Meaningful only after Ag_Drain(). */
int Ag_IsIdle(const struct agent *agent);

#endif
