/* Configuration of an agent: complete versions and changes from entries. */
#include <stdlib.h>
#include <string.h>

#include "agent_config.h"
#include "base/log.h"

static int
is_out_of_service(const struct agent_config *ac, uint32_t wall)
{
    const struct settings *settings = ac->settings;
    struct cfg_subject subject = {0};
    memcpy(subject.region, settings->region, sizeof(subject.region));
    memcpy(subject.dc, settings->data_centre, sizeof(subject.dc));
    memcpy(subject.rack, settings->rack, sizeof(subject.rack));
    memcpy(subject.node, settings->node, sizeof(subject.node));
    memcpy(subject.service, ac->core->upstream.service,
           sizeof(subject.service));
    return Cfg_Explain(&ac->config, &subject, POL_IN_SERVICE, wall).value == 0;
}

static void
apply(struct agent_config *ac, struct now now)
{
    ac->next_expiry_s = Cfg_NextExpiry(&ac->config, now.wall);
    Ag_OnConfig(ac->core, now, ac->config.version,
                is_out_of_service(ac, now.wall));
}

/* Reads a change and applies it to `scratch`. A change applies only to the
 * version right before its own. */
static int
read_change(struct agent_config *ac, const json_t *root, uint64_t version,
            struct err *err)
{
    struct cj_change *change = calloc(1, sizeof(*change));
    if (!change) {
        return Err_Set(err, CODE_NO_MEMORY,
                       "no memory for a configuration change");
    }
    ac->scratch = ac->config;
    int status = Cj_ReadChange(change, root, err);
    if (status == 0 && ac->config.version + 1 != version) {
        status = Err_Set(err, CODE_BAD_FIELD,
                         "change does not apply to version %llu",
                         (unsigned long long)ac->config.version);
    }
    if (status == 0) {
        status = Cfg_Apply(&ac->scratch, &change->header, change->ops,
                           change->count, NULL, err);
    }
    free(change);
    return status;
}

void
AgentConfig_OnState(struct agent_config *ac, struct now now,
                    const struct msg_state *state)
{
    struct err err = {0};
    int status;
    if (state->version <= ac->config.version) {
        return;
    }
    json_t *root = json_loadb(state->rows.size ? state->rows.data : "",
                              state->rows.size, 0, NULL);
    if (json_object_get(root, "ops")) {
        status = read_change(ac, root, state->version, &err);
    }
    else {
        status = Cj_Read(&ac->scratch, root, &err);
    }
    json_decref(root);
    if (!status && ac->scratch.version != state->version) {
        status =
            Err_Set(&err, CODE_BAD_FIELD,
                    "its rows are of version %llu, allowed is the version "
                    "of the message",
                    (unsigned long long)ac->scratch.version);
    }
    if (status) {
        CTR_INC(ac->counters, config_corrupt);
        LOG_WARN("config", "Configuration version %llu rejected: %s.",
                 (unsigned long long)state->version, err.text);
        return;
    }
    ac->config = ac->scratch;
    apply(ac, now);
    LOG_INFO("config",
             "Configuration is in force. version=%llu exceptions=%u "
             "out_of_service=%d",
             (unsigned long long)ac->config.version,
             ac->config.exception_count, ac->core->out_of_service);
}

void
AgentConfig_OnTick(struct agent_config *ac, struct now now)
{
    int service_changed =
        strcmp(ac->applied_service, ac->core->upstream.service) != 0;
    int expired = ac->next_expiry_s && ac->next_expiry_s <= (int64_t)now.wall;
    if (service_changed) {
        memcpy(ac->applied_service, ac->core->upstream.service,
               sizeof(ac->applied_service));
    }
    if (service_changed || expired) {
        apply(ac, now);
    }
}
