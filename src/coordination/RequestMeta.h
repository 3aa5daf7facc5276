#ifndef MP_COORDINATION_REQUEST_META_H
#define MP_COORDINATION_REQUEST_META_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * CallFacts - what a caller says of a request beside its body.
 */

/* Parts of a prompt that are told apart; what follows counts as one. */
#define MP_PARTS_MAX 16

/* A part of a prompt; id names the part together with all before it. */
struct MpPart {
    uint64_t id;
    int64_t tokens;
};

struct MpRequestMeta {
    int64_t deadline_ms;   /* that the caller waits; 0 when it does not say */
    int64_t resume_after;  /* last event that the caller has; -1 for none */
    int64_t prompt_tokens; /* 0 when it does not say */
    int64_t output_tokens_max;
    struct MpPart parts[MP_PARTS_MAX];
    uint32_t part_count;
};

/* Reads a whole number of size characters; returns false for anything else,
 * and for more than INT64_MAX. */
bool MpRequestMeta_ParseNumber(const char *text, size_t size, int64_t *number);

/* Reads PROMPT,MOST_OUTPUT. Returns false and changes nothing if it is not. */
bool MpRequestMeta_ParseTokens(struct MpRequestMeta *this, const char *text,
                               size_t size);

/* Reads ID:TOKENS,... with hexadecimal ids. */
bool MpRequestMeta_ParseParts(struct MpRequestMeta *this, const char *text,
                              size_t size);

#endif
