#ifndef MP_TRANSPORT_TARGET_POLLER_H
#define MP_TRANSPORT_TARGET_POLLER_H

#include "transport/Router.h"

#include <stdbool.h>

/*
 * TargetPoller - asks targets for their load and cache events, and probes a
 * target whose request failed.
 *
 * Each question goes over a new connection, so that a silent connection is
 * told from a dead target.  A target answers GET /status with
 *
 *     {"boot": "…", "sequence": 7, "running": 3, "waiting": 0,
 *      "leaving": false, "events": [[sequence, "+" or "-", "block"], …]}
 *
 * where block is a hash in hexadecimal digits.
 */

struct MpTargetPoller;

struct MpTargetPoller *MpTargetPoller_New(struct MpRouter *router);

/* Returns the life of a target as last reported, or NULL; free with g_free.
 */
char *MpTargetPoller_GetBoot(struct MpTargetPoller *this, const char *target);

/* Asks whether the life boot of target is over. */
void MpTargetPoller_Probe(struct MpTargetPoller *this, const char *target,
                          const char *boot,
                          void (*done)(void *data, bool is_dead), void *data);

#endif
