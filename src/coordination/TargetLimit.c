#include "coordination/TargetLimit.h"

#include "coordination/Thousandths.h"
#include "state/Error.h"
#include "state/Fault.h"

#include <glib.h>

bool
MpTargetLimit_Note(struct MpTargetLimit *this, int64_t rate_mrps,
                   int64_t sent_ms, int64_t received_ms)
{
    int64_t before = this->rate_mrps;
    if (rate_mrps == MP_LIMIT_NONE && before == MP_LIMIT_NONE) {
        /* Later answers confirm the end of a limit, for instances that have
         * got a late answer which names it. */
        if (this->sent_ms > 0) {
            this->sent_ms = MAX(this->sent_ms, sent_ms);
            this->received_ms = MAX(this->received_ms, received_ms);
        }
        return false;
    }
    if (rate_mrps == MP_LIMIT_NONE) {
        if (sent_ms < this->received_ms &&
            !MP_FAULT(MP_FAULT_OLD_ANSWER_ENDS_LIMIT)) {
            return false;
        }
        *this = (struct MpTargetLimit){.rate_mrps = MP_LIMIT_NONE,
                                       .sent_ms = sent_ms,
                                       .received_ms = received_ms};
        return true;
    }
    if (sent_ms < this->sent_ms) {
        return false;
    }
    this->rate_mrps = rate_mrps;
    this->sent_ms = sent_ms;
    this->received_ms = MAX(this->received_ms, received_ms);
    return rate_mrps != before;
}

int64_t
MpTargetLimit_Rate(const struct MpTargetLimit *this)
{
    return this->rate_mrps == MP_LIMIT_NONE
               ? MP_LIMIT_NONE
               : MAX(this->rate_mrps, MP_LIMIT_MIN_MRPS);
}

bool
MpTargetLimit_Parse(const char *text, size_t size, int64_t *rate_mrps)
{
    return MpThousandths_Parse(text, size, MP_LIMIT_MAX_MRPS, rate_mrps) ==
           MP_OK;
}
