#ifndef MP_STATE_SETTINGS_H
#define MP_STATE_SETTINGS_H

#include "state/Schema.h"

/*
 * Settings - what one process reads at its start.
 *
 * The file is JSON with comments.  Relative file names are relative to the
 * folder of the settings file.
 */

struct MpListen {
    char *callers;
    char *operators;
    char *rpc;
    char *peers;
    char *ready;
    char *metrics;
};

struct MpPeer {
    char *instance;
    char *rpc;
};

/* An instance that knows others of the fleet. */
struct MpSeed {
    char *address; /* only its host counts */
};

/* Where the list of targets is to be had, beside those of the document. */
struct MpTargetListConf {
    char *address;
    int64_t interval_ms;
};

/* What the requests of a service may cost beyond their first attempt, over
 * the whole fleet. */
struct MpRetryConf {
    int64_t ratio_permille;
    int64_t slack;
    int64_t window_ms;
};

struct MpSettings {
    char *instance;
    char *zone;
    struct MpListen listen;
    GPtrArray *roles;
    GPtrArray *control; /* of struct MpPeer */
    GPtrArray *seeds;   /* of struct MpSeed */
    int64_t rpc_port;
    bool may_bootstrap;
    char *dialect;
    char *fleet_key;
    struct MpTargetListConf target_list;
    struct MpRetryConf retries;
    char *data_folder;
    char *fleet_key_file;
    char *operator_token_file;
    char *first_document;
    int64_t drain_ms;
    int64_t drain_notice_ms;
    int64_t stop_within_ms;
    int64_t body_max_bytes;
    int64_t requests_max;
    int32_t routing; /* enum MpPickPolicy */
    bool is_router;
    bool is_control;
    bool is_relay;
    char *folder;
};

extern const struct MpSchema MpSettings_Schema;

/* Validates text; relative names are relative to folder.  Returns the
 * settings or NULL with findings. */
struct MpSettings *MpSettings_Parse(const char *text, size_t size,
                                    const char *folder, GPtrArray *findings);

/* Reads and validates a file.  Returns the settings or NULL with findings.
 * Errors of the file itself are findings too. */
struct MpSettings *MpSettings_Load(const char *name, GPtrArray *findings);
void MpSettings_Delete(struct MpSettings *this);

/* Returns the RPC addresses of the control replicas that the settings name,
 * as char *; unref it after use. */
GPtrArray *MpSettings_ReplicaAddresses(const struct MpSettings *this);

/* Returns name as a path relative to the settings file; free with g_free. */
char *MpSettings_ResolvePath(const struct MpSettings *this, const char *name);

#endif
