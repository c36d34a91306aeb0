/** @file
 * Settings that operators change at run time, as a default for the fleet or
 * as an exception for a scope. No setting applies to a single job. */
#ifndef CORE_POLICY_H
#define CORE_POLICY_H

#include <stdint.h>

/** Value of a team quota that stands for no quota, in slots. */
#define POL_NO_QUOTA 1000000

/* X(NAME, "name", "unit", min, max, default, "help"). Names, units and help
 * texts are part of answers to operators and of the documentation. */
#define POLICY_TABLE(X)                                                       \
    X(IN_SERVICE, "in_service", "bool", 0, 1, 1,                              \
      "whether tasks may start in the scope")                                 \
    X(LEASE_MS, "lease_ms", "ms", 100, 3600000, 60000,                        \
      "longest run time of a task")                                           \
    X(QUEUE_LIMIT, "queue_limit", "tasks", 1, 1000000, 20000,                 \
      "tasks that may wait for a slot at one entry")                          \
    X(QUEUE_WAIT_MS, "queue_wait_ms", "ms", 0, 3600000, 3000,                 \
      "longest expected wait for a slot of a job that is taken in")           \
    X(LEAST_SHARE, "least_share", "percent", 0, 50, 5,                        \
      "share of the starts kept for each less urgent class that waits")       \
    X(TEAM_WEIGHT, "team_weight", "parts", 1, 1000, 10,                       \
      "share of a team against the other teams of its class")                 \
    X(TEAM_SLOTS, "team_slots", "slots", 1, POL_NO_QUOTA, POL_NO_QUOTA,       \
      "task slots of a service that a team may hold at once")                 \
    X(TEAM_QUEUE, "team_queue", "tasks", 1, 1000000, 20000,                   \
      "tasks of one team that may wait at one entry")                         \
    X(HOLD_MS, "hold_ms", "ms", 0, 10000, 500,                                \
      "time that a start may wait at an agent for a slot")                    \
    X(HOLD_TASKS, "hold_tasks", "tasks", 0, 64, 1,                            \
      "starts sent to an agent beyond its slots when all are taken")          \
    X(EJECT_SHARE, "eject_share", "percent", 0, 100, 30,                      \
      "most workers of a service that may be out for their failures")         \
    X(SLOW_PERCENT, "slow_percent", "percent", 110, 10000, 170,               \
      "run time over the expected from which an agent is used last")          \
    X(RETURN_RAMP_MS, "return_ramp_ms", "ms", 0, 600000, 2000,                \
      "time over which a returning upstream is given its slots back")

/** Index of a setting in struct policy, in the order of POLICY_TABLE. */
enum policy_id {
#define X(NAME, name, unit, min, max, default_value, help) POL_##NAME,
    POLICY_TABLE(X)
#undef X
        POL_COUNT
};

/** Values in force for a scope, each in the unit of its setting. */
struct policy {
    int64_t value[POL_COUNT];
};

/** Description of a setting: its unit, allowed range (`min` to `max`, both
 * included) and built-in default. */
struct policy_spec {
    const char *name;
    const char *unit;
    int64_t min;
    int64_t max;
    int64_t default_value;
    const char *help;
};

/** Description of setting `id`, which must be below POL_COUNT. */
const struct policy_spec *Pol_Spec(enum policy_id id);

/** Look up a setting by its name. Returns POL_COUNT if there is none. */
enum policy_id Pol_Find(const char *name);

/** Set all values to the built-in defaults. */
void Pol_Init(struct policy *policy);

#endif
