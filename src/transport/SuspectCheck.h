#ifndef MP_TRANSPORT_SUSPECT_CHECK_H
#define MP_TRANSPORT_SUSPECT_CHECK_H

#include "transport/GatewayCall.h"

/*
 * SuspectCheck - a probe of a target, or a query or report to the quorum, for
 * one request or for a part of its prompt.  The call may end before the reply
 * arrives.  GatewaySuspect decides what follows from it.
 */

struct MpSuspectCheck {
    struct MpGateway *gateway;
    struct MpGatewayCall *call; /* waits for the reply; may be NULL */
    struct MpTimer timer;       /* limits how long the call waits */
    char *id;
    char *fingerprint_hex;
    char *target; /* incarnation; NULL before an attempt */
    int64_t sent_ms;
    int64_t event_ms; /* of a report on a part: time of the crash or answer */
    unsigned key;     /* index of the fingerprint */
    struct mp_trial trial;
    GByteArray *parts; /* fingerprints of the request's parts, for the trial
                        * of a part, and for a probe unless the attempt had
                        * content; else NULL */
    bool has_begun;    /* of a probe: the response's head had arrived */
};

/* Creates a check about fingerprint key of a call (see CallFingerprint); no
 * call waits for it yet. */
struct MpSuspectCheck *MpSuspectCheck_New(struct MpGatewayCall *call,
                                          enum mp_trial_kind kind,
                                          unsigned key);

/* Creates a report on a part for which no call waits. */
struct MpSuspectCheck *MpSuspectCheck_NewPartReport(struct MpGateway *gateway,
                                                    const uint8_t *fingerprint,
                                                    enum mp_trial_kind kind);

void MpSuspectCheck_Delete(struct MpSuspectCheck *this);

/* Makes the call wait for the check, in the stage MP_CALL_TRIAL. */
void MpSuspectCheck_Attach(struct MpSuspectCheck *this,
                           struct MpGatewayCall *call);

/* Detaches and returns the call, or NULL; the probe or query goes on. */
struct MpGatewayCall *MpSuspectCheck_Detach(struct MpSuspectCheck *this);

/* Sends the trial to the quorum.  deadline_ms: of the monotonic clock, 0:
 * none. Errors: those of MpControlClient_Propose. */
void MpSuspectCheck_Propose(struct MpSuspectCheck *this, int64_t deadline_ms,
                            MpProposeDone done);

/* Logs the decision on the check.  by: who took it; crashes: number that the
 * quorum has counted. */
void MpSuspectCheck_Log(const struct MpSuspectCheck *this, const char *by,
                        int code, uint64_t crashes);

struct MpSuspects *MpSuspectCheck_Suspects(const struct MpSuspectCheck *this);

const uint8_t *MpSuspectCheck_Fingerprint(const struct MpSuspectCheck *this);

/* Returns the number of attempts of a call that may have run, the current one
 * included. */
uint32_t MpSuspectCheck_CountRuns(const struct MpGatewayCall *call);

#endif
