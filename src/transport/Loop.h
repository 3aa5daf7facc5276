#ifndef MP_TRANSPORT_LOOP_H
#define MP_TRANSPORT_LOOP_H

#include <glib.h>
#include <h2o.h>
#include <h2o/multithread.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Loop - the event loop of one task: sockets of h2o, timers, and messages
 * from other tasks.
 */

struct MpTimer;
typedef void (*MpTimerCallback)(struct MpTimer *timer);

/* A timer, embedded in its owner. */
struct MpTimer {
    MpTimerCallback callback;
    void *data;
    int64_t at_ms;
    GSequenceIter *position; /* NULL while it is not set */
};

/* Called once after each round of the loop. */
struct MpLoopHook {
    void (*call)(void *data);
    void *data;
};

struct MpLoop {
    h2o_loop_t *h2o;
    h2o_multithread_queue_t *queue;
    GSequence *timers;
    GArray *hooks; /* of struct MpLoopHook */
    int64_t now_ms;
    bool is_stopped;
};

void MpLoop_Init(struct MpLoop *this);
void MpLoop_Done(struct MpLoop *this);

/* Runs until MpLoop_Stop. */
void MpLoop_Run(struct MpLoop *this);
void MpLoop_Stop(struct MpLoop *this);

void MpLoop_AddHook(struct MpLoop *this, void (*call)(void *data), void *data);

/* Returns the monotonic clock, ms. */
int64_t MpLoop_Now(void);

/* Returns the wall clock, ms since 1970. */
int64_t MpLoop_WallMs(void);

/* Sets timer to fire once in delay_ms; a set timer is moved. */
void MpLoop_SetTimer(struct MpLoop *this, struct MpTimer *timer,
                     int64_t delay_ms, MpTimerCallback callback, void *data);
void MpLoop_ClearTimer(struct MpTimer *timer);

/* Moves the messages of a receiver into out, in their order. */
void MpLoop_TakeMessages(h2o_linklist_t *messages, GPtrArray *out);

/* Opens a listening socket for an address as 127.0.0.1:8080; port 0 lets the
 * system choose.  Returns the socket or NULL; *port is the port in use. */
h2o_socket_t *MpLoop_Listen(struct MpLoop *this, const char *address,
                            h2o_socket_cb on_accept, void *data,
                            uint16_t *port);

/* Splits an address into host and port; returns whether it is one. */
bool MpLoop_ParseAddress(const char *address, struct sockaddr_in *out);

#endif
