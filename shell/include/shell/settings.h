/** @file
 * Settings of a process: a JSON file, checked whole before anything starts.
 * docs/CONFIGURATION.md lists them. */
#ifndef SHELL_SETTINGS_H
#define SHELL_SETTINGS_H

#include <stdint.h>
#include <stdio.h>

#include "base/err.h"
#include "wire/msg.h"

/** Room for a file name or a passphrase. */
#define SET_TEXT_SIZE 256
/** Room for the operators' names and token hashes. */
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
    char adapter[WIRE_NAME_SIZE];          /**< "none" or "platform". */
    char listen_callers[WIRE_ADDR_SIZE];   /**< Entry on the platform. */
    char listen_readiness[WIRE_ADDR_SIZE]; /**< The same. */
    char listen_upstream[WIRE_ADDR_SIZE];  /**< Agent on the platform. */
    int64_t resubmit_ms;
    int64_t upstream_lease_ms;
    int64_t upstream_stop_ms;
    int64_t key_lifetime_s;
    int64_t job_capacity;
    int64_t task_capacity;
    int64_t member_capacity;
    int64_t stop_limit_s;
    int64_t forget_member_s;
};

/** Read and check a settings file. The error names the path of the setting,
 * what was found and what is allowed. CODE_BAD_SETTING. */
int Set_Load(struct settings *settings, const char *file, struct err *err);

/** The same for a text in memory. */
int Set_Parse(struct settings *settings, const char *text, size_t size,
              struct err *err);

/** Room for a list of names of settings. */
#define SET_NAMES_SIZE 512

/** What a changed settings file asks for, names joined by commas. */
struct set_change {
    char applied[SET_NAMES_SIZE];  /**< In force from now on. */
    char deferred[SET_NAMES_SIZE]; /**< In force at the next start. */
};

/** Take over those settings from `fresh` that may change while the process
 * runs, and tell what differs. */
void Set_ApplyLive(struct settings *settings, const struct settings *fresh,
                   struct set_change *change);

/** Print all settings, one a line: name, allowed, default, meaning, when a
 * change takes effect. */
void Set_Describe(FILE *out);

#endif
