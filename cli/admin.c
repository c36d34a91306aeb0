/* Operators' commands. Except for `token`, each is one request to an entry. */
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "client.h"

#define DEFAULT_TIMEOUT_MS 15000
/* Time beyond the timeout of a change for which the client waits for the
 * entry's answer. */
#define ANSWER_MARGIN_MS 5000
/* Sizes of the binary forms; in text, each byte is two hexadecimal digits. */
#define TOKEN_BYTES 24
#define HASH_BYTES 32
#define ID_BYTES 12

static int
equals(const char *left, const char *right)
{
    return left && strcmp(left, right) == 0;
}

static int
get(struct client *client, const char *path)
{
    struct hc_call call = {
        .method = "GET",
        .path = path,
        .timeout_ms = DEFAULT_TIMEOUT_MS,
    };
    client->print_as_table = !client->admin.json;
    return Client_Call(client, &call);
}

/* Takes ownership of `root`. `timeout_ms` is that of the operation at the
 * entry. */
static int
post(struct client *client, const char *path, json_t *root,
     uint32_t timeout_ms)
{
    char *text = json_dumps(root, JSON_COMPACT);
    struct hc_call call = {
        .method = "POST",
        .path = path,
        .body = {text, (uint32_t)strlen(text)},
        .timeout_ms = timeout_ms + ANSWER_MARGIN_MS,
    };
    client->print_as_table = !client->admin.json;
    int code = Client_Call(client, &call);
    free(text);
    json_decref(root);
    return code;
}

/* Sets the id of a change: the given one, or else a random one. */
static void
set_id(const struct admin_options *options, json_t *root)
{
    unsigned char bytes[ID_BYTES];
    char id[2 * ID_BYTES + 1];
    randombytes_buf(bytes, sizeof(bytes));
    sodium_bin2hex(id, sizeof(id), bytes, sizeof(bytes));
    json_object_set_new(root, "id",
                        json_string(options->id ? options->id : id));
}

/* Sends a change of one operation. Takes ownership of `op`. */
static int
send_change(struct client *client, json_t *op)
{
    const struct admin_options *options = &client->admin;
    long timeout_ms = options->timeout
                          ? strtol(options->timeout, NULL, 10) * 1000
                          : DEFAULT_TIMEOUT_MS;
    if (options->reason) {
        json_object_set_new(op, "reason", json_string(options->reason));
    }
    if (options->expires_in) {
        json_object_set_new(
            op, "expires_in_s",
            json_integer(strtol(options->expires_in, NULL, 10)));
    }
    json_t *root = json_pack("{s:[o],s:b,s:b,s:I}", "ops", op, "dry_run",
                             options->dry_run, "force", options->force,
                             "timeout_ms", (json_int_t)timeout_ms);
    set_id(options, root);
    if (options->if_version) {
        json_object_set_new(
            root, "if_version",
            json_integer(strtoll(options->if_version, NULL, 10)));
    }
    return post(client, "/v1/admin/changes", root, (uint32_t)timeout_ms);
}

/* Returns an integer, or a string if `text` is not one; the entry then refuses
 * the value and says why. */
static json_t *
parse_value(const char *text)
{
    char *end;
    long long number = strtoll(text, &end, 10);
    return *text && !*end ? json_integer(number) : json_string(text);
}

static int
run_defaults(struct client *client, int count, char **args)
{
    if (count == 1 || (count == 2 && equals(args[1], "show"))) {
        return get(client, "/v1/admin/defaults");
    }
    if (count == 4 && equals(args[1], "set")) {
        return send_change(client, json_pack("{s:s,s:s,s:o}", "op",
                                             "set_default", "setting", args[2],
                                             "value", parse_value(args[3])));
    }
    if (count == 3 && equals(args[1], "reset")) {
        return send_change(
            client,
            json_pack("{s:s,s:s}", "op", "reset_default", "setting", args[2]));
    }
    return -1;
}

static int
run_exceptions(struct client *client, int count, char **args)
{
    if (count == 1 || (count == 2 && equals(args[1], "list"))) {
        return get(client, "/v1/admin/config");
    }
    if (count == 6 && equals(args[1], "add")) {
        return send_change(
            client, json_pack("{s:s,s:s,s:s,s:s,s:o}", "op", "add_exception",
                              "scope", args[2], "name", args[3], "setting",
                              args[4], "value", parse_value(args[5])));
    }
    if (count == 3 && equals(args[1], "remove")) {
        return send_change(client,
                           json_pack("{s:s,s:o}", "op", "remove_exception",
                                     "id", parse_value(args[2])));
    }
    return -1;
}

/* Takes a data centre, region or upstream out of service, or returns it. */
static int
run_scope(struct client *client, int count, char **args, const char *scope)
{
    if (count != 3) {
        return -1;
    }
    if (equals(args[1], "out") || equals(args[1], "drain")) {
        return send_change(client, json_pack("{s:s,s:s,s:s}", "op", "out",
                                             "scope", scope, "name", args[2]));
    }
    if (equals(args[1], "in") || equals(args[1], "return")) {
        return send_change(client, json_pack("{s:s,s:s,s:s}", "op", "return",
                                             "scope", scope, "name", args[2]));
    }
    return -1;
}

static int
run_team(struct client *client, int count, char **args)
{
    if (count == 4 && equals(args[1], "set")) {
        json_t *op = json_pack("{s:s,s:s,s:o}", "op", "set_team", "name",
                               args[2], "value", parse_value(args[3]));
        if (client->admin.token_hash) {
            json_object_set_new(op, "token_hash",
                                json_string(client->admin.token_hash));
        }
        return send_change(client, op);
    }
    if (count == 3 && equals(args[1], "remove")) {
        return send_change(client, json_pack("{s:s,s:s}", "op", "remove_team",
                                             "name", args[2]));
    }
    return -1;
}

static int
run_explain(struct client *client, int count, char **args)
{
    char path[256] = "/v1/admin/explain?";
    for (int i = 1; i < count; i++) {
        size_t used = strlen(path);
        const char *prefix = strchr(args[i], '=') ? "" : "setting=";
        snprintf(path + used, sizeof(path) - used, "%s%s&", prefix, args[i]);
    }
    return get(client, path);
}

static int
run_member(struct client *client, int count, char **args)
{
    if (count == 3 && equals(args[1], "forget")) {
        return post(client, "/v1/admin/members/forget",
                    json_pack("{s:s,s:b}", "node", args[2], "force",
                              client->admin.force),
                    DEFAULT_TIMEOUT_MS);
    }
    return -1;
}

static int
print_token(void)
{
    unsigned char bytes[TOKEN_BYTES];
    unsigned char hash[HASH_BYTES];
    char token[2 * TOKEN_BYTES + 1];
    char hex[2 * HASH_BYTES + 1];
    randombytes_buf(bytes, sizeof(bytes));
    sodium_bin2hex(token, sizeof(token), bytes, sizeof(bytes));
    crypto_generichash(hash, sizeof(hash), (unsigned char *)token,
                       sizeof(token) - 1, NULL, 0);
    sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
    printf("token: %s\nhash: %s\n", token, hex);
    return 0;
}

static int
show_change(struct client *client, const char *id)
{
    char path[128];
    snprintf(path, sizeof(path), "/v1/admin/changes/%s", id);
    return get(client, path);
}

int
Admin_Run(struct client *client, int count, char **args)
{
    const char *command = args[0];
    if (equals(command, "defaults")) {
        return run_defaults(client, count, args);
    }
    if (equals(command, "exceptions")) {
        return run_exceptions(client, count, args);
    }
    if (equals(command, "data-centre")) {
        return run_scope(client, count, args, "data_centre");
    }
    if (equals(command, "region")) {
        return run_scope(client, count, args, "region");
    }
    if (equals(command, "upstream")) {
        return run_scope(client, count, args, "upstream");
    }
    if (equals(command, "team")) {
        return run_team(client, count, args);
    }
    if (equals(command, "member")) {
        return run_member(client, count, args);
    }
    if (equals(command, "explain")) {
        return run_explain(client, count, args);
    }
    if (equals(command, "members")) {
        return get(client, "/v1/admin/status");
    }
    if (equals(command, "history")) {
        return get(client, "/v1/admin/changes");
    }
    if (equals(command, "change") && count == 2) {
        return show_change(client, args[1]);
    }
    if (equals(command, "token") && count == 1) {
        return print_token();
    }
    return -1;
}
