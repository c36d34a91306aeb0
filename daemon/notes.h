/** @file
 * Decisions of the core as lines of the log. */
#ifndef DAEMON_NOTES_H
#define DAEMON_NOTES_H

#include "core/act.h"

/** Write one line. */
void Notes_Write(const char *part, const struct act_log_event *note);

#endif
