/* The entry role: HTTP for callers, links to agents and other entries. */
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapter.h"
#include "base/log.h"
#include "control.h"
#include "daemon.h"
#include "ingress.h"
#include "notes.h"
#include "pages.h"
#include "shell/api.h"
#include "shell/httpd.h"
#include "shell/link.h"
#include "shell/registry.h"

struct entry_daemon {
    const struct settings *settings;
    struct counters counters;
    struct key_secret secret;
    struct loop loop;
    struct links links;
    struct httpd httpd;
    struct store store;
    struct registry registry;
    struct entry core;
    struct loop_timer tick;
    struct loop_timer poll;
    int polling;
    uint64_t polled_us; /* When the read under way was sent. */
    struct control control;
    struct ingress ingress;
    uint64_t next_keep_us;
    uint64_t drain_us; /* When new jobs are refused, 0 for not. */
    struct stop stop;
};

static void
free_text(char **text)
{
    free(*text);
}

#define AUTO_TEXT __attribute__((cleanup(free_text))) char *

static void
reply_text(struct entry_daemon *daemon, conn_id conn, enum code code,
           const char *text, uint32_t retry_after_ms)
{
    struct hs_reply reply = {
        .status = Code_HttpStatus(code),
        .type = "application/json",
        .body = {text ? text : "", text ? (uint32_t)strlen(text) : 0},
        .retry_after_s = (retry_after_ms + 999) / 1000,
    };
    if (Hs_Reply(&daemon->httpd, conn, &reply)) {
        CTR_INC(&daemon->counters, answers_late);
    }
}

static void
reply_error(struct entry_daemon *daemon, conn_id conn, enum code code,
            const char *detail)
{
    AUTO_TEXT text = Api_WriteError(code, detail);
    Ctr_Code(&daemon->counters, code);
    reply_text(daemon, conn, code, text, 0);
}

static void
reply_answer(struct entry_daemon *daemon, conn_id conn,
             const struct answer *answer)
{
    if (Adapter_IsOn(daemon->settings) &&
        Hs_IsOwn(&daemon->ingress.callers, conn)) {
        Ingress_Reply(&daemon->ingress, conn, answer);
        return;
    }
    char key[KEY_TEXT_SIZE];
    Key_Format(&answer->key, &daemon->secret, key);
    AUTO_TEXT text = Api_WriteAnswer(answer, key);
    if (answer->code == CODE_OK) {
        Hs_SetUser(&daemon->httpd, conn, &answer->key, sizeof(answer->key));
    }
    reply_text(daemon, conn, answer->code, text, answer->retry_after_ms);
}

static void
emit(void *context, const struct act *act)
{
    struct entry_daemon *daemon = context;
    switch (act->type) {
    case ACT_SEND:
        Link_Send(&daemon->links, act->u.send.to, act->u.send.msg);
        break;
    case ACT_REPLY:
        reply_answer(daemon, act->u.reply.conn, act->u.reply.answer);
        break;
    case ACT_LINK:
        Link_Open(&daemon->links, act->u.link.peer, act->u.link.addr);
        break;
    case ACT_UNLINK:
        Link_Close(&daemon->links, act->u.link.peer);
        break;
    case ACT_NOTE:
        Notes_Write("jobs", &act->u.note);
        break;
    case ACT_RUN:
    case ACT_STOP:
        break;
    }
}

static void
on_message(void *context, const struct frame_head *head, const struct msg *msg)
{
    struct entry_daemon *daemon = context;
    if (msg->type == MSG_STATE) {
        Rows_OnState(&daemon->control, head, &msg->u.state);
        return;
    }
    Ent_OnMessage(&daemon->core, Loop_Now(), head, msg);
}

static void
on_stranger(void *context, const struct frame_head *head)
{
    struct entry_daemon *daemon = context;
    Ent_OnStranger(&daemon->core, Loop_Now(), head);
}

static void
on_sent(void *context, conn_id conn, const void *user)
{
    struct entry_daemon *daemon = context;
    struct key key;
    (void)conn;
    memcpy(&key, user, sizeof(key));
    if (key.issuer) {
        Ent_OnAnswerRead(&daemon->core, Loop_Now(), &key);
    }
}

static void
issue_keys(struct entry_daemon *daemon, const struct hs_request *request)
{
    static struct key keys[ENT_MAX_KEYS];
    json_t *body = json_loadb(request->body.data ? request->body.data : "",
                              request->body.size, 0, NULL);
    json_t *field = json_object_get(body, "count");
    json_int_t count = field ? json_integer_value(field) : 1;
    json_decref(body);
    if (count < 1 || count > ENT_MAX_KEYS) {
        reply_error(daemon, request->conn, CODE_BAD_FIELD,
                    "$.count: 1 to 1000");
        return;
    }
    enum code code =
        Ent_IssueKeys(&daemon->core, Loop_Now(), (uint32_t)count, keys);
    if (code != CODE_OK) {
        reply_error(daemon, request->conn, code, NULL);
        return;
    }
    json_t *list = json_array();
    for (json_int_t i = 0; i < count; i++) {
        char text[KEY_TEXT_SIZE];
        Key_Format(&keys[i], &daemon->secret, text);
        json_array_append_new(list, json_string(text));
    }
    json_t *root = json_pack("{s:o}", "keys", list);
    AUTO_TEXT text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    reply_text(daemon, request->conn, CODE_OK, text, 0);
}

static void
submit(struct entry_daemon *daemon, const struct hs_request *request,
       int (*read_body)(struct api_job *, struct bytes, struct err *))
{
    struct err err = {0};
    struct api_job job;
    struct key key;
    if (Key_Parse(&key, &daemon->secret, request->key, &err) ||
        read_body(&job, request->body, &err)) {
        reply_error(daemon, request->conn, err.code, err.text);
        return;
    }
    job.sub.key = key;
    if (Token_CheckTeam(&daemon->control, request->token, job.sub.team,
                        sizeof(job.sub.team))) {
        Api_FreeJob(&job);
        CTR_INC(&daemon->counters, tokens_refused);
        reply_error(daemon, request->conn, CODE_BAD_TOKEN, NULL);
        return;
    }
    if (job.wait) {
        Ent_OnSubmit(&daemon->core, Loop_Now(), request->conn, &job.sub);
    }
    else {
        Ent_OnSubmit(&daemon->core, Loop_Now(), 0, &job.sub);
        Ent_OnAsk(&daemon->core, Loop_Now(), request->conn, &key, ASK_STATE);
    }
    Api_FreeJob(&job);
}

static void
ask(struct entry_daemon *daemon, const struct hs_request *request,
    const char *text)
{
    struct err err = {0};
    struct key key;
    enum ask what = ASK_STATE;
    if (Key_Parse(&key, &daemon->secret, text, &err)) {
        reply_error(daemon, request->conn, err.code, err.text);
        return;
    }
    if (request->method == HS_DELETE) {
        what = ASK_CANCEL;
    }
    else if (strstr(request->query, "wait=1")) {
        what = ASK_WAIT;
    }
    Ent_OnAsk(&daemon->core, Loop_Now(), request->conn, &key, what);
}

static void
reply_health(struct entry_daemon *daemon, conn_id conn)
{
    if (daemon->stop.end_us) {
        reply_error(daemon, conn, CODE_DRAINING, NULL);
    }
    else if (daemon->core.version == 0) {
        reply_error(daemon, conn, CODE_NOT_FRESH, NULL);
    }
    else {
        Hs_ReplyJson(&daemon->httpd, conn, 200, "{\"state\":\"serving\"}");
    }
}

static int
is_callers(const char *path)
{
    return strcmp(path, "/v1/keys") == 0 ||
           strncmp(path, "/v1/jobs", strlen("/v1/jobs")) == 0 ||
           strncmp(path, "/v1/requests", strlen("/v1/requests")) == 0;
}

/* Any team's token will do here; a submission is held to its team. */
static int
check_caller(struct entry_daemon *daemon, const struct hs_request *request)
{
    char team[WIRE_NAME_SIZE] = "";
    if (Token_CheckTeam(&daemon->control, request->token, team,
                        sizeof(team)) == 0) {
        return 0;
    }
    CTR_INC(&daemon->counters, tokens_refused);
    reply_error(daemon, request->conn, CODE_BAD_TOKEN, NULL);
    return -1;
}

static void
on_request(void *context, const struct hs_request *request)
{
    static const char jobs[] = "/v1/jobs/";
    static const char admin[] = "/v1/admin/";
    struct entry_daemon *daemon = context;
    const char *path = request->path;
    enum hs_method method = request->method;
    if (is_callers(path) && check_caller(daemon, request)) {
        return;
    }
    if (method == HS_POST && strcmp(path, "/v1/keys") == 0) {
        issue_keys(daemon, request);
    }
    else if (method == HS_POST && strcmp(path, "/v1/jobs") == 0) {
        submit(daemon, request, Api_ReadJob);
    }
    else if (method == HS_POST && strcmp(path, "/v1/requests") == 0) {
        submit(daemon, request, Api_ReadRequest);
    }
    else if ((method == HS_GET || method == HS_DELETE) &&
             strncmp(path, jobs, sizeof(jobs) - 1) == 0) {
        ask(daemon, request, path + sizeof(jobs) - 1);
    }
    else if (strncmp(path, admin, sizeof(admin) - 1) == 0) {
        Admin_OnRequest(&daemon->control, request);
    }
    else if (method == HS_GET && strcmp(path, "/metrics") == 0) {
        Pages_Metrics(&daemon->httpd, request->conn, &daemon->counters,
                      &daemon->core);
    }
    else if (method == HS_GET && strcmp(path, "/v1/status") == 0) {
        Pages_Status(&daemon->httpd, request->conn, &daemon->core);
    }
    else if (method == HS_GET && strcmp(path, "/v1/health") == 0) {
        reply_health(daemon, request->conn);
    }
    else {
        reply_error(daemon, request->conn, CODE_NO_SUCH_PATH, path);
    }
}

static void
on_rows(void *context, const struct store_result *result)
{
    struct entry_daemon *daemon = context;
    daemon->polling = 0;
    if (result->code == CODE_OK) {
        Rows_OnRead(&daemon->control, result->body, daemon->polled_us);
    }
}

static void
on_followed(void *context, const struct store_result *result)
{
    struct entry_daemon *daemon = context;
    Rows_OnRead(&daemon->control, result->body, Store_AskedUs(&daemon->store));
}

static void
poll_platform(struct entry_daemon *daemon)
{
    struct now now = Loop_Now();
    Reg_Step(&daemon->registry);
    Store_OnTick(&daemon->store, now);
    if (now.us >= daemon->next_keep_us) {
        daemon->next_keep_us = now.us + KEEP_ROW_US;
        Reg_Verify(&daemon->registry);
    }
}

static void
on_poll(void *context)
{
    struct entry_daemon *daemon = context;
    if (Adapter_IsOn(daemon->settings)) {
        poll_platform(daemon);
        return;
    }
    if (!daemon->registry.registered) {
        Reg_Step(&daemon->registry);
    }
    else if (!daemon->polling) {
        daemon->polling = 1;
        daemon->polled_us = Loop_Now().us;
        Store_Read(&daemon->store, daemon->core.version, on_rows, daemon);
    }
}

static void
on_registered(void *context, uint64_t version)
{
    struct entry_daemon *daemon = context;
    LOG_INFO("registry", "Registered as %s at version %llu.",
             daemon->settings->node, (unsigned long long)version);
    on_poll(daemon);
}

static void
check_stop(struct entry_daemon *daemon, struct now now)
{
    switch (Stop_Step(&daemon->stop, now, daemon->core.conf.superseded,
                      Ent_IsIdle(&daemon->core) &&
                          (!daemon->drain_us || daemon->core.draining),
                      daemon->settings->stop_limit_s)) {
    case STOP_NOTHING:
        break;
    case STOP_BEGIN:
        LOG_INFO("entry", "Stopping: no new keys, %u jobs to finish.",
                 daemon->core.open_jobs);
        if (Adapter_IsOn(daemon->settings)) {
            Ingress_Drain(&daemon->ingress, now.us + STOP_SERVE_US);
            daemon->drain_us = now.us + STOP_SERVE_US;
            break;
        }
        Ent_Drain(&daemon->core, now);
        break;
    case STOP_END:
        Loop_Stop(&daemon->loop);
        break;
    }
}

static void
on_tick(void *context)
{
    struct entry_daemon *daemon = context;
    struct now now = Loop_Now();
    Ent_OnTick(&daemon->core, now);
    if (Adapter_IsOn(daemon->settings)) {
        Ingress_OnTick(&daemon->ingress);
    }
    if (daemon->drain_us && now.us >= daemon->drain_us &&
        !daemon->core.draining) {
        Ent_Drain(&daemon->core, now);
    }
    if (Stop_TakeReload()) {
        LOG_INFO("entry", "SIGHUP: settings are read at the next start.");
    }
    Control_OnTick(&daemon->control, now);
    check_stop(daemon, now);
}

static void
on_flush(void *context)
{
    struct entry_daemon *daemon = context;
    Link_Flush(&daemon->links);
}

static int
start_core(struct entry_daemon *daemon, uint64_t incarnation, struct err *err)
{
    struct act_sink sink = {emit, daemon};
    struct ent_settings core = {
        .mode = strcmp(daemon->settings->placement, "baseline") == 0
                    ? ENT_BASELINE
                    : ENT_STANDARD,
        .incarnation = incarnation,
        .job_capacity = (uint32_t)daemon->settings->job_capacity,
        .peer_capacity = (uint32_t)daemon->settings->member_capacity,
        .key_lifetime_s = (uint32_t)daemon->settings->key_lifetime_s,
        .check_fresh = !Adapter_IsOn(daemon->settings),
        .by_contact = (uint8_t)Adapter_IsOn(daemon->settings),
    };
    Adapter_Timing(daemon->settings, &core.timing);
    memcpy(core.dc, daemon->settings->data_centre, sizeof(core.dc));
    randombytes_buf(core.seed, sizeof(core.seed));
    if (Ent_Init(&daemon->core, &core, Loop_Now(), sink, &daemon->counters)) {
        return Err_Set(err, CODE_NO_MEMORY, "no memory for the tables");
    }
    return 0;
}

static int
start_control(struct entry_daemon *daemon, struct err *err)
{
    struct control *control = &daemon->control;
    control->settings = daemon->settings;
    control->store = &daemon->store;
    control->links = &daemon->links;
    control->httpd = &daemon->httpd;
    control->core = &daemon->core;
    control->registry = &daemon->registry;
    control->counters = &daemon->counters;
    if (Control_Init(control, Loop_Now())) {
        return Err_Set(err, CODE_NO_MEMORY, "no memory for the rows");
    }
    return 0;
}

static int
start(struct entry_daemon *daemon, struct err *err)
{
    const struct settings *settings = daemon->settings;
    const char *cert =
        settings->tls_certificate[0] ? settings->tls_certificate : NULL;
    const char *key = settings->tls_key[0] ? settings->tls_key : NULL;
    struct frame_head head;
    uint64_t incarnation = Adapter_DrawIncarnation();
    Key_Derive(&daemon->secret, settings->cluster_key);
    Head_Fill(&head, settings, ROLE_ENTRY, incarnation);
    if (start_core(daemon, incarnation, err) ||
        Loop_Init(&daemon->loop, err) ||
        Link_Init(&daemon->links, &daemon->loop, settings->listen_internal,
                  &head, &daemon->secret, on_message, daemon,
                  &daemon->counters, err) ||
        Store_Init(&daemon->store, &daemon->loop, settings->table_service,
                   Adapter_Dialect(settings), &daemon->counters, err) ||
        Hs_Init(&daemon->httpd, &daemon->loop, settings->listen_http, cert,
                key, on_request, on_sent, daemon, &daemon->counters, err)) {
        return -1;
    }
    Reg_Init(&daemon->registry, &daemon->store, settings, incarnation,
             on_registered, daemon);
    if (start_control(daemon, err)) {
        return -1;
    }
    daemon->registry.keep = Adapter_IsOn(settings);
    if (Adapter_IsOn(settings)) {
        daemon->links.stranger = on_stranger;
        if (Ingress_Init(&daemon->ingress, &daemon->loop, &daemon->control,
                         err)) {
            return -1;
        }
        Store_Follow(&daemon->store, on_followed, daemon);
        Reg_Step(&daemon->registry);
    }
    Loop_OnFlush(&daemon->loop, on_flush, daemon);
    if (Loop_Every(&daemon->loop, &daemon->tick, TICK_US, on_tick, daemon) ||
        Loop_Every(&daemon->loop, &daemon->poll, POLL_US / 4, on_poll,
                   daemon)) {
        return Err_Set(err, CODE_SYSTEM, "no timer");
    }
    return 0;
}

int
Entry_Main(const struct settings *settings)
{
    static struct entry_daemon daemon;
    struct err err = {0};
    daemon.settings = settings;
    if (start(&daemon, &err)) {
        LOG_ERROR("entry", "Cannot start: %s.", err.text);
        return 1;
    }
    LOG_INFO("entry", "Serving on %s.", settings->listen_http);
    Loop_Run(&daemon.loop);
    LOG_INFO("entry", "Stopped.");
    Link_Finish(&daemon.links);
    Loop_Finish(&daemon.loop);
    Hs_Finish(&daemon.httpd);
    if (Adapter_IsOn(settings)) {
        Ingress_Finish(&daemon.ingress);
    }
    Store_Finish(&daemon.store);
    Ent_Finish(&daemon.core);
    Control_Finish(&daemon.control);
    return 0;
}
