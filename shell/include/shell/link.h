/** @file
 * Links to other processes: a frame server receives from all of them, and one
 * nng PUSH socket sends to each. Messages to a process are batched into a
 * frame that is sent by Link_Flush(), or earlier when it reaches 256 KiB.
 * Messages that cannot be sent are dropped. */
#ifndef SHELL_LINK_H
#define SHELL_LINK_H

#include <nng/nng.h>
#include <uthash.h>

#include "base/counter.h"
#include "base/tab.h"
#include "shell/frame_server.h"
#include "wire/frame.h"

/** Largest number of linked processes. */
#define LINK_MAX_PEERS 2048

/** Called for each received message that is addressed to this process. */
typedef void link_handler(void *context, const struct frame_header *header,
                          const struct msg *msg);

/** Called for each message that is addressed to another incarnation, such
 * as that of the previous process at this address. */
typedef void link_unknown_peer(void *context,
                               const struct frame_header *header);

/** A linked process. */
struct link_peer {
    struct tab_row row;
    uint64_t incarnation;
    char addr[WIRE_ADDR_SIZE];
    nng_socket socket;
    struct frame_out frame;        /**< The batch of messages to send. */
    int dirty;                     /**< The batch has messages. */
    struct link_peer *prev, *next; /**< In links.dirty. */
    UT_hash_handle hh;
};

/** All links of a process. */
struct links {
    struct loop *loop;
    struct frame_server server;
    struct frame_header header; /**< Of the frames sent. */
    struct key_secret secret;
    struct tab peers;
    struct link_peer *index; /**< Peers by incarnation. */
    struct link_peer *dirty; /**< Peers with messages to send. */
    link_handler *handler;
    link_unknown_peer *unknown_peer; /**< NULL for none. */
    void *context;
    struct counters *counters;
};

/** Listen on `listen`, "ip:port". `header` is copied as the header of frames
 * sent; peers reach this process at header->addr. Errors: CODE_NO_MEMORY,
 * CODE_SYSTEM. */
int Link_Init(struct links *links, struct loop *loop, const char *listen,
              const struct frame_header *header,
              const struct key_secret *secret, link_handler *handler,
              void *context, struct counters *counters, struct err *err);

/** Close all links. The frame server is closed by Loop_Finish(), until which
 * `links` must stay valid. */
void Link_Finish(struct links *links);

/** Connect to a process at `addr`, "ip:port", in the background. An existing
 * connection to it is closed first. */
void Link_Open(struct links *links, uint64_t incarnation, const char *addr);

/** Close the link to a process and drop its unsent messages. */
void Link_Close(struct links *links, uint64_t incarnation);

/** Add a message to the batch for a process. Without a link to the process the
 * message is dropped. */
void Link_Send(struct links *links, uint64_t incarnation,
               const struct msg *msg);

/** Send all batches. A batch is dropped when its socket's buffer is full. */
void Link_Flush(struct links *links);

#endif
