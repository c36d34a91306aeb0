/* Settings in force for services, teams and agents. They are resolved when the
 * configuration or the members change, and stored with the service or agent;
 * only exceptions for teams are applied at each look-up. */
#include <string.h>

#include "peer.h"

static void
apply_team_exceptions(const struct entry *entry, const char *team,
                      struct policy *policy)
{
    const struct config *config = entry->conf.config;
    for (uint32_t i = 0; i < config->exception_count; i++) {
        const struct cfg_exception *exception = &config->exceptions[i];
        if (exception->scope == CFG_TEAM &&
            strcmp(exception->name, team) == 0 &&
            !Cfg_IsExpired(exception, entry->conf.expiry_checked_s)) {
            policy->value[exception->setting] = exception->value;
        }
    }
}

const struct policy *
Enti_Policy(const struct entry *entry, const char *service, const char *team)
{
    const struct policy *policy = &entry->policy;
    struct policy *scratch = (struct policy *)&entry->scratch;
    struct ent_service *found;
    HASH_FIND_STR(entry->service_index, service, found);
    if (found) {
        policy = &found->policy;
    }
    if (team[0] == '\0' || !entry->conf.has_team_exceptions) {
        return policy;
    }
    *scratch = *policy;
    apply_team_exceptions(entry, team, scratch);
    return scratch;
}

const struct policy *
Enti_AgentPolicy(const struct entry *entry, const struct ent_peer *agent)
{
    (void)entry;
    return &agent->policy;
}

static void
update_return_time(struct now now, struct ent_peer *agent, int is_out)
{
    if (agent->is_out_of_service && !is_out) {
        agent->returned_us = now.us;
    }
    agent->is_out_of_service = (uint8_t)is_out;
}

void
Enti_ResolveAgent(struct entry *entry, struct now now, struct ent_peer *agent)
{
    struct cfg_subject subject = {0};
    const struct ent_member *member = &agent->member;
    if (!entry->conf.config) {
        agent->policy = entry->policy;
    }
    else {
        memcpy(subject.region, member->region, sizeof(subject.region));
        memcpy(subject.dc, member->dc, sizeof(subject.dc));
        memcpy(subject.rack, member->rack, sizeof(subject.rack));
        memcpy(subject.node, member->node, sizeof(subject.node));
        if (agent->service) {
            memcpy(subject.service, agent->service->name,
                   sizeof(subject.service));
        }
        Cfg_Resolve(entry->conf.config, &subject, now.wall, &agent->policy);
    }
    update_return_time(now, agent,
                       agent->reported_leaving ||
                           !agent->policy.value[POL_IN_SERVICE]);
}

static void
resolve_service(struct entry *entry, struct ent_service *service)
{
    struct cfg_subject subject = {0};
    memcpy(subject.service, service->name, sizeof(subject.service));
    Cfg_Resolve(entry->conf.config, &subject, entry->conf.expiry_checked_s,
                &service->policy);
}

static void
update_has_team_exceptions(struct entry *entry)
{
    const struct config *config = entry->conf.config;
    entry->conf.has_team_exceptions = 0;
    for (uint32_t i = 0; i < config->exception_count; i++) {
        if (config->exceptions[i].scope == CFG_TEAM) {
            entry->conf.has_team_exceptions = 1;
        }
    }
}

void
Enti_ResolveService(struct entry *entry, struct ent_service *service)
{
    if (entry->conf.config) {
        resolve_service(entry, service);
    }
    else {
        service->policy = entry->policy;
    }
}

void
Enti_ResolveAll(struct entry *entry, struct now now)
{
    struct cfg_subject fleet = {0};
    uint32_t slot = 0;
    struct ent_peer *peer;
    struct ent_service *service;
    entry->conf.expiry_checked_s = now.wall;
    Cfg_Resolve(entry->conf.config, &fleet, now.wall, &entry->policy);
    update_has_team_exceptions(entry);
    for (service = entry->service_index; service; service = service->hh.next) {
        resolve_service(entry, service);
    }
    while ((peer = Tab_Next(&entry->peers, &slot))) {
        if (peer->member.role == ROLE_AGENT) {
            Enti_ResolveAgent(entry, now, peer);
        }
    }
}

uint32_t
Enti_RampCapacity(struct now now, const struct ent_peer *agent,
                  uint32_t capacity)
{
    uint64_t ramp_us =
        (uint64_t)agent->policy.value[POL_RETURN_RAMP_MS] * US_PER_MS;
    uint64_t since_us = now.us - agent->returned_us;
    if (agent->returned_us == 0 || since_us >= ramp_us) {
        return capacity;
    }
    uint32_t part = (uint32_t)(capacity * since_us / ramp_us);
    return part ? part : 1;
}
