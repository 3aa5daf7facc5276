#ifndef MP_TRANSPORT_CALLER_PROBE_H
#define MP_TRANSPORT_CALLER_PROBE_H

#include "state/Metrics.h"
#include "transport/Loop.h"

#include <h2o.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * CallerProbe - tells a caller that has left from one that has closed only its
 * sending side and waits for its response.
 *
 * Both look the same until bytes reach them: a system resets a connection that
 * nobody reads.  The probe sends the interim response 100 (Continue), which
 * HTTP/1.1 clients ignore where they do not expect it (RFC 9110, 15.2), and
 * waits for a reset or for the acknowledgement.
 */

/* A caller that closed its sending side this long ago may have left, ms.
 * Until then its request counts as just sent. */
#define MP_CALLER_CLOSED_MS 200
/* Longest wait for what becomes of the probe, ms; then the caller counts as
 * waiting. */
#define MP_CALLER_PROBE_MS 100

struct MpCallerProbe;

/* Counts what became of a probe. */
void MpCallerProbe_Count(struct MpMetrics *metrics, bool has_left);

/* has_left: the connection was reset. */
typedef void (*MpCallerProbeDone)(void *owner, bool has_left);

/* Returns for how long at least the caller's sending side has been closed, ms;
 * -1 if it is open.  Also counts the time for which this loop has not read. */
int64_t MpCallerProbe_ClosedMs(const struct MpLoop *loop,
                               const h2o_req_t *req);

/* Returns whether the caller can be probed: nothing of its response was sent,
 * and it speaks HTTP/1.1. */
bool MpCallerProbe_IsPossible(const h2o_req_t *req);

/* Sends the probe.  done is called once, not from here, unless the probe is
 * cancelled before. */
struct MpCallerProbe *MpCallerProbe_Start(struct MpLoop *loop, h2o_req_t *req,
                                          MpCallerProbeDone done, void *owner);
void MpCallerProbe_Cancel(struct MpCallerProbe *this);

#endif
