#include "reload.h"

#include <string.h>
#include <sys/stat.h>

#include "base/log.h"
#include "daemon.h"

/* The file is looked at this often: a change without SIGHUP takes effect
 * within the 2 s that the platform gives a change of the configuration. */
#define CHECK_INTERVAL_US (1 * US_PER_S)

/* Differs for every content of the file that was written at another time. */
static uint64_t
read_stamp(const char *file)
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
    reload->fingerprint = read_stamp(file);
}

static void
read_again(struct reload *reload)
{
    static struct settings fresh;
    struct set_change change;
    struct err err = {0};
    enum log_level level;
    if (Set_Load(&fresh, reload->file, &err)) {
        LOG_ERROR("settings",
                  "Not valid; those of before stay. file=%s fault=\"%s\"",
                  reload->file, err.text);
        return;
    }
    Set_TakeLive(reload->settings, &fresh, &change);
    if (Log_ParseLevel(reload->settings->log_level, &level) == 0) {
        Log_SetLevel(level);
    }
    LOG_INFO("settings", "Read again. changed=%s at_next_start=%s",
             change.taken, change.waiting);
}

void
Reload_OnTick(struct reload *reload, struct now now)
{
    int is_asked = Stop_TakeReload();
    if (!is_asked && now.us < reload->next_check_us) {
        return;
    }
    reload->next_check_us = now.us + CHECK_INTERVAL_US;
    uint64_t stamp = read_stamp(reload->file);
    if (is_asked || (stamp && stamp != reload->fingerprint)) {
        reload->fingerprint = stamp;
        read_again(reload);
    }
}
