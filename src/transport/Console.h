#ifndef MP_TRANSPORT_CONSOLE_H
#define MP_TRANSPORT_CONSOLE_H

#include "transport/OperatorServer.h"

/*
 * Console - web console for operators, as plain HTML without scripts.
 *
 *     GET  /                    status
 *     GET  /list/SECTION        entries of a document section, top-up forms
 *     GET  /edit/SECTION/NAME   form of one entry; NAME empty for a new one
 *     GET  /document            form with the text of the whole document
 *     POST /edit/SECTION        shows the diff of a changed entry
 *     POST /review              shows the diff of a changed document text
 *     POST /submit              submits a document that was reviewed
 *     POST /topup               adds to a workspace's budget
 *     POST /zone                drains or restores a zone
 *
 * Each form contains a CSRF token, an HMAC made with the operator token, so
 * that pages of other sites cannot submit forms in the operator's name.
 */

/* Serves the call and takes ownership of it. */
void MpConsole_Serve(struct MpOperatorCall *call);

/* Returns an error page; detail may be NULL.  Free it with g_free. */
char *MpConsole_ErrorPage(int code, const char *detail);

/* -- ConsoleEdit.c: each function takes ownership of the call -- */
void MpConsoleEdit_List(struct MpOperatorCall *call, const char *section);
void MpConsoleEdit_Form(struct MpOperatorCall *call, const char *section,
                        const char *name);
void MpConsoleEdit_Document(struct MpOperatorCall *call);
void MpConsoleEdit_Post(struct MpOperatorCall *call, GHashTable *form);

/* Completes a page from MpHtml_BeginPage and sends it; frees page and call. */
void MpConsole_SendPage(struct MpOperatorCall *call, int status,
                        GString *page);

/* Appends the hidden input with the CSRF token. */
void MpConsole_AppendCsrfToken(const struct MpOperatorServer *server,
                               GString *out);

#endif
