#include "coordination/Limits.h"

#include "state/Error.h"

/* Capacity of a token bucket, as time at the full rate. */
#define BURST_MS 1000
/* Each admitted request adds a fifth of a retry.  The budget starts at half
 * of its maximum, so that the first requests may be retried too. */
#define RETRY_EARNED_MILLI 200
#define RETRY_COST_MILLI 1000
#define RETRY_MAX_MILLI 20000
/* Suggested retry time of a workspace at its concurrency limit; a request is
 * likely to have ended by then. */
#define BUSY_RETRY_MS 100

static void
limit_delete(void *data)
{
    struct MpLimit *this = data;
    g_free(this->workspace);
    g_free(this);
}

void
MpLimits_Init(struct MpLimits *this)
{
    this->limits =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, limit_delete);
}

void
MpLimits_Done(struct MpLimits *this)
{
    g_hash_table_unref(this->limits);
}

static struct MpLimit *
limit_of(struct MpLimits *this, const char *workspace, int64_t rate_per_s,
         int64_t now_ms)
{
    struct MpLimit *limit = g_hash_table_lookup(this->limits, workspace);
    if (!limit) {
        limit = g_new0(struct MpLimit, 1);
        limit->workspace = g_strdup(workspace);
        limit->bucket_milli = rate_per_s * BURST_MS;
        limit->filled_ms = now_ms;
        limit->retry_milli = RETRY_MAX_MILLI / 2;
        g_hash_table_insert(this->limits, limit->workspace, limit);
    }
    return limit;
}

static void
fill_bucket(struct MpLimit *limit, int64_t rate_per_s, int64_t now_ms)
{
    int64_t passed_ms = CLAMP(now_ms - limit->filled_ms, 0, BURST_MS);
    int64_t max_milli = MAX(rate_per_s * BURST_MS, 1000);
    limit->bucket_milli =
        MIN(limit->bucket_milli + passed_ms * rate_per_s, max_milli);
    limit->filled_ms = now_ms;
}

int
MpLimits_Enter(struct MpLimits *this, const char *workspace,
               int64_t concurrent_max, int64_t rate_per_s, int64_t now_ms,
               int64_t *retry_after_ms)
{
    struct MpLimit *limit = limit_of(this, workspace, rate_per_s, now_ms);
    fill_bucket(limit, rate_per_s, now_ms);
    if (limit->running >= concurrent_max) {
        *retry_after_ms = BUSY_RETRY_MS;
        return MP_ERROR_LIMIT;
    }
    if (limit->bucket_milli < 1000) {
        *retry_after_ms = (1000 - limit->bucket_milli) / rate_per_s + 1;
        return MP_ERROR_LIMIT;
    }
    limit->bucket_milli -= 1000;
    limit->running++;
    limit->retry_milli =
        MIN(limit->retry_milli + RETRY_EARNED_MILLI, RETRY_MAX_MILLI);
    return MP_OK;
}

void
MpLimits_Leave(struct MpLimits *this, const char *workspace)
{
    struct MpLimit *limit = g_hash_table_lookup(this->limits, workspace);
    if (limit && limit->running > 0) {
        limit->running--;
    }
}

bool
MpLimits_TakeRetry(struct MpLimits *this, const char *workspace)
{
    struct MpLimit *limit = g_hash_table_lookup(this->limits, workspace);
    if (!limit || limit->retry_milli < RETRY_COST_MILLI) {
        return false;
    }
    limit->retry_milli -= RETRY_COST_MILLI;
    return true;
}
