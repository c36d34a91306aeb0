#include "base/tab.h"

#include <stdlib.h>
#include <string.h>

#define GENERATION_SHIFT 32
#define SLOT_MASK 0xffffffffu
/* Leaves the top bits of handles free. */
#define GENERATION_MASK 0x0fffffffu

static struct tab_row *
row_at(const struct tab *tab, uint32_t slot)
{
    return (struct tab_row *)(tab->rows + (size_t)slot * tab->row_size);
}

int
Tab_Init(struct tab *tab, size_t row_size, uint32_t capacity)
{
    memset(tab, 0, sizeof(*tab));
    tab->rows = calloc(capacity, row_size);
    if (!tab->rows) {
        return -1;
    }
    tab->row_size = row_size;
    tab->capacity = capacity;
    tab->free_head = UINT32_MAX;
    return 0;
}

void
Tab_Finish(struct tab *tab)
{
    free(tab->rows);
    memset(tab, 0, sizeof(*tab));
}

void *
Tab_Add(struct tab *tab)
{
    struct tab_row *row;
    if (tab->free_head != UINT32_MAX) {
        row = row_at(tab, tab->free_head);
        tab->free_head = row->next_free;
    }
    else if (tab->high_water < tab->capacity) {
        row = row_at(tab, tab->high_water++);
    }
    else {
        return NULL;
    }
    /* 0 is skipped when the generation wraps: handle 0 means no row. */
    uint32_t generation = (row->generation + 1) & GENERATION_MASK;
    memset(row, 0, tab->row_size);
    row->generation = generation ? generation : 1;
    row->in_use = 1;
    tab->used++;
    return row;
}

static uint32_t
slot_index(const struct tab *tab, const void *row)
{
    return (uint32_t)((size_t)((const unsigned char *)row - tab->rows) /
                      tab->row_size);
}

void
Tab_Remove(struct tab *tab, void *row)
{
    struct tab_row *head = row;
    head->in_use = 0;
    head->next_free = tab->free_head;
    tab->free_head = slot_index(tab, row);
    tab->used--;
}

tab_handle
Tab_Handle(const struct tab *tab, const void *row)
{
    const struct tab_row *head = row;
    return ((uint64_t)head->generation << GENERATION_SHIFT) |
           slot_index(tab, row);
}

void *
Tab_Get(const struct tab *tab, tab_handle handle)
{
    uint32_t slot = (uint32_t)(handle & SLOT_MASK);
    if (slot >= tab->high_water) {
        return NULL;
    }
    struct tab_row *row = row_at(tab, slot);
    if (!row->in_use || row->generation != handle >> GENERATION_SHIFT) {
        return NULL;
    }
    return row;
}

void *
Tab_Next(const struct tab *tab, uint32_t *slot)
{
    while (*slot < tab->high_water) {
        struct tab_row *row = row_at(tab, (*slot)++);
        if (row->in_use) {
            return row;
        }
    }
    return NULL;
}
