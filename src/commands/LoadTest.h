#ifndef MP_COMMANDS_LOAD_TEST_H
#define MP_COMMANDS_LOAD_TEST_H

#include "state/Metrics.h"
#include "transport/Loop.h"
#include "transport/Upstream.h"

#include <json.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Load - callers of a deployment, for measurements.
 *
 * Requests arrive by a Poisson process whether or not earlier ones have been
 * answered, so that waiting is counted.  A caller whose request has no final
 * answer repeats its key at another instance.  Each answer is checked to be
 * whole and the caller's own.
 */

enum MpLoadKind {
    MP_LOAD_RECIPE,  /* streamed completion with a shared prompt prefix */
    MP_LOAD_REPORT,  /* plain completion */
    MP_LOAD_BOOKING, /* at-most-once call */
    MP_LOAD_STOCK,   /* repeatable call */
    MP_LOAD_KINDS
};
extern const char *const MpLoadKind_Names[];

/* Share of each kind, per mille. */
struct MpLoadMix {
    const char *name;
    uint32_t per_mille[MP_LOAD_KINDS];
    uint32_t prefixes;      /* shared prompt prefixes of a workspace */
    uint32_t prefix_blocks; /* blocks of a prefix */
};
extern const struct MpLoadMix MpLoadMix_Table[];

struct MpLoadOptions {
    GPtrArray *instances; /* addresses for callers */
    const struct MpLoadMix *mix;
    int64_t workspaces;
    double rate_per_s;
    int64_t seconds;
    int64_t retries;
    int64_t tokens_most;
    uint32_t seed;
    bool is_direct; /* the addresses are targets */
    bool is_quiet;
    const char *marks; /* text added to each prompt, as #crash */
};

/* What became of the requests, by kind. */
struct MpLoadCounts {
    uint64_t sent;
    uint64_t answered;  /* whole, own answer */
    uint64_t wrong;     /* not whole or not the caller's own, taken for one */
    uint64_t cut;       /* ended with an explicit failure, and no retry left */
    uint64_t no_budget; /* 402 */
    uint64_t shed;      /* 429 or 503 */
    uint64_t unknown;   /* 504 or 409 */
    uint64_t lost;      /* never an answer */
    uint64_t other;
    uint64_t retries;
};

/* What a caller knows of one key. */
struct MpLoadKey {
    char *key;
    char *workspace;
    enum MpLoadKind kind;
    bool all_not_run; /* every answer said "not run" */
    bool is_answered;
    int64_t sent_ms; /* since the start */
    int64_t ended_ms;
    int32_t status;
    int64_t prompt_bytes; /* of a completion, as the engine counts them */
    int64_t tokens;       /* of its answer */
};

struct MpLoad {
    const struct MpLoadOptions *options;
    struct MpLoop *loop;
    struct MpUpstreamContext upstreams;
    GRand *random;
    struct MpLoadCounts counts[MP_LOAD_KINDS];
    GPtrArray *keys; /* of struct MpLoadKey */
    struct MpMetrics metrics;
    int64_t began_ms;
    double next_ms; /* arrival of the next request, since the start */
    uint64_t number;
    uint64_t running;
    struct MpTimer arrival;
    struct MpTimer progress;
};

void MpLoad_Start(struct MpLoad *this, struct MpLoop *loop,
                  const struct MpLoadOptions *options);

/* Returns the report as JSON, to be released by json_object_put. */
struct json_object *MpLoad_Report(struct MpLoad *this);

/* Prints the report as a table on standard error. */
void MpLoad_PrintTable(struct MpLoad *this);

/* -- LoadCall.c -- */

/* Starts one request of kind for the workspace with this number. */
void MpLoadCall_Start(struct MpLoad *load, enum MpLoadKind kind,
                      uint32_t workspace);

#endif
