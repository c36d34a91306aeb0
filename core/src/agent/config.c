/* Configuration of an agent. Its version never decreases. It is fresh for
 * CONFIG_MAX_AGE_US after an entry has confirmed that it is the newest. */
#include "agent_impl.h"

int
Ag_IsFresh(const struct agent *agent, struct now now)
{
    if (!agent->settings.require_fresh) {
        return 1;
    }
    return agent->confirmed_us != 0 &&
           now.us - agent->confirmed_us < CONFIG_MAX_AGE_US;
}

void
Agi_SendVersion(struct agent *agent, struct now now, struct ag_entry *entry)
{
    struct msg msg = {.type = MSG_VERSION};
    struct msg_version *version = &msg.u.version;
    version->config = agent->config;
    version->sent_us = now.us;
    version->echo_us = entry->version_sent_us;
    version->age_us = Ag_IsFresh(agent, now) ? now.us - agent->confirmed_us
                                             : WIRE_AGE_UNKNOWN;
    Act_Send(&agent->sink, entry->incarnation, &msg);
}

void
Agi_OnVersion(struct agent *agent, struct now now, struct ag_entry *entry,
              const struct msg_version *version)
{
    entry->version_sent_us = version->sent_us;
    /* An entry with a newer version shows that this agent's is not the newest.
     * The confirmed time is counted back from when this agent sent the echoed
     * message, not from when the answer came, and the entry's `age_us`
     * likewise counts from when the entry sent its own query. Message delays
     * therefore only make the confirmed time earlier. */
    if (version->config > agent->config || version->echo_us == 0 ||
        version->echo_us > now.us || version->age_us >= version->echo_us) {
        return;
    }
    uint64_t confirmed_us = version->echo_us - version->age_us;
    if (confirmed_us > agent->confirmed_us) {
        agent->confirmed_us = confirmed_us;
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
    agent->out_of_service = (uint8_t)(is_out != 0);
    while ((entry = Tab_Next(&agent->entries, &slot))) {
        Agi_SendVersion(agent, now, entry);
    }
}
