#ifndef MP_TRANSPORT_TARGET_SOCKET_H
#define MP_TRANSPORT_TARGET_SOCKET_H

#include <h2o.h>

/*
 * MpTargetSocket - socket options of connections that carry requests to
 * targets, directly or by way of another instance.
 *
 * TCP_USER_TIMEOUT drops a connection that has gone silent, which nothing else
 * shows as long as new connections work.  It also drops one whose receiver is
 * alive and reads late, since data that waits for its window counts as well.
 * A request that fits into a window never waits for it; a larger one gets
 * more time.
 */

/* Size up to which a request fits into the receive window of a target, bytes:
 * somewhat less than the 64 KB of a new connection on Linux. */
#define MP_WINDOW_MIN_BYTES 61440
/* Time for which data may stay unacknowledged or wait for the window, ms: of
 * a request that fits into a window, and of a larger one. */
#define MP_UNACKED_MS 1500
#define MP_UNACKED_LARGE_MS 10000

/* Receive buffer of a connection to a target, bytes; with it a connection
 * within a region carries 30 MB/s. */
#define MP_TARGET_RECEIVE_BYTES 65536
/* The same by way of another instance, bytes.  Without it the system lets the
 * buffer grow to tens of MB, and a read takes all of it. */
#define MP_TUNNEL_RECEIVE_BYTES 65536

/* Switches off the delay of small segments. */
void MpTargetSocket_SetNoDelay(h2o_socket_t *socket);

/* Sets TCP_USER_TIMEOUT, ms. */
void MpTargetSocket_SetUnacked(h2o_socket_t *socket, int unacked_ms);

/* Sets SO_RCVBUF, bytes. */
void MpTargetSocket_SetReceive(h2o_socket_t *socket, int receive_bytes);

#endif
