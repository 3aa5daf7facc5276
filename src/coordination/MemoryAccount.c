#include "coordination/MemoryAccount.h"

/* What a process needs besides the account, bytes: 8 to 20 MB without callers,
 * connections and their heads, a document of some MB while it is replaced. */
#define PROCESS_BYTES (INT64_C(40) << 20)
/* Of the rest, the part that is counted exactly; buffers grow by doubling, so
 * that a body may be held twice for a moment, and small ones leave gaps. */
#define COUNTED_PERMILLE 750
/* The same for operators. */
#define OPERATORS_PERMILLE 250
/* Bodies of the largest size that always fit. */
#define BODIES_MIN 4
#define OPERATOR_BODIES_MIN 2

static int64_t
limit_for_bodies(int64_t count, int64_t body_max_bytes)
{
    return count * (body_max_bytes + MP_MEMORY_SMALL_BYTES) * 1000 /
           MP_MEMORY_LARGE_PERMILLE;
}

int64_t
MpMemoryAccount_LimitOf(int64_t memory_bytes, int64_t body_max_bytes)
{
    int64_t least_bytes = limit_for_bodies(BODIES_MIN, body_max_bytes);
    if (memory_bytes == 0) {
        return MAX(MP_MEMORY_DEFAULT_BYTES, least_bytes);
    }
    return MAX((memory_bytes - PROCESS_BYTES) * COUNTED_PERMILLE / 1000,
               least_bytes);
}

int64_t
MpMemoryAccount_OperatorLimitOf(int64_t memory_bytes, int64_t body_max_bytes)
{
    int64_t least_bytes =
        limit_for_bodies(OPERATOR_BODIES_MIN, body_max_bytes);
    if (memory_bytes == 0) {
        return MAX(MP_MEMORY_OPERATORS_BYTES, least_bytes);
    }
    return MAX((memory_bytes - PROCESS_BYTES) * OPERATORS_PERMILLE / 1000,
               least_bytes);
}

void
MpMemoryAccount_Init(struct MpMemoryAccount *this, int64_t limit_bytes)
{
    *this = (struct MpMemoryAccount){.limit_bytes = limit_bytes};
    g_queue_init(&this->holders);
}

void
MpMemoryAccount_Set(struct MpMemoryAccount *this,
                    struct MpMemoryHolder *holder, int64_t bytes,
                    int64_t now_ms)
{
    holder->progress_ms = now_ms;
    if (holder->is_closing) {
        this->closing_bytes += bytes - holder->held_bytes;
    }
    this->held_bytes += bytes - holder->held_bytes;
    this->peak_bytes = MAX(this->peak_bytes, this->held_bytes);
    holder->held_bytes = bytes;
    if (bytes > 0 && !holder->account) {
        holder->account = this;
        holder->link.data = holder;
        g_queue_push_tail_link(&this->holders, &holder->link);
    }
    else if (bytes == 0 && holder->account) {
        g_queue_unlink(&this->holders, &holder->link);
        holder->account = NULL;
        holder->is_closing = false;
    }
}

int64_t
MpMemoryAccount_LargestFit(const struct MpMemoryAccount *this)
{
    return this->limit_bytes / 1000 * MP_MEMORY_LARGE_PERMILLE;
}

bool
MpMemoryAccount_Fits(const struct MpMemoryAccount *this,
                     const struct MpMemoryHolder *holder, int64_t bytes)
{
    int64_t others_bytes = this->held_bytes - this->closing_bytes -
                           (holder->is_closing ? 0 : holder->held_bytes);
    int64_t limit_bytes = bytes <= MP_MEMORY_SMALL_BYTES
                              ? this->limit_bytes
                              : MpMemoryAccount_LargestFit(this);
    return bytes <= holder->held_bytes || others_bytes + bytes <= limit_bytes;
}

static bool
is_silent(const struct MpMemoryHolder *holder, int64_t now_ms)
{
    return now_ms - holder->progress_ms >= MP_MEMORY_SILENT_MS;
}

/* Bytes behind a running request are taken away with its response, so they
 * make no room for others. */
static bool
may_be_closed_for_others(const struct MpMemoryHolder *holder, int64_t now_ms)
{
    return holder->use != MP_MEMORY_AHEAD && is_silent(holder, now_ms);
}

/* Returns whether x is to be closed before y: a silent one before others, a
 * request before a response, which has run, and then the one that holds
 * most. */
static bool
is_worse(const struct MpMemoryHolder *x, const struct MpMemoryHolder *y,
         int64_t now_ms)
{
    if (is_silent(x, now_ms) != is_silent(y, now_ms)) {
        return is_silent(x, now_ms);
    }
    if (x->use != y->use) {
        return x->use < y->use;
    }
    return x->held_bytes > y->held_bytes;
}

static struct MpMemoryHolder *
pick(const struct MpMemoryAccount *this, const struct MpMemoryHolder *asking,
     bool must_be_silent, int64_t now_ms)
{
    struct MpMemoryHolder *worst = NULL;
    for (GList *link = this->holders.head; link; link = link->next) {
        struct MpMemoryHolder *holder = link->data;
        if (holder == asking || !holder->close || holder->is_closing ||
            holder->use == MP_MEMORY_RUNNING ||
            (must_be_silent && !may_be_closed_for_others(holder, now_ms))) {
            continue;
        }
        if (!worst || is_worse(holder, worst, now_ms)) {
            worst = holder;
        }
    }
    return worst;
}

struct MpMemoryHolder *
MpMemoryAccount_PickSilent(const struct MpMemoryAccount *this,
                           const struct MpMemoryHolder *asking, int64_t now_ms)
{
    return pick(this, asking, true, now_ms);
}

struct MpMemoryHolder *
MpMemoryAccount_PickWorst(const struct MpMemoryAccount *this, int64_t now_ms)
{
    if (this->held_bytes - this->closing_bytes <= this->limit_bytes) {
        return NULL;
    }
    return pick(this, NULL, false, now_ms);
}

void
MpMemoryAccount_NoteClosing(struct MpMemoryAccount *this,
                            struct MpMemoryHolder *holder)
{
    this->closed[holder->use]++;
    if (holder->account && !holder->is_closing) {
        holder->is_closing = true;
        this->closing_bytes += holder->held_bytes;
    }
}
