#ifndef MP_COMMANDS_LOAD_TEST_H
#define MP_COMMANDS_LOAD_TEST_H

#include "commands/LoadConn.h"
#include "commands/LoadLedger.h"
#include "state/Metrics.h"
#include "transport/Loop.h"

#include <json.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * LoadTest - sends requests to a deployment as its callers would, counts their
 * outcomes and measures latencies.
 *
 * Requests start as a Poisson process whether or not earlier ones have ended,
 * so that the latencies include queueing.  A request without a final response
 * is retried with the same idempotency key at the next instance.  Callers keep
 * their connections, after errors too.  Each response is checked to be
 * complete and to belong to its request, and bytes that no request asked for
 * are counted.
 */

enum MpLoadKind {
    MP_LOAD_RECIPE,  /* streamed completion with a shared prompt prefix */
    MP_LOAD_REPORT,  /* plain completion */
    MP_LOAD_BOOKING, /* at-most-once call */
    MP_LOAD_STOCK,   /* repeatable call */
    MP_LOAD_KINDS
};
extern const char *const MpLoadKind_Names[];

/* A mix of request kinds; the shares in per_mille add up to 1000. */
struct MpLoadMix {
    const char *name;
    uint32_t per_mille[MP_LOAD_KINDS];
    uint32_t prefixes;      /* number of prompt prefixes per workspace */
    uint32_t prefix_blocks; /* length of a prefix, in cache blocks */
};
extern const struct MpLoadMix MpLoadMix_Table[];

struct MpLoadOptions {
    GPtrArray *addresses; /* for callers of instances, or of targets */
    GPtrArray *metrics;   /* metrics addresses of instances, or empty */
    const struct MpLoadMix *mix;
    int64_t workspaces; /* number of workspaces, named w0, w1, ... */
    double rate_per_s;
    int64_t seconds;
    int64_t retries_max;
    int64_t tokens_max;
    uint32_t seed;
    bool is_direct; /* the addresses are those of targets */
    bool is_quiet;
    const char *prompt_suffix; /* appended to each prompt, as "#crash" */
};

/* Number of requests of one kind, by the outcome of the last attempt. */
struct MpLoadCounts {
    uint64_t sent;
    uint64_t answered;  /* complete and correct response */
    uint64_t wrong;     /* complete, but with missing or foreign content */
    uint64_t cut;       /* status 200, but visibly incomplete */
    uint64_t no_budget; /* status 402 */
    uint64_t shed;      /* status 429 or 503 */
    uint64_t unknown;   /* status 504 or 409 */
    uint64_t lost;      /* no response in time, or an incomplete error */
    uint64_t other;     /* any other status */
    uint64_t retries;   /* attempts after the first ones */
    uint64_t foreign;   /* errors whose body is not that of their head */
};

/* One request and its outcome. */
struct MpLoadRequest {
    char *key; /* idempotency key */
    char *workspace;
    enum MpLoadKind kind;
    bool all_not_run; /* no attempt can have run */
    bool is_answered;
    int64_t sent_ms;      /* first attempt, since the start of the test */
    int64_t ended_ms;     /* since the start of the test, 0 while in flight */
    int32_t status;       /* HTTP status of the last attempt, or 0 */
    int64_t prompt_bytes; /* of a completion, as the engine counts it */
    int64_t tokens;       /* of a complete response */
};

struct MpLoadTest {
    const struct MpLoadOptions *options;
    struct MpLoop *loop;
    struct MpLoadConns conns;
    GRand *random;
    struct MpLoadCounts counts[MP_LOAD_KINDS];
    struct MpLoadLedger seen; /* by callers, for each attempt */
    GPtrArray *requests;      /* of struct MpLoadRequest */
    struct MpMetrics metrics;
    int64_t start_ms;
    double next_arrival_ms; /* start of the next request, since start_ms */
    uint64_t request_count; /* requests started */
    uint64_t in_flight;
    struct MpTimer arrival_timer;
    struct MpTimer progress_timer;
};

/* Starts the test.  It starts requests for options->seconds and stops the loop
 * when the last one has ended, at most 30 s later.  options must remain valid
 * until then. */
void MpLoadTest_Start(struct MpLoadTest *this, struct MpLoop *loop,
                      const struct MpLoadOptions *options);

/* Returns the outcomes and latencies as JSON, to be released by
 * json_object_put. */
struct json_object *MpLoadTest_Report(struct MpLoadTest *this);

/* Prints the number of requests by kind and outcome on standard error. */
void MpLoadTest_PrintTable(struct MpLoadTest *this);

/* -- LoadCall.c -- */

/* Starts a request of this kind for the workspace "w<workspace>". */
void MpLoadCall_Start(struct MpLoadTest *test, enum MpLoadKind kind,
                      uint32_t workspace);

#endif
