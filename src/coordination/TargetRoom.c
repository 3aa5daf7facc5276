#include "coordination/TargetRoom.h"

#include <glib.h>

bool
MpTargetRoom_Note(struct MpTargetRoom *this, int64_t refusals_max,
                  int64_t sent_ms)
{
    if (sent_ms < this->word.sent_ms) {
        return false;
    }
    bool has_changed = refusals_max != this->word.refusals_max;
    this->word =
        (struct MpRoomWord){.refusals_max = refusals_max, .sent_ms = sent_ms};
    return has_changed;
}

void
MpTargetRoom_NoteRefusal(struct MpTargetRoom *this, int64_t wall_ms)
{
    this->held_until_ms = wall_ms + MP_ROOM_HOLD_MS;
}

static int64_t
share_of(const struct MpRoomQuery *query)
{
    int64_t rest = query->slots % query->instances;
    return query->slots / query->instances + (query->rank < rest ? 1 : 0);
}

/* Returns whether the target's own word counts, and not that of its pool. */
static bool
has_own_word(const struct MpTargetRoom *this, const struct MpRoomQuery *query)
{
    return this->word.sent_ms > 0 &&
           query->pool.sent_ms - this->word.sent_ms <= MP_ROOM_OWN_MS;
}

static int64_t
refusals_max(const struct MpTargetRoom *this, const struct MpRoomQuery *query)
{
    return has_own_word(this, query) ? this->word.refusals_max
                                     : query->pool.refusals_max;
}

/* Returns whether this instance may go beyond its share now. */
static bool
has_turn(const struct MpTargetRoom *this, const struct MpRoomQuery *query)
{
    int64_t turn = query->wall_ms / MP_ROOM_TURN_MS;
    int64_t at_once = refusals_max(this, query) / 2;
    if (at_once == 0) {
        return false;
    }
    int64_t groups = (query->instances + at_once - 1) / at_once;
    return query->wall_ms % MP_ROOM_TURN_MS < MP_ROOM_TURN_USED_MS &&
           query->rank % groups == turn % groups;
}

bool
MpTargetRoom_MaySend(const struct MpTargetRoom *this,
                     const struct MpRoomQuery *query)
{
    if (refusals_max(this, query) == 0 || query->slots == 0) {
        return true;
    }
    /* A clock that was set back does not make the hold longer. */
    int64_t held_ms = this->held_until_ms - query->wall_ms;
    if (held_ms > 0 && held_ms <= MP_ROOM_HOLD_MS) {
        return false;
    }
    int64_t share = share_of(query);
    int64_t reserve = MIN((int64_t)query->instances, query->slots / 2);
    bool has_free = query->reported >= 0 &&
                    query->reported + MAX(reserve, 1) <= query->slots;
    /* Without a word of its own a single request asks for one. */
    bool may_exceed = has_own_word(this, query) ? has_free : share == 0;
    return query->running < share ||
           (query->running == share && may_exceed && has_turn(this, query));
}

bool
MpTargetRoom_Parse(const char *text, size_t size, int64_t *refusals_max)
{
    int64_t number = 0;
    if (size == 0 || size > 7) {
        return false;
    }
    for (size_t i = 0; i < size; i++) {
        if (!g_ascii_isdigit(text[i])) {
            return false;
        }
        number = number * 10 + (text[i] - '0');
    }
    if (number < 1 || number > MP_ROOM_REFUSALS_MAX) {
        return false;
    }
    *refusals_max = number;
    return true;
}
