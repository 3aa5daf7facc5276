#ifndef MP_TRANSPORT_CONSOLE_FORM_H
#define MP_TRANSPORT_CONSOLE_FORM_H

#include "state/Schema.h"

#include <glib.h>
#include <json.h>

/*
 * ConsoleForm - builds HTML forms from the schema tables of the document and
 * converts submitted forms back to JSON.
 *
 * Validation uses the same tables, so a form has exactly the fields that
 * validation accepts.
 */

/* Appends an input for each field of schema.  value is the object with their
 * initial values, or NULL; input names are PREFIX.FIELD. */
void MpConsoleForm_Write(const struct MpSchema *schema,
                         struct json_object *value, const char *prefix,
                         GString *out);

/* Returns a new object with the values of a form's fields.  An integer that
 * does not parse is kept as a string, so that validation reports it; a decimal
 * number is printed as it was entered. */
struct json_object *MpConsoleForm_Read(const struct MpSchema *schema,
                                       GHashTable *form, const char *prefix);

#endif
