#include "transport/LeaseManager.h"

#include "state/Codec.h"
#include "state/Journal.h"
#include "transport/Exchange.h"
#include "transport/FileDisk.h"
#include "transport/Log.h"
#include "transport/Worker.h"

#include <string.h>

#define TICK_MS 500
/* A lease covers the demand of this time; more is requested when less than
 * half of that is left. */
#define LEASE_COVER_MS 30000
/* Time constant of the exponentially decaying sum of demand; the sum is about
 * the demand of this time. */
#define DEMAND_DECAY_MS 7500
/* A lease is returned after this time without demand. */
#define LEASE_IDLE_MS 10000
/* Shortest time between two requests for a lease, so that an exhausted budget
 * is not requested with every tick. */
#define REQUEST_INTERVAL_MS 2000

/* The lease on one workspace's budget. */
struct held_lease {
    char *workspace;
    int64_t amount_mtok;  /* available to spend */
    int64_t recent_mtok;  /* decaying sum of the reservations */
    int64_t demand_ms;    /* time of the last demand */
    int64_t requested_ms; /* time of the last request for more */
    uint64_t seq;         /* of the last lease command */
    bool is_request_pending;
    bool is_return_pending; /* return the lease after the pending reply */
};

struct MpLeaseManager {
    struct MpRouter *router;
    GHashTable *leases; /* workspace -> struct held_lease */
    struct MpFileDisk disk;
    struct MpJournal journal;
    struct MpWorker worker;
    bool has_journal;
    GHashTable *recovered; /* journal entries of earlier incarnations,
                            * or NULL */
    uint64_t boot;
    uint64_t pending_proposals; /* commands without a reply */
    uint64_t offline_pending;   /* offline requests that are not billed */
    struct MpTimer timer;
};

/* ---- leases ---- */

static struct held_lease *
lease_of(struct MpLeaseManager *this, const char *workspace)
{
    struct held_lease *lease = g_hash_table_lookup(this->leases, workspace);
    if (!lease) {
        lease = g_new0(struct held_lease, 1);
        lease->workspace = g_strdup(workspace);
        g_hash_table_insert(this->leases, lease->workspace, lease);
    }
    return lease;
}

static void
on_reply(void *data, int code, const struct mp_result *result)
{
    struct MpLeaseManager *this = data;
    (void)code;
    (void)result;
    this->pending_proposals--;
}

static void
return_amount(struct MpLeaseManager *this, struct held_lease *lease,
              struct mp_incarnation holder, int64_t amount_mtok)
{
    struct mp_command command = {.body = {.kind = MP_CMD_LEASE_RETURN}};
    if (amount_mtok <= 0) {
        return;
    }
    command.body.mp_command_body_u.lease_return =
        (struct mp_lease){.incarnation = holder,
                          .workspace = lease->workspace,
                          .seq = ++lease->seq,
                          .amount_mtok = amount_mtok};
    this->pending_proposals++;
    MpControlClient_Propose(&this->router->control, &command, 0, on_reply,
                            this);
}

/* Returns the whole lease.  Its amount is zeroed before the command is sent,
 * so that it cannot be spent any more. */
static void
return_lease(struct MpLeaseManager *this, struct held_lease *lease)
{
    int64_t amount_mtok = lease->amount_mtok;
    if (lease->is_request_pending) {
        /* The reply will grant more: everything is returned then. */
        lease->is_return_pending = true;
        return;
    }
    lease->amount_mtok = 0;
    return_amount(this, lease, MpControlClient_Holder(&this->router->control),
                  amount_mtok);
}

/* A lease command without a reply. */
struct lease_call {
    struct MpLeaseManager *manager;
    struct held_lease *lease;
    uint64_t boot;
};

static void
on_lease_granted(void *data, int code, const struct mp_result *result)
{
    struct lease_call *call = data;
    struct MpLeaseManager *this = call->manager;
    struct held_lease *lease = call->lease;
    lease->is_request_pending = false;
    this->pending_proposals--;
    if (code == MP_OK && result->code == MP_OK) {
        if (call->boot == this->boot) {
            lease->amount_mtok += result->amount_mtok;
        }
        else {
            struct mp_incarnation old_holder =
                MpControlClient_Holder(&this->router->control);
            old_holder.boot = call->boot;
            return_amount(this, lease, old_holder, result->amount_mtok);
        }
    }
    if (lease->is_return_pending) {
        lease->is_return_pending = false;
        return_lease(this, lease);
    }
    g_free(call);
}

static void
request_lease(struct MpLeaseManager *this, struct held_lease *lease,
              int64_t amount_mtok)
{
    struct mp_command command = {.body = {.kind = MP_CMD_LEASE}};
    struct lease_call *call = g_new0(struct lease_call, 1);
    call->manager = this;
    call->lease = lease;
    call->boot = this->boot;
    lease->is_request_pending = true;
    this->pending_proposals++;
    command.body.mp_command_body_u.lease = (struct mp_lease){
        .incarnation = MpControlClient_Holder(&this->router->control),
        .workspace = lease->workspace,
        .seq = ++lease->seq,
        .amount_mtok = amount_mtok};
    MpControlClient_Propose(&this->router->control, &command, 0,
                            on_lease_granted, call);
}

void
MpLeaseManager_Recall(struct MpLeaseManager *this, const char *workspace)
{
    struct held_lease *lease = lease_of(this, workspace);
    lease->recent_mtok = 0;
    return_lease(this, lease);
}

void
MpLeaseManager_ReturnAll(struct MpLeaseManager *this)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, this->leases);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        return_lease(this, value);
    }
}

static const struct MpWorkspaceConf *
find_workspace_conf(const struct MpLeaseManager *this, const char *workspace)
{
    const struct MpDocument *document = this->router->control.document;
    return document ? g_hash_table_lookup(document->workspaces, workspace)
                    : NULL;
}

/* Returns the part of the lease above amount_mtok. */
static void
shrink(struct MpLeaseManager *this, struct held_lease *lease,
       int64_t amount_mtok)
{
    int64_t unused_mtok = lease->amount_mtok - amount_mtok;
    lease->amount_mtok = amount_mtok;
    return_amount(this, lease, MpControlClient_Holder(&this->router->control),
                  unused_mtok);
}

static void
adjust(struct MpLeaseManager *this, struct held_lease *lease)
{
    const struct MpWorkspaceConf *conf =
        find_workspace_conf(this, lease->workspace);
    int64_t wanted_mtok =
        lease->recent_mtok * (LEASE_COVER_MS / DEMAND_DECAY_MS);
    bool is_idle = MpLoop_Now() - lease->demand_ms > LEASE_IDLE_MS;
    lease->recent_mtok -= lease->recent_mtok / (DEMAND_DECAY_MS / TICK_MS);
    if (lease->is_request_pending ||
        MpControlClient_IsPartitioned(&this->router->control)) {
        return;
    }
    if (!conf || conf->partition != MP_PARTITION_LEASE || is_idle) {
        lease->recent_mtok = 0;
        return_lease(this, lease);
    }
    else if (lease->amount_mtok < wanted_mtok / 2 &&
             MpLoop_Now() - lease->requested_ms > REQUEST_INTERVAL_MS) {
        lease->requested_ms = MpLoop_Now();
        request_lease(this, lease, wanted_mtok - lease->amount_mtok);
    }
    else if (lease->amount_mtok > 2 * wanted_mtok) {
        shrink(this, lease, wanted_mtok);
    }
}

static void
on_timer(struct MpTimer *timer)
{
    struct MpLeaseManager *this = timer->data;
    GHashTableIter iter;
    void *value;
    bool is_usable = this->boot > 0 && !this->router->is_draining;
    g_hash_table_iter_init(&iter, this->leases);
    while (is_usable && g_hash_table_iter_next(&iter, NULL, &value)) {
        adjust(this, value);
    }
    MpLoop_SetTimer(this->router->loop, &this->timer, TICK_MS, on_timer, this);
}

void
MpLeaseManager_RecordDemand(struct MpLeaseManager *this,
                            const struct MpExchange *exchange)
{
    if (this->has_journal && !exchange->at_most_once &&
        exchange->workspace_conf->partition == MP_PARTITION_LEASE) {
        struct held_lease *lease = lease_of(this, exchange->workspace);
        lease->recent_mtok += exchange->reserve_mtok;
        lease->demand_ms = MpLoop_Now();
    }
}

/* ---- offline requests ---- */

/* A journal entry that the worker writes. */
struct journal_job {
    struct MpLeaseManager *manager;
    struct MpExchange *exchange;
    struct mp_journal_entry entry;
    int64_t spent_mtok;
};

static int
work_append(void *data)
{
    struct journal_job *job = data;
    return MpJournal_Append(&job->manager->journal, &job->entry);
}

static struct journal_job *
job_new(struct MpLeaseManager *this, struct MpExchange *exchange,
        bool is_settled, int64_t spent_mtok)
{
    struct journal_job *job = g_new0(struct journal_job, 1);
    job->manager = this;
    job->exchange = exchange;
    job->spent_mtok = spent_mtok;
    job->entry.settled = is_settled;
    job->entry.request = (struct mp_offline){.incarnation = exchange->holder,
                                             .workspace = exchange->workspace,
                                             .key = exchange->key,
                                             .spent_mtok = spent_mtok};
    memcpy(job->entry.request.body_hash, exchange->body_hash, MP_HASH_BYTES);
    return job;
}

static void
on_start_journaled(void *data, int code)
{
    struct journal_job *job = data;
    struct MpExchange *exchange = job->exchange;
    if (code != MP_OK) {
        lease_of(job->manager, exchange->workspace)->amount_mtok +=
            exchange->reserve_mtok;
        job->manager->offline_pending--;
        MpLog_Event(LOG_ERR, "journal-failed", "error=%s", MpError_Name(code));
        MpExchange_Shed(exchange, MP_ERROR_NO_QUORUM);
        g_free(job);
        return;
    }
    g_free(job);
    MpExchange_RunOffline(exchange);
}

bool
MpLeaseManager_TryOffline(struct MpLeaseManager *this,
                          struct MpExchange *exchange)
{
    if (!this->has_journal || exchange->at_most_once ||
        exchange->workspace_conf->partition != MP_PARTITION_LEASE ||
        exchange->holder.boot != this->boot) {
        return false;
    }
    struct held_lease *lease = lease_of(this, exchange->workspace);
    if (lease->amount_mtok < exchange->reserve_mtok) {
        return false;
    }
    lease->amount_mtok -= exchange->reserve_mtok;
    exchange->is_offline = true;
    this->offline_pending++;
    MpMetrics_Count(&this->router->metrics, "mimosapath_offline_total",
                    "workspace", exchange->workspace, 1);
    MpWorker_Submit(&this->worker, work_append, on_start_journaled,
                    job_new(this, exchange, false, 0));
    return true;
}

static void
on_cleared(void *data, int code)
{
    (void)data;
    (void)code;
}

static int
work_clear(void *data)
{
    struct MpLeaseManager *this = data;
    return MpJournal_Clear(&this->journal);
}

static void
end_offline_request(struct MpLeaseManager *this)
{
    this->offline_pending--;
    if (this->offline_pending == 0) {
        MpWorker_Submit(&this->worker, work_clear, on_cleared, this);
    }
}

static void
on_billed(void *data, int code, const struct mp_result *result)
{
    struct MpLeaseManager *this = data;
    if (code != MP_OK || result->code != MP_OK) {
        MpMetrics_Count(&this->router->metrics,
                        "mimosapath_offline_unbilled_total", "cause",
                        MpError_Name(result ? result->code : code), 1);
    }
    this->pending_proposals--;
    end_offline_request(this);
}

static void
bill(struct MpLeaseManager *this, const struct mp_offline *offline)
{
    struct mp_command command = {.body = {.kind = MP_CMD_OFFLINE}};
    command.body.mp_command_body_u.offline = *offline;
    this->pending_proposals++;
    MpControlClient_Propose(&this->router->control, &command, 0, on_billed,
                            this);
}

static void
on_settle_journaled(void *data, int code)
{
    struct journal_job *job = data;
    struct MpLeaseManager *this = job->manager;
    struct MpExchange *exchange = job->exchange;
    struct held_lease *lease = lease_of(this, exchange->workspace);
    int64_t unused_mtok = exchange->reserve_mtok - job->spent_mtok;
    if (code != MP_OK) {
        /* The bill is not durable: the response must not be completed. */
        MpExchange_AbortResponse(exchange, MP_ERROR_OUTCOME_UNKNOWN);
    }
    if (exchange->holder.boot == this->boot) {
        lease->amount_mtok += unused_mtok;
    }
    else {
        return_amount(this, lease, exchange->holder, unused_mtok);
    }
    if (job->spent_mtok > 0) {
        bill(this, &job->entry.request);
    }
    else {
        end_offline_request(this);
    }
    g_free(job);
    MpExchange_FinishSettled(exchange);
}

void
MpLeaseManager_Settle(struct MpLeaseManager *this, struct MpExchange *exchange,
                      int64_t spent_mtok)
{
    int64_t spent = CLAMP(spent_mtok, 0, exchange->reserve_mtok);
    MpWorker_Submit(&this->worker, work_append, on_settle_journaled,
                    job_new(this, exchange, true, spent));
}

void
MpLeaseManager_SettleNotRun(struct MpLeaseManager *this,
                            const struct MpExchange *exchange)
{
    struct mp_command command = {.body = {.kind = MP_CMD_SETTLE}};
    command.body.mp_command_body_u.settle =
        (struct mp_settle){.incarnation = exchange->holder,
                           .workspace = exchange->workspace,
                           .key = exchange->key,
                           .open_id = exchange->open_id,
                           .outcome = MP_RECORD_NOT_RUN,
                           .content_type = (char *)""};
    this->pending_proposals++;
    MpControlClient_Propose(&this->router->control, &command, 0, on_reply,
                            this);
}

/* ---- registration ---- */

/* Frees the leases of earlier incarnations for native requests, once all
 * requests in the journal are billed.  The lock on the data folder proves that
 * the earlier processes have ended. */
static void
write_off_earlier_boots(struct MpLeaseManager *this)
{
    struct mp_command command = {.body = {.kind = MP_CMD_WRITEOFF}};
    if (this->boot < 2) {
        return;
    }
    command.body.mp_command_body_u.writeoff = (struct mp_writeoff){
        .incarnation = {.instance = this->router->settings->instance,
                        .boot = this->boot - 1}};
    this->pending_proposals++;
    MpControlClient_Propose(&this->router->control, &command, 0, on_reply,
                            this);
}

static void
on_recovered_billed(void *data, int code, const struct mp_result *result)
{
    struct MpLeaseManager *this = data;
    on_billed(this, code, result);
    if (this->offline_pending == 0) {
        write_off_earlier_boots(this);
    }
}

static void
bill_recovered(struct MpLeaseManager *this)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, this->recovered);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct mp_journal_entry *entry = value;
        struct mp_command command = {.body = {.kind = MP_CMD_OFFLINE}};
        if (!entry->settled || entry->request.spent_mtok == 0) {
            continue; /* not answered completely, or free of charge */
        }
        command.body.mp_command_body_u.offline = entry->request;
        this->pending_proposals++;
        this->offline_pending++;
        MpControlClient_Propose(&this->router->control, &command, 0,
                                on_recovered_billed, this);
    }
    if (this->offline_pending == 0) {
        write_off_earlier_boots(this);
    }
    g_clear_pointer(&this->recovered, g_hash_table_unref);
}

void
MpLeaseManager_Registered(struct MpLeaseManager *this, uint64_t boot)
{
    GHashTableIter iter;
    void *value;
    struct mp_incarnation old_holder = {
        .instance = this->router->settings->instance, .boot = this->boot};
    g_hash_table_iter_init(&iter, this->leases);
    while (this->boot > 0 && g_hash_table_iter_next(&iter, NULL, &value)) {
        struct held_lease *lease = value;
        int64_t amount_mtok = lease->amount_mtok;
        lease->amount_mtok = 0;
        return_amount(this, lease, old_holder, amount_mtok);
    }
    this->boot = boot;
    if (this->recovered) {
        bill_recovered(this);
    }
}

uint64_t
MpLeaseManager_Pending(const struct MpLeaseManager *this)
{
    return this->pending_proposals + this->offline_pending;
}

int64_t
MpLeaseManager_Held(const struct MpLeaseManager *this)
{
    GHashTableIter iter;
    void *value;
    int64_t sum = 0;
    g_hash_table_iter_init(&iter, this->leases);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        sum += ((struct held_lease *)value)->amount_mtok;
    }
    return sum;
}

/* ---- start ---- */

static int
open_journal(struct MpLeaseManager *this)
{
    const struct MpSettings *settings = this->router->settings;
    char *folder = MpSettings_ResolvePath(settings, settings->data_folder);
    char *inner = g_build_filename(folder, "journal", NULL);
    int code = MpFileDisk_Init(&this->disk, inner);
    if (code == MP_OK) {
        code = MpJournal_Open(&this->journal, &this->disk.super,
                              &this->recovered);
    }
    g_free(inner);
    g_free(folder);
    return code;
}

struct MpLeaseManager *
MpLeaseManager_New(struct MpRouter *router, int *code)
{
    struct MpLeaseManager *this = g_new0(struct MpLeaseManager, 1);
    this->router = router;
    this->leases = g_hash_table_new(g_str_hash, g_str_equal);
    *code = MP_OK;
    if (router->settings->data_folder) {
        *code = open_journal(this);
        if (*code != MP_OK) {
            return NULL;
        }
        this->has_journal = true;
        MpWorker_Start(&this->worker, router->loop);
    }
    MpLoop_SetTimer(router->loop, &this->timer, TICK_MS, on_timer, this);
    return this;
}
