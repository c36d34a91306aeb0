/* The sender's fields of frame headers. */
#include <string.h>

#include "daemon.h"

void
Header_Fill(struct frame_header *head, const struct settings *settings,
            enum role role, uint64_t incarnation)
{
    memset(head, 0, sizeof(*head));
    head->from = incarnation;
    head->role = role;
    memcpy(head->node, settings->node, sizeof(head->node));
    memcpy(head->addr, settings->public_internal, sizeof(head->addr));
    memcpy(head->dc, settings->data_centre, sizeof(head->dc));
}
