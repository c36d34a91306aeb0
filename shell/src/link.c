#include "shell/link.h"

#include <nng/protocol/pipeline0/push.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/log.h"

#define URL_SIZE (WIRE_ADDR_SIZE + 8)
/* Frames that a socket buffers. Further frames to send are dropped. */
#define SEND_BUFFER 64
#define RECONNECT_MIN_MS 50
#define RECONNECT_MAX_MS 1000
/* A batch of this size is sent without waiting for Link_Flush(). */
#define BATCH_BYTES (256u << 10)

static void
receive_message(void *context, const struct frame_header *header,
                const struct msg *msg)
{
    struct links *links = context;
    if (header->to != links->header.from) {
        CTR_INC(links->counters, frame_not_for_us);
        if (links->unknown_peer) {
            links->unknown_peer(links->context, header);
        }
        return;
    }
    CTR_INC(links->counters, messages_received);
    links->handler(links->context, header, msg);
}

static int
receive_frame(void *context, const void *frame, size_t size)
{
    struct links *links = context;
    struct err err = {0};
    CTR_INC(links->counters, frames_received);
    CTR_ADD(links->counters, bytes_received, size);
    if (Frame_Decode(frame, size, &links->secret, receive_message, links,
                     &err) == 0) {
        return 0;
    }
    switch (err.code) {
    case CODE_BAD_MAC:
        CTR_INC(links->counters, frame_bad_mac);
        break;
    case CODE_BAD_VERSION:
        CTR_INC(links->counters, frame_bad_version);
        break;
    default:
        CTR_INC(links->counters, frame_bad);
        break;
    }
    LOG_DEBUG("link", "Rejected an invalid frame: %s.", err.text);
    /* That is found in a frame whose signature matches. */
    return err.code == CODE_BAD_VERSION ? 0 : -1;
}

int
Link_Init(struct links *links, struct loop *loop, const char *listen,
          const struct frame_header *header, const struct key_secret *secret,
          link_handler *handler, void *context, struct counters *counters,
          struct err *err)
{
    memset(links, 0, sizeof(*links));
    links->loop = loop;
    links->header = *header;
    links->secret = *secret;
    links->handler = handler;
    links->context = context;
    links->counters = counters;
    if (Tab_Init(&links->peers, sizeof(struct link_peer), LINK_MAX_PEERS)) {
        return Err_Set(err, CODE_NO_MEMORY, "no memory for %d links",
                       LINK_MAX_PEERS);
    }
    return Fs_Init(&links->server, loop, listen, receive_frame, links,
                   counters, err);
}

static struct link_peer *
find_peer(const struct links *links, uint64_t incarnation)
{
    struct link_peer *peer;
    HASH_FIND(hh, links->index, &incarnation, sizeof(incarnation), peer);
    return peer;
}

static int
open_socket(struct link_peer *peer)
{
    char url[URL_SIZE];
    int status = nng_push0_open(&peer->socket);
    if (status) {
        LOG_ERROR("link", "Cannot open a socket for a link: %s. address=%s",
                  nng_strerror(status), peer->addr);
        return -1;
    }
    snprintf(url, sizeof(url), "tcp://%s", peer->addr);
    nng_socket_set_int(peer->socket, NNG_OPT_SENDBUF, SEND_BUFFER);
    nng_socket_set_ms(peer->socket, NNG_OPT_RECONNMINT, RECONNECT_MIN_MS);
    nng_socket_set_ms(peer->socket, NNG_OPT_RECONNMAXT, RECONNECT_MAX_MS);
    nng_dial(peer->socket, url, NULL, NNG_FLAG_NONBLOCK);
    return 0;
}

static void
set_clean(struct links *links, struct link_peer *peer)
{
    if (peer->dirty) {
        DL_DELETE(links->dirty, peer);
        peer->dirty = 0;
    }
}

/* Starts an empty batch. */
static void
reset_frame(struct links *links, struct link_peer *peer)
{
    Frame_Finish(&peer->frame);
    links->header.to = peer->incarnation;
    Frame_Init(&peer->frame, &links->header);
    set_clean(links, peer);
}

void
Link_Open(struct links *links, uint64_t incarnation, const char *addr)
{
    struct link_peer *peer = find_peer(links, incarnation);
    if (peer) {
        nng_close(peer->socket);
    }
    else {
        peer = Tab_Add(&links->peers);
        if (!peer) {
            LOG_ERROR("link", "Too many links: limit %d reached. address=%s",
                      LINK_MAX_PEERS, addr);
            return;
        }
        peer->incarnation = incarnation;
        HASH_ADD(hh, links->index, incarnation, sizeof(incarnation), peer);
        links->header.to = incarnation;
        Frame_Init(&peer->frame, &links->header);
    }
    snprintf(peer->addr, sizeof(peer->addr), "%s", addr);
    open_socket(peer);
}

static void
remove_peer(struct links *links, struct link_peer *peer)
{
    nng_close(peer->socket);
    Frame_Finish(&peer->frame);
    set_clean(links, peer);
    HASH_DELETE(hh, links->index, peer);
    Tab_Remove(&links->peers, peer);
}

void
Link_Close(struct links *links, uint64_t incarnation)
{
    struct link_peer *peer = find_peer(links, incarnation);
    if (peer) {
        remove_peer(links, peer);
    }
}

static void
flush_peer(struct links *links, struct link_peer *peer)
{
    Frame_Sign(&peer->frame, &links->secret);
    int status = nng_send(peer->socket, peer->frame.buffer.data,
                          peer->frame.buffer.size, NNG_FLAG_NONBLOCK);
    if (status) {
        CTR_INC(links->counters, frames_dropped);
    }
    else {
        CTR_INC(links->counters, frames_sent);
        CTR_ADD(links->counters, messages_sent, peer->frame.count);
        CTR_ADD(links->counters, bytes_sent, peer->frame.buffer.size);
    }
    reset_frame(links, peer);
}

void
Link_Send(struct links *links, uint64_t incarnation, const struct msg *msg)
{
    struct link_peer *peer = find_peer(links, incarnation);
    if (!peer) {
        CTR_INC(links->counters, frames_dropped);
        return;
    }
    Frame_Add(&peer->frame, msg);
    if (!peer->dirty) {
        DL_APPEND(links->dirty, peer);
        peer->dirty = 1;
    }
    if (peer->frame.buffer.size >= BATCH_BYTES) {
        flush_peer(links, peer);
    }
}

void
Link_Flush(struct links *links)
{
    while (links->dirty) {
        flush_peer(links, links->dirty);
    }
}

void
Link_Finish(struct links *links)
{
    uint32_t slot = 0;
    struct link_peer *peer;
    while ((peer = Tab_Next(&links->peers, &slot))) {
        remove_peer(links, peer);
    }
    Tab_Finish(&links->peers);
}
