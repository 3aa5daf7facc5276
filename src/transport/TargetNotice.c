#include "transport/TargetNotice.h"

#include "transport/Log.h"

#include <glib.h>
#include <inttypes.h>

/* Bytes of an ignored value that a log line shows. */
#define VALUE_LOG_BYTES 32

static const char *
text_or_dash(const char *text)
{
    return text ? text : "-";
}

static void
log_invalid(const struct MpTargetNotice *this, const char *event,
            const char *value, size_t size)
{
    char *text = g_strndup(value, MIN(size, VALUE_LOG_BYTES));
    char *escaped = g_strescape(text, NULL);
    MpLog_Event(LOG_WARNING, event, "id=%s target=%s value=\"%s\"",
                text_or_dash(this->id), this->target, escaped);
    g_free(escaped);
    g_free(text);
}

void
MpTargetNotice_ReadLeaving(const struct MpTargetNotice *this,
                           const char *value, size_t size,
                           struct MpTargetLeaving *leaving)
{
    if (!value) {
        return;
    }
    if (!MpTargetLeaving_Parse(value, size)) {
        if (!leaving->is_invalid) {
            log_invalid(this, "target-leaving-invalid", value, size);
        }
        leaving->is_invalid = true;
        return;
    }
    if (MpTargetLeaving_NoteAnswer(leaving)) {
        MpLog_Event(
            LOG_NOTICE, "target-leaving",
            "id=%s target=%s pool=%s listed=%d age_ms=%" PRId64 " from=answer",
            text_or_dash(this->id), this->target, text_or_dash(this->pool),
            leaving->by_list, this->received_ms - this->sent_ms);
    }
}

bool
MpTargetNotice_ReadPause(const struct MpTargetNotice *this, const char *value,
                         size_t size, struct MpTargetPause *pause,
                         uint64_t *starts)
{
    int64_t pause_ms;
    if (!value) {
        MpTargetPause_NoteAnswer(pause, this->sent_ms);
        return false;
    }
    if (!MpTargetPause_Parse(value, size, &pause_ms)) {
        if (!pause->is_invalid) {
            log_invalid(this, "target-pause-invalid", value, size);
        }
        pause->is_invalid = true;
        return false;
    }
    bool was_active = MpTargetPause_IsActive(pause, this->received_ms);
    if (MpTargetPause_Note(pause, pause_ms, this->sent_ms, this->received_ms,
                           g_random_double()) &&
        !was_active) {
        (*starts)++;
        MpLog_Event(pause_ms == MP_PAUSE_MAX_MS ? LOG_WARNING : LOG_NOTICE,
                    "target-paused",
                    "id=%s target=%s pool=%s pause_ms=%" PRId64
                    " left_ms=%" PRId64 " age_ms=%" PRId64 " from=answer",
                    text_or_dash(this->id), this->target,
                    text_or_dash(this->pool), pause_ms,
                    pause->until_ms - this->received_ms,
                    this->received_ms - this->sent_ms);
    }
    return pause_ms > 0;
}

void
MpTargetNotice_Sent(const struct MpTargetNotice *this,
                    struct MpTargetPause *pause)
{
    if (MpTargetPause_TakeEnd(pause, this->sent_ms)) {
        MpLog_Event(LOG_NOTICE, "target-pause-ended",
                    "id=%s target=%s pool=%s after_ms=%" PRId64,
                    text_or_dash(this->id), this->target,
                    text_or_dash(this->pool), this->sent_ms - pause->until_ms);
    }
}
