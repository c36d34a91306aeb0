/* Open-loop load generator for the entries. The submissions of each kind form
 * a seeded Poisson process, independent of the answers to earlier ones.
 *
 * Prints one JSON object per line and submission, which measure/run reads.
 * Latency is measured from the time at which the submission was due, so that
 * delays of the generator itself count too. The status is that of HTTP, or 0
 * if no answer was received, -1 if the submission could not be sent, and -2 if
 * no entry had a key left for it. Once every entry has issued keys, "began"
 * and the start time in microseconds are written to standard error. */
#include <getopt.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "mix.h"
#include "shell/httpc.h"
#include "shell/httpd.h"

#define MAX_ENTRIES 8
/* HTTP clients per entry; each carries up to HC_MAX_CALLS calls at once. */
#define CLIENTS_PER_ENTRY 6
#define KEY_BATCH 60 /* Keys per request. */
#define KEY_CAPACITY 256
#define MIN_KEYS 60 /* Below this, more keys are requested. */
#define KEY_TIMEOUT_MS 2000
#define KEY_PERIOD_US (20 * US_PER_MS)
/* How long a caller waits for an answer after its deadline. */
#define RESPONSE_GRACE_MS 3000
#define TEAM_SIZE 32

/* An entry, its HTTP clients, and the unused keys that it has issued. */
struct endpoint {
    const char *addr;
    struct httpc clients[CLIENTS_PER_ENTRY];
    char *keys[KEY_CAPACITY]; /* Ring buffer; the oldest is used first. */
    int key_first;
    int key_count;
    int key_request_pending;
};

/* The arrivals of one kind. */
struct stream {
    lws_sorted_usec_list_t sul;
    const struct mix_kind *kind;
    struct mix_random random;
    double rate;     /* Submissions per second. */
    uint64_t due_us; /* Arrival of the next submission. */
};

/* A submission that has not been answered. */
struct call {
    const struct mix_kind *kind;
    struct endpoint *endpoint;
    uint64_t due_us;
    uint32_t task_count;
    char *key;
    char *body;
    double *run_ms; /* Run time of each task. */
    int cancel;
    lws_sorted_usec_list_t cancel_sul;
};

static struct {
    struct loop loop;
    uint64_t seed;
    const struct mix *mix;
    struct endpoint endpoints[MAX_ENTRIES];
    int endpoint_count;
    struct stream streams[8];
    struct loop_timer keys;
    double slots;
    double seconds;
    /* Ratio of the declared to the true run time; 0: declare nothing. */
    double declared_ratio;
    double cancel_share;
    int teams;
    int first_team_percent; /* Share of submissions by the first team. */
    int started;
    int stopping; /* No more submissions are due. */
    int open;     /* Submissions without an answer. */
    uint64_t start_us;
    unsigned long sequence;
} load = {.slots = 70, .seconds = 10, .seed = 1};

static void
on_keys(void *context, const struct hc_result *result)
{
    struct endpoint *endpoint = context;
    json_t *root = json_loadb(result->body.data ? result->body.data : "",
                              result->body.size, 0, NULL);
    size_t i;
    json_t *key;
    endpoint->key_request_pending = 0;
    json_array_foreach(json_object_get(root, "keys"), i, key)
    {
        if (endpoint->key_count < KEY_CAPACITY) {
            int at =
                (endpoint->key_first + endpoint->key_count++) % KEY_CAPACITY;
            endpoint->keys[at] = strdup(json_string_value(key));
        }
    }
    json_decref(root);
}

static void
request_keys(struct endpoint *endpoint)
{
    char body[32];
    int size = snprintf(body, sizeof(body), "{\"count\":%d}", KEY_BATCH);
    if (endpoint->key_request_pending || endpoint->key_count >= MIN_KEYS) {
        return;
    }
    struct hc_call call = {
        .addr = endpoint->addr,
        .method = "POST",
        .path = "/v1/keys",
        .body = {body, (uint32_t)size},
        .timeout_ms = KEY_TIMEOUT_MS,
        .done = on_keys,
        .context = endpoint,
    };
    endpoint->key_request_pending = Hc_Call(&endpoint->clients[0], &call) == 0;
}

static void
free_call(struct call *call)
{
    lws_sul_schedule(load.loop.lws, 0, &call->cancel_sul, NULL,
                     LWS_SET_TIMER_USEC_CANCEL);
    free(call->key);
    free(call->body);
    free(call->run_ms);
    free(call);
}

static void
print_run_times(const struct call *call)
{
    for (uint32_t i = 0; i < call->task_count; i++) {
        printf("%s%.1f", i ? "," : "", call->run_ms[i]);
    }
}

static void
print_call(const struct call *call, int status, const json_t *answer)
{
    uint64_t now_us = Loop_Now().us;
    const json_t *tasks = json_object_get(answer, "tasks");
    const char *run = json_string_value(json_object_get(answer, "run"));
    printf("{\"at_us\":%llu,\"kind\":\"%s\",\"priority\":%d,\"request\":%d,"
           "\"key\":\"%s\",\"entry\":\"%s\",\"latency_us\":%llu,"
           "\"status\":%d,\"code\":%lld,\"run\":\"%s\",\"returned\":%zu,"
           "\"retry_after_ms\":%lld,\"deadline_ms\":%u,\"cancel\":%d,"
           "\"runs\":[",
           (unsigned long long)(call->due_us - load.start_us),
           call->kind->name, call->kind->priority,
           (call->kind->flags & SUB_REQUEST) != 0, call->key ? call->key : "",
           call->endpoint ? call->endpoint->addr : "",
           (unsigned long long)(now_us - call->due_us), status,
           (long long)json_integer_value(json_object_get(answer, "code")),
           run ? run : "", json_array_size(tasks),
           (long long)json_integer_value(
               json_object_get(answer, "retry_after_ms")),
           call->kind->deadline_ms, call->cancel);
    print_run_times(call);
    printf("]}\n");
}

static void
check_end(void)
{
    if (load.stopping && load.open == 0) {
        Loop_Stop(&load.loop);
    }
}

static void
on_answer(void *context, const struct hc_result *result)
{
    struct call *call = context;
    json_t *answer = json_loadb(result->body.data ? result->body.data : "",
                                result->body.size, 0, NULL);
    print_call(call, result->status, answer);
    json_decref(answer);
    free_call(call);
    load.open--;
    check_end();
}

static char *
write_tasks(const struct call *call)
{
    json_t *list = json_array();
    for (uint32_t i = 0; i < call->task_count; i++) {
        char input[64];
        snprintf(input, sizeof(input), "{\"ms\":%.1f}", call->run_ms[i]);
        json_t *task = json_pack("{s:s}", "input", input);
        if (load.declared_ratio > 0) {
            double ms = call->run_ms[i] * load.declared_ratio + 1;
            json_object_set_new(task, "run_ms", json_integer((json_int_t)ms));
        }
        json_array_append_new(list, task);
    }
    char *text = json_dumps(list, JSON_COMPACT);
    json_decref(list);
    return text;
}

static void
pick_team(struct mix_random *random, char *team)
{
    int index = 0;
    if (Mix_Uniform(random) * 100 >= load.first_team_percent &&
        load.teams > 1) {
        index = 1 + (int)(Mix_Uniform(random) * (load.teams - 1));
    }
    snprintf(team, TEAM_SIZE, "team-%d", index);
}

static void
write_body(struct call *call, struct mix_random *random)
{
    static const char *const names[] = {"urgent", "normal", "bulk"};
    char team[TEAM_SIZE];
    json_t *root;
    pick_team(random, team);
    if (call->kind->flags & SUB_REQUEST) {
        char input[64];
        snprintf(input, sizeof(input), "{\"ms\":%.1f}", call->run_ms[0]);
        root = json_pack("{s:s,s:b}", "input", input, "idempotent",
                         (call->kind->flags & SUB_IDEMPOTENT) != 0);
    }
    else {
        char *tasks = write_tasks(call);
        root = json_object();
        json_object_set_new(root, "tasks", json_loads(tasks, 0, NULL));
        free(tasks);
    }
    json_object_set_new(root, "service", json_string(load.mix->service));
    json_object_set_new(root, "kind", json_string(call->kind->name));
    json_object_set_new(root, "team", json_string(team));
    json_object_set_new(root, "deadline_ms",
                        json_integer(call->kind->deadline_ms));
    json_object_set_new(root, "priority",
                        json_string(names[call->kind->priority]));
    call->body = json_dumps(root, JSON_COMPACT);
    json_decref(root);
}

static struct endpoint *
pick_endpoint(struct mix_random *random)
{
    int first = (int)(Mix_Uniform(random) * load.endpoint_count);
    for (int i = 0; i < load.endpoint_count; i++) {
        struct endpoint *endpoint =
            &load.endpoints[(first + i) % load.endpoint_count];
        if (endpoint->key_count > 0) {
            return endpoint;
        }
    }
    return NULL;
}

static char *
pop_key(struct endpoint *endpoint)
{
    char *key = endpoint->keys[endpoint->key_first];
    endpoint->key_first = (endpoint->key_first + 1) % KEY_CAPACITY;
    endpoint->key_count--;
    return key;
}

static void
on_cancelled(void *context, const struct hc_result *result)
{
    (void)context;
    (void)result;
}

static void
cancel(lws_sorted_usec_list_t *sul)
{
    struct call *call = lws_container_of(sul, struct call, cancel_sul);
    char path[160];
    snprintf(path, sizeof(path), "/v1/jobs/%s", call->key);
    struct hc_call http = {
        .addr = call->endpoint->addr,
        .method = "DELETE",
        .path = path,
        .timeout_ms = KEY_TIMEOUT_MS,
        .done = on_cancelled,
    };
    Hc_Call(&call->endpoint->clients[0], &http);
}

static void
send_call(struct call *call)
{
    struct hc_call http = {
        .addr = call->endpoint->addr,
        .method = "POST",
        .path = call->kind->flags & SUB_REQUEST ? "/v1/requests" : "/v1/jobs",
        .body = {call->body, (uint32_t)strlen(call->body)},
        .key = call->key,
        .timeout_ms = call->kind->deadline_ms + RESPONSE_GRACE_MS,
        .done = on_answer,
        .context = call,
    };
    for (int i = 0; i < CLIENTS_PER_ENTRY; i++) {
        if (Hc_Call(&call->endpoint->clients[i], &http) == 0) {
            return;
        }
    }
    struct hc_result none = {.status = -1};
    on_answer(call, &none);
}

static void
submit(struct stream *stream)
{
    struct mix_random *random = &stream->random;
    struct call *call = calloc(1, sizeof(*call));
    if (!call) {
        abort();
    }
    call->kind = stream->kind;
    call->due_us = stream->due_us;
    call->task_count = Mix_TaskCount(random, call->kind);
    call->run_ms = calloc(call->task_count, sizeof(double));
    for (uint32_t i = 0; i < call->task_count; i++) {
        call->run_ms[i] = Mix_RunMs(random, call->kind);
    }
    call->cancel = Mix_Uniform(random) < load.cancel_share;
    write_body(call, random);
    call->endpoint = pick_endpoint(random);
    load.open++;
    if (!call->endpoint) {
        struct hc_result none = {.status = -2};
        on_answer(call, &none);
        return;
    }
    call->key = pop_key(call->endpoint);
    if (call->cancel) {
        lws_sul_schedule(load.loop.lws, 0, &call->cancel_sul, cancel,
                         (lws_usec_t)(100 * US_PER_MS));
    }
    send_call(call);
}

static void
on_due(lws_sorted_usec_list_t *sul)
{
    struct stream *stream = lws_container_of(sul, struct stream, sul);
    uint64_t now_us = Loop_Now().us;
    while (stream->due_us <= now_us && !load.stopping) {
        submit(stream);
        stream->due_us +=
            (uint64_t)(Mix_Interarrival(&stream->random, stream->rate) *
                       US_PER_S);
    }
    if (!load.stopping) {
        lws_sul_schedule(load.loop.lws, 0, sul, on_due,
                         (lws_usec_t)(stream->due_us - now_us) + 1);
    }
}

static void
on_end(lws_sorted_usec_list_t *sul)
{
    (void)sul;
    load.stopping = 1;
    check_end();
}

static void
start_load(void)
{
    static lws_sorted_usec_list_t end;
    load.started = 1;
    load.start_us = Loop_Now().us;
    fprintf(stderr, "began %llu\n", (unsigned long long)load.start_us);
    for (int i = 0; i < load.mix->count; i++) {
        struct stream *stream = &load.streams[i];
        stream->kind = &load.mix->kinds[i];
        stream->random.state = load.seed * 1000003 + (uint64_t)i;
        stream->rate = Mix_Rate(load.mix, i, load.slots);
        stream->due_us =
            load.start_us +
            (uint64_t)(Mix_Interarrival(&stream->random, stream->rate) *
                       US_PER_S);
        on_due(&stream->sul);
    }
    lws_sul_schedule(load.loop.lws, 0, &end, on_end,
                     (lws_usec_t)(load.seconds * US_PER_S));
}

static void
on_key_timer(void *context)
{
    int ready = 1;
    (void)context;
    for (int i = 0; i < load.endpoint_count; i++) {
        request_keys(&load.endpoints[i]);
        ready = ready && load.endpoints[i].key_count >= MIN_KEYS;
    }
    if (ready && !load.started) {
        start_load();
    }
}

static int
add_endpoints(char *list, struct err *err)
{
    for (char *addr = strtok(list, ","); addr; addr = strtok(NULL, ",")) {
        if (load.endpoint_count == MAX_ENTRIES) {
            return Err_Set(err, CODE_BAD_FIELD,
                           "--entries names more than %d addresses",
                           MAX_ENTRIES);
        }
        struct endpoint *endpoint = &load.endpoints[load.endpoint_count++];
        endpoint->addr = addr;
        for (int i = 0; i < CLIENTS_PER_ENTRY; i++) {
            if (Hc_Init(&endpoint->clients[i], &load.loop, HC_MAX_CALLS,
                        err)) {
                return -1;
            }
        }
    }
    if (!load.endpoint_count) {
        return Err_Set(err, CODE_BAD_FIELD,
                       "--entries names no address, allowed are 1 to %d",
                       MAX_ENTRIES);
    }
    return 0;
}

static const char usage[] =
    "Usage: measure-load --entries ADDR,... --mix NAME [OPTION]...\n"
    "\n"
    "  --slots N       task slots that jobs keep busy on average (70)\n"
    "  --seconds N     how long submissions arrive, in seconds (10)\n"
    "  --seed N        seed of the random number generators (1)\n"
    "  --declare X     declare X times the true run time; 0: nothing (0)\n"
    "  --cancel X      share (0 to 1) to cancel 100 ms after arrival (0)\n"
    "  --teams N       number of teams that submit (1)\n"
    "  --hog N         percentage of submissions by the first team (0)\n";

static const struct option options[] = {
    {"entries", required_argument, NULL, 'e'},
    {"mix", required_argument, NULL, 'm'},
    {"slots", required_argument, NULL, 'n'},
    {"seconds", required_argument, NULL, 't'},
    {"seed", required_argument, NULL, 's'},
    {"declare", required_argument, NULL, 'd'},
    {"cancel", required_argument, NULL, 'c'},
    {"teams", required_argument, NULL, 'g'},
    {"hog", required_argument, NULL, 'o'},
    {NULL, 0, NULL, 0},
};

static int
read_options(int argc, char **argv, char **entries)
{
    int option;
    while ((option = getopt_long(argc, argv, "", options, NULL)) != -1) {
        switch (option) {
        case 'e':
            *entries = optarg;
            break;
        case 'm':
            load.mix = Mix_Find(optarg);
            break;
        case 'n':
            load.slots = strtod(optarg, NULL);
            break;
        case 't':
            load.seconds = strtod(optarg, NULL);
            break;
        case 's':
            load.seed = strtoull(optarg, NULL, 10);
            break;
        case 'd':
            load.declared_ratio = strtod(optarg, NULL);
            break;
        case 'c':
            load.cancel_share = strtod(optarg, NULL);
            break;
        case 'g':
            load.teams = (int)strtol(optarg, NULL, 10);
            break;
        case 'o':
            load.first_team_percent = (int)strtol(optarg, NULL, 10);
            break;
        default:
            return -1;
        }
    }
    return *entries && load.mix ? 0 : -1;
}

int
main(int argc, char **argv)
{
    struct err err = {0};
    char *entries = NULL;
    if (read_options(argc, argv, &entries)) {
        fputs(usage, stderr);
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    if (Loop_Init(&load.loop, &err) || add_endpoints(entries, &err)) {
        LOG_ERROR("load", "Cannot start the load generator: %s.", err.text);
        return 1;
    }
    Loop_Every(&load.loop, &load.keys, KEY_PERIOD_US, on_key_timer, NULL);
    Loop_Run(&load.loop);
    return 0;
}
