#include "coordination/Regions.h"

void
MpRegions_Init(struct MpRegions *this, GHashTable *zones, const char *own_zone,
               const char *own_region)
{
    GHashTableIter iter;
    void *zone;
    void *region;
    this->by_zone =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    if (own_zone && own_region) {
        g_hash_table_replace(this->by_zone, g_strdup(own_zone),
                             g_strdup(own_region));
    }
    if (!zones) {
        return;
    }
    g_hash_table_iter_init(&iter, zones);
    while (g_hash_table_iter_next(&iter, &zone, &region)) {
        g_hash_table_replace(this->by_zone, g_strdup(zone), g_strdup(region));
    }
}

void
MpRegions_Done(struct MpRegions *this)
{
    g_hash_table_unref(this->by_zone);
}

const char *
MpRegions_Find(const struct MpRegions *this, const char *zone)
{
    return zone ? g_hash_table_lookup(this->by_zone, zone) : NULL;
}

static bool
is_empty(const GPtrArray *list)
{
    return !list || list->len == 0;
}

/* Whether the list allows the region, which may be NULL. */
static bool
is_allowed(const GPtrArray *list, const char *region)
{
    return is_empty(list) ||
           (region && g_ptr_array_find_with_equal_func(
                          (GPtrArray *)list, region, g_str_equal, NULL));
}

bool
MpRegionRule_IsStrict(const struct MpRegionRule *this)
{
    return this && (!is_empty(this->by_path) || !is_empty(this->by_workspace));
}

bool
MpRegionRule_Allows(const struct MpRegionRule *this, const char *zone)
{
    if (!MpRegionRule_IsStrict(this)) {
        return true;
    }
    const char *region = MpRegions_Find(this->regions, zone);
    return is_allowed(this->by_path, region) &&
           is_allowed(this->by_workspace, region);
}
