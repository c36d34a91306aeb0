#include "shell/store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"

/* Maximum number of concurrent calls: a long poll for each of the two tables,
 * and others. */
#define MAX_CALLS 8
#define STORE_TIMEOUT_MS 2000

/* A call in progress. */
struct call {
    struct store *store;
    store_done *done;
    void *context;
    int is_commit;
};

int
Store_Init(struct store *store, struct loop *loop, const char *addr,
           enum store_protocol protocol, struct counters *counters,
           struct err *err)
{
    memset(store, 0, sizeof(*store));
    store->protocol = protocol;
    store->counters = counters;
    if (Pf_InitOperator(&store->operator_rows)) {
        return Err_Set(err, CODE_NO_MEMORY,
                       "no memory for the operator's rows");
    }
    snprintf(store->addr, sizeof(store->addr), "%s", addr);
    return Hc_Init(&store->http, loop, MAX_CALLS, err);
}

void
Store_Finish(struct store *store)
{
    Hc_Finish(&store->http);
    Pf_FinishOperator(&store->operator_rows);
    for (int i = 0; i < PF_TABLE_COUNT; i++) {
        json_decref(store->feeds[i].known_keys);
        json_decref(store->feeds[i].seen_keys);
    }
}

void
Store_RecordStatus(struct store *store, int status)
{
    int is_down = status == 0 || status == 429 || status >= 500;
    if (is_down) {
        CTR_INC(store->counters, store_errors);
    }
    if (is_down != store->is_down) {
        store->is_down = is_down;
        LOG_WARN("store", "Table service %s. address=%s status=%d",
                 is_down ? "does not answer" : "answers again", store->addr,
                 status);
    }
}

static enum code
code_from_status(int status)
{
    switch (status) {
    case 200:
        return CODE_OK;
    case 409:
    case 412:
        return CODE_CONFLICT;
    default:
        return CODE_STORE_DOWN;
    }
}

/* Returns {"version", "rows"}, NULL for an invalid body. */
static json_t *
read_rows(struct bytes body)
{
    struct err err = {0};
    struct pf_rows rows;
    if (Pf_ReadRows(&rows, body, &err)) {
        LOG_WARN("store",
                 "Rejected an invalid answer of the table service: %s.",
                 err.text);
        return NULL;
    }
    return json_pack("{s:I,s:o}", "version", (json_int_t)rows.version, "rows",
                     rows.list);
}

static json_t *
read_body(const struct call *call, const struct hc_result *http)
{
    if (call->store->protocol == STORE_NATIVE) {
        return json_loadb(http->body.data, http->body.size, 0, NULL);
    }
    return call->is_commit ? Pf_ReadCommit(http->body) : read_rows(http->body);
}

static void
on_done(void *context, const struct hc_result *http)
{
    struct call *call = context;
    struct store_result result = {.code = code_from_status(http->status)};
    if (result.code != CODE_STORE_DOWN) {
        result.body = read_body(call, http);
        if (!result.body && result.code == CODE_OK) {
            result.code = CODE_STORE_DOWN;
        }
    }
    Store_RecordStatus(call->store, http->status);
    call->done(call->context, &result);
    json_decref(result.body);
    free(call);
}

static void
start_call(struct store *store, int is_commit, const char *path,
           const char *body, store_done *done, void *context)
{
    struct store_result down = {.code = CODE_STORE_DOWN};
    struct call *call = calloc(1, sizeof(*call));
    if (!call) {
        done(context, &down);
        return;
    }
    call->store = store;
    call->is_commit = is_commit;
    call->done = done;
    call->context = context;
    struct hc_call http = {
        .addr = store->addr,
        .method = is_commit ? "POST" : "GET",
        .path = path,
        .body = {body, body ? (uint32_t)strlen(body) : 0},
        .timeout_ms = STORE_TIMEOUT_MS,
        .done = on_done,
        .context = call,
    };
    if (Hc_Call(&store->http, &http)) {
        free(call);
        done(context, &down);
    }
}

void
Store_Read(struct store *store, uint64_t since, store_done *done,
           void *context)
{
    char path[64];
    snprintf(path, sizeof(path), "/v1/rows?since=%llu",
             (unsigned long long)since);
    CTR_INC(store->counters, store_reads);
    start_call(store, 0, path, NULL, done, context);
}

/* The native protocol has no call for one row: all rows are read. */
void
Store_ReadRow(struct store *store, const char *key, store_done *done,
              void *context)
{
    char path[PF_STORE_PATH_SIZE];
    if (store->protocol == STORE_NATIVE) {
        Store_Read(store, 0, done, context);
        return;
    }
    Pf_RowPath(path, key);
    CTR_INC(store->counters, store_reads);
    start_call(store, 0, path, NULL, done, context);
}

void
Store_Commit(struct store *store, const json_t *change, store_done *done,
             void *context)
{
    int is_native = store->protocol == STORE_NATIVE;
    char *body =
        is_native ? json_dumps(change, JSON_COMPACT) : Pf_WriteCommit(change);
    CTR_INC(store->counters, store_writes);
    start_call(store, 1, is_native ? "/v1/commit" : pf_commit_path, body, done,
               context);
    free(body);
}
