#ifndef MP_PROTOCOL_RPC_H
#define MP_PROTOCOL_RPC_H

#include "gen/wire.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Rpc - ONC RPC records (RFC 5531) between instances, authenticated by a MAC.
 *
 * A record consists of a record mark, an RPC call or reply in XDR, and a MAC
 * of MP_RPC_MAC_BYTES (truncated HMAC-SHA-256) over the direction, a sequence
 * number, the client's nonce (zeros in the first call) and the body.  The
 * first call on a connection is MP_PROC_HELLO: it exchanges nonces and is
 * authenticated by the fleet key.  All later records use a key derived for
 * that connection, so a record cannot be replayed, neither on another
 * connection nor on the same one.
 */

#define MP_RPC_MAC_BYTES 16
#define MP_RPC_KEY_BYTES 32
#define MP_RPC_RECORD_MAX (2 * MP_PAYLOAD_MAX)
#define MP_RPC_MARK_BYTES 4

/* Name and XDR codecs of one procedure. */
struct MpRpcProcedure {
    const char *name;
    xdrproc_t argument;
    size_t argument_size;
    xdrproc_t result;
    size_t result_size;
    bool is_one_way; /* has no reply */
};

/* Returns the procedure with this number, or NULL. */
const struct MpRpcProcedure *MpRpc_Procedure(uint32_t number);

/* Keys and sequence numbers of one end of a connection. */
struct MpRpcSession {
    uint8_t fleet_key[MP_RPC_KEY_BYTES];
    uint8_t key[MP_RPC_KEY_BYTES]; /* the fleet key until the hello call */
    uint8_t client_nonce[MP_NONCE_BYTES];
    uint64_t sent;     /* records sent */
    uint64_t received; /* valid records received */
    bool is_client;
    bool has_session_key; /* key was derived from both nonces */
};

/* Initializes one end of a connection; fleet_key has MP_RPC_KEY_BYTES. */
void MpRpcSession_Init(struct MpRpcSession *this, const uint8_t *fleet_key,
                       bool is_client);

/* Derives the key of the connection from the fleet key and both nonces. */
void MpRpcSession_SetKey(struct MpRpcSession *this, const char *client_nonce,
                         const char *server_nonce);

/* Fills nonce with MP_NONCE_BYTES of cryptographically secure random bytes. */
void MpRpc_MakeNonce(char *nonce);

/* Appends a call record to out.  Errors: MP_ERROR_TOO_LARGE. */
int MpRpc_AppendCall(struct MpRpcSession *session, GByteArray *out,
                     uint32_t xid, uint32_t procedure, const void *argument);

/* Appends a reply record to out; result NULL sends GARBAGE_ARGS, for an
 * unknown procedure or an invalid argument.  Errors: MP_ERROR_TOO_LARGE. */
int MpRpc_AppendReply(struct MpRpcSession *session, GByteArray *out,
                      uint32_t xid, uint32_t procedure, const void *result);

/* Returns the size of the record at data including its mark, 0 if the mark is
 * incomplete, or MP_ERROR_TOO_LARGE, also for a record in several fragments.
 */
int64_t MpRpc_RecordSize(const uint8_t *data, size_t size);

/* Verifies the MAC of a complete record and sets *body to the RPC message in
 * it.  Errors: MP_ERROR_AUTHENTICATION, MP_ERROR_CORRUPT. */
int MpRpc_Verify(struct MpRpcSession *session, const uint8_t *record,
                 size_t size, const uint8_t **body, size_t *body_size);

/* Header of an RPC message. */
struct MpRpcHeader {
    bool is_call;
    uint32_t xid;
    uint32_t procedure; /* set for a call; MpRpc_ReadHeader() sets 0 */
};

/* Decodes the header and the argument of a call; *argument is freed by
 * MpRpc_FreeArgument().  Fields at the end that an earlier build does not send
 * are zero or empty; so it is for results.  Errors: MP_ERROR_CORRUPT,
 * MP_ERROR_NOT_FOUND for an unknown procedure. */
int MpRpc_ReadCall(const uint8_t *body, size_t size,
                   struct MpRpcHeader *header, void **argument);

/* Decodes the message id and direction only.  Errors: MP_ERROR_CORRUPT. */
int MpRpc_ReadHeader(const uint8_t *body, size_t size,
                     struct MpRpcHeader *header);

/* Decodes the result of a reply to procedure; *result is freed by
 * MpRpc_FreeResult().  Errors: MP_ERROR_CORRUPT, also when the reply reports
 * an error. */
int MpRpc_ReadResult(const uint8_t *body, size_t size, uint32_t procedure,
                     void **result);

/* Returns the timeout of a connection attempt after a number of failed ones,
 * ms.  It is short, as the SYN to a machine that is still powered off is lost
 * and the kernel sends it again only after a second.  Each third attempt waits
 * longer, for a link on which packets queue: with short attempts only, a busy
 * machine would not reach anyone as long as the queue lasts. */
int64_t MpRpc_ConnectTimeout(uint32_t failed);

/* Free a decoded argument or result; NULL is ignored. */
void MpRpc_FreeArgument(uint32_t procedure, void *argument);
void MpRpc_FreeResult(uint32_t procedure, void *result);

#endif
