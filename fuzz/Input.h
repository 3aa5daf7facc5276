#ifndef MP_FUZZ_INPUT_H
#define MP_FUZZ_INPUT_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/*
 * Input - the bytes of a fuzz case, read as choices, and how a case fails.
 */

struct FuzzInput {
    const uint8_t *data;
    size_t size;
    size_t at;
};

/* Steps done by all cases of this process. */
extern uint64_t Fuzz_Steps;

/* Prints why the case failed and aborts. */
void Fuzz_Fail(const char *format, ...)
    __attribute__((format(printf, 1, 2), noreturn));

/* Returns the next byte, 0 past the end. */
static inline uint8_t
FuzzInput_Byte(struct FuzzInput *this)
{
    return this->at < this->size ? this->data[this->at++] : 0;
}

/* Returns a choice below limit, which is at most 256. */
static inline uint32_t
FuzzInput_Below(struct FuzzInput *this, uint32_t limit)
{
    return FuzzInput_Byte(this) % limit;
}

static inline int
FuzzInput_IsOver(const struct FuzzInput *this)
{
    return this->at >= this->size;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#endif
