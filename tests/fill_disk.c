/* Preloaded into an instance: while the file FILL_DISK.full exists, the folder
 * FILL_DISK takes no new files, no renames and no writes, as on a full disk.
 * The file holds a number: so many bytes of each write still find room. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Returns the bytes that still find room in a write to the file or folder fd;
 * -1 if it is not on the full disk. */
static long
room_of(int fd)
{
    const char *folder = getenv("FILL_DISK");
    char path[PATH_MAX];
    char link[64];
    long room = 0;
    snprintf(link, sizeof(link), "/proc/self/fd/%d", fd);
    ssize_t length = readlink(link, path, sizeof(path) - 1);
    if (!folder || length < 0) {
        return -1;
    }
    path[length] = '\0';
    if (strncmp(path, folder, strlen(folder)) != 0 ||
        (path[strlen(folder)] != '/' && path[strlen(folder)] != '\0')) {
        return -1;
    }
    snprintf(path, sizeof(path), "%s.full", folder);
    FILE *file = fopen(path, "r");
    if (!file) {
        return -1;
    }
    room = fscanf(file, "%ld", &room) == 1 ? room : 0;
    fclose(file);
    return room;
}

ssize_t
write(int fd, const void *data, size_t size)
{
    static __thread bool is_room_used;
    ssize_t (*real)(int, const void *, size_t);
    *(void **)&real = dlsym(RTLD_NEXT, "write");
    long room = room_of(fd);
    if (room < 0) {
        return real(fd, data, size);
    }
    is_room_used = !is_room_used && room > 0 && (size_t)room < size;
    if (is_room_used) {
        return real(fd, data, (size_t)room);
    }
    errno = ENOSPC;
    return -1;
}

static int
open_unless_full(const char *symbol, int folder, const char *name, int flags,
                 mode_t mode)
{
    int (*real)(int, const char *, int, ...);
    *(void **)&real = dlsym(RTLD_NEXT, symbol);
    if ((flags & O_CREAT) && faccessat(folder, name, F_OK, 0) != 0 &&
        room_of(folder) >= 0) {
        errno = ENOSPC;
        return -1;
    }
    return real(folder, name, flags, mode);
}

int
openat(int folder, const char *name, int flags, ...)
{
    va_list list;
    va_start(list, flags);
    mode_t mode = (flags & O_CREAT) ? va_arg(list, mode_t) : 0;
    va_end(list);
    return open_unless_full("openat", folder, name, flags, mode);
}

int
openat64(int folder, const char *name, int flags, ...)
{
    va_list list;
    va_start(list, flags);
    mode_t mode = (flags & O_CREAT) ? va_arg(list, mode_t) : 0;
    va_end(list);
    return open_unless_full("openat64", folder, name, flags, mode);
}

int
renameat(int from, const char *name, int to, const char *new_name)
{
    int (*real)(int, const char *, int, const char *);
    *(void **)&real = dlsym(RTLD_NEXT, "renameat");
    if (room_of(to) >= 0) {
        errno = ENOSPC;
        return -1;
    }
    return real(from, name, to, new_name);
}
