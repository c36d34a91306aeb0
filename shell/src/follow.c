/* Tables of the platform's service, followed by calls that wait. A table is
 * read whole at first and whenever the service no longer has the history. */
#include <string.h>

#include "base/log.h"
#include "shell/store.h"

/* Time that a call waits for a change. Bounds how long a connection that has
 * gone silent goes unnoticed, with ANSWER_MS. */
#define WAIT_MS 1500
/* Time beyond that after which a call is given up. */
#define ANSWER_MS 500
/* Pause after a call that failed; refused calls are paid for as well. */
#define PAUSE_US (200 * US_PER_MS)
/* Status of an answer for which the history is gone. */
#define STATUS_GONE 410

static uint64_t
version_of(const struct store *store)
{
    uint64_t least = UINT64_MAX;
    for (int i = 0; i < PF_TABLE_COUNT; i++) {
        uint64_t after = store->feeds[i].after;
        least = after < least ? after : least;
    }
    return least;
}

static void
hand_in(struct store *store, json_t *rows)
{
    json_t *body = json_pack("{s:I,s:O}", "version",
                             (json_int_t)version_of(store), "rows", rows);
    struct store_result result = {.code = CODE_OK, .body = body};
    store->on_rows(store->context, &result);
    json_decref(body);
}

static void
take_operator_rows(struct store *store, const json_t *list)
{
    struct err err = {0};
    if (Pf_ApplyOperatorRows(&store->op, list, &err) < 0) {
        CTR_INC(store->counters, config_corrupt);
        LOG_ERROR("config", "A row of the operator is kept out: %s.",
                  err.text);
    }
    json_t *rows = Pf_WriteOwnRows(&store->op);
    if (rows) {
        hand_in(store, rows);
        json_decref(rows);
    }
}

static void
take_rows(struct store_feed *feed, json_t *list)
{
    size_t i;
    json_t *row;
    json_array_foreach(list, i, row)
    {
        const char *key = json_string_value(json_object_get(row, "key"));
        if (json_is_null(json_object_get(row, "value"))) {
            json_object_del(feed->keys, key);
        }
        else {
            json_object_set(feed->keys, key, json_object_get(row, "version"));
        }
    }
    if (feed->table == PF_TABLE_OPERATOR) {
        take_operator_rows(feed->store, list);
    }
    else {
        hand_in(feed->store, list);
    }
}

/* Rows that were known and are not there any more have been removed at an
 * unknown version up to that of the answer. */
static void
add_removals(struct store_feed *feed, uint64_t version)
{
    const char *key;
    json_t *known;
    json_t *list = json_array();
    json_object_foreach(feed->keys, key, known)
    {
        if (!json_object_get(feed->found, key)) {
            json_array_append_new(
                list, json_pack("{s:s,s:I,s:n}", "key", key, "version",
                                (json_int_t)version, "value"));
        }
    }
    if (json_array_size(list)) {
        take_rows(feed, list);
    }
    json_decref(list);
}

static void
note_found(struct store_feed *feed, const json_t *list)
{
    size_t i;
    const json_t *row;
    json_array_foreach(list, i, row)
    {
        const char *key = json_string_value(json_object_get(row, "key"));
        json_object_set_new(feed->found, key, json_true());
        strncpy(feed->last_key, key, sizeof(feed->last_key) - 1);
    }
}

static void
take_answer(struct store_feed *feed, const struct pf_rows *rows)
{
    if (!feed->is_whole) {
        feed->after =
            rows->version > feed->after ? rows->version : feed->after;
        if (json_array_size(rows->list)) {
            take_rows(feed, rows->list);
        }
        return;
    }
    if (rows->version < feed->after) {
        /* A read that is behind would undo what is known. */
        feed->next_us = Loop_Now().us + PAUSE_US;
        return;
    }
    note_found(feed, rows->list);
    if (json_array_size(rows->list)) {
        take_rows(feed, rows->list);
    }
    if (!rows->has_more) {
        add_removals(feed, rows->version);
        feed->is_whole = 0;
        feed->after = rows->version;
        json_t *none = json_array();
        hand_in(feed->store, none);
        json_decref(none);
    }
}

static void
begin_whole(struct store_feed *feed)
{
    feed->is_whole = 1;
    feed->last_key[0] = '\0';
    json_object_clear(feed->found);
}

static void
on_answer(void *context, const struct hc_result *http)
{
    struct store_feed *feed = context;
    struct store *store = feed->store;
    struct err err = {0};
    struct pf_rows rows;
    struct now now = Loop_Now();
    feed->is_busy = 0;
    Store_NoteAnswer(store, http->status);
    if (http->status == STATUS_GONE) {
        LOG_WARN("store", "The history of table %d is gone: read whole.",
                 (int)feed->table);
        begin_whole(feed);
    }
    else if (http->status != 200 || Pf_ReadRows(&rows, http->body, &err)) {
        feed->next_us = now.us + PAUSE_US;
        return;
    }
    else {
        take_answer(feed, &rows);
        json_decref(rows.list);
    }
    Store_OnTick(store, now);
}

static void
ask(struct store_feed *feed, struct now now)
{
    struct store *store = feed->store;
    char path[PF_STORE_PATH_SIZE];
    if (feed->is_whole) {
        Pf_TablePath(path, feed->table, feed->last_key);
    }
    else {
        Pf_ChangesPath(path, feed->table, feed->after, WAIT_MS);
    }
    struct hc_call call = {
        .addr = store->addr,
        .method = "GET",
        .path = path,
        .timeout_ms = WAIT_MS + ANSWER_MS,
        .done = on_answer,
        .context = feed,
    };
    feed->is_busy = 1;
    feed->sent_us = now.us;
    CTR_INC(store->counters, store_reads);
    if (Hc_Call(&store->http, &call)) {
        feed->is_busy = 0;
        feed->next_us = now.us + PAUSE_US;
    }
}

void
Store_Follow(struct store *store, store_done *on_rows, void *context)
{
    store->on_rows = on_rows;
    store->context = context;
    for (int i = 0; i < PF_TABLE_COUNT; i++) {
        struct store_feed *feed = &store->feeds[i];
        feed->store = store;
        feed->table = (enum pf_table)i;
        feed->keys = json_object();
        feed->found = json_object();
        begin_whole(feed);
    }
    Store_OnTick(store, Loop_Now());
}

void
Store_OnTick(struct store *store, struct now now)
{
    for (int i = 0; i < PF_TABLE_COUNT; i++) {
        struct store_feed *feed = &store->feeds[i];
        if (feed->store && !feed->is_busy && now.us >= feed->next_us) {
            ask(feed, now);
        }
    }
}

uint64_t
Store_AskedUs(const struct store *store)
{
    uint64_t least = UINT64_MAX;
    for (int i = 0; i < PF_TABLE_COUNT; i++) {
        uint64_t sent_us = store->feeds[i].sent_us;
        least = sent_us < least ? sent_us : least;
    }
    return least;
}
