#include "coordination/TargetPause.h"

#include "coordination/Thousandths.h"
#include "state/Error.h"
#include "state/Fault.h"

#include <glib.h>

/* Requests that each answer lets go, until the ramp is over. */
#define SENDS_PER_ANSWER 2
/* The most that callers are told to wait beyond a pause: this part of what is
 * left of it, at most CALLER_SPREAD_MAX_MS. */
#define CALLER_SPREAD 0.25
#define CALLER_SPREAD_MAX_MS 1000

static int64_t
spread_of(double spread, int64_t pause_ms)
{
    int64_t most_ms =
        MIN(pause_ms / 1000 * MP_PAUSE_SPREAD_PERMILLE +
                pause_ms % 1000 * MP_PAUSE_SPREAD_PERMILLE / 1000,
            MP_PAUSE_SPREAD_MAX_MS);
    return (int64_t)(spread * (double)most_ms);
}

bool
MpTargetPause_Note(struct MpTargetPause *this, int64_t pause_ms,
                   int64_t sent_ms, int64_t received_ms, double spread)
{
    int64_t before_ms = this->until_ms;
    bool is_crossing = this->until_ms > 0 && sent_ms <= this->received_ms &&
                       !MP_FAULT(MP_FAULT_OLD_REFUSAL_ENDS_PAUSE);
    if (pause_ms == 0 && (is_crossing || this->until_ms == 0)) {
        return false;
    }
    if (!is_crossing) {
        this->spread = spread;
    }
    int64_t until_ms =
        received_ms + pause_ms + spread_of(this->spread, pause_ms);
    this->until_ms = is_crossing ? MAX(this->until_ms, until_ms) : until_ms;
    this->received_ms = MAX(this->received_ms, received_ms);
    if (this->until_ms != before_ms) {
        this->sent = 0;
        this->answers = 0;
        this->is_end_taken = false;
    }
    return this->until_ms != before_ms;
}

bool
MpTargetPause_IsActive(const struct MpTargetPause *this, int64_t now_ms)
{
    return now_ms < this->until_ms;
}

bool
MpTargetPause_MaySend(const struct MpTargetPause *this, int64_t now_ms)
{
    if (this->until_ms == 0) {
        return true;
    }
    return now_ms >= this->until_ms &&
           (now_ms >= this->until_ms + MP_PAUSE_RAMP_MS ||
            this->sent <= SENDS_PER_ANSWER * this->answers);
}

void
MpTargetPause_NoteSent(struct MpTargetPause *this)
{
    this->sent++;
}

bool
MpTargetPause_TakeEnd(struct MpTargetPause *this, int64_t now_ms)
{
    if (this->until_ms == 0 || this->is_end_taken || now_ms < this->until_ms) {
        return false;
    }
    this->is_end_taken = true;
    return true;
}

void
MpTargetPause_NoteAnswer(struct MpTargetPause *this, int64_t sent_ms)
{
    this->answers += sent_ms >= this->until_ms;
}

int64_t
MpTargetPause_CallerWait(int64_t left_ms, double random)
{
    double most_ms =
        MIN((double)left_ms * CALLER_SPREAD, CALLER_SPREAD_MAX_MS);
    return left_ms + (int64_t)(random * most_ms);
}

bool
MpTargetPause_Parse(const char *text, size_t size, int64_t *pause_ms)
{
    while (size > 0 && (text[0] == ' ' || text[0] == '\t')) {
        text++;
        size--;
    }
    while (size > 0 && (text[size - 1] == ' ' || text[size - 1] == '\t')) {
        size--;
    }
    int code = MpThousandths_Parse(text, size, MP_PAUSE_MAX_MS, pause_ms);
    if (code == MP_ERROR_OVERFLOW) {
        *pause_ms = MP_PAUSE_MAX_MS;
    }
    return code != MP_ERROR_INVALID;
}
