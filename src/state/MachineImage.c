#include "state/MachineInternal.h"

#include "state/Codec.h"
#include "state/Error.h"
#include "state/Fault.h"

#include <string.h>

/* Saving and loading of snapshots of the machine; see Machine.h. */

/* Kinds of parts that may follow the image. */
#define PARTS_MAX 2

static void
save_incarnations(const struct MpMachine *this, struct mp_machine_image *image)
{
    GHashTableIter iter;
    void *value;
    guint count = g_hash_table_size(this->incarnations);
    struct mp_incarnation_image *next =
        g_new0(struct mp_incarnation_image, count);
    image->incarnations.incarnations_len = count;
    image->incarnations.incarnations_val = next;
    g_hash_table_iter_init(&iter, this->incarnations);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct MpIncarnation *incarnation = value;
        *next++ =
            (struct mp_incarnation_image){.instance = incarnation->instance,
                                          .boot = incarnation->boot,
                                          .nonce = incarnation->nonce,
                                          .fenced = incarnation->is_fenced,
                                          .address = incarnation->address,
                                          .zone = incarnation->zone};
    }
}

static struct mp_marker_image *
save_dedup(GHashTable *table, const GQueue *order)
{
    struct mp_marker_image *images =
        g_new0(struct mp_marker_image, order->length);
    struct mp_marker_image *next = images;
    for (const GList *link = order->head; link; link = link->next) {
        const struct MpDedupEntry *dedup =
            g_hash_table_lookup(table, link->data);
        *next++ = (struct mp_marker_image){.id = dedup->id,
                                           .scope = dedup->scope,
                                           .code = dedup->code,
                                           .number = dedup->number,
                                           .amount_mtok = dedup->amount_mtok};
    }
    return images;
}

struct mp_history *
MpMachine_CopyHistory(const struct MpMachine *this)
{
    struct mp_history *list = g_new0(struct mp_history, this->history.length);
    struct mp_history *next = list;
    for (const GList *link = this->history.head; link; link = link->next) {
        *next++ = *(const struct mp_history *)link->data;
    }
    return list;
}

/* Appends a part, if it has a state, and takes its bytes. */
static void
add_part(struct mp_image_parts *parts, enum mp_part_kind kind, GBytes *bytes)
{
    gsize size;
    if (!bytes) {
        return;
    }
    const void *data = g_bytes_get_data(bytes, &size);
    struct mp_image_part part = {.kind = kind};
    part.data.data_val = g_memdup2(data, size);
    part.data.data_len = (u_int)size;
    parts->list.list_val[parts->list.list_len++] = part;
    g_bytes_unref(bytes);
}

/* Returns image, followed by the parts that have a state. */
static GBytes *
encode(const struct MpMachine *this, const struct mp_machine_image *image)
{
    gsize size;
    struct mp_image_part list[PARTS_MAX];
    struct mp_image_parts parts = {.list = {.list_val = list}};
    GBytes *bytes = MpCodec_Encode(MP_XDR(mp_machine_image), image);
    if (!bytes) {
        return NULL;
    }
    add_part(&parts, MP_PART_ZONES,
             MP_FAULT(MP_FAULT_SNAPSHOT_OMITS_ZONES)
                 ? NULL
                 : MpZoneDrains_Save(&this->zones));
    add_part(&parts, MP_PART_BASES, MpVersions_SaveBases(&this->versions));
    if (parts.list.list_len == 0) {
        return bytes;
    }
    GBytes *rest = MpCodec_Encode(MP_XDR(mp_image_parts), &parts);
    const void *data = g_bytes_get_data(rest, &size);
    GByteArray *all = g_bytes_unref_to_array(bytes);
    g_byte_array_append(all, data, (guint)size);
    g_bytes_unref(rest);
    for (u_int i = 0; i < parts.list.list_len; i++) {
        g_free(list[i].data.data_val);
    }
    return g_byte_array_free_to_bytes(all);
}

GBytes *
MpMachine_Save(const struct MpMachine *this)
{
    struct mp_machine_image image = {
        .applied = this->applied,
        .now_ms = this->now_ms,
        .retention_ms = this->ledger.retention_ms,
        .document_version = this->document_version,
        .document_author = this->document_author,
        .document = this->document,
    };
    MpLedger_Save(&this->ledger, &image);
    if (MP_FAULT(MP_FAULT_SNAPSHOT_OMITS_CLOSED)) {
        image.closed_records.closed_records_len = 0;
    }
    save_incarnations(this, &image);
    MpQuarantine_Save(&this->quarantine, &image);
    MpVersions_Save(&this->versions, &image);
    image.topups.topups_len = this->topup_order.length;
    image.topups.topups_val = save_dedup(this->topups, &this->topup_order);
    image.submissions.submissions_len = this->submission_order.length;
    image.submissions.submissions_val =
        save_dedup(this->submissions, &this->submission_order);
    image.history.history_val = MpMachine_CopyHistory(this);
    image.history.history_len = this->history.length;
    GBytes *bytes = encode(this, &image);
    g_free(image.history.history_val);
    MpLedger_FreeImage(&image);
    g_free(image.incarnations.incarnations_val);
    g_free(image.suspects.suspects_val);
    MpVersions_FreeImage(&image);
    g_free(image.topups.topups_val);
    g_free(image.submissions.submissions_val);
    return bytes;
}

static void
load_dedup(GHashTable *table, GQueue *order,
           const struct mp_marker_image *images, u_int count)
{
    for (u_int i = 0; i < count; i++) {
        struct MpDedupEntry *dedup = MpMachine_AddDedupEntry(
            table, order, images[i].scope, images[i].id);
        dedup->code = images[i].code;
        dedup->number = images[i].number;
        dedup->amount_mtok = images[i].amount_mtok;
    }
}

static void
load_incarnations(struct MpMachine *this, const struct mp_machine_image *image)
{
    for (u_int i = 0; i < image->incarnations.incarnations_len; i++) {
        const struct mp_incarnation_image *from =
            &image->incarnations.incarnations_val[i];
        struct MpIncarnation *incarnation = g_new0(struct MpIncarnation, 1);
        incarnation->instance = g_strdup(from->instance);
        incarnation->boot = from->boot;
        incarnation->nonce = from->nonce;
        incarnation->is_fenced = from->fenced;
        incarnation->address = g_strdup(from->address);
        incarnation->zone = g_strdup(from->zone);
        g_hash_table_insert(this->incarnations, incarnation->instance,
                            incarnation);
    }
}

static int
load_image(struct MpMachine *this, const struct mp_machine_image *image)
{
    g_free(this->document);
    g_free(this->document_author);
    this->document = g_strdup(image->document);
    this->document_author = g_strdup(image->document_author);
    this->document_version = image->document_version;
    this->applied = image->applied;
    this->now_ms = image->now_ms;
    this->ledger.retention_ms = image->retention_ms;
    load_incarnations(this, image);
    MpQuarantine_Load(&this->quarantine, image);
    MpVersions_Load(&this->versions, image);
    load_dedup(this->topups, &this->topup_order, image->topups.topups_val,
               image->topups.topups_len);
    load_dedup(this->submissions, &this->submission_order,
               image->submissions.submissions_val,
               image->submissions.submissions_len);
    for (u_int i = 0; i < image->history.history_len; i++) {
        const struct mp_history *from = &image->history.history_val[i];
        MpMachine_AddHistory(this, from->document_version, from->at_ms,
                             from->author, from->submission);
    }
    return MpLedger_Load(&this->ledger, image);
}

/* Loads a part.  One of a later build is refused, as its state would be
 * lost. */
static int
load_part(struct MpMachine *this, const struct mp_image_part *part)
{
    switch (part->kind) {
    case MP_PART_ZONES:
        return MpZoneDrains_Load(&this->zones, part->data.data_val,
                                 part->data.data_len);
    case MP_PART_BASES:
        return MpVersions_LoadBases(&this->versions, part->data.data_val,
                                    part->data.data_len);
    default:
        return MP_ERROR_CORRUPT;
    }
}

/* Loads the parts that follow the image in a snapshot. */
static int
load_parts(struct MpMachine *this, const char *data, size_t size)
{
    struct mp_image_parts parts;
    if (size == 0) {
        return MP_OK;
    }
    int code = MpCodec_Decode(MP_XDR(mp_image_parts), &parts, data, size,
                              sizeof(parts));
    for (u_int i = 0; code == MP_OK && i < parts.list.list_len; i++) {
        code = load_part(this, &parts.list.list_val[i]);
    }
    MpCodec_Free(MP_XDR(mp_image_parts), &parts);
    return code;
}

int
MpMachine_Load(struct MpMachine *this, const void *data, size_t size)
{
    struct mp_machine_image image;
    size_t used;
    int code = MpCodec_DecodePrefix(MP_XDR(mp_machine_image), &image, data,
                                    size, sizeof(image), &used);
    if (code != MP_OK) {
        return code;
    }
    struct MpMachine fresh;
    MpMachine_Init(&fresh);
    code = load_image(&fresh, &image);
    if (code == MP_OK) {
        code = load_parts(&fresh, (const char *)data + used, size - used);
    }
    MpCodec_Free(MP_XDR(mp_machine_image), &image);
    if (code != MP_OK) {
        MpMachine_Done(&fresh);
        return code;
    }
    MpMachine_Done(this);
    *this = fresh;
    return MP_OK;
}
