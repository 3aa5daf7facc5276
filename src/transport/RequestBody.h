#ifndef MP_TRANSPORT_REQUEST_BODY_H
#define MP_TRANSPORT_REQUEST_BODY_H

#include "coordination/MemoryAccount.h"

#include <glib.h>
#include <h2o.h>

/*
 * RequestBody - the body of a caller's request, shared by all who send it on.
 *
 * It stays in the buffer into which h2o read it, without a copy; h2o does not
 * touch that until the request is answered.  If the caller disconnects while a
 * target still gets the body, the buffer is taken over from h2o.
 */

struct MpRequestBody {
    guint refs;
    const char *data;
    size_t size;
    h2o_socket_t *socket; /* of the caller; NULL: the buffer was taken over */
    h2o_buffer_t *buffer; /* taken over from h2o, or NULL */
    struct MpMemoryAccount *account;
    struct MpMemoryHolder memory; /* of buffer; the connection counts it
                                   * before */
};

struct MpRequestBody *MpRequestBody_New(const h2o_req_t *req,
                                        struct MpMemoryAccount *account);
struct MpRequestBody *MpRequestBody_Ref(struct MpRequestBody *this);
void MpRequestBody_Unref(struct MpRequestBody *this);

/* The caller has disconnected: ends the owner's use of the body, and lets
 * others go on with it.  To be called before h2o closes the connection. */
void MpRequestBody_Leave(struct MpRequestBody *this);

#endif
