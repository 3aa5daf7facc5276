#ifndef MP_COMMANDS_HTTP_CALL_H
#define MP_COMMANDS_HTTP_CALL_H

#include <glib.h>

/*
 * HttpCall - a blocking HTTP client for commands: one request and response.
 */

/* Several times the state of a large fleet. */
#define MP_HTTP_CALL_MAX_BYTES (64 * 1024 * 1024)

struct MpHttpCall {
    const char *address; /* IP number and port */
    const char *method;
    const char *path;
    const char *headers; /* more header lines, each with CR LF, or "" */
    const char *body;    /* or NULL */
    int status;          /* of the response */
    GString *response;   /* body of the response */
    char *etag;          /* of the response, or NULL */
};

/* Sends the request and waits for the complete response; status, response and
 * etag are set.  Errors: MP_ERROR_CLOSED when the connection failed,
 * MP_ERROR_TIMEOUT after 10 s, MP_ERROR_CORRUPT when the body is longer than
 * MP_HTTP_CALL_MAX_BYTES, MP_ERROR_INVALID for a bad address. */
int MpHttpCall_Perform(struct MpHttpCall *this);

/* Frees response and etag. */
void MpHttpCall_Done(struct MpHttpCall *this);

#endif
