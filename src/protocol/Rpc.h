#ifndef MP_PROTOCOL_RPC_H
#define MP_PROTOCOL_RPC_H

#include "gen/wire.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Rpc - ONC RPC records between instances, with message codes.
 *
 * A record is a record mark, an RPC call or reply in XDR, and a code of
 * MP_RPC_MAC_BYTES over direction, sequence number and body.  The first call
 * on a connection is MP_PROC_HELLO, which exchanges nonces under the fleet
 * key; all later records use a key of that connection, so that no record can
 * be replayed on another connection or twice on the same one.
 */

#define MP_RPC_MAC_BYTES 16
#define MP_RPC_KEY_BYTES 32
#define MP_RPC_RECORD_MAX (2 * MP_PAYLOAD_MAX)
#define MP_RPC_MARK_BYTES 4

/* Codecs of one procedure. */
struct MpRpcProcedure {
    const char *name;
    xdrproc_t argument;
    size_t argument_size;
    xdrproc_t result;
    size_t result_size;
    bool one_way; /* sent in a batch, never answered */
};

/* Returns the procedure with number, or NULL. */
const struct MpRpcProcedure *MpRpc_Procedure(uint32_t number);

/* Keys and counters of one connection, from one end. */
struct MpRpcSession {
    uint8_t fleet_key[MP_RPC_KEY_BYTES];
    uint8_t key[MP_RPC_KEY_BYTES];
    uint8_t client_nonce[MP_NONCE_BYTES];
    uint64_t sent;
    uint64_t received;
    bool is_client;
    bool is_keyed; /* the nonces were exchanged */
};

/* Prepares one end; fleet_key has MP_RPC_KEY_BYTES. */
void MpRpcSession_Init(struct MpRpcSession *this, const uint8_t *fleet_key,
                       bool is_client);

/* Derives the key of the connection from both nonces. */
void MpRpcSession_SetKey(struct MpRpcSession *this, const char *client_nonce,
                         const char *server_nonce);

/* Fills nonce with unpredictable bytes. */
void MpRpc_MakeNonce(char *nonce);

/* Appends a call to out.  Errors: MP_ERROR_TOO_LARGE. */
int MpRpc_AppendCall(struct MpRpcSession *session, GByteArray *out,
                     uint32_t xid, uint32_t procedure, const void *argument);

/* Appends the reply to a call; result NULL says that the procedure or its
 * argument was not understood. */
int MpRpc_AppendReply(struct MpRpcSession *session, GByteArray *out,
                      uint32_t xid, uint32_t procedure, const void *result);

/* Returns the size of the record at data, with its mark, 0 while the mark is
 * incomplete, or MP_ERROR_TOO_LARGE. */
int64_t MpRpc_RecordSize(const uint8_t *data, size_t size);

/* Checks the code of a whole record and points body at the RPC message.
 * Errors: MP_ERROR_AUTHENTICATION, MP_ERROR_CORRUPT. */
int MpRpc_Verify(struct MpRpcSession *session, const uint8_t *record,
                 size_t size, const uint8_t **body, size_t *body_size);

/* Head of a message. */
struct MpRpcHeader {
    bool is_call;
    uint32_t xid;
    uint32_t procedure; /* of a call */
};

/* Reads the head of body and its argument, for a call, into a new object.
 * Errors: MP_ERROR_CORRUPT, MP_ERROR_NOT_FOUND for an unknown procedure. */
int MpRpc_ReadCall(const uint8_t *body, size_t size, struct MpRpcHeader *head,
                   void **argument);
int MpRpc_ReadHeader(const uint8_t *body, size_t size,
                     struct MpRpcHeader *head);

/* Reads the result of a reply to procedure into a new object. */
int MpRpc_ReadResult(const uint8_t *body, size_t size, uint32_t procedure,
                     void **result);

/* Frees an argument or a result. */
void MpRpc_FreeArgument(uint32_t procedure, void *argument);
void MpRpc_FreeResult(uint32_t procedure, void *result);

#endif
