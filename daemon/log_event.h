/** @file
 * Logs the decisions on jobs that the core reports. */
#ifndef DAEMON_LOG_EVENT_H
#define DAEMON_LOG_EVENT_H

#include "core/act.h"

/** Writes one log line at level info. `part` is the log part, such as
 * "jobs". */
void LogEvent_Write(const char *part, const struct act_log_event *event);

#endif
