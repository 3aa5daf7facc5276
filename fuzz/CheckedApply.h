#ifndef MP_FUZZ_CHECKED_APPLY_H
#define MP_FUZZ_CHECKED_APPLY_H

#include "state/Machine.h"

/*
 * CheckedApply - applies commands to the replicated machine and checks that
 * one that is refused changes nothing.
 */

/* As MpMachine_Apply.  Fails the case if the command is refused and the state
 * is another one afterwards. */
int CheckedApply(struct MpMachine *machine, uint64_t index,
                 const struct mp_command *command, struct mp_result *result);

#endif
