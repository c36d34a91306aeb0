/** @file
 * Plain-text pages of an entry for operators: /metrics and /v1/status. */
#ifndef DAEMON_PAGES_H
#define DAEMON_PAGES_H

#include "core/entry.h"
#include "shell/httpd.h"

/** Answers with the counters and, for each kind of task, the response
 * times. */
void Pages_Metrics(struct httpd *httpd, conn_id conn,
                   const struct counters *counters, const struct entry *core);

/** Answers with the state of the entry and of its services. */
void Pages_Status(struct httpd *httpd, conn_id conn, const struct entry *core);

#endif
