/** @file
 * Helpers for the JSON library, jansson. */
#ifndef BASE_JSON_H
#define BASE_JSON_H

#include <jansson.h>
#include <stddef.h>

/** Release a reference to `*json`, which may be NULL. Used by AUTO_JSON. */
void Js_Free(json_t **json);

/** Declares a json_t pointer whose reference is released at the end of its
 * scope. It must be initialised. */
#define AUTO_JSON __attribute__((cleanup(Js_Free))) json_t *

/** Copy the string member `field` of the object `root` to `out`. Returns -1 if
 * it is missing, not a string, or longer than `size` - 1 bytes. */
int Js_CopyText(char *out, size_t size, const json_t *root, const char *field);

/** True if `json` is nested by more than `limit` levels of arrays and
 * objects. */
int Js_IsDeeper(const json_t *json, unsigned limit);

#endif
