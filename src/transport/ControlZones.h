#ifndef MP_TRANSPORT_CONTROL_ZONES_H
#define MP_TRANSPORT_CONTROL_ZONES_H

#include "transport/OperatorServer.h"

#include <json-c/json.h>

/*
 * ControlZones - zone drains in the control API and in the console.
 *
 *     POST /control/v1/zones/NAME/drain     needs Idempotency-Key
 *     POST /control/v1/zones/NAME/restore   needs Idempotency-Key
 *     POST /zone                            a form of the console
 */

/* Serves an order of the API; rest is the path from the zone's name on.  Takes
 * ownership of the call. */
void MpControlZones_Serve(struct MpOperatorCall *call, const char *rest);

/* Returns the zones for the status of the API, a new reference. */
struct json_object *MpControlZones_List(const struct mp_read_reply *reply);

/* Appends the zones and a form for an order to a page of the console. */
void MpControlZones_AppendPage(const struct MpOperatorCall *call,
                               GString *page,
                               const struct mp_read_reply *reply);

/* Submits an order of the console's form.  Takes ownership of the call. */
void MpControlZones_Submit(struct MpOperatorCall *call, GHashTable *form);

#endif
