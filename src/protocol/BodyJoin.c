#include "protocol/BodyJoin.h"

void
MpBodyJoin_Flush(struct MpBodyJoin *this)
{
    GByteArray *joined = g_steal_pointer(&this->joined);
    const char *piece = joined ? (const char *)joined->data : this->piece;
    size_t size = joined ? joined->len : this->piece_size;
    this->piece = NULL;
    if (piece) {
        this->body(this->owner, piece, size);
    }
    if (joined) {
        g_byte_array_unref(joined);
    }
}

void
MpBodyJoin_Add(struct MpBodyJoin *this, const char *data, size_t size)
{
    size_t kept = this->joined ? this->joined->len : this->piece_size;
    if (this->piece && kept + size > MP_BODY_JOIN_MAX_BYTES) {
        MpBodyJoin_Flush(this);
    }
    if (!this->piece) {
        this->piece = data;
        this->piece_size = size;
        return;
    }
    if (!this->joined) {
        this->joined = g_byte_array_new();
        g_byte_array_append(this->joined, (const guint8 *)this->piece,
                            (guint)this->piece_size);
    }
    g_byte_array_append(this->joined, (const guint8 *)data, (guint)size);
}
