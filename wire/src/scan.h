/** @file
 * Validation of MessagePack data before it is unpacked. */
#ifndef SCAN_H
#define SCAN_H

#include <stddef.h>

/** Check that the data consists of unsigned integers, arrays, strings and byte
 * strings only, and that none of them declares a size beyond the bytes that
 * follow it. The MessagePack library allocates memory for the declared size,
 * so a short frame could otherwise make it allocate far more than its own
 * size. Returns -1 if the data is invalid. */
int Scan_CheckSizes(const unsigned char *data, size_t size);

#endif
