#ifndef MP_COMMANDS_LOAD_CONN_H
#define MP_COMMANDS_LOAD_CONN_H

#include "transport/Loop.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * LoadConn - HTTP/1.1 connections of the callers of a load test.
 *
 * A connection carries one request at a time and is kept after each complete
 * response, errors too, unless the server closes it.  Bytes that arrive while
 * no response is due are stray: they are counted, and end the connection.
 */

enum MpLoadResult {
    MP_LOAD_COMPLETE,
    MP_LOAD_NOT_SENT,   /* connecting failed */
    MP_LOAD_INCOMPLETE, /* cut off or malformed; the request may have arrived
                         */
    MP_LOAD_UNANSWERED  /* sent whole, and closed without a byte */
};

struct MpLoadConnClass {
    void (*header)(void *owner, const char *name, const char *value);
    /* All headers have been reported. */
    void (*head)(void *owner, int status);
    void (*body)(void *owner, const char *data, size_t size);
    /* The last callback of a request. */
    void (*end)(void *owner, enum MpLoadResult result);
};

struct MpLoadConn;

/* The connections of a load test. */
struct MpLoadConns {
    struct MpLoop *loop;
    GHashTable *idle; /* address -> GQueue of struct MpLoadConn */
    uint64_t opened;
    uint64_t reused;
    uint64_t stray; /* connections on which stray bytes arrived */
};

void MpLoadConns_Init(struct MpLoadConns *this, struct MpLoop *loop);

/* Sends request, of which it takes ownership, to address, which must outlive
 * the connections.  The callbacks are never called from within this
 * function. */
struct MpLoadConn *MpLoadConns_Send(struct MpLoadConns *this,
                                    const struct MpLoadConnClass *klass,
                                    void *owner, const char *address,
                                    GByteArray *request);

/* Returns whether the request under way has been sent whole. */
bool MpLoadConn_IsWritten(const struct MpLoadConn *this);

/* Closes the connection of a request under way; no callbacks follow. */
void MpLoadConn_Cancel(struct MpLoadConn *this);

#endif
