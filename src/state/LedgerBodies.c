#include "state/Ledger.h"

#include "state/BodyHash.h"
#include "state/LedgerInternal.h"

#include <string.h>

/* Counts of open and answered records per body hash; see Ledger.h. */

GHashTable *
MpLedger_NewBodies(void)
{
    return g_hash_table_new_full(MpBodyHash_Hash, MpBodyHash_Equal, NULL,
                                 g_free);
}

static void
remove_if_zero(struct MpLedger *this, struct MpBodyCounts *counts)
{
    if (counts->open == 0 && counts->answered == 0) {
        g_hash_table_remove(this->bodies, counts->body_hash);
    }
}

void
MpLedger_CountBody(struct MpLedger *this, const struct MpRecord *record,
                   bool is_added)
{
    bool is_open = record->state == MP_RECORD_OPEN;
    if (!is_open && record->state != MP_RECORD_DONE) {
        return;
    }
    struct MpBodyCounts *counts =
        g_hash_table_lookup(this->bodies, record->body_hash);
    if (!counts) {
        counts = g_new0(struct MpBodyCounts, 1);
        memcpy(counts->body_hash, record->body_hash, MP_HASH_BYTES);
        g_hash_table_insert(this->bodies, counts->body_hash, counts);
    }
    uint32_t *count = is_open ? &counts->open : &counts->answered;
    *count += is_added ? 1 : -1;
    remove_if_zero(this, counts);
}

uint32_t
MpLedger_CountUnanswered(const struct MpLedger *this, const uint8_t *body_hash)
{
    const struct MpBodyCounts *counts =
        g_hash_table_lookup(this->bodies, body_hash);
    return counts && counts->answered == 0 ? counts->open : 0;
}
