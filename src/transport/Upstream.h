#ifndef MP_TRANSPORT_UPSTREAM_H
#define MP_TRANSPORT_UPSTREAM_H

#include "protocol/ResponseReader.h"
#include "transport/Loop.h"
#include "transport/RequestBody.h"

#include <glib.h>
#include <stddef.h>

/*
 * Upstream - HTTP/1.1 client that sends one request per connection.
 *
 * Connections are never reused, so that no byte of one response can end up in
 * the response to another request.  A response without a length that ends with
 * its connection counts as cut off.
 */

enum MpUpstreamResult {
    MP_UPSTREAM_COMPLETE,  /* the response is complete */
    MP_UPSTREAM_NOT_SENT,  /* no byte of the request was sent */
    MP_UPSTREAM_INCOMPLETE /* cut off or malformed; the request may have
                            * arrived */
};

struct MpDialer;
struct MpRegionRule;
struct MpUpstream;

struct MpUpstreamClass {
    void (*head)(void *owner, const struct MpTargetHead *head);
    void (*body)(void *owner, const char *data, size_t size);
    /* The last callback; the upstream is freed before it. */
    void (*end)(void *owner, enum MpUpstreamResult result);
};

/* Connects to address and sends request, of which it takes ownership, and
 * body, which may be NULL.  dialer is NULL for direct connections only.
 * regions: where the request may be passed on, or NULL.  method is the HTTP
 * method in request.  The callbacks of klass are never called from within this
 * function. */
struct MpUpstream *MpUpstream_Start(struct MpLoop *loop,
                                    struct MpDialer *dialer,
                                    const struct MpRegionRule *regions,
                                    const struct MpUpstreamClass *klass,
                                    void *owner, const char *address,
                                    const char *method, GByteArray *request,
                                    struct MpRequestBody *body);

/* Cancels the request and closes its connection; no callbacks follow. */
void MpUpstream_Cancel(struct MpUpstream *this);

/* See MpTargetConn_SkipRest. */
void MpUpstream_SkipRest(struct MpUpstream *this,
                         const struct MpTargetHead *head);

/* Stop and resume reading, for back-pressure. */
void MpUpstream_Pause(struct MpUpstream *this);
void MpUpstream_Resume(struct MpUpstream *this);

#endif
