#ifndef MP_COORDINATION_ROSTER_H
#define MP_COORDINATION_ROSTER_H

#include "coordination/RequestMeta.h"
#include "coordination/PickPolicy.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Roster - the targets of the pools as one instance knows them, and the
 * choice among them.
 *
 * What is known comes from the target list (late), from the load that
 * targets tell in their answers (late too), from what this instance has
 * sent since, and from how its attempts ended.
 */

/* Prompt tokens that an engine reads in a millisecond, until it is measured;
 * source: the engines of both users. */
#define MP_PREFILL_TOKENS_PER_MS 38
/* How long a part of a prompt is taken to stay in an engine's cache, ms;
 * source: prompts of a busy engine fill its memory in about this time. */
#define MP_CACHE_KEEP_MS 10000
/* Age at which a load report no longer counts, ms. */
#define MP_LOAD_KEEP_MS 1500
/* Pause of a target after a failure, doubled with each further one, ms. */
#define MP_EJECTION_MS 400
#define MP_EJECTION_MAX_MS 3200
/* Time after a pause in which a request that may run again can be the trial,
 * ms; later a connection shows whether the target listens.  With the pause it
 * bounds how long a healthy target goes without work. */
#define MP_PROBE_DELAY_MS 600

/* One target as a list tells it. */
struct MpListedTarget {
    char *incarnation; /* name of this start of the target */
    char *pool;
    char *address;
    char *zone;
    int64_t slots;
    bool is_leaving;
    int64_t cold_ms;    /* how long it stays slow after its start */
    int64_t started_ms; /* wall clock of its start, 0 when it is not told */
};

void MpListedTarget_Delete(void *this);

/* How an attempt at a target ended, for its health. */
enum MpTargetOutcome {
    MP_OUTCOME_OK,       /* it answered */
    MP_OUTCOME_REFUSED,  /* it turned the request away */
    MP_OUTCOME_ERROR,    /* it answered with a failure of its own */
    MP_OUTCOME_FAILED,   /* no connection, a reset, or silence */
    MP_OUTCOME_REPLACED, /* another target has its address */
    MP_OUTCOME_CANCELLED /* tells nothing */
};

struct MpPoolTarget {
    char *incarnation;
    char *pool;
    char *address;
    char *zone;
    int64_t slots;
    uint64_t hash; /* of the incarnation */
    bool is_listed;
    bool is_leaving;
    bool is_removed;
    int64_t cold_until_ms;
    /* load */
    int32_t running;          /* attempts of this instance */
    int32_t waiting;          /* ... without a first answer */
    int64_t prefill_tokens;   /* ... and their tokens that are not cached */
    int32_t reported_running; /* by the target, of all instances */
    int32_t reported_waiting;
    int32_t sent_since_report; /* attempts of this instance since it told */
    int64_t reported_ms;       /* 0: never */
    /* health */
    uint32_t failures; /* in a row */
    int64_t ejected_until_ms;
    bool is_half_open; /* one attempt shows whether it is back */
    bool is_probing;   /* a connection is to show whether it listens */
    bool is_listening; /* it does, since it failed */
    double error_rate;
    double slowness; /* measured against expected time to first answer */
    uint64_t picked;
    GHashTable *cached_parts; /* part id -> time of last use */
    void *connections;        /* of the transport */
    uint32_t references;
};

struct MpRoster {
    char *zone;
    enum MpPickPolicy policy; /* MP_PICK_AFFINITY unless it is set */
    GHashTable *targets;      /* incarnation -> struct MpPoolTarget */
    GHashTable *pools;        /* name -> GPtrArray of struct MpPoolTarget */
    void (*dropped)(void *owner, struct MpPoolTarget *target);
    void *owner;
    uint64_t version; /* of the list: counts its changes */
    int64_t listed_ms;
};

/* dropped is called before a target is forgotten. */
void MpRoster_Init(struct MpRoster *this, const char *zone,
                   void (*dropped)(void *owner, struct MpPoolTarget *target),
                   void *owner);

/* Forgets all targets; no attempt may be running. */
void MpRoster_Done(struct MpRoster *this);

/* Takes a whole list: targets that are not in it get nothing new. Returns
 * the number of targets that came, left or changed their state. */
uint32_t MpRoster_SetList(struct MpRoster *this, const GPtrArray *list,
                          int64_t now_ms);

/* Takes what changed in a list: targets that came or changed their state,
 * and those that are no longer in it.  Returns the number of changes. */
uint32_t MpRoster_ApplyChanges(struct MpRoster *this, const GPtrArray *changed,
                               const GPtrArray *gone, int64_t now_ms);

/* What an answer of the leader about its list says to an instance. */
enum MpListUpdate {
    MP_UPDATE_NONE,    /* the list that is held is the leader's */
    MP_UPDATE_PARTIAL, /* the answer has what changed in it */
    MP_UPDATE_FULL,    /* the answer has the whole list */
    MP_UPDATE_STALE    /* it rests on a list that is no longer held */
};

/* Returns it from the hashes of the lists that are held now, that were held
 * when the leader was asked, and that it has: the instance may have read the
 * list itself meanwhile. */
enum MpListUpdate MpRoster_ClassifyUpdate(uint64_t held, uint64_t asked,
                                          uint64_t told, bool is_partial);

/* What is asked of a target. */
struct MpPoolQuery {
    const char *pool;
    const struct MpRequestMeta *meta;
    bool is_at_most_once;   /* the surest target, not the cheapest */
    bool is_engine;         /* the pool is one of engines */
    const GPtrArray *avoid; /* of struct MpPoolTarget */
};

/* Why targets of a pool could not be chosen. */
struct MpPoolStatus {
    uint32_t listed;
    uint32_t leaving; /* or gone */
    uint32_t ejected; /* after failures, or on trial */
    uint32_t tried;   /* by this request */
    uint32_t full;
};

/* The choice, and what it rests on. */
struct MpPicked {
    struct MpPoolTarget *target;
    int64_t wait_ms;        /* until the prompt is read, expected */
    int64_t prefill_tokens; /* that are not cached there */
};

/* Returns MP_OK, MP_ERROR_NO_TARGET when there is none to try, or
 * MP_ERROR_LIMIT when all that are healthy are full.  While no target is known
 * to be healthy, the request itself tries one that is in doubt. */
int MpRoster_Pick(struct MpRoster *this, const struct MpPoolQuery *ask,
                  int64_t now_ms, struct MpPicked *picked);

/* Tells what the targets of the asked pool look like at now_ms. */
void MpRoster_GetPoolStatus(const struct MpRoster *this,
                            const struct MpPoolQuery *ask, int64_t now_ms,
                            struct MpPoolStatus *view);

/* Appends the targets that are in doubt, and that no request has tried within
 * MP_PROBE_DELAY_MS after their pause.  Each is kept until
 * MpPoolTarget_HandleProbe. */
void MpRoster_ListProbeCandidates(struct MpRoster *this, int64_t now_ms,
                                  GPtrArray *out);

/* Takes whether a target listens: then also a request that must not run twice
 * may try it. */
void MpPoolTarget_HandleProbe(struct MpRoster *roster,
                              struct MpPoolTarget *this, bool is_listening,
                              int64_t now_ms);

/* Notes an attempt; the target is kept until it has ended. */
void MpPoolTarget_StartAttempt(struct MpPoolTarget *this,
                               const struct MpRequestMeta *facts,
                               int64_t prefill_tokens, int64_t now_ms);

/* Notes the first answer of an attempt, after took_ms; expected_ms is what
 * the choice rested on. */
void MpPoolTarget_NoteFirstAnswer(struct MpPoolTarget *this,
                                  int64_t prefill_tokens, int64_t took_ms,
                                  int64_t expected_ms);

/* Notes the end of an attempt that had has_answered or not. */
void MpPoolTarget_EndAttempt(struct MpRoster *roster,
                             struct MpPoolTarget *this, bool has_answered,
                             int64_t prefill_tokens,
                             enum MpTargetOutcome outcome, int64_t now_ms);

/* Takes what the target told of its load. */
void MpPoolTarget_ApplyReport(struct MpPoolTarget *this, int64_t running,
                              int64_t waiting, int64_t slots, int64_t now_ms);

#endif
