#ifndef MP_COORDINATION_RAFT_INTERNAL_H
#define MP_COORDINATION_RAFT_INTERNAL_H

#include "coordination/Raft.h"

/*
 * RaftInternal - functions shared by the source files of Raft; other modules
 * must not use them.
 */

/* A write in progress and the last log index that it makes durable. */
struct pending_write {
    uint64_t seq;
    uint64_t last_index;
};

/* A message that is sent once write after_seq is durable. */
struct delayed_message {
    uint64_t after_seq;
    struct mp_raft_message message;
};

/* -- log -- */
uint64_t MpRaftLog_Term(const struct MpRaft *this, uint64_t index);
struct MpLogEntry *MpRaftLog_At(const struct MpRaft *this, uint64_t index);
void MpRaftLog_Truncate(struct MpRaft *this, uint64_t last_index);
void MpRaftLog_Append(struct MpRaft *this, struct MpLogEntry entry);
void MpRaftLog_UpdateMembers(struct MpRaft *this);
void MpRaftLog_CopyMembers(struct mp_members *to,
                           const struct mp_members *from);
void MpRaftLog_FreeMembers(struct mp_members *members);

/* -- quorum (RaftQuorum.c) -- */

/* Returns a value of one member, such as its match index. */
typedef int64_t (*MpMemberValue)(const struct MpRaft *this, uint64_t id);

/* Returns the highest value that a majority of the voters has reached.  With a
 * joint membership, a majority of the old voters and one of the new voters
 * must have reached it.  Returns -1 if there are no voters. */
int64_t MpRaftQuorum_MajorityValue(const struct MpRaft *this,
                                   MpMemberValue value);

/* -- writing -- */

/* Starts a write of term, vote and the entries from first_index on; returns
 * the sequence number of the write. */
uint64_t MpRaft_Write(struct MpRaft *this, uint64_t first_index);

/* Starts a write of the snapshot, term, vote and the entries after the
 * snapshot; returns the sequence number of the write. */
uint64_t MpRaft_WriteSnapshot(struct MpRaft *this);

/* -- messages -- */

/* Sends message once write after_seq is durable.  The message must not refer
 * to other memory, since it may be copied and sent later. */
void MpRaft_SendAfter(struct MpRaft *this,
                      const struct mp_raft_message *message,
                      uint64_t after_seq);

/* Returns a message with the sender, term and commit index filled in. */
struct mp_raft_message MpRaft_Message(const struct MpRaft *this,
                                      enum mp_raft_kind kind, uint64_t to);

/* -- roles -- */
void MpRaft_BecomeFollower(struct MpRaft *this, uint64_t term,
                           uint64_t leader);
void MpRaft_ResetElection(struct MpRaft *this);
void MpRaft_StartPreVote(struct MpRaft *this);
void MpRaft_CountVotes(struct MpRaft *this);
void MpRaft_OnVoteRequest(struct MpRaft *this,
                          const struct mp_raft_message *message);
void MpRaft_OnVoteReply(struct MpRaft *this,
                        const struct mp_raft_message *message);
struct MpProgress *MpRaft_FindProgress(const struct MpRaft *this, uint64_t id);

/* -- replication -- */

/* Sends new entries to all other members; with is_heartbeat, also to those
 * that have them all. */
void MpRaft_Broadcast(struct MpRaft *this, bool is_heartbeat);
void MpRaft_OnAppend(struct MpRaft *this,
                     const struct mp_raft_message *message);
void MpRaft_OnAppendReply(struct MpRaft *this,
                          const struct mp_raft_message *message);
void MpRaft_AdvanceCommit(struct MpRaft *this);
void MpRaft_Apply(struct MpRaft *this);

/* Returns whether a majority has answered this leader within the check-quorum
 * time. */
bool MpRaft_HasQuorum(const struct MpRaft *this);

/* -- snapshots -- */
void MpRaft_SendChunk(struct MpRaft *this, struct MpProgress *peer);
void MpRaft_OnSnapshot(struct MpRaft *this,
                       const struct mp_raft_message *message);
void MpRaft_OnSnapshotReply(struct MpRaft *this,
                            const struct mp_raft_message *message);
void MpRaft_MaybeCompact(struct MpRaft *this);

#endif
