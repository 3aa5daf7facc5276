#ifndef MP_TRANSPORT_HTML_H
#define MP_TRANSPORT_HTML_H

#include <glib.h>

/*
 * Html - helpers that build the HTML pages of the console.
 */

/* Appends text escaped for HTML; NULL is the same as "". */
void MpHtml_AppendEscaped(GString *out, const char *text);

/* Returns a new page up to its heading, without content; escapes title. */
GString *MpHtml_BeginPage(const char *title);

/* Completes a page, frees the GString and returns the text; free it with
 * g_free. */
char *MpHtml_EndPage(GString *page);

/* Appends a line diff of two texts. */
void MpHtml_AppendDiff(GString *out, const char *old_text,
                       const char *new_text);

#endif
