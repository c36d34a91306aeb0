/** @file
 * Error passed down a call chain: the first failure fills it. */
#ifndef BASE_ERR_H
#define BASE_ERR_H

#include "base/code.h"

/** Longest error text in bytes, with its terminator. */
#define ERR_TEXT_SIZE 256

/** What went wrong. A zeroed struct means no error. */
struct err {
    enum code code;
    char text[ERR_TEXT_SIZE];
};

/** Fill `err` unless it already holds an error. Always returns -1. */
int Err_Set(struct err *err, enum code code, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
