#ifndef MP_STATE_SCHEMA_H
#define MP_STATE_SCHEMA_H

#include "state/Json.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Schema - tables that map JSON objects to C structs, for the document and
 * the settings.
 *
 * The same table is used to decode and check an object and to generate its
 * documentation.  Decoding continues after an error, so that one run reports
 * all of them.
 */

enum MpFieldType {
    MP_FIELD_INTEGER, /* int64_t */
    MP_FIELD_MILLI,   /* int64_t; decimal number, stored in thousandths */
    MP_FIELD_BOOLEAN, /* bool */
    MP_FIELD_STRING,  /* char * */
    MP_FIELD_NAME,    /* char *; letters, digits, dot, dash, underscore */
    MP_FIELD_ADDRESS, /* char *; IPv4 address and port */
    MP_FIELD_HASH,    /* char *; 64 lower-case hexadecimal digits */
    MP_FIELD_CHOICE,  /* int32_t; index into choices */
    MP_FIELD_NAMES,   /* GPtrArray of char * */
    MP_FIELD_HASHES,  /* GPtrArray of char * */
    MP_FIELD_OBJECT,  /* embedded struct that schema describes */
    MP_FIELD_LIST,    /* GPtrArray of structs that schema describes */
    MP_FIELD_MAP,     /* GHashTable: name -> struct that schema describes */
    MP_FIELD_TABLE    /* GHashTable: text -> text, neither of them empty */
};

struct MpSchema;

struct MpField {
    const char *name;
    enum MpFieldType type;
    size_t offset; /* of the member in the struct */
    bool is_required;
    int64_t min;           /* smallest value, length or number of entries */
    int64_t max;           /* largest value, length or number of entries */
    int64_t default_value; /* default of a number, boolean or choice */
    const char *unit;
    const char *const *choices;    /* ends with NULL */
    const struct MpSchema *schema; /* of objects, lists and maps */
    const char *description;       /* for the documentation and the console */
};

struct MpSchema {
    const char *name;
    size_t size;                  /* of the struct */
    const struct MpField *fields; /* ends with an entry without a name */
    const char *const *retired;   /* keys that earlier builds accepted and did
                                   * not obey, ends with NULL; or NULL */
};

/* Sets the members of target to their defaults, then decodes value into them.
 * Adds a finding for each error; path is the path of value in the input.  If
 * findings is NULL, sets the defaults only and ignores value and path. */
void MpSchema_Decode(const struct MpSchema *this, struct json_object *value,
                     const char *path, void *target, GPtrArray *findings);

/* Frees the members of target that MpSchema_Decode allocated. */
void MpSchema_Free(const struct MpSchema *this, void *target);

/* Appends Markdown tables of the schema and of all nested schemas. */
void MpSchema_Describe(const struct MpSchema *this, GString *out);

/* Returns whether text is a valid name: 1 to 64 ASCII letters, digits, dots,
 * dashes or underscores. */
bool MpSchema_IsName(const char *text);

#endif
