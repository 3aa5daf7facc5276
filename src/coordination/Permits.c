#include "coordination/Permits.h"

#include "state/Fault.h"

/* A target gets at most the requests that its limit allows in this time, a
 * whole number, ms. */
#define WINDOW_MS 4000
/* The slots of a window are spread over a longer time, ms, because permits
 * take different times on their way. */
#define SPREAD_MS 4050
/* Instances that were turned away are told to come back for different slots,
 * this many for each: some have nothing to send by then. */
#define ASKERS_PER_SLOT 8
/* Bounds of the time after which to ask again, ms. */
#define ASK_AGAIN_MIN_MS 20
#define ASK_AGAIN_MAX_MS 1000
/* A target that nobody asked for during this time is forgotten, ms; longer
 * than the distance of slots at the lowest rate. */
#define FORGET_MS 120000
#define SWEEP_INTERVAL_MS 10000
/* Requests wait at most this part of their latency target for a slot. */
#define AHEAD_DIVISOR 4
#define US_PER_MS 1000

struct target_slots {
    struct MpTargetLimit limit;
    int64_t next_us; /* the next free slot */
    bool is_new;     /* not asked for yet */
    uint32_t denied; /* since the last slot was given out */
    int64_t asked_ms;
};

void
MpPermits_Init(struct MpPermits *this)
{
    *this = (struct MpPermits){.targets = g_hash_table_new_full(
                                   g_str_hash, g_str_equal, g_free, g_free)};
}

void
MpPermits_Done(struct MpPermits *this)
{
    g_hash_table_unref(this->targets);
}

static gboolean
is_forgotten(void *key, void *value, void *now_ms)
{
    const struct target_slots *slots = value;
    (void)key;
    return *(int64_t *)now_ms - slots->asked_ms >= FORGET_MS;
}

static struct target_slots *
slots_of(struct MpPermits *this, const char *incarnation, int64_t now_ms)
{
    struct target_slots *slots =
        g_hash_table_lookup(this->targets, incarnation);
    if (!slots) {
        slots = g_new0(struct target_slots, 1);
        slots->limit = (struct MpTargetLimit)MP_TARGET_LIMIT_INIT;
        slots->is_new = true;
        g_hash_table_insert(this->targets, g_strdup(incarnation), slots);
    }
    slots->asked_ms = now_ms;
    if (now_ms - this->swept_ms >= SWEEP_INTERVAL_MS) {
        this->swept_ms = now_ms;
        g_hash_table_foreach_remove(this->targets, is_forgotten, &now_ms);
    }
    return slots;
}

/* Returns the distance between the slots of one keeper, us; 0: it has none. */
static int64_t
spacing_us(int64_t rate_mrps, const struct MpPermitQuery *query)
{
    int64_t shares = MAX(query->shares, 1);
    int64_t whole = rate_mrps * WINDOW_MS / 1000000;
    if (MP_FAULT(MP_FAULT_PERMIT_SHARE_IGNORED)) {
        shares = 1;
    }
    if (query->share < 0) {
        return shares * G_USEC_PER_SEC * 1000 / rate_mrps;
    }
    if (whole == 0) {
        return query->share == 0 ? G_USEC_PER_SEC * 1000 / rate_mrps : 0;
    }
    int64_t own = whole / shares + (query->share < whole % shares);
    return own > 0 ? SPREAD_MS * US_PER_MS / own : 0;
}

/* Returns the distance between the slots of one keeper by the limit and by
 * the rate of a cold target, us; 0: it has none. */
static int64_t
distance_between_slots(int64_t rate_mrps, const struct MpPermitQuery *query)
{
    const struct MpColdConf *cold = &query->cold;
    int64_t by_limit_us =
        rate_mrps != MP_LIMIT_NONE ? spacing_us(rate_mrps, query) : -1;
    int64_t by_cold_us =
        cold->is_set ? MpColdConf_SpacingUs(cold, query->shares, query->share)
                     : -1;
    return by_limit_us == 0 || by_cold_us == 0 ? 0
                                               : MAX(by_limit_us, by_cold_us);
}

/* Returns the first slot of a keeper that knows of none: after the last one
 * that it or its predecessor can have given out before, and out of step with
 * the other keepers. */
static int64_t
first_slot_us(const struct MpPermits *this, const struct MpPermitQuery *query,
              int64_t now_us, int64_t distance_us)
{
    if (MP_FAULT(MP_FAULT_PERMITS_AFTER_RESTART)) {
        return now_us;
    }
    if (MpTargetLimit_Rate(&query->limit) == MP_LIMIT_NONE) {
        int64_t settled_us =
            this->changed_ms * US_PER_MS +
            MAX(MP_KEEPERS_SETTLE_MS * US_PER_MS,
                MP_PERMIT_AHEAD_MAX_MS * US_PER_MS + distance_us);
        return MAX(now_us, settled_us);
    }
    int64_t phase_us =
        query->share > 0 ? distance_us * query->share / query->shares : 0;
    return now_us + MP_PERMIT_AHEAD_MAX_MS * US_PER_MS + distance_us +
           phase_us;
}

void
MpPermits_NoteKeepers(struct MpPermits *this, int64_t now_ms)
{
    this->changed_ms = now_ms;
}

void
MpPermits_Ask(struct MpPermits *this, const struct MpPermitQuery *query,
              int64_t now_ms, struct MpPermitAnswer *answer)
{
    struct target_slots *slots = slots_of(this, query->incarnation, now_ms);
    MpTargetLimit_Note(&slots->limit, query->limit.rate_mrps,
                       query->limit.sent_ms, query->limit.received_ms);
    *answer = (struct MpPermitAnswer){.limit = slots->limit};
    int64_t rate_mrps = MpTargetLimit_Rate(&slots->limit);
    if (rate_mrps == MP_LIMIT_NONE && !query->cold.is_set) {
        answer->is_granted = true;
        return;
    }
    int64_t now_us = now_ms * US_PER_MS;
    int64_t distance_us = distance_between_slots(rate_mrps, query);
    int64_t ahead_us =
        CLAMP(query->ahead_ms, 0, MP_PERMIT_AHEAD_MAX_MS) * US_PER_MS;
    int64_t slot_us = MAX(slots->next_us, now_us);
    if (distance_us == 0) {
        answer->wait_ms = ASK_AGAIN_MAX_MS;
        this->denied++;
        return;
    }
    if (slots->is_new) {
        slot_us = first_slot_us(this, query, now_us, distance_us);
        slots->is_new = false;
        slots->next_us = slot_us;
    }
    if (slot_us - now_us <= ahead_us) {
        slots->next_us = slot_us + distance_us;
        slots->denied = 0;
        answer->is_granted = true;
        answer->wait_ms = (slot_us - now_us) / US_PER_MS;
        this->granted++;
        return;
    }
    int64_t again_us = slot_us - now_us - ahead_us +
                       slots->denied / ASKERS_PER_SLOT * distance_us;
    answer->wait_ms =
        CLAMP(again_us / US_PER_MS, ASK_AGAIN_MIN_MS, ASK_AGAIN_MAX_MS);
    slots->denied++;
    this->denied++;
}

int64_t
MpPermits_Ahead(int64_t latency_target_ms, int64_t rank)
{
    int64_t ahead_ms =
        latency_target_ms > 0
            ? MIN(latency_target_ms / AHEAD_DIVISOR, MP_PERMIT_AHEAD_MAX_MS)
            : MP_PERMIT_AHEAD_MAX_MS;
    return ahead_ms / (1 + CLAMP(rank, 0, 2));
}
