#include "coordination/Membership.h"

#include "state/Error.h"

#include <string.h>

/* A learner that lags the leader's log by at most this many entries may become
 * a voter. */
#define CAUGHT_UP_ENTRIES 64
/* A learner that answered within this time counts as reachable, ms. */
#define RECENT_ACK_MS 300

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

/* A copy of the member list that is edited and then proposed.  Its strings
 * belong to the original. */
struct draft {
    struct mp_member list[MP_MEMBERS_MAX];
    u_int count;
    bool is_joint;
};

static void
draft_init(struct draft *draft, const struct mp_members *members)
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

/* Returns whether a learner has nearly all of the log and is reachable. */
static bool
is_caught_up(const struct MpRaft *raft, uint64_t id)
{
    const struct MpProgress *progress = MpRaft_Progress(raft, id);
    return progress &&
           progress->match + CAUGHT_UP_ENTRIES >= MpRaft_LastIndex(raft) &&
           progress->match > 0 &&
           raft->now_ms - progress->acked_ms < RECENT_ACK_MS;
}

/* Proposes a joint membership in which the learner at index becomes a voter
 * and replaces older voters of its instance.  Both sets of voters count until
 * the change is committed, so the new voter may fail at any time. */
static bool
promote(struct draft *draft, struct MpRaft *raft, u_int index)
{
    for (u_int i = 0; i < draft->count; i++) {
        bool is_replaced =
            strcmp(draft->list[i].instance, draft->list[index].instance) == 0;
        draft->list[i].next_voter =
            i == index || (draft->list[i].voter && !is_replaced);
    }
    draft->is_joint = true;
    return draft_propose(draft, raft);
}

/* Proposes the membership that ends a joint one: the new voters become the
 * voters, and replaced voters are removed. */
static bool
leave_joint(struct draft *draft, struct MpRaft *raft)
{
    u_int kept = 0;
    for (u_int i = 0; i < draft->count; i++) {
        bool is_removed = draft->list[i].voter && !draft->list[i].next_voter;
        if (is_removed) {
            continue;
        }
        draft->list[kept] = draft->list[i];
        draft->list[kept].voter = draft->list[i].next_voter;
        draft->list[kept++].next_voter = false;
    }
    draft->count = kept;
    return draft_propose(draft, raft);
}

/* Proposes the removal of a member; the order of the others is kept. */
static bool
remove_member(struct draft *draft, struct MpRaft *raft, u_int index)
{
    memmove(&draft->list[index], &draft->list[index + 1],
            (draft->count - index - 1) * sizeof(struct mp_member));
    draft->count--;
    return draft_propose(draft, raft);
}

/* Returns the index of the newest member that has the same instance as the one
 * at index; members are listed in the order in which they were added. */
static u_int
newest_of_instance(const struct draft *draft, u_int index)
{
    u_int newest = index;
    for (u_int i = index + 1; i < draft->count; i++) {
        if (strcmp(draft->list[i].instance, draft->list[index].instance) ==
            0) {
            newest = i;
        }
    }
    return newest;
}

/* Proposes the step that the membership itself requires, so that a new leader
 * continues where the previous one stopped. */
static bool
advance_change(struct MpRaft *raft)
{
    struct draft draft;
    draft_init(&draft, &raft->members);
    if (raft->members.joint) {
        return leave_joint(&draft, raft);
    }
    for (u_int i = 0; i < draft.count; i++) {
        if (draft.list[i].voter) {
            continue;
        }
        /* A newer id of the same instance means that this learner has lost
         * its disk. */
        if (newest_of_instance(&draft, i) != i) {
            return remove_member(&draft, raft, i);
        }
        if (is_caught_up(raft, draft.list[i].id)) {
            return promote(&draft, raft, i);
        }
    }
    return false;
}

/* Proposes to remove an unresponsive voter if there are more than
 * MP_VOTERS_MIN voters.  A cluster formed with three voters thus has three
 * again once a replacement of a failed one was added. */
static bool
drop_unresponsive_voter(struct MpRaft *raft)
{
    struct draft draft;
    u_int voters = 0;
    u_int unresponsive = MP_MEMBERS_MAX;
    draft_init(&draft, &raft->members);
    for (u_int i = 0; i < draft.count; i++) {
        const struct MpProgress *progress =
            MpRaft_Progress(raft, draft.list[i].id);
        voters += draft.list[i].voter;
        if (draft.list[i].voter && progress &&
            raft->now_ms - progress->acked_ms > MP_VOTER_TIMEOUT_MS &&
            raft->now_ms - raft->elected_ms > MP_VOTER_TIMEOUT_MS) {
            unresponsive = i;
        }
    }
    if (unresponsive == MP_MEMBERS_MAX || voters <= MP_VOTERS_MIN) {
        return false;
    }
    for (u_int i = 0; i < draft.count; i++) {
        draft.list[i].next_voter = draft.list[i].voter && i != unresponsive;
    }
    draft.is_joint = true;
    return draft_propose(&draft, raft);
}

static bool
add_joined_replica(struct MpMembership *this, struct MpRaft *raft)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, this->joins);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct mp_member *join = value;
        struct draft draft;
        draft_init(&draft, &raft->members);
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
        is_changed = advance_change(raft) || add_joined_replica(this, raft) ||
                     drop_unresponsive_voter(raft);
    }
    /* Replicas repeat their request until they are members.  Discard requests
     * that were not used: an old one could add an id whose disk is lost. */
    g_hash_table_remove_all(this->joins);
    return is_changed;
}
