/*
 * Uploads above 256 KB, sent in chunks, while one backend server of seven sheds
 * part of its requests: it reads each completely, then answers 503 with
 * X-Not-Executed.
 */
#include "fleet.h"

#include <stdlib.h>

/* --- constants --- */

#define CALLERS      6
#define UPLOAD_BYTES 300000 /* the largest of the platform's are 360,000 */
#define CHUNK_BYTES  16384
#define SMALL_BYTES  60000
#define TROUBLE_MS   6500
#define SHED_PERCENT 40
#define DEADLINE_MS  4000

static struct fleet fleet;
static int64_t trouble_until;
static gint broken;

static bool
before_run (struct backend *backend, struct connection *connection, const struct message *request)
{
  char id[256];
  header (request, "X-Attempt-Id", id);
  if (backend == &fleet.uploads[0] && now_ms () < trouble_until && g_random_int_range (0, 100) < SHED_PERCENT)
    {
      record ("backend %s: not run id=%s bytes=%u: sheds", backend->id, id, request->body->len);
      backend_answer (backend, connection, request, "503 Service Unavailable", "X-Not-Executed: 1\r\n", "");
      return false;
    }
  if (!sent_matches (backend, request))
    g_atomic_int_set (&broken, 1);
  return true;
}

static gpointer
send_uploads (gpointer data)
{
  unsigned number = GPOINTER_TO_UINT (data);
  int64_t end = now_ms () + TROUBLE_MS + 500;
  for (unsigned i = 0; now_ms () < end; i++)
    {
      char id[64];
      const struct entry *entry = &fleet.entries[(number + i) % FLEET_ENTRIES];
      g_snprintf (id, sizeof id, "u%u-%u", number, i);
      GByteArray *body = make_body (i % 2 ? SMALL_BYTES : UPLOAD_BYTES, id);
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
  if (trouble_wanted ())
    trouble_until = now_ms () + TROUBLE_MS;
  for (unsigned i = 0; i < CALLERS; i++)
    threads[i] = g_thread_new ("caller", send_uploads, GUINT_TO_POINTER (i));
  for (unsigned i = 0; i < CALLERS; i++)
    g_thread_join (threads[i]);
  finish (g_atomic_int_get (&broken));
}
