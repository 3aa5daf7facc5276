#include "transport/GatewaySuspect.h"

#include "transport/Log.h"

#include <inttypes.h>

/* A look at the target of an attempt that broke off. */
struct look {
    char *id;
    char *same;
    char *target;
    int64_t sent_ms;
};

static void
look_free(struct look *this)
{
    g_free(this->id);
    g_free(this->same);
    g_free(this->target);
    g_free(this);
}

static const char *
sign_name(enum MpTargetSign sign)
{
    static const char *const names[] = {[MP_TARGET_LISTENS] = "listens",
                                        [MP_TARGET_ENDED] = "ended",
                                        [MP_TARGET_MUTE] = "mute"};
    return names[sign];
}

static void
on_seen(void *owner, enum MpTargetSign sign)
{
    struct look *this = owner;
    MpLog_Event(sign == MP_TARGET_ENDED ? LOG_WARNING : LOG_INFO,
                "target-looked",
                "id=%s same=%s target=%s sign=%s sent_ms_ago=%" PRId64,
                this->id, this->same, this->target, sign_name(sign),
                MpLoop_Now() - this->sent_ms);
    look_free(this);
}

void
MpGatewaySuspect_Broken(struct MpGatewayCall *call)
{
    struct look *look = g_new(struct look, 1);
    *look = (struct look){.id = g_strdup(call->id ? call->id : "-"),
                          .same = g_strdup(call->same),
                          .target = g_strdup(call->target->incarnation),
                          .sent_ms = call->sent_ms};
    MpTargetPlace_Look(call->target->connections, on_seen, look);
}
