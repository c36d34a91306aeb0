/* Administration API. Every request needs the token of an operator, as even
 * the answers to reads disclose the configuration. */
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/json.h"
#include "control.h"
#include "shell/api.h"

/* Time within which a change should be accepted, unless the request states
 * another one. */
#define DEFAULT_TIMEOUT_MS 15000
#define MAX_TIMEOUT_MS 600000
/* Size of a generated id; in text, each byte is two hexadecimal digits. */
#define ID_BYTES 12

static void
free_text(char **text)
{
    free(*text);
}

#define AUTO_TEXT __attribute__((cleanup(free_text))) char *

void
Admin_Reply(struct control *control, conn_id conn, enum code code,
            json_t *root)
{
    AUTO_TEXT text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    Hs_ReplyJson(control->httpd, conn, Code_HttpStatus(code),
                 text ? text : "{}");
}

void
Admin_ReplyError(struct control *control, conn_id conn, enum code code,
                 const char *detail)
{
    AUTO_TEXT text = Api_WriteError(code, detail);
    Ctr_CountCode(control->counters, code);
    Hs_ReplyJson(control->httpd, conn, Code_HttpStatus(code),
                 text ? text : "{}");
}

/* Characters that separate the fields of a query. libwebsockets may separate
 * them by another character than the caller did. */
#define FIELD_ENDS "&,;"

/* Copies the value of a field of the query to `out`, truncated to `size` bytes
 * with the terminating NUL; "" if there is no such field. */
static void
get_query_field(const char *query, const char *field, char *out, size_t size)
{
    size_t name_size = strlen(field);
    const char *at = query;
    out[0] = '\0';
    while (at && *at) {
        if (strncmp(at, field, name_size) == 0 && at[name_size] == '=') {
            size_t used = strcspn(at + name_size + 1, FIELD_ENDS);
            used = used < size ? used : size - 1;
            memcpy(out, at + name_size + 1, used);
            out[used] = '\0';
            return;
        }
        at = strpbrk(at, FIELD_ENDS);
        at = at ? at + 1 : NULL;
    }
}

static void
show_config(struct control *control, conn_id conn)
{
    Admin_Reply(control, conn, CODE_OK, Cj_Write(&control->config, 0));
}

static void
show_settings(struct control *control, conn_id conn)
{
    json_t *list = json_array();
    for (int id = 0; id < POL_COUNT; id++) {
        const struct policy_spec *spec = Pol_Spec(id);
        const struct config *config = &control->config;
        int64_t value = config->has_default[id] ? config->defaults[id]
                                                : spec->default_value;
        json_array_append_new(
            list, json_pack("{s:s,s:I,s:s,s:I,s:I,s:I,s:b,s:s}", "setting",
                            spec->name, "value", (json_int_t)value, "unit",
                            spec->unit, "least", (json_int_t)spec->min, "most",
                            (json_int_t)spec->max, "built_in",
                            (json_int_t)spec->default_value, "set",
                            config->has_default[id], "meaning", spec->help));
    }
    Admin_Reply(control, conn, CODE_OK, json_pack("{s:o}", "defaults", list));
}

static json_t *
write_member(struct now now, const struct ent_peer *peer)
{
    const struct ent_member *member = &peer->member;
    int64_t silent_ms =
        peer->heard_us ? (int64_t)((now.us - peer->heard_us) / US_PER_MS) : -1;
    json_t *root = json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I}", "node", member->node, "role",
        member->role == ROLE_ENTRY ? "entry" : "agent", "region",
        member->region, "data_centre", member->dc, "rack", member->rack,
        "address", member->addr, "registered", (json_int_t)member->registered,
        "silent_ms", (json_int_t)silent_ms, "config",
        (json_int_t)peer->config_version);
    if (member->role == ROLE_AGENT) {
        json_object_set_new(
            root, "service",
            json_string(peer->service ? peer->service->name : ""));
        json_object_set_new(root, "slots", json_integer(peer->slots));
        json_object_set_new(root, "out",
                            json_boolean(peer->is_out_of_service));
    }
    return root;
}

static void
show_status(struct control *control, conn_id conn)
{
    struct now now = Loop_Now();
    const struct entry *core = control->core;
    json_t *list = json_array();
    uint32_t slot = 0;
    struct ent_peer *peer;
    while ((peer = Tab_Next(&core->peers, &slot))) {
        json_array_append_new(list, write_member(now, peer));
    }
    int64_t age_ms =
        core->conf.fresh_us
            ? (int64_t)((now.us - core->conf.fresh_us) / US_PER_MS)
            : -1;
    Admin_Reply(
        control, conn, CODE_OK,
        json_pack("{s:s,s:I,s:I,s:b,s:I,s:I,s:o}", "node",
                  control->settings->node, "config",
                  (json_int_t)control->config.version, "rows",
                  (json_int_t)core->registry_version, "fresh",
                  Ent_IsFresh(core, now), "fresh_age_ms", (json_int_t)age_ms,
                  "store_silent_ms",
                  (json_int_t)((now.us - control->last_read_us) / US_PER_MS),
                  "members", list));
}

static void
show_history(struct control *control, conn_id conn)
{
    json_t *history = Rows_Value(control, ROW_HISTORY);
    json_t *list = history ? json_incref(history) : json_array();
    Admin_Reply(control, conn, CODE_OK, json_pack("{s:o}", "changes", list));
}

static void
show_change(struct control *control, conn_id conn, const char *id)
{
    struct change *change = Change_Find(control, id);
    json_t *item = Rows_FindChange(control, id);
    if (change) {
        Admin_Reply(control, conn, CODE_OK, Change_Write(control, change));
    }
    else if (item) {
        Admin_Reply(
            control, conn, CODE_OK,
            json_pack("{s:s,s:O}", "state", "committed", "change", item));
    }
    else {
        Admin_ReplyError(control, conn, CODE_BAD_FIELD,
                         "no change with this id is known to this entry");
    }
}

/* Sets the location and service of `subject` to those of the member with its
 * node name. */
static void
fill_from_member(const struct control *control, struct cfg_subject *subject)
{
    uint32_t slot = 0;
    const struct ent_peer *peer;
    while ((peer = Tab_Next(&control->core->peers, &slot))) {
        if (strcmp(peer->member.node, subject->node) == 0) {
            memcpy(subject->region, peer->member.region, WIRE_NAME_SIZE);
            memcpy(subject->dc, peer->member.dc, WIRE_NAME_SIZE);
            memcpy(subject->rack, peer->member.rack, WIRE_NAME_SIZE);
            if (peer->service) {
                memcpy(subject->service, peer->service->name, WIRE_NAME_SIZE);
            }
        }
    }
}

static json_t *
write_explanation(const struct cfg_explanation *explanation, enum policy_id id)
{
    const struct policy_spec *spec = Pol_Spec(id);
    json_t *root =
        json_pack("{s:s,s:I,s:s}", "setting", spec->name, "value",
                  (json_int_t)explanation->value, "unit", spec->unit);
    if (explanation->exception) {
        json_object_set_new(root, "because", json_string("exception"));
        json_object_set_new(root, "exception",
                            Cj_WriteException(explanation->exception));
    }
    else {
        json_object_set_new(root, "because",
                            json_string(explanation->default_is_set
                                            ? "default"
                                            : "built-in default"));
    }
    return root;
}

static void
explain(struct control *control, const struct hs_request *request)
{
    struct cfg_subject subject;
    char setting[WIRE_NAME_SIZE];
    const char *query = request->query;
    json_t *list = json_array();
    get_query_field(query, "region", subject.region, WIRE_NAME_SIZE);
    get_query_field(query, "data_centre", subject.dc, WIRE_NAME_SIZE);
    get_query_field(query, "rack", subject.rack, WIRE_NAME_SIZE);
    get_query_field(query, "service", subject.service, WIRE_NAME_SIZE);
    get_query_field(query, "team", subject.team, WIRE_NAME_SIZE);
    get_query_field(query, "node", subject.node, WIRE_NAME_SIZE);
    get_query_field(query, "setting", setting, sizeof(setting));
    if (subject.node[0]) {
        fill_from_member(control, &subject);
    }
    for (int id = 0; id < POL_COUNT; id++) {
        if (setting[0] && strcmp(setting, Pol_Spec(id)->name) != 0) {
            continue;
        }
        struct cfg_explanation explanation =
            Cfg_Explain(&control->config, &subject, id, Loop_Now().wall);
        json_array_append_new(list, write_explanation(&explanation, id));
    }
    if (json_array_size(list) == 0) {
        json_decref(list);
        Admin_ReplyError(control, request->conn, CODE_BAD_FIELD,
                         "no setting with this name");
        return;
    }
    Admin_Reply(control, request->conn, CODE_OK,
                json_pack("{s:I,s:o}", "version",
                          (json_int_t)control->config.version, "values",
                          list));
}

static void
generate_id(char *id)
{
    unsigned char bytes[ID_BYTES];
    randombytes_buf(bytes, sizeof(bytes));
    sodium_bin2hex(id, CFG_ID_SIZE, bytes, sizeof(bytes));
}

static int
is_true(const json_t *root, const char *field)
{
    return json_is_true(json_object_get(root, field));
}

static int
read_id(struct change *change, const json_t *root, struct err *err)
{
    const json_t *value = json_object_get(root, "id");
    if (!value) {
        generate_id(change->body.header.id);
        return 0;
    }
    size_t size = json_string_length(value);
    if (size < 8 || size >= CFG_ID_SIZE) {
        return Err_Set(err, CODE_BAD_FIELD,
                       "id must be a string of 8 to %d bytes",
                       CFG_ID_SIZE - 1);
    }
    memcpy(change->body.header.id, json_string_value(value), size + 1);
    return 0;
}

static int
read_change(struct change *change, const json_t *root, const char *author,
            struct err *err)
{
    struct now now = Loop_Now();
    const json_t *version = json_object_get(root, "if_version");
    const json_t *timeout = json_object_get(root, "timeout_ms");
    json_int_t timeout_ms =
        timeout ? json_integer_value(timeout) : DEFAULT_TIMEOUT_MS;
    if (timeout_ms < 1 || timeout_ms > MAX_TIMEOUT_MS) {
        return Err_Set(err, CODE_BAD_FIELD,
                       "timeout_ms must be an integer from 1 to %d",
                       MAX_TIMEOUT_MS);
    }
    if (version &&
        (!json_is_integer(version) || json_integer_value(version) < 0)) {
        return Err_Set(err, CODE_BAD_FIELD,
                       "if_version must be an integer, 0 or greater");
    }
    change->if_version = (uint64_t)json_integer_value(version);
    change->force = is_true(root, "force");
    change->dry_run = is_true(root, "dry_run");
    change->deadline_us = now.us + (uint64_t)timeout_ms * US_PER_MS;
    change->body.header.time_s = now.wall;
    memcpy(change->body.header.author, author, strlen(author) + 1);
    if (read_id(change, root, err)) {
        return -1;
    }
    return Cj_ReadOps(&change->body, json_object_get(root, "ops"), now.wall,
                      err);
}

/* If a change with the same id is known here, makes the request wait for its
 * outcome, or answers at once if it is accepted or another request waits.
 * Returns 1 in these cases, else 0. */
static int
attach(struct control *control, struct change *change, conn_id conn)
{
    struct change *existing = NULL;
    change->state = CHANGE_FREE;
    existing = Change_Find(control, change->body.header.id);
    if (!existing) {
        return 0;
    }
    if (existing->state == CHANGE_ACCEPTED || existing->conn != 0) {
        Admin_Reply(control, conn, CODE_OK, Change_Write(control, existing));
        return 1;
    }
    existing->conn = conn;
    existing->deadline_us = change->deadline_us;
    return 1;
}

static void
begin_change(struct control *control, const struct hs_request *request,
             const char *author)
{
    struct err err = {0};
    json_error_t error;
    AUTO_JSON root =
        json_loadb(request->body.size ? request->body.data : "",
                   request->body.size, JSON_REJECT_DUPLICATES, &error);
    struct change *change = Change_New(control);
    if (!json_is_object(root)) {
        Admin_ReplyError(control, request->conn, CODE_BAD_JSON, error.text);
        return;
    }
    if (!change) {
        Admin_ReplyError(control, request->conn, CODE_NO_MEMORY,
                         "too many changes in progress at this entry");
        return;
    }
    if (read_change(change, root, author, &err)) {
        Admin_ReplyError(control, request->conn, err.code, err.text);
        return;
    }
    if (attach(control, change, request->conn)) {
        return;
    }
    change->conn = request->conn;
    Change_Queue(control, change);
}

/* Request to remove a member, kept until the table service has answered. */
struct forget_call {
    struct control *control;
    conn_id conn;
};

static void
on_forgotten(void *context, const struct store_result *result)
{
    struct forget_call *call = context;
    if (result->code == CODE_OK) {
        CTR_INC(call->control->counters, members_forgotten);
        Admin_Reply(call->control, call->conn, CODE_OK,
                    json_pack("{s:s}", "state", "forgotten"));
    }
    else if (result->code == CODE_CONFLICT) {
        Admin_ReplyError(call->control, call->conn, CODE_CONFLICT,
                         "the registry row of the member has changed");
    }
    else {
        Admin_ReplyError(call->control, call->conn, CODE_NOT_ACCEPTED,
                         "no answer from the table service; whether the "
                         "member was removed is unknown: query the status");
    }
    free(call);
}

/* Removes a dead member; one that is alive only if the request sets force. */
static void
forget_member(struct control *control, const struct hs_request *request)
{
    AUTO_JSON root = json_loadb(request->body.size ? request->body.data : "",
                                request->body.size, 0, NULL);
    const char *node = json_string_value(json_object_get(root, "node"));
    struct ent_peer *peer = NULL;
    uint32_t slot = 0;
    while (node && (peer = Tab_Next(&control->core->peers, &slot))) {
        if (strcmp(peer->member.node, node) == 0) {
            break;
        }
    }
    if (!peer) {
        Admin_ReplyError(control, request->conn, CODE_BAD_FIELD,
                         "no member with this node name");
        return;
    }
    if (peer->heard_us && Loop_Now().us - peer->heard_us < PEER_TIMEOUT_US &&
        !is_true(root, "force")) {
        Admin_ReplyError(
            control, request->conn, CODE_BAD_FIELD,
            "the member is alive: its latest message is less than 3 s "
            "old; set force to remove it");
        return;
    }
    struct forget_call *call = calloc(1, sizeof(*call));
    if (!call) {
        Admin_ReplyError(control, request->conn, CODE_NO_MEMORY, NULL);
        return;
    }
    call->control = control;
    call->conn = request->conn;
    Forget_Member(control, node, on_forgotten, call);
}

static void
reply_counters(struct control *control, conn_id conn)
{
    static char text[65536];
    int size = Ctr_Print(control->counters, text, sizeof(text));
    struct hs_reply reply = {
        .status = 200,
        .type = "text/plain",
        .body = {text, (uint32_t)size},
    };
    Hs_Reply(control->httpd, conn, &reply);
}

static void
on_get(struct control *control, const struct hs_request *request,
       const char *path)
{
    conn_id conn = request->conn;
    if (strcmp(path, "config") == 0) {
        show_config(control, conn);
    }
    else if (strcmp(path, "defaults") == 0) {
        show_settings(control, conn);
    }
    else if (strcmp(path, "status") == 0) {
        show_status(control, conn);
    }
    else if (strcmp(path, "changes") == 0) {
        show_history(control, conn);
    }
    else if (strncmp(path, "changes/", strlen("changes/")) == 0) {
        show_change(control, conn, path + strlen("changes/"));
    }
    else if (strcmp(path, "explain") == 0) {
        explain(control, request);
    }
    else if (strcmp(path, "counters") == 0) {
        reply_counters(control, conn);
    }
    else {
        Admin_ReplyError(control, conn, CODE_NO_SUCH_PATH, request->path);
    }
}

void
Admin_OnRequest(struct control *control, const struct hs_request *request)
{
    const char *path = request->path + strlen("/v1/admin/");
    const char *author = Token_Operator(control, request->token);
    if (!author) {
        CTR_INC(control->counters, tokens_refused);
        Admin_ReplyError(control, request->conn, CODE_BAD_TOKEN, NULL);
    }
    else if (request->method == HS_GET) {
        on_get(control, request, path);
    }
    else if (request->method == HS_POST && strcmp(path, "changes") == 0) {
        begin_change(control, request, author);
    }
    else if (request->method == HS_POST &&
             strcmp(path, "members/forget") == 0) {
        forget_member(control, request);
    }
    else {
        Admin_ReplyError(control, request->conn, CODE_NO_SUCH_PATH,
                         request->path);
    }
}
