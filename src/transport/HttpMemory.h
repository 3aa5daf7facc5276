#ifndef MP_TRANSPORT_HTTP_MEMORY_H
#define MP_TRANSPORT_HTTP_MEMORY_H

#include "coordination/MemoryAccount.h"
#include "transport/HttpConn.h"

/*
 * HttpMemory - counts what h2o holds of the requests of a server's clients in
 * the account of the process, from the first bytes on, and refuses or closes
 * connections where there is no room.
 *
 * h2o passes a request on when it is complete and has no hook before, so the
 * read callback of each connection's socket is replaced by one that looks at
 * the buffer before and after h2o's.  h2o sets its own again after each
 * request and after a 100 (Continue); MpHttpMemory_AfterRound replaces it
 * before the next read.
 */

/* Retry-After of a refusal for want of room, ms: a holder without progress has
 * been closed by then. */
#define MP_MEMORY_RETRY_AFTER_MS 1000

/* Lets a holder hold bytes in all, where there is room for them or holders
 * without progress can be closed for it.  Returns whether it may; counts a
 * refusal with its cause if not. */
bool MpHttpMemory_MakeRoom(struct MpMemoryAccount *account,
                           struct MpMemoryHolder *holder, int64_t bytes,
                           enum MpMemoryRefusal cause);

/* Prepares the listening socket of a server with an account, before it accepts
 * connections. */
void MpHttpMemory_Listen(h2o_socket_t *listener);

/* Replaces the read callback, once h2o has accepted the connection. */
void MpHttpMemory_Hook(struct MpHttpConn *conn);

/* Frees the part of a request that has arrived, and drops what still arrives:
 * our side of the connection was closed. */
void MpHttpMemory_Drop(struct MpHttpConn *conn);

/* Counts what waits unread on a connection with a request in progress. */
void MpHttpMemory_CountAhead(struct MpHttpConn *conn);

/* The request of a connection was read whole, or is done. */
void MpHttpMemory_NoteRunning(struct MpHttpConn *conn);
void MpHttpMemory_NoteDone(struct MpHttpConn *conn);

/* Called after each round of the event loop: looks after connections whose
 * request is done, and closes holders while the account is exceeded. */
void MpHttpMemory_AfterRound(void *server);

/* Appends the account as metrics; name as in mimosapath_NAME_held_bytes. */
void MpHttpMemory_WriteMetrics(const struct MpMemoryAccount *account,
                               const char *name, GString *out);

#endif
