#include "transport/RequestBody.h"

#include "transport/HttpConn.h"
#include "transport/Loop.h"

struct MpRequestBody *
MpRequestBody_New(const h2o_req_t *req, struct MpMemoryAccount *account)
{
    struct MpRequestBody *this = g_new0(struct MpRequestBody, 1);
    this->refs = 1;
    this->data = req->entity.base;
    this->size = req->entity.len;
    this->socket = req->conn->callbacks->get_socket(req->conn);
    this->account = account;
    return this;
}

struct MpRequestBody *
MpRequestBody_Ref(struct MpRequestBody *this)
{
    this->refs++;
    return this;
}

void
MpRequestBody_Unref(struct MpRequestBody *this)
{
    if (--this->refs > 0) {
        return;
    }
    if (this->buffer) {
        h2o_buffer_dispose(&this->buffer);
        MpMemoryAccount_Set(this->account, &this->memory, 0, MpLoop_Now());
    }
    g_free(this);
}

void
MpRequestBody_Leave(struct MpRequestBody *this)
{
    if (this->refs > 1 && this->socket) {
        this->buffer = this->socket->input;
        h2o_buffer_init(&this->socket->input, &h2o_socket_buffer_prototype);
        this->memory.use = MP_MEMORY_RUNNING;
        /* The buffer may take more than the body in it. */
        const struct MpHttpConn *conn = this->socket->on_close.data;
        MpMemoryAccount_Set(this->account, &this->memory,
                            MAX(conn->memory.held_bytes, (int64_t)this->size),
                            MpLoop_Now());
    }
    this->socket = NULL;
    MpRequestBody_Unref(this);
}
