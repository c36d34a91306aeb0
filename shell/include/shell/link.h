/** @file
 * Links to other processes: one nng PULL socket to hear them all, a PUSH
 * socket to each. Messages are batched until Link_Flush(). */
#ifndef SHELL_LINK_H
#define SHELL_LINK_H

#include <nng/nng.h>
#include <uthash.h>

#include "base/counter.h"
#include "base/tab.h"
#include "shell/loop.h"
#include "wire/frame.h"

/** Most processes linked at once. */
#define LINK_MAX_PEERS 2048

/** Called for each message that comes in. */
typedef void link_handler(void *context, const struct frame_header *head,
                          const struct msg *msg);

/** Called for a frame that was meant for an earlier process here. */
typedef void link_unknown(void *context, const struct frame_header *head);

/** A linked process. */
struct link_peer {
    struct tab_row row;
    uint64_t incarnation;
    char addr[WIRE_ADDR_SIZE];
    nng_socket socket;
    struct frame_out frame;
    int dirty;
    struct link_peer *prev, *next; /**< In the list of the dirty. */
    UT_hash_handle hh;
};

/** All links of a process. */
struct links {
    struct loop *loop;
    nng_socket socket;
    struct lws_vhost *vhost;
    struct frame_header header; /**< Of frames sent. */
    struct key_secret secret;
    struct tab peers;
    struct link_peer *index;
    struct link_peer *dirty; /**< List of those with a batch to send. */
    link_handler *handler;
    link_unknown *unknown_peer; /**< NULL for none. */
    void *context;
    struct counters *counters;
};

/** Listen on `listen`, "ip:port"; peers reach it as head->addr. */
int Link_Init(struct links *links, struct loop *loop, const char *listen,
              const struct frame_header *head, const struct key_secret *secret,
              link_handler *visit, void *context, struct counters *counters,
              struct err *err);

/** Close all links, at the end of the process: the receiving socket goes with
 * it. */
void Link_Finish(struct links *links);

/** Open the link to a process, or replace it by a new connection. */
void Link_Open(struct links *links, uint64_t incarnation, const char *addr);

/** Close the link to a process. */
void Link_Close(struct links *links, uint64_t incarnation);

/** Add a message to the batch for a process. */
void Link_Send(struct links *links, uint64_t incarnation,
               const struct msg *msg);

/** Send all batches. */
void Link_Flush(struct links *links);

#endif
