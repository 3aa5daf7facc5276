#include "coordination/RaftInternal.h"

#include <stdlib.h>

/* Majorities of the membership; see RaftInternal.h. */

static int
compare_values(const void *a, const void *b)
{
    const int64_t *x = a;
    const int64_t *y = b;
    return *x > *y ? -1 : *x < *y;
}

static int64_t
reached_by(const struct MpRaft *this, bool is_next, MpMemberValue value)
{
    int64_t values[MP_MEMBERS_MAX];
    uint32_t count = 0;
    for (u_int i = 0; i < this->members.list.list_len; i++) {
        const struct mp_member *member = &this->members.list.list_val[i];
        if (is_next ? member->next_voter : member->voter) {
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
MpRaftQuorum_Reached(const struct MpRaft *this, MpMemberValue value)
{
    int64_t reached = reached_by(this, false, value);
    if (this->members.joint) {
        reached = MIN(reached, reached_by(this, true, value));
    }
    return reached;
}
