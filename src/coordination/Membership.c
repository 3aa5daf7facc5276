#include "coordination/Membership.h"

#include "state/Error.h"

#include <string.h>

/* A learner this close to the leader's log becomes a voter. */
#define CAUGHT_UP_ENTRIES 64

static void
member_delete(void *data)
{
    struct mp_member *this = data;
    g_free(this->instance);
    g_free(this->address);
    g_free(this);
}

void
MpMembership_Init(struct MpMembership *this)
{
    this->joins =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, member_delete);
}

void
MpMembership_Done(struct MpMembership *this)
{
    g_hash_table_unref(this->joins);
}

void
MpMembership_Join(struct MpMembership *this, const char *instance,
                  const char *address, uint64_t id)
{
    struct mp_member *member = g_new0(struct mp_member, 1);
    member->id = id;
    member->instance = g_strdup(instance);
    member->address = g_strdup(address);
    g_hash_table_replace(this->joins, member->instance, member);
}

/* A list of members being changed; strings are borrowed. */
struct draft {
    struct mp_member list[MP_MEMBERS_MAX];
    u_int count;
};

static void
draft_start(struct draft *draft, const struct mp_members *members)
{
    draft->count = members->list.list_len;
    memcpy(draft->list, members->list.list_val,
           draft->count * sizeof(struct mp_member));
}

static bool
draft_propose(struct draft *draft, struct MpRaft *raft)
{
    struct mp_members members = {
        .list = {.list_val = draft->list, .list_len = draft->count}};
    return MpRaft_ProposeMembers(raft, &members) == MP_OK;
}

static bool
add_learner(struct draft *draft, struct MpRaft *raft,
            const struct mp_member *join)
{
    if (draft->count >= MP_MEMBERS_MAX) {
        return false;
    }
    draft->list[draft->count] = *join;
    draft->list[draft->count++].voter = false;
    return draft_propose(draft, raft);
}

static bool
is_caught_up(const struct MpRaft *raft, uint64_t id)
{
    const struct MpProgress *progress = MpRaft_Progress(raft, id);
    return progress &&
           progress->match + CAUGHT_UP_ENTRIES >= MpRaft_LastIndex(raft) &&
           progress->match > 0;
}

static bool
promote(struct draft *draft, struct MpRaft *raft, uint64_t id)
{
    for (u_int i = 0; i < draft->count; i++) {
        if (draft->list[i].id == id) {
            draft->list[i].voter = true;
        }
    }
    return draft_propose(draft, raft);
}

/* Removes the replicas of instance other than id. */
static bool
remove_others(struct draft *draft, struct MpRaft *raft,
              const struct mp_member *join)
{
    for (u_int i = 0; i < draft->count; i++) {
        if (draft->list[i].id != join->id &&
            strcmp(draft->list[i].instance, join->instance) == 0) {
            draft->list[i] = draft->list[draft->count - 1];
            draft->count--;
            return draft_propose(draft, raft);
        }
    }
    return false;
}

static bool
advance_one(struct MpRaft *raft, const struct mp_member *join)
{
    struct draft draft;
    draft_start(&draft, &raft->members);
    const struct mp_member *member = MpRaft_Member(raft, join->id);
    if (!member) {
        return add_learner(&draft, raft, join);
    }
    if (!member->voter) {
        return is_caught_up(raft, join->id) && promote(&draft, raft, join->id);
    }
    return remove_others(&draft, raft, join);
}

bool
MpMembership_Advance(struct MpMembership *this, struct MpRaft *raft)
{
    GHashTableIter iter;
    void *value;
    if (!MpRaft_IsLeader(raft) || raft->members_index > raft->commit) {
        return false;
    }
    g_hash_table_iter_init(&iter, this->joins);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (advance_one(raft, value)) {
            return true;
        }
    }
    return false;
}
