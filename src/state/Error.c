#include "state/Error.h"

#include <stddef.h>

#define ROW(code, name_, status, run_, text)                                  \
    [-(code)] = {.name = (name_),                                             \
                 .message = (text),                                           \
                 .http_status = (status),                                     \
                 .run = (run_)}

static const struct MpErrorInfo error_table[-MP_ERROR_LAST] = {
    ROW(MP_OK, "ok", 200, MP_RUN_NO, "No error."),
    ROW(MP_ERROR_INVALID, "invalid_request", 400, MP_RUN_NO,
        "The request is not well formed."),
    ROW(MP_ERROR_NO_KEY, "no_workspace_key", 401, MP_RUN_NO,
        "The Authorization header with a workspace key is missing."),
    ROW(MP_ERROR_UNKNOWN_KEY, "unknown_workspace_key", 401, MP_RUN_NO,
        "No workspace has this key."),
    ROW(MP_ERROR_NOT_ALLOWED, "target_not_allowed", 403, MP_RUN_NO,
        "The workspace may not reach this model or service."),
    ROW(MP_ERROR_BUDGET, "budget_exhausted", 402, MP_RUN_NO,
        "The prepaid budget cannot cover the worst case of this request."),
    ROW(MP_ERROR_KEY_REUSED, "idempotency_key_reused", 422, MP_RUN_NO,
        "The idempotency key was used with another request."),
    ROW(MP_ERROR_LIMIT, "limit_exceeded", 429, MP_RUN_NO,
        "The workspace has too many requests at once."),
    ROW(MP_ERROR_NO_TARGET, "no_healthy_target", 503, MP_RUN_NO,
        "No healthy target can take the request now."),
    ROW(MP_ERROR_NO_QUORUM, "no_quorum", 503, MP_RUN_NO,
        "The control replicas cannot be reached now."),
    ROW(MP_ERROR_OUTCOME_UNKNOWN, "outcome_unknown", 504, MP_RUN_UNKNOWN,
        "The request reached a target and its outcome is not known."),
    ROW(MP_ERROR_IN_PROGRESS, "in_progress", 409, MP_RUN_UNKNOWN,
        "A request with this idempotency key is running."),
    ROW(MP_ERROR_ALREADY_ANSWERED, "already_answered", 409, MP_RUN_UNKNOWN,
        "The request with this key was answered and its answer not kept."),
    ROW(MP_ERROR_NOT_LEADER, "not_leader", 503, MP_RUN_NO,
        "This control replica is not the leader."),
    ROW(MP_ERROR_FENCED, "fenced", 503, MP_RUN_NO,
        "This incarnation of the instance was replaced."),
    ROW(MP_ERROR_STALE, "stale", 409, MP_RUN_NO,
        "A newer attempt has taken the place of this one."),
    ROW(MP_ERROR_VERSION, "version_conflict", 412, MP_RUN_NO,
        "The document has changed since the base version."),
    ROW(MP_ERROR_NOT_FOUND, "not_found", 404, MP_RUN_NO,
        "There is nothing of this name."),
    ROW(MP_ERROR_TOO_LARGE, "too_large", 413, MP_RUN_NO,
        "The request is larger than the limit."),
    ROW(MP_ERROR_CORRUPT, "corrupt", 500, MP_RUN_NO,
        "Stored or received data fails its check."),
    ROW(MP_ERROR_IO, "io", 500, MP_RUN_NO, "Input or output failed."),
    ROW(MP_ERROR_DISK_FULL, "disk_full", 500, MP_RUN_NO,
        "The disk of the data folder is full."),
    ROW(MP_ERROR_TIMEOUT, "timeout", 503, MP_RUN_NO,
        "No answer came in time."),
    ROW(MP_ERROR_CLOSED, "closed", 503, MP_RUN_NO,
        "The connection was closed."),
    ROW(MP_ERROR_AUTHENTICATION, "authentication", 401, MP_RUN_NO,
        "The token or message code is wrong."),
    ROW(MP_ERROR_DRAINING, "draining", 503, MP_RUN_NO,
        "The instance is leaving and takes no new work."),
    ROW(MP_ERROR_NOT_READY, "not_ready", 503, MP_RUN_NO,
        "The instance has no document yet."),
    ROW(MP_ERROR_POISON, "request_quarantined", 503, MP_RUN_UNKNOWN,
        "Targets failed while running this same request; it is stopped."),
    ROW(MP_ERROR_HELD_BACK, "request_held_back", 503, MP_RUN_UNKNOWN,
        "A target failed while it ran this same request; it is tried by one "
        "caller at a time."),
    ROW(MP_ERROR_TARGET_FAILED, "target_failed", 504, MP_RUN_UNKNOWN,
        "The target failed before it answered."),
    ROW(MP_ERROR_STREAM_CUT, "stream_cut", 504, MP_RUN_UNKNOWN,
        "The stream ended before the answer was whole."),
    ROW(MP_ERROR_OVERFLOW, "amount_overflow", 400, MP_RUN_NO,
        "The amount is outside the range of amounts."),
    ROW(MP_ERROR_RECALLING, "budget_recalling", 402, MP_RUN_NO,
        "The budget is held by other instances and is being recalled."),
    ROW(MP_ERROR_METHOD, "method_not_allowed", 405, MP_RUN_NO,
        "The path does not take this method."),
    ROW(MP_ERROR_LOCKED, "data_folder_locked", 500, MP_RUN_NO,
        "Another process uses the data folder."),
    ROW(MP_ERROR_HEAD_TOO_LARGE, "head_too_large", 431, MP_RUN_NO,
        "The head of the request is larger than the limit."),
    ROW(MP_ERROR_STREAM_VERSION, "stream_version_gone", 503, MP_RUN_NO,
        "The software version that began the stream is not in service or not "
        "known; start the stream anew."),
    ROW(MP_ERROR_STALLED, "request_stalled", 408, MP_RUN_NO,
        "The rest of the request did not arrive in time."),
    ROW(MP_ERROR_MEMORY, "memory_full", 503, MP_RUN_NO,
        "The instance holds as much as its memory allows; try again."),
    ROW(MP_ERROR_OVERLOADED, "instance_overloaded", 503, MP_RUN_NO,
        "This instance is at the limit of its machine; another has room."),
};

const struct MpErrorInfo *
MpError_Info(int code)
{
    if (code > 0 || code <= MP_ERROR_LAST) {
        code = MP_ERROR_INVALID;
    }
    return &error_table[-code];
}

const char *
MpError_Name(int code)
{
    return MpError_Info(code)->name;
}
