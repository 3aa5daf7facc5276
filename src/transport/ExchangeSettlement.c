#include "transport/Exchange.h"

#include "transport/LeaseManager.h"

#include <string.h>

/* The end of an exchange: its price, and the bill that is durable before the
 * response is complete. */

#define SETTLE_TIMEOUT_MS 5000
/* Largest response that is stored in the ledger and sent again when an
 * at-most-once request is repeated. */
#define STORED_RESPONSE_MAX_BYTES 4096
/* Prompt bytes that are billed as one token when an engine reported no
 * usage. */
#define BYTES_PER_TOKEN 4

/* Returns the price of tokens, at most MP_AMOUNT_MAX_MTOK: engines report
 * their number. */
static int64_t
price_of(int64_t tokens, int64_t price_mtok)
{
    return tokens > 0 && price_mtok > MP_AMOUNT_MAX_MTOK / tokens
               ? MP_AMOUNT_MAX_MTOK
               : tokens * price_mtok;
}

int64_t
MpExchange_Price(const struct MpExchange *this)
{
    if (!this->is_chat) {
        return this->status < 400 ? this->reserve_mtok : 0;
    }
    int64_t prompt_tokens =
        this->has_usage ? this->prompt_tokens
                        : (int64_t)this->chat.prompt->len / BYTES_PER_TOKEN;
    int64_t output_tokens =
        this->has_usage ? this->output_tokens : this->sent_tokens;
    return MIN(price_of(prompt_tokens, this->model->prompt_price_mtok) +
                   price_of(output_tokens, this->model->output_price_mtok),
               MP_AMOUNT_MAX_MTOK);
}

static void
record_response_time(struct MpExchange *this)
{
    struct MpMetrics *metrics = &this->router->metrics;
    uint64_t time_ms = (uint64_t)(MpLoop_Now() - this->began_ms);
    MpHistogram_Add(MpMetrics_Histogram(metrics, "mimosapath_answer_ms",
                                        "workspace", this->workspace),
                    time_ms);
    MpHistogram_Add(MpMetrics_Histogram(
                        metrics, "mimosapath_answer_ms", "class",
                        MpPriorityClass_Names[this->workspace_conf->priority]),
                    time_ms);
}

void
MpExchange_FinishSettled(struct MpExchange *this)
{
    bool is_head = strcmp(this->method, "HEAD") == 0;
    record_response_time(this);
    if (!this->is_head_sent) {
        MpExchange_StartResponse(this, this->status, this->content_type,
                                 MpBodyLength_HasNoBody(is_head, this->status)
                                     ? this->announced_bytes
                                     : this->response->len);
    }
    MpExchange_WriteKept(this);
    MpExchange_FinishResponse(this);
    MpExchange_End(this);
}

static void
on_settled(void *data, int code, const struct mp_result *result)
{
    struct MpExchange *this = data;
    MpLoop_ClearTimer(&this->timer);
    if (code == MP_OK && result->code == MP_OK) {
        MpMetrics_Count(&this->router->metrics, "mimosapath_settled_total",
                        "workspace", this->workspace, 1);
        if (!this->is_aborted) {
            MpExchange_FinishSettled(this);
            return;
        }
    }
    else {
        /* Another attempt has taken over the key, or this incarnation was
         * fenced. */
        MpMetrics_Count(&this->router->metrics,
                        "mimosapath_settle_refused_total", "cause",
                        MpError_Name(result ? result->code : code), 1);
        MpExchange_AbortResponse(this, MP_ERROR_OUTCOME_UNKNOWN);
    }
    MpExchange_End(this);
}

/* No reply from the quorum, or from the journal of a request that runs from a
 * lease: the caller gets an error, and the settlement continues in the
 * background. */
static void
on_settle_timeout(struct MpTimer *timer)
{
    struct MpExchange *this = timer->data;
    MpExchange_AbortResponse(this, MP_ERROR_OUTCOME_UNKNOWN);
}

static void
fill_settle(const struct MpExchange *this, struct mp_command *command,
            enum mp_record_state outcome, int64_t spent_mtok)
{
    bool is_stored = this->at_most_once && outcome == MP_RECORD_DONE &&
                     this->response->len <= STORED_RESPONSE_MAX_BYTES &&
                     strlen(this->content_type) <= MP_NAME_MAX &&
                     !this->is_encoded;
    command->body.kind = MP_CMD_SETTLE;
    command->body.mp_command_body_u.settle = (struct mp_settle){
        .incarnation = this->holder,
        .workspace = this->workspace,
        .key = this->key,
        .open_id = this->open_id,
        .spent_mtok = spent_mtok,
        .outcome = outcome,
        .status = this->status,
        .content_type = is_stored ? this->content_type : (char *)"",
        .answer = {.answer_val = (char *)this->response->data,
                   .answer_len = is_stored ? this->response->len : 0},
    };
}

void
MpExchange_Settle(struct MpExchange *this, enum mp_record_state outcome,
                  int64_t spent_mtok)
{
    struct mp_command command = {.at_ms = 0};
    this->stage = MP_STAGE_SETTLING;
    MpLoop_ClearTimer(&this->timer);
    if (this->is_rerun) {
        if (this->is_aborted) {
            MpExchange_End(this);
            return;
        }
        MpExchange_FinishSettled(this);
        return;
    }
    MpLoop_SetTimer(this->router->loop, &this->timer, SETTLE_TIMEOUT_MS,
                    on_settle_timeout, this);
    if (this->is_offline) {
        MpLeaseManager_Settle(this->router->leases, this, spent_mtok);
        return;
    }
    fill_settle(this, &command, outcome, spent_mtok);
    MpControlClient_Propose(&this->router->control, &command, 0, on_settled,
                            this);
}
