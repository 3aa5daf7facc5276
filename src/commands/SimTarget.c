#include "commands/SimTarget.h"

#include "state/Error.h"

#include <inttypes.h>
#include <json.h>
#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>

#define SAMPLE_INTERVAL_MS 20
#define EVENTS_MAX 4096
#define EVENTS_PER_RESPONSE_MAX 512
#define LEAVE_CHECK_INTERVAL_MS 50
#define LEAVE_MIN_MS 1500

/* ---- runs ---- */

struct MpRunCount *
MpSimTarget_CountRun(struct MpSimTarget *this, const char *key)
{
    struct MpRunCount *run = g_hash_table_lookup(this->runs, key);
    if (!run) {
        run = g_new0(struct MpRunCount, 1);
        run->key = g_strdup(key);
        g_hash_table_insert(this->runs, run->key, run);
    }
    run->runs++;
    if (this->run_log) {
        fprintf(this->run_log, "%s\n", key);
        fflush(this->run_log);
    }
    return run;
}

static void
send_runs(struct MpSimTarget *this, h2o_req_t *req)
{
    GHashTableIter iter;
    void *value;
    struct json_object *root = json_object_new_object();
    g_hash_table_iter_init(&iter, this->runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct MpRunCount *run = value;
        json_object_object_add(root, run->key,
                               json_object_new_int64(run->runs));
    }
    const char *text =
        json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN);
    MpHttp_Send(req, 200, "application/json", text, strlen(text));
    json_object_put(root);
}

/* ---- prefix cache ---- */

static void
add_event(struct MpSimTarget *this, uint64_t block, bool is_added)
{
    struct MpCacheEvent *event = g_new0(struct MpCacheEvent, 1);
    event->at_ms = MpLoop_Now();
    event->sequence = ++this->event_sequence;
    event->block = block;
    event->is_added = is_added;
    if (g_rand_int_range(this->random, 0, 100) < this->options.gap_percent) {
        g_free(event);
        return;
    }
    g_queue_push_tail(&this->events, event);
    if (this->events.length > EVENTS_MAX) {
        g_free(g_queue_pop_head(&this->events));
    }
}

uint32_t
MpSimTarget_LookupBlocks(struct MpSimTarget *this, const uint64_t *blocks,
                         uint32_t count)
{
    uint32_t hits = 0;
    while (hits < count && g_hash_table_contains(this->cache, &blocks[hits])) {
        hits++;
    }
    this->hit_blocks += hits;
    this->asked_blocks += count;
    return hits;
}

static void
evict_oldest(struct MpSimTarget *this)
{
    struct MpCachedBlock *oldest = g_queue_peek_head(&this->cache_order);
    g_queue_unlink(&this->cache_order, &oldest->link);
    g_hash_table_remove(this->cache, &oldest->hash);
    add_event(this, oldest->hash, false);
    g_free(oldest);
}

void
MpSimTarget_StoreBlocks(struct MpSimTarget *this, const uint64_t *blocks,
                        uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        struct MpCachedBlock *block =
            g_hash_table_lookup(this->cache, &blocks[i]);
        if (block) {
            g_queue_unlink(&this->cache_order, &block->link);
            g_queue_push_tail_link(&this->cache_order, &block->link);
            continue;
        }
        block = g_new0(struct MpCachedBlock, 1);
        block->hash = blocks[i];
        block->link.data = block;
        g_hash_table_insert(this->cache, &block->hash, block);
        g_queue_push_tail_link(&this->cache_order, &block->link);
        add_event(this, block->hash, true);
        if ((int64_t)this->cache_order.length > this->options.cache_blocks) {
            evict_oldest(this);
        }
    }
}

/* ---- reports ---- */

static int64_t
count_waiting(const struct MpSimTarget *this)
{
    return this->waiting[0].length + this->waiting[1].length +
           this->waiting[2].length;
}

static void
on_sample(struct MpTimer *timer)
{
    struct MpSimTarget *this = timer->data;
    struct MpLoadSample *sample = g_new0(struct MpLoadSample, 1);
    int64_t cutoff_ms = MpLoop_Now() - this->options.lag_ms;
    sample->at_ms = MpLoop_Now();
    sample->running = this->running;
    sample->waiting = count_waiting(this);
    g_queue_push_tail(&this->samples, sample);
    while (this->samples.length > 1) {
        const struct MpLoadSample *second =
            g_queue_peek_nth(&this->samples, 1);
        if (second->at_ms > cutoff_ms) {
            break;
        }
        g_free(g_queue_pop_head(&this->samples));
    }
    MpLoop_SetTimer(this->loop, &this->sample_timer, SAMPLE_INTERVAL_MS,
                    on_sample, this);
}

static struct json_object *
list_events(struct MpSimTarget *this, uint64_t after)
{
    struct json_object *list = json_object_new_array();
    int64_t cutoff_ms = MpLoop_Now() - this->options.lag_ms;
    int count = 0;
    for (GList *link = this->events.head;
         link && count < EVENTS_PER_RESPONSE_MAX; link = link->next) {
        const struct MpCacheEvent *event = link->data;
        if (event->sequence <= after || event->at_ms > cutoff_ms) {
            continue;
        }
        char block[20];
        g_snprintf(block, sizeof(block), "%016" PRIx64, event->block);
        struct json_object *item = json_object_new_array();
        json_object_array_add(item,
                              json_object_new_int64((int64_t)event->sequence));
        json_object_array_add(
            item, json_object_new_string(event->is_added ? "+" : "-"));
        json_object_array_add(item, json_object_new_string(block));
        json_object_array_add(list, item);
        count++;
    }
    return list;
}

static void
send_status(struct MpSimTarget *this, h2o_req_t *req)
{
    uint64_t after = 0;
    char *path = g_strndup(req->path.base, req->path.len);
    const char *query = strstr(path, "after=");
    if (query) {
        after = strtoull(query + strlen("after="), NULL, 10);
    }
    g_free(path);
    const struct MpLoadSample *sample = g_queue_peek_head(&this->samples);
    struct json_object *root = json_object_new_object();
    json_object_object_add(root, "boot", json_object_new_string(this->boot));
    json_object_object_add(
        root, "sequence",
        json_object_new_int64((int64_t)++ this->report_sequence));
    json_object_object_add(
        root, "running", json_object_new_int64(sample ? sample->running : 0));
    json_object_object_add(
        root, "waiting", json_object_new_int64(sample ? sample->waiting : 0));
    json_object_object_add(root, "leaving",
                           json_object_new_boolean(this->is_leaving));
    json_object_object_add(root, "hit_blocks",
                           json_object_new_int64((int64_t)this->hit_blocks));
    json_object_object_add(root, "asked_blocks",
                           json_object_new_int64((int64_t)this->asked_blocks));
    json_object_object_add(root, "events", list_events(this, after));
    const char *text =
        json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN);
    MpHttp_Send(req, 200, "application/json", text, strlen(text));
    json_object_put(root);
}

/* ---- orders ---- */

/* Handles POST /orders {"fencing": N, "order": "…"}.  With checks_fencing, an
 * order with a lower fencing number than an earlier one is refused. */
static void
handle_order(struct MpSimTarget *this, h2o_req_t *req)
{
    struct json_object *value;
    char *body =
        g_strndup(req->entity.base ? req->entity.base : "", req->entity.len);
    struct json_object *root = json_tokener_parse(body);
    uint64_t fencing = 0;
    if (json_object_is_type(root, json_type_object) &&
        json_object_object_get_ex(root, "fencing", &value)) {
        fencing = (uint64_t)json_object_get_int64(value);
    }
    bool is_old = this->options.checks_fencing && fencing < this->fencing_max;
    this->fencing_max = MAX(this->fencing_max, fencing);
    const char *response =
        is_old ? "{\"error\":\"old fencing number\"}" : "{\"ok\":true}";
    MpHttp_Send(req, is_old ? 409 : 200, "application/json", response,
                strlen(response));
    json_object_put(root);
    g_free(body);
}

/* ---- requests ---- */

static void
on_request(void *owner, h2o_req_t *req)
{
    struct MpSimTarget *this = owner;
    if (req->path.len >= 7 && memcmp(req->path.base, "/status", 7) == 0) {
        send_status(this, req);
        return;
    }
    if (MpHttp_Equals(req->path, "/runs")) {
        send_runs(this, req);
        return;
    }
    if (MpHttp_Equals(req->path, "/orders")) {
        handle_order(this, req);
        return;
    }
    if (MpHttp_Equals(req->path, "/leave")) {
        MpHttp_Send(req, 200, "application/json", "{\"ok\":true}", 11);
        MpSimTarget_Leave(this);
        return;
    }
    MpSimTarget_StartJob(this, req);
}

/* ---- start and stop ---- */

static void
on_leave_check(struct MpTimer *timer)
{
    struct MpSimTarget *this = timer->data;
    if (this->running == 0 && count_waiting(this) == 0) {
        MpLoop_Stop(this->loop);
        return;
    }
    MpLoop_SetTimer(this->loop, &this->leave_timer, LEAVE_CHECK_INTERVAL_MS,
                    on_leave_check, this);
}

void
MpSimTarget_Leave(struct MpSimTarget *this)
{
    if (this->is_leaving) {
        return;
    }
    this->is_leaving = true;
    MpLoop_SetTimer(this->loop, &this->leave_timer, LEAVE_MIN_MS,
                    on_leave_check, this);
}

int
MpSimTarget_Start(struct MpSimTarget *this, struct MpLoop *loop,
                  const struct MpSimTargetOptions *options)
{
    uint64_t boot_id = 0;
    *this = (struct MpSimTarget){.options = *options, .loop = loop};
    RAND_bytes((unsigned char *)&boot_id, sizeof(boot_id));
    g_snprintf(this->boot, sizeof(this->boot), "%016" PRIx64, boot_id);
    this->runs = g_hash_table_new(g_str_hash, g_str_equal);
    this->cache = g_hash_table_new(g_int64_hash, g_int64_equal);
    this->random = g_rand_new_with_seed((guint32)boot_id);
    for (int i = 0; i < 3; i++) {
        g_queue_init(&this->waiting[i]);
    }
    g_queue_init(&this->cache_order);
    g_queue_init(&this->events);
    g_queue_init(&this->samples);
    if (options->run_log) {
        this->run_log = fopen(options->run_log, "ae");
        if (!this->run_log) {
            return MP_ERROR_IO;
        }
    }
    MpLoop_SetTimer(loop, &this->sample_timer, 0, on_sample, this);
    return MpHttpServer_Start(&this->http, loop, options->listen,
                              64 * 1024 * 1024, on_request, this);
}
