#include "coordination/Suspects.h"

#include "state/BodyHash.h"
#include "state/Error.h"

#include <string.h>

void
MpSuspects_Init(struct MpSuspects *this)
{
    *this = (struct MpSuspects){.version = 0};
    this->listed =
        g_hash_table_new_full(MpBodyHash_Hash, MpBodyHash_Equal, g_free, NULL);
    this->local =
        g_hash_table_new_full(MpBodyHash_Hash, MpBodyHash_Equal, NULL, g_free);
}

void
MpSuspects_Done(struct MpSuspects *this)
{
    g_hash_table_unref(this->listed);
    g_hash_table_unref(this->local);
}

static void
take_list(struct MpSuspects *this, const char *list, size_t bytes,
          bool is_stopped)
{
    for (size_t at = 0; at + MP_HASH_BYTES <= bytes; at += MP_HASH_BYTES) {
        g_hash_table_replace(this->listed, g_memdup2(list + at, MP_HASH_BYTES),
                             GINT_TO_POINTER(is_stopped));
    }
}

/* What the quorum had and has no longer was answered whole elsewhere. */
static gboolean
is_cleared(void *key, void *value, void *told)
{
    const struct MpOwnSuspect *suspect = value;
    return suspect->is_told && !g_hash_table_contains(told, key);
}

void
MpSuspects_SetLists(struct MpSuspects *this, uint64_t version,
                    const char *stopped, size_t stopped_bytes,
                    const char *suspected, size_t suspected_bytes)
{
    this->version = version;
    g_hash_table_remove_all(this->listed);
    take_list(this, suspected, suspected_bytes, false);
    take_list(this, stopped, stopped_bytes, true);
    g_hash_table_foreach_remove(this->local, is_cleared, this->listed);
}

/* Returns whether the fingerprint was told. */
static bool
find_told(const struct MpSuspects *this, const uint8_t *fingerprint,
          bool *is_stopped)
{
    void *value = NULL;
    bool is_told =
        g_hash_table_lookup_extended(this->listed, fingerprint, NULL, &value);
    *is_stopped = is_told && GPOINTER_TO_INT(value);
    return is_told;
}

enum MpSuspicion
MpSuspects_Lookup(const struct MpSuspects *this, const uint8_t *fingerprint)
{
    bool is_stopped;
    bool is_told = find_told(this, fingerprint, &is_stopped);
    if (is_stopped) {
        return MP_SUSPICION_STOPPED;
    }
    return is_told || g_hash_table_contains(this->local, fingerprint)
               ? MP_SUSPICION_TRIAL
               : MP_SUSPICION_NONE;
}

/* ---- answered requests ---- */

static uint64_t
short_of(const uint8_t *fingerprint)
{
    uint64_t value;
    memcpy(&value, fingerprint, sizeof(value));
    return value;
}

static uint64_t *
answered_at(struct MpSuspects *this, const uint8_t *fingerprint)
{
    return &this->answered[short_of(fingerprint) % MP_ANSWERED_MAX];
}

bool
MpSuspects_NoteAnswer(struct MpSuspects *this, const uint8_t *fingerprint)
{
    bool is_suspect =
        MpSuspects_Lookup(this, fingerprint) != MP_SUSPICION_NONE;
    *answered_at(this, fingerprint) = short_of(fingerprint);
    if (is_suspect) {
        g_hash_table_remove(this->local, fingerprint);
        g_hash_table_remove(this->listed, fingerprint);
    }
    return is_suspect;
}

/* ---- deaths and trials ---- */

static gboolean
is_old(void *key, void *value, void *now_ms)
{
    (void)key;
    const struct MpOwnSuspect *suspect = value;
    return suspect->last_ms + MP_POISON_MS <= *(int64_t *)now_ms;
}

static struct MpOwnSuspect *
add_own(struct MpSuspects *this, const uint8_t *fingerprint, int64_t now_ms)
{
    if (g_hash_table_size(this->local) >= MP_OWN_SUSPECTS_MAX) {
        g_hash_table_foreach_remove(this->local, is_old, &now_ms);
    }
    if (g_hash_table_size(this->local) >= MP_OWN_SUSPECTS_MAX) {
        GHashTableIter iter;
        g_hash_table_iter_init(&iter, this->local);
        g_hash_table_iter_next(&iter, NULL, NULL);
        g_hash_table_iter_remove(&iter);
    }
    struct MpOwnSuspect *suspect = g_new0(struct MpOwnSuspect, 1);
    memcpy(suspect->fingerprint, fingerprint, MP_HASH_BYTES);
    g_hash_table_insert(this->local, suspect->fingerprint, suspect);
    return suspect;
}

bool
MpSuspects_NoteCrash(struct MpSuspects *this, const uint8_t *fingerprint,
                     uint64_t run, int64_t now_ms)
{
    uint64_t *answered = answered_at(this, fingerprint);
    if (*answered == short_of(fingerprint)) {
        *answered = 0;
        return false;
    }
    struct MpOwnSuspect *suspect =
        g_hash_table_lookup(this->local, fingerprint);
    bool is_stopped;
    if (!suspect) {
        suspect = add_own(this, fingerprint, now_ms);
        suspect->deaths = find_told(this, fingerprint, &is_stopped);
    }
    bool is_counted = suspect->seen == 0 || suspect->run == run ||
                      now_ms - suspect->last_ms > MP_SAME_CRASH_MS;
    if (is_counted) {
        suspect->deaths++;
        suspect->seen++;
        suspect->last_ms = now_ms;
        suspect->run = run;
    }
    return true;
}

uint32_t
MpSuspects_SeenCrashes(const struct MpSuspects *this,
                       const uint8_t *fingerprint)
{
    const struct MpOwnSuspect *suspect =
        g_hash_table_lookup(this->local, fingerprint);
    return suspect ? suspect->seen : 0;
}

void
MpSuspects_SetCrashes(struct MpSuspects *this, const uint8_t *fingerprint,
                      uint64_t deaths)
{
    struct MpOwnSuspect *suspect =
        g_hash_table_lookup(this->local, fingerprint);
    if (deaths == 0) {
        g_hash_table_remove(this->local, fingerprint);
    }
    else if (suspect) {
        suspect->deaths = (uint32_t)MIN(deaths, UINT32_MAX);
        suspect->is_told = true;
    }
}

int
MpSuspects_DecideLocally(struct MpSuspects *this, const uint8_t *fingerprint,
                         uint64_t run, int64_t lasts_ms, int64_t now_ms)
{
    bool is_stopped;
    bool is_told = find_told(this, fingerprint, &is_stopped);
    struct MpOwnSuspect *suspect =
        g_hash_table_lookup(this->local, fingerprint);
    if (!is_told && !suspect) {
        return MP_OK;
    }
    if (!suspect) {
        suspect = add_own(this, fingerprint, now_ms);
        suspect->deaths = 1;
        suspect->last_ms = now_ms;
    }
    if (is_stopped || suspect->deaths >= MP_POISON_CRASHES) {
        return MP_ERROR_POISON;
    }
    if (suspect->run != run && suspect->until_ms > now_ms) {
        return MP_ERROR_HELD_BACK;
    }
    suspect->run = run;
    suspect->until_ms = now_ms + MIN(lasts_ms, MP_TRIAL_MAX_MS);
    return MP_OK;
}

void
MpSuspects_EndTrial(struct MpSuspects *this, const uint8_t *fingerprint,
                    uint64_t run)
{
    struct MpOwnSuspect *suspect =
        g_hash_table_lookup(this->local, fingerprint);
    if (suspect && suspect->run == run) {
        suspect->until_ms = 0;
    }
}
