/** @file
 * Settings of a process, read from a JSON file that is checked completely
 * before the process starts. docs/CONFIGURATION.md lists them. */
#ifndef SHELL_SETTINGS_H
#define SHELL_SETTINGS_H

#include <stdint.h>
#include <stdio.h>

#include "base/err.h"
#include "wire/msg.h"

/** Size of a file name or a passphrase, with its terminator. */
#define SET_TEXT_SIZE 256
/** Size of the list of operators' names and token hashes. */
#define SET_HASHES_SIZE 4096

/** Settings of one process. */
struct settings {
    char role[WIRE_NAME_SIZE]; /**< "entry" or "agent". */
    char node[WIRE_NAME_SIZE];
    char region[WIRE_NAME_SIZE];
    char data_centre[WIRE_NAME_SIZE];
    char rack[WIRE_NAME_SIZE];
    char listen_http[WIRE_ADDR_SIZE];
    char listen_internal[WIRE_ADDR_SIZE];
    char public_internal[WIRE_ADDR_SIZE];
    char table_service[WIRE_ADDR_SIZE];
    char cluster_key[SET_TEXT_SIZE];
    char tls_certificate[SET_TEXT_SIZE];
    char tls_key[SET_TEXT_SIZE];
    char operator_token_hashes[SET_HASHES_SIZE];
    char log_level[WIRE_NAME_SIZE];
    char placement[WIRE_NAME_SIZE];
    char adapter[WIRE_NAME_SIZE];        /**< "none" or "platform". */
    char listen_callers[WIRE_ADDR_SIZE]; /**< Entry with the platform adapter.
                                          */
    char listen_readiness[WIRE_ADDR_SIZE]; /**< Entry with the platform
                                              adapter. */
    char listen_upstream[WIRE_ADDR_SIZE]; /**< Agent with the platform adapter.
                                           */
    int64_t resubmit_ms;
    int64_t upstream_lease_ms;
    int64_t upstream_stop_ms;
    int64_t key_lifetime_s;
    int64_t job_capacity;
    int64_t task_capacity;
    int64_t member_capacity;
    int64_t memory_mb;
    int64_t descriptors;
    int64_t stop_limit_s;
    int64_t forget_member_s;
};

/** Read and check a settings file. Error: CODE_BAD_SETTING with the path of
 * the setting, what was found and what is allowed; `settings` is then
 * unusable. Not thread-safe. */
int Set_Load(struct settings *settings, const char *file, struct err *err);

/** Parse and check the text of a settings file, as Set_Load() does. */
int Set_Parse(struct settings *settings, const char *text, size_t size,
              struct err *err);

/** Size of a list of setting names. */
#define SET_NAMES_SIZE 512

/** Names of the settings that a changed file sets to other values, joined by
 * commas. */
struct set_change {
    char applied[SET_NAMES_SIZE];  /**< Take effect at once. */
    char deferred[SET_NAMES_SIZE]; /**< Take effect at the next start. */
};

/** Copy from `loaded` the settings that may change while the process runs, and
 * store in `change` the names of all that differ. */
void Set_ApplyLive(struct settings *settings, const struct settings *loaded,
                   struct set_change *change);

/** Print all settings, one per line with tabs between the columns: name,
 * allowed values, default, meaning, when a change takes effect. */
void Set_Describe(FILE *out);

#endif
