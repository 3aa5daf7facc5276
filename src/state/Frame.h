#ifndef MP_STATE_FRAME_H
#define MP_STATE_FRAME_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Frame - a record of an append-only file: magic, length, sequence number,
 * checksum and payload.
 */

/* Size of what comes before the payload. */
#define MP_FRAME_HEAD_BYTES 24

/* Appends a frame to out. */
void MpFrame_Append(GByteArray *out, uint64_t sequence, GBytes *payload);

/* Returns the length, head included, of the frame at the start of data, and
 * its sequence number.  Returns 0 if the frame is invalid. */
size_t MpFrame_Check(const uint8_t *data, size_t size, uint64_t *sequence);

/* Returns whether a valid frame starts at any offset of data. */
bool MpFrame_HasValid(const uint8_t *data, size_t size);

#endif
