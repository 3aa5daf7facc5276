#ifndef MP_TRANSPORT_LINGERING_CLOSE_H
#define MP_TRANSPORT_LINGERING_CLOSE_H

#include "transport/Loop.h"

#include <glib.h>

/*
 * LingeringClose - closes connections in stages (RFC 9112, 9.6): the last
 * response is followed by the end of our side, and what the client still sends
 * is read and dropped until it closes too.
 *
 * A socket that is closed with unread bytes is reset, and the reset can
 * overtake the response on its way to the client.
 */

/* Longest time and most bytes of one connection after its last response. */
#define MP_LINGER_MS 1000
#define MP_LINGER_MAX_BYTES (8 * 1024 * 1024)
/* Connections at a time, unless the owner sets max; more are closed at once.
 */
#define MP_LINGER_MAX_CONNS 256

struct MpLingeringClose {
    struct MpLoop *loop;
    GQueue sockets; /* of struct lingering */
    uint32_t max;
};

void MpLingeringClose_Init(struct MpLingeringClose *this, struct MpLoop *loop);

/* Takes over the connection of fd, which the caller closes: works on a copy of
 * the descriptor.  Does nothing if there are too many. */
void MpLingeringClose_Start(struct MpLingeringClose *this, int fd);

#endif
