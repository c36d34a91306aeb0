/** @file
 * One call to an entry, and what operators may do with it. */
#ifndef CLI_CLIENT_H
#define CLI_CLIENT_H

#include "shell/httpc.h"

#define EXIT_FAILED 1
#define EXIT_USAGE 2
#define EXIT_REFUSED 3
#define EXIT_UNREACHABLE 4

/** Options of operators' commands. */
struct admin_options {
    const char *reason;
    const char *expires_in;
    const char *id;
    const char *if_version;
    const char *timeout;
    const char *token_hash;
    int dry_run;
    int force;
    int json;
};

/** A command under way. */
struct client {
    struct loop loop;
    struct httpc http;
    const char *entry;
    const char *token;
    int tls;
    int exit_code;
    int print_as_keys;
    int print_as_table; /**< Print the answer as a table. */
    struct admin_options admin;
};

/** Make one call and print its answer. Returns the exit code. */
int Client_Call(struct client *client, struct hc_call *http);

/** Run an operator's command. Returns the exit code, -1 when `args` name
 * none. */
int Admin_Run(struct client *client, int count, char **args);

/** Print JSON for people: lists of objects as tables. */
void Table_Print(const char *text, size_t size);

#endif
