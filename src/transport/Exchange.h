#ifndef MP_TRANSPORT_EXCHANGE_H
#define MP_TRANSPORT_EXCHANGE_H

#include "coordination/FairQueue.h"
#include "coordination/Picker.h"
#include "protocol/Chat.h"
#include "protocol/Sse.h"
#include "state/Error.h"
#include "transport/Router.h"
#include "transport/Upstream.h"

#include <h2o.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Exchange - one request of a caller, from its arrival to its settlement.
 *
 *     waiting   for a target with room
 *     opening   the open record is on its way to the quorum
 *     running   an attempt is at a target
 *     settling  the bill is on its way to the quorum; the last part of the
 *               answer is held back until it is durable
 *     refusing  the ledger is asked whether the key has run before
 *     ended     settled, or refused
 *
 * Since the end of an answer is sent only after the settlement is durable, a
 * caller that has a whole answer has been billed, and a request that was
 * never settled was never answered as a whole.
 */

enum MpStage {
    MP_STAGE_WAITING,
    MP_STAGE_OPENING,
    MP_STAGE_RUNNING,
    MP_STAGE_SETTLING,
    MP_STAGE_REFUSING,
    MP_STAGE_ENDED
};

/* Ties an exchange to the memory of the caller's request. */
struct MpCallerLink {
    h2o_generator_t super;
    struct MpExchange *exchange; /* NULL once the exchange has ended */
};

struct MpExchange {
    struct MpRouter *router;
    enum MpStage stage;
    GList link; /* in the router's list */

    /* the caller */
    h2o_req_t *req; /* NULL once the caller is gone */
    struct MpCallerLink *caller;
    GByteArray *out;     /* waits to be sent */
    GByteArray *sending; /* is being sent */
    bool is_started;     /* the head of the answer is sent */
    bool is_last;        /* nothing follows out */
    bool is_aborted;     /* the answer ends with an error */
    bool wants_usage;

    /* what is asked for */
    struct MpDocument *document;
    const struct MpWorkspaceConf *conf;
    char *workspace;
    char *request_id;
    char *key;
    bool is_brief; /* the caller gave no key */
    char *method;
    char *path;
    uint8_t body_hash[MP_HASH_BYTES];
    bool is_chat;
    struct MpChat chat;
    const struct MpModelConf *model;
    const struct MpServiceConf *service;
    const GPtrArray *targets;
    const char *queue_name;
    GByteArray *body;
    char *body_type;
    bool at_most_once;
    int64_t reserve_mtok;
    uint64_t blocks[MP_PREFIX_BLOCKS_MAX];
    uint32_t block_count;

    /* coordination */
    struct MpQueueItem item;
    uint64_t open_id;
    struct mp_incarnation holder;
    bool is_rerun;   /* answered before; this run is not billed */
    bool is_offline; /* runs from a lease, without the quorum */
    bool is_admitted;
    int refusal; /* while refusing */
    int64_t refusal_retry_ms;
    int64_t began_ms;
    int64_t deadline_ms;
    int64_t recall_wait_ms;
    struct MpTimer timer;

    /* the attempt */
    struct MpTarget *target;
    struct MpUpstream *upstream;
    struct MpSse sse;
    GPtrArray *avoid; /* names of targets tried */
    uint32_t attempts;
    bool was_sent;     /* a target may have got the request */
    bool may_have_run; /* an earlier request with this key may have */
    char *target_boot;
    bool is_stream; /* the answer is a stream of events */
    bool is_done;   /* the end mark of the stream was seen */
    int32_t status;
    char *content_type;
    GByteArray *answer; /* a plain answer so far */
    int64_t tokens;     /* tokens sent to the caller */
    int64_t prompt_tokens;
    int64_t output_tokens;
    bool has_usage;
    int64_t first_token_ms;
    int64_t last_token_ms;
};

/* Takes a request of a caller; answers it sooner or later. */
void MpExchange_Begin(struct MpRouter *router, h2o_req_t *req);

/* Goes on once a target with room was found. */
void MpExchange_Open(struct MpExchange *this, struct MpTarget *target);

/* Gives up a request that has waited too long. */
void MpExchange_Shed(struct MpExchange *this, int code);

/* -- request (ExchangeRequest.c) -- */
/* Reads what the caller asks for: workspace, key, model or service, price.
 * Returns MP_OK or the error to refuse it with, and a sentence in *why. */
int MpExchange_Read(struct MpExchange *this, const h2o_req_t *req,
                    const char **why);

/* -- caller (ExchangeCaller.c) -- */
void MpExchange_AttachCaller(struct MpExchange *this, h2o_req_t *req);
void MpExchange_Refuse(struct MpExchange *this, int code, const char *detail,
                       int64_t retry_after_ms);
/* size is that of the whole answer, SIZE_MAX when it is not known yet. */
void MpExchange_StartAnswer(struct MpExchange *this, int32_t status,
                            const char *content_type, size_t size);
void MpExchange_Write(struct MpExchange *this, const void *data, size_t size);
void MpExchange_FinishAnswer(struct MpExchange *this);
void MpExchange_AbortAnswer(struct MpExchange *this, int code);
/* Answers outside an exchange, with the typed error body. */
void MpExchange_SendError(h2o_req_t *req, int code, const char *detail,
                          const char *request_id, int64_t retry_after_ms,
                          bool may_have_run);

/* -- target (ExchangeTarget.c) -- */
void MpExchange_StartAttempt(struct MpExchange *this);
void MpExchange_DropAttempt(struct MpExchange *this,
                            enum MpAttemptOutcome outcome);

/* -- settlement (Exchange.c) -- */
void MpExchange_Settle(struct MpExchange *this, enum mp_record_state outcome,
                       int64_t spent_mtok);
void MpExchange_CallerGone(struct MpExchange *this);

/* Goes on once the journal has the request; for LeaseKeeper. */
void MpExchange_RunOffline(struct MpExchange *this);

/* Ends a request whose bill is durable, and answers the caller. */
void MpExchange_FinishSettled(struct MpExchange *this);

/* Returns the price of what was used so far, mtok. */
int64_t MpExchange_Price(const struct MpExchange *this);

#endif
