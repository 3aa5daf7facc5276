#include "transport/GatewayNotice.h"

#include "transport/GatewayAdmission.h"
#include "transport/Log.h"
#include "transport/TargetNotice.h"

#include <inttypes.h>
#include <string.h>

/* Bytes of an unreadable header that a log line shows. */
#define VALUE_LOG_BYTES 32
/* Numbers that a load report must have, and those that are known. */
#define LOAD_NUMBERS 3
#define LOAD_NUMBERS_KNOWN 4

static struct MpTargetNotice
notice_of(const struct MpGatewayCall *call, const struct MpPoolTarget *target,
          int64_t sent_ms, int64_t received_ms)
{
    return (struct MpTargetNotice){.id = call->id,
                                   .target = target->incarnation,
                                   .pool = target->pool,
                                   .sent_ms = sent_ms,
                                   .received_ms = received_ms};
}

/* ---- load, limit and room ---- */

/* Writes a log line about a header that cannot be read. */
static void
log_unreadable(const struct MpGatewayCall *this, const char *event,
               const char *name, const char *value, size_t size)
{
    char *text = g_strndup(value, MIN(size, VALUE_LOG_BYTES));
    char *escaped = g_strescape(text, NULL);
    MpLog_Event(LOG_WARNING, event, "id=%s target=%s %s=\"%s\"",
                this->id ? this->id : "-", this->target->incarnation, name,
                escaped);
    g_free(escaped);
    g_free(text);
}

/* Reads the numbers of running and waiting requests and of slots, separated by
 * commas, and how long work takes, if the report has it; further ones are
 * ignored.  Returns how many were read; 0 if one of the first three cannot be
 * read, -1 if only the fourth cannot. */
static int
parse_load(const char *text, int64_t numbers[static LOAD_NUMBERS_KNOWN])
{
    char **fields = g_strsplit(text, ",", -1);
    int count = 0;
    while (count < LOAD_NUMBERS_KNOWN && fields[count]) {
        const char *field = g_strstrip(fields[count]);
        if (!MpRequestMeta_ParseNumber(field, strlen(field),
                                       &numbers[count])) {
            break;
        }
        count++;
    }
    bool is_fourth_invalid = count == LOAD_NUMBERS && fields[count];
    g_strfreev(fields);
    return count < LOAD_NUMBERS ? 0 : is_fourth_invalid ? -1 : count;
}

/* Applies the load that the target reports.  A report without the first three
 * numbers is ignored as a whole: a part of it could make a busy target look
 * idle. */
static void
update_load(struct MpGatewayCall *this, const struct MpTargetHead *head,
            int64_t now_ms)
{
    struct MpPoolTarget *target = this->target;
    int64_t numbers[LOAD_NUMBERS_KNOWN];
    size_t size;
    const char *value =
        MpTargetHead_Find(head, this->gateway->dialect->target.load, &size);
    if (!value) {
        return;
    }
    char *text = g_strndup(value, size);
    int count = strlen(text) == size ? parse_load(text, numbers) : 0;
    if (count != 0) {
        MpPoolTarget_ApplyReport(target, numbers[0], numbers[1], numbers[2],
                                 now_ms);
    }
    if (count == LOAD_NUMBERS_KNOWN) {
        MpRoster_NoteFigure(&this->gateway->roster, target,
                            numbers[LOAD_NUMBERS], now_ms);
        MpGatewayAdmission_Activate(this);
    }
    if (count <= 0 && !target->is_load_invalid) {
        target->is_load_invalid = true;
        log_unreadable(this, "target-load-invalid", "load", value, size);
    }
    g_free(text);
}

/* Applies the number of refusals that the target bears. */
static void
update_room(struct MpGatewayCall *this, const struct MpTargetHead *head)
{
    struct MpPoolTarget *target = this->target;
    int64_t refusals_max = 0;
    size_t size;
    const char *value = MpTargetHead_Find(
        head, this->gateway->dialect->target.refusals, &size);
    bool is_invalid = value && !MpTargetRoom_Parse(value, size, &refusals_max);
    if (is_invalid && !target->room.is_invalid) {
        log_unreadable(this, "target-brittle-invalid", "value", value, size);
    }
    target->room.is_invalid = is_invalid;
    if (!is_invalid &&
        MpTargetRoom_Note(&target->room, refusals_max, this->sent_ms)) {
        MpLog_Event(LOG_NOTICE, "target-brittle",
                    "id=%s target=%s pool=%s refusals_max=%" PRId64
                    " slots=%" PRId64 " running=%d",
                    this->id ? this->id : "-", target->incarnation,
                    target->pool, refusals_max, target->slots,
                    target->running);
    }
    if (head->status == 503 && this->is_rejected) {
        MpTargetRoom_NoteRefusal(&target->room, MpLoop_WallMs());
    }
}

static void
update_limit(struct MpGatewayCall *this, const struct MpTargetHead *head,
             int64_t now_ms)
{
    struct MpPoolTarget *target = this->target;
    int64_t rate_mrps = MP_LIMIT_NONE;
    size_t size;
    const char *value =
        MpTargetHead_Find(head, this->gateway->dialect->target.limit, &size);
    bool is_invalid = value && !MpTargetLimit_Parse(value, size, &rate_mrps);
    if (is_invalid && !target->is_limit_invalid) {
        log_unreadable(this, "target-limit-invalid", "limit", value, size);
    }
    target->is_limit_invalid = is_invalid;
    target->is_limit_seen |= value && !is_invalid;
    if (!is_invalid &&
        MpTargetLimit_Note(&target->limit, rate_mrps, this->sent_ms, now_ms)) {
        target->is_limit_seen = true;
        MpLog_Event(LOG_NOTICE, "target-limit",
                    "id=%s target=%s pool=%s limit_mrps=%" PRId64
                    " age_ms=%" PRId64 " from=answer",
                    this->id ? this->id : "-", target->incarnation,
                    target->pool, rate_mrps, now_ms - this->sent_ms);
    }
}

/* Applies how long the target stays cold. */
static void
update_cold(struct MpGatewayCall *this, const struct MpTargetHead *head,
            int64_t now_ms)
{
    struct MpPoolTarget *target = this->target;
    int64_t left_ms;
    size_t size;
    const char *value =
        MpTargetHead_Find(head, this->gateway->dialect->target.cold, &size);
    if (!value) {
        return;
    }
    if (!MpColdStart_Parse(value, size, &left_ms)) {
        if (!target->cold.is_invalid) {
            log_unreadable(this, "target-cold-invalid", "value", value, size);
        }
        target->cold.is_invalid = true;
        return;
    }
    target->cold.is_invalid = false;
    if (MpColdStart_NoteHeader(&target->cold, left_ms, this->sent_ms,
                               now_ms)) {
        MpLog_Event(LOG_NOTICE, "target-cold",
                    "id=%s target=%s pool=%s left_ms=%" PRId64
                    " age_ms=%" PRId64 " from=answer",
                    this->id ? this->id : "-", target->incarnation,
                    target->pool, left_ms, now_ms - this->sent_ms);
    }
}

/* ---- leaving and pauses ---- */

void
MpGatewayNotice_Read(struct MpGatewayCall *call,
                     const struct MpTargetHead *head, int64_t now_ms)
{
    struct MpPoolTarget *target = call->target;
    const struct MpTargetHeaders *names = &call->gateway->dialect->target;
    const struct MpTargetNotice notice =
        notice_of(call, target, call->sent_ms, now_ms);
    size_t size = 0;
    call->is_pause_answer = false;
    update_load(call, head, now_ms);
    if (head->status == 421) {
        /* It comes from another target at the same address. */
        return;
    }
    update_limit(call, head, now_ms);
    update_room(call, head);
    update_cold(call, head, now_ms);
    const char *value = MpTargetHead_Find(head, names->leaving, &size);
    MpTargetNotice_ReadLeaving(&notice, value, size, &target->leaving);
    target->is_leaving |= target->leaving.by_answer;
    value = head->status == 503 ? MpTargetHead_Find(head, names->pause, &size)
                                : NULL;
    call->is_pause_answer = MpTargetNotice_ReadPause(
        &notice, value, size, &target->pause, &call->gateway->target_pauses);
}

void
MpGatewayNotice_Sent(const struct MpGatewayCall *call,
                     struct MpPoolTarget *target, int64_t now_ms)
{
    const struct MpTargetNotice notice =
        notice_of(call, target, now_ms, now_ms);
    MpTargetNotice_Sent(&notice, &target->pause);
}

int64_t
MpGatewayNotice_RetryAfter(const struct MpGatewayCall *call, int64_t other_ms,
                           int64_t now_ms)
{
    struct MpPoolStatus status;
    const struct MpPoolQuery query = {.pool = call->pool};
    MpRoster_GetPoolStatus(&call->gateway->roster, &query, now_ms, &status);
    return status.pause_ms > now_ms
               ? MpTargetPause_CallerWait(status.pause_ms - now_ms,
                                          g_random_double())
               : other_ms;
}
