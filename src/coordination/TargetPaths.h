#ifndef MP_COORDINATION_TARGET_PATHS_H
#define MP_COORDINATION_TARGET_PATHS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * MpTargetPaths - whether this instance reaches each target by itself, or has
 * to send by way of another instance.
 *
 * Data from a target is the only proof of a path to it: a connection may be
 * accepted by something on the way.  A path is lost after a failure without
 * data since, until a check gets an answer.  If connections to two targets
 * fail and no target sends data meanwhile, all paths are in doubt; if another
 * instance reaches one of these targets, the paths to all are taken for lost.
 * A target that other instances cannot reach either is down, and its path is
 * not the cause.
 *
 * Failures have other causes too: all targets may stand still, or the link of
 * this instance may be full.  What is under way or kept on connections to a
 * target is given up only when another instance has reached that target, or
 * all paths are lost.
 *
 * Requests that wait too long, at two targets while no target sends anything
 * or at one for longer, cause a check of the path.  Checks of a path that
 * proves to be good, and of one that stays lost, get less frequent.
 *
 * It does no I/O; now_ms is a monotonic clock.
 */

/* Time without data after which a request that waits casts doubt on the path,
 * ms, if no other target sends data either; or if others do. */
#define MP_PATH_SILENCE_ALL_MS 150
#define MP_PATH_SILENCE_ONE_MS 600
/* Timeouts of a check, ms: to connect, which takes a round trip within a
 * region, and for an answer that needs no work. */
#define MP_PATH_CHECK_CONNECT_MS 150
#define MP_PATH_CHECK_ANSWER_MS 300
/* Shortest and longest time between two checks of a lost path, ms. */
#define MP_PATH_CHECK_MIN_MS 250
#define MP_PATH_CHECK_MAX_MS 1000
/* The same for a path in doubt that proved to be good, ms. */
#define MP_PATH_DOUBT_MIN_MS 2000
#define MP_PATH_DOUBT_MAX_MS 16000
/* Checks that start at the same time, at most. */
#define MP_PATH_CHECKS_MAX 4
/* A target that other instances cannot reach is taken for down for this long,
 * ms. */
#define MP_PATH_TARGET_DOWN_MS 500
/* Paths that were not used for this long are forgotten, ms. */
#define MP_PATH_RETENTION_MS 60000

enum MpPathFailure {
    MP_PATH_REFUSED, /* new connections are refused; others may go on */
    MP_PATH_RESET,   /* they are accepted, and then reset */
    MP_PATH_SILENT   /* nothing arrives on them */
};

struct MpTargetPath {
    char *address;
    int64_t used_ms;
    int64_t answered_ms; /* last data; 0: none yet */
    int64_t failed_ms;   /* last failure without data since; 0: not lost */
    int64_t counted_ms;  /* last failure that counts in failed, below; 0:
                          * none */
    int64_t down_ms;     /* when other instances found the target down */
    int64_t checked_ms;  /* last check */
    int64_t next_check_ms;
    int64_t backoff_ms;         /* between checks */
    enum MpPathFailure failure; /* of the last new connection */
    bool is_kept_lost;          /* kept connections are of no use either, if
                                 * it is the path */
    bool is_reached;            /* by another instance, since the failure */
    bool is_checking;
    bool is_broken; /* a connection broke without data; to be checked */
    bool is_wanted; /* a request would use it, and other paths are good */
    GQueue waits;   /* of struct MpPathWait, under way on direct connections */
};

/* A request under way on a direct connection; embedded in its owner. */
struct MpPathWait {
    struct MpTargetPath *path; /* NULL: not under way */
    GList link;
    int64_t since_ms;    /* last data, or start */
    int64_t patience_ms; /* how much longer than usual it may take */
    bool is_new_conn;    /* the first request of its connection */
};

struct MpTargetPaths {
    GHashTable *paths;   /* address -> struct MpTargetPath */
    int64_t answered_ms; /* last data from any target */
    uint32_t failed;     /* targets to which connections failed since */
    bool is_reached;     /* another instance reached one of these */
    bool is_lost;        /* to all targets */
    int64_t next_lost_check_ms;
    int64_t swept_ms;
};

void MpTargetPaths_Init(struct MpTargetPaths *this);
void MpTargetPaths_Done(struct MpTargetPaths *this);

/* Returns whether a connection to the target at address should go by way of
 * another instance. */
bool MpTargetPaths_NeedsTunnel(struct MpTargetPaths *this, const char *address,
                               int64_t now_ms);

/* Returns whether new connections to the target fail otherwise than by being
 * refused, so that it is the path that is lost. */
bool MpTargetPaths_IsObstructed(const struct MpTargetPaths *this,
                                const char *address);

/* Returns whether a direct connection is worth trying when no other instance
 * can help: not if the last ones were refused or reset. */
bool MpTargetPaths_MayTryDirectly(const struct MpTargetPaths *this,
                                  const char *address);

/* Returns whether a kept connection to the target may be used. */
bool MpTargetPaths_MayKeep(const struct MpTargetPaths *this,
                           const char *address);

/* Returns whether the path to the target, or to all, is lost. */
bool MpTargetPaths_IsLost(const struct MpTargetPaths *this,
                          const char *address);

/* -- evidence -- */

/* Notes that a request was written on a direct connection, a new one or one
 * that was kept.  expected_ms: usual time to its first data. */
void MpTargetPaths_StartWait(struct MpTargetPaths *this,
                             struct MpPathWait *wait, const char *address,
                             bool is_new_conn, int64_t expected_ms,
                             int64_t now_ms);

/* Notes data that the request got.  Returns whether the path was lost before
 * and is not any more. */
bool MpTargetPaths_NoteData(struct MpTargetPaths *this,
                            struct MpPathWait *wait, int64_t now_ms);

void MpPathWait_End(struct MpPathWait *this);

/* Returns whether the request waits on a path that is proved to be lost, so
 * that nothing will arrive soon. */
bool MpTargetPaths_IsStuck(const struct MpTargetPaths *this,
                           const struct MpPathWait *wait, int64_t now_ms);

/* Returns whether the paths to all targets may be lost, so that a failure says
 * nothing about a target. */
bool MpTargetPaths_IsInDoubt(const struct MpTargetPaths *this);

/* Notes data from the target by way of another instance.  Returns whether the
 * paths to all targets are taken for lost from now on. */
bool MpTargetPaths_NoteReached(struct MpTargetPaths *this, const char *address,
                               int64_t now_ms);

/* Notes that an established direct connection was reset.  Returns as
 * MpTargetPaths_NoteReached. */
bool MpTargetPaths_NoteReset(struct MpTargetPaths *this, const char *address,
                             int64_t now_ms);

/* Notes that a direct connection was established but broke without data:
 * either the path is lost or the target dropped the request. */
void MpTargetPaths_NoteBroken(struct MpTargetPaths *this, const char *address,
                              int64_t now_ms);

/* Notes that a direct connection, begun at began_ms, could not be opened.
 * The paths to all targets are not in doubt if some target sent data
 * meanwhile.  Returns as MpTargetPaths_NoteReached. */
bool MpTargetPaths_NoteFailure(struct MpTargetPaths *this, const char *address,
                               enum MpPathFailure failure, int64_t began_ms,
                               int64_t now_ms);

/* Notes data from the target on a direct connection.  Returns whether the path
 * to it, or to all, was lost before. */
bool MpTargetPaths_NoteAnswer(struct MpTargetPaths *this, const char *address,
                              int64_t now_ms);

/* Notes that another instance found the target down. */
void MpTargetPaths_NoteDown(struct MpTargetPaths *this, const char *address,
                            int64_t now_ms);

/* -- checks -- */

/* Appends the paths to be checked now to out, as struct MpTargetPath.  The
 * caller ends each check by MpTargetPaths_EndCheck. */
void MpTargetPaths_ListChecks(struct MpTargetPaths *this, int64_t now_ms,
                              GPtrArray *out);

/* Notes the result of a check, and forgets about it.  Returns whether the
 * result changed what is known of the path or of all paths. */
bool MpTargetPaths_EndCheck(struct MpTargetPaths *this, const char *address,
                            bool is_answered, enum MpPathFailure failure,
                            int64_t now_ms);

/* Forgets about a check that brought no evidence; the next one is made after
 * the usual time. */
void MpTargetPaths_DropCheck(struct MpTargetPaths *this, const char *address,
                             int64_t now_ms);

#endif
