/** @file
 * Routes: which service a caller's request goes to, and on what terms. */
#ifndef CORE_ROUTE_H
#define CORE_ROUTE_H

#include <stddef.h>
#include <stdint.h>

#include "wire/msg.h"

/** Room for a host name or a path prefix, with its terminator. */
#define ROUTE_TEXT_SIZE 96
/** Most routes at once. */
#define ROUTE_MAX 8192

/** One route. */
struct route {
    char name[WIRE_NAME_SIZE];
    char host[ROUTE_TEXT_SIZE];
    char prefix[ROUTE_TEXT_SIZE];
    char service[WIRE_NAME_SIZE];
    uint32_t timeout_ms;      /**< Longest that a caller may wait. */
    uint32_t target_ms;       /**< Response time beyond the stretched work. */
    uint32_t stretch_percent; /**< Wanted response over the longest task. */
    uint32_t max_attempts;    /**< Failed runs of a task that end its job. */
    uint32_t priority;        /**< 0 is the most urgent. */
    uint8_t needs_advice;     /**< Another service says which workers may run
                                   its jobs. */
};

/** All routes of one version. */
struct route_table {
    uint64_t version; /**< 0 before the first. */
    uint32_t count;
    struct route *items; /**< Owned. */
    uint32_t max_body;   /**< Largest body of a request, in bytes. */
};

/** Make an empty table. */
void Route_Init(struct route_table *table);

/** Free its rows. */
void Route_Finish(struct route_table *table);

/** The route of a request: of those with its host, the one with the longest
 * prefix of its path; NULL when there is none. A port in `host` does not
 * count. */
const struct route *Route_Find(const struct route_table *table,
                               const char *host, const char *path);

#endif
