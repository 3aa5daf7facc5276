#include "coordination/RaftInternal.h"

#include <stdlib.h>

/* Majority computation over the voters of a membership. */

static int
compare_values(const void *a, const void *b)
{
    const int64_t *x = a;
    const int64_t *y = b;
    return *x > *y ? -1 : *x < *y;
}

static int64_t
majority_value(const struct MpRaft *this, bool is_new_set, MpMemberValue value)
{
    int64_t values[MP_MEMBERS_MAX];
    uint32_t count = 0;
    for (u_int i = 0; i < this->members.list.list_len; i++) {
        const struct mp_member *member = &this->members.list.list_val[i];
        if (is_new_set ? member->next_voter : member->voter) {
            values[count++] = value(this, member->id);
        }
    }
    if (count == 0) {
        return -1;
    }
    qsort(values, count, sizeof(values[0]), compare_values);
    return values[count / 2];
}

int64_t
MpRaftQuorum_MajorityValue(const struct MpRaft *this, MpMemberValue value)
{
    int64_t majority = majority_value(this, false, value);
    if (this->members.joint) {
        majority = MIN(majority, majority_value(this, true, value));
    }
    return majority;
}
