/* Set-up, messages, the upstream's word and the passing of time. */
#include "core/agent.h"

#include <string.h>
#include <utlist.h>

#include "agent_impl.h"

int
Ag_Init(struct agent *agent, const struct ag_settings *settings,
        struct act_sink sink, struct counters *counters)
{
    uint32_t issuers =
        settings->issuer_capacity ? settings->issuer_capacity : AG_MAX_ISSUERS;
    memset(agent, 0, sizeof(*agent));
    agent->settings = *settings;
    if (agent->settings.timing.heartbeat_us == 0) {
        Timing_Init(&agent->settings.timing);
    }
    agent->sink = sink;
    agent->counters = counters;
    if (Tab_Init(&agent->tasks, sizeof(struct ag_task),
                 settings->task_capacity) ||
        Tab_Init(&agent->jobs, sizeof(struct ag_job),
                 settings->task_capacity) ||
        Tab_Init(&agent->hold_table, sizeof(struct ag_hold), AG_MAX_HOLDS) ||
        Tab_Init(&agent->issuers, sizeof(struct ag_issuer), issuers) ||
        Tab_Init(&agent->entries, sizeof(struct ag_entry), AG_MAX_ENTRIES)) {
        Ag_Finish(agent);
        return -1;
    }
    return 0;
}

void
Ag_Finish(struct agent *agent)
{
    uint32_t slot = 0;
    struct ag_task *task;
    Agi_DropHolds(agent);
    while ((task = Tab_Next(&agent->tasks, &slot))) {
        Agi_DropOutput(agent, task);
    }
    HASH_CLEAR(hh, agent->job_index);
    HASH_CLEAR(hh, agent->issuer_index);
    HASH_CLEAR(hh, agent->entry_index);
    Tab_Finish(&agent->hold_table);
    Tab_Finish(&agent->tasks);
    Tab_Finish(&agent->jobs);
    Tab_Finish(&agent->issuers);
    Tab_Finish(&agent->entries);
}

void
Ag_OnRegistered(struct agent *agent, uint64_t version)
{
    agent->registered = version;
}

/* Whether other tasks may run there than before. */
static int
is_other_worker(const struct ag_announce *a, const struct ag_announce *b)
{
    return strcmp(a->service, b->service) != 0 ||
           a->labels.count != b->labels.count ||
           memcmp(a->labels.names, b->labels.names,
                  a->labels.count * sizeof(a->labels.names[0])) != 0;
}

void
Ag_OnAnnounce(struct agent *agent, struct now now,
              const struct ag_announce *announce)
{
    /* The word was sent a moment ago, so tasks may have begun or ended since.
     * What ran before this process can only become less. */
    uint32_t least = announce->running;
    least -= agent->least < least ? agent->least : least;
    if (agent->announced_us == 0 || least < agent->foreign) {
        agent->foreign = least;
    }
    int is_other = is_other_worker(&agent->upstream, announce);
    agent->upstream = *announce;
    agent->announced_us = now.us;
    agent->least = agent->busy + agent->calls;
    if (is_other) {
        Ag_TellAll(agent);
    }
}

void
Agi_SendStatus(struct agent *agent, struct now now, struct ag_entry *entry)
{
    struct msg beat = {.type = MSG_HEARTBEAT};
    beat.u.heartbeat.sent_us = now.us;
    beat.u.heartbeat.echo_us = entry->echo_us;
    beat.u.heartbeat.version = agent->registered;
    beat.u.heartbeat.draining = agent->draining;
    Act_Send(&agent->sink, entry->incarnation, &beat);
    Agi_SendOffer(agent, entry);
}

struct ag_entry *
Agi_FindEntry(const struct agent *agent, uint64_t incarnation)
{
    struct ag_entry *entry;
    HASH_FIND(hh, agent->entry_index, &incarnation, sizeof(incarnation),
              entry);
    return entry;
}

void
Agi_SendOffer(struct agent *agent, struct ag_entry *entry)
{
    struct msg msg = {.type = MSG_AGENT_STATUS};
    struct msg_agent_status *status = &msg.u.agent_status;
    if (agent->announced_us) {
        memcpy(status->service, agent->upstream.service, WIRE_NAME_SIZE);
        status->slots = agent->upstream.slots;
        status->connections = agent->upstream.connections;
        status->memory_mb = agent->upstream.memory_mb;
        status->cores = agent->upstream.cores;
    }
    status->capacity = agent->upstream.capacity;
    status->labels = agent->upstream.labels;
    status->busy = Agi_Busy(agent);
    status->used = agent->used;
    status->receiver_used = entry->used;
    entry->told = status->busy;
    entry->told_cpu = agent->used.cpu;
    status->receiver_busy = entry->tasks;
    if (Agi_IsProbing(agent)) {
        status->slots = 1;
        status->connections = 1;
    }
    status->ejected = (uint8_t)Agi_IsSuspect(agent);
    status->registered = agent->registered;
    status->leaving = agent->upstream.leaving || agent->draining;
    Act_Send(&agent->sink, entry->incarnation, &msg);
}

static void
link_entry(struct agent *agent, struct now now, struct ag_entry *entry)
{
    struct act act = {.type = ACT_LINK};
    act.u.link.peer = entry->incarnation;
    act.u.link.addr = entry->addr;
    entry->link_us = now.us;
    Act_Emit(&agent->sink, &act);
}

static struct ag_entry *
hear_entry(struct agent *agent, struct now now,
           const struct frame_header *head)
{
    struct ag_entry *entry = Agi_FindEntry(agent, head->from);
    if (!entry) {
        entry = Tab_Add(&agent->entries);
        if (!entry) {
            return NULL;
        }
        entry->incarnation = head->from;
        entry->met_us = now.us;
        memcpy(entry->addr, head->addr, sizeof(entry->addr));
        HASH_ADD(hh, agent->entry_index, incarnation,
                 sizeof(entry->incarnation), entry);
        link_entry(agent, now, entry);
        entry->heard_us = now.us;
        Agi_SendStatus(agent, now, entry);
    }
    entry->heard_us = now.us;
    return entry;
}

static void
drop_entry(struct agent *agent, struct ag_entry *entry)
{
    struct act act = {.type = ACT_UNLINK};
    act.u.link.peer = entry->incarnation;
    Act_Emit(&agent->sink, &act);
    HASH_DELETE(hh, agent->entry_index, entry);
    Tab_Remove(&agent->entries, entry);
}

static void
note_echo(struct ag_entry *entry, struct now now, uint64_t echo_us)
{
    if (echo_us <= now.us && echo_us > entry->back_us) {
        entry->back_us = echo_us;
    }
}

void
Ag_OnStranger(struct agent *agent, struct now now,
              const struct frame_header *head)
{
    if (head->role != ROLE_ENTRY) {
        return;
    }
    if (!Agi_FindEntry(agent, head->from) && hear_entry(agent, now, head)) {
        CTR_INC(agent->counters, strangers);
    }
}

void
Ag_OnMessage(struct agent *agent, struct now now,
             const struct frame_header *head, const struct msg *msg)
{
    struct ag_entry *entry = hear_entry(agent, now, head);
    if (!entry) {
        return;
    }
    switch (msg->type) {
    case MSG_HEARTBEAT:
        entry->echo_us = msg->u.heartbeat.sent_us;
        note_echo(entry, now, msg->u.heartbeat.echo_us);
        entry->version = msg->u.heartbeat.version;
        break;
    case MSG_START:
        if (msg->u.start.hold_ms) {
            entry->want_us = now.us;
        }
        note_echo(entry, now, msg->u.start.agent_heartbeat_us);
        Agi_OnStart(agent, now, head->from, &msg->u.start);
        Agi_SendNews(agent, now);
        break;
    case MSG_FENCE:
        Agi_OnFence(agent, now, head->from, &msg->u.fence);
        break;
    case MSG_CANCEL:
        Agi_OnCancel(agent, now, &msg->u.cancel);
        break;
    case MSG_RESULT_ACK:
        Agi_OnTaken(agent, &msg->u.result_ack);
        break;
    case MSG_RELEASE:
        Agi_OnRead(agent, &msg->u.release);
        break;
    case MSG_VERSION:
        Agi_OnVersion(agent, now, entry, &msg->u.version);
        break;
    default:
        break;
    }
}

static void
free_slot(struct agent *agent, const struct ag_task *task)
{
    if (task->flags & SUB_REQUEST) {
        agent->calls--;
    }
    else {
        agent->busy--;
        Agi_CountTask(agent, task->from, -1);
    }
    Agi_Take(agent, task, -1);
    if (agent->busy + agent->calls < agent->least) {
        agent->least = agent->busy + agent->calls;
    }
    task->job->running--;
    DL_DELETE2(agent->running, task, prev, following);
}

/* Report an output that is too large to be kept: it is sent this once. */
static void
send_unkept(struct agent *agent, uint64_t to, struct ag_task *task,
            struct bytes output)
{
    task->output = output;
    Agi_SendTask(agent, to, MSG_RESULT, task);
    task->output = (struct bytes){NULL, 0};
    if (task->state == TASK_FINISHED) {
        task->state = TASK_DISCARDED;
    }
}

void
Ag_OnTaskEnd(struct agent *agent, struct now now, tab_handle handle,
             enum code code, struct bytes output, uint32_t run_us)
{
    struct ag_task *task = Tab_Get(&agent->tasks, handle);
    if (!task || task->state != TASK_RUNNING) {
        return;
    }
    free_slot(agent, task);
    if (code == CODE_TASK_FAILED && task->lapsed) {
        code = CODE_LEASE_LAPSED;
    }
    else if (code == CODE_TASK_FAILED && task->stop_us) {
        code = CODE_JOB_CANCELLED;
    }
    task->code = code;
    task->run_us = run_us;
    if (Code_Run(code) == CODE_NOT_RUN) {
        task->state = TASK_REFUSED;
        Agi_SendTask(agent, task->epoch.owner, MSG_RESULT, task);
        Agi_RunHeld(agent, now);
        return;
    }
    if (code == CODE_OUTCOME_UNKNOWN) {
        /* It may go on running; the upstream's next word tells. */
        agent->foreign++;
    }
    task->state = code == CODE_OK ? TASK_FINISHED : TASK_FAILED;
    CTR_INC(agent->counters, tasks_finished);
    Agi_NoteOutcome(agent, now, task);
    Agi_RunHeld(agent, now);
    uint64_t owner = Agi_Epoch(agent, task->job->key.issuer).owner;
    if (Agi_KeepOutput(agent, task, output)) {
        send_unkept(agent, owner, task, output);
    }
    else {
        Agi_Report(agent, task);
    }
    Agi_SendNews(agent, now);
}

static void
beat_entries(struct agent *agent, struct now now)
{
    uint64_t limit_us = agent->settings.timing.link_timeout_us;
    uint32_t slot = 0;
    struct ag_entry *entry;
    while ((entry = Tab_Next(&agent->entries, &slot))) {
        uint64_t silent_us = now.us - entry->heard_us;
        if (silent_us > PEER_TIMEOUT_US &&
            silent_us > agent->settings.timing.quiesce_us) {
            drop_entry(agent, entry);
            continue;
        }
        if (now.us - entry->link_us > limit_us &&
            (silent_us > limit_us || now.us - entry->back_us > limit_us)) {
            CTR_INC(agent->counters, links_replaced);
            link_entry(agent, now, entry);
        }
        Agi_SendStatus(agent, now, entry);
        Agi_SendVersion(agent, now, entry);
    }
}

static void
check_leases(struct agent *agent, struct now now)
{
    struct ag_task *task;
    DL_FOREACH2(agent->running, task, following)
    {
        if (now.us >= task->lease_end_us && !task->stop_us) {
            task->lapsed = 1;
        }
        if (task->lapsed || task->stop_us) {
            Agi_StopTask(agent, now, task);
        }
    }
}

void
Ag_OnUpstreamGone(struct agent *agent, struct now now)
{
    if (agent->announced_us) {
        agent->announced_us = 0;
        Agi_CheckHeld(agent, now);
        Ag_TellAll(agent);
    }
}

void
Ag_OnTick(struct agent *agent, struct now now)
{
    if (agent->announced_us &&
        now.us - agent->announced_us > AG_ANNOUNCE_TTL_US) {
        agent->announced_us = 0;
    }
    if (now.us >= agent->next_beat_us) {
        agent->next_beat_us = now.us + agent->settings.timing.heartbeat_us;
        beat_entries(agent, now);
    }
    Agi_EndOrphans(agent, now);
    Agi_CheckHealth(agent, now);
    Agi_CheckHeld(agent, now);
    Agi_FlushOutbox(agent);
    Agi_SendNews(agent, now);
    check_leases(agent, now);
    if (agent->draining) {
        Agi_OfferResults(agent, now);
    }
    Agi_Sweep(agent, now);
}

void
Ag_Drain(struct agent *agent, struct now now)
{
    agent->draining = 1;
    agent->drain_us = now.us;
    agent->next_beat_us = now.us;
    agent->next_offer_us = now.us + AG_OFFER_INTERVAL_US;
    agent->untaken = agent->tasks.used;
}

int
Ag_IsIdle(const struct agent *agent)
{
    return agent->busy == 0 && agent->calls == 0 && agent->untaken == 0;
}
