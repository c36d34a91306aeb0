/** @file
 * Control plane of an entry: its copy of the table service's rows, changes of
 * the configuration, the administration API and removal of dead members. */
#ifndef DAEMON_CONTROL_H
#define DAEMON_CONTROL_H

#include "core/entry.h"
#include "core/route.h"
#include "shell/config_json.h"
#include "shell/httpd.h"
#include "shell/link.h"
#include "shell/registry.h"

/** Key of the row that holds the configuration in force. */
#define ROW_CONFIG "config/current"
/** Key of the row that lists the latest changes, oldest first. */
#define ROW_HISTORY "config/history"
/** Maximum number of changes in ROW_HISTORY. */
#define HISTORY_MAX 100
/** Maximum number of changes that an entry keeps in memory, including finished
 * ones. */
#define CHANGE_MAX 64

/** Progress of a change. */
enum change_state {
    CHANGE_FREE,       /**< The slot is not in use. */
    CHANGE_QUEUED,     /**< Waits for another change; nothing is written. */
    CHANGE_READING,    /**< Reads the newest rows; nothing is written. */
    CHANGE_COMMITTING, /**< The commit was sent and may take effect. */
    CHANGE_READ_BACK,  /**< The commit's answer was lost; later reads show
                            whether it took effect. */
    CHANGE_CONFLICT,   /**< Another change was committed first. */
    CHANGE_COMMITTED,  /**< Written, but not applied by all members. */
    CHANGE_ACCEPTED,   /**< Accepted; see Ent_CheckAcceptance(). */
};

/** A change requested from this entry. */
struct change {
    enum change_state state;
    uint64_t sequence; /**< Order of the requests; changes are committed in
                            this order. */
    struct cj_change body;
    conn_id conn;         /**< Connection of the request that waits for the
                               outcome, 0 for none. */
    uint64_t if_version;  /**< Configuration version that must be in force, 0
                               for any. */
    int force;            /**< Allow the last data centre to be taken out. */
    int dry_run;          /**< Reply with the difference; write nothing. */
    uint64_t queued_us;   /**< When it was queued. */
    uint64_t deadline_us; /**< When `conn` is answered in any case. */
    uint64_t sent_us;     /**< When its first read was sent; in state
                               CHANGE_READ_BACK, when the commit failed. Only
                               reads sent later show the outcome. */
    uint64_t row_version; /**< Version of ROW_CONFIG that it replaces. */
    struct ent_pending_change pending; /**< Versions to be acknowledged. */
    uint64_t accepted_us;              /**< When it was accepted. */
    int announced; /**< The rows with it were sent to the other entries. */
};

/** Control plane of an entry. The pointers up to `counters` are borrowed. */
struct control {
    const struct settings *settings;
    struct store *store;
    struct links *links;
    struct httpd *httpd;
    struct entry *core;
    struct registry *registry;
    struct counters *counters;
    json_t *rows; /**< Latest known rows by key, including removed ones, whose
                       value is null; owned. */
    uint64_t rows_changed_us;  /**< When a row last changed here. */
    struct config config;      /**< In force. */
    struct config scratch;     /**< Buffer for the next configuration. */
    struct route_table routes; /**< In force; platform adapter only. */
    char *full_text;           /**< `config` as JSON, owned; NULL at first. */
    char *diff_text;           /**< The change that made `config` as JSON,
                                    owned; NULL if it is not the latest one in
                                    ROW_HISTORY. */
    int64_t next_expiry_s;     /**< Wall-clock time at which the next exception
                                    expires, 0 for none. */
    uint64_t next_relay_us;
    struct change changes[CHANGE_MAX];
    struct change *active;       /**< The one that is reading or committing; at
                                      most one at a time. */
    uint64_t next_sequence;      /**< `sequence` of the newest change. */
    uint64_t reachable_since_us; /**< Since when the table service has
                                     answered reads without a gap of 10 s. */
    uint64_t last_read_us;       /**< When a read was last answered. */
    uint64_t next_forget_us;
    int forget_pending; /**< A silent member is being removed. */
    struct ent_pending_change
        pending_join;         /**< Join recorded in REG_JOIN_LOCK. */
    int join_removal_pending; /**< REG_JOIN_LOCK is being removed. */
    uint64_t next_join_removal_us;
    uint64_t member_heard_us; /**< Unused. */
};

/** Initialises a zeroed `control` whose borrowed pointers have been set; what
 * they point to need not be initialised yet. Returns 0, or -1 when out of
 * memory. */
int Control_Init(struct control *control, struct now now);

/** Frees what `control` owns, but not `control` itself. */
void Control_Finish(struct control *control);

/** Advances changes and timers; call it every TICK_US. */
void Control_OnTick(struct control *control, struct now now);

/* rows.c */

/** Applies the answer `body` to a read of the table service that was sent at
 * `sent_us`; 0 if the time is not known, so that the read does not count as a
 * confirmation that the configuration is the newest. */
void Rows_OnRead(struct control *control, const json_t *body,
                 uint64_t sent_us);

/** Applies rows sent by another entry. They are ignored unless they include
 * all changes since a version that has been applied here. */
void Rows_OnState(struct control *control, const struct frame_header *header,
                  const struct msg_state *state);

/** Sends rows to the entries that have applied an older version. Unless
 * `at_once` is set, they are first given 300 ms to read the rows
 * themselves. */
void Rows_Relay(struct control *control, int at_once);

/** Returns the version of a row, 0 if the row is not known. */
uint64_t Rows_Version(const struct control *control, const char *key);

/** Returns the value of a row, borrowed; NULL if there is no such row. */
json_t *Rows_Value(const struct control *control, const char *key);

/** Removes a row from the table service. Fails with CODE_CONFLICT if the row
 * is newer there than known here. */
void Rows_Remove(struct control *control, const char *key, store_done *done,
                 void *context);

/** Returns the item of ROW_HISTORY with this change id, borrowed; NULL if
 * there is none. */
json_t *Rows_FindChange(const struct control *control, const char *id);

/* join_lock.c */

/** Removes REG_JOIN_LOCK once the entry that wrote it has been accepted, so
 * that the next entry can join. */
void Join_OnTick(struct control *control, struct now now);

/* routes.c */

/** Reads a route table from the value of the routes' row, without the routes
 * that are malformed. The caller frees it with Route_Finish(). Returns 0, or
 * -1 with CODE_BAD_FIELD or CODE_NO_MEMORY. */
int Routes_Read(struct route_table *table, const json_t *root,
                struct err *err);

/* change.c */

/** Returns a zeroed slot for a change, which stays free until Change_Queue().
 * If all are in use, the oldest change in state CHANGE_READ_BACK or later for
 * which no request waits is dropped. Returns NULL if there is none. */
struct change *Change_New(struct control *control);

/** Queues a change whose request has been filled in. */
void Change_Queue(struct control *control, struct change *change);

/** Determines the outcome of changes whose commit was not answered, after the
 * rows of a read that was sent at `sent_us` have been applied. */
void Change_OnRead(struct control *control, uint64_t sent_us);

/** Checks all changes for acceptance and for their deadlines. */
void Change_OnTick(struct control *control, struct now now);

/** Returns the state of a change as JSON, owned by the caller. */
json_t *Change_Write(const struct control *control, struct change *change);

/** Finds a change in this entry's memory by its id. Returns NULL if there is
 * none. */
struct change *Change_Find(struct control *control, const char *id);

/* admin.c */

/** Handles a request whose path begins with "/v1/admin/". It needs the token
 * of an operator. */
void Admin_OnRequest(struct control *control,
                     const struct hs_request *request);

/** Replies with the HTTP status of `code` and a JSON body. Takes ownership of
 * `root`. */
void Admin_Reply(struct control *control, conn_id conn, enum code code,
                 json_t *root);

/** Replies with an error and counts its code. `detail` may be NULL. */
void Admin_ReplyError(struct control *control, conn_id conn, enum code code,
                      const char *detail);

/* token.c */

/** Returns the name of the operator to whom a token belongs, NULL if none. The
 * string is valid until the next call. */
const char *Token_Operator(const struct control *control, const char *token);

/** Checks that a caller's token is that of `team`, a buffer of `size` bytes.
 * If `team` is empty, any team's token is accepted and the name of that team
 * is filled in. While no team has a token, everything is accepted. Returns 0,
 * or -1 if the token is refused. */
int Token_CheckTeam(const struct control *control, const char *token,
                    char *team, size_t size);

/* forget.c */

/** Removes members from the registry that have been silent for longer than the
 * setting forget_member_s, at most one per second. */
void Forget_OnTick(struct control *control, struct now now);

/** Removes the registry row of a member; `done` is called with the outcome. */
void Forget_Member(struct control *control, const char *node, store_done *done,
                   void *context);

#endif
