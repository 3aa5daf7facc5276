#ifndef MP_COORDINATION_PICKER_H
#define MP_COORDINATION_PICKER_H

#include "coordination/DrainedZones.h"
#include "coordination/PickPolicy.h"
#include "coordination/Regions.h"
#include "coordination/TargetLeaving.h"
#include "coordination/TargetPause.h"
#include "state/Document.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * MpPicker - chooses the target of a native chat or service request.
 *
 * The load of a target is estimated as its last load report, which is up to a
 * poll interval old, plus the change since then in the requests that this
 * instance has in flight there.  A target that has cached the start of the
 * prompt is preferred while its load is within a bound of the mean load;
 * otherwise the less loaded of two random targets is picked.
 *
 * A target that fails repeatedly is ejected for a time that doubles with each
 * ejection, up to a maximum.  The first request after an ejection is a probe:
 * if it fails too, the target is ejected again.  When more than half of the
 * targets are ejected and no other is left, ejected ones are used again: the
 * fault may be local to this instance and must not close a service.
 *
 * The module does no I/O: the caller passes the time as now_ms, and randomness
 * comes from a seeded generator.
 */

/* Blocks at the start of a prompt that are compared, and bytes per block. */
#define MP_PREFIX_BLOCKS_MAX 32
#define MP_PREFIX_BLOCK_BYTES 256
/* Block hashes stored per target. */
#define MP_PREFIX_CACHE_MAX 8192

/* State of a target, as shown on status pages. */
enum MpTargetHealth {
    MP_HEALTH_OK,
    MP_HEALTH_DRAINING, /* by the document, or no longer in it */
    MP_HEALTH_DRAINED,  /* its zone is out of use */
    MP_HEALTH_LEAVING,  /* by its own report or answer */
    MP_HEALTH_PAUSED,   /* by its own answer */
    MP_HEALTH_EJECTED,
    MP_HEALTH_PROBING /* a probe is in flight */
};
extern const char *const MpTargetHealth_Names[];

/* How an attempt ended, for the health of its target. */
enum MpAttemptOutcome {
    MP_ATTEMPT_OK,
    MP_ATTEMPT_FAILED,   /* no connection, broken off, timed out, or an answer
                          * that shows a fault of the target */
    MP_ATTEMPT_CANCELLED /* no information about the target */
};

/* A load report of a target. */
struct MpLoadReport {
    uint64_t sequence; /* set by the target; grows with each report */
    int64_t running;
    int64_t waiting;
    bool is_leaving;
};

struct MpTarget {
    char *name;
    char *address;
    char *zone;
    int64_t capacity;
    bool is_draining;               /* by the document */
    bool is_zone_drained;           /* its zone is out of use */
    struct MpTargetLeaving leaving; /* by its reports (as a list), or by an
                                     * answer */
    struct MpTargetPause pause;
    bool is_listed;    /* in the current document */
    int64_t in_flight; /* requests in flight from this instance */
    int64_t in_flight_at_report;
    int64_t reported_load; /* load in the last report: running and waiting */
    uint64_t report_sequence;
    int64_t report_ms;        /* 0: no report yet */
    uint32_t failures;        /* consecutive */
    uint32_t ejections;       /* consecutive */
    int64_t ejected_until_ms; /* 0: not ejected, or healthy again */
    bool is_probing;          /* a probe after an ejection is in flight */
    GHashTable *blocks;       /* block -> its link in block_order */
    GQueue block_order;       /* least recently used first */
    uint64_t event_sequence;  /* of the last cache event */
    uint64_t picked;          /* counter: times that it was picked */
    uint64_t hit_blocks;      /* counter: blocks expected in its cache */
};

struct MpPicker {
    GHashTable *targets; /* name -> struct MpTarget */
    GRand *random;
    enum MpPickPolicy policy;
    char *zone;                         /* of this instance */
    const struct MpDrainedZones *zones; /* NULL until they are set */
    uint64_t ejections;                 /* counter */
};

/* The request that a target is picked for. */
struct MpPickQuery {
    const GPtrArray *names; /* of char *, targets that serve the request */
    const uint64_t *blocks; /* chained block hashes of the prompt */
    uint32_t block_count;
    bool is_at_most_once;
    const GPtrArray *avoid; /* of char *, targets already tried, or NULL */
    const struct MpRegionRule *regions; /* where it may be served; or NULL */
};

void MpPicker_Init(struct MpPicker *this, const char *zone, uint32_t seed);
void MpPicker_Done(struct MpPicker *this);

/* Applies the targets of a document; the state of targets whose address is
 * unchanged is kept. */
void MpPicker_SetDocument(struct MpPicker *this,
                          const struct MpDocument *document);

/* Applies which zones are drained: no target there is picked.  The picker
 * refers to zones; it is called again when they change. */
void MpPicker_SetDrainedZones(struct MpPicker *this,
                              const struct MpDrainedZones *zones);

struct MpTarget *MpPicker_Find(const struct MpPicker *this, const char *name);

/*
 * Returns the target for a request and sets *code to MP_OK, or returns NULL
 * and sets *code to MP_ERROR_NO_TARGET when no target is healthy, or to
 * MP_ERROR_LIMIT when all healthy targets are full.
 */
struct MpTarget *MpPicker_Pick(struct MpPicker *this,
                               const struct MpPickQuery *query, int64_t now_ms,
                               int *code);

/* Returns when the first of the pauses of names ends if all targets that are
 * neither draining, drained nor leaving are paused, else 0. */
int64_t MpPicker_FirstPauseEnd(const struct MpPicker *this,
                               const GPtrArray *names, int64_t now_ms);

/* Counts the start and the end of a request at a target. */
void MpTarget_Start(struct MpTarget *this);
void MpTarget_Finish(struct MpPicker *picker, struct MpTarget *this,
                     enum MpAttemptOutcome outcome, int64_t now_ms);

/* Applies a load report; one older than the last is ignored. */
void MpTarget_ApplyReport(struct MpTarget *this,
                          const struct MpLoadReport *report, int64_t now_ms);

/* Counts a failure to get a load report. */
void MpTarget_ReportFailed(struct MpPicker *picker, struct MpTarget *this,
                           int64_t now_ms);

/* Applies a cache event: block was added to or evicted from the target's
 * cache.  For each missed event, seen as a gap in sequence, the least recently
 * used block is dropped, since the event may have been an eviction. */
void MpTarget_ApplyCacheEvent(struct MpTarget *this, uint64_t sequence,
                              uint64_t block, bool is_added);

/* Marks the blocks of a request that was sent to a target as cached there. */
void MpTarget_NoteBlocks(struct MpTarget *this, const uint64_t *blocks,
                         uint32_t count);

/* Clears what belongs to the previous incarnation of a restarted target:
 * cached blocks, sequence numbers, the leaving state and a pause. */
void MpTarget_HandleRestart(struct MpTarget *this);

/* Returns the estimated load of a target in requests. */
int64_t MpTarget_Load(const struct MpTarget *this);

enum MpTargetHealth MpTarget_Health(const struct MpTarget *this,
                                    int64_t now_ms);

/* Computes the chained hashes of the full blocks of a prompt, at most
 * MP_PREFIX_BLOCKS_MAX; returns their number. */
uint32_t MpPicker_HashBlocks(const void *text, size_t size, uint64_t *blocks);

#endif
