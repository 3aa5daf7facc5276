#include "state/Codec.h"

#include "state/Error.h"

#include <stdbool.h>
#include <string.h>

GBytes *
MpCodec_Encode(xdrproc_t proc, const void *object)
{
    unsigned long size = xdr_sizeof(proc, (void *)object);
    if (size == 0 || size > UINT32_MAX) {
        return NULL;
    }
    char *data = g_malloc(size);
    XDR xdr;
    xdrmem_create(&xdr, data, (u_int)size, XDR_ENCODE);
    bool ok = proc(&xdr, (void *)object);
    xdr_destroy(&xdr);
    if (!ok) {
        g_free(data);
        return NULL;
    }
    return g_bytes_new_take(data, size);
}

static int
reject(xdrproc_t proc, void *object, size_t object_size)
{
    xdr_free(proc, object);
    memset(object, 0, object_size);
    return MP_ERROR_CORRUPT;
}

int
MpCodec_DecodePrefix(xdrproc_t proc, void *object, const void *data,
                     size_t size, size_t object_size, size_t *used)
{
    XDR xdr;
    memset(object, 0, object_size);
    xdrmem_create(&xdr, (char *)data, (u_int)size, XDR_DECODE);
    bool ok = proc(&xdr, object);
    *used = xdr_getpos(&xdr);
    xdr_destroy(&xdr);
    return ok ? MP_OK : reject(proc, object, object_size);
}

int
MpCodec_Decode(xdrproc_t proc, void *object, const void *data, size_t size,
               size_t object_size)
{
    size_t used;
    int code =
        MpCodec_DecodePrefix(proc, object, data, size, object_size, &used);
    return code == MP_OK && used != size ? reject(proc, object, object_size)
                                         : code;
}

void
MpCodec_Free(xdrproc_t proc, void *object)
{
    xdr_free(proc, object);
}
