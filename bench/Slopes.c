#include "MemoryDisk.h"

#include "protocol/Rpc.h"
#include "state/Codec.h"
#include "state/Document.h"
#include "state/Error.h"
#include "state/Machine.h"
#include "state/Storage.h"

#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>

/*
 * Slopes - what one more of each thing costs a control replica or an
 * instance: bytes in memory, in a snapshot, in the log and on the wire, and
 * processor time.  The figures feed docs/CAPACITY.md.
 */

#define ACCOUNTS 55000
#define RECORDS 200000
#define LEASES 55000
#define WORKSPACES 31000
#define TARGETS 820
#define LOG_ENTRIES 50000

static void
print(const char *name, double value, const char *unit)
{
    printf("slope %-32s %12.2f %s\n", name, value, unit);
}

static size_t
memory(void)
{
    return mallinfo2().uordblks + mallinfo2().hblkhd;
}

static double
now_us(void)
{
    return (double)g_get_monotonic_time();
}

static void
apply(struct MpMachine *machine, struct mp_command *command)
{
    struct mp_result result;
    MpMachine_Apply(machine, machine->applied + 1, command, &result);
    if (result.code != MP_OK) {
        fprintf(stderr, "a command failed: %s\n", MpError_Name(result.code));
        exit(1);
    }
}

/* ---- ledger ---- */

static void
add_account(struct MpMachine *machine, int number)
{
    char name[32];
    char id[32];
    struct mp_command command = {.body = {.kind = MP_CMD_TOPUP}};
    snprintf(name, sizeof(name), "workspace-%d", number);
    snprintf(id, sizeof(id), "topup-%d", number);
    command.body.mp_command_body_u.topup = (struct mp_topup){
        .workspace = name, .topup_id = id, .amount_mtok = 1000000000};
    apply(machine, &command);
}

static struct mp_incarnation
holder(void)
{
    return (struct mp_incarnation){.instance = (char *)"moka-a-1", .boot = 1};
}

static void
fill_open(struct mp_command *command, char *key, char *workspace, int number)
{
    snprintf(key, 48, "0b8e2f6c-6f1d-4f0a-9a55-%012d", number);
    snprintf(workspace, 32, "workspace-%d", number % ACCOUNTS);
    *command = (struct mp_command){.at_ms = 1, .body = {.kind = MP_CMD_OPEN}};
    command->body.mp_command_body_u.open =
        (struct mp_open){.incarnation = holder(),
                         .workspace = workspace,
                         .key = key,
                         .reserve_mtok = 1000,
                         .open_id = (uint64_t)number + 1};
}

static void
fill_settle(struct mp_command *command, char *key, char *workspace, int number)
{
    *command =
        (struct mp_command){.at_ms = 1, .body = {.kind = MP_CMD_SETTLE}};
    command->body.mp_command_body_u.settle =
        (struct mp_settle){.incarnation = holder(),
                           .workspace = workspace,
                           .key = key,
                           .open_id = (uint64_t)number + 1,
                           .spent_mtok = 500,
                           .outcome = MP_RECORD_DONE,
                           .status = 200,
                           .content_type = (char *)""};
}

static void
measure_ledger(struct MpMachine *machine)
{
    struct mp_command command = {.body = {.kind = MP_CMD_REGISTER}};
    char key[48];
    char workspace[32];
    command.body.mp_command_body_u.reg =
        (struct mp_register){.instance = (char *)"moka-a-1",
                             .nonce = 1,
                             .address = (char *)"",
                             .zone = (char *)""};
    apply(machine, &command);
    size_t before = memory();
    for (int i = 0; i < ACCOUNTS; i++) {
        add_account(machine, i);
    }
    print("memory per budget", (double)(memory() - before) / ACCOUNTS,
          "bytes (its top-up id included)");
    before = memory();
    double began = now_us();
    for (int i = 0; i < RECORDS; i++) {
        fill_open(&command, key, workspace, i);
        apply(machine, &command);
        fill_settle(&command, key, workspace, i);
        apply(machine, &command);
    }
    print("apply per request", (now_us() - began) / RECORDS,
          "us (open and settle)");
    print("memory per record", (double)(memory() - before) / RECORDS,
          "bytes (kept for the retention time)");
    before = memory();
    for (int i = 0; i < LEASES; i++) {
        struct mp_command lease = {.body = {.kind = MP_CMD_LEASE}};
        snprintf(workspace, sizeof(workspace), "workspace-%d", i);
        lease.body.mp_command_body_u.lease =
            (struct mp_lease){.incarnation = holder(),
                              .workspace = workspace,
                              .seq = 1,
                              .amount_mtok = 1000};
        apply(machine, &lease);
    }
    print("memory per lease", (double)(memory() - before) / LEASES, "bytes");
}

static void
measure_snapshot(struct MpMachine *machine)
{
    double began = now_us();
    GBytes *bytes = MpMachine_Save(machine);
    double saved = now_us();
    gsize size;
    const void *data = g_bytes_get_data(bytes, &size);
    struct MpMachine other;
    MpMachine_Init(&other);
    MpMachine_Load(&other, data, size);
    double loaded = now_us();
    print("snapshot bytes", (double)size / 1e6,
          "MB at 55,000 budgets, "
          "200,000 records");
    print("snapshot save per record", (saved - began) / RECORDS, "us");
    print("snapshot load per record", (loaded - saved) / RECORDS, "us");
    MpMachine_Done(&other);
    g_bytes_unref(bytes);
}

static void
measure_budgets_alone(void)
{
    struct MpMachine machine;
    size_t before = memory();
    MpMachine_Init(&machine);
    for (int i = 0; i < ACCOUNTS; i++) {
        add_account(&machine, i);
    }
    GBytes *bytes = MpMachine_Save(&machine);
    print("budgets snapshot", (double)g_bytes_get_size(bytes) / ACCOUNTS,
          "bytes per budget");
    g_bytes_unref(bytes);
    print("memory of 55,000 budgets", (double)(memory() - before) / 1e6, "MB");
    MpMachine_Done(&machine);
}

/* ---- wire and log ---- */

static void
measure_wire(void)
{
    struct MpRpcSession session;
    uint8_t fleet_key[MP_RPC_KEY_BYTES] = {1};
    char key[48];
    char workspace[32];
    struct mp_command command;
    struct mp_propose propose;
    struct mp_propose_reply reply = {.leader = (char *)""};
    GByteArray *out = g_byte_array_new();
    reply.state = MP_RECORD_OPEN;
    MpRpcSession_Init(&session, fleet_key, true);
    fill_open(&command, key, workspace, 1);
    propose.body = command.body;
    GBytes *open = MpCodec_Encode(MP_XDR(mp_command), &command);
    MpRpc_AppendCall(&session, out, 1, MP_PROC_PROPOSE, &propose);
    guint open_bytes = out->len;
    fill_settle(&command, key, workspace, 1);
    propose.body = command.body;
    GBytes *settle = MpCodec_Encode(MP_XDR(mp_command), &command);
    MpRpc_AppendCall(&session, out, 2, MP_PROC_PROPOSE, &propose);
    print("wire per request, out", out->len, "bytes (open and settle)");
    guint sent = out->len;
    MpRpc_AppendReply(&session, out, 1, MP_PROC_PROPOSE, &reply);
    MpRpc_AppendReply(&session, out, 2, MP_PROC_PROPOSE, &reply);
    print("wire per request, in", out->len - sent, "bytes");
    print("open call", open_bytes, "bytes");
    print("log per request",
          (double)(g_bytes_get_size(open) + g_bytes_get_size(settle) + 40),
          "bytes (open and settle, without the share of a frame)");
    double began = now_us();
    for (int i = 0; i < 20000; i++) {
        g_byte_array_set_size(out, 0);
        MpRpc_AppendCall(&session, out, 1, MP_PROC_PROPOSE, &propose);
    }
    print("encode and code a call", (now_us() - began) / 20000, "us");
    g_bytes_unref(open);
    g_bytes_unref(settle);
    g_byte_array_unref(out);
}

static void
measure_recovery(void)
{
    struct MemoryDisk disk;
    struct MpStorage storage;
    struct MpRecovered recovered;
    struct mp_hard_state hard = {.replica_id = 1, .term = 1};
    struct mp_command command;
    char key[48];
    char workspace[32];
    MemoryDisk_Init(&disk);
    MpStorage_Open(&storage, &disk.super, &recovered);
    MpRecovered_Done(&recovered);
    fill_open(&command, key, workspace, 1);
    GBytes *payload = MpCodec_Encode(MP_XDR(mp_command), &command);
    for (int i = 1; i <= LOG_ENTRIES; i++) {
        struct MpLogEntry entry = {
            .index = (uint64_t)i, .term = 1, .payload = payload};
        MpStorage_Append(&storage, &hard, &entry, 1);
    }
    double began = now_us();
    MpStorage_Open(&storage, &disk.super, &recovered);
    print("recovery per log entry", (now_us() - began) / LOG_ENTRIES, "us");
    MpRecovered_Done(&recovered);
    g_bytes_unref(payload);
    MemoryDisk_Done(&disk);
}

/* ---- document ---- */

static GString *
make_document(int workspaces, int targets)
{
    GString *out = g_string_new("{\"targets\":{");
    for (int i = 0; i < targets; i++) {
        g_string_append_printf(
            out, "%s\"t%d\":{\"address\":\"10.0.%d.%d:80\",\"zone\":\"a\"}",
            i ? "," : "", i, i / 250, i % 250);
    }
    g_string_append(out, "},\"models\":{\"m\":{\"targets\":[\"t0\"],"
                         "\"prompt_price_mtok\":1,\"output_price_mtok\":1}},"
                         "\"workspaces\":{");
    for (int i = 0; i < workspaces; i++) {
        g_string_append_printf(out,
                               "%s\"w%d\":{\"key_hashes\":[\"%064d\"],"
                               "\"models\":[\"m\"]}",
                               i ? "," : "", i, i);
    }
    g_string_append(out, "}}");
    return out;
}

static void
measure_document(void)
{
    GPtrArray *findings = MpFindings_New();
    GString *large = make_document(WORKSPACES, TARGETS);
    GString *small = make_document(0, TARGETS);
    GString *none = make_document(0, 1);
    print("document per workspace",
          (double)(large->len - small->len) / WORKSPACES, "bytes");
    print("document per target",
          (double)(small->len - none->len) / (TARGETS - 1), "bytes");
    print("document at the target size", (double)large->len / 1e6,
          "MB (the limit is 4)");
    size_t before = memory();
    double began = now_us();
    struct MpDocument *document =
        MpDocument_Parse(large->str, large->len, findings);
    print("document parse", (now_us() - began) / 1000,
          "ms at 31,000 workspaces, 820 targets");
    print("document memory per workspace",
          (double)(memory() - before) / WORKSPACES, "bytes");
    if (!document) {
        char *text = MpFindings_Format(findings, "document");
        fprintf(stderr, "%.300s\n", text);
        g_free(text);
    }
    MpDocument_Unref(document);
    g_ptr_array_unref(findings);
    g_string_free(large, TRUE);
    g_string_free(small, TRUE);
    g_string_free(none, TRUE);
}

int
main(void)
{
    struct MpMachine machine;
    /* First, in a heap that nothing has broken up. */
    measure_document();
    measure_budgets_alone();
    MpMachine_Init(&machine);
    measure_ledger(&machine);
    measure_snapshot(&machine);
    MpMachine_Done(&machine);
    measure_wire();
    measure_recovery();
    return 0;
}
