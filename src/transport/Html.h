#ifndef MP_TRANSPORT_HTML_H
#define MP_TRANSPORT_HTML_H

#include <glib.h>

/*
 * Html - pieces of the console's pages.
 */

/* Appends text with the characters of HTML escaped. */
void MpHtml_Append(GString *out, const char *text);

/* Returns a new page up to its content; title is escaped. */
GString *MpHtml_Page(const char *title);

/* Ends a page and returns its text, to be freed by g_free. */
char *MpHtml_Finish(GString *page);

/* Appends the lines that differ between two texts. */
void MpHtml_AppendDiff(GString *out, const char *old_text,
                       const char *new_text);

#endif
