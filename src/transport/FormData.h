#ifndef MP_TRANSPORT_FORM_DATA_H
#define MP_TRANSPORT_FORM_DATA_H

#include <glib.h>
#include <stddef.h>

/*
 * FormData - the fields of a form that a browser has sent.
 */

/* Reads application/x-www-form-urlencoded text.  Returns a table of name to
 * value, both strings, or NULL when the text is not well formed. */
GHashTable *MpFormData_Parse(const char *text, size_t size);

/* Returns a value, or "". */
const char *MpFormData_Get(GHashTable *this, const char *name);

#endif
