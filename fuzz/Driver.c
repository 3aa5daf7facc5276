#include "Input.h"

#include "state/Fault.h"

#include <glib.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/*
 * Driver - main program of the fuzzers: runs cases generated from seeds and
 * replays the files of a corpus.
 *
 *     Fuzzer --seeds FIRST COUNT [--size BYTES] [--fault NUMBER] [FILE ...]
 *
 * A seed gives the same case on every machine, of BYTES / 4 to BYTES - 1
 * bytes; BYTES is 1024 by default.  --fault switches on a deliberate fault of
 * state/Fault.h in a build with MP_TEST_FAULTS.  The exit status is 0 when all
 * cases pass; the process aborts at the first failure, after printing the seed
 * and the number of steps.
 */

static uint32_t current_seed;
static const char *current_file;

#ifdef MP_TEST_FAULTS
enum MpFault MpFault_Active = MP_FAULT_NONE;
#endif

uint64_t Fuzz_Steps;

void
Fuzz_Fail(const char *format, ...)
{
    va_list args;
    va_start(args, format);
    fprintf(stderr, "FAILED %s seed=%" PRIu32 " steps=%" PRIu64 ": ",
            current_file ? current_file : "", current_seed, Fuzz_Steps);
    vfprintf(stderr, format, args);
    fprintf(stderr, "\n");
    va_end(args);
    abort();
}

#ifndef MP_LIBFUZZER
static void
run_seed(uint32_t seed, size_t max_size)
{
    GRand *random = g_rand_new_with_seed(seed);
    size_t size = (size_t)g_rand_int_range(random, (gint32)max_size / 4,
                                           (gint32)max_size);
    uint8_t *data = g_malloc(size);
    for (size_t i = 0; i < size; i++) {
        data[i] = (uint8_t)g_rand_int_range(random, 0, 256);
    }
    current_seed = seed;
    LLVMFuzzerTestOneInput(data, size);
    g_free(data);
    g_rand_free(random);
}

static void
run_file(const char *name)
{
    char *data;
    gsize size;
    if (!g_file_get_contents(name, &data, &size, NULL)) {
        Fuzz_Fail("cannot read %s", name);
    }
    current_file = name;
    LLVMFuzzerTestOneInput((const uint8_t *)data, size);
    current_file = NULL;
    g_free(data);
}

int
main(int argc, char **argv)
{
    uint32_t first = 1;
    uint32_t count = 0;
    size_t max_size = 1024;
    uint32_t files = 0;
    for (int i = 1; i < argc; i++) {
        if (strcmp(argv[i], "--seeds") == 0 && i + 2 < argc) {
            first = (uint32_t)strtoul(argv[++i], NULL, 10);
            count = (uint32_t)strtoul(argv[++i], NULL, 10);
        }
        else if (strcmp(argv[i], "--size") == 0 && i + 1 < argc) {
            max_size = strtoul(argv[++i], NULL, 10);
        }
        else if (strcmp(argv[i], "--fault") == 0 && i + 1 < argc) {
#ifdef MP_TEST_FAULTS
            MpFault_Active = (enum MpFault)strtoul(argv[++i], NULL, 10);
#else
            i++;
#endif
        }
        else {
            run_file(argv[i]);
            files++;
        }
    }
    for (uint32_t i = 0; i < count; i++) {
        run_seed(first + i, max_size);
    }
    const char *slash = strrchr(argv[0], '/');
    printf("%s: %" PRIu32 " seeds, %" PRIu32 " files, %" PRIu64 " steps\n",
           slash ? slash + 1 : argv[0], count, files, Fuzz_Steps);
    return 0;
}
#endif
