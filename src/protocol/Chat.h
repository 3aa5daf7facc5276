#ifndef MP_PROTOCOL_CHAT_H
#define MP_PROTOCOL_CHAT_H

#include "state/Document.h"

#include <glib.h>
#include <json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Chat - the body of a chat completion: checked on the way in, written anew
 * for the engine with the token limit that was reserved.
 */

struct MpChat {
    struct json_object *root;
    char *model;
    bool is_stream;
    int64_t output_tokens; /* asked for, or -1 */
    GString *prompt;       /* text of all messages */
};

/* Reads body.  Errors: MP_ERROR_INVALID, with a sentence in *why that need
 * not be freed. */
int MpChat_Parse(struct MpChat *this, const char *body, size_t size,
                 const char **why);
void MpChat_Done(struct MpChat *this);

/* Returns the token limit for the engine. */
int64_t MpChat_TokenLimit(const struct MpChat *this,
                          const struct MpModelConf *model);

/* Returns the worst case, mtok: one token for each byte of the prompt, and
 * all tokens of the limit. */
int64_t MpChat_WorstCaseCost(const struct MpChat *this,
                             const struct MpModelConf *model);

/* Returns the body for the engine; resume_from is the number of tokens that
 * the caller already has.  Free it with g_free. */
char *MpChat_EngineBody(const struct MpChat *this,
                        const struct MpModelConf *model, int64_t resume_from,
                        const char *priority);

/* Reads the usage of a plain answer; returns whether it has one. */
bool MpChat_ParseUsage(const char *body, size_t size, int64_t *prompt_tokens,
                       int64_t *output_tokens);

#endif
