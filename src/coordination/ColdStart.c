#include "coordination/ColdStart.h"

#include "coordination/Thousandths.h"
#include "state/Error.h"
#include "state/Fault.h"

#include <glib.h>

#define WINDOW_MS 1000
#define US_PER_MS 1000
/* Largest number of requests in a second that counts. */
#define MOST_MAX 1000000

/* ---- rules ---- */

struct MpColdConf
MpColdConf_Make(int64_t rate_mrps, int64_t start_ms,
                int64_t overshoot_permille, int64_t tolerance_milli)
{
    if (rate_mrps < 0) {
        return (struct MpColdConf){.is_set = false};
    }
    double most_milli =
        (double)rate_mrps * (double)overshoot_permille / 1000.0 +
        (double)tolerance_milli;
    double most = CLAMP(most_milli / 1000.0, 0.0, (double)MOST_MAX);
    return (struct MpColdConf){.is_set = true,
                               .rate_mrps = rate_mrps,
                               .most = (int64_t)most,
                               .start_ms = CLAMP(start_ms, 0, MP_COLD_MAX_MS)};
}

struct MpColdConf
MpColdConf_Merge(const struct MpColdConf *a, const struct MpColdConf *b)
{
    if (!a->is_set || !b->is_set) {
        return a->is_set ? *a : *b;
    }
    return (struct MpColdConf){.is_set = true,
                               .rate_mrps = MIN(a->rate_mrps, b->rate_mrps),
                               .most = MIN(a->most, b->most),
                               .start_ms = MAX(a->start_ms, b->start_ms)};
}

int64_t
MpColdConf_SpacingUs(const struct MpColdConf *this, uint32_t shares,
                     int32_t share)
{
    if (share < 0 || (uint32_t)share >= shares || this->rate_mrps <= 0) {
        return 0;
    }
    int64_t own = this->most / shares + (share < this->most % shares);
    if (MP_FAULT(MP_FAULT_PERMIT_SHARE_IGNORED)) {
        own = this->most;
    }
    if (own <= 0) {
        return 0;
    }
    int64_t by_rate_us = shares * G_USEC_PER_SEC * 1000 / this->rate_mrps;
    int64_t by_most_us = (WINDOW_MS + MP_COLD_LATE_MS) * US_PER_MS / own + 1;
    return MAX(by_rate_us, by_most_us);
}

/* ---- what is known of a target ---- */

void
MpColdStart_NoteList(struct MpColdStart *this, int64_t left_ms, int64_t now_ms)
{
    int64_t read_ms = now_ms - MP_COLD_LIST_AGE_MS;
    if (left_ms < 0) {
        return;
    }
    this->is_known = true;
    this->known_ms = MAX(this->known_ms, read_ms);
    this->list_noted_ms = now_ms;
    this->list_until_ms =
        left_ms > 0 ? now_ms + MIN(left_ms, MP_COLD_MAX_MS) : 0;
    /* A response that may be newer than the list stays in force. */
    if (left_ms == 0 && this->header_sent_ms < read_ms) {
        this->header_until_ms = 0;
    }
}

bool
MpColdStart_NoteHeader(struct MpColdStart *this, int64_t left_ms,
                       int64_t sent_ms, int64_t received_ms)
{
    if (sent_ms < this->header_sent_ms) {
        return false;
    }
    bool was_cold =
        MAX(this->list_until_ms, this->header_until_ms) > received_ms;
    this->is_known = true;
    this->known_ms = MAX(this->known_ms, sent_ms);
    this->header_sent_ms = sent_ms;
    this->header_until_ms =
        left_ms > 0 ? received_ms + MIN(left_ms, MP_COLD_MAX_MS) : 0;
    if (sent_ms > this->list_noted_ms) {
        this->list_until_ms = MIN(this->list_until_ms, this->header_until_ms);
    }
    bool is_cold =
        MAX(this->list_until_ms, this->header_until_ms) > received_ms;
    return is_cold != was_cold;
}

int64_t
MpColdStart_Until(const struct MpColdStart *this,
                  const struct MpColdConf *conf, int64_t listed_ms,
                  int64_t restored_ms)
{
    if (!conf->is_set) {
        return 0;
    }
    int64_t until_ms = MAX(this->list_until_ms, this->header_until_ms);
    if (!this->is_known) {
        until_ms = MAX(until_ms, listed_ms + conf->start_ms);
    }
    if (restored_ms >= 0 && this->known_ms < restored_ms) {
        until_ms = MAX(until_ms, restored_ms + conf->start_ms);
    }
    return until_ms;
}

/* ---- choice and parsing ---- */

bool
MpColdStart_TakesCold(uint32_t cold, uint32_t warm, double random)
{
    return random * ((double)cold + (double)warm) < (double)cold;
}

bool
MpColdStart_Parse(const char *text, size_t size, int64_t *left_ms)
{
    int64_t milli;
    if (MpThousandths_Parse(text, size, INT64_MAX / 1000, &milli) != MP_OK) {
        return false;
    }
    *left_ms = MIN((milli + 999) / 1000, MP_COLD_MAX_MS);
    return true;
}
