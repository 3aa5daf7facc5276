/* Tests of the RPC records between instances: encoding, authentication codes,
 * replay protection and size limits. */

#include "protocol/Rpc.h"
#include "state/Error.h"

#include <string.h>

struct fixture {
    struct MpRpcSession client;
    struct MpRpcSession server;
    GByteArray *wire;
};

static void
set_up(struct fixture *this, const void *data)
{
    uint8_t key[MP_RPC_KEY_BYTES];
    char client_nonce[MP_NONCE_BYTES];
    char server_nonce[MP_NONCE_BYTES];
    (void)data;
    memset(key, 5, sizeof(key));
    MpRpc_MakeNonce(client_nonce);
    MpRpc_MakeNonce(server_nonce);
    MpRpcSession_Init(&this->client, key, true);
    MpRpcSession_Init(&this->server, key, false);
    memcpy(this->client.client_nonce, client_nonce, MP_NONCE_BYTES);
    memcpy(this->server.client_nonce, client_nonce, MP_NONCE_BYTES);
    MpRpcSession_SetKey(&this->client, client_nonce, server_nonce);
    MpRpcSession_SetKey(&this->server, client_nonce, server_nonce);
    this->wire = g_byte_array_new();
}

static void
tear_down(struct fixture *this, const void *data)
{
    (void)data;
    g_byte_array_unref(this->wire);
}

static void
append_read_call(struct fixture *this)
{
    struct mp_read read = {.workspace = (char *)"w", .key = (char *)""};
    g_assert_cmpint(
        MpRpc_AppendCall(&this->client, this->wire, 7, MP_PROC_READ, &read),
        ==, MP_OK);
}

static int
verify_record(struct fixture *this, const uint8_t **body, size_t *size)
{
    int64_t length = MpRpc_RecordSize(this->wire->data, this->wire->len);
    g_assert_cmpint(length, ==, this->wire->len);
    return MpRpc_Verify(&this->server, this->wire->data, (size_t)length, body,
                        size);
}

static void
test_call(struct fixture *this, const void *data)
{
    const uint8_t *body;
    size_t size;
    struct MpRpcHeader head;
    void *argument;
    (void)data;
    append_read_call(this);
    g_assert_cmpint(verify_record(this, &body, &size), ==, MP_OK);
    g_assert_cmpint(MpRpc_ReadCall(body, size, &head, &argument), ==, MP_OK);
    g_assert_cmpuint(head.xid, ==, 7);
    g_assert_cmpuint(head.procedure, ==, MP_PROC_READ);
    g_assert_cmpstr(((struct mp_read *)argument)->workspace, ==, "w");
    MpRpc_FreeArgument(MP_PROC_READ, argument);
}

static void
test_replay(struct fixture *this, const void *data)
{
    const uint8_t *body;
    size_t size;
    (void)data;
    append_read_call(this);
    g_assert_cmpint(verify_record(this, &body, &size), ==, MP_OK);
    g_assert_cmpint(verify_record(this, &body, &size), ==,
                    MP_ERROR_AUTHENTICATION);
}

static void
test_tampered(struct fixture *this, const void *data)
{
    const uint8_t *body;
    size_t size;
    (void)data;
    append_read_call(this);
    for (guint i = MP_RPC_MARK_BYTES; i < this->wire->len; i++) {
        this->wire->data[i] ^= 1;
        g_assert_cmpint(verify_record(this, &body, &size), ==,
                        MP_ERROR_AUTHENTICATION);
        this->wire->data[i] ^= 1;
    }
    g_assert_cmpint(verify_record(this, &body, &size), ==, MP_OK);
}

static void
test_wrong_key(struct fixture *this, const void *data)
{
    const uint8_t *body;
    size_t size;
    (void)data;
    this->client.key[0] ^= 1;
    append_read_call(this);
    g_assert_cmpint(verify_record(this, &body, &size), ==,
                    MP_ERROR_AUTHENTICATION);
}

static void
test_sizes(void)
{
    const uint8_t oversized_mark[] = {0xff, 0xff, 0xff, 0xff};
    const uint8_t fragment_mark[] = {0x00, 0x00, 0x00, 0x10};
    g_assert_cmpint(MpRpc_RecordSize(oversized_mark, 3), ==, 0);
    g_assert_cmpint(MpRpc_RecordSize(oversized_mark, 4), ==,
                    MP_ERROR_TOO_LARGE);
    g_assert_cmpint(MpRpc_RecordSize(fragment_mark, 4), ==,
                    MP_ERROR_TOO_LARGE);
}

/* Sizes of the fields that were appended to messages, bytes. */
#define SYNC_ZONES_BYTES 8   /* zones_version */
#define SYNC_PEERS_BYTES 4   /* peers, empty */
#define REPLY_ZONES_BYTES 12 /* zones_version, zones, empty */
#define REPLY_BASES_BYTES 4  /* bases, empty; is_recorded of a read */

/* An instance of the build before sends messages without the fields that were
 * appended since; it was cut off when its messages did not decode. */
static void
test_shorter_message(struct fixture *this, const void *data)
{
    const struct mp_sync sync = {
        .incarnation = {.instance = (char *)"i0", .boot = 3},
        .document_version = 7,
        .peers = (char *)""};
    const uint8_t *body;
    size_t size;
    struct MpRpcHeader head;
    void *argument;
    (void)data;
    g_assert_cmpint(
        MpRpc_AppendCall(&this->client, this->wire, 9, MP_PROC_SYNC, &sync),
        ==, MP_OK);
    g_assert_cmpint(verify_record(this, &body, &size), ==, MP_OK);
    const size_t missing[] = {SYNC_ZONES_BYTES,
                              SYNC_ZONES_BYTES + SYNC_PEERS_BYTES};
    for (size_t i = 0; i < G_N_ELEMENTS(missing); i++) {
        g_assert_cmpint(
            MpRpc_ReadCall(body, size - missing[i], &head, &argument), ==,
            MP_OK);
        const struct mp_sync *decoded = argument;
        g_assert_cmpstr(decoded->incarnation.instance, ==, "i0");
        g_assert_cmpuint(decoded->document_version, ==, 7);
        g_assert_cmpstr(decoded->peers, ==, "");
        g_assert_cmpuint(decoded->zones_version, ==, 0);
        MpRpc_FreeArgument(MP_PROC_SYNC, argument);
    }
}

/* The same for the replies of a leader of the build before. */
static void
test_shorter_reply(struct fixture *this, const void *data)
{
    struct mp_zone zone = {.name = (char *)"a"};
    struct mp_sync_reply sync = {.leader = (char *)"l", .document_version = 7};
    struct mp_read_reply read = {
        .leader = (char *)"l", .author = (char *)"", .document = (char *)""};
    const uint32_t procedures[] = {MP_PROC_SYNC, MP_PROC_READ};
    const void *replies[] = {&sync, &read};
    (void)data;
    for (size_t i = 0; i < G_N_ELEMENTS(procedures); i++) {
        const uint8_t *body;
        size_t size;
        void *result;
        g_byte_array_set_size(this->wire, 0);
        g_assert_cmpint(MpRpc_AppendReply(&this->server, this->wire, 1,
                                          procedures[i], replies[i]),
                        ==, MP_OK);
        g_assert_cmpint(MpRpc_Verify(&this->client, this->wire->data,
                                     this->wire->len, &body, &size),
                        ==, MP_OK);
        const size_t missing[] = {REPLY_BASES_BYTES,
                                  REPLY_BASES_BYTES + REPLY_ZONES_BYTES};
        for (size_t k = 0; k < G_N_ELEMENTS(missing); k++) {
            g_assert_cmpint(MpRpc_ReadResult(body, size - missing[k],
                                             procedures[i], &result),
                            ==, MP_OK);
            if (procedures[i] == MP_PROC_SYNC) {
                const struct mp_sync_reply *decoded = result;
                g_assert_cmpuint(decoded->document_version, ==, 7);
                g_assert_cmpuint(decoded->zones_version, ==, 0);
                g_assert_cmpuint(decoded->zones.zones_len, ==, 0);
                g_assert_cmpuint(decoded->bases.bases_len, ==, 0);
            }
            MpRpc_FreeResult(procedures[i], result);
        }
    }
    sync.zones_version = 9;
    sync.zones.zones_len = 1;
    sync.zones.zones_val = &zone;
    g_byte_array_set_size(this->wire, 0);
    g_assert_cmpint(
        MpRpc_AppendReply(&this->server, this->wire, 1, MP_PROC_SYNC, &sync),
        ==, MP_OK);
    const uint8_t *body;
    size_t size;
    void *result;
    g_assert_cmpint(MpRpc_Verify(&this->client, this->wire->data,
                                 this->wire->len, &body, &size),
                    ==, MP_OK);
    g_assert_cmpint(MpRpc_ReadResult(body, size, MP_PROC_SYNC, &result), ==,
                    MP_OK);
    g_assert_cmpuint(((struct mp_sync_reply *)result)->zones_version, ==, 9);
    g_assert_cmpstr(((struct mp_sync_reply *)result)->zones.zones_val[0].name,
                    ==, "a");
    MpRpc_FreeResult(MP_PROC_SYNC, result);
}

/* The state of 55,000 workspaces, the largest supported fleet, fits into one
 * record. */
static void
test_large_state(struct fixture *this, const void *data)
{
    const u_int count = 55000;
    struct mp_account_status *list = g_new0(struct mp_account_status, count);
    struct mp_read_reply reply = {
        .leader = (char *)"", .author = (char *)"", .document = (char *)""};
    char name[MP_NAME_MAX + 1];
    (void)data;
    memset(name, 'w', MP_NAME_MAX);
    name[MP_NAME_MAX] = '\0';
    for (u_int i = 0; i < count; i++) {
        list[i].workspace = name;
    }
    reply.accounts.accounts_len = count;
    reply.accounts.accounts_val = list;
    g_assert_cmpint(
        MpRpc_AppendReply(&this->server, this->wire, 1, MP_PROC_READ, &reply),
        ==, MP_OK);
    g_free(list);
}

/* On a link on which packets wait for 400 ms, no connection is made within the
 * short timeout, however often it is tried; a machine that is off must still
 * be tried often. */
static void
test_connects_over_slow_link(void)
{
    const int64_t slow_link_ms = 2 * 400;
    bool is_connected = false;
    int64_t spent_ms = 0;
    for (uint32_t failed = 0; failed < 3; failed++) {
        is_connected |= MpRpc_ConnectTimeout(failed) > slow_link_ms;
        spent_ms += MpRpc_ConnectTimeout(failed);
    }
    g_assert_true(is_connected);
    g_assert_cmpint(spent_ms, <=, 2000);
    g_assert_cmpint(MpRpc_ConnectTimeout(0), <, 500);
}

#define CASE(name, function)                                                  \
    g_test_add("/rpc/" name, struct fixture, NULL, set_up, function, tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    CASE("a call is decoded", test_call);
    CASE("a record is accepted once", test_replay);
    CASE("a modified record is refused", test_tampered);
    CASE("a wrong key is refused", test_wrong_key);
    CASE("a large state fits", test_large_state);
    CASE("a message without the last fields is decoded", test_shorter_message);
    CASE("reply of the build before", test_shorter_reply);
    g_test_add_func("/rpc/sizes are bounded", test_sizes);
    g_test_add_func("/rpc/a slow link can be connected over",
                    test_connects_over_slow_link);
    return g_test_run();
}
