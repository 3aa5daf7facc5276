#ifndef MP_COMMANDS_SIM_TARGET_H
#define MP_COMMANDS_SIM_TARGET_H

#include "transport/HttpServer.h"
#include "transport/Loop.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/*
 * SimTarget - a simulated target for tests, demos and benchmarks: an HTTP
 * server that behaves like a model engine or like a plain service.
 *
 * The engine uses continuous batching: each token of a request takes token_us
 * plus batch_us for each other request in the batch.  Prompt blocks that are
 * not in the bounded prefix cache take prefill_us each, one prompt at a time.
 * Requests of a higher priority enter the batch first.  Load reports and cache
 * events are delayed by lag_ms, and gap_percent of the cache events are lost.
 * Attention, memory pressure inside the batch and the network between
 * accelerators are not modelled.
 *
 * Markers in the text of a request inject faults:
 *
 *     #crash    exit the process when the request starts to run
 *     #stall    send one token of a stream, then nothing more
 *     #silent   never respond
 *     #late     respond 3 s late
 *     #short    cut a stream after two tokens
 *     #refuse   respond with status 503, without running the request
 *     #pause=S  with #refuse: ask for a pause of S seconds
 *     #error    respond with status 500; counts as a run
 *     #long     generate as many tokens as the request allows (no fault)
 */

struct MpSimTargetOptions {
    const char *listen;
    const char *name;
    bool is_engine;
    int64_t slots;        /* concurrent requests; size of the batch */
    int64_t token_us;     /* time per token of a request alone */
    int64_t batch_us;     /* added per other request in the batch */
    int64_t prefill_us;   /* time per prompt block that is not cached */
    int64_t call_us;      /* time per service call */
    int64_t cache_blocks; /* capacity of the prefix cache */
    int64_t lag_ms;       /* delay of load reports and cache events */
    int64_t gap_percent;  /* percentage of cache events lost */
    int64_t slow_percent; /* how long work takes; 100 is usual.  0: usual, and
                           * responses have no load report */
    bool checks_fencing;  /* refuses orders with an old fencing number */
    const char *run_log;  /* file to append the key of each run to, or NULL */
};

/* Runs of one idempotency key. */
struct MpRunCount {
    char *key;
    uint32_t runs;
    uint32_t completed;
};

/* A block in the prefix cache; link is its place in cache_order. */
struct MpCachedBlock {
    uint64_t hash;
    GList link;
};

/* A block added to the prefix cache or evicted from it; reported when it is
 * lag_ms old. */
struct MpCacheEvent {
    int64_t at_ms;
    uint64_t sequence;
    uint64_t block;
    bool is_added;
};

/* The load at at_ms; the newest sample at least lag_ms old is reported. */
struct MpLoadSample {
    int64_t at_ms;
    int64_t running;
    int64_t waiting;
};

struct MpSimTarget {
    struct MpSimTargetOptions options;
    struct MpLoop *loop;
    struct MpHttpServer http;
    char boot[32];     /* random id of this incarnation */
    GQueue waiting[3]; /* of struct MpSimTargetJob, by priority */
    int64_t running;
    int64_t prefill_until_ms; /* all started prompts are prefilled then */
    GHashTable *runs;         /* key -> struct MpRunCount */
    GHashTable *cache;        /* hash -> struct MpCachedBlock */
    GQueue cache_order;       /* of struct MpCachedBlock, oldest use first */
    GQueue events;            /* of struct MpCacheEvent */
    GQueue samples;           /* of struct MpLoadSample */
    uint64_t event_sequence;  /* of the last cache event */
    uint64_t report_sequence; /* of the last load report */
    uint64_t fencing_max;     /* highest fencing number of an order */
    uint64_t hit_blocks;      /* counter of blocks found in the cache */
    uint64_t asked_blocks;    /* counter of blocks looked up */
    bool is_leaving;
    FILE *run_log;
    GRand *random;
    struct MpTimer leave_timer;
    struct MpTimer sample_timer;
};

/* Starts the server on loop; strings in options must outlive it.  Errors:
 * MP_ERROR_IO. */
int MpSimTarget_Start(struct MpSimTarget *this, struct MpLoop *loop,
                      const struct MpSimTargetOptions *options);

/* Starts leaving: reports it in the status, refuses new requests, and stops
 * the loop when the requests in progress have ended, after 1.5 s at least. */
void MpSimTarget_Leave(struct MpSimTarget *this);

/* -- internal functions -- */

struct MpSimTargetJob;

/* Runs req as a request to the engine or service, and sends the response. */
void MpSimTarget_StartJob(struct MpSimTarget *target, h2o_req_t *req);

/* Counts and logs a run of key. */
struct MpRunCount *MpSimTarget_CountRun(struct MpSimTarget *this,
                                        const char *key);

/* Returns how many of the first blocks of a prompt are in the prefix cache. */
uint32_t MpSimTarget_LookupBlocks(struct MpSimTarget *this,
                                  const uint64_t *blocks, uint32_t count);

/* Adds blocks to the prefix cache, evicting the least recently used. */
void MpSimTarget_StoreBlocks(struct MpSimTarget *this, const uint64_t *blocks,
                             uint32_t count);

#endif
