/** @file
 * Configuration of an agent, replicated from the entries. */
#ifndef DAEMON_AGENT_CONFIG_H
#define DAEMON_AGENT_CONFIG_H

#include "core/agent.h"
#include "shell/config_json.h"
#include "shell/settings.h"

/** An agent's copy of the configuration. */
struct agent_config {
    const struct settings *settings;
    struct agent *core;
    struct counters *counters;
    struct config config;
    struct config scratch; /**< A received version, until it is checked. */
    int64_t next_expiry_s; /**< When the next exception expires, seconds
                                since 1970; 0 for none. */
    /** Service of the upstream when `config` was last applied. */
    char applied_service[WIRE_NAME_SIZE];
};

/** Handles a configuration received from an entry: a complete version, or the
 * change from the version before it. An old version is ignored. An invalid
 * one is logged and counted in config_corrupt; the current one is kept. */
void AgentConfig_OnState(struct agent_config *ac, struct now now,
                         const struct msg_state *state);

/** Applies the configuration again after an exception has expired or the
 * upstream has changed its service. */
void AgentConfig_OnTick(struct agent_config *ac, struct now now);

#endif
