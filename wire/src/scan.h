/** @file
 * A look at the bytes before they are unpacked. */
#ifndef SCAN_H
#define SCAN_H

#include <stddef.h>

/** Check that no array, text or byte string declares more than the bytes
 * that follow it, and that nothing of another type stands there. The library
 * would make room for what is declared. Returns -1 when one does. */
int Scan_CheckSizes(const unsigned char *data, size_t size);

#endif
