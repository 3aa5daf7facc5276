#include "commands/HttpCall.h"

#include "state/Error.h"
#include "transport/Loop.h"
#include "transport/Upstream.h"

#include <string.h>

#define TIMEOUT_MS 10000

/* The event loop of all calls of this process.  The first call initializes it;
 * it is reused because h2o can't free a loop with sockets. */
static struct MpLoop call_loop;
static bool is_loop_ready;
static struct MpUpstream *call_upstream;
static int call_code;

/* Ends the call before its response is complete. */
static void
give_up(int code)
{
    MpUpstream_Cancel(call_upstream);
    call_code = code;
    MpLoop_Stop(&call_loop);
}

static void
on_head(void *owner, const struct MpTargetHead *head)
{
    struct MpHttpCall *this = owner;
    size_t size;
    const char *etag = MpTargetHead_Find(head, "etag", &size);
    this->status = head->status;
    if (etag) {
        g_free(this->etag);
        this->etag = g_strndup(etag, size);
    }
}

static void
on_body(void *owner, const char *data, size_t size)
{
    struct MpHttpCall *this = owner;
    if (size > MP_HTTP_CALL_MAX_BYTES - this->response->len) {
        give_up(MP_ERROR_CORRUPT);
        return;
    }
    g_string_append_len(this->response, data, (gssize)size);
}

static void
on_end(void *owner, enum MpUpstreamResult result)
{
    (void)owner;
    call_code = result == MP_UPSTREAM_COMPLETE ? MP_OK : MP_ERROR_CLOSED;
    MpLoop_Stop(&call_loop);
}

static const struct MpUpstreamClass call_class = {
    .head = on_head, .body = on_body, .end = on_end};

static void
on_timeout(struct MpTimer *timer)
{
    (void)timer;
    give_up(MP_ERROR_TIMEOUT);
}

static GByteArray *
build_request(const struct MpHttpCall *this)
{
    size_t size = this->body ? strlen(this->body) : 0;
    char *head = g_strdup_printf("%s %s HTTP/1.1\r\nhost: %s\r\n"
                                 "connection: close\r\n"
                                 "content-length: %zu\r\n%s\r\n",
                                 this->method, this->path, this->address, size,
                                 this->headers);
    GByteArray *request = g_byte_array_new();
    g_byte_array_append(request, (const guint8 *)head, (guint)strlen(head));
    if (size > 0) {
        g_byte_array_append(request, (const guint8 *)this->body, (guint)size);
    }
    g_free(head);
    return request;
}

int
MpHttpCall_Perform(struct MpHttpCall *this)
{
    struct sockaddr_in parsed;
    struct MpTimer timer = {.position = NULL};
    this->response = g_string_new(NULL);
    if (!MpLoop_ParseAddress(this->address, &parsed)) {
        return MP_ERROR_INVALID;
    }
    if (!is_loop_ready) {
        is_loop_ready = true;
        MpLoop_Init(&call_loop);
    }
    call_loop.is_stopped = false;
    MpLoop_SetTimer(&call_loop, &timer, TIMEOUT_MS, on_timeout, NULL);
    call_upstream = MpUpstream_Start(&call_loop, NULL, NULL, &call_class, this,
                                     this->address, this->method,
                                     build_request(this), NULL);
    MpLoop_Run(&call_loop);
    MpLoop_ClearTimer(&timer);
    return call_code;
}

void
MpHttpCall_Done(struct MpHttpCall *this)
{
    if (this->response) {
        g_string_free(this->response, TRUE);
    }
    g_free(this->etag);
}
