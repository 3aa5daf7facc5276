#include "transport/ZoneOrder.h"

#include "state/Error.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <string.h>

/* Operators send an order to another instance after 1 s; the proposal
 * continues for PROPOSE_TIMEOUT_MS. */
#define READ_TIMEOUT_MS 900
#define PROPOSE_TIMEOUT_MS 3000

/* ---- orders with an id ---- */

static void
propose(struct MpOperatorCall *call, const struct mp_zone_drain *order,
        int64_t timeout_ms, MpProposeDone done)
{
    struct mp_command command = {.body = {.kind = MP_CMD_ZONE_DRAIN}};
    command.body.mp_command_body_u.zone_drain = *order;
    call->is_proposed = true;
    MpControlClient_Propose(call->server->control, &command,
                            MpLoop_Now() + timeout_ms, done, call);
}

static void
set_zone(struct MpOperatorCall *call, const char *zone, bool is_drain)
{
    call->zone = g_strdup(zone);
    call->is_zone_drain = is_drain;
}

int
MpZoneOrder_Submit(struct MpOperatorCall *call, const char *zone,
                   bool is_drain, const char *id, MpProposeDone done)
{
    if (!MpSchema_IsName(zone) || !id || !id[0] || strlen(id) > MP_KEY_MAX) {
        return MP_ERROR_INVALID;
    }
    set_zone(call, zone, is_drain);
    /* The same id with another order is another submission. */
    char *text = g_strdup_printf("%s\n%d\n%s", zone, is_drain, id);
    char *submission = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text,
                                                     (gssize)strlen(text));
    const struct mp_zone_drain order = {
        .submission = submission, .zone = (char *)zone, .is_drain = is_drain};
    propose(call, &order, MP_OPERATOR_TIMEOUT_MS, done);
    g_free(submission);
    g_free(text);
    return MP_OK;
}

static void
log_order(const struct MpOperatorCall *call, int code, uint64_t version)
{
    MpLog_Event(code == MP_OK ? LOG_NOTICE : LOG_WARNING, "zone-order",
                "zone=%s order=%s error=%s version=%" PRIu64
                " proposed=%d took_ms=%" PRId64,
                call->zone, call->is_zone_drain ? "drain" : "restore",
                MpError_Name(code), version, call->is_proposed,
                MpLoop_Now() - call->began_ms);
}

int
MpZoneOrder_Finish(struct MpOperatorCall *call, int code,
                   const struct mp_result *result)
{
    if (code == MP_OK) {
        code = result->code;
    }
    log_order(call, code, code == MP_OK ? result->number : 0);
    return code == MP_OK ? MP_OK : MP_ERROR_NO_QUORUM;
}

/* ---- orders of a dialect ---- */

/* Returns whether path ends with verb; *size is set to what stands before. */
static bool
ends_with(h2o_iovec_t path, const char *verb, size_t *size)
{
    size_t verb_size = strlen(verb);
    if (path.len < verb_size ||
        memcmp(path.base + path.len - verb_size, verb, verb_size) != 0) {
        return false;
    }
    *size = path.len - verb_size;
    return true;
}

/* Returns the name in the path of an order, to be freed by g_free, or NULL if
 * the path is another one. */
static char *
parse_path(const struct MpDialect *dialect, h2o_iovec_t path, bool *is_drain)
{
    size_t size = 0;
    size_t start = dialect->zone_path ? strlen(dialect->zone_path) : 0;
    if (start == 0 || path.len < start ||
        memcmp(path.base, dialect->zone_path, start) != 0) {
        return NULL;
    }
    *is_drain = ends_with(path, dialect->zone_drain_verb, &size);
    if (!*is_drain && !ends_with(path, dialect->zone_restore_verb, &size)) {
        return NULL;
    }
    return size < start ? NULL : g_strndup(path.base + start, size - start);
}

bool
MpZoneOrder_Matches(const struct MpOperatorServer *server,
                    const h2o_req_t *req)
{
    bool is_drain;
    char *zone =
        MpHttp_Equals(req->method, "POST")
            ? parse_path(server->control->dialect, req->path, &is_drain)
            : NULL;
    g_free(zone);
    return zone != NULL;
}

static void
acknowledge(struct MpOperatorCall *call, uint64_t version)
{
    char *text = g_strdup_printf(
        "{\"zone\":\"%s\",\"drained\":%s,\"version\":%" PRIu64 "}", call->zone,
        call->is_zone_drain ? "true" : "false", version);
    MpOperatorCall_Send(call, 200, "application/json", text);
    g_free(text);
}

static void
on_proposed(void *data, int code, const struct mp_result *result)
{
    struct MpOperatorCall *call = data;
    code = MpZoneOrder_Finish(call, code, result);
    if (code != MP_OK) {
        /* The outcome is unknown or the order was overtaken; this error makes
         * the operator resend. */
        MpOperatorCall_Fail(call, code, NULL);
        return;
    }
    acknowledge(call, result->number);
}

static void
on_read(void *data, int code, const struct mp_read_reply *reply)
{
    struct MpOperatorCall *call = data;
    bool is_late = MpLoop_Now() - call->began_ms >= READ_TIMEOUT_MS;
    bool is_gone = !call->req || MpHttp_IsDisconnected(call->req);
    if (code != MP_OK || is_late || is_gone) {
        /* Another instance may have got the order by now, and a later one.  An
         * instance that stood still may find an order of long ago. */
        log_order(call,
                  code != MP_OK ? code
                  : is_gone     ? MP_ERROR_CLOSED
                                : MP_ERROR_TIMEOUT,
                  0);
        MpOperatorCall_Fail(call, MP_ERROR_NO_QUORUM, NULL);
        return;
    }
    char nonce[MP_NONCE_BYTES];
    MpRpc_MakeNonce(nonce);
    char *submission = g_base64_encode((guchar *)nonce, sizeof(nonce));
    const struct mp_zone_drain order = {.submission = submission,
                                        .zone = call->zone,
                                        .is_drain = call->is_zone_drain,
                                        .has_base = true,
                                        .base_version = reply->zones_version};
    propose(call, &order, PROPOSE_TIMEOUT_MS, on_proposed);
    g_free(submission);
}

void
MpZoneOrder_Serve(struct MpOperatorCall *call)
{
    bool is_drain = false;
    struct MpControlClient *control = call->server->control;
    char *zone = parse_path(control->dialect, call->req->path, &is_drain);
    if (!MpSchema_IsName(zone)) {
        MpOperatorCall_Fail(call, MP_ERROR_INVALID,
                            "A zone has 1 to 64 letters, digits, '.', '-' or "
                            "'_'.");
        g_free(zone);
        return;
    }
    set_zone(call, zone, is_drain);
    g_free(zone);
    MpControlClient_ReadZones(control, MpLoop_Now() + READ_TIMEOUT_MS, on_read,
                              call);
}
