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
    this->groups =
        g_hash_table_new_full(MpBodyHash_Hash, MpBodyHash_Equal, g_free, NULL);
    this->refused = g_hash_table_new_full(MpBodyHash_Hash, MpBodyHash_Equal,
                                          g_free, g_free);
}

void
MpSuspects_Done(struct MpSuspects *this)
{
    g_hash_table_unref(this->listed);
    g_hash_table_unref(this->local);
    g_hash_table_unref(this->groups);
    g_hash_table_unref(this->refused);
}

static void
add_list(struct MpSuspects *this, const char *list, size_t bytes,
         bool is_stopped)
{
    for (size_t at = 0; at + MP_HASH_BYTES <= bytes; at += MP_HASH_BYTES) {
        g_hash_table_replace(this->listed, g_memdup2(list + at, MP_HASH_BYTES),
                             GINT_TO_POINTER(is_stopped));
    }
}

/* Whether the quorum has removed the suspect from its lists, because another
 * instance got a complete answer for it. */
static gboolean
is_cleared(void *key, void *value, void *listed)
{
    const struct MpLocalSuspect *suspect = value;
    return suspect->is_acknowledged && !g_hash_table_contains(listed, key);
}

static gboolean
is_unlisted(void *key, void *value, void *listed)
{
    (void)value;
    return !g_hash_table_contains(listed, key);
}

void
MpSuspects_SetLists(struct MpSuspects *this, uint64_t version,
                    const char *stopped, size_t stopped_bytes,
                    const char *suspected, size_t suspected_bytes)
{
    this->version = version;
    g_hash_table_remove_all(this->listed);
    g_hash_table_remove_all(this->groups);
    add_list(this, suspected, suspected_bytes, false);
    add_list(this, stopped, stopped_bytes, true);
    g_hash_table_foreach_remove(this->refused, is_unlisted, this->listed);
    g_hash_table_foreach_remove(this->local, is_cleared, this->listed);
}

void
MpSuspects_SetGroups(struct MpSuspects *this, const char *suspected,
                     const char *groups, size_t groups_bytes)
{
    uint32_t group;
    for (size_t i = 0; (i + 1) * sizeof(group) <= groups_bytes; i++) {
        memcpy(&group, groups + i * sizeof(group), sizeof(group));
        g_hash_table_replace(
            this->groups,
            g_memdup2(suspected + i * MP_HASH_BYTES, MP_HASH_BYTES),
            GUINT_TO_POINTER(group));
    }
}

bool
MpSuspects_IsSameGroup(const struct MpSuspects *this,
                       const uint8_t *fingerprint, const uint8_t *other)
{
    void *group;
    void *other_group;
    return !g_hash_table_lookup_extended(this->groups, fingerprint, NULL,
                                         &group) ||
           !g_hash_table_lookup_extended(this->groups, other, NULL,
                                         &other_group) ||
           group == other_group;
}

/* Returns whether the fingerprint is in the lists of the quorum; *is_stopped
 * is set to whether it is quarantined. */
static bool
find_listed(const struct MpSuspects *this, const uint8_t *fingerprint,
            bool *is_stopped)
{
    void *value = NULL;
    bool is_listed =
        g_hash_table_lookup_extended(this->listed, fingerprint, NULL, &value);
    *is_stopped = is_listed && GPOINTER_TO_INT(value);
    return is_listed;
}

enum MpSuspicion
MpSuspects_Lookup(const struct MpSuspects *this, const uint8_t *fingerprint)
{
    bool is_stopped;
    bool is_listed = find_listed(this, fingerprint, &is_stopped);
    if (is_stopped) {
        return MP_SUSPICION_STOPPED;
    }
    return is_listed || g_hash_table_contains(this->local, fingerprint)
               ? MP_SUSPICION_TRIAL
               : MP_SUSPICION_NONE;
}

/* ---- answered requests ---- */

static uint64_t
fingerprint_prefix(const uint8_t *fingerprint)
{
    uint64_t value;
    memcpy(&value, fingerprint, sizeof(value));
    return value;
}

static uint64_t *
answered_slot(struct MpSuspects *this, const uint8_t *fingerprint)
{
    return &this->answered[fingerprint_prefix(fingerprint) % MP_ANSWERED_MAX];
}

bool
MpSuspects_NoteAnswer(struct MpSuspects *this, const uint8_t *fingerprint)
{
    bool is_suspect =
        MpSuspects_Lookup(this, fingerprint) != MP_SUSPICION_NONE;
    *answered_slot(this, fingerprint) = fingerprint_prefix(fingerprint);
    if (is_suspect) {
        g_hash_table_remove(this->local, fingerprint);
        g_hash_table_remove(this->listed, fingerprint);
    }
    return is_suspect;
}

/* ---- answered parts ---- */

int64_t
MpSuspects_PartAnsweredAt(const struct MpSuspects *this,
                          const uint8_t *fingerprint)
{
    uint64_t prefix = fingerprint_prefix(fingerprint);
    const struct MpAnsweredPart *part =
        &this->answered_parts[prefix % MP_ANSWERED_PARTS_MAX];
    return part->prefix == prefix ? part->at_ms : 0;
}

bool
MpSuspects_IsPartAnswered(const struct MpSuspects *this,
                          const uint8_t *fingerprint, int64_t now_ms)
{
    int64_t answered_ms = MpSuspects_PartAnsweredAt(this, fingerprint);
    return answered_ms > 0 && now_ms - answered_ms <= MP_ANSWERED_PART_MS;
}

bool
MpSuspects_TakePartAnswer(struct MpSuspects *this, const uint8_t *fingerprint,
                          int64_t now_ms)
{
    struct MpAnsweredPart *part =
        &this->answered_parts[fingerprint_prefix(fingerprint) %
                              MP_ANSWERED_PARTS_MAX];
    if (!MpSuspects_IsPartAnswered(this, fingerprint, now_ms) ||
        part->at_ms <= part->crashed_ms) {
        return false;
    }
    part->crashed_ms = now_ms;
    return true;
}

bool
MpSuspects_NotePartAnswer(struct MpSuspects *this, const uint8_t *fingerprint,
                          int64_t now_ms)
{
    uint64_t prefix = fingerprint_prefix(fingerprint);
    struct MpAnsweredPart *part =
        &this->answered_parts[prefix % MP_ANSWERED_PARTS_MAX];
    if (part->prefix != prefix) {
        *part = (struct MpAnsweredPart){.prefix = prefix};
    }
    part->at_ms = now_ms;
    bool is_local = g_hash_table_remove(this->local, fingerprint);
    return g_hash_table_remove(this->listed, fingerprint) || is_local;
}

GByteArray *
MpSuspects_ListVouchedParts(const struct MpSuspects *this, int64_t now_ms)
{
    GByteArray *vouched = g_byte_array_new();
    GHashTableIter iter;
    void *fingerprint;
    g_hash_table_iter_init(&iter, this->listed);
    while (g_hash_table_iter_next(&iter, &fingerprint, NULL)) {
        if (MpQuarantine_IsPart(fingerprint) &&
            MpSuspects_IsPartAnswered(this, fingerprint, now_ms)) {
            g_byte_array_append(vouched, fingerprint, MP_HASH_BYTES);
        }
    }
    return vouched;
}

void
MpSuspects_NotePartRefused(struct MpSuspects *this, const uint8_t *fingerprint,
                           uint32_t count, int64_t now_ms)
{
    struct MpRefusedPart *part = g_new(struct MpRefusedPart, 1);
    *part = (struct MpRefusedPart){
        .at_ms = now_ms, .version = this->version, .count = count};
    g_hash_table_replace(this->refused, g_memdup2(fingerprint, MP_HASH_BYTES),
                         part);
}

enum MpSuspicion
MpSuspects_LookupPart(struct MpSuspects *this, const uint8_t *fingerprint,
                      uint32_t count, int64_t now_ms)
{
    enum MpSuspicion suspicion = MpSuspects_Lookup(this, fingerprint);
    struct MpRefusedPart *part =
        g_hash_table_lookup(this->refused, fingerprint);
    if (suspicion == MP_SUSPICION_STOPPED && !part) {
        MpSuspects_NotePartRefused(this, fingerprint, 0, now_ms);
        return MP_SUSPICION_STOPPED;
    }
    bool is_refused = suspicion == MP_SUSPICION_TRIAL && part &&
                      part->version == this->version && count >= part->count;
    if (suspicion != MP_SUSPICION_STOPPED && !is_refused) {
        return suspicion;
    }
    if (now_ms - part->at_ms < MP_STOPPED_PART_ASK_MS) {
        return MP_SUSPICION_STOPPED;
    }
    part->at_ms = now_ms;
    return MP_SUSPICION_TRIAL;
}

/* ---- crashes and trials ---- */

static gboolean
is_expired(void *key, void *value, void *now_ms)
{
    (void)key;
    const struct MpLocalSuspect *suspect = value;
    return suspect->last_crash_ms + MP_POISON_MS <= *(int64_t *)now_ms;
}

static struct MpLocalSuspect *
add_local(struct MpSuspects *this, const uint8_t *fingerprint, int64_t now_ms)
{
    if (g_hash_table_size(this->local) >= MP_LOCAL_SUSPECTS_MAX) {
        g_hash_table_foreach_remove(this->local, is_expired, &now_ms);
    }
    if (g_hash_table_size(this->local) >= MP_LOCAL_SUSPECTS_MAX) {
        GHashTableIter iter;
        g_hash_table_iter_init(&iter, this->local);
        g_hash_table_iter_next(&iter, NULL, NULL);
        g_hash_table_iter_remove(&iter);
    }
    struct MpLocalSuspect *suspect = g_new0(struct MpLocalSuspect, 1);
    memcpy(suspect->fingerprint, fingerprint, MP_HASH_BYTES);
    g_hash_table_insert(this->local, suspect->fingerprint, suspect);
    return suspect;
}

bool
MpSuspects_NoteCrash(struct MpSuspects *this, const uint8_t *fingerprint,
                     uint64_t run, int64_t now_ms)
{
    uint64_t *answered = answered_slot(this, fingerprint);
    if (*answered == fingerprint_prefix(fingerprint)) {
        *answered = 0;
        return false;
    }
    struct MpLocalSuspect *suspect =
        g_hash_table_lookup(this->local, fingerprint);
    bool is_stopped;
    if (!suspect) {
        suspect = add_local(this, fingerprint, now_ms);
        suspect->crashes = find_listed(this, fingerprint, &is_stopped);
    }
    bool is_counted = suspect->seen_crashes == 0 || suspect->run == run ||
                      now_ms - suspect->last_crash_ms > MP_SAME_CRASH_MS;
    if (is_counted) {
        suspect->crashes++;
        suspect->seen_crashes++;
        suspect->last_crash_ms = now_ms;
        suspect->run = run;
    }
    return true;
}

uint32_t
MpSuspects_SeenCrashes(const struct MpSuspects *this,
                       const uint8_t *fingerprint)
{
    const struct MpLocalSuspect *suspect =
        g_hash_table_lookup(this->local, fingerprint);
    return suspect ? suspect->seen_crashes : 0;
}

void
MpSuspects_SetCrashes(struct MpSuspects *this, const uint8_t *fingerprint,
                      uint64_t crashes)
{
    struct MpLocalSuspect *suspect =
        g_hash_table_lookup(this->local, fingerprint);
    if (crashes == 0) {
        g_hash_table_remove(this->local, fingerprint);
        g_hash_table_remove(this->listed, fingerprint);
    }
    else if (suspect) {
        suspect->crashes = (uint32_t)MIN(crashes, UINT32_MAX);
        suspect->is_acknowledged = true;
    }
}

int
MpSuspects_DecideLocally(struct MpSuspects *this, const uint8_t *fingerprint,
                         uint64_t run, int64_t trial_ms, int64_t now_ms)
{
    bool is_stopped;
    bool is_listed = find_listed(this, fingerprint, &is_stopped);
    struct MpLocalSuspect *suspect =
        g_hash_table_lookup(this->local, fingerprint);
    if (!is_listed && !suspect) {
        return MP_OK;
    }
    if (!suspect) {
        suspect = add_local(this, fingerprint, now_ms);
        suspect->crashes = 1;
        suspect->last_crash_ms = now_ms;
    }
    if (is_stopped || suspect->crashes >= MP_POISON_CRASHES) {
        return MP_ERROR_POISON;
    }
    if (suspect->run != run && suspect->trial_until_ms > now_ms) {
        return MP_ERROR_HELD_BACK;
    }
    suspect->run = run;
    suspect->trial_until_ms = now_ms + MIN(trial_ms, MP_TRIAL_MAX_MS);
    return MP_OK;
}

void
MpSuspects_EndTrial(struct MpSuspects *this, const uint8_t *fingerprint,
                    uint64_t run)
{
    struct MpLocalSuspect *suspect =
        g_hash_table_lookup(this->local, fingerprint);
    if (suspect && suspect->run == run) {
        suspect->trial_until_ms = 0;
    }
}
