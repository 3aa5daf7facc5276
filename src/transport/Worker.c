#include "transport/Worker.h"

/* A submitted job; sent back to the loop when it is done. */
struct job {
    h2o_multithread_message_t super; /* first member */
    MpWork work;
    MpWorkDone done;
    void *data;
    int code;
};

static void
on_messages(h2o_multithread_receiver_t *receiver, h2o_linklist_t *messages)
{
    (void)receiver;
    GPtrArray *received = g_ptr_array_new();
    MpLoop_PopMessages(messages, received);
    for (guint i = 0; i < received->len; i++) {
        struct job *job = g_ptr_array_index(received, i);
        job->done(job->data, job->code);
        g_free(job);
    }
    g_ptr_array_unref(received);
}

static void *
run(void *data)
{
    struct MpWorker *this = data;
    for (;;) {
        struct job *job = g_async_queue_pop(this->inbox);
        job->code = job->work(job->data);
        h2o_multithread_send_message(&this->outbox, &job->super);
    }
    return NULL;
}

void
MpWorker_Start(struct MpWorker *this, struct MpLoop *loop)
{
    this->inbox = g_async_queue_new();
    h2o_multithread_register_receiver(loop->queue, &this->outbox, on_messages);
    h2o_multithread_create_thread(&this->thread, NULL, run, this);
}

void
MpWorker_Submit(struct MpWorker *this, MpWork work, MpWorkDone done,
                void *data)
{
    struct job *job = g_new0(struct job, 1);
    job->work = work;
    job->done = done;
    job->data = data;
    g_async_queue_push(this->inbox, job);
}
