#include "transport/BodyLength.h"

#include "transport/HttpServer.h"
#include "transport/Log.h"

bool
MpBodyLength_HasNoBody(bool is_head, int status)
{
    return is_head || status == 204 || status == 304;
}

void
MpBodyLength_Start(struct MpBodyLength *this, h2o_req_t *req,
                   h2o_generator_t *generator, int status, size_t size)
{
    bool is_head = MpHttp_Equals(req->input.method, "HEAD");
    *this = (struct MpBodyLength){.announced = size,
                                  .has_no_body =
                                      MpBodyLength_HasNoBody(is_head, status)};
    req->res.reason = "Answer";
    /* RFC 9110, 8.6: no Content-Length with status 204. */
    req->res.content_length = status == 204 ? SIZE_MAX : size;
    if (MpHttp_EndsWithConnection(req) && !this->has_no_body) {
        req->http1_is_persistent = 0;
    }
    /* h2o encodes chunks for status 200 only and ends other bodies of unknown
     * length with the connection, so that one that is cut looks complete.  It
     * writes the status with the first data. */
    req->res.status = this->has_no_body ? status : 200;
    h2o_start_response(req, generator);
    req->res.status = status;
}

static void
log_wrong_length(const struct MpBodyLength *this, const char *id, size_t more)
{
    MpLog_Event(LOG_WARNING, "response-length-wrong",
                "id=%s announced=%zu written=%zu more=%zu", id ? id : "-",
                this->announced, this->written, more);
}

bool
MpBodyLength_Add(struct MpBodyLength *this, const char *id, size_t size)
{
    if (size > this->announced - this->written) {
        log_wrong_length(this, id, size);
        return false;
    }
    this->written += size;
    return true;
}

bool
MpBodyLength_CheckEnd(const struct MpBodyLength *this, const char *id)
{
    bool is_complete = this->has_no_body || this->announced == SIZE_MAX ||
                       this->written == this->announced;
    if (!is_complete) {
        log_wrong_length(this, id, 0);
    }
    return is_complete;
}
