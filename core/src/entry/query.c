/* Queries on a job: its state, waiting for its answer, its cancellation. A
 * query on a key of another entry is forwarded to that entry. */
#include "cancel.h"
#include "job.h"
#include "key_range.h"

/* Time after which a forwarded wait for an answer is given up. */
#define WAIT_LIMIT_US (600 * US_PER_S)
/* The same for a state query or a cancellation. */
#define QUERY_LIMIT_US (5 * US_PER_S)
/* Retransmission interval of a forwarded query. */
#define QUERY_RESEND_US (1 * US_PER_S)

static void
cancel_job(struct entry *entry, struct ent_job *job)
{
    int started = Enti_HasStarted(job);
    Enti_SendCancel(entry, job);
    Enti_Answer(entry, job, started ? CODE_JOB_CANCELLED : CODE_CANCELLED,
                NULL);
}

/* Records the cancellation of a key of which no job is known: it may have
 * overtaken the submission, which is then refused. */
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
query_known(struct entry *entry, uint64_t from, conn_id conn,
            struct ent_job *job, enum job_query what)
{
    if (what == JOB_QUERY_CANCEL && job->state == ENT_JOB_OPEN) {
        cancel_job(entry, job);
    }
    else if (what == JOB_QUERY_CANCEL && job->state == ENT_JOB_COLLECTING) {
        /* Tasks that run are stopped once all agents have reported. */
        job->cancelled = 1;
    }
    if (what == JOB_QUERY_WAIT && job->state != ENT_JOB_ANSWERED) {
        Enti_AddWaiter(job, from, conn);
        return;
    }
    Enti_Reply(entry, job, from, conn);
}

static struct ent_query *
find_query(const struct entry *entry, conn_id conn)
{
    struct ent_query *found;
    HASH_FIND(hh, entry->query_index, &conn, sizeof(conn), found);
    return found;
}

static void
drop_query(struct entry *entry, struct ent_query *query)
{
    HASH_DELETE(hh, entry->query_index, query);
    Tab_Remove(&entry->queries, query);
}

static void
send_query(struct entry *entry, struct now now, struct ent_query *query)
{
    uint64_t owner = Enti_FindOwner(entry, now, query->key.issuer);
    query->resend_us = now.us + QUERY_RESEND_US;
    if (owner == 0 || owner == entry->settings.incarnation) {
        return;
    }
    struct msg msg = {.type = MSG_JOB_QUERY};
    msg.u.job_query.key = query->key;
    msg.u.job_query.query = query->what;
    msg.u.job_query.conn = query->conn;
    Act_Send(&entry->sink, owner, &msg);
}

/* Forwards a query to the owner of the key. It is retransmitted until answered
 * or given up. */
static void
query_owner(struct entry *entry, struct now now, conn_id conn,
            const struct key *key, enum job_query what)
{
    struct ent_query *query = find_query(entry, conn);
    if (!query) {
        query = Tab_Add(&entry->queries);
        if (!query) {
            Enti_Refuse(entry, 0, conn, key, CODE_TRY_AGAIN, NULL);
            return;
        }
        query->conn = conn;
        HASH_ADD(hh, entry->query_index, conn, sizeof(conn), query);
    }
    query->key = *key;
    query->what = what;
    query->deadline_us =
        now.us + (what == JOB_QUERY_WAIT ? WAIT_LIMIT_US : QUERY_LIMIT_US);
    send_query(entry, now, query);
}

void
Enti_OnQueryAnswer(struct entry *entry, const struct msg_answer *answer)
{
    struct ent_query *query = find_query(entry, answer->conn);
    if (!query || !Key_Equal(&query->key, &answer->answer.key)) {
        CTR_INC(entry->counters, answers_late);
        return;
    }
    struct act act = {.type = ACT_REPLY};
    act.u.reply.conn = query->conn;
    act.u.reply.answer = &answer->answer;
    drop_query(entry, query);
    Act_Emit(&entry->sink, &act);
}

void
Enti_ResendQueries(struct entry *entry, struct now now)
{
    struct ent_query *query;
    struct ent_query *following;
    HASH_ITER(hh, entry->query_index, query, following)
    {
        if (query->deadline_us <= now.us) {
            Enti_Refuse(entry, 0, query->conn, &query->key, CODE_OWNER_AWAY,
                        NULL);
            drop_query(entry, query);
        }
        else if (query->resend_us <= now.us) {
            send_query(entry, now, query);
        }
    }
}

void
Enti_Query(struct entry *entry, struct now now, uint64_t from, conn_id conn,
           const struct key *key, enum job_query what)
{
    struct ent_job *job = Enti_FindJob(entry, key);
    if (job && job->state != ENT_JOB_REPORTED &&
        job->state != ENT_JOB_REMOTE) {
        query_known(entry, from, conn, job, what);
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
    uint64_t owner = Enti_FindOwner(entry, now, key->issuer);
    if (from != 0 || owner == 0 || owner == entry->settings.incarnation) {
        Enti_Refuse(entry, from, conn, key, CODE_OWNER_AWAY, NULL);
        return;
    }
    query_owner(entry, now, conn, key, what);
}

void
Ent_OnQuery(struct entry *entry, struct now now, conn_id conn,
            const struct key *key, enum job_query what)
{
    Enti_Query(entry, now, 0, conn, key, what);
}
