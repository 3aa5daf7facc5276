#include "transport/ReferralServer.h"

#include "state/Error.h"
#include "transport/ConnLimit.h"

/* Returns the address of the leader.  Before the first sync reply, it returns
 * that of the replica that last called, which may know the leader, or "". */
static char *
leader_hint(const struct MpReferralServer *this)
{
    const struct MpControlClient *control = this->control;
    const struct MpRpcClient *client =
        g_ptr_array_index(control->clients, control->leader);
    if (control->synced_ms > 0) {
        return client->address;
    }
    return this->replica_address ? this->replica_address : (char *)"";
}

static void
refer_proposal(struct MpReferralServer *this, struct MpRpcCall *call)
{
    struct mp_propose_reply reply = {.code = MP_ERROR_NOT_LEADER,
                                     .leader = leader_hint(this)};
    MpRpcCall_Reply(call, &reply);
}

static void
refer_sync(struct MpReferralServer *this, struct MpRpcCall *call)
{
    struct mp_sync_reply reply = {.code = MP_ERROR_NOT_LEADER,
                                  .leader = leader_hint(this)};
    MpRpcCall_Reply(call, &reply);
}

static void
refer_read(struct MpReferralServer *this, struct MpRpcCall *call)
{
    struct mp_read_reply reply = {.code = MP_ERROR_NOT_LEADER,
                                  .leader = leader_hint(this),
                                  .author = (char *)"",
                                  .document = (char *)""};
    MpRpcCall_Reply(call, &reply);
}

static void
refuse_fetch(struct MpRpcCall *call)
{
    struct mp_fetch_reply reply = {.code = MP_ERROR_NOT_FOUND};
    MpRpcCall_Reply(call, &reply);
}

/* Replies to an identify call.  replica_id stays 0, as this instance is not a
 * replica.  The members in the reply are only addresses to call; they have no
 * ids, as only replicas know the membership. */
static void
identify(struct MpReferralServer *this, struct MpRpcCall *call)
{
    const struct mp_identify *other = call->argument;
    struct MpControlClient *control = this->control;
    struct mp_member list[MP_MEMBERS_MAX];
    struct mp_identify_reply reply = {.instance = control->settings->instance,
                                      .formed = control->synced_ms > 0};
    if (other->replica_id != 0) {
        MpControlClient_AddReplica(control, other->address);
        g_free(this->replica_address);
        this->replica_address = g_strdup(other->address);
    }
    guint count = MIN(control->clients->len, MP_MEMBERS_MAX);
    for (guint i = 0; i < count; i++) {
        const struct MpRpcClient *client =
            g_ptr_array_index(control->clients, i);
        list[i] = (struct mp_member){.instance = (char *)"",
                                     .address = client->address};
    }
    reply.members.list.list_val = list;
    reply.members.list.list_len = count;
    MpRpcCall_Reply(call, &reply);
}

static void
serve_call(void *owner, struct MpRpcCall *call)
{
    struct MpReferralServer *this = owner;
    switch (call->procedure) {
    case MP_PROC_PROPOSE:
        refer_proposal(this, call);
        break;
    case MP_PROC_SYNC:
        refer_sync(this, call);
        break;
    case MP_PROC_READ:
        refer_read(this, call);
        break;
    case MP_PROC_FETCH:
        refuse_fetch(call);
        break;
    case MP_PROC_IDENTIFY:
        identify(this, call);
        break;
    default:
        MpRpcCall_Reply(call, NULL);
        break;
    }
}

static const struct MpRpcServerClass server_class = {.call = serve_call};

int
MpReferralServer_Start(struct MpReferralServer *this, struct MpLoop *loop,
                       const char *address, struct MpControlClient *control)
{
    this->control = control;
    return MpRpcServer_Init(&this->server, &server_class, this, loop, address,
                            control->fleet_key,
                            MpConnLimit_ForOthers(control->settings));
}
