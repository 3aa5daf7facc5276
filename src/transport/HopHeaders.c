#include "transport/HopHeaders.h"

#include "transport/HttpServer.h"

#include <glib.h>
#include <string.h>

static const char *const hop_headers[] = {"connection",
                                          "keep-alive",
                                          "proxy-connection",
                                          "te",
                                          "trailer",
                                          "upgrade",
                                          "expect",
                                          "content-length",
                                          "transfer-encoding",
                                          "host",
                                          NULL};

static bool
is_hop_header(const char *name, size_t size)
{
    for (size_t i = 0; hop_headers[i]; i++) {
        if (strlen(hop_headers[i]) == size &&
            g_ascii_strncasecmp(hop_headers[i], name, size) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns whether the Connection header lists the header.  It is looked
 * through for each header, so that its length counts. */
static bool
is_connection_option(const char *connection, const char *name, size_t size)
{
    const char *at = connection;
    while (at) {
        const char *comma = strchr(at, ',');
        const char *end = comma ? comma : at + strlen(at);
        while (at < end && g_ascii_isspace(at[0])) {
            at++;
        }
        while (end > at && g_ascii_isspace(end[-1])) {
            end--;
        }
        if ((size_t)(end - at) == size &&
            g_ascii_strncasecmp(at, name, size) == 0) {
            return true;
        }
        at = comma ? comma + 1 : NULL;
    }
    return false;
}

bool
MpHopHeaders_Contains(const char *connection, const char *name, size_t size)
{
    return is_hop_header(name, size) ||
           is_connection_option(connection, name, size);
}

void
MpHopHeaders_Forward(h2o_req_t *req, const char *connection, h2o_iovec_t name,
                     h2o_iovec_t value)
{
    if (MpHopHeaders_Contains(connection, name.base, name.len)) {
        return;
    }
    h2o_iovec_t name_copy = h2o_strdup(&req->pool, name.base, name.len);
    h2o_iovec_t value_copy = h2o_strdup(&req->pool, value.base, value.len);
    h2o_strtolower(name_copy.base, name_copy.len);
    if (MpHttp_Equals(name_copy, MP_RUN_HEADER) ||
        MpHttp_Equals(name_copy, MP_REPLAYED_HEADER)) {
        return;
    }
    if (MpHttp_Equals(name_copy, "date")) {
        /* h2o has added its own. */
        h2o_set_header(&req->pool, &req->res.headers, H2O_TOKEN_DATE,
                       value_copy.base, value_copy.len, 1);
        return;
    }
    h2o_add_header_by_str(&req->pool, &req->res.headers, name_copy.base,
                          name_copy.len, 1, NULL, value_copy.base,
                          value_copy.len);
}
