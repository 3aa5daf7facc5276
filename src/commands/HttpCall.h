#ifndef MP_COMMANDS_HTTP_CALL_H
#define MP_COMMANDS_HTTP_CALL_H

#include <glib.h>

/*
 * HttpCall - one HTTP request that a command waits for.
 */

struct MpHttpCall {
    const char *address; /* IP number and port */
    const char *method;
    const char *path;
    const char *headers; /* further lines, each with CR LF, or "" */
    const char *body;    /* or NULL */
    int status;          /* of the answer */
    GString *answer;
    char *etag; /* of the answer, or NULL */
};

/* Sends the request and waits for the whole answer.  Errors:
 * MP_ERROR_CLOSED, MP_ERROR_TIMEOUT, MP_ERROR_INVALID for the address. */
int MpHttpCall_Do(struct MpHttpCall *this);
void MpHttpCall_Done(struct MpHttpCall *this);

#endif
