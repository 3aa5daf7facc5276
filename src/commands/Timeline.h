#ifndef MP_COMMANDS_TIMELINE_H
#define MP_COMMANDS_TIMELINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/*
 * Story - what the logs of the instances tell about one request.
 *
 * Two readings of the same files: the first takes the lines with the id of
 * the request, the second the changes of belief around them on the same
 * instances.  See transport/Log.h for the lines.
 */

/* One line of a log; the strings are owned. */
struct MpStoryLine {
    int priority; /* as in syslog(3) */
    char *time;
    int64_t time_ms; /* since 1970 */
    char *instance;
    char *event;
    char *text;
    bool is_own;    /* it names the request */
    uint32_t order; /* in which it was read */
};

struct MpStory {
    char *id;
    int64_t context_ms; /* how far around the request changes are told */
    GPtrArray *lines;   /* of struct MpStoryLine */
    GHashTable *instances;
    GHashTable *starts; /* instance -> its first start after the context */
    int64_t first_ms;
    int64_t last_ms;
};

void MpStory_Init(struct MpStory *this, const char *id, int64_t context_ms);
void MpStory_Done(struct MpStory *this);

/* Takes one line of a log in the first reading; what is no line of the log
 * is left alone. */
void MpStory_TakeOwn(struct MpStory *this, const char *line);

/* Takes one line in the second reading, after all of the first. */
void MpStory_TakeContext(struct MpStory *this, const char *line);

/* Writes the lines in the order of time, and the line that decided what
 * became of the request.  Returns false when there is none to tell of. */
bool MpStory_Tell(struct MpStory *this, FILE *out);

#endif
