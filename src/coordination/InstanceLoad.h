#ifndef MP_COORDINATION_INSTANCE_LOAD_H
#define MP_COORDINATION_INSTANCE_LOAD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * MpInstanceLoad - how much of its machine this instance uses, and what it
 * hands over before control traffic suffers.
 *
 * Load: the callers of one workspace arrive at one small instance with several
 * times what its link bears, for 20 s; or all callers send 1.7 to 2.4 times as
 * much for a while.  A full link delays everything by its queue: connections
 * to targets time out, syncs are lost, and callers' requests arrive after
 * their deadlines.
 *
 * A request that has arrived has used the link into the machine already, and
 * its caller's retry often comes back here, as a load balancer sends all
 * callers of a workspace to one instance.  So it is refused only for what it
 * still needs: the link out of the machine, the processor, descriptors, or
 * connections to targets; or if it has waited on the full link until its
 * deadline.  The probability of a refusal rises from 0 to 1 over a narrow band
 * of pressure, the fraction of the most used of these.  The band begins lower
 * for less urgent ranks and for workspaces far above their fair share here.
 * What lies above the last band is the reserve for control traffic and
 * refusals.  A probability instead of a threshold keeps the pressure steady,
 * since its measure lags.
 *
 * What relieves the link into the machine is that callers go elsewhere.  At a
 * mark well below the limit the instance leaves the rotation of the load
 * balancer, since that takes 2 s to notice; then it closes as many of its
 * callers' connections as are too many, slowly, so that the instance to which
 * they go notices in turn.  While one workspace dominates it stays out with
 * the connections that it keeps: once back, it would get all new ones of that
 * workspace again.  Otherwise, and in small fleets, its time out of rotation
 * is bounded, as others are no better off.
 *
 * Without limits nothing is ever refused.  It does no I/O; now_ms is a
 * monotonic clock, and random a number from 0 to 1.
 */

/* The pressure at which a connect timeout is no evidence of a lost path. */
#define MP_LOAD_SATURATED 0.75
/* Shortest and longest Retry-After of a refusal, ms: the caller's retry goes
 * to another instance, so it need not wait, only be spread. */
#define MP_LOAD_RETRY_MIN_MS 10
#define MP_LOAD_RETRY_MAX_MS 60
/* Time out of rotation that may be saved up, ms, and the part of all time that
 * is, where no workspace dominates.  Load balancers bear an eighth. */
#define MP_LOAD_AWAY_MAX_MS 5000
#define MP_LOAD_AWAY_ONE_IN 9
/* Time after which a load balancer that asks every second has noticed, by two
 * misses, that the instance is not ready, ms. */
#define MP_LOAD_NOTICED_MS 2000

/* Limits of the machine; 0: none. */
struct MpMachineLimits {
    int64_t link_bytes_per_s; /* each way */
    int64_t cpu_permille;     /* of one core */
    int64_t descriptors_max;
};

/* What the process has measured, as running totals. */
struct MpLoadSample {
    uint64_t received_bytes;
    uint64_t sent_bytes;
    int64_t cpu_us;
    int64_t loop_delay_ms; /* by which the last timer was late */
    int64_t descriptors;   /* open now */
    int64_t callers;       /* connections of callers */
    int64_t instances;     /* of the fleet, as far as known */
};

enum MpLoadCause {
    MP_LOAD_LINK_IN,
    MP_LOAD_LINK_OUT,
    MP_LOAD_PROCESSOR,
    MP_LOAD_DESCRIPTORS,
    MP_LOAD_CONNECTS,
    MP_LOAD_DEADLINE,
    MP_LOAD_CAUSES
};

#define MP_LOAD_RANKS 3

struct MpInstanceLoad {
    struct MpMachineLimits limits;
    struct MpLoadSample last;
    int64_t sampled_ms;          /* 0: not yet */
    double used[MP_LOAD_CAUSES]; /* fraction of each limit */
    double loop_delay_ms;        /* decaying average */
    double out_queue_bytes;      /* written faster than the link bears */
    double promised_bytes; /* admitted since the last sample, to be sent */
    double connect_ms;     /* decaying average of the time to connect */
    int64_t connect_noted_ms;
    uint32_t connects;        /* under way */
    int64_t saturated_ms;     /* last time of pressure, 0: never */
    int64_t pressed_since_ms; /* start of the present pressure, 0: none */
    int64_t low_since_ms;     /* since when pressure is low, 0: it is not */
    double last_pressure;
    double slope;       /* of the pressure, per second; decaying average */
    double move_budget; /* connections that may be closed now */
    GHashTable *shares; /* workspace -> struct share */
    double shares_sum;  /* of their bytes */
    double dominance;   /* the largest part of one workspace */
    int64_t shares_ms;  /* when they were last decayed */
    bool is_away;       /* out of rotation */
    int64_t away_since_ms;
    int64_t away_delay_ms; /* random time before it leaves */
    int64_t away_credit_ms;
    uint64_t times_away;                             /* counter */
    uint64_t refused[MP_LOAD_CAUSES][MP_LOAD_RANKS]; /* counters */
    uint64_t admitted;                               /* counter */
    uint64_t moved; /* counter: connections closed to move callers */
};

/* A request to be decided on. */
struct MpLoadRequest {
    const char *workspace; /* NULL: anonymous */
    int64_t rank;          /* 0 is the most urgent */
    int64_t body_bytes;
    int64_t left_ms; /* until its deadline */
};

/* The decision, and its inputs for the log. */
struct MpLoadVerdict {
    bool is_admitted;
    enum MpLoadCause cause;
    double pressure;
    double share; /* of the workspace in what was asked for lately */
    uint32_t workspaces;
    int64_t retry_after_ms;
};

void MpInstanceLoad_Init(struct MpInstanceLoad *this,
                         const struct MpMachineLimits *limits);
void MpInstanceLoad_Done(struct MpInstanceLoad *this);

/* Returns whether the machine has any limits. */
bool MpInstanceLoad_IsLimited(const struct MpInstanceLoad *this);

/* Takes a sample; the first one only starts the measurement. */
void MpInstanceLoad_Sample(struct MpInstanceLoad *this,
                           const struct MpLoadSample *sample, double random,
                           int64_t now_ms);

/* Counts a connection to a target that is being opened, and its end; took_ms
 * is the time that it took or after which it timed out, -1: cancelled. */
void MpInstanceLoad_StartConnect(struct MpInstanceLoad *this);
void MpInstanceLoad_EndConnect(struct MpInstanceLoad *this, int64_t took_ms,
                               int64_t now_ms);

/* Returns the fraction of the most used limit, and which one it is. */
double MpInstanceLoad_Pressure(const struct MpInstanceLoad *this,
                               enum MpLoadCause *cause);

/* Decides on a request that has arrived. */
void MpInstanceLoad_Admit(struct MpInstanceLoad *this,
                          const struct MpLoadRequest *request,
                          const double random[2], int64_t now_ms,
                          struct MpLoadVerdict *verdict);

/* Returns whether this instance is or was just saturated, so that a failure to
 * connect in time tells nothing of paths and targets. */
bool MpInstanceLoad_IsSaturated(const struct MpInstanceLoad *this,
                                int64_t now_ms);

/* Returns whether this instance is out of rotation and the load balancer has
 * noticed, so that a client that connects anew gets to another one. */
bool MpInstanceLoad_IsNoticed(const struct MpInstanceLoad *this,
                              int64_t now_ms);

/* Returns whether the load balancer should send callers here. */
bool MpInstanceLoad_IsInRotation(const struct MpInstanceLoad *this);

/* Returns whether a response should close its connection, so that the client
 * connects to another instance; counts it. */
bool MpInstanceLoad_ShouldMove(struct MpInstanceLoad *this, double random);

/* Returns how many idle connections, of most, should be closed for the same
 * reason now; counts them. */
uint32_t MpInstanceLoad_TakeIdleMoves(struct MpInstanceLoad *this,
                                      uint32_t most);

/* Returns the average time to connect of late, ms, 0 if there is none: the
 * delay by the queues of the own link while that is saturated. */
double MpInstanceLoad_ConnectDelay(const struct MpInstanceLoad *this,
                                   int64_t now_ms);

const char *MpLoadCause_Name(enum MpLoadCause cause);

#endif
