/* Open-loop load on the entries: submissions arrive by a seeded Poisson
 * stream for each kind, whether or not earlier ones have been answered.
 * Prints one JSON object a line for each submission; latency counts from
 * the moment when the submission was due. measure/run reads the lines. */
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
/* Clients for each entry; each carries HC_MAX_LANES calls at once. */
#define CLIENTS_PER_ENTRY 6
#define KEY_BATCH 60
#define KEY_CAPACITY 256
#define MIN_KEYS 60
#define KEY_TIMEOUT_MS 2000
#define KEY_PERIOD_US (20 * US_PER_MS)
/* A caller waits this much longer than its deadline. */
#define RESPONSE_GRACE_MS 3000
#define TEAM_SIZE 32

struct endpoint {
    const char *addr;
    struct httpc clients[CLIENTS_PER_ENTRY];
    char *keys[KEY_CAPACITY]; /* A ring; the oldest is used first. */
    int key_first;
    int key_count;
    int key_request_pending;
};

struct stream {
    lws_sorted_usec_list_t sul;
    const struct mix_kind *kind;
    struct mix_random random;
    double rate;
    uint64_t due_us;
};

struct call {
    const struct mix_kind *kind;
    struct endpoint *endpoint;
    uint64_t due_us;
    uint32_t task_count;
    char *key;
    char *body;
    double *run_ms;
    int cancel;
    lws_sorted_usec_list_t cancel_sul;
};

static struct {
    struct loop loop;
    uint64_t seed;
    const struct mix *mix;
    struct endpoint doors[MAX_ENTRIES];
    int door_count;
    struct stream streams[8];
    struct loop_timer keys;
    double slots;
    double seconds;
    double declare; /* Declared over true run time, 0 for none. */
    double cancel_share;
    int teams;
    int hog; /* Percent of the submissions by the first team. */
    int began;
    int ending;
    int open;
    uint64_t began_us;
    unsigned long sequence;
} load = {.slots = 70, .seconds = 10, .seed = 1};

static void
on_keys(void *context, const struct hc_result *result)
{
    struct endpoint *door = context;
    json_t *root = json_loadb(result->body.data ? result->body.data : "",
                              result->body.size, 0, NULL);
    size_t i;
    json_t *key;
    door->key_request_pending = 0;
    json_array_foreach(json_object_get(root, "keys"), i, key)
    {
        if (door->key_count < KEY_CAPACITY) {
            int at = (door->key_first + door->key_count++) % KEY_CAPACITY;
            door->keys[at] = strdup(json_string_value(key));
        }
    }
    json_decref(root);
}

static void
take_keys(struct endpoint *door)
{
    char body[32];
    int size = snprintf(body, sizeof(body), "{\"count\":%d}", KEY_BATCH);
    if (door->key_request_pending || door->key_count >= MIN_KEYS) {
        return;
    }
    struct hc_call call = {
        .addr = door->addr,
        .method = "POST",
        .path = "/v1/keys",
        .body = {body, (uint32_t)size},
        .timeout_ms = KEY_TIMEOUT_MS,
        .done = on_keys,
        .context = door,
    };
    door->key_request_pending = Hc_Call(&door->clients[0], &call) == 0;
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
           (unsigned long long)(call->due_us - load.began_us),
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
    if (load.ending && load.open == 0) {
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
        if (load.declare > 0) {
            double ms = call->run_ms[i] * load.declare + 1;
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
    if (Mix_Uniform(random) * 100 >= load.hog && load.teams > 1) {
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
    int first = (int)(Mix_Uniform(random) * load.door_count);
    for (int i = 0; i < load.door_count; i++) {
        struct endpoint *door = &load.doors[(first + i) % load.door_count];
        if (door->key_count > 0) {
            return door;
        }
    }
    return NULL;
}

static char *
take_key(struct endpoint *door)
{
    char *key = door->keys[door->key_first];
    door->key_first = (door->key_first + 1) % KEY_CAPACITY;
    door->key_count--;
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
    call->key = take_key(call->endpoint);
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
    while (stream->due_us <= now_us && !load.ending) {
        submit(stream);
        stream->due_us +=
            (uint64_t)(Mix_Interarrival(&stream->random, stream->rate) *
                       US_PER_S);
    }
    if (!load.ending) {
        lws_sul_schedule(load.loop.lws, 0, sul, on_due,
                         (lws_usec_t)(stream->due_us - now_us) + 1);
    }
}

static void
on_end(lws_sorted_usec_list_t *sul)
{
    (void)sul;
    load.ending = 1;
    check_end();
}

static void
begin(void)
{
    static lws_sorted_usec_list_t end;
    load.began = 1;
    load.began_us = Loop_Now().us;
    fprintf(stderr, "began %llu\n", (unsigned long long)load.began_us);
    for (int i = 0; i < load.mix->count; i++) {
        struct stream *stream = &load.streams[i];
        stream->kind = &load.mix->kinds[i];
        stream->random.state = load.seed * 1000003 + (uint64_t)i;
        stream->rate = Mix_Rate(load.mix, i, load.slots);
        stream->due_us =
            load.began_us +
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
    for (int i = 0; i < load.door_count; i++) {
        take_keys(&load.doors[i]);
        ready = ready && load.doors[i].key_count >= MIN_KEYS;
    }
    if (ready && !load.began) {
        begin();
    }
}

static int
add_endpoints(char *list)
{
    struct err err = {0};
    for (char *addr = strtok(list, ","); addr; addr = strtok(NULL, ",")) {
        if (load.door_count == MAX_ENTRIES) {
            return -1;
        }
        struct endpoint *door = &load.doors[load.door_count++];
        door->addr = addr;
        for (int i = 0; i < CLIENTS_PER_ENTRY; i++) {
            if (Hc_Init(&door->clients[i], &load.loop, HC_MAX_LANES, &err)) {
                return -1;
            }
        }
    }
    return load.door_count ? 0 : -1;
}

static const char usage[] =
    "Usage: measure-load --entries ADDR,... --mix NAME [OPTION]...\n"
    "\n"
    "  --slots N       task slots to keep busy on average (70)\n"
    "  --seconds N     time of arrivals (10)\n"
    "  --seed N        seed of arrivals and run times (1)\n"
    "  --declare X     declare X times the true run time; 0: none (0)\n"
    "  --cancel X      share of submissions cancelled after 100 ms (0)\n"
    "  --teams N       teams that submit (1)\n"
    "  --hog N         percent of submissions by the first team (0)\n";

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
            load.declare = strtod(optarg, NULL);
            break;
        case 'c':
            load.cancel_share = strtod(optarg, NULL);
            break;
        case 'g':
            load.teams = (int)strtol(optarg, NULL, 10);
            break;
        case 'o':
            load.hog = (int)strtol(optarg, NULL, 10);
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
    if (Loop_Init(&load.loop, &err) || add_endpoints(entries)) {
        LOG_ERROR("load", "Cannot start: %s.", err.text);
        return 1;
    }
    Loop_Every(&load.loop, &load.keys, KEY_PERIOD_US, on_key_timer, NULL);
    Loop_Run(&load.loop);
    return 0;
}
