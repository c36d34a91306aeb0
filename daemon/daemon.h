/** @file
 * The daemon's two roles. A supervisor starts their parts and stops them in
 * the reverse order. */
#ifndef DAEMON_H
#define DAEMON_H

#include "core/clock.h"
#include "reload.h"
#include "shell/settings.h"
#include "wire/msg.h"

/** Time between ticks of a role's state machine. */
#define TICK_US 20000ull
/** A process on the platform looks for its own row this often. */
#define KEEP_ROW_US 2000000ull
/** A stopping entry takes jobs in for this long: the balancer needs that to
 * notice that it is not ready, two calls a second apart. */
#define STOP_SERVE_US 3000000ull
/** Time between reads of the table service. */
#define POLL_US 1000000ull

/** Answers and messages have this long to leave an idle process. */
#define STOP_FLUSH_US 300000ull

/** Run an entry until it is stopped. Returns the exit code. */
int Entry_Main(struct reload *reload);

/** Run an agent until it is stopped. Returns the exit code. */
int Agent_Main(struct reload *reload);

/** Fill what frames of this process say of their sender. */
void Head_Fill(struct frame_header *head, const struct settings *settings,
               enum role role, uint64_t incarnation);

/** Count SIGTERM and SIGINT from now on. */
void Stop_Init(void);

/** True once after each SIGHUP. */
int Stop_TakeReload(void);

/** Course of a graceful stop; begins as zeros. */
struct stop {
    uint64_t end_us;  /**< When it ends at the latest, 0 while not begun. */
    uint64_t idle_us; /**< Since when the process is idle, 0 for not. */
};

/** What a role has to do now. */
enum stop_step {
    STOP_NOTHING,
    STOP_BEGIN, /**< Drain: take no new work. */
    STOP_END,   /**< Leave the loop. */
};

/** Take the next step. A stop begins with the first signal, or when it is
 * `wanted`; it ends when the process has been idle for STOP_FLUSH_US, after
 * `limit_s`, or with the second signal. */
enum stop_step Stop_Step(struct stop *stop, struct now now, int wanted,
                         int is_idle, int64_t limit_s);

#endif
