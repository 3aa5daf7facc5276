/* Preloaded into an instance: writes to its disk are not synced while the file
 * that STALL_SYNC names exists, as on a disk that stalls. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <stdlib.h>
#include <unistd.h>

#define CHECK_US 20000

static void
wait_for_disk(void)
{
    const char *name = getenv("STALL_SYNC");
    while (name && access(name, F_OK) == 0) {
        usleep(CHECK_US);
    }
}

int
fsync(int fd)
{
    int (*real)(int);
    *(void **)&real = dlsym(RTLD_NEXT, "fsync");
    wait_for_disk();
    return real(fd);
}

int
fdatasync(int fd)
{
    int (*real)(int);
    *(void **)&real = dlsym(RTLD_NEXT, "fdatasync");
    wait_for_disk();
    return real(fd);
}
