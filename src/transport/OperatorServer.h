#ifndef MP_TRANSPORT_OPERATOR_SERVER_H
#define MP_TRANSPORT_OPERATOR_SERVER_H

#include "transport/ControlClient.h"
#include "transport/HttpServer.h"
#include "transport/Replica.h"
#include "transport/Router.h"

/*
 * OperatorServer - HTTP server for operators: control API, web console and
 * metrics.
 *
 * Requests need the operator token, as a bearer token or as the password of
 * basic authentication, except for /healthz, /metrics and the requests of a
 * dialect (NumberedDocument.h, ZoneOrder.h).
 *
 * While the instance stops, calls that were read before are completed and new
 * ones are refused; /healthz and /metrics are served until the end.
 */

struct MpOperatorServer {
    struct MpHttpServer http;
    struct MpHttpServer metrics_http; /* separate metrics listener, optional */
    struct MpLoop *loop;
    const struct MpSettings *settings;
    struct MpControlClient *control;
    struct MpRouter *router;   /* NULL unless the instance is a router */
    struct MpReplica *replica; /* NULL unless it is a control replica */
    char *token;
    struct MpMemoryAccount memory; /* of requests on both listeners */
    GQueue calls;                  /* of struct MpOperatorCall */
    bool is_draining;
    uint64_t rejected; /* requests with a wrong token */
};

/* Returns MP_OK if the settings name no token file or a usable one, otherwise
 * MP_ERROR_AUTHENTICATION. */
int MpOperatorServer_CheckToken(const struct MpSettings *settings);

/* Returns the limit of the account of memory for operators, bytes. */
int64_t MpOperatorServer_MemoryLimit(const struct MpSettings *settings);

/* Starts the listeners that settings name.  Errors: MP_ERROR_IO;
 * MP_ERROR_AUTHENTICATION if the token file is unreadable or blank, or if none
 * is named and the dialect has no document requests without it. */
int MpOperatorServer_Start(struct MpOperatorServer *this, struct MpLoop *loop,
                           const struct MpSettings *settings,
                           struct MpControlClient *control,
                           struct MpRouter *router, struct MpReplica *replica);

/* Refuses new calls from now on: MP_ERROR_DRAINING, and their connection is
 * closed.  May be called for a server that was not started, as may the
 * functions below. */
void MpOperatorServer_Drain(struct MpOperatorServer *this);

/* Returns whether no request is in progress, nor received and unread, and all
 * responses were sent. */
bool MpOperatorServer_IsIdle(const struct MpOperatorServer *this);

/* Answers the calls that still wait: MP_ERROR_DRAINING, or MP_ERROR_NO_QUORUM
 * for a change whose outcome is not known. */
void MpOperatorServer_StopCalls(struct MpOperatorServer *this);

/* Lets no new connection begin; those that were begun are still accepted for
 * as long as the listener is open. */
void MpOperatorServer_StopListening(struct MpOperatorServer *this);

/* Closes all listeners and idle connections.  Returns whether all connections
 * are closed. */
bool MpOperatorServer_Close(struct MpOperatorServer *this);

/* The process ends: records what the connections still hold. */
void MpOperatorServer_Stop(struct MpOperatorServer *this);

/* An operator's request, from its arrival to its response. */
struct MpOperatorCall {
    struct MpOperatorServer *server;
    GList link_in_server; /* in MpOperatorServer.calls */
    h2o_req_t *req;       /* NULL once the operator has disconnected */
    struct MpOperatorLink *link;
    char *path;
    char *workspace;
    char *zone;
    char *document_text;
    uint64_t document_version; /* assigned by the operator */
    int64_t began_ms;
    bool is_console;
    bool is_zone_drain; /* of zone; else it is restored */
    bool is_proposed;   /* a change was proposed to the control replicas */
};

/* Allocated in the request's memory pool; its destructor clears call->req. */
struct MpOperatorLink {
    struct MpOperatorCall *call;
};

struct MpOperatorCall *MpOperatorCall_New(struct MpOperatorServer *server,
                                          h2o_req_t *req);
void MpOperatorCall_Delete(struct MpOperatorCall *this);

/* Sends an error response, a page for the console and otherwise JSON, and
 * frees the call.  detail may be NULL.  MP_ERROR_NO_QUORUM of a call that has
 * proposed a change says that its outcome is not known. */
void MpOperatorCall_Fail(struct MpOperatorCall *this, int code,
                         const char *detail);
/* Returns whether a proposal succeeded; if not, sends the error and frees the
 * call.  result is NULL unless code is MP_OK. */
bool MpOperatorCall_CheckResult(struct MpOperatorCall *this, int code,
                                const struct mp_result *result);
/* Sends body as JSON or HTML and frees the call. */
void MpOperatorCall_Send(struct MpOperatorCall *this, int status,
                         const char *content_type, const char *body);

/* Longest time that an operator's request waits for the quorum. */
#define MP_OPERATOR_TIMEOUT_MS 5000

#endif
