/** @file
 * State machine of an entry: issues idempotency keys, owns jobs, places their
 * tasks on agents, takes over the keys of failed entries and answers callers.
 *
 * It does no I/O: events are passed in by the Ent_On*() functions, and what
 * has to be done is emitted as actions (core/act.h). */
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
#include "core/speed.h"
#include "wire/msg.h"

/** Number of issuer numbers that an entry uses in turn for its own keys. */
#define ENT_OWN_ISSUERS 8
/** Maximum number of queries pending at other entries. */
#define ENT_MAX_QUERIES 4096
/** Maximum number of times that a request is placed again after an unknown
 * outcome. */
#define ENT_MAX_UNKNOWN_RETRIES 3
/** Maximum number of keys issued in one call. */
#define ENT_MAX_KEYS 1000

/** Scheduling mode; the baseline exists only for comparative measurements. */
enum ent_mode {
    ENT_STANDARD = 0,
    ENT_BASELINE, /**< Random placement, no admission limit, fixed retries. */
};

/** Maximum number of suspects kept. */
#define ENT_MAX_SUSPECTS 2048
/** A task is given up, and its job failed, when upstreams have crashed shortly
 * after its start this many times, */
#define ENT_MAX_YOUNG_CRASHES 2
/** or at any time during its runs this many times, */
#define ENT_MAX_CRASHES 3
/** or when it had been ordered and may have begun, this many times. */
#define ENT_MAX_POSSIBLE_CRASHES 5

/** A task is identified across entries and submissions by these. */
struct ent_suspect_id {
    uint64_t name; /**< The caller's name for the job. */
    uint64_t task; /**< Number of the task in the job. */
};

/** A task under which upstreams have crashed. */
struct ent_suspect {
    struct tab_row row;
    struct ent_suspect_id id;
    uint32_t crashes;
    uint32_t young;    /**< Of these, shortly after its start. */
    uint32_t possible; /**< Crashes at which it had been ordered, and may have
                            begun. */
    uint64_t at_us;    /**< When the latest one was reported. */
    UT_hash_handle hh;
};

/** Number of crashes remembered to recognise repeated reports. */
#define ENT_RECENT_CRASHES 1024

/** Identity of a crash. */
struct ent_crash_id {
    uint64_t agent; /**< Incarnation of the agent that reported it. */
    uint32_t number;
};

/** Crashes of upstreams. */
struct ent_crashes {
    struct tab suspects;
    struct ent_suspect *suspect_index;
    struct ent_crash_id recent[ENT_RECENT_CRASHES];
    uint32_t recent_next;
    uint64_t next_choice_us; /**< When the agents for confined tasks are next
                                  chosen. */
};

/** Settings of an entry. */
struct ent_settings {
    enum ent_mode mode;
    uint64_t incarnation;
    char node[WIRE_NAME_SIZE];
    char dc[WIRE_NAME_SIZE];
    uint32_t job_capacity;   /**< Maximum number of jobs kept, including
                                  answered ones. */
    uint32_t peer_capacity;  /**< Maximum number of other members. */
    uint32_t key_lifetime_s; /**< Retention time of keys and answers. */
    unsigned char seed[16];  /**< Key of the random number generator. */
    uint8_t require_fresh;   /**< Start tasks only while the configuration is
                                  fresh; see Ent_IsFresh(). */
    uint8_t keep_heard_members; /**< Keep a member while messages arrive from
                                     it, even if its registry row is missing
                                     or belongs to an earlier process; accept
                                     members that are not in the registry. */
    struct timing timing; /**< All 0 selects the values of Timing_Init(). */
    uint64_t tick_us; /**< Expected interval between calls of Ent_OnTick(), for
                           overload detection; 0 disables it. */
    uint32_t subset_size; /**< Mean number of agents with which an entry
                               exchanges heartbeats while it is idle; 0 for all
                               agents. */
};

/** State of the choice of agents with which heartbeats are exchanged. */
struct ent_subset {
    uint64_t signature;   /**< Of the entries that the homes were chosen
                               from. */
    uint8_t is_stale;     /**< Agents were added or removed since. */
    uint32_t choices;     /**< Number of times that it was chosen. */
    uint32_t size;        /**< Agents in the subset. */
    uint32_t homes;       /**< Home entries of each agent. */
    uint32_t entries;     /**< Live entries, this one included. */
    uint32_t agents;      /**< Agents known. */
    uint32_t link_budget; /**< Connections that may be opened before the next
                               scan. */
    uint64_t next_extend_us; /**< When the subset may next be extended. */
};

/** Overload detection: lateness of the ticks, and the resulting share of new
 * jobs that is refused. */
struct ent_pressure {
    uint64_t tick_us;        /**< Time of the latest tick, 0 before the
                                  first. */
    uint64_t late_us;        /**< Delay of the latest tick. */
    uint32_t refuse_percent; /**< Share of new jobs that is refused, 0-100. */
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
    uint64_t registered; /**< Registry version at which the row was written. */
    uint8_t replaced;    /**< The row replaced that of another incarnation. */
    char service[WIRE_NAME_SIZE]; /**< Agents: of the upstream, as saved in the
                                       row; "" if unknown, as with the
                                       following. */
    struct resources capacity;    /**< Of the upstream. */
    struct labels labels;         /**< Of the upstream. */
};

/** Agents and queued jobs of one service. */
struct ent_service {
    struct tab_row row;
    char name[WIRE_NAME_SIZE];
    struct ent_peer *agents;
    struct ent_lane lanes[ENT_LANES]; /**< Jobs with waiting tasks. */
    uint32_t free_capacity; /**< Starts that could be sent, as of the latest
                                 count. */
    uint8_t use_ejected;    /**< Agents with ejected workers are used as well:
                                 so many workers fail that the cause is
                                 probably not the workers. */
    uint32_t fast_slots;    /**< Slots of usable agents that are not slow. */
    uint32_t waiting;       /**< Tasks waiting in the queues. */
    uint64_t confined_until_us; /**< Until then suspects are confined, and
                                     kinds may be. */
    struct policy policy;       /**< In force for the service. */
    struct speed_table speeds;  /**< Of the kinds of workers. */
    UT_hash_handle hh;
};

/** State of the connection to another process. */
enum ent_link {
    ENT_UNLINKED, /**< None: no heartbeats are exchanged, no work is sent. */
    ENT_LINKED,
    ENT_CLOSING, /**< The last heartbeat has been sent. */
};

/** Another process: an entry or an agent. */
struct ent_peer {
    struct tab_row row;
    struct ent_member member;
    uint64_t node_hash; /**< Of the node's name. */
    uint64_t used_us;   /**< When a task was last sent to the agent, or the
                             connection was opened. */
    uint64_t heard_us;  /**< When the latest message arrived from it; 0 if none
                             has, or if the agent has been declared lost. */
    uint64_t linked_us; /**< When the connection was last requested. */
    uint64_t heartbeat_echo_us; /**< `sent_us` of its latest heartbeat, to be
                                     echoed. */
    uint64_t echoed_us;         /**< Send time of the latest heartbeat that it
                                     echoed. */
    uint64_t rtt_us;            /**< Latest round-trip time. */
    uint64_t registry_version;  /**< Registry version that it has applied, from
                                     its heartbeats. */
    enum ent_link link;
    uint8_t in_subset; /**< This entry is a home entry of the agent. */
    uint8_t draining;
    uint8_t for_confined;                   /**< Confined tasks of the service
                                                 run here. */
    struct ent_service *service;            /**< NULL for entries. */
    const struct ent_service *last_service; /**< Also while the upstream is
                                                 away. */
    uint64_t confined_job;      /**< Name of the job whose confined tasks this
                                     entry has sent to it. */
    uint64_t confined_retry_us; /**< Until then other entries' confined tasks
                                     are taken to run there. */
    struct ent_peer *prev, *next; /**< In the service's list of agents. */
    uint32_t slots;       /**< Task slots of its upstream; agents only, like
                               the following. */
    uint32_t connections; /**< Maximum number of concurrent requests. */
    uint32_t memory_mb;
    uint32_t cores;
    uint8_t leaving;             /**< The upstream or the agent is stopping. */
    uint32_t confined_tasks;     /**< Tasks of `confined_job`. */
    uint32_t outstanding;        /**< Slots taken by this entry's tasks. */
    uint32_t requests;           /**< This entry's unfinished requests. */
    uint32_t unconfirmed;        /**< Tasks of cancelled jobs that it has not
                                      confirmed to have ended. */
    uint32_t other_slots;        /**< Slots taken by other entries' tasks, as
                                      last reported. */
    struct resources capacity;   /**< All 0 if only slots are limited. */
    struct resources used;       /**< By this entry's tasks. */
    struct resources other_used; /**< By other entries' tasks, as last
                                      reported. */
    struct labels labels;
    uint64_t kind_id;        /**< Of `labels`, see Speed_KindId(). */
    struct speed speed;      /**< Of its worker. */
    double slowdown;         /**< Moving average of actual over estimated run
                                  time. */
    uint8_t ejected;         /**< The agent reports that its worker is ejected
                                  for failures. */
    uint32_t slowdown_count; /**< Tasks in `slowdown`, up to the length of the
                                  average. */
    uint64_t slowdown_us;    /**< When the latest of these tasks ended. */
    struct policy policy;    /**< In force for tasks that run there. */
    uint64_t config_version; /**< Configuration version that it has applied. */
    uint64_t rows_version;   /**< Version of the table service's rows that it
                                  has applied; entries only. */
    uint64_t version_echo_us;  /**< `sent_us` of its latest version message, to
                                    be echoed. */
    uint64_t version_heard_us; /**< When that message arrived. */
    uint64_t confirmed_us;     /**< Send time of the latest version message in
                                    reply to which it confirmed that this entry
                                    is up to date; 0 for none. */
    uint64_t pushed_us;     /**< When a configuration was last sent to it. */
    uint64_t first_seen_us; /**< When it became known to this entry. */
    uint64_t returned_us;   /**< When it returned to service, 0 for never. */
    uint8_t is_out_of_service; /**< By configuration, or leaving. */
    uint8_t reported_leaving;  /**< `leaving` when the policy was last
                                    resolved. */
    UT_hash_handle hh;
    UT_hash_handle node_hh; /**< By node name. */
};

/** Who owns the keys of an issuer number. */
enum ent_issuer_state {
    ENT_ISSUER_OWN,        /**< This entry, which generated the number. */
    ENT_ISSUER_TAKEN_OVER, /**< This entry, by takeover. */
    ENT_ISSUER_PEER,       /**< Another entry. */
};

/** State of the fence that a takeover has sent to one agent. */
struct ent_fence {
    struct ent_fence *next;
    uint64_t agent;           /**< Incarnation. */
    uint32_t report_number;   /**< Report whose records are being counted. */
    uint32_t expected;        /**< Records in the report. */
    uint32_t received;        /**< Distinct records received. */
    unsigned char *seen;      /**< Bitmap of the records received, owned. */
    uint32_t seen_size;       /**< Bytes of `seen`. */
    uint32_t expired_until_s; /**< The agent may have dropped records of keys
                                   issued at or before this. */
    uint8_t answered;         /**< The end of the report has arrived. */
    uint64_t resend_us;
};

/** An issuer number. All keys issued under it form a key range, which is
 * owned as a whole. */
struct ent_issuer {
    struct tab_row row;
    uint64_t issuer;
    struct epoch epoch;
    enum ent_issuer_state state;
    uint64_t loss_version; /**< Registry version of the latest loss of an agent
                                that had not reported on the key range. */
    uint64_t used_us;      /**< When a key of it was last in use. */
    struct ent_fence *fences;
    UT_hash_handle hh;
};

/** A caller's query that was forwarded to the owner of the key. */
struct ent_query {
    struct tab_row row;
    struct key key;
    enum job_query what;
    conn_id conn;
    uint64_t resend_us;
    uint64_t deadline_us;
    UT_hash_handle hh;
};

/** Configuration that an entry has applied. */
struct ent_conf {
    const struct config *config; /**< Borrowed; NULL before the first. */
    struct bytes full;           /**< The configuration, encoded for agents;
                                      borrowed. */
    struct bytes diff; /**< Difference to the previous version, encoded for
                            agents; borrowed. */
    uint64_t applied_us;
    uint64_t store_read_us; /**< Send time of the latest read of the table
                                 service that was answered, 0 for none. */
    uint64_t fresh_us; /**< Latest time at which the configuration is known to
                            have been the newest. */
    uint64_t member_lost_us; /**< When a member was last removed or replaced,
                                  or when a registered entry last confirmed
                                  that it knows of this. */
    uint64_t member_lost_version; /**< Registry version of that removal. */
    uint32_t expiry_checked_s;    /**< Seconds since 1970; exceptions that
                                       expired by then are not in force. */
    uint8_t superseded; /**< This entry's own row is gone: the configuration
                             is never fresh again. */
    uint8_t has_team_exceptions;
};

/** A committed change that has not been accepted yet. */
struct ent_pending_change {
    uint64_t rows_version; /**< Version of the rows that contain it. */
    uint64_t config_version;
    uint64_t commit_us;   /**< When the commit became known. */
    uint64_t majority_us; /**< When a majority of the entries was first known
                               to have applied it, 0 for not yet. */
};

/** Which members have applied a change. */
struct ent_acks {
    uint32_t entries; /**< Registered entries, including this one. */
    uint32_t entries_acked;
    uint32_t agents;
    uint32_t agents_acked;
    uint8_t lapsed; /**< Members that have not applied the change no longer
                         start tasks. */
    uint8_t accepted;
};

/** An entry. */
struct entry {
    struct ent_settings settings;
    struct act_sink sink;
    struct counters *counters;
    uint64_t started_us;
    uint64_t joined_us;         /**< When the registry was first applied. */
    uint64_t entry_seen_us;     /**< When another entry last became known. */
    uint64_t registry_version;  /**< Applied version, 0 before the first. */
    uint64_t last_loss_version; /**< Registry version of the latest loss of an
                                     agent. */
    uint32_t expired_until_s; /**< Jobs with keys issued at or before this may
                                   have been dropped. */
    uint64_t random_count;
    struct ent_subset subset;
    uint32_t heartbeat_round; /**< Number of rounds of heartbeats sent. */
    uint32_t entry_count;     /**< Number of other entries known. */
    struct tab peers;
    struct ent_peer *peer_index; /**< By incarnation. */
    struct ent_peer *node_index;
    struct tab services;
    struct ent_service *service_index;
    struct tab issuers;
    struct ent_issuer *issuer_index;
    struct ent_issuer *own_issuers[ENT_OWN_ISSUERS];
    uint32_t next_own_issuer;
    uint32_t next_seq;
    struct tab jobs;
    struct ent_job *job_index;
    struct ent_job *name_index;     /**< Open jobs by the caller's name. */
    uint32_t open_jobs;             /**< Number of jobs not yet answered. */
    struct ent_job **open_list;     /**< These jobs, unordered. */
    struct ent_job *cancelled_jobs; /**< Answered jobs with unconfirmed
                                         cancellations. */
    uint64_t next_cancel_us;        /**< When these are next sent again. */
    struct tab queries;
    struct ent_query *query_index; /**< By connection. */
    uint64_t highest_epoch; /**< Highest epoch number used in a takeover. */
    uint64_t next_issuer_expiry_us;
    uint64_t successor; /**< Incarnation of the entry that receives the key
                             ranges in a handover, 0 for none. */
    uint64_t next_handover_us;
    uint8_t has_no_successor; /**< No other entry can receive the key
                                  ranges. */
    uint64_t next_heartbeat_us;
    uint64_t next_scan_us;
    uint32_t sweep_slot; /**< Where the sweep for expired jobs resumes. */
    uint8_t draining;
    struct ent_sched sched;
    struct policy policy;  /**< Fleet-wide values in force. */
    struct policy scratch; /**< Result of the latest lookup of the values for a
                                service and a team. */
    struct ent_conf conf;
    struct ent_pressure pressure;
    struct ent_crashes crashes;
};

/** Initialise an entry in memory provided by the caller. Returns 0, or -1 when
 * out of memory. */
int Ent_Init(struct entry *entry, const struct ent_settings *settings,
             struct now now, struct act_sink sink, struct counters *counters);

/** Free the memory owned by the entry, but not the entry itself. */
void Ent_Finish(struct entry *entry);

/** Whether a process listening at `addr` may overwrite the registry row of an
 * earlier process of the same node. An earlier entry may still be running
 * elsewhere and confirm an outdated configuration to other entries; it has
 * certainly ended only if the new process listens at the same address, as the
 * port is free (model/FINDINGS.md, 17). */
int Ent_MayReplace(const struct ent_member *row, enum role role,
                   const char *addr);

/** A registry row was read. If it belongs to a new process of a known node,
 * the earlier process counts as lost. */
void Ent_OnMember(struct entry *entry, struct now now,
                  const struct ent_member *member);

/** The row of `node` was removed from the registry at `version`. */
void Ent_OnMemberRemoved(struct entry *entry, struct now now, const char *node,
                         uint64_t version);

/** All registry rows up to `version` have been passed in. */
void Ent_OnVersion(struct entry *entry, struct now now, uint64_t version);

/** A read of the table service that was sent at `sent_us` has been answered,
 * and all rows that it returned have been passed in. */
void Ent_OnStoreRead(struct entry *entry, struct now now, uint64_t sent_us);

/** Apply a configuration. `config` and the buffers are borrowed until the next
 * call. With `announce`, the configuration is sent to all agents at once;
 * otherwise only to agents that lag behind. */
void Ent_OnConfig(struct entry *entry, struct now now,
                  const struct config *config, struct bytes full,
                  struct bytes diff, int announce);

/** Send the versions that this entry has applied to process `to` at once. */
void Ent_Acknowledge(struct entry *entry, struct now now, uint64_t to);

/** True while the configuration is fresh, that is known to have been the
 * newest within the last CONFIG_MAX_AGE_US; only then may tasks be started.
 * Always true if `require_fresh` is not set. */
int Ent_IsFresh(const struct entry *entry, struct now now);

/** True if a majority of the registered entries confirmed the configuration
 * within the last CONFIG_MAX_AGE_US. */
int Ent_HasMajority(const struct entry *entry, struct now now);

/** True if the process has applied the change. */
int Ent_HasAcked(const struct ent_peer *peer,
                 const struct ent_pending_change *change);

/** Acknowledgements of a change. It is accepted once this entry and a
 * majority of the registered entries have applied it and every other member
 * either has applied it too or no longer starts tasks. Sets `majority_us` of
 * the change. */
struct ent_acks Ent_CheckAcceptance(const struct entry *entry, struct now now,
                                    struct ent_pending_change *change);

/** Issue `count` keys into `keys`. Returns CODE_OK, CODE_NOT_FRESH before the
 * registry is known, CODE_DRAINING when stopping, or CODE_NO_MEMORY. */
enum code Ent_IssueKeys(struct entry *entry, struct now now, uint32_t count,
                        struct key *keys);

/** Overload check before a submission is processed; `name` is the caller's
 * name for the job. Returns CODE_OVERLOADED and sets `retry_after_ms` if this
 * entry cannot keep up, else CODE_OK. A job that is known here always
 * passes. */
enum code Ent_CheckOverload(struct entry *entry, uint64_t name,
                            uint32_t *retry_after_ms);

/** A caller submitted a job and waits for the answer on `conn`, 0 if it does
 * not wait. The answer is emitted as ACT_REPLY. */
void Ent_OnSubmit(struct entry *entry, struct now now, conn_id conn,
                  const struct submission *sub);

/** A caller queries a job's state, waits for its answer or cancels it. The
 * reply is emitted as ACT_REPLY, by this entry or after forwarding the query
 * to the owner of the key. */
void Ent_OnQuery(struct entry *entry, struct now now, conn_id conn,
                 const struct key *key, enum job_query what);

/** A caller has read the answer of a job: the agents may discard the outputs
 * of its tasks. */
void Ent_OnAnswerRead(struct entry *entry, struct now now,
                      const struct key *key);

/** Cancel an open job by its caller's name. Returns 0 if there is none. */
int Ent_CancelJobByName(struct entry *entry, uint64_t name);

/** Look up an open job by its caller's name. Returns 0 if there is none; else
 * sets `is_running` to whether any of its tasks has been sent. */
int Ent_FindJobByName(const struct entry *entry, uint64_t name,
                      int *is_running);

/** Number of open jobs of a kind of which no task has been sent. */
uint32_t Ent_CountWaiting(const struct entry *entry, const char *kind);

/** The connection on which a caller waited for an answer was closed. A job is
 * ended if nobody waits for it any more and nobody could query it. */
void Ent_OnCallerDisconnected(struct entry *entry, conn_id conn,
                              const struct key *key);

/** A frame meant for an earlier process at this address arrived from a process
 * that may not be known here. Adds the sender as a member if
 * `keep_heard_members` is set. */
void Ent_OnUnknownPeer(struct entry *entry, struct now now,
                       const struct frame_header *header);

/** A message arrived. Messages of unknown processes are ignored unless
 * `keep_heard_members` is set. */
void Ent_OnMessage(struct entry *entry, struct now now,
                   const struct frame_header *header, const struct msg *msg);

/** True if this entry is among the first that pass rows on to the entry
 * `peer`; the others do so only if that does not suffice. */
int Ent_IsFirstRelay(const struct entry *entry, struct now now,
                     const struct ent_peer *peer);

/** Run the timers: heartbeats, deadlines, retransmissions, expiry. */
void Ent_OnTick(struct entry *entry, struct now now);

/** Begin a graceful stop: issue no more keys, finish the open jobs, then hand
 * the key ranges over to another entry. */
void Ent_Drain(struct entry *entry, struct now now);

/** True if all jobs are answered, all cancellations of restartable ones are
 * confirmed or given up and, in a graceful stop, the key ranges have been
 * handed over or there is no entry to receive them. */
int Ent_IsIdle(const struct entry *entry);

/** Write the status as text: one line for this entry and one for each service.
 * Returns the number of bytes written, without the terminating zero; lines
 * that do not fit in `size` are left out. */
size_t Ent_PrintStatus(const struct entry *entry, struct now now, char *out,
                       size_t size);

/** Write histograms of the response times by service and kind in the format of
 * /metrics. Returns as Ent_PrintStatus() does. */
size_t Ent_PrintKinds(const struct entry *entry, char *out, size_t size);

#endif
