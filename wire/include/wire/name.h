/** @file
 * Names of any length in the fixed size that messages and tables have. */
#ifndef WIRE_NAME_H
#define WIRE_NAME_H

#include "wire/msg.h"

/** Copy a name. One that is too long is replaced by its beginning and a digest
 * of the whole, so that different names stay different, and each name is the
 * same wherever it comes from. */
void Name_Fit(char out[WIRE_NAME_SIZE], const char *name);

#endif
