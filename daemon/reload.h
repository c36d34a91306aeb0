/** @file
 * Reloads the settings file while the process runs. */
#ifndef DAEMON_RELOAD_H
#define DAEMON_RELOAD_H

#include "core/clock.h"
#include "shell/settings.h"

/** The settings, the file that they were read from, and its last known
 * state. */
struct reload {
    struct settings *settings;
    const char *file;
    uint64_t next_check_us; /**< When the file is checked next. */
    uint64_t fingerprint;   /**< Of the file when it was last read. */
};

/** Initialises `reload` with settings that were just read from `file`. Both
 * must outlive it. */
void Reload_Init(struct reload *reload, struct settings *settings,
                 const char *file);

/** Reloads the file after SIGHUP or a change, and logs the result. Settings
 * that need a restart keep their values. An invalid file changes nothing. */
void Reload_OnTick(struct reload *reload, struct now now);

#endif
