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

/* The next lender is asked when one has not replied within this time, ms.  A
 * lender may have to ask the quorum, which takes some round trips and a disk
 * sync.  A loan in a later reply is still used. */
#define LEND_WAIT_MS 140
/* Replies to lend and repay calls are accepted for this long, ms. */
#define LEND_EXPIRY_MS 5000
/* The reply to a prefetch is accepted for this long, ms; a loan in a later one
 * is lost. */
#define PREFETCH_EXPIRY_MS 2000
/* Interval between checks for surplus balances, ms. */
#define REPAY_INTERVAL_MS 500
/* Delay until a connection that is being established is checked again, ms; one
 * or two round trips between zones.  CONNECT_CHECKS_MAX limits the checks. */
#define CONNECT_WAIT_MS 12
#define CONNECT_CHECKS_MAX 2

/* A request for a loan to one workspace; asks one lender at a time. */
struct loan_request {
    struct MpGatewayLoans *loans;
    char *workspace;
    GPtrArray *addresses; /* of char *, lenders to ask */
    guint next;
    uint32_t connect_checks; /* of the connection to the lender */
    uint64_t call_number;    /* of the lend call in flight, 0: none */
    bool is_exhausted;       /* as the ledger or a lender replied */
    bool has_reply;          /* a lender has replied */
    struct MpTimer timer;
};

/* A lend call in flight.  Its loan is used even if the request has gone on to
 * another lender. */
struct lend_call {
    struct MpGatewayLoans *loans;
    char *workspace;
    char *address;
    uint64_t call_number;
    int64_t sent_ms;
};

struct MpGatewayLoans {
    struct MpGateway *gateway;
    struct MpLenders lenders;
    GHashTable *clients;    /* address -> struct MpRpcClient */
    GHashTable *requests;   /* workspace -> struct loan_request */
    GHashTable *prefetches; /* set of workspaces being prefetched */
    struct MpGatewayLender lender;
    uint64_t last_call_number;
    int64_t last_repay_ms;
    /* counters */
    uint64_t borrowed;
    uint64_t repaid;
};

static void try_next_lender(struct loan_request *request);

/* ---- borrowing ---- */

struct MpRpcClient *
MpGatewayLoans_GetClient(struct MpGatewayLoans *this, const char *address)
{
    struct MpRpcClient *client = g_hash_table_lookup(this->clients, address);
    if (!client) {
        client = g_new0(struct MpRpcClient, 1);
        MpRpcClient_Init(client, this->gateway->loop, address,
                         this->gateway->settings->instance,
                         this->gateway->control->fleet_key);
        client->may_idle = true;
        g_hash_table_insert(this->clients, client->address, client);
    }
    return client;
}

static void
request_delete(struct loan_request *request)
{
    MpLoop_ClearTimer(&request->timer);
    g_hash_table_remove(request->loans->requests, request->workspace);
    g_ptr_array_unref(request->addresses);
    g_free(request->workspace);
    g_free(request);
}

/* Returns the smallest amount that a call of workspace waits for, 0 if none
 * waits. */
static int64_t
min_wanted(const struct MpGateway *gateway, const char *workspace)
{
    int64_t min_mtok = 0;
    for (GList *link = gateway->calls.head; link; link = link->next) {
        const struct MpGatewayCall *call = link->data;
        if (call->stage == MP_CALL_BUDGET &&
            strcmp(call->workspace, workspace) == 0 &&
            (min_mtok == 0 || call->reserved_mtok < min_mtok)) {
            min_mtok = call->reserved_mtok;
        }
    }
    return min_mtok;
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
            MpGatewayCall_RetryReserve(call, false);
        }
    }
}

/* Ends a request that no lender has covered.  If none has replied and the
 * ledger can be reached, the ledger is asked; otherwise the refusal is
 * cached. */
static void
give_up(struct loan_request *request)
{
    struct MpGateway *gateway = request->loans->gateway;
    int64_t now_ms = MpLoop_Now();
    char *workspace = g_strdup(request->workspace);
    bool may_ask_ledger = !request->has_reply && !request->is_exhausted &&
                          !MpSlices_IsPartitioned(&gateway->slices, now_ms);
    int code = request->is_exhausted ? MP_ERROR_BUDGET : MP_ERROR_NO_QUORUM;
    int64_t wanted_mtok = min_wanted(gateway, workspace);
    MpLog_Event(LOG_INFO, "loan-given-up",
                "workspace=%s wanted_mtok=%" PRId64
                " asked=%u heard=%d error=%s ledger=%d",
                workspace, wanted_mtok, request->addresses->len,
                request->has_reply, MpError_Name(code), may_ask_ledger);
    request_delete(request);
    if (may_ask_ledger) {
        MpSlices_RequestDirectly(&gateway->slices, workspace);
    }
    else if (wanted_mtok > 0) {
        MpSlices_NoteExhausted(&gateway->slices, workspace, wanted_mtok, code,
                               now_ms);
    }
    retry_calls(gateway, workspace);
    if (may_ask_ledger) {
        MpGateway_ReportSlices(gateway);
    }
    g_free(workspace);
}

static void
on_request_timer(struct MpTimer *timer)
{
    struct loan_request *request = timer->data;
    if (request->call_number > 0) {
        MpLenders_NoteTimeout(
            &request->loans->lenders,
            g_ptr_array_index(request->addresses, request->next),
            MpLoop_Now());
        request->call_number = 0;
        request->next++;
    }
    try_next_lender(request);
}

static void
set_request_timer(struct loan_request *request, int64_t wait_ms)
{
    MpLoop_SetTimer(request->loans->gateway->loop, &request->timer, wait_ms,
                    on_request_timer, request);
}

/* Continues after a reply, with the same lender as long as it lends. */
static void
continue_request(struct loan_request *request, bool has_more)
{
    struct MpGateway *gateway = request->loans->gateway;
    request->call_number = 0;
    request->next += !has_more;
    request->connect_checks = 0;
    retry_calls(gateway, request->workspace);
    if (min_wanted(gateway, request->workspace) == 0) {
        request_delete(request);
        return;
    }
    set_request_timer(request, 0);
}

static void
on_lend_reply(void *data, int code, const void *result)
{
    struct lend_call *call = data;
    struct MpGatewayLoans *this = call->loans;
    const struct mp_lend_reply *reply = result;
    int64_t now_ms = MpLoop_Now();
    int64_t lent_mtok = code == MP_OK ? reply->lent_mtok : 0;
    struct loan_request *request =
        g_hash_table_lookup(this->requests, call->workspace);
    bool is_prefetch = call->call_number == 0;
    bool is_awaited =
        request && !is_prefetch && request->call_number == call->call_number;
    if (is_prefetch) {
        g_hash_table_remove(this->prefetches, call->workspace);
    }
    MpSlices_Credit(&this->gateway->slices, call->workspace, lent_mtok);
    this->borrowed += lent_mtok > 0;
    if (code != MP_OK || reply->code != MP_OK ||
        (!is_awaited && !is_prefetch)) {
        MpLog_Event(LOG_INFO, "loan-answered",
                    "workspace=%s lender=%s lent_mtok=%" PRId64
                    " error=%s took_ms=%" PRId64 " late=%d",
                    call->workspace, call->address, lent_mtok,
                    MpError_Name(code == MP_OK ? reply->code : code),
                    now_ms - call->sent_ms, !is_awaited);
    }
    if (code != MP_OK) {
        MpLenders_NoteFailure(&this->lenders, call->address, now_ms);
    }
    if (is_awaited) {
        request->has_reply |= code == MP_OK;
        request->is_exhausted |=
            code == MP_OK && reply->code == MP_ERROR_BUDGET;
        continue_request(request, code == MP_OK && reply->code == MP_OK &&
                                      lent_mtok > 0);
    }
    g_free(call->workspace);
    g_free(call->address);
    g_free(call);
}

static struct lend_call *
lend_call_new(struct MpGatewayLoans *this, const char *workspace,
              const char *address, uint64_t call_number)
{
    struct lend_call *call = g_new(struct lend_call, 1);
    *call = (struct lend_call){.loans = this,
                               .workspace = g_strdup(workspace),
                               .address = g_strdup(address),
                               .call_number = call_number,
                               .sent_ms = MpLoop_Now()};
    return call;
}

static void
send_lend(struct loan_request *request, struct MpRpcClient *client)
{
    struct MpGatewayLoans *this = request->loans;
    struct MpSlices *slices = &this->gateway->slices;
    int64_t now_ms = MpLoop_Now();
    int64_t missing_mtok =
        MpSlices_Missing(slices, request->workspace,
                         min_wanted(this->gateway, request->workspace));
    struct mp_lend lend = {.workspace = request->workspace,
                           .need_mtok = missing_mtok,
                           .want_mtok =
                               MpSlices_LoanAmount(slices, request->workspace,
                                                   missing_mtok, now_ms)};
    request->call_number = ++this->last_call_number;
    set_request_timer(request, LEND_WAIT_MS);
    MpRpcClient_Call(client, MP_PROC_LEND, &lend, LEND_EXPIRY_MS,
                     on_lend_reply,
                     lend_call_new(this, request->workspace, client->address,
                                   request->call_number));
}

/* Asks the next lender that is connected, or gives up. */
static void
try_next_lender(struct loan_request *request)
{
    struct MpGatewayLoans *this = request->loans;
    if (min_wanted(this->gateway, request->workspace) == 0) {
        request_delete(request);
        return;
    }
    while (request->next < request->addresses->len) {
        const char *address =
            g_ptr_array_index(request->addresses, request->next);
        struct MpRpcClient *client = MpGatewayLoans_GetClient(this, address);
        if (MpRpcClient_IsReady(client)) {
            send_lend(request, client);
            return;
        }
        if (client->conn && request->connect_checks++ < CONNECT_CHECKS_MAX) {
            set_request_timer(request, CONNECT_WAIT_MS);
            return;
        }
        MpLenders_NoteFailure(&this->lenders, address, MpLoop_Now());
        request->connect_checks = 0;
        request->next++;
    }
    give_up(request);
}

void
MpGatewayLoans_Prefetch(struct MpGatewayLoans *this, const char *workspace)
{
    int64_t want_mtok =
        MpSlices_PrefetchAmount(&this->gateway->slices, workspace);
    if (want_mtok == 0 || g_hash_table_contains(this->requests, workspace) ||
        g_hash_table_contains(this->prefetches, workspace)) {
        return;
    }
    GPtrArray *addresses = g_ptr_array_new_with_free_func(g_free);
    MpLenders_ListCandidates(&this->lenders, workspace, MpLoop_Now(),
                             addresses);
    struct MpRpcClient *client =
        addresses->len > 0
            ? MpGatewayLoans_GetClient(this, g_ptr_array_index(addresses, 0))
            : NULL;
    if (client && MpRpcClient_IsReady(client)) {
        struct mp_lend lend = {.workspace = (char *)workspace,
                               .need_mtok = 1,
                               .want_mtok = want_mtok};
        g_hash_table_add(this->prefetches, g_strdup(workspace));
        MpRpcClient_Call(client, MP_PROC_LEND, &lend, PREFETCH_EXPIRY_MS,
                         on_lend_reply,
                         lend_call_new(this, workspace, client->address, 0));
    }
    g_ptr_array_unref(addresses);
}

bool
MpGatewayLoans_RequestLoan(struct MpGatewayLoans *this, const char *workspace,
                           int64_t amount_mtok, bool is_exhausted)
{
    const struct MpSlices *slices = &this->gateway->slices;
    const struct MpSlice *slice =
        g_hash_table_lookup(slices->slices, workspace);
    int64_t now_ms = MpLoop_Now();
    if (g_hash_table_contains(this->requests, workspace)) {
        return true;
    }
    if (slice && !is_exhausted && MpSlice_UsesLedger(slice) &&
        !MpSlices_IsPartitioned(slices, now_ms)) {
        MpGateway_ReportSlices(this->gateway);
        return true;
    }
    if (!this->lenders.address ||
        (is_exhausted && slice && !MpSlice_UsesLedger(slice))) {
        return false;
    }
    struct loan_request *request = g_new0(struct loan_request, 1);
    request->loans = this;
    request->workspace = g_strdup(workspace);
    request->is_exhausted = is_exhausted;
    request->addresses = g_ptr_array_new_with_free_func(g_free);
    MpLenders_ListCandidates(&this->lenders, workspace, now_ms,
                             request->addresses);
    g_hash_table_insert(this->requests, request->workspace, request);
    MpLog_Event(LOG_DEBUG, "loan-sought",
                "workspace=%s wanted_mtok=%" PRId64 " lenders=%u spent=%d",
                workspace, amount_mtok, request->addresses->len, is_exhausted);
    /* The timer starts the request, as the caller may be iterating over the
     * waiting calls. */
    set_request_timer(request, 0);
    return true;
}

/* ---- repayment ---- */

/* A repay call in flight. */
struct repayment {
    struct MpGatewayLoans *loans;
    char *workspace;
    int64_t amount_mtok;
};

static void
on_repay_reply(void *data, int code, const void *result)
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
        /* The lender may have received the amount, so it is not credited
         * here again.  The ledger keeps counting it as drawn. */
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
    GPtrArray *addresses = g_ptr_array_new_with_free_func(g_free);
    MpLenders_ListCandidates(&this->lenders, workspace, now_ms, addresses);
    struct MpRpcClient *client =
        addresses->len > 0
            ? MpGatewayLoans_GetClient(this, g_ptr_array_index(addresses, 0))
            : NULL;
    g_ptr_array_unref(addresses);
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
    MpRpcClient_Call(client, MP_PROC_REPAY, &call, LEND_EXPIRY_MS,
                     on_repay_reply, repayment);
}

static void
repay_all(struct MpGatewayLoans *this, int64_t now_ms)
{
    GHashTableIter iter;
    void *key;
    void *value;
    this->last_repay_ms = now_ms;
    g_hash_table_iter_init(&iter, this->gateway->slices.slices);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct MpSlice *slice = value;
        if (slice->balance_mtok > 0 && !MpSlice_UsesLedger(slice) &&
            !g_hash_table_contains(this->requests, key)) {
            repay(this, key, now_ms);
        }
    }
}

void
MpGatewayLoans_Tick(struct MpGatewayLoans *this, int64_t now_ms)
{
    MpGatewayLender_Retry(&this->lender, false, now_ms);
    if (this->lenders.address &&
        now_ms - this->last_repay_ms >= REPAY_INTERVAL_MS) {
        repay_all(this, now_ms);
    }
}

void
MpGatewayLoans_ReportDone(struct MpGatewayLoans *this, bool is_answered)
{
    MpGatewayLender_Retry(&this->lender, is_answered, MpLoop_Now());
    if (this->lender.pending.length > 0) {
        MpGateway_ReportSlices(this->gateway);
    }
}

/* ---- lenders ---- */

bool
MpGatewayLoans_IsPrimary(const struct MpGatewayLoans *this,
                         const char *workspace)
{
    return MpLenders_IsPrimary(&this->lenders, workspace);
}

guint
MpGatewayLoans_ListKeepers(const struct MpGatewayLoans *this,
                           const char *incarnation, GPtrArray *out)
{
    return MpLenders_ListKeepers(&this->lenders, incarnation, out);
}

uint32_t
MpGatewayLoans_CountPrimaries(const struct MpGatewayLoans *this)
{
    return this->lenders.address ? MpLenders_CountPrimaries(&this->lenders)
                                 : this->gateway->control->instances;
}

void
MpGatewayLoans_SetPeers(struct MpGatewayLoans *this,
                        const struct mp_lender *peers, uint32_t count)
{
    GPtrArray *own_zone = g_ptr_array_new_with_free_func(g_free);
    MpLenders_SetPeers(&this->lenders, peers, count);
    MpLenders_ListOwnZone(&this->lenders, MpLoop_Now(), own_zone);
    MpLog_Event(LOG_NOTICE, "lenders-told",
                "peers=%u near=%u keepers=%u instances=%u",
                this->lenders.peer_count, own_zone->len,
                MpLenders_CountPrimaries(&this->lenders), count);
    for (guint i = 0; i < own_zone->len; i++) {
        MpGatewayLoans_GetClient(this, g_ptr_array_index(own_zone, i));
    }
    g_ptr_array_unref(own_zone);
}

/* Listens for other instances: on the address of the settings, else on a free
 * port of the host that callers use, if that is a single one. */
static int
start_listening(struct MpGatewayLoans *this)
{
    const struct MpSettings *settings = this->gateway->settings;
    const char *callers = settings->listen.callers;
    char *host = g_strndup(callers, strcspn(callers, ":"));
    char *address = settings->listen.peers ? g_strdup(settings->listen.peers)
                                           : g_strdup_printf("%s:0", host);
    int code = MP_OK;
    if (settings->listen.peers || strcmp(host, "0.0.0.0") != 0) {
        code = MpGatewayLender_Start(&this->lender, this->gateway, address);
        this->gateway->control->peers_address =
            settings->listen.peers
                ? g_strdup(address)
                : g_strdup_printf("%s:%u", host, this->lender.server.port);
    }
    g_free(address);
    g_free(host);
    return code;
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
    this->requests = g_hash_table_new(g_str_hash, g_str_equal);
    this->prefetches =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return start_listening(this);
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
    MpMetrics_WriteValue(out, "mimosapath_peers_without_hello_total", NULL,
                         NULL, (int64_t)this->lender.server.ungreeted);
    MpMetrics_WriteValue(out, "mimosapath_purses_mtok", NULL, NULL,
                         MpSlices_Balances(&this->gateway->slices));
}
