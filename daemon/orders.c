#include "orders.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/addr.h"
#include "base/log.h"
#include "shell/registry.h"
#include "shell/settings.h"

/* Connections to the upstream, and those left for polls, of which two are
 * pending at a time, and for claimants. */
#define MAX_CONNECTIONS 48
#define RESERVED_CONNECTIONS 4
/* The timeout of an order is this multiple of the average time to a reply,
 * within the bounds below. An order that timed out may still be carried out
 * later. */
#define TIMEOUT_FACTOR 8
#define MIN_TIMEOUT_MS 30
#define MAX_TIMEOUT_MS 150
/* Largest fence that is restored: JSON numbers are exact up to it. */
#define MAX_SAVED_FENCE ((json_int_t)1 << 53)
/* Weight of one reply in the moving average of avg_reply_ms. */
#define REPLY_WEIGHT 0.1

/* An order that waits for its reply. */
struct order_call {
    struct orders *orders;
    enum rn_act_type type;
    tab_handle run;
    uint32_t poll;
    struct rn_id id;
    uint64_t born_ms; /* Of the instance that it was sent to. */
    uint64_t sent_us;
};

static const char *
reply_name(enum rn_reply reply)
{
    static const char *const names[] = {
        "done",    "no-answer", "unreached", "old-number",     "late",
        "no-room", "fenced",    "not-now",   "not-understood", "other-life",
    };
    return names[reply];
}

static const char *
evidence_name(enum rn_evidence evidence)
{
    static const char *const names[] = {"refused",  "elsewhere", "listed",
                                        "unlisted", "restarted", "crashed",
                                        "lapsed"};
    return names[evidence];
}

static void
on_poll_reply(struct order_call *call, const struct hc_result *http)
{
    static struct rn_view view;
    enum rn_reply reply =
        Pf_ReadView(http->status, http->sent, http->body, &view);
    if (reply != RN_DONE) {
        LOG_WARN("upstream", "Poll of the upstream failed. reply=%s status=%d",
                 reply_name(reply), http->status);
    }
    Rn_OnPoll(&call->orders->runner, Loop_Now(), call->poll, reply, &view);
}

static void
update_avg_reply(const struct order_call *call)
{
    struct orders *orders = call->orders;
    double ms = (double)(Loop_Now().us - call->sent_us) / (double)US_PER_MS;
    orders->avg_reply_ms += (ms - orders->avg_reply_ms) * REPLY_WEIGHT;
}

static uint32_t
timeout_ms(const struct orders *orders)
{
    double ms = orders->avg_reply_ms * TIMEOUT_FACTOR;
    if (ms < MIN_TIMEOUT_MS) {
        return MIN_TIMEOUT_MS;
    }
    return ms < MAX_TIMEOUT_MS ? (uint32_t)ms : MAX_TIMEOUT_MS;
}

static void
on_order_reply(struct order_call *call, const struct hc_result *http)
{
    struct runner *runner = &call->orders->runner;
    uint64_t clock_ms;
    enum rn_reply reply =
        Pf_ReadReply(http->status, http->sent, http->body, &clock_ms);
    if (reply != RN_DONE) {
        LOG_WARN("upstream",
                 "Order to the upstream failed. order=%s job=%016" PRIx64
                 " task=%u run=%u reply=%s status=%d",
                 call->type == RN_START ? "start" : "stop", call->id.job,
                 call->id.task, call->id.number, reply_name(reply),
                 http->status);
    }
    if (http->status != 0) {
        update_avg_reply(call);
    }
    if (call->type == RN_START) {
        Rn_OnStarted(runner, Loop_Now(), call->run, reply, clock_ms);
    }
    else {
        Rn_OnStopped(runner, Loop_Now(), call->run, reply, clock_ms);
    }
}

static void
on_reply(void *context, const struct hc_result *http)
{
    struct order_call *call = context;
    if (call->type == RN_POLL) {
        on_poll_reply(call, http);
    }
    else {
        on_order_reply(call, http);
    }
    if (http->refused) {
        Rn_OnConnectionRefused(&call->orders->runner, Loop_Now(),
                               call->born_ms, call->sent_us,
                               call->orders->heartbeat.announcement.leaving);
    }
    free(call);
}

/* An order for an instance that is known to be gone is not sent. */
static int
begin_order(void *context)
{
    struct order_call *call = context;
    call->sent_us = Loop_Now().us;
    return call->born_ms == call->orders->runner.born_ms ? 0 : -1;
}

static void
send_order(struct orders *orders, const struct rn_act *act)
{
    struct pf_order order;
    struct order_call *call = calloc(1, sizeof(*call));
    if (!call || Pf_WriteOrder(&order, act)) {
        abort();
    }
    call->orders = orders;
    call->type = act->type;
    call->run = act->run;
    call->poll = act->poll;
    call->id = act->id;
    call->born_ms = orders->runner.born_ms;
    struct hc_call http = {
        .addr = orders->address,
        .method = "POST",
        .path = order.path,
        .body = {order.body, (uint32_t)strlen(order.body)},
        .extra_name = pf_instance_header,
        .extra_value = orders->heartbeat.id,
        .timeout_ms = act->wait_ms + timeout_ms(orders),
        .done = on_reply,
        .context = call,
    };
    Cq_Add(&orders->queue, &http, act->type == RN_POLL);
    free(order.body);
}

static void
on_run_end(struct orders *orders, const struct rn_act *act)
{
    struct bytes none = {NULL, 0};
    LOG_INFO("upstream",
             "Run ended. job=%016" PRIx64
             " task=%u run=%u code=%s because=%s run_us=%u",
             act->id.job, act->id.task, act->id.number, Code_Name(act->code),
             evidence_name(act->evidence), act->run_us);
    Ag_OnTaskEnd(orders->core, Loop_Now(), act->task, act->code, none,
                 act->run_us);
}

static uint64_t
run_limit(void *context, tab_handle task)
{
    const struct orders *orders = context;
    return Ag_RunLimit(orders->core, task);
}

static void
on_crash(struct orders *orders, const struct rn_act *act)
{
    struct ag_suspect suspects[RN_MAX_SUSPECTS];
    CTR_INC(orders->counters, upstream_crashes);
    LOG_WARN(
        "upstream",
        "Upstream has crashed, its runs have ended. id=%s born_ms=%" PRIu64
        " runs=%u suspects=%u young=%u leaving=%d",
        orders->heartbeat.id, orders->runner.born_ms, orders->runner.runs.used,
        act->suspect_count, act->young_count,
        orders->heartbeat.announcement.leaving);
    for (uint32_t i = 0; i < act->suspect_count; i++) {
        const struct rn_suspect *suspect = &act->suspects[i];
        LOG_INFO("upstream",
                 "Run was there at the crash. job=%016" PRIx64
                 " task=%u run=%u age_us=%" PRIu64 " begun=%d",
                 suspect->id.job, suspect->id.task, suspect->id.number,
                 suspect->age_us, suspect->has_begun);
        suspects[i] = (struct ag_suspect){suspect->task, suspect->has_begun};
    }
    Ag_OnUpstreamCrash(orders->core, Loop_Now(), act->ago_us, suspects,
                       act->suspect_count, act->young_count);
}

static void
emit(void *context, const struct rn_act *act)
{
    struct orders *orders = context;
    switch (act->type) {
    case RN_START:
    case RN_POLL:
        Ag_OnLease(orders->core, act->leased_until_us);
        send_order(orders, act);
        break;
    case RN_STOP:
        send_order(orders, act);
        break;
    case RN_END:
        on_run_end(orders, act);
        break;
    case RN_CRASH:
        on_crash(orders, act);
        break;
    case RN_RESTART:
        LOG_WARN("upstream",
                 "Upstream has restarted, what it runs is requested. id=%s "
                 "born_ms=%" PRIu64 " earlier_born_ms=%" PRIu64
                 " unsettled=%u",
                 orders->heartbeat.id, orders->runner.born_ms,
                 act->earlier_born_ms, act->unsettled_count);
        break;
    case RN_READY:
        if (orders->heartbeat.born_ms != orders->runner.born_ms) {
            /* The last heartbeat is from an earlier instance. What this one
             * offers is known only from its own first heartbeat. */
            break;
        }
        LOG_INFO("upstream",
                 "Upstream is usable. id=%s born_ms=%" PRIu64 " fence=%" PRIu64
                 " cpu=%u",
                 orders->heartbeat.id, orders->runner.born_ms,
                 orders->runner.fence,
                 orders->heartbeat.announcement.capacity.cpu);
        Ag_OnAnnounce(orders->core, Loop_Now(),
                      &orders->heartbeat.announcement);
        orders->save_upstream(orders->context);
        break;
    case RN_GONE:
        LOG_WARN("upstream", "Upstream is not usable. id=%s born_ms=%" PRIu64,
                 orders->heartbeat.id, orders->runner.born_ms);
        Ag_OnUpstreamGone(orders->core, Loop_Now());
        break;
    }
}

static void
on_request(void *context, const struct hs_request *request)
{
    struct orders *orders = context;
    struct pf_heartbeat heartbeat = {0};
    struct err err = {0};
    int status = 200;
    char id[PF_UPSTREAM_ID_SIZE];
    switch (Pf_ReadUpstreamPath(request->path, id, sizeof(id))) {
    case PF_HEARTBEAT:
        memcpy(heartbeat.id, id, sizeof(heartbeat.id));
        if (Pf_ReadHeartbeat(&heartbeat, request->body, &err)) {
            CTR_INC(orders->counters, beats_bad);
            LOG_WARN("upstream",
                     "Invalid heartbeat rejected. id=%.64s fault=\"%s\"", id,
                     err.text);
            status = 400;
            break;
        }
        status = Hb_Receive(orders, &heartbeat);
        break;
    case PF_LEAVE:
        Hb_Leave(orders, id);
        break;
    case PF_NO_CALL:
        status = 404;
        break;
    }
    Hs_ReplyJson(&orders->httpd, request->conn, status, "{}");
}

int
Orders_Init(struct orders *orders, struct loop *loop,
            const struct settings *settings, struct agent *core,
            struct counters *counters, struct err *err)
{
    struct rn_sink sink = {emit, run_limit, orders};
    uint64_t lease_us =
        Timing_Lease(&core->settings.timing,
                     (uint64_t)settings->upstream_lease_ms * US_PER_MS);
    memset(orders, 0, sizeof(*orders));
    orders->settings = settings;
    orders->core = core;
    orders->counters = counters;
    if (Rn_Init(&orders->runner, lease_us,
                (uint64_t)settings->upstream_lease_ms * US_PER_MS,
                (uint64_t)settings->upstream_stop_ms * US_PER_MS, sink,
                counters)) {
        return Err_Set(err, CODE_NO_MEMORY,
                       "no memory for the upstream's runs");
    }
    if (Hc_Init(&orders->http, loop, MAX_CONNECTIONS, err) ||
        Hs_Init(&orders->httpd, loop, settings->listen_upstream, NULL, NULL,
                on_request, NULL, orders, counters, err)) {
        return -1;
    }
    Cq_Init(&orders->queue, &orders->http, MAX_CONNECTIONS,
            RESERVED_CONNECTIONS, begin_order, counters);
    /* A heartbeat stays true when its sender no longer waits; an outdated one
     * is recognised by its sequence number. */
    orders->httpd.handle_abandoned = 1;
    return 0;
}

void
Orders_Finish(struct orders *orders)
{
    Hs_Finish(&orders->httpd);
    Cq_Finish(&orders->queue);
    Hc_Finish(&orders->http);
    Rn_Finish(&orders->runner);
}

json_t *
Orders_SaveUpstream(const struct orders *orders)
{
    const struct pf_heartbeat *heartbeat = &orders->heartbeat;
    const struct resources *all = &heartbeat->announcement.capacity;
    const struct labels *labels = &heartbeat->announcement.labels;
    json_t *names = json_array();
    for (uint32_t i = 0; i < labels->count; i++) {
        json_array_append_new(names, json_string(labels->names[i]));
    }
    return json_pack("{s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:b,s:I,s:o}", "id",
                     heartbeat->id, "address", heartbeat->address, "service",
                     heartbeat->announcement.service, "born_ms",
                     (json_int_t)heartbeat->born_ms, "cpu",
                     (json_int_t)all->cpu, "memory_mb",
                     (json_int_t)all->memory_mb, "gpu", (json_int_t)all->gpu,
                     "leaving", heartbeat->announcement.leaving, "fence",
                     (json_int_t)orders->runner.fence, "labels", names);
}

void
Orders_RestoreUpstream(struct orders *orders, const json_t *saved)
{
    struct pf_heartbeat heartbeat = {0};
    size_t i;
    const json_t *label;
    const char *id;
    const char *address;
    const char *service;
    struct resources all;
    json_int_t born_ms;
    int leaving = 0;
    json_int_t fence = json_integer_value(json_object_get(saved, "fence"));
    if (fence > 0 && fence <= MAX_SAVED_FENCE) {
        Rn_Restore(&orders->runner, Loop_Now(), (uint64_t)fence);
    }
    if (orders->has_heartbeat ||
        json_unpack((json_t *)saved, "{s:s,s:s,s:s,s:I,s?b}", "id", &id,
                    "address", &address, "service", &service, "born_ms",
                    &born_ms, "leaving", &leaving) ||
        Reg_ReadCapacity(&all, saved) || !Addr_IsNumeric(address) ||
        born_ms < 0) {
        return;
    }
    snprintf(heartbeat.id, sizeof(heartbeat.id), "%s", id);
    snprintf(heartbeat.address, sizeof(heartbeat.address), "%s", address);
    heartbeat.born_ms = (uint64_t)born_ms;
    Pf_FillAnnouncement(&heartbeat.announcement, service, &all);
    json_array_foreach(json_object_get(saved, "labels"), i, label)
    {
        Labels_Add(&heartbeat.announcement.labels, json_string_value(label));
    }
    heartbeat.announcement.leaving = (uint8_t)leaving;
    LOG_INFO("upstream",
             "Upstream restored from the earlier process. id=%s leaving=%d",
             heartbeat.id, leaving);
    Hb_Receive(orders, &heartbeat);
}

void
Orders_Run(struct orders *orders, const struct act_run *run)
{
    LOG_INFO("upstream",
             "Run ordered. job=%016" PRIx64 " task=%u attempt=%u cpu=%u "
             "used_cpu=%u capacity_cpu=%u",
             run->start->name, run->start->task, run->start->attempt,
             run->start->need.cpu, orders->core->used.cpu,
             orders->core->upstream.capacity.cpu);
    Rn_Start(&orders->runner, Loop_Now(), run->task, run->start);
}

void
Orders_Stop(struct orders *orders, tab_handle task)
{
    Rn_Stop(&orders->runner, Loop_Now(), task);
}

void
Orders_OnTick(struct orders *orders, struct now now)
{
    Cq_OnTick(&orders->queue);
    Rn_OnTick(&orders->runner, now);
    Hb_OnTick(orders, now);
}
