#include "scan.h"

#include <stdint.h>

/* Type bytes of MessagePack. */
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

/* Width in bytes, 1, 2, 4 or 8, of the number that follows a type byte of a
 * family whose types for growing widths are consecutive from `first`. */
static uint32_t
family_width(unsigned char type, unsigned char first)
{
    return 1u << (type - first);
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

/* Width in bytes of the number, a value or a size, that follows a type byte;
 * 0 if the type byte holds it, -1 if the type is not allowed. */
static int
number_width(unsigned char type)
{
    if (type <= POSITIVE_FIXINT_END ||
        (type >= FIXARRAY && type <= FIXSTR_END)) {
        return 0;
    }
    if (type >= BIN8 && type <= BIN32) {
        return (int)family_width(type, BIN8);
    }
    if (type >= UINT8 && type <= UINT64) {
        return (int)family_width(type, UINT8);
    }
    if (type >= STR8 && type <= STR32) {
        return (int)family_width(type, STR8);
    }
    if (type == ARRAY16 || type == ARRAY32) {
        return type == ARRAY16 ? 2 : 4;
    }
    return -1;
}

static int
is_array(unsigned char type)
{
    return (type >= FIXARRAY && type <= FIXARRAY_END) || type == ARRAY16 ||
           type == ARRAY32;
}

static int
is_number(unsigned char type)
{
    return type <= POSITIVE_FIXINT_END || (type >= UINT8 && type <= UINT64);
}

static uint64_t
embedded_size(unsigned char type)
{
    return type >= FIXSTR ? type - FIXSTR : type - FIXARRAY;
}

int
Scan_CheckSizes(const unsigned char *data, size_t size)
{
    size_t offset = 0;
    while (offset < size) {
        unsigned char type = data[offset++];
        int width = number_width(type);
        if (width < 0 || (size_t)width > size - offset) {
            return -1;
        }
        uint64_t declared =
            width ? read_number(&data[offset], (uint32_t)width) : 0;
        offset += (size_t)width;
        if (is_number(type)) {
            continue;
        }
        if (width == 0) {
            declared = embedded_size(type);
        }
        if (declared > size - offset) {
            return -1;
        }
        offset += is_array(type) ? 0 : (size_t)declared;
    }
    return 0;
}
