#ifndef MP_TRANSPORT_ERROR_BODY_H
#define MP_TRANSPORT_ERROR_BODY_H

#include <h2o.h>
#include <stdbool.h>

/*
 * ErrorBody - the JSON body of error responses:
 *
 *     {"error":{"type":…,"code":…,"message":…,"run":…}}
 *
 * "run" says whether the request may have run at a target: "no" or "unknown".
 */

/* Returns the body for code; detail, if not NULL, is appended to the message;
 * run is "no" or "unknown".  Free it with g_free. */
char *MpErrorBody_Format(int code, const char *detail, const char *run);

/* Returns the body for code, allocated in pool; "run" follows from code. */
h2o_iovec_t MpErrorBody_FormatInPool(h2o_mem_pool_t *pool, int code,
                                     const char *detail);

/* Returns the value of "run" for a request with an idempotency record:
 * "unknown" if code implies that an earlier attempt under the same key may
 * have run, or if may_have_run says that an attempt of this request may have;
 * otherwise "no". */
const char *MpErrorBody_RunName(int code, bool may_have_run);

#endif
