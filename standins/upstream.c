/* Stand-in for an upstream. It announces itself to its agent, and runs a task
 * by waiting for the task's run time. The start and the end of each task are
 * lines of a journal file, by which tests count the starts:
 *
 *   start KEY TASK SEQUENCE MICROSECONDS
 *   stop  KEY TASK SEQUENCE MICROSECONDS
 *
 * SEQUENCE is the number of tasks started so far. The input of a task may be
 * JSON: {"ms": run time, "fail": bool, "hang": bool}; a task that hangs never
 * ends by itself. POST /faults sets the defaults for all tasks and the state
 * of the upstream: {"run_ms": run time, "fail": bool, "hang": bool, "slow":
 * factor of the run time, "leaving": bool, "silent": bool}. A silent upstream
 * sends no announcements. */
#include <getopt.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "shell/httpc.h"
#include "shell/httpd.h"

#define ANNOUNCE_INTERVAL_US (500 * US_PER_MS)
#define ANNOUNCE_TIMEOUT_MS 1000

struct task {
    lws_sorted_usec_list_t sul;
    struct task *next;
    conn_id conn;
    char name[128]; /* Key and task number, separated by a space. */
    char *input;
    size_t input_size;
    int fail;
};

static struct {
    struct loop loop;
    struct httpd httpd;
    struct httpc httpc;
    struct counters counters;
    struct loop_timer announce_timer;
    const char *listen;
    const char *agent;
    const char *service;
    int slots;
    int connections;
    int memory_mb;
    int cores;
    FILE *journal;
    int run_ms;
    int fail;
    int hang;
    double slow;
    int leaving;
    int silent;
    int running;
    struct task *tasks;     /* List of the running tasks. */
    unsigned long sequence; /* Number of tasks started. */
} up;

static void
write_journal(const char *event, const char *name)
{
    if (up.journal) {
        fprintf(up.journal, "%s %s %lu %llu\n", event, name, up.sequence,
                (unsigned long long)Loop_Now().us);
        fflush(up.journal);
    }
}

static void
unlink_task(struct task *task)
{
    struct task **at = &up.tasks;
    while (*at && *at != task) {
        at = &(*at)->next;
    }
    if (*at) {
        *at = task->next;
    }
    up.running--;
}

static void
end_task(struct task *task, int status)
{
    unlink_task(task);
    write_journal("stop", task->name);
    struct hs_reply reply = {
        .status = status,
        .type = "application/octet-stream",
        .body = {task->input, (uint32_t)task->input_size},
    };
    Hs_Reply(&up.httpd, task->conn, &reply);
    free(task->input);
    free(task);
}

static void
on_run_timer(lws_sorted_usec_list_t *sul)
{
    struct task *task = lws_container_of(sul, struct task, sul);
    end_task(task, task->fail ? 500 : 200);
}

static void
read_input(const struct bytes *body, double *ms, int *fail, int *hang)
{
    json_t *root =
        json_loadb(body->data ? body->data : "", body->size, 0, NULL);
    json_t *value = json_object_get(root, "ms");
    if (json_is_number(value)) {
        *ms = json_number_value(value);
    }
    json_unpack(root, "{s?b,s?b}", "fail", fail, "hang", hang);
    json_decref(root);
}

static void
run_task(const struct hs_request *request)
{
    double ms = up.run_ms;
    int fail = up.fail;
    int hang = up.hang;
    const char *name = request->path + strlen("/v1/tasks/");
    struct task *task = calloc(1, sizeof(*task));
    if (!task) {
        abort();
    }
    read_input(&request->body, &ms, &fail, &hang);
    snprintf(task->name, sizeof(task->name), "%s", name);
    char *slash = strchr(task->name, '/');
    if (slash) {
        *slash = ' ';
    }
    task->conn = request->conn;
    task->fail = fail;
    task->input = malloc(request->body.size + 1);
    if (!task->input) {
        abort();
    }
    if (request->body.size) {
        memcpy(task->input, request->body.data, request->body.size);
    }
    task->input_size = request->body.size;
    task->next = up.tasks;
    up.tasks = task;
    up.running++;
    up.sequence++;
    write_journal("start", task->name);
    if (hang) {
        return;
    }
    double us = ms * up.slow * 1000;
    if (us < 1) {
        end_task(task, fail ? 500 : 200);
        return;
    }
    lws_sul_schedule(up.loop.lws, 0, &task->sul, on_run_timer, (lws_usec_t)us);
}

static void
stop_task(const struct hs_request *request)
{
    char name[128];
    snprintf(name, sizeof(name), "%s", request->path + strlen("/v1/tasks/"));
    char *slash = strchr(name, '/');
    if (slash) {
        *slash = ' ';
    }
    for (struct task *task = up.tasks; task; task = task->next) {
        if (strcmp(task->name, name) == 0) {
            lws_sul_schedule(up.loop.lws, 0, &task->sul, NULL,
                             LWS_SET_TIMER_USEC_CANCEL);
            end_task(task, 409);
            break;
        }
    }
    Hs_ReplyJson(&up.httpd, request->conn, 200, "{}");
}

static void
set_faults(const struct hs_request *request)
{
    json_t *root = json_loadb(request->body.data ? request->body.data : "",
                              request->body.size, 0, NULL);
    json_unpack(root, "{s?i,s?b,s?b,s?F,s?b,s?b}", "run_ms", &up.run_ms,
                "fail", &up.fail, "hang", &up.hang, "slow", &up.slow,
                "leaving", &up.leaving, "silent", &up.silent);
    json_decref(root);
    Hs_ReplyJson(&up.httpd, request->conn, 200, "{}");
}

static void
on_request(void *context, const struct hs_request *request)
{
    (void)context;
    int is_task = strncmp(request->path, "/v1/tasks/", 10) == 0;
    if (is_task && request->method == HS_POST) {
        run_task(request);
    }
    else if (is_task && request->method == HS_DELETE) {
        stop_task(request);
    }
    else if (strcmp(request->path, "/faults") == 0) {
        set_faults(request);
    }
    else {
        Hs_ReplyJson(&up.httpd, request->conn, 404, "{}");
    }
}

static void
on_announced(void *context, const struct hc_result *result)
{
    (void)context;
    (void)result;
}

static void
announce(void *context)
{
    char body[512];
    (void)context;
    if (up.silent) {
        return;
    }
    int size = snprintf(
        body, sizeof(body),
        "{\"service\":\"%s\",\"address\":\"%s\",\"slots\":%d,"
        "\"connections\":%d,\"memory_mb\":%d,\"cores\":%d,\"running\":%d,"
        "\"leaving\":%s}",
        up.service, up.listen, up.slots, up.connections, up.memory_mb,
        up.cores, up.running, up.leaving ? "true" : "false");
    struct hc_call call = {
        .addr = up.agent,
        .method = "POST",
        .path = "/v1/announce",
        .body = {body, (uint32_t)size},
        .timeout_ms = ANNOUNCE_TIMEOUT_MS,
        .done = on_announced,
    };
    Hc_Call(&up.httpc, &call);
}

static int
read_options(int argc, char **argv)
{
    static const struct option options[] = {
        {"listen", required_argument, NULL, 'l'},
        {"agent", required_argument, NULL, 'a'},
        {"service", required_argument, NULL, 's'},
        {"slots", required_argument, NULL, 'n'},
        {"connections", required_argument, NULL, 'c'},
        {"memory-mb", required_argument, NULL, 'm'},
        {"cores", required_argument, NULL, 'p'},
        {"run-ms", required_argument, NULL, 'r'},
        {"journal", required_argument, NULL, 'j'},
        {NULL, 0, NULL, 0},
    };
    int option;
    while ((option = getopt_long(argc, argv, "l:a:s:n:c:m:p:r:j:", options,
                                 NULL)) != -1) {
        switch (option) {
        case 'l':
            up.listen = optarg;
            break;
        case 'a':
            up.agent = optarg;
            break;
        case 's':
            up.service = optarg;
            break;
        case 'n':
            up.slots = (int)strtol(optarg, NULL, 10);
            break;
        case 'c':
            up.connections = (int)strtol(optarg, NULL, 10);
            break;
        case 'm':
            up.memory_mb = (int)strtol(optarg, NULL, 10);
            break;
        case 'p':
            up.cores = (int)strtol(optarg, NULL, 10);
            break;
        case 'r':
            up.run_ms = (int)strtol(optarg, NULL, 10);
            break;
        case 'j':
            up.journal = fopen(optarg, "a");
            break;
        default:
            return -1;
        }
    }
    return up.listen && up.agent ? 0 : -1;
}

int
main(int argc, char **argv)
{
    struct err err = {0};
    up.service = "finishing";
    up.slots = 8;
    up.connections = 64;
    up.memory_mb = 131072;
    up.cores = 64;
    up.run_ms = 50;
    up.slow = 1;
    if (read_options(argc, argv)) {
        fputs("standin-upstream: --listen and --agent are needed\n", stderr);
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    if (Loop_Init(&up.loop, &err) || Hc_Init(&up.httpc, &up.loop, 4, &err) ||
        Hs_Init(&up.httpd, &up.loop, up.listen, NULL, NULL, on_request, NULL,
                NULL, &up.counters, &err)) {
        LOG_ERROR("upstream", "Upstream cannot start: %s.", err.text);
        return 1;
    }
    Loop_Every(&up.loop, &up.announce_timer, ANNOUNCE_INTERVAL_US, announce,
               NULL);
    announce(NULL);
    Loop_Run(&up.loop);
    return 0;
}
