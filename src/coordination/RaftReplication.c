#include "coordination/RaftInternal.h"

#include "state/Error.h"
#include "state/Fault.h"

#include <string.h>

/* Replication of Raft: entries from the leader to the others, commit. */

/* Time after which an unanswered message is sent again. */
#define RESEND_MS 300
/* A leader that has heard no majority for this long stops. */
#define CHECK_QUORUM_MS (2 * MP_RAFT_ELECTION_MS)

/* ---- leader ---- */

static uint32_t
fill_entries(const struct MpRaft *this, uint64_t next,
             struct mp_entry *entries)
{
    uint32_t count = 0;
    gsize bytes = 0;
    while (count < MP_ENTRIES_MAX && next <= MpRaft_LastIndex(this)) {
        const struct MpLogEntry *entry = MpRaftLog_At(this, next);
        gsize size;
        void *data = (void *)g_bytes_get_data(entry->payload, &size);
        if (count > 0 && bytes + size > MP_RAFT_BATCH_BYTES) {
            break;
        }
        entries[count++] = (struct mp_entry){
            .index = entry->index,
            .term = entry->term,
            .kind = entry->kind,
            .payload = {.payload_val = data, .payload_len = (u_int)size}};
        bytes += size;
        next++;
    }
    return count;
}

static void
send_append(struct MpRaft *this, struct MpProgress *peer)
{
    struct mp_entry entries[MP_ENTRIES_MAX];
    struct mp_raft_message message =
        MpRaft_Message(this, MP_RAFT_APPEND, peer->id);
    message.index = peer->next - 1;
    message.log_term = MpRaftLog_Term(this, message.index);
    message.echo_ms = this->now_ms;
    if (!peer->in_flight) {
        message.entries.entries_len = fill_entries(this, peer->next, entries);
        message.entries.entries_val = entries;
    }
    if (message.entries.entries_len > 0) {
        peer->in_flight = true;
        peer->sent_ms = this->now_ms;
    }
    this->port->klass->send(this->port, &message);
}

static bool
needs_snapshot(const struct MpRaft *this, const struct MpProgress *peer)
{
    return peer->next < this->first_index;
}

static void
send_to(struct MpRaft *this, struct MpProgress *peer, bool heartbeat)
{
    if (peer->in_flight && this->now_ms - peer->sent_ms > RESEND_MS) {
        peer->in_flight = false;
        peer->next = peer->match + 1;
    }
    if (needs_snapshot(this, peer) && !peer->in_flight) {
        MpRaft_SendChunk(this, peer);
        return;
    }
    bool has_entries =
        !peer->in_flight && peer->next <= MpRaft_LastIndex(this);
    if (!needs_snapshot(this, peer) && (heartbeat || has_entries)) {
        send_append(this, peer);
    }
}

void
MpRaft_Broadcast(struct MpRaft *this, bool heartbeat)
{
    if (heartbeat) {
        this->heartbeat_ms = this->now_ms + MP_RAFT_HEARTBEAT_MS;
    }
    for (guint i = 0; i < this->progress->len; i++) {
        send_to(this, &g_array_index(this->progress, struct MpProgress, i),
                heartbeat);
    }
}

bool
MpRaft_HasQuorum(const struct MpRaft *this)
{
    int64_t since = MAX(MpRaft_ProvedMs(this), this->elected_ms);
    return this->now_ms - since < CHECK_QUORUM_MS;
}

static int64_t
match_of(const struct MpRaft *this, uint64_t id)
{
    const struct MpProgress *peer = MpRaft_FindProgress(this, id);
    return (int64_t)(peer ? peer->match : this->persisted);
}

void
MpRaft_AdvanceCommit(struct MpRaft *this)
{
    int64_t reached = MpRaftQuorum_Reached(this, match_of);
    uint64_t index = (uint64_t)MAX(reached, 0);
    /* Only entries of the own term are committed by counting. */
    if (index > this->commit && (MpRaftLog_Term(this, index) == this->term ||
                                 MP_FAULT(MP_FAULT_OLD_TERM_COMMITTED))) {
        this->commit = index;
    }
}

void
MpRaft_Apply(struct MpRaft *this)
{
    while (this->applied < this->commit) {
        const struct MpLogEntry *entry = MpRaftLog_At(this, this->applied + 1);
        if (!entry) {
            return;
        }
        this->applied++;
        this->applied_bytes += g_bytes_get_size(entry->payload);
        this->port->klass->apply(this->port, entry);
    }
    MpRaft_MaybeCompact(this);
}

/* The membership without this replica is committed: its work is done. */
static void
stop_if_removed(struct MpRaft *this)
{
    if (this->role == MP_ROLE_LEADER && this->members_index <= this->commit &&
        !MpRaft_IsVoter(this)) {
        MpRaft_Broadcast(this, true);
        MpRaft_BecomeFollower(this, this->term, 0);
    }
}

static void
take_match(struct MpRaft *this, struct MpProgress *peer, uint64_t index)
{
    if (index < peer->match) {
        return;
    }
    peer->match = index;
    /* The answer to a heartbeat says nothing of a batch under way. */
    if (index >= peer->next) {
        peer->in_flight = false;
        peer->in_snapshot = false;
        peer->next = index + 1;
    }
    MpRaft_AdvanceCommit(this);
    MpRaft_Apply(this);
    stop_if_removed(this);
}

void
MpRaft_OnAppendReply(struct MpRaft *this,
                     const struct mp_raft_message *message)
{
    struct MpProgress *peer = MpRaft_FindProgress(this, message->from);
    if (this->role != MP_ROLE_LEADER || !peer || message->term != this->term) {
        return;
    }
    uint64_t before = peer->next;
    peer->acked_ms = MAX(peer->acked_ms, message->echo_ms);
    if (message->ok) {
        take_match(this, peer, message->index);
    }
    else {
        peer->in_flight = false;
        peer->next =
            MAX(peer->match + 1, MIN(peer->next - 1, message->index + 1));
    }
    /* Without a change there is nothing to send before the next heartbeat;
     * a replica that refuses what it once had would be asked for ever. */
    if (this->role == MP_ROLE_LEADER && peer->next != before &&
        !peer->in_flight && peer->next <= MpRaft_LastIndex(this)) {
        send_to(this, peer, false);
    }
}

/* ---- follower ---- */

static void
reply_append(struct MpRaft *this, const struct mp_raft_message *message,
             bool ok, uint64_t index)
{
    struct mp_raft_message reply =
        MpRaft_Message(this, MP_RAFT_APPEND_REPLY, message->from);
    reply.ok = ok;
    reply.index = index;
    reply.echo_ms = message->echo_ms;
    MpRaft_SendAfter(this, &reply, this->write_seq);
}

/* Appends what is new; returns the first index that was written, or 0. */
static uint64_t
take_entries(struct MpRaft *this, const struct mp_raft_message *message)
{
    uint64_t written = 0;
    for (u_int i = 0; i < message->entries.entries_len; i++) {
        const struct mp_entry *from = &message->entries.entries_val[i];
        if (from->index <= this->commit ||
            (MpRaftLog_At(this, from->index) &&
             MpRaftLog_Term(this, from->index) == from->term)) {
            continue;
        }
        if (from->index > MpRaft_LastIndex(this) + 1) {
            break;
        }
        MpRaftLog_Truncate(this, from->index - 1);
        struct MpLogEntry entry = {.index = from->index,
                                   .term = from->term,
                                   .kind = from->kind,
                                   .payload =
                                       g_bytes_new(from->payload.payload_val,
                                                   from->payload.payload_len)};
        MpRaftLog_Append(this, entry);
        if (written == 0) {
            written = from->index;
        }
    }
    return written;
}

static bool
has_previous(const struct MpRaft *this, const struct mp_raft_message *message)
{
    /* Everything up to the commit index is the same on all replicas. */
    if (message->index <= this->commit) {
        return true;
    }
    return message->index <= MpRaft_LastIndex(this) &&
           MpRaftLog_Term(this, message->index) == message->log_term;
}

void
MpRaft_OnAppend(struct MpRaft *this, const struct mp_raft_message *message)
{
    if (this->role != MP_ROLE_FOLLOWER) {
        MpRaft_BecomeFollower(this, this->term, message->from);
    }
    this->leader = message->from;
    this->heard_ms = this->now_ms;
    MpRaft_ResetElection(this);
    if (!has_previous(this, message)) {
        uint64_t hint = MIN(message->index - 1, MpRaft_LastIndex(this));
        reply_append(this, message, false, MAX(hint, this->commit));
        return;
    }
    uint64_t written = take_entries(this, message);
    if (written > 0) {
        MpRaft_Write(this, written);
    }
    uint64_t match = message->index + message->entries.entries_len;
    this->commit = MAX(this->commit, MIN(message->commit,
                                         MIN(match, MpRaft_LastIndex(this))));
    reply_append(this, message, true, match);
}
