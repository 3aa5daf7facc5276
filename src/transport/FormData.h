#ifndef MP_TRANSPORT_FORM_DATA_H
#define MP_TRANSPORT_FORM_DATA_H

#include <glib.h>
#include <stddef.h>

/*
 * FormData - parser of submitted HTML forms.
 */

/* Parses application/x-www-form-urlencoded text.  Returns a new table of name
 * to value, both strings, or NULL if the text is malformed. */
GHashTable *MpFormData_Parse(const char *text, size_t size);

/* Returns the value of a field, "" if there is none; valid as long as
 * the table. */
const char *MpFormData_Get(GHashTable *this, const char *name);

#endif
