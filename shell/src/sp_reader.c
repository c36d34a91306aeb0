#include "shell/sp_reader.h"

#include <stdlib.h>
#include <string.h>

#define MIN_ROOM 512u

static const unsigned char push_header[SP_HEADER_SIZE] = {0, 'S',  'P', 0,
                                                          0, 0x50, 0,   0};
const unsigned char sp_pull_header[SP_HEADER_SIZE] = {0, 'S',  'P', 0,
                                                      0, 0x51, 0,   0};

void
Sp_Init(struct sp_reader *reader, size_t max_size)
{
    memset(reader, 0, sizeof(*reader));
    reader->max_size = max_size;
}

void
Sp_Finish(struct sp_reader *reader)
{
    free(reader->buffer);
    reader->buffer = NULL;
    reader->used = 0;
    reader->room = 0;
}

/* An idle connection does not keep the buffer of its largest message. */
void
Sp_DropMessage(struct sp_reader *reader)
{
    reader->is_complete = 0;
    Sp_Finish(reader);
}

static uint64_t
read_big_endian(const unsigned char *bytes)
{
    uint64_t number = 0;
    for (int i = 0; i < 8; i++) {
        number = number << 8 | bytes[i];
    }
    return number;
}

static enum sp_state
end_head(struct sp_reader *reader)
{
    if (reader->state == SP_HEADER) {
        return memcmp(reader->head, push_header, SP_HEADER_SIZE) == 0
                   ? SP_LENGTH
                   : SP_INVALID;
    }
    uint64_t size = read_big_endian(reader->head);
    if (size > reader->max_size) {
        return SP_INVALID;
    }
    reader->size = (size_t)size;
    return SP_MESSAGE;
}

static size_t
read_head(struct sp_reader *reader, const unsigned char *data, size_t size)
{
    size_t missing = sizeof(reader->head) - reader->head_size;
    size_t used = size < missing ? size : missing;
    memcpy(reader->head + reader->head_size, data, used);
    reader->head_size += used;
    if (reader->head_size == sizeof(reader->head)) {
        reader->head_size = 0;
        reader->state = end_head(reader);
    }
    return used;
}

static int
grow(struct sp_reader *reader, size_t size)
{
    size_t room = reader->room ? reader->room : MIN_ROOM;
    while (room < size) {
        room *= 2;
    }
    room = room < reader->size ? room : reader->size;
    unsigned char *buffer = realloc(reader->buffer, room);
    if (!buffer) {
        return -1;
    }
    reader->buffer = buffer;
    reader->room = room;
    return 0;
}

static void
end_message(struct sp_reader *reader, const unsigned char *message)
{
    reader->is_complete = 1;
    reader->message = message;
    reader->message_size = reader->size;
    reader->state = SP_LENGTH;
}

/* A message that has arrived at once is not copied. */
static size_t
read_message(struct sp_reader *reader, const unsigned char *data, size_t size)
{
    size_t missing = reader->size - reader->used;
    if (reader->used == 0 && size >= missing) {
        end_message(reader, data);
        return missing;
    }
    size_t used = size < missing ? size : missing;
    if (reader->used + used > reader->room &&
        grow(reader, reader->used + used)) {
        reader->state = SP_INVALID;
        return used;
    }
    memcpy(reader->buffer + reader->used, data, used);
    reader->used += used;
    if (reader->used == reader->size) {
        end_message(reader, reader->buffer);
    }
    return used;
}

size_t
Sp_Read(struct sp_reader *reader, const void *data, size_t size)
{
    const unsigned char *p = data;
    size_t used = 0;
    while (!reader->is_complete && reader->state != SP_INVALID) {
        if (reader->state == SP_MESSAGE) {
            if (used == size && reader->used < reader->size) {
                break;
            }
            used += read_message(reader, p + used, size - used);
        }
        else if (used == size) {
            break;
        }
        else {
            used += read_head(reader, p + used, size - used);
        }
    }
    return used;
}
