/** @file
 * Client of the platform's table service: versioned rows, and commits that are
 * conditional on versions. Answers may be late, lost or outdated; see
 * docs/DESIGN.md.
 *
 * The client speaks one of two protocols with the same rows: the native one of
 * standin-tablestore, which is read by polling, and that of the users'
 * platform, where long polls follow the changes of each table. */
#ifndef SHELL_STORE_H
#define SHELL_STORE_H

#include <jansson.h>

#include "base/counter.h"
#include "platform/store.h"
#include "shell/httpc.h"

/** Protocol of the table service. */
enum store_protocol { STORE_NATIVE, STORE_PLATFORM };

/** Outcome of a call. `body` is borrowed, and NULL when the answer had none or
 * an invalid one. */
struct store_result {
    enum code code; /**< CODE_OK, CODE_CONFLICT or CODE_STORE_DOWN. */
    json_t *body;
};

/** Called once for each call, or for each set of rows from Store_Follow(). */
typedef void store_done(void *context, const struct store_result *result);

struct store;

struct store_feed;

/** Calls that a feed may have in progress. */
#define STORE_FEED_CALLS 2

/** A call of a feed. */
struct store_feed_call {
    struct store_feed *feed;
    uint64_t step; /**< Of the feed when the call was sent. */
    int is_busy;   /**< The call is in progress. */
};

/** The change feed of one table. */
struct store_feed {
    struct store *store;
    enum pf_table table;
    uint64_t after; /**< All changes up to this version have been delivered. */
    int is_full_read;      /**< The complete table is being read. */
    uint64_t read_version; /**< Version of the first page of a full read. */
    uint64_t step; /**< Number of answers applied. An answer to a call of an
                        earlier step is ignored. */
    struct store_feed_call calls[STORE_FEED_CALLS];
    uint64_t next_us; /**< Earliest time of the next call. */
    uint64_t sent_us; /**< When the first call of this step was sent. */
    char last_key[PF_KEY_SIZE]; /**< Last key read of a full read. */
    json_t *known_keys;         /**< Keys of the rows delivered; owned. */
    json_t *seen_keys; /**< Keys seen by the full read in progress; owned. */
};

/** A client of the table service. */
struct store {
    struct httpc http;
    char addr[WIRE_ADDR_SIZE];
    enum store_protocol protocol;
    struct counters *counters;
    struct store_feed feeds[PF_TABLE_COUNT];
    struct pf_operator operator_rows;
    store_done *on_rows;
    void *context;
    int is_down; /**< The last call failed: no answer, status 429 or 5xx. */
};

/** Initialise a client of the service at `addr`, "ip:port". Error:
 * CODE_NO_MEMORY. */
int Store_Init(struct store *store, struct loop *loop, const char *addr,
               enum store_protocol protocol, struct counters *counters,
               struct err *err);

/** Free the client, after Loop_Finish(). */
void Store_Finish(struct store *store);

/** STORE_NATIVE only: read the rows with a version above `since`. The result
 * has "version" and "rows", a list of {"key", "version", "value"}. The value
 * of a removed row is null. */
void Store_Read(struct store *store, uint64_t since, store_done *done,
                void *context);

/** Read one row. The result has the form of Store_Read() and may contain other
 * rows. */
void Store_ReadRow(struct store *store, const char *key, store_done *done,
                   void *context);

/** Commit {"checks": [{"key", "version"}], "writes": [{"key", "value"}]}
 * atomically: the writes take effect only if each checked row has the given
 * version. The result of CODE_OK is {"version"}, that of CODE_CONFLICT
 * {"conflict": {"key", "version"}} or NULL. After CODE_STORE_DOWN it is
 * unknown whether the commit took effect. */
void Store_Commit(struct store *store, const json_t *change, store_done *done,
                  void *context);

/** STORE_PLATFORM only: deliver all rows to `on_rows`, in the form of
 * Store_Read(), and every change from then on. "version" is the version up to
 * which the changes of all tables have been delivered. */
void Store_Follow(struct store *store, store_done *on_rows, void *context);

/** STORE_PLATFORM only: send the calls that are due. Call it regularly. */
void Store_OnTick(struct store *store, struct now now);

/** STORE_PLATFORM only: return the earliest time at which the latest call for
 * any of the tables was sent. It counts as the time of the rows being
 * delivered. */
uint64_t Store_OldestReadUs(const struct store *store);

/* follow.c and store.c */

/** Record from the HTTP status of a call, 0 for no answer, whether the service
 * is available, and log when that changes. */
void Store_RecordStatus(struct store *store, int status);

#endif
