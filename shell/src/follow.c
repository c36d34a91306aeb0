/* Follows the tables of the platform's service with long polls. A table is
 * read completely at first and whenever the service no longer has its history
 * from the version read so far. */
#include <string.h>

#include "base/log.h"
#include "shell/store.h"

/* Time that the service holds a call while there is no change. Together with
 * ANSWER_MARGIN_MS it bounds the time until a dead connection is detected. */
#define LONG_POLL_MS 1500
/* The call times out this long after LONG_POLL_MS. */
#define ANSWER_MARGIN_MS 500
/* Time after which a call of a full read without an answer gets a second one
 * beside it, on another connection: an answer is usually there within
 * milliseconds, and a process that has just started serves nobody until it has
 * the tables. The first call goes on, as the service may only be slow. */
#define SECOND_CALL_US (400 * US_PER_MS)
/* Delay after a failed call. The platform charges for refused calls too. */
#define RETRY_DELAY_US (200 * US_PER_MS)
/* HTTP status of a call for changes that the service no longer has. */
#define HTTP_GONE 410

/* Returns the version up to which the changes of all tables have been
 * delivered. */
static uint64_t
min_version(const struct store *store)
{
    uint64_t min = UINT64_MAX;
    for (int i = 0; i < PF_TABLE_COUNT; i++) {
        uint64_t after = store->feeds[i].after;
        min = after < min ? after : min;
    }
    return min;
}

static void
deliver_rows(struct store *store, json_t *rows)
{
    json_t *body = json_pack("{s:I,s:O}", "version",
                             (json_int_t)min_version(store), "rows", rows);
    struct store_result result = {.code = CODE_OK, .body = body};
    store->on_rows(store->context, &result);
    json_decref(body);
}

static void
deliver_operator_rows(struct store *store)
{
    json_t *rows = Pf_WriteOwnRows(&store->operator_rows);
    if (rows) {
        deliver_rows(store, rows);
        json_decref(rows);
    }
}

/* Rows of a full read are delivered at its end, as what its pages hold so far
 * is not the content of any version. */
static void
apply_operator_rows(struct store_feed *feed, const json_t *list)
{
    struct err err = {0};
    struct store *store = feed->store;
    if (Pf_ApplyOperatorRows(&store->operator_rows, list, &err) < 0) {
        CTR_INC(store->counters, config_corrupt);
        LOG_ERROR("config",
                  "Operator rows are in force without what is invalid. "
                  "fault=\"%s\"",
                  err.text);
    }
    if (!feed->is_full_read) {
        deliver_operator_rows(store);
    }
}

static void
apply_rows(struct store_feed *feed, json_t *list)
{
    size_t i;
    json_t *row;
    json_array_foreach(list, i, row)
    {
        const char *key = json_string_value(json_object_get(row, "key"));
        if (json_is_null(json_object_get(row, "value"))) {
            json_object_del(feed->known_keys, key);
        }
        else {
            json_object_set(feed->known_keys, key,
                            json_object_get(row, "version"));
        }
    }
    if (feed->table == PF_TABLE_OPERATOR) {
        apply_operator_rows(feed, list);
    }
    else {
        deliver_rows(feed->store, list);
    }
}

/* Delivers as removed the known rows that a full read did not find. When they
 * were removed is unknown; the version of the read is the upper bound, except
 * for removals that the feed delivers again. */
static void
add_removals(struct store_feed *feed)
{
    const char *key;
    json_t *known;
    json_t *list = json_array();
    json_object_foreach(feed->known_keys, key, known)
    {
        if (!json_object_get(feed->seen_keys, key)) {
            json_array_append_new(
                list, json_pack("{s:s,s:I,s:n}", "key", key, "version",
                                (json_int_t)feed->read_version, "value"));
        }
    }
    if (json_array_size(list)) {
        apply_rows(feed, list);
    }
    json_decref(list);
}

static void
mark_seen(struct store_feed *feed, const json_t *list)
{
    size_t i;
    const json_t *row;
    json_array_foreach(list, i, row)
    {
        const char *key = json_string_value(json_object_get(row, "key"));
        json_object_set_new(feed->seen_keys, key, json_true());
        strncpy(feed->last_key, key, sizeof(feed->last_key) - 1);
    }
}

/* The pages of a full read are of different versions. What changes meanwhile
 * may be missing in them, so the feed goes on from the first page's. */
static void
finish_full_read(struct store_feed *feed)
{
    struct store *store = feed->store;
    add_removals(feed);
    feed->is_full_read = 0;
    feed->after = feed->read_version;
    if (feed->table == PF_TABLE_OPERATOR) {
        Pf_CompleteOperatorRows(&store->operator_rows, feed->read_version);
        deliver_operator_rows(store);
    }
    json_t *no_rows = json_array();
    deliver_rows(store, no_rows);
    json_decref(no_rows);
}

static void
apply_answer(struct store_feed *feed, const struct pf_rows *rows)
{
    if (!feed->is_full_read) {
        feed->after =
            rows->version > feed->after ? rows->version : feed->after;
        if (json_array_size(rows->list)) {
            apply_rows(feed, rows->list);
        }
        return;
    }
    if (rows->version < feed->after || rows->version < feed->read_version) {
        /* Applying an outdated read would revert rows to older versions. */
        feed->next_us = Loop_Now().us + RETRY_DELAY_US;
        return;
    }
    if (feed->last_key[0] == '\0') {
        feed->read_version = rows->version;
    }
    mark_seen(feed, rows->list);
    if (json_array_size(rows->list)) {
        apply_rows(feed, rows->list);
    }
    if (!rows->has_more) {
        finish_full_read(feed);
    }
}

static void
begin_full_read(struct store_feed *feed)
{
    feed->is_full_read = 1;
    feed->read_version = 0;
    feed->last_key[0] = '\0';
    json_object_clear(feed->seen_keys);
}

/* Returns the number of calls of this step that are in progress. */
static int
count_calls(const struct store_feed *feed)
{
    int count = 0;
    for (int i = 0; i < STORE_FEED_CALLS; i++) {
        count += feed->calls[i].is_busy && feed->calls[i].step == feed->step;
    }
    return count;
}

static void
on_answer(void *context, const struct hc_result *http)
{
    struct store_feed_call *call = context;
    struct store_feed *feed = call->feed;
    struct store *store = feed->store;
    struct err err = {0};
    struct pf_rows rows;
    struct now now = Loop_Now();
    call->is_busy = 0;
    Store_RecordStatus(store, http->status);
    if (call->step != feed->step) {
        return;
    }
    if (http->status == HTTP_GONE) {
        LOG_WARN("store",
                 "The history of table %d is no longer available: reading "
                 "the complete table.",
                 (int)feed->table);
        feed->step++;
        begin_full_read(feed);
    }
    else if (http->status != 200 || Pf_ReadRows(&rows, http->body, &err)) {
        /* A second call of the step may still be answered. */
        feed->next_us = now.us + RETRY_DELAY_US;
        return;
    }
    else {
        feed->step++;
        apply_answer(feed, &rows);
        json_decref(rows.list);
    }
    Store_OnTick(store, now);
}

static void
send_call(struct store_feed *feed, struct now now)
{
    struct store *store = feed->store;
    char path[PF_STORE_PATH_SIZE];
    struct store_feed_call *own = &feed->calls[0];
    own = own->is_busy ? &feed->calls[1] : own;
    if (own->is_busy) {
        return;
    }
    if (feed->is_full_read) {
        Pf_TablePath(path, feed->table, feed->last_key);
    }
    else {
        Pf_ChangesPath(path, feed->table, feed->after, LONG_POLL_MS);
    }
    struct hc_call call = {
        .addr = store->addr,
        .method = "GET",
        .path = path,
        .timeout_ms = LONG_POLL_MS + ANSWER_MARGIN_MS,
        .done = on_answer,
        .context = own,
    };
    if (count_calls(feed) == 0) {
        feed->sent_us = now.us;
    }
    else {
        LOG_WARN("store",
                 "Call for table %d is unanswered: a second one is sent "
                 "beside it. waited_ms=%llu",
                 (int)feed->table,
                 (unsigned long long)((now.us - feed->sent_us) / US_PER_MS));
    }
    own->step = feed->step;
    own->is_busy = 1;
    CTR_INC(store->counters, store_reads);
    if (Hc_Call(&store->http, &call)) {
        own->is_busy = 0;
        feed->next_us = now.us + RETRY_DELAY_US;
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
        for (int j = 0; j < STORE_FEED_CALLS; j++) {
            feed->calls[j].feed = feed;
        }
        feed->table = (enum pf_table)i;
        feed->known_keys = json_object();
        feed->seen_keys = json_object();
        begin_full_read(feed);
    }
    Store_OnTick(store, Loop_Now());
}

static int
is_due(const struct store_feed *feed, struct now now)
{
    if (!feed->store || now.us < feed->next_us) {
        return 0;
    }
    int calls = count_calls(feed);
    return calls == 0 || (calls == 1 && feed->is_full_read &&
                          now.us - feed->sent_us >= SECOND_CALL_US);
}

void
Store_OnTick(struct store *store, struct now now)
{
    for (int i = 0; i < PF_TABLE_COUNT; i++) {
        if (is_due(&store->feeds[i], now)) {
            send_call(&store->feeds[i], now);
        }
    }
}

uint64_t
Store_OldestReadUs(const struct store *store)
{
    uint64_t min = UINT64_MAX;
    for (int i = 0; i < PF_TABLE_COUNT; i++) {
        uint64_t sent_us = store->feeds[i].sent_us;
        min = sent_us < min ? sent_us : min;
    }
    return min;
}
