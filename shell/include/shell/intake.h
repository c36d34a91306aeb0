/** @file
 * Memory and connections that clients of the HTTP servers of a process may
 * take before their requests are decided. The servers share one budget, so
 * that a crowd on one port is bounded like one on all. Clients are not
 * trusted: when the budget is used up, the request or connection that costs
 * most for what it has shown is evicted. */
#ifndef SHELL_INTAKE_H
#define SHELL_INTAKE_H

#include <stdint.h>

/** Why an item is evicted. */
enum intake_reason {
    INTAKE_MEMORY,     /**< It has the largest unfinished body. */
    INTAKE_CONNECTIONS /**< It has waited longest for its client. */
};

struct intake_item;

/** Called to evict an item: before it returns it must release its bytes with
 * INTAKE_MEMORY, and be removed with INTAKE_CONNECTIONS. */
typedef void intake_evict(struct intake_item *item, enum intake_reason reason);

/** A connection of a client. */
struct intake_item {
    struct intake_item *prev, *next; /**< In intake.waiting. */
    intake_evict *evict;
    uint64_t bytes; /**< Memory reserved for what it has sent. */
    uint64_t held;  /**< Memory of the connection itself. */
    int is_waiting; /**< The client has the next move: to send the rest of a
                         request, or the next one. */
};

/** The budget of a process. */
struct intake {
    uint64_t max_bytes;
    uint64_t max_held;
    uint32_t max_items;
    uint64_t bytes;
    uint64_t held;
    uint32_t items;
    int keeps_equal; /**< A connection that grows does not evict one that is
                          as large as itself, so that some are completed. */
    struct intake_item *waiting; /**< Those that wait longest are first. */
};

/** Set the limits for a machine with `memory_mb` of memory and a process with
 * `descriptors` descriptors. With 0 the limits of the operating system are
 * used. */
void Intake_Init(struct intake *intake, uint64_t memory_mb,
                 uint64_t descriptors);

/** Set the limits of a further budget to a part of those of `whole`. */
void Intake_InitPart(struct intake *intake, const struct intake *whole,
                     uint32_t connection_part, uint32_t memory_part);

/** Add a connection, which waits for its client. The caller has set `evict`.
 * Returns -1 if there are too many and none waits for its client. */
int Intake_Add(struct intake *intake, struct intake_item *item);

/** Set the memory that a connection holds beside what is usual for each, as
 * for TLS. Returns -1 if there is not so much, also after the eviction of all
 * others that wait for their clients. */
int Intake_SetHeld(struct intake *intake, struct intake_item *item,
                   uint64_t bytes);

/** Remove a connection, and release its memory. */
void Intake_Remove(struct intake *intake, struct intake_item *item);

/** Record that it is the client's turn, or that it no longer is. */
void Intake_SetWaiting(struct intake *intake, struct intake_item *item,
                       int is_waiting);

/** Reserve `bytes` more for a connection. Returns -1 if there is not so much,
 * also after the eviction of all larger ones: then it is itself the one to be
 * evicted. */
int Intake_Reserve(struct intake *intake, struct intake_item *item,
                   uint64_t bytes);

/** Release the memory of a connection. */
void Intake_Release(struct intake *intake, struct intake_item *item);

#endif
