#include "transport/LeaseManager.h"

#include "state/Codec.h"
#include "state/Journal.h"
#include "transport/Exchange.h"
#include "transport/FileDisk.h"
#include "transport/Log.h"
#include "transport/Worker.h"

#include <string.h>

#define TICK_MS 500
#define CUT_OFF_MS 2000
/* A lease covers this much demand, and is renewed below half of it. */
#define COVER_MS 30000
/* The sum of recent demand is about that of this time. */
#define FADE_MS 7500
/* A lease without demand for this long goes back. */
#define IDLE_MS 10000
/* A budget that runs dry is not asked for more with every tick. */
#define ASK_AGAIN_MS 2000

/* A slice of one workspace's budget. */
struct held_lease {
    char *workspace;
    int64_t amount_mtok; /* may be spent from now on */
    int64_t recent_mtok; /* fading sum of what was asked for */
    int64_t wanted_ms;   /* last demand */
    int64_t asked_ms;    /* last call for more */
    uint64_t seq;
    bool is_asking;
    bool is_recalled; /* while asking: hand in what comes */
};

struct MpLeaseKeeper {
    struct MpRouter *router;
    GHashTable *leases; /* workspace -> struct held_lease */
    struct MpFileDisk disk;
    struct MpJournal journal;
    struct MpWorker worker;
    bool has_journal;
    GHashTable *recovered; /* entries of earlier lives, or NULL */
    uint64_t boot;
    uint64_t outstanding;
    uint64_t offline_open; /* requests in the journal without a bill */
    struct MpTimer timer;
};

/* ---- leases ---- */

static struct held_lease *
lease_of(struct MpLeaseKeeper *this, const char *workspace)
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
on_finished(void *data, int code, const struct mp_result *result)
{
    struct MpLeaseKeeper *this = data;
    (void)code;
    (void)result;
    this->outstanding--;
}

static void
hand_in(struct MpLeaseKeeper *this, struct held_lease *lease,
        struct mp_incarnation holder, int64_t amount_mtok)
{
    struct mp_command command = {.body = {.kind = MP_CMD_LEASE_RETURN}};
    if (amount_mtok <= 0) {
        return;
    }
    command.body.mp_command_body_u.lease_return =
        (struct mp_lease){.holder = holder,
                          .workspace = lease->workspace,
                          .seq = ++lease->seq,
                          .amount_mtok = amount_mtok};
    this->outstanding++;
    MpControlClient_Propose(&this->router->control, &command, 0, on_finished,
                            this);
}

/* What is handed in can no longer be spent, from before the call leaves. */
static void
hand_in_all_of(struct MpLeaseKeeper *this, struct held_lease *lease)
{
    int64_t amount_mtok = lease->amount_mtok;
    if (lease->is_asking) {
        /* The grant on its way comes back too, after its answer. */
        lease->is_recalled = true;
        return;
    }
    lease->amount_mtok = 0;
    hand_in(this, lease, MpControlClient_Holder(&this->router->control),
            amount_mtok);
}

/* A lease call under way. */
struct lease_call {
    struct MpLeaseKeeper *keeper;
    struct held_lease *lease;
    uint64_t boot;
};

static void
on_leased(void *data, int code, const struct mp_result *result)
{
    struct lease_call *call = data;
    struct MpLeaseKeeper *this = call->keeper;
    struct held_lease *lease = call->lease;
    lease->is_asking = false;
    this->outstanding--;
    if (code == MP_OK && result->code == MP_OK) {
        if (call->boot == this->boot) {
            lease->amount_mtok += result->amount_mtok;
        }
        else {
            struct mp_incarnation old =
                MpControlClient_Holder(&this->router->control);
            old.boot = call->boot;
            hand_in(this, lease, old, result->amount_mtok);
        }
    }
    if (lease->is_recalled) {
        lease->is_recalled = false;
        hand_in_all_of(this, lease);
    }
    g_free(call);
}

static void
ask_lease(struct MpLeaseKeeper *this, struct held_lease *lease,
          int64_t amount_mtok)
{
    struct mp_command command = {.body = {.kind = MP_CMD_LEASE}};
    struct lease_call *call = g_new0(struct lease_call, 1);
    call->keeper = this;
    call->lease = lease;
    call->boot = this->boot;
    lease->is_asking = true;
    this->outstanding++;
    command.body.mp_command_body_u.lease = (struct mp_lease){
        .holder = MpControlClient_Holder(&this->router->control),
        .workspace = lease->workspace,
        .seq = ++lease->seq,
        .amount_mtok = amount_mtok};
    MpControlClient_Propose(&this->router->control, &command, 0, on_leased,
                            call);
}

void
MpLeaseKeeper_Recall(struct MpLeaseKeeper *this, const char *workspace)
{
    struct held_lease *lease = lease_of(this, workspace);
    lease->recent_mtok = 0;
    hand_in_all_of(this, lease);
}

void
MpLeaseKeeper_HandInAll(struct MpLeaseKeeper *this)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, this->leases);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        hand_in_all_of(this, value);
    }
}

static const struct MpWorkspaceConf *
conf_of(const struct MpLeaseKeeper *this, const char *workspace)
{
    const struct MpDocument *document = this->router->control.document;
    return document ? g_hash_table_lookup(document->workspaces, workspace)
                    : NULL;
}

/* Hands in what is above amount_mtok. */
static void
shrink(struct MpLeaseKeeper *this, struct held_lease *lease,
       int64_t amount_mtok)
{
    int64_t rest = lease->amount_mtok - amount_mtok;
    lease->amount_mtok = amount_mtok;
    hand_in(this, lease, MpControlClient_Holder(&this->router->control), rest);
}

static void
adjust(struct MpLeaseKeeper *this, struct held_lease *lease)
{
    const struct MpWorkspaceConf *conf = conf_of(this, lease->workspace);
    int64_t wanted = lease->recent_mtok * (COVER_MS / FADE_MS);
    bool is_idle = MpLoop_Now() - lease->wanted_ms > IDLE_MS;
    lease->recent_mtok -= lease->recent_mtok / (FADE_MS / TICK_MS);
    if (lease->is_asking || MpLeaseKeeper_IsCutOff(this)) {
        return;
    }
    if (!conf || conf->partition != MP_PARTITION_LEASE || is_idle) {
        lease->recent_mtok = 0;
        hand_in_all_of(this, lease);
    }
    else if (lease->amount_mtok < wanted / 2 &&
             MpLoop_Now() - lease->asked_ms > ASK_AGAIN_MS) {
        lease->asked_ms = MpLoop_Now();
        ask_lease(this, lease, wanted - lease->amount_mtok);
    }
    else if (lease->amount_mtok > 2 * wanted) {
        shrink(this, lease, wanted);
    }
}

static void
on_timer(struct MpTimer *timer)
{
    struct MpLeaseKeeper *this = timer->data;
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
MpLeaseKeeper_NoteDemand(struct MpLeaseKeeper *this,
                         const struct MpExchange *exchange)
{
    if (this->has_journal && !exchange->at_most_once &&
        exchange->conf->partition == MP_PARTITION_LEASE) {
        struct held_lease *lease = lease_of(this, exchange->workspace);
        lease->recent_mtok += exchange->reserve_mtok;
        lease->wanted_ms = MpLoop_Now();
    }
}

/* ---- requests without the quorum ---- */

/* A journal entry on its way to the disk. */
struct journal_job {
    struct MpLeaseKeeper *keeper;
    struct MpExchange *exchange;
    struct mp_journal_entry entry;
    int64_t spent_mtok;
};

static int
work_append(void *data)
{
    struct journal_job *job = data;
    return MpJournal_Append(&job->keeper->journal, &job->entry);
}

static struct journal_job *
job_new(struct MpLeaseKeeper *this, struct MpExchange *exchange,
        bool is_settled, int64_t spent_mtok)
{
    struct journal_job *job = g_new0(struct journal_job, 1);
    job->keeper = this;
    job->exchange = exchange;
    job->spent_mtok = spent_mtok;
    job->entry.settled = is_settled;
    job->entry.request = (struct mp_offline){.holder = exchange->holder,
                                             .workspace = exchange->workspace,
                                             .key = exchange->key,
                                             .spent_mtok = spent_mtok};
    memcpy(job->entry.request.body_hash, exchange->body_hash, MP_HASH_BYTES);
    return job;
}

static void
on_begun(void *data, int code)
{
    struct journal_job *job = data;
    struct MpExchange *exchange = job->exchange;
    if (code != MP_OK) {
        lease_of(job->keeper, exchange->workspace)->amount_mtok +=
            exchange->reserve_mtok;
        job->keeper->offline_open--;
        MpLog_Event(LOG_ERR, "journal-failed", "error=%s", MpError_Name(code));
        MpExchange_Shed(exchange, MP_ERROR_NO_QUORUM);
        g_free(job);
        return;
    }
    g_free(job);
    MpExchange_RunOffline(exchange);
}

bool
MpLeaseKeeper_IsCutOff(const struct MpLeaseKeeper *this)
{
    return MpLoop_Now() - this->router->control.synced_ms > CUT_OFF_MS;
}

bool
MpLeaseKeeper_TryOffline(struct MpLeaseKeeper *this,
                         struct MpExchange *exchange)
{
    if (!this->has_journal || exchange->at_most_once ||
        exchange->conf->partition != MP_PARTITION_LEASE ||
        exchange->holder.boot != this->boot) {
        return false;
    }
    struct held_lease *lease = lease_of(this, exchange->workspace);
    if (lease->amount_mtok < exchange->reserve_mtok) {
        return false;
    }
    lease->amount_mtok -= exchange->reserve_mtok;
    exchange->is_offline = true;
    this->offline_open++;
    MpMetrics_Count(&this->router->metrics, "mimosapath_offline_total",
                    "workspace", exchange->workspace, 1);
    MpWorker_Submit(&this->worker, work_append, on_begun,
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
    struct MpLeaseKeeper *this = data;
    return MpJournal_Clear(&this->journal);
}

static void
close_one(struct MpLeaseKeeper *this)
{
    this->offline_open--;
    if (this->offline_open == 0) {
        MpWorker_Submit(&this->worker, work_clear, on_cleared, this);
    }
}

static void
on_billed(void *data, int code, const struct mp_result *result)
{
    struct MpLeaseKeeper *this = data;
    if (code != MP_OK || result->code != MP_OK) {
        MpMetrics_Count(&this->router->metrics,
                        "mimosapath_offline_unbilled_total", "cause",
                        MpError_Name(result ? result->code : code), 1);
    }
    this->outstanding--;
    close_one(this);
}

static void
bill(struct MpLeaseKeeper *this, const struct mp_offline *offline)
{
    struct mp_command command = {.body = {.kind = MP_CMD_OFFLINE}};
    command.body.mp_command_body_u.offline = *offline;
    this->outstanding++;
    MpControlClient_Propose(&this->router->control, &command, 0, on_billed,
                            this);
}

static void
on_priced(void *data, int code)
{
    struct journal_job *job = data;
    struct MpLeaseKeeper *this = job->keeper;
    struct MpExchange *exchange = job->exchange;
    struct held_lease *lease = lease_of(this, exchange->workspace);
    int64_t rest = exchange->reserve_mtok - job->spent_mtok;
    if (code != MP_OK) {
        /* The price is not durable: the answer must not become whole. */
        MpExchange_AbortAnswer(exchange, MP_ERROR_OUTCOME_UNKNOWN);
    }
    if (exchange->holder.boot == this->boot) {
        lease->amount_mtok += rest;
    }
    else {
        hand_in(this, lease, exchange->holder, rest);
    }
    if (job->spent_mtok > 0) {
        bill(this, &job->entry.request);
    }
    else {
        close_one(this);
    }
    g_free(job);
    MpExchange_FinishSettled(exchange);
}

void
MpLeaseKeeper_Settle(struct MpLeaseKeeper *this, struct MpExchange *exchange,
                     int64_t spent_mtok)
{
    int64_t spent = CLAMP(spent_mtok, 0, exchange->reserve_mtok);
    MpWorker_Submit(&this->worker, work_append, on_priced,
                    job_new(this, exchange, true, spent));
}

void
MpLeaseKeeper_CloseOpen(struct MpLeaseKeeper *this,
                        const struct MpExchange *exchange)
{
    struct mp_command command = {.body = {.kind = MP_CMD_SETTLE}};
    command.body.mp_command_body_u.settle =
        (struct mp_settle){.holder = exchange->holder,
                           .workspace = exchange->workspace,
                           .key = exchange->key,
                           .open_id = exchange->open_id,
                           .outcome = MP_RECORD_NOT_RUN,
                           .content_type = (char *)""};
    this->outstanding++;
    MpControlClient_Propose(&this->router->control, &command, 0, on_finished,
                            this);
}

/* ---- registration ---- */

/* After all that the journal held is billed, the leases of earlier lives for
 * own calls are free: the lock on the data folder proves that they have
 * ended. */
static void
drop_earlier_lives(struct MpLeaseKeeper *this)
{
    struct mp_command command = {.body = {.kind = MP_CMD_WRITEOFF}};
    if (this->boot < 2) {
        return;
    }
    command.body.mp_command_body_u.writeoff = (struct mp_writeoff){
        .holder = {.instance = this->router->settings->instance,
                   .boot = this->boot - 1}};
    this->outstanding++;
    MpControlClient_Propose(&this->router->control, &command, 0, on_finished,
                            this);
}

static void
on_recovered_billed(void *data, int code, const struct mp_result *result)
{
    struct MpLeaseKeeper *this = data;
    on_billed(this, code, result);
    if (this->offline_open == 0) {
        drop_earlier_lives(this);
    }
}

static void
bill_recovered(struct MpLeaseKeeper *this)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, this->recovered);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct mp_journal_entry *entry = value;
        struct mp_command command = {.body = {.kind = MP_CMD_OFFLINE}};
        if (!entry->settled || entry->request.spent_mtok == 0) {
            continue; /* Its answer was never whole: there is no bill. */
        }
        command.body.mp_command_body_u.offline = entry->request;
        this->outstanding++;
        this->offline_open++;
        MpControlClient_Propose(&this->router->control, &command, 0,
                                on_recovered_billed, this);
    }
    if (this->offline_open == 0) {
        drop_earlier_lives(this);
    }
    g_clear_pointer(&this->recovered, g_hash_table_unref);
}

void
MpLeaseKeeper_Registered(struct MpLeaseKeeper *this, uint64_t boot)
{
    GHashTableIter iter;
    void *value;
    struct mp_incarnation old = {.instance = this->router->settings->instance,
                                 .boot = this->boot};
    g_hash_table_iter_init(&iter, this->leases);
    while (this->boot > 0 && g_hash_table_iter_next(&iter, NULL, &value)) {
        struct held_lease *lease = value;
        int64_t amount_mtok = lease->amount_mtok;
        lease->amount_mtok = 0;
        hand_in(this, lease, old, amount_mtok);
    }
    this->boot = boot;
    if (this->recovered) {
        bill_recovered(this);
    }
}

uint64_t
MpLeaseKeeper_Outstanding(const struct MpLeaseKeeper *this)
{
    return this->outstanding + this->offline_open;
}

int64_t
MpLeaseKeeper_Held(const struct MpLeaseKeeper *this)
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
open_journal(struct MpLeaseKeeper *this)
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

struct MpLeaseKeeper *
MpLeaseKeeper_New(struct MpRouter *router, int *code)
{
    struct MpLeaseKeeper *this = g_new0(struct MpLeaseKeeper, 1);
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
