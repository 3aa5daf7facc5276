#include "transport/GatewayCaller.h"

#include "state/Error.h"
#include "transport/CallerProbe.h"
#include "transport/GatewayAttempt.h"
#include "transport/HttpServer.h"
#include "transport/Log.h"

#include <inttypes.h>

/* Interval between checks for a disconnected caller, ms. */
#define CALLER_CHECK_MS 200

/* Returns whether the attempt under way goes on without a caller: a target
 * has the request, and it may run only once. */
static bool
is_running_once(const struct MpGatewayCall *this)
{
    return this->stage == MP_CALL_RUNNING && this->conn &&
           MpTargetConn_IsSent(this->conn) &&
           MpForward_SurvivesDisconnect(&this->forward);
}

static void
on_disconnected(void *owner)
{
    struct MpGatewayCall *this = owner;
    if (is_running_once(this)) {
        g_clear_pointer(&this->body, MpRequestBody_Leave);
        /* The rest of the response is dropped. */
        MpTargetConn_Resume(this->conn);
        return;
    }
    if (this->stage != MP_CALL_ENDED) {
        if (this->stage == MP_CALL_BUDGET) {
            this->reserved_mtok = 0;
        }
        this->forward.may_have_run |= this->forward.sends > 0;
        MpGatewayAttempt_Cancel(this, MP_OUTCOME_CANCELLED);
        MpGatewayCall_End(this, "caller-gone", MP_OK);
    }
    MpGatewayCall_Free(this);
}

static void
on_writable(void *owner)
{
    struct MpGatewayCall *this = owner;
    if (this->conn) {
        MpTargetConn_Resume(this->conn);
    }
}

static void
on_sent(void *owner)
{
    struct MpGatewayCall *this = owner;
    if (this->stage == MP_CALL_ENDED) {
        MpGatewayCall_Free(this);
    }
}

const struct MpCallerResponseClass MpGatewayCaller_Class = {
    .disconnected = on_disconnected, .writable = on_writable, .sent = on_sent};

/* Ends a call whose caller has left.  It may have closed its sending side
 * only, and read what it is told. */
static void
give_up_caller(struct MpGatewayCall *this, enum MpForwardStep step)
{
    if (this->stage == MP_CALL_BUDGET) {
        this->reserved_mtok = 0;
    }
    MpHttp_NoteEnd(this->response.req, MP_HTTP_CALLER_LEFT);
    MpGatewayAttempt_Cancel(this, MP_OUTCOME_CANCELLED);
    MpGatewayCall_GiveUp(
        this, step,
        step == MP_STEP_FAIL ? MP_ERROR_OUTCOME_UNKNOWN : MP_ERROR_CLOSED, 0);
}

/* Returns whether a caller that may have left is probed.  What is given up
 * anyway when its caller closes the sending side is not worth that. */
static bool
is_probed(const struct MpGatewayCall *this)
{
    return this->response.req && !this->forward.is_head_sent &&
           MpCallerProbe_IsPossible(this->response.req) &&
           (MpForward_SurvivesDisconnect(&this->forward) ||
            !MpCallerResponse_IsDisconnected(&this->response));
}

bool
MpGatewayCaller_EndIfLeft(struct MpGatewayCall *this)
{
    if (!MpCallerResponse_IsDisconnected(&this->response) || is_probed(this)) {
        return false;
    }
    if (this->response.req) {
        give_up_caller(this, MpForward_NoTarget(&this->forward));
    }
    else {
        MpGatewayCall_End(this, "caller-gone", MP_OK);
        MpGatewayCall_Free(this);
    }
    return true;
}

bool
MpGatewayCaller_MayHaveLeft(struct MpGatewayCall *this)
{
    if (this->is_caller_asked) {
        return false;
    }
    this->closed_ms =
        this->response.req
            ? MpCallerProbe_ClosedMs(this->gateway->loop, this->response.req)
            : INT64_MAX;
    return this->closed_ms >= MP_CALLER_CLOSED_MS;
}

static void
on_probed(void *owner, bool has_left)
{
    struct MpGatewayCall *this = owner;
    this->probe = NULL;
    this->stage = MP_CALL_RUNNING;
    MpCallerProbe_Count(this->gateway->metrics, has_left);
    MpLog_Event(LOG_INFO, "caller-probed",
                "id=%s same=%s left=%d closed_ms=%" PRId64
                " attempts=%u took_ms=%" PRId64,
                this->id ? this->id : "-", this->fingerprint_hex, has_left,
                this->closed_ms, this->forward.sends,
                MpLoop_Now() - this->forward.began_ms);
    if (has_left) {
        give_up_caller(this, MpForward_NoTarget(&this->forward));
        return;
    }
    this->is_caller_asked = true;
    MpGatewayAttempt_Start(this);
}

bool
MpGatewayCaller_Ask(struct MpGatewayCall *this)
{
    bool is_retry = this->forward.sends > 0 && !this->is_caller_asked;
    bool may_have_left =
        MpGatewayCaller_MayHaveLeft(this) ||
        (is_retry && MpCallerResponse_IsDisconnected(&this->response));
    if (!may_have_left) {
        return false;
    }
    if (!is_probed(this)) {
        return MpGatewayCaller_EndIfLeft(this);
    }
    this->stage = MP_CALL_CALLER;
    this->probe = MpCallerProbe_Start(this->gateway->loop, this->response.req,
                                      on_probed, this);
    return true;
}

bool
MpGatewayCaller_Check(struct MpGatewayCall *this, int64_t now_ms)
{
    if (this->stage == MP_CALL_ENDED || this->stage == MP_CALL_CALLER ||
        !this->response.req ||
        now_ms - this->caller_checked_ms < CALLER_CHECK_MS) {
        return false;
    }
    this->caller_checked_ms = now_ms;
    if (!MpCallerResponse_IsDisconnected(&this->response) ||
        is_running_once(this)) {
        return false;
    }
    enum MpForwardStep step = MpForward_Expired(&this->forward);
    this->forward.may_have_run |= this->forward.sends > 0;
    give_up_caller(this, step);
    return true;
}
