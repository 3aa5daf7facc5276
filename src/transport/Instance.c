#include "transport/Instance.h"

#include "state/Error.h"
#include "transport/ControlClient.h"
#include "transport/Log.h"
#include "transport/OperatorServer.h"
#include "transport/ReferralServer.h"
#include "transport/Replica.h"
#include "transport/Router.h"
#include "transport/Secret.h"

#include <openssl/evp.h>
#include <openssl/rand.h>
#include <signal.h>
#include <string.h>
#include <sys/stat.h>

#define SIGNAL_CHECK_MS 50
/* Interval of checks whether the settings file has changed, ms. */
#define SETTINGS_CHECK_MS 1000
/* Time that a control instance keeps running after it has drained, ms: other
 * instances can finish their last calls, and a new leader can be elected. */
#define CONTROL_LINGER_MS 300
/* The same for other instances, ms: requests on their way over connections
 * that are open still get an answer. */
#define LINGER_MS 100
#define STOP_CHECK_MS 20
/* With stop_within_s set, the process is killed from outside after that time;
 * operators' calls end this much earlier, ms. */
#define STOP_MARGIN_MS 400
/* Operators' calls that still wait this long before their end are answered,
 * ms. */
#define STOP_ANSWER_MS 200

struct instance {
    struct MpLoop loop;
    const struct MpSettings *settings;
    uint8_t fleet_key[MP_RPC_KEY_BYTES];
    struct MpReplica replica;
    struct MpRouter router;
    struct MpControlClient control; /* unless the instance is a router */
    struct MpOperatorServer operator_server;
    struct MpReferralServer referral; /* only of a relay */
    struct MpTimer signal_timer;
    struct MpTimer stop_timer;
    struct MpTimer submit_timer;
    char *first_document;
    bool is_stopping;
    bool is_router_drained;
    int64_t stop_until_ms; /* stopping: latest end of operators' calls */
    const char *file;
    struct stat file_info; /* of file when it was last read */
    int64_t file_checked_ms;
};

static volatile sig_atomic_t stop_signal;
static volatile sig_atomic_t reload_signal;

static void
on_signal(int number)
{
    if (number == SIGHUP) {
        reload_signal = 1;
        return;
    }
    stop_signal = number;
}

/* ---- secrets ---- */

/* The key is the SHA-256 of the setting or of the key file.  A single instance
 * needs neither and uses a random key. */
static int
load_fleet_key(struct instance *this)
{
    const struct MpSettings *settings = this->settings;
    unsigned int size = sizeof(this->fleet_key);
    char *text = NULL;
    gsize length = 0;
    if (settings->fleet_key) {
        if (strcmp(settings->fleet_key, MP_SECRET_EXAMPLE) == 0) {
            MpLog_Event(LOG_CRIT, "fleet-key-is-the-example",
                        "anyone who reaches %s can control the fleet",
                        settings->listen.rpc ? settings->listen.rpc
                                             : "this instance");
        }
        EVP_Digest(settings->fleet_key, strlen(settings->fleet_key),
                   this->fleet_key, &size, EVP_sha256(), NULL);
        return MP_OK;
    }
    if (!settings->fleet_key_file) {
        return RAND_bytes(this->fleet_key, sizeof(this->fleet_key)) == 1
                   ? MP_OK
                   : MP_ERROR_IO;
    }
    int code = MpSecret_Read(settings, "fleet_key", settings->fleet_key_file,
                             &text, &length);
    if (code != MP_OK) {
        return code;
    }
    EVP_Digest(text, length, this->fleet_key, &size, EVP_sha256(), NULL);
    OPENSSL_cleanse(text, length);
    g_free(text);
    return MP_OK;
}

/* ---- the first document ---- */

static void submit_first(struct instance *this);

static void
on_submit_timer(struct MpTimer *timer)
{
    submit_first(timer->data);
}

static void
on_submitted(void *data, int code, const struct mp_result *result)
{
    struct instance *this = data;
    if (code != MP_OK) {
        MpLoop_SetTimer(&this->loop, &this->submit_timer, 1000,
                        on_submit_timer, this);
        return;
    }
    /* A version conflict is final too: the fleet has a document already. */
    MpLog_Event(LOG_INFO, "first-document", "result=%s",
                MpError_Name(result->code));
    g_clear_pointer(&this->first_document, g_free);
}

static void
submit_first(struct instance *this)
{
    struct mp_command command = {.body = {.kind = MP_CMD_DOCUMENT}};
    struct MpControlClient *control = this->operator_server.control;
    GPtrArray *findings = MpFindings_New();
    struct MpDocument *document = MpDocument_Parse(
        this->first_document, strlen(this->first_document), findings);
    if (document) {
        command.body.mp_command_body_u.document = (struct mp_document_put){
            .submission = (char *)"first-document",
            .author = this->settings->instance,
            .base_version = 0,
            .retention_ms = document->retention_s * 1000,
            .text = this->first_document};
        struct mp_document_put *put = &command.body.mp_command_body_u.document;
        put->grants.grants_val =
            MpDocument_ListGrants(document, &put->grants.grants_len);
        MpControlClient_Propose(control, &command, MpLoop_Now() + 5000,
                                on_submitted, this);
        g_free(put->grants.grants_val);
        MpDocument_Unref(document);
    }
    else {
        char *text = MpFindings_Format(findings, "first_document");
        MpLog_Event(LOG_ERR, "first-document-faulty", "%s", text);
        g_free(text);
    }
    g_ptr_array_unref(findings);
}

static int
load_first_document(struct instance *this)
{
    const struct MpSettings *settings = this->settings;
    if (!settings->first_document || !settings->is_control) {
        return MP_OK;
    }
    char *path = MpSettings_ResolvePath(settings, settings->first_document);
    bool is_read =
        g_file_get_contents(path, &this->first_document, NULL, NULL);
    g_free(path);
    if (!is_read) {
        MpLog_Event(LOG_ERR, "first-document-unreadable", "file=%s",
                    settings->first_document);
        return MP_ERROR_IO;
    }
    submit_first(this);
    return MP_OK;
}

/* ---- stopping ---- */

static void
close_connections(struct MpTimer *timer)
{
    struct instance *this = timer->data;
    if (MpOperatorServer_Close(&this->operator_server) ||
        MpLoop_Now() >= this->stop_until_ms) {
        MpLoop_Stop(&this->loop);
        return;
    }
    MpLoop_SetTimer(&this->loop, &this->stop_timer, STOP_CHECK_MS,
                    close_connections, this);
}

static void
on_lingered(struct MpTimer *timer)
{
    struct instance *this = timer->data;
    MpOperatorServer_StopListening(&this->operator_server);
    MpLoop_SetTimer(&this->loop, &this->stop_timer, STOP_CHECK_MS,
                    close_connections, this);
}

static void
check_drained(struct MpTimer *timer)
{
    struct instance *this = timer->data;
    int64_t now_ms = MpLoop_Now();
    if (now_ms >= this->stop_until_ms - STOP_ANSWER_MS) {
        MpOperatorServer_StopCalls(&this->operator_server);
    }
    if (!this->is_router_drained ||
        (!MpOperatorServer_IsIdle(&this->operator_server) &&
         now_ms < this->stop_until_ms)) {
        MpLoop_SetTimer(&this->loop, &this->stop_timer, STOP_CHECK_MS,
                        check_drained, this);
        return;
    }
    MpLoop_SetTimer(&this->loop, &this->stop_timer,
                    this->settings->is_control ? CONTROL_LINGER_MS : LINGER_MS,
                    on_lingered, this);
}

static void
on_router_drained(void *owner)
{
    struct instance *this = owner;
    this->is_router_drained = true;
}

static void
begin_stop(struct instance *this)
{
    const struct MpSettings *settings = this->settings;
    this->is_stopping = true;
    this->stop_until_ms =
        MpLoop_Now() + (settings->stop_within_ms > 0
                            ? settings->stop_within_ms - STOP_MARGIN_MS
                            : settings->drain_notice_ms + settings->drain_ms +
                                  STOP_MARGIN_MS);
    MpOperatorServer_Drain(&this->operator_server);
    if (settings->is_router) {
        MpRouter_Drain(&this->router, on_router_drained, this);
    }
    else {
        this->is_router_drained = true;
    }
    MpLoop_SetTimer(&this->loop, &this->stop_timer, 0, check_drained, this);
}

/* ---- reloading of settings ---- */

/* Reads the settings again.  Only the addresses of control instances take
 * effect at once; listen addresses, the data folder and all else do so at the
 * next start. */
static void
reload(struct instance *this, const char *why)
{
    GPtrArray *findings = MpFindings_New();
    struct MpSettings *settings = MpSettings_Load(this->file, findings);
    if (!settings) {
        char *text = MpFindings_Format(findings, this->file);
        MpLog_Event(LOG_ERR, "settings-rejected", "why=%s findings=%u %s", why,
                    findings->len, text);
        g_free(text);
        g_ptr_array_unref(findings);
        return;
    }
    int code = MpOperatorServer_CheckToken(settings);
    if (code != MP_OK) {
        MpLog_Event(LOG_ERR, "settings-rejected", "why=%s error=%s", why,
                    MpError_Name(code));
        MpSettings_Delete(settings);
        g_ptr_array_unref(findings);
        return;
    }
    GPtrArray *replicas = MpSettings_ReplicaAddresses(settings);
    for (guint i = 0; i < replicas->len; i++) {
        const char *address = g_ptr_array_index(replicas, i);
        MpControlClient_AddReplica(this->operator_server.control, address);
        if (this->settings->is_control) {
            MpReplica_AddPeer(&this->replica, address);
        }
    }
    MpLog_Event(LOG_NOTICE, "settings-reloaded", "why=%s replicas=%u", why,
                replicas->len);
    g_ptr_array_unref(replicas);
    MpSettings_Delete(settings);
    g_ptr_array_unref(findings);
}

/* Reloads the settings on SIGHUP, and when the file has changed. */
static void
check_settings(struct instance *this)
{
    struct stat info;
    int64_t now_ms = MpLoop_Now();
    bool is_requested = reload_signal;
    if (!is_requested && now_ms - this->file_checked_ms < SETTINGS_CHECK_MS) {
        return;
    }
    reload_signal = 0;
    this->file_checked_ms = now_ms;
    bool is_changed = stat(this->file, &info) == 0 &&
                      (info.st_mtime != this->file_info.st_mtime ||
                       info.st_size != this->file_info.st_size ||
                       info.st_ino != this->file_info.st_ino);
    if (is_changed) {
        this->file_info = info;
    }
    if (is_requested || is_changed) {
        reload(this, is_requested ? "signal" : "file");
    }
}

static void
check_signal(struct MpTimer *timer)
{
    struct instance *this = timer->data;
    check_settings(this);
    if (stop_signal && !this->is_stopping) {
        begin_stop(this);
    }
    MpLoop_SetTimer(&this->loop, &this->signal_timer, SIGNAL_CHECK_MS,
                    check_signal, this);
}

static void
handle_signals(void)
{
    struct sigaction action = {.sa_handler = on_signal};
    sigaction(SIGTERM, &action, NULL);
    sigaction(SIGINT, &action, NULL);
    sigaction(SIGHUP, &action, NULL);
    signal(SIGPIPE, SIG_IGN);
    /* With SIGXFSZ ignored, a write beyond the file size limit fails with
     * EFBIG, which is handled like a full disk. */
    signal(SIGXFSZ, SIG_IGN);
}

/* ---- start ---- */

static void
ignore_document(void *owner, struct MpDocument *document)
{
    (void)owner;
    (void)document;
}

static void
ignore_registered(void *owner, uint64_t boot)
{
    (void)owner;
    (void)boot;
}

static void
ignore_recall(void *owner, const char *workspace)
{
    (void)owner;
    (void)workspace;
}

static const struct MpControlListener noop_listener = {
    .document = ignore_document,
    .registered = ignore_registered,
    .recall = ignore_recall,
};

static int
start_control_client(struct instance *this, struct MpControlClient **control)
{
    const struct MpSettings *settings = this->settings;
    if (settings->is_router) {
        *control = &this->router.control;
        return MpRouter_Start(&this->router, &this->loop, settings,
                              this->fleet_key);
    }
    *control = &this->control;
    MpControlClient_Start(&this->control, &this->loop, settings,
                          this->fleet_key, &noop_listener, this);
    return settings->is_relay
               ? MpReferralServer_Start(&this->referral, &this->loop,
                                        settings->listen.rpc, &this->control)
               : MP_OK;
}

static int
start_operators(struct instance *this, struct MpControlClient *control)
{
    const struct MpSettings *settings = this->settings;
    this->operator_server.control = control;
    if (!settings->listen.operators && !settings->listen.metrics) {
        return MP_OK;
    }
    return MpOperatorServer_Start(
        &this->operator_server, &this->loop, settings, control,
        settings->is_router ? &this->router : NULL,
        settings->is_control ? &this->replica : NULL);
}

static int
start(struct instance *this)
{
    struct MpControlClient *control;
    int code = load_fleet_key(this);
    if (code == MP_OK && this->settings->is_control) {
        code = MpReplica_Start(&this->replica, &this->loop, this->settings,
                               this->fleet_key);
    }
    if (code == MP_OK) {
        code = start_control_client(this, &control);
    }
    if (code == MP_OK) {
        code = start_operators(this, control);
    }
    return code == MP_OK ? load_first_document(this) : code;
}

int
MpInstance_Run(const struct MpSettings *settings, const char *file)
{
    struct instance *this = g_new0(struct instance, 1);
    handle_signals();
    this->settings = settings;
    this->file = file;
    this->file_checked_ms = MpLoop_Now();
    if (stat(file, &this->file_info) != 0) {
        MpLog_Event(LOG_WARNING, "settings-unreadable", "file=%s", file);
    }
    MpLoop_Init(&this->loop);
    int code = start(this);
    if (code != MP_OK) {
        return code;
    }
    MpLoop_SetTimer(&this->loop, &this->signal_timer, SIGNAL_CHECK_MS,
                    check_signal, this);
    MpLog_Event(LOG_NOTICE, "started", "zone=%s version=0.1.0",
                settings->zone);
    MpLoop_Run(&this->loop);
    bool has_failed = settings->is_control && this->replica.is_failed;
    if (settings->is_control) {
        MpReplica_Stop(&this->replica);
    }
    GString *counts = g_string_new(NULL);
    if (settings->is_router) {
        MpRouter_Stop(&this->router, counts);
    }
    MpOperatorServer_Stop(&this->operator_server);
    MpLog_Last(LOG_NOTICE, "ended", "failed=%d%s", has_failed, counts->str);
    g_string_free(counts, TRUE);
    return has_failed ? MP_ERROR_IO : MP_OK;
}
