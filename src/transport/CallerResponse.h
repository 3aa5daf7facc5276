#ifndef MP_TRANSPORT_CALLER_RESPONSE_H
#define MP_TRANSPORT_CALLER_RESPONSE_H

#include <glib.h>
#include <h2o.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * CallerAnswer - the answer to one caller, as it is made.
 *
 * It is embedded in its owner, which may outlive the caller's request.
 */

/* Bytes that may wait for a slow caller before its target is no longer read,
 * and below which it is read again. */
#define MP_ANSWER_HIGH_BYTES 65536
#define MP_ANSWER_LOW_BYTES 16384

struct MpCallerAnswer;

struct MpCallerAnswerClass {
    /* The caller has closed its connection, before the answer ended. */
    void (*gone)(void *owner);
    /* The caller's connection takes more again. */
    void (*drained)(void *owner);
    /* All of the answer is with h2o, which needs the owner no more. */
    void (*sent)(void *owner);
};

/* Ties the answer to the memory of h2o's request. */
struct MpAnswerLink {
    h2o_generator_t super;
    struct MpCallerAnswer *answer;
};

struct MpCallerAnswer {
    const struct MpCallerAnswerClass *klass;
    void *owner;
    h2o_req_t *req; /* NULL once the caller is gone or has its answer */
    struct MpAnswerLink *link;
    GByteArray *out;
    GByteArray *sending;
    bool is_started;
    bool is_last;
    bool is_aborted;
    bool is_handed_over; /* the last part is with h2o */
};

void MpCallerAnswer_Init(struct MpCallerAnswer *this,
                         const struct MpCallerAnswerClass *klass, void *owner,
                         h2o_req_t *req);
void MpCallerAnswer_Done(struct MpCallerAnswer *this);

/* Starts the answer; its headers are in req already.  size is that of the
 * body, SIZE_MAX when it is not known. */
void MpCallerAnswer_Start(struct MpCallerAnswer *this, int status,
                          size_t size);
void MpCallerAnswer_Write(struct MpCallerAnswer *this, const void *data,
                          size_t size);
void MpCallerAnswer_Finish(struct MpCallerAnswer *this);

/* Ends an answer that was started so that it does not look whole. */
void MpCallerAnswer_Abort(struct MpCallerAnswer *this);

/* Closes the connection to a caller that does not take the rest of an answer
 * that was ended. */
void MpCallerAnswer_Close(struct MpCallerAnswer *this);

/* Gives the request to somebody else, who answers it. */
h2o_req_t *MpCallerAnswer_Release(struct MpCallerAnswer *this);

/* Returns whether the caller has closed its end, which h2o does not tell
 * while it waits for the answer. */
bool MpCallerAnswer_IsCallerGone(const struct MpCallerAnswer *this);

#endif
