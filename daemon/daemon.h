/** @file
 * Entry points of the daemon's two roles, and what they share: timers, frame
 * headers and graceful stop. */
#ifndef DAEMON_H
#define DAEMON_H

#include "core/clock.h"
#include "reload.h"
#include "shell/settings.h"
#include "wire/msg.h"

/** Interval between ticks of a role's state machine, in microseconds. */
#define TICK_US 20000ull
/** Interval at which a process on the users' platform verifies that its own
 * row is still in the table service. */
#define PLATFORM_VERIFY_US 2000000ull
/** Time for which a stopping entry still accepts jobs. The load balancer needs
 * it to notice that the entry is not ready: two readiness checks, one second
 * apart. */
#define STOP_ACCEPT_US 3000000ull
/** Interval between reads of the table service. The poll timers of the roles
 * run four times as often. */
#define POLL_US 1000000ull

/** Time for which a stopping process must be idle before it ends, so that
 * pending answers and messages are sent. */
#define STOP_FLUSH_US 300000ull

/** Runs an entry until it is stopped. Returns the exit code of the process. */
int Entry_Main(struct reload *reload);

/** Runs an agent until it is stopped. Returns the exit code of the process. */
int Agent_Main(struct reload *reload);

/** Sets the sender's fields in the header of this process's frames. */
void Header_Fill(struct frame_header *header, const struct settings *settings,
                 enum role role, uint64_t incarnation);

/** Installs the handlers for SIGTERM, SIGINT and SIGHUP; ignores SIGPIPE. */
void Stop_Init(void);

/** Returns 1 if SIGHUP was received since the last call, else 0. */
int Stop_TakeReload(void);

/** State of a graceful stop. Initialise it to zeros. */
struct stop {
    uint64_t deadline_us;   /**< When the process ends even if it is not idle;
                                 0 while no stop has begun. */
    uint64_t idle_since_us; /**< Start of the current idle time, 0 if busy. */
};

/** What a role has to do next. */
enum stop_step {
    STOP_NOTHING,
    STOP_BEGIN, /**< Drain: accept no new work. */
    STOP_END,   /**< Stop the event loop. */
};

/** Advances a graceful stop; call it on each tick. The stop begins on the
 * first SIGTERM or SIGINT, or if `requested` is set. It ends when the process
 * has been idle for STOP_FLUSH_US, after `limit_s` seconds, or on the second
 * signal. */
enum stop_step Stop_Step(struct stop *stop, struct now now, int requested,
                         int is_idle, int64_t limit_s);

#endif
