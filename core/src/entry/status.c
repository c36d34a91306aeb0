/* Status text of an entry for operators, and histograms of the response times
 * for /metrics. */
#include <stdarg.h>
#include <stdio.h>
#include <utlist.h>

#include "job.h"
#include "place.h"

struct text {
    char *out;
    size_t size;
    size_t used;
};

/* Appends formatted text, all of it or nothing. */
__attribute__((format(printf, 2, 3))) static void
append(struct text *text, const char *format, ...)
{
    va_list args;
    size_t free_size = text->size - text->used;
    va_start(args, format);
    int length = vsnprintf(text->out + text->used, free_size, format, args);
    va_end(args);
    if (length > 0 && (size_t)length < free_size) {
        text->used += (size_t)length;
    }
    text->out[text->used] = '\0';
}

void
Enti_CountResponse(const struct ent_job *job, struct now now)
{
    struct ent_histogram *histogram = &job->kind_stats->responses;
    uint64_t ms = (now.us - job->submitted_us) / US_PER_MS;
    uint32_t bucket = 0;
    while (bucket < ENT_BUCKETS - 1 && ms > (ENT_FIRST_BUCKET_MS << bucket)) {
        bucket++;
    }
    histogram->count[bucket]++;
    histogram->sum_ms += ms;
}

/* Replaces characters that would end or break a label value: kinds are named
 * by callers. */
static void
copy_label(char *out, const char *name)
{
    size_t i = 0;
    for (; i < WIRE_NAME_SIZE - 1 && name[i]; i++) {
        int is_bad = name[i] == '"' || name[i] == '\\' || name[i] < ' ';
        out[i] = is_bad ? '_' : name[i];
    }
    out[i] = '\0';
}

static void
print_kind(struct text *text, const struct ent_kind_stats *kind)
{
    char service[WIRE_NAME_SIZE];
    char name[WIRE_NAME_SIZE];
    uint64_t sum = 0;
    copy_label(service, kind->id.service);
    copy_label(name, kind->id.name);
    for (uint32_t i = 0; i < ENT_BUCKETS; i++) {
        char bound[16] = "+Inf";
        sum += kind->responses.count[i];
        if (i < ENT_BUCKETS - 1) {
            snprintf(bound, sizeof(bound), "%u", ENT_FIRST_BUCKET_MS << i);
        }
        append(text,
               "jacinthpick_response_ms_bucket{service=\"%s\",kind=\"%s\","
               "le=\"%s\"} %llu\n",
               service, name, bound, (unsigned long long)sum);
    }
    append(text,
           "jacinthpick_response_ms_sum{service=\"%s\",kind=\"%s\"} %llu\n",
           service, name, (unsigned long long)kind->responses.sum_ms);
    append(text,
           "jacinthpick_response_ms_count{service=\"%s\",kind=\"%s\"} %llu\n",
           service, name, (unsigned long long)sum);
}

size_t
Ent_PrintKinds(const struct entry *entry, char *out, size_t size)
{
    struct text text = {out, size, 0};
    const struct ent_kind_stats *kind = entry->sched.kind_index;
    for (; kind; kind = kind->hh.next) {
        print_kind(&text, kind);
    }
    return text.used;
}

static void
print_service(struct text *text, const struct entry *entry, struct now now,
              const struct ent_service *service)
{
    const struct ent_peer *agent;
    uint32_t agents = 0;
    uint32_t usable = 0;
    uint32_t ejected = 0;
    uint32_t slots = 0;
    uint32_t used = 0;
    DL_FOREACH(service->agents, agent)
    {
        agents++;
        ejected += agent->ejected;
        if (Enti_IsUsable(entry, now, agent)) {
            usable++;
            slots += agent->slots;
            used += agent->outstanding + agent->other_slots;
        }
    }
    append(text,
           "%s: %u of %u workers usable, %u ejected for failures, %u of %u "
           "slots in use, %u tasks waiting at this entry\n",
           service->name, usable, agents, ejected, used, slots,
           service->waiting);
}

size_t
Ent_PrintStatus(const struct entry *entry, struct now now, char *out,
                size_t size)
{
    struct text text = {out, size, 0};
    const struct ent_service *service = entry->service_index;
    append(&text, "%s, %s: %u jobs open, %u known\n", entry->settings.dc,
           entry->draining ? "stopping" : "serving", entry->open_jobs,
           entry->jobs.used);
    if (entry->pressure.refuse_percent) {
        append(&text, "short of processor time: %u of 100 new jobs refused\n",
               entry->pressure.refuse_percent);
    }
    for (; service; service = service->hh.next) {
        print_service(&text, entry, now, service);
    }
    return text.used;
}
