#ifndef MP_TRANSPORT_DISK_TASK_H
#define MP_TRANSPORT_DISK_TASK_H

#include "coordination/Raft.h"
#include "state/Storage.h"
#include "transport/Loop.h"

#include <pthread.h>

/*
 * DiskTask - thread that makes writes of the replicated log durable.
 *
 * While it runs, only this thread writes to the storage.  Writes arrive
 * through a queue.  Queued writes without a snapshot are combined into one
 * batch with one sync, so that they share the cost of the sync.  Each batch is
 * reported to the owner's loop with its last sequence number and an error
 * code.
 *
 * A batch for which the disk has no room is tried again until there is room;
 * those behind it wait.
 */

struct MpDiskTask {
    struct MpStorage *storage;
    GAsyncQueue *inbox; /* of struct MpRaftWrite */
    h2o_multithread_receiver_t outbox;
    pthread_t thread;
    void (*done)(void *owner, uint64_t seq, int code);
    void *owner;
    uint64_t writes; /* number of executed writes */
    GMutex lock;
    GCond stopped;
    bool is_stopped; /* guarded by lock */
};

/* Starts the thread.  done is called on the loop: all writes up to seq are
 * durable if code is MP_OK.  With MP_ERROR_DISK_FULL, which is reported once,
 * the write up to seq waits for room.  After any other error the thread ends.
 */
void MpDiskTask_Start(struct MpDiskTask *this, struct MpStorage *storage,
                      struct MpLoop *loop,
                      void (*done)(void *owner, uint64_t seq, int code),
                      void *owner);

/* Queues a write and takes ownership of it. */
void MpDiskTask_Submit(struct MpDiskTask *this, struct MpRaftWrite *write);

/* Finishes the queued writes, unless they wait for room, and joins the
 * thread. */
void MpDiskTask_Stop(struct MpDiskTask *this);

#endif
