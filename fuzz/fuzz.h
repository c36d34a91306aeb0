/** @file
 * What libFuzzer calls. */
#ifndef FUZZ_H
#define FUZZ_H

#include <stddef.h>
#include <stdint.h>

/** Handle one input; a fault ends the process. Returns 0. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#endif
