/* Replacement of the registry row of an earlier process. */
#include <string.h>

#include "core/entry.h"

int
Ent_MayReplace(const struct ent_member *row, enum role role, const char *addr)
{
    return row->role != ROLE_ENTRY || role != ROLE_ENTRY ||
           strcmp(row->addr, addr) == 0;
}
