#ifndef MP_TRANSPORT_WORKER_H
#define MP_TRANSPORT_WORKER_H

#include "transport/Loop.h"

#include <pthread.h>

/*
 * Worker - a task that does blocking work in order, apart from the loop.
 */

struct MpWorker {
    GAsyncQueue *inbox;
    h2o_multithread_receiver_t outbox;
    pthread_t thread;
};

/* Work runs on the worker; done runs on the loop with what work returned. */
typedef int (*MpWork)(void *data);
typedef void (*MpWorkDone)(void *data, int code);

void MpWorker_Start(struct MpWorker *this, struct MpLoop *loop);
void MpWorker_Submit(struct MpWorker *this, MpWork work, MpWorkDone done,
                     void *data);

#endif
