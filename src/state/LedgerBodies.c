#include "state/Ledger.h"

#include "state/BodyHash.h"
#include "state/LedgerInternal.h"

#include <string.h>

/* Records counted by the hash of their body; see Ledger.h. */

GHashTable *
MpLedger_NewBodies(void)
{
    return g_hash_table_new_full(MpBodyHash_Hash, MpBodyHash_Equal, NULL,
                                 g_free);
}

static void
body_use_drop_if_empty(struct MpLedger *this, struct MpBodyUse *use)
{
    if (use->open == 0 && use->done == 0) {
        g_hash_table_remove(this->bodies, use->body_hash);
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
    struct MpBodyUse *use =
        g_hash_table_lookup(this->bodies, record->body_hash);
    if (!use) {
        use = g_new0(struct MpBodyUse, 1);
        memcpy(use->body_hash, record->body_hash, MP_HASH_BYTES);
        g_hash_table_insert(this->bodies, use->body_hash, use);
    }
    uint32_t *count = is_open ? &use->open : &use->done;
    *count += is_added ? 1 : -1;
    body_use_drop_if_empty(this, use);
}

uint32_t
MpLedger_Untried(const struct MpLedger *this, const uint8_t *body_hash)
{
    const struct MpBodyUse *use = g_hash_table_lookup(this->bodies, body_hash);
    return use && use->done == 0 ? use->open : 0;
}
