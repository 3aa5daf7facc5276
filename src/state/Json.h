#ifndef MP_STATE_JSON_H
#define MP_STATE_JSON_H

#include <glib.h>
#include <json.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Json - strict reading of JSON with comments, and the list of findings.
 *
 * Line comments and block comments are allowed; everything else follows the
 * standard: no key twice in one object, no trailing comma, UTF-8 only.
 */

#define MP_JSON_DEPTH_MAX 16

enum MpFindingKind {
    MP_FINDING_SYNTAX,
    MP_FINDING_DUPLICATE,
    MP_FINDING_UNKNOWN,
    MP_FINDING_MISSING,
    MP_FINDING_TYPE,
    MP_FINDING_RANGE,
    MP_FINDING_VALUE,
    MP_FINDING_REFERENCE
};

/* One fault of an input, with its place. */
struct MpFinding {
    enum MpFindingKind kind;
    int line;   /* from 1; 0 when only the path is known */
    char *path; /* as in workspaces.atelier.rate_per_s */
    char *text;
};

/* Returns an empty list that frees its findings. */
GPtrArray *MpFindings_New(void);

/* Adds a finding; format as in printf. */
void MpFindings_Add(GPtrArray *this, enum MpFindingKind kind, int line,
                    const char *path, const char *format, ...)
    G_GNUC_PRINTF(5, 6);

/* Returns the findings as lines of text, each with the prefix source. */
char *MpFindings_Format(const GPtrArray *this, const char *source);

/* Returns the name of a kind, as in "duplicate_key". */
const char *MpFinding_KindName(enum MpFindingKind kind);

/* Parses text.  Returns the value, to be released by json_object_put, or
 * NULL with at least one finding.  Keys that stand twice are findings too. */
struct json_object *MpJson_Parse(const char *text, size_t size,
                                 GPtrArray *findings);

/* Returns a whole number that is a member of object, or 0. */
int64_t MpJson_GetInteger(struct json_object *object, const char *name);

#endif
