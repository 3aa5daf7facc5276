#ifndef MP_COORDINATION_THOUSANDTHS_H
#define MP_COORDINATION_THOUSANDTHS_H

#include <stddef.h>
#include <stdint.h>

/*
 * Thousandths - decimal numbers in headers, such as "2.5", in thousandths.
 */

/* Parses digits, with or without a decimal point and further digits; digits
 * after the third are ignored.  Returns MP_OK, MP_ERROR_INVALID for anything
 * else, or MP_ERROR_OVERFLOW for a number above max; *value is set only with
 * MP_OK. */
int MpThousandths_Parse(const char *text, size_t size, int64_t max,
                        int64_t *value);

#endif
