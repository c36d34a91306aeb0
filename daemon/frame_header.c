/* The sender's fields of frame headers. */
#include <string.h>

#include "daemon.h"

void
Header_Fill(struct frame_header *header, const struct settings *settings,
            enum role role, uint64_t incarnation)
{
    memset(header, 0, sizeof(*header));
    header->from = incarnation;
    header->role = role;
    memcpy(header->node, settings->node, sizeof(header->node));
    memcpy(header->addr, settings->public_internal, sizeof(header->addr));
    memcpy(header->dc, settings->data_centre, sizeof(header->dc));
}
