/* Configuration at an agent: versions only grow, and entries say until when
 * it is fresh. */
#include "agent_impl.h"

int
Ag_IsFresh(const struct agent *agent, struct now now)
{
    if (!agent->settings.check_fresh) {
        return 1;
    }
    return agent->fresh_us != 0 &&
           now.us - agent->fresh_us < CONFIG_MAX_AGE_US;
}

void
Agi_SendVersion(struct agent *agent, struct now now, struct ag_entry *entry)
{
    struct msg msg = {.type = MSG_VERSION};
    struct msg_version *version = &msg.u.version;
    version->config = agent->config;
    version->sent_us = now.us;
    version->echo_us = entry->ask_us;
    version->age_us =
        Ag_IsFresh(agent, now) ? now.us - agent->fresh_us : WIRE_AGE_UNKNOWN;
    Act_Send(&agent->sink, entry->incarnation, &msg);
}

void
Agi_OnVersion(struct agent *agent, struct now now, struct ag_entry *entry,
              const struct msg_version *version)
{
    entry->ask_us = version->sent_us;
    /* Whoever knows more than this agent shows that it is behind. Counted
     * from when this agent asked, and from when the entry itself did. */
    if (version->config > agent->config || version->echo_us == 0 ||
        version->echo_us > now.us || version->age_us >= version->echo_us) {
        return;
    }
    uint64_t us = version->echo_us - version->age_us;
    if (us > agent->fresh_us) {
        agent->fresh_us = us;
    }
}

void
Ag_OnConfig(struct agent *agent, struct now now, uint64_t version, int is_out)
{
    uint32_t slot = 0;
    struct ag_entry *entry;
    if (version < agent->config) {
        return;
    }
    if (version > agent->config) {
        CTR_INC(agent->counters, config_applied);
    }
    agent->config = version;
    agent->is_out = (uint8_t)(is_out != 0);
    while ((entry = Tab_Next(&agent->entries, &slot))) {
        Agi_SendVersion(agent, now, entry);
    }
}
