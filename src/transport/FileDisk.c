#include "transport/FileDisk.h"

#include "state/Error.h"

#include <errno.h>
#include <fcntl.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#define FILE_MODE 0600
#define FOLDER_MODE 0700
#define LOCK_NAME "lock"
#define TEMPORARY_SUFFIX ".tmp"

static int
error_of_errno(void)
{
    switch (errno) {
    case ENOENT:
        return MP_ERROR_NOT_FOUND;
    case ENOSPC:
    case EDQUOT:
    case EFBIG:
        return MP_ERROR_DISK_FULL;
    default:
        return MP_ERROR_IO;
    }
}

/* Returns MP_ERROR_IO for every failure: even after ENOSPC a second fsync may
 * succeed although data was lost. */
static int
sync_fd(int fd)
{
    return fsync(fd) == 0 ? MP_OK : MP_ERROR_IO;
}

static int
write_all(int fd, const void *data, size_t size)
{
    const char *next = data;
    while (size > 0) {
        ssize_t written = write(fd, next, size);
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written < 0) {
            return error_of_errno();
        }
        next += written;
        size -= (size_t)written;
    }
    return MP_OK;
}

static int
disk_read(struct MpDisk *super, const char *name, GByteArray *out)
{
    struct MpFileDisk *this = (struct MpFileDisk *)super;
    char *path = g_build_filename(this->folder, name, NULL);
    char *text;
    gsize size;
    errno = 0;
    bool ok = g_file_get_contents(path, &text, &size, NULL);
    int code = ok ? MP_OK : error_of_errno();
    if (ok) {
        g_byte_array_append(out, (const guint8 *)text, (guint)size);
        g_free(text);
    }
    g_free(path);
    return code;
}

static int
open_for_append(struct MpFileDisk *this, const char *name)
{
    if (this->append_fd >= 0 && strcmp(this->append_name, name) == 0) {
        return MP_OK;
    }
    if (this->append_fd >= 0) {
        close(this->append_fd);
    }
    g_free(this->append_name);
    this->append_name = g_strdup(name);
    this->append_fd =
        openat(this->folder_fd, name,
               O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, FILE_MODE);
    if (this->append_fd < 0) {
        return error_of_errno();
    }
    return sync_fd(this->folder_fd);
}

static int
disk_append(struct MpDisk *super, const char *name, const void *data,
            size_t size)
{
    struct MpFileDisk *this = (struct MpFileDisk *)super;
    int code = open_for_append(this, name);
    return code == MP_OK ? write_all(this->append_fd, data, size) : code;
}

static int
disk_sync(struct MpDisk *super, const char *name)
{
    struct MpFileDisk *this = (struct MpFileDisk *)super;
    int code = open_for_append(this, name);
    if (code != MP_OK) {
        return code;
    }
    return fdatasync(this->append_fd) == 0 ? MP_OK : MP_ERROR_IO;
}

static int
disk_truncate(struct MpDisk *super, const char *name, uint64_t size)
{
    struct MpFileDisk *this = (struct MpFileDisk *)super;
    int code = open_for_append(this, name);
    if (code != MP_OK) {
        return code;
    }
    return ftruncate(this->append_fd, (off_t)size) == 0 ? MP_OK
                                                        : error_of_errno();
}

static int
write_file(struct MpFileDisk *this, const char *name, const void *data,
           size_t size)
{
    int fd = openat(this->folder_fd, name,
                    O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
    if (fd < 0) {
        return error_of_errno();
    }
    int code = write_all(fd, data, size);
    if (code == MP_OK && fsync(fd) != 0) {
        code = error_of_errno();
    }
    close(fd);
    return code;
}

static int
disk_replace(struct MpDisk *super, const char *name, const void *data,
             size_t size)
{
    struct MpFileDisk *this = (struct MpFileDisk *)super;
    char *temporary = g_strconcat(name, TEMPORARY_SUFFIX, NULL);
    int code = write_file(this, temporary, data, size);
    if (code == MP_OK &&
        renameat(this->folder_fd, temporary, this->folder_fd, name) != 0) {
        code = error_of_errno();
    }
    if (code == MP_OK) {
        code = sync_fd(this->folder_fd);
    }
    else {
        /* It would keep a full disk full. */
        unlinkat(this->folder_fd, temporary, 0);
    }
    g_free(temporary);
    return code;
}

static int
disk_remove(struct MpDisk *super, const char *name)
{
    struct MpFileDisk *this = (struct MpFileDisk *)super;
    return unlinkat(this->folder_fd, name, 0) == 0 ? MP_OK : error_of_errno();
}

static int
disk_list(struct MpDisk *super, GPtrArray *names)
{
    struct MpFileDisk *this = (struct MpFileDisk *)super;
    GDir *dir = g_dir_open(this->folder, 0, NULL);
    if (!dir) {
        return MP_ERROR_IO;
    }
    const char *name;
    while ((name = g_dir_read_name(dir))) {
        g_ptr_array_add(names, g_strdup(name));
    }
    g_dir_close(dir);
    return MP_OK;
}

static const struct MpDiskClass file_disk_class = {
    .read = disk_read,
    .append = disk_append,
    .sync = disk_sync,
    .truncate = disk_truncate,
    .replace = disk_replace,
    .remove = disk_remove,
    .list = disk_list,
};

/* Removes the files that replace had not finished when the process ended. */
static int
remove_temporary_files(struct MpFileDisk *this)
{
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    int code = disk_list(&this->super, names);
    for (guint i = 0; code == MP_OK && i < names->len; i++) {
        const char *name = g_ptr_array_index(names, i);
        if (g_str_has_suffix(name, TEMPORARY_SUFFIX)) {
            code = disk_remove(&this->super, name);
        }
    }
    g_ptr_array_unref(names);
    return code;
}

int
MpFileDisk_Init(struct MpFileDisk *this, const char *folder)
{
    *this = (struct MpFileDisk){.super = {.klass = &file_disk_class},
                                .folder = g_strdup(folder),
                                .folder_fd = -1,
                                .lock_fd = -1,
                                .append_fd = -1};
    if (g_mkdir_with_parents(folder, FOLDER_MODE) != 0) {
        return MP_ERROR_IO;
    }
    this->folder_fd = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (this->folder_fd < 0) {
        return MP_ERROR_IO;
    }
    this->lock_fd = openat(this->folder_fd, LOCK_NAME,
                           O_RDWR | O_CREAT | O_CLOEXEC, FILE_MODE);
    if (this->lock_fd < 0) {
        return MP_ERROR_IO;
    }
    if (flock(this->lock_fd, LOCK_EX | LOCK_NB) != 0) {
        return MP_ERROR_LOCKED;
    }
    return remove_temporary_files(this);
}

void
MpFileDisk_Done(struct MpFileDisk *this)
{
    if (this->append_fd >= 0) {
        close(this->append_fd);
    }
    if (this->lock_fd >= 0) {
        close(this->lock_fd);
    }
    if (this->folder_fd >= 0) {
        close(this->folder_fd);
    }
    g_free(this->append_name);
    g_free(this->folder);
}
