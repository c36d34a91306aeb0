/** @file
 * Pages of an entry that operators read as plain text. */
#ifndef PAGES_H
#define PAGES_H

#include "core/entry.h"
#include "shell/httpd.h"

/** Answer with the counters and the response times by kind. */
void Pages_Metrics(struct httpd *httpd, conn_id conn,
                   const struct counters *counters, const struct entry *core);

/** Answer with how the entry and its services stand. */
void Pages_Status(struct httpd *httpd, conn_id conn, const struct entry *core);

#endif
