/** @file
 * HTTP client of the command line tool; each command makes one call. */
#ifndef CLI_CLIENT_H
#define CLI_CLIENT_H

#include "shell/httpc.h"

/* Exit codes of the process; 0 is success. */
#define EXIT_FAILED 1      /* The work failed, or its outcome is unknown. */
#define EXIT_USAGE 2       /* Invalid command, option, address or file. */
#define EXIT_REFUSED 3     /* Refused; none of the work was started. */
#define EXIT_UNREACHABLE 4 /* The entry sent no answer. */

/** Options of the operators' commands: unparsed arguments, NULL if not given.
 * The strings are borrowed from argv. */
struct admin_options {
    const char *reason;
    const char *expires_in; /**< In seconds. */
    const char *id;         /**< Of the change; generated if NULL. */
    const char *if_version; /**< Configuration version that must be in
                                 force. */
    const char *timeout;    /**< Time to wait for acceptance, in seconds. */
    const char *token_hash; /**< In hexadecimal. */
    int dry_run;
    int force;
    int json; /**< Print answers as JSON rather than as tables. */
};

/** A command in progress. */
struct client {
    struct loop loop;
    struct httpc http;
    const char *entry; /**< Address of the entry, "ip:port". */
    const char *token; /**< Bearer token, NULL for none. */
    int tls;
    int exit_code;
    int print_as_keys;  /**< Print the keys of the answer, one per line. */
    int print_as_table; /**< Print the answer as tables. */
    struct admin_options admin;
};

/** Makes one call, waits for the answer and prints it. Sets the address,
 * token, TLS flag and callback of `call`. Returns the exit code of the
 * process. */
int Client_Call(struct client *client, struct hc_call *call);

/** Runs an operator's command, named by `args[0]`. Returns the exit code of
 * the process, or -1 if `args` is not a valid operator's command. */
int Admin_Run(struct client *client, int count, char **args);

/** Prints a JSON object to standard output, one field per line and arrays of
 * objects as tables. Any other text is printed unchanged. */
void Table_Print(const char *text, size_t size);

#endif
