#include "shell/settings.h"

#include <stddef.h>
#include <string.h>

#include "base/addr.h"
#include "base/json.h"
#include "base/log.h"
#include "wire/name.h"

enum kind {
    KIND_WORD,
    KIND_NAME, /* A name of any length, in the form of Name_Fit(). */
    KIND_ADDR,
    KIND_TEXT,
    KIND_INT
};

/* Description of a setting: its offset in struct settings, its allowed values
 * and its default. */
struct spec {
    const char *name;
    enum kind kind;
    size_t offset; /* In struct settings. */
    int64_t min;   /* Smallest number, or length of a word or text. */
    int64_t max;   /* Largest number, or length of a word or text. */
    int64_t default_value;
    const char
        *default_text;   /* NULL when a word, address or text is required. */
    const char *choices; /* "a|b", or NULL for any text. */
    const char *help;
};

/* Longest name, in bytes. */
#define MAX_NAME 200

#define AT(member) offsetof(struct settings, member)

static const struct spec specs[] = {
    {"role", KIND_WORD, AT(role), 1, WIRE_NAME_SIZE - 1, 0, NULL,
     "entry|agent", "what the process is"},
    {"node", KIND_NAME, AT(node), 1, MAX_NAME, 0, NULL, NULL,
     "name of the VM, unique in the fleet"},
    {"region", KIND_NAME, AT(region), 1, MAX_NAME, 0, NULL, NULL,
     "region of the data centre"},
    {"data_centre", KIND_NAME, AT(data_centre), 1, MAX_NAME, 0, NULL, NULL,
     "data centre of the VM"},
    {"rack", KIND_NAME, AT(rack), 0, MAX_NAME, 0, "", NULL, "rack of the VM"},
    {"listen_http", KIND_ADDR, AT(listen_http), 0, 0, 0, NULL, NULL,
     "address for callers, operators and upstreams"},
    {"listen_internal", KIND_ADDR, AT(listen_internal), 0, 0, 0, NULL, NULL,
     "address for our own processes"},
    {"public_internal", KIND_ADDR, AT(public_internal), 0, 0, 0, "", NULL,
     "where other processes reach that address; \"\" for the address itself"},
    {"table_service", KIND_ADDR, AT(table_service), 0, 0, 0, NULL, NULL,
     "address of the platform's table service"},
    {"cluster_key", KIND_TEXT, AT(cluster_key), 16, SET_TEXT_SIZE - 1, 0, NULL,
     NULL, "passphrase shared by our own processes"},
    {"tls_certificate", KIND_TEXT, AT(tls_certificate), 0, SET_TEXT_SIZE - 1,
     0, "", NULL, "certificate file; \"\" for plain HTTP"},
    {"tls_key", KIND_TEXT, AT(tls_key), 0, SET_TEXT_SIZE - 1, 0, "", NULL,
     "private key file of the certificate"},
    {"operator_token_hashes", KIND_TEXT, AT(operator_token_hashes), 0,
     SET_HASHES_SIZE - 1, 0, "", NULL,
     "operators as name:hash,name:hash; jacinthpick token makes them"},
    {"log_level", KIND_WORD, AT(log_level), 1, WIRE_NAME_SIZE - 1, 0, "info",
     "error|warn|info|debug", "least severe lines that are logged"},
    {"placement", KIND_WORD, AT(placement), 1, WIRE_NAME_SIZE - 1, 0,
     "standard", "standard|baseline",
     "how an entry decides; baseline is for measurements only"},
    {"adapter", KIND_WORD, AT(adapter), 1, WIRE_NAME_SIZE - 1, 0, "none",
     "none|platform",
     "whether callers, upstreams and the table service speak "
     "the protocol of the users' platform"},
    {"listen_callers", KIND_ADDR, AT(listen_callers), 0, 0, 0, "", NULL,
     "address for the platform's callers; entry with an adapter"},
    {"listen_readiness", KIND_ADDR, AT(listen_readiness), 0, 0, 0, "", NULL,
     "address for the balancer's readiness calls; entry with an adapter"},
    {"listen_upstream", KIND_ADDR, AT(listen_upstream), 0, 0, 0, "", NULL,
     "address for the upstream's heartbeats; agent with an adapter"},
    {"resubmit_ms", KIND_INT, AT(resubmit_ms), 0, 600000, 0, NULL, NULL,
     "time after which a caller submits a job again whose connection broke; "
     "0 for callers that keep their keys"},
    {"upstream_lease_ms", KIND_INT, AT(upstream_lease_ms), 100, 600000, 1000,
     NULL, NULL, "longest lease that an upstream grants its runs"},
    {"upstream_stop_ms", KIND_INT, AT(upstream_stop_ms), 1, 60000, 50, NULL,
     NULL, "longest time that an upstream takes to stop a run"},
    {"key_lifetime_s", KIND_INT, AT(key_lifetime_s), 1, 86400, 300, NULL, NULL,
     "seconds that a key and its answer are kept"},
    {"job_capacity", KIND_INT, AT(job_capacity), 16, 4000000, 100000, NULL,
     NULL, "jobs that an entry keeps at once"},
    {"task_capacity", KIND_INT, AT(task_capacity), 16, 16000000, 200000, NULL,
     NULL, "starts that an agent remembers at once"},
    {"member_capacity", KIND_INT, AT(member_capacity), 4, 65536, 2048, NULL,
     NULL, "processes that an entry knows at once"},
    {"memory_mb", KIND_INT, AT(memory_mb), 0, 16777216, 0, NULL, NULL,
     "memory of the machine in MiB, of which a quarter may be taken by "
     "unfinished requests, a quarter by connections and an eighth by answers "
     "to own calls; 0 for what the operating system reports"},
    {"descriptors", KIND_INT, AT(descriptors), 0, 16777216, 0, NULL, NULL,
     "descriptors of the process; 200 and a quarter of the rest are not used "
     "for clients; 0 for the limit of the operating system"},
    {"stop_limit_s", KIND_INT, AT(stop_limit_s), 0, 86400, 60, NULL, NULL,
     "seconds that a graceful stop may take"},
    {"forget_member_s", KIND_INT, AT(forget_member_s), 5, 604800, 7200, NULL,
     NULL, "seconds of silence after which a dead member is removed"},
};

#define SPEC_COUNT (sizeof(specs) / sizeof(specs[0]))

/* Settings whose change takes effect while the process runs. */
static const char *const live_settings[] = {
    "log_level",
    "operator_token_hashes",
    "stop_limit_s",
    "forget_member_s",
};

static int
is_live(const struct spec *spec)
{
    for (size_t i = 0; i < sizeof(live_settings) / sizeof(live_settings[0]);
         i++) {
        if (strcmp(live_settings[i], spec->name) == 0) {
            return 1;
        }
    }
    return 0;
}

static const struct spec *
find_spec(const char *name)
{
    for (size_t i = 0; i < SPEC_COUNT; i++) {
        if (strcmp(specs[i].name, name) == 0) {
            return &specs[i];
        }
    }
    return NULL;
}

static int
is_choice(const char *choices, const char *word)
{
    size_t size = strlen(word);
    const char *choice = choices;
    while (choice) {
        if (strncmp(choice, word, size) == 0 &&
            (choice[size] == '|' || choice[size] == '\0')) {
            return 1;
        }
        choice = strchr(choice, '|');
        choice = choice ? choice + 1 : NULL;
    }
    return 0;
}

static int
set_text(const struct spec *spec, char *out, const char *text, struct err *err)
{
    char host[64];
    int port;
    size_t size = strlen(text);
    if (spec->kind == KIND_ADDR) {
        if (size >= WIRE_ADDR_SIZE ||
            Addr_Split(text, host, sizeof(host), &port)) {
            return Err_Set(err, CODE_BAD_SETTING,
                           "$.%s: found \"%.60s\", allowed is ip:port",
                           spec->name, text);
        }
    }
    else if ((int64_t)size < spec->min || (int64_t)size > spec->max) {
        return Err_Set(err, CODE_BAD_SETTING,
                       "$.%s: found %zu characters, allowed are %d to %d",
                       spec->name, size, (int)spec->min, (int)spec->max);
    }
    if (spec->choices && !is_choice(spec->choices, text)) {
        return Err_Set(err, CODE_BAD_SETTING,
                       "$.%s: found \"%.60s\", allowed is %s", spec->name,
                       text, spec->choices);
    }
    if (spec->kind == KIND_NAME) {
        Name_Fit(out, text);
    }
    else {
        memcpy(out, text, size + 1);
    }
    return 0;
}

static int
set_value(struct settings *settings, const struct spec *spec,
          const json_t *value, struct err *err)
{
    char *out = (char *)settings + spec->offset;
    if (spec->kind != KIND_INT) {
        if (!json_is_string(value)) {
            return Err_Set(err, CODE_BAD_SETTING, "$.%s: allowed is a string",
                           spec->name);
        }
        return set_text(spec, out, json_string_value(value), err);
    }
    if (!json_is_integer(value)) {
        return Err_Set(err, CODE_BAD_SETTING,
                       "$.%s: allowed is an integer from %lld to %lld",
                       spec->name, (long long)spec->min, (long long)spec->max);
    }
    int64_t number = json_integer_value(value);
    if (number < spec->min || number > spec->max) {
        return Err_Set(err, CODE_BAD_SETTING,
                       "$.%s: found %lld, allowed is %lld to %lld", spec->name,
                       (long long)number, (long long)spec->min,
                       (long long)spec->max);
    }
    memcpy(out, &number, sizeof(number));
    return 0;
}

static int
set_defaults(struct settings *settings, const json_t *root, struct err *err)
{
    for (size_t i = 0; i < SPEC_COUNT; i++) {
        const struct spec *spec = &specs[i];
        char *out = (char *)settings + spec->offset;
        if (json_object_get(root, spec->name)) {
            continue;
        }
        if (spec->kind == KIND_INT) {
            memcpy(out, &spec->default_value, sizeof(spec->default_value));
        }
        else if (spec->default_text) {
            memcpy(out, spec->default_text, strlen(spec->default_text) + 1);
        }
        else {
            return Err_Set(err, CODE_BAD_SETTING,
                           "$.%s: missing, the setting is required",
                           spec->name);
        }
    }
    return 0;
}

int
Set_Parse(struct settings *settings, const char *text, size_t size,
          struct err *err)
{
    json_error_t json_err;
    AUTO_JSON root = json_loadb(text, size, JSON_REJECT_DUPLICATES, &json_err);
    memset(settings, 0, sizeof(*settings));
    if (!root) {
        return Err_Set(err, CODE_BAD_SETTING,
                       "invalid JSON at line %d, column %d: %s", json_err.line,
                       json_err.column, json_err.text);
    }
    if (!json_is_object(root)) {
        return Err_Set(err, CODE_BAD_SETTING, "$: allowed is an object");
    }
    const char *name;
    json_t *value;
    json_object_foreach(root, name, value)
    {
        const struct spec *spec = find_spec(name);
        if (!spec) {
            return Err_Set(err, CODE_BAD_SETTING, "$.%.60s: unknown setting",
                           name);
        }
        if (set_value(settings, spec, value, err)) {
            return -1;
        }
    }
    if (set_defaults(settings, root, err)) {
        return -1;
    }
    if (settings->public_internal[0] == '\0') {
        memcpy(settings->public_internal, settings->listen_internal,
               sizeof(settings->public_internal));
    }
    return 0;
}

static void
close_file(FILE **file)
{
    if (*file) {
        fclose(*file);
    }
}

int
Set_Load(struct settings *settings, const char *path, struct err *err)
{
    static char text[65536];
    __attribute__((cleanup(close_file))) FILE *file = fopen(path, "r");
    if (!file) {
        return Err_Set(err, CODE_BAD_SETTING,
                       "cannot open the settings file %s", path);
    }
    size_t size = fread(text, 1, sizeof(text), file);
    if (size == sizeof(text)) {
        return Err_Set(
            err, CODE_BAD_SETTING,
            "settings file %s: found %zu bytes or more, allowed are %zu", path,
            size, sizeof(text) - 1);
    }
    return Set_Parse(settings, text, size, err);
}

/* Size of the setting's member in struct settings. */
static size_t
value_size(const struct spec *spec)
{
    switch (spec->kind) {
    case KIND_INT:
        return sizeof(int64_t);
    case KIND_NAME:
        return WIRE_NAME_SIZE;
    case KIND_ADDR:
        return WIRE_ADDR_SIZE;
    default:
        return (size_t)spec->max + 1;
    }
}

static void
add_name(char *list, const char *name)
{
    size_t used = strlen(list);
    snprintf(list + used, SET_NAMES_SIZE - used, "%s%s", used ? "," : "",
             name);
}

void
Set_ApplyLive(struct settings *settings, const struct settings *loaded,
              struct set_change *change)
{
    memset(change, 0, sizeof(*change));
    for (size_t i = 0; i < SPEC_COUNT; i++) {
        const struct spec *spec = &specs[i];
        char *to = (char *)settings + spec->offset;
        const char *from = (const char *)loaded + spec->offset;
        size_t size = value_size(spec);
        if (memcmp(to, from, size) == 0) {
            continue;
        }
        add_name(is_live(spec) ? change->applied : change->deferred,
                 spec->name);
        if (is_live(spec)) {
            memcpy(to, from, size);
        }
    }
}

void
Set_Describe(FILE *out)
{
    for (size_t i = 0; i < SPEC_COUNT; i++) {
        const struct spec *spec = &specs[i];
        const char *effect = is_live(spec) ? "at once" : "next start";
        if (spec->kind == KIND_INT) {
            fprintf(out, "%s\t%lld to %lld\t%lld\t%s\t%s\n", spec->name,
                    (long long)spec->min, (long long)spec->max,
                    (long long)spec->default_value, spec->help, effect);
            continue;
        }
        fprintf(out, "%s\t%s\t%s\t%s\t%s\n", spec->name,
                spec->kind == KIND_ADDR ? "ip:port"
                : spec->choices         ? spec->choices
                                        : "text",
                spec->default_text ? spec->default_text : "required",
                spec->help, effect);
    }
}
