/* Changes of the configuration. A change is based on the newest rows, which
 * are read first, and committed by compare-and-set. If the answer to the
 * commit is lost, later reads show whether it took effect; the commit is sent
 * at most once. The change then waits for acceptance by the members. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "control.h"

/* Maximum number of members listed in an answer. */
#define NAMES_MAX 32

/* By enum change_state; written into answers. */
static const char *const state_names[] = {
    "free",      "queued",   "reading",   "committing",
    "read back", "conflict", "committed", "accepted",
};

struct change *
Change_New(struct control *control)
{
    struct change *oldest = NULL;
    for (int i = 0; i < CHANGE_MAX; i++) {
        struct change *change = &control->changes[i];
        int done = change->state >= CHANGE_READ_BACK && change->conn == 0;
        if (change->state == CHANGE_FREE) {
            oldest = change;
            break;
        }
        if (done && (!oldest || change->sequence < oldest->sequence)) {
            oldest = change;
        }
    }
    if (oldest) {
        memset(oldest, 0, sizeof(*oldest));
        oldest->sequence = ++control->next_sequence;
    }
    return oldest;
}

struct change *
Change_Find(struct control *control, const char *id)
{
    for (int i = 0; i < CHANGE_MAX; i++) {
        struct change *change = &control->changes[i];
        if (change->state != CHANGE_FREE &&
            strcmp(change->body.header.id, id) == 0) {
            return change;
        }
    }
    return NULL;
}

/* Lists up to NAMES_MAX members that have not applied a change. */
static json_t *
write_lagging(const struct control *control,
              const struct ent_pending_change *pending)
{
    json_t *list = json_array();
    uint32_t slot = 0;
    const struct ent_peer *peer;
    while ((peer = Tab_Next(&control->core->peers, &slot))) {
        if (!Ent_HasAcked(peer, pending) &&
            json_array_size(list) < NAMES_MAX) {
            json_array_append_new(list, json_string(peer->member.node));
        }
    }
    return list;
}

static json_t *
write_acks(const struct control *control, struct change *change)
{
    struct ent_acks acks =
        Ent_CheckAcceptance(control->core, Loop_Now(), &change->pending);
    json_t *root = json_pack(
        "{s:{s:i,s:i},s:{s:i,s:i},s:b,s:o}", "entries", "registered",
        (int)acks.entries, "acknowledged", (int)acks.entries_acked, "agents",
        "registered", (int)acks.agents, "acknowledged", (int)acks.agents_acked,
        "others_lapsed", (int)acks.lapsed, "not_acknowledged",
        write_lagging(control, &change->pending));
    return root;
}

json_t *
Change_Write(const struct control *control, struct change *change)
{
    json_t *root = json_pack(
        "{s:s,s:s,s:s}", "state", state_names[change->state], "id",
        change->body.header.id, "author", change->body.header.author);
    if (change->state >= CHANGE_COMMITTED) {
        json_object_set_new(
            root, "version",
            json_integer((json_int_t)change->pending.config_version));
        json_object_update_new(root, write_acks(control, change));
    }
    if (change->state == CHANGE_ACCEPTED) {
        uint64_t took_us = change->accepted_us - change->queued_us;
        json_object_set_new(root, "took_ms",
                            json_integer((json_int_t)(took_us / US_PER_MS)));
    }
    return root;
}

/* Answers the request that waits for a change, if any. Takes ownership of
 * `root`. */
static void
reply(struct control *control, struct change *change, enum code code,
      json_t *root)
{
    if (change->conn) {
        Admin_Reply(control, change->conn, code, root);
        change->conn = 0;
    }
    else {
        json_decref(root);
    }
}

static void start_next(struct control *control);

/* Frees the slot of a change that had no effect. */
static void
discard(struct control *control, struct change *change)
{
    change->conn = 0;
    change->state = CHANGE_FREE;
    if (control->active == change) {
        control->active = NULL;
        start_next(control);
    }
}

static void
refuse(struct control *control, struct change *change, enum code code,
       const char *detail)
{
    if (change->conn) {
        Admin_ReplyError(control, change->conn, code, detail);
    }
    discard(control, change);
}

static void
refuse_conflict(struct control *control, struct change *change)
{
    const struct cfg_change *last = &control->config.last;
    char text[128];
    snprintf(text, sizeof(text), "change %s by %s at %lld made version %llu",
             last->id, last->author, (long long)last->time_s,
             (unsigned long long)control->config.version);
    CTR_INC(control->counters, config_conflicts);
    refuse(control, change, CODE_CONFLICT, text);
}

static void
on_refresh_read(void *context, const struct store_result *result)
{
    struct control *control = context;
    if (result->code == CODE_OK) {
        /* The send time is not recorded, so this read does not confirm that
         * the configuration is the newest. */
        Rows_OnRead(control, result->body, 0);
        Rows_Relay(control, 1);
    }
}

/* `rows` is the version of the rows with the change, `config` that of the
 * configuration. */
static void
set_committed(struct control *control, struct change *change, uint64_t rows,
              uint64_t config)
{
    change->state = CHANGE_COMMITTED;
    change->pending.rows_version = rows;
    change->pending.config_version = config;
    change->pending.commit_us = Loop_Now().us;
    if (control->active == change) {
        control->active = NULL;
    }
    CTR_INC(control->counters, config_changes);
    Store_Read(control->store, control->core->registry_version,
               on_refresh_read, control);
    start_next(control);
}

static void
on_conflict_read(void *context, const struct store_result *result)
{
    struct control *control = context;
    struct change *change = control->active;
    if (result->code == CODE_OK) {
        Rows_OnRead(control, result->body, 0);
    }
    if (change && change->state == CHANGE_CONFLICT) {
        refuse_conflict(control, change);
    }
}

static void
on_commit(void *context, const struct store_result *result)
{
    struct control *control = context;
    struct change *change = control->active;
    if (!change || change->state != CHANGE_COMMITTING) {
        return;
    }
    if (result->code == CODE_OK) {
        set_committed(control, change,
                      (uint64_t)json_integer_value(
                          json_object_get(result->body, "version")),
                      change->pending.config_version);
    }
    else if (result->code == CODE_CONFLICT) {
        change->state = CHANGE_CONFLICT;
        Store_Read(control->store, control->core->registry_version,
                   on_conflict_read, control);
    }
    else {
        /* The commit may still take effect until ROW_CONFIG changes. The next
         * change need not wait for that: of two commits that check for the
         * same version, only one can succeed. */
        change->state = CHANGE_READ_BACK;
        change->sent_us = Loop_Now().us;
        control->active = NULL;
        start_next(control);
    }
}

static json_t *
write_history(const struct control *control, const struct change *change,
              uint64_t version)
{
    json_t *old = Rows_Value(control, ROW_HISTORY);
    json_t *list = json_is_array(old) ? json_copy(old) : json_array();
    json_array_append_new(list, Cj_WriteChange(&change->body, version));
    while (json_array_size(list) > HISTORY_MAX) {
        json_array_remove(list, 0);
    }
    return list;
}

static void
commit(struct control *control, struct change *change,
       const struct config *after)
{
    change->row_version = Rows_Version(control, ROW_CONFIG);
    change->pending.config_version = after->version;
    change->state = CHANGE_COMMITTING;
    json_t *root = json_pack(
        "{s:[{s:s,s:I}],s:[{s:s,s:o},{s:s,s:o}]}", "checks", "key", ROW_CONFIG,
        "version", (json_int_t)change->row_version, "writes", "key",
        ROW_CONFIG, "value", Cj_Write(after, 1), "key", ROW_HISTORY, "value",
        write_history(control, change, after->version));
    Store_Commit(control->store, root, on_commit, control);
    json_decref(root);
}

static void
add_data_centre(struct cfg_data_centres *data_centres, const char *region,
                const char *dc)
{
    for (uint32_t i = 0; i < data_centres->count; i++) {
        if (strcmp(data_centres->items[i].dc, dc) == 0) {
            return;
        }
    }
    if (data_centres->count < CFG_MAX_DATA_CENTRES) {
        struct cfg_data_centre *data_centre =
            &data_centres->items[data_centres->count++];
        memcpy(data_centre->region, region, WIRE_NAME_SIZE);
        memcpy(data_centre->dc, dc, WIRE_NAME_SIZE);
    }
}

static void
list_data_centres(const struct control *control,
                  struct cfg_data_centres *data_centres)
{
    uint32_t slot = 0;
    const struct ent_peer *peer;
    add_data_centre(data_centres, control->settings->region,
                    control->settings->data_centre);
    while ((peer = Tab_Next(&control->core->peers, &slot))) {
        add_data_centre(data_centres, peer->member.region, peer->member.dc);
    }
}

/* Refuses a version that does not exist yet; apply_change() checks for older
 * ones. */
static int
check_if_version(const struct control *control, const struct change *change,
                 struct err *err)
{
    if (change->if_version > control->config.version) {
        return Err_Set(err, CODE_BAD_FIELD,
                       "if_version is %llu, but the latest version is "
                       "%llu",
                       (unsigned long long)change->if_version,
                       (unsigned long long)control->config.version);
    }
    return 0;
}

/* Applies a change to the configuration that was just read, and commits the
 * result. */
static void
apply_change(struct control *control, struct change *change)
{
    struct cfg_data_centres data_centres = {.force = change->force};
    struct err err = {0};
    list_data_centres(control, &data_centres);
    control->scratch = control->config;
    if (change->if_version && change->if_version < control->config.version) {
        refuse_conflict(control, change);
        return;
    }
    if (check_if_version(control, change, &err) ||
        Cfg_Apply(&control->scratch, &change->body.header, change->body.ops,
                  change->body.count, &data_centres, &err)) {
        refuse(control, change, err.code, err.text);
        return;
    }
    if (change->dry_run) {
        json_t *root =
            json_pack("{s:s,s:I,s:o}", "state", "dry run", "version",
                      (json_int_t)control->config.version, "difference",
                      Cj_WriteDifference(&control->config, &control->scratch));
        reply(control, change, CODE_OK, root);
        discard(control, change);
        return;
    }
    commit(control, change, &control->scratch);
}

/* Marks a change as committed that was found in the history as `item`. */
static void
adopt(struct control *control, struct change *change, const json_t *item)
{
    CTR_INC(control->counters, config_read_back);
    set_committed(
        control, change, Rows_Version(control, ROW_HISTORY),
        (uint64_t)json_integer_value(json_object_get(item, "version")));
}

static void
on_first_read(void *context, const struct store_result *result)
{
    struct control *control = context;
    struct change *change = control->active;
    if (!change || change->state != CHANGE_READING) {
        return;
    }
    if (result->code != CODE_OK) {
        refuse(control, change, CODE_STORE_DOWN, NULL);
        return;
    }
    Rows_OnRead(control, result->body, change->sent_us);
    if (!control->registry->registered_version ||
        control->core->registry_version == 0) {
        refuse(control, change, CODE_NOT_FRESH, NULL);
        return;
    }
    /* An earlier request with the same id may have committed the change. */
    const json_t *known = Rows_FindChange(control, change->body.header.id);
    if (known) {
        adopt(control, change, known);
        return;
    }
    apply_change(control, change);
}

/* Starts the oldest queued change unless another one is active. */
static void
start_next(struct control *control)
{
    struct change *next = NULL;
    for (int i = 0; i < CHANGE_MAX; i++) {
        struct change *change = &control->changes[i];
        if (change->state == CHANGE_QUEUED &&
            (!next || change->sequence < next->sequence)) {
            next = change;
        }
    }
    if (control->active || !next) {
        return;
    }
    control->active = next;
    next->state = CHANGE_READING;
    next->sent_us = Loop_Now().us;
    Store_Read(control->store, control->core->registry_version, on_first_read,
               control);
}

void
Change_Queue(struct control *control, struct change *change)
{
    change->state = CHANGE_QUEUED;
    change->queued_us = Loop_Now().us;
    start_next(control);
}

/* Determines the outcome of a commit without answer from the rows just read:
 * either the history contains the change, or ROW_CONFIG has another version,
 * so that the commit can no longer take effect. Otherwise the outcome is still
 * unknown. */
static void
read_back(struct control *control, struct change *change)
{
    const json_t *item = Rows_FindChange(control, change->body.header.id);
    if (item) {
        adopt(control, change, item);
    }
    else if (Rows_Version(control, ROW_CONFIG) != change->row_version) {
        refuse_conflict(control, change);
    }
}

void
Change_OnRead(struct control *control, uint64_t sent_us)
{
    for (int i = 0; i < CHANGE_MAX; i++) {
        struct change *change = &control->changes[i];
        if (change->state == CHANGE_READ_BACK && sent_us >= change->sent_us) {
            read_back(control, change);
        }
    }
}

/* Answers the waiting request when the change was not accepted in time. */
static void
reply_not_accepted(struct control *control, struct change *change)
{
    json_t *root = Change_Write(control, change);
    json_object_set_new(root, "code", json_integer(CODE_NOT_ACCEPTED));
    json_object_set_new(root, "text",
                        json_string(Code_Text(CODE_NOT_ACCEPTED)));
    if (change->state != CHANGE_COMMITTED) {
        json_object_set_new(
            root, "detail",
            json_string("whether the change was committed is unknown; it is "
                        "not written again; query it by its id"));
    }
    reply(control, change, CODE_NOT_ACCEPTED, root);
}

static void
check_change(struct control *control, struct change *change, struct now now)
{
    if (change->state == CHANGE_COMMITTED) {
        struct ent_acks acks =
            Ent_CheckAcceptance(control->core, now, &change->pending);
        if (!change->announced &&
            control->core->registry_version >= change->pending.rows_version) {
            change->announced = 1;
            Rows_Relay(control, 1);
        }
        if (acks.accepted) {
            change->state = CHANGE_ACCEPTED;
            change->accepted_us = now.us;
            reply(control, change, CODE_OK, Change_Write(control, change));
        }
    }
    if (change->conn == 0 || now.us < change->deadline_us) {
        return;
    }
    if (change->state == CHANGE_QUEUED || change->state == CHANGE_READING) {
        refuse(control, change, CODE_STORE_DOWN, NULL);
    }
    else if (change->state != CHANGE_ACCEPTED) {
        reply_not_accepted(control, change);
    }
}

void
Change_OnTick(struct control *control, struct now now)
{
    for (int i = 0; i < CHANGE_MAX; i++) {
        if (control->changes[i].state != CHANGE_FREE) {
            check_change(control, &control->changes[i], now);
        }
    }
}
