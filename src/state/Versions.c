#include "state/Versions.h"

#include "state/Fault.h"

#include <string.h>

/* Key and record of a stream; the id comes first, for the hash table. */
struct stream_record {
    char id[MP_HASH_BYTES];
    char *version;
    int64_t at_ms;
};

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
    g_ptr_array_unref(this->names);
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
}

void
MpVersions_Done(struct MpVersions *this)
{
    g_queue_clear(&this->order);
    g_hash_table_unref(this->streams);
    g_hash_table_unref(this->pools);
}

static void
drop_oldest(struct MpVersions *this)
{
    g_hash_table_remove(this->streams, g_queue_pop_head(&this->order));
}

void
MpVersions_Expire(struct MpVersions *this, int64_t now_ms)
{
    const struct stream_record *oldest = g_queue_peek_head(&this->order);
    while (oldest && now_ms - oldest->at_ms > MP_TAKE_UP_MAX_MS) {
        drop_oldest(this);
        oldest = g_queue_peek_head(&this->order);
    }
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
    struct MpPoolVersions *pool = g_new0(struct MpPoolVersions, 1);
    pool->pool = g_strdup(name);
    pool->names = g_ptr_array_new_with_free_func(g_free);
    pool->changed_ms = -1;
    g_hash_table_insert(this->pools, pool->pool, pool);
    return pool;
}

void
MpVersions_SetPool(struct MpVersions *this,
                   const struct mp_pool_versions *versions, int64_t now_ms)
{
    struct MpPoolVersions *pool =
        g_hash_table_lookup(this->pools, versions->pool);
    GPtrArray *names =
        copy_names(versions->list.list_val, versions->list.list_len);
    if (MpVersions_IsEqual(this, versions->pool, names)) {
        g_ptr_array_unref(names);
        return;
    }
    if (pool) {
        pool->changed_ms = now_ms;
    }
    else {
        pool = add_pool(this, versions->pool);
    }
    g_ptr_array_unref(pool->names);
    pool->names = names;
}

/* ---- streams ---- */

static void
add_stream(struct MpVersions *this, const char *id, const char *version,
           int64_t at_ms)
{
    if (g_hash_table_contains(this->streams, id)) {
        return;
    }
    struct stream_record *stream = g_new(struct stream_record, 1);
    *stream =
        (struct stream_record){.version = g_strdup(version), .at_ms = at_ms};
    memcpy(stream->id, id, MP_HASH_BYTES);
    g_hash_table_add(this->streams, stream);
    g_queue_push_tail(&this->order, stream);
    if (this->order.length > MP_STREAMS_KEPT_MAX) {
        drop_oldest(this);
    }
}

void
MpVersions_AddStreams(struct MpVersions *this,
                      const struct mp_streams *streams, int64_t now_ms)
{
    for (u_int i = 0; i < streams->list.list_len; i++) {
        const struct mp_stream_begun *begun = &streams->list.list_val[i];
        add_stream(this, begun->id, begun->software, now_ms);
    }
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
    bool is_settled =
        pool && (pool->changed_ms < 0 ||
                 now_ms - pool->changed_ms > MP_TAKE_UP_MAX_MS + stream_ms ||
                 MP_FAULT(MP_FAULT_UNRECORDED_STREAM_JOINED));
    return is_settled && pool->names->len == 1
               ? g_ptr_array_index(pool->names, 0)
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
        to->at_ms = stream->at_ms;
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
    }
    for (u_int i = 0; i < image->streams.streams_len; i++) {
        const struct mp_stream_image *from = &image->streams.streams_val[i];
        add_stream(this, from->id, from->software, from->at_ms);
    }
}
