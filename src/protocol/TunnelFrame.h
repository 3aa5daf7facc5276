#ifndef MP_PROTOCOL_TUNNEL_FRAME_H
#define MP_PROTOCOL_TUNNEL_FRAME_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * TunnelFrame - how an instance passes a target's bytes to another instance:
 * in frames of a length (four bytes, most significant first) and that many
 * bytes, and at the end one of two marks instead of a length.
 *
 * With the marks, a connection that the target ended in good order, one that
 * it reset, and one whose passing instance failed can be told apart.
 */

#define MP_FRAME_HEAD_BYTES 4
/* The target closed its connection in good order. */
#define MP_FRAME_CLOSED 0
/* The connection to the target failed. */
#define MP_FRAME_RESET UINT32_MAX
/* Most bytes in a frame. */
#define MP_FRAME_MAX_BYTES (1024 * 1024)

enum MpFrameEnd {
    MP_FRAME_END_NONE,   /* more may follow */
    MP_FRAME_END_CLOSED, /* MP_FRAME_CLOSED was read */
    MP_FRAME_END_RESET,  /* MP_FRAME_RESET was read */
    MP_FRAME_END_INVALID /* what was read are no frames */
};

/* The reading end. */
struct MpFrameReader {
    uint32_t left; /* bytes of the current frame */
    enum MpFrameEnd end;
};

/* Appends a frame of at most MP_FRAME_MAX_BYTES to out. */
void MpTunnelFrame_Append(GByteArray *out, const void *data, uint32_t size);

/* Appends MP_FRAME_CLOSED or MP_FRAME_RESET to out. */
void MpTunnelFrame_AppendEnd(GByteArray *out, uint32_t mark);

/* Reads frames from data and appends their bytes to out, up to an end, which
 * stays in this->end.  Returns the bytes used; fewer than size if a length is
 * incomplete, or something follows the end. */
size_t MpFrameReader_Read(struct MpFrameReader *this, const void *data,
                          size_t size, GByteArray *out);

#endif
