#ifndef MP_COORDINATION_RAFT_H
#define MP_COORDINATION_RAFT_H

#include "gen/wire.h"
#include "state/Storage.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Raft - agreement of the control replicas on one log.
 *
 * The module is pure: time, messages and disk completions enter as calls,
 * messages and writes leave through the port.  It has pre-vote, check-quorum
 * (a leader that hears no majority stops), one membership change at a time,
 * learners, and snapshots in chunks.
 *
 * Nothing that another replica may rely on leaves before it is durable:
 * votes and acknowledgements wait until the port reports their write by
 * MpRaft_Persisted().  The leader's own vote and log count in the same way.
 */

#define MP_RAFT_ELECTION_MS 400
/* ... of a replica that has heard no leader yet in its life. */
#define MP_RAFT_FIRST_ELECTION_MS 150
#define MP_RAFT_HEARTBEAT_MS 80
/* Bytes of entries in one message, and bytes of a snapshot chunk. */
#define MP_RAFT_BATCH_BYTES 262144
#define MP_RAFT_CHUNK_BYTES 131072
/* Applied entries, and their bytes, after which a snapshot is taken. */
#define MP_RAFT_SNAPSHOT_ENTRIES 16384
#define MP_RAFT_SNAPSHOT_BYTES (16 * 1024 * 1024)
/* A snapshot is at most this much larger than the entries since the last. */
#define MP_RAFT_SNAPSHOT_RATIO 8
/* Entries kept in memory before the snapshot for replicas a little behind. */
#define MP_RAFT_TAIL_ENTRIES 1024

enum MpRaftRole {
    MP_ROLE_FOLLOWER,
    MP_ROLE_PRECANDIDATE,
    MP_ROLE_CANDIDATE,
    MP_ROLE_LEADER
};

/* One durable write: entries replace all of their index and above. */
struct MpRaftWrite {
    uint64_t seq;
    struct mp_hard_state hard;
    GArray *entries; /* of struct MpLogEntry */
    bool has_snapshot;
    GBytes *head; /* encoded mp_snapshot_head */
    GBytes *data;
};

struct MpRaftPort;

struct MpRaftPortClass {
    /* Sends message to replica message->to; it may be lost.  The message and
     * its data last for the call only. */
    void (*send)(struct MpRaftPort *this,
                 const struct mp_raft_message *message);
    /* Queues a write; writes finish in order. Owns write from now on. */
    void (*persist)(struct MpRaftPort *this, struct MpRaftWrite *write);
    /* Applies a committed entry. */
    void (*apply)(struct MpRaftPort *this, const struct MpLogEntry *entry);
    /* Returns the applied state as bytes. */
    GBytes *(*save)(struct MpRaftPort *this);
    /* Replaces the applied state; returns MP_OK or MP_ERROR_CORRUPT. */
    int (*load)(struct MpRaftPort *this, GBytes *data);
};

struct MpRaftPort {
    const struct MpRaftPortClass *klass;
};

/* What the leader knows of one other replica. */
struct MpProgress {
    uint64_t id;
    uint64_t next;
    uint64_t match;
    uint64_t snapshot_offset;
    int64_t sent_ms;  /* last message with entries or chunk */
    int64_t acked_ms; /* leader's clock when it sent what was answered */
    bool in_flight;
    bool in_snapshot;
    bool granted; /* vote or pre-vote */
};

struct MpRaft {
    struct MpRaftPort *port;
    uint64_t id;
    GRand *random;
    enum MpRaftRole role;
    uint64_t term;
    uint64_t vote;
    uint64_t leader;
    int64_t now_ms;
    int64_t heard_ms;     /* last message of a leader of this term */
    int64_t deadline_ms;  /* next election */
    int64_t heartbeat_ms; /* next heartbeat */
    int64_t elected_ms;
    uint64_t commit;
    uint64_t applied;
    GArray *log; /* of struct MpLogEntry, from first_index */
    uint64_t first_index;
    uint64_t before_term; /* term of the entry before first_index */
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    GBytes *snapshot;
    struct mp_members snapshot_members;
    struct mp_members members; /* of the last membership entry in the log */
    uint64_t members_index;
    GArray *progress;     /* of struct MpProgress, without this replica */
    uint64_t write_seq;   /* last write handed to the port */
    uint64_t done_seq;    /* last write reported durable */
    uint64_t vote_seq;    /* write that carries the own vote */
    uint64_t written;     /* own log is handed to the port up to here */
    uint64_t persisted;   /* own log is durable up to here */
    GQueue writes;        /* of struct pending_write */
    GQueue held;          /* of struct held_message */
    GByteArray *incoming; /* snapshot being received */
    uint64_t incoming_index;
    uint64_t incoming_term;
    uint64_t applied_bytes; /* since the last snapshot */
    uint64_t first_of_term; /* index of the leader's first entry */
    uint32_t snapshot_entries;
    bool flush_wanted;
};

/* Starts a replica with the state found on disk; recovered may be empty.
 * seed drives the election times.  Errors: MP_ERROR_CORRUPT. */
int MpRaft_Init(struct MpRaft *this, struct MpRaftPort *port, uint64_t id,
                const struct MpRecovered *recovered, uint32_t seed,
                int64_t now_ms);
void MpRaft_Done(struct MpRaft *this);

/* Sets the first membership of a new cluster; all members must use the same
 * list.  Has no effect on a replica that has one. */
void MpRaft_Bootstrap(struct MpRaft *this, const struct mp_members *members);

/* Lets time pass; call it at least every 20 ms. */
void MpRaft_Tick(struct MpRaft *this, int64_t now_ms);

/* Takes a message of another replica. */
void MpRaft_Receive(struct MpRaft *this, const struct mp_raft_message *message,
                    int64_t now_ms);

/* Reports that write seq and all before it are durable. */
void MpRaft_Persisted(struct MpRaft *this, uint64_t seq, int64_t now_ms);

/* Appends an entry on the leader; *index tells where.  Errors:
 * MP_ERROR_NOT_LEADER. */
int MpRaft_Propose(struct MpRaft *this, enum mp_entry_kind kind,
                   GBytes *payload, uint64_t *index);

/* Appends a membership; at most one change is under way.  Errors:
 * MP_ERROR_NOT_LEADER, MP_ERROR_IN_PROGRESS. */
int MpRaft_ProposeMembers(struct MpRaft *this,
                          const struct mp_members *members);

/* Sends and writes what proposals have queued; call it once after a round of
 * proposals, so that they share messages and syncs. */
void MpRaft_Flush(struct MpRaft *this);

/* Returns the time up to which this leader is known to have led, by its own
 * clock; a read that began before it may be served once the replica has
 * applied all that was committed.  Returns -1 for others. */
int64_t MpRaft_ProvedMs(const struct MpRaft *this);

/* Returns whether a read that began at since_ms may be served now. */
bool MpRaft_CanRead(const struct MpRaft *this, int64_t since_ms);

bool MpRaft_IsLeader(const struct MpRaft *this);
bool MpRaft_IsVoter(const struct MpRaft *this);
uint64_t MpRaft_LastIndex(const struct MpRaft *this);

/* Returns whether a leader counts this replica as a member: its own last
 * membership entry may never be committed, so that alone tells nothing. */
bool MpRaft_IsActiveMember(const struct MpRaft *this);

/* Returns the member with id or NULL. */
const struct mp_member *MpRaft_Member(const struct MpRaft *this, uint64_t id);

/* Returns the progress of a peer on the leader or NULL. */
const struct MpProgress *MpRaft_Progress(const struct MpRaft *this,
                                         uint64_t id);

/* Frees a write, after it is done. */
void MpRaftWrite_Delete(struct MpRaftWrite *this);

#endif
