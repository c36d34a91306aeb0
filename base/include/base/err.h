/** @file
 * Error reporting: a callee that fails describes the failure in a struct err
 * of its caller. The first error set is kept. */
#ifndef BASE_ERR_H
#define BASE_ERR_H

#include "base/code.h"

/** Size of an error text in bytes, including its terminator; longer texts are
 * truncated. */
#define ERR_TEXT_SIZE 256

/** Description of a failure. A zeroed struct means no error. */
struct err {
    enum code code;
    char text[ERR_TEXT_SIZE];
};

/** Set the code and the formatted text of `err`, unless it is NULL or already
 * holds an error. Always returns -1, so that callers can return its result. */
int Err_Set(struct err *err, enum code code, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
