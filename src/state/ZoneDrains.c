#include "state/ZoneDrains.h"

#include "state/Codec.h"
#include "state/Error.h"
#include "state/Fault.h"
#include "state/Schema.h"

#include <string.h>

static void
zone_delete(void *data)
{
    struct MpZone *this = data;
    g_free(this->name);
    g_free(this);
}

void
MpZoneDrains_Init(struct MpZoneDrains *this)
{
    *this = (struct MpZoneDrains){
        .zones = g_ptr_array_new_with_free_func(zone_delete)};
}

void
MpZoneDrains_Done(struct MpZoneDrains *this)
{
    g_ptr_array_unref(this->zones);
}

static struct MpZone *
find(const struct MpZoneDrains *this, const char *name)
{
    for (guint i = 0; i < this->zones->len; i++) {
        struct MpZone *zone = g_ptr_array_index(this->zones, i);
        if (strcmp(zone->name, name) == 0) {
            return zone;
        }
    }
    return NULL;
}

const struct MpZone *
MpZoneDrains_Find(const struct MpZoneDrains *this, const char *name)
{
    return find(this, name);
}

/* Drops the restored zone with the oldest order.  Returns false if all zones
 * are drained. */
static bool
drop_restored(struct MpZoneDrains *this)
{
    guint oldest = this->zones->len;
    uint64_t oldest_version = UINT64_MAX;
    for (guint i = 0; i < this->zones->len; i++) {
        const struct MpZone *zone = g_ptr_array_index(this->zones, i);
        if (!zone->is_drained && zone->ordered_version < oldest_version) {
            oldest = i;
            oldest_version = zone->ordered_version;
        }
    }
    if (oldest == this->zones->len) {
        return false;
    }
    this->dropped_version = MAX(this->dropped_version, oldest_version);
    g_ptr_array_remove_index(this->zones, oldest);
    return true;
}

static struct MpZone *
add_zone(struct MpZoneDrains *this, const char *name)
{
    guint at = 0;
    struct MpZone *zone = g_new0(struct MpZone, 1);
    zone->name = g_strdup(name);
    zone->restored_ms = -1;
    while (at < this->zones->len &&
           strcmp(((struct MpZone *)g_ptr_array_index(this->zones, at))->name,
                  name) < 0) {
        at++;
    }
    g_ptr_array_insert(this->zones, (gint)at, zone);
    return zone;
}

int
MpZoneDrains_Apply(struct MpZoneDrains *this,
                   const struct mp_zone_drain *order, int64_t now_ms)
{
    struct MpZone *zone = find(this, order->zone);
    uint64_t ordered = zone ? zone->ordered_version : this->dropped_version;
    if (!MpSchema_IsName(order->zone)) {
        return MP_ERROR_INVALID;
    }
    if (order->has_base && ordered > order->base_version &&
        !MP_FAULT(MP_FAULT_ZONE_BASE_IGNORED)) {
        return MP_ERROR_STALE;
    }
    if (!zone && this->zones->len >= MP_ZONES_MAX && !drop_restored(this)) {
        return MP_ERROR_LIMIT;
    }
    if (!zone) {
        zone = add_zone(this, order->zone);
        zone->changed_ms = now_ms;
    }
    zone->ordered_version = ++this->version;
    if (zone->is_drained == (bool)order->is_drain) {
        return MP_OK;
    }
    zone->is_drained = order->is_drain;
    zone->changed_ms = now_ms;
    if (!zone->is_drained) {
        zone->restored_ms = now_ms;
    }
    return MP_OK;
}

struct mp_zone *
MpZoneDrains_List(const struct MpZoneDrains *this, int64_t now_ms)
{
    struct mp_zone *list = g_new0(struct mp_zone, this->zones->len + 1);
    for (guint i = 0; i < this->zones->len; i++) {
        const struct MpZone *zone = g_ptr_array_index(this->zones, i);
        list[i] = (struct mp_zone){
            .name = zone->name,
            .is_drained = zone->is_drained,
            .ordered_version = zone->ordered_version,
            .changed_age_ms = MAX(now_ms - zone->changed_ms, 0),
            .restored_age_ms = zone->restored_ms < 0
                                   ? -1
                                   : MAX(now_ms - zone->restored_ms, 0)};
    }
    return list;
}

/* ---- snapshot ---- */

GBytes *
MpZoneDrains_Save(const struct MpZoneDrains *this)
{
    struct mp_zone_image list[MP_ZONES_MAX];
    struct mp_zones_image image = {
        .zones_version = this->version,
        .dropped_version = this->dropped_version,
        .list = {.list_val = list, .list_len = this->zones->len}};
    if (this->version == 0) {
        return NULL;
    }
    for (guint i = 0; i < this->zones->len; i++) {
        const struct MpZone *zone = g_ptr_array_index(this->zones, i);
        list[i] =
            (struct mp_zone_image){.name = zone->name,
                                   .is_drained = zone->is_drained,
                                   .ordered_version = zone->ordered_version,
                                   .changed_ms = zone->changed_ms,
                                   .restored_ms = zone->restored_ms};
    }
    return MpCodec_Encode(MP_XDR(mp_zones_image), &image);
}

int
MpZoneDrains_Load(struct MpZoneDrains *this, const void *data, size_t size)
{
    struct mp_zones_image image;
    int code = MpCodec_Decode(MP_XDR(mp_zones_image), &image, data, size,
                              sizeof(image));
    if (code != MP_OK) {
        return code;
    }
    g_ptr_array_set_size(this->zones, 0);
    this->version = image.zones_version;
    this->dropped_version = image.dropped_version;
    for (u_int i = 0; i < image.list.list_len; i++) {
        const struct mp_zone_image *from = &image.list.list_val[i];
        struct MpZone *zone = add_zone(this, from->name);
        zone->is_drained = from->is_drained;
        zone->ordered_version = from->ordered_version;
        zone->changed_ms = from->changed_ms;
        zone->restored_ms = from->restored_ms;
    }
    MpCodec_Free(MP_XDR(mp_zones_image), &image);
    return MP_OK;
}
