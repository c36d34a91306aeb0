#include "reload.h"

#include <string.h>
#include <sys/stat.h>

#include "base/log.h"
#include "daemon.h"

/* Interval at which the file is checked for changes. The platform requires
 * that a change without SIGHUP takes effect within 2 s. */
#define CHECK_INTERVAL_US (1 * US_PER_S)

/* Returns a value that differs between versions of the file written at
 * different times, or 0 if the file does not exist. */
static uint64_t
read_fingerprint(const char *file)
{
    struct stat info;
    if (stat(file, &info)) {
        return 0;
    }
    return ((uint64_t)info.st_mtim.tv_sec * US_PER_S +
            (uint64_t)info.st_mtim.tv_nsec / 1000) ^
           (uint64_t)info.st_ino << 48 ^ (uint64_t)info.st_size << 32;
}

void
Reload_Init(struct reload *reload, struct settings *settings, const char *file)
{
    reload->settings = settings;
    reload->file = file;
    reload->next_check_us = 0;
    reload->fingerprint = read_fingerprint(file);
}

static void
reload_settings(struct reload *reload)
{
    static struct settings loaded;
    struct set_change change;
    struct err err = {0};
    enum log_level level;
    if (Set_Load(&loaded, reload->file, &err)) {
        LOG_ERROR("settings",
                  "Invalid settings file; keeping the current settings. "
                  "file=%s fault=\"%s\"",
                  reload->file, err.text);
        return;
    }
    Set_ApplyLive(reload->settings, &loaded, &change);
    if (Log_ParseLevel(reload->settings->log_level, &level) == 0) {
        Log_SetLevel(level);
    }
    LOG_INFO("settings", "Settings reloaded. changed=%s at_next_start=%s",
             change.applied, change.deferred);
}

void
Reload_OnTick(struct reload *reload, struct now now)
{
    int is_requested = Stop_TakeReload();
    if (!is_requested && now.us < reload->next_check_us) {
        return;
    }
    reload->next_check_us = now.us + CHECK_INTERVAL_US;
    uint64_t fingerprint = read_fingerprint(reload->file);
    if (is_requested || (fingerprint && fingerprint != reload->fingerprint)) {
        reload->fingerprint = fingerprint;
        reload_settings(reload);
    }
}
