/** @file
 * Addresses of the form "ip:port". */
#ifndef BASE_ADDR_H
#define BASE_ADDR_H

#include <stddef.h>

/** Split "ip:port" into a host of 1 to `size` - 1 bytes and a port from 1 to
 * 65535. Returns -1 when `addr` has another form. */
int Addr_Split(const char *addr, char *host, size_t size, int *port);

/** True if `addr` is an IPv4 address and a port, so that it can be connected
 * to without looking up a name. */
int Addr_IsNumeric(const char *addr);

#endif
