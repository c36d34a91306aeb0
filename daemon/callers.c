/* HTTP API of an entry: keys, jobs, requests, status, administration. */
#include "callers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pages.h"
#include "shell/api.h"

static void
free_text(char **text)
{
    free(*text);
}

#define AUTO_TEXT __attribute__((cleanup(free_text))) char *

static void
reply_text(struct callers *callers, conn_id conn, enum code code,
           const char *text, uint32_t retry_after_ms)
{
    struct hs_reply reply = {
        .status = Code_HttpStatus(code),
        .type = "application/json",
        .body = {text ? text : "", text ? (uint32_t)strlen(text) : 0},
        .retry_after_s = (retry_after_ms + 999) / 1000,
    };
    if (Hs_Reply(&callers->httpd, conn, &reply)) {
        CTR_INC(callers->counters, answers_late);
    }
}

static void
reply_error(struct callers *callers, conn_id conn, enum code code,
            const char *detail)
{
    AUTO_TEXT text = Api_WriteError(code, detail);
    Ctr_CountCode(callers->counters, code);
    reply_text(callers, conn, code, text, 0);
}

void
Callers_Reply(struct callers *callers, conn_id conn,
              const struct answer *answer)
{
    char key[KEY_TEXT_SIZE];
    Key_Format(&answer->key, callers->secret, key);
    AUTO_TEXT text = Api_WriteAnswer(answer, key);
    if (answer->code == CODE_OK) {
        Hs_SetUser(&callers->httpd, conn, &answer->key, sizeof(answer->key));
    }
    reply_text(callers, conn, answer->code, text, answer->retry_after_ms);
}

static void
on_sent(void *context, conn_id conn, const void *user)
{
    struct callers *callers = context;
    struct key key;
    (void)conn;
    memcpy(&key, user, sizeof(key));
    if (key.issuer) {
        Ent_OnAnswerRead(callers->core, Loop_Now(), &key);
    }
}

static void
issue_keys(struct callers *callers, const struct hs_request *request)
{
    static struct key keys[ENT_MAX_KEYS];
    json_t *body = json_loadb(request->body.data ? request->body.data : "",
                              request->body.size, 0, NULL);
    json_t *field = json_object_get(body, "count");
    json_int_t count = field ? json_integer_value(field) : 1;
    json_decref(body);
    if (count < 1 || count > ENT_MAX_KEYS) {
        reply_error(callers, request->conn, CODE_BAD_FIELD,
                    "$.count must be an integer from 1 to 1000");
        return;
    }
    enum code code =
        Ent_IssueKeys(callers->core, Loop_Now(), (uint32_t)count, keys);
    if (code != CODE_OK) {
        reply_error(callers, request->conn, code, NULL);
        return;
    }
    json_t *list = json_array();
    for (json_int_t i = 0; i < count; i++) {
        char text[KEY_TEXT_SIZE];
        Key_Format(&keys[i], callers->secret, text);
        json_array_append_new(list, json_string(text));
    }
    json_t *root = json_pack("{s:o}", "keys", list);
    AUTO_TEXT text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    reply_text(callers, request->conn, CODE_OK, text, 0);
}

static void
submit(struct callers *callers, const struct hs_request *request,
       int (*read_body)(struct api_job *, struct bytes, struct err *))
{
    struct err err = {0};
    struct api_job job;
    struct key key;
    if (Key_Parse(&key, callers->secret, request->key, &err) ||
        read_body(&job, request->body, &err)) {
        reply_error(callers, request->conn, err.code, err.text);
        return;
    }
    job.sub.key = key;
    if (Token_CheckTeam(callers->control, request->token, job.sub.team,
                        sizeof(job.sub.team))) {
        Api_FreeJob(&job);
        CTR_INC(callers->counters, tokens_refused);
        reply_error(callers, request->conn, CODE_BAD_TOKEN, NULL);
        return;
    }
    if (job.wait) {
        Ent_OnSubmit(callers->core, Loop_Now(), request->conn, &job.sub);
    }
    else {
        Ent_OnSubmit(callers->core, Loop_Now(), 0, &job.sub);
        Ent_OnQuery(callers->core, Loop_Now(), request->conn, &key,
                    JOB_QUERY_STATE);
    }
    Api_FreeJob(&job);
}

static void
query_job(struct callers *callers, const struct hs_request *request,
          const char *text)
{
    struct err err = {0};
    struct key key;
    enum job_query query = JOB_QUERY_STATE;
    if (Key_Parse(&key, callers->secret, text, &err)) {
        reply_error(callers, request->conn, err.code, err.text);
        return;
    }
    if (request->method == HS_DELETE) {
        query = JOB_QUERY_CANCEL;
    }
    else if (strstr(request->query, "wait=1")) {
        query = JOB_QUERY_WAIT;
    }
    Ent_OnQuery(callers->core, Loop_Now(), request->conn, &key, query);
}

static void
reply_health(struct callers *callers, conn_id conn)
{
    if (callers->is_stopping) {
        reply_error(callers, conn, CODE_DRAINING, NULL);
    }
    else if (callers->core->registry_version == 0) {
        reply_error(callers, conn, CODE_NOT_FRESH, NULL);
    }
    else {
        Hs_ReplyJson(&callers->httpd, conn, 200, "{\"state\":\"serving\"}");
    }
}

static int
is_caller_path(const char *path)
{
    return strcmp(path, "/v1/keys") == 0 ||
           strncmp(path, "/v1/jobs", strlen("/v1/jobs")) == 0 ||
           strncmp(path, "/v1/requests", strlen("/v1/requests")) == 0;
}

/* Accepts the token of any team; submit() checks it against the job's team. */
static int
authenticate_caller(struct callers *callers, const struct hs_request *request)
{
    char team[WIRE_NAME_SIZE] = "";
    if (Token_CheckTeam(callers->control, request->token, team,
                        sizeof(team)) == 0) {
        return 0;
    }
    CTR_INC(callers->counters, tokens_refused);
    reply_error(callers, request->conn, CODE_BAD_TOKEN, NULL);
    return -1;
}

static void
on_request(void *context, const struct hs_request *request)
{
    static const char jobs[] = "/v1/jobs/";
    static const char admin[] = "/v1/admin/";
    struct callers *callers = context;
    const char *path = request->path;
    enum hs_method method = request->method;
    if (is_caller_path(path) && authenticate_caller(callers, request)) {
        return;
    }
    if (method == HS_POST && strcmp(path, "/v1/keys") == 0) {
        issue_keys(callers, request);
    }
    else if (method == HS_POST && strcmp(path, "/v1/jobs") == 0) {
        submit(callers, request, Api_ReadJob);
    }
    else if (method == HS_POST && strcmp(path, "/v1/requests") == 0) {
        submit(callers, request, Api_ReadRequest);
    }
    else if ((method == HS_GET || method == HS_DELETE) &&
             strncmp(path, jobs, sizeof(jobs) - 1) == 0) {
        query_job(callers, request, path + sizeof(jobs) - 1);
    }
    else if (strncmp(path, admin, sizeof(admin) - 1) == 0) {
        Admin_OnRequest(callers->control, request);
    }
    else if (method == HS_GET && strcmp(path, "/metrics") == 0) {
        Pages_Metrics(&callers->httpd, request->conn, callers->counters,
                      callers->core);
    }
    else if (method == HS_GET && strcmp(path, "/v1/status") == 0) {
        Pages_Status(&callers->httpd, request->conn, callers->core);
    }
    else if (method == HS_GET && strcmp(path, "/v1/health") == 0) {
        reply_health(callers, request->conn);
    }
    else {
        reply_error(callers, request->conn, CODE_NO_SUCH_PATH, path);
    }
}

int
Callers_Init(struct callers *callers, struct loop *loop,
             struct control *control, const struct key_secret *secret,
             struct err *err)
{
    const struct settings *settings = control->settings;
    const char *cert =
        settings->tls_certificate[0] ? settings->tls_certificate : NULL;
    const char *key = settings->tls_key[0] ? settings->tls_key : NULL;
    memset(callers, 0, sizeof(*callers));
    callers->control = control;
    callers->core = control->core;
    callers->counters = control->counters;
    callers->secret = secret;
    return Hs_Init(&callers->httpd, loop, settings->listen_http, cert, key,
                   on_request, on_sent, callers, callers->counters, err);
}

void
Callers_Finish(struct callers *callers)
{
    Hs_Finish(&callers->httpd);
}
