#include "transport/GatewayLender.h"

#include "state/Error.h"
#include "state/Ledger.h"
#include "transport/ConnLimit.h"
#include "transport/GatewayPermits.h"
#include "transport/Log.h"
#include "transport/Tunnel.h"

#include <inttypes.h>

/* How long a lend call is held while the ledger is asked, ms. */
#define LEND_HOLD_MS 110

/* A lend call that is held until the ledger answers. */
struct pending_lend {
    struct MpRpcCall *call;
    int64_t until_ms;
};

/* Answers a lend call.  Returns false when the ledger has to be asked first.
 */
static bool
lend_now(struct MpGatewayLender *this, struct MpRpcCall *call,
         bool is_answered, bool is_final)
{
    const struct mp_lend *lend = call->argument;
    struct MpSlices *slices = &this->gateway->slices;
    struct mp_lend_reply reply = {.code = MP_ERROR_NO_QUORUM};
    /* A loan sent on a closed connection would be lost. */
    if (call->conn && g_hash_table_contains(slices->slices, lend->workspace)) {
        reply.code = MpSlices_Lend(slices, lend, is_answered, MpLoop_Now(),
                                   &reply.lent_mtok);
    }
    if (reply.code == MP_ERROR_RECALLING && !is_final) {
        return false;
    }
    if (reply.code == MP_ERROR_RECALLING) {
        reply.code = MP_ERROR_NO_QUORUM;
    }
    this->lent += reply.lent_mtok > 0;
    this->refused += reply.code != MP_OK;
    if (reply.code != MP_OK) {
        MpLog_Event(LOG_INFO, "loan-short",
                    "workspace=%s need_mtok=%" PRId64 " lent_mtok=%" PRId64
                    " error=%s answer_age_ms=%" PRId64,
                    lend->workspace, lend->need_mtok, reply.lent_mtok,
                    MpError_Name(reply.code),
                    MpLoop_Now() - slices->answered_ms);
    }
    MpRpcCall_Reply(call, &reply);
    return true;
}

static void
apply_repayment(struct MpGatewayLender *this, struct MpRpcCall *call)
{
    const struct mp_repay *repay = call->argument;
    struct MpSlices *slices = &this->gateway->slices;
    struct mp_repay_reply reply = {.code = MP_ERROR_NOT_FOUND};
    if (g_hash_table_contains(slices->slices, repay->workspace) &&
        repay->amount_mtok > 0 && repay->amount_mtok <= MP_AMOUNT_MAX_MTOK) {
        MpSlices_Credit(slices, repay->workspace, repay->amount_mtok);
        reply.code = MP_OK;
    }
    MpRpcCall_Reply(call, &reply);
}

static void
serve_call(void *owner, struct MpRpcCall *call)
{
    struct MpGatewayLender *this = owner;
    if (call->procedure == MP_PROC_REPAY) {
        apply_repayment(this, call);
        return;
    }
    if (call->procedure == MP_PROC_PERMIT) {
        MpGatewayPermits_Serve(this->gateway, call);
        return;
    }
    if (call->procedure == MP_PROC_TUNNEL) {
        MpTunnel_Serve(this->gateway, call);
        return;
    }
    if (call->procedure != MP_PROC_LEND) {
        MpRpcCall_Reply(call, NULL);
        return;
    }
    if (lend_now(this, call, false, false)) {
        return;
    }
    struct pending_lend *pending = g_new(struct pending_lend, 1);
    *pending = (struct pending_lend){.call = call,
                                     .until_ms = MpLoop_Now() + LEND_HOLD_MS};
    g_queue_push_tail(&this->pending, pending);
    MpGateway_ReportSlices(this->gateway);
}

static const struct MpRpcServerClass server_class = {.call = serve_call};

void
MpGatewayLender_Retry(struct MpGatewayLender *this, bool is_answered,
                      int64_t now_ms)
{
    for (guint i = this->pending.length; i > 0; i--) {
        struct pending_lend *pending = g_queue_pop_head(&this->pending);
        bool is_final = now_ms >= pending->until_ms;
        if ((!is_answered && !is_final && pending->call->conn) ||
            !lend_now(this, pending->call, is_answered, is_final)) {
            g_queue_push_tail(&this->pending, pending);
            continue;
        }
        g_free(pending);
    }
}

int
MpGatewayLender_Start(struct MpGatewayLender *this, struct MpGateway *gateway,
                      const char *address)
{
    this->gateway = gateway;
    g_queue_init(&this->pending);
    return MpRpcServer_Init(&this->server, &server_class, this, gateway->loop,
                            address, gateway->control->fleet_key,
                            MpConnLimit_ForOthers(gateway->settings));
}
