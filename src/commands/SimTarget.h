#ifndef MP_COMMANDS_SIM_TARGET_H
#define MP_COMMANDS_SIM_TARGET_H

#include "transport/HttpServer.h"
#include "transport/Loop.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/*
 * StandIn - a small model engine or plain service for tests and
 * measurements.
 *
 * As an engine it batches continuously: a token of a request takes the base
 * time and a share more for each other request in the batch; prompt blocks
 * that are not in its bounded cache cost prefill time, one prompt after the
 * other; higher priorities enter the batch first.  Load reports lag and cache
 * events come late, with gaps if asked.  It does not model attention, memory
 * pressure inside the batch, or network between accelerators.
 *
 * Marks in the text of a request cause faults: #crash ends the process,
 * #stall stops after the first token, #silent never answers, #late answers
 * after 3 s, #short ends the answer early, #refuse answers 503, #error
 * answers 500, #long generates up to the limit.
 */

struct MpStandInOptions {
    const char *listen;
    const char *name;
    bool is_engine;
    int64_t slots;        /* requests in the batch, or at once */
    int64_t token_us;     /* time of a token alone */
    int64_t batch_us;     /* more for each other request in the batch */
    int64_t prefill_us;   /* for each prompt block that is not cached */
    int64_t call_us;      /* time of a service call */
    int64_t cache_blocks; /* capacity of the prefix cache */
    int64_t lag_ms;       /* age of load reports and cache events */
    int64_t gap_percent;  /* cache events that are lost */
    bool checks_fencing;  /* refuses orders with an old number */
    const char *run_log;  /* file with a line for each run, or NULL */
};

struct MpRunCount {
    char *key;
    uint32_t runs;
    uint32_t whole; /* runs that came to their end */
};

/* A cached block, in order of use. */
struct MpCachedBlock {
    uint64_t hash;
    GList link;
};

/* A cache event or load report that waits until it may be seen. */
struct MpCacheEvent {
    int64_t at_ms;
    uint64_t sequence;
    uint64_t block;
    bool is_added;
};

struct MpLoadSample {
    int64_t at_ms;
    int64_t running;
    int64_t waiting;
};

struct MpStandIn {
    struct MpStandInOptions options;
    struct MpLoop *loop;
    struct MpHttpServer http;
    char boot[32];
    GQueue waiting[3]; /* of struct MpStandInJob, by priority */
    int64_t running;
    int64_t prefill_until_ms; /* prompts before this time are computed */
    GHashTable *runs;         /* key -> struct MpRunCount */
    GHashTable *cache;        /* hash -> struct MpCachedBlock */
    GQueue cache_order;
    GQueue events;  /* of struct MpCacheEvent */
    GQueue samples; /* of struct MpLoadSample */
    uint64_t event_sequence;
    uint64_t sequence;
    uint64_t fencing;
    uint64_t hit_blocks;
    uint64_t asked_blocks;
    bool is_leaving;
    FILE *log;
    GRand *random;
    struct MpTimer leave_timer;
    struct MpTimer sample_timer;
};

/* Starts listening.  Errors: MP_ERROR_IO. */
int MpStandIn_Start(struct MpStandIn *this, struct MpLoop *loop,
                    const struct MpStandInOptions *options);

/* Says that it leaves, finishes what runs, and stops the loop. */
void MpStandIn_Leave(struct MpStandIn *this);

/* -- for the files of StandIn -- */
struct MpStandInJob;
void MpStandIn_BeginJob(struct MpStandIn *this, h2o_req_t *req);
struct MpRunCount *MpStandIn_CountRun(struct MpStandIn *this, const char *key);
uint32_t MpStandIn_Lookup(struct MpStandIn *this, const uint64_t *blocks,
                          uint32_t count);
void MpStandIn_Store(struct MpStandIn *this, const uint64_t *blocks,
                     uint32_t count);

#endif
