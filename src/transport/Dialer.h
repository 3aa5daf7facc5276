#ifndef MP_TRANSPORT_DIALER_H
#define MP_TRANSPORT_DIALER_H

#include "coordination/TargetPaths.h"
#include "coordination/TunnelPeers.h"
#include "state/Metrics.h"
#include "transport/Loop.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Dialer - opens connections to targets, directly or, where this instance has
 * no path to the target, by way of another instance (see TargetPaths and
 * TunnelPeers).  It checks paths that are in doubt or lost.
 *
 * A check is a connection of its own with an OPTIONS request that concerns no
 * resource; any byte in reply is an answer.
 */

/* Time to open a tunnel by way of one peer, ms, and of that to connect to the
 * target. */
#define MP_TUNNEL_OPEN_MS 250
#define MP_TUNNEL_CONNECT_MS 150
/* Time to look for a peer after a direct connection has failed, ms. */
#define MP_TUNNEL_SEARCH_MS 150

/* Reason of a connection that timed out while this instance was overloaded. */
#define MP_DIAL_OVERLOADED "own-overload"

struct MpDialerClass {
    /* Called when a check found that connections to the target are accepted
     * and then reset: failures there were the path's, not the target's. */
    void (*path_lost)(void *owner, const char *address);

    /* Returns whether this instance is overloaded itself, so that a timeout is
     * no evidence of a lost path, and a tunnel would cost the same link
     * again. */
    bool (*is_overloaded)(void *owner);

    /* A direct connection is being opened; its attempt has ended after
     * took_ms, -1: it was cancelled. */
    void (*connect_started)(void *owner);
    void (*connect_ended)(void *owner, int64_t took_ms);
};

struct MpDialer {
    const struct MpDialerClass *klass;
    void *owner;
    struct MpLoop *loop;
    struct MpMetrics *metrics;
    const char *instance;
    const uint8_t *fleet_key; /* not copied */
    struct MpTargetPaths paths;
    struct MpTunnelPeers peers;
    struct MpTimer timer;
    uint64_t received_bytes; /* from targets and by tunnels */
    uint64_t sent_bytes;
};

/* A connection to a target, or why there is none. */
struct MpDialed {
    h2o_socket_t *socket; /* the callee's; NULL: failed */
    const char *peer;     /* address of the instance between, NULL if none;
                           * valid during the callback */
    const char *failure;  /* reason for the log */
    bool is_refused;      /* the target was reached, and nothing listens */
};

typedef void (*MpDialDone)(void *data, const struct MpDialed *dialed);

struct MpDial;

/* own_address: where this instance listens for others, or NULL. */
void MpDialer_Init(struct MpDialer *this, const struct MpDialerClass *klass,
                   void *owner, struct MpLoop *loop, struct MpMetrics *metrics,
                   const char *instance, const uint8_t *fleet_key,
                   const char *own_address);

/* Notes a direct connection, begun at began_ms, that could not be opened; logs
 * what it changes.  why: reason for the log. */
void MpDialer_NoteFailure(struct MpDialer *this, const char *address,
                          enum MpPathFailure failure, int64_t began_ms,
                          const char *why);

/* Notes an established direct connection that was reset. */
void MpDialer_NoteReset(struct MpDialer *this, const char *address);

/* Notes data from a target by way of another instance. */
void MpDialer_NoteReached(struct MpDialer *this, const char *address,
                          const char *peer);

/* Notes data on a direct connection. */
void MpDialer_NoteData(struct MpDialer *this, struct MpPathWait *wait);

/* Starts opening a connection to the target at address.  A NULL dialer opens
 * direct connections only.  id is that of the request, for the log, or NULL.
 * purpose: whether a request follows, or the connection is only a probe.
 * regions: where the request may be passed on, or NULL; it must outlive the
 * dial.
 * done is called once, never from within this function. */
struct MpDial *MpDial_Start(struct MpLoop *loop, struct MpDialer *dialer,
                            const char *address, enum MpConnPurpose purpose,
                            const struct MpRegionRule *regions, const char *id,
                            int64_t connect_ms, MpDialDone done, void *data);

/* Gives up; done is not called. */
void MpDial_Cancel(struct MpDial *this);

/* Counts the end of a connection by way of peer. */
void MpDialer_CloseTunnel(struct MpDialer *this, const char *peer);

void MpDialer_WriteMetrics(const struct MpDialer *this, GString *out);

#endif
