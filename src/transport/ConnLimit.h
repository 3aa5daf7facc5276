#ifndef MP_TRANSPORT_CONN_LIMIT_H
#define MP_TRANSPORT_CONN_LIMIT_H

#include "state/Settings.h"

#include <stdbool.h>
#include <stdint.h>

struct MpHttpServer;

/*
 * ConnLimit - keeps the connections of a server's clients below a limit, so
 * that descriptors are left for targets, the disk and other instances.
 *
 * The load: clients that open connections by the thousand and leave them
 * without a request, or with a part of one.
 *
 * Close to the limit those of least use are closed: first connections that
 * have never brought a whole request, then idle ones, in both the ones without
 * progress for longest.  Connections with a request in progress stay open.  A
 * client that waits for a response gets 503 first; what it still sends is
 * dropped for a moment, unless the limit is reached.
 */

/* Returns the limit for callers: that of the settings, or half of the
 * descriptors that the process may open (descriptors_max of the settings, or
 * its resource limit) without those that it needs itself. */
uint32_t MpConnLimit_ForCallers(const struct MpSettings *settings);

/* Returns the limit for each other listener, of those for RPCs for connections
 * that have not proved to be of the fleet: a quarter of that. */
uint32_t MpConnLimit_ForOthers(const struct MpSettings *settings);

/* Makes room for a connection that was just accepted.  Returns false if no
 * more are to be accepted in this round of the event loop. */
bool MpConnLimit_MakeRoom(struct MpHttpServer *server);

/* Closes some connections, as the process has no descriptors left. */
void MpConnLimit_CloseSome(struct MpHttpServer *server);

#endif
