#include "coordination/RaftInternal.h"

#include "state/Fault.h"

/* Leader election: pre-vote, vote and role changes. */

void
MpRaft_ResetElection(struct MpRaft *this)
{
    /* The first timeout is short: after a restart of all replicas there is no
     * leader and requests wait.  If there is a leader, the pre-vote fails
     * without disturbing it. */
    bool is_first = this->last_contact_ms == 0 && this->elected_ms == 0;
    int32_t wait_ms =
        is_first ? MP_RAFT_FIRST_ELECTION_MS : MP_RAFT_ELECTION_MS;
    this->election_deadline_ms =
        this->now_ms + wait_ms + g_rand_int_range(this->random, 0, wait_ms);
}

void
MpRaft_BecomeFollower(struct MpRaft *this, uint64_t term, uint64_t leader)
{
    bool is_newer = term > this->term;
    this->role = MP_ROLE_FOLLOWER;
    this->leader = leader;
    if (is_newer) {
        this->term = term;
        this->vote = 0;
        MpRaft_Write(this, MpRaft_LastIndex(this) + 1);
    }
    MpRaft_ResetElection(this);
}

static bool
is_up_to_date(const struct MpRaft *this, const struct mp_raft_message *message)
{
    uint64_t last = MpRaft_LastIndex(this);
    uint64_t last_term = MpRaftLog_Term(this, last);
    return message->log_term > last_term ||
           (message->log_term == last_term && message->index >= last);
}

static void
request_votes(struct MpRaft *this, enum mp_raft_kind kind, uint64_t term)
{
    for (guint i = 0; i < this->progress->len; i++) {
        struct MpProgress *peer =
            &g_array_index(this->progress, struct MpProgress, i);
        peer->granted = false;
        struct mp_raft_message message = MpRaft_Message(this, kind, peer->id);
        message.term = term;
        message.index = MpRaft_LastIndex(this);
        message.log_term = MpRaftLog_Term(this, message.index);
        MpRaft_SendAfter(this, &message,
                         kind == MP_RAFT_VOTE ? this->vote_seq : 0);
    }
}

void
MpRaft_StartPreVote(struct MpRaft *this)
{
    this->role = MP_ROLE_PRECANDIDATE;
    this->leader = 0;
    request_votes(this, MP_RAFT_PREVOTE, this->term + 1);
    MpRaft_CountVotes(this);
}

static void
start_vote(struct MpRaft *this)
{
    this->role = MP_ROLE_CANDIDATE;
    this->term++;
    this->vote = this->id;
    this->vote_seq = MpRaft_Write(this, MpRaft_LastIndex(this) + 1);
    MpRaft_ResetElection(this);
    request_votes(this, MP_RAFT_VOTE, this->term);
    MpRaft_CountVotes(this);
}

static void
become_leader(struct MpRaft *this)
{
    this->role = MP_ROLE_LEADER;
    this->leader = this->id;
    this->elected_ms = this->now_ms;
    for (guint i = 0; i < this->progress->len; i++) {
        struct MpProgress *peer =
            &g_array_index(this->progress, struct MpProgress, i);
        *peer = (struct MpProgress){.id = peer->id,
                                    .next = MpRaft_LastIndex(this) + 1,
                                    .acked_ms = -1};
    }
    GBytes *empty = g_bytes_new(NULL, 0);
    MpRaft_Propose(this, MP_ENTRY_NOOP, empty, &this->term_start_index);
    g_bytes_unref(empty);
    MpRaft_Flush(this);
    MpRaft_Broadcast(this, true);
}

static bool
is_own_vote_durable(const struct MpRaft *this)
{
    return this->role == MP_ROLE_PRECANDIDATE ||
           this->vote_seq <= this->durable_seq;
}

static int64_t
member_vote(const struct MpRaft *this, uint64_t id)
{
    const struct MpProgress *peer = MpRaft_FindProgress(this, id);
    return peer ? peer->granted : is_own_vote_durable(this);
}

void
MpRaft_CountVotes(struct MpRaft *this)
{
    if (MpRaftQuorum_MajorityValue(this, member_vote) < 1) {
        return;
    }
    if (this->role == MP_ROLE_PRECANDIDATE) {
        start_vote(this);
    }
    else {
        become_leader(this);
    }
}

/* A leader, or a replica with recent contact to one, refuses pre-votes so that
 * the leader is not disrupted. */
static bool
has_live_leader(const struct MpRaft *this)
{
    if (this->role == MP_ROLE_LEADER) {
        return true;
    }
    return this->leader != 0 &&
           this->now_ms - this->last_contact_ms < MP_RAFT_ELECTION_MS;
}

static bool
grants_prevote(const struct MpRaft *this,
               const struct mp_raft_message *message)
{
    return message->term > this->term && !has_live_leader(this) &&
           is_up_to_date(this, message);
}

static bool
grants_vote(const struct MpRaft *this, const struct mp_raft_message *message)
{
    if (MP_FAULT(MP_FAULT_VOTE_TWICE)) {
        return is_up_to_date(this, message);
    }
    return message->term == this->term &&
           (this->vote == 0 || this->vote == message->from) &&
           is_up_to_date(this, message);
}

void
MpRaft_OnVoteRequest(struct MpRaft *this,
                     const struct mp_raft_message *message)
{
    bool is_vote = message->kind == MP_RAFT_VOTE;
    struct mp_raft_message reply = MpRaft_Message(
        this, is_vote ? MP_RAFT_VOTE_REPLY : MP_RAFT_PREVOTE_REPLY,
        message->from);
    if (!is_vote) {
        reply.ok = grants_prevote(this, message);
        reply.term = reply.ok ? message->term : this->term;
        MpRaft_SendAfter(this, &reply, this->submitted_seq);
        return;
    }
    reply.ok = grants_vote(this, message);
    if (reply.ok && this->vote != message->from) {
        this->vote = message->from;
        MpRaft_Write(this, MpRaft_LastIndex(this) + 1);
    }
    if (reply.ok) {
        MpRaft_ResetElection(this);
    }
    MpRaft_SendAfter(this, &reply, this->submitted_seq);
}

void
MpRaft_OnVoteReply(struct MpRaft *this, const struct mp_raft_message *message)
{
    bool is_vote = message->kind == MP_RAFT_VOTE_REPLY;
    enum MpRaftRole role = is_vote ? MP_ROLE_CANDIDATE : MP_ROLE_PRECANDIDATE;
    uint64_t term = is_vote ? this->term : this->term + 1;
    struct MpProgress *peer = MpRaft_FindProgress(this, message->from);
    if (this->role != role || !message->ok || message->term != term || !peer) {
        return;
    }
    peer->granted = true;
    MpRaft_CountVotes(this);
}
