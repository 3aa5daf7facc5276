#include "protocol/Rpc.h"

#include "state/Error.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <string.h>

#define RPC_VERSION 2
#define LAST_FRAGMENT UINT32_C(0x80000000)
#define PROCEDURE_COUNT 12
#define SHA256_BYTES 32
/* Fields that later builds append to a message take at most this much when
 * they are zero or empty, bytes. */
#define APPENDED_MAX_BYTES 64

/* XDR codec of empty arguments and results. */
static bool_t
xdr_empty(XDR *xdr, ...)
{
    (void)xdr;
    return TRUE;
}

static const struct MpRpcProcedure procedures[PROCEDURE_COUNT] = {
    [0] = {.name = "null", .argument = xdr_empty, .result = xdr_empty},
    [MP_PROC_HELLO] = {.name = "hello",
                       .argument = (xdrproc_t)xdr_mp_hello,
                       .argument_size = sizeof(struct mp_hello),
                       .result = (xdrproc_t)xdr_mp_hello,
                       .result_size = sizeof(struct mp_hello)},
    [MP_PROC_PROPOSE] = {.name = "propose",
                         .argument = (xdrproc_t)xdr_mp_propose,
                         .argument_size = sizeof(struct mp_propose),
                         .result = (xdrproc_t)xdr_mp_propose_reply,
                         .result_size = sizeof(struct mp_propose_reply)},
    [MP_PROC_SYNC] = {.name = "sync",
                      .argument = (xdrproc_t)xdr_mp_sync,
                      .argument_size = sizeof(struct mp_sync),
                      .result = (xdrproc_t)xdr_mp_sync_reply,
                      .result_size = sizeof(struct mp_sync_reply)},
    [MP_PROC_IDENTIFY] = {.name = "identify",
                          .argument = (xdrproc_t)xdr_mp_identify,
                          .argument_size = sizeof(struct mp_identify),
                          .result = (xdrproc_t)xdr_mp_identify_reply,
                          .result_size = sizeof(struct mp_identify_reply)},
    [MP_PROC_READ] = {.name = "read",
                      .argument = (xdrproc_t)xdr_mp_read,
                      .argument_size = sizeof(struct mp_read),
                      .result = (xdrproc_t)xdr_mp_read_reply,
                      .result_size = sizeof(struct mp_read_reply)},
    [MP_PROC_RAFT] = {.name = "raft",
                      .argument = (xdrproc_t)xdr_mp_raft_message,
                      .argument_size = sizeof(struct mp_raft_message),
                      .result = xdr_empty,
                      .is_one_way = true},
    [MP_PROC_FETCH] = {.name = "fetch",
                       .argument = (xdrproc_t)xdr_mp_fetch,
                       .argument_size = sizeof(struct mp_fetch),
                       .result = (xdrproc_t)xdr_mp_fetch_reply,
                       .result_size = sizeof(struct mp_fetch_reply)},
    [MP_PROC_LEND] = {.name = "lend",
                      .argument = (xdrproc_t)xdr_mp_lend,
                      .argument_size = sizeof(struct mp_lend),
                      .result = (xdrproc_t)xdr_mp_lend_reply,
                      .result_size = sizeof(struct mp_lend_reply)},
    [MP_PROC_REPAY] = {.name = "repay",
                       .argument = (xdrproc_t)xdr_mp_repay,
                       .argument_size = sizeof(struct mp_repay),
                       .result = (xdrproc_t)xdr_mp_repay_reply,
                       .result_size = sizeof(struct mp_repay_reply)},
    [MP_PROC_PERMIT] = {.name = "permit",
                        .argument = (xdrproc_t)xdr_mp_permit,
                        .argument_size = sizeof(struct mp_permit),
                        .result = (xdrproc_t)xdr_mp_permit_reply,
                        .result_size = sizeof(struct mp_permit_reply)},
    [MP_PROC_TUNNEL] = {.name = "tunnel",
                        .argument = (xdrproc_t)xdr_mp_tunnel,
                        .argument_size = sizeof(struct mp_tunnel),
                        .result = (xdrproc_t)xdr_mp_tunnel_reply,
                        .result_size = sizeof(struct mp_tunnel_reply)},
};

/* Timeout of a connection attempt, ms: a round trip between regions, with a
 * margin for a busy machine. */
#define CONNECT_TIMEOUT_MS 300
/* The same over a link on which packets wait for their turn, ms. */
#define SLOW_CONNECT_TIMEOUT_MS 1200
#define SLOW_CONNECT_EACH 3

int64_t
MpRpc_ConnectTimeout(uint32_t failed)
{
    bool is_slow = failed % SLOW_CONNECT_EACH == SLOW_CONNECT_EACH - 1;
    return is_slow ? SLOW_CONNECT_TIMEOUT_MS : CONNECT_TIMEOUT_MS;
}

const struct MpRpcProcedure *
MpRpc_Procedure(uint32_t number)
{
    return number < PROCEDURE_COUNT ? &procedures[number] : NULL;
}

/* ---- authentication ---- */

void
MpRpcSession_Init(struct MpRpcSession *this, const uint8_t *fleet_key,
                  bool is_client)
{
    *this = (struct MpRpcSession){.is_client = is_client};
    memcpy(this->fleet_key, fleet_key, MP_RPC_KEY_BYTES);
    memcpy(this->key, fleet_key, MP_RPC_KEY_BYTES);
}

void
MpRpcSession_SetKey(struct MpRpcSession *this, const char *client_nonce,
                    const char *server_nonce)
{
    uint8_t nonces[2 * MP_NONCE_BYTES];
    uint8_t digest[SHA256_BYTES];
    unsigned int length = sizeof(digest);
    memcpy(nonces, client_nonce, MP_NONCE_BYTES);
    memcpy(nonces + MP_NONCE_BYTES, server_nonce, MP_NONCE_BYTES);
    HMAC(EVP_sha256(), this->fleet_key, MP_RPC_KEY_BYTES, nonces,
         sizeof(nonces), digest, &length);
    memcpy(this->key, digest, MP_RPC_KEY_BYTES);
    this->has_session_key = true;
}

void
MpRpc_MakeNonce(char *nonce)
{
    if (RAND_bytes((unsigned char *)nonce, MP_NONCE_BYTES) != 1) {
        g_error("cannot get random bytes from the operating system");
    }
}

static void
compute_mac(const struct MpRpcSession *session, bool from_client,
            uint64_t sequence, const uint8_t *body, size_t size, uint8_t *mac)
{
    struct {
        uint64_t sequence;
        uint64_t from_client;
        char client_nonce[MP_NONCE_BYTES];
    } header = {.sequence = GUINT64_TO_BE(sequence),
                .from_client = from_client};
    memcpy(header.client_nonce, session->client_nonce, MP_NONCE_BYTES);
    uint8_t digest[SHA256_BYTES];
    unsigned int length = sizeof(digest);
    GByteArray *text = g_byte_array_sized_new((guint)(sizeof(header) + size));
    g_byte_array_append(text, (const guint8 *)&header, sizeof(header));
    g_byte_array_append(text, body, (guint)size);
    HMAC(EVP_sha256(), session->key, MP_RPC_KEY_BYTES, text->data, text->len,
         digest, &length);
    g_byte_array_unref(text);
    memcpy(mac, digest, MP_RPC_MAC_BYTES);
}

int64_t
MpRpc_RecordSize(const uint8_t *data, size_t size)
{
    uint32_t mark;
    if (size < sizeof(mark)) {
        return 0;
    }
    memcpy(&mark, data, sizeof(mark));
    mark = GUINT32_FROM_BE(mark);
    uint32_t length = mark & ~LAST_FRAGMENT;
    if (!(mark & LAST_FRAGMENT) || length > MP_RPC_RECORD_MAX) {
        return MP_ERROR_TOO_LARGE;
    }
    return (int64_t)length + MP_RPC_MARK_BYTES;
}

int
MpRpc_Verify(struct MpRpcSession *session, const uint8_t *record, size_t size,
             const uint8_t **body, size_t *body_size)
{
    uint8_t mac[MP_RPC_MAC_BYTES];
    if (size < MP_RPC_MARK_BYTES + MP_RPC_MAC_BYTES) {
        return MP_ERROR_CORRUPT;
    }
    *body = record + MP_RPC_MARK_BYTES;
    *body_size = size - MP_RPC_MARK_BYTES - MP_RPC_MAC_BYTES;
    compute_mac(session, !session->is_client, session->received, *body,
                *body_size, mac);
    if (CRYPTO_memcmp(mac, *body + *body_size, MP_RPC_MAC_BYTES) != 0) {
        return MP_ERROR_AUTHENTICATION;
    }
    session->received++;
    return MP_OK;
}

/* ---- encoding ---- */

/* Appends the MAC and fills in the record mark of the record at start. */
static void
finish_record(struct MpRpcSession *session, GByteArray *out, guint start)
{
    uint8_t mac[MP_RPC_MAC_BYTES];
    guint size = out->len - start - MP_RPC_MARK_BYTES;
    compute_mac(session, session->is_client, session->sent,
                out->data + start + MP_RPC_MARK_BYTES, size, mac);
    session->sent++;
    g_byte_array_append(out, mac, sizeof(mac));
    uint32_t mark = GUINT32_TO_BE(LAST_FRAGMENT | (size + MP_RPC_MAC_BYTES));
    memcpy(out->data + start, &mark, sizeof(mark));
}

/* Appends a record with message, followed by body if body_proc is not NULL. */
static int
append_record(struct MpRpcSession *session, GByteArray *out,
              xdrproc_t message_proc, void *message, xdrproc_t body_proc,
              void *body)
{
    XDR xdr;
    guint start = out->len;
    unsigned long size = xdr_sizeof(message_proc, message);
    if (body_proc) {
        size += xdr_sizeof(body_proc, body);
    }
    if (size > MP_RPC_RECORD_MAX - MP_RPC_MAC_BYTES) {
        return MP_ERROR_TOO_LARGE;
    }
    g_byte_array_set_size(out, (guint)(start + MP_RPC_MARK_BYTES + size));
    xdrmem_create(&xdr, (char *)out->data + start + MP_RPC_MARK_BYTES,
                  (u_int)size, XDR_ENCODE);
    bool ok =
        message_proc(&xdr, message) && (!body_proc || body_proc(&xdr, body));
    xdr_destroy(&xdr);
    if (!ok) {
        g_byte_array_set_size(out, start);
        return MP_ERROR_TOO_LARGE;
    }
    finish_record(session, out, start);
    return MP_OK;
}

int
MpRpc_AppendCall(struct MpRpcSession *session, GByteArray *out, uint32_t xid,
                 uint32_t procedure, const void *argument)
{
    struct rpc_msg message = {.rm_xid = xid, .rm_direction = CALL};
    message.rm_call.cb_rpcvers = RPC_VERSION;
    message.rm_call.cb_prog = MIMOSAPATH_PROGRAM;
    message.rm_call.cb_vers = MIMOSAPATH_V1;
    message.rm_call.cb_proc = procedure;
    return append_record(session, out, (xdrproc_t)xdr_callmsg, &message,
                         procedures[procedure].argument, (void *)argument);
}

int
MpRpc_AppendReply(struct MpRpcSession *session, GByteArray *out, uint32_t xid,
                  uint32_t procedure, const void *result)
{
    struct rpc_msg message = {.rm_xid = xid, .rm_direction = REPLY};
    message.rm_reply.rp_stat = MSG_ACCEPTED;
    message.acpted_rply.ar_stat = result ? SUCCESS : GARBAGE_ARGS;
    message.acpted_rply.ar_results.where = (caddr_t)result;
    message.acpted_rply.ar_results.proc = procedures[procedure].result;
    return append_record(session, out, (xdrproc_t)xdr_replymsg, &message, NULL,
                         NULL);
}

/* ---- decoding ---- */

int
MpRpc_ReadHeader(const uint8_t *body, size_t size, struct MpRpcHeader *header)
{
    uint32_t words[2];
    if (size < sizeof(words)) {
        return MP_ERROR_CORRUPT;
    }
    memcpy(words, body, sizeof(words));
    header->xid = GUINT32_FROM_BE(words[0]);
    header->is_call = GUINT32_FROM_BE(words[1]) == CALL;
    header->procedure = 0;
    return MP_OK;
}

/* Reads a call from size bytes at body; see MpRpc_ReadCall. */
static int
read_call(const uint8_t *body, size_t size, struct MpRpcHeader *header,
          void **argument)
{
    XDR xdr;
    char credentials[2][MAX_AUTH_BYTES];
    struct rpc_msg message = {.rm_xid = 0};
    message.rm_call.cb_cred.oa_base = credentials[0];
    message.rm_call.cb_verf.oa_base = credentials[1];
    *argument = NULL;
    xdrmem_create(&xdr, (char *)body, (u_int)size, XDR_DECODE);
    if (!xdr_callmsg(&xdr, &message)) {
        return MP_ERROR_CORRUPT;
    }
    header->is_call = true;
    header->xid = message.rm_xid;
    header->procedure = message.rm_call.cb_proc;
    const struct MpRpcProcedure *procedure =
        MpRpc_Procedure(header->procedure);
    if (!procedure || message.rm_call.cb_prog != MIMOSAPATH_PROGRAM ||
        message.rm_call.cb_vers != MIMOSAPATH_V1) {
        return MP_ERROR_NOT_FOUND;
    }
    *argument = g_malloc0(procedure->argument_size + 1);
    if (!procedure->argument(&xdr, *argument)) {
        MpRpc_FreeArgument(header->procedure, *argument);
        *argument = NULL;
        return MP_ERROR_CORRUPT;
    }
    return MP_OK;
}

/* Reads a reply from size bytes at body; see MpRpc_ReadResult. */
static int
read_result(const uint8_t *body, size_t size, uint32_t number, void **result)
{
    XDR xdr;
    char verifier[MAX_AUTH_BYTES];
    const struct MpRpcProcedure *procedure = MpRpc_Procedure(number);
    struct rpc_msg message = {.rm_xid = 0};
    message.acpted_rply.ar_verf.oa_base = verifier;
    *result = g_malloc0(procedure->result_size + 1);
    message.acpted_rply.ar_results.where = *result;
    message.acpted_rply.ar_results.proc = procedure->result;
    xdrmem_create(&xdr, (char *)body, (u_int)size, XDR_DECODE);
    if (!xdr_replymsg(&xdr, &message) ||
        message.rm_reply.rp_stat != MSG_ACCEPTED ||
        message.acpted_rply.ar_stat != SUCCESS) {
        MpRpc_FreeResult(number, *result);
        *result = NULL;
        return MP_ERROR_CORRUPT;
    }
    return MP_OK;
}

/* Returns a copy of body followed by zero bytes, which XDR decodes as zero or
 * empty values of the fields that an earlier build did not append. */
static uint8_t *
extend(const uint8_t *body, size_t size)
{
    uint8_t *extended = g_malloc0(size + APPENDED_MAX_BYTES);
    memcpy(extended, body, size);
    return extended;
}

int
MpRpc_ReadCall(const uint8_t *body, size_t size, struct MpRpcHeader *header,
               void **argument)
{
    int code = read_call(body, size, header, argument);
    if (code == MP_ERROR_CORRUPT) {
        uint8_t *extended = extend(body, size);
        code =
            read_call(extended, size + APPENDED_MAX_BYTES, header, argument);
        g_free(extended);
    }
    return code;
}

int
MpRpc_ReadResult(const uint8_t *body, size_t size, uint32_t number,
                 void **result)
{
    int code = read_result(body, size, number, result);
    if (code == MP_ERROR_CORRUPT) {
        uint8_t *extended = extend(body, size);
        code =
            read_result(extended, size + APPENDED_MAX_BYTES, number, result);
        g_free(extended);
    }
    return code;
}

void
MpRpc_FreeArgument(uint32_t procedure, void *argument)
{
    if (argument) {
        xdr_free(procedures[procedure].argument, argument);
        g_free(argument);
    }
}

void
MpRpc_FreeResult(uint32_t procedure, void *result)
{
    if (result) {
        xdr_free(procedures[procedure].result, result);
        g_free(result);
    }
}
