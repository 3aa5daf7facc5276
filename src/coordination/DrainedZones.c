#include "coordination/DrainedZones.h"

void
MpDrainedZones_Init(struct MpDrainedZones *this)
{
    *this =
        (struct MpDrainedZones){.zones = g_hash_table_new_full(
                                    g_str_hash, g_str_equal, g_free, g_free)};
}

void
MpDrainedZones_Done(struct MpDrainedZones *this)
{
    g_hash_table_unref(this->zones);
}

bool
MpDrainedZones_Apply(struct MpDrainedZones *this, uint64_t version,
                     const struct mp_zone *list, uint32_t count,
                     int64_t now_ms,
                     void (*changed)(const struct mp_zone *zone))
{
    this->is_known = true;
    if (version <= this->version) {
        return false;
    }
    struct MpDrainedZones known = *this;
    this->version = version;
    this->zones =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (uint32_t i = 0; i < count; i++) {
        struct MpZoneView *view = g_new(struct MpZoneView, 1);
        *view = (struct MpZoneView){
            .is_drained = list[i].is_drained,
            .restored_ms = list[i].restored_age_ms < 0
                               ? -1
                               : MAX(now_ms - list[i].restored_age_ms, 0)};
        g_hash_table_replace(this->zones, g_strdup(list[i].name), view);
        if (changed && (bool)list[i].is_drained !=
                           MpDrainedZones_Contains(&known, list[i].name)) {
            changed(&list[i]);
        }
    }
    MpDrainedZones_Done(&known);
    return true;
}

bool
MpDrainedZones_Contains(const struct MpDrainedZones *this, const char *zone)
{
    const struct MpZoneView *view =
        zone ? g_hash_table_lookup(this->zones, zone) : NULL;
    return view && view->is_drained;
}

uint32_t
MpDrainedZones_Count(const struct MpDrainedZones *this)
{
    GHashTableIter iter;
    void *value;
    uint32_t count = 0;
    g_hash_table_iter_init(&iter, this->zones);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        count += ((struct MpZoneView *)value)->is_drained;
    }
    return count;
}

int64_t
MpDrainedZones_RestoredMs(const struct MpDrainedZones *this, const char *zone)
{
    const struct MpZoneView *view =
        zone ? g_hash_table_lookup(this->zones, zone) : NULL;
    return view ? view->restored_ms : -1;
}
