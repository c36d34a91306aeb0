/* jacinthpickd: runs an entry or an agent, depending on the settings. */
#include <getopt.h>
#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "daemon.h"
#include "shell/tls.h"

#define EXIT_USAGE 2
#define EXIT_SETTINGS 3
/* Environment variable with the path of the settings file, used if the command
 * line has none. */
#define FILE_VARIABLE "JACINTHPICK_CONFIG"

/* Blocks from this size on are returned to the system when they are freed, and
 * so is the end of the heap beyond the second. By default the C library raises
 * both to the sizes that it sees, and keeps what a crowd has left. */
#define MMAP_THRESHOLD (64 << 10)
#define TRIM_THRESHOLD (128 << 10)

static const char usage[] =
    "Usage: jacinthpickd [OPTION]... [FILE]\n"
    "Run an entry or an agent with the settings in FILE, or in the file that\n"
    "JACINTHPICK_CONFIG names.\n"
    "\n"
    "  -c, --check      check the settings and exit\n"
    "  -s, --settings   list all settings: name, allowed values, default,\n"
    "                   meaning, when a change takes effect\n"
    "  -h, --help       print this and exit\n"
    "  -V, --version    print the version and exit\n"
    "\n"
    "SIGTERM stops the process gracefully: it accepts no new work and lets\n"
    "work in progress finish. It ends at once on a second SIGTERM, and at\n"
    "the latest stop_limit_s seconds (a setting) after the first. SIGINT\n"
    "acts as SIGTERM. SIGHUP reloads the settings file, as does a change\n"
    "of the file.\n"
    "\n"
    "Exit codes: 0 stopped, 1 failure, 2 usage error, 3 invalid settings.\n";

static const struct option options[] = {
    {"check", no_argument, NULL, 'c'},
    {"settings", no_argument, NULL, 's'},
    {"help", no_argument, NULL, 'h'},
    {"version", no_argument, NULL, 'V'},
    {NULL, 0, NULL, 0},
};

static int
run(struct settings *settings, const char *file)
{
    struct reload reload;
    enum log_level level;
    mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD);
    mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD);
    if (Tls_CountMemory()) {
        LOG_WARN("http", "Memory of TLS connections is not counted.");
    }
    if (Log_ParseLevel(settings->log_level, &level) == 0) {
        Log_SetLevel(level);
    }
    Stop_Init();
    Reload_Init(&reload, settings, file);
    if (strcmp(settings->role, "entry") == 0) {
        return Entry_Main(&reload);
    }
    return Agent_Main(&reload);
}

int
main(int argc, char **argv)
{
    struct settings settings;
    struct err err = {0};
    int check = 0;
    int option;
    while ((option = getopt_long(argc, argv, "cshV", options, NULL)) != -1) {
        switch (option) {
        case 'c':
            check = 1;
            break;
        case 's':
            Set_Describe(stdout);
            return 0;
        case 'h':
            fputs(usage, stdout);
            return 0;
        case 'V':
            puts("jacinthpickd " JP_VERSION);
            return 0;
        default:
            fputs(usage, stderr);
            return EXIT_USAGE;
        }
    }
    const char *file = optind < argc ? argv[optind] : getenv(FILE_VARIABLE);
    if (optind + 1 < argc || !file) {
        fputs(usage, stderr);
        return EXIT_USAGE;
    }
    if (Set_Load(&settings, file, &err)) {
        fprintf(stderr, "jacinthpickd: %s: %s\n", file, err.text);
        return EXIT_SETTINGS;
    }
    if (check) {
        printf("%s: settings are valid\n", file);
        return 0;
    }
    if (sodium_init() < 0) {
        fputs("jacinthpickd: cannot initialise libsodium\n", stderr);
        return 1;
    }
    return run(&settings, file);
}
