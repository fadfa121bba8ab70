/*
 * Registrations (unsafe) while one backend server of seven fails part of them:
 * it runs each, then answers 503 without X-Not-Executed, with a body of
 * FAILURE_BYTES. Callers send a refused registration again, as 503 promises
 * that it has not run.
 */
#include "fleet.h"

#include <stdlib.h>
#include <string.h>

/* --- constants --- */

#define CALLERS       6
#define FAILURE_BYTES 300000
#define TROUBLE_MS    6500
#define FAIL_PERCENT  40
#define DEADLINE_MS   4000

static struct fleet fleet;
static int64_t trouble_until;
static gint broken;
static GMutex mutex;
static GHashTable *failed; /* ids of requests that have run and were answered 503 by the backend server */

static bool
before_run (struct backend *backend, struct connection *connection, const struct message *request)
{
  char id[256];
  char text[20];
  header (request, "X-Attempt-Id", id);
  bool fails = backend == &fleet.uploads[0] && now_ms () < trouble_until && g_random_int_range (0, 100) < FAIL_PERCENT;
  if (!fails)
    return true;
  record ("backend %s: run id=%s digest=%s, and answers 503 without X-Not-Executed", backend->id, id,
          digest (request->body, text));
  g_mutex_lock (&mutex);
  g_hash_table_add (failed, g_strdup (id));
  g_mutex_unlock (&mutex);
  GByteArray *page = make_body (FAILURE_BYTES, "failure");
  g_byte_array_append (page, (const guint8 *) "", 1);
  char *fields = g_strdup_printf ("X-Server-Stamp: %s.%s\r\n", backend->id, id);
  backend_answer (backend, connection, request, "503 Service Unavailable", fields, (const char *) page->data);
  g_free (fields);
  g_byte_array_unref (page);
  return false;
}

static bool
has_run (const char *id)
{
  g_mutex_lock (&mutex);
  bool run = g_hash_table_contains (failed, id);
  g_mutex_unlock (&mutex);
  return run;
}

/* Sends the registration, and once more under a new attempt id after a promise that it has not run. */
static void
send_registration (const struct entry *entry, const char *registration)
{
  for (unsigned attempt = 0; attempt < 2; attempt++)
    {
      char id[80];
      g_snprintf (id, sizeof id, "%s.%u", registration, attempt);
      GByteArray *body = make_body (1200, registration);
      struct connection connection = { .fd = connect_to (entry->front) };
      sent_add (id, body);
      struct answer answer = caller_send (&connection, "POST", FLEET_HOST, "/un/new", id, DEADLINE_MS, body, 0);
      record ("caller: id=%s entry=%s answer=%u complete=%d", id, entry->name, answer.status, answer.complete);
      connection_clear (&connection, false);
      g_byte_array_unref (body);
      bool refused = answer.status == 503 || answer.status == 429;
      if (refused && has_run (id))
        {
          record ("REFUSED: id=%s was answered %u and has run", id, answer.status);
          g_atomic_int_set (&broken, 1);
        }
      if (!refused)
        return;
      sleep_ms (50);
    }
}

static gpointer
send_registrations (gpointer data)
{
  unsigned number = GPOINTER_TO_UINT (data);
  int64_t end = now_ms () + TROUBLE_MS + 500;
  for (unsigned i = 0; now_ms () < end; i++)
    {
      char registration[64];
      g_snprintf (registration, sizeof registration, "r%u-%u", number, i);
      send_registration (&fleet.entries[(number + i) % FLEET_ENTRIES], registration);
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
  failed = g_hash_table_new (g_str_hash, g_str_equal);
  for (unsigned i = 0; i < FLEET_UPLOADS; i++)
    fleet.uploads[i].before_run = before_run;
  fleet_start (&fleet);
  if (trouble_wanted ())
    trouble_until = now_ms () + TROUBLE_MS;
  for (unsigned i = 0; i < CALLERS; i++)
    threads[i] = g_thread_new ("caller", send_registrations, GUINT_TO_POINTER (i));
  for (unsigned i = 0; i < CALLERS; i++)
    g_thread_join (threads[i]);
  finish (g_atomic_int_get (&broken));
}
