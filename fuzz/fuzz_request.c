/* Fuzzes the reader of HTTP requests. Requests that are read byte by byte must
 * give the same as those that are read at once, and the reader must stop at
 * the end of each. */
#include <stdlib.h>
#include <string.h>

#include "fuzz.h"
#include "shell/http_request.h"

#define MAX_TEXT 16384

/* What a reader has reported, with a letter for each event. Parts of one text
 * count as one event. */
struct report {
    char text[MAX_TEXT];
    size_t size;
    char latest;
    int is_complete;
};

static int
add(struct report *report, char event, const char *data, size_t size)
{
    if (report->size + size + 2 > MAX_TEXT) {
        return -1;
    }
    if (report->latest != event) {
        report->text[report->size++] = event;
        report->latest = event;
    }
    memcpy(report->text + report->size, data, size);
    report->size += size;
    return 0;
}

static int
on_begin(void *context)
{
    return add(context, 'b', "", 0);
}

static int
on_url(void *context, const char *data, size_t size)
{
    return add(context, 'u', data, size);
}

static int
on_field(void *context, const char *data, size_t size)
{
    return add(context, 'f', data, size);
}

static int
on_value(void *context, const char *data, size_t size)
{
    return add(context, 'v', data, size);
}

static int
on_head(void *context, const char *method, uint64_t length)
{
    char text[8];
    memcpy(text, &length, sizeof(text));
    return add(context, 'h', method, strlen(method)) ||
           add(context, 'l', text, sizeof(text));
}

static int
on_body(void *context, const char *data, size_t size)
{
    return add(context, 'd', data, size);
}

static int
on_complete(void *context, int is_last)
{
    struct report *report = context;
    report->is_complete = 1;
    return add(context, is_last ? 'z' : 'c', "", 0);
}

static const struct hq_events events = {
    on_begin, on_url, on_field, on_value, on_head, on_body, on_complete,
};

/* Reads up to `step` bytes at a time. Returns the number of bytes used. */
static size_t
read_all(struct hq_reader *reader, struct report *report, const uint8_t *data,
         size_t size, size_t step)
{
    size_t used = 0;
    while (used < size && !reader->is_invalid) {
        size_t part = size - used < step ? size - used : step;
        size_t got = Hq_Read(reader, data + used, part);
        used += got;
        if (report->is_complete) {
            report->is_complete = 0;
            Hq_Resume(reader);
        }
        else if (got != part && !reader->is_invalid) {
            abort();
        }
    }
    return used;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static struct report reports[2];
    struct hq_reader readers[2];
    size_t steps[2] = {size ? size : 1, 1};
    memset(reports, 0, sizeof(reports));
    for (int i = 0; i < 2; i++) {
        if (Hq_Init(&readers[i], &events, &reports[i])) {
            abort();
        }
        read_all(&readers[i], &reports[i], data, size, steps[i]);
    }
    if (readers[0].is_invalid != readers[1].is_invalid ||
        (!readers[0].is_invalid &&
         (reports[0].size != reports[1].size ||
          memcmp(reports[0].text, reports[1].text, reports[0].size) != 0))) {
        abort();
    }
    Hq_Finish(&readers[0]);
    Hq_Finish(&readers[1]);
    return 0;
}
