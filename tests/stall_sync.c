/* Preloaded into an instance: while the file that STALL_SYNC names exists,
 * writes to its disk are not synced, as on a disk that stalls; if the file is
 * not empty, syncs fail. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>

#define CHECK_US 20000

/* Returns false if the disk fails. */
static bool
wait_for_disk(void)
{
    const char *name = getenv("STALL_SYNC");
    struct stat info;
    while (name && stat(name, &info) == 0) {
        if (info.st_size > 0) {
            errno = EIO;
            return false;
        }
        usleep(CHECK_US);
    }
    return true;
}

int
fsync(int fd)
{
    int (*real)(int);
    *(void **)&real = dlsym(RTLD_NEXT, "fsync");
    return wait_for_disk() ? real(fd) : -1;
}

int
fdatasync(int fd)
{
    int (*real)(int);
    *(void **)&real = dlsym(RTLD_NEXT, "fdatasync");
    return wait_for_disk() ? real(fd) : -1;
}
