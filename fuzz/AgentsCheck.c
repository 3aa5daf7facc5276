#include "Agents.h"

#include "state/Error.h"
#include "state/LedgerInternal.h"

#include <inttypes.h>
#include <string.h>

/* The oracle of Agents: a state against what was acknowledged. */

static void
check_topups(const struct Agents *this, const struct MpMachine *machine)
{
    int64_t granted[AGENT_WORKSPACES] = {0};
    for (uint32_t i = 0; i < this->topups; i++) {
        char name[64];
        snprintf(name, sizeof(name), "%s\ni%u", Agents_WorkspaceOfKey(i), i);
        bool is_in = g_hash_table_contains(machine->topups, name);
        if (this->topup_acked[i] && !is_in) {
            Fuzz_Fail("acknowledged top-up %u is lost", i);
        }
        granted[i % AGENT_WORKSPACES] += is_in ? this->topup_mtok[i] : 0;
    }
    for (uint32_t i = 0; i < AGENT_WORKSPACES; i++) {
        const struct MpAccount *account =
            MpLedger_FindAccount(&machine->ledger, Agents_WorkspaceNames[i]);
        int64_t budget = account ? account->granted_mtok : 0;
        if (budget != granted[i]) {
            Fuzz_Fail("budget of w%u is %" PRId64 ", granted %" PRId64, i,
                      budget, granted[i]);
        }
    }
}

/* The accounts must be the sums of their records. */
static void
check_sums(const struct MpMachine *machine)
{
    GHashTableIter iter;
    void *value;
    int64_t spent[AGENT_WORKSPACES] = {0};
    int64_t reserved[AGENT_WORKSPACES] = {0};
    g_hash_table_iter_init(&iter, machine->ledger.records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct MpRecord *record = value;
        int workspace = record->account->workspace[1] - '0';
        spent[workspace] += record->spent_mtok;
        reserved[workspace] += record->reserve_mtok;
    }
    for (uint32_t i = 0; i < AGENT_WORKSPACES; i++) {
        const struct MpAccount *account =
            MpLedger_FindAccount(&machine->ledger, Agents_WorkspaceNames[i]);
        if (!account) {
            continue;
        }
        if (account->settled_mtok != spent[i]) {
            Fuzz_Fail("w%u settled %" PRId64 ", its records %" PRId64, i,
                      account->settled_mtok, spent[i]);
        }
        if (account->reserved_mtok != reserved[i]) {
            Fuzz_Fail("w%u reserved %" PRId64 ", its records %" PRId64, i,
                      account->reserved_mtok, reserved[i]);
        }
        if (account->settled_mtok + account->reserved_mtok +
                account->leased_mtok >
            account->granted_mtok) {
            Fuzz_Fail("w%u is overspent", i);
        }
    }
}

static void
check_bills(const struct Agents *this, const struct MpMachine *machine)
{
    for (uint32_t i = 0; i < AGENT_KEYS; i++) {
        const struct KeyOracle *key = &this->keys[i];
        char name[32];
        snprintf(name, sizeof(name), "k%u", i);
        const struct MpRecord *record = MpLedger_FindRecord(
            &machine->ledger, Agents_WorkspaceOfKey(i), name);
        bool is_closed =
            record &&
            (record->state == MP_RECORD_DONE ||
             (key->is_unknown && record->state == MP_RECORD_UNKNOWN));
        if (key->is_billed &&
            (!is_closed || record->spent_mtok != key->billed_mtok)) {
            Fuzz_Fail("the bill of key %u is lost or changed", i);
        }
        if (record && key->not_run_id == record->open_id &&
            record->state == MP_RECORD_OPEN) {
            Fuzz_Fail("key %u is open again under an id given up", i);
        }
    }
}

/* What a router holds is set aside for it. */
static void
check_leases(const struct Agents *this, const struct MpMachine *machine)
{
    for (uint32_t i = 0; i < AGENT_ROUTERS; i++) {
        const struct Router *router = &this->routers[i];
        for (uint32_t w = 0; router->boot > 0 && w < AGENT_WORKSPACES; w++) {
            const struct MpAccount *account = MpLedger_FindAccount(
                &machine->ledger, Agents_WorkspaceNames[w]);
            const struct MpLease *lease =
                account ? MpLedger_FindLease(account, Agents_RouterNames[i],
                                             router->boot, MP_LEASE_NATIVE)
                        : NULL;
            int64_t aside_mtok = lease ? lease->amount_mtok : 0;
            if (router->held_mtok[w] > aside_mtok) {
                Fuzz_Fail("router %u holds %" PRId64 " of w%u, %" PRId64
                          " are set aside",
                          i, router->held_mtok[w], w, aside_mtok);
            }
        }
    }
}

void
Agents_Check(const struct Agents *this, const struct MpMachine *machine)
{
    if (MpLedger_Check(&machine->ledger) != MP_OK) {
        Fuzz_Fail("an account breaks its invariant");
    }
    check_topups(this, machine);
    check_sums(machine);
    check_bills(this, machine);
    check_leases(this, machine);
    if (machine->document_version < this->version_most) {
        Fuzz_Fail("document version fell from %" PRIu64 " to %" PRIu64,
                  this->version_most, machine->document_version);
    }
}

void
Agents_CheckEnd(const struct Agents *this, const struct MpMachine *machine)
{
    Agents_Check(this, machine);
    for (uint32_t i = 0; i < AGENT_WORKSPACES; i++) {
        const struct MpAccount *account =
            MpLedger_FindAccount(&machine->ledger, Agents_WorkspaceNames[i]);
        if (account &&
            (account->reserved_mtok != 0 || account->leased_mtok != 0)) {
            Fuzz_Fail("w%u still has %" PRId64 " reserved, %" PRId64 " leased",
                      i, account->reserved_mtok, account->leased_mtok);
        }
    }
}
