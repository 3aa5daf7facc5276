#include "coordination/TargetPaths.h"

#include <string.h>

static void
path_free(void *data)
{
    struct MpTargetPath *path = data;
    g_free(path->address);
    g_free(path);
}

void
MpTargetPaths_Init(struct MpTargetPaths *this)
{
    *this =
        (struct MpTargetPaths){.paths = g_hash_table_new_full(
                                   g_str_hash, g_str_equal, NULL, path_free)};
}

void
MpTargetPaths_Done(struct MpTargetPaths *this)
{
    g_hash_table_unref(this->paths);
}

static struct MpTargetPath *
get_path(struct MpTargetPaths *this, const char *address, int64_t now_ms)
{
    struct MpTargetPath *path = g_hash_table_lookup(this->paths, address);
    if (!path) {
        path = g_new0(struct MpTargetPath, 1);
        path->address = g_strdup(address);
        g_queue_init(&path->waits);
        g_hash_table_insert(this->paths, path->address, path);
    }
    path->used_ms = now_ms;
    return path;
}

static gboolean
is_forgotten(void *key, void *value, void *now_ms)
{
    (void)key;
    const struct MpTargetPath *path = value;
    return path->waits.length == 0 && !path->is_checking &&
           *(int64_t *)now_ms - path->used_ms >= MP_PATH_RETENTION_MS;
}

/* ---- decisions ---- */

static bool
is_target_down(const struct MpTargetPath *path, int64_t now_ms)
{
    return path->down_ms > 0 &&
           now_ms - path->down_ms < MP_PATH_TARGET_DOWN_MS;
}

bool
MpTargetPaths_NeedsTunnel(struct MpTargetPaths *this, const char *address,
                          int64_t now_ms)
{
    struct MpTargetPath *path = get_path(this, address, now_ms);
    if (this->is_lost) {
        return true;
    }
    if (path->failed_ms == 0) {
        return false;
    }
    path->is_wanted = true;
    return !is_target_down(path, now_ms);
}

bool
MpTargetPaths_IsObstructed(const struct MpTargetPaths *this,
                           const char *address)
{
    const struct MpTargetPath *path =
        g_hash_table_lookup(this->paths, address);
    return path && path->failed_ms > 0 && path->failure != MP_PATH_REFUSED;
}

bool
MpTargetPaths_MayTryDirectly(const struct MpTargetPaths *this,
                             const char *address)
{
    const struct MpTargetPath *path =
        g_hash_table_lookup(this->paths, address);
    return !path || path->failed_ms == 0 || path->failure == MP_PATH_SILENT;
}

bool
MpTargetPaths_IsInDoubt(const struct MpTargetPaths *this)
{
    return this->failed >= 2;
}

/* Returns whether connections to the target that were established are of no
 * use. */
static bool
are_kept_lost(const struct MpTargetPaths *this,
              const struct MpTargetPath *path)
{
    return path->failed_ms > 0 && path->is_kept_lost &&
           (this->is_lost || path->is_reached);
}

bool
MpTargetPaths_MayKeep(const struct MpTargetPaths *this, const char *address)
{
    const struct MpTargetPath *path =
        g_hash_table_lookup(this->paths, address);
    return !path || !are_kept_lost(this, path);
}

bool
MpTargetPaths_IsLost(const struct MpTargetPaths *this, const char *address)
{
    const struct MpTargetPath *path =
        g_hash_table_lookup(this->paths, address);
    return this->is_lost || (path && path->failed_ms > 0);
}

/* ---- evidence ---- */

void
MpTargetPaths_StartWait(struct MpTargetPaths *this, struct MpPathWait *wait,
                        const char *address, bool is_new_conn,
                        int64_t expected_ms, int64_t now_ms)
{
    MpPathWait_End(wait);
    wait->is_new_conn = is_new_conn;
    wait->path = get_path(this, address, now_ms);
    wait->since_ms = now_ms;
    wait->patience_ms = 2 * expected_ms;
    wait->link.data = wait;
    g_queue_push_tail_link(&wait->path->waits, &wait->link);
}

void
MpPathWait_End(struct MpPathWait *this)
{
    if (this->path) {
        g_queue_unlink(&this->path->waits, &this->link);
        this->path = NULL;
    }
}

static bool
note_answer(struct MpTargetPaths *this, struct MpTargetPath *path,
            int64_t now_ms)
{
    bool was_lost = path->failed_ms > 0 || this->is_lost;
    path->answered_ms = now_ms;
    path->failed_ms = 0;
    path->down_ms = 0;
    path->is_wanted = false;
    this->answered_ms = now_ms;
    this->failed = 0;
    this->is_reached = false;
    this->is_lost = false;
    return was_lost;
}

bool
MpTargetPaths_NoteData(struct MpTargetPaths *this, struct MpPathWait *wait,
                       int64_t now_ms)
{
    wait->since_ms = now_ms;
    wait->patience_ms = 0;
    /* A connection that goes on proves nothing about new ones. */
    if (wait->path->failed_ms > 0 && !wait->is_new_conn &&
        !wait->path->is_kept_lost) {
        return false;
    }
    return note_answer(this, wait->path, now_ms);
}

bool
MpTargetPaths_IsStuck(const struct MpTargetPaths *this,
                      const struct MpPathWait *wait, int64_t now_ms)
{
    return wait->path && (this->is_lost || are_kept_lost(this, wait->path)) &&
           now_ms - wait->since_ms >=
               MP_PATH_SILENCE_ALL_MS + wait->patience_ms;
}

/* Returns whether the paths to all targets are taken for lost from now on. */
static bool
update_lost(struct MpTargetPaths *this)
{
    bool was_lost = this->is_lost;
    bool is_only_path = g_hash_table_size(this->paths) == 1;
    this->is_lost = this->is_reached &&
                    (this->failed >= 2 || (this->failed > 0 && is_only_path));
    return this->is_lost && !was_lost;
}

static void
count_failure(struct MpTargetPaths *this, struct MpTargetPath *path,
              int64_t began_ms)
{
    bool is_counted =
        path->counted_ms > 0 && path->counted_ms >= this->answered_ms;
    if (!is_counted && began_ms >= this->answered_ms) {
        path->counted_ms = began_ms;
        this->failed++;
    }
}

bool
MpTargetPaths_NoteReached(struct MpTargetPaths *this, const char *address,
                          int64_t now_ms)
{
    struct MpTargetPath *path = get_path(this, address, now_ms);
    path->is_reached = path->failed_ms > 0;
    this->is_reached |=
        path->counted_ms > 0 && path->counted_ms >= this->answered_ms;
    return update_lost(this);
}

void
MpTargetPaths_NoteBroken(struct MpTargetPaths *this, const char *address,
                         int64_t now_ms)
{
    get_path(this, address, now_ms)->is_broken = true;
}

bool
MpTargetPaths_NoteReset(struct MpTargetPaths *this, const char *address,
                        int64_t now_ms)
{
    struct MpTargetPath *path = get_path(this, address, now_ms);
    path->is_broken = true;
    count_failure(this, path, now_ms);
    return update_lost(this);
}

bool
MpTargetPaths_NoteFailure(struct MpTargetPaths *this, const char *address,
                          enum MpPathFailure failure, int64_t began_ms,
                          int64_t now_ms)
{
    struct MpTargetPath *path = get_path(this, address, now_ms);
    if (path->failed_ms == 0) {
        path->backoff_ms = MP_PATH_CHECK_MIN_MS;
        path->next_check_ms = now_ms + MP_PATH_CHECK_MIN_MS;
        path->is_kept_lost = false;
        path->is_reached = false;
    }
    path->failure = failure;
    path->is_kept_lost |= failure == MP_PATH_SILENT;
    path->failed_ms = now_ms;
    count_failure(this, path, began_ms);
    return update_lost(this);
}

bool
MpTargetPaths_NoteAnswer(struct MpTargetPaths *this, const char *address,
                         int64_t now_ms)
{
    return note_answer(this, get_path(this, address, now_ms), now_ms);
}

void
MpTargetPaths_NoteDown(struct MpTargetPaths *this, const char *address,
                       int64_t now_ms)
{
    get_path(this, address, now_ms)->down_ms = now_ms;
}

/* ---- checks ---- */

/* Returns the longest time by which a request at the path waits too long;
 * negative: none does. */
static int64_t
overdue_ms(const struct MpTargetPath *path, int64_t limit_ms, int64_t now_ms)
{
    int64_t longest_ms = -1;
    for (const GList *link = path->waits.head; link; link = link->next) {
        const struct MpPathWait *wait = link->data;
        longest_ms = MAX(longest_ms, now_ms - wait->since_ms - limit_ms -
                                         wait->patience_ms);
    }
    return longest_ms;
}

static bool
is_doubted(const struct MpTargetPath *path, bool is_all_silent, int64_t now_ms)
{
    int64_t limit_ms =
        is_all_silent ? MP_PATH_SILENCE_ALL_MS : MP_PATH_SILENCE_ONE_MS;
    return path->waits.length > 0 && now_ms - path->answered_ms >= limit_ms &&
           overdue_ms(path, limit_ms, now_ms) >= 0;
}

/* Returns whether no target sends anything though requests wait at two. */
static bool
is_all_silent(const struct MpTargetPaths *this, int64_t now_ms)
{
    uint32_t overdue = 0;
    GHashTableIter iter;
    void *value;
    if (now_ms - this->answered_ms < MP_PATH_SILENCE_ALL_MS) {
        return false;
    }
    g_hash_table_iter_init(&iter, this->paths);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        overdue += overdue_ms(value, MP_PATH_SILENCE_ALL_MS, now_ms) >= 0;
    }
    return overdue >= 2;
}

static bool
is_check_due(const struct MpTargetPaths *this, const struct MpTargetPath *path,
             bool are_all_silent, int64_t now_ms)
{
    if (!path->is_checking && path->is_broken && path->failed_ms == 0 &&
        now_ms - path->checked_ms >= MP_PATH_CHECK_MIN_MS) {
        return true;
    }
    if (path->is_checking || now_ms < path->next_check_ms) {
        return false;
    }
    if (path->failed_ms > 0) {
        return this->is_lost || path->is_wanted || path->waits.length > 0 ||
               this->answered_ms <= path->failed_ms;
    }
    return this->is_lost || is_doubted(path, are_all_silent, now_ms);
}

static void
start_check(struct MpTargetPath *path, GPtrArray *out, int64_t now_ms)
{
    path->is_checking = true;
    path->is_broken = false;
    path->is_wanted = false;
    path->checked_ms = now_ms;
    g_ptr_array_add(out, path);
}

static gint
compare_checks(gconstpointer a, gconstpointer b)
{
    const struct MpTargetPath *const *x = a;
    const struct MpTargetPath *const *y = b;
    return ((*x)->checked_ms > (*y)->checked_ms) -
           ((*x)->checked_ms < (*y)->checked_ms);
}

void
MpTargetPaths_ListChecks(struct MpTargetPaths *this, int64_t now_ms,
                         GPtrArray *out)
{
    GPtrArray *due = g_ptr_array_new();
    GHashTableIter iter;
    void *value;
    uint32_t running = 0;
    if (now_ms - this->swept_ms >= MP_PATH_RETENTION_MS) {
        this->swept_ms = now_ms;
        g_hash_table_foreach_remove(this->paths, is_forgotten, &now_ms);
    }
    bool are_all_silent = is_all_silent(this, now_ms);
    g_hash_table_iter_init(&iter, this->paths);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct MpTargetPath *path = value;
        running += path->is_checking;
        if (is_check_due(this, path, are_all_silent, now_ms)) {
            g_ptr_array_add(due, path);
        }
    }
    g_ptr_array_sort(due, compare_checks);
    uint32_t most = MP_PATH_CHECKS_MAX;
    if (this->is_lost) {
        /* One target's answer shows that the path to all is back. */
        most = now_ms >= this->next_lost_check_ms ? 1 : 0;
        this->next_lost_check_ms = most > 0 ? now_ms + MP_PATH_CHECK_MIN_MS
                                            : this->next_lost_check_ms;
    }
    for (guint i = 0; i < due->len && running < most; i++, running++) {
        start_check(g_ptr_array_index(due, i), out, now_ms);
    }
    g_ptr_array_unref(due);
}

bool
MpTargetPaths_EndCheck(struct MpTargetPaths *this, const char *address,
                       bool is_answered, enum MpPathFailure failure,
                       int64_t now_ms)
{
    struct MpTargetPath *path = get_path(this, address, now_ms);
    bool was_lost = path->failed_ms > 0;
    bool is_doubt_over = is_answered && !was_lost;
    path->is_checking = false;
    int64_t min_ms = is_answered ? MP_PATH_DOUBT_MIN_MS : MP_PATH_CHECK_MIN_MS;
    int64_t max_ms = is_answered ? MP_PATH_DOUBT_MAX_MS : MP_PATH_CHECK_MAX_MS;
    bool is_repeated = is_doubt_over || (was_lost && !is_answered);
    int64_t backoff_ms = is_repeated ? path->backoff_ms * 2 : min_ms;
    if (is_answered) {
        bool is_back = note_answer(this, path, now_ms);
        path->backoff_ms = CLAMP(backoff_ms, min_ms, max_ms);
        path->next_check_ms = now_ms + path->backoff_ms;
        return is_back;
    }
    bool is_stuck = overdue_ms(path, MP_PATH_SILENCE_ALL_MS, now_ms) >= 0;
    bool is_all = false;
    /* While all paths are lost, a check is about all of them. */
    if (!this->is_lost || was_lost || is_stuck) {
        is_all = MpTargetPaths_NoteFailure(this, address, failure,
                                           path->checked_ms, now_ms);
    }
    path->is_kept_lost |= is_stuck;
    path->backoff_ms = CLAMP(backoff_ms, min_ms, max_ms);
    path->next_check_ms = now_ms + path->backoff_ms;
    return is_all || (!was_lost && path->failed_ms > 0);
}

void
MpTargetPaths_DropCheck(struct MpTargetPaths *this, const char *address,
                        int64_t now_ms)
{
    struct MpTargetPath *path = get_path(this, address, now_ms);
    path->is_checking = false;
    path->backoff_ms =
        CLAMP(path->backoff_ms, MP_PATH_CHECK_MIN_MS, MP_PATH_CHECK_MAX_MS);
    path->next_check_ms = now_ms + path->backoff_ms;
}
