#ifndef MP_TRANSPORT_ERROR_BODY_H
#define MP_TRANSPORT_ERROR_BODY_H

#include <h2o.h>
#include <stdbool.h>

/*
 * ErrorBody - the JSON body of a refusal:
 *
 *     {"error":{"type":…,"code":…,"message":…,"run":…}}
 */

/* Returns the body for code; detail, if not NULL, follows the message; run is
 * "no" or "unknown".  Free it with g_free. */
char *MpErrorBody_Format(int code, const char *detail, const char *run);

/* The same in the memory of a request. */
h2o_iovec_t MpErrorBody_InPool(h2o_mem_pool_t *pool, int code,
                               const char *detail);

/* Returns "no" or "unknown" for a request with a record: an earlier attempt
 * under its key may have run.  may_have_run says that one of this request
 * may have. */
const char *MpErrorBody_RunName(int code, bool may_have_run);

#endif
