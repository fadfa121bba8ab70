/* Answers of backend servers, with copies of earlier ones. */
#include "copies.h"

#include <stdio.h>
#include <string.h>

/* --- constants --- */

#define KEPT_MAX          6 /* answers per connection */
#define OTHER_KEPT_ONE_IN 4
#define COPY_ONE_IN       2  /* one answer in this many */
#define SHORT_DELAY_MS    20 /* at most; between a copy and an answer */
#define IDLE_DELAY_MS     300

/* --- types --- */

/* Where a copy is sent, seen from the answer that is due. */
enum place
{
  BEFORE,
  TOGETHER_BEFORE, /* in the same write */
  TOGETHER_AFTER,
  SHORTLY_AFTER,
  WHILE_IDLE,
  PLACE_COUNT,
};

struct answer
{
  char *id;
  char *text;
};

struct copies
{
  GRand *random;
  GHashTable *kept; /* GPtrArray of struct answer by struct raw_connection, newest last */
  gboolean sending;
  struct copies_counts counts;
};

struct delayed_text
{
  struct raw_connection *connection;
  char *text;
};

/* --- internal functions: kept answers --- */

static void
free_answer (gpointer data)
{
  struct answer *answer = data;
  g_free (answer->id);
  g_free (answer->text);
  g_free (answer);
}

static void
free_kept (gpointer data)
{
  g_ptr_array_unref (data);
}

static void
keep_answer (struct copies *copies, struct raw_connection *connection, const char *id, const char *text)
{
  GPtrArray *kept = g_hash_table_lookup (copies->kept, connection);
  struct answer *answer = g_new (struct answer, 1);
  if (!kept)
    {
      kept = g_ptr_array_new_with_free_func (free_answer);
      g_hash_table_insert (copies->kept, connection, kept);
    }
  if (kept->len == KEPT_MAX)
    g_ptr_array_remove_index (kept, 0);
  *answer = (struct answer){ .id = g_strdup (id), .text = g_strdup (text) };
  g_ptr_array_add (kept, answer);
}

static const struct answer *
find_newest (const GPtrArray *kept, const char *id)
{
  for (guint i = kept->len; i > 0; i--)
    {
      const struct answer *answer = g_ptr_array_index (kept, i - 1);
      if (strcmp (answer->id, id) == 0)
        return answer;
    }
  return NULL;
}

/* An answer sent on the connection; half of the time one with this id, if there is one. NULL: none is kept. */
static const struct answer *
choose_kept (struct copies *copies, struct raw_connection *connection, const char *id)
{
  GPtrArray *kept = g_hash_table_lookup (copies->kept, connection);
  if (!kept)
    return NULL;
  const struct answer *own = find_newest (kept, id);
  if (own && g_rand_boolean (copies->random))
    return own;
  return g_ptr_array_index (kept, g_rand_int_range (copies->random, 0, (gint32) kept->len));
}

/* --- internal functions: sending --- */

static gboolean
send_delayed_text (gpointer data)
{
  struct delayed_text *delayed_text = data;
  raw_connection_send (delayed_text->connection, "%s", delayed_text->text);
  g_free (delayed_text->text);
  g_free (delayed_text);
  return G_SOURCE_REMOVE;
}

static void
send_later (struct copies *copies, struct raw_connection *connection, const char *text, gint32 most_ms)
{
  struct delayed_text *delayed_text = g_new (struct delayed_text, 1);
  *delayed_text = (struct delayed_text){ .connection = connection, .text = g_strdup (text) };
  g_timeout_add ((guint) g_rand_int_range (copies->random, 1, most_ms), send_delayed_text, delayed_text);
}

static void
send_with_copy (struct copies *copies,
                struct raw_connection *connection,
                enum place place,
                const char *text,
                const char *copy)
{
  switch (place)
    {
    case BEFORE:
      raw_connection_send (connection, "%s", copy);
      send_later (copies, connection, text, SHORT_DELAY_MS);
      break;
    case TOGETHER_BEFORE:
      raw_connection_send (connection, "%s%s", copy, text);
      break;
    case TOGETHER_AFTER:
      raw_connection_send (connection, "%s%s", text, copy);
      break;
    default:
      raw_connection_send (connection, "%s", text);
      send_later (copies, connection, copy, place == WHILE_IDLE ? IDLE_DELAY_MS : SHORT_DELAY_MS);
      break;
    }
}

/* --- public functions --- */

struct copies *
copies_open (GRand *random)
{
  struct copies *copies = g_new0 (struct copies, 1);
  copies->random = random;
  copies->kept = g_hash_table_new_full (NULL, NULL, NULL, free_kept);
  return copies;
}

void
copies_set_sending (struct copies *copies, gboolean sending)
{
  copies->sending = sending;
}

void
copies_answer (struct copies *copies,
               struct raw_connection *connection,
               enum answer_kind kind,
               const char *id,
               const char *text)
{
  enum place place = (enum place) g_rand_int_range (copies->random, 0, PLACE_COUNT);
  gboolean is_before = place == BEFORE || place == TOGETHER_BEFORE;
  gboolean sends_copy = copies->sending && g_rand_int_range (copies->random, 0, COPY_ONE_IN) == 0;
  gboolean keeps = kind == ANSWER_REFUSAL
                   || (kind == ANSWER_OTHER && g_rand_int_range (copies->random, 0, OTHER_KEPT_ONE_IN) == 0);
  /* What is sent before an answer can only be a copy of an earlier one. */
  if (keeps && !(sends_copy && is_before))
    keep_answer (copies, connection, id, text);
  const struct answer *copy = sends_copy ? choose_kept (copies, connection, id) : NULL;
  if (copy)
    {
      copies->counts.sent++;
      if (is_before && strcmp (copy->id, id) == 0)
        {
          copies->counts.sent_before_own_id++;
          printf ("a copy of an answer to request \"%s\" was sent before another answer to it\n", id);
        }
      send_with_copy (copies, connection, place, text, copy->text);
    }
  else
    raw_connection_send (connection, "%s", text);
  if (keeps && sends_copy && is_before)
    keep_answer (copies, connection, id, text);
}

struct copies_counts
copies_count (const struct copies *copies)
{
  return copies->counts;
}
