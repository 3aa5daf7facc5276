#include "transport/NumberedDocument.h"

#include "state/Error.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <string.h>

/* Operators try another instance after 1 s; the proposal continues for
 * PUT_TIMEOUT_MS. */
#define PUT_TIMEOUT_MS 3000
#define GET_TIMEOUT_MS 900

static const struct MpDialect *
get_dialect(const struct MpOperatorServer *server)
{
    return server->control->dialect;
}

static bool
is_request(const h2o_req_t *req, const char *method, const char *path)
{
    return path && MpHttp_Equals(req->method, method) &&
           MpHttp_Equals(req->path, path);
}

bool
MpNumberedDocument_Matches(const struct MpOperatorServer *server,
                           const h2o_req_t *req)
{
    const struct MpDialect *dialect = get_dialect(server);
    return dialect->has_numbered_documents &&
           (is_request(req, "POST", dialect->put_document_path) ||
            is_request(req, "GET", dialect->get_document_path));
}

/* ---- reading ---- */

static void
on_read(void *data, int code, const struct mp_read_reply *reply)
{
    struct MpOperatorCall *call = data;
    if (code == MP_OK && reply->document_version == 0) {
        code = MP_ERROR_NOT_READY;
    }
    MpLog_Event(code == MP_OK ? LOG_INFO : LOG_WARNING, "document-read",
                "error=%s version=%" PRIu64, MpError_Name(code),
                code == MP_OK ? (uint64_t)reply->document_version : 0);
    if (code != MP_OK) {
        MpOperatorCall_Fail(call, MP_ERROR_NOT_READY, NULL);
        return;
    }
    MpOperatorCall_Send(call, 200, "application/json", reply->document);
}

/* ---- submitting ---- */

static void
on_put(void *data, int code, const struct mp_result *result)
{
    struct MpOperatorCall *call = data;
    if (code == MP_OK) {
        code = result->code;
    }
    MpLog_Event(code == MP_OK ? LOG_NOTICE : LOG_WARNING, "document-submitted",
                "error=%s version=%" PRIu64 " in_force=%" PRIu64,
                MpError_Name(code), call->document_version,
                code == MP_OK ? (uint64_t)result->number : 0);
    if (code != MP_OK) {
        /* The outcome is unknown; this error makes the operator resend. */
        MpOperatorCall_Fail(call, MP_ERROR_NO_QUORUM, NULL);
        return;
    }
    char *text =
        g_strdup_printf("{\"version\":%" PRIu64 "}", call->document_version);
    MpOperatorCall_Send(call, 200, "application/json", text);
    g_free(text);
}

static void
propose(struct MpOperatorCall *call, const struct MpDocument *document)
{
    struct mp_command command = {.body = {.kind = MP_CMD_DOCUMENT}};
    struct mp_document_put *put = &command.body.mp_command_body_u.document;
    char *submission = g_strdup_printf("number-%" PRIu64, document->version);
    *put =
        (struct mp_document_put){.submission = submission,
                                 .author = (char *)"",
                                 .number = document->version,
                                 .retention_ms = document->retention_s * 1000,
                                 .text = call->document_text};
    put->grants.grants_val =
        MpDocument_ListGrants(document, &put->grants.grants_len);
    call->document_version = document->version;
    call->is_proposed = true;
    MpControlClient_Propose(call->server->control, &command,
                            MpLoop_Now() + PUT_TIMEOUT_MS, on_put, call);
    g_free(put->grants.grants_val);
    g_free(submission);
}

static void
refuse(struct MpOperatorCall *call, const GPtrArray *findings)
{
    char *text = MpFindings_Format(findings, "document");
    MpLog_Event(LOG_WARNING, "document-refused", "findings=%u first=%s",
                findings->len,
                ((struct MpFinding *)g_ptr_array_index(findings, 0))->text);
    MpOperatorCall_Fail(call, MP_ERROR_INVALID, text);
    g_free(text);
}

static void
put_document(struct MpOperatorCall *call)
{
    h2o_iovec_t body = call->req->entity;
    GPtrArray *findings = MpFindings_New();
    call->document_text = g_strndup(body.len ? body.base : "", body.len);
    struct MpDocument *document =
        get_dialect(call->server)
            ->parse_document(call->document_text, body.len, findings);
    if (document) {
        propose(call, document);
        MpDocument_Unref(document);
    }
    else {
        refuse(call, findings);
    }
    g_ptr_array_unref(findings);
}

void
MpNumberedDocument_Serve(struct MpOperatorCall *call)
{
    if (MpHttp_Equals(call->req->method, "GET")) {
        MpControlClient_ReadDocument(call->server->control, 0,
                                     MpLoop_Now() + GET_TIMEOUT_MS, on_read,
                                     call);
        return;
    }
    put_document(call);
}
