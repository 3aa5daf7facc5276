#ifndef MP_TRANSPORT_TUNNEL_CLIENT_H
#define MP_TRANSPORT_TUNNEL_CLIENT_H

#include "gen/wire.h"
#include "transport/Loop.h"

#include <stdint.h>

/*
 * TunnelClient - asks another instance to connect to a target, over a
 * connection of its own that becomes the connection to the target.
 */

struct MpTunnelClient;

/* socket is the callee's if code is MP_OK, else NULL.  Errors: the code of the
 * reply (see struct mp_tunnel_reply), MP_ERROR_IO if the other instance cannot
 * be reached or does not reply in time. */
typedef void (*MpTunnelDone)(void *data, int code, h2o_socket_t *socket);

/* Starts asking the instance that listens on address; it has timeout_ms to
 * reply.  call is copied.  done is called once, never from within this
 * function. */
struct MpTunnelClient *
MpTunnelClient_Start(struct MpLoop *loop, const uint8_t *fleet_key,
                     const char *address, const struct mp_tunnel *call,
                     int64_t timeout_ms, MpTunnelDone done, void *data);

/* Gives up; done is not called. */
void MpTunnelClient_Cancel(struct MpTunnelClient *this);

#endif
