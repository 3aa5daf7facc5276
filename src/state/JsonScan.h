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

struct MpJsonVisitor;

/* What is called for the parts of a value, in the order of the text; start and
 * end are the positions of a part.  The scan ends where one returns false. */
struct MpJsonVisitorClass {
    bool (*open)(struct MpJsonVisitor *this); /* an object or a list */
    bool (*key)(struct MpJsonVisitor *this, size_t start, size_t end);
    /* A string, a number or a name. */
    bool (*scalar)(struct MpJsonVisitor *this, size_t start, size_t end);
    bool (*close)(struct MpJsonVisitor *this);
};

/* The first member of each visitor. */
struct MpJsonVisitor {
    const struct MpJsonVisitorClass *klass;
};

/* Finds the end of the value that begins at a position if it has the form of
 * JSON, at most MP_JSON_DEPTH_MAX levels and at most bytes_max bytes.
 * Escapes, numbers, names and UTF-8 are not checked. */
bool MpJsonScan_Value(const struct MpJsonScan *this, size_t at,
                      size_t bytes_max, size_t *end);

/* The same, and calls visitor for the parts of the value. */
bool MpJsonScan_Visit(const struct MpJsonScan *this, size_t at,
                      size_t bytes_max, struct MpJsonVisitor *visitor,
                      size_t *end);

/* Positions in a member of an object. */
struct MpJsonMember {
    size_t key; /* its quote; 0: no member */
    size_t value;
    size_t value_end; /* the comma or the bracket behind it */
    size_t end;       /* behind the comma, if there is one */
};

/* Finds the member of an object that begins at *at, behind the opening bracket
 * or another member, and sets *at to its end.  Returns false if there is none.
 * The text must be valid JSON (state/JsonCheck.h). */
bool MpJsonScan_NextMember(const struct MpJsonScan *this, size_t *at,
                           struct MpJsonMember *member);

/* The same for an element of a list, from *start to *end. */
bool MpJsonScan_NextElement(const struct MpJsonScan *this, size_t *at,
                            size_t *start, size_t *end);

#endif
