#ifndef MP_TRANSPORT_ROUTER_H
#define MP_TRANSPORT_ROUTER_H

#include "coordination/FairQueue.h"
#include "coordination/Limits.h"
#include "coordination/Picker.h"
#include "state/Metrics.h"
#include "state/Settings.h"
#include "transport/ControlClient.h"
#include "transport/Gateway.h"
#include "transport/HttpServer.h"
#include "transport/Loop.h"
#include "transport/Upstream.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Router - what an instance needs to serve callers: the fleet's state, the
 * targets, limits, queues, and the requests in progress.
 */

struct MpTargetPoller;
struct MpLeaseKeeper;

struct MpRouter {
    struct MpLoop *loop;
    const struct MpSettings *settings;
    struct MpControlClient control;
    struct MpPicker picker;
    struct MpLimits limits;
    struct MpMetrics metrics;
    GHashTable *queues; /* model or service -> struct MpFairQueue */
    struct MpUpstreamContext upstreams;
    struct MpTargetPoller *poller;
    struct MpLeaseKeeper *leases;
    struct MpHttpServer http;
    struct MpHttpServer ready; /* where a balancer asks, if apart */
    struct MpGateway gateway;
    GQueue exchanges; /* of struct MpExchange */
    uint64_t next_open_id;
    bool is_draining;
    int64_t drain_until_ms;
    int64_t refuse_from_ms; /* draining: new requests are refused */
    bool pump_wanted;
    struct MpTimer timer;
    void (*drained)(void *owner);
    void *owner;
};

/* Errors: MP_ERROR_IO when the address for callers is not to be had. */
int MpRouter_Start(struct MpRouter *this, struct MpLoop *loop,
                   const struct MpSettings *settings,
                   const uint8_t *fleet_key);

/* Stops taking requests, waits for those in progress, at most the drain
 * time, and then calls drained. */
void MpRouter_Drain(struct MpRouter *this, void (*drained)(void *owner),
                    void *owner);

/* Finds a target for what waits, after the coming round of the loop. */
void MpRouter_ScheduleDispatch(struct MpRouter *this);

/* Puts an exchange into the queue of its model or service.  Errors:
 * MP_ERROR_LIMIT. */
struct MpExchange;
int MpRouter_Enqueue(struct MpRouter *this, struct MpExchange *exchange);

/* Picks a target for an exchange; see MpPicker_Pick. */
struct MpTarget *MpRouter_Pick(struct MpRouter *this,
                               const struct MpExchange *exchange, int *code);

/* Appends the state of router and targets as Prometheus text. */
void MpRouter_WriteMetrics(struct MpRouter *this, GString *out);

#endif
