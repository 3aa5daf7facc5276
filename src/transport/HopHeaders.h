#ifndef MP_TRANSPORT_HOP_HEADERS_H
#define MP_TRANSPORT_HOP_HEADERS_H

#include <h2o.h>
#include <stdbool.h>
#include <stddef.h>

/*
 * HopHeaders - tells the headers that a proxy forwards from those that concern
 * one connection or that it writes anew.
 */

/* Returns whether a header concerns one connection only, or is written anew.
 * connection is the value of the Connection header, or NULL. */
bool MpHopHeaders_Contains(const char *connection, const char *name,
                           size_t size);

/* Adds a header of a target's response to the response to the caller, unless
 * it is one of the above, or one that only this instance may set. */
void MpHopHeaders_Forward(h2o_req_t *req, const char *connection,
                          h2o_iovec_t name, h2o_iovec_t value);

#endif
