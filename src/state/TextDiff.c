#include "state/TextDiff.h"

#include <string.h>

#define CONTEXT_LINES 2
/* Largest comparison table, in cells.  A larger differing part is returned as
 * removed and added blocks without a comparison. */
#define TABLE_CELLS_MAX 4000000

/* The parts of two texts between their common first and last lines. */
struct window {
    char **old_lines;
    char **new_lines;
    guint start;
    guint old_end;
    guint new_end;
    GPtrArray *out;
};

static void
line_delete(void *data)
{
    struct MpDiffLine *this = data;
    g_free(this->text);
    g_free(this);
}

static void
add_line(struct window *this, enum MpDiffKind kind, guint number,
         const char *text)
{
    struct MpDiffLine *line = g_new0(struct MpDiffLine, 1);
    line->kind = kind;
    line->number = number;
    line->text = g_strdup(text);
    g_ptr_array_add(this->out, line);
}

static void
trim_common(struct window *this)
{
    while (this->start < this->old_end && this->start < this->new_end &&
           strcmp(this->old_lines[this->start],
                  this->new_lines[this->start]) == 0) {
        this->start++;
    }
    while (this->old_end > this->start && this->new_end > this->start &&
           strcmp(this->old_lines[this->old_end - 1],
                  this->new_lines[this->new_end - 1]) == 0) {
        this->old_end--;
        this->new_end--;
    }
}

static void
add_blocks(struct window *this)
{
    for (guint i = this->start; i < this->old_end; i++) {
        add_line(this, MP_DIFF_REMOVED, i + 1, this->old_lines[i]);
    }
    for (guint i = this->start; i < this->new_end; i++) {
        add_line(this, MP_DIFF_ADDED, i + 1, this->new_lines[i]);
    }
}

/* Returns the table of the lengths of the longest common subsequences (LCS) of
 * the remaining lines, from row and column to the end; free it with g_free. */
static guint *
build_lcs_table(const struct window *this, guint rows, guint columns)
{
    guint *table = g_new0(guint, (gsize)(rows + 1) * (columns + 1));
    for (guint i = rows; i > 0; i--) {
        for (guint j = columns; j > 0; j--) {
            guint *cell = &table[(gsize)(i - 1) * (columns + 1) + j - 1];
            if (strcmp(this->old_lines[this->start + i - 1],
                       this->new_lines[this->start + j - 1]) == 0) {
                *cell = cell[columns + 2] + 1;
            }
            else {
                *cell = MAX(cell[columns + 1], cell[1]);
            }
        }
    }
    return table;
}

static void
add_lcs_diff(struct window *this, guint rows, guint columns)
{
    guint *table = build_lcs_table(this, rows, columns);
    guint i = 0;
    guint j = 0;
    while (i < rows || j < columns) {
        const char *old_line = this->old_lines[this->start + i];
        const char *new_line = this->new_lines[this->start + j];
        guint *cell = &table[(gsize)i * (columns + 1) + j];
        if (i < rows && j < columns && strcmp(old_line, new_line) == 0) {
            add_line(this, MP_DIFF_SAME, this->start + j + 1, new_line);
            i++;
            j++;
        }
        else if (j == columns || (i < rows && cell[columns + 1] >= cell[1])) {
            add_line(this, MP_DIFF_REMOVED, this->start + i + 1, old_line);
            i++;
        }
        else {
            add_line(this, MP_DIFF_ADDED, this->start + j + 1, new_line);
            j++;
        }
    }
    g_free(table);
}

static void
add_context(struct window *this, guint from, guint to)
{
    for (guint i = from; i < to; i++) {
        add_line(this, MP_DIFF_SAME, i + 1, this->new_lines[i]);
    }
}

GPtrArray *
MpTextDiff_Lines(const char *old_text, const char *new_text)
{
    struct window window = {
        .old_lines = g_strsplit(old_text, "\n", -1),
        .new_lines = g_strsplit(new_text, "\n", -1),
        .out = g_ptr_array_new_with_free_func(line_delete),
    };
    guint old_count = g_strv_length(window.old_lines);
    guint new_count = g_strv_length(window.new_lines);
    window.old_end = old_count;
    window.new_end = new_count;
    trim_common(&window);
    guint rows = window.old_end - window.start;
    guint columns = window.new_end - window.start;
    if (rows > 0 || columns > 0) {
        guint from =
            window.start > CONTEXT_LINES ? window.start - CONTEXT_LINES : 0;
        add_context(&window, from, window.start);
        if ((guint64)rows * columns > TABLE_CELLS_MAX) {
            add_blocks(&window);
        }
        else {
            add_lcs_diff(&window, rows, columns);
        }
        add_context(&window, window.new_end,
                    MIN(window.new_end + CONTEXT_LINES, new_count));
    }
    g_strfreev(window.old_lines);
    g_strfreev(window.new_lines);
    return window.out;
}
