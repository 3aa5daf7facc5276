#ifndef MP_COORDINATION_ADMISSION_H
#define MP_COORDINATION_ADMISSION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * MpAdmission - which requests begin when a pool of targets is too small.
 *
 * Load: 560 streams a second onto engines that bear 350, where one workspace
 * sends five times its usual; or 1.7 to 2.4 times the usual of all.  Without
 * admission every request waits and nearly all come late.
 *
 * The pressure on a pool is the time to the first answer as a part of the
 * latency target: what answers took lately, or what a request would wait
 * behind others at the best target, by the load that targets report to all
 * instances.  Above a mark, a workspace far above its usual rate yields what
 * it has too much.  A level, which follows the pressure and how long it
 * lasts, says how many ranks are refused, the least urgent first, the last of
 * them with a probability; thus instances that read the same reports do not
 * all stop and start at once.  A small part of each rank is always admitted,
 * so that none starves and the pressure stays known.
 *
 * Each instance decides by itself.  It does no I/O; now_ms is a monotonic
 * clock, and random a number from 0 to 1.
 */

#define MP_ADMISSION_RANKS 3

enum MpAdmissionCause { MP_ADMISSION_SHARE, MP_ADMISSION_RANK };

/* What is known of one pool. */
struct MpAdmissionPool {
    double delay;     /* decaying average of the time to the first answer, in
                       * latency targets */
    int64_t delay_ms; /* when it was last updated */
    bool is_active;   /* its targets report their speed */
    double level;     /* ranks refused, by how long the pressure lasts */
    int64_t level_ms; /* when it was last updated */
    int64_t asked_ms[MP_ADMISSION_RANKS]; /* first request refused since, or
                                           * 0 */
    GHashTable *workspaces;               /* name -> struct MpWorkspaceRate */
    int64_t swept_ms;
};

/* Requests a second of one workspace, with weights that decay. */
struct MpWorkspaceRate {
    double now_per_s;   /* over a second or so */
    double usual_per_s; /* over a minute or so */
    int64_t noted_ms;
    int64_t since_ms; /* first request */
};

struct MpAdmission {
    GHashTable *pools;                     /* name -> struct MpAdmissionPool */
    uint64_t admitted[MP_ADMISSION_RANKS]; /* counters */
    uint64_t refused[2][MP_ADMISSION_RANKS]; /* counters, by cause */
};

struct MpAdmissionRequest {
    const char *pool;
    const char *workspace; /* NULL: anonymous */
    int64_t rank;          /* 0 is the most urgent */
    int64_t latency_target_ms;
    int64_t wait_ms; /* expected time behind others at the best target */
    int64_t left_ms; /* until the deadline */
};

/* The decision, and its inputs for the log. */
struct MpAdmissionVerdict {
    bool is_admitted;
    enum MpAdmissionCause cause;
    double pressure;
    double delay;
    double level;       /* ranks that are refused, the last one in part */
    double probability; /* of a refusal */
    double now_per_s;   /* of the workspace */
    double usual_per_s;
    int64_t retry_after_ms;
};

void MpAdmission_Init(struct MpAdmission *this);
void MpAdmission_Done(struct MpAdmission *this);

/* Switches admission on for a pool: its targets report their speed. */
void MpAdmission_Activate(struct MpAdmission *this, const char *pool);

/* Notes the time to the first answer of a target of the pool, or the time
 * without one so far, as a part of the latency target. */
void MpAdmission_NoteAnswer(struct MpAdmission *this, const char *pool,
                            double part, int64_t now_ms);

/* Decides on a request before its first attempt. */
void MpAdmission_Decide(struct MpAdmission *this,
                        const struct MpAdmissionRequest *request,
                        const double random[2], int64_t now_ms,
                        struct MpAdmissionVerdict *verdict);

const char *MpAdmissionCause_Name(enum MpAdmissionCause cause);

#endif
