#ifndef MP_STATE_JSON_SCAN_H
#define MP_STATE_JSON_SCAN_H

#include <stdbool.h>
#include <stddef.h>

/*
 * JsonScan - finds where the values of a JSON text begin and end, by its
 * bytes, without parsing them and without recursion.
 *
 * A position is an index into the text.  All functions read at most the size
 * bytes at text, which may hold anything.
 */

struct MpJsonScan {
    const char *text;
    size_t size;
};

/* Returns the position of the first byte from at on that is no whitespace. */
size_t MpJsonScan_SkipSpace(const struct MpJsonScan *this, size_t at);

/* Returns whether the byte at a position is c; false past the end. */
bool MpJsonScan_IsAt(const struct MpJsonScan *this, size_t at, char c);

/* Finds the end of the string that begins with the quote at a position.
 * Control characters and escapes are not checked.  Returns false if the text
 * ends first. */
bool MpJsonScan_String(const struct MpJsonScan *this, size_t at, size_t *end);

/* Finds the end of the value that begins at a position, whatever its depth:
 * the comma or the bracket closer behind it.  Only strings and brackets are
 * looked at.  Returns false if brackets do not match, if a string is not
 * followed by a comma, a colon or a closing bracket (then another one was not
 * finished), or if the text ends first. */
bool MpJsonScan_Element(const struct MpJsonScan *this, size_t at, char closer,
                        size_t *end);

/* Finds the end of the value that begins at a position if it has the form of
 * JSON, at most MP_JSON_DEPTH_MAX levels and at most bytes_max bytes.
 * Escapes, numbers, names and UTF-8 are not checked. */
bool MpJsonScan_Value(const struct MpJsonScan *this, size_t at,
                      size_t bytes_max, size_t *end);

#endif
