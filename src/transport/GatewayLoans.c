#include "transport/GatewayLoans.h"

#include "coordination/Lenders.h"
#include "state/Error.h"
#include "state/Ledger.h"
#include "transport/GatewayCall.h"
#include "transport/GatewayLender.h"
#include "transport/Log.h"
#include "transport/RpcLink.h"

#include <inttypes.h>
#include <string.h>

/* A lender that says nothing for this long is left, ms: it may ask the quorum,
 * which answers within some round trips and a sync.  What it lends later
 * counts all the same. */
#define LEND_WAIT_MS 140
/* A reply counts until then, ms. */
#define LEND_LATE_MS 5000
/* ... when it is asked ahead; a loan that comes later is lost, ms. */
#define REFILL_WAIT_MS 2000
/* Pause between two looks at what purses have too much, ms. */
#define REPAY_MS 500
/* Pause until a connection that is being made is looked at again, ms: a round
 * trip between zones or two; and how often. */
#define CONNECT_WAIT_MS 12
#define CONNECT_LOOKS 2

/* A part of a budget that is being looked for. */
struct search {
    struct MpGatewayLoans *loans;
    char *workspace;
    GPtrArray *order; /* of char *, lenders to ask */
    guint next;
    uint32_t looks;  /* for a connection to the lender */
    uint64_t number; /* of the call under way, 0: none */
    bool is_spent;   /* somebody in touch with the ledger said so */
    bool was_heard;  /* a lender answered */
    struct MpTimer timer;
};

/* A call under way; its answer counts after the search has gone on, too. */
struct loan {
    struct MpGatewayLoans *loans;
    char *workspace;
    char *address;
    uint64_t number;
    int64_t asked_ms;
};

struct MpGatewayLoans {
    struct MpGateway *gateway;
    struct MpLenders lenders;
    GHashTable *clients;  /* address -> struct MpRpcClient */
    GHashTable *searches; /* workspace -> struct search */
    GHashTable *refills;  /* workspaces that are borrowed for ahead */
    struct MpGatewayLender lender;
    uint64_t calls; /* number of the last call */
    int64_t repaid_ms;
    /* counters */
    uint64_t borrowed;
    uint64_t repaid;
};

static void step(struct search *search);

/* ---- borrowing ---- */

static struct MpRpcClient *
client_of(struct MpGatewayLoans *this, const char *address)
{
    struct MpRpcClient *client = g_hash_table_lookup(this->clients, address);
    if (!client) {
        client = g_new0(struct MpRpcClient, 1);
        MpRpcClient_Init(client, this->gateway->loop, address,
                         this->gateway->settings->instance,
                         this->gateway->fleet->fleet_key);
        client->may_idle = true;
        g_hash_table_insert(this->clients, client->address, client);
    }
    return client;
}

static void
search_delete(struct search *search)
{
    MpLoop_ClearTimer(&search->timer);
    g_hash_table_remove(search->loans->searches, search->workspace);
    g_ptr_array_unref(search->order);
    g_free(search->workspace);
    g_free(search);
}

/* Returns the smallest amount that calls on workspace wait for, 0 for none. */
static int64_t
least_wanted(const struct MpGateway *gateway, const char *workspace)
{
    int64_t least_mtok = 0;
    for (GList *link = gateway->calls.head; link; link = link->next) {
        const struct MpGatewayCall *call = link->data;
        if (call->stage == MP_CALL_BUDGET &&
            strcmp(call->workspace, workspace) == 0 &&
            (least_mtok == 0 || call->reserved_mtok < least_mtok)) {
            least_mtok = call->reserved_mtok;
        }
    }
    return least_mtok;
}

static void
retry_calls(struct MpGateway *gateway, const char *workspace)
{
    GList *link = gateway->calls.head;
    while (link) {
        struct MpGatewayCall *call = link->data;
        link = link->next;
        if (call->stage == MP_CALL_BUDGET &&
            strcmp(call->workspace, workspace) == 0) {
            MpGatewayCall_RetryBudget(call, false);
        }
    }
}

/* Nobody is left to ask. */
static void
give_up(struct search *search)
{
    struct MpGateway *gateway = search->loans->gateway;
    int64_t now_ms = MpLoop_Now();
    char *workspace = g_strdup(search->workspace);
    bool asks_ledger = !search->was_heard && !search->is_spent &&
                       !MpSlices_IsPartitioned(&gateway->slices, now_ms);
    int code = search->is_spent ? MP_ERROR_BUDGET : MP_ERROR_NO_QUORUM;
    int64_t wanted_mtok = least_wanted(gateway, workspace);
    MpLog_Event(LOG_INFO, "loan-given-up",
                "workspace=%s wanted_mtok=%" PRId64
                " asked=%u heard=%d error=%s ledger=%d",
                workspace, wanted_mtok, search->order->len, search->was_heard,
                MpError_Name(code), asks_ledger);
    search_delete(search);
    if (asks_ledger) {
        MpSlices_RequestDirectly(&gateway->slices, workspace);
    }
    else if (wanted_mtok > 0) {
        MpSlices_NoteExhausted(&gateway->slices, workspace, wanted_mtok, code,
                               now_ms);
    }
    retry_calls(gateway, workspace);
    if (asks_ledger) {
        MpGateway_ReportSlices(gateway);
    }
    g_free(workspace);
}

static void
on_search_timer(struct MpTimer *timer)
{
    struct search *search = timer->data;
    if (search->number > 0) {
        MpLenders_NoteTimeout(&search->loans->lenders,
                              g_ptr_array_index(search->order, search->next),
                              MpLoop_Now());
        search->number = 0;
        search->next++;
    }
    step(search);
}

static void
set_search_timer(struct search *search, int64_t wait_ms)
{
    MpLoop_SetTimer(search->loans->gateway->loop, &search->timer, wait_ms,
                    on_search_timer, search);
}

/* Goes on after an answer: with the same lender as long as it gives. */
static void
go_on(struct search *search, bool has_more)
{
    struct MpGateway *gateway = search->loans->gateway;
    search->number = 0;
    search->next += !has_more;
    search->looks = 0;
    retry_calls(gateway, search->workspace);
    if (least_wanted(gateway, search->workspace) == 0) {
        search_delete(search);
        return;
    }
    set_search_timer(search, 0);
}

static void
on_lent(void *data, int code, const void *result)
{
    struct loan *loan = data;
    struct MpGatewayLoans *this = loan->loans;
    const struct mp_lend_reply *reply = result;
    int64_t now_ms = MpLoop_Now();
    int64_t lent_mtok = code == MP_OK ? reply->lent_mtok : 0;
    struct search *search =
        g_hash_table_lookup(this->searches, loan->workspace);
    bool is_refill = loan->number == 0;
    bool is_awaited = search && !is_refill && search->number == loan->number;
    if (is_refill) {
        g_hash_table_remove(this->refills, loan->workspace);
    }
    MpSlices_Credit(&this->gateway->slices, loan->workspace, lent_mtok);
    this->borrowed += lent_mtok > 0;
    if (code != MP_OK || reply->code != MP_OK || (!is_awaited && !is_refill)) {
        MpLog_Event(LOG_INFO, "loan-answered",
                    "workspace=%s lender=%s lent_mtok=%" PRId64
                    " error=%s took_ms=%" PRId64 " late=%d",
                    loan->workspace, loan->address, lent_mtok,
                    MpError_Name(code == MP_OK ? reply->code : code),
                    now_ms - loan->asked_ms, !is_awaited);
    }
    if (code != MP_OK) {
        MpLenders_NoteFailure(&this->lenders, loan->address, now_ms);
    }
    if (is_awaited) {
        search->was_heard |= code == MP_OK;
        search->is_spent |= code == MP_OK && reply->code == MP_ERROR_BUDGET;
        go_on(search, code == MP_OK && reply->code == MP_OK && lent_mtok > 0);
    }
    g_free(loan->workspace);
    g_free(loan->address);
    g_free(loan);
}

static struct loan *
loan_new(struct MpGatewayLoans *this, const char *workspace,
         const char *address, uint64_t number)
{
    struct loan *loan = g_new(struct loan, 1);
    *loan = (struct loan){.loans = this,
                          .workspace = g_strdup(workspace),
                          .address = g_strdup(address),
                          .number = number,
                          .asked_ms = MpLoop_Now()};
    return loan;
}

static void
ask(struct search *search, struct MpRpcClient *client)
{
    struct MpGatewayLoans *this = search->loans;
    struct MpSlices *slices = &this->gateway->slices;
    int64_t now_ms = MpLoop_Now();
    int64_t missing_mtok =
        MpSlices_Missing(slices, search->workspace,
                         least_wanted(this->gateway, search->workspace));
    struct mp_lend lend = {.workspace = search->workspace,
                           .need_mtok = missing_mtok,
                           .want_mtok =
                               MpSlices_LoanAmount(slices, search->workspace,
                                                   missing_mtok, now_ms)};
    search->number = ++this->calls;
    set_search_timer(search, LEND_WAIT_MS);
    MpRpcClient_Call(
        client, MP_PROC_LEND, &lend, LEND_LATE_MS, on_lent,
        loan_new(this, search->workspace, client->address, search->number));
}

/* Asks the next lender. */
static void
step(struct search *search)
{
    struct MpGatewayLoans *this = search->loans;
    if (least_wanted(this->gateway, search->workspace) == 0) {
        search_delete(search);
        return;
    }
    while (search->next < search->order->len) {
        const char *address = g_ptr_array_index(search->order, search->next);
        struct MpRpcClient *client = client_of(this, address);
        if (MpRpcClient_IsReady(client)) {
            ask(search, client);
            return;
        }
        if (client->conn && search->looks++ < CONNECT_LOOKS) {
            set_search_timer(search, CONNECT_WAIT_MS);
            return;
        }
        MpLenders_NoteFailure(&this->lenders, address, MpLoop_Now());
        search->looks = 0;
        search->next++;
    }
    give_up(search);
}

void
MpGatewayLoans_Refill(struct MpGatewayLoans *this, const char *workspace)
{
    int64_t want_mtok =
        MpSlices_PrefetchAmount(&this->gateway->slices, workspace);
    if (want_mtok == 0 || g_hash_table_contains(this->searches, workspace) ||
        g_hash_table_contains(this->refills, workspace)) {
        return;
    }
    GPtrArray *order = g_ptr_array_new_with_free_func(g_free);
    MpLenders_ListCandidates(&this->lenders, workspace, MpLoop_Now(), order);
    struct MpRpcClient *client =
        order->len > 0 ? client_of(this, g_ptr_array_index(order, 0)) : NULL;
    if (client && MpRpcClient_IsReady(client)) {
        struct mp_lend lend = {.workspace = (char *)workspace,
                               .need_mtok = 1,
                               .want_mtok = want_mtok};
        g_hash_table_add(this->refills, g_strdup(workspace));
        MpRpcClient_Call(client, MP_PROC_LEND, &lend, REFILL_WAIT_MS, on_lent,
                         loan_new(this, workspace, client->address, 0));
    }
    g_ptr_array_unref(order);
}

bool
MpGatewayLoans_Seek(struct MpGatewayLoans *this, const char *workspace,
                    int64_t amount_mtok, bool is_spent)
{
    const struct MpSlices *slices = &this->gateway->slices;
    const struct MpSlice *slice =
        g_hash_table_lookup(slices->slices, workspace);
    int64_t now_ms = MpLoop_Now();
    if (g_hash_table_contains(this->searches, workspace)) {
        return true;
    }
    if (slice && !is_spent && MpSlice_UsesLedger(slice) &&
        !MpSlices_IsPartitioned(slices, now_ms)) {
        MpGateway_ReportSlices(this->gateway);
        return true;
    }
    if (!this->lenders.address ||
        (is_spent && slice && !MpSlice_UsesLedger(slice))) {
        return false;
    }
    struct search *search = g_new0(struct search, 1);
    search->loans = this;
    search->workspace = g_strdup(workspace);
    search->is_spent = is_spent;
    search->order = g_ptr_array_new_with_free_func(g_free);
    MpLenders_ListCandidates(&this->lenders, workspace, now_ms, search->order);
    g_hash_table_insert(this->searches, search->workspace, search);
    MpLog_Event(LOG_DEBUG, "loan-sought",
                "workspace=%s wanted_mtok=%" PRId64 " lenders=%u spent=%d",
                workspace, amount_mtok, search->order->len, is_spent);
    /* Not at once: the calls that wait are being gone through. */
    set_search_timer(search, 0);
    return true;
}

/* ---- repayment ---- */

/* A repayment under way. */
struct repayment {
    struct MpGatewayLoans *loans;
    char *workspace;
    int64_t amount_mtok;
};

static void
on_repaid(void *data, int code, const void *result)
{
    struct repayment *repayment = data;
    const struct mp_repay_reply *reply = result;
    if (code == MP_OK && reply->code == MP_OK) {
        repayment->loans->repaid++;
    }
    else if (code == MP_OK) {
        MpSlices_Credit(&repayment->loans->gateway->slices,
                        repayment->workspace, repayment->amount_mtok);
    }
    else {
        /* The lender may have it: it stays counted. */
        MpLog_Event(LOG_INFO, "repayment-lost",
                    "workspace=%s amount_mtok=%" PRId64 " error=%s",
                    repayment->workspace, repayment->amount_mtok,
                    MpError_Name(code));
    }
    g_free(repayment->workspace);
    g_free(repayment);
}

static void
repay(struct MpGatewayLoans *this, const char *workspace, int64_t now_ms)
{
    GPtrArray *order = g_ptr_array_new_with_free_func(g_free);
    MpLenders_ListCandidates(&this->lenders, workspace, now_ms, order);
    struct MpRpcClient *client =
        order->len > 0 ? client_of(this, g_ptr_array_index(order, 0)) : NULL;
    g_ptr_array_unref(order);
    if (!client || !MpRpcClient_IsReady(client)) {
        return;
    }
    int64_t amount_mtok =
        MpSlices_TakeSurplus(&this->gateway->slices, workspace, now_ms);
    if (amount_mtok == 0) {
        return;
    }
    struct repayment *repayment = g_new(struct repayment, 1);
    *repayment = (struct repayment){.loans = this,
                                    .workspace = g_strdup(workspace),
                                    .amount_mtok = amount_mtok};
    struct mp_repay call = {.workspace = (char *)workspace,
                            .amount_mtok = amount_mtok};
    MpRpcClient_Call(client, MP_PROC_REPAY, &call, LEND_LATE_MS, on_repaid,
                     repayment);
}

static void
repay_all(struct MpGatewayLoans *this, int64_t now_ms)
{
    GHashTableIter iter;
    void *key;
    void *value;
    this->repaid_ms = now_ms;
    g_hash_table_iter_init(&iter, this->gateway->slices.slices);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct MpSlice *slice = value;
        if (slice->balance_mtok > 0 && !MpSlice_UsesLedger(slice) &&
            !g_hash_table_contains(this->searches, key)) {
            repay(this, key, now_ms);
        }
    }
}

void
MpGatewayLoans_Tick(struct MpGatewayLoans *this, int64_t now_ms)
{
    MpGatewayLender_Retry(&this->lender, false, now_ms);
    if (this->lenders.address && now_ms - this->repaid_ms >= REPAY_MS) {
        repay_all(this, now_ms);
    }
}

void
MpGatewayLoans_Answered(struct MpGatewayLoans *this, bool is_answered)
{
    MpGatewayLender_Retry(&this->lender, is_answered, MpLoop_Now());
    if (this->lender.waiting.length > 0) {
        MpGateway_ReportSlices(this->gateway);
    }
}

/* ---- the list ---- */

bool
MpGatewayLoans_Keeps(const struct MpGatewayLoans *this, const char *workspace)
{
    return MpLenders_IsPrimary(&this->lenders, workspace);
}

uint32_t
MpGatewayLoans_Keepers(const struct MpGatewayLoans *this)
{
    return this->lenders.address ? MpLenders_CountPrimaries(&this->lenders)
                                 : this->gateway->fleet->instances;
}

void
MpGatewayLoans_TakePeers(struct MpGatewayLoans *this,
                         const struct mp_lender *peers, uint32_t count)
{
    GPtrArray *near = g_ptr_array_new_with_free_func(g_free);
    MpLenders_SetPeers(&this->lenders, peers, count);
    MpLenders_ListOwnZone(&this->lenders, near);
    MpLog_Event(LOG_NOTICE, "lenders-told", "peers=%u near=%u keepers=%u",
                count, near->len, MpLenders_CountPrimaries(&this->lenders));
    for (guint i = 0; i < near->len; i++) {
        client_of(this, g_ptr_array_index(near, i));
    }
    g_ptr_array_unref(near);
}

int
MpGatewayLoans_Start(struct MpGateway *gateway)
{
    struct MpGatewayLoans *this = g_new0(struct MpGatewayLoans, 1);
    const char *address = gateway->settings->listen.peers;
    this->gateway = gateway;
    gateway->loans = this;
    MpLenders_Init(&this->lenders, address, gateway->settings->zone);
    this->clients = g_hash_table_new(g_str_hash, g_str_equal);
    this->searches = g_hash_table_new(g_str_hash, g_str_equal);
    this->refills =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return address ? MpGatewayLender_Start(&this->lender, gateway, address)
                   : MP_OK;
}

void
MpGatewayLoans_WriteMetrics(const struct MpGatewayLoans *this, GString *out)
{
    MpMetrics_WriteValue(out, "mimosapath_lenders_known", NULL, NULL,
                         this->lenders.peer_count);
    MpMetrics_WriteValue(out, "mimosapath_loans_given_total", NULL, NULL,
                         (int64_t)this->lender.lent);
    MpMetrics_WriteValue(out, "mimosapath_loans_refused_total", NULL, NULL,
                         (int64_t)this->lender.refused);
    MpMetrics_WriteValue(out, "mimosapath_loans_taken_total", NULL, NULL,
                         (int64_t)this->borrowed);
    MpMetrics_WriteValue(out, "mimosapath_loans_repaid_total", NULL, NULL,
                         (int64_t)this->repaid);
    MpMetrics_WriteValue(out, "mimosapath_purses_mtok", NULL, NULL,
                         MpSlices_Balances(&this->gateway->slices));
}
