#ifndef MP_COORDINATION_MEMORY_ACCOUNT_H
#define MP_COORDINATION_MEMORY_ACCOUNT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * MemoryAccount - the bytes that a process holds for its callers and targets,
 * against one limit.
 *
 * The load: clients that are not under control send as many bodies of legal
 * size as they like, whole or all but the end, announced or in chunks, and
 * leave responses unread.  Each of them is legal; their sum ended processes
 * that were out of memory.
 *
 * A body is counted in full as soon as its length is known, so that what was
 * let in fits to its end.  The account decides what fits, and which holder is
 * to be closed: of those that can be closed the one that holds most, and first
 * among those without progress.  The owner closes it, which sets its bytes to
 * 0.  Requests that a target may run are never closed for memory.
 */

#define MP_BYTES_PER_MB (INT64_C(1) << 20)

/* A holder without progress for this long, ms, makes room for new requests.  A
 * client that sends or reads at all is faster, but for lost packets. */
#define MP_MEMORY_SILENT_MS 1000
/* Holders up to this size, bytes, may use the whole account, others only
 * MP_MEMORY_LARGE_PERMILLE of it: heads and small requests are served while
 * large bodies are refused. */
#define MP_MEMORY_SMALL_BYTES (64 * 1024)
#define MP_MEMORY_LARGE_PERMILLE 875

/* Accounts of a process whose memory is not known, bytes. */
#define MP_MEMORY_DEFAULT_BYTES (INT64_C(256) << 20)
#define MP_MEMORY_OPERATORS_BYTES (INT64_C(64) << 20)
/* Account of a listener that takes no bodies, bytes. */
#define MP_MEMORY_PROBES_BYTES (INT64_C(4) << 20)

/* Larger blocks are mapped one by one, bytes, so that the system has them back
 * when they are freed.  Unless it is set, glibc raises this to the size of the
 * largest block that was freed, and keeps bodies of 4 MB in its heap. */
#define MP_MAPPED_MIN_BYTES (128 * 1024)

enum MpMemoryUse {
    MP_MEMORY_READING, /* part of a request: nothing has run */
    MP_MEMORY_AHEAD,   /* bytes that wait unread behind a running request */
    MP_MEMORY_RUNNING, /* a whole request, which a target may run */
    MP_MEMORY_SENDING, /* a response that its caller has not taken */
    MP_MEMORY_USES
};

/* What did not fit. */
enum MpMemoryRefusal {
    MP_MEMORY_ANNOUNCED, /* a body, by the length in its head */
    MP_MEMORY_ARRIVED,   /* bytes that nothing announced */
    MP_MEMORY_PARSED,    /* what parsing a body takes */
    MP_MEMORY_REFUSALS
};

struct MpMemoryAccount;

/* Embedded in what holds the bytes; set use, close and owner. */
struct MpMemoryHolder {
    struct MpMemoryAccount *account; /* NULL: holds nothing yet */
    GList link;                      /* in account->holders */
    enum MpMemoryUse use;
    int64_t held_bytes;
    int64_t progress_ms; /* last change or sign of progress */
    bool is_closing;     /* its bytes are about to be freed */
    /* Closes it, now or in the next rounds of the event loop; NULL: it cannot
     * be closed.  Called by those who ask the account. */
    void (*close)(struct MpMemoryHolder *holder);
    void *owner;
};

struct MpMemoryAccount {
    int64_t limit_bytes;
    int64_t held_bytes;
    int64_t closing_bytes; /* of it, of holders that are closing */
    int64_t peak_bytes;
    GQueue holders;                       /* of struct MpMemoryHolder */
    uint64_t refused[MP_MEMORY_REFUSALS]; /* counter: requests */
    uint64_t closed[MP_MEMORY_USES]; /* counter: holders closed for room */
};

/* Returns the account of a process that may use memory_bytes in all, 0 if that
 * is not known. */
int64_t MpMemoryAccount_LimitOf(int64_t memory_bytes, int64_t body_max_bytes);

/* The same of the account for operators; the process has that for callers
 * besides it. */
int64_t MpMemoryAccount_OperatorLimitOf(int64_t memory_bytes,
                                        int64_t body_max_bytes);

void MpMemoryAccount_Init(struct MpMemoryAccount *this, int64_t limit_bytes);

/* Sets what a holder holds; each call is a sign of progress.  With 0 bytes it
 * leaves the account. */
void MpMemoryAccount_Set(struct MpMemoryAccount *this,
                         struct MpMemoryHolder *holder, int64_t bytes,
                         int64_t now_ms);

/* Returns the size of the largest holder, over MP_MEMORY_SMALL_BYTES, that
 * fits into an empty account. */
int64_t MpMemoryAccount_LargestFit(const struct MpMemoryAccount *this);

/* Returns whether the holder may hold bytes in all. */
bool MpMemoryAccount_Fits(const struct MpMemoryAccount *this,
                          const struct MpMemoryHolder *holder, int64_t bytes);

/* Returns the holder without progress to be closed for one that asks for room,
 * or NULL: the asking one is to be refused. */
struct MpMemoryHolder *
MpMemoryAccount_PickSilent(const struct MpMemoryAccount *this,
                           const struct MpMemoryHolder *asking,
                           int64_t now_ms);

/* Returns the holder to be closed while the account is exceeded, or NULL if it
 * is not, or none can be closed. */
struct MpMemoryHolder *
MpMemoryAccount_PickWorst(const struct MpMemoryAccount *this, int64_t now_ms);

/* Records that a holder is being closed, as PickSilent or PickWorst said. */
void MpMemoryAccount_NoteClosing(struct MpMemoryAccount *this,
                                 struct MpMemoryHolder *holder);

#endif
