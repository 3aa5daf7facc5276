#ifndef MP_STATE_JSON_H
#define MP_STATE_JSON_H

#include <glib.h>
#include <json.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Json - strict parser of JSON with comments, and lists of findings (errors
 * in the input).
 *
 * Line comments (//) and block comments are allowed.  Otherwise the text must
 * be standard JSON: no duplicate keys in an object, no trailing commas, UTF-8
 * only.
 */

#define MP_JSON_DEPTH_MAX 16

enum MpFindingKind {
    MP_FINDING_SYNTAX,
    MP_FINDING_DUPLICATE,
    MP_FINDING_UNKNOWN,
    MP_FINDING_RETIRED, /* accepted by earlier builds */
    MP_FINDING_MISSING,
    MP_FINDING_TYPE,
    MP_FINDING_RANGE,
    MP_FINDING_VALUE,
    MP_FINDING_REFERENCE
};

/* One error in an input and its location. */
struct MpFinding {
    enum MpFindingKind kind;
    int line;   /* from 1; 0 if unknown */
    char *path; /* e.g. workspaces.atelier.rate_per_s; "": none */
    char *text;
};

/* Returns an empty list that owns its findings (struct MpFinding). */
GPtrArray *MpFindings_New(void);

/* Removes the findings of kind MP_FINDING_RETIRED. */
void MpFindings_DropRetired(GPtrArray *this);

/* Adds a finding; format is that of printf. */
void MpFindings_Add(GPtrArray *this, enum MpFindingKind kind, int line,
                    const char *path, const char *format, ...)
    G_GNUC_PRINTF(5, 6);

/* Returns the findings as lines of text that start with source; free it with
 * g_free. */
char *MpFindings_Format(const GPtrArray *this, const char *source);

/* Returns the name of a kind, e.g. "duplicate_key". */
const char *MpFinding_KindName(enum MpFindingKind kind);

/* Parses text.  Returns the value, to be released by json_object_put, or NULL
 * and adds at least one finding.  Adds a finding for each duplicate key too,
 * up to the first 100, and returns the value nevertheless. */
struct json_object *MpJson_Parse(const char *text, size_t size,
                                 GPtrArray *findings);

/* Replaces comments with blanks; all positions stay the same.  The text need
 * not be valid. */
void MpJson_BlankComments(char *text, size_t size);

/* Returns the integer member name of object, or 0 if there is none. */
int64_t MpJson_GetInteger(struct json_object *object, const char *name);

#endif
