#ifndef MP_TRANSPORT_LOOP_H
#define MP_TRANSPORT_LOOP_H

#include <glib.h>
#include <h2o.h>
#include <h2o/multithread.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Loop - event loop of one thread: h2o sockets, timers, and messages from
 * other threads.
 */

struct MpTimer;
typedef void (*MpTimerCallback)(struct MpTimer *timer);

/* A one-shot timer; embedded in the struct that uses it. */
struct MpTimer {
    MpTimerCallback callback;
    void *data;
    int64_t at_ms;           /* expiry, on the clock of MpLoop_Now */
    GSequenceIter *position; /* NULL while it is not set */
};

/* A function that is called after each iteration of the loop. */
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
    int64_t late_ms; /* how late the timers were that fired last */
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

/* Returns for how long this loop has not come round, ms: how late its timers
 * are, or were when they fired last. */
int64_t MpLoop_DelayMs(const struct MpLoop *this);

/* Returns a monotonic clock that also counts while the machine is suspended,
 * ms; for the age of what other machines may have changed meanwhile. */
int64_t MpLoop_BootMs(void);

/* Returns the wall clock, ms since 1970. */
int64_t MpLoop_WallMs(void);

/* Sets timer to call callback once in delay_ms.  A timer that is already set
 * is rescheduled. */
void MpLoop_SetTimer(struct MpLoop *this, struct MpTimer *timer,
                     int64_t delay_ms, MpTimerCallback callback, void *data);
void MpLoop_ClearTimer(struct MpTimer *timer);

/* Moves all messages of a receiver to out, in order. */
void MpLoop_PopMessages(h2o_linklist_t *messages, GPtrArray *out);

/* Frees the input buffer of a socket if it is empty and large: h2o doubles it
 * for what has arrived at once, and keeps it so. */
void MpLoop_FreeInput(h2o_socket_t *socket);

/* Removes the first size bytes of array; frees its memory if it is empty and
 * large. */
void MpLoop_ConsumeArray(GByteArray **array, size_t size);

/* Receive buffer of accepted connections, bytes; the system adds as much for
 * its own needs.  Without it the system lets one grow to tens of MB while much
 * arrives, and a read takes all of it. */
#define MP_RECEIVE_BYTES (64 * 1024)

/* Sets the receive buffer of a connection, or of those that a listening socket
 * accepts from now on. */
void MpLoop_SetReceiveBuffer(h2o_socket_t *socket, int bytes);

/* Opens a listening socket on an IPv4 address such as 127.0.0.1:8080; with
 * port 0 the system chooses one.  Returns the socket, or NULL on error.  If
 * port is not NULL, *port is set to the port in use.  What may wait unread on
 * an accepted connection is bounded. */
h2o_socket_t *MpLoop_Listen(struct MpLoop *this, const char *address,
                            h2o_socket_cb on_accept, void *data,
                            uint16_t *port);

/* The same for instances of the fleet, which send large documents between
 * regions: their receive buffers grow with the distance. */
h2o_socket_t *MpLoop_ListenForPeers(struct MpLoop *this, const char *address,
                                    h2o_socket_cb on_accept, void *data,
                                    uint16_t *port);

/* Parses an IPv4 address with a port; returns false if it is invalid. */
bool MpLoop_ParseAddress(const char *address, struct sockaddr_in *out);

#endif
