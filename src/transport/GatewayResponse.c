#include "transport/GatewayResponse.h"

#include "transport/GatewayRequest.h"
#include "transport/GatewayVersions.h"

static void
start(struct MpGatewayCall *this)
{
    bool is_resumable =
        this->is_event_stream && MpGatewayCall_IsResumable(this);
    if (is_resumable) {
        MpGatewayVersions_NoteBegun(this);
    }
    this->is_head_held = false;
    MpForward_StartAnswer(&this->forward, this->is_event_stream);
    this->caller_status = this->status;
    this->first_byte_ms = MpLoop_Now() - this->forward.began_ms;
    /* The length holds for the first target's bytes only. */
    bool has_size = this->held_size >= 0 && !is_resumable;
    this->response.id = this->id;
    MpCallerResponse_Start(&this->response, this->status,
                           has_size ? (size_t)this->held_size : SIZE_MAX);
}

void
MpGatewayResponse_TakeHead(struct MpGatewayCall *this,
                           const struct MpTargetHead *head)
{
    size_t size;
    this->held_size = head->size;
    this->is_head_held = !this->is_head && head->size != 0 &&
                         head->status != 204 && head->status != 304;
    if (this->response.req) {
        MpGatewayRequest_CopyHeaders(head, this->response.req);
        if (!MpTargetHead_Find(head, this->gateway->dialect->target.request_id,
                               &size)) {
            MpGatewayRequest_AddId(this, this->response.req);
        }
    }
    if (!this->is_head_held) {
        start(this);
    }
}

void
MpGatewayResponse_SendHead(struct MpGatewayCall *this)
{
    if (this->is_head_held) {
        start(this);
    }
}

void
MpGatewayResponse_Write(struct MpGatewayCall *this, const void *data,
                        size_t size)
{
    if (size > 0) {
        MpGatewayResponse_SendHead(this);
        MpCallerResponse_Write(&this->response, data, size);
    }
}

void
MpGatewayResponse_DropHead(struct MpGatewayCall *this)
{
    if (this->is_head_held && this->response.req) {
        MpGatewayRequest_ClearHeaders(this->response.req);
    }
    this->is_head_held = false;
}
