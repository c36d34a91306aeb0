/* Questions about a job: its state, its answer, its cancellation. */
#include "entry_impl.h"

static void
cancel_job(struct entry *entry, struct ent_job *job)
{
    int started = Enti_MayHaveRun(job) || job->state == ENT_JOB_COLLECTING;
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
          struct ent_job *job, enum ask what)
{
    if (what == ASK_CANCEL && job->state == ENT_JOB_OPEN) {
        cancel_job(entry, job);
    }
    if (what == ASK_WAIT && job->state != ENT_JOB_ANSWERED) {
        Enti_AddWaiter(job, from, conn);
        return;
    }
    Enti_Reply(entry, job, from, conn);
}

static void
ask_owner(struct entry *entry, uint64_t owner, conn_id conn,
          const struct key *key, enum ask what)
{
    struct msg msg = {.type = MSG_ASK};
    msg.u.ask.key = *key;
    msg.u.ask.what = what;
    msg.u.ask.conn = conn;
    Act_Send(&entry->sink, owner, &msg);
}

void
Enti_Ask(struct entry *entry, struct now now, uint64_t from, conn_id conn,
         const struct key *key, enum ask what)
{
    struct ent_job *job = Enti_FindJob(entry, key);
    if (job && job->state != ENT_JOB_HELD && job->state != ENT_JOB_REMOTE) {
        ask_known(entry, from, conn, job, what);
        return;
    }
    const struct ent_issuer *issuer = Enti_FindIssuer(entry, key->issuer);
    if (issuer && issuer->state == ENT_ISSUER_OWN) {
        if (Enti_IsExpired(entry, now, key)) {
            Enti_Refuse(entry, from, conn, key, CODE_KEY_EXPIRED, NULL);
        }
        else if (what == ASK_CANCEL) {
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
    ask_owner(entry, owner, conn, key, what);
}

void
Ent_OnAsk(struct entry *entry, struct now now, conn_id conn,
          const struct key *key, enum ask what)
{
    Enti_Ask(entry, now, 0, conn, key, what);
}
