/* Which value is in force for whom, and why. */
#include <string.h>

#include "core/config.h"

static const char *const scope_names[] = {
    "fleet",   "region", "data_centre", "rack",
    "service", "team",   "worker",      "upstream",
};

const char *
Cfg_ScopeName(enum cfg_scope scope)
{
    return scope_names[scope];
}

enum cfg_scope
Cfg_FindScope(const char *name)
{
    int scope = 0;
    while (scope < CFG_SCOPE_COUNT && strcmp(scope_names[scope], name) != 0) {
        scope++;
    }
    return (enum cfg_scope)scope;
}

void
Cfg_Init(struct config *config)
{
    memset(config, 0, sizeof(*config));
}

int
Cfg_IsExpired(const struct cfg_exception *exception, uint32_t wall)
{
    return exception->expires_s != 0 && exception->expires_s <= (int64_t)wall;
}

static const char *
name_in(const struct cfg_subject *subject, enum cfg_scope scope)
{
    switch (scope) {
    case CFG_REGION:
        return subject->region;
    case CFG_DATA_CENTRE:
        return subject->dc;
    case CFG_RACK:
        return subject->rack;
    case CFG_SERVICE:
        return subject->service;
    case CFG_TEAM:
        return subject->team;
    case CFG_WORKER:
    case CFG_UPSTREAM:
        return subject->node;
    case CFG_FLEET:
    case CFG_SCOPE_COUNT:
        break;
    }
    return "";
}

static int
is_for(const struct cfg_exception *exception,
       const struct cfg_subject *subject, uint32_t wall)
{
    return !Cfg_IsExpired(exception, wall) &&
           strcmp(exception->name, name_in(subject, exception->scope)) == 0;
}

/* Out of service anywhere is out of service; else the narrowest wins, and
 * of two for the same scope the later one. */
static int
prevails(const struct cfg_exception *exception,
         const struct cfg_exception *over)
{
    if (!over) {
        return 1;
    }
    if (exception->setting == POL_IN_SERVICE &&
        exception->value != over->value) {
        return exception->value == 0;
    }
    return exception->scope >= over->scope;
}

static int64_t
default_of(const struct config *config, enum policy_id setting)
{
    return config->has_default[setting] ? config->defaults[setting]
                                        : Pol_Spec(setting)->fallback;
}

struct cfg_explanation
Cfg_Explain(const struct config *config, const struct cfg_subject *subject,
            enum policy_id setting, uint32_t wall)
{
    struct cfg_explanation why = {.value = default_of(config, setting),
                                  .default_is_set =
                                      config->has_default[setting]};
    for (uint32_t i = 0; i < config->exception_count; i++) {
        const struct cfg_exception *exception = &config->exceptions[i];
        if (exception->setting == setting &&
            is_for(exception, subject, wall) &&
            prevails(exception, why.exception)) {
            why.exception = exception;
        }
    }
    if (why.exception) {
        why.value = why.exception->value;
    }
    return why;
}

void
Cfg_Resolve(const struct config *config, const struct cfg_subject *subject,
            uint32_t wall, struct policy *policy)
{
    const struct cfg_exception *best[POL_COUNT] = {NULL};
    for (uint32_t i = 0; i < config->exception_count; i++) {
        const struct cfg_exception *exception = &config->exceptions[i];
        if (is_for(exception, subject, wall) &&
            prevails(exception, best[exception->setting])) {
            best[exception->setting] = exception;
        }
    }
    for (int id = 0; id < POL_COUNT; id++) {
        policy->value[id] =
            best[id] ? best[id]->value : default_of(config, id);
    }
}

int64_t
Cfg_NextExpiry(const struct config *config, uint32_t wall)
{
    int64_t next = 0;
    for (uint32_t i = 0; i < config->exception_count; i++) {
        int64_t end = config->exceptions[i].expires_s;
        if (end > (int64_t)wall && (next == 0 || end < next)) {
            next = end;
        }
    }
    return next;
}

const struct cfg_team *
Cfg_FindTeam(const struct config *config, const char *name)
{
    for (uint32_t i = 0; i < config->team_count; i++) {
        if (strcmp(config->teams[i].name, name) == 0) {
            return &config->teams[i];
        }
    }
    return NULL;
}
