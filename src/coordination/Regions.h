#ifndef MP_COORDINATION_REGIONS_H
#define MP_COORDINATION_REGIONS_H

#include <glib.h>
#include <stdbool.h>

/*
 * MpRegions - the regions to which zones belong, and the rule that names where
 * a request may be served.
 *
 * The load that this is made for: paths and workspaces whose requests must not
 * leave a region, on deployments of a few regions with a few zones each. Every
 * request checks some hundred targets, so the rule is two short lists.
 */

struct MpRegions {
    GHashTable *by_zone; /* zone -> region */
};

/* Where a request may be served: in a region that is in both lists; a list
 * that is NULL or empty allows all.  The rule owns nothing. */
struct MpRegionRule {
    const struct MpRegions *regions;
    const GPtrArray *by_path; /* of char * */
    const GPtrArray *by_workspace;
};

/* zones: zone -> region, or NULL.  own_zone belongs to own_region, which may
 * be NULL, unless zones says otherwise. */
void MpRegions_Init(struct MpRegions *this, GHashTable *zones,
                    const char *own_zone, const char *own_region);
void MpRegions_Done(struct MpRegions *this);

/* Returns the region of a zone, or NULL. */
const char *MpRegions_Find(const struct MpRegions *this, const char *zone);

/* Returns whether the rule, which may be NULL, leaves out any region. */
bool MpRegionRule_IsStrict(const struct MpRegionRule *this);

/* Returns whether the request may be served in zone.  A zone whose region is
 * not known is allowed only if no list names any. */
bool MpRegionRule_Allows(const struct MpRegionRule *this, const char *zone);

#endif
