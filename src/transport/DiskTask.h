#ifndef MP_TRANSPORT_DISK_TASK_H
#define MP_TRANSPORT_DISK_TASK_H

#include "coordination/Raft.h"
#include "state/Storage.h"
#include "transport/Loop.h"

#include <pthread.h>

/*
 * DiskTask - the task that makes writes of the replicated log durable.
 *
 * It owns the storage.  Writes come in by a queue; all that wait are joined
 * into one batch with one sync, so that the cost of a sync is shared.  The
 * owner's loop hears how far it has come, or that the disk failed.
 */

struct MpDiskTask {
    struct MpStorage *storage;
    GAsyncQueue *inbox; /* of struct MpRaftWrite */
    h2o_multithread_receiver_t outbox;
    pthread_t thread;
    void (*done)(void *owner, uint64_t seq, int code);
    void *owner;
    uint64_t writes; /* counter */
};

/* Starts the task; done is called on loop. */
void MpDiskTask_Start(struct MpDiskTask *this, struct MpStorage *storage,
                      struct MpLoop *loop,
                      void (*done)(void *owner, uint64_t seq, int code),
                      void *owner);

/* Queues a write, which the task owns from now on. */
void MpDiskTask_Submit(struct MpDiskTask *this, struct MpRaftWrite *write);

/* Finishes what is queued and ends the task. */
void MpDiskTask_Stop(struct MpDiskTask *this);

#endif
