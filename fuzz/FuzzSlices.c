#include "Input.h"

#include "coordination/Slices.h"
#include "state/Error.h"
#include "state/LedgerInternal.h"
#include "state/Machine.h"

#include <string.h>

/*
 * FuzzSlices - routers that spend from slices and lend to each other, and the
 * ledger that grants them, while reports and loans are lost and late, reports
 * are doubled and routers die.
 *
 * Oracle: what all lives of all routers have really spent, and what they may
 * still spend, never exceeds what was prepaid; once all that live have
 * reported and no life was lost, the ledger has billed just that.  When all
 * leave, and neither a life nor a loan was lost, nothing stays set aside.
 */

#define ROUTERS 4
#define WORKSPACES 2
#define REQUESTS 8
#define FLYING 12
#define LOANS 4

struct request {
    bool is_open;
    uint32_t workspace;
    int64_t reserved;
};

struct router {
    char name[8];
    struct MpSlices slices;
    struct request requests[REQUESTS];
    uint64_t nonce;
    bool is_waiting; /* for the answer of the last report */
};

/* A report on its way, which may be applied at any time, more than once. */
struct flying {
    bool is_there;
    uint32_t router;
    uint64_t boot;
    struct mp_slices report;
};

/* A loan on its way. */
struct loan {
    int64_t amount;
    uint32_t workspace;
    uint32_t borrower;
};

struct world {
    struct MpMachine machine;
    struct router routers[ROUTERS];
    struct flying flying[FLYING];
    struct loan loans[LOANS];
    int64_t spent[WORKSPACES];
    int64_t prepaid[WORKSPACES];
    uint64_t version;
    uint64_t nonces;
    int64_t now_ms;
    bool is_life_lost;
    bool is_loan_lost;
};

static char *const names[WORKSPACES] = {(char *)"small", (char *)"large"};

static struct mp_result
apply(struct world *world, const struct mp_command_body *body)
{
    struct mp_command command = {.at_ms = world->now_ms, .body = *body};
    struct mp_result result;
    MpMachine_Apply(&world->machine, world->machine.applied + 1, &command,
                    &result);
    return result;
}

static void
grant(struct world *world)
{
    struct mp_command_body body = {.kind = MP_CMD_DOCUMENT};
    struct mp_grant grants[WORKSPACES];
    for (uint32_t i = 0; i < WORKSPACES; i++) {
        grants[i] = (struct mp_grant){.workspace = names[i],
                                      .prepaid_mtok = world->prepaid[i]};
    }
    body.mp_command_body_u.document = (struct mp_document_put){
        .submission = (char *)"",
        .author = (char *)"",
        .number = ++world->version,
        .grants = {.grants_val = grants, .grants_len = WORKSPACES},
        .text = (char *)""};
    apply(world, &body);
}

/* An older change that comes again must change nothing. */
static void
send_old_document(struct world *world)
{
    uint64_t newest = world->version;
    if (newest > 1) {
        world->version = newest - 2;
        grant(world);
        world->version = newest;
    }
}

/* The leader takes a router for dead that lives on; it registers anew and
 * its requests run on. */
static void
fence(struct world *world, struct router *router, bool registers)
{
    struct mp_command_body body = {.kind = MP_CMD_FENCE};
    body.mp_command_body_u.fence = (struct mp_incarnation){
        .instance = router->name, .boot = router->slices.boot};
    apply(world, &body);
    world->is_life_lost = true;
    if (!registers) {
        return;
    }
    body.kind = MP_CMD_REGISTER;
    router->nonce = ++world->nonces;
    body.mp_command_body_u.reg = (struct mp_register){.instance = router->name,
                                                      .nonce = router->nonce,
                                                      .address = (char *)"",
                                                      .zone = (char *)""};
    struct mp_result result = apply(world, &body);
    MpSlices_SetIncarnation(&router->slices, result.number);
    router->is_waiting = false;
}

/* What an instance with a journal says of its earlier lives when it starts. */
static void
write_off(struct world *world, const struct router *router)
{
    struct mp_command_body body = {.kind = MP_CMD_WRITEOFF};
    body.mp_command_body_u.writeoff = (struct mp_writeoff){
        .holder = {.instance = router->name, .boot = router->slices.boot - 1}};
    apply(world, &body);
}

static void
start_life(struct world *world, struct router *router)
{
    struct mp_command_body body = {.kind = MP_CMD_REGISTER};
    MpSlices_Init(&router->slices);
    router->slices.primary_count = ROUTERS;
    memset(router->requests, 0, sizeof(router->requests));
    router->is_waiting = false;
    router->nonce = ++world->nonces;
    body.mp_command_body_u.reg = (struct mp_register){.instance = router->name,
                                                      .nonce = router->nonce,
                                                      .address = (char *)"",
                                                      .zone = (char *)""};
    struct mp_result result = apply(world, &body);
    MpSlices_SetIncarnation(&router->slices, result.number);
    write_off(world, router);
    for (uint32_t i = 0; i < WORKSPACES; i++) {
        MpSlices_Add(&router->slices, names[i], true);
    }
}

/* ---- requests ---- */

static void
open_request(struct world *world, struct router *router,
             struct FuzzInput *input)
{
    for (uint32_t i = 0; i < REQUESTS; i++) {
        struct request *request = &router->requests[i];
        if (request->is_open) {
            continue;
        }
        request->workspace = FuzzInput_Below(input, WORKSPACES);
        request->reserved = 1 + FuzzInput_Byte(input) * 40;
        request->is_open =
            MpSlices_Reserve(&router->slices, names[request->workspace],
                             request->reserved, FuzzInput_Below(input, 2),
                             world->now_ms) == MP_OK;
        return;
    }
}

static void
close_request(struct world *world, struct router *router,
              struct FuzzInput *input)
{
    struct request *request =
        &router->requests[FuzzInput_Below(input, REQUESTS)];
    if (!request->is_open) {
        return;
    }
    int64_t used = request->reserved * FuzzInput_Byte(input) / 255;
    world->spent[request->workspace] += used;
    MpSlices_Settle(&router->slices, names[request->workspace],
                    request->reserved, used);
    request->is_open = false;
}

/* ---- loans ---- */

static void
lend(struct world *world, struct router *lender, struct FuzzInput *input)
{
    struct loan *loan = &world->loans[FuzzInput_Below(input, LOANS)];
    uint32_t workspace = FuzzInput_Below(input, WORKSPACES);
    struct mp_lend asked = {.workspace = names[workspace],
                            .need_mtok = 1 + FuzzInput_Byte(input) * 20};
    if (loan->amount > 0) {
        return;
    }
    asked.want_mtok = asked.need_mtok + FuzzInput_Byte(input) * 20;
    loan->workspace = workspace;
    loan->borrower = FuzzInput_Below(input, ROUTERS);
    int code =
        MpSlices_Lend(&lender->slices, &asked, FuzzInput_Below(input, 2),
                      world->now_ms, &loan->amount);
    if (code == MP_OK &&
        (loan->amount < asked.need_mtok || loan->amount > asked.want_mtok)) {
        Fuzz_Fail("lent %" G_GINT64_FORMAT " where %" G_GINT64_FORMAT
                  " to %" G_GINT64_FORMAT " were asked for",
                  loan->amount, asked.need_mtok, asked.want_mtok);
    }
}

/* A repayment travels as a loan does, to any router. */
static void
repay(struct world *world, struct router *borrower, struct FuzzInput *input)
{
    struct loan *loan = &world->loans[FuzzInput_Below(input, LOANS)];
    if (loan->amount > 0) {
        return;
    }
    loan->workspace = FuzzInput_Below(input, WORKSPACES);
    loan->borrower = FuzzInput_Below(input, ROUTERS);
    loan->amount = MpSlices_TakeSurplus(&borrower->slices,
                                        names[loan->workspace], world->now_ms);
}

static void
take_loan(struct world *world, struct loan *loan, bool is_lost)
{
    if (loan->amount > 0 && !is_lost) {
        MpSlices_Credit(&world->routers[loan->borrower].slices,
                        names[loan->workspace], loan->amount);
    }
    world->is_loan_lost |= loan->amount > 0 && is_lost;
    loan->amount = 0;
}

/* ---- reports ---- */

static void
drop(struct flying *flying)
{
    g_free(flying->report.list.list_val);
    flying->is_there = false;
}

static void
send_report(struct world *world, uint32_t number)
{
    struct router *router = &world->routers[number];
    struct flying *free_place = NULL;
    for (uint32_t i = 0; i < FLYING && !free_place; i++) {
        free_place = world->flying[i].is_there ? NULL : &world->flying[i];
    }
    if (!free_place || !MpSlices_IsReportDue(&router->slices, world->now_ms)) {
        return;
    }
    *free_place = (struct flying){
        .is_there = true, .router = number, .boot = router->slices.boot};
    free_place->report.holder = (struct mp_incarnation){
        .instance = router->name, .boot = router->slices.boot};
    MpSlices_FillReport(&router->slices, &free_place->report, world->now_ms);
    for (u_int i = 0; i < free_place->report.list.list_len; i++) {
        struct mp_slice *slice = &free_place->report.list.list_val[i];
        slice->workspace =
            names[strcmp(slice->workspace, names[0]) == 0 ? 0 : 1];
    }
    router->is_waiting = true;
}

/* Applies a report, answers it or not, and keeps it to come again or not. */
static void
land(struct world *world, struct flying *flying, struct FuzzInput *input)
{
    struct mp_command_body body = {.kind = MP_CMD_SLICES};
    struct router *router = &world->routers[flying->router];
    uint32_t fate = FuzzInput_Below(input, 8);
    body.mp_command_body_u.slices = flying->report;
    struct mp_result result = {.code = MP_ERROR_TIMEOUT};
    if (fate != 7) {
        result = apply(world, &body);
    }
    bool is_newest = router->is_waiting &&
                     flying->report.seq == router->slices.seq &&
                     flying->boot == router->slices.boot;
    if (is_newest) {
        bool is_answered = fate < 5 && result.code == MP_OK;
        MpSlices_HandleReply(&router->slices, is_answered ? &result : NULL,
                             world->now_ms);
        router->is_waiting = false;
    }
    if (fate != 6) {
        drop(flying);
    }
}

/* ---- the world ---- */

static void
reload(struct world *world)
{
    GBytes *bytes = MpMachine_Save(&world->machine);
    gsize size;
    const void *data = g_bytes_get_data(bytes, &size);
    MpMachine_Done(&world->machine);
    MpMachine_Init(&world->machine);
    if (MpMachine_Load(&world->machine, data, size) != MP_OK) {
        Fuzz_Fail("a snapshot cannot be loaded");
    }
    g_bytes_unref(bytes);
}

/* A router may never spend more than the ledger has set aside for it. */
static void
check_slice(const struct world *world, const struct router *router,
            const char *workspace)
{
    const struct MpAccount *account =
        MpLedger_FindAccount(&world->machine.ledger, workspace);
    const struct MpLease *lease = MpLedger_FindLease(
        account, router->name, router->slices.boot, MP_LEASE_PATHS);
    const struct MpSlice *slice =
        g_hash_table_lookup(router->slices.slices, workspace);
    /* A slice that was used up is forgotten with its life: then nothing may
     * be left of it here either. */
    int64_t aside = lease ? lease->amount_mtok + lease->drawn_mtok
                          : (slice ? slice->drawn_mtok : 0);
    if (slice && slice->held_mtok + slice->drawn_mtok > aside) {
        Fuzz_Fail("%s may draw %" G_GINT64_FORMAT " of %s, %" G_GINT64_FORMAT
                  " is set aside",
                  router->name, slice->held_mtok + slice->drawn_mtok,
                  workspace, aside);
    }
}

/* What is spent, and what all routers may spend without another word of the
 * ledger. */
static int64_t
exposure(const struct world *world, uint32_t workspace)
{
    int64_t sum = world->spent[workspace];
    for (uint32_t i = 0; i < ROUTERS; i++) {
        const struct router *router = &world->routers[i];
        const struct MpSlice *slice =
            g_hash_table_lookup(router->slices.slices, names[workspace]);
        sum += slice ? MAX(slice->held_mtok, 0) + slice->balance_mtok : 0;
        for (uint32_t k = 0; k < REQUESTS; k++) {
            const struct request *request = &router->requests[k];
            if (request->is_open && request->workspace == workspace) {
                sum += request->reserved;
            }
        }
    }
    for (uint32_t i = 0; i < LOANS; i++) {
        if (world->loans[i].workspace == workspace) {
            sum += world->loans[i].amount;
        }
    }
    return sum;
}

static void
check(const struct world *world)
{
    if (MpLedger_Check(&world->machine.ledger) != MP_OK) {
        Fuzz_Fail("the ledger's books do not balance");
    }
    if (world->machine.document_version != world->version) {
        Fuzz_Fail("document %d is in force after %d",
                  (int)world->machine.document_version, (int)world->version);
    }
    for (uint32_t i = 0; i < ROUTERS; i++) {
        for (uint32_t k = 0; k < WORKSPACES; k++) {
            check_slice(world, &world->routers[i], names[k]);
        }
    }
    for (uint32_t i = 0; i < WORKSPACES; i++) {
        const struct MpAccount *account =
            MpLedger_FindAccount(&world->machine.ledger, names[i]);
        if (account->settled_mtok > world->spent[i]) {
            Fuzz_Fail("%s spent %" G_GINT64_FORMAT
                      " and was billed %" G_GINT64_FORMAT,
                      names[i], world->spent[i], account->settled_mtok);
        }
        /* What no report has told yet is still set aside. */
        if (world->spent[i] > account->settled_mtok + account->leased_mtok +
                                  account->outstanding_mtok) {
            Fuzz_Fail("%s spent %" G_GINT64_FORMAT
                      ", billed and set aside are %" G_GINT64_FORMAT,
                      names[i], world->spent[i],
                      account->settled_mtok + account->leased_mtok +
                          account->outstanding_mtok);
        }
        if (exposure(world, i) > world->prepaid[i]) {
            Fuzz_Fail("%s: %" G_GINT64_FORMAT
                      " is spent or may be, of %" G_GINT64_FORMAT,
                      names[i], exposure(world, i), world->prepaid[i]);
        }
        if (world->spent[i] > world->prepaid[i]) {
            Fuzz_Fail("%s spent %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT,
                      names[i], world->spent[i], world->prepaid[i]);
        }
    }
}

/* Loans, repayments, and who keeps slices. */
static void
move_tokens(struct world *world, struct router *router,
            struct FuzzInput *input)
{
    char *const name = names[FuzzInput_Below(input, WORKSPACES)];
    switch (FuzzInput_Below(input, 12)) {
    case 0:
        MpSlices_Add(&router->slices, name, FuzzInput_Below(input, 2));
        break;
    case 1:
        MpSlices_RequestDirectly(&router->slices, name);
        break;
    case 2:
    case 3:
        repay(world, router, input);
        break;
    default:
        lend(world, router, input);
        break;
    }
    take_loan(world, &world->loans[FuzzInput_Below(input, LOANS)],
              FuzzInput_Below(input, 32) == 0);
}

static void
step(struct world *world, struct FuzzInput *input)
{
    uint32_t number = FuzzInput_Below(input, ROUTERS);
    struct router *router = &world->routers[number];
    switch (FuzzInput_Below(input, 19)) {
    case 16:
    case 17:
    case 18:
        move_tokens(world, router, input);
        break;
    case 0:
        if (FuzzInput_Below(input, 16) == 0) {
            MpSlices_Done(&router->slices);
            world->is_life_lost = true;
            start_life(world, router);
        }
        else if (FuzzInput_Below(input, 16) == 0) {
            fence(world, router, FuzzInput_Below(input, 2));
        }
        break;
    case 1:
        if (FuzzInput_Below(input, 8) == 0) {
            reload(world);
        }
        break;
    case 2:
        if (FuzzInput_Below(input, 16) == 0) {
            send_old_document(world);
        }
        else if (FuzzInput_Below(input, 8) == 0) {
            world->prepaid[FuzzInput_Below(input, WORKSPACES)] += 3000;
            grant(world);
        }
        break;
    case 3:
        world->now_ms += FuzzInput_Byte(input) * 8;
        break;
    case 4:
    case 5:
    case 6:
    case 7:
        open_request(world, router, input);
        break;
    case 8:
    case 9:
    case 10:
        close_request(world, router, input);
        break;
    case 11:
    case 12:
        send_report(world, number);
        break;
    default: {
        struct flying *flying = &world->flying[FuzzInput_Below(input, FLYING)];
        if (flying->is_there) {
            land(world, flying, input);
        }
        break;
    }
    }
    check(world);
    Fuzz_Steps++;
}

/* All routers end their requests and report until nothing changes. */
static void
settle_all(struct world *world)
{
    struct FuzzInput nothing = {.size = 0};
    for (uint32_t i = 0; i < FLYING; i++) {
        if (world->flying[i].is_there) {
            land(world, &world->flying[i], &nothing);
        }
    }
    for (uint32_t i = 0; i < LOANS; i++) {
        take_loan(world, &world->loans[i], false);
    }
    for (uint32_t i = 0; i < ROUTERS; i++) {
        struct router *router = &world->routers[i];
        router->slices.is_leaving = true;
        for (uint32_t k = 0; k < REQUESTS; k++) {
            struct request *request = &router->requests[k];
            if (request->is_open) {
                world->spent[request->workspace] += request->reserved;
                MpSlices_Settle(&router->slices, names[request->workspace],
                                request->reserved, request->reserved);
                request->is_open = false;
            }
        }
        for (int round = 0; round < 2; round++) {
            world->now_ms += 2 * MP_SLICE_REPORT_MS;
            if (router->is_waiting) {
                MpSlices_HandleReply(&router->slices, NULL, world->now_ms);
                router->is_waiting = false;
            }
            send_report(world, i);
            for (uint32_t k = 0; k < FLYING; k++) {
                if (world->flying[k].is_there) {
                    land(world, &world->flying[k], &nothing);
                }
            }
        }
    }
    check(world);
    for (uint32_t i = 0; i < WORKSPACES && !world->is_life_lost; i++) {
        const struct MpAccount *account =
            MpLedger_FindAccount(&world->machine.ledger, names[i]);
        if (account->settled_mtok != world->spent[i]) {
            Fuzz_Fail("%s spent %" G_GINT64_FORMAT
                      " and was billed %" G_GINT64_FORMAT,
                      names[i], world->spent[i], account->settled_mtok);
        }
        if (!world->is_loan_lost &&
            account->leased_mtok + account->outstanding_mtok != 0) {
            Fuzz_Fail(
                "all have left and %" G_GINT64_FORMAT " of %s stay set aside",
                account->leased_mtok + account->outstanding_mtok, names[i]);
        }
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct FuzzInput input = {.data = data, .size = size};
    struct world *world = g_new0(struct world, 1);
    MpMachine_Init(&world->machine);
    world->prepaid[0] = 20000;
    world->prepaid[1] = 400000;
    grant(world);
    for (uint32_t i = 0; i < ROUTERS; i++) {
        g_snprintf(world->routers[i].name, sizeof(world->routers[i].name),
                   "r%u", i);
        start_life(world, &world->routers[i]);
    }
    while (!FuzzInput_IsOver(&input)) {
        step(world, &input);
    }
    settle_all(world);
    for (uint32_t i = 0; i < ROUTERS; i++) {
        MpSlices_Done(&world->routers[i].slices);
    }
    MpMachine_Done(&world->machine);
    g_free(world);
    return 0;
}
