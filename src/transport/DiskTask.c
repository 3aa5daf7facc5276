#include "transport/DiskTask.h"

#include "state/Codec.h"
#include "state/Error.h"

#include <string.h>

/* Interval of the tries of a write for which the disk has no room, ms; doubled
 * with each try. */
#define ROOM_INTERVAL_MS 20
#define ROOM_INTERVAL_MAX_MS 320

/* Reports a completed write to the loop. */
struct disk_message {
    h2o_multithread_message_t super; /* first member */
    uint64_t seq;
    int code;
};

/* Queued to end the thread; never submitted as a write. */
static struct MpRaftWrite stop_sentinel;

static void
on_messages(h2o_multithread_receiver_t *receiver, h2o_linklist_t *messages)
{
    struct MpDiskTask *this =
        H2O_STRUCT_FROM_MEMBER(struct MpDiskTask, outbox, receiver);
    GPtrArray *received = g_ptr_array_new();
    MpLoop_PopMessages(messages, received);
    for (guint i = 0; i < received->len; i++) {
        struct disk_message *message = g_ptr_array_index(received, i);
        this->done(this->owner, message->seq, message->code);
        g_free(message);
    }
    g_ptr_array_unref(received);
}

static void
post_result(struct MpDiskTask *this, uint64_t seq, int code)
{
    struct disk_message *message = g_new0(struct disk_message, 1);
    message->seq = seq;
    message->code = code;
    h2o_multithread_send_message(&this->outbox, &message->super);
}

static int
save_snapshot(struct MpDiskTask *this, const struct MpRaftWrite *write)
{
    struct mp_snapshot_head head;
    gsize size;
    const void *data = g_bytes_get_data(write->head, &size);
    int code = MpCodec_Decode(MP_XDR(mp_snapshot_head), &head, data, size,
                              sizeof(head));
    if (code != MP_OK) {
        return code;
    }
    code = MpStorage_SaveSnapshot(
        this->storage, &head, write->data, &write->hard,
        (const struct MpLogEntry *)write->entries->data, write->entries->len);
    MpCodec_Free(MP_XDR(mp_snapshot_head), &head);
    return code;
}

static bool
is_batchable(const struct MpRaftWrite *write)
{
    return write != &stop_sentinel && !write->has_snapshot;
}

/* Appends the entries of queued writes to first, so that they share one sync.
 * Returns the first write that cannot be batched, or NULL when the queue is
 * empty. */
static struct MpRaftWrite *
batch_queued(struct MpDiskTask *this, struct MpRaftWrite *first)
{
    struct MpRaftWrite *next;
    while ((next = g_async_queue_try_pop(this->inbox))) {
        if (!is_batchable(next)) {
            return next;
        }
        for (guint i = 0; i < next->entries->len; i++) {
            struct MpLogEntry entry =
                g_array_index(next->entries, struct MpLogEntry, i);
            g_bytes_ref(entry.payload);
            g_array_append_val(first->entries, entry);
        }
        first->hard = next->hard;
        first->seq = next->seq;
        this->writes++;
        MpRaftWrite_Delete(next);
    }
    return NULL;
}

static int
try_write(struct MpDiskTask *this, const struct MpRaftWrite *write)
{
    if (write->has_snapshot) {
        return save_snapshot(this, write);
    }
    return MpStorage_Append(this->storage, &write->hard,
                            (const struct MpLogEntry *)write->entries->data,
                            write->entries->len);
}

/* Returns whether the task is being stopped. */
static bool
wait_or_stop(struct MpDiskTask *this, int64_t wait_ms)
{
    int64_t end_us = g_get_monotonic_time() + wait_ms * 1000;
    g_mutex_lock(&this->lock);
    while (!this->is_stopped &&
           g_cond_wait_until(&this->stopped, &this->lock, end_us)) {
    }
    bool is_stopped = this->is_stopped;
    g_mutex_unlock(&this->lock);
    return is_stopped;
}

static int
execute_write(struct MpDiskTask *this, struct MpRaftWrite *write)
{
    int64_t wait_ms = ROOM_INTERVAL_MS;
    int code = try_write(this, write);
    if (code == MP_ERROR_DISK_FULL) {
        post_result(this, write->seq, code);
    }
    while (code == MP_ERROR_DISK_FULL && !wait_or_stop(this, wait_ms)) {
        wait_ms = MIN(wait_ms * 2, ROOM_INTERVAL_MAX_MS);
        code = try_write(this, write);
    }
    if (code == MP_ERROR_DISK_FULL) {
        MpRaftWrite_Delete(write);
        return code;
    }
    this->writes++;
    post_result(this, write->seq, code);
    MpRaftWrite_Delete(write);
    return code;
}

static void *
run(void *data)
{
    struct MpDiskTask *this = data;
    struct MpRaftWrite *next = NULL;
    int code = MP_OK;
    while (code == MP_OK) {
        struct MpRaftWrite *write =
            next ? next : g_async_queue_pop(this->inbox);
        next = NULL;
        if (write == &stop_sentinel) {
            return NULL;
        }
        if (is_batchable(write)) {
            next = batch_queued(this, write);
        }
        code = execute_write(this, write);
    }
    return NULL;
}

void
MpDiskTask_Start(struct MpDiskTask *this, struct MpStorage *storage,
                 struct MpLoop *loop,
                 void (*done)(void *owner, uint64_t seq, int code),
                 void *owner)
{
    *this =
        (struct MpDiskTask){.storage = storage, .done = done, .owner = owner};
    this->inbox = g_async_queue_new();
    g_mutex_init(&this->lock);
    g_cond_init(&this->stopped);
    h2o_multithread_register_receiver(loop->queue, &this->outbox, on_messages);
    h2o_multithread_create_thread(&this->thread, NULL, run, this);
}

void
MpDiskTask_Submit(struct MpDiskTask *this, struct MpRaftWrite *write)
{
    g_async_queue_push(this->inbox, write);
}

void
MpDiskTask_Stop(struct MpDiskTask *this)
{
    g_mutex_lock(&this->lock);
    this->is_stopped = true;
    g_cond_signal(&this->stopped);
    g_mutex_unlock(&this->lock);
    g_async_queue_push(this->inbox, &stop_sentinel);
    pthread_join(this->thread, NULL);
    g_cond_clear(&this->stopped);
    g_mutex_clear(&this->lock);
}
