#ifndef MP_COORDINATION_RAFT_INTERNAL_H
#define MP_COORDINATION_RAFT_INTERNAL_H

#include "coordination/Raft.h"

/*
 * RaftInternal - functions shared by the files of Raft; not for others.
 */

/* A write under way and the last log index that it makes durable. */
struct pending_write {
    uint64_t seq;
    uint64_t last_index;
};

/* A message that waits for a write. */
struct held_message {
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

/* Gives the value of one member, as its match index. */
typedef int64_t (*MpMemberValue)(const struct MpRaft *this, uint64_t id);

/* Returns the highest value that a majority has reached, of both sets of
 * voters while the membership is joint; -1 without voters. */
int64_t MpRaftQuorum_Reached(const struct MpRaft *this, MpMemberValue value);

/* -- writing -- */

/* Persists term and vote and the entries from first_index on; returns the
 * sequence number of the write. */
uint64_t MpRaft_Write(struct MpRaft *this, uint64_t first_index);
uint64_t MpRaft_WriteSnapshot(struct MpRaft *this);

/* -- messages -- */

/* Sends once write after_seq is durable. */
void MpRaft_SendAfter(struct MpRaft *this,
                      const struct mp_raft_message *message,
                      uint64_t after_seq);
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
void MpRaft_Broadcast(struct MpRaft *this, bool heartbeat);
void MpRaft_OnAppend(struct MpRaft *this,
                     const struct mp_raft_message *message);
void MpRaft_OnAppendReply(struct MpRaft *this,
                          const struct mp_raft_message *message);
void MpRaft_AdvanceCommit(struct MpRaft *this);
void MpRaft_Apply(struct MpRaft *this);
bool MpRaft_HasQuorum(const struct MpRaft *this);

/* -- snapshots -- */
void MpRaft_SendChunk(struct MpRaft *this, struct MpProgress *peer);
void MpRaft_OnSnapshot(struct MpRaft *this,
                       const struct mp_raft_message *message);
void MpRaft_OnSnapshotReply(struct MpRaft *this,
                            const struct mp_raft_message *message);
void MpRaft_MaybeCompact(struct MpRaft *this);

#endif
