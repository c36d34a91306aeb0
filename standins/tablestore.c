/* Stand-in for a table service that speaks jacinthpick's native protocol, not
 * that of the users' platform (see platform.py). Rows are kept in memory, each
 * with the version of its last commit; a commit can require versions of rows.
 * Reads and writes are limited per second, and faults are set over HTTP.
 *
 *   GET  /v1/rows?since=V   rows changed after version V
 *   POST /v1/commit         {"checks": [...], "writes": [...]}
 *   POST /faults            {"down": bool, "delay_ms": n, "lose_answers": n}
 *   GET  /stats             numbers of reads, writes and refused requests, and
 *                           the current version
 *
 * "down" leaves all requests but /faults and /stats unanswered, "delay_ms"
 * delays the responses, and "lose_answers" carries out the next n commits
 * without a response. */
#include <getopt.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "shell/httpd.h"

#define MAX_ROWS 8192
#define MAX_DELAYED 4096
#define DEFAULT_READS_PER_S 2000
#define DEFAULT_WRITES_PER_S 500

struct row {
    char *key;
    json_t *value; /* NULL when removed. */
    uint64_t version;
};

/* A response waiting for the end of its delay. */
struct delayed_response {
    lws_sorted_usec_list_t sul;
    conn_id conn;
    int status;
    char *text;
};

static struct {
    struct loop loop;
    struct httpd httpd;
    struct counters counters;
    struct row rows[MAX_ROWS];
    size_t row_count;
    uint64_t version;
    int down;
    int delay_ms;
    int lose_answers;
    uint64_t reads;
    uint64_t writes;
    uint64_t refused;
    uint64_t second; /* The second that the two limits below apply to. */
    int reads_left;  /* Further reads allowed in it. */
    int writes_left;
    int reads_per_s;
    int writes_per_s;
} store;

static void
send_delayed(lws_sorted_usec_list_t *sul)
{
    struct delayed_response *delayed =
        lws_container_of(sul, struct delayed_response, sul);
    Hs_ReplyJson(&store.httpd, delayed->conn, delayed->status, delayed->text);
    free(delayed->text);
    free(delayed);
}

static void
reply(conn_id conn, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    if (store.delay_ms == 0) {
        Hs_ReplyJson(&store.httpd, conn, status, text);
        free(text);
        return;
    }
    struct delayed_response *delayed = calloc(1, sizeof(*delayed));
    if (!delayed) {
        abort();
    }
    delayed->conn = conn;
    delayed->status = status;
    delayed->text = text;
    lws_sul_schedule(store.loop.lws, 0, &delayed->sul, send_delayed,
                     (lws_usec_t)store.delay_ms * 1000);
}

static void
refuse(conn_id conn, int status, const char *message)
{
    store.refused++;
    reply(conn, status, json_pack("{s:s}", "error", message));
}

/* Counts a request against the limit `left` of the current second. Returns -1
 * when the limit is reached. */
static int
apply_rate_limit(int *left)
{
    uint64_t second = Loop_Now().us / US_PER_S;
    if (second != store.second) {
        store.second = second;
        store.reads_left = store.reads_per_s;
        store.writes_left = store.writes_per_s;
    }
    if (*left <= 0) {
        return -1;
    }
    (*left)--;
    return 0;
}

static struct row *
find_row(const char *key)
{
    for (size_t i = 0; i < store.row_count; i++) {
        if (strcmp(store.rows[i].key, key) == 0) {
            return &store.rows[i];
        }
    }
    return NULL;
}

static void
read_rows(conn_id conn, uint64_t since)
{
    if (apply_rate_limit(&store.reads_left)) {
        refuse(conn, 429, "too many reads");
        return;
    }
    store.reads++;
    json_t *list = json_array();
    for (size_t i = 0; i < store.row_count; i++) {
        const struct row *row = &store.rows[i];
        if (row->version <= since) {
            continue;
        }
        json_t *value = row->value ? json_incref(row->value) : json_null();
        json_array_append_new(
            list, json_pack("{s:s,s:I,s:o}", "key", row->key, "version",
                            (json_int_t)row->version, "value", value));
    }
    reply(conn, 200,
          json_pack("{s:I,s:o}", "version", (json_int_t)store.version, "rows",
                    list));
}

/* Returns the first check whose row has another version, which is stored in
 * `found`; NULL when all versions are as required. */
static const json_t *
find_failed_check(const json_t *checks, uint64_t *found)
{
    size_t i;
    json_t *check;
    json_array_foreach(checks, i, check)
    {
        const char *key = json_string_value(json_object_get(check, "key"));
        json_int_t required =
            json_integer_value(json_object_get(check, "version"));
        const struct row *row = key ? find_row(key) : NULL;
        *found = row ? row->version : 0;
        if (!key || *found != (uint64_t)required) {
            return check;
        }
    }
    return NULL;
}

static void
write_row(const char *key, json_t *value)
{
    struct row *row = find_row(key);
    if (!row) {
        if (store.row_count == MAX_ROWS) {
            return;
        }
        row = &store.rows[store.row_count++];
        row->key = strdup(key);
    }
    json_decref(row->value);
    row->value = json_is_null(value) ? NULL : json_incref(value);
    row->version = store.version;
}

static void
commit(conn_id conn, const struct bytes *body)
{
    uint64_t found;
    if (apply_rate_limit(&store.writes_left)) {
        refuse(conn, 429, "too many writes");
        return;
    }
    json_t *change =
        json_loadb(body->data ? body->data : "", body->size, 0, NULL);
    json_t *writes = json_object_get(change, "writes");
    if (!json_is_array(writes)) {
        json_decref(change);
        refuse(conn, 400, "body has no array \"writes\"");
        return;
    }
    const json_t *failed =
        find_failed_check(json_object_get(change, "checks"), &found);
    if (failed) {
        reply(conn, 409,
              json_pack("{s:{s:O,s:I}}", "conflict", "key",
                        json_object_get(failed, "key"), "version",
                        (json_int_t)found));
        json_decref(change);
        return;
    }
    store.writes++;
    store.version++;
    size_t i;
    json_t *write;
    json_array_foreach(writes, i, write)
    {
        const char *key = json_string_value(json_object_get(write, "key"));
        if (key) {
            write_row(key, json_object_get(write, "value"));
        }
    }
    json_decref(change);
    if (store.lose_answers > 0) {
        store.lose_answers--;
        return;
    }
    reply(conn, 200, json_pack("{s:I}", "version", (json_int_t)store.version));
}

static void
set_faults(conn_id conn, const struct bytes *body)
{
    json_t *root =
        json_loadb(body->data ? body->data : "", body->size, 0, NULL);
    json_unpack(root, "{s?b,s?i,s?i}", "down", &store.down, "delay_ms",
                &store.delay_ms, "lose_answers", &store.lose_answers);
    json_decref(root);
    Hs_ReplyJson(&store.httpd, conn, 200, "{}");
}

static void
on_request(void *context, const struct hs_request *request)
{
    (void)context;
    if (strcmp(request->path, "/faults") == 0) {
        set_faults(request->conn, &request->body);
    }
    else if (strcmp(request->path, "/stats") == 0) {
        char text[128];
        snprintf(text, sizeof(text),
                 "{\"reads\":%llu,\"writes\":%llu,\"refused\":%llu,"
                 "\"version\":%llu}",
                 (unsigned long long)store.reads,
                 (unsigned long long)store.writes,
                 (unsigned long long)store.refused,
                 (unsigned long long)store.version);
        Hs_ReplyJson(&store.httpd, request->conn, 200, text);
    }
    else if (store.down) {
        return; /* Simulated outage: no response. */
    }
    else if (strcmp(request->path, "/v1/rows") == 0) {
        const char *since = strstr(request->query, "since=");
        read_rows(request->conn, since ? strtoull(since + 6, NULL, 10) : 0);
    }
    else if (strcmp(request->path, "/v1/commit") == 0) {
        commit(request->conn, &request->body);
    }
    else {
        refuse(request->conn, 404, "no such path");
    }
}

int
main(int argc, char **argv)
{
    static const struct option options[] = {
        {"listen", required_argument, NULL, 'l'},
        {"reads", required_argument, NULL, 'r'},
        {"writes", required_argument, NULL, 'w'},
        {NULL, 0, NULL, 0},
    };
    const char *addr = "127.0.0.1:9000";
    struct err err = {0};
    int option;
    store.reads_per_s = DEFAULT_READS_PER_S;
    store.writes_per_s = DEFAULT_WRITES_PER_S;
    while ((option = getopt_long(argc, argv, "l:r:w:", options, NULL)) != -1) {
        switch (option) {
        case 'l':
            addr = optarg;
            break;
        case 'r':
            store.reads_per_s = (int)strtol(optarg, NULL, 10);
            break;
        case 'w':
            store.writes_per_s = (int)strtol(optarg, NULL, 10);
            break;
        default:
            return 2;
        }
    }
    signal(SIGPIPE, SIG_IGN);
    if (Loop_Init(&store.loop, &err) ||
        Hs_Init(&store.httpd, &store.loop, addr, NULL, NULL, on_request, NULL,
                NULL, &store.counters, &err)) {
        LOG_ERROR("tablestore", "Table service cannot start: %s.", err.text);
        return 1;
    }
    /* The platform's store may perform a call that gets no response. */
    store.httpd.handle_abandoned = 1;
    Loop_Run(&store.loop);
    return 0;
}
