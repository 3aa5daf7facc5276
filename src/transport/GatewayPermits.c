#include "transport/GatewayPermits.h"

#include "coordination/Lenders.h"
#include "state/Error.h"
#include "transport/GatewayAttempt.h"
#include "transport/GatewayLoans.h"
#include "transport/Log.h"
#include "transport/RpcLink.h"

#include <inttypes.h>
#include <string.h>

/* A keeper that has not answered after this time is not waited for, ms. */
#define ASK_TIMEOUT_MS 80
/* Times after which a keeper is asked again that is being connected to, that
 * has another list of keepers, and that failed, ms. */
#define CONNECTING_MS 30
#define NOT_KEEPER_MS 200
#define FAILED_MS 500
/* Time after which keepers are looked for again while none is known, ms. */
#define NO_KEEPER_MS 100

struct MpPermitRequest {
    struct MpGateway *gateway;
    struct MpGatewayCall *call; /* NULL: it has ended */
    char *incarnation;
    char *keepers[MP_KEEPERS_MAX];
    uint32_t keeper_count;
    uint32_t first; /* index of the keeper to ask first */
    uint32_t asked; /* keepers that have answered or were passed over */
    struct MpColdConf cold; /* is_set: the target is cold */
    int64_t ahead_ms;
    int64_t began_ms;
    int64_t asked_ms;
    bool is_asking; /* a keeper has not answered yet */
    struct MpTimer timer;
};

static void ask_next(struct MpPermitRequest *request);

/* Returns the index of the keeper to ask next, or being asked. */
static uint32_t
next_keeper(const struct MpPermitRequest *request)
{
    return request->keeper_count > 0
               ? (request->first + request->asked) % request->keeper_count
               : 0;
}

static void
request_free(struct MpPermitRequest *request)
{
    MpLoop_ClearTimer(&request->timer);
    for (uint32_t i = 0; i < request->keeper_count; i++) {
        g_free(request->keepers[i]);
    }
    g_free(request->incarnation);
    g_free(request);
}

/* ---- limits on the wire ---- */

static struct mp_limit
limit_to_wire(const char *incarnation, const struct MpTargetLimit *limit,
              int64_t now_ms)
{
    return (struct mp_limit){
        .incarnation = (char *)incarnation,
        .rate_mrps = limit->rate_mrps,
        .sent_age_ms = (u_int)CLAMP(now_ms - limit->sent_ms, 0, UINT32_MAX),
        .received_age_ms =
            (u_int)CLAMP(now_ms - limit->received_ms, 0, UINT32_MAX)};
}

static bool
is_valid(const struct mp_limit *limit)
{
    return limit->rate_mrps == MP_LIMIT_NONE ||
           (limit->rate_mrps >= 0 && limit->rate_mrps <= MP_LIMIT_MAX_MRPS);
}

/* Applies what another instance knew at at_ms. */
static void
note_limit(struct MpPoolTarget *target, const struct mp_limit *limit,
           int64_t at_ms, const char *from)
{
    if (MpTargetLimit_Note(&target->limit, limit->rate_mrps,
                           at_ms - limit->sent_age_ms,
                           at_ms - limit->received_age_ms)) {
        MpLog_Event(LOG_INFO, "target-limit",
                    "target=%s pool=%s limit_mrps=%" PRId64
                    " age_ms=%u from=%s",
                    target->incarnation, target->pool,
                    (int64_t)limit->rate_mrps, limit->sent_age_ms, from);
    }
}

struct mp_limit *
MpGatewayPermits_ListSeen(struct MpGateway *gateway, u_int *count)
{
    GArray *list = g_array_new(false, false, sizeof(struct mp_limit));
    int64_t now_ms = MpLoop_Now();
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, gateway->roster.targets);
    while (g_hash_table_iter_next(&iter, NULL, &value) &&
           list->len < MP_TARGETS_MAX) {
        struct MpPoolTarget *target = value;
        if (target->is_limit_seen &&
            strlen(target->incarnation) <= MP_NAME_MAX) {
            struct mp_limit limit =
                limit_to_wire(target->incarnation, &target->limit, now_ms);
            g_array_append_val(list, limit);
        }
        target->is_limit_seen = false;
    }
    *count = list->len;
    return (struct mp_limit *)g_array_free(list, list->len == 0);
}

bool
MpGatewayPermits_Apply(struct MpGateway *gateway,
                       const struct mp_limit *limits, u_int count)
{
    int64_t now_ms = MpLoop_Now();
    bool has_all = true;
    for (u_int i = 0; i < count; i++) {
        struct MpPoolTarget *target =
            MpRoster_Find(&gateway->roster, limits[i].incarnation);
        has_all = has_all && target;
        if (target && is_valid(&limits[i])) {
            note_limit(target, &limits[i], now_ms, "leader");
        }
    }
    return has_all;
}

/* ---- asking ---- */

/* Ends the wait of the call and has it pick a target again. */
static void
finish(struct MpPermitRequest *request, bool is_granted)
{
    struct MpGatewayCall *call = request->call;
    if (call) {
        call->permit = NULL;
        call->stage = MP_CALL_RUNNING;
        call->permit_tries++;
        call->permit_wait_ms += MpLoop_Now() - request->began_ms;
        g_free(call->permitted);
        call->permitted = is_granted ? g_strdup(request->incarnation) : NULL;
    }
    request_free(request);
    if (call) {
        MpGatewayAttempt_Start(call);
    }
}

static void
on_slot(struct MpTimer *timer)
{
    finish(timer->data, true);
}

static void
give_up(struct MpPermitRequest *request, struct MpPoolTarget *target)
{
    int64_t now_ms = MpLoop_Now();
    int64_t again_ms = now_ms + NO_KEEPER_MS;
    for (uint32_t i = 0; i < request->keeper_count; i++) {
        again_ms = i == 0 ? target->keeper_ms[0]
                          : MIN(again_ms, target->keeper_ms[i]);
    }
    target->permit_ms = again_ms;
    MpLog_Event(LOG_INFO, "permit-denied",
                "id=%s target=%s limit_mrps=%" PRId64 " limit_age_ms=%" PRId64
                " cold_mrps=%" PRId64 " keepers=%u again_ms=%" PRId64,
                request->call->id ? request->call->id : "-",
                target->incarnation, target->limit.rate_mrps,
                now_ms - target->limit.received_ms,
                request->cold.is_set ? request->cold.rate_mrps : -1,
                request->keeper_count, again_ms - now_ms);
    finish(request, false);
}

/* Handles the answer of the keeper that was asked, at which the limit was
 * last known to be as it says when it was asked. */
static void
handle_answer(struct MpPermitRequest *request, bool is_granted,
              int64_t wait_ms)
{
    struct MpPoolTarget *target =
        MpRoster_Find(&request->gateway->roster, request->incarnation);
    int64_t now_ms = MpLoop_Now();
    if (!target) {
        finish(request, false);
        return;
    }
    if (!is_granted) {
        target->keeper_ms[next_keeper(request)] = now_ms + wait_ms;
        request->asked++;
        ask_next(request);
        return;
    }
    target->permit_ms = now_ms;
    if (wait_ms == 0) {
        finish(request, true);
        return;
    }
    MpLoop_SetTimer(request->gateway->loop, &request->timer, wait_ms, on_slot,
                    request);
}

static void
on_reply(void *data, int code, const void *result)
{
    struct MpPermitRequest *request = data;
    const struct mp_permit_reply *reply = result;
    request->is_asking = false;
    if (!request->call) {
        request_free(request);
        return;
    }
    struct MpPoolTarget *target =
        MpRoster_Find(&request->gateway->roster, request->incarnation);
    if (code != MP_OK) {
        MpLog_Event(
            LOG_INFO, "permit-unanswered",
            "id=%s target=%s keeper=%s error=%s",
            request->call->id ? request->call->id : "-", request->incarnation,
            request->keepers[next_keeper(request)], MpError_Name(code));
        handle_answer(request, false, FAILED_MS);
        return;
    }
    if (target && reply->code != MP_ERROR_NOT_FOUND &&
        is_valid(&reply->limit)) {
        note_limit(target, &reply->limit, request->asked_ms, "keeper");
    }
    /* An older build grants what a cold target must not get. */
    bool is_kept = reply->code != MP_ERROR_NOT_FOUND &&
                   (!request->cold.is_set || reply->spaces_cold);
    handle_answer(request, is_kept && reply->code == MP_OK,
                  is_kept ? reply->wait_ms : NOT_KEEPER_MS);
}

static void
ask_locally(struct MpPermitRequest *request, struct MpPoolTarget *target,
            uint32_t shares, int32_t share)
{
    struct MpPermitQuery query = {.incarnation = request->incarnation,
                                  .limit = target->limit,
                                  .cold = request->cold,
                                  .shares = shares,
                                  .share = share,
                                  .ahead_ms = request->ahead_ms};
    struct MpPermitAnswer answer;
    MpPermits_Ask(&request->gateway->permits, &query, MpLoop_Now(), &answer);
    handle_answer(request, answer.is_granted, answer.wait_ms);
}

static void
ask_next(struct MpPermitRequest *request)
{
    struct MpGateway *gateway = request->gateway;
    struct MpPoolTarget *target =
        MpRoster_Find(&gateway->roster, request->incarnation);
    const char *own_address = gateway->settings->listen.peers;
    int64_t now_ms = MpLoop_Now();
    if (!target) {
        finish(request, false);
        return;
    }
    for (; request->asked < request->keeper_count; request->asked++) {
        uint32_t index = next_keeper(request);
        const char *address = request->keepers[index];
        if (now_ms < target->keeper_ms[index]) {
            continue;
        }
        if (g_strcmp0(address, own_address) == 0) {
            ask_locally(request, target, request->keeper_count,
                        (int32_t)index);
            return;
        }
        struct MpRpcClient *client =
            MpGatewayLoans_GetClient(gateway->loans, address);
        if (!MpRpcClient_IsReady(client)) {
            target->keeper_ms[index] = now_ms + CONNECTING_MS;
            continue;
        }
        struct mp_permit permit = {
            .limit =
                limit_to_wire(request->incarnation, &target->limit, now_ms),
            .ahead_ms = (u_int)request->ahead_ms,
            .is_cold = request->cold.is_set,
            .cold_rate_mrps = request->cold.rate_mrps,
            .cold_most = request->cold.most};
        request->is_asking = true;
        request->asked_ms = now_ms;
        MpRpcClient_Call(client, MP_PROC_PERMIT, &permit, ASK_TIMEOUT_MS,
                         on_reply, request);
        return;
    }
    give_up(request, target);
}

void
MpGatewayPermits_Request(struct MpGatewayCall *call,
                         const struct MpPicked *picked)
{
    const struct MpPoolTarget *target = picked->target;
    bool is_waited_for = !picked->cold.is_set || !picked->has_warm;
    struct MpGateway *gateway = call->gateway;
    struct MpPermitRequest *request = g_new0(struct MpPermitRequest, 1);
    GPtrArray *keepers = g_ptr_array_new();
    guint near = MpGatewayLoans_ListKeepers(gateway->loans,
                                            target->incarnation, keepers);
    *request = (struct MpPermitRequest){
        .gateway = gateway,
        .call = call,
        .incarnation = g_strdup(target->incarnation),
        .keeper_count = keepers->len,
        .first = near,
        .cold = picked->cold,
        .ahead_ms = is_waited_for
                        ? MpPermits_Ahead(call->path->latency_target_ms,
                                          MpGatewayCall_Rank(call))
                        : 0,
        .began_ms = MpLoop_Now()};
    for (guint i = 0; i < keepers->len; i++) {
        request->keepers[i] = g_strdup(g_ptr_array_index(keepers, i));
    }
    g_ptr_array_unref(keepers);
    call->permit = request;
    call->stage = MP_CALL_PERMIT;
    if (request->keeper_count == 0 && !gateway->settings->listen.peers) {
        ask_locally(request, picked->target, gateway->control->instances, -1);
        return;
    }
    ask_next(request);
}

void
MpGatewayPermits_Cancel(struct MpGatewayCall *call)
{
    struct MpPermitRequest *request = call->permit;
    g_clear_pointer(&call->permitted, g_free);
    if (!request) {
        return;
    }
    call->permit = NULL;
    request->call = NULL;
    if (!request->is_asking) {
        request_free(request);
    }
}

/* ---- handing out ---- */

/* Returns the number of this instance among the keepers of a target, -1 if it
 * is none of them. */
static int32_t
own_share(struct MpGateway *gateway, const char *incarnation, uint32_t *shares)
{
    GPtrArray *keepers = g_ptr_array_new();
    int32_t share = -1;
    MpGatewayLoans_ListKeepers(gateway->loans, incarnation, keepers);
    for (guint i = 0; i < keepers->len; i++) {
        if (strcmp(g_ptr_array_index(keepers, i),
                   gateway->settings->listen.peers) == 0) {
            share = (int32_t)i;
        }
    }
    *shares = keepers->len;
    g_ptr_array_unref(keepers);
    return share;
}

/* Returns the rules for a target by what the asking instance says and, if it
 * is cold by what is known here, the document here. */
static struct MpColdConf
cold_conf(const struct MpGateway *gateway, const struct MpPoolTarget *target,
          const struct mp_permit *permit, int64_t now_ms)
{
    const struct MpDocument *document = gateway->control->document;
    const struct MpPoolConf *pool =
        document && target ? g_hash_table_lookup(document->pools, target->pool)
                           : NULL;
    struct MpColdConf asked = {.is_set = permit->is_cold,
                               .rate_mrps = permit->cold_rate_mrps,
                               .most = permit->cold_most};
    if (!pool) {
        return asked;
    }
    struct MpColdConf known = MpGateway_ColdConf(gateway, pool);
    bool is_cold =
        permit->is_cold ||
        MpRoster_ColdUntil(&gateway->roster, target, &known) > now_ms;
    return is_cold ? MpColdConf_Merge(&asked, &known) : asked;
}

void
MpGatewayPermits_Serve(struct MpGateway *gateway, struct MpRpcCall *call)
{
    const struct mp_permit *permit = call->argument;
    int64_t now_ms = MpLoop_Now();
    uint32_t shares;
    int32_t share = own_share(gateway, permit->limit.incarnation, &shares);
    struct mp_permit_reply reply = {.code = MP_ERROR_NOT_FOUND,
                                    .limit = permit->limit,
                                    .spaces_cold = true};
    if (!is_valid(&permit->limit) || share < 0) {
        MpRpcCall_Reply(call, &reply);
        return;
    }
    struct MpPoolTarget *target =
        MpRoster_Find(&gateway->roster, permit->limit.incarnation);
    struct MpPermitQuery query = {
        .incarnation = permit->limit.incarnation,
        .limit = {.rate_mrps = permit->limit.rate_mrps,
                  .sent_ms = now_ms - permit->limit.sent_age_ms,
                  .received_ms = now_ms - permit->limit.received_age_ms},
        .cold = cold_conf(gateway, target, permit, now_ms),
        .shares = shares,
        .share = share,
        .ahead_ms = permit->ahead_ms};
    if (target) {
        note_limit(target, &permit->limit, now_ms, "router");
        query.limit = target->limit;
    }
    struct MpPermitAnswer answer;
    MpPermits_Ask(&gateway->permits, &query, now_ms, &answer);
    reply = (struct mp_permit_reply){
        .code = answer.is_granted ? MP_OK : MP_ERROR_LIMIT,
        .wait_ms = (u_int)answer.wait_ms,
        .limit = limit_to_wire(query.incarnation, &answer.limit, now_ms),
        .spaces_cold = true};
    MpRpcCall_Reply(call, &reply);
}
