#ifndef MP_TRANSPORT_CONSOLE_H
#define MP_TRANSPORT_CONSOLE_H

#include "transport/OperatorServer.h"

/*
 * Console - the pages of forms for operators; plain HTML that works without
 * script.
 */

/* Answers the call and frees it, sooner or later. */
void MpConsole_Serve(struct MpOperatorCall *call);

/* Returns a page that tells an error; free it with g_free. */
char *MpConsole_ErrorPage(int code, const char *detail);

#endif
