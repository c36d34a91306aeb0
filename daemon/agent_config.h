/** @file
 * The configuration that an agent has applied. */
#ifndef AGENT_CONFIG_H
#define AGENT_CONFIG_H

#include "core/agent.h"
#include "shell/config_json.h"
#include "shell/settings.h"

/** What an agent holds of the configuration. */
struct agent_config {
    const struct settings *settings;
    struct agent *core;
    struct counters *counters;
    struct config config;
    struct config scratch;
    int64_t next_expiry_s;
    char applied_service[WIRE_NAME_SIZE]; /**< That it was last worked out for.
                                           */
};

/** An entry sent a version: whole, or as the difference to the next. */
void AgentConfig_OnState(struct agent_config *held, struct now now,
                         const struct msg_state *state);

/** Look for exceptions that have run out. */
void AgentConfig_OnTick(struct agent_config *held, struct now now);

#endif
