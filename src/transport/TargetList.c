#include "transport/TargetList.h"

#include "state/Error.h"
#include "state/Metrics.h"
#include "transport/Log.h"
#include "transport/TargetConn.h"

#include <inttypes.h>
#include <string.h>

/* Timeout of a page, ms. */
#define PAGE_WAIT_MS 1000
/* Delay after a failure, doubled with each further one, ms. */
#define RETRY_MS 200
#define RETRY_MAX_MS 3000
#define PAGES_MAX 256
#define PAGE_MAX_BYTES (8 * 1024 * 1024)
/* No further page is read once there are so many entries; several times the
 * number of targets that instances are told of. */
#define ENTRIES_MAX 65536
/* A page after the first that is refused with status 429 is requested again
 * after PAGE_RETRY_MS, at most PAGE_REFUSALS_MAX times in one read.  A
 * provider that allows 40 calls a second lets four calls pass during the
 * delay. */
#define PAGE_RETRY_MS 100
#define PAGE_REFUSALS_MAX 64
/* Each page after the first adds this to the interval between reads, so that
 * long lists leave calls for other clients of the provider, ms. */
#define PAGE_PAUSE_MS 20

struct MpTargetList {
    const struct MpTargetListClass *klass;
    void *owner;
    struct MpLoop *loop;
    const struct MpSettings *settings;
    const struct MpDialect *dialect;
    struct MpConnPool *conn_pool;
    struct MpTargetConn *conn;
    struct MpTimer timer;
    GPtrArray *targets; /* from the pages read so far */
    GByteArray *body;
    int status;
    uint32_t pages;
    uint32_t refusals; /* with status 429, during this read */
    struct MpUnreadableEntries unreadable;
    GHashTable *known; /* incarnation -> address, from the last list */
    uint32_t unreadable_logged; /* number in the last line of the log */
    bool is_cut;                /* the last list had further pages */
    uint32_t failures;          /* in a row */
    uint64_t calls;             /* counter */
    char *next_query;
};

static void read_page(struct MpTargetList *this);

static void on_timer(struct MpTimer *timer);

static void
set_timer(struct MpTargetList *this, int64_t wait_ms)
{
    MpLoop_SetTimer(this->loop, &this->timer, wait_ms, on_timer, this);
}

static void
on_timer(struct MpTimer *timer)
{
    struct MpTargetList *this = timer->data;
    bool may_skip = false;
    int64_t interval_ms = this->klass->interval(this->owner, &may_skip);
    if (may_skip) {
        set_timer(this, interval_ms);
        return;
    }
    g_ptr_array_set_size(this->targets, 0);
    g_clear_pointer(&this->next_query, g_free);
    this->pages = 0;
    this->refusals = 0;
    this->unreadable = (struct MpUnreadableEntries){0};
    read_page(this);
}

static void
on_page_failed(struct MpTargetList *this, const char *why)
{
    if (this->failures == 0) {
        MpLog_Event(LOG_WARNING, "target-list-lost", "why=%s status=%d", why,
                    this->status);
    }
    int64_t wait_ms = MIN(RETRY_MS << MIN(this->failures, 8), RETRY_MAX_MS);
    this->failures++;
    bool may_skip;
    set_timer(this,
              MAX(wait_ms, this->klass->interval(this->owner, &may_skip)));
}

/* Logs the number of unreadable entries when it changes, and the first. */
static void
log_unreadable(struct MpTargetList *this)
{
    if (this->unreadable.count == this->unreadable_logged) {
        return;
    }
    this->unreadable_logged = this->unreadable.count;
    MpLog_Event(this->unreadable.count > 0 ? LOG_WARNING : LOG_NOTICE,
                "target-entries-unreadable", "count=%u reason=%s first=%s",
                this->unreadable.count,
                this->unreadable.count > 0 ? this->unreadable.reason : "-",
                this->unreadable.sample);
}

/* Returns whether entry may replace other, which has the same incarnation.
 * The address that is in use stays; otherwise the order of the addresses and
 * pools decides, as that of a provider's list is arbitrary. */
static bool
is_preferred(const struct MpTargetList *this,
             const struct MpListedTarget *entry,
             const struct MpListedTarget *other)
{
    const char *known = g_hash_table_lookup(this->known, entry->incarnation);
    int order = strcmp(entry->address, other->address);
    if (order != 0 && g_strcmp0(known, entry->address) == 0) {
        return true;
    }
    if (order != 0 && g_strcmp0(known, other->address) == 0) {
        return false;
    }
    return order < 0 || (order == 0 && strcmp(entry->pool, other->pool) < 0);
}

/* Leaves one entry of those that claim the same incarnation.  An entry may
 * have moved to another page between two requests: then it stands twice, and
 * leaves if one of the two says so. */
static void
drop_duplicates(struct MpTargetList *this)
{
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    struct MpListedTarget **list =
        (struct MpListedTarget **)this->targets->pdata;
    guint kept = 0;
    for (guint i = 0; i < this->targets->len; i++) {
        struct MpListedTarget *entry = list[i];
        gpointer at;
        if (!g_hash_table_lookup_extended(seen, entry->incarnation, NULL,
                                          &at)) {
            g_hash_table_insert(seen, entry->incarnation,
                                GUINT_TO_POINTER(kept));
            list[i] = list[kept];
            list[kept++] = entry;
            continue;
        }
        struct MpListedTarget **first = &list[GPOINTER_TO_UINT(at)];
        if (strcmp(entry->address, (*first)->address) == 0 &&
            strcmp(entry->pool, (*first)->pool) == 0) {
            (*first)->is_leaving |= entry->is_leaving;
        }
        else {
            MpUnreadableEntries_Add(&this->unreadable, "duplicate_incarnation",
                                    entry->incarnation,
                                    strlen(entry->incarnation));
            if (is_preferred(this, entry, *first)) {
                struct MpListedTarget *other = *first;
                *first = entry;
                list[i] = other;
                g_hash_table_replace(seen, entry->incarnation, at);
            }
        }
    }
    /* The others are behind those that are kept. */
    g_ptr_array_set_size(this->targets, (gint)kept);
    g_hash_table_unref(seen);
}

/* Logs that the list has more pages than are read, when that changes. */
static void
log_cut(struct MpTargetList *this)
{
    bool was_cut = this->is_cut;
    this->is_cut = this->next_query != NULL;
    if (this->is_cut != was_cut) {
        MpLog_Event(this->is_cut ? LOG_WARNING : LOG_NOTICE,
                    this->is_cut ? "target-list-cut" : "target-list-whole",
                    "pages=%u entries=%u", this->pages, this->targets->len);
    }
}

static void
remember_list(struct MpTargetList *this)
{
    g_hash_table_remove_all(this->known);
    for (guint i = 0; i < this->targets->len; i++) {
        const struct MpListedTarget *entry =
            g_ptr_array_index(this->targets, i);
        g_hash_table_insert(this->known, g_strdup(entry->incarnation),
                            g_strdup(entry->address));
    }
}

static void
apply_list(struct MpTargetList *this)
{
    bool may_skip;
    drop_duplicates(this);
    remember_list(this);
    log_unreadable(this);
    uint32_t changes = this->klass->apply(this->owner, this->targets);
    if (this->failures > 0) {
        MpLog_Event(LOG_NOTICE, "target-list-back", "failures=%u",
                    this->failures);
    }
    this->failures = 0;
    if (changes > 0) {
        MpLog_Event(LOG_INFO, "target-list-changed",
                    "targets=%u changes=%u unreadable=%u", this->targets->len,
                    changes, this->unreadable.count);
    }
    set_timer(this, this->klass->interval(this->owner, &may_skip) +
                        (int64_t)(this->pages - 1) * PAGE_PAUSE_MS);
}

static void
on_head(void *owner, const struct MpTargetHead *head)
{
    struct MpTargetList *this = owner;
    this->status = head->status;
}

static void
on_body(void *owner, const char *data, size_t size)
{
    struct MpTargetList *this = owner;
    if (size > PAGE_MAX_BYTES - this->body->len) {
        MpTargetConn_Cancel(this->conn);
        this->conn = NULL;
        on_page_failed(this, "too_long");
        return;
    }
    g_byte_array_append(this->body, (const guint8 *)data, (guint)size);
}

/* The provider limits the call rate of all its clients, so the read continues
 * with the page that was refused. */
static void
on_page_retry(struct MpTimer *timer)
{
    read_page(timer->data);
}

static void
on_end(void *owner, enum MpTargetResult result)
{
    struct MpTargetList *this = owner;
    const struct MpDialect *dialect = this->dialect;
    this->conn = NULL;
    /* A page that was cut off does not parse. */
    bool is_complete =
        result == MP_TARGET_COMPLETE || result == MP_TARGET_CLOSED;
    if (is_complete && this->status == 429 && this->pages > 0 &&
        this->refusals < PAGE_REFUSALS_MAX) {
        this->refusals++;
        MpLoop_SetTimer(this->loop, &this->timer, PAGE_RETRY_MS, on_page_retry,
                        this);
        return;
    }
    g_clear_pointer(&this->next_query, g_free);
    if (!is_complete || this->status != 200) {
        on_page_failed(this, is_complete ? "status" : "connection");
        return;
    }
    /* The end of a connection may have cut a page off. */
    if (MpTargetPage_Parse(&dialect->target_page,
                           (const char *)this->body->data, this->body->len,
                           result == MP_TARGET_COMPLETE, this->targets,
                           &this->unreadable, &this->next_query) != MP_OK) {
        on_page_failed(this, "unreadable");
        return;
    }
    this->pages++;
    if (this->next_query && this->pages < PAGES_MAX &&
        this->targets->len < ENTRIES_MAX) {
        read_page(this);
        return;
    }
    log_cut(this);
    apply_list(this);
}

static const struct MpTargetConnClass page_class = {
    .head = on_head, .body = on_body, .end = on_end};

static void
on_page_timeout(struct MpTimer *timer)
{
    struct MpTargetList *this = timer->data;
    MpTargetConn_Cancel(this->conn);
    this->conn = NULL;
    on_page_failed(this, "silent");
}

static void
read_page(struct MpTargetList *this)
{
    const struct MpDialect *dialect = this->dialect;
    GByteArray *bytes = g_byte_array_new();
    char *text = g_strdup_printf(
        "GET %s%s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n",
        dialect->target_list_path, this->next_query ? this->next_query : "",
        this->conn_pool->address);
    g_byte_array_append(bytes, (const guint8 *)text, (guint)strlen(text));
    g_free(text);
    g_byte_array_set_size(this->body, 0);
    this->status = 0;
    this->calls++;
    struct MpTargetRequest request = {.bytes = bytes};
    this->conn = MpConnPool_Send(this->conn_pool, &page_class, this, &request);
    MpLoop_SetTimer(this->loop, &this->timer, PAGE_WAIT_MS, on_page_timeout,
                    this);
}

struct MpTargetList *
MpTargetList_New(const struct MpTargetListClass *klass, void *owner,
                 struct MpLoop *loop, const struct MpSettings *settings)
{
    const char *address = settings->target_list.address;
    if (!address) {
        return NULL;
    }
    struct MpTargetList *this = g_new0(struct MpTargetList, 1);
    this->klass = klass;
    this->owner = owner;
    this->loop = loop;
    this->settings = settings;
    this->dialect = MpDialect_Find(settings->dialect);
    this->targets = g_ptr_array_new_with_free_func(MpListedTarget_Delete);
    this->body = g_byte_array_new();
    this->known =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    this->conn_pool = MpConnPool_New(loop, NULL, address);
    return this;
}

void
MpTargetList_Start(struct MpTargetList *this)
{
    if (this && !this->timer.position && !this->conn) {
        set_timer(this, 0);
    }
}

static void
append_entries(GPtrArray *chosen, const GPtrArray *targets,
               const struct MpDocument *document, bool is_named)
{
    for (guint i = 0; i < targets->len && chosen->len < MP_TARGETS_MAX; i++) {
        struct MpListedTarget *target = g_ptr_array_index(targets, i);
        bool has_pool =
            document && g_hash_table_contains(document->pools, target->pool);
        if (has_pool == is_named) {
            g_ptr_array_add(chosen, target);
        }
    }
}

GPtrArray *
MpTargetList_Choose(const GPtrArray *targets,
                    const struct MpDocument *document)
{
    GPtrArray *chosen = g_ptr_array_new();
    append_entries(chosen, targets, document, true);
    append_entries(chosen, targets, document, false);
    return chosen;
}

void
MpTargetList_WriteMetrics(const struct MpTargetList *this, GString *out)
{
    if (!this) {
        return;
    }
    MpMetrics_WriteValue(out, "mimosapath_target_list_calls_total", NULL, NULL,
                         (int64_t)this->calls);
    MpMetrics_WriteValue(out, "mimosapath_target_list_failures", NULL, NULL,
                         this->failures);
    MpMetrics_WriteValue(out, "mimosapath_target_list_unreadable", NULL, NULL,
                         this->unreadable.count);
}
