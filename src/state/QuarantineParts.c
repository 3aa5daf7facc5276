#include "state/Error.h"
#include "state/Fault.h"
#include "state/QuarantineInternal.h"

#include <string.h>

/* Parts of prompts in the quarantine; see Quarantine.h. */

/* Bytes of a fingerprint after the hash of the part's id. */
static const char part_tag[MP_HASH_BYTES - sizeof(uint64_t)] = "promptp";

void
MpQuarantine_SetPartFingerprint(uint64_t part_id, void *fingerprint)
{
    memcpy(fingerprint, &part_id, sizeof(part_id));
    memcpy((char *)fingerprint + sizeof(part_id), part_tag, sizeof(part_tag));
}

bool
MpQuarantine_IsPart(const void *fingerprint)
{
    return memcmp((const char *)fingerprint + sizeof(uint64_t), part_tag,
                  sizeof(part_tag)) == 0;
}

int64_t
MpQuarantine_PartPause(const struct MpSuspect *suspect)
{
    int64_t pause_ms = MP_PART_PAUSE_MS;
    for (uint32_t i = MP_POISON_CRASHES;
         i < suspect->crashes && pause_ms < MP_POISON_MS; i++) {
        pause_ms *= MP_PART_PAUSE_FACTOR;
    }
    return pause_ms;
}

/* Returns whether a part may be the cause of another one's last crash: it was
 * at the same target, and at half as many crashes or more.  A part that most
 * requests have is at more crashes than the cause itself. */
static bool
may_be_cause(const struct MpSuspect *other, const struct MpSuspect *suspect)
{
    return other->crashes > 0 && other->crashes * 2 >= suspect->crashes &&
           other->target_hash == suspect->target_hash &&
           MpQuarantine_IsPart(other->fingerprint);
}

static bool
is_in(const char *parts, size_t bytes, const uint8_t *fingerprint)
{
    for (size_t at = 0; at + MP_HASH_BYTES <= bytes; at += MP_HASH_BYTES) {
        if (memcmp(parts + at, fingerprint, MP_HASH_BYTES) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the number of suspect parts that may be the cause of a part's last
 * crash, with itself, among the given parts (NULL: of all).  The list is in
 * the order of the last crashes. */
static uint32_t
count_group(const struct MpSuspect *suspect, const char *parts, size_t bytes)
{
    uint32_t count = 0;
    const GList *link = &suspect->link;
    while (link->prev && suspect->last_ms - MP_SAME_CRASH_MS <=
                             ((struct MpSuspect *)link->prev->data)->last_ms) {
        link = link->prev;
    }
    for (; link; link = link->next) {
        const struct MpSuspect *other = link->data;
        if (other->last_ms > suspect->last_ms + MP_SAME_CRASH_MS) {
            break;
        }
        count += may_be_cause(other, suspect) &&
                 (!parts || is_in(parts, bytes, other->fingerprint));
    }
    return count;
}

bool
MpQuarantine_IsPartAmbiguous(const struct MpSuspect *suspect)
{
    return MpQuarantine_IsPart(suspect->fingerprint) &&
           count_group(suspect, NULL, 0) > 1;
}

int
MpQuarantine_CheckPartTrial(const struct MpSuspect *suspect,
                            const struct mp_trial *trial, int64_t now_ms)
{
    uint32_t group = count_group(suspect, NULL, 0);
    if (trial->attempt < group) {
        return MP_OK;
    }
    if (suspect->crashes >= MP_POISON_CRASHES) {
        int64_t idle_ms = now_ms - suspect->last_ms;
        return idle_ms < MpQuarantine_PartPause(suspect) ? MP_ERROR_POISON
                                                         : MP_OK;
    }
    bool is_waiting = now_ms - suspect->last_ms < MP_GROUP_WAIT_MS;
    return group > 1 && is_waiting ? MP_ERROR_HELD_BACK : MP_OK;
}

int
MpQuarantine_HandlePartTrial(struct MpQuarantine *this,
                             const struct mp_part_trial *part_trial,
                             int64_t now_ms, struct mp_result *result)
{
    struct mp_trial trial = part_trial->trial;
    const struct MpSuspect *suspect =
        MpQuarantine_Find(this, trial.fingerprint);
    if (!MpQuarantine_IsPart(trial.fingerprint) ||
        trial.kind != MP_TRIAL_REQUEST) {
        return MP_ERROR_INVALID;
    }
    if (suspect) {
        trial.attempt = count_group(suspect, part_trial->parts.parts_val,
                                    part_trial->parts.parts_len);
    }
    return MpQuarantine_HandleTrial(this, &trial, now_ms, result);
}

/* Returns whether the crash was reported before, by the instance of another
 * request with this part that ran on the same target. */
static bool
is_same_crash(const struct MpSuspect *suspect, const struct mp_trial *trial,
              int64_t crashed_ms)
{
    return suspect->target_hash == trial->attempt &&
           ABS(crashed_ms - suspect->last_ms) <= MP_SAME_CRASH_MS;
}

/* Sets the times of the last two crashes.  A partitioned instance reports a
 * crash late. */
static void
set_crash_times(struct MpQuarantine *this, struct MpSuspect *suspect,
                int64_t crashed_ms)
{
    int64_t last_ms = suspect->last_ms;
    suspect->before_ms =
        last_ms < crashed_ms ? last_ms : MAX(suspect->before_ms, crashed_ms);
    MpQuarantine_SetLastCrash(this, suspect, MAX(last_ms, crashed_ms));
}

static void
count_part_crash(struct MpQuarantine *this, struct MpSuspect *suspect,
                 const struct mp_trial *trial)
{
    suspect->crashes = MAX(suspect->crashes + 1, trial->seen_crashes);
    suspect->waited = 0;
    if (suspect->run == trial->run) {
        suspect->run = 0; /* its trial has ended */
        suspect->until_ms = 0;
    }
    this->version++;
}

/* Of a suspect, only the trial counts, as others may have waited.  Returns
 * whether the report has an effect. */
static bool
handle_waited(struct MpQuarantine *this, struct MpSuspect *suspect,
              const struct mp_trial *trial, int64_t crashed_ms)
{
    if (suspect->crashes > 0) {
        bool is_trial =
            suspect->run == trial->run && suspect->until_ms > crashed_ms;
        if (is_trial) {
            count_part_crash(this, suspect, trial);
        }
        return is_trial;
    }
    if (crashed_ms - suspect->last_ms > MP_WAITED_WINDOW_MS) {
        suspect->waited = 0;
    }
    if (++suspect->waited >= MP_WAITED_CRASHES) {
        count_part_crash(this, suspect, trial);
    }
    return true;
}

/* An answer from before the last crash clears a part, but not one from before
 * the crash before it: a part may crash targets from some moment on. */
static void
handle_vouch(struct MpQuarantine *this, struct MpSuspect *suspect,
             int64_t answered_ms)
{
    if (suspect->crashes == 0 || (answered_ms <= suspect->before_ms &&
                                  !MP_FAULT(MP_FAULT_OLD_ANSWER_VOUCHES))) {
        return;
    }
    suspect->crashes = 0;
    suspect->trials = 0;
    suspect->until_ms = 0;
    this->version++;
}

void
MpQuarantine_ReportPart(struct MpQuarantine *this,
                        const struct mp_trial *trial, int64_t now_ms)
{
    struct MpSuspect *suspect = MpQuarantine_Find(this, trial->fingerprint);
    int64_t at_ms = now_ms - (int64_t)trial->timeout_ms;
    if (trial->kind == MP_TRIAL_VOUCH) {
        if (suspect) {
            handle_vouch(this, suspect, at_ms);
        }
        return;
    }
    if (!suspect) {
        suspect = MpQuarantine_Add(this, trial->fingerprint);
    }
    else if (is_same_crash(suspect, trial, at_ms) &&
             trial->seen_crashes <= suspect->crashes) {
        return;
    }
    if (trial->kind == MP_TRIAL_CRASH) {
        count_part_crash(this, suspect, trial);
    }
    else if (!handle_waited(this, suspect, trial, at_ms)) {
        return;
    }
    set_crash_times(this, suspect, at_ms);
    suspect->target_hash = trial->attempt;
}
