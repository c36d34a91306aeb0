/* The entry role: serves callers over HTTP and dispatches their tasks to
 * agents. */
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapter.h"
#include "base/log.h"
#include "callers.h"
#include "control.h"
#include "daemon.h"
#include "ingress.h"
#include "log_event.h"
#include "shell/link.h"
#include "shell/registry.h"

/* Agents that an idle entry exchanges heartbeats with. */
#define SUBSET_SIZE 24

struct entry_daemon {
    const struct settings *settings;
    struct reload *reload;
    struct counters counters;
    struct key_secret secret;
    struct loop loop;
    struct links links;
    struct callers callers;
    struct store store;
    struct registry registry;
    struct entry core;
    struct loop_timer tick;
    struct loop_timer poll;
    int poll_pending;
    uint64_t polled_us; /* When the pending read was sent. */
    struct control control;
    struct ingress ingress;
    uint64_t next_verify_us;
    uint32_t logged_choices; /* Of the subset of agents. */
    uint64_t next_subset_log_us;
    uint64_t drain_us; /* When the core starts to refuse new jobs, 0 for never;
                          platform adapter only. */
    struct stop stop;
};

/* Passes the answer to the server that accepted the request. */
static void
reply(struct entry_daemon *daemon, const struct act_reply *reply)
{
    if (Adapter_IsOn(daemon->settings) &&
        Hs_OwnsConn(&daemon->ingress.callers, reply->conn)) {
        Ingress_Reply(&daemon->ingress, reply->conn, reply->answer);
        return;
    }
    Callers_Reply(&daemon->callers, reply->conn, reply->answer);
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
        reply(daemon, &act->u.reply);
        break;
    case ACT_LINK:
        Link_Open(&daemon->links, act->u.link.peer, act->u.link.addr);
        break;
    case ACT_UNLINK:
        Link_Close(&daemon->links, act->u.link.peer);
        break;
    case ACT_LOG_EVENT:
        LogEvent_Write("jobs", &act->u.log_event);
        break;
    case ACT_RUN:
    case ACT_STOP:
        break;
    }
}

static void
before_event(struct entry_daemon *daemon)
{
    if (Adapter_IsOn(daemon->settings)) {
        Ingress_OnEvent(&daemon->ingress, Loop_Now());
    }
}

static void
on_message(void *context, const struct frame_header *header,
           const struct msg *msg)
{
    struct entry_daemon *daemon = context;
    before_event(daemon);
    if (msg->type == MSG_STATE) {
        Rows_OnState(&daemon->control, header, &msg->u.state);
        return;
    }
    Ent_OnMessage(&daemon->core, Loop_Now(), header, msg);
}

static void
on_unknown_peer(void *context, const struct frame_header *header)
{
    struct entry_daemon *daemon = context;
    Ent_OnUnknownPeer(&daemon->core, Loop_Now(), header);
}

static void
on_poll_read(void *context, const struct store_result *result)
{
    struct entry_daemon *daemon = context;
    daemon->poll_pending = 0;
    if (result->code == CODE_OK) {
        Rows_OnRead(&daemon->control, result->body, daemon->polled_us);
    }
}

static void
on_followed_rows(void *context, const struct store_result *result)
{
    struct entry_daemon *daemon = context;
    before_event(daemon);
    Rows_OnRead(&daemon->control, result->body,
                Store_OldestReadUs(&daemon->store));
}

/* On the users' platform the tables are followed instead of polled. */
static void
poll_platform(struct entry_daemon *daemon)
{
    struct now now = Loop_Now();
    Reg_Step(&daemon->registry);
    Store_OnTick(&daemon->store, now);
    if (now.us >= daemon->next_verify_us) {
        daemon->next_verify_us = now.us + PLATFORM_VERIFY_US;
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
    if (!daemon->registry.registered_version) {
        Reg_Step(&daemon->registry);
    }
    else if (!daemon->poll_pending) {
        daemon->poll_pending = 1;
        daemon->polled_us = Loop_Now().us;
        Store_Read(&daemon->store, daemon->core.registry_version, on_poll_read,
                   daemon);
    }
}

static void
on_registered(void *context, uint64_t version)
{
    struct entry_daemon *daemon = context;
    LOG_INFO("registry",
             "Entry registered in the table service as %s at version %llu.",
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
        daemon->callers.is_stopping = 1;
        LOG_INFO("entry",
                 "Entry is stopping: no new keys are issued, %u jobs are left "
                 "to finish.",
                 daemon->core.open_jobs);
        if (Adapter_IsOn(daemon->settings)) {
            Ingress_Drain(&daemon->ingress, now.us + STOP_ACCEPT_US);
            daemon->drain_us = now.us + STOP_ACCEPT_US;
            break;
        }
        Ent_Drain(&daemon->core, now);
        break;
    case STOP_END:
        Loop_Stop(&daemon->loop);
        break;
    }
}

/* Logs when the entry begins or ceases to refuse jobs for lack of processor
 * time. */
static void
log_overload(const struct entry_daemon *daemon, uint32_t previous_percent)
{
    const struct ent_pressure *pressure = &daemon->core.pressure;
    if ((previous_percent == 0) == (pressure->refuse_percent == 0)) {
        return;
    }
    LOG_WARN(
        "entry", "%s late_ms=%u open_jobs=%u",
        pressure->refuse_percent
            ? "Entry is short of processor time: some new jobs are refused."
            : "Entry has enough processor time again: all jobs are accepted.",
        (unsigned)(pressure->late_us / US_PER_MS), daemon->core.open_jobs);
}

/* Members come one by one while the fleet starts: at most one line a second.
 */
static void
log_subset(struct entry_daemon *daemon, struct now now)
{
    const struct ent_subset *subset = &daemon->core.subset;
    if (subset->choices == daemon->logged_choices ||
        now.us < daemon->next_subset_log_us) {
        return;
    }
    daemon->logged_choices = subset->choices;
    daemon->next_subset_log_us = now.us + US_PER_S;
    LOG_INFO("entry",
             "Subset of agents chosen. agents=%u known_agents=%u "
             "homes_per_agent=%u live_entries=%u",
             subset->size, subset->agents, subset->homes, subset->entries);
}

static void
on_tick(void *context)
{
    struct entry_daemon *daemon = context;
    struct now now = Loop_Now();
    uint32_t refused_percent = daemon->core.pressure.refuse_percent;
    before_event(daemon);
    Ent_OnTick(&daemon->core, now);
    log_overload(daemon, refused_percent);
    log_subset(daemon, now);
    if (Adapter_IsOn(daemon->settings)) {
        Ingress_OnTick(&daemon->ingress);
    }
    if (daemon->drain_us && now.us >= daemon->drain_us &&
        !daemon->core.draining) {
        Ent_Drain(&daemon->core, now);
    }
    Reload_OnTick(daemon->reload, now);
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
        .require_fresh = !Adapter_IsOn(daemon->settings),
        .keep_heard_members = (uint8_t)Adapter_IsOn(daemon->settings),
        .tick_us = TICK_US,
        .subset_size = Adapter_IsOn(daemon->settings) ? SUBSET_SIZE : 0,
    };
    Adapter_Timing(daemon->settings, &core.timing);
    memcpy(core.node, daemon->settings->node, sizeof(core.node));
    memcpy(core.dc, daemon->settings->data_centre, sizeof(core.dc));
    randombytes_buf(core.seed, sizeof(core.seed));
    if (Ent_Init(&daemon->core, &core, Loop_Now(), sink, &daemon->counters)) {
        return Err_Set(err, CODE_NO_MEMORY,
                       "no memory for the tables of jobs and members");
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
    control->httpd = &daemon->callers.httpd;
    control->core = &daemon->core;
    control->registry = &daemon->registry;
    control->counters = &daemon->counters;
    if (Control_Init(control, Loop_Now())) {
        return Err_Set(err, CODE_NO_MEMORY,
                       "no memory for the rows of the table service");
    }
    return 0;
}

static int
start_platform(struct entry_daemon *daemon, struct err *err)
{
    daemon->registry.restore_row = 1;
    daemon->links.unknown_peer = on_unknown_peer;
    if (Ingress_Init(&daemon->ingress, &daemon->loop, &daemon->control, err)) {
        return -1;
    }
    Store_Follow(&daemon->store, on_followed_rows, daemon);
    Reg_Step(&daemon->registry);
    return 0;
}

static int
start(struct entry_daemon *daemon, struct err *err)
{
    const struct settings *settings = daemon->settings;
    struct frame_header header;
    uint64_t incarnation = Adapter_NewIncarnation();
    Key_Derive(&daemon->secret, settings->cluster_key);
    Header_Fill(&header, settings, ROLE_ENTRY, incarnation);
    if (start_core(daemon, incarnation, err) ||
        Loop_Init(&daemon->loop, err)) {
        return -1;
    }
    Loop_SetLimits(&daemon->loop, (uint64_t)settings->memory_mb,
                   (uint64_t)settings->descriptors);
    if (Link_Init(&daemon->links, &daemon->loop, settings->listen_internal,
                  &header, &daemon->secret, on_message, daemon,
                  &daemon->counters, err) ||
        Store_Init(&daemon->store, &daemon->loop, settings->table_service,
                   Adapter_StoreProtocol(settings), &daemon->counters, err)) {
        return -1;
    }
    Reg_Init(&daemon->registry, &daemon->store, settings, incarnation,
             on_registered, daemon);
    if (start_control(daemon, err) ||
        Callers_Init(&daemon->callers, &daemon->loop, &daemon->control,
                     &daemon->secret, err)) {
        return -1;
    }
    if (Adapter_IsOn(settings) && start_platform(daemon, err)) {
        return -1;
    }
    Loop_OnFlush(&daemon->loop, on_flush, daemon);
    if (Loop_Every(&daemon->loop, &daemon->tick, TICK_US, on_tick, daemon) ||
        Loop_Every(&daemon->loop, &daemon->poll, POLL_US / 4, on_poll,
                   daemon)) {
        return Err_Set(err, CODE_SYSTEM,
                       "cannot create the tick and poll timers");
    }
    return 0;
}

int
Entry_Main(struct reload *reload)
{
    static struct entry_daemon daemon;
    struct err err = {0};
    const struct settings *settings = reload->settings;
    daemon.settings = settings;
    daemon.reload = reload;
    if (start(&daemon, &err)) {
        LOG_ERROR("entry", "Entry cannot start: %s.", err.text);
        return 1;
    }
    LOG_INFO("entry", "Entry is serving callers on %s.",
             settings->listen_http);
    Loop_Run(&daemon.loop);
    LOG_INFO("entry", "Stopped.");
    Log_Flush();
    Link_Finish(&daemon.links);
    Loop_Finish(&daemon.loop);
    Callers_Finish(&daemon.callers);
    if (Adapter_IsOn(settings)) {
        Ingress_Finish(&daemon.ingress);
    }
    Store_Finish(&daemon.store);
    Ent_Finish(&daemon.core);
    Control_Finish(&daemon.control);
    return 0;
}
