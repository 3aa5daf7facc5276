#include "coordination/Thousandths.h"

#include "state/Error.h"

#include <glib.h>

/* Digits after the decimal point that count. */
#define FRACTION_DIGITS 3

int
MpThousandths_Parse(const char *text, size_t size, int64_t max, int64_t *value)
{
    int64_t number = 0;
    size_t fraction = 0; /* characters from the decimal point on */
    size_t digits = 0;
    for (size_t i = 0; i < size; i++) {
        if (text[i] == '.' && fraction == 0 && digits > 0) {
            fraction = 1;
            continue;
        }
        if (!g_ascii_isdigit(text[i])) {
            return MP_ERROR_INVALID;
        }
        digits++;
        if (fraction <= FRACTION_DIGITS) {
            number = MIN(number * 10 + (text[i] - '0'), max + 1);
        }
        fraction += fraction > 0;
    }
    if (digits == 0 || fraction == 1) {
        return MP_ERROR_INVALID;
    }
    for (size_t i = MAX(fraction, 1); i <= FRACTION_DIGITS; i++) {
        number = MIN(number * 10, max + 1);
    }
    if (number > max) {
        return MP_ERROR_OVERFLOW;
    }
    *value = number;
    return MP_OK;
}
