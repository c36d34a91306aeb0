/** @file
 * Small helpers around the JSON library. */
#ifndef BASE_JSON_H
#define BASE_JSON_H

#include <jansson.h>
#include <stddef.h>

/** For a clean-up attribute. */
void Js_Free(json_t **json);

/** A value that is released at the end of its scope. */
#define AUTO_JSON __attribute__((cleanup(Js_Free))) json_t *

/** Copy a text field. Returns -1 when it is missing, of another type, or too
 * long for `size` bytes. */
int Js_CopyText(char *out, size_t size, const json_t *root, const char *field);

#endif
