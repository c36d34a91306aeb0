/** @file
 * Numbered result codes; docs/RESULT-CODES.md documents them for users.
 *
 * Each code states whether the work was run: a submission refused with a code
 * of CODE_NOT_RUN has started none of its tasks.
 */
#ifndef BASE_CODE_H
#define BASE_CODE_H

/** Whether the work that a result code reports on was run. */
enum code_run {
    CODE_RAN,     /**< The work was run to its end. */
    CODE_NOT_RUN, /**< None of the work was started. */
    CODE_PARTLY,  /**< Some of the work was run, none of it twice. */
    CODE_UNKNOWN, /**< Whether the work was run cannot be determined. */
};

/* X(name, number, HTTP status, enum code_run, text). Names, numbers and texts
 * appear in answers to callers. */
#define CODE_TABLE(X)                                                         \
    X(OK, 0, 200, CODE_RAN, "complete")                                       \
    X(PENDING, 1, 202, CODE_UNKNOWN, "not finished yet")                      \
    X(BAD_HTTP, 1001, 400, CODE_NOT_RUN, "malformed HTTP request")            \
    X(BAD_JSON, 1002, 400, CODE_NOT_RUN, "body is not valid JSON")            \
    X(BAD_FIELD, 1003, 400, CODE_NOT_RUN, "field missing or out of range")    \
    X(BODY_TOO_LARGE, 1004, 413, CODE_NOT_RUN, "body too large")              \
    X(TOO_MANY_TASKS, 1005, 400, CODE_NOT_RUN, "more than 820 tasks")         \
    X(DUPLICATE_TASK, 1006, 400, CODE_NOT_RUN, "task number given twice")     \
    X(DEADLINE_PASSED, 1007, 504, CODE_NOT_RUN, "deadline already passed")    \
    X(UNKNOWN_SERVICE, 1008, 404, CODE_NOT_RUN, "no such service")            \
    X(NO_SUCH_PATH, 1009, 404, CODE_NOT_RUN, "no such path or method")        \
    X(BAD_KEY, 1010, 400, CODE_NOT_RUN, "idempotency key not issued here")    \
    X(BAD_TOKEN, 1011, 401, CODE_NOT_RUN, "token missing or wrong")           \
    X(KEY_REUSED, 1012, 409, CODE_NOT_RUN,                                    \
      "idempotency key used with another body")                               \
    X(NO_SUCH_JOB, 1013, 404, CODE_NOT_RUN, "no job was submitted with it")   \
    X(QUEUE_FULL, 1101, 503, CODE_NOT_RUN, "queue full")                      \
    X(TOO_LATE, 1102, 503, CODE_NOT_RUN, "cannot finish before deadline")     \
    X(OVER_QUOTA, 1103, 429, CODE_NOT_RUN, "over the team's quota")           \
    X(CANNOT_RUN, 1104, 422, CODE_NOT_RUN, "fits no worker of the service")   \
    X(CANCELLED, 1105, 409, CODE_NOT_RUN, "cancelled before it started")      \
    X(DRAINING, 1106, 503, CODE_NOT_RUN, "process is stopping")               \
    X(NOT_FRESH, 1107, 503, CODE_NOT_RUN, "configuration not known fresh")    \
    X(NO_MEMORY, 1108, 503, CODE_NOT_RUN, "table full, or out of memory")     \
    X(NOT_SERVED, 1109, 503, CODE_NOT_RUN, "kind of job not served here")     \
    X(OVERLOADED, 1110, 503, CODE_NOT_RUN, "entry short of processor time")   \
    X(OLD_EPOCH, 1201, 503, CODE_NOT_RUN, "epoch superseded")                 \
    X(OLD_ATTEMPT, 1202, 503, CODE_NOT_RUN, "attempt superseded")             \
    X(WRONG_INCARNATION, 1203, 503, CODE_NOT_RUN,                             \
      "meant for another process")                                            \
    X(NO_SLOT, 1204, 503, CODE_NOT_RUN, "no free slot")                       \
    X(NO_UPSTREAM, 1205, 503, CODE_NOT_RUN, "no upstream announced")          \
    X(NOT_ADMITTED, 1206, 503, CODE_NOT_RUN, "agent not yet admitted")        \
    X(KEY_TOO_OLD, 1207, 503, CODE_NOT_RUN,                                   \
      "key older than the agent's memory")                                    \
    X(OUT_OF_SERVICE, 1208, 503, CODE_NOT_RUN, "data centre or upstream out") \
    X(UNHEALTHY, 1209, 503, CODE_NOT_RUN, "worker fails what it starts")      \
    X(STALE_START, 1210, 503, CODE_NOT_RUN, "start was long on its way")      \
    X(NO_ROOM, 1211, 503, CODE_NOT_RUN, "resources of the upstream taken")    \
    X(NO_LABEL, 1212, 503, CODE_NOT_RUN, "worker lacks the wanted label")     \
    X(NO_ROUTE, 1301, 404, CODE_NOT_RUN, "no such route")                     \
    X(TASK_FAILED, 2001, 502, CODE_RAN, "a task failed")                      \
    X(JOB_DEADLINE, 2002, 504, CODE_PARTLY, "deadline passed while running")  \
    X(JOB_CANCELLED, 2003, 409, CODE_PARTLY, "cancelled while running")       \
    X(LEASE_LAPSED, 2004, 502, CODE_PARTLY, "task outlived its lease")        \
    X(STALLED, 2005, 502, CODE_PARTLY, "a task made no progress")             \
    X(CRASHES_WORKERS, 2006, 502, CODE_UNKNOWN,                               \
      "workers crashed under a task")                                         \
    X(OUTCOME_UNKNOWN, 3001, 502, CODE_UNKNOWN, "outcome unknown")            \
    X(KEY_EXPIRED, 3002, 410, CODE_UNKNOWN,                                   \
      "idempotency key expired; an earlier outcome is no longer known")       \
    X(ANSWER_GONE, 3003, 410, CODE_RAN,                                       \
      "run, but its answer is no longer kept")                                \
    X(OWNER_AWAY, 3004, 503, CODE_UNKNOWN,                                    \
      "owner of the key not reachable; submit again with the same key")       \
    X(TRY_AGAIN, 3005, 503, CODE_UNKNOWN,                                     \
      "not taken in here; submit again with the same key")                    \
    X(RUN_LOST, 3006, 502, CODE_UNKNOWN, "a run ended without an outcome")    \
    X(WORKER_CRASHED, 3007, 502, CODE_UNKNOWN, "the worker of a run crashed") \
    X(CONFLICT, 4001, 409, CODE_NOT_RUN, "another change came first")         \
    X(STORE_DOWN, 4002, 503, CODE_NOT_RUN, "table service not reachable")     \
    X(NOT_ACCEPTED, 4003, 504, CODE_UNKNOWN, "change not accepted in time")   \
    X(BAD_SETTING, 4004, 400, CODE_NOT_RUN, "setting not valid")              \
    X(LAST_DATA_CENTRE, 4005, 409, CODE_NOT_RUN, "last data centre in use")   \
    X(BAD_FRAME, 5001, 400, CODE_NOT_RUN, "bytes are not a valid message")    \
    X(BAD_VERSION, 5002, 400, CODE_NOT_RUN, "message version not known")      \
    X(BAD_MAC, 5003, 401, CODE_NOT_RUN, "message not signed with our key")    \
    X(SYSTEM, 9001, 500, CODE_NOT_RUN, "system call or library failed")

/** Result codes: CODE_OK, CODE_PENDING and so on, from CODE_TABLE. */
enum code {
#define X(name, number, status, run, text) CODE_##name = (number),
    CODE_TABLE(X)
#undef X
};

/** Return the name of a code without its prefix, such as "NO_ROUTE", or
 * "UNKNOWN_CODE". The string is static. */
const char *Code_Name(enum code code);

/** Return a short human-readable description of a code, or "unknown code".
 * The string is static. */
const char *Code_Text(enum code code);

/** Return the HTTP status of a response with this code; 500 for a code that
 * is not in CODE_TABLE. */
int Code_HttpStatus(enum code code);

/** Return whether the work that a code reports on was run; CODE_UNKNOWN for a
 * code that is not in CODE_TABLE. */
enum code_run Code_Run(enum code code);

/** Return "run", "not run", "partly run" or "unknown". */
const char *Code_RunText(enum code_run run);

/** Return nonzero if CODE_TABLE has a code with this number. */
int Code_IsKnown(unsigned number);

#endif
