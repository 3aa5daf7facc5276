#include "MemoryDisk.h"

#include "state/Error.h"

struct memory_file {
    GByteArray *bytes;
    guint synced; /* number of bytes that survive a crash */
};

static void
file_delete(void *data)
{
    struct memory_file *this = data;
    g_byte_array_unref(this->bytes);
    g_free(this);
}

static struct memory_file *
find(struct MpDisk *super, const char *name)
{
    return g_hash_table_lookup(((struct MemoryDisk *)super)->files, name);
}

static struct memory_file *
find_or_create(struct MpDisk *super, const char *name)
{
    struct memory_file *file = find(super, name);
    if (!file) {
        file = g_new0(struct memory_file, 1);
        file->bytes = g_byte_array_new();
        g_hash_table_insert(((struct MemoryDisk *)super)->files,
                            g_strdup(name), file);
    }
    return file;
}

static int
disk_read(struct MpDisk *super, const char *name, GByteArray *out)
{
    struct memory_file *file = find(super, name);
    if (!file) {
        return MP_ERROR_NOT_FOUND;
    }
    g_byte_array_append(out, file->bytes->data, file->bytes->len);
    return MP_OK;
}

static int
disk_append(struct MpDisk *super, const char *name, const void *data,
            size_t size)
{
    const struct MemoryDisk *this = (const struct MemoryDisk *)super;
    if (this->is_full && !find(super, name)) {
        return MP_ERROR_DISK_FULL;
    }
    size_t taken = this->is_full ? MIN(size, this->room_bytes) : size;
    g_byte_array_append(find_or_create(super, name)->bytes, data,
                        (guint)taken);
    return taken == size ? MP_OK : MP_ERROR_DISK_FULL;
}

static int
disk_sync(struct MpDisk *super, const char *name)
{
    struct memory_file *file = find_or_create(super, name);
    if (((const struct MemoryDisk *)super)->has_bad_sync) {
        return MP_ERROR_IO;
    }
    file->synced = file->bytes->len;
    return MP_OK;
}

static int
disk_truncate(struct MpDisk *super, const char *name, uint64_t size)
{
    struct memory_file *file = find_or_create(super, name);
    g_byte_array_set_size(file->bytes, (guint)size);
    file->synced = MIN(file->synced, (guint)size);
    return MP_OK;
}

static int
disk_replace(struct MpDisk *super, const char *name, const void *data,
             size_t size)
{
    if (((const struct MemoryDisk *)super)->is_full) {
        return MP_ERROR_DISK_FULL;
    }
    struct memory_file *file = find_or_create(super, name);
    g_byte_array_set_size(file->bytes, 0);
    g_byte_array_append(file->bytes, data, (guint)size);
    file->synced = file->bytes->len;
    return MP_OK;
}

static int
disk_remove(struct MpDisk *super, const char *name)
{
    g_hash_table_remove(((struct MemoryDisk *)super)->files, name);
    return MP_OK;
}

static int
disk_list(struct MpDisk *super, GPtrArray *names)
{
    GHashTableIter iter;
    void *name;
    g_hash_table_iter_init(&iter, ((struct MemoryDisk *)super)->files);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        g_ptr_array_add(names, g_strdup(name));
    }
    return MP_OK;
}

static const struct MpDiskClass memory_disk_class = {
    .read = disk_read,
    .append = disk_append,
    .sync = disk_sync,
    .truncate = disk_truncate,
    .replace = disk_replace,
    .remove = disk_remove,
    .list = disk_list,
};

void
MemoryDisk_Init(struct MemoryDisk *this)
{
    *this = (struct MemoryDisk){.super = {.klass = &memory_disk_class}};
    this->files =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, file_delete);
}

void
MemoryDisk_Done(struct MemoryDisk *this)
{
    g_hash_table_unref(this->files);
}

void
MemoryDisk_Crash(struct MemoryDisk *this, struct FuzzInput *input)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, this->files);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct memory_file *file = value;
        guint unsynced = file->bytes->len - file->synced;
        guint kept = unsynced ? unsynced * FuzzInput_Byte(input) / 256 : 0;
        g_byte_array_set_size(file->bytes, file->synced + kept);
        file->synced = file->bytes->len;
    }
}

void
MemoryDisk_Wipe(struct MemoryDisk *this)
{
    g_hash_table_remove_all(this->files);
}

int
MemoryDisk_CorruptByte(struct MemoryDisk *this, const char *name,
                       size_t offset)
{
    struct memory_file *file = find(&this->super, name);
    if (!file || file->bytes->len == 0) {
        return 0;
    }
    file->bytes->data[offset % file->bytes->len] ^= 0x40;
    return 1;
}

size_t
MemoryDisk_Size(struct MemoryDisk *this, const char *name)
{
    struct memory_file *file = find(&this->super, name);
    return file ? file->bytes->len : 0;
}
