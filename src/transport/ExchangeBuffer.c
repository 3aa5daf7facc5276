#include "transport/Exchange.h"

#include "transport/Log.h"

/* Plain responses, which are kept until their bill is durable. */

/* Returns the exchange whose attempt brings the largest response, with the one
 * that is to be kept for this exchange, or NULL; *sum is that of all. */
static struct MpExchange *
find_largest(const struct MpExchange *this, size_t size, size_t *sum)
{
    struct MpExchange *largest = NULL;
    size_t most = 0;
    *sum = 0;
    for (GList *link = this->router->exchanges.head; link; link = link->next) {
        struct MpExchange *other = link->data;
        size_t kept = other->response->len + (other == this ? size : 0);
        *sum += kept + other->unsent->len + other->sending->len;
        if (other->upstream && !other->is_stream && kept > most) {
            most = kept;
            largest = other;
        }
    }
    return largest;
}

static void
log_dropped(const struct MpExchange *this, size_t sum)
{
    MpLog_Event(LOG_WARNING, "response-dropped",
                "id=%s target=%s bytes=%u kept_bytes=%zu", this->request_id,
                this->target->name, this->response->len, sum);
}

void
MpExchange_DropResponse(struct MpExchange *this)
{
    /* An array keeps its memory when its size is set. */
    g_byte_array_unref(this->response);
    this->response = g_byte_array_new();
    MpExchange_CountMemory(this);
}

void
MpExchange_CountMemory(struct MpExchange *this)
{
    int64_t unsent_bytes = (int64_t)this->unsent->len + this->sending->len;
    int64_t bytes = this->parsed_bytes + this->response->len + unsent_bytes;
    if (bytes != this->memory.held_bytes) {
        this->memory.use =
            unsent_bytes > 0 ? MP_MEMORY_SENDING : MP_MEMORY_RUNNING;
        MpMemoryAccount_Set(&this->router->memory, &this->memory, bytes,
                            MpLoop_Now());
    }
}

/* Returns whether the account has room for so much more of a response. */
static bool
has_room(const struct MpExchange *this, size_t size)
{
    return MpMemoryAccount_Fits(&this->router->memory, &this->memory,
                                this->memory.held_bytes + (int64_t)size);
}

bool
MpExchange_KeepResponse(struct MpExchange *this, const char *data, size_t size)
{
    size_t length = this->response->len + size;
    size_t sum;
    if (length > MP_PLAIN_RESPONSE_MAX_BYTES) {
        return false;
    }
    while (length > MP_PLAIN_RESPONSE_SMALL_BYTES) {
        struct MpExchange *largest = find_largest(this, size, &sum);
        if (sum <= MP_PLAIN_RESPONSES_MAX_BYTES && has_room(this, size)) {
            break;
        }
        if (!largest) {
            return false;
        }
        log_dropped(largest, sum);
        if (largest == this) {
            return false;
        }
        MpExchange_FailAttempt(largest);
    }
    g_byte_array_append(this->response, (const guint8 *)data, (guint)size);
    MpExchange_CountMemory(this);
    return true;
}
