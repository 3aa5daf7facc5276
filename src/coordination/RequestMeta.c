#include "coordination/RequestMeta.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define PART_ID_MAX 64

bool
MpRequestMeta_ParseNumber(const char *text, size_t size, int64_t *number)
{
    int64_t value = 0;
    if (size == 0) {
        return false;
    }
    for (size_t i = 0; i < size; i++) {
        int digit = text[i] - '0';
        if (digit < 0 || digit > 9 || value > (INT64_MAX - digit) / 10) {
            return false;
        }
        value = value * 10 + digit;
    }
    *number = value;
    return true;
}

/* Parses a number of tokens. */
static bool
parse_count(const char *text, size_t size, int64_t *number)
{
    return MpRequestMeta_ParseNumber(text, size, number) &&
           *number <= MP_REQUEST_TOKENS_MAX;
}

bool
MpRequestMeta_ParseTokens(struct MpRequestMeta *this, const char *text,
                          size_t size)
{
    int64_t prompt;
    int64_t output;
    const char *comma = memchr(text, ',', size);
    if (!comma) {
        return false;
    }
    size_t first = (size_t)(comma - text);
    if (!parse_count(text, first, &prompt) ||
        !parse_count(comma + 1, size - first - 1, &output)) {
        return false;
    }
    this->prompt_tokens = prompt;
    this->output_tokens_max = output;
    return true;
}

/* Parses one "ID:TOKENS".  The id is hashed together with the parts before
 * it, because engines cache a part only after the same preceding parts. */
static bool
read_part(struct MpRequestMeta *this, const char *text, size_t size)
{
    int64_t tokens;
    const char *colon = memchr(text, ':', size);
    if (!colon || colon == text || colon - text > PART_ID_MAX) {
        return false;
    }
    size_t id_size = (size_t)(colon - text);
    if (!parse_count(colon + 1, size - id_size - 1, &tokens)) {
        return false;
    }
    if (this->part_count == MP_PROMPT_PARTS_MAX) {
        this->parts[MP_PROMPT_PARTS_MAX - 1].tokens += tokens;
        return true;
    }
    uint64_t previous =
        this->part_count > 0 ? this->parts[this->part_count - 1].id : 0;
    this->parts[this->part_count++] =
        (struct MpPromptPart){.id = XXH64(text, id_size, previous),
                              .own_id = XXH64(text, id_size, 0),
                              .tokens = tokens};
    return true;
}

bool
MpRequestMeta_ParseParts(struct MpRequestMeta *this, const char *text,
                         size_t size)
{
    size_t at = 0;
    this->part_count = 0;
    while (at < size) {
        const char *comma = memchr(text + at, ',', size - at);
        size_t end = comma ? (size_t)(comma - text) : size;
        if (!read_part(this, text + at, end - at)) {
            this->part_count = 0;
            return false;
        }
        at = end + 1;
    }
    return this->part_count > 0;
}
