#include "ingress.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "adapter.h"
#include "base/log.h"
#include "platform/ingress.h"

/* httpd.server_id of the two servers; the server of callers.h has 0. */
#define SERVER_ID_CALLERS 1
#define SERVER_ID_READINESS 2
/* Time without events, of which a timer makes one every few milliseconds,
 * after which this process has been paused. */
#define PAUSE_US (100 * US_PER_MS)
/* Retry-After of refusals with status 503, in milliseconds. Refusals under
 * overload get theirs from Ent_CheckOverload(). */
#define RETRY_AFTER_MS 1000

/* Data of a connection whose caller waits for a job. */
struct pending_request {
    struct key key;
    uint64_t job; /* The caller's name for the job; any value may be one. */
    int has_job;  /* 0 for a request of another kind, or one refused. */
};

/* Returns 1 if an agent that is not silent offers a service. */
static int
has_usable_agent(const struct ingress *ingress, struct now now)
{
    uint32_t slot = 0;
    const struct ent_peer *peer;
    while ((peer = Tab_Next(&ingress->core->peers, &slot))) {
        if (peer->member.role == ROLE_AGENT && peer->service &&
            now.us - peer->heard_us <
                ingress->core->settings.timing.link_timeout_us) {
            return 1;
        }
    }
    return 0;
}

static void
on_readiness(void *context, const struct hs_request *request)
{
    struct ingress *ingress = context;
    int ready = !ingress->is_stopping && ingress->control->routes.version &&
                has_usable_agent(ingress, Loop_Now());
    int known = Pf_IsReadinessPath(request->path);
    Hs_ReplyJson(&ingress->readiness, request->conn,
                 !known  ? 404
                 : ready ? 200
                         : 503,
                 "{}");
}

static void
reply(struct ingress *ingress, conn_id conn, const struct pf_answer *answer)
{
    struct hs_reply http = {
        .status = answer->status,
        .type = "application/json",
        .body = {answer->body, (uint32_t)strlen(answer->body)},
        .retry_after_s = (answer->retry_after_ms + 999) / 1000,
    };
    if (Hs_Reply(&ingress->callers, conn, &http)) {
        CTR_INC(ingress->counters, answers_late);
    }
}

static void
refuse_with_retry(struct ingress *ingress, const struct hs_request *request,
                  enum code code, uint32_t retry_ms, const char *detail)
{
    struct pf_answer answer;
    Ctr_CountCode(ingress->counters, code);
    Pf_WriteError(&answer, code, retry_ms);
    LOG_INFO("callers",
             "Request refused. path=%.64s host=%.48s code=%s status=%d "
             "version=%" PRIu64 " detail=\"%.80s\"",
             request->path, request->host, Code_Name(code), answer.status,
             ingress->control->routes.version, detail);
    reply(ingress, request->conn, &answer);
}

static void
refuse(struct ingress *ingress, const struct hs_request *request,
       enum code code, const char *detail)
{
    refuse_with_retry(ingress, request, code,
                      Code_HttpStatus(code) == 503 ? RETRY_AFTER_MS : 0,
                      detail);
}

/* Returns 1 if the request was refused because this entry is short of
 * processor time. Called before the job is parsed, so that a refusal costs
 * little. */
static int
shed_load(struct ingress *ingress, const struct hs_request *request,
          uint64_t name)
{
    uint32_t retry_ms = 0;
    enum code code = Ent_CheckOverload(ingress->core, name, &retry_ms);
    if (code == CODE_OK) {
        return 0;
    }
    char detail[64];
    const struct ent_pressure *pressure = &ingress->core->pressure;
    snprintf(detail, sizeof(detail), "round_late_ms=%u refuse_percent=%u",
             (unsigned)(pressure->late_us / US_PER_MS),
             pressure->refuse_percent);
    refuse_with_retry(ingress, request, code, retry_ms, detail);
    return 1;
}

static void
fill_submission(struct submission *sub, const struct route *route,
                uint64_t name, uint32_t deadline_ms)
{
    memcpy(sub->service, route->service, sizeof(sub->service));
    memcpy(sub->kind, route->name, sizeof(sub->kind));
    sub->name = name;
    sub->deadline_ms = deadline_ms;
    sub->priority = route->priority < PRIO_COUNT
                        ? (enum priority)route->priority
                        : PRIO_BULK;
    sub->flags = SUB_RESTART;
    sub->max_attempts = route->max_attempts;
    sub->target_ms = route->target_ms;
    sub->stretch_percent = route->stretch_percent;
}

/* Returns the feature that a job needs and that is not supported, or "". */
static const char *
find_unsupported(const struct route *route, const struct pf_job *job)
{
    if (route->needs_advice) {
        return "route that needs advice";
    }
    if (job->unsupported) {
        return job->unsupported;
    }
    return job->is_durable ? "job stored for a later query" : "";
}

static void
submit(struct ingress *ingress, const struct hs_request *request,
       const struct route *route, uint64_t name)
{
    struct now now = Loop_Now();
    struct err err = {0};
    struct pf_job job;
    struct pending_request pending = {.job = name, .has_job = 1};
    if (shed_load(ingress, request, name)) {
        return;
    }
    if (Pf_ReadJob(&job, request->body, &err)) {
        refuse(ingress, request, err.code, err.text);
        return;
    }
    enum code code = CODE_OK;
    const char *detail = find_unsupported(route, &job);
    if (detail[0]) {
        code = CODE_NOT_SERVED;
    }
    else if (ingress->refuse_from_us && now.us >= ingress->refuse_from_us) {
        code = CODE_DRAINING;
    }
    else {
        code = Ent_IssueKeys(ingress->core, now, 1, &job.sub.key);
        detail = code == CODE_NO_MEMORY ? "no key range is owned" : "";
    }
    if (code != CODE_OK) {
        refuse(ingress, request, code, detail);
        Pf_FreeJob(&job);
        return;
    }
    fill_submission(&job.sub, route, name,
                    Pf_ReadDeadline(request->extra_value, route));
    pending.key = job.sub.key;
    Hs_SetUser(&ingress->callers, request->conn, &pending, sizeof(pending));
    LOG_INFO("callers",
             "Job received. job=%016" PRIx64
             " route=%s steps=%u tasks=%u cpu=%u "
             "estimate_ms=%u deadline_ms=%u wait=%.12s timeout_ms=%u "
             "routes_version=%" PRIu64,
             name, route->name, job.sub.step_count, job.sub.task_count,
             job.steps[0].need.cpu, job.tasks[0].run_ms, job.sub.deadline_ms,
             request->extra_value, route->timeout_ms,
             ingress->control->routes.version);
    Ent_OnSubmit(ingress->core, now, request->conn, &job.sub);
    Pf_FreeJob(&job);
}

static void
cancel(struct ingress *ingress, const struct hs_request *request,
       uint64_t name)
{
    struct pf_answer answer;
    int is_open = Ent_CancelJobByName(ingress->core, name);
    Pf_WriteState(&answer, is_open, 1);
    reply(ingress, request->conn, &answer);
}

static void
show_job(struct ingress *ingress, const struct hs_request *request,
         uint64_t name)
{
    struct pf_answer answer;
    int is_running = 0;
    int is_open = Ent_FindJobByName(ingress->core, name, &is_running);
    Pf_WriteState(&answer, is_open, is_running);
    reply(ingress, request->conn, &answer);
}

static void
show_queue(struct ingress *ingress, const struct hs_request *request,
           const struct route *route)
{
    struct pf_answer answer;
    Pf_WriteWaiting(&answer, Ent_CountWaiting(ingress->core, route->name));
    reply(ingress, request->conn, &answer);
}

void
Ingress_OnEvent(struct ingress *ingress, struct now now)
{
    if (ingress->event_us && now.us - ingress->event_us > PAUSE_US) {
        Hs_DropLeft(&ingress->callers);
    }
    ingress->event_us = now.us;
}

static void
on_caller_request(void *context, const struct hs_request *request)
{
    struct ingress *ingress = context;
    Ingress_OnEvent(ingress, Loop_Now());
    const struct route_table *routes = &ingress->control->routes;
    struct pf_path path;
    if (routes->version == 0) {
        refuse(ingress, request, CODE_NOT_FRESH, "no routes received yet");
        return;
    }
    const struct route *route =
        Route_Find(routes, request->host, request->path);
    if (!route) {
        refuse(ingress, request, CODE_NO_ROUTE, "");
        return;
    }
    Pf_ReadPath(&path, route, request->path);
    if (path.target == PF_JOB && request->method == HS_POST) {
        submit(ingress, request, route, path.name);
    }
    else if (path.target == PF_JOB && request->method == HS_GET) {
        show_job(ingress, request, path.name);
    }
    else if (path.target == PF_JOB && request->method == HS_DELETE) {
        cancel(ingress, request, path.name);
    }
    else if (path.target == PF_QUEUE && request->method == HS_GET) {
        show_queue(ingress, request, route);
    }
    else {
        refuse(ingress, request, CODE_NO_SUCH_PATH, "");
    }
}

static void
on_disconnect(void *context, conn_id conn, const void *user)
{
    struct ingress *ingress = context;
    struct pending_request pending;
    memcpy(&pending, user, sizeof(pending));
    if (pending.has_job) {
        LOG_INFO("callers", "Caller disconnected. job=%016" PRIx64,
                 pending.job);
        Ent_OnCallerDisconnected(ingress->core, conn, &pending.key);
    }
}

int
Ingress_Init(struct ingress *ingress, struct loop *loop,
             struct control *control, struct err *err)
{
    const struct settings *settings = control->settings;
    memset(ingress, 0, sizeof(*ingress));
    ingress->control = control;
    ingress->core = control->core;
    ingress->counters = control->counters;
    if (Hs_Init(&ingress->callers, loop, settings->listen_callers, NULL, NULL,
                on_caller_request, NULL, ingress, control->counters, err) ||
        Hs_Init(&ingress->readiness, loop, settings->listen_readiness, NULL,
                NULL, on_readiness, NULL, ingress, control->counters, err)) {
        return -1;
    }
    ingress->callers.server_id = SERVER_ID_CALLERS;
    ingress->callers.extra_name = pf_deadline_header;
    ingress->callers.closed = on_disconnect;
    ingress->readiness.server_id = SERVER_ID_READINESS;
    return 0;
}

void
Ingress_Finish(struct ingress *ingress)
{
    Hs_Finish(&ingress->callers);
    Hs_Finish(&ingress->readiness);
}

void
Ingress_Reply(struct ingress *ingress, conn_id conn,
              const struct answer *answer)
{
    struct pf_answer out;
    struct pending_request pending = {.job = 0};
    uint64_t since_us = 0;
    Pf_WriteOutcome(&out, answer->code, answer->retry_after_ms);
    if (Hs_GetUser(&ingress->callers, conn, &pending, sizeof(pending),
                   &since_us) == 0) {
        LOG_INFO("callers",
                 "Job answered. job=%016" PRIx64 " code=%s status=%d "
                 "after_ms=%" PRIu64 " retry_after_ms=%u detail=\"%s\"",
                 pending.job, Code_Name(answer->code), out.status,
                 (uint64_t)((Loop_Now().us - since_us) / US_PER_MS),
                 out.retry_after_ms, answer->detail);
    }
    reply(ingress, conn, &out);
}

void
Ingress_OnTick(struct ingress *ingress)
{
    uint32_t limit = ingress->control->routes.max_body;
    ingress->callers.max_body =
        limit && limit < HS_MAX_BODY ? limit : HS_MAX_BODY;
}

void
Ingress_Drain(struct ingress *ingress, uint64_t until_us)
{
    ingress->is_stopping = 1;
    ingress->refuse_from_us = until_us;
    ingress->callers.close_after_reply = 1;
}
