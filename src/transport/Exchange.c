#include "transport/Exchange.h"

#include "state/Ledger.h"
#include "transport/CallerProbe.h"
#include "transport/HttpMemory.h"
#include "transport/LeaseManager.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <openssl/rand.h>
#include <string.h>
#include <sys/socket.h>

#define QUEUE_TIMEOUT_MS 2000
#define OPEN_TIMEOUT_MS 3000
#define OPEN_RETRY_MIN_MS 50
#define OPEN_RETRY_MAX_MS 200
#define LOOKUP_TIMEOUT_MS 400
#define BUSY_RETRY_AFTER_MS 250
#define NO_QUORUM_RETRY_AFTER_MS 1000
#define IN_PROGRESS_RETRY_AFTER_MS 1000

/* ---- creation and end ---- */

static char *
make_request_id(struct MpRouter *router)
{
    uint64_t number = 0;
    RAND_bytes((unsigned char *)&number, sizeof(number));
    return g_strdup_printf("%s-%016" PRIx64, router->settings->instance,
                           number);
}

/* Closes the connection of a caller for the room that its response takes. */
static void
close_for_memory(struct MpMemoryHolder *holder)
{
    struct MpExchange *this = holder->owner;
    MpLog_Event(LOG_NOTICE, "response-over-memory",
                "id=%s bytes=%" PRId64 " silent_ms=%" PRId64
                " held_bytes=%" PRId64 " limit_bytes=%" PRId64,
                this->request_id, holder->held_bytes,
                MpLoop_Now() - holder->progress_ms,
                this->router->memory.held_bytes,
                this->router->memory.limit_bytes);
    MpExchange_NoteEnd(this, "cut", MP_ERROR_MEMORY);
    if (this->req) {
        MpHttp_NoteEnd(this->req, MP_HTTP_CUT);
        /* h2o sees the end of the connection and stops the response. */
        shutdown(h2o_socket_get_fd(
                     this->req->conn->callbacks->get_socket(this->req->conn)),
                 SHUT_RDWR);
    }
}

static struct MpExchange *
exchange_new(struct MpRouter *router, h2o_req_t *req)
{
    struct MpExchange *this = g_new0(struct MpExchange, 1);
    this->router = router;
    this->document = MpDocument_Ref(router->control.document);
    this->began_ms = MpLoop_Now();
    this->request_id = make_request_id(router);
    this->method = g_strndup(req->method.base, req->method.len);
    this->path = g_strndup(req->path.base, req->path.len);
    this->body = MpRequestBody_New(req, &router->memory);
    this->body_type = MpHttp_CopyHeader(req, "content-type");
    this->memory =
        (struct MpMemoryHolder){.close = close_for_memory, .owner = this};
    this->unsent = g_byte_array_new();
    this->sending = g_byte_array_new();
    this->response = g_byte_array_new();
    this->tried = g_ptr_array_new_with_free_func(g_free);
    this->content_type = g_strdup("");
    this->headers = g_ptr_array_new_with_free_func(g_free);
    this->link.data = this;
    MpSse_Init(&this->sse);
    g_queue_push_tail_link(&router->exchanges, &this->link);
    MpExchange_AttachCaller(this, req);
    return this;
}

static void
exchange_free(struct MpExchange *this)
{
    g_queue_unlink(&this->router->exchanges, &this->link);
    MpLoop_ClearTimer(&this->timer);
    g_clear_pointer(&this->probe, MpCallerProbe_Cancel);
    MpSse_Done(&this->sse);
    MpChat_Done(&this->chat);
    MpDocument_Unref(this->document);
    g_ptr_array_unref(this->tried);
    g_ptr_array_unref(this->headers);
    g_clear_pointer(&this->body, MpRequestBody_Unref);
    MpMemoryAccount_Set(&this->router->memory, &this->memory, 0, MpLoop_Now());
    g_byte_array_unref(this->unsent);
    g_byte_array_unref(this->sending);
    g_byte_array_unref(this->response);
    g_free(this->workspace);
    g_free(this->request_id);
    g_free(this->key);
    g_free(this->method);
    g_free(this->path);
    g_free(this->body_type);
    g_free(this->content_type);
    g_free(this->target_boot);
    g_free(this);
}

/* Frees the exchange once it has ended and the caller is detached. */
static void
maybe_free(struct MpExchange *this)
{
    if (this->stage == MP_STAGE_ENDED && !this->req) {
        exchange_free(this);
    }
}

void
MpExchange_NoteEnd(struct MpExchange *this, const char *outcome, int code)
{
    if (this->is_end_logged) {
        return;
    }
    this->is_end_logged = true;
    MpMetrics_Count(&this->router->metrics, "mimosapath_exchange_ended_total",
                    "outcome", outcome, 1);
    int64_t first_ms =
        this->first_token_ms > 0 ? this->first_token_ms - this->began_ms : 0;
    MpLog_Event(code == MP_OK ? LOG_INFO : LOG_WARNING, "request-ended",
                "id=%s workspace=%s outcome=%s error=%s status=%d attempts=%u"
                " tokens=%" PRId64 " first_ms=%" PRId64 " took_ms=%" PRId64
                " document=%" PRIu64,
                this->request_id, this->workspace ? this->workspace : "-",
                outcome, MpError_Name(code), this->status, this->attempts,
                this->sent_tokens, first_ms, MpLoop_Now() - this->began_ms,
                this->document->version);
}

void
MpExchange_End(struct MpExchange *this)
{
    if (this->stage != MP_STAGE_ENDED) {
        this->stage = MP_STAGE_ENDED;
        MpLoop_ClearTimer(&this->timer);
        if (this->is_admitted) {
            MpLimits_Leave(&this->router->limits, this->workspace);
        }
        MpRouter_ScheduleDispatch(this->router);
    }
    maybe_free(this);
}

/* ---- opening ---- */

static void propose_open(struct MpExchange *this);

static void
release_target(struct MpExchange *this)
{
    if (this->target) {
        MpTarget_Finish(&this->router->picker, this->target,
                        MP_ATTEMPT_CANCELLED, MpLoop_Now());
        this->target = NULL;
        MpRouter_ScheduleDispatch(this->router);
    }
}

static void
refuse_now(struct MpExchange *this, int code, int64_t retry_after_ms)
{
    MpExchange_Refuse(this, code, NULL, retry_after_ms);
    MpExchange_End(this);
}

static void
on_record_read(void *data, int code, const struct mp_read_reply *reply)
{
    struct MpExchange *this = data;
    this->may_have_run = code != MP_OK || MpLedger_MayHaveRun(reply->record);
    refuse_now(this, this->refusal_code, this->refusal_retry_ms);
}

/* Refuses a request that was not opened.  A request with an Idempotency-Key
 * may have been sent before: the response says that it has not run only if the
 * ledger has no record of a run. */
static void
look_up_and_refuse(struct MpExchange *this, int code, int64_t retry_after_ms)
{
    release_target(this);
    if (!this->has_auto_key &&
        MpControlClient_IsPartitioned(&this->router->control)) {
        this->may_have_run = true; /* the ledger cannot be read */
    }
    if (this->has_auto_key || this->may_have_run || !this->req) {
        refuse_now(this, code, retry_after_ms);
        return;
    }
    this->stage = MP_STAGE_REFUSING;
    this->refusal_code = code;
    this->refusal_retry_ms = retry_after_ms;
    MpControlClient_ReadRecord(&this->router->control, this->workspace,
                               this->key, MpLoop_Now() + LOOKUP_TIMEOUT_MS,
                               on_record_read, this);
}

static void
refuse_unopened(struct MpExchange *this, int code)
{
    look_up_and_refuse(this, code, NO_QUORUM_RETRY_AFTER_MS);
}

static void
on_open_retry(struct MpTimer *timer)
{
    propose_open(timer->data);
}

static void
replay_response(struct MpExchange *this, const struct mp_result *result)
{
    release_target(this);
    if (this->req && result->answer.answer_len > 0) {
        this->status = result->status;
        MpHttp_AddHeader(this->req, MP_REPLAYED_HEADER, "yes");
        MpExchange_StartResponse(this, result->status, result->content_type,
                                 result->answer.answer_len);
        MpExchange_Write(this, result->answer.answer_val,
                         result->answer.answer_len);
        MpExchange_FinishResponse(this);
    }
    else {
        MpExchange_Refuse(this, MP_ERROR_ALREADY_ANSWERED, NULL, 0);
    }
    MpExchange_End(this);
}

static void
on_open_refused(struct MpExchange *this, const struct mp_result *result)
{
    int code = result->code;
    bool is_transient =
        code == MP_ERROR_RECALLING || code == MP_ERROR_HELD_BACK;
    this->open_retry_ms =
        CLAMP(2 * this->open_retry_ms, OPEN_RETRY_MIN_MS, OPEN_RETRY_MAX_MS);
    if (is_transient &&
        MpLoop_Now() + this->open_retry_ms < this->deadline_ms) {
        MpLoop_SetTimer(this->router->loop, &this->timer, this->open_retry_ms,
                        on_open_retry, this);
        return;
    }
    if (code == MP_ERROR_ALREADY_ANSWERED) {
        replay_response(this, result);
        return;
    }
    /* The result has the state of the record: no lookup is needed. */
    release_target(this);
    this->may_have_run = MpLedger_MayHaveRun(result->state);
    refuse_now(this, code,
               code == MP_ERROR_IN_PROGRESS || is_transient
                   ? IN_PROGRESS_RETRY_AFTER_MS
                   : 0);
}

/* Refuses a request without its record.  A request with an Idempotency-Key may
 * have been sent and run before. */
static void
refuse_unread(struct MpExchange *this, int code)
{
    this->may_have_run = this->may_have_run || !this->has_auto_key;
    MpExchange_Refuse(this, code, NULL,
                      MpExchange_RetryAfter(this, BUSY_RETRY_AFTER_MS));
}

/* The journal does not reply, as when its disk stalls.  Its reply, when it
 * comes, ends the exchange. */
static void
on_journal_timeout(struct MpTimer *timer)
{
    refuse_unread(timer->data, MP_ERROR_NO_QUORUM);
}

static bool
try_offline(struct MpExchange *this)
{
    if (!MpLeaseManager_TryOffline(this->router->leases, this)) {
        return false;
    }
    MpLoop_SetTimer(this->router->loop, &this->timer, OPEN_TIMEOUT_MS,
                    on_journal_timeout, this);
    return true;
}

/* Ends a request that was opened, and is not sent. */
static void
end_unsent(struct MpExchange *this, int code)
{
    g_clear_pointer(&this->probe, MpCallerProbe_Cancel);
    release_target(this);
    if (this->req) {
        MpExchange_Refuse(this, code, NULL,
                          MpExchange_RetryAfter(this, BUSY_RETRY_AFTER_MS));
    }
    this->is_aborted = true;
    MpExchange_Settle(this, MP_RECORD_NOT_RUN, 0);
}

static void
on_probed(void *owner, bool has_left)
{
    struct MpExchange *this = owner;
    this->probe = NULL;
    MpCallerProbe_Count(&this->router->metrics, has_left);
    MpLog_Event(LOG_INFO, "caller-probed",
                "id=%s left=%d attempts=%u took_ms=%" PRId64, this->request_id,
                has_left, this->attempts, MpLoop_Now() - this->began_ms);
    if (has_left) {
        end_unsent(this, MP_ERROR_CLOSED);
        return;
    }
    MpExchange_StartAttempt(this);
}

/* Starts the first attempt, unless the caller has left.  One that has closed
 * its sending side a while ago is probed; what may run again is then given
 * up. */
static void
start_if_wanted(struct MpExchange *this)
{
    if (!this->req) {
        end_unsent(this, MP_ERROR_CLOSED);
        return;
    }
    if (MpCallerProbe_ClosedMs(this->router->loop, this->req) <
        MP_CALLER_CLOSED_MS) {
        MpExchange_StartAttempt(this);
        return;
    }
    bool has_left = !this->at_most_once && !MpExchange_HasCaller(this);
    if (has_left || !MpCallerProbe_IsPossible(this->req)) {
        end_unsent(this, MP_ERROR_CLOSED);
        return;
    }
    this->probe =
        MpCallerProbe_Start(this->router->loop, this->req, on_probed, this);
}

static void
on_opened(void *data, int code, const struct mp_result *result)
{
    struct MpExchange *this = data;
    if (code != MP_OK) {
        MpLeaseManager_SettleNotRun(this->router->leases, this);
        if (this->req && try_offline(this)) {
            return;
        }
        refuse_unopened(this, code);
        return;
    }
    if (result->code != MP_OK) {
        on_open_refused(this, result);
        return;
    }
    this->is_rerun = result->state == MP_RECORD_DONE;
    this->may_have_run = this->is_rerun || result->number != 0;
    start_if_wanted(this);
}

static void
propose_open(struct MpExchange *this)
{
    struct mp_command command = {.body = {.kind = MP_CMD_OPEN}};
    struct mp_open *open = &command.body.mp_command_body_u.open;
    *open = (struct mp_open){.incarnation = this->holder,
                             .workspace = this->workspace,
                             .key = this->key,
                             .reserve_mtok = this->reserve_mtok,
                             .at_most_once = this->at_most_once,
                             .is_brief = this->has_auto_key,
                             .open_id = this->open_id};
    memcpy(open->body_hash, this->body_hash, MP_HASH_BYTES);
    MpControlClient_Propose(&this->router->control, &command,
                            this->deadline_ms, on_opened, this);
}

void
MpExchange_Open(struct MpExchange *this, struct MpTarget *target)
{
    MpLoop_ClearTimer(&this->timer);
    this->target = target;
    MpTarget_Start(target);
    this->stage = MP_STAGE_OPENING;
    this->open_id = ++this->router->last_open_id;
    this->holder = MpControlClient_Holder(&this->router->control);
    this->deadline_ms = MpLoop_Now() + OPEN_TIMEOUT_MS;
    MpLeaseManager_RecordDemand(this->router->leases, this);
    if (MpControlClient_IsPartitioned(&this->router->control)) {
        /* No proposal is sent, as proposals would pile up until the
         * partition ends. */
        if (!try_offline(this)) {
            look_up_and_refuse(this, MP_ERROR_NO_QUORUM,
                               NO_QUORUM_RETRY_AFTER_MS);
        }
        return;
    }
    propose_open(this);
}

void
MpExchange_RunOffline(struct MpExchange *this)
{
    MpLoop_ClearTimer(&this->timer);
    start_if_wanted(this);
}

/* ---- arrival ---- */

int64_t
MpExchange_RetryAfter(const struct MpExchange *this, int64_t other_ms)
{
    int64_t now_ms = MpLoop_Now();
    int64_t end_ms =
        MpPicker_FirstPauseEnd(&this->router->picker, this->targets, now_ms);
    return end_ms > now_ms
               ? MpTargetPause_CallerWait(end_ms - now_ms, g_random_double())
               : other_ms;
}

void
MpExchange_Shed(struct MpExchange *this, int code)
{
    look_up_and_refuse(this, code,
                       MpExchange_RetryAfter(this, BUSY_RETRY_AFTER_MS));
}

static void
pick_or_enqueue(struct MpExchange *this)
{
    int code;
    struct MpTarget *target = MpRouter_Pick(this->router, this, &code);
    this->stage = MP_STAGE_WAITING;
    if (target) {
        MpExchange_Open(this, target);
        return;
    }
    this->item = (struct MpQueueItem){
        .workspace = this->workspace,
        .priority = this->workspace_conf->priority,
        .deadline_ms = MpLoop_Now() + QUEUE_TIMEOUT_MS,
        .data = this,
    };
    if (code == MP_ERROR_NO_TARGET ||
        MpRouter_Enqueue(this->router, this) != MP_OK) {
        MpExchange_Shed(this, code);
    }
}

static int
admit(struct MpExchange *this, int64_t *retry_after_ms)
{
    this->regions = (struct MpRegionRule){
        .regions = &this->router->gateway.regions,
        .by_workspace = this->workspace_conf->allowed_regions};
    if (MpControlClient_IsPoison(&this->router->control, this->body_hash)) {
        return MP_ERROR_POISON;
    }
    int code = MpLimits_Enter(&this->router->limits, this->workspace,
                              this->workspace_conf->concurrent_max,
                              this->workspace_conf->rate_per_s, MpLoop_Now(),
                              retry_after_ms);
    this->is_admitted = code == MP_OK;
    return code;
}

void
MpExchange_Begin(struct MpRouter *router, h2o_req_t *req)
{
    struct MpExchange *this = exchange_new(router, req);
    const char *why = NULL;
    int64_t retry_after_ms = 0;
    int code = MpExchange_ParseRequest(this, req, &why);
    if (code == MP_OK) {
        code = admit(this, &retry_after_ms);
    }
    else if (code == MP_ERROR_MEMORY) {
        retry_after_ms = MP_MEMORY_RETRY_AFTER_MS;
    }
    if (code == MP_ERROR_LIMIT) {
        look_up_and_refuse(this, code, retry_after_ms);
        return;
    }
    if (code != MP_OK) {
        MpExchange_Refuse(this, code, why, retry_after_ms);
        MpExchange_End(this);
        return;
    }
    pick_or_enqueue(this);
}

/* ---- early end ---- */

static void
leave_queue(struct MpExchange *this)
{
    MpLoop_ClearTimer(&this->timer);
    if (this->item.lane) {
        MpFairQueue_Remove(
            g_hash_table_lookup(this->router->queues, this->queue_name),
            &this->item);
    }
}

void
MpExchange_Stop(struct MpExchange *this)
{
    bool is_second_call = this->is_stopping;
    if (!this->req) {
        return;
    }
    this->is_stopping = true;
    if (!is_second_call) {
        MpLog_Event(LOG_WARNING, "request-outlasts-drain",
                    "id=%s target=%s attempts=%u stage=%d tokens=%" PRId64
                    " took_ms=%" PRId64,
                    this->request_id, this->target ? this->target->name : "-",
                    this->attempts, (int)this->stage, this->sent_tokens,
                    MpLoop_Now() - this->began_ms);
    }
    switch (this->stage) {
    case MP_STAGE_WAITING:
        leave_queue(this);
        MpExchange_Shed(this, MP_ERROR_DRAINING);
        return;
    case MP_STAGE_RUNNING:
        MpExchange_StopAttempt(this);
        return;
    /* What the record says is better than an unknown outcome: its reply is
     * waited for until the second call. */
    case MP_STAGE_OPENING:
    case MP_STAGE_REFUSING:
        if (this->probe) {
            end_unsent(this, MP_ERROR_DRAINING);
        }
        else if (is_second_call) {
            refuse_unread(this, MP_ERROR_DRAINING);
        }
        return;
    case MP_STAGE_SETTLING:
        if (is_second_call) {
            MpExchange_AbortResponse(this, MP_ERROR_OUTCOME_UNKNOWN);
        }
        return;
    case MP_STAGE_ENDED:
        return;
    }
}

/* ---- disconnected caller ---- */

bool
MpExchange_HasCaller(const struct MpExchange *this)
{
    return this->req && !MpHttp_IsDisconnected(this->req);
}

void
MpExchange_CallerDisconnected(struct MpExchange *this)
{
    this->req = NULL;
    this->caller = NULL;
    /* Nothing is sent again without a caller. */
    g_clear_pointer(&this->body, MpRequestBody_Leave);
    MpExchange_NoteEnd(this, "caller-gone", MP_OK);
    switch (this->stage) {
    case MP_STAGE_WAITING:
        leave_queue(this);
        MpExchange_End(this);
        return;
    case MP_STAGE_OPENING:
        if (this->probe) {
            end_unsent(this, MP_ERROR_CLOSED);
            return;
        }
        break;
    case MP_STAGE_RUNNING:
        /* An at-most-once request continues, so that its outcome is
         * recorded. */
        if (!this->at_most_once && this->upstream) {
            MpExchange_EndAttempt(this, MP_ATTEMPT_CANCELLED);
            this->is_aborted = true;
            MpExchange_Settle(this, MP_RECORD_CANCELLED,
                              MpExchange_Price(this));
            return;
        }
        break;
    default:
        break;
    }
    maybe_free(this);
}
