#ifndef MP_STATE_SCHEMA_H
#define MP_STATE_SCHEMA_H

#include "state/Json.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Schema - tables that describe objects of the document and the settings.
 *
 * One table decodes an object into a struct, checks it, and describes it for
 * the documentation.  Decoding goes on after a fault, so that one run shows
 * all of them.
 */

enum MpFieldType {
    MP_FIELD_INTEGER, /* int64_t */
    MP_FIELD_MILLI,   /* int64_t; a decimal number, in thousandths */
    MP_FIELD_BOOLEAN, /* bool */
    MP_FIELD_STRING,  /* char * */
    MP_FIELD_NAME,    /* char *; letters, digits, dot, dash, underscore */
    MP_FIELD_ADDRESS, /* char *; IP number and port */
    MP_FIELD_HASH,    /* char *; 64 lower-case hexadecimal digits */
    MP_FIELD_CHOICE,  /* int32_t; index into choices */
    MP_FIELD_NAMES,   /* GPtrArray of char * */
    MP_FIELD_HASHES,  /* GPtrArray of char * */
    MP_FIELD_OBJECT,  /* embedded struct of schema */
    MP_FIELD_LIST,    /* GPtrArray of structs of schema */
    MP_FIELD_MAP      /* GHashTable name -> struct of schema */
};

struct MpSchema;

struct MpField {
    const char *name;
    enum MpFieldType type;
    size_t offset;
    bool is_required;
    int64_t min; /* smallest integer, or shortest length */
    int64_t max; /* largest integer, longest length, or largest count */
    int64_t default_value; /* value of an absent integer, boolean or choice */
    const char *unit;
    const char *const *choices; /* ends with NULL */
    const struct MpSchema *schema;
    const char *description; /* one sentence for the documentation */
};

struct MpSchema {
    const char *name;
    size_t size;
    const struct MpField *fields; /* ends with a row without a name */
};

/* Decodes value into target, which is cleared first.  Adds a finding for
 * each fault. */
void MpSchema_Decode(const struct MpSchema *this, struct json_object *value,
                     const char *path, void *target, GPtrArray *findings);

/* Frees what decoding allocated inside target. */
void MpSchema_Free(const struct MpSchema *this, void *target);

/* Appends a Markdown table of the schema and of those inside it. */
void MpSchema_Describe(const struct MpSchema *this, GString *out);

/* Returns whether text is a name: 1 to 64 letters, digits, dots, dashes or
 * underscores. */
bool MpSchema_IsName(const char *text);

#endif
