/** @file
 * Routes: map a caller's request, by host and path, to a service and to the
 * limits of its job. */
#ifndef CORE_ROUTE_H
#define CORE_ROUTE_H

#include <stddef.h>
#include <stdint.h>

#include "wire/msg.h"

/** Maximum number of routes in a table. */
#define ROUTE_MAX 8192

/** A route. `host` and `prefix` select requests; the rest applies to them. */
struct route {
    char name[WIRE_NAME_SIZE];
    const char *host;   /**< Without port. */
    const char *prefix; /**< Of the path. */
    char service[WIRE_NAME_SIZE];
    uint32_t timeout_ms;      /**< Deadline of a request that states none. */
    uint32_t target_ms;       /**< Fixed part of the target response time. */
    uint32_t stretch_percent; /**< The other part, as a percentage of the
                                   critical path of the job; 0 for no
                                   target. */
    uint32_t max_attempts;    /**< A job fails when one of its tasks has failed
                                   this often. */
    uint32_t priority;        /**< enum priority: 0 is the most urgent. */
    uint8_t needs_advice;     /**< Non-zero when another service decides which
                                   workers may run its jobs. */
};

/** One version of the routes. */
struct route_table {
    uint64_t version; /**< 0 before the first version is applied. */
    uint32_t count;
    struct route *items; /**< Owned. */
    char *texts;         /**< What their hosts and prefixes point to. Owned. */
    uint32_t max_body;   /**< Maximum size of a request body, in bytes. */
};

/** Initialise an empty table. */
void Route_Init(struct route_table *table);

/** Free the routes of a table, not the table itself. */
void Route_Finish(struct route_table *table);

/** Find the route of a request: among the routes of `host`, the one with the
 * longest matching prefix of `path`. A port in `host` is ignored. Returns NULL
 * if there is none; the result is valid until the table changes. */
const struct route *Route_Find(const struct route_table *table,
                               const char *host, const char *path);

#endif
