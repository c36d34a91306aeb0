/** @file
 * Texts as bodies of calls. */
#ifndef TESTS_TEXT_H
#define TESTS_TEXT_H

#include <string.h>

#include "wire/msg.h"

/** The bytes of a text without its terminator. */
static inline struct bytes
text(const char *data)
{
    return (struct bytes){data, (uint32_t)strlen(data)};
}

#endif
