#ifndef MP_PROTOCOL_DIALECT_H
#define MP_PROTOCOL_DIALECT_H

#include "coordination/Roster.h"
#include "state/Document.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Dialect - the names by which callers, targets, operators and the target
 * list speak of the same things.
 *
 * A dialect holds names and reads formats; it decides nothing.  The product
 * has one of its own; a platform brings another, which is chosen by the
 * setting `dialect`.
 */

/* Headers of a request as the caller sends it. */
struct MpCallerHeaders {
    const char *api_key;
    const char *api_key_prefix; /* stands before the key, as "Bearer " */
    const char *request_id;     /* id of this attempt of the caller */
    const char *deadline;       /* ms that the caller waits */
    const char *last_event_id;  /* id of the last event that the caller has */
    const char *tokens;         /* PROMPT,MOST_OUTPUT */
    const char *parts;          /* ID:TOKENS,... with hexadecimal ids */
};

/* Headers between this instance and a target. */
struct MpTargetHeaders {
    const char *deadline;
    const char *incarnation; /* the only one that may run the request */
    const char *workspace;
    const char *request_id; /* comes back in the answer */
    const char *last_event_id;
    const char *not_run;         /* in an answer: it certainly did not run */
    const char *load;            /* RUNNING,WAITING,SLOTS */
    const char *const *reserved; /* a caller's headers of these names are
                                    dropped; ends with NULL */
};

struct MpDialect {
    const char *name;
    struct MpCallerHeaders caller;
    struct MpTargetHeaders target;
    bool is_paths_only; /* callers reach paths of the document only */
    bool has_decimal_retry_after;  /* Retry-After may have decimals */
    bool has_numbered_documents;   /* operators number the documents */
    const char *put_document_path; /* path of the operators' call, or NULL */
    const char *get_document_path;
    const char *target_list_path; /* of the target list */
    /* Reads a document; NULL with findings.  version is set, if numbered. */
    struct MpDocument *(*parse_document)(const char *text, size_t size,
                                         GPtrArray *findings);
    /* Adds the sound entries of one page, as struct MpListedTarget, and
     * counts the others; *next is the query of the following page or NULL.
     * Returns MP_ERROR_INVALID when the page cannot be read. */
    int (*parse_targets)(const char *text, size_t size, GPtrArray *targets,
                         uint32_t *unreadable, char **next);
};

/* The product's own dialect. */
extern const struct MpDialect MpDialect_Native;

/* Returns the dialect with name, NULL for the own one; NULL when there is
 * none. */
const struct MpDialect *MpDialect_Find(const char *name);

/* Adds a finding when the settings name a dialect that there is not. */
void MpDialect_Check(const char *name, GPtrArray *findings);

#endif
