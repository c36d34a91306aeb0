/* Stand-in for the network between two processes: a TCP relay.
 *
 *   standin-relay --listen ADDR --to ADDR --control ADDR
 *
 * POST /faults on the control address sets, each optional:
 *   "delay_ms": n    bytes are passed on this much later
 *   "drop": bool     connections are closed, and new ones at once
 *   "cut": bool      bytes of all connections are lost while it is set
 *   "silence": true  connections open now pass no byte any more, and stay
 *                    open; connections made later work
 * GET /stats gives connections, silenced ones and bytes. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <getopt.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "shell/httpd.h"

/* Delayed bytes are looked for this often. */
#define PUMP_PERIOD_US 1000
#define MAX_PAIRS 256
#define READ_SIZE 65536

/* Bytes on their way. */
struct chunk {
    struct chunk *next;
    uint64_t due_us;
    size_t size;
    size_t sent;
    unsigned char data[];
};

/* One direction of a connection. */
struct flow {
    int from;
    int to;
    struct chunk *head;
    struct chunk **tail;
};

struct pair {
    int used;
    int silent;
    struct flow there;
    struct flow back;
};

static struct {
    struct loop loop;
    struct httpd httpd;
    struct counters counters;
    struct loop_timer pump;
    struct sockaddr_in target;
    int listener;
    int watch; /* epoll set of the listener and all connections. */
    uint32_t queued;
    int delay_ms;
    int drop;
    int cut;
    uint64_t bytes;
    uint64_t connections;
    struct pair pairs[MAX_PAIRS];
} relay;

static void
init_flow(struct flow *flow, int from, int to)
{
    flow->from = from;
    flow->to = to;
    flow->head = NULL;
    flow->tail = &flow->head;
}

static void
drop_chunk(struct flow *flow)
{
    struct chunk *chunk = flow->head;
    flow->head = chunk->next;
    if (!flow->head) {
        flow->tail = &flow->head;
    }
    free(chunk);
    relay.queued--;
}

static void
close_pair(struct pair *pair)
{
    close(pair->there.from);
    close(pair->there.to);
    while (pair->there.head) {
        drop_chunk(&pair->there);
    }
    while (pair->back.head) {
        drop_chunk(&pair->back);
    }
    pair->used = 0;
}

static void
set_up(int fd)
{
    int on = 1;
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

static void
watch(int fd)
{
    struct epoll_event event = {.events = EPOLLIN};
    epoll_ctl(relay.watch, EPOLL_CTL_ADD, fd, &event);
}

static struct pair *
free_pair(void)
{
    for (int i = 0; i < MAX_PAIRS; i++) {
        if (!relay.pairs[i].used) {
            return &relay.pairs[i];
        }
    }
    return NULL;
}

static void
accept_one(int near)
{
    struct pair *pair = free_pair();
    int far = socket(AF_INET, SOCK_STREAM, 0);
    if (!pair || relay.drop || far < 0 ||
        connect(far, (struct sockaddr *)&relay.target, sizeof(relay.target))) {
        close(near);
        if (far >= 0) {
            close(far);
        }
        return;
    }
    set_up(near);
    set_up(far);
    watch(near);
    watch(far);
    pair->used = 1;
    pair->silent = 0;
    relay.connections++;
    init_flow(&pair->there, near, far);
    init_flow(&pair->back, far, near);
}

/* Returns -1 when the connection has ended. */
static int
read_flow(struct flow *flow, uint64_t now_us, int lost)
{
    static unsigned char buffer[READ_SIZE];
    ssize_t size = recv(flow->from, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (size == 0) {
        return -1;
    }
    if (size < 0) {
        return errno == EAGAIN || errno == EINTR ? 0 : -1;
    }
    if (lost) {
        return 0;
    }
    struct chunk *chunk = malloc(sizeof(*chunk) + (size_t)size);
    if (!chunk) {
        return -1;
    }
    memcpy(chunk->data, buffer, (size_t)size);
    chunk->next = NULL;
    chunk->size = (size_t)size;
    chunk->sent = 0;
    chunk->due_us = now_us + (uint64_t)relay.delay_ms * US_PER_MS;
    *flow->tail = chunk;
    flow->tail = &chunk->next;
    relay.queued++;
    return 0;
}

static int
write_flow(struct flow *flow, uint64_t now_us)
{
    while (flow->head && flow->head->due_us <= now_us) {
        struct chunk *chunk = flow->head;
        ssize_t size = send(flow->to, chunk->data + chunk->sent,
                            chunk->size - chunk->sent, MSG_DONTWAIT);
        if (size < 0) {
            return errno == EAGAIN || errno == EINTR ? 0 : -1;
        }
        relay.bytes += (uint64_t)size;
        chunk->sent += (size_t)size;
        if (chunk->sent == chunk->size) {
            drop_chunk(flow);
        }
    }
    return 0;
}

static void
pump_pair(struct pair *pair, uint64_t now_us)
{
    int lost = pair->silent || relay.cut;
    int ended = read_flow(&pair->there, now_us, lost) ||
                read_flow(&pair->back, now_us, lost);
    if (!pair->silent) {
        ended = write_flow(&pair->there, now_us) ||
                write_flow(&pair->back, now_us) || ended;
    }
    if (ended || relay.drop) {
        close_pair(pair);
    }
}

static void
pump(void)
{
    uint64_t now_us = Loop_Now().us;
    int fd;
    while ((fd = accept(relay.listener, NULL, NULL)) >= 0) {
        accept_one(fd);
    }
    for (int i = 0; i < MAX_PAIRS; i++) {
        if (relay.pairs[i].used) {
            pump_pair(&relay.pairs[i], now_us);
        }
    }
}

static void
on_timer(void *context)
{
    (void)context;
    if (relay.queued) {
        pump();
    }
}

static int
on_watch(struct lws *wsi, enum lws_callback_reasons reason, void *user,
         void *in, size_t size)
{
    (void)wsi;
    (void)user;
    (void)in;
    (void)size;
    if (reason == LWS_CALLBACK_RAW_RX_FILE) {
        pump();
    }
    return 0;
}

static int
adopt_watch(void)
{
    static const struct lws_protocols protocols[] = {
        {"watch", on_watch, 0, 0, 0, NULL, 0},
        {NULL, NULL, 0, 0, 0, NULL, 0},
    };
    struct lws_context_creation_info info = {0};
    lws_sock_file_fd_type fd = {.filefd = relay.watch};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.vhost_name = "watch";
    info.protocols = protocols;
    struct lws_vhost *vhost = lws_create_vhost(relay.loop.lws, &info);
    return vhost && lws_adopt_descriptor_vhost(vhost, LWS_ADOPT_RAW_FILE_DESC,
                                               fd, "watch", NULL)
               ? 0
               : -1;
}

static void
set_faults(const struct hs_request *request)
{
    int silence = 0;
    json_t *root = json_loadb(request->body.data ? request->body.data : "",
                              request->body.size, 0, NULL);
    json_unpack(root, "{s?i,s?b,s?b,s?b}", "delay_ms", &relay.delay_ms, "drop",
                &relay.drop, "cut", &relay.cut, "silence", &silence);
    json_decref(root);
    for (int i = 0; silence && i < MAX_PAIRS; i++) {
        relay.pairs[i].silent = 1;
    }
    pump();
    Hs_ReplyJson(&relay.httpd, request->conn, 200, "{}");
}

static void
reply_stats(const struct hs_request *request)
{
    char text[128];
    int open = 0;
    int silent = 0;
    for (int i = 0; i < MAX_PAIRS; i++) {
        open += relay.pairs[i].used;
        silent += relay.pairs[i].used && relay.pairs[i].silent;
    }
    snprintf(text, sizeof(text),
             "{\"connections\":%llu,\"open\":%d,\"silent\":%d,\"bytes\":%llu}",
             (unsigned long long)relay.connections, open, silent,
             (unsigned long long)relay.bytes);
    Hs_ReplyJson(&relay.httpd, request->conn, 200, text);
}

static void
on_request(void *context, const struct hs_request *request)
{
    (void)context;
    if (strcmp(request->path, "/faults") == 0) {
        set_faults(request);
    }
    else if (strcmp(request->path, "/stats") == 0) {
        reply_stats(request);
    }
    else {
        Hs_ReplyJson(&relay.httpd, request->conn, 404, "{}");
    }
}

static int
read_addr(const char *text, struct sockaddr_in *addr)
{
    char host[64];
    int port;
    memset(addr, 0, sizeof(*addr));
    addr->sin_family = AF_INET;
    if (Hs_SplitAddr(text, host, sizeof(host), &port)) {
        return -1;
    }
    addr->sin_port = htons((uint16_t)port);
    return inet_pton(AF_INET, host, &addr->sin_addr) == 1 ? 0 : -1;
}

static int
listen_on(const char *text)
{
    struct sockaddr_in addr;
    int on = 1;
    relay.listener = socket(AF_INET, SOCK_STREAM, 0);
    if (relay.listener < 0 || read_addr(text, &addr)) {
        return -1;
    }
    setsockopt(relay.listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    set_up(relay.listener);
    watch(relay.listener);
    if (bind(relay.listener, (struct sockaddr *)&addr, sizeof(addr))) {
        return -1;
    }
    return listen(relay.listener, MAX_PAIRS);
}

int
main(int argc, char **argv)
{
    static const struct option options[] = {
        {"listen", required_argument, NULL, 'l'},
        {"to", required_argument, NULL, 't'},
        {"control", required_argument, NULL, 'c'},
        {NULL, 0, NULL, 0},
    };
    const char *listen_addr = NULL;
    const char *to = NULL;
    const char *control = NULL;
    struct err err = {0};
    int option;
    while ((option = getopt_long(argc, argv, "l:t:c:", options, NULL)) != -1) {
        listen_addr = option == 'l' ? optarg : listen_addr;
        to = option == 't' ? optarg : to;
        control = option == 'c' ? optarg : control;
    }
    if (!listen_addr || !to || !control || read_addr(to, &relay.target)) {
        fputs("standin-relay: --listen, --to and --control are needed\n",
              stderr);
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    relay.watch = epoll_create1(EPOLL_CLOEXEC);
    if (listen_on(listen_addr) || Loop_Init(&relay.loop, &err) ||
        Hs_Init(&relay.httpd, &relay.loop, control, NULL, NULL, on_request,
                NULL, NULL, &relay.counters, &err) ||
        adopt_watch()) {
        LOG_ERROR("relay", "Cannot start: %s.", err.text);
        return 1;
    }
    Loop_Every(&relay.loop, &relay.pump, PUMP_PERIOD_US, on_timer, NULL);
    Loop_Run(&relay.loop);
    return 0;
}
