#ifndef MP_STATE_JSON_CHECK_H
#define MP_STATE_JSON_CHECK_H

#include "state/JsonScan.h"

#include <json.h>
#include <stdbool.h>
#include <stddef.h>

/*
 * JsonCheck - checks and reads JSON text without building a tree, which may
 * take a hundred times the size of its text.
 *
 * It refuses more than MpJson_Parse() of state/Json.h: control characters in
 * strings, NaN and Infinity, and numbers such as -.5, 1. and -01.  A check
 * takes up to 4 times the size of the text, for the keys of the objects that
 * are open.
 */

/* Returns whether the text is one value of standard JSON: UTF-8, no comments,
 * no duplicate keys in an object, at most MP_JSON_DEPTH_MAX levels. */
bool MpJsonCheck_IsValid(const struct MpJsonScan *scan);

/* Returns whether the key that begins with the quote at a position is name. */
bool MpJsonCheck_IsKey(const struct MpJsonScan *scan, size_t at,
                       const char *name);

/* Returns the scalar at a position of a valid text, to be released by
 * json_object_put, or NULL if there is null, an object or a list. */
struct json_object *MpJsonCheck_ReadScalar(const struct MpJsonScan *scan,
                                           size_t at);

#endif
