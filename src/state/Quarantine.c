#include "state/Quarantine.h"

#include "state/BodyHash.h"
#include "state/Error.h"
#include "state/Fault.h"
#include "state/QuarantineInternal.h"

#include <string.h>

/* ---- suspects ---- */

static void
suspect_delete(void *data)
{
    struct MpSuspect *this = data;
    g_free(this->last_target);
    g_free(this->workspace);
    g_free(this->key);
    g_free(this);
}

void
MpQuarantine_Remove(struct MpQuarantine *this, struct MpSuspect *suspect)
{
    g_queue_unlink(&this->order, &suspect->link);
    g_hash_table_remove(this->suspects, suspect->fingerprint);
    this->version++;
}

struct MpSuspect *
MpQuarantine_Find(const struct MpQuarantine *this, const char *fingerprint)
{
    return g_hash_table_lookup(this->suspects, fingerprint);
}

/* Returns the suspect to drop when there are too many: the oldest of those
 * without a crash, else the one with the oldest last crash. */
static struct MpSuspect *
find_least(const struct MpQuarantine *this)
{
    for (const GList *link = this->order.head; link != this->order.tail;
         link = link->next) {
        struct MpSuspect *suspect = link->data;
        if (suspect->crashes == 0) {
            return suspect;
        }
    }
    return this->order.head->data;
}

struct MpSuspect *
MpQuarantine_Add(struct MpQuarantine *this, const char *fingerprint)
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
        MpQuarantine_Remove(this, find_least(this));
    }
    return suspect;
}

void
MpQuarantine_SetLastCrash(struct MpQuarantine *this, struct MpSuspect *suspect,
                          int64_t now_ms)
{
    suspect->last_ms = now_ms;
    g_queue_unlink(&this->order, &suspect->link);
    g_queue_push_tail_link(&this->order, &suspect->link);
}

void
MpQuarantine_CountCrash(struct MpQuarantine *this, struct MpSuspect *suspect,
                        int64_t now_ms)
{
    suspect->crashes++;
    MpQuarantine_SetLastCrash(this, suspect, now_ms);
    this->version++;
}

static bool
is_stopped(const struct MpSuspect *suspect)
{
    return suspect->crashes >= MP_POISON_CRASHES;
}

/* ---- construction and expiry ---- */

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
        MpQuarantine_Remove(this, oldest);
    }
}

/* ---- native requests ---- */

/* Returns the number of other open requests with this body; 0 if one was
 * answered. */
static uint32_t
count_others(const struct MpLedger *ledger, const struct mp_poison *report)
{
    const struct MpRecord *record =
        MpLedger_FindRecord(ledger, report->workspace, report->key);
    uint32_t open =
        MpLedger_CountUnanswered(ledger, (const uint8_t *)report->body_hash);
    bool is_self_open = record && record->state == MP_RECORD_OPEN;
    return open > is_self_open ? open - is_self_open : 0;
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

/* Returns whether report is of a crash that was counted before.  A restarted
 * target with the same name may crash again under the trial that was opened
 * since; that is a new crash. */
static bool
is_same_crash(const struct MpSuspect *suspect, const struct mp_poison *report,
              int64_t now_ms)
{
    bool is_trial = suspect->is_tried && suspect->open_id == report->open_id &&
                    strcmp(suspect->key, report->key) == 0 &&
                    strcmp(suspect->workspace, report->workspace) == 0;
    return suspect->crashes > 0 && !is_trial &&
           strcmp(suspect->last_target, report->target) == 0 &&
           now_ms - suspect->last_ms <= MP_SAME_CRASH_MS;
}

int
MpQuarantine_ReportCrash(struct MpQuarantine *this,
                         const struct MpLedger *ledger,
                         const struct mp_poison *report, int64_t now_ms,
                         struct mp_result *result)
{
    struct MpSuspect *suspect = MpQuarantine_Find(this, report->body_hash);
    if (!suspect) {
        suspect = MpQuarantine_Add(this, report->body_hash);
    }
    if (!is_same_crash(suspect, report, now_ms)) {
        g_free(suspect->last_target);
        suspect->last_target = g_strdup(report->target);
        set_record(suspect, report->workspace, report->key, report->open_id);
        suspect->is_tried = false;
        MpQuarantine_CountCrash(this, suspect, now_ms);
    }
    result->number = suspect->crashes;
    result->amount_mtok = count_others(ledger, report);
    return MP_OK;
}

/* Returns whether the suspect's record is still open and is not that of open.
 * While it is open, no other request with this body is tried. */
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

/* Until a request with this body is answered, its crashes and the requests
 * running now are limited to MP_POISON_CRASHES in sum: each running one may
 * crash its target. */
static bool
is_held_back(const struct MpLedger *ledger, const struct mp_open *open,
             uint32_t crashes)
{
    const struct MpRecord *record =
        MpLedger_FindRecord(ledger, open->workspace, open->key);
    if (record && record->state == MP_RECORD_OPEN) {
        return false; /* this request is one of those counted */
    }
    uint32_t running =
        MpLedger_CountUnanswered(ledger, (const uint8_t *)open->body_hash);
    return crashes + running >= MP_POISON_CRASHES;
}

int
MpQuarantine_CheckOpen(const struct MpQuarantine *this,
                       const struct MpLedger *ledger,
                       const struct mp_open *open)
{
    const struct MpSuspect *suspect = MpQuarantine_Find(this, open->body_hash);
    if (!suspect) {
        return is_held_back(ledger, open, 0) ? MP_ERROR_HELD_BACK : MP_OK;
    }
    if (is_stopped(suspect)) {
        return MP_ERROR_POISON;
    }
    bool is_held = is_being_tried(ledger, suspect, open) ||
                   is_held_back(ledger, open, suspect->crashes);
    return is_held ? MP_ERROR_HELD_BACK : MP_OK;
}

void
MpQuarantine_RecordOpen(struct MpQuarantine *this, const struct mp_open *open)
{
    struct MpSuspect *suspect = MpQuarantine_Find(this, open->body_hash);
    if (suspect) {
        set_record(suspect, open->workspace, open->key, open->open_id);
        suspect->is_tried = true;
    }
}

void
MpQuarantine_RecordAnswer(struct MpQuarantine *this,
                          const struct MpRecord *record,
                          const struct mp_settle *settle)
{
    struct MpSuspect *suspect =
        MpQuarantine_Find(this, (const char *)record->body_hash);
    if (suspect && !is_stopped(suspect) && suspect->is_tried &&
        suspect->open_id == settle->open_id &&
        strcmp(suspect->key, settle->key) == 0 &&
        strcmp(suspect->workspace, settle->workspace) == 0) {
        MpQuarantine_Remove(this, suspect);
    }
}

/* ---- requests on paths ---- */

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

static uint32_t
max_trials(const struct MpSuspect *suspect)
{
    return is_stopped(suspect) ? MP_STOPPED_TRIALS_MAX : MP_TRIALS_MAX;
}

/* A run may crash its target unnoticed after its caller has disconnected, so
 * the number of trials without a result is limited. */
static bool
is_trial_limit_reached(const struct MpSuspect *suspect, int64_t now_ms)
{
    int64_t pause_ms = MpQuarantine_IsPart(suspect->fingerprint)
                           ? MpQuarantine_PartPause(suspect)
                           : MP_TRIALS_PAUSE_MS;
    return suspect->trials >= max_trials(suspect) &&
           now_ms < suspect->until_ms + pause_ms;
}

static void
handle_crash(struct MpQuarantine *this, const struct mp_trial *trial,
             int64_t now_ms)
{
    struct MpSuspect *suspect = MpQuarantine_Find(this, trial->fingerprint);
    if (!suspect) {
        suspect = MpQuarantine_Add(this, trial->fingerprint);
    }
    bool is_first = suspect->crashes == 0;
    bool is_trial_run = !is_first && has_trial(suspect, trial);
    bool is_duplicate = is_trial_run && trial->attempt <= suspect->attempt;
    bool is_late = now_ms - suspect->last_ms > MP_SAME_CRASH_MS;
    /* After a partition an instance sends all its reports at once. */
    bool has_seen_more = trial->seen_crashes > suspect->crashes;
    if (is_duplicate ||
        !(is_first || is_trial_run || is_late || has_seen_more)) {
        return;
    }
    MpQuarantine_CountCrash(this, suspect, now_ms);
    suspect->crashes = MAX(suspect->crashes, trial->seen_crashes);
    if (is_trial_run || suspect->until_ms <= now_ms) {
        start_trial(suspect, trial, now_ms);
    }
}

static int
request_trial(struct MpQuarantine *this, const struct mp_trial *trial,
              int64_t now_ms)
{
    struct MpSuspect *suspect = MpQuarantine_Find(this, trial->fingerprint);
    if (!suspect || suspect->crashes == 0) {
        return MP_OK;
    }
    int code = is_stopped(suspect) ? MP_ERROR_POISON : MP_OK;
    if (MpQuarantine_IsPart(suspect->fingerprint)) {
        code = MpQuarantine_CheckPartTrial(suspect, trial, now_ms);
    }
    if (code != MP_OK) {
        if (MP_FAULT(MP_FAULT_REFUSED_TRIAL_COUNTED)) {
            suspect->trials++;
        }
        return code;
    }
    if (has_trial(suspect, trial)) {
        return MP_OK;
    }
    if (suspect->until_ms > now_ms && !MP_FAULT(MP_FAULT_CONCURRENT_TRIALS)) {
        return MP_ERROR_HELD_BACK;
    }
    if (is_trial_limit_reached(suspect, now_ms) &&
        !MP_FAULT(MP_FAULT_TRIALS_UNBOUNDED)) {
        return MP_ERROR_POISON;
    }
    if (suspect->trials >= max_trials(suspect)) {
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
    if (MpQuarantine_IsPart(trial->fingerprint) &&
        (trial->kind == MP_TRIAL_CRASH || trial->kind == MP_TRIAL_WAITED ||
         trial->kind == MP_TRIAL_VOUCH)) {
        MpQuarantine_ReportPart(this, trial, now_ms);
        suspect = MpQuarantine_Find(this, trial->fingerprint);
        result->number = suspect ? suspect->crashes : 0;
        return MP_OK;
    }
    switch (trial->kind) {
    case MP_TRIAL_CRASH:
        handle_crash(this, trial, now_ms);
        code = request_trial(this, trial, now_ms);
        break;
    case MP_TRIAL_REQUEST:
        code = request_trial(this, trial, now_ms);
        break;
    case MP_TRIAL_RELEASE:
        suspect = MpQuarantine_Find(this, trial->fingerprint);
        if (suspect && MP_FAULT(MP_FAULT_RELEASE_CLEARS_SUSPECT)) {
            MpQuarantine_Remove(this, suspect);
        }
        else if (suspect && has_trial(suspect, trial)) {
            suspect->until_ms = now_ms;
            /* Another part of the prompt may have held the request back. */
            bool is_unsent = MpQuarantine_IsPart(suspect->fingerprint) &&
                             trial->attempt == 0;
            suspect->trials -= is_unsent && suspect->trials > 0;
        }
        break;
    case MP_TRIAL_CLEAR:
        suspect = MpQuarantine_Find(this, trial->fingerprint);
        if (suspect && !MP_FAULT(MP_FAULT_SUSPECT_NOT_CLEARED)) {
            MpQuarantine_Remove(this, suspect);
        }
        break;
    case MP_TRIAL_WAITED:
    case MP_TRIAL_VOUCH:
        return MP_ERROR_INVALID; /* about parts only */
    }
    suspect = MpQuarantine_Find(this, trial->fingerprint);
    result->number = suspect ? suspect->crashes : 0;
    return code;
}

/* ---- lists and images ---- */

/* Returns whether requests with the suspect are refused, without a trial. */
static bool
is_refused(const struct MpSuspect *suspect)
{
    return is_stopped(suspect) && !MpQuarantine_IsPartAmbiguous(suspect);
}

GByteArray *
MpQuarantine_List(const struct MpQuarantine *this, bool is_stopped_wanted)
{
    GByteArray *list = g_byte_array_new();
    for (const GList *link = this->order.head; link; link = link->next) {
        const struct MpSuspect *suspect = link->data;
        if (suspect->crashes > 0 && is_refused(suspect) == is_stopped_wanted) {
            g_byte_array_append(list, suspect->fingerprint, MP_HASH_BYTES);
        }
    }
    return list;
}

GByteArray *
MpQuarantine_ListGroups(const struct MpQuarantine *this)
{
    GByteArray *list = g_byte_array_new();
    for (const GList *link = this->order.head; link; link = link->next) {
        const struct MpSuspect *suspect = link->data;
        if (suspect->crashes > 0 && !is_refused(suspect)) {
            g_byte_array_append(list, (const guint8 *)&suspect->target_hash,
                                sizeof(suspect->target_hash));
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
    for (const GList *link = this->order.head; link; link = link->next) {
        const struct MpSuspect *suspect = link->data;
        *next = (struct mp_suspect_image){.crashes = suspect->crashes,
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
        if (MpQuarantine_IsPart(suspect->fingerprint)) {
            next->attempt = suspect->target_hash;
            next->open_id = (uint64_t)suspect->before_ms;
            next->trials =
                suspect->crashes > 0 ? suspect->trials : suspect->waited;
        }
        next++;
    }
}

void
MpQuarantine_Load(struct MpQuarantine *this,
                  const struct mp_machine_image *image)
{
    u_int count = MP_FAULT(MP_FAULT_SNAPSHOT_OMITS_SUSPECTS)
                      ? 0
                      : image->suspects.suspects_len;
    for (u_int i = 0; i < count; i++) {
        const struct mp_suspect_image *from = &image->suspects.suspects_val[i];
        struct MpSuspect *suspect = MpQuarantine_Add(this, from->fingerprint);
        g_free(suspect->last_target);
        suspect->last_target = g_strdup(from->last_target);
        set_record(suspect, from->workspace, from->key, from->open_id);
        suspect->is_tried = from->is_tried;
        suspect->crashes = from->crashes;
        suspect->last_ms = from->last_ms;
        suspect->run = from->run;
        suspect->attempt = from->attempt;
        suspect->trials = from->trials;
        suspect->until_ms = from->until_ms;
        if (MpQuarantine_IsPart(from->fingerprint)) {
            suspect->target_hash = from->attempt;
            suspect->before_ms = (int64_t)from->open_id;
            suspect->waited = from->crashes > 0 ? 0 : from->trials;
            suspect->trials = from->crashes > 0 ? from->trials : 0;
        }
    }
    this->version = image->quarantine_version;
}
