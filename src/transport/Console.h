#ifndef MP_TRANSPORT_CONSOLE_H
#define MP_TRANSPORT_CONSOLE_H

#include "transport/OperatorServer.h"

/*
 * Console - the pages of forms for operators; plain HTML that works without
 * script.
 *
 *     GET  /                    status
 *     GET  /list/SECTION        entries of the document, top-ups
 *     GET  /edit/SECTION/NAME   form of one entry; NAME empty for a new one
 *     GET  /document            the whole text
 *     POST /edit/SECTION        shows the change as a difference
 *     POST /review              the same for a whole text
 *     POST /submit              submits a version that was shown
 *     POST /topup               adds to a budget
 *
 * Each form carries a code that only this console can make, so that no other
 * page can send it in the operator's name.
 */

/* Answers the call and frees it, sooner or later. */
void MpConsole_Serve(struct MpOperatorCall *call);

/* Returns a page that tells an error; free it with g_free. */
char *MpConsole_ErrorPage(int code, const char *detail);

/* -- ConsoleEdit.c -- */
void MpConsoleEdit_List(struct MpOperatorCall *call, const char *section);
void MpConsoleEdit_Form(struct MpOperatorCall *call, const char *section,
                        const char *name);
void MpConsoleEdit_Document(struct MpOperatorCall *call);
void MpConsoleEdit_Post(struct MpOperatorCall *call, GHashTable *form);

/* Sends a page, which is freed, and frees the call. */
void MpConsole_Answer(struct MpOperatorCall *call, int status, GString *page);

/* Appends the hidden code of a form. */
void MpConsole_AppendCode(const struct MpOperatorServer *server, GString *out);

#endif
