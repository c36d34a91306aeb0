/** @file
 * Memory that the operating system allows this process. */
#ifndef SHELL_SYSTEM_MEMORY_H
#define SHELL_SYSTEM_MEMORY_H

#include <stdint.h>

/** The least of the machine's memory, the process's limits on its address
 * space and data, and the limits of its control group and those above it,
 * versions 1 and 2, in bytes. `root` is put before the names of the files of
 * the control groups; "" for those of the system. What cannot be read counts
 * as no limit. */
uint64_t Sysmem_Limit(const char *root);

#endif
