#ifndef MP_PROTOCOL_DIALECT_H
#define MP_PROTOCOL_DIALECT_H

#include "protocol/TargetPage.h"
#include "state/Document.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Dialect - the header names, paths and formats of one HTTP API, as spoken
 * with callers, targets, operators and the target list.
 *
 * A dialect only names headers and paths and parses formats; the router's
 * decisions do not depend on it.  The product has a native dialect; another
 * one can be selected by the setting `dialect`.
 */

/* Names of request headers that callers send. */
struct MpCallerHeaders {
    const char *api_key;
    const char *api_key_prefix; /* precedes the key, as "Bearer " */
    const char *request_id;     /* caller's id of this attempt */
    const char *deadline;       /* how long the caller waits, ms */
    const char *last_event_id;  /* id of the last event that it received */
    const char *resumes; /* with it: id of the attempt that brought the first
                          * event of the stream */
    const char *tokens;  /* PROMPT,MAX_OUTPUT */
    const char *parts;   /* ID:TOKENS,... with hexadecimal ids */
};

/* Names of headers exchanged with targets. */
struct MpTargetHeaders {
    const char *deadline;    /* time left for the request, ms */
    const char *incarnation; /* only this incarnation may run the request */
    const char *workspace;
    const char *request_id;    /* request id, repeated in the response */
    const char *last_event_id; /* id of the last event that the caller got */
    const char *not_run;  /* in a response: the request was not executed */
    const char *load;     /* in a response: RUNNING,WAITING,SLOTS[,PERCENT] */
    const char *limit;    /* in a response: requests per second that the
                           * target takes from all instances together */
    const char *refusals; /* in a response: requests that the target may turn
                           * away in a second before it falls over; it lets
                           * few or none wait */
    const char *leaving;  /* in a response: "1" when the target leaves */
    const char *cold;     /* in a response: how long the target is still slow
                           * after its start, ms */
    const char *pause;    /* in a response with status 503: seconds for which
                           * the target wants nothing from this instance */
    const char *const *reserved; /* headers that are not forwarded from the
                                  * caller; NULL-terminated */
};

struct MpDialect {
    const char *name; /* value of the setting */
    struct MpCallerHeaders caller;
    struct MpTargetHeaders target;
    bool is_paths_only;  /* only paths of the document are served; there
                          * are no native requests */
    bool names_requests; /* targets take ids that the instance has chosen, for
                          * requests whose callers name none */
    bool has_decimal_retry_after; /* Retry-After may have decimals */
    bool has_numbered_documents;  /* operators set the version of a document */
    const char *put_document_path; /* path to submit a document; or NULL */
    const char *get_document_path; /* path to read the document; or NULL */
    const char *zone_path;         /* start of the paths to drain or restore a
                                    * zone, up to its name; or NULL */
    const char *zone_drain_verb;   /* what follows the name */
    const char *zone_restore_verb;
    const char *target_list_path; /* path of the target list */
    /* Parses a document.  Returns NULL and adds findings if it is invalid.
     * Sets its version if has_numbered_documents. */
    struct MpDocument *(*parse_document)(const char *text, size_t size,
                                         GPtrArray *findings);
    /* Parses a stored document; as above, but what only earlier builds
     * accepted is ignored. */
    struct MpDocument *(*load_document)(const char *text, size_t size,
                                        GPtrArray *findings);
    struct MpTargetPageFormat target_page; /* format of the target list */
};

/* The native dialect of the product. */
extern const struct MpDialect MpDialect_Native;

/* Returns the dialect called name, the native one if name is NULL, or NULL if
 * there is no such dialect. */
const struct MpDialect *MpDialect_Find(const char *name);

/* Adds a finding if there is no dialect called name. */
void MpDialect_Check(const char *name, GPtrArray *findings);

#endif
