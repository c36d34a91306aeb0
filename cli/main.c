/* jacinthpick: command line tool for callers and operators. */
#include <getopt.h>
#include <jansson.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "client.h"

/* Timeout of calls that may wait for a job: longer than the maximum deadline
 * of a job, one hour. */
#define CALL_TIMEOUT_MS 3700000
/* Timeout of calls that are answered at once. */
#define SHORT_TIMEOUT_MS 10000

static const char usage[] =
    "Usage: jacinthpick [OPTION]... COMMAND [ARGUMENT]...\n"
    "\n"
    "Commands for callers:\n"
    "  keys [COUNT]          get idempotency keys, one per line\n"
    "  submit KEY [FILE]     submit the job in FILE, or in standard input\n"
    "  request KEY [FILE]    submit a single request to a service\n"
    "  show KEY              show the state of a job, or its answer\n"
    "  wait KEY              wait for the answer to a job\n"
    "  cancel KEY            cancel a job\n"
    "\n"
    "Commands for operators:\n"
    "  health                check whether the entry is serving\n"
    "  status                show the state of the entry and its services\n"
    "  counters              show the counters of the entry\n"
    "  members               list the members, and show whether the entry's\n"
    "                        configuration is confirmed to be current\n"
    "  defaults [show]       list all settings with their ranges\n"
    "  defaults set SETTING VALUE | defaults reset SETTING\n"
    "  exceptions [list]     list defaults, exceptions and teams\n"
    "  exceptions add SCOPE NAME SETTING VALUE --reason TEXT\n"
    "  exceptions remove ID\n"
    "  data-centre out NAME --reason TEXT | data-centre in NAME\n"
    "  region out NAME --reason TEXT | region in NAME\n"
    "  upstream drain NODE --reason TEXT | upstream return NODE\n"
    "  team set NAME QUOTA [--token-hash HASH] | team remove NAME\n"
    "  explain [SETTING] [SCOPE=NAME]...   show the values in force, and why\n"
    "  history               list the latest changes\n"
    "  change ID             show the state of a change\n"
    "  member forget NODE    remove a dead member\n"
    "  token                 generate a token and its hash\n"
    "\n"
    "Options:\n"
    "  -e, --entry ADDR      address of the entry, ip:port\n"
    "                        (default: 127.0.0.1:8080)\n"
    "  -t, --token TOKEN     bearer token (default: JACINTHPICK_TOKEN)\n"
    "      --tls             use TLS\n"
    "      --reason TEXT     reason for the exception\n"
    "      --expires-in S    let the exception expire after S seconds\n"
    "      --dry-run         show the difference, change nothing\n"
    "      --force           allow taking out the last data centre, or\n"
    "                        removing a member that is alive\n"
    "      --if-version N    make the change only on top of version N\n"
    "      --id ID           id of the change (default: random); with the\n"
    "                        same id again, wait for the same change\n"
    "      --timeout S       wait up to S seconds for acceptance\n"
    "      --token-hash HASH hash of the team's token\n"
    "      --json            print JSON instead of tables\n"
    "  -h, --help            print this and exit\n"
    "  -V, --version         print the version and exit\n"
    "\n"
    "Exit codes: 0 success, 1 failure or outcome unknown, 2 usage error,\n"
    "3 refused (nothing was run), 4 entry not reachable.\n";

static const struct option options[] = {
    {"entry", required_argument, NULL, 'e'},
    {"token", required_argument, NULL, 't'},
    {"tls", no_argument, NULL, 'T'},
    {"reason", required_argument, NULL, 'r'},
    {"expires-in", required_argument, NULL, 'x'},
    {"dry-run", no_argument, NULL, 'd'},
    {"force", no_argument, NULL, 'f'},
    {"if-version", required_argument, NULL, 'v'},
    {"id", required_argument, NULL, 'i'},
    {"timeout", required_argument, NULL, 'w'},
    {"token-hash", required_argument, NULL, 'H'},
    {"json", no_argument, NULL, 'j'},
    {"help", no_argument, NULL, 'h'},
    {"version", no_argument, NULL, 'V'},
    {NULL, 0, NULL, 0},
};

static int
get_exit_code(const struct hc_result *result)
{
    if (result->status == 0) {
        return EXIT_UNREACHABLE;
    }
    if (result->status < 300) {
        return 0;
    }
    json_t *root = json_loadb(result->body.data ? result->body.data : "",
                              result->body.size, 0, NULL);
    const char *run = json_string_value(json_object_get(root, "run"));
    int not_run = run && strcmp(run, "not run") == 0;
    json_decref(root);
    return not_run ? EXIT_REFUSED : EXIT_FAILED;
}

static void
print_keys(const struct hc_result *result)
{
    json_t *root = json_loadb(result->body.data, result->body.size, 0, NULL);
    size_t i;
    json_t *key;
    json_array_foreach(json_object_get(root, "keys"), i, key)
    {
        puts(json_string_value(key));
    }
    json_decref(root);
}

static void
on_done(void *context, const struct hc_result *result)
{
    struct client *client = context;
    client->exit_code = get_exit_code(result);
    if (result->status == 0) {
        fprintf(stderr, "jacinthpick: no answer from entry %s\n",
                client->entry);
    }
    else if (client->print_as_keys && result->status == 200) {
        print_keys(result);
    }
    else if (client->print_as_table) {
        Table_Print(result->body.data, result->body.size);
    }
    else {
        fwrite(result->body.data, 1, result->body.size, stdout);
        putchar('\n');
    }
    Loop_Stop(&client->loop);
}

int
Client_Call(struct client *client, struct hc_call *call)
{
    struct err err = {0};
    signal(SIGPIPE, SIG_IGN);
    if (Loop_Init(&client->loop, &err) ||
        Hc_Init(&client->http, &client->loop, 1, &err)) {
        fprintf(stderr, "jacinthpick: %s\n", err.text);
        return EXIT_FAILED;
    }
    call->addr = client->entry;
    call->token = client->token;
    call->tls = client->tls;
    call->done = on_done;
    call->context = client;
    if (Hc_Call(&client->http, call)) {
        fprintf(stderr,
                "jacinthpick: invalid entry address %s, expected ip:port\n",
                client->entry);
        return EXIT_USAGE;
    }
    Loop_Run(&client->loop);
    Loop_Finish(&client->loop);
    Hc_Finish(&client->http);
    return client->exit_code;
}

static void
close_file(FILE **file)
{
    if (*file && *file != stdin) {
        fclose(*file);
    }
}

/* Reads a file, or standard input if `path` is NULL. The caller frees the
 * result; it is not NUL-terminated. Returns NULL if the file cannot be opened
 * or memory runs out. */
static char *
read_file(const char *path, size_t *size)
{
    __attribute__((cleanup(close_file))) FILE *file =
        path ? fopen(path, "r") : stdin;
    size_t capacity = 0;
    char *text = NULL;
    *size = 0;
    if (!file) {
        return NULL;
    }
    while (!feof(file)) {
        if (*size == capacity) {
            capacity = capacity ? 2 * capacity : 65536;
            char *grown = realloc(text, capacity);
            if (!grown) {
                free(text);
                return NULL;
            }
            text = grown;
        }
        *size += fread(text + *size, 1, capacity - *size, file);
        if (ferror(file)) {
            break;
        }
    }
    return text;
}

static int
submit(struct client *client, const char *path, const char *key,
       const char *file)
{
    size_t size;
    char *text = read_file(file, &size);
    if (!text) {
        fprintf(stderr, "jacinthpick: cannot read %s\n",
                file ? file : "standard input");
        return EXIT_USAGE;
    }
    struct hc_call call = {
        .method = "POST",
        .path = path,
        .body = {text, (uint32_t)size},
        .key = key,
        .timeout_ms = CALL_TIMEOUT_MS,
    };
    int code = Client_Call(client, &call);
    free(text);
    return code;
}

static int
query_job(struct client *client, const char *method, const char *key,
          const char *query)
{
    char path[128];
    snprintf(path, sizeof(path), "/v1/jobs/%s%s", key, query);
    struct hc_call call = {
        .method = method,
        .path = path,
        .timeout_ms = CALL_TIMEOUT_MS,
    };
    return Client_Call(client, &call);
}

static int
get(struct client *client, const char *path)
{
    struct hc_call call = {
        .method = "GET",
        .path = path,
        .timeout_ms = SHORT_TIMEOUT_MS,
    };
    return Client_Call(client, &call);
}

static int
issue_keys(struct client *client, const char *count)
{
    char body[64];
    int size = snprintf(body, sizeof(body), "{\"count\":%ld}",
                        count ? strtol(count, NULL, 10) : 1);
    struct hc_call call = {
        .method = "POST",
        .path = "/v1/keys",
        .body = {body, (uint32_t)size},
        .timeout_ms = SHORT_TIMEOUT_MS,
    };
    client->print_as_keys = 1;
    return Client_Call(client, &call);
}

static int
run_command(struct client *client, int count, char **args)
{
    const char *command = args[0];
    const char *first = count > 1 ? args[1] : NULL;
    const char *second = count > 2 ? args[2] : NULL;
    if (strcmp(command, "keys") == 0) {
        return issue_keys(client, first);
    }
    if (strcmp(command, "health") == 0) {
        return get(client, "/v1/health");
    }
    if (strcmp(command, "status") == 0) {
        return get(client, "/v1/status");
    }
    if (strcmp(command, "counters") == 0) {
        return get(client, "/metrics");
    }
    int code = Admin_Run(client, count, args);
    if (code >= 0) {
        return code;
    }
    if (!first) {
        fputs(usage, stderr);
        return EXIT_USAGE;
    }
    if (strcmp(command, "submit") == 0) {
        return submit(client, "/v1/jobs", first, second);
    }
    if (strcmp(command, "request") == 0) {
        return submit(client, "/v1/requests", first, second);
    }
    if (strcmp(command, "show") == 0) {
        return query_job(client, "GET", first, "");
    }
    if (strcmp(command, "wait") == 0) {
        return query_job(client, "GET", first, "?wait=1");
    }
    if (strcmp(command, "cancel") == 0) {
        return query_job(client, "DELETE", first, "");
    }
    fputs(usage, stderr);
    return EXIT_USAGE;
}

/* Sets an option of the operators' commands. Returns -1 if `option` is not one
 * of them. */
static int
set_option(struct admin_options *admin, int option)
{
    switch (option) {
    case 'r':
        admin->reason = optarg;
        return 0;
    case 'x':
        admin->expires_in = optarg;
        return 0;
    case 'd':
        admin->dry_run = 1;
        return 0;
    case 'f':
        admin->force = 1;
        return 0;
    case 'v':
        admin->if_version = optarg;
        return 0;
    case 'i':
        admin->id = optarg;
        return 0;
    case 'w':
        admin->timeout = optarg;
        return 0;
    case 'H':
        admin->token_hash = optarg;
        return 0;
    case 'j':
        admin->json = 1;
        return 0;
    default:
        return -1;
    }
}

int
main(int argc, char **argv)
{
    struct client client = {
        .entry = "127.0.0.1:8080",
        .token = getenv("JACINTHPICK_TOKEN"),
    };
    int option;
    while ((option = getopt_long(argc, argv, "e:t:hV", options, NULL)) != -1) {
        switch (option) {
        case 'e':
            client.entry = optarg;
            break;
        case 't':
            client.token = optarg;
            break;
        case 'T':
            client.tls = 1;
            break;
        case 'h':
            fputs(usage, stdout);
            return 0;
        case 'V':
            puts("jacinthpick " JP_VERSION);
            return 0;
        default:
            if (set_option(&client.admin, option)) {
                fputs(usage, stderr);
                return EXIT_USAGE;
            }
        }
    }
    if (sodium_init() < 0) {
        return EXIT_FAILED;
    }
    if (optind >= argc) {
        fputs(usage, stderr);
        return EXIT_USAGE;
    }
    return run_command(&client, argc - optind, argv + optind);
}
