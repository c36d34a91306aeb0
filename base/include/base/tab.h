/** @file
 * Tables of bounded size, addressed by small handles.
 *
 * A handle names a slot and the slot's generation, so that a handle kept
 * past the end of its row finds nothing instead of another row. */
#ifndef BASE_TAB_H
#define BASE_TAB_H

#include <stddef.h>
#include <stdint.h>

/** Handle of a row; 0 is no row. */
typedef uint64_t tab_handle;

/** A table of equal rows; the first member of a row is a struct tab_row. */
struct tab {
    unsigned char *rows;
    size_t row_size;
    uint32_t capacity;
    uint32_t used;
    uint32_t free_head;
    uint32_t high_water;
};

/** Head of each row. */
struct tab_row {
    uint32_t next_free;
    uint32_t generation;
    uint32_t in_use;
};

/** Make room for `capacity` rows. Returns -1 for lack of
 * memory. */
int Tab_Init(struct tab *tab, size_t row_size, uint32_t capacity);

/** Free the rows. */
void Tab_Finish(struct tab *tab);

/** Take a zeroed row, NULL when the table is full. */
void *Tab_Add(struct tab *tab);

/** Give a row back. */
void Tab_Remove(struct tab *tab, void *row);

/** Handle of a row in use. */
tab_handle Tab_Handle(const struct tab *tab, const void *row);

/** Row of a handle, NULL when it is gone. */
void *Tab_Get(const struct tab *tab, tab_handle handle);

/** First row in use at or after slot `*slot`, NULL at the end; `*slot` is
 * moved past it. Rows may be removed while walking. */
void *Tab_Next(const struct tab *tab, uint32_t *slot);

#endif
