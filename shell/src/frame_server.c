/* nng receives messages in its own threads and bounds neither the connections
 * nor the sum of their messages, so only its sending side is used. Load: a
 * crowd that reaches the internal address through a wrong firewall rule. */
#include "shell/frame_server.h"

#include <stdlib.h>

#include "base/addr.h"
#include "shell/sp_reader.h"
#include "wire/frame.h"

#define HOST_SIZE 64
/* Part of the budget for clients that unproved connections may take in
 * connections and in memory. */
#define CONNECTION_PART 6
#define MEMORY_PART 4
/* Time in which a connection has to be proved, and the time without a frame
 * after which a proved one is closed: its sender may have lost power. Our
 * processes send a heartbeat every few hundred milliseconds. */
#define PROOF_TIMEOUT_S 30
#define IDLE_TIMEOUT_S 120

/* A connection. */
struct source {
    struct lws *wsi;
    struct frame_server *server;
    struct intake_item item;
    struct sp_reader reader;
    int is_in_budget; /* Neither proved nor evicted. */
    int is_evicted;
    int has_answered; /* Our header has been sent. */
};

/* Data that lws keeps for each connection. */
struct session {
    struct source *source;
};

static void
leave_budget(struct source *source)
{
    if (source->is_in_budget) {
        source->is_in_budget = 0;
        Intake_Remove(&source->server->unproved, &source->item);
    }
}

static void
evict(struct intake_item *item, enum intake_reason reason)
{
    struct source *source = lws_container_of(item, struct source, item);
    (void)reason;
    CTR_INC(source->server->counters, links_evicted);
    source->is_evicted = 1;
    leave_budget(source);
    lws_set_timeout(source->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
}

/* Counts what the reader has allocated. */
static int
reserve(struct source *source)
{
    uint64_t room = source->reader.room;
    if (!source->is_in_budget || room <= source->item.bytes) {
        return 0;
    }
    return Intake_Reserve(&source->server->unproved, &source->item,
                          room - source->item.bytes);
}

static void
on_frame(struct source *source)
{
    struct frame_server *server = source->server;
    if (server->handler(server->context, source->reader.message,
                        source->reader.message_size) == 0) {
        leave_budget(source);
    }
    Sp_DropMessage(&source->reader);
    Intake_Release(&server->unproved, &source->item);
    lws_set_timeout(source->wsi, PENDING_TIMEOUT_USER_OK,
                    source->is_in_budget ? PROOF_TIMEOUT_S : IDLE_TIMEOUT_S);
}

static int
on_received(struct source *source, const unsigned char *data, size_t size)
{
    size_t used = 0;
    while (used < size && !source->is_evicted) {
        used += Sp_Read(&source->reader, data + used, size - used);
        if (source->reader.state == SP_INVALID || reserve(source)) {
            CTR_INC(source->server->counters, links_refused);
            return -1;
        }
        if (source->reader.is_complete) {
            on_frame(source);
        }
    }
    return source->is_evicted ? -1 : 0;
}

static int
on_writable(struct source *source)
{
    unsigned char header[LWS_PRE + SP_HEADER_SIZE];
    if (source->has_answered) {
        return 0;
    }
    source->has_answered = 1;
    memcpy(header + LWS_PRE, sp_pull_header, SP_HEADER_SIZE);
    return lws_write(source->wsi, header + LWS_PRE, SP_HEADER_SIZE,
                     LWS_WRITE_RAW) < 0
               ? -1
               : 0;
}

static int
on_open(struct frame_server *server, struct lws *wsi, struct session *session)
{
    struct source *source = calloc(1, sizeof(*source));
    if (!source) {
        return -1;
    }
    source->wsi = wsi;
    source->server = server;
    source->item.evict = evict;
    Sp_Init(&source->reader, FRAME_MAX_SIZE);
    if (Intake_Add(&server->unproved, &source->item)) {
        CTR_INC(server->counters, links_refused);
        free(source);
        return -1;
    }
    source->is_in_budget = 1;
    session->source = source;
    lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, PROOF_TIMEOUT_S);
    lws_callback_on_writable(wsi);
    return 0;
}

static void
on_close(struct session *session)
{
    struct source *source = session->source;
    if (!source) {
        return;
    }
    session->source = NULL;
    leave_budget(source);
    Sp_Finish(&source->reader);
    free(source);
}

static int
callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
         void *in, size_t len)
{
    struct lws_vhost *vhost = wsi ? lws_get_vhost(wsi) : NULL;
    struct frame_server *server = vhost ? lws_get_vhost_user(vhost) : NULL;
    struct session *session = user;
    if (!server) {
        return 0;
    }
    switch (reason) {
    case LWS_CALLBACK_RAW_ADOPT:
        return on_open(server, wsi, session);
    case LWS_CALLBACK_RAW_RX:
        return session->source ? on_received(session->source, in, len) : -1;
    case LWS_CALLBACK_RAW_WRITEABLE:
        return session->source ? on_writable(session->source) : -1;
    case LWS_CALLBACK_RAW_CLOSE:
        if (session) {
            on_close(session);
        }
        return 0;
    default:
        return 0;
    }
}

static const struct lws_protocols protocols[] = {
    {"frames", callback, sizeof(struct session), 0, 0, NULL, 0},
    {NULL, NULL, 0, 0, 0, NULL, 0},
};

int
Fs_Init(struct frame_server *server, struct loop *loop, const char *addr,
        fs_handler *handler, void *context, struct counters *counters,
        struct err *err)
{
    struct lws_context_creation_info info = {0};
    char host[HOST_SIZE];
    int port;
    memset(server, 0, sizeof(*server));
    server->loop = loop;
    server->handler = handler;
    server->context = context;
    server->counters = counters;
    Intake_InitPart(&server->unproved, &loop->intake, CONNECTION_PART,
                    MEMORY_PART);
    if (Addr_Split(addr, host, sizeof(host), &port)) {
        return Err_Set(err, CODE_BAD_SETTING,
                       "internal address: found \"%s\", allowed is ip:port",
                       addr);
    }
    info.port = port;
    info.iface = host;
    info.vhost_name = addr;
    info.protocols = protocols;
    info.user = server;
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6 |
                   LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG;
    info.listen_accept_role = "raw-skt";
    info.listen_accept_protocol = protocols[0].name;
    server->vhost = lws_create_vhost(loop->lws, &info);
    if (!server->vhost) {
        return Err_Set(err, CODE_SYSTEM, "cannot listen on %s", addr);
    }
    return 0;
}
