#ifndef MP_STATE_SETTINGS_H
#define MP_STATE_SETTINGS_H

#include "state/Schema.h"

/*
 * Settings - the configuration of one instance, from its settings file.
 *
 * The file is JSON with comments.  Relative file names in it are relative to
 * the folder of the settings file.  The tables in Settings.c describe the
 * fields.
 */

/* Least operator_memory_max_bytes: two of the largest bodies, with heads. */
#define MP_OPERATOR_MEMORY_MIN_BYTES (INT64_C(20) << 20)

/* Listening addresses of the instance; NULL where it does not listen. */
struct MpListenConf {
    char *callers;
    char *operators;
    char *rpc;
    char *peers;
    char *ready;
    char *metrics;
};

/* A control replica (an instance with the role `control`). */
struct MpReplicaConf {
    char *instance;
    char *rpc;
};

/* An instance from which the control replicas are discovered. */
struct MpSeedConf {
    char *address; /* only the host is used, with rpc_port */
};

/* Server that lists targets, in addition to those in the document. */
struct MpTargetListConf {
    char *address; /* NULL: none */
    int64_t interval_ms;
};

/* Retry budget of each pool, for all instances together. */
struct MpRetryConf {
    int64_t ratio_permille; /* retries per 1000 requests */
    int64_t slack;          /* further retries that each window allows */
    int64_t window_ms;
};

/* Bound of the requests that a cold target gets in any one second: the rate of
 * its pool times overshoot, plus tolerance. */
struct MpColdBoundConf {
    int64_t overshoot_permille;
    int64_t tolerance_milli;
};

/* Limits of the machine; 0: none. */
struct MpMachineConf {
    int64_t link_kbps;          /* each way */
    int64_t cpu_share_permille; /* of each core */
    int64_t cores_milli;
    int64_t descriptors_max;
};

struct MpSettings {
    char *instance;
    char *zone;
    char *region;
    GHashTable *zones; /* zone -> region */
    struct MpListenConf listen;
    GPtrArray *roles;
    GPtrArray *control; /* all replicas; of struct MpReplicaConf */
    GPtrArray *seeds;   /* of struct MpSeedConf */
    int64_t rpc_port;
    bool may_bootstrap;
    char *dialect;
    char *fleet_key;
    struct MpTargetListConf target_list;
    struct MpRetryConf retries;
    struct MpColdBoundConf cold;
    struct MpMachineConf machine;
    char *data_folder;
    char *fleet_key_file;
    char *operator_token_file;
    char *first_document;
    int64_t drain_ms;
    int64_t drain_notice_ms;
    int64_t stop_within_ms;
    int64_t body_max_bytes;
    int64_t requests_max;
    int64_t connections_max;           /* 0: from the descriptors */
    int64_t memory_max_bytes;          /* 0: from memory_mb */
    int64_t operator_memory_max_bytes; /* 0: from memory_mb */
    int64_t memory_mb;                 /* 0: not known */
    int32_t routing;                   /* enum MpPickPolicy */
    int64_t zone_cost_us_per_kb;
    bool is_router;
    bool is_control;
    bool is_relay;
    char *base_folder; /* relative file names are relative to it */
};

extern const struct MpSchema MpSettings_Schema;

/* Parses and validates text; file names in it are relative to folder.
 * Returns the settings, or NULL and adds to findings. */
struct MpSettings *MpSettings_Parse(const char *text, size_t size,
                                    const char *folder, GPtrArray *findings);

/* Reads and validates a file.  Returns the settings, or NULL and adds to
 * findings.  An unreadable file is a finding too. */
struct MpSettings *MpSettings_Load(const char *name, GPtrArray *findings);
void MpSettings_Delete(struct MpSettings *this);

/* Returns the RPC addresses (char *) of the replicas in `control` and of the
 * hosts in `seeds`; unref the list after use. */
GPtrArray *MpSettings_ReplicaAddresses(const struct MpSettings *this);

/* Returns the path of the file name, which is relative to the folder of the
 * settings file; free it with g_free. */
char *MpSettings_ResolvePath(const struct MpSettings *this, const char *name);

#endif
