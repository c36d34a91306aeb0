#include "scan.h"

#include <stdint.h>

/* First bytes of MessagePack's tokens. */
#define POSITIVE_FIXINT_END 0x7f
#define FIXARRAY 0x90
#define FIXARRAY_END 0x9f
#define FIXSTR 0xa0
#define FIXSTR_END 0xbf
#define BIN8 0xc4
#define BIN32 0xc6
#define UINT8 0xcc
#define UINT64 0xcf
#define STR8 0xd9
#define STR32 0xdb
#define ARRAY16 0xdc
#define ARRAY32 0xdd

/* Bytes of the token's own number: 1, 2, 4 or 8. */
static uint32_t
width_of(unsigned char token, unsigned char first)
{
    return 1u << (token - first);
}

static uint64_t
read_number(const unsigned char *data, uint32_t width)
{
    uint64_t number = 0;
    for (uint32_t i = 0; i < width; i++) {
        number = number << 8 | data[i];
    }
    return number;
}

/* Bytes of a number after its token, 0 for none, -1 for an odd token. */
static int
number_width(unsigned char token)
{
    if (token <= POSITIVE_FIXINT_END ||
        (token >= FIXARRAY && token <= FIXSTR_END)) {
        return 0;
    }
    if (token >= BIN8 && token <= BIN32) {
        return (int)width_of(token, BIN8);
    }
    if (token >= UINT8 && token <= UINT64) {
        return (int)width_of(token, UINT8);
    }
    if (token >= STR8 && token <= STR32) {
        return (int)width_of(token, STR8);
    }
    if (token == ARRAY16 || token == ARRAY32) {
        return token == ARRAY16 ? 2 : 4;
    }
    return -1;
}

static int
is_array(unsigned char token)
{
    return (token >= FIXARRAY && token <= FIXARRAY_END) || token == ARRAY16 ||
           token == ARRAY32;
}

static int
is_number(unsigned char token)
{
    return token <= POSITIVE_FIXINT_END || (token >= UINT8 && token <= UINT64);
}

static uint64_t
short_size(unsigned char token)
{
    return token >= FIXSTR ? token - FIXSTR : token - FIXARRAY;
}

int
Scan_CheckSizes(const unsigned char *data, size_t size)
{
    size_t at = 0;
    while (at < size) {
        unsigned char token = data[at++];
        int width = number_width(token);
        if (width < 0 || (size_t)width > size - at) {
            return -1;
        }
        uint64_t declared =
            width ? read_number(&data[at], (uint32_t)width) : 0;
        at += (size_t)width;
        if (is_number(token)) {
            continue;
        }
        if (width == 0) {
            declared = short_size(token);
        }
        if (declared > size - at) {
            return -1;
        }
        at += is_array(token) ? 0 : (size_t)declared;
    }
    return 0;
}
