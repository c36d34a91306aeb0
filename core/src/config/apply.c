/* Changes: what operators may do, checked before anything is changed. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/config.h"

/* A change being applied to a copy. */
struct work {
    struct config *config;
    const struct cfg_change *change;
    const struct cfg_data_centres *places;
    uint32_t index; /* Of the operation. */
    struct err *err;
};

#define BAD(work, ...) Err_Set((work)->err, CODE_BAD_FIELD, __VA_ARGS__)

static int
check_value(struct work *work, enum policy_id setting, int64_t value)
{
    const struct policy_spec *spec = Pol_Spec(setting);
    if (value < spec->least || value > spec->most) {
        return BAD(work,
                   "%s: found %" PRId64 ", allowed is %" PRId64 " to %" PRId64
                   " %s",
                   spec->name, value, spec->least, spec->most, spec->unit);
    }
    return 0;
}

static int
find_setting(struct work *work, const char *name, enum policy_id *setting)
{
    *setting = Pol_Find(name);
    if (*setting == POL_COUNT) {
        return BAD(work, "unknown setting \"%s\"", name);
    }
    return 0;
}

static int
is_place(const struct cfg_data_centres *places, enum cfg_scope scope,
         const char *name)
{
    for (uint32_t i = 0; i < places->count; i++) {
        const struct cfg_data_centre *place = &places->items[i];
        const char *found = scope == CFG_REGION ? place->region : place->dc;
        if (strcmp(found, name) == 0) {
            return 1;
        }
    }
    return 0;
}

static int
check_scope(struct work *work, const struct cfg_op *op)
{
    if (op->scope <= CFG_FLEET || op->scope >= CFG_SCOPE_COUNT) {
        return BAD(work, "unknown scope: allowed are region, data_centre, "
                         "rack, service, team, worker, upstream");
    }
    if (op->name[0] == '\0') {
        return BAD(work, "the scope needs a name");
    }
    int checked = op->scope == CFG_REGION || op->scope == CFG_DATA_CENTRE;
    if (checked && work->places &&
        !is_place(work->places, op->scope, op->name)) {
        return BAD(work, "unknown %s \"%s\"", Cfg_ScopeName(op->scope),
                   op->name);
    }
    return 0;
}

static int
check_reason(struct work *work, const struct cfg_op *op)
{
    if (op->reason[strspn(op->reason, " \t\r\n")] == '\0') {
        return BAD(work, "an exception needs a reason");
    }
    if (op->expires_s != 0 && op->expires_s <= work->change->time_s) {
        return BAD(work, "the exception would already have run out");
    }
    return 0;
}

static int
set_default(struct work *work, const struct cfg_op *op)
{
    enum policy_id setting;
    if (find_setting(work, op->setting, &setting)) {
        return -1;
    }
    if (op->type == CFG_RESET_DEFAULT) {
        work->config->has_default[setting] = 0;
        work->config->defaults[setting] = 0;
        return 0;
    }
    if (check_value(work, setting, op->value)) {
        return -1;
    }
    work->config->has_default[setting] = 1;
    work->config->defaults[setting] = op->value;
    return 0;
}

static void
drop_exception(struct config *config, uint32_t at)
{
    config->exception_count--;
    memmove(&config->exceptions[at], &config->exceptions[at + 1],
            (config->exception_count - at) * sizeof(config->exceptions[0]));
    memset(&config->exceptions[config->exception_count], 0,
           sizeof(config->exceptions[0]));
}

/* One exception for each setting of a scope: a new one takes the place. */
static void
drop_same(struct config *config, const struct cfg_op *op,
          enum policy_id setting)
{
    for (uint32_t i = config->exception_count; i > 0; i--) {
        const struct cfg_exception *old = &config->exceptions[i - 1];
        if (old->scope == op->scope && old->setting == setting &&
            strcmp(old->name, op->name) == 0) {
            drop_exception(config, i - 1);
        }
    }
}

static int
add_exception(struct work *work, const struct cfg_op *op,
              enum policy_id setting, int64_t value)
{
    struct config *config = work->config;
    if (check_scope(work, op) || check_reason(work, op) ||
        check_value(work, setting, value)) {
        return -1;
    }
    drop_same(config, op, setting);
    if (config->exception_count == CFG_MAX_EXCEPTIONS) {
        return Err_Set(work->err, CODE_NO_MEMORY,
                       "there are %d exceptions already", CFG_MAX_EXCEPTIONS);
    }
    struct cfg_exception *made =
        &config->exceptions[config->exception_count++];
    made->id = (config->version + 1) * CFG_MAX_OPS + work->index;
    made->scope = op->scope;
    memcpy(made->name, op->name, sizeof(made->name));
    made->setting = setting;
    made->value = value;
    memcpy(made->reason, op->reason, sizeof(made->reason));
    memcpy(made->author, work->change->author, sizeof(made->author));
    made->time_s = work->change->time_s;
    made->expires_s = op->expires_s;
    return 0;
}

static int
remove_exception(struct work *work, const struct cfg_op *op)
{
    struct config *config = work->config;
    for (uint32_t i = 0; i < config->exception_count; i++) {
        if (config->exceptions[i].id == op->id) {
            drop_exception(config, i);
            return 0;
        }
    }
    return BAD(work, "no exception %" PRIu64, op->id);
}

static int
return_scope(struct work *work, const struct cfg_op *op)
{
    uint32_t before = work->config->exception_count;
    if (op->scope <= CFG_FLEET || op->scope >= CFG_SCOPE_COUNT) {
        return check_scope(work, op);
    }
    drop_same(work->config, op, POL_IN_SERVICE);
    if (work->config->exception_count == before) {
        return BAD(work, "%s \"%s\" is not out", Cfg_ScopeName(op->scope),
                   op->name);
    }
    return 0;
}

static int
is_hash(const char *text)
{
    size_t size = strlen(text);
    return size == 0 || (size == CFG_HASH_SIZE - 1 &&
                         strspn(text, "0123456789abcdef") == size);
}

static int
set_team(struct work *work, const struct cfg_op *op)
{
    struct config *config = work->config;
    struct cfg_team *team = (struct cfg_team *)Cfg_FindTeam(config, op->name);
    if (op->name[0] == '\0' || !is_hash(op->token_hash)) {
        return BAD(work, "a team needs a name and a token hash of %d digits",
                   CFG_HASH_SIZE - 1);
    }
    if (op->value < 0 || op->value > CFG_MAX_QUOTA) {
        return BAD(work, "quota: found %" PRId64 ", allowed is 0 to %d slots",
                   op->value, CFG_MAX_QUOTA);
    }
    if (!team && config->team_count == CFG_MAX_TEAMS) {
        return Err_Set(work->err, CODE_NO_MEMORY, "there are %d teams already",
                       CFG_MAX_TEAMS);
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
remove_team(struct work *work, const struct cfg_op *op)
{
    struct config *config = work->config;
    const struct cfg_team *team = Cfg_FindTeam(config, op->name);
    if (!team) {
        return BAD(work, "no team \"%s\"", op->name);
    }
    size_t at = (size_t)(team - config->teams);
    config->team_count--;
    memmove(&config->teams[at], &config->teams[at + 1],
            (config->team_count - at) * sizeof(config->teams[0]));
    memset(&config->teams[config->team_count], 0, sizeof(config->teams[0]));
    return 0;
}

static int
apply_op(struct work *work, const struct cfg_op *op)
{
    enum policy_id setting;
    switch (op->type) {
    case CFG_SET_DEFAULT:
    case CFG_RESET_DEFAULT:
        return set_default(work, op);
    case CFG_ADD_EXCEPTION:
        return find_setting(work, op->setting, &setting) ||
                       add_exception(work, op, setting, op->value)
                   ? -1
                   : 0;
    case CFG_REMOVE_EXCEPTION:
        return remove_exception(work, op);
    case CFG_TAKE_OUT_OF_SERVICE:
        return add_exception(work, op, POL_IN_SERVICE, 0);
    case CFG_RETURN_TO_SERVICE:
        return return_scope(work, op);
    case CFG_SET_TEAM:
        return set_team(work, op);
    case CFG_REMOVE_TEAM:
        return remove_team(work, op);
    case CFG_OP_COUNT:
        break;
    }
    return BAD(work, "unknown operation");
}

static uint32_t
count_in_service(const struct config *config,
                 const struct cfg_data_centres *places, uint32_t wall)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < places->count; i++) {
        struct cfg_subject subject = {0};
        memcpy(subject.region, places->items[i].region, WIRE_NAME_SIZE);
        memcpy(subject.dc, places->items[i].dc, WIRE_NAME_SIZE);
        count +=
            Cfg_Explain(config, &subject, POL_IN_SERVICE, wall).value != 0;
    }
    return count;
}

static int
check_last(const struct work *work, const struct config *before)
{
    uint32_t wall = (uint32_t)work->change->time_s;
    if (!work->places || work->places->force) {
        return 0;
    }
    if (count_in_service(before, work->places, wall) != 0 &&
        count_in_service(work->config, work->places, wall) == 0) {
        return Err_Set(work->err, CODE_LAST_DATA_CENTRE,
                       "no data centre would be left in service");
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
          const struct cfg_data_centres *places, struct err *err)
{
    __attribute__((cleanup(free_config))) struct config *copy =
        malloc(sizeof(*copy));
    struct work work = {copy, change, places, 0, err};
    if (!copy) {
        return Err_Set(err, CODE_NO_MEMORY, "no memory");
    }
    *copy = *config;
    if (count == 0 || count > CFG_MAX_OPS) {
        return BAD(&work, "found %u operations, allowed are 1 to %d", count,
                   CFG_MAX_OPS);
    }
    for (; work.index < count; work.index++) {
        if (apply_op(&work, &ops[work.index])) {
            return -1;
        }
    }
    if (check_last(&work, config)) {
        return -1;
    }
    copy->version++;
    copy->last = *change;
    *config = *copy;
    return 0;
}

static int
check_exception(struct work *work, const struct cfg_exception *exception)
{
    if (exception->scope <= CFG_FLEET || exception->scope >= CFG_SCOPE_COUNT ||
        exception->name[0] == '\0' || exception->reason[0] == '\0') {
        return BAD(work, "exception %" PRIu64 " has no scope or no reason",
                   exception->id);
    }
    return check_value(work, exception->setting, exception->value);
}

int
Cfg_Check(const struct config *config, struct err *err)
{
    struct work work = {.err = err};
    for (int id = 0; id < POL_COUNT; id++) {
        if (config->has_default[id] &&
            check_value(&work, id, config->defaults[id])) {
            return -1;
        }
    }
    for (uint32_t i = 0; i < config->exception_count; i++) {
        if (check_exception(&work, &config->exceptions[i])) {
            return -1;
        }
    }
    for (uint32_t i = 0; i < config->team_count; i++) {
        const struct cfg_team *team = &config->teams[i];
        if (team->name[0] == '\0' || !is_hash(team->token_hash) ||
            team->quota < 0 || team->quota > CFG_MAX_QUOTA) {
            return BAD(&work, "team %u is not valid", i);
        }
    }
    return 0;
}
