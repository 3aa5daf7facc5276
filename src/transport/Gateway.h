#ifndef MP_TRANSPORT_GATEWAY_H
#define MP_TRANSPORT_GATEWAY_H

#include "coordination/RetryBudget.h"
#include "coordination/Roster.h"
#include "coordination/Slices.h"
#include "protocol/Dialect.h"
#include "state/Metrics.h"
#include "state/Settings.h"
#include "transport/ControlClient.h"
#include "transport/Loop.h"

#include <h2o.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Gateway - requests on the paths of the document: from the caller to a
 * target of a pool and back.
 *
 * What is decided stands in coordination: Forward, Roster, Slices and
 * RetryBudget.  The gateway carries it out.
 */

struct MpTargetList;
struct MpGatewayLoans;
struct MpTargetPlace;

struct MpGateway {
    struct MpLoop *loop;
    const struct MpSettings *settings;
    const struct MpDialect *dialect;
    struct MpControlClient *fleet;
    struct MpMetrics *metrics;
    struct MpRoster roster;
    struct MpSlices slices;
    struct MpGatewayLoans *loans;
    GHashTable *retries; /* pool -> struct MpRetryBudget */
    GQueue calls;        /* of struct MpGatewayCall */
    struct MpTargetList *list;
    int64_t shared_ms;    /* when the leader last vouched for the list */
    int64_t read_from_ms; /* until then this instance does not read it */
    struct MpTimer timer;
    uint64_t retries_refused; /* counter */
    uint32_t reports;         /* of deaths, that the quorum does not have */
    bool is_leaving;
    int64_t refuse_from_ms; /* leaving: new requests are refused */
    int64_t stop_ms;        /* leaving: when the process ends at the latest */
    bool is_returned;       /* the slices are given back */
};

/* Errors: MP_ERROR_IO when the address for other routers is not to be had. */
int MpGateway_Start(struct MpGateway *this, struct MpLoop *loop,
                    const struct MpSettings *settings,
                    struct MpControlClient *fleet, struct MpMetrics *metrics);

/* Takes a request of a caller; answers it sooner or later. */
void MpGateway_Serve(struct MpGateway *this, h2o_req_t *req);

/* Returns whether a path of the document takes the request. */
bool MpGateway_Matches(const struct MpGateway *this, const h2o_req_t *req);

/* Returns whether the paths of the document can be served at all: there are
 * none, or the target list that the settings name was read or told. */
bool MpGateway_HasTargets(const struct MpGateway *this);

/* Takes the list that the leader has read, NULL when what is here is the
 * same. */
void MpGateway_ApplyTargets(struct MpGateway *this,
                            const struct MpTargetUpdate *news);

/* Takes a new document, and a new registration. */
void MpGateway_SetDocument(struct MpGateway *this,
                           const struct MpDocument *document);
void MpGateway_SetBoot(struct MpGateway *this, uint64_t boot);

/* Takes the list of those that lend of their slices. */
void MpGateway_SetPeers(struct MpGateway *this, const struct mp_lender *peers,
                        uint32_t count);

/* Asks callers to leave after their answers; new requests are refused from
 * refuse_from_ms on, and streams that may not end before stop_ms at once. */
void MpGateway_Drain(struct MpGateway *this, int64_t refuse_from_ms,
                     int64_t stop_ms);

/* Returns whether nothing runs and all slices are given back. */
bool MpGateway_IsIdle(const struct MpGateway *this);

/* Returns the budget of further attempts of pool. */
struct MpRetryBudget *MpGateway_Retries(struct MpGateway *this,
                                        const char *pool);

/* Returns the connections to target. */
struct MpTargetPlace *MpGateway_Place(struct MpGateway *this,
                                      struct MpPoolTarget *target);

/* Reports slices now, if a report is due. */
void MpGateway_ReportSlices(struct MpGateway *this);

void MpGateway_WriteMetrics(const struct MpGateway *this, GString *out);

#endif
