#ifndef MP_PROTOCOL_TARGET_PAGE_H
#define MP_PROTOCOL_TARGET_PAGE_H

#include "coordination/Roster.h"
#include "state/Json.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * TargetPage - parses one page of a target list, in which each entry may come
 * from another writer: an unreadable entry costs that entry and no other.
 *
 * The page is an object with a list of entries and the name of the next page.
 * Each entry is cut out by its bytes and parsed alone.  An entry is readable
 * if it is an object in standard JSON without duplicate names, at most
 * MP_ENTRY_MAX_BYTES long and MP_JSON_DEPTH_MAX levels deep, whose fields are
 * valid in the dialect and by MpListedTarget_FindError.
 *
 * If strings and brackets match throughout the page, exactly its unreadable
 * entries are left out.  Otherwise, if the page is known to be whole, it is
 * repaired: from the first entry on that has not the form of JSON, the next
 * entry is the next comma with a readable entry behind it that a comma or the
 * end of the list follows.  Then it holds that
 *
 * - each entry that is taken is one piece of the page, which is JSON by itself
 *   and stands between separators; none is made of pieces of two;
 * - one entry with a string or brackets that are not finished, or closed too
 *   often, costs no other entry, unless its bytes end the list and go on with
 *   another field in valid JSON;
 * - within an entry of that kind, a list with complete entries may be taken
 * for entries of the page.
 *
 * A page that is not known to be whole (its connection ended) is never
 * repaired, as it may have been cut off.
 */

#define MP_ENTRY_MAX_BYTES 65536
#define MP_ENTRY_SAMPLE_BYTES 48

/* Format of the pages of a dialect. */
struct MpTargetPageFormat {
    const char *list;       /* name of the field with the entries */
    const char *key;        /* name of a field that each entry has */
    const char *next;       /* name of the field with the next page */
    const char *next_query; /* precedes it in the query of the next request */
    /* Returns a new target, or NULL and a reason. */
    struct MpListedTarget *(*parse_entry)(struct json_object *entry,
                                          const char **reason);
};

/* The unreadable entries of a list, and the first of them. */
struct MpUnreadableEntries {
    uint32_t count;
    const char *reason;                         /* literal */
    char sample[4 * MP_ENTRY_SAMPLE_BYTES + 1]; /* its first bytes, escaped */
};

/* Parses a page.  Adds readable entries to targets (struct MpListedTarget),
 * the others to unreadable.  *next is the query string of the next page, to be
 * freed with g_free, or NULL.  is_whole: the length of the page was known.
 * Returns MP_ERROR_INVALID if the page has no list, if its end cannot be
 * found, or if the name of the next page cannot be read. */
int MpTargetPage_Parse(const struct MpTargetPageFormat *format,
                       const char *text, size_t size, bool is_whole,
                       GPtrArray *targets,
                       struct MpUnreadableEntries *unreadable, char **next);

/* Counts an unreadable entry and keeps the first of them. */
void MpUnreadableEntries_Add(struct MpUnreadableEntries *this,
                             const char *reason, const char *text,
                             size_t size);

/* Returns why a target cannot be used, or NULL: a name that is empty, too
 * long, or holds characters that must not stand in a header line; no port; or
 * numbers out of range. */
const char *MpListedTarget_FindError(const struct MpListedTarget *target);

#endif
