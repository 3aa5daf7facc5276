#ifndef MP_COORDINATION_FAIR_QUEUE_H
#define MP_COORDINATION_FAIR_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * FairQueue - requests that wait for a target.
 *
 * Classes go in order; inside a class the workspaces take turns, so that a
 * workspace with many requests cannot keep the others out.  The queue is
 * bounded, and each item has a deadline after which it is shed.
 */

/* Embedded in what waits. */
struct MpQueueItem {
    const char *workspace;
    int32_t priority; /* enum MpPriorityClass, lower first */
    int64_t deadline_ms;
    void *data;
    struct MpQueueLane *lane; /* NULL while not queued */
    GList link;
};

/* The items of one workspace in one class. */
struct MpQueueLane {
    char *workspace;
    int32_t priority;
    GQueue items;
    bool is_active;
    GList link;
};

#define MP_QUEUE_CLASSES 3

struct MpFairQueue {
    GHashTable *lanes[MP_QUEUE_CLASSES]; /* workspace -> lane */
    GQueue active[MP_QUEUE_CLASSES];     /* lanes with items, in turn */
    uint32_t length;
    uint32_t max_length;
};

void MpFairQueue_Init(struct MpFairQueue *this, uint32_t most);
void MpFairQueue_Done(struct MpFairQueue *this);

/* Adds item.  Errors: MP_ERROR_LIMIT when the queue is full. */
int MpFairQueue_Push(struct MpFairQueue *this, struct MpQueueItem *item);

/* Removes item, if it is queued. */
void MpFairQueue_Remove(struct MpFairQueue *this, struct MpQueueItem *item);

/* Returns the next item or NULL; it stays in the queue. */
struct MpQueueItem *MpFairQueue_Peek(const struct MpFairQueue *this);

/* Removes item and gives the turn to the next workspace of its class. */
void MpFairQueue_Dequeue(struct MpFairQueue *this, struct MpQueueItem *item);

/* Returns an item whose deadline has passed and removes it, or NULL. */
struct MpQueueItem *MpFairQueue_PopExpired(struct MpFairQueue *this,
                                           int64_t now_ms);

#endif
