#include "coordination/FairQueue.h"

#include "state/Error.h"

static void
lane_delete(void *data)
{
    struct MpQueueLane *this = data;
    g_free(this->workspace);
    g_free(this);
}

void
MpFairQueue_Init(struct MpFairQueue *this, uint32_t most)
{
    *this = (struct MpFairQueue){.max_length = most};
    for (int i = 0; i < MP_QUEUE_CLASSES; i++) {
        this->lanes[i] =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, lane_delete);
        g_queue_init(&this->active[i]);
    }
}

void
MpFairQueue_Done(struct MpFairQueue *this)
{
    for (int i = 0; i < MP_QUEUE_CLASSES; i++) {
        g_hash_table_unref(this->lanes[i]);
    }
}

static struct MpQueueLane *
lane_of(struct MpFairQueue *this, const struct MpQueueItem *item)
{
    GHashTable *lanes = this->lanes[item->priority];
    struct MpQueueLane *lane = g_hash_table_lookup(lanes, item->workspace);
    if (!lane) {
        lane = g_new0(struct MpQueueLane, 1);
        lane->workspace = g_strdup(item->workspace);
        lane->priority = item->priority;
        lane->link.data = lane;
        g_queue_init(&lane->items);
        g_hash_table_insert(lanes, lane->workspace, lane);
    }
    return lane;
}

int
MpFairQueue_Push(struct MpFairQueue *this, struct MpQueueItem *item)
{
    if (this->length >= this->max_length) {
        return MP_ERROR_LIMIT;
    }
    struct MpQueueLane *lane = lane_of(this, item);
    item->lane = lane;
    item->link.data = item;
    g_queue_push_tail_link(&lane->items, &item->link);
    this->length++;
    if (!lane->is_active) {
        lane->is_active = true;
        g_queue_push_tail_link(&this->active[lane->priority], &lane->link);
    }
    return MP_OK;
}

void
MpFairQueue_Remove(struct MpFairQueue *this, struct MpQueueItem *item)
{
    struct MpQueueLane *lane = item->lane;
    if (!lane) {
        return;
    }
    g_queue_unlink(&lane->items, &item->link);
    item->lane = NULL;
    this->length--;
    if (lane->items.length == 0) {
        g_queue_unlink(&this->active[lane->priority], &lane->link);
        lane->is_active = false;
        g_hash_table_remove(this->lanes[lane->priority], lane->workspace);
    }
}

struct MpQueueItem *
MpFairQueue_Peek(const struct MpFairQueue *this)
{
    for (int i = 0; i < MP_QUEUE_CLASSES; i++) {
        if (this->active[i].head) {
            struct MpQueueLane *lane = this->active[i].head->data;
            return lane->items.head->data;
        }
    }
    return NULL;
}

void
MpFairQueue_Dequeue(struct MpFairQueue *this, struct MpQueueItem *item)
{
    struct MpQueueLane *lane = item->lane;
    GQueue *active = &this->active[lane->priority];
    g_queue_unlink(active, &lane->link);
    g_queue_push_tail_link(active, &lane->link);
    MpFairQueue_Remove(this, item);
}

struct MpQueueItem *
MpFairQueue_PopExpired(struct MpFairQueue *this, int64_t now_ms)
{
    for (int i = 0; i < MP_QUEUE_CLASSES; i++) {
        for (GList *at = this->active[i].head; at; at = at->next) {
            struct MpQueueLane *lane = at->data;
            struct MpQueueItem *item = g_queue_peek_head(&lane->items);
            if (item->deadline_ms <= now_ms) {
                MpFairQueue_Remove(this, item);
                return item;
            }
        }
    }
    return NULL;
}
