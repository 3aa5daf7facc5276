#ifndef MP_TRANSPORT_OPERATOR_SERVER_H
#define MP_TRANSPORT_OPERATOR_SERVER_H

#include "transport/ControlClient.h"
#include "transport/HttpServer.h"
#include "transport/Replica.h"
#include "transport/Router.h"

/*
 * OperatorServer - the listener for operators: the control interface, the
 * console, and the metrics.
 *
 * Every path but /healthz and /metrics needs the operator token, as a bearer
 * token or as the password of basic authentication.
 */

struct MpOperatorServer {
    struct MpHttpServer http;
    struct MpHttpServer metrics; /* where counters are told, if apart */
    struct MpLoop *loop;
    const struct MpSettings *settings;
    struct MpControlClient *control;
    struct MpRouter *router;   /* NULL on an instance without that role */
    struct MpReplica *replica; /* NULL on an instance without that role */
    char *token;
    uint64_t rejected; /* requests with a wrong token */
};

/* Errors: MP_ERROR_IO, MP_ERROR_AUTHENTICATION when there is no token. */
int MpOperatorServer_Start(struct MpOperatorServer *this, struct MpLoop *loop,
                           const struct MpSettings *settings,
                           struct MpControlClient *control,
                           struct MpRouter *router, struct MpReplica *replica);

/* A request that waits for the quorum. */
struct MpOperatorCall {
    struct MpOperatorServer *server;
    h2o_req_t *req; /* NULL once the operator is gone */
    struct MpOperatorLink *link;
    char *path;
    char *workspace;
    char *document;
    uint64_t number; /* version that the operator gave the document */
    bool is_console;
};

/* Ties a call to the memory of its request. */
struct MpOperatorLink {
    struct MpOperatorCall *call;
};

struct MpOperatorCall *MpOperatorCall_New(struct MpOperatorServer *server,
                                          h2o_req_t *req);
void MpOperatorCall_Delete(struct MpOperatorCall *this);

/* Sends a typed error and frees the call. */
void MpOperatorCall_Fail(struct MpOperatorCall *this, int code,
                         const char *detail);
/* Returns whether a proposal was carried out; if not, it has failed the
 * call. */
bool MpOperatorCall_Succeeded(struct MpOperatorCall *this, int code,
                              const struct mp_result *result);
/* Sends body as JSON or HTML and frees the call. */
void MpOperatorCall_Answer(struct MpOperatorCall *this, int status,
                           const char *content_type, const char *body);

/* Time that an operator's request may wait for the quorum. */
#define MP_OPERATOR_WAIT_MS 5000

#endif
