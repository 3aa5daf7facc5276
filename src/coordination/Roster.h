#ifndef MP_COORDINATION_ROSTER_H
#define MP_COORDINATION_ROSTER_H

#include "coordination/DrainedZones.h"
#include "coordination/Regions.h"
#include "coordination/RequestMeta.h"
#include "coordination/ColdStart.h"
#include "coordination/PickPolicy.h"
#include "coordination/Permits.h"
#include "coordination/TargetLeaving.h"
#include "coordination/TargetPause.h"
#include "coordination/TargetRoom.h"
#include "coordination/TargetSpeed.h"
#include "coordination/VersionView.h"
#include "coordination/ZoneSpill.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * MpRoster - the targets of all pools as seen by one instance, and the choice
 * of a target for a request on a path.  (MpPicker does this for native
 * requests.)
 *
 * A target's state comes from the target list, from the load reports in its
 * answers (both of them delayed), from the attempts that this instance has
 * sent since the last report, and from the results of its attempts.
 *
 * A target is ejected after a failed attempt.  After the ejection it is
 * half-open until it answers an attempt: a single request that may be repeated
 * tests it.  If there is no such request, it becomes a probe candidate, and
 * the owner tries to connect to it.
 */

/* Assumed prefill speed of an inference engine, prompt tokens per ms, as long
 * as it is not measured: the speed of the engines of both users. */
#define MP_PREFILL_TOKENS_PER_MS 38
/* Time for which a part of a prompt is assumed to stay in an engine's cache,
 * ms: the prompts of a busy engine fill its memory in about this time. */
#define MP_CACHE_RETENTION_MS 10000
/* Time over which the weight of a load report falls linearly to 0, ms. */
#define MP_LOAD_REPORT_DECAY_MS 1500
/* Duration of the ejection after a failure, ms.  It is doubled with each
 * further failure, up to the maximum. */
#define MP_EJECTION_MS 400
#define MP_EJECTION_MAX_MS 3200
/* Time after an ejection in which only a repeatable request may test the
 * target, ms.  After that a probe shows whether the target listens.  Together
 * with the ejection it bounds how long a recovered target gets no requests. */
#define MP_PROBE_DELAY_MS 600

/* An entry of a target list. */
struct MpListedTarget {
    char *incarnation; /* identifies one start of the target */
    char *pool;
    char *address;
    char *zone;
    char *version; /* of its software; NULL or empty: not reported */
    int64_t slots; /* requests that it runs at once; 0: no limit known */
    bool is_leaving;
    int64_t cold_ms;    /* remaining time that it is slow after its start, -1:
                         * not reported */
    int64_t started_ms; /* wall clock time of its start; 0: not reported */
};

void MpListedTarget_Delete(void *this);

/* How an attempt ended, for the health of its target. */
enum MpTargetOutcome {
    MP_OUTCOME_OK,       /* it answered */
    MP_OUTCOME_REFUSED,  /* it refused the request, which has not run */
    MP_OUTCOME_ERROR,    /* it answered with a server error */
    MP_OUTCOME_FAILED,   /* no connection, a broken one, or no answer */
    MP_OUTCOME_REPLACED, /* another incarnation answers at its address */
    MP_OUTCOME_CANCELLED /* no information about the target */
};

/* A target of a pool; reference-counted. */
struct MpPoolTarget {
    char *incarnation;
    char *pool;
    char *address;
    char *zone;
    char *version;   /* of its software; empty: not reported */
    int64_t slots;   /* requests that it runs at once; 0: no limit known */
    uint64_t hash;   /* of the incarnation */
    bool is_listed;  /* in the current list */
    bool is_leaving; /* accepts no new requests */
    struct MpTargetLeaving leaving; /* who said so */
    struct MpTargetPause pause;
    bool is_drained; /* its zone is out of use */
    bool is_removed; /* removed from the list; freed after its last attempt */
    struct MpColdStart cold;
    int64_t listed_ms; /* when it came into the list */
    /* load */
    int32_t running;          /* attempts of this instance in flight */
    int32_t waiting;          /* attempts of this instance without an answer */
    int64_t prefill_tokens;   /* uncached prompt tokens of the waiting ones */
    int32_t reported_running; /* last report: requests of all instances */
    int32_t reported_waiting;
    int32_t sent_since_report; /* attempts of this instance since the report */
    int64_t reported_ms;       /* time of the report; 0: none */
    struct MpTargetLimit limit;
    struct MpTargetRoom room;
    bool is_load_invalid;  /* it has sent an unreadable load report */
    bool is_limit_invalid; /* the last limit that it named is no number */
    bool is_limit_seen;    /* in an answer since the last sync */
    int64_t permit_ms;     /* with a limit: when a permit may be had again */
    int64_t keeper_ms[MP_KEEPERS_MAX]; /* the same for each keeper, in the
                                        * order of MpLenders_ListKeepers */
    /* health */
    uint32_t failures; /* consecutive */
    int64_t ejected_until_ms;
    bool is_under_test; /* a request that tests it is in flight */
    bool is_probing;    /* a probe (connection attempt) is under way */
    bool is_listening;  /* a probe has connected since the last failure */
    double error_rate;  /* decaying average, 0 to 1 */
    double slowness;    /* decaying average of the time to the first answer as
                         * a multiple of the expected time, 1 to 8 */
    struct MpTargetSpeed speed;
    uint64_t picked;          /* counter: attempts */
    GHashTable *cached_parts; /* part id -> time of last use, ms */
    void *connections;        /* owned by the transport */
    uint32_t references;
};

struct MpRoster {
    char *zone;                  /* of this instance */
    enum MpPickPolicy policy;    /* MP_PICK_AFFINITY unless it is set */
    GHashTable *targets;         /* incarnation -> struct MpPoolTarget */
    GHashTable *pools;           /* name -> GPtrArray of struct MpPoolTarget */
    GHashTable *delays;          /* pool -> struct delay */
    GHashTable *speeds;          /* pool -> struct MpPoolSpeed */
    GHashTable *spills;          /* pool -> struct MpZoneSpill */
    int64_t zone_cost_us_per_kb; /* of bytes between zones; 0: not weighed */
    void (*dropped)(void *owner, struct MpPoolTarget *target);
    void *owner;
    const struct MpDrainedZones *zones; /* NULL until they are set */
    uint64_t version;                   /* counts the changes of the list */
    int64_t listed_ms;                  /* when the list was last updated */
};

/* dropped is called with owner before a target is freed. */
void MpRoster_Init(struct MpRoster *this, const char *zone,
                   void (*dropped)(void *owner, struct MpPoolTarget *target),
                   void *owner);

/* Frees all targets; no attempt may be in flight. */
void MpRoster_Done(struct MpRoster *this);

/* Applies which zones are drained: no target there is picked, tested or
 * probed.  The roster refers to zones; it is called again when they change.
 * Returns the number of targets whose zone was drained or restored. */
uint32_t MpRoster_SetDrainedZones(struct MpRoster *this,
                                  const struct MpDrainedZones *zones);

/* Returns when the zone was last restored after a drain, on the clock of
 * now_ms, or -1 if it never was.  Its targets may have started shortly
 * before. */
int64_t MpRoster_ZoneRestoredMs(const struct MpRoster *this, const char *zone);

/* Replaces the list, of struct MpListedTarget.  Targets that are not in it
 * get no new requests.  Returns the number of targets that were added, were
 * removed or changed their state. */
uint32_t MpRoster_SetList(struct MpRoster *this, const GPtrArray *list,
                          int64_t now_ms);

/* Applies the changes of a list, both of struct MpListedTarget: changed has
 * the targets that were added or changed their state, removed those that are
 * no longer in it.  Returns the number of changes. */
uint32_t MpRoster_ApplyChanges(struct MpRoster *this, const GPtrArray *changed,
                               const GPtrArray *removed, int64_t now_ms);

/* What the leader's reply about its target list means for an instance. */
enum MpListUpdate {
    MP_UPDATE_NONE,    /* the instance has the leader's list */
    MP_UPDATE_PARTIAL, /* the reply has the changes to the instance's list */
    MP_UPDATE_FULL,    /* the reply has the whole list */
    MP_UPDATE_STALE    /* the reply rests on a list that was replaced since */
};

/* Classifies the leader's reply by the hashes of three lists: the one that
 * the instance has now, the one that it had when it sent the request, and the
 * leader's.  The first two differ when the instance has read the list itself
 * in the meantime.  is_partial: the reply has changes only. */
enum MpListUpdate MpRoster_ClassifyUpdate(uint64_t held_hash,
                                          uint64_t requested_hash,
                                          uint64_t leader_hash,
                                          bool is_partial);

/* The request that a target of a pool is picked for. */
struct MpPoolQuery {
    const char *pool;
    const struct MpRequestMeta *meta;
    bool is_at_most_once;   /* the request must not run twice */
    bool is_engine;         /* the targets of the pool are engines */
    const GPtrArray *avoid; /* of struct MpPoolTarget, already tried */
    const char *permitted;  /* incarnation of a target that names a limit or
                             * is cold, for which there is a permit; or
                             * NULL */
    bool has_no_permits;    /* targets that need a permit are left out */
    struct MpColdConf cold; /* how cold targets of the pool may be used */
    bool prefers_warm;      /* cold targets are the last choice */
    uint32_t instance_rank; /* of this instance among all, from 0 */
    uint32_t instances;     /* number of all */
    int64_t wall_ms;        /* clock that all instances have in common */
    int64_t queue_max_ms;   /* see MpRoster_QueueMax */
    int64_t rank;           /* 0 is the highest */
    const struct MpRegionRule *regions; /* where it may be served; or NULL */
    int64_t bytes;                      /* of the request */
    const char *version; /* only targets with this software version; or NULL */
    const struct MpVersionView *view; /* without version: only targets whose
                                       * version is active there; or NULL */
    int64_t heard_ms; /* with view: when the leader was last heard */
    int64_t boot_ms;  /* with view: now on the clock of view and heard_ms,
                       * which counts while the machine is suspended */
    /* set by MpRoster_Pick and MpRoster_GetPoolStatus */
    const struct MpRoster *roster;
    bool needs_no_announcement;
    struct MpRoomWord room; /* the last word of a target of the pool */
    bool has_speeds;     /* targets of the pool report how long work takes */
    double usual;        /* see MpPoolSpeed */
    double mean_running; /* at the targets of the pool */
    double mean_waiting;
};

/* Number of targets of a pool for each reason not to pick them; a target may
 * count under several. */
struct MpPoolStatus {
    uint32_t listed;
    uint32_t leaving; /* leaving or removed */
    uint32_t drained; /* in drained zones */
    uint32_t ejected; /* ejected or half-open */
    uint32_t tried;   /* already tried by this request */
    uint32_t full;
    uint32_t cold;
    uint32_t outside;  /* of the regions that are allowed */
    uint32_t limited;  /* a permit is to be had later */
    int64_t permit_ms; /* when the first of these may be asked for again, 0
                        * if there is none */
    uint32_t resting;  /* paused by their own word */
    int64_t pause_ms;  /* end of the first pause if all targets that do not
                        * leave and are not drained are paused, else 0 */
};

/* A picked target and what was expected of it. */
struct MpPicked {
    struct MpPoolTarget *target;
    int64_t wait_ms;        /* expected time to the first answer */
    int64_t prefill_tokens; /* prompt tokens that are not cached there */
    int64_t queue_ms;       /* part of wait_ms spent behind others; also set
                             * when no target was picked because of it */
    bool needs_permit;      /* the target names a limit or is cold */
    struct MpColdConf cold; /* is_set: the target is cold */
    bool has_warm;          /* another target can take the request, which is
                             * not cold */
    enum MpZoneChoice zone_choice; /* whether and why the zone was left */
};

/* Returns the listed target with this incarnation, or NULL. */
struct MpPoolTarget *MpRoster_Find(const struct MpRoster *this,
                                   const char *incarnation);

/* Returns whether a target of the pool that is neither leaving nor in a
 * drained zone has the software version. */
bool MpRoster_HasVersion(const struct MpRoster *this, const char *pool,
                         const char *version);

/* Picks a target, the permitted one if it is usable.  Returns MP_OK,
 * MP_ERROR_NO_TARGET when no target may be tried, or MP_ERROR_LIMIT when all
 * usable targets are full or wait for permits.  When no target
 * is usable, the request itself tests one that failed, even an at-most-once
 * request and during the ejection. */
int MpRoster_Pick(struct MpRoster *this, const struct MpPoolQuery *query,
                  int64_t now_ms, struct MpPicked *picked);

/* Returns until when the target counts as cold by the rules of its pool; in
 * the past or 0 if it does not. */
int64_t MpRoster_ColdUntil(const struct MpRoster *this,
                           const struct MpPoolTarget *target,
                           const struct MpColdConf *conf);

/* Returns how long a first attempt may wait behind others at an engine while
 * other targets of the pool take no more by the limits that they name, ms: a
 * part of its latency target, less for requests of a lower rank (0 is the
 * highest).  Beyond it a request is better refused at once, as the answers of
 * all that wait come late.  0: any time. */
int64_t MpRoster_QueueMax(int64_t latency_target_ms, int64_t rank);

/* Notes how long the first answer of a target took, or how long a request
 * waits for it so far, as a part of the latency target. */
void MpRoster_NoteDelay(struct MpRoster *this,
                        const struct MpPoolTarget *target, double part,
                        int64_t now_ms);

/* Fills status with the state of the pool's targets at now_ms. */
void MpRoster_GetPoolStatus(const struct MpRoster *this,
                            const struct MpPoolQuery *query, int64_t now_ms,
                            struct MpPoolStatus *status);

/* Appends the probe candidates: failed targets that no request has tested
 * within MP_PROBE_DELAY_MS after their ejection.  Each gets a reference, which
 * MpPoolTarget_HandleProbe drops. */
void MpRoster_ListProbeCandidates(struct MpRoster *this, int64_t now_ms,
                                  GPtrArray *out);

/* Handles the result of a probe.  When the target listens, at-most-once
 * requests may test it too; otherwise it is ejected again. */
void MpPoolTarget_HandleProbe(struct MpRoster *roster,
                              struct MpPoolTarget *this, bool is_listening,
                              int64_t now_ms);

/* Ends the ejection of the targets at address: their failures were those of
 * the path to them. */
void MpRoster_ForgiveFailures(struct MpRoster *this, const char *address);

/* Counts the start of an attempt and takes a reference, which
 * MpPoolTarget_EndAttempt drops. */
void MpPoolTarget_StartAttempt(struct MpPoolTarget *this,
                               const struct MpRequestMeta *meta,
                               int64_t prefill_tokens, int64_t now_ms);

/* Counts the first answer of an attempt, which came after took_ms instead of
 * the expected_ms of the pick. */
void MpPoolTarget_NoteFirstAnswer(struct MpPoolTarget *this,
                                  int64_t prefill_tokens, int64_t took_ms,
                                  int64_t expected_ms);

/* Notes the figure of a report; see MpTargetSpeed_NoteFigure. */
void MpRoster_NoteFigure(struct MpRoster *this, struct MpPoolTarget *target,
                         int64_t percent, int64_t now_ms);

/* Notes that events came within span_ms, the first of them at its start. */
void MpRoster_NoteEvents(struct MpRoster *this, struct MpPoolTarget *target,
                         int64_t events, int64_t span_ms);

/* Counts the end of an attempt.  has_answered: MpPoolTarget_NoteFirstAnswer
 * was called for it. */
void MpPoolTarget_EndAttempt(struct MpRoster *roster,
                             struct MpPoolTarget *this, bool has_answered,
                             int64_t prefill_tokens,
                             enum MpTargetOutcome outcome, int64_t now_ms);

/* Applies a load report of the target: requests running and waiting there
 * from all instances, and its slots, 0 when not reported.  A report with
 * numbers above 10^6 is ignored. */
void MpPoolTarget_ApplyReport(struct MpPoolTarget *this, int64_t running,
                              int64_t waiting, int64_t slots, int64_t now_ms);

#endif
