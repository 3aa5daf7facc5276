#ifndef MP_STATE_DOCUMENT_H
#define MP_STATE_DOCUMENT_H

#include "gen/wire.h"
#include "state/Schema.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Document - the configuration of the whole fleet: targets, models, services,
 * workspaces, paths, pools and limits.
 *
 * Native requests (those of the product's own HTTP API) name a model or a
 * service, which lists its targets.  Other requests are matched with a path by
 * host and URL prefix, and forwarded to a pool of targets.
 *
 * The text is JSON with comments.  A document with any error is rejected as a
 * whole.  A parsed document is immutable.  DocumentSchema.c describes the
 * fields.
 */

/* The ledger counts in thousandths of a token (mtok). */
#define MP_MTOK_PER_TOKEN 1000

#define MP_DOCUMENT_MAX_BYTES (4 * 1024 * 1024)

enum MpPartitionPolicy {
    MP_PARTITION_REFUSE, /* refuse requests while the quorum is unreachable */
    MP_PARTITION_LEASE   /* run repeatable requests on a lease already held */
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
    int64_t price_mtok; /* -1: use the price of the service */
    bool is_at_most_once;
};

struct MpServiceConf {
    GPtrArray *targets;
    GPtrArray *routes; /* of struct MpRouteConf */
    int64_t price_mtok;
    int64_t timeout_ms;
};

/* Whether a request on a path may run again when an earlier attempt may have
 * run. */
enum MpRepeatPolicy {
    MP_REPEAT_NEVER,   /* at-most-once: it must not run again */
    MP_REPEAT_ALLOWED, /* it may run again */
    MP_REPEAT_RESUME   /* another target may resume an interrupted stream */
};

/* The share of the requests of a path that goes to one pool. */
struct MpShareConf {
    char *pool;
    int64_t weight; /* relative to the sum of the weights of the path */
};

/* Requests to one host whose path starts with prefix; the longest matching
 * prefix wins. */
struct MpPathConf {
    const char *name; /* its key in the document */
    char *host;
    char *prefix;
    int32_t repeat; /* enum MpRepeatPolicy */
    bool is_stream;
    bool is_anonymous;
    bool has_affinity; /* requests with common prompt parts share targets */
    int64_t timeout_ms;
    int64_t latency_target_ms; /* 0: none; streams: to the first event */
    int64_t event_gap_ms;      /* target between two events; 0: none */
    int64_t priority;          /* 0 is the most urgent */
    int64_t attempts_max;
    GPtrArray *shares;          /* of struct MpShareConf */
    GPtrArray *allowed_regions; /* empty: all */
};

/* Capabilities of each engine of a pool. */
struct MpEngineConf {
    int64_t slots;        /* concurrent requests; 0: not a pool of engines */
    int64_t event_tokens; /* largest number of tokens in one event */
};

/* Pool of targets; the target list assigns targets to pools by name. */
struct MpPoolConf {
    int64_t connections_max; /* to one target, from all instances */
    int64_t cold_start_ms;   /* time that a target is slow after its start */
    int64_t cold_rate;       /* to a target meanwhile, thousandths of requests
                              * a second; -1: any */
    struct MpEngineConf engine;
};

/* Limits on requests on paths and on their connections. */
struct MpLimitConf {
    int64_t header_max_bytes;
    int64_t body_max_bytes;
    int64_t idle_timeout_ms;
};

struct MpWorkspaceConf {
    GPtrArray *key_hashes;
    GPtrArray *models;
    GPtrArray *services;
    int64_t concurrent_max;
    int64_t rate_per_s;
    int32_t priority;           /* enum MpPriorityClass */
    int32_t partition;          /* enum MpPartitionPolicy */
    int64_t path_priority;      /* overrides MpPathConf.priority; -1: none */
    int64_t prepaid_tokens;     /* in total, besides top-ups; -1: none */
    GPtrArray *allowed_regions; /* empty: all */
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
    /* Indexes; they don't own their values. */
    GHashTable *paths_by_prefix;   /* "HOST\nPREFIX" -> struct MpPathConf */
    GHashTable *workspaces_by_key; /* key hash -> workspace name */
};

extern const struct MpSchema MpDocument_Schema;
extern const struct MpSchema MpDocument_PathSchema;
extern const struct MpSchema MpDocument_ShareSchema;
extern const struct MpSchema MpDocument_PoolSchema;
extern const struct MpSchema MpDocument_WorkspaceSchema;

/* Returns an empty document with default values and one reference, for
 * dialects that fill it in from their own format. */
struct MpDocument *MpDocument_New(void);

/* Checks the references and builds the indexes of a document that has been
 * filled in.  What only earlier builds accepted is ignored if is_stored, and a
 * finding otherwise.  Returns the document, or releases it and returns NULL if
 * there are findings, including earlier ones. */
struct MpDocument *MpDocument_Finish(struct MpDocument *this, bool is_stored,
                                     GPtrArray *findings);

/* Returns the entry for host, in lower case, with the longest prefix of path,
 * or NULL.  Entries match whatever the case of their host. */
const struct MpPathConf *MpDocument_FindPath(const struct MpDocument *this,
                                             const char *host,
                                             const char *path);

/* Parses and validates text.  Returns the document with one reference, or
 * NULL and adds to findings. */
struct MpDocument *MpDocument_Parse(const char *text, size_t size,
                                    GPtrArray *findings);

/* Parses a stored document, which was accepted by this or an earlier build:
 * like MpDocument_Parse, but what only earlier builds accepted is ignored. */
struct MpDocument *MpDocument_Load(const char *text, size_t size,
                                   GPtrArray *findings);
struct MpDocument *MpDocument_Ref(struct MpDocument *this);
void MpDocument_Unref(struct MpDocument *this);

/* Returns the name of the workspace that the key belongs to, or NULL; an empty
 * or blank key belongs to none.  The name is owned by the document. */
const char *MpDocument_FindWorkspace(const struct MpDocument *this,
                                     const char *key);

/* Returns the grants of all workspaces with a prepaid amount, and their number
 * in *count.  Free the list with g_free; the names in it are owned by the
 * document. */
struct mp_grant *MpDocument_ListGrants(const struct MpDocument *this,
                                       u_int *count);

/* Returns the SHA-256 of key in lower-case hexadecimal digits; free it with
 * g_free. */
char *MpDocument_HashKey(const char *key);

/* Returns the first route that matches method and path, or NULL. */
const struct MpRouteConf *
MpServiceConf_FindRoute(const struct MpServiceConf *this, const char *method,
                        const char *path);

/* Returns whether a list of names (char *) contains name. */
bool MpDocument_ListContains(const GPtrArray *list, const char *name);

#endif
