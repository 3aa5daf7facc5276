#ifndef MP_COORDINATION_PICK_POLICY_H
#define MP_COORDINATION_PICK_POLICY_H

/*
 * PickPolicy - how a target is chosen among those that can be used.
 */

enum MpPickPolicy {
    MP_PICK_AFFINITY,         /* the product's policy */
    MP_PICK_RANDOM,           /* baseline for measurements */
    MP_PICK_LEAST_OUTSTANDING /* baseline: least outstanding by own count */
};

#endif
