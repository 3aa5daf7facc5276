#ifndef MP_TRANSPORT_SECRET_H
#define MP_TRANSPORT_SECRET_H

#include "state/Settings.h"

#include <glib.h>

/*
 * Secret - files that hold a shared secret: the operator token, the fleet key.
 */

/* The fleet key of the example settings, which everybody knows. */
#define MP_SECRET_EXAMPLE "replace-this-secret-before-use"

/* Reads a file named in the settings into *text, which the caller frees.
 * what names the secret in the log.  Errors, each with a log line and *text
 * set to NULL: MP_ERROR_AUTHENTICATION if the file cannot be read, or holds
 * nothing but white space. */
int MpSecret_Read(const struct MpSettings *settings, const char *what,
                  const char *file, char **text, gsize *size);

#endif
