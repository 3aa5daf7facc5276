#ifndef MP_COORDINATION_TARGET_LIMIT_H
#define MP_COORDINATION_TARGET_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * MpTargetLimit - the rate limit that a target names in its answers: requests
 * per second from all instances together, for as long as it names one.
 *
 * Answers overtake each other, and what other instances learned arrives late.
 * Observations are therefore ordered by the time at which the request was
 * sent: the target wrote the answer at some time between sent_ms and
 * received_ms.
 */

/* Rate of a target that names no limit. */
#define MP_LIMIT_NONE (-1)
/* Largest limit that is accepted, thousandths of requests per second. */
#define MP_LIMIT_MAX_MRPS 1000000000
/* Rate at which a target with a lower limit is used, thousandths of requests
 * per second: only an answer shows that a limit has ended, so a target that
 * takes nothing (limit 0) still gets a request each 10 s. */
#define MP_LIMIT_MIN_MRPS 100

struct MpTargetLimit {
    int64_t rate_mrps;   /* thousandths of requests per second, or
                          * MP_LIMIT_NONE */
    int64_t sent_ms;     /* of the request whose answer set the rate */
    int64_t received_ms; /* last answer that named the limit, or ended it */
};

/* No limit is known. */
#define MP_TARGET_LIMIT_INIT                                                  \
    {                                                                         \
        .rate_mrps = MP_LIMIT_NONE                                            \
    }

/* Applies what an answer said, MP_LIMIT_NONE if it named no limit.  An answer
 * to a request that was sent before the one behind the present state is
 * ignored, and a limit is ended only by an answer to a request that was sent
 * after the last answer that named it.  Returns whether the rate changed. */
bool MpTargetLimit_Note(struct MpTargetLimit *this, int64_t rate_mrps,
                        int64_t sent_ms, int64_t received_ms);

/* Returns the rate at which requests may be sent, MP_LIMIT_NONE for any. */
int64_t MpTargetLimit_Rate(const struct MpTargetLimit *this);

/* Parses a decimal number of requests per second, such as "2.5".  Returns
 * false for anything else and for rates above MP_LIMIT_MAX_MRPS. */
bool MpTargetLimit_Parse(const char *text, size_t size, int64_t *rate_mrps);

#endif
