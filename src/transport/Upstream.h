#ifndef MP_TRANSPORT_UPSTREAM_H
#define MP_TRANSPORT_UPSTREAM_H

#include "transport/Loop.h"

#include <h2o.h>
#include <h2o/http1client.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Upstream - HTTP/1.1 client that sends one request per connection.
 *
 * Connections are never reused, so that no byte of one response can end up in
 * the response to another request.
 */

enum MpUpstreamResult {
    MP_UPSTREAM_COMPLETE,  /* the response is complete */
    MP_UPSTREAM_NOT_SENT,  /* no byte of the request was sent */
    MP_UPSTREAM_INCOMPLETE /* cut off; the request may have arrived */
};

struct MpUpstream;

struct MpUpstreamClass {
    void (*head)(void *owner, int status, const h2o_header_t *headers,
                 size_t count);
    void (*body)(void *owner, const char *data, size_t size);
    /* The last callback; the upstream is freed after it. */
    void (*end)(void *owner, enum MpUpstreamResult result);
};

/* State shared by all requests of one event loop. */
struct MpUpstreamContext {
    struct MpLoop *loop;
    h2o_http1client_ctx_t client;
    h2o_timeout_t io_timeout;
    h2o_multithread_receiver_t getaddr;
};

struct MpUpstream {
    const struct MpUpstreamClass *klass;
    void *owner;
    struct MpUpstreamContext *context;
    h2o_http1client_t *client;
    GByteArray *request;
    h2o_iovec_t vector;
    struct MpTimer connect_timer;
    h2o_socket_cb paused_read; /* read callback while paused, or NULL */
    bool is_sent;
    bool is_framed;      /* body does not end with the connection */
    bool is_head;        /* method HEAD */
    bool is_in_callback; /* a callback of the owner is running */
    bool is_cancelled;
};

void MpUpstreamContext_Init(struct MpUpstreamContext *this,
                            struct MpLoop *loop);

/* Connects to address and sends request, of which it takes ownership.  method
 * is the HTTP method in request. */
struct MpUpstream *MpUpstream_Start(struct MpUpstreamContext *context,
                                    const struct MpUpstreamClass *klass,
                                    void *owner, const char *address,
                                    const char *method, GByteArray *request);

/* Cancels the request and closes its connection; no callbacks follow. */
void MpUpstream_Cancel(struct MpUpstream *this);

/* Stop and resume reading, for back-pressure. */
void MpUpstream_Pause(struct MpUpstream *this);
void MpUpstream_Resume(struct MpUpstream *this);

#endif
