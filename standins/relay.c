/* Stand-in for the network between two processes: a TCP relay that simulates
 * network faults.
 *
 *   standin-relay --listen ADDR --to ADDR --control ADDR
 *
 * POST /faults on the control address sets the faults; each member is
 * optional:
 *   "delay_ms": n    forward bytes this much later
 *   "drop": bool     while true, close all connections, also new ones
 *   "cut": bool      while true, discard the bytes of all connections
 *   "silence": true  discard all further bytes of the connections that are
 *                    open now and send none that are queued, but keep the
 *                    connections open; new connections work
 * GET /stats returns the numbers of connections accepted, open and silent, and
 * of bytes forwarded. */
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

#include "base/addr.h"
#include "base/log.h"
#include "shell/httpd.h"

/* Interval at which delayed bytes are checked. */
#define FORWARD_INTERVAL_US 1000
#define MAX_CONNECTIONS 256
#define READ_SIZE 65536

/* Bytes received from one end and not yet sent to the other. */
struct chunk {
    struct chunk *next;
    uint64_t due_us; /* When to send them. */
    size_t size;
    size_t sent;
    unsigned char data[];
};

/* One direction of a relayed connection, with its queue of chunks. */
struct flow {
    int from;
    int to;
    struct chunk *head;
    struct chunk **tail;
};

/* A relayed connection: one socket to the client, one to the server. */
struct connection {
    int used;
    int silent; /* Discards what it receives and sends nothing. */
    struct flow to_server;
    struct flow to_client;
};

static struct {
    struct loop loop;
    struct httpd httpd;
    struct counters counters;
    struct loop_timer forward_timer;
    struct sockaddr_in target;
    int listener;
    int epoll; /* Set of the listener and the sockets of all connections. */
    uint32_t queued; /* Chunks in the queues of all flows. */
    int delay_ms;
    int drop;
    int cut;
    uint64_t bytes;       /* Forwarded so far. */
    uint64_t connections; /* Accepted so far. */
    struct connection table[MAX_CONNECTIONS];
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
remove_chunk(struct flow *flow)
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
close_connection(struct connection *connection)
{
    close(connection->to_server.from);
    close(connection->to_server.to);
    while (connection->to_server.head) {
        remove_chunk(&connection->to_server);
    }
    while (connection->to_client.head) {
        remove_chunk(&connection->to_client);
    }
    connection->used = 0;
}

static void
set_socket_options(int fd)
{
    int on = 1;
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

static void
add_to_epoll(int fd)
{
    struct epoll_event event = {.events = EPOLLIN};
    epoll_ctl(relay.epoll, EPOLL_CTL_ADD, fd, &event);
}

static struct connection *
find_unused_connection(void)
{
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
        if (!relay.table[i].used) {
            return &relay.table[i];
        }
    }
    return NULL;
}

/* Connects an accepted client to the server, or closes it if that fails. */
static void
relay_client(int client)
{
    struct connection *connection = find_unused_connection();
    int server = socket(AF_INET, SOCK_STREAM, 0);
    if (!connection || relay.drop || server < 0 ||
        connect(server, (struct sockaddr *)&relay.target,
                sizeof(relay.target))) {
        close(client);
        if (server >= 0) {
            close(server);
        }
        return;
    }
    set_socket_options(client);
    set_socket_options(server);
    add_to_epoll(client);
    add_to_epoll(server);
    connection->used = 1;
    connection->silent = 0;
    relay.connections++;
    init_flow(&connection->to_server, client, server);
    init_flow(&connection->to_client, server, client);
}

/* Queues the bytes received, or discards them. Returns -1 when the connection
 * has ended. */
static int
read_flow(struct flow *flow, uint64_t now_us, int discard)
{
    static unsigned char buffer[READ_SIZE];
    ssize_t size = recv(flow->from, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (size == 0) {
        return -1;
    }
    if (size < 0) {
        return errno == EAGAIN || errno == EINTR ? 0 : -1;
    }
    if (discard) {
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

/* Sends the chunks that are due. Returns -1 when the connection has failed. */
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
            remove_chunk(flow);
        }
    }
    return 0;
}

static void
forward_connection(struct connection *connection, uint64_t now_us)
{
    int discard = connection->silent || relay.cut;
    int ended = read_flow(&connection->to_server, now_us, discard) ||
                read_flow(&connection->to_client, now_us, discard);
    if (!connection->silent) {
        ended = write_flow(&connection->to_server, now_us) ||
                write_flow(&connection->to_client, now_us) || ended;
    }
    if (ended || relay.drop) {
        close_connection(connection);
    }
}

/* Accepts new connections and moves bytes on all of them. */
static void
forward_all(void)
{
    uint64_t now_us = Loop_Now().us;
    int fd;
    while ((fd = accept(relay.listener, NULL, NULL)) >= 0) {
        relay_client(fd);
    }
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
        if (relay.table[i].used) {
            forward_connection(&relay.table[i], now_us);
        }
    }
}

static void
on_timer(void *context)
{
    (void)context;
    if (relay.queued) {
        forward_all();
    }
}

static int
on_epoll(struct lws *wsi, enum lws_callback_reasons reason, void *user,
         void *in, size_t size)
{
    (void)wsi;
    (void)user;
    (void)in;
    (void)size;
    if (reason == LWS_CALLBACK_RAW_RX_FILE) {
        forward_all();
    }
    return 0;
}

/* Lets the event loop watch the epoll descriptor. */
static int
adopt_epoll(void)
{
    static const struct lws_protocols protocols[] = {
        {"watch", on_epoll, 0, 0, 0, NULL, 0},
        {NULL, NULL, 0, 0, 0, NULL, 0},
    };
    struct lws_context_creation_info info = {0};
    lws_sock_file_fd_type fd = {.filefd = relay.epoll};
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
    for (int i = 0; silence && i < MAX_CONNECTIONS; i++) {
        relay.table[i].silent = 1;
    }
    forward_all();
    Hs_ReplyJson(&relay.httpd, request->conn, 200, "{}");
}

static void
reply_stats(const struct hs_request *request)
{
    char text[128];
    int open = 0;
    int silent = 0;
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
        open += relay.table[i].used;
        silent += relay.table[i].used && relay.table[i].silent;
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
    if (Addr_Split(text, host, sizeof(host), &port)) {
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
    set_socket_options(relay.listener);
    add_to_epoll(relay.listener);
    if (bind(relay.listener, (struct sockaddr *)&addr, sizeof(addr))) {
        return -1;
    }
    return listen(relay.listener, MAX_CONNECTIONS);
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
    relay.epoll = epoll_create1(EPOLL_CLOEXEC);
    if (listen_on(listen_addr) || Loop_Init(&relay.loop, &err) ||
        Hs_Init(&relay.httpd, &relay.loop, control, NULL, NULL, on_request,
                NULL, NULL, &relay.counters, &err) ||
        adopt_epoll()) {
        LOG_ERROR("relay", "Relay cannot start: %s.", err.text);
        return 1;
    }
    Loop_Every(&relay.loop, &relay.forward_timer, FORWARD_INTERVAL_US,
               on_timer, NULL);
    Loop_Run(&relay.loop);
    return 0;
}
