#include "shell/http_reply.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Limits of the head, with the sizes of chunks and the trailer, and of the
 * body, in bytes. */
#define MAX_HEAD (64u << 10)
#define MAX_BODY (16u << 20)
#define MIN_BODY_ROOM 256u

void
Hr_Init(struct hr_reader *reader)
{
    memset(reader, 0, sizeof(*reader));
    reader->state = HR_STATUS_LINE;
}

void
Hr_Finish(struct hr_reader *reader)
{
    free(reader->body);
    reader->body = NULL;
}

static int
append_body(struct hr_reader *reader, const unsigned char *data, size_t size)
{
    if (size > MAX_BODY - reader->body_size) {
        return -1;
    }
    if (size > reader->body_room - reader->body_size) {
        uint32_t room = reader->body_room ? reader->body_room : MIN_BODY_ROOM;
        while (room - reader->body_size < size) {
            room *= 2;
        }
        unsigned char *body = realloc(reader->body, room);
        if (!body) {
            return -1;
        }
        reader->body = body;
        reader->body_room = room;
    }
    if (size) {
        memcpy(reader->body + reader->body_size, data, size);
    }
    reader->body_size += (uint32_t)size;
    return 0;
}

/* Parses a number of at most 15 digits at the start of `text`; returns the
 * text behind it, or NULL if there is none. */
static const char *
parse_number(uint64_t *number, const char *text, int base)
{
    int digits = 0;
    *number = 0;
    for (; isxdigit((unsigned char)*text); text++, digits++) {
        int c = tolower((unsigned char)*text);
        int digit = c <= '9' ? c - '0' : c - 'a' + 10;
        if (digit >= base || digits == 15) {
            return NULL;
        }
        *number = *number * (uint64_t)base + (uint64_t)digit;
    }
    return digits ? text : NULL;
}

static const char *
skip_space(const char *text)
{
    return text + strspn(text, " \t");
}

/* Value of the header `name` if the line has it, else NULL. */
static const char *
header_value(const char *line, const char *name)
{
    size_t size = strlen(name);
    if (strncasecmp(line, name, size) != 0 || line[size] != ':') {
        return NULL;
    }
    return skip_space(line + size + 1);
}

static int
is_word(const char *value, const char *word)
{
    size_t size = strlen(word);
    return strncasecmp(value, word, size) == 0 &&
           *skip_space(value + size) == '\0';
}

static enum hr_state
read_status_line(struct hr_reader *reader)
{
    const char *line = reader->line;
    uint64_t status;
    const char *rest;
    if (strncmp(line, "HTTP/1.", 7) != 0 || !isdigit((unsigned char)line[7]) ||
        line[8] != ' ') {
        return HR_INVALID;
    }
    rest = parse_number(&status, line + 9, 10);
    if (rest != line + 12 || status < 100 || status == 101) {
        return HR_INVALID;
    }
    reader->status = (int)status;
    reader->is_persistent = line[7] != '0';
    return HR_HEADER;
}

static enum hr_state
read_length(struct hr_reader *reader, const char *value)
{
    uint64_t length;
    const char *rest = parse_number(&length, value, 10);
    if (!rest || *skip_space(rest) || length > MAX_BODY ||
        (reader->has_length && length != reader->left)) {
        return HR_INVALID;
    }
    reader->has_length = 1;
    reader->left = length;
    return HR_HEADER;
}

static enum hr_state
begin_body(struct hr_reader *reader)
{
    if (reader->status < 200) {
        Hr_Init(reader);
        return HR_STATUS_LINE;
    }
    if (reader->status == 204 || reader->status == 304) {
        return HR_COMPLETE;
    }
    if (reader->is_chunked) {
        return HR_CHUNK_SIZE;
    }
    if (reader->has_length) {
        return reader->left ? HR_BODY : HR_COMPLETE;
    }
    reader->is_persistent = 0;
    return HR_BODY_TO_CLOSE;
}

static enum hr_state
read_header(struct hr_reader *reader)
{
    const char *value;
    if (reader->line_size == 0) {
        return begin_body(reader);
    }
    if ((value = header_value(reader->line, "content-length"))) {
        return read_length(reader, value);
    }
    if ((value = header_value(reader->line, "transfer-encoding"))) {
        reader->is_chunked = is_word(value, "chunked");
        return reader->is_chunked ? HR_HEADER : HR_INVALID;
    }
    if ((value = header_value(reader->line, "connection")) &&
        is_word(value, "close")) {
        reader->is_persistent = 0;
    }
    return HR_HEADER;
}

static enum hr_state
read_chunk_size(struct hr_reader *reader)
{
    const char *rest = parse_number(&reader->left, reader->line, 16);
    rest = rest ? skip_space(rest) : NULL;
    if (!rest || (*rest && *rest != ';')) {
        return HR_INVALID;
    }
    return reader->left ? HR_CHUNK : HR_TRAILER;
}

static enum hr_state
read_line(struct hr_reader *reader)
{
    switch (reader->state) {
    case HR_STATUS_LINE:
        return read_status_line(reader);
    case HR_HEADER:
        return read_header(reader);
    case HR_CHUNK_SIZE:
        return read_chunk_size(reader);
    case HR_CHUNK_END:
        return reader->line_size ? HR_INVALID : HR_CHUNK_SIZE;
    case HR_TRAILER:
        return reader->line_size ? HR_TRAILER : HR_COMPLETE;
    default:
        return HR_INVALID;
    }
}

/* Reads up to the end of a line; returns the number of bytes used. */
static size_t
read_line_bytes(struct hr_reader *reader, const unsigned char *data,
                size_t size)
{
    const unsigned char *end = memchr(data, '\n', size);
    size_t used = end ? (size_t)(end - data) + 1 : size;
    size_t text = end ? used - 1 : used;
    size_t room = sizeof(reader->line) - 1 - reader->line_size;
    if (used > MAX_HEAD - reader->head_size) {
        reader->state = HR_INVALID;
        return used;
    }
    reader->head_size += (uint32_t)used;
    if (text > room) {
        text = room;
    }
    memcpy(reader->line + reader->line_size, data, text);
    reader->line_size += (uint32_t)text;
    if (end) {
        if (reader->line_size && reader->line[reader->line_size - 1] == '\r') {
            reader->line_size--;
        }
        reader->line[reader->line_size] = '\0';
        reader->state = read_line(reader);
        reader->line_size = 0;
    }
    return used;
}

/* Reads a part of the body; returns the number of bytes used. */
static size_t
read_body_bytes(struct hr_reader *reader, const unsigned char *data,
                size_t size)
{
    if (reader->state != HR_BODY_TO_CLOSE && size > reader->left) {
        size = (size_t)reader->left;
    }
    if (append_body(reader, data, size)) {
        reader->state = HR_INVALID;
        return size;
    }
    if (reader->state != HR_BODY_TO_CLOSE) {
        reader->left -= size;
        if (reader->left == 0) {
            reader->state =
                reader->state == HR_BODY ? HR_COMPLETE : HR_CHUNK_END;
        }
    }
    return size;
}

size_t
Hr_Read(struct hr_reader *reader, const void *data, size_t size)
{
    const unsigned char *p = data;
    size_t used = 0;
    while (used < size && reader->state != HR_COMPLETE &&
           reader->state != HR_INVALID) {
        int is_body = reader->state == HR_BODY ||
                      reader->state == HR_BODY_TO_CLOSE ||
                      reader->state == HR_CHUNK;
        used += is_body ? read_body_bytes(reader, p + used, size - used)
                        : read_line_bytes(reader, p + used, size - used);
    }
    return used;
}

int
Hr_OnClose(struct hr_reader *reader)
{
    if (reader->state == HR_BODY_TO_CLOSE) {
        reader->state = HR_COMPLETE;
    }
    return reader->state == HR_COMPLETE ? 0 : -1;
}
