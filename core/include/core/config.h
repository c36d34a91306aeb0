/** @file
 * The fleet's configuration: defaults and a short list of exceptions, each
 * with its reason; teams with their quotas. A change is a list of operations
 * that is applied whole or not at all. */
#ifndef CORE_CONFIG_H
#define CORE_CONFIG_H

#include <stdint.h>

#include "base/err.h"
#include "core/policy.h"
#include "wire/msg.h"

/** Most exceptions at once. */
#define CFG_MAX_EXCEPTIONS 512
/** Most teams at once. */
#define CFG_MAX_TEAMS 256
/** Most operations in one change. */
#define CFG_MAX_OPS 32
/** Most data centres that a change is checked against. */
#define CFG_MAX_DATA_CENTRES 256
/** Room for a reason, with its terminator. */
#define CFG_REASON_SIZE 160
/** Room for the id of a change, with its terminator. */
#define CFG_ID_SIZE 40
/** Room for a token's hash in hexadecimal, with its terminator. */
#define CFG_HASH_SIZE 65
/** Most task slots that a team's quota may name. */
#define CFG_MAX_QUOTA 1000000

/** What an exception is for, from the widest to the narrowest. */
enum cfg_scope {
    CFG_FLEET,
    CFG_REGION,
    CFG_DATA_CENTRE,
    CFG_RACK,
    CFG_SERVICE,
    CFG_TEAM,
    CFG_WORKER,   /**< The machine, by node name. */
    CFG_UPSTREAM, /**< The upstream beside the agent of that node name. */
    CFG_SCOPE_COUNT
};

/** One exception. */
struct cfg_exception {
    uint64_t id;
    enum cfg_scope scope;
    char name[WIRE_NAME_SIZE];
    enum policy_id setting;
    int64_t value;
    char reason[CFG_REASON_SIZE];
    char author[WIRE_NAME_SIZE];
    int64_t time_s;    /**< When it was made, seconds since 1970. */
    int64_t expires_s; /**< 0 for never. */
};

/** One team. */
struct cfg_team {
    char name[WIRE_NAME_SIZE];
    int64_t quota;                  /**< Task slots at once, 0 for no limit. */
    char token_hash[CFG_HASH_SIZE]; /**< "" for no token. */
};

/** Who changed what, when. */
struct cfg_change {
    char id[CFG_ID_SIZE];
    char author[WIRE_NAME_SIZE];
    int64_t time_s;
};

/** The whole configuration. */
struct config {
    uint64_t version; /**< Raised by one with each change; 0 before any. */
    struct cfg_change last;
    uint8_t has_default[POL_COUNT];
    int64_t defaults[POL_COUNT];
    uint32_t exception_count;
    struct cfg_exception exceptions[CFG_MAX_EXCEPTIONS];
    uint32_t team_count;
    struct cfg_team teams[CFG_MAX_TEAMS];
};

/** Kinds of operations. */
enum cfg_op_type {
    CFG_SET_DEFAULT,
    CFG_RESET_DEFAULT,
    CFG_ADD_EXCEPTION,
    CFG_REMOVE_EXCEPTION,
    CFG_TAKE_OUT_OF_SERVICE, /**< Take a scope out of service. */
    CFG_RETURN_TO_SERVICE,   /**< Bring it back. */
    CFG_SET_TEAM,
    CFG_REMOVE_TEAM,
    CFG_OP_COUNT
};

/** One operation; the type says which members count. */
struct cfg_op {
    enum cfg_op_type type;
    enum cfg_scope scope;
    char name[WIRE_NAME_SIZE];
    char setting[WIRE_NAME_SIZE];
    int64_t value; /**< Also a team's quota. */
    uint64_t id;
    char reason[CFG_REASON_SIZE];
    int64_t expires_s;
    char token_hash[CFG_HASH_SIZE];
};

/** A data centre that has members. */
struct cfg_data_centre {
    char region[WIRE_NAME_SIZE];
    char dc[WIRE_NAME_SIZE];
};

/** What a change is checked against. */
struct cfg_data_centres {
    uint32_t count;
    struct cfg_data_centre items[CFG_MAX_DATA_CENTRES];
    int force; /**< The last data centre may be taken out. */
};

/** What values are asked for; "" where it does not matter. */
struct cfg_subject {
    char region[WIRE_NAME_SIZE];
    char dc[WIRE_NAME_SIZE];
    char rack[WIRE_NAME_SIZE];
    char service[WIRE_NAME_SIZE];
    char team[WIRE_NAME_SIZE];
    char node[WIRE_NAME_SIZE];
};

/** Why a value is in force. */
struct cfg_explanation {
    int64_t value;
    int default_is_set;                    /**< Set by operators. */
    const struct cfg_exception *exception; /**< NULL for a default. */
};

/** Name of a scope, "data_centre" and so on. */
const char *Cfg_ScopeName(enum cfg_scope scope);

/** Find a scope; CFG_SCOPE_COUNT when there is none. */
enum cfg_scope Cfg_FindScope(const char *name);

/** The configuration before any change. */
void Cfg_Init(struct config *config);

/** Apply a change whole and raise the version. `places` is NULL for a change
 * that was checked where it was made. On an error nothing is changed.
 * Errors: CODE_BAD_FIELD, CODE_LAST_DATA_CENTRE, CODE_NO_MEMORY. */
int Cfg_Apply(struct config *config, const struct cfg_change *change,
              const struct cfg_op *ops, uint32_t count,
              const struct cfg_data_centres *places, struct err *err);

/** Check a configuration that was read from somewhere. CODE_BAD_FIELD. */
int Cfg_Check(const struct config *config, struct err *err);

/** True when an exception has run out. */
int Cfg_IsExpired(const struct cfg_exception *exception, uint32_t wall);

/** The value of one setting in force for a subject, and why. The narrowest
 * scope wins; for `in_service` every scope must be in service. */
struct cfg_explanation Cfg_Explain(const struct config *config,
                                   const struct cfg_subject *subject,
                                   enum policy_id setting, uint32_t wall);

/** All values in force for a subject. */
void Cfg_Resolve(const struct config *config,
                 const struct cfg_subject *subject, uint32_t wall,
                 struct policy *policy);

/** Next time that an exception runs out, 0 for none. */
int64_t Cfg_NextExpiry(const struct config *config, uint32_t wall);

/** Find a team, NULL when there is none. */
const struct cfg_team *Cfg_FindTeam(const struct config *config,
                                    const char *name);

#endif
