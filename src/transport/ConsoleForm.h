#ifndef MP_TRANSPORT_CONSOLE_FORM_H
#define MP_TRANSPORT_CONSOLE_FORM_H

#include "state/Schema.h"

#include <glib.h>
#include <json.h>

/*
 * ConsoleForm - forms made from the tables that describe the document, and
 * back: what the console offers is what the validation knows.
 */

/* Appends the inputs of schema; value is the object that they start from, or
 * NULL; prefix stands before the names of the inputs. */
void MpConsoleForm_Write(const struct MpSchema *schema,
                         struct json_object *value, const char *prefix,
                         GString *out);

/* Returns the object that the fields of a form describe.  What cannot be
 * read as the type of its field stays a string, for the validation to name. */
struct json_object *MpConsoleForm_Read(const struct MpSchema *schema,
                                       GHashTable *form, const char *prefix);

#endif
