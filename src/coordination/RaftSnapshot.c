#include "coordination/RaftInternal.h"

#include "state/Error.h"
#include "state/Fault.h"

#include <string.h>

/* Snapshots: taking them, and sending them to replicas that lag behind the
 * first entry of the log. */

void
MpRaft_SendChunk(struct MpRaft *this, struct MpProgress *peer)
{
    gsize size;
    const char *data = g_bytes_get_data(this->snapshot, &size);
    if (!peer->in_snapshot) {
        peer->in_snapshot = true;
        peer->snapshot_offset = 0;
    }
    struct mp_raft_message message =
        MpRaft_Message(this, MP_RAFT_SNAPSHOT, peer->id);
    uint64_t offset = MIN(peer->snapshot_offset, size);
    message.index = this->snapshot_index;
    message.log_term = this->snapshot_term;
    message.echo_ms = this->now_ms;
    message.offset = offset;
    message.total = size;
    message.members = this->snapshot_members;
    message.chunk.chunk_len = (u_int)MIN(size - offset, MP_RAFT_CHUNK_BYTES);
    message.chunk.chunk_val = (char *)data + offset;
    peer->in_flight = true;
    peer->sent_ms = this->now_ms;
    this->port->klass->send(this->port, &message);
}

void
MpRaft_OnSnapshotReply(struct MpRaft *this,
                       const struct mp_raft_message *message)
{
    struct MpProgress *peer = MpRaft_FindProgress(this, message->from);
    if (this->role != MP_ROLE_LEADER || !peer || message->term != this->term) {
        return;
    }
    peer->acked_ms = MAX(peer->acked_ms, message->echo_ms);
    if (!peer->in_snapshot) {
        return;
    }
    bool is_same = message->index == this->snapshot_index;
    peer->snapshot_offset = is_same ? message->offset : 0;
    MpRaft_SendChunk(this, peer);
}

/* ---- follower ---- */

/* Discards the log up to the snapshot.  Entries after it are kept if the log
 * contains the last entry of the snapshot, otherwise they are discarded. */
static void
replace_log(struct MpRaft *this, uint64_t index, uint64_t term)
{
    bool keeps_suffix =
        MpRaftLog_At(this, index) && MpRaftLog_Term(this, index) == term;
    if (keeps_suffix) {
        g_array_remove_range(this->log, 0,
                             (guint)(index + 1 - this->first_index));
    }
    else {
        g_array_set_size(this->log, 0);
    }
    this->first_index = index + 1;
    this->prev_term = term;
    uint64_t last = MpRaft_LastIndex(this);
    this->durable_index = MAX(MIN(this->durable_index, last), index);
    for (GList *link = this->writes.head; link; link = link->next) {
        struct pending_write *pending = link->data;
        pending->last_index = MAX(MIN(pending->last_index, last), index);
    }
}

static void
install_snapshot(struct MpRaft *this, const struct mp_raft_message *message)
{
    GBytes *data = g_bytes_new(this->incoming->data, this->incoming->len);
    g_byte_array_set_size(this->incoming, 0);
    if (g_bytes_get_size(data) > 0 &&
        this->port->klass->load(this->port, data) != MP_OK) {
        g_bytes_unref(data);
        return;
    }
    g_bytes_unref(this->snapshot);
    this->snapshot = data;
    this->snapshot_index = message->index;
    this->snapshot_term = message->log_term;
    MpRaftLog_CopyMembers(&this->snapshot_members, &message->members);
    replace_log(this, message->index, message->log_term);
    this->commit = message->index;
    this->applied = message->index;
    this->applied_bytes = 0;
    MpRaftLog_UpdateMembers(this);
    MpRaft_WriteSnapshot(this);
}

static void
reply_installed(struct MpRaft *this, const struct mp_raft_message *message,
                uint64_t index)
{
    struct mp_raft_message reply =
        MpRaft_Message(this, MP_RAFT_APPEND_REPLY, message->from);
    reply.ok = true;
    reply.index = index;
    reply.echo_ms = message->echo_ms;
    MpRaft_SendAfter(this, &reply, this->submitted_seq);
}

void
MpRaft_OnSnapshot(struct MpRaft *this, const struct mp_raft_message *message)
{
    if (this->role != MP_ROLE_FOLLOWER) {
        MpRaft_BecomeFollower(this, this->term, message->from);
    }
    this->leader = message->from;
    this->last_contact_ms = this->now_ms;
    MpRaft_ResetElection(this);
    if (message->index <= this->commit) {
        reply_installed(this, message, this->commit);
        return;
    }
    if (message->index != this->incoming_index ||
        message->log_term != this->incoming_term || message->offset == 0) {
        g_byte_array_set_size(this->incoming, 0);
        this->incoming_index = message->index;
        this->incoming_term = message->log_term;
    }
    if (message->offset == this->incoming->len) {
        g_byte_array_append(this->incoming,
                            (const guint8 *)message->chunk.chunk_val,
                            message->chunk.chunk_len);
        if (this->incoming->len >= message->total) {
            install_snapshot(this, message);
            reply_installed(this, message,
                            MP_FAULT(MP_FAULT_FAILED_SNAPSHOT_ACKED)
                                ? message->index
                                : this->commit);
            return;
        }
    }
    struct mp_raft_message reply =
        MpRaft_Message(this, MP_RAFT_SNAPSHOT_REPLY, message->from);
    reply.index = message->index;
    reply.offset = this->incoming->len;
    reply.echo_ms = message->echo_ms;
    MpRaft_SendAfter(this, &reply, 0);
}

/* ---- compaction ---- */

/* Returns the index of the first of the applied entries that are kept. */
static uint64_t
first_trailing(const struct MpRaft *this)
{
    uint64_t index = this->applied + 1;
    size_t bytes = 0;
    while (index > this->first_index &&
           this->applied + 1 - index < MP_RAFT_TRAILING_ENTRIES) {
        bytes += g_bytes_get_size(MpRaftLog_At(this, index - 1)->payload);
        if (bytes > MP_RAFT_TRAILING_BYTES) {
            break;
        }
        index--;
    }
    return index;
}

static void
discard_log_prefix(struct MpRaft *this)
{
    uint64_t keep_from = first_trailing(this);
    if (keep_from == this->first_index) {
        return;
    }
    this->prev_term = MpRaftLog_Term(this, keep_from - 1);
    g_array_remove_range(this->log, 0, (guint)(keep_from - this->first_index));
    this->first_index = keep_from;
}

static bool
is_snapshot_in_transfer(const struct MpRaft *this)
{
    for (guint i = 0; i < this->progress->len; i++) {
        if (g_array_index(this->progress, struct MpProgress, i).in_snapshot) {
            return true;
        }
    }
    return false;
}

static bool
is_snapshot_due(const struct MpRaft *this)
{
    /* While a snapshot is being sent to a peer, the next one is postponed, so
     * that the transfer can complete. */
    uint64_t factor = is_snapshot_in_transfer(this) ? 2 : 1;
    uint64_t entries = this->applied - this->snapshot_index;
    bool is_log_large = entries >= factor * this->snapshot_entries ||
                        this->applied_bytes >= factor * MP_RAFT_SNAPSHOT_BYTES;
    /* A large snapshot waits for more new entries, which spreads its cost. */
    return is_log_large && this->applied_bytes * MP_RAFT_SNAPSHOT_RATIO >=
                               g_bytes_get_size(this->snapshot);
}

void
MpRaft_MaybeCompact(struct MpRaft *this)
{
    /* A snapshot must not contain an uncommitted membership. */
    if (!is_snapshot_due(this) || this->members_index > this->applied) {
        return;
    }
    GBytes *data = this->port->klass->save(this->port);
    if (!data) {
        return;
    }
    MpRaftLog_CopyMembers(&this->snapshot_members, &this->members);
    g_bytes_unref(this->snapshot);
    this->snapshot = data;
    this->snapshot_index = this->applied;
    this->snapshot_term = MpRaftLog_Term(this, this->applied);
    this->applied_bytes = 0;
    this->members_index = this->snapshot_index;
    discard_log_prefix(this);
    MpRaft_WriteSnapshot(this);
}
