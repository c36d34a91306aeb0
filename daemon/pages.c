#include "pages.h"

/* Size of the buffer for the text of a page. */
#define METRICS_SIZE (512u << 10)
#define STATUS_SIZE (32u << 10)

static void
reply(struct httpd *httpd, conn_id conn, const char *text, size_t size)
{
    struct hs_reply answer = {
        .status = 200,
        .type = "text/plain",
        .body = {text, (uint32_t)size},
    };
    Hs_Reply(httpd, conn, &answer);
}

void
Pages_Metrics(struct httpd *httpd, conn_id conn,
              const struct counters *counters, const struct entry *core)
{
    static char text[METRICS_SIZE];
    size_t size = (size_t)Ctr_Print(counters, text, sizeof(text) / 2);
    size += Ent_PrintKinds(core, text + size, sizeof(text) - size);
    reply(httpd, conn, text, size);
}

void
Pages_Status(struct httpd *httpd, conn_id conn, const struct entry *core)
{
    static char text[STATUS_SIZE];
    size_t size = Ent_PrintStatus(core, Loop_Now(), text, sizeof(text));
    reply(httpd, conn, text, size);
}
