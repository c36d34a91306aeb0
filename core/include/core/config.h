/** @file
 * Configuration of the fleet: defaults of settings, exceptions for scopes such
 * as a data centre or a team, each with a reason, and teams with their quotas.
 * A change is a list of operations that is applied atomically. */
#ifndef CORE_CONFIG_H
#define CORE_CONFIG_H

#include <stdint.h>

#include "base/err.h"
#include "core/policy.h"
#include "wire/msg.h"

/** Maximum number of exceptions in a configuration. */
#define CFG_MAX_EXCEPTIONS 512
/** Maximum number of teams in a configuration. */
#define CFG_MAX_TEAMS 256
/** Maximum number of operations in one change. */
#define CFG_MAX_OPS 32
/** Maximum number of data centres that a change is validated against. */
#define CFG_MAX_DATA_CENTRES 256
/** Size of a reason, including its terminator. */
#define CFG_REASON_SIZE 160
/** Size of the id of a change, including its terminator. */
#define CFG_ID_SIZE 40
/** Size of a token's hash in hexadecimal, including its terminator. */
#define CFG_HASH_SIZE 65
/** Largest quota of a team, in task slots. */
#define CFG_MAX_QUOTA 1000000

/** Scope of an exception, from the widest to the narrowest. */
enum cfg_scope {
    CFG_FLEET,
    CFG_REGION,
    CFG_DATA_CENTRE,
    CFG_RACK,
    CFG_SERVICE,
    CFG_TEAM,
    CFG_WORKER,   /**< The VM with this node name. */
    CFG_UPSTREAM, /**< The upstream of the agent with this node name. */
    CFG_SCOPE_COUNT
};

/** An exception: a value of a setting for one scope. */
struct cfg_exception {
    uint64_t id; /**< Unique in the configuration. */
    enum cfg_scope scope;
    char name[WIRE_NAME_SIZE]; /**< Of the data centre, team and so on. */
    enum policy_id setting;
    int64_t value;
    char reason[CFG_REASON_SIZE];
    char author[WIRE_NAME_SIZE];
    int64_t time_s;    /**< Time of creation, seconds since 1970. */
    int64_t expires_s; /**< Seconds since 1970, 0 for never. */
};

/** A team of callers. */
struct cfg_team {
    char name[WIRE_NAME_SIZE];
    int64_t quota;                  /**< Task slots in use, 0 for no limit. */
    char token_hash[CFG_HASH_SIZE]; /**< "" for no token. */
};

/** Identification of a change. */
struct cfg_change {
    char id[CFG_ID_SIZE];
    char author[WIRE_NAME_SIZE];
    int64_t time_s; /**< Seconds since 1970. */
};

/** A complete configuration. */
struct config {
    uint64_t version;       /**< Incremented by each change; 0 initially. */
    struct cfg_change last; /**< Change that made this version. */
    uint8_t has_default[POL_COUNT]; /**< Whether `defaults` holds a value that
                                         replaces the built-in default. */
    int64_t defaults[POL_COUNT];
    uint32_t exception_count;
    struct cfg_exception exceptions[CFG_MAX_EXCEPTIONS];
    uint32_t team_count;
    struct cfg_team teams[CFG_MAX_TEAMS];
};

/** Types of operations. */
enum cfg_op_type {
    CFG_SET_DEFAULT,
    CFG_RESET_DEFAULT,
    CFG_ADD_EXCEPTION,
    CFG_REMOVE_EXCEPTION,
    CFG_TAKE_OUT_OF_SERVICE, /**< Add an exception with in_service 0. */
    CFG_RETURN_TO_SERVICE,   /**< Remove the scope's exceptions of
                                  in_service. */
    CFG_SET_TEAM,
    CFG_REMOVE_TEAM,
    CFG_OP_COUNT
};

/** An operation of a change; `type` determines which members are used. */
struct cfg_op {
    enum cfg_op_type type;
    enum cfg_scope scope;
    char name[WIRE_NAME_SIZE];
    char setting[WIRE_NAME_SIZE];
    int64_t value; /**< Value of the setting, or a team's quota. */
    uint64_t id;   /**< Of the exception to be removed. */
    char reason[CFG_REASON_SIZE];
    int64_t expires_s; /**< Seconds since 1970, 0 for never. */
    char token_hash[CFG_HASH_SIZE];
};

/** A data centre that has members. */
struct cfg_data_centre {
    char region[WIRE_NAME_SIZE];
    char dc[WIRE_NAME_SIZE];
};

/** Data centres that a change is validated against. */
struct cfg_data_centres {
    uint32_t count;
    struct cfg_data_centre items[CFG_MAX_DATA_CENTRES];
    int force; /**< Allow taking the last data centre out of service. */
};

/** The subject that settings are resolved for. A name that is "" matches no
 * exception. */
struct cfg_subject {
    char region[WIRE_NAME_SIZE];
    char dc[WIRE_NAME_SIZE];
    char rack[WIRE_NAME_SIZE];
    char service[WIRE_NAME_SIZE];
    char team[WIRE_NAME_SIZE];
    char node[WIRE_NAME_SIZE];
};

/** The effective value of a setting and its origin. */
struct cfg_explanation {
    int64_t value;
    int default_is_set; /**< An operator has set a default. */
    const struct cfg_exception *exception; /**< NULL for a default. */
};

/** Return the name of a scope, such as "data_centre". The string is static. */
const char *Cfg_ScopeName(enum cfg_scope scope);

/** Return the scope with a name, CFG_SCOPE_COUNT if there is none. */
enum cfg_scope Cfg_FindScope(const char *name);

/** Initialise the empty configuration, version 0. */
void Cfg_Init(struct config *config);

/** Apply all operations of a change and increment the version. `data_centres`
 * is NULL for a change that the entry on which it was made has already
 * validated. Returns 0, or -1 with CODE_BAD_FIELD, CODE_LAST_DATA_CENTRE or
 * CODE_NO_MEMORY, in which case `config` is unchanged. */
int Cfg_Apply(struct config *config, const struct cfg_change *change,
              const struct cfg_op *ops, uint32_t count,
              const struct cfg_data_centres *data_centres, struct err *err);

/** Validate a configuration that was decoded from stored or received data.
 * Returns 0, or -1 with CODE_BAD_FIELD. */
int Cfg_Check(const struct config *config, struct err *err);

/** Return nonzero if an exception has expired at time `wall`, in seconds since
 * 1970. */
int Cfg_IsExpired(const struct cfg_exception *exception, uint32_t wall);

/** Return the effective value of a setting for a subject, and its origin. An
 * exception for a narrower scope overrides one for a wider scope, except that
 * for `in_service` the value 0 of any scope overrides. */
struct cfg_explanation Cfg_Explain(const struct config *config,
                                   const struct cfg_subject *subject,
                                   enum policy_id setting, uint32_t wall);

/** Determine the effective values of all settings for a subject. */
void Cfg_Resolve(const struct config *config,
                 const struct cfg_subject *subject, uint32_t wall,
                 struct policy *policy);

/** Return the next time after `wall` at which an exception expires, in seconds
 * since 1970; 0 for none. */
int64_t Cfg_NextExpiry(const struct config *config, uint32_t wall);

/** Return the team with a name, NULL if there is none. */
const struct cfg_team *Cfg_FindTeam(const struct config *config,
                                    const char *name);

#endif
