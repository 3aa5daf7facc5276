#ifndef MP_PROTOCOL_RESPONSE_READER_H
#define MP_PROTOCOL_RESPONSE_READER_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * ResponseReader - reads the HTTP/1.1 responses of one connection to a target
 * and finds the one that answers the request under way.
 *
 * It has no sockets and no time.  Its owner calls MpResponseReader_Start when
 * a request is written and passes all data that arrives from then on to
 * MpResponseReader_Read, in pieces of any size.  The callbacks get the head
 * and the body of the response to the request; a stray response, which belongs
 * to another request, is read past and shown to nobody.
 *
 * A response belongs to the request if all its id headers have the id of the
 * request, or if it has none and is the first one on a connection that carried
 * no other request.  A response with an id never answers a request without
 * one, unless no id header is named.  On a kept connection a response without
 * an id may be left over from an earlier request, so it is stray.
 *
 * After MP_READ_COMPLETE the connection may carry the next request only if
 * MpResponseReader_MayKeep returns true, and the owner must see to the rest:
 * the request was written in full and no data follows the response.
 */

/* Maximum size of a response head, bytes. */
#define MP_RESPONSE_HEAD_MAX_BYTES 65536
/* Maximum number of headers of a response. */
#define MP_RESPONSE_HEADERS_MAX 256
/* Maximum size of stray responses before the right one, bytes; several times
 * the longest complete response of the engines in use. */
#define MP_TARGET_STRAY_MAX_BYTES 262144

struct MpTargetHeader {
    const char *name;
    size_t name_size;
    const char *value;
    size_t value_size;
};

/* Head of a response; valid during the callback only. */
struct MpTargetHead {
    int status;
    int64_t size; /* of the body in bytes, -1 without Content-Length */
    const struct MpTargetHeader *headers;
    size_t count;
};

enum MpReadResult {
    MP_READ_MORE,     /* all data was used, the response is not complete */
    MP_READ_COMPLETE, /* the response is complete; data may follow it */
    MP_READ_CLOSED,   /* the response had no length and ended with its
                       * connection */
    MP_READ_INVALID   /* malformed, cut off, or too much stray data */
};

/* How it was told that a response answers the request. */
enum MpAttribution {
    MP_ATTRIBUTION_NONE, /* there was none */
    MP_ATTRIBUTION_ID,   /* it has the id of the request */
    MP_ATTRIBUTION_FIRST /* first response on a new connection, without an
                          * id */
};

/* Why a response does not answer the request. */
enum MpStrayReason {
    MP_STRAY_OTHER_ID,    /* it has the id of another request */
    MP_STRAY_NO_ID,       /* it has no id, and may be left over */
    MP_STRAY_UNREQUESTED, /* it came while no request was under way */
    MP_STRAY_REASONS
};

struct MpResponseReaderClass {
    void (*head)(void *owner, const struct MpTargetHead *head);
    void (*body)(void *owner, const char *data, size_t size);
    /* A response is read past; head is its head. */
    void (*stray)(void *owner, enum MpStrayReason reason,
                  const struct MpTargetHead *head);
};

/* What is known of the request whose response is read.  The strings are
 * copied. */
struct MpExpectedResponse {
    const char *id_header; /* echoed in the response, or NULL */
    const char *id;        /* or NULL */
    bool is_head;          /* method HEAD */
    bool is_new_conn;      /* no other request was sent on the connection */
};

struct MpResponseReader {
    const struct MpResponseReaderClass *klass;
    void *owner;
    http_parser parser;
    bool has_version;      /* of the status line being read */
    bool has_status;       /* the code is read, too */
    uint8_t status_digits; /* of the code */
    GString *text;         /* of the head: the reason, then the headers */
    size_t reason_size;    /* of the reason in text */
    GArray *spans;         /* of the headers in text */
    bool is_last_value;    /* the last part parsed was a header value */
    char *id_header;
    char *id;
    bool is_head_request;
    bool is_new_conn;
    enum MpAttribution attribution;
    bool is_stray;      /* the response being read is to be discarded */
    size_t stray_bytes; /* received since the request was sent */
    bool has_stray;     /* stray responses came before */
    bool is_closing;    /* the connection ends after the response */
    bool is_complete;
};

void MpResponseReader_Init(struct MpResponseReader *this,
                           const struct MpResponseReaderClass *klass,
                           void *owner);
void MpResponseReader_Done(struct MpResponseReader *this);

/* A request is about to be written; the data that follows is searched for its
 * response. */
void MpResponseReader_Start(struct MpResponseReader *this,
                            const struct MpExpectedResponse *expected);

/* Reads data; *used is how many bytes of it belong to the response and to
 * those before it.  is_end: the connection has ended after the data, which
 * completes a response without a length.  The callbacks must not free the
 * reader. */
enum MpReadResult MpResponseReader_Read(struct MpResponseReader *this,
                                        const char *data, size_t size,
                                        bool is_end, size_t *used);

/* Returns whether the connection may carry another request: the response had
 * the id of the request, nothing else was read, and the target keeps the
 * connection open.  Not after a HEAD request, since a second copy of its
 * response could not be told from one that has a body. */
bool MpResponseReader_MayKeep(const struct MpResponseReader *this);

/* Returns how the response was attributed to the request. */
enum MpAttribution
MpResponseReader_Attribution(const struct MpResponseReader *this);

const char *MpAttribution_Name(enum MpAttribution attribution);
const char *MpStrayReason_Name(enum MpStrayReason reason);

/* Returns the value of a header, not zero-terminated, or NULL; *size is its
 * length. */
const char *MpTargetHead_Find(const struct MpTargetHead *this,
                              const char *name, size_t *size);

#endif
