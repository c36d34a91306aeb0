#include "shell/config_json.h"

#include <string.h>

/* In the order of enum cfg_op_type. */
static const char *const op_names[] = {
    "set_default", "reset_default", "add_exception", "remove_exception",
    "out",         "return",        "set_team",      "remove_team",
};

static int
bad_field(struct err *err, const char *what)
{
    return Err_Set(err, CODE_BAD_FIELD, "%s", what);
}

/* Takes a missing field as "". */
static int
get_text(const json_t *root, const char *field, char *out, size_t size,
         struct err *err)
{
    const json_t *value = json_object_get(root, field);
    memset(out, 0, size);
    if (!value || json_is_null(value)) {
        return 0;
    }
    if (!json_is_string(value) || json_string_length(value) >= size) {
        return Err_Set(err, CODE_BAD_FIELD,
                       "%s: allowed is a string of at most %zu bytes", field,
                       size - 1);
    }
    memcpy(out, json_string_value(value), json_string_length(value));
    return 0;
}

/* Accepts a boolean as 0 or 1, and takes a missing field as 0. */
static int
get_int(const json_t *root, const char *field, int64_t *out, struct err *err)
{
    const json_t *value = json_object_get(root, field);
    *out = 0;
    if (!value || json_is_null(value)) {
        return 0;
    }
    if (json_is_boolean(value)) {
        *out = json_is_true(value);
        return 0;
    }
    if (!json_is_integer(value)) {
        return Err_Set(err, CODE_BAD_FIELD, "%s: allowed is an integer",
                       field);
    }
    *out = json_integer_value(value);
    return 0;
}

json_t *
Cj_WriteException(const struct cfg_exception *exception)
{
    return json_pack(
        "{s:I,s:s,s:s,s:s,s:I,s:s,s:s,s:I,s:I}", "id",
        (json_int_t)exception->id, "scope", Cfg_ScopeName(exception->scope),
        "name", exception->name, "setting", Pol_Spec(exception->setting)->name,
        "value", (json_int_t)exception->value, "reason", exception->reason,
        "author", exception->author, "time_s", (json_int_t)exception->time_s,
        "expires_s", (json_int_t)exception->expires_s);
}

static json_t *
write_team(const struct cfg_team *team, int secrets)
{
    json_t *root = json_pack("{s:s,s:I}", "name", team->name, "quota",
                             (json_int_t)team->quota);
    if (secrets) {
        json_object_set_new(root, "token_hash", json_string(team->token_hash));
    }
    else {
        json_object_set_new(root, "has_token",
                            json_boolean(team->token_hash[0] != '\0'));
    }
    return root;
}

static json_t *
write_defaults(const struct config *config)
{
    json_t *root = json_object();
    for (int id = 0; id < POL_COUNT; id++) {
        if (config->has_default[id]) {
            json_object_set_new(root, Pol_Spec(id)->name,
                                json_integer(config->defaults[id]));
        }
    }
    return root;
}

json_t *
Cj_Write(const struct config *config, int secrets)
{
    json_t *exceptions = json_array();
    json_t *teams = json_array();
    for (uint32_t i = 0; i < config->exception_count; i++) {
        json_array_append_new(exceptions,
                              Cj_WriteException(&config->exceptions[i]));
    }
    for (uint32_t i = 0; i < config->team_count; i++) {
        json_array_append_new(teams, write_team(&config->teams[i], secrets));
    }
    return json_pack("{s:i,s:I,s:{s:s,s:s,s:I},s:o,s:o,s:o}", "format",
                     CJ_FORMAT, "version", (json_int_t)config->version, "last",
                     "id", config->last.id, "author", config->last.author,
                     "time_s", (json_int_t)config->last.time_s, "defaults",
                     write_defaults(config), "exceptions", exceptions, "teams",
                     teams);
}

static int
read_header(struct cfg_change *header, const json_t *root, struct err *err)
{
    return get_text(root, "id", header->id, sizeof(header->id), err) ||
                   get_text(root, "author", header->author,
                            sizeof(header->author), err) ||
                   get_int(root, "time_s", &header->time_s, err)
               ? -1
               : 0;
}

static int
read_defaults(struct config *config, json_t *root, struct err *err)
{
    const char *name;
    json_t *value;
    json_object_foreach(root, name, value)
    {
        enum policy_id id = Pol_Find(name);
        if (id == POL_COUNT || !json_is_integer(value)) {
            return Err_Set(err, CODE_BAD_FIELD,
                           "defaults: unknown setting, or value not an "
                           "integer: \"%.31s\"",
                           name);
        }
        config->has_default[id] = 1;
        config->defaults[id] = json_integer_value(value);
    }
    return 0;
}

static int
read_exception(struct cfg_exception *exception, const json_t *root,
               struct err *err)
{
    char word[WIRE_NAME_SIZE];
    int64_t id;
    if (get_int(root, "id", &id, err) ||
        get_text(root, "scope", word, sizeof(word), err)) {
        return -1;
    }
    exception->id = (uint64_t)id;
    exception->scope = Cfg_FindScope(word);
    if (get_text(root, "setting", word, sizeof(word), err)) {
        return -1;
    }
    exception->setting = Pol_Find(word);
    if (exception->scope == CFG_SCOPE_COUNT ||
        exception->setting == POL_COUNT) {
        return bad_field(err, "exceptions: unknown scope or setting");
    }
    return get_text(root, "name", exception->name, sizeof(exception->name),
                    err) ||
                   get_int(root, "value", &exception->value, err) ||
                   get_text(root, "reason", exception->reason,
                            sizeof(exception->reason), err) ||
                   get_text(root, "author", exception->author,
                            sizeof(exception->author), err) ||
                   get_int(root, "time_s", &exception->time_s, err) ||
                   get_int(root, "expires_s", &exception->expires_s, err)
               ? -1
               : 0;
}

static int
read_team(struct cfg_team *team, const json_t *root, struct err *err)
{
    return get_text(root, "name", team->name, sizeof(team->name), err) ||
                   get_int(root, "quota", &team->quota, err) ||
                   get_text(root, "token_hash", team->token_hash,
                            sizeof(team->token_hash), err)
               ? -1
               : 0;
}

static int
read_lists(struct config *config, const json_t *root, struct err *err)
{
    const json_t *exceptions = json_object_get(root, "exceptions");
    const json_t *teams = json_object_get(root, "teams");
    if (!json_is_array(exceptions) || !json_is_array(teams) ||
        json_array_size(exceptions) > CFG_MAX_EXCEPTIONS ||
        json_array_size(teams) > CFG_MAX_TEAMS) {
        return Err_Set(
            err, CODE_BAD_FIELD,
            "allowed are arrays of at most %d exceptions and %d teams",
            CFG_MAX_EXCEPTIONS, CFG_MAX_TEAMS);
    }
    size_t i;
    const json_t *item;
    json_array_foreach(exceptions, i, item)
    {
        if (read_exception(&config->exceptions[i], item, err)) {
            return -1;
        }
    }
    config->exception_count = (uint32_t)json_array_size(exceptions);
    json_array_foreach(teams, i, item)
    {
        if (read_team(&config->teams[i], item, err)) {
            return -1;
        }
    }
    config->team_count = (uint32_t)json_array_size(teams);
    return 0;
}

int
Cj_Read(struct config *config, const json_t *root, struct err *err)
{
    int64_t format;
    int64_t version;
    Cfg_Init(config);
    if (get_int(root, "format", &format, err) ||
        get_int(root, "version", &version, err)) {
        return -1;
    }
    if (format != CJ_FORMAT || version < 1) {
        return Err_Set(err, CODE_BAD_FIELD,
                       "found format %lld and version %lld, allowed are "
                       "format %d and versions from 1",
                       (long long)format, (long long)version, CJ_FORMAT);
    }
    config->version = (uint64_t)version;
    if (!json_is_object(json_object_get(root, "defaults")) ||
        read_header(&config->last, json_object_get(root, "last"), err) ||
        read_defaults(config, json_object_get(root, "defaults"), err) ||
        read_lists(config, root, err)) {
        /* Err_Set() keeps the error of a part that was read. */
        return bad_field(err, "defaults: allowed is an object");
    }
    return Cfg_Check(config, err);
}

static json_t *
write_op(const struct cfg_op *op)
{
    json_t *root = json_pack("{s:s}", "op", op_names[op->type]);
    const struct {
        const char *field;
        const char *text;
    } texts[] = {
        {"name", op->name},
        {"setting", op->setting},
        {"reason", op->reason},
        {"token_hash", op->token_hash},
    };
    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        if (texts[i].text[0]) {
            json_object_set_new(root, texts[i].field,
                                json_string(texts[i].text));
        }
    }
    if (op->scope != CFG_FLEET) {
        json_object_set_new(root, "scope",
                            json_string(Cfg_ScopeName(op->scope)));
    }
    json_object_set_new(root, "value", json_integer(op->value));
    if (op->id) {
        json_object_set_new(root, "id", json_integer((json_int_t)op->id));
    }
    if (op->expires_s) {
        json_object_set_new(root, "expires_s", json_integer(op->expires_s));
    }
    return root;
}

json_t *
Cj_WriteChange(const struct cj_change *change, uint64_t version)
{
    json_t *ops = json_array();
    for (uint32_t i = 0; i < change->count; i++) {
        json_array_append_new(ops, write_op(&change->ops[i]));
    }
    return json_pack("{s:I,s:s,s:s,s:I,s:o}", "version", (json_int_t)version,
                     "id", change->header.id, "author", change->header.author,
                     "time_s", (json_int_t)change->header.time_s, "ops", ops);
}

static int
read_op_type(struct cfg_op *op, const json_t *root, struct err *err)
{
    char word[WIRE_NAME_SIZE];
    if (get_text(root, "op", word, sizeof(word), err)) {
        return -1;
    }
    int type = 0;
    while (type < CFG_OP_COUNT && strcmp(op_names[type], word) != 0) {
        type++;
    }
    op->type = (enum cfg_op_type)type;
    return type < CFG_OP_COUNT ? 0
                               : Err_Set(err, CODE_BAD_FIELD,
                                         "op: unknown operation \"%s\"", word);
}

static int
read_scope(struct cfg_op *op, const json_t *root, struct err *err)
{
    char word[WIRE_NAME_SIZE];
    if (get_text(root, "scope", word, sizeof(word), err)) {
        return -1;
    }
    op->scope = word[0] ? Cfg_FindScope(word) : CFG_FLEET;
    return 0;
}

static int
read_op(struct cfg_op *op, const json_t *root, int64_t now_s, struct err *err)
{
    int64_t id;
    int64_t expires_in_s;
    memset(op, 0, sizeof(*op));
    if (!json_is_object(root)) {
        return bad_field(err, "ops: allowed is an array of objects");
    }
    if (read_op_type(op, root, err) || read_scope(op, root, err) ||
        get_text(root, "name", op->name, sizeof(op->name), err) ||
        get_text(root, "setting", op->setting, sizeof(op->setting), err) ||
        get_text(root, "reason", op->reason, sizeof(op->reason), err) ||
        get_text(root, "token_hash", op->token_hash, sizeof(op->token_hash),
                 err) ||
        get_int(root, "value", &op->value, err) ||
        get_int(root, "id", &id, err) ||
        get_int(root, "expires_s", &op->expires_s, err) ||
        get_int(root, "expires_in_s", &expires_in_s, err)) {
        return -1;
    }
    op->id = (uint64_t)id;
    if (expires_in_s < 0 || expires_in_s > INT32_MAX) {
        return bad_field(err,
                         "expires_in_s: allowed is 0 to 2147483647 seconds");
    }
    if (expires_in_s != 0) {
        op->expires_s = now_s + expires_in_s;
    }
    if (op->type == CFG_SET_DEFAULT || op->type == CFG_ADD_EXCEPTION) {
        if (!json_object_get(root, "value")) {
            return bad_field(err,
                             "value: missing, this operation requires it");
        }
    }
    return 0;
}

int
Cj_ReadOps(struct cj_change *change, const json_t *list, int64_t now_s,
           struct err *err)
{
    size_t count = json_array_size(list);
    if (count == 0 || count > CFG_MAX_OPS) {
        return Err_Set(err, CODE_BAD_FIELD,
                       "ops: found %zu, allowed are 1 to %d operations", count,
                       CFG_MAX_OPS);
    }
    for (size_t i = 0; i < count; i++) {
        if (read_op(&change->ops[i], json_array_get(list, i), now_s, err)) {
            return -1;
        }
    }
    change->count = (uint32_t)count;
    return 0;
}

int
Cj_ReadChange(struct cj_change *change, const json_t *root, struct err *err)
{
    return read_header(&change->header, root, err) ||
                   Cj_ReadOps(change, json_object_get(root, "ops"), 0, err)
               ? -1
               : 0;
}

static const struct cfg_exception *
find_exception(const struct config *config, uint64_t id)
{
    for (uint32_t i = 0; i < config->exception_count; i++) {
        if (config->exceptions[i].id == id) {
            return &config->exceptions[i];
        }
    }
    return NULL;
}

/* Returns the exceptions of `config` whose identifiers `other` lacks. */
static json_t *
exceptions_missing_in(const struct config *config, const struct config *other)
{
    json_t *list = json_array();
    for (uint32_t i = 0; i < config->exception_count; i++) {
        if (!find_exception(other, config->exceptions[i].id)) {
            json_array_append_new(list,
                                  Cj_WriteException(&config->exceptions[i]));
        }
    }
    return list;
}

static json_t *
default_or_null(const struct config *config, int id)
{
    return config->has_default[id] ? json_integer(config->defaults[id])
                                   : json_null();
}

static json_t *
changed_defaults(const struct config *before, const struct config *after)
{
    json_t *list = json_array();
    for (int id = 0; id < POL_COUNT; id++) {
        if (before->has_default[id] != after->has_default[id] ||
            before->defaults[id] != after->defaults[id]) {
            json_array_append_new(
                list, json_pack("{s:s,s:o,s:o}", "setting", Pol_Spec(id)->name,
                                "before", default_or_null(before, id), "after",
                                default_or_null(after, id)));
        }
    }
    return list;
}

static json_t *
changed_teams(const struct config *before, const struct config *after)
{
    json_t *list = json_array();
    for (uint32_t i = 0; i < after->team_count; i++) {
        const struct cfg_team *team = &after->teams[i];
        const struct cfg_team *old_team = Cfg_FindTeam(before, team->name);
        if (!old_team || old_team->quota != team->quota ||
            strcmp(old_team->token_hash, team->token_hash) != 0) {
            json_array_append_new(list, write_team(team, 0));
        }
    }
    return list;
}

static json_t *
removed_teams(const struct config *before, const struct config *after)
{
    json_t *list = json_array();
    for (uint32_t i = 0; i < before->team_count; i++) {
        if (!Cfg_FindTeam(after, before->teams[i].name)) {
            json_array_append_new(list, json_string(before->teams[i].name));
        }
    }
    return list;
}

json_t *
Cj_WriteDifference(const struct config *before, const struct config *after)
{
    return json_pack(
        "{s:o,s:o,s:o,s:o,s:o}", "defaults", changed_defaults(before, after),
        "exceptions_added", exceptions_missing_in(after, before),
        "exceptions_removed", exceptions_missing_in(before, after),
        "teams_changed", changed_teams(before, after), "teams_removed",
        removed_teams(before, after));
}
