#ifndef MP_TRANSPORT_HTTP_SERVER_H
#define MP_TRANSPORT_HTTP_SERVER_H

#include "transport/Loop.h"

#include <h2o.h>
#include <stdbool.h>

/*
 * HttpServer - an HTTP listener of h2o with one handler for all paths.
 *
 * Errors that h2o answers on its own, such as for broken requests, get the
 * typed error body too.
 */

struct MpHttpServer {
    h2o_globalconf_t config;
    h2o_context_t context;
    h2o_accept_ctx_t accept;
    struct MpLoop *loop;
    h2o_socket_t *listener;
    void (*handle)(void *owner, h2o_req_t *req);
    void *owner;
    uint16_t port;
    size_t connections;
};

/* Listens on address; bodies over body_most_bytes are refused.  Errors:
 * MP_ERROR_IO. */
int MpHttpServer_Start(struct MpHttpServer *this, struct MpLoop *loop,
                       const char *address, size_t body_most_bytes,
                       void (*handle)(void *owner, h2o_req_t *req),
                       void *owner);

/* Closes the listener and asks open connections to end after their current
 * request. */
void MpHttpServer_StopListening(struct MpHttpServer *this);

/* Copies a header's value, or returns NULL; free it with g_free. */
char *MpHttp_CopyHeader(const h2o_req_t *req, const char *name);

/* Returns whether the head of the request that is being handled tells the
 * size of its body more than once, so that others may see another end. */
bool MpHttp_HasAmbiguousLength(const h2o_req_t *req);

/* Returns whether text equals the vector. */
bool MpHttp_Equals(h2o_iovec_t vector, const char *text);

/* Adds a header to the answer; value is copied. */
void MpHttp_AddHeader(h2o_req_t *req, const char *name, const char *value);

/* Ends an answer that was started, and its connection, so that it does not
 * look whole; what was sent before still arrives. */
void MpHttp_Abort(h2o_req_t *req);

/* Sends a whole answer. */
void MpHttp_Send(h2o_req_t *req, int status, const char *content_type,
                 const char *body, size_t size);

#endif
