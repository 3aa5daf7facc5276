#include "transport/GatewayStream.h"

#include "protocol/EventSplit.h"
#include "protocol/EventStream.h"
#include "state/Error.h"
#include "transport/GatewayResponse.h"
#include "transport/GatewaySpeed.h"
#include "transport/GatewaySuspect.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <string.h>

static void
log_not_resumed(const struct MpGatewayCall *this, const char *type,
                size_t type_size, int64_t first_id, const char *reason)
{
    char *escaped = MpEventStream_EscapeType(type, type_size);
    MpLog_Event(LOG_WARNING, "stream-not-resumed",
                "id=%s target=%s status=%d type=\"%s\" first=%" PRId64
                " last=%" PRId64 " reason=%s",
                this->id ? this->id : "-", this->target->incarnation,
                this->status, escaped, first_id, this->forward.last_event,
                reason);
    g_free(escaped);
}

bool
MpGatewayStream_Start(struct MpGatewayCall *this,
                      const struct MpTargetHead *head)
{
    size_t type_size = 0;
    size_t encoding_size = 0;
    const char *type = MpTargetHead_Find(head, "content-type", &type_size);
    const char *encoding =
        MpTargetHead_Find(head, "content-encoding", &encoding_size);
    const char *reason = MpEventStream_Refute(head->status, type, type_size,
                                              encoding, encoding_size);
    this->is_event_stream = this->path->is_stream && !this->is_head && !reason;
    this->is_stream_start = true;
    if (!this->forward.is_resuming || this->is_event_stream) {
        return true;
    }
    log_not_resumed(this, type, type_size, -1, reason);
    return false;
}

/* Handles a byte order mark, which counts at the start of a stream only.
 * Returns false if more data is needed to tell whether there is one. */
static bool
take_mark(struct MpGatewayCall *this)
{
    if (!this->is_stream_start) {
        return true;
    }
    int size = MpEventSplit_MarkSize((const char *)this->partial->data,
                                     this->partial->len);
    if (size < 0) {
        return false;
    }
    this->is_stream_start = false;
    if (size > 0) {
        if (!this->forward.is_resuming) {
            MpGatewayResponse_Write(this, this->partial->data, (size_t)size);
        }
        g_byte_array_remove_range(this->partial, 0, (guint)size);
    }
    return true;
}

/* Returns whether a block is kept back: at the point where a stream goes on,
 * what precedes the first event is not part of it. */
static bool
is_preamble(const struct MpForward *forward)
{
    return forward->is_resuming && forward->attempt_events == 0;
}

int
MpGatewayStream_Forward(struct MpGatewayCall *this, const char *data,
                        size_t size)
{
    struct MpForward *forward = &this->forward;
    struct MpEventBlock block;
    int code = MP_OK;
    size_t start = 0;
    size_t offset = 0;
    int64_t events_before = forward->attempt_events;
    size_t seen = this->is_stream_start ? 0 : this->partial->len;
    g_byte_array_append(this->partial, (const guint8 *)data, (guint)size);
    if (!take_mark(this)) {
        return MP_OK;
    }
    const char *text = (const char *)this->partial->data;
    size_t length = this->partial->len;
    bool may_end = MpEventSplit_MayEnd(text, length, seen);
    while (code == MP_OK && may_end &&
           MpEventSplit_Next(text + offset, length - offset, &block)) {
        if (block.size > MP_EVENT_MAX_BYTES) {
            code = MP_ERROR_TOO_LARGE;
        }
        else if (!MpForward_TakeEvent(forward, block.has_data, block.id)) {
            log_not_resumed(this, "text/event-stream",
                            strlen("text/event-stream"), block.id, "id");
            code = MP_ERROR_STREAM_CUT;
        }
        else {
            offset += block.size;
            start = is_preamble(forward) ? offset : start;
        }
    }
    MpGatewaySpeed_NoteEvents(this, events_before);
    if (events_before == 0 && forward->attempt_events > 0) {
        MpGatewaySuspect_NoteContent(this);
    }
    MpGatewayResponse_Write(this, text + start, offset - start);
    g_byte_array_remove_range(this->partial, 0, (guint)offset);
    if (code == MP_OK && this->partial->len > MP_EVENT_MAX_BYTES) {
        code = MP_ERROR_TOO_LARGE;
    }
    return code;
}

enum MpTargetResult
MpGatewayStream_Result(const struct MpGatewayCall *this,
                       enum MpTargetResult result)
{
    bool is_empty = this->forward.attempt_events == 0;
    bool has_broken_off =
        this->is_relayed && this->is_event_stream &&
        (this->partial->len > 0 || (result == MP_TARGET_CLOSED && is_empty));
    return has_broken_off && result != MP_TARGET_NOT_SENT
               ? MP_TARGET_INCOMPLETE
               : result;
}
