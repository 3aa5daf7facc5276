#ifndef MP_TRANSPORT_CALLER_RESPONSE_H
#define MP_TRANSPORT_CALLER_RESPONSE_H

#include "coordination/MemoryAccount.h"
#include "transport/BodyLength.h"

#include <glib.h>
#include <h2o.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * CallerResponse - the HTTP response to one caller, buffered and sent through
 * h2o piece by piece.
 *
 * It is embedded in its owner, which may outlive h2o's request.
 */

/* Buffered bytes above which reading from the target is paused, and at or
 * below which it is resumed. */
#define MP_RESPONSE_HIGH_BYTES 65536
#define MP_RESPONSE_LOW_BYTES 16384

struct MpCallerResponse;

struct MpCallerResponseClass {
    /* The caller disconnected before the response ended. */
    void (*disconnected)(void *owner);
    /* The buffer has fallen to MP_RESPONSE_LOW_BYTES or less. */
    void (*writable)(void *owner);
    /* h2o is done with a response that was ended; the last callback. */
    void (*sent)(void *owner);
};

/* h2o's generator for the response; allocated with the request's memory. */
struct MpResponseLink {
    h2o_generator_t super;
    struct MpCallerResponse *response;
};

struct MpCallerResponse {
    const struct MpCallerResponseClass *klass;
    void *owner;
    h2o_req_t *req; /* NULL once the caller has disconnected or is served */
    struct MpResponseLink *link;
    GByteArray *pending; /* not yet passed to h2o */
    GByteArray *sending; /* being sent by h2o */
    struct MpMemoryAccount *account;
    struct MpMemoryHolder memory;
    struct MpBodyLength length;
    const char *id; /* for log lines, or NULL */
    int status;
    bool is_started;
    bool is_held;          /* nothing is passed to h2o yet */
    bool is_output_closed; /* no more data follows */
    bool is_aborted;
    bool is_handed_over; /* h2o has the last part */
};

void MpCallerResponse_Init(struct MpCallerResponse *this,
                           const struct MpCallerResponseClass *klass,
                           void *owner, h2o_req_t *req,
                           struct MpMemoryAccount *account);
void MpCallerResponse_Done(struct MpCallerResponse *this);

/* Sends the head; the headers must already be in req.  size is the body's
 * size in bytes, SIZE_MAX if unknown. */
void MpCallerResponse_Start(struct MpCallerResponse *this, int status,
                            size_t size);

/* Keeps back the response, which has not been started, until it is let go. */
void MpCallerResponse_Hold(struct MpCallerResponse *this);
void MpCallerResponse_LetGo(struct MpCallerResponse *this);
bool MpCallerResponse_IsHeld(const struct MpCallerResponse *this);

/* Drops a response that is kept back, as if it had not been started. */
void MpCallerResponse_DropHeld(struct MpCallerResponse *this);

/* Writes a part of the body, if the response has one.  Aborts the response if
 * its body would be longer than announced. */
void MpCallerResponse_Write(struct MpCallerResponse *this, const void *data,
                            size_t size);

/* Ends the response; aborts it if its body is shorter than announced. */
void MpCallerResponse_Finish(struct MpCallerResponse *this);

/* Ends a started response in a way that the caller sees as incomplete. */
void MpCallerResponse_Abort(struct MpCallerResponse *this);

/* Closes the connection of a caller that does not read the rest of an ended
 * response. */
void MpCallerResponse_Close(struct MpCallerResponse *this);

/* Detaches the request and returns it; whoever gets it must answer it.
 * Returns NULL when the caller has disconnected. */
h2o_req_t *MpCallerResponse_Release(struct MpCallerResponse *this);

/* Returns whether the caller has closed its end of the connection. */
bool MpCallerResponse_IsDisconnected(const struct MpCallerResponse *this);

#endif
