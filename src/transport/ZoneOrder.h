#ifndef MP_TRANSPORT_ZONE_ORDER_H
#define MP_TRANSPORT_ZONE_ORDER_H

#include "transport/OperatorServer.h"

#include <stdbool.h>

/*
 * ZoneOrder - orders of operators to drain or restore a zone.
 *
 * In a dialect with zone_path an order has no id, and the same order is sent
 * again to another instance when its response is late.  Each is handled in
 * two steps: the version of the zones is read from the leader, and the change
 * is proposed on the base of this version.  A change that was overtaken has no
 * effect, so that a late one does not undo a later order.  The read must be
 * over before the operator gives the order to another instance, and the
 * operator must still be connected.
 *
 * The response is 200 when the state is as ordered and confirmed by a
 * majority, 400 for a name that no zone can have, and otherwise 503, after
 * which the operator sends the order again.
 *
 * In the product's own interfaces an order has an id instead, and a repeat of
 * an id has no effect.
 */

/* Returns whether req has the method and path of an order of the dialect. */
bool MpZoneOrder_Matches(const struct MpOperatorServer *server,
                         const h2o_req_t *req);

/* Serves an order of the dialect and takes ownership of the call. */
void MpZoneOrder_Serve(struct MpOperatorCall *call);

/* Proposes to drain or restore a zone; done gets call as its data.  An order
 * with the same zone, direction and id counts once.  Errors, for which done is
 * not called: MP_ERROR_INVALID for the zone's name or the id. */
int MpZoneOrder_Submit(struct MpOperatorCall *call, const char *zone,
                       bool is_drain, const char *id, MpProposeDone done);

/* Logs the outcome of an order.  Returns the code for its response:
 * MP_ERROR_NO_QUORUM whenever the order may be sent again. */
int MpZoneOrder_Finish(struct MpOperatorCall *call, int code,
                       const struct mp_result *result);

#endif
