/* Configuration at an agent: whole copies and differences from entries. */
#include <stdlib.h>
#include <string.h>

#include "agent_config.h"
#include "base/log.h"

static int
is_out(const struct agent_config *held, uint32_t wall)
{
    const struct settings *settings = held->settings;
    struct cfg_subject subject = {0};
    memcpy(subject.region, settings->region, sizeof(subject.region));
    memcpy(subject.dc, settings->data_centre, sizeof(subject.dc));
    memcpy(subject.rack, settings->rack, sizeof(subject.rack));
    memcpy(subject.node, settings->node, sizeof(subject.node));
    memcpy(subject.service, held->core->upstream.service,
           sizeof(subject.service));
    return Cfg_Explain(&held->config, &subject, POL_IN_SERVICE, wall).value ==
           0;
}

static void
put_in_force(struct agent_config *held, struct now now)
{
    held->next_expiry_s = Cfg_NextExpiry(&held->config, now.wall);
    Ag_OnConfig(held->core, now, held->config.version, is_out(held, now.wall));
}

/* A difference fits only on the version before it. */
static int
apply_difference(struct agent_config *held, const json_t *root,
                 uint64_t version, struct err *err)
{
    struct cj_change *change = calloc(1, sizeof(*change));
    if (!change) {
        return Err_Set(err, CODE_NO_MEMORY, "no memory");
    }
    held->scratch = held->config;
    int status = Cj_ReadChange(change, root, err);
    if (status == 0 && held->config.version + 1 != version) {
        status = Err_Set(err, CODE_BAD_FIELD, "not the next version");
    }
    if (status == 0) {
        status = Cfg_Apply(&held->scratch, &change->head, change->ops,
                           change->count, NULL, err);
    }
    free(change);
    return status;
}

void
AgentConfig_OnState(struct agent_config *held, struct now now,
                    const struct msg_state *state)
{
    struct err err = {0};
    int status;
    if (state->version <= held->config.version) {
        return;
    }
    json_t *root = json_loadb(state->rows.size ? state->rows.data : "",
                              state->rows.size, 0, NULL);
    if (json_object_get(root, "ops")) {
        status = apply_difference(held, root, state->version, &err);
    }
    else {
        status = Cj_Read(&held->scratch, root, &err);
    }
    json_decref(root);
    if (status || held->scratch.version != state->version) {
        CTR_INC(held->counters, config_corrupt);
        LOG_WARN("config", "Version %llu kept out: %s.",
                 (unsigned long long)state->version, err.text);
        return;
    }
    held->config = held->scratch;
    put_in_force(held, now);
}

void
AgentConfig_OnTick(struct agent_config *held, struct now now)
{
    int moved =
        strcmp(held->applied_service, held->core->upstream.service) != 0;
    int expired =
        held->next_expiry_s && held->next_expiry_s <= (int64_t)now.wall;
    if (moved) {
        memcpy(held->applied_service, held->core->upstream.service,
               sizeof(held->applied_service));
    }
    if (moved || expired) {
        put_in_force(held, now);
    }
}
