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
 * Router - the state of an instance that serves callers: its connection to the
 * control replicas, targets, limits, queues and requests in progress.
 */

struct MpTargetPoller;
struct MpLeaseManager;

struct MpRouter {
    struct MpLoop *loop;
    const struct MpSettings *settings;
    struct MpControlClient control;
    struct MpPicker picker;
    struct MpLimits limits;
    struct MpMetrics metrics;
    GHashTable *queues; /* model or service -> struct MpFairQueue */
    struct MpTargetPoller *poller;
    struct MpLeaseManager *leases;
    struct MpHttpServer http;
    struct MpHttpServer ready_http; /* /readyz on an address of its own */
    struct MpGateway gateway;
    struct MpMemoryAccount memory;
    struct MpMemoryAccount ready_memory; /* of requests to ready_http */
    GQueue exchanges;                    /* of struct MpExchange */
    uint64_t last_open_id;
    bool is_draining;
    int64_t drain_until_ms; /* draining: latest end */
    int64_t refuse_from_ms; /* draining: new requests are refused from then */
    bool is_dispatch_pending; /* see MpRouter_ScheduleDispatch */
    struct MpTimer timer;
    void (*on_drained)(void *owner);
    void *owner; /* of on_drained */
};

/* Starts listening and connects to the control replicas.  Errors: MP_ERROR_IO
 * when an address cannot be bound, or those of MpLeaseManager_New. */
int MpRouter_Start(struct MpRouter *this, struct MpLoop *loop,
                   const struct MpSettings *settings,
                   const uint8_t *fleet_key);

/* Stops accepting requests, waits for those in progress, at most the drain
 * time, and then calls on_drained. */
void MpRouter_Drain(struct MpRouter *this, void (*on_drained)(void *owner),
                    void *owner);

/* The process ends: records what its callers' connections still hold, and
 * appends how their requests ended as fields of a log line. */
void MpRouter_Stop(struct MpRouter *this, GString *out);

/* Schedules the dispatch of queued requests to targets, at the end of the
 * current round of the event loop. */
void MpRouter_ScheduleDispatch(struct MpRouter *this);

struct MpExchange;

/* Adds an exchange to the queue of its model or service.  Errors:
 * MP_ERROR_LIMIT when the queue is full. */
int MpRouter_Enqueue(struct MpRouter *this, struct MpExchange *exchange);

/* Picks a target for an exchange; see MpPicker_Pick. */
struct MpTarget *MpRouter_Pick(struct MpRouter *this,
                               const struct MpExchange *exchange, int *code);

/* Appends the metrics of the router and its targets as Prometheus text. */
void MpRouter_WriteMetrics(struct MpRouter *this, GString *out);

#endif
