#ifndef MP_TRANSPORT_BODY_LENGTH_H
#define MP_TRANSPORT_BODY_LENGTH_H

#include <h2o.h>
#include <stdbool.h>
#include <stddef.h>

/*
 * BodyLength - the number of body bytes that the head of a response announces,
 * and the number written so far.
 *
 * Responses to HEAD and those with status 204 or 304 have no body, whatever
 * their head says.
 */

struct MpBodyLength {
    size_t announced; /* SIZE_MAX if unknown */
    size_t written;
    bool has_no_body;
};

/* Returns whether a response has no body. */
bool MpBodyLength_HasNoBody(bool is_head, int status);

/* Starts the response to req with generator; the headers must already be in
 * req.  size is the announced length, SIZE_MAX if it is not known: the body is
 * then chunked, or ends with the connection of an HTTP/1.0 caller. */
void MpBodyLength_Start(struct MpBodyLength *this, h2o_req_t *req,
                        h2o_generator_t *generator, int status, size_t size);

/* Counts bytes to be written.  Returns false, and logs it, if they are more
 * than announced; they must not be written then. */
bool MpBodyLength_Add(struct MpBodyLength *this, const char *id, size_t size);

/* Returns whether the response may end here; logs it if not. */
bool MpBodyLength_CheckEnd(const struct MpBodyLength *this, const char *id);

#endif
