#ifndef MP_COORDINATION_RAFT_H
#define MP_COORDINATION_RAFT_H

#include "gen/wire.h"
#include "state/Storage.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Raft - the Raft consensus algorithm, which replicates the log of the
 * control replicas.
 *
 * The module does no I/O and reads no clock: the caller passes in the time,
 * received messages and completed writes, and the module sends messages and
 * starts writes through struct MpRaftPort.  It implements pre-vote,
 * check-quorum (a leader without contact to a majority steps down), joint
 * membership changes one at a time, learners, and snapshots sent in chunks.
 *
 * Votes and acknowledgements are sent only after the write that they depend
 * on is durable, as reported by MpRaft_Persisted().  The leader counts its
 * own vote and its own log entries by the same rule.
 */

/* Minimum election timeout, ms; the timeout is drawn at random between this
 * and twice this. */
#define MP_RAFT_ELECTION_MS 400
/* Minimum election timeout of a replica that has had no leader since its
 * start, ms. */
#define MP_RAFT_FIRST_ELECTION_MS 150
/* Interval between two heartbeats of the leader, ms. */
#define MP_RAFT_HEARTBEAT_MS 80
/* Maximum size of the entries in one message, unless a single entry is larger,
 * bytes. */
#define MP_RAFT_BATCH_BYTES 262144
/* Maximum size of a snapshot chunk, bytes. */
#define MP_RAFT_CHUNK_BYTES 131072
/* A snapshot is due after this many applied entries, or after entries of this
 * many bytes, whichever comes first. */
#define MP_RAFT_SNAPSHOT_ENTRIES 16384
#define MP_RAFT_SNAPSHOT_BYTES (8 * 1024 * 1024)
/* A snapshot is postponed while the last one is more than this many times
 * larger than the entries applied since, which bounds the cost of writing
 * large snapshots. */
#define MP_RAFT_SNAPSHOT_RATIO 8
/* Applied entries kept in memory after a snapshot, and their size, so that a
 * slightly lagging replica can catch up without the snapshot. */
#define MP_RAFT_TRAILING_ENTRIES 1024
#define MP_RAFT_TRAILING_BYTES (2 * 1024 * 1024)

enum MpRaftRole {
    MP_ROLE_FOLLOWER,
    MP_ROLE_PRECANDIDATE,
    MP_ROLE_CANDIDATE,
    MP_ROLE_LEADER
};

/* One write to disk.  Its entries replace all stored entries from the index
 * of the first one on. */
struct MpRaftWrite {
    uint64_t seq;
    struct mp_hard_state hard;
    GArray *entries; /* of struct MpLogEntry */
    bool has_snapshot;
    GBytes *head; /* encoded mp_snapshot_head */
    GBytes *data; /* content of the snapshot */
};

struct MpRaftPort;

/* Callbacks by which the module sends, writes and applies. */
struct MpRaftPortClass {
    /* Sends message to replica message->to; it may be lost.  The message and
     * its data are valid during the call only. */
    void (*send)(struct MpRaftPort *this,
                 const struct mp_raft_message *message);
    /* Starts a write and takes ownership of it.  Writes must complete in
     * order; MpRaft_Persisted() reports their completion. */
    void (*persist)(struct MpRaftPort *this, struct MpRaftWrite *write);
    /* Applies a committed entry. */
    void (*apply)(struct MpRaftPort *this, const struct MpLogEntry *entry);
    /* Returns a snapshot of the applied state, or NULL to skip it. */
    GBytes *(*save)(struct MpRaftPort *this);
    /* Replaces the applied state by a snapshot; returns MP_OK or
     * MP_ERROR_CORRUPT. */
    int (*load)(struct MpRaftPort *this, GBytes *data);
};

struct MpRaftPort {
    const struct MpRaftPortClass *klass;
};

/* Replication state of one other replica, and its vote in an election. */
struct MpProgress {
    uint64_t id;
    uint64_t next;            /* index of the next entry to send */
    uint64_t match;           /* highest index known to be replicated */
    uint64_t snapshot_offset; /* next chunk of the snapshot, bytes */
    int64_t sent_ms;          /* when entries or a chunk were last sent */
    int64_t acked_ms;         /* send time of the newest message that was
                               * answered, by the leader's clock; -1: none */
    bool in_flight;           /* entries or a chunk await a reply */
    bool in_snapshot;         /* the snapshot is being sent */
    bool granted;             /* granted its vote or pre-vote */
};

struct MpRaft {
    struct MpRaftPort *port;
    uint64_t id;
    GRand *random;
    enum MpRaftRole role;
    uint64_t term;
    uint64_t vote;   /* replica voted for in this term; 0: none */
    uint64_t leader; /* id of the current leader; 0: unknown */
    int64_t now_ms;
    int64_t last_contact_ms;      /* last message of the leader of this term */
    int64_t election_deadline_ms; /* when the next election starts */
    int64_t next_heartbeat_ms;
    int64_t elected_ms; /* when this replica last became leader */
    uint64_t commit;
    uint64_t applied;
    GArray *log; /* of struct MpLogEntry, from first_index on */
    uint64_t first_index;
    uint64_t prev_term; /* term of the entry before first_index */
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    GBytes *snapshot;
    struct mp_members snapshot_members;
    struct mp_members members; /* newest in the log, even if uncommitted */
    uint64_t members_index;    /* index of the entry that holds members */
    GArray *progress;          /* of struct MpProgress, one per other member */
    uint64_t submitted_seq;    /* last write passed to the port */
    uint64_t durable_seq;      /* last write reported durable */
    uint64_t vote_seq;         /* write that contains this replica's vote for
                                * itself */
    uint64_t submitted_index;  /* last log entry passed to the port */
    uint64_t durable_index;    /* last log entry reported durable */
    GQueue writes;             /* of struct pending_write */
    GQueue delayed;            /* of struct delayed_message */
    GByteArray *incoming;      /* received part of a snapshot */
    uint64_t incoming_index;
    uint64_t incoming_term;
    uint64_t applied_bytes;    /* of entries since the last snapshot */
    uint64_t term_start_index; /* first entry that this leader appended in its
                                * term */
    uint32_t snapshot_entries; /* entries after which a snapshot is due */
    bool is_flush_pending;     /* proposals await MpRaft_Flush() */
    bool is_disk_full;         /* writes wait for room on the disk */
};

/* Initializes a replica with the state recovered from disk; recovered may be
 * NULL.  seed randomizes the election timeouts.  Errors: MP_ERROR_CORRUPT. */
int MpRaft_Init(struct MpRaft *this, struct MpRaftPort *port, uint64_t id,
                const struct MpRecovered *recovered, uint32_t seed,
                int64_t now_ms);
void MpRaft_Done(struct MpRaft *this);

/* Sets the initial membership of a new cluster; all members must use the same
 * list.  Has no effect on a replica that already has a membership. */
void MpRaft_Bootstrap(struct MpRaft *this, const struct mp_members *members);

/* Runs the timers for election and heartbeat; call it at least every 20 ms. */
void MpRaft_Tick(struct MpRaft *this, int64_t now_ms);

/* Handles a message of another replica. */
void MpRaft_Receive(struct MpRaft *this, const struct mp_raft_message *message,
                    int64_t now_ms);

/* Reports that write seq and all writes before it are durable. */
void MpRaft_Persisted(struct MpRaft *this, uint64_t seq, int64_t now_ms);

/* Reports whether writes wait for room on the disk.  While they do, this
 * replica neither leads nor starts an election: its own writes would pile up,
 * while what a leader sends to a follower is bounded by what that one
 * acknowledges. */
void MpRaft_SetDiskFull(struct MpRaft *this, bool is_full, int64_t now_ms);

/* Appends an entry on the leader and stores its index in *index, unless index
 * is NULL.  MpRaft_Flush() sends it.  Errors: MP_ERROR_NOT_LEADER. */
int MpRaft_Propose(struct MpRaft *this, enum mp_entry_kind kind,
                   GBytes *payload, uint64_t *index);

/* Appends a membership on the leader; only one change may be uncommitted.
 * Errors: MP_ERROR_NOT_LEADER, MP_ERROR_IN_PROGRESS. */
int MpRaft_ProposeMembers(struct MpRaft *this,
                          const struct mp_members *members);

/* Writes and sends the entries that were proposed.  Call it once after a batch
 * of proposals, so that they share one write and one message per replica. */
void MpRaft_Flush(struct MpRaft *this);

/* Returns the newest time at which a majority is known to have accepted this
 * replica as leader, by its own clock; -1 if it is not the leader. */
int64_t MpRaft_QuorumAckedMs(const struct MpRaft *this);

/* Returns whether a linearizable read that was received at since_ms may be
 * served now: this replica was still the leader at that time, and it has
 * applied all committed entries. */
bool MpRaft_CanRead(const struct MpRaft *this, int64_t since_ms);

bool MpRaft_IsLeader(const struct MpRaft *this);
bool MpRaft_IsVoter(const struct MpRaft *this);
uint64_t MpRaft_LastIndex(const struct MpRaft *this);

/* Returns whether this replica is a member and recently had contact with a
 * leader.  Its own log is not enough: the newest membership in it may never be
 * committed. */
bool MpRaft_IsActiveMember(const struct MpRaft *this);

/* Returns the member with id or NULL. */
const struct mp_member *MpRaft_Member(const struct MpRaft *this, uint64_t id);

/* Returns the leader's replication state of another member, or NULL. */
const struct MpProgress *MpRaft_Progress(const struct MpRaft *this,
                                         uint64_t id);

/* Frees a write, after it has completed. */
void MpRaftWrite_Delete(struct MpRaftWrite *this);

#endif
