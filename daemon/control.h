/** @file
 * The control side of an entry: rows of the table service, changes of the
 * configuration, the administration API, members that are gone. */
#ifndef CONTROL_H
#define CONTROL_H

#include "core/entry.h"
#include "core/route.h"
#include "shell/config_json.h"
#include "shell/httpd.h"
#include "shell/link.h"
#include "shell/registry.h"

/** Row of the configuration in force. */
#define ROW_CONFIG "config/current"
/** Row of the latest changes. */
#define ROW_HISTORY "config/history"
/** Changes kept in the history. */
#define HISTORY_MAX 100
/** Changes that an entry keeps track of. */
#define CHANGE_MAX 64

/** How far a change has come. */
enum change_state {
    CHANGE_FREE,
    CHANGE_QUEUED,     /**< Nothing has been written. */
    CHANGE_READING,    /**< Nothing has been written. */
    CHANGE_COMMITTING, /**< It may have been written. */
    CHANGE_READ_BACK,  /**< The answer was lost; looking for it. */
    CHANGE_CONFLICT,   /**< Another change came first. */
    CHANGE_COMMITTED,  /**< Written; not everybody has taken it in. */
    CHANGE_ACCEPTED,
};

/** A change made through this entry. */
struct change {
    enum change_state state;
    uint64_t sequence;
    struct cj_change body;
    conn_id conn; /**< Who waits for the outcome, 0 for nobody. */
    uint64_t if_version;
    int force;
    int dry_run;
    uint64_t begun_us;
    uint64_t deadline_us;
    uint64_t sent_us;
    uint64_t row_version; /**< Of the row that it was to replace. */
    struct ent_pending_change pending;
    uint64_t accepted_us;
    int announced;
};

/** The control side. */
struct control {
    const struct settings *settings;
    struct store *store;
    struct links *links;
    struct httpd *httpd;
    struct entry *core;
    struct registry *registry;
    struct counters *counters;
    json_t *rows;             /**< Every row by its key. */
    uint64_t rows_changed_us; /**< When the last new row came in. */
    struct config config;
    struct config scratch;
    struct route_table routes; /**< In force, with an adapter. */
    char *full_text;
    char *diff_text;
    int64_t next_expiry_s;
    uint64_t next_relay_us;
    struct change changes[CHANGE_MAX];
    struct change *active; /**< The one that is reading or committing. */
    uint64_t next_sequence;
    uint64_t reachable_since_us; /**< Reads have been answered since then. */
    uint64_t last_read_us;       /**< When the last read was answered. */
    uint64_t next_forget_us;
    int forget_pending;
    struct ent_pending_change
        pending_join;         /**< The latest entry of a new name. */
    int join_removal_pending; /**< Its row is being removed. */
    uint64_t next_join_removal_us;
    uint64_t member_heard_us; /**< Start of this process. */
};

/** Prepare; the parts that it points to may still be empty. */
int Control_Init(struct control *control, struct now now);

/** Free what it owns. */
void Control_Finish(struct control *control);

/** Time has passed. */
void Control_OnTick(struct control *control, struct now now);

/* rows.c */

/** A read sent at `asked_us` was answered with `body`. */
void Rows_OnRead(struct control *control, const json_t *body,
                 uint64_t asked_us);

/** Another entry sent rows. */
void Rows_OnState(struct control *control, const struct frame_header *head,
                  const struct msg_state *state);

/** Send rows to entries that lag; to all of them when `now` is set. */
void Rows_Relay(struct control *control, int at_once);

/** Version of a row, 0 when it was never seen. */
uint64_t Rows_Version(const struct control *control, const char *key);

/** Value of a row, NULL when there is none. */
json_t *Rows_Value(const struct control *control, const char *key);

/** Remove a row, unless it is newer than known here. */
void Rows_Remove(struct control *control, const char *key, store_done *done,
                 void *context);

/** A change in the history, NULL when it is not there. */
json_t *Rows_FindChange(const struct control *control, const char *id);

/* step.c */

/** Time has passed: an entry of a new name may have been accepted. */
void Step_OnTick(struct control *control, struct now now);

/* routes.c */

/** Read the routes' row. CODE_BAD_FIELD. */
int Routes_Read(struct route_table *table, const json_t *root,
                struct err *err);

/* change.c */

/** A free place for a change, NULL when too many are under way. */
struct change *Change_New(struct control *control);

/** Begin with a change that has been filled in. */
void Change_Begin(struct control *control, struct change *change);

/** A read has been taken in that was sent at `asked_us`. */
void Change_OnRead(struct control *control, uint64_t asked_us);

/** Look after all changes. */
void Change_OnTick(struct control *control, struct now now);

/** Where a change stands, as JSON. */
json_t *Change_Write(const struct control *control, struct change *change);

/** Find a change made through this entry. */
struct change *Change_Find(struct control *control, const char *id);

/* admin.c */

/** Answer a request under /v1/admin/. */
void Admin_OnRequest(struct control *control,
                     const struct hs_request *request);

/** Answer with JSON, which is given up. */
void Admin_Reply(struct control *control, conn_id conn, enum code code,
                 json_t *root);

/** Refuse. */
void Admin_Refuse(struct control *control, conn_id conn, enum code code,
                  const char *detail);

/* token.c */

/** The operator that a token belongs to; NULL when there is none. */
const char *Token_Operator(const struct control *control, const char *token);

/** Check a caller's token against a team, which is filled in when empty.
 * Open as long as no team has a token. Returns -1 when it is refused. */
int Token_CheckTeam(const struct control *control, const char *token,
                    char *team, size_t size);

/* forget.c */

/** Remove members that have been silent for long. */
void Forget_OnTick(struct control *control, struct now now);

/** Remove one member by name. */
void Forget_Member(struct control *control, const char *node, store_done *done,
                   void *context);

#endif
