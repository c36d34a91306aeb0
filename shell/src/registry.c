#include "shell/registry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/addr.h"
#include "base/json.h"
#include "base/log.h"

void
Reg_Init(struct registry *registry, struct store *store,
         const struct settings *settings, uint64_t incarnation, reg_done *done,
         void *context)
{
    memset(registry, 0, sizeof(*registry));
    registry->store = store;
    registry->settings = settings;
    registry->incarnation = incarnation;
    registry->done = done;
    registry->context = context;
}

static int
is_amount(json_int_t number)
{
    return number >= 0 && number <= WIRE_MAX_RESOURCE;
}

int
Reg_ReadCapacity(struct resources *capacity, const json_t *saved)
{
    json_int_t cpu = 0;
    json_int_t memory_mb = 0;
    json_int_t gpu = 0;
    if (!saved ||
        json_unpack((json_t *)saved, "{s:I,s:I,s:I}", "cpu", &cpu, "memory_mb",
                    &memory_mb, "gpu", &gpu) ||
        !is_amount(cpu) || !is_amount(memory_mb) || !is_amount(gpu)) {
        return -1;
    }
    *capacity =
        (struct resources){(uint32_t)cpu, (uint32_t)memory_mb, (uint32_t)gpu};
    return 0;
}

/* Reads the upstream that an agent saved in its row; leaves `service` empty if
 * there is none. */
static void
read_saved_upstream(struct ent_member *member, const json_t *saved)
{
    size_t i;
    const json_t *label;
    if (Reg_ReadCapacity(&member->capacity, saved)) {
        return;
    }
    Js_CopyText(member->service, sizeof(member->service), saved, "service");
    json_array_foreach(json_object_get(saved, "labels"), i, label)
    {
        Labels_Add(&member->labels, json_string_value(label));
    }
}

int
Reg_ReadMember(struct ent_member *member, const char *key, const json_t *value,
               uint64_t version)
{
    char role[WIRE_NAME_SIZE];
    char incarnation[24];
    char host[WIRE_ADDR_SIZE];
    int port;
    memset(member, 0, sizeof(*member));
    if (strncmp(key, REG_PREFIX, strlen(REG_PREFIX)) != 0 ||
        Js_CopyText(member->node, sizeof(member->node), value, "node") ||
        Js_CopyText(member->addr, sizeof(member->addr), value, "address") ||
        Addr_Split(member->addr, host, sizeof(host), &port) ||
        Js_CopyText(member->dc, sizeof(member->dc), value, "data_centre") ||
        Js_CopyText(role, sizeof(role), value, "role") ||
        Js_CopyText(incarnation, sizeof(incarnation), value, "incarnation")) {
        return -1;
    }
    Js_CopyText(member->region, sizeof(member->region), value, "region");
    Js_CopyText(member->rack, sizeof(member->rack), value, "rack");
    member->role = strcmp(role, "entry") == 0 ? ROLE_ENTRY : ROLE_AGENT;
    member->incarnation = strtoull(incarnation, NULL, 16);
    member->registered = version;
    member->replaced = json_is_true(json_object_get(value, "replaced"));
    read_saved_upstream(member, json_object_get(value, "note"));
    return member->incarnation ? 0 : -1;
}

static void
format_own_key(const struct registry *registry, char *key, size_t size)
{
    snprintf(key, size, REG_PREFIX "%s", registry->settings->node);
}

/* Returns NULL when no row of `rows` has the key. */
static const json_t *
find_row(const json_t *rows, const char *wanted)
{
    size_t i;
    const json_t *row;
    json_array_foreach(rows, i, row)
    {
        const char *key = json_string_value(json_object_get(row, "key"));
        if (key && strcmp(key, wanted) == 0) {
            return row;
        }
    }
    return NULL;
}

static const json_t *
find_own_row(const struct registry *registry, const json_t *rows)
{
    char key[WIRE_NAME_SIZE + sizeof(REG_PREFIX)];
    format_own_key(registry, key, sizeof(key));
    return find_row(rows, key);
}

/* Returns 0 when `row` is NULL. */
static uint64_t
version_of(const json_t *row)
{
    return (uint64_t)json_integer_value(json_object_get(row, "version"));
}

/* A removed row remains in the table without a value. */
static int
has_value(const json_t *row)
{
    const json_t *value = json_object_get(row, "value");
    return value && !json_is_null(value);
}

/* The incarnation is 0 when the row is not that of a member. */
static struct ent_member
parse_member(const json_t *row)
{
    struct ent_member member;
    const char *key = json_string_value(json_object_get(row, "key"));
    const json_t *value = json_object_get(row, "value");
    if (Reg_ReadMember(&member, key, value, 1)) {
        member.incarnation = 0;
    }
    return member;
}

static void
set_registered(struct registry *registry, uint64_t version)
{
    registry->registered_version = version;
    registry->done(registry->context, version);
}

/* True if overwriting the row may mean that an agent has lost its memory. The
 * row of a removed member has no role, so it may have been an agent's. */
static int
may_be_agent(const struct registry *registry, const json_t *value)
{
    const char *role = json_string_value(json_object_get(value, "role"));
    return strcmp(registry->settings->role, "agent") == 0 || !role ||
           strcmp(role, "entry") != 0;
}

static void commit_row(struct registry *registry);

/* Prepares the commit that overwrites `row`. If the row is that of an earlier
 * process, passes the state saved in it to `restore`. */
static void
use_row(struct registry *registry, const json_t *row, int is_own)
{
    const json_t *value = json_object_get(row, "value");
    const json_t *state = json_object_get(value, "note");
    registry->row_version = version_of(row);
    registry->row_replaced = may_be_agent(registry, value);
    if (state && registry->restore && !is_own) {
        registry->restore(registry->context, state);
    }
}

/* An entry does not overwrite the row of an entry at another address, which
 * may still run: that row has to be removed first. */
static int
must_wait_for_removal(struct registry *registry,
                      const struct ent_member *member)
{
    const struct settings *settings = registry->settings;
    enum role role =
        strcmp(settings->role, "entry") == 0 ? ROLE_ENTRY : ROLE_AGENT;
    int waited = registry->waits_for_removal;
    registry->waits_for_removal =
        !registry->restore_row && member->incarnation &&
        !Ent_MayReplace(member, role, settings->public_internal);
    if (registry->waits_for_removal && !waited) {
        LOG_WARN("registry",
                 "The row of this node belongs to an entry at another address "
                 "that may still run: waiting until the row is removed. "
                 "node=%s address=%s",
                 settings->node, member->addr);
    }
    return registry->waits_for_removal;
}

/* Entries without a row join one at a time: each waits until the previous one
 * is accepted and the join lock is removed. On the platform they need not
 * wait, as no change there depends on the acceptance of entries. */
static int
must_wait_for_join(struct registry *registry, const json_t *lock)
{
    int waited = registry->waits_for_join;
    registry->join_lock_version = version_of(lock);
    registry->waits_for_join = registry->is_joining && has_value(lock);
    if (registry->waits_for_join && !waited) {
        LOG_INFO("registry",
                 "Another entry is joining: waiting until it is accepted. "
                 "node=%s version=%llu",
                 registry->settings->node,
                 (unsigned long long)registry->join_lock_version);
    }
    return registry->waits_for_join;
}

/* Leaves `phase` at 0, so that the next Reg_Step() reads again, or sets it to
 * 2 for the commit. */
static void
on_rows(void *context, const struct store_result *result)
{
    struct registry *registry = context;
    registry->phase = 0;
    if (result->code != CODE_OK) {
        return;
    }
    const json_t *rows = json_object_get(result->body, "rows");
    const json_t *row = find_own_row(registry, rows);
    registry->row_version = 0;
    registry->row_replaced = 0;
    registry->is_joining = !registry->restore_row && !has_value(row) &&
                           strcmp(registry->settings->role, "entry") == 0;
    if (row) {
        struct ent_member member = parse_member(row);
        int is_own = member.incarnation == registry->incarnation;
        use_row(registry, row, is_own);
        if (!registry->state_unsaved && is_own) {
            set_registered(registry, registry->row_version);
            return;
        }
        if (!is_own && must_wait_for_removal(registry, &member)) {
            return;
        }
    }
    if (must_wait_for_join(registry, find_row(rows, REG_JOIN_LOCK))) {
        return;
    }
    registry->phase = 2;
    if (registry->restore_row) {
        commit_row(registry);
    }
}

static void
on_commit(void *context, const struct store_result *result)
{
    struct registry *registry = context;
    /* After a conflict or a lost answer, the next Reg_Step() reads the rows
     * again, and finds the own row if the commit took effect. */
    registry->phase = 0;
    if (result->code == CODE_OK) {
        registry->state_unsaved = 0;
        json_t *version = json_object_get(result->body, "version");
        set_registered(registry, (uint64_t)json_integer_value(version));
    }
}

static void
commit_row(struct registry *registry)
{
    const struct settings *settings = registry->settings;
    char key[WIRE_NAME_SIZE + sizeof(REG_PREFIX)];
    char incarnation[24];
    format_own_key(registry, key, sizeof(key));
    snprintf(incarnation, sizeof(incarnation), "%016llx",
             (unsigned long long)registry->incarnation);
    json_t *change = json_pack(
        "{s:[{s:s,s:I}],s:[{s:s,s:{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:b}}]}",
        "checks", "key", key, "version", (json_int_t)registry->row_version,
        "writes", "key", key, "value", "node", settings->node, "role",
        settings->role, "incarnation", incarnation, "address",
        settings->public_internal, "http", settings->listen_http,
        "data_centre", settings->data_centre, "region", settings->region,
        "rack", settings->rack, "replaced", registry->row_replaced);
    if (registry->saved_state) {
        json_t *write = json_array_get(json_object_get(change, "writes"), 0);
        json_object_set(json_object_get(write, "value"), "note",
                        registry->saved_state);
    }
    if (registry->is_joining) {
        json_array_append_new(
            json_object_get(change, "checks"),
            json_pack("{s:s,s:I}", "key", REG_JOIN_LOCK, "version",
                      (json_int_t)registry->join_lock_version));
        json_array_append_new(json_object_get(change, "writes"),
                              json_pack("{s:s,s:{s:s}}", "key", REG_JOIN_LOCK,
                                        "value", "node", settings->node));
    }
    registry->phase = 1;
    Store_Commit(registry->store, change, on_commit, registry);
    json_decref(change);
}

void
Reg_SetSavedState(struct registry *registry, json_t *state)
{
    if (json_equal(registry->saved_state, state)) {
        json_decref(state);
        return;
    }
    json_decref(registry->saved_state);
    registry->saved_state = state;
    registry->state_unsaved = 1;
    registry->registered_version = 0;
    Reg_Step(registry);
}

void
Reg_Finish(struct registry *registry)
{
    json_decref(registry->saved_state);
    registry->saved_state = NULL;
}

void
Reg_Step(struct registry *registry)
{
    if (registry->registered_version || registry->phase == 1) {
        return;
    }
    if (registry->phase == 2) {
        commit_row(registry);
        return;
    }
    char key[WIRE_NAME_SIZE + sizeof(REG_PREFIX)];
    format_own_key(registry, key, sizeof(key));
    registry->phase = 1;
    Store_ReadRow(registry->store, key, on_rows, registry);
}

/* Has the own row written again when it is missing, as after an outage that
 * lost it, or when it is that of an earlier process of this node. The row of a
 * later process is left as it is. */
static void
restore_own_row(struct registry *registry, const json_t *row)
{
    if (row && parse_member(row).incarnation >= registry->incarnation) {
        return;
    }
    LOG_WARN("registry",
             "The row of this node is missing or outdated: writing it again. "
             "node=%s",
             registry->settings->node);
    registry->registered_version = 0;
    registry->phase = 0;
}

static void
on_verify(void *context, const struct store_result *result)
{
    struct registry *registry = context;
    registry->verifying = 0;
    if (result->code != CODE_OK) {
        return;
    }
    const json_t *row =
        find_own_row(registry, json_object_get(result->body, "rows"));
    if (registry->restore_row) {
        restore_own_row(registry, row);
    }
    else if (row) {
        /* Only rows newer than the registration were read. */
        registry->row_lost = 1;
    }
}

void
Reg_Verify(struct registry *registry)
{
    if (!registry->registered_version || registry->verifying) {
        return;
    }
    registry->verifying = 1;
    if (registry->restore_row) {
        char key[WIRE_NAME_SIZE + sizeof(REG_PREFIX)];
        format_own_key(registry, key, sizeof(key));
        Store_ReadRow(registry->store, key, on_verify, registry);
        return;
    }
    Store_Read(registry->store, registry->registered_version, on_verify,
               registry);
}
