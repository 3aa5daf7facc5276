#ifndef MP_TRANSPORT_WORKER_H
#define MP_TRANSPORT_WORKER_H

#include "transport/Loop.h"

#include <pthread.h>

/*
 * Worker - thread that runs blocking jobs in order of submission, so that they
 * do not block the event loop.
 */

struct MpWorker {
    GAsyncQueue *inbox;
    h2o_multithread_receiver_t outbox;
    pthread_t thread;
};

/* MpWork runs on the worker's thread; MpWorkDone then runs on the loop with
 * the code that MpWork returned. */
typedef int (*MpWork)(void *data);
typedef void (*MpWorkDone)(void *data, int code);

void MpWorker_Start(struct MpWorker *this, struct MpLoop *loop);
void MpWorker_Submit(struct MpWorker *this, MpWork work, MpWorkDone done,
                     void *data);

#endif
