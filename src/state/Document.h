#ifndef MP_STATE_DOCUMENT_H
#define MP_STATE_DOCUMENT_H

#include "state/Schema.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

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

enum MpClass { MP_CLASS_INTERACTIVE, MP_CLASS_STANDARD, MP_CLASS_BATCH };
#define MP_CLASS_COUNT 3
extern const char *const MpClass_Names[];

enum MpTargetState { MP_TARGET_IN, MP_TARGET_DRAIN };

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
    int64_t output_tokens_most;
    int64_t first_token_ms;
    int64_t between_tokens_ms;
    bool resumes;
};

struct MpRouteConf {
    char *method;
    char *path;
    int64_t price_mtok; /* -1: the price of the service */
    bool at_most_once;
};

struct MpServiceConf {
    GPtrArray *targets;
    GPtrArray *routes; /* of struct MpRouteConf */
    int64_t price_mtok;
    int64_t timeout_ms;
};

struct MpWorkspaceConf {
    GPtrArray *key_hashes;
    GPtrArray *models;
    GPtrArray *services;
    int64_t concurrent_most;
    int64_t rate_per_s;
    int32_t priority;  /* enum MpClass */
    int32_t partition; /* enum MpPartitionPolicy */
};

struct MpDocument {
    gint references;
    uint64_t version;
    int64_t retention_s;
    GHashTable *models;
    GHashTable *services;
    GHashTable *targets;
    GHashTable *workspaces;
    GHashTable *by_key; /* key hash -> workspace name, not owned */
};

extern const struct MpSchema MpDocument_Schema;

/* Parses and validates text.  Returns the document with one reference, or
 * NULL with findings. */
struct MpDocument *MpDocument_Parse(const char *text, size_t size,
                                    GPtrArray *findings);
struct MpDocument *MpDocument_Ref(struct MpDocument *this);
void MpDocument_Unref(struct MpDocument *this);

/* Returns the name of the workspace that owns the key, or NULL. */
const char *MpDocument_WorkspaceOfKey(const struct MpDocument *this,
                                      const char *key);

/* Returns the lower-case SHA-256 of key; free it with g_free. */
char *MpDocument_HashKey(const char *key);

/* Returns the first route of service that matches, or NULL. */
const struct MpRouteConf *MpServiceConf_Route(const struct MpServiceConf *this,
                                              const char *method,
                                              const char *path);

/* Returns whether list holds name. */
bool MpDocument_Lists(const GPtrArray *list, const char *name);

#endif
