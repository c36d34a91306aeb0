/** @file
 * The settings file, read again while the process runs. */
#ifndef DAEMON_RELOAD_H
#define DAEMON_RELOAD_H

#include "core/clock.h"
#include "shell/settings.h"

/** The settings and the file that they came from. */
struct reload {
    struct settings *settings;
    const char *file;
    uint64_t next_check_us; /**< When the file is looked at next. */
    uint64_t fingerprint;   /**< State of the file when it was last read. */
};

/** Begin with settings that were just read from `file`. */
void Reload_Init(struct reload *reload, struct settings *settings,
                 const char *file);

/** Read the file again after SIGHUP, or when it has changed. One that is not
 * valid changes nothing. */
void Reload_OnTick(struct reload *reload, struct now now);

#endif
