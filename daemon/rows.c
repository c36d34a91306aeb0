/* This entry's copy of the table service's rows. They are read from the
 * service or received from another entry; an older version never replaces a
 * newer one. */
#include <stdlib.h>
#include <string.h>

#include "adapter.h"
#include "base/log.h"
#include "control.h"

/* Time after a change of the rows here until they are sent to entries that
 * lag behind, and interval between sends to the same entry. */
#define RELAY_DELAY_US (300 * US_PER_MS)
/* The same at the entries that are not among the first relays. */
#define BACKUP_RELAY_DELAY_US (1200 * US_PER_MS)

static json_t *
find_row(const struct control *control, const char *key)
{
    return json_object_get(control->rows, key);
}

uint64_t
Rows_Version(const struct control *control, const char *key)
{
    return (uint64_t)json_integer_value(
        json_object_get(find_row(control, key), "version"));
}

json_t *
Rows_Value(const struct control *control, const char *key)
{
    json_t *value = json_object_get(find_row(control, key), "value");
    return json_is_null(value) ? NULL : value;
}

void
Rows_Remove(struct control *control, const char *key, store_done *done,
            void *context)
{
    json_t *change = json_pack(
        "{s:[{s:s,s:I}],s:[{s:s,s:n}]}", "checks", "key", key, "version",
        (json_int_t)Rows_Version(control, key), "writes", "key", key, "value");
    Store_Commit(control->store, change, done, context);
    json_decref(change);
}

json_t *
Rows_FindChange(const struct control *control, const char *id)
{
    size_t i;
    json_t *item;
    json_array_foreach(Rows_Value(control, ROW_HISTORY), i, item)
    {
        const char *found = json_string_value(json_object_get(item, "id"));
        if (found && strcmp(found, id) == 0) {
            return item;
        }
    }
    return NULL;
}

/* Marks this entry as superseded if its registry row was removed or written by
 * another process. Not done on the users' platform, where the process writes a
 * missing row again. */
static void
check_own_row(struct control *control, const char *node,
              const struct ent_member *member, uint64_t version)
{
    const struct registry *registry = control->registry;
    if (Adapter_IsOn(control->settings) ||
        strcmp(node, control->settings->node) != 0 ||
        !registry->registered_version ||
        version <= registry->registered_version ||
        (member && member->incarnation == registry->incarnation)) {
        return;
    }
    if (!control->core->conf.superseded) {
        LOG_ERROR("registry",
                  "Registry row %s of this entry was replaced or removed: "
                  "stopping.",
                  node);
    }
    control->core->conf.superseded = 1;
}

static void
apply_member(struct control *control, const json_t *row, const char *key)
{
    struct ent_member member;
    const char *node = key + strlen(REG_PREFIX);
    const json_t *value = json_object_get(row, "value");
    uint64_t version =
        (uint64_t)json_integer_value(json_object_get(row, "version"));
    if (json_is_null(value)) {
        check_own_row(control, node, NULL, version);
        Ent_OnMemberRemoved(control->core, Loop_Now(), node, version);
    }
    else if (Reg_ReadMember(&member, key, value, version) == 0) {
        check_own_row(control, node, &member, version);
        Ent_OnMember(control->core, Loop_Now(), &member);
    }
    else {
        CTR_INC(control->counters, config_corrupt);
        LOG_ERROR("registry", "Invalid member row %s at version %llu ignored.",
                  key, (unsigned long long)version);
    }
}

/* Encodes the configuration in force, and the change that made it, for
 * agents. */
static void
encode_config(struct control *control)
{
    json_t *root = Cj_Write(&control->config, 1);
    json_t *history = Rows_Value(control, ROW_HISTORY);
    size_t count = json_array_size(history);
    const json_t *last = count ? json_array_get(history, count - 1) : NULL;
    free(control->full_text);
    free(control->diff_text);
    control->full_text = json_dumps(root, JSON_COMPACT);
    control->diff_text = NULL;
    if ((uint64_t)json_integer_value(json_object_get(last, "version")) ==
        control->config.version) {
        control->diff_text = json_dumps(last, JSON_COMPACT);
    }
    json_decref(root);
}

static struct bytes
as_bytes(const char *text)
{
    return (struct bytes){text, text ? (uint32_t)strlen(text) : 0};
}

/* Returns 1 if the commit of a change made here was sent but the rows with it
 * were not sent to the other entries yet. */
static int
has_unannounced_change(const struct control *control)
{
    for (int i = 0; i < CHANGE_MAX; i++) {
        const struct change *change = &control->changes[i];
        if (change->state >= CHANGE_COMMITTING &&
            change->state <= CHANGE_COMMITTED && !change->announced) {
            return 1;
        }
    }
    return 0;
}

static void
apply_config(struct control *control)
{
    struct err err = {0};
    if (Cj_Read(&control->scratch, Rows_Value(control, ROW_CONFIG), &err)) {
        CTR_INC(control->counters, config_corrupt);
        LOG_ERROR("config",
                  "Invalid row " ROW_CONFIG " ignored: %s. Configuration "
                  "version %llu stays in force.",
                  err.text, (unsigned long long)control->config.version);
        return;
    }
    if (control->scratch.version <= control->config.version) {
        CTR_INC(control->counters, config_corrupt);
        LOG_ERROR("config",
                  "Configuration version %llu ignored: not newer than version "
                  "%llu in force.",
                  (unsigned long long)control->scratch.version,
                  (unsigned long long)control->config.version);
        return;
    }
    control->config = control->scratch;
    control->next_expiry_s = Cfg_NextExpiry(&control->config, Loop_Now().wall);
    encode_config(control);
    LOG_INFO("config", "Configuration version %llu by %s is in force.",
             (unsigned long long)control->config.version,
             control->config.last.author);
    Ent_OnConfig(control->core, Loop_Now(), &control->config,
                 as_bytes(control->full_text), as_bytes(control->diff_text),
                 Adapter_IsOn(control->settings) ||
                     has_unannounced_change(control));
}

static void
apply_routes(struct control *control)
{
    struct err err = {0};
    struct route_table table;
    if (Routes_Read(&table, Rows_Value(control, PF_ROW_ROUTES), &err)) {
        CTR_INC(control->counters, config_corrupt);
        LOG_ERROR("config", "Invalid route table ignored: %s.", err.text);
        return;
    }
    Route_Finish(&control->routes);
    control->routes = table;
    LOG_INFO("config", "Route table is in force. version=%llu routes=%u",
             (unsigned long long)table.version, table.count);
}

/* Stores a row unless it is malformed or not newer than the known one. Returns
 * 1 if it was stored. */
static int
store_row(struct control *control, json_t *row)
{
    const char *key = json_string_value(json_object_get(row, "key"));
    json_int_t version = json_integer_value(json_object_get(row, "version"));
    if (!key || !json_object_get(row, "value") || version <= 0 ||
        (uint64_t)version <= Rows_Version(control, key)) {
        return 0;
    }
    json_object_set(control->rows, key, row);
    return 1;
}

static void
apply_rows(struct control *control, const json_t *list)
{
    size_t i;
    json_t *row;
    int has_config = 0;
    int has_routes = 0;
    json_array_foreach(list, i, row)
    {
        const char *key = json_string_value(json_object_get(row, "key"));
        if (!store_row(control, row)) {
            continue;
        }
        control->rows_changed_us = Loop_Now().us;
        if (strncmp(key, REG_PREFIX, strlen(REG_PREFIX)) == 0) {
            apply_member(control, row, key);
        }
        has_config |= strcmp(key, ROW_CONFIG) == 0;
        has_routes |= strcmp(key, PF_ROW_ROUTES) == 0;
    }
    if (has_routes) {
        apply_routes(control);
    }
    if (has_config) {
        apply_config(control);
    }
}

/* Records that the table service answered. After a gap of more than 10 s,
 * members are given the full time again before they count as dead. */
static void
record_read(struct control *control, struct now now)
{
    if (now.us - control->last_read_us > 10 * US_PER_S) {
        control->reachable_since_us = now.us;
    }
    control->last_read_us = now.us;
}

void
Rows_OnRead(struct control *control, const json_t *body, uint64_t sent_us)
{
    struct now now = Loop_Now();
    uint64_t version =
        (uint64_t)json_integer_value(json_object_get(body, "version"));
    apply_rows(control, json_object_get(body, "rows"));
    record_read(control, now);
    if (!control->registry->registered_version &&
        !Adapter_IsOn(control->settings)) {
        return;
    }
    /* An answer older than the rows known here was delayed: it does not
     * confirm that they are the newest. */
    if (version >= control->core->registry_version) {
        Ent_OnVersion(control->core, now, version);
        Ent_OnStoreRead(control->core, now, sent_us);
    }
    Change_OnRead(control, sent_us);
}

void
Rows_OnState(struct control *control, const struct frame_header *header,
             const struct msg_state *state)
{
    json_t *root = json_loadb(state->rows.size ? state->rows.data : "",
                              state->rows.size, 0, NULL);
    uint64_t since =
        (uint64_t)json_integer_value(json_object_get(root, "since"));
    if (header->role == ROLE_ENTRY && json_object_get(root, "since") &&
        since <= control->core->registry_version &&
        (control->core->registry_version || Adapter_IsOn(control->settings))) {
        apply_rows(control, json_object_get(root, "rows"));
        Ent_OnVersion(control->core, Loop_Now(), state->version);
        Ent_Acknowledge(control->core, Loop_Now(), header->from);
    }
    json_decref(root);
}

/* Encodes the rows that changed after version `since` as JSON. The caller
 * frees the result. */
static char *
encode_rows_since(const struct control *control, uint64_t since)
{
    json_t *list = json_array();
    const char *key;
    json_t *row;
    json_object_foreach(control->rows, key, row)
    {
        json_int_t version =
            json_integer_value(json_object_get(row, "version"));
        if ((uint64_t)version > since) {
            json_array_append(list, row);
        }
    }
    json_t *root =
        json_pack("{s:I,s:o}", "since", (json_int_t)since, "rows", list);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

static void
relay_to(struct control *control, struct ent_peer *peer, struct now now)
{
    struct msg msg = {.type = MSG_STATE};
    char *text = encode_rows_since(control, peer->rows_version);
    msg.u.state.version = control->core->registry_version;
    msg.u.state.rows = as_bytes(text);
    peer->pushed_us = now.us;
    CTR_INC(control->counters, config_pushed);
    Link_Send(control->links, peer->member.incarnation, &msg);
    free(text);
}

static int
may_lag(const struct control *control, const struct ent_peer *peer)
{
    return peer->rows_version != 0 ||
           (Adapter_IsOn(control->settings) && peer->version_echo_us != 0);
}

/* Whether the peer still lacked rows after it had time to read them itself, by
 * its latest message. Only a few entries relay at first: rows sent by all of
 * many entries at once would take more processor time than the jobs. */
static int
is_relay_due(const struct control *control, struct now now,
             const struct ent_peer *peer)
{
    uint64_t since_us = control->rows_changed_us > peer->pushed_us
                            ? control->rows_changed_us
                            : peer->pushed_us;
    if (!may_lag(control, peer) ||
        peer->version_heard_us < since_us + RELAY_DELAY_US) {
        return 0;
    }
    return peer->version_heard_us >= since_us + BACKUP_RELAY_DELAY_US ||
           Ent_IsFirstRelay(control->core, now, peer);
}

void
Rows_Relay(struct control *control, int at_once)
{
    struct now now = Loop_Now();
    uint32_t slot = 0;
    struct ent_peer *peer;
    if (!at_once && now.us - control->rows_changed_us < RELAY_DELAY_US) {
        return;
    }
    while ((peer = Tab_Next(&control->core->peers, &slot))) {
        if (peer->member.role == ROLE_ENTRY &&
            peer->rows_version < control->core->registry_version &&
            (at_once ? may_lag(control, peer)
                     : is_relay_due(control, now, peer))) {
            relay_to(control, peer, now);
        }
    }
}
