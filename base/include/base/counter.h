/** @file
 * Event counters of a process, exported as metrics. Each refusal reason, retry
 * reason and operationally relevant event has its own counter. */
#ifndef BASE_COUNTER_H
#define BASE_COUNTER_H

#include <stdint.h>

/* X(name, description). The name is the metric's name after "jacinthpick_". */
#define COUNTER_TABLE(X)                                                      \
    X(http_requests, "HTTP requests received")                                \
    X(requests_abandoned, "HTTP requests read after their client had left")   \
    X(bodies_refused, "requests refused because their body took memory")      \
    X(connections_evicted, "connections closed in favour of newer ones")      \
    X(connections_refused, "connections closed at once: all others in use")   \
    X(links_evicted, "unproved connections of the internal port closed")      \
    X(links_refused, "connections of the internal port closed as invalid")    \
    X(jobs_submitted, "jobs accepted by this entry as owner")                 \
    X(jobs_complete, "jobs answered complete")                                \
    X(jobs_failed, "jobs answered as failed")                                 \
    X(jobs_abandoned, "jobs ended because their caller disconnected")         \
    X(jobs_late, "jobs that could no longer meet their target response time") \
    X(jobs_resubmitted, "submissions of a job that is already known")         \
    X(jobs_forwarded, "submissions passed to the owning entry")               \
    X(answers_late, "answers that no caller waits for any more")              \
    X(tasks_started, "tasks started on an upstream")                          \
    X(tasks_finished, "tasks finished by an upstream")                        \
    X(tasks_sent, "start messages sent")                                      \
    X(starts_on_slow, "starts sent to a worker too slow for the objective")   \
    X(waits_for_fast,                                                         \
      "times that a task waited beside room at a slow worker")                \
    X(start_resent, "start messages sent again to the same agent")            \
    X(start_duplicate, "duplicate starts received by an agent")               \
    X(start_retried, "tasks requeued after a conclusive refusal")             \
    X(cancels_resent, "cancellations sent again to the same agent")           \
    X(cancels_unconfirmed, "cancellations that an agent did not confirm")     \
    X(result_duplicate, "duplicate results received")                         \
    X(result_stale, "results for an unknown job or attempt")                  \
    X(result_resent, "results sent again")                                    \
    X(takeovers, "takeovers of another entry's keys started")                 \
    X(takeovers_done, "takeovers completed with reports of all agents")       \
    X(steps_down, "key ranges yielded to an entry with a higher epoch")       \
    X(fences, "fence requests received by an agent")                          \
    X(frames_sent, "frames sent to other processes")                          \
    X(frames_received, "frames received from other processes")                \
    X(frames_dropped, "frames that could not be sent")                        \
    X(frame_bad, "frames that could not be decoded")                          \
    X(frame_bad_mac, "frames with an invalid signature")                      \
    X(frame_bad_version, "frames of an unknown version")                      \
    X(frame_not_for_us, "frames meant for another incarnation")               \
    X(messages_sent, "messages sent to other processes")                      \
    X(messages_received, "messages received from other processes")            \
    X(bytes_sent, "bytes sent to other processes")                            \
    X(bytes_received, "bytes received from other processes")                  \
    X(links_replaced, "connections replaced after a silence")                 \
    X(agents_linked, "connections opened to agents of a subset")              \
    X(subset_extended, "agents linked because a subset had no free slots")    \
    X(peers_lost, "peer processes lost after a silence")                      \
    X(store_reads, "reads from the table service")                            \
    X(store_writes, "writes to the table service")                            \
    X(store_errors, "failed calls to the table service")                      \
    X(starts_held, "starts queued at an agent for a slot")                    \
    X(starts_held_for_run,                                                    \
      "starts held until the task's other run has ended")                     \
    X(holds_refused, "starts refused after being queued at an agent")         \
    X(tasks_orphaned, "tasks ended because their entry was unreachable")      \
    X(strangers, "peers discovered by a frame for an earlier incarnation")    \
    X(starts_unanswered, "start calls that an upstream did not answer")       \
    X(stops_unanswered, "stop calls that an upstream did not acknowledge")    \
    X(looks_unanswered, "status queries that an upstream did not answer")     \
    X(runs_stalled, "runs stopped because they made no progress")             \
    X(runs_unknown, "runs found at an upstream but not started here")         \
    X(upstream_crashes, "crashes of the upstream")                            \
    X(refusals_unconfirmed, "first refused connections to the upstream")      \
    X(runs_unsettled, "runs that either instance may have at a restart")      \
    X(runs_crashed, "runs that ended with a crash of the upstream")           \
    X(crashes_reported, "crashes of upstreams that agents have reported")     \
    X(kinds_confined, "times that a kind of job was confined")                \
    X(tasks_given_up, "tasks given up because upstreams crashed under them")  \
    X(calls_queued, "calls of the upstream that waited for a connection")     \
    X(beats_old, "outdated heartbeats received from an upstream")             \
    X(beats_bad, "malformed heartbeats received from an upstream")            \
    X(beats_foreign, "heartbeats received that are not of the upstream")      \
    X(news_sent, "status messages sent because free slots changed")           \
    X(workers_suspected, "times that a worker was ejected for failures")      \
    X(upstream_errors, "failed calls to the upstream")                        \
    X(actions_dropped, "actions dropped because the queue was full")          \
    X(config_applied, "configuration versions applied")                       \
    X(config_corrupt, "invalid configuration rows")                           \
    X(config_pushed, "configurations and rows sent to other processes")       \
    X(config_changes, "changes committed through this entry")                 \
    X(config_conflicts, "changes rejected because of a concurrent change")    \
    X(config_read_back, "changes confirmed by a read after a lost reply")     \
    X(places_not_fresh, "placements delayed: configuration not confirmed")    \
    X(members_forgotten, "dead members removed from the registry")            \
    X(tokens_refused, "requests with a missing or wrong token")

/** Index into counters.value: CTR_http_requests and so on. */
enum counter_id {
#define X(name, description) CTR_##name,
    COUNTER_TABLE(X)
#undef X
        CTR_COUNT
};

/** Capacity of counters.code; at least the number of rows of CODE_TABLE. */
#define COUNTER_CODE_MAX 96

/** Counters of one process. */
struct counters {
    uint64_t value[CTR_COUNT];
    /** Number of uses of each result code, in the order of CODE_TABLE. */
    uint64_t code[COUNTER_CODE_MAX];
};

/** Add one to the counter `name` of COUNTER_TABLE. */
#define CTR_INC(counters, name) ((counters)->value[CTR_##name]++)

/** Add `n` to the counter `name` of COUNTER_TABLE. */
#define CTR_ADD(counters, name, n) ((counters)->value[CTR_##name] += (n))

/** Count one use of a result code. A code that is not in CODE_TABLE is
 * ignored. */
void Ctr_CountCode(struct counters *counters, unsigned code);

/** Write all counters as text, one "name value" line each. Returns the length
 * of the whole text without its terminator, like snprintf(); the text is
 * truncated if that is not less than `size`. */
int Ctr_Print(const struct counters *counters, char *out, int size);

#endif
