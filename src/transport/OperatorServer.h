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
 * basic authentication, except for /healthz, /metrics and the document
 * requests of a dialect (NumberedDocument.h).
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
    uint64_t rejected; /* requests with a wrong token */
};

/* Returns MP_OK if the settings name no token file or a usable one, otherwise
 * MP_ERROR_AUTHENTICATION. */
int MpOperatorServer_CheckToken(const struct MpSettings *settings);

/* Starts the listeners that settings name.  Errors: MP_ERROR_IO;
 * MP_ERROR_AUTHENTICATION if the token file is unreadable or blank, or if none
 * is named and the dialect has no document requests without it. */
int MpOperatorServer_Start(struct MpOperatorServer *this, struct MpLoop *loop,
                           const struct MpSettings *settings,
                           struct MpControlClient *control,
                           struct MpRouter *router, struct MpReplica *replica);

/* An operator's request, from its arrival to its response. */
struct MpOperatorCall {
    struct MpOperatorServer *server;
    h2o_req_t *req; /* NULL once the operator has disconnected */
    struct MpOperatorLink *link;
    char *path;
    char *workspace;
    char *document_text;
    uint64_t document_version; /* assigned by the operator */
    bool is_console;
};

/* Allocated in the request's memory pool; its destructor clears call->req. */
struct MpOperatorLink {
    struct MpOperatorCall *call;
};

struct MpOperatorCall *MpOperatorCall_New(struct MpOperatorServer *server,
                                          h2o_req_t *req);
void MpOperatorCall_Delete(struct MpOperatorCall *this);

/* Sends an error response, a page for the console and otherwise JSON, and
 * frees the call.  detail may be NULL. */
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
