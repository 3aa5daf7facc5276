#ifndef MP_COORDINATION_REQUEST_META_H
#define MP_COORDINATION_REQUEST_META_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * MpRequestMeta - request metadata from the caller's headers: deadline, resume
 * position, and size and parts of the prompt.
 */

/* Parts that are stored; the tokens of further ones are added to the last. */
#define MP_PROMPT_PARTS_MAX 32

/* Largest number of tokens that a header may name, so that sums of them stay
 * amounts (MP_AMOUNT_MAX_MTOK). */
#define MP_REQUEST_TOKENS_MAX INT64_C(100000000000)

/* A part of a prompt, e.g. a system prompt that many requests share. */
struct MpPromptPart {
    uint64_t id;     /* hash of the ids of this part and all parts before it */
    uint64_t own_id; /* hash of its own id, whatever comes before it */
    int64_t tokens;
};

struct MpRequestMeta {
    int64_t deadline_ms;   /* time that the caller waits; 0: not stated */
    int64_t resume_after;  /* id of the last event received; -1: none */
    int64_t prompt_tokens; /* 0: not stated */
    int64_t output_tokens_max;
    struct MpPromptPart parts[MP_PROMPT_PARTS_MAX];
    uint32_t part_count;
};

/* Parses a decimal number of exactly size digits.  Returns false for any
 * other character, for no digit, and above INT64_MAX. */
bool MpRequestMeta_ParseNumber(const char *text, size_t size, int64_t *number);

/* Parses "PROMPT,OUTPUT", the tokens of the prompt and the largest number of
 * output tokens, each at most MP_REQUEST_TOKENS_MAX.  Returns false and leaves
 * the struct unchanged on error. */
bool MpRequestMeta_ParseTokens(struct MpRequestMeta *this, const char *text,
                               size_t size);

/* Parses "ID:TOKENS,ID:TOKENS,...", the parts of the prompt in order, with
 * hexadecimal ids of 1 to 64 bytes (the digits are not checked).  Returns
 * false and stores no parts on error. */
bool MpRequestMeta_ParseParts(struct MpRequestMeta *this, const char *text,
                              size_t size);

#endif
