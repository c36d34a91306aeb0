#include "shell/http_request.h"

#include <http_parser.h>
#include <stdlib.h>

static struct hq_reader *
reader_of(const http_parser *parser)
{
    return parser->data;
}

static int
on_begin(http_parser *parser)
{
    struct hq_reader *reader = reader_of(parser);
    return reader->events->begin(reader->context);
}

static int
on_url(http_parser *parser, const char *data, size_t size)
{
    struct hq_reader *reader = reader_of(parser);
    return reader->events->url(reader->context, data, size);
}

static int
on_field(http_parser *parser, const char *data, size_t size)
{
    struct hq_reader *reader = reader_of(parser);
    return reader->events->field(reader->context, data, size);
}

static int
on_value(http_parser *parser, const char *data, size_t size)
{
    struct hq_reader *reader = reader_of(parser);
    return reader->events->value(reader->context, data, size);
}

static int
on_head(http_parser *parser)
{
    struct hq_reader *reader = reader_of(parser);
    const char *method = http_method_str((enum http_method)parser->method);
    int status =
        reader->events->head(reader->context, method, parser->content_length);
    /* A result of 1 or 2 has another meaning to the parser. */
    return status ? -1 : 0;
}

static int
on_body(http_parser *parser, const char *data, size_t size)
{
    struct hq_reader *reader = reader_of(parser);
    return reader->events->body(reader->context, data, size);
}

static int
on_complete(http_parser *parser)
{
    struct hq_reader *reader = reader_of(parser);
    int is_last = !http_should_keep_alive(parser) || parser->upgrade;
    http_parser_pause(parser, 1);
    return reader->events->complete(reader->context, is_last);
}

static const http_parser_settings settings = {
    .on_message_begin = on_begin,
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

int
Hq_Init(struct hq_reader *reader, const struct hq_events *events,
        void *context)
{
    reader->parser = malloc(sizeof(*reader->parser));
    if (!reader->parser) {
        return -1;
    }
    http_parser_init(reader->parser, HTTP_REQUEST);
    http_parser_set_max_header_size(HQ_MAX_HEAD);
    reader->parser->data = reader;
    reader->events = events;
    reader->context = context;
    reader->is_invalid = 0;
    return 0;
}

void
Hq_Finish(struct hq_reader *reader)
{
    free(reader->parser);
    reader->parser = NULL;
}

size_t
Hq_Read(struct hq_reader *reader, const void *data, size_t size)
{
    size_t used = http_parser_execute(reader->parser, &settings, data, size);
    enum http_errno error = HTTP_PARSER_ERRNO(reader->parser);
    reader->is_invalid = error != HPE_OK && error != HPE_PAUSED;
    return used;
}

void
Hq_Resume(struct hq_reader *reader)
{
    http_parser_pause(reader->parser, 0);
}

const char *
Hq_StatusText(int status)
{
    return http_status_str((enum http_status)status);
}
