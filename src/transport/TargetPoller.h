#ifndef MP_TRANSPORT_TARGET_POLLER_H
#define MP_TRANSPORT_TARGET_POLLER_H

#include "transport/Router.h"

#include <stdbool.h>

/*
 * TargetPoller - polls the targets for their load and cache events, and probes
 * a target after a request to it has failed.
 *
 * Each query uses a new connection, so that a stalled connection is not taken
 * for a crashed target.  A target answers GET /status with
 *
 *     {"boot": "…", "sequence": 7, "running": 3, "waiting": 0,
 *      "leaving": false, "events": [[sequence, "+" or "-", "block"], …]}
 *
 * where block is a hash in hexadecimal digits.
 */

struct MpTargetPoller;

struct MpTargetPoller *MpTargetPoller_New(struct MpRouter *router);

/* Returns the incarnation (boot id) that target last reported, or NULL; free
 * it with g_free. */
char *MpTargetPoller_GetBoot(struct MpTargetPoller *this, const char *target);

/* Queries target and calls done once with whether its incarnation boot has
 * crashed: no complete response, or another boot id.  If boot is NULL, only
 * the lack of a complete response counts as a crash. */
void MpTargetPoller_Probe(struct MpTargetPoller *this, const char *target,
                          const char *boot,
                          void (*done)(void *data, bool has_crashed),
                          void *data);

#endif
