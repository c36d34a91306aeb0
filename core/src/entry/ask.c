/* Questions about a job: its state, its answer, its cancellation. */
#include "job.h"
#include "range.h"

/* A wait for an answer is given up after this. */
#define WAIT_LIMIT_US (600 * US_PER_S)
/* A question about a state is given up after this. */
#define ASK_LIMIT_US (5 * US_PER_S)
/* A question passed on is sent again after this. */
#define ASK_RESEND_US (1 * US_PER_S)

static void
cancel_job(struct entry *entry, struct ent_job *job)
{
    int started = Enti_IsBegun(job);
    Enti_SendCancel(entry, job);
    Enti_Answer(entry, job, started ? CODE_JOB_CANCELLED : CODE_CANCELLED,
                NULL);
}

/* A cancellation may overtake its submission: the key is marked. */
static void
cancel_unknown(struct entry *entry, uint64_t from, conn_id conn,
               const struct key *key)
{
    struct ent_job *job = Enti_AddJob(entry, key);
    if (!job) {
        Enti_Refuse(entry, from, conn, key, CODE_TRY_AGAIN, NULL);
        return;
    }
    Enti_Answer(entry, job, CODE_CANCELLED, NULL);
    Enti_Reply(entry, job, from, conn);
}

static void
ask_known(struct entry *entry, uint64_t from, conn_id conn,
          struct ent_job *job, enum job_query what)
{
    if (what == JOB_QUERY_CANCEL && job->state == ENT_JOB_OPEN) {
        cancel_job(entry, job);
    }
    else if (what == JOB_QUERY_CANCEL && job->state == ENT_JOB_COLLECTING) {
        /* What runs is stopped once the agents have told of it. */
        job->cancelled = 1;
    }
    if (what == JOB_QUERY_WAIT && job->state != ENT_JOB_ANSWERED) {
        Enti_AddWaiter(job, from, conn);
        return;
    }
    Enti_Reply(entry, job, from, conn);
}

static struct ent_ask *
find_ask(const struct entry *entry, conn_id conn)
{
    struct ent_ask *found;
    HASH_FIND(hh, entry->ask_index, &conn, sizeof(conn), found);
    return found;
}

static void
drop_ask(struct entry *entry, struct ent_ask *ask)
{
    HASH_DELETE(hh, entry->ask_index, ask);
    Tab_Remove(&entry->asks, ask);
}

static void
send_ask(struct entry *entry, struct now now, struct ent_ask *ask)
{
    uint64_t owner = Enti_OwnerOf(entry, now, ask->key.issuer);
    ask->resend_us = now.us + ASK_RESEND_US;
    if (owner == 0 || owner == entry->settings.incarnation) {
        return;
    }
    struct msg msg = {.type = MSG_JOB_QUERY};
    msg.u.job_query.key = ask->key;
    msg.u.job_query.what = ask->what;
    msg.u.job_query.conn = ask->conn;
    Act_Send(&entry->sink, owner, &msg);
}

/* Ask the owner, again and again until it answers. */
static void
ask_owner(struct entry *entry, struct now now, conn_id conn,
          const struct key *key, enum job_query what)
{
    struct ent_ask *ask = find_ask(entry, conn);
    if (!ask) {
        ask = Tab_Add(&entry->asks);
        if (!ask) {
            Enti_Refuse(entry, 0, conn, key, CODE_TRY_AGAIN, NULL);
            return;
        }
        ask->conn = conn;
        HASH_ADD(hh, entry->ask_index, conn, sizeof(conn), ask);
    }
    ask->key = *key;
    ask->what = what;
    ask->end_us =
        now.us + (what == JOB_QUERY_WAIT ? WAIT_LIMIT_US : ASK_LIMIT_US);
    send_ask(entry, now, ask);
}

void
Enti_OnAskAnswer(struct entry *entry, const struct msg_answer *answer)
{
    struct ent_ask *ask = find_ask(entry, answer->conn);
    if (!ask || !Key_Equal(&ask->key, &answer->answer.key)) {
        CTR_INC(entry->counters, answers_late);
        return;
    }
    struct act act = {.type = ACT_REPLY};
    act.u.reply.conn = ask->conn;
    act.u.reply.answer = &answer->answer;
    drop_ask(entry, ask);
    Act_Emit(&entry->sink, &act);
}

void
Enti_ResendAsks(struct entry *entry, struct now now)
{
    struct ent_ask *ask;
    struct ent_ask *following;
    HASH_ITER(hh, entry->ask_index, ask, following)
    {
        if (ask->end_us <= now.us) {
            Enti_Refuse(entry, 0, ask->conn, &ask->key, CODE_OWNER_AWAY, NULL);
            drop_ask(entry, ask);
        }
        else if (ask->resend_us <= now.us) {
            send_ask(entry, now, ask);
        }
    }
}

void
Enti_Ask(struct entry *entry, struct now now, uint64_t from, conn_id conn,
         const struct key *key, enum job_query what)
{
    struct ent_job *job = Enti_FindJob(entry, key);
    if (job && job->state != ENT_JOB_HELD && job->state != ENT_JOB_REMOTE) {
        ask_known(entry, from, conn, job, what);
        return;
    }
    const struct ent_issuer *issuer = Enti_FindIssuer(entry, key->issuer);
    if (issuer && issuer->state == ENT_ISSUER_OWN) {
        if (what == JOB_QUERY_CANCEL) {
            cancel_unknown(entry, from, conn, key);
        }
        else {
            Enti_Refuse(entry, from, conn, key, CODE_NO_SUCH_JOB, NULL);
        }
        return;
    }
    uint64_t owner = Enti_OwnerOf(entry, now, key->issuer);
    if (from != 0 || owner == 0 || owner == entry->settings.incarnation) {
        Enti_Refuse(entry, from, conn, key, CODE_OWNER_AWAY, NULL);
        return;
    }
    ask_owner(entry, now, conn, key, what);
}

void
Ent_OnAsk(struct entry *entry, struct now now, conn_id conn,
          const struct key *key, enum job_query what)
{
    Enti_Ask(entry, now, 0, conn, key, what);
}
