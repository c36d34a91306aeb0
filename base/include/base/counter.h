/** @file
 * Counters: one for each refusal and retry reason, and for each kind of
 * event that an operator may need to see. */
#ifndef BASE_COUNTER_H
#define BASE_COUNTER_H

#include <stdint.h>

/* X(name, help) */
#define COUNTER_TABLE(X)                                                      \
    X(http_requests, "HTTP requests received")                                \
    X(jobs_submitted, "jobs accepted by this entry as owner")                 \
    X(jobs_complete, "jobs answered complete")                                \
    X(jobs_failed, "jobs answered as failed")                                 \
    X(jobs_abandoned, "jobs ended because their caller had left")             \
    X(jobs_late, "jobs that could no longer end when they were wanted")       \
    X(jobs_resubmitted, "submissions that met a known job")                   \
    X(jobs_forwarded, "submissions passed to the owning entry")               \
    X(answers_late, "answers whose caller was gone")                          \
    X(tasks_started, "tasks started on an upstream")                          \
    X(tasks_finished, "tasks finished by an upstream")                        \
    X(tasks_sent, "start messages sent")                                      \
    X(start_resent, "start messages sent again to the same agent")            \
    X(start_duplicate, "starts that met a known start")                       \
    X(start_retried, "tasks placed again after a true refusal")               \
    X(result_duplicate, "results received again")                             \
    X(result_stale, "results for an unknown job or attempt")                  \
    X(result_resent, "results sent again")                                    \
    X(takeovers, "takeovers of another entry's keys begun")                   \
    X(takeovers_done, "takeovers that collected from every agent")            \
    X(steps_down, "keys given up to an entry with a higher epoch")            \
    X(fences, "fences received")                                              \
    X(frames_sent, "frames sent to other processes")                          \
    X(frames_received, "frames received from other processes")                \
    X(frames_dropped, "frames that could not be sent")                        \
    X(frame_bad, "frames that could not be decoded")                          \
    X(frame_bad_mac, "frames not signed with our key")                        \
    X(frame_bad_version, "frames of an unknown version")                      \
    X(frame_not_for_us, "frames meant for another incarnation")               \
    X(messages_sent, "messages sent to other processes")                      \
    X(messages_received, "messages received from other processes")            \
    X(bytes_sent, "bytes sent to other processes")                            \
    X(bytes_received, "bytes received from other processes")                  \
    X(links_replaced, "silent connections replaced")                          \
    X(peers_lost, "processes that fell silent")                               \
    X(store_reads, "reads of the table service")                              \
    X(store_writes, "writes to the table service")                            \
    X(store_errors, "failed calls of the table service")                      \
    X(starts_held, "starts that waited at an agent for a slot")               \
    X(holds_refused, "starts that waited at an agent and were refused")       \
    X(tasks_orphaned, "tasks ended because their entry was not heard")        \
    X(strangers, "processes met by a frame for an earlier one")               \
    X(starts_unanswered, "starts at an upstream that got no answer")          \
    X(stops_unanswered, "stops at an upstream that were not acknowledged")    \
    X(looks_unanswered, "questions to an upstream that got no answer")        \
    X(runs_stalled, "runs stopped because they made no progress")             \
    X(runs_unknown, "runs found at an upstream that nobody here asked for")   \
    X(beats_old, "heartbeats of an upstream that came late")                  \
    X(beats_bad, "heartbeats of an upstream that could not be read")          \
    X(news_sent, "offers sent because the free slots had changed")            \
    X(workers_suspected, "times that a worker was put out for failures")      \
    X(upstream_errors, "failed calls of the upstream")                        \
    X(actions_dropped, "actions dropped because the queue was full")          \
    X(config_applied, "configuration versions applied")                       \
    X(config_corrupt, "configuration rows that could not be used")            \
    X(config_pushed, "configurations and rows sent to other processes")       \
    X(config_changes, "changes committed through this entry")                 \
    X(config_conflicts, "changes that another change came before")            \
    X(config_read_back, "changes whose lost answer was read back")            \
    X(places_not_fresh, "placements held back for want of freshness")         \
    X(members_forgotten, "dead members removed from the registry")            \
    X(tokens_refused, "requests with a missing or wrong token")

/** Index of a counter. */
enum counter_id {
#define X(name, help) CTR_##name,
    COUNTER_TABLE(X)
#undef X
        CTR_COUNT
};

/** Number of different result codes counted; others go to the last. */
#define COUNTER_CODE_MAX 96

/** Counters of one process. */
struct counters {
    uint64_t value[CTR_COUNT];
    /** Answers by result code, in the order of CODE_TABLE. */
    uint64_t code[COUNTER_CODE_MAX];
};

/** Add one to a counter. */
#define CTR_INC(counters, name) ((counters)->value[CTR_##name]++)

/** Add `n` to a counter. */
#define CTR_ADD(counters, name, n) ((counters)->value[CTR_##name] += (n))

/** Count one use of a result code. */
void Ctr_CountCode(struct counters *counters, unsigned code);

/** Write all as text, a "name value" a line. Returns bytes needed. */
int Ctr_Print(const struct counters *counters, char *out, int size);

#endif
