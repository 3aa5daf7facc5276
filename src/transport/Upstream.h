#ifndef MP_TRANSPORT_UPSTREAM_H
#define MP_TRANSPORT_UPSTREAM_H

#include "transport/Loop.h"

#include <h2o.h>
#include <h2o/http1client.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Upstream - one HTTP request to one target on a connection of its own.
 *
 * The connection is never used again, so that no byte of one answer can
 * reach another request.
 */

enum MpUpstreamResult {
    MP_UPSTREAM_COMPLETE,  /* the answer came to its end */
    MP_UPSTREAM_NOT_SENT,  /* no byte of the request left */
    MP_UPSTREAM_INCOMPLETE /* the request may have arrived */
};

struct MpUpstream;

struct MpUpstreamClass {
    void (*head)(void *owner, int status, const h2o_header_t *headers,
                 size_t count);
    void (*body)(void *owner, const char *data, size_t size);
    /* The last call; the upstream is freed after it. */
    void (*end)(void *owner, enum MpUpstreamResult end);
};

/* What all requests of one loop share. */
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
    h2o_socket_cb paused; /* read callback while reading is paused */
    bool is_sent;
    bool is_framed; /* the end of the body can be told from a cut */
    bool is_head;   /* method HEAD */
    bool is_inside; /* a callback of the client is running */
    bool is_cancelled;
};

void MpUpstreamContext_Init(struct MpUpstreamContext *this,
                            struct MpLoop *loop);

/* Sends request, which is owned from now on, to address.  method is that of
 * the request. */
struct MpUpstream *MpUpstream_Start(struct MpUpstreamContext *context,
                                    const struct MpUpstreamClass *klass,
                                    void *owner, const char *address,
                                    const char *method, GByteArray *request);

/* Drops the request and its connection; no more calls follow. */
void MpUpstream_Cancel(struct MpUpstream *this);

/* Stops and starts reading, for back-pressure. */
void MpUpstream_Pause(struct MpUpstream *this);
void MpUpstream_Resume(struct MpUpstream *this);

#endif
