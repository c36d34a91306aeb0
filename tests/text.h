/** @file
 * Strings as the bodies of requests. */
#ifndef TESTS_TEXT_H
#define TESTS_TEXT_H

#include <string.h>

#include "wire/msg.h"

/** The bytes of a string without its terminating NUL. They are not copied. */
static inline struct bytes
text(const char *data)
{
    return (struct bytes){data, (uint32_t)strlen(data)};
}

#endif
