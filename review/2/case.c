/*
 * Uploads above 256 KB, sent in chunks, while one backend server of seven is
 * down: it refuses connections.
 */
#include "fleet.h"

#include <stdlib.h>

/* --- constants --- */

#define CALLERS      6
#define UPLOAD_BYTES 300000 /* the largest of the platform's are 360,000 */
#define CHUNK_BYTES  4096
#define CRASHES      20 /* one after the other, of one backend server at a time */
#define CRASH_MS     700
#define PAUSE_MS     700
#define DEADLINE_MS  4000

static struct fleet fleet;
static gint done;
static gint broken;

static bool
before_run (struct backend *backend, struct connection *connection, const struct message *request)
{
  (void) connection;
  if (!sent_matches (backend, request))
    g_atomic_int_set (&broken, 1);
  return true;
}

static gpointer
send_uploads (gpointer data)
{
  unsigned number = GPOINTER_TO_UINT (data);
  for (unsigned i = 0; !g_atomic_int_get (&done); i++)
    {
      char id[64];
      const struct entry *entry = &fleet.entries[(number + i) % FLEET_ENTRIES];
      g_snprintf (id, sizeof id, "u%u-%u", number, i);
      GByteArray *body = make_body (UPLOAD_BYTES, id);
      struct connection connection = { .fd = connect_to (entry->front) };
      sent_add (id, body);
      struct answer answer
          = caller_send (&connection, "POST", FLEET_HOST, "/up/file", id, DEADLINE_MS, body, CHUNK_BYTES);
      record ("caller: id=%s entry=%s answer=%u \"%s\"", id, entry->name, answer.status, answer.body);
      connection_clear (&connection, false);
      g_byte_array_unref (body);
      sleep_ms (20);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  GThread *threads[CALLERS];
  if (argc != 2)
    return 2;
  record_open (argv[1]);
  for (unsigned i = 0; i < FLEET_UPLOADS; i++)
    fleet.uploads[i].before_run = before_run;
  fleet_start (&fleet);
  for (unsigned i = 0; i < CALLERS; i++)
    threads[i] = g_thread_new ("caller", send_uploads, GUINT_TO_POINTER (i));
  for (unsigned i = 0; i < CRASHES; i++)
    {
      sleep_ms (PAUSE_MS);
      if (trouble_wanted ())
        backend_crash (&fleet.uploads[i % FLEET_ENTRIES]);
      sleep_ms (CRASH_MS);
      if (trouble_wanted ())
        backend_restart (&fleet.uploads[i % FLEET_ENTRIES]);
    }
  g_atomic_int_set (&done, 1);
  for (unsigned i = 0; i < CALLERS; i++)
    g_thread_join (threads[i]);
  finish (g_atomic_int_get (&broken));
}
