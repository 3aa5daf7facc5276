#ifndef MP_TRANSPORT_EXCHANGE_H
#define MP_TRANSPORT_EXCHANGE_H

#include "coordination/FairQueue.h"
#include "coordination/Picker.h"
#include "protocol/Chat.h"
#include "protocol/Sse.h"
#include "state/Error.h"
#include "transport/BodyLength.h"
#include "transport/Router.h"
#include "transport/Upstream.h"

#include <h2o.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Exchange - one native request (a chat completion or a service call by the
 * product's own HTTP API), from its arrival to its settlement.
 *
 * The end of a response is sent only after the settlement is durable.  A
 * caller that has a complete response has therefore been billed, and a request
 * that was never settled was never answered completely.
 */

enum MpExchangeStage {
    MP_STAGE_WAITING,  /* queued until a target has a free slot */
    MP_STAGE_OPENING,  /* opening the ledger record, or journaling the start
                        * of a request that runs from a lease */
    MP_STAGE_RUNNING,  /* an attempt at a target is in progress */
    MP_STAGE_SETTLING, /* writing the bill; the last part of the response is
                        * held back until the bill is durable */
    MP_STAGE_REFUSING, /* reading the record of the key, to tell whether the
                        * request may have run before */
    MP_STAGE_ENDED     /* settled or refused */
};

/* Links an exchange to h2o's request.  Allocated in the request's pool, so it
 * may outlive the exchange. */
struct MpCallerLink {
    h2o_generator_t super;
    struct MpExchange *exchange; /* NULL once the caller is detached */
};

struct MpExchange {
    struct MpRouter *router;
    enum MpExchangeStage stage;
    GList link; /* in MpRouter.exchanges */

    /* the caller */
    h2o_req_t *req; /* NULL once the caller has disconnected, or was sent a
                     * refusal */
    struct MpCallerLink *caller;
    struct MpCallerProbe *probe; /* of the caller, in MP_STAGE_OPENING */
    GByteArray *unsent;          /* data not yet passed to h2o */
    GByteArray *sending;         /* data that h2o is sending */
    struct MpBodyLength length;
    bool is_head_sent;       /* the head of the response was sent */
    bool is_output_closed;   /* no more data follows unsent */
    bool is_aborted;         /* the response is not completed */
    bool is_end_logged;      /* see MpExchange_NoteEnd */
    bool is_caller_slow;     /* the target is not read until the caller has */
    int64_t silence_left_ms; /* time that the target had left then */
    bool is_stopping;        /* the process is about to end */
    bool wants_usage;        /* stream_options.include_usage is set */

    /* the request */
    struct MpDocument *document;
    const struct MpWorkspaceConf *workspace_conf;
    char *workspace;
    char *request_id;
    char *key;
    bool has_auto_key; /* the caller sent no Idempotency-Key */
    char *method;
    char *path;
    uint8_t body_hash[MP_HASH_BYTES];
    bool is_chat;
    struct MpChat chat;
    const struct MpModelConf *model;
    const struct MpServiceConf *service;
    const GPtrArray *targets;
    const char *queue_name; /* name of the model or service */
    struct MpRequestBody *body;
    struct MpMemoryHolder memory; /* see MpExchange_CountMemory */
    int64_t parsed_bytes;         /* of memory, for a chat request */
    char *body_type;
    bool at_most_once;
    int64_t reserve_mtok;                  /* upper bound of the bill */
    uint64_t blocks[MP_PREFIX_BLOCKS_MAX]; /* chained hashes of the prompt */
    uint32_t block_count;

    /* coordination */
    struct MpQueueItem item;
    uint64_t open_id;
    struct mp_incarnation holder;
    bool is_rerun; /* the key has a response already; this run is not billed */
    bool is_offline;  /* runs from a lease; the quorum is not needed */
    bool is_admitted; /* counted by MpLimits_Enter */
    int refusal_code; /* valid in MP_STAGE_REFUSING */
    int64_t refusal_retry_ms;
    int64_t began_ms;
    int64_t deadline_ms;   /* of opening the record */
    int64_t open_retry_ms; /* delay before the record is opened again */
    struct MpTimer timer;

    /* the attempt */
    struct MpTarget *target;
    struct MpUpstream *upstream;
    struct MpSse sse;
    GPtrArray *tried;            /* names of targets with a failed attempt */
    struct MpRegionRule regions; /* where it may be served */
    uint32_t attempts;
    int64_t sent_ms;
    bool is_pause_answer; /* the target has asked for a pause */
    bool was_sent;        /* a target may have received this request */
    bool may_have_run;    /* an earlier request with this key may have run */
    char *target_boot;    /* boot id of target at the start, or NULL */
    bool is_stream;       /* the response is a text/event-stream */
    bool has_done_event;  /* data: [DONE] was received */
    int32_t status;
    size_t announced_bytes; /* Content-Length of the target's response,
                             * SIZE_MAX if it has none */
    char *content_type;
    bool is_encoded;       /* the target's response has a Content-Encoding */
    GPtrArray *headers;    /* of the target's response: names, each followed by
                            * its value */
    GByteArray *response;  /* data to send after settlement: a whole
                            * plain response, or the last event of a stream */
    int64_t sent_tokens;   /* tokens sent to the caller, by all attempts */
    int64_t prompt_tokens; /* as reported by the engine */
    int64_t output_tokens; /* as reported by the engine */
    bool has_usage; /* the engine reported prompt_tokens and output_tokens */
    int64_t first_token_ms;
    int64_t last_token_ms;
};

/* Starts handling a request.  The response is sent asynchronously. */
void MpExchange_Begin(struct MpRouter *router, h2o_req_t *req);

/* Opens the ledger record of a request for which target was picked. */
void MpExchange_Open(struct MpExchange *this, struct MpTarget *target);

/* Returns when a request that no target takes may come back: after the first
 * pause if all its targets are paused, else after other_ms. */
int64_t MpExchange_RetryAfter(const struct MpExchange *this, int64_t other_ms);

/* Refuses a request that was not sent to a target, with error code. */
void MpExchange_Shed(struct MpExchange *this, int code);

/* Answers a request that still runs shortly before the process ends, and
 * settles what is known of it.  Called again after a moment, it also answers
 * requests whose record is still being read or written.  May free this. */
void MpExchange_Stop(struct MpExchange *this);

/* Returns whether the caller is still there; without it, nothing more is sent
 * to a target. */
bool MpExchange_HasCaller(const struct MpExchange *this);

/* Handles a disconnected caller.  May free this. */
void MpExchange_CallerDisconnected(struct MpExchange *this);

/* Starts a request that runs from a lease; LeaseManager calls this once the
 * journal has the request. */
void MpExchange_RunOffline(struct MpExchange *this);

/* Ends the exchange, whose caller has its answer or has left.  May free
 * this. */
void MpExchange_End(struct MpExchange *this);

/* Records how the exchange ends for its caller, "answered", "refused", "cut"
 * or "caller-gone", and writes its request-ended line.  Only the first call
 * counts; each exchange has one. */
void MpExchange_NoteEnd(struct MpExchange *this, const char *outcome,
                        int code);

/* Counts what the request holds besides its body: the parsed request of a chat
 * and its copy for the engine, and the response as far as it is here. */
void MpExchange_CountMemory(struct MpExchange *this);

/* -- request (ExchangeRequest.c) -- */
/* Parses workspace, key, model or service, and upper price bound from req.
 * Returns MP_OK or the error to refuse the request with; *why is then set to
 * a static sentence for the error body, or left alone. */
int MpExchange_ParseRequest(struct MpExchange *this, const h2o_req_t *req,
                            const char **why);

/* -- caller (ExchangeCaller.c) -- */
/* Sets the request to respond to, and the callbacks for its disconnection. */
void MpExchange_AttachCaller(struct MpExchange *this, h2o_req_t *req);
/* Sends an error response and detaches the caller, unless a response was
 * already completed.  detail may be NULL. */
void MpExchange_Refuse(struct MpExchange *this, int code, const char *detail,
                       int64_t retry_after_ms);
/* Sends the head of the response.  size is the content length, SIZE_MAX when
 * it is not known. */
void MpExchange_StartResponse(struct MpExchange *this, int32_t status,
                              const char *content_type, size_t size);
void MpExchange_Write(struct MpExchange *this, const void *data, size_t size);
/* Writes the response that was kept, without a copy. */
void MpExchange_WriteKept(struct MpExchange *this);
/* Marks the response as complete. */
void MpExchange_FinishResponse(struct MpExchange *this);
/* Ends the response with error code.  If no head was sent, an error response
 * is sent.  Otherwise the connection is closed, so that the response does not
 * look complete; a stream gets an error event first. */
void MpExchange_AbortResponse(struct MpExchange *this, int code);
/* Sends an error response to a request that may have no exchange.  detail and
 * request_id may be NULL. */
void MpExchange_SendError(h2o_req_t *req, int code, const char *detail,
                          const char *request_id, int64_t retry_after_ms,
                          bool may_have_run);

/* -- plain responses (ExchangeBuffer.c) -- */
/* Largest plain response that is kept until its settlement, bytes; a larger
 * one fails the attempt. */
#define MP_PLAIN_RESPONSE_MAX_BYTES (16 * 1024 * 1024)
/* Largest sum of those of an instance, bytes.  Beyond it the attempt with the
 * largest one fails; small ones do not count. */
#define MP_PLAIN_RESPONSES_MAX_BYTES (64 * 1024 * 1024)
#define MP_PLAIN_RESPONSE_SMALL_BYTES (64 * 1024)
/* Keeps a part of a plain response.  Returns false if there is no room: the
 * attempt of this exchange has to fail. */
bool MpExchange_KeepResponse(struct MpExchange *this, const char *data,
                             size_t size);
/* Frees what was kept. */
void MpExchange_DropResponse(struct MpExchange *this);

/* -- target (ExchangeTarget.c) -- */
/* Sends the request to this->target. */
void MpExchange_StartAttempt(struct MpExchange *this);
/* Cancels the attempt under way, which may have run, and looks into it: the
 * target may have crashed. */
void MpExchange_FailAttempt(struct MpExchange *this);
/* Cancels the upstream request, if any, and releases the target. */
void MpExchange_EndAttempt(struct MpExchange *this,
                           enum MpAttemptOutcome outcome);
/* Expects the next token of the attempt within wait_ms of reading. */
void MpExchange_ExpectToken(struct MpExchange *this, int64_t wait_ms);
/* Cancels the attempt, if any, and ends the request: its outcome is unknown.
 * May free this. */
void MpExchange_StopAttempt(struct MpExchange *this);

/* -- settlement (ExchangeSettlement.c) -- */
/* Closes the record with outcome and bills spent_mtok.  May free this. */
void MpExchange_Settle(struct MpExchange *this, enum mp_record_state outcome,
                       int64_t spent_mtok);

/* Completes the response once the bill is durable.  May free this. */
void MpExchange_FinishSettled(struct MpExchange *this);

/* Returns the price of the usage so far, mtok. */
int64_t MpExchange_Price(const struct MpExchange *this);

#endif
