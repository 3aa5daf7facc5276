#ifndef MP_COORDINATION_FAIR_QUEUE_H
#define MP_COORDINATION_FAIR_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * MpFairQueue - bounded queue of requests that wait for a target.
 *
 * Priority classes are served in strict order.  Within a class the workspaces
 * are served round-robin, so that one with many requests cannot starve the
 * others.  Each item has a deadline after which it is shed.
 */

/* A queue entry, embedded in the struct of the waiting request. */
struct MpQueueItem {
    const char *workspace;
    int32_t priority; /* enum MpPriorityClass; lower values are served first */
    int64_t deadline_ms;
    void *data; /* the struct that embeds the entry; unused by the queue */
    struct MpQueueLane *lane; /* NULL while not queued */
    GList link;
};

/* FIFO of the items of one workspace in one class. */
struct MpQueueLane {
    char *workspace;
    int32_t priority;
    GQueue items;
    bool is_active; /* it has items and is in the active list */
    GList link;
};

#define MP_QUEUE_CLASSES 3

struct MpFairQueue {
    GHashTable *lanes[MP_QUEUE_CLASSES]; /* workspace -> lane */
    GQueue active[MP_QUEUE_CLASSES];     /* lanes with items, in turn */
    uint32_t length;                     /* items in all lanes */
    uint32_t max_length;                 /* largest length */
};

void MpFairQueue_Init(struct MpFairQueue *this, uint32_t max_length);
void MpFairQueue_Done(struct MpFairQueue *this);

/* Appends item, which the caller keeps until it is removed.  Errors:
 * MP_ERROR_LIMIT when the queue is full. */
int MpFairQueue_Push(struct MpFairQueue *this, struct MpQueueItem *item);

/* Removes item, if it is queued. */
void MpFairQueue_Remove(struct MpFairQueue *this, struct MpQueueItem *item);

/* Returns the next item without removing it, or NULL. */
struct MpQueueItem *MpFairQueue_Peek(const struct MpFairQueue *this);

/* Removes item and moves its workspace to the end of the round. */
void MpFairQueue_Dequeue(struct MpFairQueue *this, struct MpQueueItem *item);

/* Removes and returns an item whose deadline has passed, or returns NULL. */
struct MpQueueItem *MpFairQueue_PopExpired(struct MpFairQueue *this,
                                           int64_t now_ms);

#endif
