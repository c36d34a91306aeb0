/* Resolution of the effective values of settings for a subject. */
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
subject_name(const struct cfg_subject *subject, enum cfg_scope scope)
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
applies_to(const struct cfg_exception *exception,
           const struct cfg_subject *subject, uint32_t wall)
{
    return !Cfg_IsExpired(exception, wall) &&
           strcmp(exception->name, subject_name(subject, exception->scope)) ==
               0;
}

/* For in_service, 0 overrides 1 whatever the scopes. Otherwise the narrower
 * scope overrides the wider one, and of two exceptions for the same scope the
 * later one overrides. `best` is the exception found so far, NULL for none. */
static int
overrides(const struct cfg_exception *exception,
          const struct cfg_exception *best)
{
    if (!best) {
        return 1;
    }
    if (exception->setting == POL_IN_SERVICE &&
        exception->value != best->value) {
        return exception->value == 0;
    }
    return exception->scope >= best->scope;
}

static int64_t
default_value(const struct config *config, enum policy_id setting)
{
    return config->has_default[setting] ? config->defaults[setting]
                                        : Pol_Spec(setting)->default_value;
}

struct cfg_explanation
Cfg_Explain(const struct config *config, const struct cfg_subject *subject,
            enum policy_id setting, uint32_t wall)
{
    struct cfg_explanation explanation = {
        .value = default_value(config, setting),
        .default_is_set = config->has_default[setting]};
    for (uint32_t i = 0; i < config->exception_count; i++) {
        const struct cfg_exception *exception = &config->exceptions[i];
        if (exception->setting == setting &&
            applies_to(exception, subject, wall) &&
            overrides(exception, explanation.exception)) {
            explanation.exception = exception;
        }
    }
    if (explanation.exception) {
        explanation.value = explanation.exception->value;
    }
    return explanation;
}

void
Cfg_Resolve(const struct config *config, const struct cfg_subject *subject,
            uint32_t wall, struct policy *policy)
{
    const struct cfg_exception *best[POL_COUNT] = {NULL};
    for (uint32_t i = 0; i < config->exception_count; i++) {
        const struct cfg_exception *exception = &config->exceptions[i];
        if (applies_to(exception, subject, wall) &&
            overrides(exception, best[exception->setting])) {
            best[exception->setting] = exception;
        }
    }
    for (int id = 0; id < POL_COUNT; id++) {
        policy->value[id] =
            best[id] ? best[id]->value : default_value(config, id);
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
