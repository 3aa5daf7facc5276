#include "coordination/Raft.h"

#include "coordination/RaftInternal.h"
#include "state/Codec.h"
#include "state/Error.h"
#include "state/Fault.h"

#include <string.h>

/* A replica without a message of a leader for this long does not count as an
 * active member, ms. */
#define LEADER_CONTACT_MS 1000

/* ---- construction ---- */

static int
load_snapshot(struct MpRaft *this, const struct MpRecovered *recovered)
{
    const struct mp_snapshot_file *file = &recovered->snapshot;
    this->snapshot_index = file->head.index;
    this->snapshot_term = file->head.term;
    this->first_index = file->head.index + 1;
    this->prev_term = file->head.term;
    this->commit = file->head.index;
    this->applied = file->head.index;
    MpRaftLog_CopyMembers(&this->snapshot_members, &file->head.members);
    g_bytes_unref(this->snapshot);
    this->snapshot = g_bytes_new(file->data.data_val, file->data.data_len);
    if (file->data.data_len == 0) {
        return MP_OK;
    }
    return this->port->klass->load(this->port, this->snapshot);
}

int
MpRaft_Init(struct MpRaft *this, struct MpRaftPort *port, uint64_t id,
            const struct MpRecovered *recovered, uint32_t seed, int64_t now_ms)
{
    *this = (struct MpRaft){.port = port,
                            .id = id,
                            .now_ms = now_ms,
                            .first_index = 1,
                            .snapshot_entries = MP_RAFT_SNAPSHOT_ENTRIES};
    this->random = g_rand_new_with_seed(seed);
    this->log = g_array_new(false, false, sizeof(struct MpLogEntry));
    g_array_set_clear_func(this->log, MpLogEntry_Done);
    this->progress = g_array_new(false, true, sizeof(struct MpProgress));
    this->snapshot = g_bytes_new(NULL, 0);
    this->incoming = g_byte_array_new();
    g_queue_init(&this->writes);
    g_queue_init(&this->delayed);
    int code = MP_OK;
    if (recovered && recovered->has_hard) {
        this->term = recovered->hard.term;
        this->vote = recovered->hard.vote;
    }
    if (recovered && recovered->has_snapshot) {
        code = load_snapshot(this, recovered);
    }
    for (guint i = 0; recovered && i < recovered->entries->len; i++) {
        struct MpLogEntry entry =
            g_array_index(recovered->entries, struct MpLogEntry, i);
        g_bytes_ref(entry.payload);
        g_array_append_val(this->log, entry);
    }
    this->durable_index = MpRaft_LastIndex(this);
    this->submitted_index = this->durable_index;
    MpRaftLog_UpdateMembers(this);
    MpRaft_ResetElection(this);
    return code;
}

static void
delayed_message_delete(void *data)
{
    struct delayed_message *this = data;
    g_free(this);
}

void
MpRaft_Done(struct MpRaft *this)
{
    g_queue_clear_full(&this->writes, g_free);
    g_queue_clear_full(&this->delayed, delayed_message_delete);
    MpRaftLog_FreeMembers(&this->members);
    MpRaftLog_FreeMembers(&this->snapshot_members);
    g_byte_array_unref(this->incoming);
    g_bytes_unref(this->snapshot);
    g_array_unref(this->progress);
    g_array_unref(this->log);
    g_rand_free(this->random);
}

void
MpRaft_Bootstrap(struct MpRaft *this, const struct mp_members *members)
{
    /* The log may already have entries of a leader that bootstrapped earlier.
     * The initial membership applies before the first entry, so it is stored
     * with a snapshot at index 0. */
    if (this->members.list.list_len > 0 || this->snapshot_index > 0) {
        return;
    }
    MpRaftLog_CopyMembers(&this->snapshot_members, members);
    MpRaftLog_UpdateMembers(this);
    MpRaft_WriteSnapshot(this);
}

/* ---- queries ---- */

bool
MpRaft_IsLeader(const struct MpRaft *this)
{
    return this->role == MP_ROLE_LEADER;
}

const struct mp_member *
MpRaft_Member(const struct MpRaft *this, uint64_t id)
{
    for (u_int i = 0; i < this->members.list.list_len; i++) {
        if (this->members.list.list_val[i].id == id) {
            return &this->members.list.list_val[i];
        }
    }
    return NULL;
}

bool
MpRaft_IsVoter(const struct MpRaft *this)
{
    const struct mp_member *self = MpRaft_Member(this, this->id);
    return self && (self->voter || (this->members.joint && self->next_voter));
}

bool
MpRaft_IsActiveMember(const struct MpRaft *this)
{
    if (this->role == MP_ROLE_LEADER) {
        return true;
    }
    return MpRaft_Member(this, this->id) && this->leader != 0 &&
           this->now_ms - this->last_contact_ms < LEADER_CONTACT_MS;
}

uint64_t
MpRaft_LastIndex(const struct MpRaft *this)
{
    return this->first_index + this->log->len - 1;
}

struct MpProgress *
MpRaft_FindProgress(const struct MpRaft *this, uint64_t id)
{
    for (guint i = 0; i < this->progress->len; i++) {
        struct MpProgress *peer =
            &g_array_index(this->progress, struct MpProgress, i);
        if (peer->id == id) {
            return peer;
        }
    }
    return NULL;
}

const struct MpProgress *
MpRaft_Progress(const struct MpRaft *this, uint64_t id)
{
    return MpRaft_FindProgress(this, id);
}

/* ---- writing ---- */

void
MpRaftWrite_Delete(struct MpRaftWrite *this)
{
    g_array_unref(this->entries);
    if (this->has_snapshot) {
        g_bytes_unref(this->head);
        g_bytes_unref(this->data);
    }
    g_free(this);
}

static struct MpRaftWrite *
write_new(struct MpRaft *this, uint64_t first_index)
{
    struct MpRaftWrite *write = g_new0(struct MpRaftWrite, 1);
    write->seq = ++this->submitted_seq;
    write->hard = (struct mp_hard_state){
        .replica_id = this->id, .term = this->term, .vote = this->vote};
    write->entries = g_array_new(false, false, sizeof(struct MpLogEntry));
    g_array_set_clear_func(write->entries, MpLogEntry_Done);
    for (uint64_t i = first_index; i <= MpRaft_LastIndex(this); i++) {
        struct MpLogEntry entry = *MpRaftLog_At(this, i);
        g_bytes_ref(entry.payload);
        g_array_append_val(write->entries, entry);
    }
    return write;
}

static uint64_t
write_submit(struct MpRaft *this, struct MpRaftWrite *write)
{
    struct pending_write *pending = g_new0(struct pending_write, 1);
    uint64_t seq = write->seq;
    pending->seq = seq;
    pending->last_index = MpRaft_LastIndex(this);
    this->submitted_index = pending->last_index;
    g_queue_push_tail(&this->writes, pending);
    this->port->klass->persist(this->port, write);
    return seq;
}

uint64_t
MpRaft_Write(struct MpRaft *this, uint64_t first_index)
{
    /* Include entries that were proposed but not yet flushed. */
    uint64_t from = MIN(first_index, this->submitted_index + 1);
    return write_submit(this, write_new(this, from));
}

uint64_t
MpRaft_WriteSnapshot(struct MpRaft *this)
{
    struct mp_snapshot_head head = {.index = this->snapshot_index,
                                    .term = this->snapshot_term,
                                    .members = this->snapshot_members};
    struct MpRaftWrite *write =
        write_new(this, MAX(this->snapshot_index + 1, this->first_index));
    write->has_snapshot = true;
    write->head = MpCodec_Encode(MP_XDR(mp_snapshot_head), &head);
    write->data = g_bytes_ref(this->snapshot);
    return write_submit(this, write);
}

/* Returns whether message asks for votes in an election that is over for this
 * replica; sent late, it would only depose a leader of the same term. */
static bool
is_obsolete(const struct MpRaft *this, const struct mp_raft_message *message)
{
    return message->kind == MP_RAFT_VOTE &&
           (this->role != MP_ROLE_CANDIDATE || message->term != this->term);
}

void
MpRaft_Persisted(struct MpRaft *this, uint64_t seq, int64_t now_ms)
{
    this->now_ms = MAX(this->now_ms, now_ms);
    this->durable_seq = MAX(this->durable_seq, seq);
    struct pending_write *pending;
    while ((pending = g_queue_peek_head(&this->writes)) &&
           pending->seq <= seq) {
        this->durable_index = pending->last_index;
        g_free(g_queue_pop_head(&this->writes));
    }
    struct delayed_message *delayed;
    while ((delayed = g_queue_peek_head(&this->delayed)) &&
           delayed->after_seq <= this->durable_seq) {
        if (!is_obsolete(this, &delayed->message)) {
            this->port->klass->send(this->port, &delayed->message);
        }
        delayed_message_delete(g_queue_pop_head(&this->delayed));
    }
    if (this->role == MP_ROLE_CANDIDATE) {
        MpRaft_CountVotes(this);
    }
    if (this->role == MP_ROLE_LEADER) {
        MpRaft_AdvanceCommit(this);
        MpRaft_Apply(this);
    }
}

/* ---- messages ---- */

struct mp_raft_message
MpRaft_Message(const struct MpRaft *this, enum mp_raft_kind kind, uint64_t to)
{
    return (struct mp_raft_message){.kind = kind,
                                    .from = this->id,
                                    .to = to,
                                    .term = this->term,
                                    .commit = this->commit};
}

/* Merges message into a delayed one that differs only in what the newer one
 * may raise, so that few are kept while a write takes long. */
static bool
merge_delayed(struct MpRaft *this, const struct mp_raft_message *message,
              uint64_t after_seq)
{
    for (GList *link = this->delayed.tail; link; link = link->prev) {
        struct delayed_message *delayed = link->data;
        struct mp_raft_message *older = &delayed->message;
        if (delayed->after_seq != after_seq) {
            return false;
        }
        if (older->kind == message->kind && older->to == message->to &&
            older->term == message->term && older->ok == message->ok) {
            uint64_t index = message->ok ? MAX(older->index, message->index)
                                         : message->index;
            int64_t echo_ms = MAX(older->echo_ms, message->echo_ms);
            *older = *message;
            older->index = index;
            older->echo_ms = echo_ms;
            return true;
        }
    }
    return false;
}

void
MpRaft_SendAfter(struct MpRaft *this, const struct mp_raft_message *message,
                 uint64_t after_seq)
{
    if (after_seq <= this->durable_seq) {
        this->port->klass->send(this->port, message);
        return;
    }
    if (merge_delayed(this, message, after_seq)) {
        return;
    }
    /* Only replies and vote requests are delayed; they hold no pointers. */
    struct delayed_message *delayed = g_new0(struct delayed_message, 1);
    delayed->after_seq = after_seq;
    delayed->message = *message;
    g_queue_push_tail(&this->delayed, delayed);
}

static bool
is_stale(struct MpRaft *this, const struct mp_raft_message *message)
{
    if (MP_FAULT(MP_FAULT_OLD_TERM_ACCEPTED)) {
        return false;
    }
    return message->term < this->term;
}

/* Pre-vote requests, and replies that grant one, carry the term that the
 * candidate would have if it were elected, so they do not raise the term. */
static bool
raises_term(const struct MpRaft *this, const struct mp_raft_message *message)
{
    return message->term > this->term && message->kind != MP_RAFT_PREVOTE &&
           !(message->kind == MP_RAFT_PREVOTE_REPLY && message->ok);
}

static bool
is_from_leader(const struct mp_raft_message *message)
{
    return message->kind == MP_RAFT_APPEND ||
           message->kind == MP_RAFT_SNAPSHOT;
}

/* Answers a message of an older term, so that a stale leader or pre-candidate
 * learns the current term. */
static void
reply_to_stale(struct MpRaft *this, const struct mp_raft_message *message)
{
    if (message->kind == MP_RAFT_PREVOTE) {
        MpRaft_OnVoteRequest(this, message);
        return;
    }
    if (is_from_leader(message)) {
        struct mp_raft_message reply =
            MpRaft_Message(this, MP_RAFT_APPEND_REPLY, message->from);
        MpRaft_SendAfter(this, &reply, this->submitted_seq);
    }
}

static void
dispatch(struct MpRaft *this, const struct mp_raft_message *message)
{
    switch (message->kind) {
    case MP_RAFT_PREVOTE:
    case MP_RAFT_VOTE:
        MpRaft_OnVoteRequest(this, message);
        break;
    case MP_RAFT_PREVOTE_REPLY:
    case MP_RAFT_VOTE_REPLY:
        MpRaft_OnVoteReply(this, message);
        break;
    case MP_RAFT_APPEND:
        MpRaft_OnAppend(this, message);
        break;
    case MP_RAFT_APPEND_REPLY:
        MpRaft_OnAppendReply(this, message);
        break;
    case MP_RAFT_SNAPSHOT:
        MpRaft_OnSnapshot(this, message);
        break;
    case MP_RAFT_SNAPSHOT_REPLY:
        MpRaft_OnSnapshotReply(this, message);
        break;
    default:
        break;
    }
}

void
MpRaft_Receive(struct MpRaft *this, const struct mp_raft_message *message,
               int64_t now_ms)
{
    this->now_ms = MAX(this->now_ms, now_ms);
    if (message->to != this->id) {
        return;
    }
    if (raises_term(this, message)) {
        MpRaft_BecomeFollower(this, message->term,
                              is_from_leader(message) ? message->from : 0);
    }
    if (is_stale(this, message)) {
        reply_to_stale(this, message);
        return;
    }
    dispatch(this, message);
    MpRaft_Apply(this);
}

/* ---- timers ---- */

static void
tick_leader(struct MpRaft *this)
{
    if (!MpRaft_HasQuorum(this)) {
        MpRaft_BecomeFollower(this, this->term, 0);
        return;
    }
    if (this->now_ms >= this->next_heartbeat_ms) {
        MpRaft_Broadcast(this, true);
    }
}

void
MpRaft_Tick(struct MpRaft *this, int64_t now_ms)
{
    this->now_ms = MAX(this->now_ms, now_ms);
    if (this->role == MP_ROLE_LEADER) {
        tick_leader(this);
        return;
    }
    if (this->now_ms >= this->election_deadline_ms) {
        MpRaft_ResetElection(this);
        if (MpRaft_IsVoter(this) && !this->is_disk_full) {
            MpRaft_StartPreVote(this);
        }
    }
}

void
MpRaft_SetDiskFull(struct MpRaft *this, bool is_full, int64_t now_ms)
{
    this->now_ms = MAX(this->now_ms, now_ms);
    this->is_disk_full = is_full;
    if (is_full && this->role != MP_ROLE_FOLLOWER) {
        MpRaft_BecomeFollower(this, this->term, 0);
    }
}

/* ---- proposals ---- */

int
MpRaft_Propose(struct MpRaft *this, enum mp_entry_kind kind, GBytes *payload,
               uint64_t *index)
{
    if (this->role != MP_ROLE_LEADER) {
        return MP_ERROR_NOT_LEADER;
    }
    struct MpLogEntry entry = {.index = MpRaft_LastIndex(this) + 1,
                               .term = this->term,
                               .kind = kind,
                               .payload = g_bytes_ref(payload)};
    MpRaftLog_Append(this, entry);
    this->is_flush_pending = true;
    if (index) {
        *index = entry.index;
    }
    return MP_OK;
}

int
MpRaft_ProposeMembers(struct MpRaft *this, const struct mp_members *members)
{
    if (this->role != MP_ROLE_LEADER) {
        return MP_ERROR_NOT_LEADER;
    }
    if (this->members_index > this->commit ||
        this->commit < this->term_start_index) {
        return MP_ERROR_IN_PROGRESS;
    }
    GBytes *payload = MpCodec_Encode(MP_XDR(mp_members), members);
    int code = MpRaft_Propose(this, MP_ENTRY_MEMBERS, payload, NULL);
    g_bytes_unref(payload);
    MpRaft_Flush(this);
    return code;
}

void
MpRaft_Flush(struct MpRaft *this)
{
    if (!this->is_flush_pending || this->role != MP_ROLE_LEADER) {
        this->is_flush_pending = false;
        return;
    }
    this->is_flush_pending = false;
    MpRaft_Write(this, this->submitted_index + 1);
    MpRaft_Broadcast(this, false);
}

/* ---- reads ---- */

static int64_t
member_acked_ms(const struct MpRaft *this, uint64_t id)
{
    const struct MpProgress *peer = MpRaft_FindProgress(this, id);
    return peer ? peer->acked_ms : this->now_ms;
}

int64_t
MpRaft_QuorumAckedMs(const struct MpRaft *this)
{
    return this->role == MP_ROLE_LEADER
               ? MpRaftQuorum_MajorityValue(this, member_acked_ms)
               : -1;
}

bool
MpRaft_CanRead(const struct MpRaft *this, int64_t since_ms)
{
    return this->role == MP_ROLE_LEADER &&
           this->commit >= this->term_start_index &&
           this->applied == this->commit &&
           (MpRaft_QuorumAckedMs(this) >= since_ms ||
            MP_FAULT(MP_FAULT_READ_UNCONFIRMED));
}
