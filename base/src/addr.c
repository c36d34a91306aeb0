#include "base/addr.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

int
Addr_Split(const char *addr, char *host, size_t size, int *port)
{
    const char *colon = strrchr(addr, ':');
    if (!colon || colon == addr || (size_t)(colon - addr) >= size) {
        return -1;
    }
    char *end;
    long number = strtol(colon + 1, &end, 10);
    if (end == colon + 1 || *end || number < 1 || number > 65535) {
        return -1;
    }
    memcpy(host, addr, (size_t)(colon - addr));
    host[colon - addr] = '\0';
    *port = (int)number;
    return 0;
}

int
Addr_IsNumeric(const char *addr)
{
    char host[INET_ADDRSTRLEN];
    struct in_addr ip;
    int port;
    return Addr_Split(addr, host, sizeof(host), &port) == 0 &&
           inet_pton(AF_INET, host, &ip) == 1;
}
