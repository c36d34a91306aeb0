/* Validation and application of configuration changes. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/config.h"

/* A change that is being applied to a copy of the configuration. */
struct apply_context {
    struct config *config;
    const struct cfg_change *change;
    const struct cfg_data_centres *data_centres;
    uint32_t index; /* Of the current operation. */
    struct err *err;
};

#define REJECT(context, ...)                                                  \
    Err_Set((context)->err, CODE_BAD_FIELD, __VA_ARGS__)

static int
check_value(struct apply_context *context, enum policy_id setting,
            int64_t value)
{
    const struct policy_spec *spec = Pol_Spec(setting);
    if (value < spec->min || value > spec->max) {
        return REJECT(context,
                      "%s: found %" PRId64 ", allowed is %" PRId64
                      " to %" PRId64 " %s",
                      spec->name, value, spec->min, spec->max, spec->unit);
    }
    return 0;
}

static int
find_setting(struct apply_context *context, const char *name,
             enum policy_id *setting)
{
    *setting = Pol_Find(name);
    if (*setting == POL_COUNT) {
        return REJECT(context, "unknown setting \"%s\"", name);
    }
    return 0;
}

static int
is_known(const struct cfg_data_centres *data_centres, enum cfg_scope scope,
         const char *name)
{
    for (uint32_t i = 0; i < data_centres->count; i++) {
        const struct cfg_data_centre *data_centre = &data_centres->items[i];
        const char *found =
            scope == CFG_REGION ? data_centre->region : data_centre->dc;
        if (strcmp(found, name) == 0) {
            return 1;
        }
    }
    return 0;
}

static int
check_scope(struct apply_context *context, const struct cfg_op *op)
{
    if (op->scope <= CFG_FLEET || op->scope >= CFG_SCOPE_COUNT) {
        return REJECT(context,
                      "unknown scope: allowed are region, data_centre, "
                      "rack, service, team, worker, upstream");
    }
    if (op->name[0] == '\0') {
        return REJECT(context, "scope %s needs a name",
                      Cfg_ScopeName(op->scope));
    }
    int checked = op->scope == CFG_REGION || op->scope == CFG_DATA_CENTRE;
    if (checked && context->data_centres &&
        !is_known(context->data_centres, op->scope, op->name)) {
        return REJECT(context, "unknown %s \"%s\"", Cfg_ScopeName(op->scope),
                      op->name);
    }
    return 0;
}

static int
check_reason(struct apply_context *context, const struct cfg_op *op)
{
    if (op->reason[strspn(op->reason, " \t\r\n")] == '\0') {
        return REJECT(context, "exception for %s \"%s\" needs a reason",
                      Cfg_ScopeName(op->scope), op->name);
    }
    if (op->expires_s != 0 && op->expires_s <= context->change->time_s) {
        return REJECT(context,
                      "exception expires at %" PRId64 ", allowed is a time "
                      "after that of the change, %" PRId64,
                      op->expires_s, context->change->time_s);
    }
    return 0;
}

static int
set_default(struct apply_context *context, const struct cfg_op *op)
{
    enum policy_id setting;
    if (find_setting(context, op->setting, &setting)) {
        return -1;
    }
    if (op->type == CFG_RESET_DEFAULT) {
        context->config->has_default[setting] = 0;
        context->config->defaults[setting] = 0;
        return 0;
    }
    if (check_value(context, setting, op->value)) {
        return -1;
    }
    context->config->has_default[setting] = 1;
    context->config->defaults[setting] = op->value;
    return 0;
}

static void
remove_exception_at(struct config *config, uint32_t index)
{
    config->exception_count--;
    memmove(&config->exceptions[index], &config->exceptions[index + 1],
            (config->exception_count - index) * sizeof(config->exceptions[0]));
    memset(&config->exceptions[config->exception_count], 0,
           sizeof(config->exceptions[0]));
}

/* Remove the exception of the same setting for the same scope and name: a new
 * one replaces it. */
static void
remove_matching(struct config *config, const struct cfg_op *op,
                enum policy_id setting)
{
    for (uint32_t i = config->exception_count; i > 0; i--) {
        const struct cfg_exception *old = &config->exceptions[i - 1];
        if (old->scope == op->scope && old->setting == setting &&
            strcmp(old->name, op->name) == 0) {
            remove_exception_at(config, i - 1);
        }
    }
}

static int
add_exception(struct apply_context *context, const struct cfg_op *op,
              enum policy_id setting, int64_t value)
{
    struct config *config = context->config;
    if (check_scope(context, op) || check_reason(context, op) ||
        check_value(context, setting, value)) {
        return -1;
    }
    remove_matching(config, op, setting);
    if (config->exception_count == CFG_MAX_EXCEPTIONS) {
        return Err_Set(context->err, CODE_NO_MEMORY,
                       "no more exceptions can be added: the maximum is %d",
                       CFG_MAX_EXCEPTIONS);
    }
    struct cfg_exception *exception =
        &config->exceptions[config->exception_count++];
    exception->id = (config->version + 1) * CFG_MAX_OPS + context->index;
    exception->scope = op->scope;
    memcpy(exception->name, op->name, sizeof(exception->name));
    exception->setting = setting;
    exception->value = value;
    memcpy(exception->reason, op->reason, sizeof(exception->reason));
    memcpy(exception->author, context->change->author,
           sizeof(exception->author));
    exception->time_s = context->change->time_s;
    exception->expires_s = op->expires_s;
    return 0;
}

static int
remove_exception(struct apply_context *context, const struct cfg_op *op)
{
    struct config *config = context->config;
    for (uint32_t i = 0; i < config->exception_count; i++) {
        if (config->exceptions[i].id == op->id) {
            remove_exception_at(config, i);
            return 0;
        }
    }
    return REJECT(context, "exception %" PRIu64 " not found", op->id);
}

static int
return_scope(struct apply_context *context, const struct cfg_op *op)
{
    uint32_t previous = context->config->exception_count;
    if (op->scope <= CFG_FLEET || op->scope >= CFG_SCOPE_COUNT) {
        return check_scope(context, op);
    }
    remove_matching(context->config, op, POL_IN_SERVICE);
    if (context->config->exception_count == previous) {
        return REJECT(context, "%s \"%s\" is not out of service",
                      Cfg_ScopeName(op->scope), op->name);
    }
    return 0;
}

static int
is_valid_hash(const char *text)
{
    size_t size = strlen(text);
    return size == 0 || (size == CFG_HASH_SIZE - 1 &&
                         strspn(text, "0123456789abcdef") == size);
}

static int
set_team(struct apply_context *context, const struct cfg_op *op)
{
    struct config *config = context->config;
    struct cfg_team *team = (struct cfg_team *)Cfg_FindTeam(config, op->name);
    if (op->name[0] == '\0' || !is_valid_hash(op->token_hash)) {
        return REJECT(context,
                      "a team needs a name, and no token hash or one of %d "
                      "lower-case hexadecimal digits",
                      CFG_HASH_SIZE - 1);
    }
    if (op->value < 0 || op->value > CFG_MAX_QUOTA) {
        return REJECT(context,
                      "quota of team \"%s\": found %" PRId64
                      ", allowed is 0 to %d slots",
                      op->name, op->value, CFG_MAX_QUOTA);
    }
    if (!team && config->team_count == CFG_MAX_TEAMS) {
        return Err_Set(context->err, CODE_NO_MEMORY,
                       "team \"%s\" cannot be added: the maximum is %d teams",
                       op->name, CFG_MAX_TEAMS);
    }
    if (!team) {
        team = &config->teams[config->team_count++];
        memcpy(team->name, op->name, sizeof(team->name));
    }
    team->quota = op->value;
    if (op->token_hash[0]) {
        memcpy(team->token_hash, op->token_hash, sizeof(team->token_hash));
    }
    return 0;
}

static int
remove_team(struct apply_context *context, const struct cfg_op *op)
{
    struct config *config = context->config;
    const struct cfg_team *team = Cfg_FindTeam(config, op->name);
    if (!team) {
        return REJECT(context, "team \"%s\" not found", op->name);
    }
    size_t index = (size_t)(team - config->teams);
    config->team_count--;
    memmove(&config->teams[index], &config->teams[index + 1],
            (config->team_count - index) * sizeof(config->teams[0]));
    memset(&config->teams[config->team_count], 0, sizeof(config->teams[0]));
    return 0;
}

static int
apply_op(struct apply_context *context, const struct cfg_op *op)
{
    enum policy_id setting;
    switch (op->type) {
    case CFG_SET_DEFAULT:
    case CFG_RESET_DEFAULT:
        return set_default(context, op);
    case CFG_ADD_EXCEPTION:
        return find_setting(context, op->setting, &setting) ||
                       add_exception(context, op, setting, op->value)
                   ? -1
                   : 0;
    case CFG_REMOVE_EXCEPTION:
        return remove_exception(context, op);
    case CFG_TAKE_OUT_OF_SERVICE:
        return add_exception(context, op, POL_IN_SERVICE, 0);
    case CFG_RETURN_TO_SERVICE:
        return return_scope(context, op);
    case CFG_SET_TEAM:
        return set_team(context, op);
    case CFG_REMOVE_TEAM:
        return remove_team(context, op);
    case CFG_OP_COUNT:
        break;
    }
    return REJECT(context, "unknown operation type %d", (int)op->type);
}

static uint32_t
count_in_service(const struct config *config,
                 const struct cfg_data_centres *data_centres, uint32_t wall)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < data_centres->count; i++) {
        struct cfg_subject subject = {0};
        memcpy(subject.region, data_centres->items[i].region, WIRE_NAME_SIZE);
        memcpy(subject.dc, data_centres->items[i].dc, WIRE_NAME_SIZE);
        count +=
            Cfg_Explain(config, &subject, POL_IN_SERVICE, wall).value != 0;
    }
    return count;
}

static int
check_last_data_centre(const struct apply_context *context,
                       const struct config *previous)
{
    uint32_t wall = (uint32_t)context->change->time_s;
    if (!context->data_centres || context->data_centres->force) {
        return 0;
    }
    if (count_in_service(previous, context->data_centres, wall) != 0 &&
        count_in_service(context->config, context->data_centres, wall) == 0) {
        return Err_Set(context->err, CODE_LAST_DATA_CENTRE,
                       "the change would leave no data centre in service");
    }
    return 0;
}

static void
free_config(struct config **config)
{
    free(*config);
}

int
Cfg_Apply(struct config *config, const struct cfg_change *change,
          const struct cfg_op *ops, uint32_t count,
          const struct cfg_data_centres *data_centres, struct err *err)
{
    __attribute__((cleanup(free_config))) struct config *copy =
        malloc(sizeof(*copy));
    struct apply_context context = {copy, change, data_centres, 0, err};
    if (!copy) {
        return Err_Set(err, CODE_NO_MEMORY,
                       "out of memory applying a configuration change");
    }
    *copy = *config;
    if (count == 0 || count > CFG_MAX_OPS) {
        return REJECT(&context,
                      "change has %u operations, allowed are 1 to %d", count,
                      CFG_MAX_OPS);
    }
    for (; context.index < count; context.index++) {
        if (apply_op(&context, &ops[context.index])) {
            return -1;
        }
    }
    if (check_last_data_centre(&context, config)) {
        return -1;
    }
    copy->version++;
    copy->last = *change;
    *config = *copy;
    return 0;
}

static int
check_exception(struct apply_context *context,
                const struct cfg_exception *exception)
{
    if (exception->scope <= CFG_FLEET || exception->scope >= CFG_SCOPE_COUNT ||
        exception->name[0] == '\0' || exception->reason[0] == '\0') {
        return REJECT(context,
                      "exception %" PRIu64
                      " has no valid scope, name or reason",
                      exception->id);
    }
    return check_value(context, exception->setting, exception->value);
}

int
Cfg_Check(const struct config *config, struct err *err)
{
    struct apply_context context = {.err = err};
    for (int id = 0; id < POL_COUNT; id++) {
        if (config->has_default[id] &&
            check_value(&context, id, config->defaults[id])) {
            return -1;
        }
    }
    for (uint32_t i = 0; i < config->exception_count; i++) {
        if (check_exception(&context, &config->exceptions[i])) {
            return -1;
        }
    }
    for (uint32_t i = 0; i < config->team_count; i++) {
        const struct cfg_team *team = &config->teams[i];
        if (team->name[0] == '\0' || !is_valid_hash(team->token_hash) ||
            team->quota < 0 || team->quota > CFG_MAX_QUOTA) {
            return REJECT(
                &context,
                "team %u \"%s\" has an invalid name, token hash or quota", i,
                team->name);
        }
    }
    return 0;
}
