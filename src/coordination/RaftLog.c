#include "coordination/RaftInternal.h"

#include "state/Codec.h"
#include "state/Error.h"

#include <string.h>

/* The in-memory log, and the membership given by its newest membership entry
 * or by the snapshot. */

uint64_t
MpRaftLog_Term(const struct MpRaft *this, uint64_t index)
{
    if (index + 1 == this->first_index) {
        return this->prev_term;
    }
    const struct MpLogEntry *entry = MpRaftLog_At(this, index);
    return entry ? entry->term : 0;
}

struct MpLogEntry *
MpRaftLog_At(const struct MpRaft *this, uint64_t index)
{
    if (index < this->first_index || index > MpRaft_LastIndex(this)) {
        return NULL;
    }
    return &g_array_index(this->log, struct MpLogEntry,
                          index - this->first_index);
}

void
MpRaftLog_Append(struct MpRaft *this, struct MpLogEntry entry)
{
    g_array_append_val(this->log, entry);
    if (entry.kind == MP_ENTRY_MEMBERS) {
        MpRaftLog_UpdateMembers(this);
    }
}

void
MpRaftLog_Truncate(struct MpRaft *this, uint64_t last_index)
{
    if (last_index >= MpRaft_LastIndex(this)) {
        return;
    }
    g_array_set_size(this->log, (guint)(last_index + 1 - this->first_index));
    this->durable_index = MIN(this->durable_index, last_index);
    this->submitted_index = MIN(this->submitted_index, last_index);
    for (GList *link = this->writes.head; link; link = link->next) {
        struct pending_write *pending = link->data;
        pending->last_index = MIN(pending->last_index, last_index);
    }
    if (this->members_index > last_index) {
        MpRaftLog_UpdateMembers(this);
    }
}

void
MpRaftLog_CopyMembers(struct mp_members *to, const struct mp_members *from)
{
    struct mp_members old = *to;
    GBytes *bytes = MpCodec_Encode(MP_XDR(mp_members), from);
    gsize size;
    const void *data = g_bytes_get_data(bytes, &size);
    MpCodec_Decode(MP_XDR(mp_members), to, data, size, sizeof(*to));
    g_bytes_unref(bytes);
    MpRaftLog_FreeMembers(&old);
}

void
MpRaftLog_FreeMembers(struct mp_members *members)
{
    MpCodec_Free(MP_XDR(mp_members), members);
    *members = (struct mp_members){.list = {.list_len = 0}};
}

static void
update_progress(struct MpRaft *this)
{
    GArray *old = this->progress;
    this->progress = g_array_new(false, true, sizeof(struct MpProgress));
    for (u_int i = 0; i < this->members.list.list_len; i++) {
        uint64_t id = this->members.list.list_val[i].id;
        if (id == this->id) {
            continue;
        }
        struct MpProgress peer = {.id = id,
                                  .next = MpRaft_LastIndex(this) + 1,
                                  .acked_ms = this->now_ms};
        for (guint j = 0; j < old->len; j++) {
            struct MpProgress *known =
                &g_array_index(old, struct MpProgress, j);
            if (known->id == id) {
                peer = *known;
            }
        }
        g_array_append_val(this->progress, peer);
    }
    g_array_unref(old);
}

void
MpRaftLog_UpdateMembers(struct MpRaft *this)
{
    struct mp_members found = {.list = {.list_len = 0}};
    bool is_found = false;
    this->members_index = this->snapshot_index;
    for (uint64_t i = MpRaft_LastIndex(this);
         i >= this->first_index && i > this->snapshot_index; i--) {
        const struct MpLogEntry *entry = MpRaftLog_At(this, i);
        if (entry->kind != MP_ENTRY_MEMBERS) {
            continue;
        }
        gsize size;
        const void *data = g_bytes_get_data(entry->payload, &size);
        if (MpCodec_Decode(MP_XDR(mp_members), &found, data, size,
                           sizeof(found)) == MP_OK) {
            this->members_index = i;
            is_found = true;
            break;
        }
    }
    MpRaftLog_CopyMembers(&this->members,
                          is_found ? &found : &this->snapshot_members);
    MpRaftLog_FreeMembers(&found);
    update_progress(this);
}
