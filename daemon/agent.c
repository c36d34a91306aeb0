/* The agent role: accepts tasks from entries and runs them on its upstream. */
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapter.h"
#include "agent_config.h"
#include "base/log.h"
#include "call.h"
#include "daemon.h"
#include "log_event.h"
#include "orders.h"
#include "core/agent.h"
#include "shell/api.h"
#include "shell/httpc.h"
#include "shell/httpd.h"
#include "shell/link.h"
#include "shell/registry.h"

/* Interval at which an agent whose configuration is not confirmed to be
 * current verifies its own row; not used on the users' platform. */
#define UNCONFIRMED_VERIFY_US (10 * US_PER_S)

struct agent_daemon {
    const struct settings *settings;
    struct reload *reload;
    struct counters counters;
    struct key_secret secret;
    struct loop loop;
    struct links links;
    struct httpd httpd;
    struct calls calls;   /* Upstream with this project's protocol. */
    struct orders orders; /* Upstream with the platform's protocol. */
    struct store store;
    struct registry registry;
    struct agent core;
    struct agent_config config;
    char upstream_addr[WIRE_ADDR_SIZE];
    struct loop_timer tick;
    struct loop_timer poll;
    uint64_t next_verify_us;
    struct stop stop;
};

static void
on_task_end(void *context, tab_handle task, enum code code,
            struct bytes output, uint32_t run_us)
{
    struct agent_daemon *daemon = context;
    Ag_OnTaskEnd(&daemon->core, Loop_Now(), task, code, output, run_us);
}

static void
write_task_path(const struct agent_daemon *daemon,
                const struct msg_start *start, char *path, size_t size)
{
    char key[KEY_TEXT_SIZE];
    Key_Format(&start->key, &daemon->secret, key);
    snprintf(path, size, "/v1/tasks/%s/%u?kind=%s&lease_ms=%u", key,
             start->task, start->kind, start->lease_ms);
}

static void
run_task(struct agent_daemon *daemon, const struct act_run *run)
{
    char path[HS_PATH_SIZE];
    const struct msg_start *start = run->start;
    write_task_path(daemon, start, path, sizeof(path));
    Call_Run(&daemon->calls, run->task, daemon->upstream_addr, path,
             start->input, start->lease_ms);
}

static void
emit(void *context, const struct act *act)
{
    struct agent_daemon *daemon = context;
    switch (act->type) {
    case ACT_SEND:
        Link_Send(&daemon->links, act->u.send.to, act->u.send.msg);
        break;
    case ACT_LINK:
        Link_Open(&daemon->links, act->u.link.peer, act->u.link.addr);
        break;
    case ACT_UNLINK:
        Link_Close(&daemon->links, act->u.link.peer);
        break;
    case ACT_RUN:
        if (Adapter_IsOn(daemon->settings)) {
            Orders_Run(&daemon->orders, &act->u.run);
        }
        else {
            run_task(daemon, &act->u.run);
        }
        break;
    case ACT_STOP:
        if (Adapter_IsOn(daemon->settings)) {
            Orders_Stop(&daemon->orders, act->u.stop.task);
        }
        else {
            Call_Stop(&daemon->calls, act->u.stop.task);
        }
        break;
    case ACT_LOG_EVENT:
        LogEvent_Write("tasks", &act->u.log_event);
        break;
    case ACT_REPLY:
        break;
    }
}

static void
on_message(void *context, const struct frame_header *header,
           const struct msg *msg)
{
    struct agent_daemon *daemon = context;
    if (msg->type == MSG_STATE && header->role == ROLE_ENTRY) {
        AgentConfig_OnState(&daemon->config, Loop_Now(), &msg->u.state);
        return;
    }
    Ag_OnMessage(&daemon->core, Loop_Now(), header, msg);
}

static void
on_unknown_peer(void *context, const struct frame_header *header)
{
    struct agent_daemon *daemon = context;
    Ag_OnUnknownPeer(&daemon->core, Loop_Now(), header);
}

static void
reply_error(struct agent_daemon *daemon, conn_id conn, enum code code,
            const char *detail)
{
    char *text = Api_WriteError(code, detail);
    Ctr_CountCode(&daemon->counters, code);
    Hs_ReplyJson(&daemon->httpd, conn, Code_HttpStatus(code),
                 text ? text : "{}");
    free(text);
}

static void
handle_announce(struct agent_daemon *daemon, const struct hs_request *request)
{
    struct ag_announce announcement = {0};
    const char *service = NULL;
    const char *address = NULL;
    int slots = 0;
    int connections = 0;
    int memory_mb = 0;
    int cores = 0;
    int running = 0;
    int leaving = 0;
    json_t *root = json_loadb(request->body.data ? request->body.data : "",
                              request->body.size, 0, NULL);
    int is_invalid =
        json_unpack(root, "{s:s,s:s,s:i,s:i,s?i,s?i,s?i,s?b}", "service",
                    &service, "address", &address, "slots", &slots,
                    "connections", &connections, "memory_mb", &memory_mb,
                    "cores", &cores, "running", &running, "leaving", &leaving);
    if (is_invalid || strlen(service) >= WIRE_NAME_SIZE ||
        strlen(address) >= WIRE_ADDR_SIZE || slots < 1 || slots > 1024 ||
        connections < 1 || connections > HC_MAX_CALLS || memory_mb < 0 ||
        cores < 0 || running < 0) {
        json_decref(root);
        reply_error(daemon, request->conn, CODE_BAD_FIELD,
                    "service must be a string of at most 31 bytes, address "
                    "one of at most 47, slots 1 to 1024, connections 1 to "
                    "128, memory_mb, cores and running at least 0");
        return;
    }
    strncpy(announcement.service, service, sizeof(announcement.service) - 1);
    strncpy(daemon->upstream_addr, address, sizeof(daemon->upstream_addr) - 1);
    announcement.slots = (uint32_t)slots;
    announcement.connections = (uint32_t)connections;
    announcement.memory_mb = (uint32_t)memory_mb;
    announcement.cores = (uint32_t)cores;
    announcement.running = (uint32_t)running;
    announcement.leaving = (uint8_t)leaving;
    Ag_OnAnnounce(&daemon->core, Loop_Now(), &announcement);
    json_decref(root);
    Hs_ReplyJson(&daemon->httpd, request->conn, 200,
                 "{\"renew_within_ms\":3000}");
}

static void
reply_counters(struct agent_daemon *daemon, conn_id conn)
{
    static char text[32768];
    int size = Ctr_Print(&daemon->counters, text, sizeof(text));
    struct hs_reply reply = {
        .status = 200,
        .type = "text/plain",
        .body = {text, (uint32_t)size},
    };
    Hs_Reply(&daemon->httpd, conn, &reply);
}

static void
on_request(void *context, const struct hs_request *request)
{
    struct agent_daemon *daemon = context;
    if (request->method == HS_POST &&
        strcmp(request->path, "/v1/announce") == 0) {
        handle_announce(daemon, request);
    }
    else if (request->method == HS_GET &&
             strcmp(request->path, "/metrics") == 0) {
        reply_counters(daemon, request->conn);
    }
    else {
        reply_error(daemon, request->conn, CODE_NO_SUCH_PATH, request->path);
    }
}

static void
on_poll(void *context)
{
    struct agent_daemon *daemon = context;
    struct now now = Loop_Now();
    Reg_Step(&daemon->registry);
    if (Adapter_IsOn(daemon->settings)) {
        if (now.us >= daemon->next_verify_us) {
            daemon->next_verify_us = now.us + PLATFORM_VERIFY_US;
            Reg_Verify(&daemon->registry);
        }
        return;
    }
    /* Entries stop updating an agent whose row is gone, so its configuration
     * is no longer confirmed. */
    if (Ag_IsFresh(&daemon->core, now)) {
        daemon->next_verify_us = now.us + UNCONFIRMED_VERIFY_US;
    }
    else if (now.us >= daemon->next_verify_us) {
        daemon->next_verify_us = now.us + UNCONFIRMED_VERIFY_US;
        Reg_Verify(&daemon->registry);
    }
}

static void
on_registered(void *context, uint64_t version)
{
    struct agent_daemon *daemon = context;
    LOG_INFO("registry",
             "Agent registered in the table service as %s at version %llu.",
             daemon->settings->node, (unsigned long long)version);
    Ag_OnRegistered(&daemon->core, version);
}

static void
on_saved_state(void *context, const json_t *state)
{
    struct agent_daemon *daemon = context;
    Orders_RestoreUpstream(&daemon->orders, state);
}

static void
save_upstream(void *context)
{
    struct agent_daemon *daemon = context;
    Reg_SetSavedState(&daemon->registry, Orders_SaveUpstream(&daemon->orders));
}

static void
check_stop(struct agent_daemon *daemon, struct now now)
{
    switch (Stop_Step(&daemon->stop, now, daemon->registry.row_lost,
                      Ag_IsIdle(&daemon->core),
                      daemon->settings->stop_limit_s)) {
    case STOP_NOTHING:
        break;
    case STOP_BEGIN:
        LOG_INFO("agent",
                 "Agent is stopping: no new tasks are accepted, %u are left "
                 "to finish.",
                 daemon->core.busy + daemon->core.requests);
        Ag_Drain(&daemon->core, now);
        break;
    case STOP_END:
        Loop_Stop(&daemon->loop);
        break;
    }
}

static void
on_tick(void *context)
{
    struct agent_daemon *daemon = context;
    struct now now = Loop_Now();
    Ag_OnTick(&daemon->core, now);
    if (Adapter_IsOn(daemon->settings)) {
        Orders_OnTick(&daemon->orders, now);
    }
    Reload_OnTick(daemon->reload, now);
    AgentConfig_OnTick(&daemon->config, now);
    check_stop(daemon, now);
}

static void
on_flush(void *context)
{
    struct agent_daemon *daemon = context;
    Call_Flush(&daemon->calls);
    Link_Flush(&daemon->links);
}

static int
start(struct agent_daemon *daemon, struct err *err)
{
    const struct settings *settings = daemon->settings;
    struct act_sink sink = {emit, daemon};
    struct frame_header header;
    uint64_t incarnation = Adapter_NewIncarnation();
    struct ag_settings core = {
        .incarnation = incarnation,
        .task_capacity = (uint32_t)settings->task_capacity,
        .key_lifetime_s = (uint32_t)settings->key_lifetime_s,
        .require_fresh = !Adapter_IsOn(settings),
    };
    Adapter_Timing(settings, &core.timing);
    daemon->config.settings = settings;
    daemon->config.core = &daemon->core;
    daemon->config.counters = &daemon->counters;
    Key_Derive(&daemon->secret, settings->cluster_key);
    Header_Fill(&header, settings, ROLE_AGENT, incarnation);
    if (Ag_Init(&daemon->core, &core, sink, &daemon->counters)) {
        return Err_Set(err, CODE_NO_MEMORY,
                       "no memory for the agent's tables");
    }
    if (Loop_Init(&daemon->loop, err)) {
        return -1;
    }
    Loop_SetLimits(&daemon->loop, (uint64_t)settings->memory_mb,
                   (uint64_t)settings->descriptors);
    if (Link_Init(&daemon->links, &daemon->loop, settings->listen_internal,
                  &header, &daemon->secret, on_message, daemon,
                  &daemon->counters, err) ||
        Store_Init(&daemon->store, &daemon->loop, settings->table_service,
                   Adapter_StoreProtocol(settings), &daemon->counters, err) ||
        Call_Init(&daemon->calls, &daemon->loop, on_task_end, daemon,
                  &daemon->counters, err) ||
        Hs_Init(&daemon->httpd, &daemon->loop, settings->listen_http, NULL,
                NULL, on_request, NULL, daemon, &daemon->counters, err)) {
        return -1;
    }
    /* An announcement stays true when its sender no longer waits. */
    daemon->httpd.handle_abandoned = 1;
    Reg_Init(&daemon->registry, &daemon->store, settings, incarnation,
             on_registered, daemon);
    daemon->registry.restore_row = Adapter_IsOn(settings);
    if (Adapter_IsOn(settings)) {
        daemon->links.unknown_peer = on_unknown_peer;
        if (Orders_Init(&daemon->orders, &daemon->loop, settings,
                        &daemon->core, &daemon->counters, err)) {
            return -1;
        }
        daemon->orders.save_upstream = save_upstream;
        daemon->orders.context = daemon;
        daemon->registry.restore = on_saved_state;
        Reg_Step(&daemon->registry);
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
Agent_Main(struct reload *reload)
{
    static struct agent_daemon daemon;
    struct err err = {0};
    const struct settings *settings = reload->settings;
    daemon.settings = settings;
    daemon.reload = reload;
    if (start(&daemon, &err)) {
        LOG_ERROR("agent", "Agent cannot start: %s.", err.text);
        return 1;
    }
    LOG_INFO("agent", "Agent is waiting for its upstream on %s.",
             settings->listen_http);
    Loop_Run(&daemon.loop);
    LOG_INFO("agent", "Stopped.");
    Log_Flush();
    Link_Finish(&daemon.links);
    Loop_Finish(&daemon.loop);
    Hs_Finish(&daemon.httpd);
    Call_Finish(&daemon.calls);
    if (Adapter_IsOn(settings)) {
        Orders_Finish(&daemon.orders);
        Reg_Finish(&daemon.registry);
    }
    Store_Finish(&daemon.store);
    Ag_Finish(&daemon.core);
    return 0;
}
