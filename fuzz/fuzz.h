/** @file
 * Entry point that each fuzz target defines for libFuzzer. */
#ifndef FUZZ_H
#define FUZZ_H

#include <stddef.h>
#include <stdint.h>

/** Process one input of `size` bytes. A sanitizer report or abort() is a
 * finding. Always returns 0. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#endif
