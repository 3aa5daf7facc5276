#include "coordination/Roster.h"

#include "coordination/RosterInternal.h"
#include "state/Fault.h"

#include <string.h>

/* Load and health of a single target of a pool; see Roster.h. */

/* Weight of the newest sample in an exponentially decaying average. */
#define AVERAGE_WEIGHT 0.1
/* Largest value of slowness. */
#define SLOWNESS_MAX 8.0
/* Largest number of requests or slots that a report may name. */
#define REPORTED_MAX 1000000

/* ---- attempts ---- */

static void
note_parts(struct MpPoolTarget *this, const struct MpRequestMeta *meta,
           int64_t now_ms)
{
    for (uint32_t i = 0; i < meta->part_count; i++) {
        int64_t *used_ms =
            g_hash_table_lookup(this->cached_parts, &meta->parts[i].id);
        if (used_ms) {
            *used_ms = now_ms;
            continue;
        }
        /* One allocation holds the key and, behind it, the value. */
        int64_t *pair = g_new(int64_t, 2);
        pair[0] = (int64_t)meta->parts[i].id;
        pair[1] = now_ms;
        g_hash_table_insert(this->cached_parts, pair, &pair[1]);
    }
}

static gboolean
is_part_expired(void *key, void *value, void *now_ms)
{
    (void)key;
    return *(int64_t *)now_ms - *(int64_t *)value >= MP_CACHE_RETENTION_MS;
}

/* Expired entries are removed when there are more than this. */
#define CACHED_PARTS_MAX 4096

void
MpPoolTarget_StartAttempt(struct MpPoolTarget *this,
                          const struct MpRequestMeta *meta,
                          int64_t prefill_tokens, int64_t now_ms)
{
    this->references++;
    this->picked++;
    this->running++;
    this->waiting++;
    this->sent_since_report++;
    this->prefill_tokens += prefill_tokens;
    this->is_under_test = this->failures > 0;
    MpTargetPause_NoteSent(&this->pause);
    note_parts(this, meta, now_ms);
    if (g_hash_table_size(this->cached_parts) > CACHED_PARTS_MAX) {
        g_hash_table_foreach_remove(this->cached_parts, is_part_expired,
                                    &now_ms);
    }
}

void
MpPoolTarget_NoteFirstAnswer(struct MpPoolTarget *this, int64_t prefill_tokens,
                             int64_t took_ms, int64_t expected_ms)
{
    this->waiting--;
    this->prefill_tokens -= prefill_tokens;
    double ratio = (double)(took_ms + 20) / (double)(expected_ms + 20);
    ratio = CLAMP(ratio * this->slowness, 1.0, SLOWNESS_MAX);
    this->slowness += AVERAGE_WEIGHT * (ratio - this->slowness);
}

/* Returns NULL for a target that was removed, maybe with its pool. */
static struct MpPoolSpeed *
speed_of_pool(struct MpRoster *this, const struct MpPoolTarget *target)
{
    struct MpPoolSpeed *speed =
        g_hash_table_lookup(this->speeds, target->pool);
    if (!speed && !target->is_removed) {
        speed = g_new(struct MpPoolSpeed, 1);
        *speed = (struct MpPoolSpeed)MP_POOL_SPEED_INIT;
        g_hash_table_insert(this->speeds, g_strdup(target->pool), speed);
    }
    return speed;
}

void
MpRoster_NoteFigure(struct MpRoster *this, struct MpPoolTarget *target,
                    int64_t percent, int64_t now_ms)
{
    struct MpPoolSpeed *pool = speed_of_pool(this, target);
    if (pool) {
        MpTargetSpeed_NoteFigure(&target->speed, pool, percent, now_ms);
    }
}

void
MpRoster_NoteEvents(struct MpRoster *this, struct MpPoolTarget *target,
                    int64_t events, int64_t span_ms)
{
    struct MpPoolSpeed *pool = speed_of_pool(this, target);
    /* Pools whose targets report no speed are taken to be even. */
    if (pool && pool->figures > 0) {
        MpTargetSpeed_NoteEvents(&target->speed, pool, events, span_ms);
    }
}

static void
note_failure(struct MpPoolTarget *this, int64_t now_ms)
{
    this->is_listening = false;
    int64_t ejection_ms = MIN(
        (int64_t)MP_EJECTION_MS << MIN(this->failures, 8), MP_EJECTION_MAX_MS);
    this->failures++;
    this->ejected_until_ms = now_ms + ejection_ms;
}

void
MpPoolTarget_EndAttempt(struct MpRoster *roster, struct MpPoolTarget *this,
                        bool has_answered, int64_t prefill_tokens,
                        enum MpTargetOutcome outcome, int64_t now_ms)
{
    bool is_error = outcome == MP_OUTCOME_ERROR;
    this->running--;
    this->is_under_test = false;
    if (!has_answered) {
        this->waiting--;
        this->prefill_tokens -= prefill_tokens;
    }
    switch (outcome) {
    case MP_OUTCOME_OK:
    case MP_OUTCOME_ERROR:
    case MP_OUTCOME_REFUSED:
        this->failures = 0;
        this->is_listening = false;
        break;
    case MP_OUTCOME_REPLACED:
        this->is_leaving = true;
        break;
    case MP_OUTCOME_FAILED:
        note_failure(this, now_ms);
        break;
    case MP_OUTCOME_CANCELLED:
        break;
    }
    if (outcome == MP_OUTCOME_OK || is_error) {
        this->error_rate += AVERAGE_WEIGHT * (is_error - this->error_rate);
    }
    MpPoolTarget_Unref(roster, this);
}

void
MpRoster_ForgiveFailures(struct MpRoster *this, const char *address)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, this->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct MpPoolTarget *target = value;
        if (strcmp(target->address, address) == 0) {
            target->failures = 0;
            target->ejected_until_ms = 0;
            target->is_listening = false;
        }
    }
}

/* ---- room ---- */

bool
MpPoolTarget_HasRoom(const struct MpPoolTarget *this,
                     const struct MpPoolQuery *query, int64_t now_ms)
{
    uint32_t instances = MAX(query->instances, 1);
    bool is_report_fresh = this->reported_ms > 0 &&
                           now_ms - this->reported_ms <= MP_ROOM_REPORT_MAX_MS;
    const struct MpRoomQuery room = {
        .slots = this->slots,
        .running = this->running,
        .reported = is_report_fresh
                        ? this->reported_running + this->reported_waiting +
                              this->sent_since_report
                        : -1,
        .rank = (uint32_t)((query->instance_rank + this->hash) % instances),
        .instances = instances,
        .wall_ms = query->wall_ms,
        .pool = query->room};
    return MpTargetRoom_MaySend(&this->room, &room);
}

/* ---- probes ---- */

static bool
is_probe_candidate(const struct MpPoolTarget *target, int64_t now_ms)
{
    return !MP_FAULT(MP_FAULT_NEVER_PROBED) && target->failures > 0 &&
           !target->is_under_test && !target->is_probing &&
           !target->is_listening && !target->is_leaving &&
           !target->is_removed && !target->is_drained &&
           !MpTargetPause_IsActive(&target->pause, now_ms) &&
           now_ms - target->ejected_until_ms >= MP_PROBE_DELAY_MS;
}

void
MpRoster_ListProbeCandidates(struct MpRoster *this, int64_t now_ms,
                             GPtrArray *out)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, this->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct MpPoolTarget *target = value;
        if (is_probe_candidate(target, now_ms)) {
            target->is_probing = true;
            target->references++;
            g_ptr_array_add(out, target);
        }
    }
}

void
MpPoolTarget_HandleProbe(struct MpRoster *roster, struct MpPoolTarget *this,
                         bool is_listening, int64_t now_ms)
{
    this->is_probing = false;
    if (this->failures > 0 && !this->is_under_test && is_listening) {
        this->is_listening = true;
    }
    else if (this->failures > 0 && !this->is_under_test) {
        note_failure(this, now_ms);
    }
    MpPoolTarget_Unref(roster, this);
}

void
MpPoolTarget_ApplyReport(struct MpPoolTarget *this, int64_t running,
                         int64_t waiting, int64_t slots, int64_t now_ms)
{
    /* A report that cannot be right is ignored. */
    if (running > REPORTED_MAX || waiting > REPORTED_MAX ||
        slots > REPORTED_MAX) {
        return;
    }
    this->reported_running = (int32_t)MAX(running, 0);
    this->reported_waiting = (int32_t)MAX(waiting, 0);
    this->reported_ms = now_ms;
    this->sent_since_report = 0;
    if (slots > 0) {
        this->slots = slots;
    }
}
