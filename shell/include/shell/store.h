/** @file
 * Client of the platform's table service: rows with versions, commits that
 * check them. Answers may be late, lost or old; see docs/DESIGN.md.
 *
 * It speaks the protocol of our own stand-in, which reads by asking again
 * and again, or that of the users' platform, where the tables are followed
 * by calls that wait for a change. Rows are the same in both. */
#ifndef SHELL_STORE_H
#define SHELL_STORE_H

#include <jansson.h>

#include "base/counter.h"
#include "platform/store.h"
#include "shell/httpc.h"

/** Protocol that the service speaks. */
enum store_dialect { STORE_NATIVE, STORE_PLATFORM };

/** Outcome of a call. `body` is borrowed, NULL when there was none. */
struct store_result {
    enum code code; /**< CODE_OK, CODE_CONFLICT or CODE_STORE_DOWN. */
    json_t *body;
};

/** Called once for each call, or for each change that is followed. */
typedef void store_done(void *context, const struct store_result *result);

struct store;

/** A table that is followed. */
struct store_feed {
    struct store *store;
    enum pf_table table;
    uint64_t after;   /**< All up to this version has been handed in. */
    int is_full_read; /**< The whole table is being read. */
    int is_busy;      /**< A call is under way. */
    uint64_t next_us; /**< No call before this. */
    uint64_t sent_us; /**< When the call under way was sent. */
    char last_key[WIRE_ADDR_SIZE + WIRE_NAME_SIZE]; /**< Of the page read. */
    json_t *known_keys;                             /**< Known keys, owned. */
    json_t *seen_keys; /**< The same of the whole read under way, owned. */
};

/** Client of one table service. */
struct store {
    struct httpc http;
    char addr[WIRE_ADDR_SIZE];
    enum store_dialect dialect;
    struct counters *counters;
    struct store_feed feeds[PF_TABLE_COUNT];
    struct pf_operator operator_rows;
    store_done *on_rows;
    void *context;
    int is_down; /**< The last call had no answer. */
};

/** Make a client. */
int Store_Init(struct store *store, struct loop *loop, const char *addr,
               enum store_dialect dialect, struct counters *counters,
               struct err *err);

/** Free it, after the loop. */
void Store_Finish(struct store *store);

/** STORE_NATIVE: read the rows changed above version `since`: an object with
 * "version" and "rows", a list of {"key", "version", "value"}; a removed row
 * has the value null. */
void Store_Read(struct store *store, uint64_t since, store_done *done,
                void *context);

/** Read one row, in the same form; there may be others beside it. */
void Store_ReadRow(struct store *store, const char *key, store_done *done,
                   void *context);

/** Commit {"checks": [{"key", "version"}], "writes": [{"key", "value"}]}.
 * All checks hold or nothing is written. OK gives {"version"}, a conflict
 * {"conflict": {"key", "version"}} or nothing. STORE_DOWN tells nothing: the
 * commit may have taken effect. */
void Store_Commit(struct store *store, const json_t *change, store_done *done,
                  void *context);

/** STORE_PLATFORM: hand all rows to `on_rows`, in the form of Store_Read(),
 * and from then on each change. Its "version" is that up to which all has
 * been handed in. */
void Store_Follow(struct store *store, store_done *on_rows, void *context);

/** STORE_PLATFORM: go on following, as far as it is time. */
void Store_OnTick(struct store *store, struct now now);

/** When the call was sent whose rows are being handed in. */
uint64_t Store_OldestReadUs(const struct store *store);

/* follow.c and store.c */

/** Note whether the service answers, with one line when that changes. */
void Store_RecordStatus(struct store *store, int status);

#endif
