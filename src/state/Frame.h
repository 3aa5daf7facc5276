#ifndef MP_STATE_FRAME_H
#define MP_STATE_FRAME_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Frame - a checked piece of an append-only file: magic, length, sequence
 * number, checksum, payload.
 */

#define MP_FRAME_HEAD_BYTES 24

/* Appends a frame to out. */
void MpFrame_Append(GByteArray *out, uint64_t sequence, GBytes *payload);

/* Returns the length of the good frame at data with its head, or 0. */
size_t MpFrame_Check(const uint8_t *data, size_t size, uint64_t *sequence);

/* Returns whether a good frame starts anywhere in data. */
bool MpFrame_HasGood(const uint8_t *data, size_t size);

#endif
