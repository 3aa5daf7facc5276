#ifndef MP_FUZZ_INPUT_H
#define MP_FUZZ_INPUT_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/*
 * Input - reads the bytes of a fuzz case as a sequence of choices, and reports
 * the failure of a case.
 */

struct FuzzInput {
    const uint8_t *data;
    size_t size;
    size_t position; /* of the next byte */
};

/* Steps that all cases of this process have executed. */
extern uint64_t Fuzz_Steps;

/* Prints the message, seed and step count of a failed case and aborts. */
void Fuzz_Fail(const char *format, ...)
    __attribute__((format(printf, 1, 2), noreturn));

/* Returns the next byte, 0 past the end. */
static inline uint8_t
FuzzInput_Byte(struct FuzzInput *this)
{
    return this->position < this->size ? this->data[this->position++] : 0;
}

/* Returns a number from 0 to limit - 1; limit is from 1 to 256. */
static inline uint32_t
FuzzInput_Below(struct FuzzInput *this, uint32_t limit)
{
    return FuzzInput_Byte(this) % limit;
}

static inline int
FuzzInput_IsAtEnd(const struct FuzzInput *this)
{
    return this->position >= this->size;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#endif
