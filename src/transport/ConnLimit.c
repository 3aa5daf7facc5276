#include "transport/ConnLimit.h"

#include "transport/HttpServer.h"
#include "transport/Log.h"

#include <inttypes.h>
#include <sys/resource.h>
#include <sys/socket.h>

/* Descriptors for listeners, files and control connections. */
#define OWN_DESCRIPTORS 64
#define LIMIT_MIN 16
/* Part of the limit for callers that each other listener has. */
#define OTHER_PARTS 4
/* Part of the limit that is kept free: above the rest of it connections are
 * closed. */
#define HEADROOM_PARTS 8
/* Part of the connections that is closed at once, since each time all are
 * looked at. */
#define BATCH_PARTS 16

/* Returns the number of descriptors that the process may open. */
static int64_t
count_descriptors(const struct MpSettings *settings)
{
    int64_t known = settings->machine.descriptors_max;
    struct rlimit limit;
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return known;
    }
    int64_t most = (int64_t)MIN(limit.rlim_cur, (rlim_t)INT32_MAX);
    return known > 0 ? MIN(known, most) : most;
}

uint32_t
MpConnLimit_ForCallers(const struct MpSettings *settings)
{
    if (settings->connections_max > 0) {
        return (uint32_t)settings->connections_max;
    }
    return (uint32_t)MAX((count_descriptors(settings) - OWN_DESCRIPTORS) / 2,
                         LIMIT_MIN);
}

uint32_t
MpConnLimit_ForOthers(const struct MpSettings *settings)
{
    return MAX(MpConnLimit_ForCallers(settings) / OTHER_PARTS, LIMIT_MIN);
}

/* A connection that may be closed. */
struct candidate {
    struct MpHttpConn *conn;
    bool has_served;
    int64_t progress_ms;
};

static gint
compare_candidates(gconstpointer a, gconstpointer b)
{
    const struct candidate *x = a;
    const struct candidate *y = b;
    if (x->has_served != y->has_served) {
        return x->has_served ? 1 : -1;
    }
    return x->progress_ms < y->progress_ms ? -1
                                           : x->progress_ms > y->progress_ms;
}

static GArray *
list_candidates(const struct MpHttpServer *server)
{
    GArray *out = g_array_new(false, false, sizeof(struct candidate));
    for (GList *link = server->conns.head; link; link = link->next) {
        struct MpHttpConn *conn = link->data;
        if (conn->request || conn->closing_ms > 0) {
            continue;
        }
        struct candidate candidate = {
            .conn = conn,
            .has_served = conn->requests > 0 && !MpHttpConn_IsReading(conn),
            .progress_ms = MAX(conn->idle_since_ms, conn->memory.progress_ms)};
        g_array_append_val(out, candidate);
    }
    g_array_sort(out, compare_candidates);
    return out;
}

void
MpConnLimit_CloseSome(struct MpHttpServer *server)
{
    GArray *candidates = list_candidates(server);
    guint count = MIN(server->conns.length / BATCH_PARTS + 1, candidates->len);
    for (guint i = 0; i < count; i++) {
        const struct candidate *candidate =
            &g_array_index(candidates, struct candidate, i);
        if (i == 0) {
            MpLog_Event(LOG_NOTICE, "connections-over-limit",
                        "open=%u limit=%u closed=%u oldest_ms=%" PRId64
                        " has_served=%d",
                        server->conns.length, server->conns_max, count,
                        MpLoop_Now() - candidate->progress_ms,
                        candidate->has_served);
        }
        MpHttpConn_CloseForRoom(candidate->conn);
    }
    g_array_unref(candidates);
}

/* Ends connections whose clients have not closed their side yet.  h2o frees
 * them in the next round. */
static void
cut_closing(struct MpHttpServer *server)
{
    for (GList *link = server->conns.head; link; link = link->next) {
        const struct MpHttpConn *conn = link->data;
        if (conn->closing_ms > 0) {
            shutdown(h2o_socket_get_fd(conn->socket), SHUT_RDWR);
        }
    }
}

bool
MpConnLimit_MakeRoom(struct MpHttpServer *server)
{
    uint32_t max = server->conns_max;
    if (max == 0) {
        return true;
    }
    if (server->conns.length - server->conns_closing >
        max - max / HEADROOM_PARTS) {
        MpConnLimit_CloseSome(server);
    }
    if (server->conns.length < max) {
        return true;
    }
    cut_closing(server);
    return false;
}
