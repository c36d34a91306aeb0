/* Sends the message that starts a task at an agent. */
#include <string.h>

#include "cancel.h"
#include "job.h"
#include "peer.h"
#include "place.h"
#include "key_range.h"

static uint32_t
remaining_ms(struct now now, const struct ent_job *job)
{
    if (job->deadline_us <= now.us) {
        return 0;
    }
    return (uint32_t)((job->deadline_us - now.us) / US_PER_MS);
}

static uint32_t
hold_ms(const struct entry *entry, const struct ent_job *job,
        const struct ent_task *task)
{
    const struct policy *policy =
        Enti_Policy(entry, job->service_name, job->team);
    if (entry->settings.mode == ENT_BASELINE || !task->may_wait ||
        task->is_confined) {
        return 0;
    }
    return (uint32_t)policy->value[POL_HOLD_MS];
}

void
Enti_SendStart(struct entry *entry, struct now now, struct ent_job *job,
               struct ent_task *task)
{
    struct msg msg = {.type = MSG_START};
    struct msg_start *start = &msg.u.start;
    const struct ent_issuer *issuer = Enti_FindIssuer(entry, job->key.issuer);
    if (!issuer) {
        return;
    }
    start->key = job->key;
    start->epoch = issuer->epoch;
    start->task = task->no;
    start->attempt = task->attempt;
    start->deadline_ms = remaining_ms(now, job);
    start->lease_ms =
        (uint32_t)Enti_Policy(entry, job->service_name, job->team)
            ->value[POL_LEASE_MS];
    start->flags = job->flags;
    if (job->service && job->service->use_ejected) {
        start->flags |= START_IF_EJECTED;
    }
    if (task->is_confined) {
        start->flags |= START_CONFINED;
    }
    start->priority = job->priority;
    start->hold_ms = hold_ms(entry, job, task);
    memcpy(start->kind, job->kind, sizeof(start->kind));
    memcpy(start->team, job->team, sizeof(start->team));
    start->body_hash = job->body_hash;
    start->input = task->input;
    start->name = job->name;
    const struct sub_step *spec = &job->steps[task->step].spec;
    start->need = spec->need;
    memcpy(start->label, spec->label, sizeof(start->label));
    start->estimate_ms =
        (uint32_t)(Enti_EstimateRunUs(job->kind_stats, task->run_ms) /
                   US_PER_MS);
    const struct ent_peer *agent = Enti_FindPeer(entry, task->agent);
    if (agent) {
        start->agent_heartbeat_us = agent->heartbeat_echo_us;
        Enti_ResendCancelsTo(entry, agent);
    }
    task->sent_us = now.us;
    task->resend_us = now.us + START_RESEND_US;
    if (task->resend_us < job->next_resend_us) {
        job->next_resend_us = task->resend_us;
    }
    CTR_INC(entry->counters, tasks_sent);
    Act_Send(&entry->sink, task->agent, &msg);
}
