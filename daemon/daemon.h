/** @file
 * The daemon's two roles. A supervisor starts their parts and stops them in
 * the reverse order. */
#ifndef DAEMON_H
#define DAEMON_H

#include "shell/settings.h"

/** Time between ticks of a role's state machine. */
#define TICK_US 20000ull
/** Time between reads of the table service. */
#define POLL_US 1000000ull

/** Answers and messages have this long to leave an idle process. */
#define STOP_FLUSH_US 300000ull

/** Run an entry until it is stopped. Returns the exit code. */
int Entry_Main(const struct settings *settings);

/** Run an agent until it is stopped. Returns the exit code. */
int Agent_Main(const struct settings *settings);

/** Let SIGTERM and SIGINT end the loop gracefully: `drain` is called once,
 * from the loop; a second signal ends the process at once. */
void Stop_Init(void);

/** Number of stop signals so far. */
int Stop_Count(void);

#endif
