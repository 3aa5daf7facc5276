#include "state/Versions.h"

#include "state/Codec.h"
#include "state/Error.h"
#include "state/Fault.h"

#include <string.h>

/* Key and record of a stream; the id comes first, for the hash table. */
struct stream_record {
    char id[MP_HASH_BYTES];
    char *version;
    int64_t end_ms; /* when the stream has ended by itself */
};

/* The id of a stream that its caller did not name. */
static const char unnamed[MP_HASH_BYTES];

static guint
hash_id(gconstpointer data)
{
    guint hash;
    memcpy(&hash, data, sizeof(hash));
    return hash;
}

static gboolean
is_equal_id(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, MP_HASH_BYTES) == 0;
}

static void
pool_delete(void *data)
{
    struct MpPoolVersions *this = data;
    g_free(this->pool);
    g_free(this->base);
    g_ptr_array_unref(this->names);
    g_ptr_array_unref(this->former);
    g_free(this);
}

static void
stream_delete(void *data)
{
    struct stream_record *this = data;
    g_free(this->version);
    g_free(this);
}

void
MpVersions_Init(struct MpVersions *this)
{
    this->pools =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_delete);
    this->streams =
        g_hash_table_new_full(hash_id, is_equal_id, stream_delete, NULL);
    g_queue_init(&this->order);
    this->dropped_ms = -1;
}

void
MpVersions_Done(struct MpVersions *this)
{
    g_queue_clear(&this->order);
    g_hash_table_unref(this->streams);
    g_hash_table_unref(this->pools);
}

/* ---- pools ---- */

bool
MpVersions_IsEqual(const struct MpVersions *this, const char *pool,
                   const GPtrArray *list)
{
    const struct MpPoolVersions *known =
        g_hash_table_lookup(this->pools, pool);
    if (!known || known->names->len != list->len) {
        return false;
    }
    for (guint i = 0; i < list->len; i++) {
        if (strcmp(g_ptr_array_index(known->names, i),
                   g_ptr_array_index(list, i)) != 0) {
            return false;
        }
    }
    return true;
}

static GPtrArray *
copy_names(const struct mp_version_name *names, u_int count)
{
    GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
    for (u_int i = 0; i < count; i++) {
        g_ptr_array_add(list, g_strdup(names[i].name));
    }
    return list;
}

static struct MpPoolVersions *
add_pool(struct MpVersions *this, const char *name)
{
    struct MpPoolVersions *pool = g_new(struct MpPoolVersions, 1);
    *pool = (struct MpPoolVersions){
        .pool = g_strdup(name),
        .names = g_ptr_array_new_with_free_func(g_free),
        .changed_ms = -1,
        .base_ms = -1,
        .absent_ms = -1,
        .former = g_ptr_array_new_with_free_func(g_free)};
    g_hash_table_insert(this->pools, pool->pool, pool);
    return pool;
}

/* ---- bases ---- */

static bool
contains(const GPtrArray *names, const char *name)
{
    return g_ptr_array_find_with_equal_func((GPtrArray *)names, name,
                                            g_str_equal, NULL);
}

static void
add_former(struct MpPoolVersions *pool, const char *name)
{
    if (contains(pool->former, name)) {
        return;
    }
    if (pool->former->len == MP_FORMER_VERSIONS_MAX) {
        g_ptr_array_remove_index(pool->former, 0);
    }
    g_ptr_array_add(pool->former, g_strdup(name));
}

/* Makes the only version of a pool without a base its base.  Where there are
 * several, streams may begin at each of them without a record. */
static void
choose_base(struct MpPoolVersions *pool, int64_t now_ms)
{
    guint index;
    if (pool->names->len != 1) {
        for (guint i = 0; i < pool->names->len; i++) {
            add_former(pool, g_ptr_array_index(pool->names, i));
        }
        return;
    }
    pool->base = g_strdup(g_ptr_array_index(pool->names, 0));
    pool->base_ms = now_ms;
    pool->absent_ms = -1;
    if (g_ptr_array_find_with_equal_func(pool->former, pool->base, g_str_equal,
                                         &index)) {
        g_ptr_array_remove_index(pool->former, index);
    }
}

static void
replace_base(struct MpPoolVersions *pool, int64_t now_ms)
{
    add_former(pool, pool->base);
    g_clear_pointer(&pool->base, g_free);
    choose_base(pool, now_ms);
}

static bool
has_former(const struct MpPoolVersions *pool)
{
    for (guint i = 0; i < pool->names->len; i++) {
        if (contains(pool->former, g_ptr_array_index(pool->names, i))) {
            return !MP_FAULT(MP_FAULT_FORMER_VERSION_TRUSTED);
        }
    }
    return false;
}

static void
update_base(struct MpPoolVersions *pool, int64_t now_ms)
{
    if (!pool->base) {
        choose_base(pool, now_ms);
    }
    else if (has_former(pool)) {
        replace_base(pool, now_ms);
    }
    else if (contains(pool->names, pool->base)) {
        pool->absent_ms = -1;
    }
    else if (pool->absent_ms < 0) {
        pool->absent_ms = now_ms;
    }
}

static void
drop_oldest(struct MpVersions *this)
{
    g_hash_table_remove(this->streams, g_queue_pop_head(&this->order));
}

static bool
is_expired(const struct stream_record *record, int64_t now_ms)
{
    return now_ms - record->end_ms > MP_TAKE_UP_MAX_MS;
}

void
MpVersions_Expire(struct MpVersions *this, int64_t now_ms)
{
    const struct stream_record *oldest = g_queue_peek_head(&this->order);
    GHashTableIter iter;
    void *value;
    while (oldest && is_expired(oldest, now_ms)) {
        drop_oldest(this);
        oldest = g_queue_peek_head(&this->order);
    }
    g_hash_table_iter_init(&iter, this->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct MpPoolVersions *pool = value;
        if (pool->base && pool->absent_ms >= 0 &&
            now_ms - pool->absent_ms > MP_BASE_ABSENT_MS) {
            replace_base(pool, now_ms);
        }
    }
}

void
MpVersions_SetPool(struct MpVersions *this,
                   const struct mp_pool_versions *versions, int64_t now_ms)
{
    struct MpPoolVersions *pool =
        g_hash_table_lookup(this->pools, versions->pool);
    GPtrArray *names =
        copy_names(versions->list.list_val, versions->list.list_len);
    bool is_new = !pool;
    if (MpVersions_IsEqual(this, versions->pool, names)) {
        g_ptr_array_unref(names);
        return;
    }
    if (is_new) {
        pool = add_pool(this, versions->pool);
    }
    g_ptr_array_unref(pool->names);
    pool->names = names;
    pool->changed_ms = is_new ? -1 : now_ms;
    update_base(pool, pool->changed_ms);
}

/* ---- streams ---- */

static void
add_stream(struct MpVersions *this, const char *id, const char *version,
           int64_t end_ms)
{
    if (g_hash_table_contains(this->streams, id)) {
        return;
    }
    struct stream_record *stream = g_new(struct stream_record, 1);
    *stream =
        (struct stream_record){.version = g_strdup(version), .end_ms = end_ms};
    memcpy(stream->id, id, MP_HASH_BYTES);
    g_hash_table_add(this->streams, stream);
    g_queue_push_tail(&this->order, stream);
}

void
MpVersions_AddStreams(struct MpVersions *this,
                      const struct mp_streams *streams, int64_t lasts_ms,
                      int64_t now_ms)
{
    if (MP_FAULT(MP_FAULT_LONG_STREAM_FORGOTTEN)) {
        lasts_ms = -MP_TAKE_UP_MAX_MS / 2;
    }
    for (u_int i = 0; i < streams->list.list_len; i++) {
        const struct mp_stream_begun *begun = &streams->list.list_val[i];
        add_stream(this, begun->id, begun->software, now_ms + lasts_ms);
    }
    while (this->order.length > MP_STREAMS_KEPT_MAX) {
        drop_oldest(this);
        this->dropped_ms = now_ms;
    }
}

/* Returns whether streams that began until since_ms can no longer be taken
 * up. */
static bool
is_over(int64_t since_ms, int64_t stream_ms, int64_t now_ms)
{
    return since_ms < 0 || now_ms - since_ms > MP_TAKE_UP_MAX_MS + stream_ms;
}

bool
MpVersions_IsRecorded(const struct MpVersions *this, const char *id)
{
    return g_hash_table_contains(this->streams, id);
}

const char *
MpVersions_FindStream(const struct MpVersions *this, const char *pool_name,
                      const char *id, int64_t stream_ms, int64_t now_ms)
{
    const struct MpPoolVersions *pool =
        g_hash_table_lookup(this->pools, pool_name);
    const struct stream_record *stream =
        g_hash_table_lookup(this->streams, id);
    if (stream) {
        return stream->version;
    }
    if (!pool || !pool->base) {
        return NULL;
    }
    bool is_named = memcmp(id, unnamed, MP_HASH_BYTES) != 0;
    bool is_only =
        pool->names->len == 1 && is_over(pool->changed_ms, stream_ms, now_ms);
    bool is_base_valid = is_over(pool->base_ms, stream_ms, now_ms) &&
                         is_over(this->dropped_ms, stream_ms, now_ms);
    bool is_known = (is_named || is_only) && is_base_valid;
    return is_known || MP_FAULT(MP_FAULT_UNRECORDED_STREAM_JOINED) ? pool->base
                                                                   : NULL;
}

/* ---- snapshots ---- */

static void
save_pool(const struct MpPoolVersions *pool, struct mp_pool_image *image)
{
    image->pool = pool->pool;
    image->changed_ms = pool->changed_ms;
    image->list.list_val = g_new(struct mp_version_name, pool->names->len);
    image->list.list_len = pool->names->len;
    for (guint i = 0; i < pool->names->len; i++) {
        image->list.list_val[i].name = g_ptr_array_index(pool->names, i);
    }
}

void
MpVersions_Save(const struct MpVersions *this, struct mp_machine_image *image)
{
    GHashTableIter iter;
    void *value;
    u_int count = 0;
    image->pools.pools_len = g_hash_table_size(this->pools);
    image->pools.pools_val =
        g_new0(struct mp_pool_image, image->pools.pools_len);
    g_hash_table_iter_init(&iter, this->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        save_pool(value, &image->pools.pools_val[count++]);
    }
    count = 0;
    image->streams.streams_val =
        g_new0(struct mp_stream_image, this->order.length);
    for (const GList *link = this->order.head; link; link = link->next) {
        const struct stream_record *stream = link->data;
        struct mp_stream_image *to = &image->streams.streams_val[count++];
        memcpy(to->id, stream->id, MP_HASH_BYTES);
        to->software = stream->version;
        to->at_ms = stream->end_ms;
    }
    image->streams.streams_len =
        MP_FAULT(MP_FAULT_SNAPSHOT_OMITS_STREAMS) ? 0 : count;
}

void
MpVersions_FreeImage(struct mp_machine_image *image)
{
    for (u_int i = 0; i < image->pools.pools_len; i++) {
        g_free(image->pools.pools_val[i].list.list_val);
    }
    g_free(image->pools.pools_val);
    g_free(image->streams.streams_val);
}

void
MpVersions_Load(struct MpVersions *this, const struct mp_machine_image *image)
{
    for (u_int i = 0; i < image->pools.pools_len; i++) {
        const struct mp_pool_image *from = &image->pools.pools_val[i];
        struct MpPoolVersions *pool = add_pool(this, from->pool);
        g_ptr_array_unref(pool->names);
        pool->names = copy_names(from->list.list_val, from->list.list_len);
        pool->changed_ms = from->changed_ms;
        choose_base(pool, from->changed_ms);
    }
    for (u_int i = 0; i < image->streams.streams_len; i++) {
        const struct mp_stream_image *from = &image->streams.streams_val[i];
        add_stream(this, from->id, from->software, from->at_ms);
    }
}

/* Returns whether MpVersions_Load finds the base out by itself. */
static bool
is_base_plain(const struct MpPoolVersions *pool)
{
    return pool->names->len == 1 && pool->base && pool->absent_ms < 0 &&
           pool->base_ms == pool->changed_ms && pool->former->len == 0;
}

static void
save_base(const struct MpPoolVersions *pool, struct mp_base_image *image)
{
    struct mp_version_name *former =
        g_new(struct mp_version_name, pool->former->len);
    for (guint i = 0; i < pool->former->len; i++) {
        former[i].name = g_ptr_array_index(pool->former, i);
    }
    *image = (struct mp_base_image){
        .pool = pool->pool,
        .base = pool->base ? pool->base : (char *)"",
        .has_base = pool->base != NULL,
        .base_ms = pool->base_ms,
        .absent_ms = pool->absent_ms,
        .former = {.former_val = former, .former_len = pool->former->len}};
}

GBytes *
MpVersions_SaveBases(const struct MpVersions *this)
{
    struct mp_bases_image image = {.dropped_ms = this->dropped_ms};
    GHashTableIter iter;
    void *value;
    image.list.list_val =
        g_new(struct mp_base_image, g_hash_table_size(this->pools));
    g_hash_table_iter_init(&iter, this->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (!is_base_plain(value)) {
            save_base(value, &image.list.list_val[image.list.list_len++]);
        }
    }
    bool is_needed = image.list.list_len > 0 || this->dropped_ms >= 0;
    GBytes *bytes = is_needed && !MP_FAULT(MP_FAULT_SNAPSHOT_OMITS_BASES)
                        ? MpCodec_Encode(MP_XDR(mp_bases_image), &image)
                        : NULL;
    for (u_int i = 0; i < image.list.list_len; i++) {
        g_free(image.list.list_val[i].former.former_val);
    }
    g_free(image.list.list_val);
    return bytes;
}

static void
load_base(struct MpPoolVersions *pool, const struct mp_base_image *from)
{
    g_free(pool->base);
    pool->base = from->has_base ? g_strdup(from->base) : NULL;
    pool->base_ms = from->base_ms;
    pool->absent_ms = from->absent_ms;
    g_ptr_array_unref(pool->former);
    pool->former =
        copy_names(from->former.former_val, from->former.former_len);
}

int
MpVersions_LoadBases(struct MpVersions *this, const void *data, size_t size)
{
    struct mp_bases_image image;
    int code = MpCodec_Decode(MP_XDR(mp_bases_image), &image, data, size,
                              sizeof(image));
    if (code != MP_OK) {
        return code;
    }
    this->dropped_ms = image.dropped_ms;
    for (u_int i = 0; i < image.list.list_len; i++) {
        struct MpPoolVersions *pool =
            g_hash_table_lookup(this->pools, image.list.list_val[i].pool);
        if (pool) {
            load_base(pool, &image.list.list_val[i]);
        }
    }
    MpCodec_Free(MP_XDR(mp_bases_image), &image);
    return MP_OK;
}
