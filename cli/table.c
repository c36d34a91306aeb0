/* Prints JSON answers as text tables. */
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "client.h"

/* Further columns are left out. */
#define MAX_COLUMNS 32
/* Bytes for the text of a cell, including the terminating NUL. Longer text is
 * truncated. */
#define CELL_SIZE 160

static void
write_cell(const json_t *value, char *out)
{
    const char *text = json_string_value(value);
    if (text) {
        snprintf(out, CELL_SIZE, "%s", text);
    }
    else if (json_is_integer(value)) {
        snprintf(out, CELL_SIZE, "%lld", (long long)json_integer_value(value));
    }
    else if (json_is_boolean(value)) {
        snprintf(out, CELL_SIZE, "%s", json_is_true(value) ? "yes" : "no");
    }
    else if (json_is_null(value) || !value) {
        snprintf(out, CELL_SIZE, "-");
    }
    else {
        char *dump = json_dumps(value, JSON_COMPACT);
        snprintf(out, CELL_SIZE, "%s", dump ? dump : "?");
        free(dump);
    }
}

/* Lists the fields of the first object of `list`, which are the columns of the
 * table. Returns their number. */
static size_t
list_columns(const json_t *list, const char **columns)
{
    size_t count = 0;
    const char *key;
    json_t *value;
    json_object_foreach(json_array_get(list, 0), key, value)
    {
        if (count < MAX_COLUMNS) {
            columns[count++] = key;
        }
    }
    return count;
}

static size_t
get_column_width(const json_t *list, const char *column)
{
    char cell[CELL_SIZE];
    size_t width = strlen(column);
    size_t i;
    const json_t *row;
    json_array_foreach(list, i, row)
    {
        write_cell(json_object_get(row, column), cell);
        width = strlen(cell) > width ? strlen(cell) : width;
    }
    return width;
}

static void
print_rows(const json_t *list)
{
    const char *columns[MAX_COLUMNS];
    size_t widths[MAX_COLUMNS];
    char cell[CELL_SIZE];
    size_t count = list_columns(list, columns);
    for (size_t c = 0; c < count; c++) {
        widths[c] = get_column_width(list, columns[c]);
        printf("%-*s  ", (int)widths[c], columns[c]);
    }
    putchar('\n');
    size_t i;
    const json_t *row;
    json_array_foreach(list, i, row)
    {
        for (size_t c = 0; c < count; c++) {
            write_cell(json_object_get(row, columns[c]), cell);
            printf("%-*s  ", (int)widths[c], cell);
        }
        putchar('\n');
    }
}

static void
print_object(const json_t *root)
{
    char cell[CELL_SIZE];
    const char *key;
    json_t *value;
    json_object_foreach((json_t *)root, key, value)
    {
        if (json_is_array(value) && json_is_object(json_array_get(value, 0))) {
            printf("%s:\n", key);
            print_rows(value);
            continue;
        }
        write_cell(value, cell);
        printf("%s: %s\n", key, cell);
    }
}

void
Table_Print(const char *text, size_t size)
{
    json_t *root = json_loadb(text, size, 0, NULL);
    if (json_is_object(root)) {
        print_object(root);
    }
    else {
        fwrite(text, 1, size, stdout);
    }
    json_decref(root);
}
