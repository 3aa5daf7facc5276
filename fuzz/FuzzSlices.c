#include "CheckedApply.h"
#include "Input.h"

#include "coordination/Slices.h"
#include "state/Error.h"
#include "state/LedgerInternal.h"
#include "state/Machine.h"

#include <string.h>

/*
 * FuzzSlices - fuzzes routers that spend from slices and lend to each other,
 * with the ledger that grants the slices, while reports and loans are lost or
 * delayed, reports are duplicated, and routers crash.
 *
 * Oracle: what all incarnations of all routers have spent, plus what they may
 * still spend, never exceeds the prepaid budget.  Once all routers have left
 * and reported, the ledger has billed exactly that spending unless an
 * incarnation was lost, and nothing stays leased or outstanding unless an
 * incarnation or a loan was lost.
 */

#define ROUTERS 4
#define WORKSPACES 2
#define REQUESTS 8
#define REPORTS 12
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
    bool is_report_pending; /* the last report has no reply yet */
};

/* A report in transit, which may be applied at any time and repeatedly. */
struct sent_report {
    bool is_used;
    uint32_t router;
    uint64_t boot;
    struct mp_slices report;
};

/* A loan or repayment in transit; amount is 0 in a free entry. */
struct loan {
    int64_t amount;
    uint32_t workspace;
    uint32_t recipient;
};

struct fixture {
    struct MpMachine machine;
    struct router routers[ROUTERS];
    struct sent_report sent[REPORTS];
    struct loan loans[LOANS];
    int64_t spent[WORKSPACES];
    int64_t prepaid[WORKSPACES];
    uint64_t version;
    uint64_t last_nonce;
    int64_t now_ms;
    bool is_incarnation_lost;
    bool is_loan_lost;
};

static char *const names[WORKSPACES] = {(char *)"small", (char *)"large"};

static struct mp_result
apply(struct fixture *this, const struct mp_command_body *body)
{
    struct mp_command command = {.at_ms = this->now_ms, .body = *body};
    struct mp_result result;
    CheckedApply(&this->machine, this->machine.applied + 1, &command, &result);
    return result;
}

static void
grant(struct fixture *this)
{
    struct mp_command_body body = {.kind = MP_CMD_DOCUMENT};
    struct mp_grant grants[WORKSPACES];
    for (uint32_t i = 0; i < WORKSPACES; i++) {
        grants[i] = (struct mp_grant){.workspace = names[i],
                                      .prepaid_mtok = this->prepaid[i]};
    }
    body.mp_command_body_u.document = (struct mp_document_put){
        .submission = (char *)"",
        .author = (char *)"",
        .number = ++this->version,
        .grants = {.grants_val = grants, .grants_len = WORKSPACES},
        .text = (char *)""};
    apply(this, &body);
}

/* A document of an older version, sent again, must change nothing. */
static void
send_old_document(struct fixture *this)
{
    uint64_t newest = this->version;
    if (newest > 1) {
        this->version = newest - 2;
        grant(this);
        this->version = newest;
    }
}

/* The leader fences a router that is still running.  The router may register
 * anew; its requests continue. */
static void
fence(struct fixture *this, struct router *router, bool is_reregistering)
{
    struct mp_command_body body = {.kind = MP_CMD_FENCE};
    body.mp_command_body_u.fence = (struct mp_incarnation){
        .instance = router->name, .boot = router->slices.boot};
    apply(this, &body);
    this->is_incarnation_lost = true;
    if (!is_reregistering) {
        return;
    }
    body.kind = MP_CMD_REGISTER;
    router->nonce = ++this->last_nonce;
    body.mp_command_body_u.reg = (struct mp_register){.instance = router->name,
                                                      .nonce = router->nonce,
                                                      .address = (char *)"",
                                                      .zone = (char *)""};
    struct mp_result result = apply(this, &body);
    MpSlices_SetIncarnation(&router->slices, result.number);
    router->is_report_pending = false;
}

/* An instance with a journal writes off its earlier incarnations at start. */
static void
write_off(struct fixture *this, const struct router *router)
{
    struct mp_command_body body = {.kind = MP_CMD_WRITEOFF};
    body.mp_command_body_u.writeoff =
        (struct mp_writeoff){.incarnation = {.instance = router->name,
                                             .boot = router->slices.boot - 1}};
    apply(this, &body);
}

static void
start_incarnation(struct fixture *this, struct router *router)
{
    struct mp_command_body body = {.kind = MP_CMD_REGISTER};
    MpSlices_Init(&router->slices);
    router->slices.primary_count = ROUTERS;
    memset(router->requests, 0, sizeof(router->requests));
    router->is_report_pending = false;
    router->nonce = ++this->last_nonce;
    body.mp_command_body_u.reg = (struct mp_register){.instance = router->name,
                                                      .nonce = router->nonce,
                                                      .address = (char *)"",
                                                      .zone = (char *)""};
    struct mp_result result = apply(this, &body);
    MpSlices_SetIncarnation(&router->slices, result.number);
    write_off(this, router);
    for (uint32_t i = 0; i < WORKSPACES; i++) {
        MpSlices_Add(&router->slices, names[i], true);
    }
}

/* ---- requests ---- */

static void
open_request(struct fixture *this, struct router *router,
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
                             this->now_ms) == MP_OK;
        return;
    }
}

static void
close_request(struct fixture *this, struct router *router,
              struct FuzzInput *input)
{
    struct request *request =
        &router->requests[FuzzInput_Below(input, REQUESTS)];
    if (!request->is_open) {
        return;
    }
    int64_t used = request->reserved * FuzzInput_Byte(input) / 255;
    this->spent[request->workspace] += used;
    MpSlices_Settle(&router->slices, names[request->workspace],
                    request->reserved, used);
    request->is_open = false;
}

/* ---- loans ---- */

static void
lend(struct fixture *this, struct router *lender, struct FuzzInput *input)
{
    struct loan *loan = &this->loans[FuzzInput_Below(input, LOANS)];
    uint32_t workspace = FuzzInput_Below(input, WORKSPACES);
    struct mp_lend query = {.workspace = names[workspace],
                            .need_mtok = 1 + FuzzInput_Byte(input) * 20};
    if (loan->amount > 0) {
        return;
    }
    query.want_mtok = query.need_mtok + FuzzInput_Byte(input) * 20;
    loan->workspace = workspace;
    loan->recipient = FuzzInput_Below(input, ROUTERS);
    int code =
        MpSlices_Lend(&lender->slices, &query, FuzzInput_Below(input, 2),
                      this->now_ms, &loan->amount);
    if (code == MP_OK &&
        (loan->amount < query.need_mtok || loan->amount > query.want_mtok)) {
        Fuzz_Fail("lent %" G_GINT64_FORMAT " where %" G_GINT64_FORMAT
                  " to %" G_GINT64_FORMAT " were asked for",
                  loan->amount, query.need_mtok, query.want_mtok);
    }
}

/* Sends a repayment to any router, in the same way as a loan. */
static void
repay(struct fixture *this, struct router *borrower, struct FuzzInput *input)
{
    struct loan *loan = &this->loans[FuzzInput_Below(input, LOANS)];
    if (loan->amount > 0) {
        return;
    }
    loan->workspace = FuzzInput_Below(input, WORKSPACES);
    loan->recipient = FuzzInput_Below(input, ROUTERS);
    loan->amount = MpSlices_TakeSurplus(&borrower->slices,
                                        names[loan->workspace], this->now_ms);
}

static void
deliver_loan(struct fixture *this, struct loan *loan, bool is_lost)
{
    if (loan->amount > 0 && !is_lost) {
        MpSlices_Credit(&this->routers[loan->recipient].slices,
                        names[loan->workspace], loan->amount);
    }
    this->is_loan_lost |= loan->amount > 0 && is_lost;
    loan->amount = 0;
}

/* ---- reports ---- */

static void
drop_report(struct sent_report *sent)
{
    g_free(sent->report.list.list_val);
    sent->is_used = false;
}

static void
send_report(struct fixture *this, uint32_t number)
{
    struct router *router = &this->routers[number];
    struct sent_report *slot = NULL;
    for (uint32_t i = 0; i < REPORTS && !slot; i++) {
        slot = this->sent[i].is_used ? NULL : &this->sent[i];
    }
    if (!slot || !MpSlices_IsReportDue(&router->slices, this->now_ms)) {
        return;
    }
    *slot = (struct sent_report){
        .is_used = true, .router = number, .boot = router->slices.boot};
    slot->report.incarnation = (struct mp_incarnation){
        .instance = router->name, .boot = router->slices.boot};
    MpSlices_FillReport(&router->slices, &slot->report, this->now_ms);
    for (u_int i = 0; i < slot->report.list.list_len; i++) {
        struct mp_slice *slice = &slot->report.list.list_val[i];
        slice->workspace =
            names[strcmp(slice->workspace, names[0]) == 0 ? 0 : 1];
    }
    router->is_report_pending = true;
}

/* Applies a report unless it is lost; the input chooses whether the router
 * gets the reply and whether the report stays in transit as a duplicate. */
static void
deliver_report(struct fixture *this, struct sent_report *sent,
               struct FuzzInput *input)
{
    struct mp_command_body body = {.kind = MP_CMD_SLICES};
    struct router *router = &this->routers[sent->router];
    uint32_t choice = FuzzInput_Below(input, 8);
    body.mp_command_body_u.slices = sent->report;
    struct mp_result result = {.code = MP_ERROR_TIMEOUT};
    if (choice != 7) {
        result = apply(this, &body);
    }
    bool is_newest = router->is_report_pending &&
                     sent->report.seq == router->slices.seq &&
                     sent->boot == router->slices.boot;
    if (is_newest) {
        bool is_answered = choice < 5 && result.code == MP_OK;
        MpSlices_HandleReply(&router->slices, is_answered ? &result : NULL,
                             this->now_ms);
        router->is_report_pending = false;
    }
    if (choice != 6) {
        drop_report(sent);
    }
}

/* ---- checks and steps ---- */

static void
reload(struct fixture *this)
{
    GBytes *bytes = MpMachine_Save(&this->machine);
    gsize size;
    const void *data = g_bytes_get_data(bytes, &size);
    MpMachine_Done(&this->machine);
    MpMachine_Init(&this->machine);
    if (MpMachine_Load(&this->machine, data, size) != MP_OK) {
        Fuzz_Fail("cannot load a snapshot");
    }
    g_bytes_unref(bytes);
}

/* A router may never draw more than the ledger has leased to it. */
static void
check_slice(const struct fixture *this, const struct router *router,
            const char *workspace)
{
    const struct MpAccount *account =
        MpLedger_FindAccount(&this->machine.ledger, workspace);
    const struct MpLease *lease = MpLedger_FindLease(
        account, router->name, router->slices.boot, MP_LEASE_PATHS);
    const struct MpSlice *slice =
        g_hash_table_lookup(router->slices.slices, workspace);
    /* The ledger drops a used-up lease when the incarnation is fenced; the
     * router must then hold nothing that it has not drawn. */
    int64_t leased = lease ? lease->amount_mtok + lease->drawn_mtok
                           : (slice ? slice->drawn_mtok : 0);
    if (slice && slice->held_mtok + slice->drawn_mtok > leased) {
        Fuzz_Fail("%s may draw %" G_GINT64_FORMAT " of %s, %" G_GINT64_FORMAT
                  " is leased",
                  router->name, slice->held_mtok + slice->drawn_mtok,
                  workspace, leased);
    }
}

/* Returns what is spent plus what routers may spend without the ledger. */
static int64_t
exposure(const struct fixture *this, uint32_t workspace)
{
    int64_t sum = this->spent[workspace];
    for (uint32_t i = 0; i < ROUTERS; i++) {
        const struct router *router = &this->routers[i];
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
        if (this->loans[i].workspace == workspace) {
            sum += this->loans[i].amount;
        }
    }
    return sum;
}

static void
check(const struct fixture *this)
{
    if (MpLedger_Check(&this->machine.ledger) != MP_OK) {
        Fuzz_Fail("the ledger's accounts do not balance");
    }
    if (this->machine.document_version != this->version) {
        Fuzz_Fail("document %d is in force after %d",
                  (int)this->machine.document_version, (int)this->version);
    }
    for (uint32_t i = 0; i < ROUTERS; i++) {
        for (uint32_t k = 0; k < WORKSPACES; k++) {
            check_slice(this, &this->routers[i], names[k]);
        }
    }
    for (uint32_t i = 0; i < WORKSPACES; i++) {
        const struct MpAccount *account =
            MpLedger_FindAccount(&this->machine.ledger, names[i]);
        if (account->settled_mtok > this->spent[i]) {
            Fuzz_Fail("%s spent %" G_GINT64_FORMAT
                      " and was billed %" G_GINT64_FORMAT,
                      names[i], this->spent[i], account->settled_mtok);
        }
        /* Unreported spending must still be leased or outstanding. */
        if (this->spent[i] > account->settled_mtok + account->leased_mtok +
                                 account->outstanding_mtok) {
            Fuzz_Fail("%s spent %" G_GINT64_FORMAT
                      ", billed, leased and outstanding are %" G_GINT64_FORMAT,
                      names[i], this->spent[i],
                      account->settled_mtok + account->leased_mtok +
                          account->outstanding_mtok);
        }
        if (exposure(this, i) > this->prepaid[i]) {
            Fuzz_Fail("%s: %" G_GINT64_FORMAT
                      " is or may be spent, of %" G_GINT64_FORMAT,
                      names[i], exposure(this, i), this->prepaid[i]);
        }
        if (this->spent[i] > this->prepaid[i]) {
            Fuzz_Fail("%s spent %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT,
                      names[i], this->spent[i], this->prepaid[i]);
        }
    }
}

/* Sends and delivers loans and repayments, and changes primary lenders. */
static void
move_tokens(struct fixture *this, struct router *router,
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
        repay(this, router, input);
        break;
    default:
        lend(this, router, input);
        break;
    }
    deliver_loan(this, &this->loans[FuzzInput_Below(input, LOANS)],
                 FuzzInput_Below(input, 32) == 0);
}

static void
step(struct fixture *this, struct FuzzInput *input)
{
    uint32_t number = FuzzInput_Below(input, ROUTERS);
    struct router *router = &this->routers[number];
    switch (FuzzInput_Below(input, 19)) {
    case 16:
    case 17:
    case 18:
        move_tokens(this, router, input);
        break;
    case 0:
        if (FuzzInput_Below(input, 16) == 0) {
            MpSlices_Done(&router->slices);
            this->is_incarnation_lost = true;
            start_incarnation(this, router);
        }
        else if (FuzzInput_Below(input, 16) == 0) {
            fence(this, router, FuzzInput_Below(input, 2));
        }
        break;
    case 1:
        if (FuzzInput_Below(input, 8) == 0) {
            reload(this);
        }
        break;
    case 2:
        if (FuzzInput_Below(input, 16) == 0) {
            send_old_document(this);
        }
        else if (FuzzInput_Below(input, 8) == 0) {
            this->prepaid[FuzzInput_Below(input, WORKSPACES)] += 3000;
            grant(this);
        }
        break;
    case 3:
        this->now_ms += FuzzInput_Byte(input) * 8;
        break;
    case 4:
    case 5:
    case 6:
    case 7:
        open_request(this, router, input);
        break;
    case 8:
    case 9:
    case 10:
        close_request(this, router, input);
        break;
    case 11:
    case 12:
        send_report(this, number);
        break;
    default: {
        struct sent_report *sent =
            &this->sent[FuzzInput_Below(input, REPORTS)];
        if (sent->is_used) {
            deliver_report(this, sent, input);
        }
        break;
    }
    }
    check(this);
    Fuzz_Steps++;
}

/* Delivers all reports and loans; then all routers finish their requests,
 * leave and report. */
static void
settle_all(struct fixture *this)
{
    struct FuzzInput no_input = {.size = 0};
    for (uint32_t i = 0; i < REPORTS; i++) {
        if (this->sent[i].is_used) {
            deliver_report(this, &this->sent[i], &no_input);
        }
    }
    for (uint32_t i = 0; i < LOANS; i++) {
        deliver_loan(this, &this->loans[i], false);
    }
    for (uint32_t i = 0; i < ROUTERS; i++) {
        struct router *router = &this->routers[i];
        router->slices.is_leaving = true;
        for (uint32_t k = 0; k < REQUESTS; k++) {
            struct request *request = &router->requests[k];
            if (request->is_open) {
                this->spent[request->workspace] += request->reserved;
                MpSlices_Settle(&router->slices, names[request->workspace],
                                request->reserved, request->reserved);
                request->is_open = false;
            }
        }
        for (int round = 0; round < 2; round++) {
            this->now_ms += 2 * MP_SLICE_REPORT_MS;
            if (router->is_report_pending) {
                MpSlices_HandleReply(&router->slices, NULL, this->now_ms);
                router->is_report_pending = false;
            }
            send_report(this, i);
            for (uint32_t k = 0; k < REPORTS; k++) {
                if (this->sent[k].is_used) {
                    deliver_report(this, &this->sent[k], &no_input);
                }
            }
        }
    }
    check(this);
    for (uint32_t i = 0; i < WORKSPACES && !this->is_incarnation_lost; i++) {
        const struct MpAccount *account =
            MpLedger_FindAccount(&this->machine.ledger, names[i]);
        if (account->settled_mtok != this->spent[i]) {
            Fuzz_Fail("%s spent %" G_GINT64_FORMAT
                      " and was billed %" G_GINT64_FORMAT,
                      names[i], this->spent[i], account->settled_mtok);
        }
        if (!this->is_loan_lost &&
            account->leased_mtok + account->outstanding_mtok != 0) {
            Fuzz_Fail("all have left and %" G_GINT64_FORMAT
                      " of %s stay leased or outstanding",
                      account->leased_mtok + account->outstanding_mtok,
                      names[i]);
        }
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct FuzzInput input = {.data = data, .size = size};
    struct fixture *this = g_new0(struct fixture, 1);
    MpMachine_Init(&this->machine);
    this->prepaid[0] = 20000;
    this->prepaid[1] = 400000;
    grant(this);
    for (uint32_t i = 0; i < ROUTERS; i++) {
        g_snprintf(this->routers[i].name, sizeof(this->routers[i].name), "r%u",
                   i);
        start_incarnation(this, &this->routers[i]);
    }
    while (!FuzzInput_IsAtEnd(&input)) {
        step(this, &input);
    }
    settle_all(this);
    for (uint32_t i = 0; i < ROUTERS; i++) {
        MpSlices_Done(&this->routers[i].slices);
    }
    MpMachine_Done(&this->machine);
    g_free(this);
    return 0;
}
