#include "transport/ReplicaDisk.h"

#include "state/Error.h"
#include "transport/Log.h"
#include "transport/ReplicaCalls.h"

#include <inttypes.h>
#include <signal.h>

/* Delay between a disk failure other than a full disk and the drain of the
 * instance, ms: most disk failures last some seconds. */
#define FAILED_EXIT_MS 4000

void
MpReplicaDisk_Persist(struct MpRaftPort *port, struct MpRaftWrite *write)
{
    struct MpReplica *this = (struct MpReplica *)port;
    if (this->is_failed) {
        MpRaftWrite_Delete(write);
        return;
    }
    MpDiskTask_Submit(&this->disk_task, write);
}

static void
on_failed_exit(struct MpTimer *timer)
{
    (void)timer;
    raise(SIGTERM); /* drains the instance */
}

/* Stops the replica at once: after a failed write the state of the disk is
 * unknown, and the replica must not go on as if its vote and its log were
 * durable.  The instance is drained after FAILED_EXIT_MS: restarted at once,
 * it would fail on the same disk again. */
static void
fail_replica(struct MpReplica *this)
{
    if (this->is_failed) {
        return;
    }
    this->is_failed = true;
    MpReplica_FailProposals(this);
    MpLoop_ClearTimer(&this->tick_timer);
    MpLoop_ClearTimer(&this->maintenance_timer);
    MpLoop_SetTimer(this->loop, &this->tick_timer, FAILED_EXIT_MS,
                    on_failed_exit, this);
}

static void
set_disk_full(struct MpReplica *this, bool is_full)
{
    int64_t now_ms = MpLoop_Now();
    if (is_full == this->raft.is_disk_full) {
        return;
    }
    if (is_full) {
        this->disk_full_ms = now_ms;
        MpLog_Event(LOG_ERR, "disk-full", "error=%s leader=%d",
                    MpError_Name(MP_ERROR_DISK_FULL),
                    MpRaft_IsLeader(&this->raft));
    }
    else {
        MpLog_Event(LOG_NOTICE, "disk-has-room", "full_ms=%" PRId64,
                    now_ms - this->disk_full_ms);
    }
    MpRaft_SetDiskFull(&this->raft, is_full, now_ms);
}

void
MpReplicaDisk_OnDone(void *owner, uint64_t seq, int code)
{
    struct MpReplica *this = owner;
    if (code == MP_ERROR_DISK_FULL) {
        set_disk_full(this, true);
        return;
    }
    if (code != MP_OK) {
        MpLog_Event(LOG_CRIT, "disk-failed", "error=%s", MpError_Name(code));
        fail_replica(this);
        return;
    }
    set_disk_full(this, false);
    MpRaft_Persisted(&this->raft, seq, MpLoop_Now());
}
