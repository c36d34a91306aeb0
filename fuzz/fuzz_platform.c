/* Fuzzes the parsers of the platform's protocol. The first byte selects a job,
 * a heartbeat, a view of an upstream's runs, a reply or rows of the store; the
 * rest is the body. */
#include <stdlib.h>

#include "fuzz.h"
#include "platform/ingress.h"
#include "platform/store.h"
#include "platform/upstream.h"

static void
read_rows(struct bytes body)
{
    struct pf_operator op;
    struct pf_rows rows;
    struct err err = {0};
    if (Pf_ReadRows(&rows, body, &err) || Pf_InitOperator(&op)) {
        return;
    }
    Pf_ApplyOperatorRows(&op, rows.list, &err);
    json_decref(Pf_WriteOwnRows(&op));
    json_decref(rows.list);
    Pf_FinishOperator(&op);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static struct rn_view view;
    struct pf_job job;
    struct pf_heartbeat heartbeat;
    struct err err = {0};
    uint64_t clock_ms;
    if (size < 1) {
        return 0;
    }
    struct bytes body = {data + 1, (uint32_t)(size - 1)};
    switch (data[0] % 5) {
    case 0:
        if (Pf_ReadJob(&job, body, &err) == 0) {
            Pf_FreeJob(&job);
        }
        break;
    case 1:
        Pf_ReadHeartbeat(&heartbeat, body, &err);
        break;
    case 2:
        Pf_ReadView(200, 1, body, &view);
        break;
    case 3:
        Pf_ReadReply(409, 1, body, &clock_ms);
        break;
    default:
        read_rows(body);
        break;
    }
    return 0;
}
