/* Fuzzes the reader of messages between our processes. Messages that are read
 * byte by byte must be the same as those that are read at once, and a buffer
 * must not grow ahead of what has been read. */
#include <stdlib.h>
#include <string.h>

#include "fuzz.h"
#include "shell/sp_reader.h"

#define MAX_MESSAGE 4096u
#define MAX_TEXT (1u << 16)

/* The messages that a reader has found, each behind its length. */
struct report {
    unsigned char text[MAX_TEXT];
    size_t size;
    int is_invalid;
};

static void
add(struct report *report, const struct sp_reader *reader)
{
    size_t size = reader->message_size;
    if (report->size + size + sizeof(size) > MAX_TEXT) {
        return;
    }
    memcpy(report->text + report->size, &size, sizeof(size));
    report->size += sizeof(size);
    memcpy(report->text + report->size, reader->message, size);
    report->size += size;
}

static void
read_pieces(struct report *report, const unsigned char *data, size_t size,
            size_t piece)
{
    struct sp_reader reader;
    memset(report, 0, sizeof(*report));
    Sp_Init(&reader, MAX_MESSAGE);
    for (size_t used = 0; used < size && reader.state != SP_INVALID;) {
        size_t left = size - used < piece ? size - used : piece;
        size_t got = Sp_Read(&reader, data + used, left);
        if (got > left || (got < left && !reader.is_complete &&
                           reader.state != SP_INVALID)) {
            abort();
        }
        if (reader.room > 2 * (reader.used + 512)) {
            abort();
        }
        used += got;
        if (reader.is_complete) {
            add(report, &reader);
            Sp_DropMessage(&reader);
        }
    }
    report->is_invalid = reader.state == SP_INVALID;
    Sp_Finish(&reader);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static struct report whole;
    static struct report bytes;
    read_pieces(&whole, data, size, size);
    read_pieces(&bytes, data, size, 1);
    if (whole.size != bytes.size || whole.is_invalid != bytes.is_invalid ||
        memcmp(whole.text, bytes.text, whole.size) != 0) {
        abort();
    }
    return 0;
}
