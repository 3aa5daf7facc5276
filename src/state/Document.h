#ifndef MP_STATE_DOCUMENT_H
#define MP_STATE_DOCUMENT_H

#include "gen/wire.h"
#include "state/Schema.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Amounts of the ledger are thousandths of a token. */
#define MP_MTOK_PER_TOKEN 1000

/*
 * Document - the one configuration that the fleet obeys.
 *
 * The text is JSON with comments.  A document is valid as a whole or not at
 * all; once parsed it does not change.
 */

#define MP_DOCUMENT_MAX_BYTES (4 * 1024 * 1024)

enum MpPartitionPolicy {
    MP_PARTITION_REFUSE, /* no request without the quorum */
    MP_PARTITION_LEASE   /* repeatable requests from a lease already held */
};

enum MpPriorityClass {
    MP_CLASS_INTERACTIVE,
    MP_CLASS_STANDARD,
    MP_CLASS_BATCH
};
#define MP_CLASS_COUNT 3
extern const char *const MpPriorityClass_Names[];

enum MpTargetState { MP_TARGET_ACTIVE, MP_TARGET_DRAIN };

struct MpTargetConf {
    char *address;
    char *zone;
    int64_t capacity;
    int32_t state; /* enum MpTargetState */
    bool checks_fencing;
};

struct MpModelConf {
    GPtrArray *targets;
    int64_t prompt_price_mtok;
    int64_t output_price_mtok;
    int64_t output_tokens_max;
    int64_t first_token_ms;
    int64_t between_tokens_ms;
    bool may_resume;
};

struct MpRouteConf {
    char *method;
    char *path;
    int64_t price_mtok; /* -1: the price of the service */
    bool is_at_most_once;
};

struct MpServiceConf {
    GPtrArray *targets;
    GPtrArray *routes; /* of struct MpRouteConf */
    int64_t price_mtok;
    int64_t timeout_ms;
};

/* What a request on a path may do when its fate is not known. */
enum MpRepeatPolicy {
    MP_REPEAT_NEVER,   /* it must not run twice */
    MP_REPEAT_ALLOWED, /* it may run again */
    MP_REPEAT_RESUME   /* another target may go on where the stream stopped */
};

/* A part of the requests of a path. */
struct MpShareConf {
    char *pool;
    int64_t weight;
};

/* Requests of one host whose path begins with prefix; the longest prefix
 * counts. */
struct MpPathConf {
    const char *name; /* its key in the document */
    char *host;
    char *prefix;
    int32_t repeat; /* enum MpRepeatPolicy */
    bool is_stream;
    bool is_anonymous;
    bool has_affinity; /* the requests name the parts of their prompts */
    int64_t timeout_ms;
    int64_t latency_target_ms;
    int64_t event_gap_ms;
    int64_t priority; /* 0 is the most urgent */
    int64_t attempts_max;
    GPtrArray *shares; /* of struct MpShareConf */
};

/* What the engines of a pool can do. */
struct MpEngineConf {
    int64_t slots; /* 0: the pool is no pool of engines */
    int64_t memory_tokens;
    int64_t event_tokens; /* most tokens in one event of a stream */
};

/* Targets that the target list names under the name of the pool. */
struct MpPoolConf {
    char *health_path;
    int64_t connections_max; /* of one target, from the whole fleet */
    struct MpEngineConf engine;
};

/* What callers of paths may send. */
struct MpLimitConf {
    int64_t header_max_bytes;
    int64_t body_max_bytes;
    int64_t header_timeout_ms;
    int64_t idle_timeout_ms;
};

struct MpWorkspaceConf {
    GPtrArray *key_hashes;
    GPtrArray *models;
    GPtrArray *services;
    int64_t concurrent_max;
    int64_t rate_per_s;
    int32_t priority;       /* enum MpPriorityClass */
    int32_t partition;      /* enum MpPartitionPolicy */
    int64_t rank;           /* goes before the priority of a path; -1: none */
    int64_t prepaid_tokens; /* granted in all; -1: by top-ups alone */
};

struct MpDocument {
    gint references;
    uint64_t version;
    int64_t retention_s;
    GHashTable *models;
    GHashTable *services;
    GHashTable *targets;
    GHashTable *workspaces;
    GHashTable *paths; /* name -> struct MpPathConf */
    GHashTable *pools; /* name -> struct MpPoolConf */
    struct MpLimitConf limits;
    GHashTable *by_place; /* host, newline, prefix -> struct MpPathConf */
    GHashTable *by_key;   /* key hash -> workspace name, not owned */
};

extern const struct MpSchema MpDocument_Schema;
extern const struct MpSchema MpDocument_PathSchema;
extern const struct MpSchema MpDocument_ShareSchema;
extern const struct MpSchema MpDocument_PoolSchema;
extern const struct MpSchema MpDocument_WorkspaceSchema;

/* Returns a document with nothing in it, with one reference; for dialects
 * that fill it from a text of their own. */
struct MpDocument *MpDocument_New(void);

/* Checks what a dialect has filled in and makes the indexes.  Returns the
 * document, or NULL when there are findings. */
struct MpDocument *MpDocument_Finish(struct MpDocument *this,
                                     GPtrArray *findings);

/* Returns the path of host with the longest prefix of path, or NULL. */
const struct MpPathConf *MpDocument_FindPath(const struct MpDocument *this,
                                             const char *host,
                                             const char *path);

/* Parses and validates text.  Returns the document with one reference, or
 * NULL with findings. */
struct MpDocument *MpDocument_Parse(const char *text, size_t size,
                                    GPtrArray *findings);
struct MpDocument *MpDocument_Ref(struct MpDocument *this);
void MpDocument_Unref(struct MpDocument *this);

/* Returns the name of the workspace that owns the key, or NULL. */
const char *MpDocument_FindWorkspace(const struct MpDocument *this,
                                     const char *key);

/* Returns the prepaid amounts of the workspaces that have one, *count of
 * them; the names belong to the document, free the list with g_free. */
struct mp_grant *MpDocument_ListGrants(const struct MpDocument *this,
                                       u_int *count);

/* Returns the lower-case SHA-256 of key; free it with g_free. */
char *MpDocument_HashKey(const char *key);

/* Returns the first route of service that matches, or NULL. */
const struct MpRouteConf *
MpServiceConf_FindRoute(const struct MpServiceConf *this, const char *method,
                        const char *path);

/* Returns whether list holds name. */
bool MpDocument_ListContains(const GPtrArray *list, const char *name);

#endif
