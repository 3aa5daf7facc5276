#ifndef MP_PROTOCOL_CHAT_H
#define MP_PROTOCOL_CHAT_H

#include "state/Document.h"
#include "state/JsonScan.h"

#include <glib.h>
#include <json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Chat - parses the body of a chat completion request (OpenAI-style JSON) and
 * generates the body that is sent to the engine, with the token limit that
 * was reserved.
 *
 * The body is kept as text, whatever values it has: a chat holds up to twice
 * the size of its body, and parsing it takes up to 4 times the size more.
 */

/* Members of the body that are read or replaced. */
enum MpChatMember {
    MP_CHAT_MODEL,
    MP_CHAT_MESSAGES,
    MP_CHAT_STREAM,
    MP_CHAT_MAX_TOKENS,
    MP_CHAT_N,
    MP_CHAT_STREAM_OPTIONS,
    MP_CHAT_PRIORITY,
    MP_CHAT_RESUME_FROM,
    MP_CHAT_MEMBER_COUNT
};

struct MpChat {
    struct MpJsonScan text; /* the body without comments; NULL: not valid */
    struct MpJsonMember members[MP_CHAT_MEMBER_COUNT];
    char *model;
    bool is_stream;
    bool wants_usage;      /* by its stream options */
    int64_t output_tokens; /* requested max_tokens, or -1 */
    GString *prompt;       /* roles and contents of all messages */
};

/* Parses body.  Call MpChat_Done() also after an error.  Errors:
 * MP_ERROR_INVALID, with a constant message for the caller in *reason. */
int MpChat_Parse(struct MpChat *this, const char *body, size_t size,
                 const char **reason);
void MpChat_Done(struct MpChat *this);

/* Returns a member that is a string, a number or a boolean, to be released by
 * json_object_put; otherwise NULL. */
struct json_object *MpChat_ReadMember(const struct MpChat *this,
                                      enum MpChatMember member);

/* Returns the limit of output tokens for the engine: the requested one, at
 * most that of the model. */
int64_t MpChat_TokenLimit(const struct MpChat *this,
                          const struct MpModelConf *model);

/* Returns the highest possible cost, mtok: one prompt token per byte of the
 * prompt, and as many output tokens as the limit allows. */
int64_t MpChat_WorstCaseCost(const struct MpChat *this,
                             const struct MpModelConf *model);

/* Returns the body for the engine, to be freed with g_free.  resume_from is
 * the number of output tokens that the caller already has; 0 starts from the
 * beginning. */
char *MpChat_EngineBody(const struct MpChat *this,
                        const struct MpModelConf *model, int64_t resume_from,
                        const char *priority);

/* Largest number of tokens that an answer may report. */
#define MP_USAGE_TOKENS_MAX INT64_C(1000000000)

/* Reads the token usage from an answer or event of an engine; returns whether
 * it has one, with two whole numbers from 0 to MP_USAGE_TOKENS_MAX. */
bool MpChat_ReadUsage(struct json_object *answer, int64_t *prompt_tokens,
                      int64_t *output_tokens);

/* The same for the body of a non-streaming response. */
bool MpChat_ParseUsage(const char *body, size_t size, int64_t *prompt_tokens,
                       int64_t *output_tokens);

#endif
