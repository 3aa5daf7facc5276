#ifndef MP_COORDINATION_PICKER_H
#define MP_COORDINATION_PICKER_H

#include "coordination/PickPolicy.h"
#include "state/Document.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Picker - chooses the target of a request.
 *
 * The load of a target is its last report, which lags, plus the change of
 * this instance's own requests since that report.  A target that has cached
 * the start of the prompt is preferred while its load stays within a bound
 * of the mean; else the less loaded of two random targets is taken.  Targets
 * that fail are ejected for a growing time and come back with one probe; at
 * most half of a list is ejected, so that a fault seen here alone does not
 * close a service.
 *
 * The module is pure: time enters as now_ms and randomness by a seed.
 */

/* Blocks of a prompt that are compared, and bytes of a block. */
#define MP_PREFIX_BLOCKS_MAX 32
#define MP_PREFIX_BLOCK_BYTES 256
/* Block hashes remembered for one target. */
#define MP_PREFIX_CACHE_MAX 8192

/* Why a target is out, for status pages. */
enum MpTargetHealth {
    MP_HEALTH_OK,
    MP_HEALTH_DRAINING,
    MP_HEALTH_LEAVING,
    MP_HEALTH_EJECTED,
    MP_HEALTH_PROBING
};
extern const char *const MpTargetHealth_Names[];

enum MpAttemptOutcome {
    MP_ATTEMPT_OK,
    MP_ATTEMPT_FAILED,   /* no connection, cut, silent, or refused as sick */
    MP_ATTEMPT_CANCELLED /* says nothing about the target */
};

/* One load report of a target. */
struct MpLoadReport {
    uint64_t sequence; /* of the target's own; newer ones replace older */
    int64_t running;
    int64_t waiting;
    bool is_leaving;
};

struct MpTarget {
    char *name;
    char *address;
    char *zone;
    int64_t capacity;
    bool is_draining;  /* by the document */
    bool is_leaving;   /* by its own report */
    bool is_listed;    /* in the current document */
    int64_t in_flight; /* requests of this instance in flight */
    int64_t in_flight_at_report;
    int64_t reported_load;
    uint64_t report_sequence;
    int64_t report_ms;
    uint32_t failures; /* in a row */
    uint32_t ejections;
    int64_t ejected_until_ms;
    bool is_probing;    /* one request tests the target after an ejection */
    GHashTable *blocks; /* block -> its link in block_order */
    GQueue block_order;
    uint64_t event_sequence;
    uint64_t picked;     /* counter */
    uint64_t hit_blocks; /* counter of blocks expected in its cache */
};

struct MpPicker {
    GHashTable *targets; /* name -> struct MpTarget */
    GRand *random;
    enum MpPickPolicy policy;
    char *zone;
    uint64_t ejections; /* counter */
};

/* What is wanted of a target. */
struct MpPickQuery {
    const GPtrArray *names; /* targets that serve the request */
    const uint64_t *blocks; /* chained hashes of the prompt */
    uint32_t block_count;
    bool is_at_most_once;
    const GPtrArray *avoid; /* names already tried, or NULL */
};

void MpPicker_Init(struct MpPicker *this, const char *zone, uint32_t seed);
void MpPicker_Done(struct MpPicker *this);

/* Takes the targets of a document; what is known of them stays. */
void MpPicker_SetDocument(struct MpPicker *this,
                          const struct MpDocument *document);

struct MpTarget *MpPicker_Find(const struct MpPicker *this, const char *name);

/*
 * Returns the target for a request, or NULL with *code:
 * MP_ERROR_NO_TARGET when none is healthy, MP_ERROR_LIMIT when all that are
 * healthy are full.
 */
struct MpTarget *MpPicker_Pick(struct MpPicker *this,
                               const struct MpPickQuery *query, int64_t now_ms,
                               int *code);

/* Counts a request that is handed to target, and its end. */
void MpTarget_Start(struct MpTarget *this);
void MpTarget_Finish(struct MpPicker *picker, struct MpTarget *this,
                     enum MpAttemptOutcome outcome, int64_t now_ms);

/* Takes a load report; one older than the last is ignored. */
void MpTarget_ApplyReport(struct MpTarget *this,
                          const struct MpLoadReport *report, int64_t now_ms);

/* Notes that no load report could be had. */
void MpTarget_ReportFailed(struct MpPicker *picker, struct MpTarget *this,
                           int64_t now_ms);

/* Takes a cache event; for each event that is missing the block used longest
 * ago is dropped, since blocks may have left the cache unseen. */
void MpTarget_ApplyCacheEvent(struct MpTarget *this, uint64_t sequence,
                              uint64_t block, bool is_added);

/* Notes that a request has put its blocks into the cache of target. */
void MpTarget_NoteBlocks(struct MpTarget *this, const uint64_t *blocks,
                         uint32_t count);

/* Forgets what was known of a target that has started anew. */
void MpTarget_HandleRestart(struct MpTarget *this);

/* Returns the load estimate of a target, requests. */
int64_t MpTarget_Load(const struct MpTarget *this);

enum MpTargetHealth MpTarget_Health(const struct MpTarget *this,
                                    int64_t now_ms);

/* Computes the chained hashes of the blocks of a prompt; returns how many. */
uint32_t MpPicker_HashBlocks(const void *text, size_t size, uint64_t *blocks);

#endif
