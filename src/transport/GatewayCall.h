#ifndef MP_TRANSPORT_GATEWAY_CALL_H
#define MP_TRANSPORT_GATEWAY_CALL_H

#include "coordination/Forward.h"
#include "gen/wire.h"
#include "transport/CallerResponse.h"
#include "transport/Gateway.h"
#include "transport/TargetConn.h"

/*
 * GatewayCall - one request on a path, from its arrival to its end.
 */

/* When a caller may come back to a pool that is busy, ms. */
#define MP_RETRY_BUSY_MS 400

/* Bytes of a fingerprint that log lines show. */
#define MP_SAME_BYTES 8

enum MpCallStage {
    MP_CALL_TRIAL,   /* waits for a word on a target's end */
    MP_CALL_BUDGET,  /* waits for a part of the workspace's budget */
    MP_CALL_RUNNING, /* an attempt is at a target */
    MP_CALL_ENDED    /* the answer is on its way to the caller */
};

struct MpGatewayCall {
    struct MpGateway *gateway;
    enum MpCallStage stage;
    GList link;
    struct MpTimer timer;
    struct MpForward forward;
    struct MpRequestMeta facts;
    struct MpDocument *document;
    const struct MpPathConf *path;
    const char *workspace; /* of the document; NULL for anonymous paths */
    const char *pool;
    char *id;
    GByteArray *head; /* request line and headers that all attempts share */
    GByteArray *body;
    uint8_t fingerprint[MP_HASH_BYTES]; /* the same when it comes again */
    char same[2 * MP_SAME_BYTES + 1];   /* its first bytes, for the log */
    uint64_t run;             /* number of this request, of all instances */
    struct MpSuspectJob *job; /* that it waits for, or that goes on */
    bool is_on_trial;         /* no other of its fingerprint may run */
    bool is_head;             /* method HEAD */
    struct MpCallerAnswer answer;
    /* budget */
    int64_t reserved_mtok;
    uint32_t budget_rounds;
    /* the attempt */
    struct MpPoolTarget *target;
    struct MpTargetConn *conn;
    GPtrArray *avoid;
    int64_t sent_ms;
    int64_t heard_ms; /* last byte of the target, or when it was sent */
    int64_t wait_ms;
    int64_t prefill_tokens;
    bool has_answered;
    bool is_relayed; /* the answer of this attempt goes to the caller */
    bool is_events;
    int status;
    GByteArray *partial; /* an event that has not ended */
    int head_status;     /* of the head that the caller has */
    int64_t first_ms;    /* first byte of an answer, 0: none yet */
    int64_t checked_ms;  /* when the caller was last looked for */
};

/* Takes a request; answers it sooner or later. */
void MpGatewayCall_Begin(struct MpGateway *gateway, h2o_req_t *req);

/* -- for the attempt -- */

/* Settles the budget and tells how the call ended. */
void MpGatewayCall_End(struct MpGatewayCall *this, const char *outcome,
                       int code);

/* Reserves the budget of a call that may run, and starts it. */
void MpGatewayCall_TakeBudget(struct MpGatewayCall *this);

/* Carries out a step that ends the request, with the error and the time to
 * come back. */
void MpGatewayCall_GiveUp(struct MpGatewayCall *this, enum MpForwardStep step,
                          int code, int64_t retry_after_ms);
void MpGatewayCall_Free(struct MpGatewayCall *this);

/* Tries again to get a part of the budget, after a report was answered. */
void MpGatewayCall_RetryBudget(struct MpGatewayCall *this, bool is_answered);

/* Looks whether the caller has left, if it was not looked for lately; returns
 * whether it has, and the call has ended. */
bool MpGatewayCall_CheckCaller(struct MpGatewayCall *this, int64_t now_ms);

#endif
