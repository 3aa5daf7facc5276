#ifndef MP_TRANSPORT_GATEWAY_CALL_H
#define MP_TRANSPORT_GATEWAY_CALL_H

#include "coordination/Forward.h"
#include "gen/wire.h"
#include "transport/CallerResponse.h"
#include "transport/Gateway.h"
#include "transport/TargetConn.h"

/*
 * GatewayCall - the state of one request on a path, from its arrival to the
 * end of its response: budget, deadline, attempts and refusals.
 */

/* Retry-After when all targets of a pool are busy, ms. */
#define MP_RETRY_AFTER_BUSY_MS 400

/* Bytes of a fingerprint that log lines show. */
#define MP_FINGERPRINT_LOG_BYTES 8

enum MpCallStage {
    MP_CALL_CALLER,  /* finds out whether its caller has left */
    MP_CALL_TRIAL,   /* waits for a probe or for the quorum's decision */
    MP_CALL_BUDGET,  /* waits for budget of its workspace */
    MP_CALL_VERSION, /* waits for the version at which its stream began */
    MP_CALL_PERMIT,  /* waits for a permit of a target that names a limit */
    MP_CALL_RUNNING, /* an attempt is under way */
    MP_CALL_ENDED    /* the rest of the response is being sent */
};

struct MpGatewayCall {
    struct MpGateway *gateway;
    enum MpCallStage stage;
    GList link;
    struct MpTimer timer;
    struct MpForward forward;
    struct MpRequestMeta meta;
    struct MpDocument *document;
    const struct MpPathConf *path;
    const char *workspace; /* owned by document; NULL for anonymous paths */
    const char *pool;
    struct MpRegionRule regions; /* where it may be served */
    char *id;      /* of the request, chosen by the caller or else here; may be
                    * NULL, if the dialect doesn't name requests */
    char *version; /* software version at which its stream began or goes on;
                    * NULL: not known yet */
    bool is_version_checked;     /* a stream that is taken up */
    struct MpCallerProbe *probe; /* of the caller, under way */
    bool is_caller_asked;        /* it waits, for the attempt to come */
    int64_t
        closed_ms; /* how long its sending side was closed by then, -1: not */
    struct MpTakeUpQuery *query;   /* to the quorum, under way */
    struct MpStreamRecord *record; /* that its response waits for, or NULL */
    int64_t record_wait_ms;        /* how long it did */
    bool is_finish_held;           /* and all of the response is there */
    bool is_cut_held;              /* and it broke off */
    int held_code;                 /* error with which it broke off */
    char *resumes;    /* id of the request whose stream it takes up, or NULL */
    GByteArray *head; /* request line and headers sent in every attempt */
    struct MpRequestBody *body;         /* or NULL */
    uint8_t fingerprint[MP_HASH_BYTES]; /* equal for repeated requests */
    char fingerprint_hex[2 * MP_FINGERPRINT_LOG_BYTES + 1]; /* for the log */
    uint64_t run_id;              /* random; unique across instances */
    struct MpSuspectCheck *check; /* probe or quorum query under way */
    uint32_t trials; /* bits of its fingerprints that no other request may
                      * run with: bit 0 is the request, bit n part n - 1 */
    uint32_t runs_before_trial; /* attempts that may have run when the last
                                 * trial was granted */
    bool is_head;               /* method HEAD */
    bool is_pause_answer;       /* the target asked for a pause */
    struct MpCallerResponse response;
    /* budget */
    int64_t reserved_mtok;
    uint32_t budget_rounds; /* reports answered while the call waited */
    /* permits for targets that name a limit */
    struct MpPermitRequest *permit; /* being sought */
    char *permitted; /* incarnation of a target for which one was granted */
    uint32_t permit_tries;  /* for this attempt */
    int64_t permit_wait_ms; /* time spent in the stage MP_CALL_PERMIT */
    /* the current attempt */
    struct MpPoolTarget *target;
    struct MpTargetConn *conn;
    GPtrArray *tried; /* of struct MpPoolTarget, by all attempts */
    int64_t sent_ms;
    int64_t received_ms; /* last data from the target, at first sent_ms */
    int64_t expected_wait_ms;
    int64_t prefill_tokens;
    bool is_cold;          /* the target was cold when it was picked */
    bool has_response;     /* the head of the target's response has arrived */
    bool is_rejected;      /* that response says that nothing has run */
    bool is_relayed;       /* the body of that response goes to the caller */
    bool is_head_held;     /* its head goes there with the first of the body */
    int64_t held_size;     /* length of the body that the head names, or -1 */
    bool is_event_stream;  /* the body is forwarded by whole events */
    bool is_stream_start;  /* no byte of it has been looked at */
    bool is_silence_borne; /* it has fallen silent, and none can replace it */
    int status;
    /* the attempt's events, for the speed of its target */
    int64_t events_began_ms; /* when the first ones arrived; 0: none yet */
    int64_t events_at_begin; /* how many these were */
    int64_t events_ms;       /* when the last ones arrived */
    bool is_reading_held;    /* nothing was read for a while */
    int64_t response_bytes;
    GByteArray *partial;       /* event that is not complete yet */
    int caller_status;         /* status sent to the caller */
    int64_t first_byte_ms;     /* from arrival to first byte sent, 0: none */
    int64_t caller_checked_ms; /* last check for a disconnected caller */
};

/* Handles a request; the response is sent asynchronously. */
void MpGatewayCall_Begin(struct MpGateway *gateway, h2o_req_t *req);

/* -- for GatewayAttempt, GatewaySuspect and GatewayLoans -- */

/* Settles the budget and logs and counts how the call ended. */
void MpGatewayCall_End(struct MpGatewayCall *this, const char *outcome,
                       int code);

/* Ends a call whose response is there as a whole. */
void MpGatewayCall_Finish(struct MpGatewayCall *this);

/* Reserves the call's worst-case budget, then starts the first attempt. */
void MpGatewayCall_ReserveBudget(struct MpGatewayCall *this);

/* Carries out a step that ends the request.  code is the error for the
 * caller, retry_after_ms the Retry-After of a refusal; 0 for none. */
void MpGatewayCall_GiveUp(struct MpGatewayCall *this, enum MpForwardStep step,
                          int code, int64_t retry_after_ms);
void MpGatewayCall_Free(struct MpGatewayCall *this);

/* Ends a call that outlasts the drain: with a final answer, or, if that has
 * begun, so that it looks incomplete. */
void MpGatewayCall_Stop(struct MpGatewayCall *this);

/* Tries the reservation again.  is_answered: the ledger has answered a
 * report while the call waited. */
void MpGatewayCall_RetryReserve(struct MpGatewayCall *this, bool is_answered);

/* Returns whether its stream may go on at another target. */
bool MpGatewayCall_IsResumable(const struct MpGatewayCall *this);

/* Returns the rank of the call, 0 for the most urgent: that of its workspace,
 * or else of its path. */
int64_t MpGatewayCall_Rank(const struct MpGatewayCall *this);

#endif
