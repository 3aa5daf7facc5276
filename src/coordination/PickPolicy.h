#ifndef MP_COORDINATION_PICK_POLICY_H
#define MP_COORDINATION_PICK_POLICY_H

/*
 * MpPickPolicy - how a target is chosen among the usable ones; selected by
 * the instance's settings.
 */

enum MpPickPolicy {
    MP_PICK_AFFINITY,         /* by load and cached prompts; the default */
    MP_PICK_RANDOM,           /* baseline for benchmarks */
    MP_PICK_LEAST_OUTSTANDING /* baseline: fewest requests in flight from this
                               * instance */
};

#endif
