#ifndef MP_TRANSPORT_GATEWAY_H
#define MP_TRANSPORT_GATEWAY_H

#include "coordination/Admission.h"
#include "coordination/InstanceLoad.h"
#include "coordination/MemoryAccount.h"
#include "coordination/RetryBudget.h"
#include "coordination/Permits.h"
#include "coordination/Roster.h"
#include "coordination/Slices.h"
#include "coordination/VersionView.h"
#include "protocol/Dialect.h"
#include "state/Metrics.h"
#include "state/Settings.h"
#include "transport/ControlClient.h"
#include "transport/Dialer.h"
#include "transport/Loop.h"

#include <h2o.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Gateway - the reverse proxy for the paths of the document: forwards each
 * caller's request to a target of a pool and relays the response.
 *
 * It does the I/O and the timers.  The decisions are made in coordination/
 * by Forward, Roster, Slices and RetryBudget.
 */

struct MpTargetList;
struct MpGatewayLoans;
struct MpConnPool;
struct MpHttpServer;

struct MpGateway {
    struct MpLoop *loop;
    const struct MpSettings *settings;
    const struct MpDialect *dialect;
    struct MpControlClient *control;
    struct MpMetrics *metrics;
    struct MpMemoryAccount *memory;
    struct MpRoster roster;
    struct MpSlices slices;
    struct MpGatewayLoans *loans;
    struct MpPermits permits;
    struct MpRegions regions;
    struct MpVersionView versions;
    GQueue records;   /* of struct MpStreamRecord, to be sent */
    GQueue recording; /* those under way to the quorum */
    struct MpTimer record_timer;
    bool is_leader_older;      /* it does not know MP_CMD_STREAMS_KEPT */
    uint64_t records_dropped;  /* counter */
    GHashTable *retry_budgets; /* pool -> struct MpRetryBudget */
    struct MpRetryFleet retry_fleet;
    struct MpDialer dialer;
    GQueue tunnels; /* of struct MpTunnel */
    GQueue calls;   /* of struct MpGatewayCall */
    struct MpTargetList *list_reader;
    struct MpAdmission admission;
    int64_t admission_logged_ms;
    struct MpInstanceLoad load;
    struct MpHttpServer *http; /* of the callers */
    struct MpTimer load_timer;
    int64_t load_logged_ms;
    uint64_t load_refusals;    /* counter */
    int64_t list_confirmed_ms; /* when the leader last confirmed the list */
    int64_t read_from_ms;      /* this instance reads no list before then */
    bool is_list_too_long;     /* the one that this instance read last */
    struct MpTimer timer;
    uint64_t retries_refused;    /* counter */
    uint64_t target_pauses;      /* counter: those that targets asked for */
    uint64_t cold_sent;          /* counter: attempts at cold targets */
    uint32_t cold_targets;       /* by the last tick */
    uint64_t zone_left_requests; /* counter: sent to targets elsewhere */
    uint64_t zone_left_bytes;    /* counter: to and from them */
    uint32_t crash_reports;      /* not yet acknowledged by the quorum */
    bool is_draining;
    int64_t refuse_from_ms;   /* draining: new requests are refused */
    int64_t stop_ms;          /* draining: latest end of the process */
    bool has_returned_slices; /* draining: the ledger has the slices back */
};

/* Errors: MP_ERROR_IO when it cannot listen on the address for other
 * routers. */
int MpGateway_Start(struct MpGateway *this, struct MpLoop *loop,
                    const struct MpSettings *settings,
                    struct MpControlClient *control, struct MpMetrics *metrics,
                    struct MpMemoryAccount *memory);

/* Handles a caller's request; the response is sent asynchronously. */
void MpGateway_Serve(struct MpGateway *this, h2o_req_t *req);

/* Returns whether the gateway handles the request: the document has a path
 * for it, or the dialect serves nothing but paths. */
bool MpGateway_Matches(const struct MpGateway *this, const h2o_req_t *req);

/* Returns whether requests can be forwarded: the document has no paths, the
 * settings name no target list, or a target list has been received. */
bool MpGateway_HasTargets(const struct MpGateway *this);

/* Applies the leader's target list; NULL means that the list held here is
 * up to date. */
void MpGateway_ApplyTargets(struct MpGateway *this,
                            const struct MpTargetUpdate *update);

/* Applies the drained zones that the control client has. */
void MpGateway_SetDrainedZones(struct MpGateway *this);

void MpGateway_SetDocument(struct MpGateway *this,
                           const struct MpDocument *document);

/* Sets the incarnation under which the instance is registered. */
void MpGateway_SetBoot(struct MpGateway *this, uint64_t boot);

/* Replaces the list of all routers. */
void MpGateway_SetPeers(struct MpGateway *this, const struct mp_lender *peers,
                        uint32_t count);

/* Starts draining: connections are closed after their next response.  New
 * requests are refused from refuse_from_ms on; those whose deadline is after
 * stop_ms are refused at once. */
void MpGateway_Drain(struct MpGateway *this, int64_t refuse_from_ms,
                     int64_t stop_ms);

/* Ends all requests that are running; the process is about to end. */
void MpGateway_StopCalls(struct MpGateway *this);

/* Returns whether no request is running and all slices are returned. */
bool MpGateway_IsIdle(const struct MpGateway *this);

/* Returns the retry budget of pool. */
struct MpRetryBudget *MpGateway_GetRetryBudget(struct MpGateway *this,
                                               const char *pool);

/* Returns the number of instances that share the slack of retry budgets, 0 if
 * this one has no share of it now. */
uint32_t MpGateway_CountRetryFleet(struct MpGateway *this);

/* Returns how cold targets of pool may be used. */
struct MpColdConf MpGateway_ColdConf(const struct MpGateway *this,
                                     const struct MpPoolConf *pool);

/* Returns the connection pool of target. */
struct MpConnPool *MpGateway_GetConnPool(struct MpGateway *this,
                                         struct MpPoolTarget *target);

/* Sends a report on the slices to the ledger if one is due. */
void MpGateway_ReportSlices(struct MpGateway *this);

void MpGateway_WriteMetrics(const struct MpGateway *this, GString *out);

#endif
