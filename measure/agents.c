/* Many agents in one process, without upstreams: each has its own address,
 * registration, links, state machine and configuration. For measuring how
 * changes reach them. Usage: measure-agents SETTINGS COUNT FIRST_PORT */
#include <sodium.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../daemon/agent_config.h"
#include "base/log.h"
#include "shell/link.h"
#include "shell/registry.h"

#define TICK_US 10000ull
#define REGISTRY_POLL_US 100000ull
#define DATA_CENTRES 6

struct hosted_agent {
    struct settings settings;
    struct links links;
    struct registry registry;
    struct agent core;
    struct agent_config config;
};

static struct {
    struct loop loop;
    struct store store;
    struct counters counters;
    struct key_secret secret;
    struct loop_timer tick;
    struct loop_timer poll;
    struct hosted_agent **items;
    int count;
} fleet;

static void
emit(void *context, const struct act *act)
{
    struct hosted_agent *one = context;
    switch (act->type) {
    case ACT_SEND:
        Link_Send(&one->links, act->u.send.to, act->u.send.msg);
        break;
    case ACT_LINK:
        Link_Open(&one->links, act->u.link.peer, act->u.link.addr);
        break;
    case ACT_UNLINK:
        Link_Close(&one->links, act->u.link.peer);
        break;
    default:
        break;
    }
}

static void
on_message(void *context, const struct frame_header *head,
           const struct msg *msg)
{
    struct hosted_agent *one = context;
    if (msg->type == MSG_STATE && head->role == ROLE_ENTRY) {
        AgentConfig_OnState(&one->config, Loop_Now(), &msg->u.state);
        return;
    }
    Ag_OnMessage(&one->core, Loop_Now(), head, msg);
}

static void
on_registered(void *context, uint64_t version)
{
    struct hosted_agent *one = context;
    Ag_OnRegistered(&one->core, version);
}

static void
on_tick(void *context)
{
    struct now now = Loop_Now();
    (void)context;
    for (int i = 0; i < fleet.count; i++) {
        Ag_OnTick(&fleet.items[i]->core, now);
        AgentConfig_OnTick(&fleet.items[i]->config, now);
    }
}

static void
on_poll(void *context)
{
    (void)context;
    for (int i = 0; i < fleet.count; i++) {
        Reg_Step(&fleet.items[i]->registry);
    }
}

static void
on_flush(void *context)
{
    (void)context;
    for (int i = 0; i < fleet.count; i++) {
        Link_Flush(&fleet.items[i]->links);
    }
}

static void
set_agent_identity(struct settings *settings, int number, int port)
{
    snprintf(settings->node, sizeof(settings->node), "many-%d", number);
    snprintf(settings->data_centre, sizeof(settings->data_centre), "dc-%d",
             number % DATA_CENTRES + 1);
    snprintf(settings->listen_internal, sizeof(settings->listen_internal),
             "127.0.0.1:%d", port + number);
    memcpy(settings->public_internal, settings->listen_internal,
           sizeof(settings->public_internal));
}

static int
start_agent(const struct settings *settings, int number, int port,
            struct err *err)
{
    struct hosted_agent *one = calloc(1, sizeof(*one));
    struct frame_header head = {.role = ROLE_AGENT};
    uint64_t incarnation;
    if (!one) {
        return Err_Set(err, CODE_NO_MEMORY, "no memory");
    }
    randombytes_buf(&incarnation, sizeof(incarnation));
    one->settings = *settings;
    set_agent_identity(&one->settings, number, port);
    head.from = incarnation;
    memcpy(head.node, one->settings.node, sizeof(head.node));
    memcpy(head.addr, one->settings.listen_internal, sizeof(head.addr));
    memcpy(head.dc, one->settings.data_centre, sizeof(head.dc));
    one->config.settings = &one->settings;
    one->config.core = &one->core;
    one->config.counters = &fleet.counters;
    struct ag_settings core = {.incarnation = incarnation,
                               .task_capacity = 16,
                               .key_lifetime_s = 300,
                               .require_fresh = 1};
    struct act_sink sink = {emit, one};
    if (Ag_Init(&one->core, &core, sink, &fleet.counters) ||
        Link_Init(&one->links, &fleet.loop, one->settings.listen_internal,
                  &head, &fleet.secret, on_message, one, &fleet.counters,
                  err)) {
        return -1;
    }
    Reg_Init(&one->registry, &fleet.store, &one->settings, incarnation,
             on_registered, one);
    fleet.items[fleet.count++] = one;
    return 0;
}

int
main(int argc, char **argv)
{
    struct settings settings;
    struct err err = {0};
    if (argc != 4 || sodium_init() < 0) {
        return 2;
    }
    int count = (int)strtol(argv[2], NULL, 10);
    int port = (int)strtol(argv[3], NULL, 10);
    signal(SIGPIPE, SIG_IGN);
    fleet.items = calloc((size_t)count, sizeof(struct hosted_agent *));
    if (!fleet.items || Set_Load(&settings, argv[1], &err)) {
        fprintf(stderr, "measure-agents: %s\n", err.text);
        return 1;
    }
    Key_Derive(&fleet.secret, settings.cluster_key);
    if (Loop_Init(&fleet.loop, &err) ||
        Store_Init(&fleet.store, &fleet.loop, settings.table_service,
                   STORE_OWN, &fleet.counters, &err)) {
        return 1;
    }
    for (int i = 0; i < count; i++) {
        if (start_agent(&settings, i, port, &err)) {
            fprintf(stderr, "measure-agents: %s\n", err.text);
            return 1;
        }
    }
    Loop_OnFlush(&fleet.loop, on_flush, NULL);
    Loop_Every(&fleet.loop, &fleet.tick, TICK_US, on_tick, NULL);
    Loop_Every(&fleet.loop, &fleet.poll, REGISTRY_POLL_US, on_poll, NULL);
    Loop_Run(&fleet.loop);
    return 0;
}
