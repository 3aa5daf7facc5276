#include "coordination/Membership.h"

#include "state/Error.h"

#include <string.h>

/* A learner this close to the leader's log becomes a voter. */
#define CAUGHT_UP_ENTRIES 64
/* An answer this young shows that a learner is there. */
#define FRESH_MS 300

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
    bool is_joint;
};

static void
draft_start(struct draft *draft, const struct mp_members *members)
{
    draft->count = members->list.list_len;
    draft->is_joint = false;
    memcpy(draft->list, members->list.list_val,
           draft->count * sizeof(struct mp_member));
}

static bool
draft_propose(struct draft *draft, struct MpRaft *raft)
{
    struct mp_members members = {
        .list = {.list_val = draft->list, .list_len = draft->count},
        .joint = draft->is_joint};
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

/* A learner that has the log and answers now. */
static bool
is_caught_up(const struct MpRaft *raft, uint64_t id)
{
    const struct MpProgress *progress = MpRaft_Progress(raft, id);
    return progress &&
           progress->match + CAUGHT_UP_ENTRIES >= MpRaft_LastIndex(raft) &&
           progress->match > 0 && raft->now_ms - progress->acked_ms < FRESH_MS;
}

/* Lets the member at place vote next, in the place of older ones of its
 * instance.  Both memberships count until the change is committed, so that
 * the newcomer may fail at any moment. */
static bool
promote(struct draft *draft, struct MpRaft *raft, u_int place)
{
    for (u_int i = 0; i < draft->count; i++) {
        bool is_replaced =
            strcmp(draft->list[i].instance, draft->list[place].instance) == 0;
        draft->list[i].next_voter =
            i == place || (draft->list[i].voter && !is_replaced);
    }
    draft->is_joint = true;
    return draft_propose(draft, raft);
}

/* Ends a joint membership: those marked next are the voters. */
static bool
leave_joint(struct draft *draft, struct MpRaft *raft)
{
    u_int kept = 0;
    for (u_int i = 0; i < draft->count; i++) {
        bool is_dropped = draft->list[i].voter && !draft->list[i].next_voter;
        if (is_dropped) {
            continue;
        }
        draft->list[kept] = draft->list[i];
        draft->list[kept].voter = draft->list[i].next_voter;
        draft->list[kept++].next_voter = false;
    }
    draft->count = kept;
    return draft_propose(draft, raft);
}

/* Removes a member and keeps the order of the others. */
static bool
remove_member(struct draft *draft, struct MpRaft *raft, u_int place)
{
    memmove(&draft->list[place], &draft->list[place + 1],
            (draft->count - place - 1) * sizeof(struct mp_member));
    draft->count--;
    return draft_propose(draft, raft);
}

/* Returns the place of the newest member of the instance at place: members
 * are listed in the order in which they were added. */
static u_int
newest_of(const struct draft *draft, u_int place)
{
    u_int newest = place;
    for (u_int i = place + 1; i < draft->count; i++) {
        if (strcmp(draft->list[i].instance, draft->list[place].instance) ==
            0) {
            newest = i;
        }
    }
    return newest;
}

/* The next step that follows from the membership alone, so that any later
 * leader goes on where this one stops. */
static bool
advance_members(struct MpRaft *raft)
{
    struct draft draft;
    draft_start(&draft, &raft->members);
    if (raft->members.joint) {
        return leave_joint(&draft, raft);
    }
    for (u_int i = 0; i < draft.count; i++) {
        if (draft.list[i].voter) {
            continue;
        }
        /* A learner that another one of its instance came after is gone. */
        if (newest_of(&draft, i) != i) {
            return remove_member(&draft, raft, i);
        }
        if (is_caught_up(raft, draft.list[i].id)) {
            return promote(&draft, raft, i);
        }
    }
    return false;
}

/* Drops a voter that has been silent, once others have come in its place:
 * a cluster keeps the number of voters that it was formed with. */
static bool
drop_silent(struct MpRaft *raft)
{
    struct draft draft;
    u_int voters = 0;
    u_int silent = MP_MEMBERS_MAX;
    draft_start(&draft, &raft->members);
    for (u_int i = 0; i < draft.count; i++) {
        const struct MpProgress *progress =
            MpRaft_Progress(raft, draft.list[i].id);
        voters += draft.list[i].voter;
        if (draft.list[i].voter && progress &&
            raft->now_ms - progress->acked_ms > MP_VOTER_SILENT_MS &&
            raft->now_ms - raft->elected_ms > MP_VOTER_SILENT_MS) {
            silent = i;
        }
    }
    if (silent == MP_MEMBERS_MAX || voters <= MP_VOTERS_LEAST) {
        return false;
    }
    for (u_int i = 0; i < draft.count; i++) {
        draft.list[i].next_voter = draft.list[i].voter && i != silent;
    }
    draft.is_joint = true;
    return draft_propose(&draft, raft);
}

static bool
add_joins(struct MpMembership *this, struct MpRaft *raft)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, this->joins);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct mp_member *join = value;
        struct draft draft;
        draft_start(&draft, &raft->members);
        if (raft->members.joint) {
            return false;
        }
        if (!MpRaft_Member(raft, join->id) &&
            add_learner(&draft, raft, join)) {
            return true;
        }
    }
    return false;
}

bool
MpMembership_Advance(struct MpMembership *this, struct MpRaft *raft)
{
    bool is_changed = false;
    if (MpRaft_IsLeader(raft) && raft->members_index <= raft->commit) {
        is_changed = advance_members(raft) || add_joins(this, raft) ||
                     drop_silent(raft);
    }
    /* A replica repeats its call until it is a member; an old call must not
     * bring back an id whose disk is gone. */
    g_hash_table_remove_all(this->joins);
    return is_changed;
}
