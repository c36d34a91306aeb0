/* Runs COUNT agents without upstreams in one process. Each agent has its own
 * address, registration, links, state machine and configuration, so that the
 * propagation of configuration changes to many agents can be measured. Agent
 * number N listens on port FIRST_PORT + N of the loopback interface.
 *
 * Usage: measure-agents SETTINGS COUNT FIRST_PORT */
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

/* State that the hosted agents share. */
static struct {
    struct loop loop;
    struct store store;
    struct counters counters;
    struct key_secret secret;
    struct loop_timer tick;
    struct loop_timer poll;
    struct hosted_agent **agents;
    int count;
} host;

static void
emit(void *context, const struct act *act)
{
    struct hosted_agent *agent = context;
    switch (act->type) {
    case ACT_SEND:
        Link_Send(&agent->links, act->u.send.to, act->u.send.msg);
        break;
    case ACT_LINK:
        Link_Open(&agent->links, act->u.link.peer, act->u.link.addr);
        break;
    case ACT_UNLINK:
        Link_Close(&agent->links, act->u.link.peer);
        break;
    default:
        break;
    }
}

static void
on_message(void *context, const struct frame_header *header,
           const struct msg *msg)
{
    struct hosted_agent *agent = context;
    if (msg->type == MSG_STATE && header->role == ROLE_ENTRY) {
        AgentConfig_OnState(&agent->config, Loop_Now(), &msg->u.state);
        return;
    }
    Ag_OnMessage(&agent->core, Loop_Now(), header, msg);
}

static void
on_registered(void *context, uint64_t version)
{
    struct hosted_agent *agent = context;
    Ag_OnRegistered(&agent->core, version);
}

static void
on_tick(void *context)
{
    struct now now = Loop_Now();
    (void)context;
    for (int i = 0; i < host.count; i++) {
        Ag_OnTick(&host.agents[i]->core, now);
        AgentConfig_OnTick(&host.agents[i]->config, now);
    }
}

static void
on_poll(void *context)
{
    (void)context;
    for (int i = 0; i < host.count; i++) {
        Reg_Step(&host.agents[i]->registry);
    }
}

static void
on_flush(void *context)
{
    (void)context;
    for (int i = 0; i < host.count; i++) {
        Link_Flush(&host.agents[i]->links);
    }
}

static void
set_agent_identity(struct settings *settings, int number, int first_port)
{
    snprintf(settings->node, sizeof(settings->node), "many-%d", number);
    snprintf(settings->data_centre, sizeof(settings->data_centre), "dc-%d",
             number % DATA_CENTRES + 1);
    snprintf(settings->listen_internal, sizeof(settings->listen_internal),
             "127.0.0.1:%d", first_port + number);
    memcpy(settings->public_internal, settings->listen_internal,
           sizeof(settings->public_internal));
}

static int
start_agent(const struct settings *settings, int number, int first_port,
            struct err *err)
{
    struct hosted_agent *agent = calloc(1, sizeof(*agent));
    struct frame_header header = {.role = ROLE_AGENT};
    uint64_t incarnation;
    if (!agent) {
        return Err_Set(err, CODE_NO_MEMORY,
                       "no memory for the state of an agent");
    }
    randombytes_buf(&incarnation, sizeof(incarnation));
    agent->settings = *settings;
    set_agent_identity(&agent->settings, number, first_port);
    header.from = incarnation;
    memcpy(header.node, agent->settings.node, sizeof(header.node));
    memcpy(header.addr, agent->settings.listen_internal, sizeof(header.addr));
    memcpy(header.dc, agent->settings.data_centre, sizeof(header.dc));
    agent->config.settings = &agent->settings;
    agent->config.core = &agent->core;
    agent->config.counters = &host.counters;
    struct ag_settings core_settings = {.incarnation = incarnation,
                                        .task_capacity = 16,
                                        .key_lifetime_s = 300,
                                        .require_fresh = 1};
    struct act_sink sink = {emit, agent};
    if (Ag_Init(&agent->core, &core_settings, sink, &host.counters) ||
        Link_Init(&agent->links, &host.loop, agent->settings.listen_internal,
                  &header, &host.secret, on_message, agent, &host.counters,
                  err)) {
        return -1;
    }
    Reg_Init(&agent->registry, &host.store, &agent->settings, incarnation,
             on_registered, agent);
    host.agents[host.count++] = agent;
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
    int first_port = (int)strtol(argv[3], NULL, 10);
    signal(SIGPIPE, SIG_IGN);
    host.agents = calloc((size_t)count, sizeof(struct hosted_agent *));
    if (!host.agents || Set_Load(&settings, argv[1], &err)) {
        fprintf(stderr, "measure-agents: %s\n", err.text);
        return 1;
    }
    Key_Derive(&host.secret, settings.cluster_key);
    if (Loop_Init(&host.loop, &err) ||
        Store_Init(&host.store, &host.loop, settings.table_service,
                   STORE_NATIVE, &host.counters, &err)) {
        return 1;
    }
    for (int i = 0; i < count; i++) {
        if (start_agent(&settings, i, first_port, &err)) {
            fprintf(stderr, "measure-agents: %s\n", err.text);
            return 1;
        }
    }
    Loop_OnFlush(&host.loop, on_flush, NULL);
    Loop_Every(&host.loop, &host.tick, TICK_US, on_tick, NULL);
    Loop_Every(&host.loop, &host.poll, REGISTRY_POLL_US, on_poll, NULL);
    Loop_Run(&host.loop);
    return 0;
}
