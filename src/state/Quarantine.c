#include "state/Quarantine.h"

#include "state/BodyHash.h"
#include "state/Error.h"
#include "state/Fault.h"

#include <string.h>

/* ---- entries ---- */

static void
suspect_delete(void *data)
{
    struct MpSuspect *this = data;
    g_free(this->last_target);
    g_free(this->workspace);
    g_free(this->key);
    g_free(this);
}

static void
drop(struct MpQuarantine *this, struct MpSuspect *suspect)
{
    g_queue_unlink(&this->order, &suspect->link);
    g_hash_table_remove(this->suspects, suspect->fingerprint);
    this->version++;
}

static struct MpSuspect *
find(const struct MpQuarantine *this, const char *fingerprint)
{
    return g_hash_table_lookup(this->suspects, fingerprint);
}

static struct MpSuspect *
add(struct MpQuarantine *this, const char *fingerprint)
{
    struct MpSuspect *suspect = g_new0(struct MpSuspect, 1);
    memcpy(suspect->fingerprint, fingerprint, MP_HASH_BYTES);
    suspect->link.data = suspect;
    suspect->last_target = g_strdup("");
    suspect->workspace = g_strdup("");
    suspect->key = g_strdup("");
    g_hash_table_insert(this->suspects, suspect->fingerprint, suspect);
    g_queue_push_tail_link(&this->order, &suspect->link);
    if (this->order.length > MP_SUSPECTS_MAX) {
        drop(this, g_queue_peek_head(&this->order));
    }
    return suspect;
}

static void
count_death(struct MpQuarantine *this, struct MpSuspect *suspect,
            int64_t now_ms)
{
    suspect->deaths++;
    suspect->last_ms = now_ms;
    g_queue_unlink(&this->order, &suspect->link);
    g_queue_push_tail_link(&this->order, &suspect->link);
    this->version++;
}

static bool
is_stopped(const struct MpSuspect *suspect)
{
    return suspect->deaths >= MP_POISON_CRASHES;
}

/* ---- life ---- */

void
MpQuarantine_Init(struct MpQuarantine *this)
{
    *this = (struct MpQuarantine){.version = 0};
    this->suspects = g_hash_table_new_full(MpBodyHash_Hash, MpBodyHash_Equal,
                                           NULL, suspect_delete);
    g_queue_init(&this->order);
}

void
MpQuarantine_Done(struct MpQuarantine *this)
{
    g_hash_table_unref(this->suspects);
}

void
MpQuarantine_Expire(struct MpQuarantine *this, int64_t now_ms)
{
    struct MpSuspect *oldest;
    while ((oldest = g_queue_peek_head(&this->order)) &&
           oldest->last_ms + MP_POISON_MS <= now_ms) {
        drop(this, oldest);
    }
}

/* ---- own calls ---- */

/* Other requests with this body that run now, while none was answered. */
static uint32_t
count_others(const struct MpLedger *ledger, const struct mp_poison *report)
{
    const struct MpRecord *record =
        MpLedger_FindRecord(ledger, report->workspace, report->key);
    uint32_t open =
        MpLedger_Untried(ledger, (const uint8_t *)report->body_hash);
    bool is_counted = record && record->state == MP_RECORD_OPEN;
    return open > is_counted ? open - is_counted : 0;
}

static void
set_record(struct MpSuspect *suspect, const char *workspace, const char *key,
           uint64_t open_id)
{
    g_free(suspect->workspace);
    g_free(suspect->key);
    suspect->workspace = g_strdup(workspace);
    suspect->key = g_strdup(key);
    suspect->open_id = open_id;
}

/* A second report of one death counts no more.  A target that is back, under
 * its name, may die again, of the run that was let through since. */
static bool
is_same_death(const struct MpSuspect *suspect, const struct mp_poison *report,
              int64_t now_ms)
{
    bool is_trial = suspect->is_tried && suspect->open_id == report->open_id &&
                    strcmp(suspect->key, report->key) == 0 &&
                    strcmp(suspect->workspace, report->workspace) == 0;
    return suspect->deaths > 0 && !is_trial &&
           strcmp(suspect->last_target, report->target) == 0 &&
           now_ms - suspect->last_ms <= MP_SAME_CRASH_MS;
}

int
MpQuarantine_Report(struct MpQuarantine *this, const struct MpLedger *ledger,
                    const struct mp_poison *report, int64_t now_ms,
                    struct mp_result *result)
{
    struct MpSuspect *suspect = find(this, report->body_hash);
    if (!suspect) {
        suspect = add(this, report->body_hash);
    }
    if (!is_same_death(suspect, report, now_ms)) {
        g_free(suspect->last_target);
        suspect->last_target = g_strdup(report->target);
        set_record(suspect, report->workspace, report->key, report->open_id);
        suspect->is_tried = false;
        count_death(this, suspect, now_ms);
    }
    result->number = suspect->deaths;
    result->amount_mtok = count_others(ledger, report);
    return MP_OK;
}

/* Whether the open record that was reported last is still open: while it is,
 * nobody else tries the same request. */
static bool
is_being_tried(const struct MpLedger *ledger, const struct MpSuspect *suspect,
               const struct mp_open *open)
{
    const struct MpRecord *record =
        MpLedger_FindRecord(ledger, suspect->workspace, suspect->key);
    return record && record->state == MP_RECORD_OPEN &&
           record->open_id == suspect->open_id &&
           open->open_id != suspect->open_id;
}

/* Until a request was answered once, no more of its kind run at a moment than
 * targets may die of it. */
static bool
is_held_back(const struct MpLedger *ledger, const struct mp_open *open,
             uint32_t deaths)
{
    const struct MpRecord *record =
        MpLedger_FindRecord(ledger, open->workspace, open->key);
    if (record && record->state == MP_RECORD_OPEN) {
        return false; /* it is one of those that are counted */
    }
    uint32_t running =
        MpLedger_Untried(ledger, (const uint8_t *)open->body_hash);
    return deaths + running >= MP_POISON_CRASHES;
}

int
MpQuarantine_CheckOpen(const struct MpQuarantine *this,
                       const struct MpLedger *ledger,
                       const struct mp_open *open)
{
    const struct MpSuspect *suspect = find(this, open->body_hash);
    if (!suspect) {
        return is_held_back(ledger, open, 0) ? MP_ERROR_HELD_BACK : MP_OK;
    }
    if (is_stopped(suspect)) {
        return MP_ERROR_POISON;
    }
    bool is_held = is_being_tried(ledger, suspect, open) ||
                   is_held_back(ledger, open, suspect->deaths);
    return is_held ? MP_ERROR_HELD_BACK : MP_OK;
}

void
MpQuarantine_NoteOpen(struct MpQuarantine *this, const struct mp_open *open)
{
    struct MpSuspect *suspect = find(this, open->body_hash);
    if (suspect) {
        set_record(suspect, open->workspace, open->key, open->open_id);
        suspect->is_tried = true;
    }
}

/* ---- paths ---- */

static bool
has_trial(const struct MpSuspect *suspect, const struct mp_trial *trial)
{
    return suspect->run == trial->run;
}

static void
start_trial(struct MpSuspect *suspect, const struct mp_trial *trial,
            int64_t now_ms)
{
    int64_t lasts_ms = MIN((int64_t)trial->timeout_ms, MP_TRIAL_MAX_MS);
    suspect->run = trial->run;
    suspect->attempt = trial->attempt;
    suspect->until_ms = now_ms + lasts_ms;
    suspect->trials += lasts_ms > 0;
}

/* A run may end its target after its caller has left, unseen: trials without
 * a verdict are few. */
static bool
is_tried_out(const struct MpSuspect *suspect, int64_t now_ms)
{
    return suspect->trials >= MP_TRIALS_MAX &&
           now_ms < suspect->until_ms + MP_TRIALS_PAUSE_MS;
}

static void
take_death(struct MpQuarantine *this, const struct mp_trial *trial,
           int64_t now_ms)
{
    struct MpSuspect *suspect = find(this, trial->fingerprint);
    if (!suspect) {
        suspect = add(this, trial->fingerprint);
    }
    bool is_first = suspect->deaths == 0;
    bool is_own = !is_first && has_trial(suspect, trial);
    bool is_repeat = is_own && trial->attempt <= suspect->attempt;
    bool is_late = now_ms - suspect->last_ms > MP_SAME_CRASH_MS;
    /* Reports of an instance that was cut off come all at once. */
    bool is_more = trial->crashes_seen > suspect->deaths;
    if (is_repeat || !(is_first || is_own || is_late || is_more)) {
        return;
    }
    count_death(this, suspect, now_ms);
    suspect->deaths = MAX(suspect->deaths, trial->crashes_seen);
    if (is_own || suspect->until_ms <= now_ms) {
        start_trial(suspect, trial, now_ms);
    }
}

static int
ask(struct MpQuarantine *this, const struct mp_trial *trial, int64_t now_ms)
{
    struct MpSuspect *suspect = find(this, trial->fingerprint);
    if (!suspect) {
        return MP_OK;
    }
    if (is_stopped(suspect)) {
        return MP_ERROR_POISON;
    }
    if (has_trial(suspect, trial)) {
        return MP_OK;
    }
    if (suspect->until_ms > now_ms && !MP_FAULT(MP_FAULT_TRIALS_AT_ONCE)) {
        return MP_ERROR_HELD_BACK;
    }
    if (is_tried_out(suspect, now_ms) &&
        !MP_FAULT(MP_FAULT_TRIALS_UNBOUNDED)) {
        return MP_ERROR_POISON;
    }
    if (suspect->trials >= MP_TRIALS_MAX) {
        suspect->trials = 0;
    }
    start_trial(suspect, trial, now_ms);
    return MP_OK;
}

int
MpQuarantine_HandleTrial(struct MpQuarantine *this,
                         const struct mp_trial *trial, int64_t now_ms,
                         struct mp_result *result)
{
    struct MpSuspect *suspect;
    int code = MP_OK;
    switch (trial->kind) {
    case MP_TRIAL_CRASH:
        take_death(this, trial, now_ms);
        code = ask(this, trial, now_ms);
        break;
    case MP_TRIAL_REQUEST:
        code = ask(this, trial, now_ms);
        break;
    case MP_TRIAL_RELEASE:
        suspect = find(this, trial->fingerprint);
        if (suspect && MP_FAULT(MP_FAULT_RELEASE_CLEARS)) {
            drop(this, suspect);
        }
        else if (suspect && has_trial(suspect, trial)) {
            suspect->until_ms = now_ms;
        }
        break;
    case MP_TRIAL_CLEAR:
        suspect = find(this, trial->fingerprint);
        if (suspect && !MP_FAULT(MP_FAULT_SUSPECT_NOT_CLEARED)) {
            drop(this, suspect);
        }
        break;
    }
    suspect = find(this, trial->fingerprint);
    result->number = suspect ? suspect->deaths : 0;
    return code;
}

/* ---- lists and images ---- */

GByteArray *
MpQuarantine_List(const struct MpQuarantine *this, bool is_stopped_wanted)
{
    GByteArray *list = g_byte_array_new();
    for (const GList *at = this->order.head; at; at = at->next) {
        const struct MpSuspect *suspect = at->data;
        if (is_stopped(suspect) == is_stopped_wanted) {
            g_byte_array_append(list, suspect->fingerprint, MP_HASH_BYTES);
        }
    }
    return list;
}

void
MpQuarantine_Save(const struct MpQuarantine *this,
                  struct mp_machine_image *image)
{
    struct mp_suspect_image *next =
        g_new0(struct mp_suspect_image, this->order.length + 1);
    image->quarantine_version = this->version;
    image->suspects.suspects_len = this->order.length;
    image->suspects.suspects_val = next;
    for (const GList *at = this->order.head; at; at = at->next) {
        const struct MpSuspect *suspect = at->data;
        *next = (struct mp_suspect_image){.crashes = suspect->deaths,
                                          .last_ms = suspect->last_ms,
                                          .last_target = suspect->last_target,
                                          .workspace = suspect->workspace,
                                          .key = suspect->key,
                                          .open_id = suspect->open_id,
                                          .is_tried = suspect->is_tried,
                                          .run = suspect->run,
                                          .attempt = suspect->attempt,
                                          .trials = suspect->trials,
                                          .until_ms = suspect->until_ms};
        memcpy(next->fingerprint, suspect->fingerprint, MP_HASH_BYTES);
        next++;
    }
}

void
MpQuarantine_Load(struct MpQuarantine *this,
                  const struct mp_machine_image *image)
{
    u_int count = MP_FAULT(MP_FAULT_SNAPSHOT_FREES_SUSPECTS)
                      ? 0
                      : image->suspects.suspects_len;
    for (u_int i = 0; i < count; i++) {
        const struct mp_suspect_image *from = &image->suspects.suspects_val[i];
        struct MpSuspect *suspect = add(this, from->fingerprint);
        g_free(suspect->last_target);
        suspect->last_target = g_strdup(from->last_target);
        set_record(suspect, from->workspace, from->key, from->open_id);
        suspect->is_tried = from->is_tried;
        suspect->deaths = from->crashes;
        suspect->last_ms = from->last_ms;
        suspect->run = from->run;
        suspect->attempt = from->attempt;
        suspect->trials = from->trials;
        suspect->until_ms = from->until_ms;
    }
    this->version = image->quarantine_version;
}
