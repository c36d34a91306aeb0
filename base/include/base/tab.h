/** @file
 * Tables of fixed capacity whose rows are referred to by handles.
 *
 * A handle holds the index of a slot and the slot's generation, which changes
 * each time that the slot is reused. A stale handle is thus detected instead
 * of referring to another row. The top 4 bits of a handle are 0, for flags
 * that callers add. */
#ifndef BASE_TAB_H
#define BASE_TAB_H

#include <stddef.h>
#include <stdint.h>

/** Handle of a row; 0 refers to no row. */
typedef uint64_t tab_handle;

/** A table of rows of one type, whose first member is a struct tab_row. */
struct tab {
    unsigned char *rows; /**< Owned. */
    size_t row_size;     /**< In bytes. */
    uint32_t capacity;   /**< In rows. */
    uint32_t used;       /**< Rows in use. */
    uint32_t free_head;  /**< First freed slot, UINT32_MAX for none. */
    uint32_t high_water; /**< Slots from this one on were never used. */
};

/** Bookkeeping at the start of each row, private to the table. */
struct tab_row {
    uint32_t next_free; /**< Next freed slot, UINT32_MAX for none. */
    uint32_t generation;
    uint32_t in_use;
};

/** Initialise a table and allocate `capacity` rows of `row_size` bytes.
 * Returns -1 if there is not enough memory. */
int Tab_Init(struct tab *tab, size_t row_size, uint32_t capacity);

/** Free the rows and zero the table. */
void Tab_Finish(struct tab *tab);

/** Allocate a row, zeroed except for its struct tab_row. Returns NULL if the
 * table is full. */
void *Tab_Add(struct tab *tab);

/** Free a row in use. Its handle becomes stale. */
void Tab_Remove(struct tab *tab, void *row);

/** Return the handle of a row in use. */
tab_handle Tab_Handle(const struct tab *tab, const void *row);

/** Return the row of a handle, NULL if it has been removed. */
void *Tab_Get(const struct tab *tab, tab_handle handle);

/** Iterate over the rows in use: return the first one at or after `*slot`,
 * which starts at 0, and advance `*slot` past it; NULL at the end. Rows may be
 * removed during the iteration. */
void *Tab_Next(const struct tab *tab, uint32_t *slot);

#endif
