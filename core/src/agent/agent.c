/* Initialisation, message dispatch, announcements of the upstream, periodic
 * work. */
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

/* True if the announcements differ in which tasks, or how many, may run on the
 * worker. */
static int
has_other_offer(const struct ag_announce *a, const struct ag_announce *b)
{
    return a->slots != b->slots || a->capacity.cpu != b->capacity.cpu ||
           a->capacity.memory_mb != b->capacity.memory_mb ||
           a->capacity.gpu != b->capacity.gpu ||
           strcmp(a->service, b->service) != 0 ||
           a->labels.count != b->labels.count ||
           memcmp(a->labels.names, b->labels.names,
                  a->labels.count * sizeof(a->labels.names[0])) != 0;
}

void
Ag_OnAnnounce(struct agent *agent, struct now now,
              const struct ag_announce *announce)
{
    /* The upstream counted its running tasks a moment ago, and tasks of this
     * agent may have begun or ended since. Subtracting the minimum of what was
     * occupied in the meantime gives an upper bound of the untracked tasks.
     * Tasks of an earlier process can only become fewer, so a later
     * announcement only lowers the number. */
    uint32_t bound = announce->running;
    bound -= agent->min_occupied < bound ? agent->min_occupied : bound;
    if (agent->announced_us == 0 || bound < agent->untracked) {
        agent->untracked = bound;
    }
    int is_changed = agent->announced_us == 0 ||
                     has_other_offer(&agent->upstream, announce);
    agent->upstream = *announce;
    agent->announced_us = now.us;
    agent->min_occupied = agent->busy + agent->requests;
    if (is_changed) {
        Ag_BroadcastStatus(agent);
    }
}

void
Agi_SendHeartbeat(struct agent *agent, struct now now, struct ag_entry *entry)
{
    struct msg msg = {.type = MSG_HEARTBEAT};
    msg.u.heartbeat.sent_us = now.us;
    entry->heartbeat_sent_us = now.us;
    msg.u.heartbeat.echo_us = entry->heartbeat_echo_us;
    msg.u.heartbeat.version = agent->registered;
    msg.u.heartbeat.draining = agent->draining;
    Act_Send(&agent->sink, entry->incarnation, &msg);
    Agi_SendAgentStatus(agent, entry);
    Agi_SendCrashes(agent, now, entry);
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
Agi_SendAgentStatus(struct agent *agent, struct ag_entry *entry)
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
    status->busy = Agi_UsedSlots(agent);
    status->used = agent->used;
    status->receiver_used = entry->used;
    entry->reported_slots = status->busy;
    entry->reported_cpu = agent->used.cpu;
    status->receiver_busy = entry->slots;
    if (Agi_IsProbing(agent)) {
        status->slots = 1;
        status->connections = 1;
    }
    status->ejected = (uint8_t)Agi_IsEjected(agent);
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
    entry->linked_us = now.us;
    Act_Emit(&agent->sink, &act);
}

/* Find the entry that sent a frame, or add it, and update its `heard_us`. NULL
 * if the table is full. */
static struct ag_entry *
refresh_entry(struct agent *agent, struct now now,
              const struct frame_header *header)
{
    struct ag_entry *entry = Agi_FindEntry(agent, header->from);
    if (!entry) {
        entry = Tab_Add(&agent->entries);
        if (!entry) {
            return NULL;
        }
        entry->incarnation = header->from;
        entry->first_heard_us = now.us;
        memcpy(entry->addr, header->addr, sizeof(entry->addr));
        HASH_ADD(hh, agent->entry_index, incarnation,
                 sizeof(entry->incarnation), entry);
        link_entry(agent, now, entry);
        entry->heard_us = now.us;
        Agi_SendHeartbeat(agent, now, entry);
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

/* True if a task that the entry ordered is running or held. */
static int
has_tasks_of(const struct agent *agent, const struct ag_entry *entry)
{
    const struct ag_task *task;
    if (entry->slots > 0) {
        return 1;
    }
    DL_FOREACH2(agent->running, task, following)
    {
        if (task->from == entry->incarnation) {
            return 1;
        }
    }
    return 0;
}

/* Record that the heartbeat sent at `echo_us` was echoed by an entry. */
static void
record_echo(struct ag_entry *entry, struct now now, uint64_t echo_us)
{
    if (echo_us <= now.us && echo_us > entry->echoed_us) {
        entry->echoed_us = echo_us;
    }
}

void
Ag_OnUnknownPeer(struct agent *agent, struct now now,
                 const struct frame_header *header)
{
    if (header->role != ROLE_ENTRY) {
        return;
    }
    if (!Agi_FindEntry(agent, header->from) &&
        refresh_entry(agent, now, header)) {
        CTR_INC(agent->counters, strangers);
    }
}

void
Ag_OnMessage(struct agent *agent, struct now now,
             const struct frame_header *header, const struct msg *msg)
{
    struct ag_entry *entry = refresh_entry(agent, now, header);
    if (!entry) {
        return;
    }
    switch (msg->type) {
    case MSG_HEARTBEAT:
        if (msg->u.heartbeat.is_last && !has_tasks_of(agent, entry)) {
            drop_entry(agent, entry);
            break;
        }
        entry->heartbeat_echo_us = msg->u.heartbeat.sent_us;
        record_echo(entry, now, msg->u.heartbeat.echo_us);
        entry->version = msg->u.heartbeat.version;
        break;
    case MSG_START:
        if (msg->u.start.hold_ms) {
            entry->last_demand_us = now.us;
        }
        record_echo(entry, now, msg->u.start.agent_heartbeat_us);
        Agi_OnStart(agent, now, header->from, &msg->u.start);
        Agi_SendUpdates(agent, now);
        break;
    case MSG_FENCE:
        Agi_OnFence(agent, now, header->from, &msg->u.fence);
        break;
    case MSG_CANCEL:
        Agi_OnCancel(agent, now, entry, &msg->u.cancel);
        break;
    case MSG_RESULT_ACK:
        Agi_OnResultAck(agent, &msg->u.result_ack);
        break;
    case MSG_RELEASE:
        Agi_OnRelease(agent, &msg->u.release);
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
        agent->requests--;
    }
    else {
        agent->busy--;
        Agi_CountTask(agent, task->from, -1);
    }
    Agi_AddUsage(agent, task, -1);
    if (agent->busy + agent->requests < agent->min_occupied) {
        agent->min_occupied = agent->busy + agent->requests;
    }
    task->job->running--;
    DL_DELETE2(agent->running, task, prev, following);
}

/* Send an outcome whose output could not be kept. The output is sent only this
 * once. */
static void
send_without_keeping(struct agent *agent, uint64_t to, struct ag_task *task,
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
    if (code == CODE_TASK_FAILED && task->lease_expired) {
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
        /* The task may still be running. The running count of the upstream's
         * next announcement corrects this. */
        agent->untracked++;
    }
    task->state = code == CODE_OK ? TASK_FINISHED : TASK_FAILED;
    CTR_INC(agent->counters, tasks_finished);
    Agi_RecordOutcome(agent, now, task);
    Agi_RunHeld(agent, now);
    uint64_t owner = Agi_Epoch(agent, task->job->key.issuer).owner;
    if (Agi_KeepOutput(agent, task, output)) {
        send_without_keeping(agent, owner, task, output);
    }
    else {
        Agi_Report(agent, task);
    }
    Agi_SendUpdates(agent, now);
}

/* Send heartbeats to all entries. Replace the connection to an entry that has
 * sent nothing, or echoed no heartbeat, for `link_timeout_us`. Remove an entry
 * that has sent nothing for PEER_TIMEOUT_US and for `quiesce_us`. */
static void
send_heartbeats(struct agent *agent, struct now now)
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
        if (now.us - entry->linked_us > limit_us &&
            (silent_us > limit_us || now.us - entry->echoed_us > limit_us)) {
            CTR_INC(agent->counters, links_replaced);
            link_entry(agent, now, entry);
        }
        Agi_SendHeartbeat(agent, now, entry);
        Agi_SendVersion(agent, now, entry);
    }
}

/* Stop tasks whose lease has expired, and repeat earlier stop orders. */
static void
stop_tasks(struct agent *agent, struct now now)
{
    struct ag_task *task;
    DL_FOREACH2(agent->running, task, following)
    {
        if (now.us >= task->lease_end_us && !task->stop_us) {
            task->lease_expired = 1;
        }
        if (task->lease_expired || task->stop_us) {
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
        Ag_BroadcastStatus(agent);
    }
}

void
Ag_OnTick(struct agent *agent, struct now now)
{
    if (agent->announced_us &&
        now.us - agent->announced_us > AG_ANNOUNCE_TTL_US) {
        agent->announced_us = 0;
    }
    if (now.us >= agent->next_heartbeat_us) {
        agent->next_heartbeat_us =
            now.us + agent->settings.timing.heartbeat_us;
        send_heartbeats(agent, now);
    }
    Agi_StopOrphans(agent, now);
    Agi_CheckHealth(agent, now);
    Agi_CheckHeld(agent, now);
    Agi_FlushOutbox(agent);
    Agi_SendUpdates(agent, now);
    stop_tasks(agent, now);
    if (agent->draining) {
        Agi_ResendResults(agent, now);
    }
    Agi_Sweep(agent, now);
}

void
Ag_Drain(struct agent *agent, struct now now)
{
    agent->draining = 1;
    agent->drain_started_us = now.us;
    agent->next_heartbeat_us = now.us;
    agent->next_resend_us = now.us + AG_RESEND_INTERVAL_US;
    agent->unacked = agent->tasks.used;
}

int
Ag_IsIdle(const struct agent *agent)
{
    return agent->busy == 0 && agent->requests == 0 && agent->unacked == 0;
}
