#ifndef MP_COORDINATION_COLD_START_H
#define MP_COORDINATION_COLD_START_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * MpColdStart - until when a target counts as cold, and how many requests it
 * may get meanwhile.
 *
 * A target that has just started is slow for some seconds and crashes when it
 * gets many requests.  The load that this is made for: 140 engines of 24 slots
 * in three zones, 630 requests a second from 72 instances; the 47 engines of a
 * zone come back cold for 3 s, and each may get 8.6 x 1.5 + 5 = 17.9 requests
 * in any one second from all instances together.
 *
 * What is known comes from the target list, from headers in responses, and
 * from the restore of the target's zone.  Wherever two of them contradict each
 * other and it is not clear which is newer, the target counts as cold.
 */

/* Longest time for which a target counts as cold after one word, ms. */
#define MP_COLD_MAX_MS 600000
/* Longest time from a read of the target list by the leader until an instance
 * applies it, ms: the leader sends no list that was read longer ago. */
#define MP_COLD_LIST_AGE_MS 2500
/* Time by which a request may reach its target after its slot, ms: the reply
 * with the permit takes at most 80 ms, or it is ignored, and a connection is
 * opened within 300 ms, or by way of another instance 400 ms later. */
#define MP_COLD_LATE_MS 800

/* How the targets of a pool may be used while they are cold. */
struct MpColdConf {
    bool is_set;       /* otherwise cold targets are used like all others */
    int64_t rate_mrps; /* rate to keep to, thousandths of requests a second */
    int64_t most;      /* requests in any one second, from all instances */
    int64_t start_ms;  /* how long a target is cold after its start */
};

/* What is known of one target; all zero at first. */
struct MpColdStart {
    int64_t list_until_ms;   /* end by the list */
    int64_t list_noted_ms;   /* when that was applied */
    int64_t header_until_ms; /* end by a response */
    int64_t header_sent_ms;  /* when the request for that was sent */
    int64_t known_ms;        /* the newest word is not older than this */
    bool is_known;           /* there was a word */
    bool is_invalid;         /* the last header could not be read */
};

/* Returns the rules of a pool: in one second at most the whole requests of
 * rate x overshoot + tolerance, all in thousandths.  A negative rate: none. */
struct MpColdConf MpColdConf_Make(int64_t rate_mrps, int64_t start_ms,
                                  int64_t overshoot_permille,
                                  int64_t tolerance_milli);

/* Returns the stricter of the rules that two instances know. */
struct MpColdConf MpColdConf_Merge(const struct MpColdConf *a,
                                   const struct MpColdConf *b);

/* Returns the distance of the slots that one of several keepers gives out, us;
 * 0: none.  The rate is kept to, but at most so many slots fall into one
 * second and MP_COLD_LATE_MS as keep the requests of all keepers within `most`
 * in any one second, however the keepers' slots lie to each other and however
 * late, up to that time, each request arrives. */
int64_t MpColdConf_SpacingUs(const struct MpColdConf *this, uint32_t shares,
                             int32_t share);

/* Notes an entry of the target list; left_ms is negative if it does not say
 * how long the target stays cold. */
void MpColdStart_NoteList(struct MpColdStart *this, int64_t left_ms,
                          int64_t now_ms);

/* Notes a response that says how long its target stays cold.  One to a request
 * that was sent before the last such one is ignored.  Returns whether the
 * target became cold or warm by it. */
bool MpColdStart_NoteHeader(struct MpColdStart *this, int64_t left_ms,
                            int64_t sent_ms, int64_t received_ms);

/* Returns the time until which the target counts as cold, 0 if the pool has no
 * rules.  A target of which no remaining time is known counts as cold for
 * start_ms after it came into the list, at listed_ms.  Since a restore of its
 * zone, at restored_ms (-1: none), words from before do not count. */
int64_t MpColdStart_Until(const struct MpColdStart *this,
                          const struct MpColdConf *conf, int64_t listed_ms,
                          int64_t restored_ms);

/* Returns whether a request goes to one of the cold targets first, if there is
 * a slot.  Each of all targets gets the same share, so that instances ask for
 * no more permits than cold targets are to get requests.  random: 0 to 1. */
bool MpColdStart_TakesCold(uint32_t cold, uint32_t warm, double random);

/* Parses a number of milliseconds, which may have decimals. */
bool MpColdStart_Parse(const char *text, size_t size, int64_t *left_ms);

#endif
