/*
 * Uploads above 256 KB whose callers leave before their deadline, at a service
 * whose requests wait for slots. Counts the requests that reach a backend
 * server over half a second after their caller has closed its connection.
 */
#include "fleet.h"

#include <stdlib.h>
#include <string.h>

/* --- constants --- */

#define CALLERS       90
#define UPLOAD_BYTES  360000 /* the largest of the platform's */
#define WORK_MS       700    /* the longest of the platform's uploads take 1,200 ms */
#define TROUBLE_MS    11000
#define LEAVE_PERCENT 20
#define LEAVE_MS      300 /* half the objective */
#define LATE_MS       500
#define FEW           5 /* "more than a few" */
#define DEADLINE_MS   4000

static struct fleet fleet;
static int64_t end_at;
static bool callers_leave;
static GMutex mutex;
static GHashTable *left; /* when the caller of a request left, in ms */
static unsigned late;
static unsigned late_runs;

static int64_t
left_at (const char *id)
{
  g_mutex_lock (&mutex);
  gint64 *at = g_hash_table_lookup (left, id);
  g_mutex_unlock (&mutex);
  return at ? *at : 0;
}

static bool
before_body (struct backend *backend, struct connection *connection, const struct message *request)
{
  char id[256];
  (void) connection;
  int64_t at = left_at (header (request, "X-Attempt-Id", id));
  if (at == 0 || now_ms () - at <= LATE_MS)
    return true;
  record ("GONE: id=%s reaches backend %s %d ms after its caller has left", id, backend->id, (int) (now_ms () - at));
  g_mutex_lock (&mutex);
  late++;
  g_mutex_unlock (&mutex);
  return true;
}

static bool
before_run (struct backend *backend, struct connection *connection, const struct message *request)
{
  char id[256];
  (void) connection;
  int64_t at = left_at (header (request, "X-Attempt-Id", id));
  if (at > 0 && now_ms () - at > LATE_MS)
    {
      record ("GONE: id=%s is complete at backend %s, which runs it", id, backend->id);
      g_mutex_lock (&mutex);
      late_runs++;
      g_mutex_unlock (&mutex);
    }
  return true;
}

static void
send_and_leave (struct connection *connection, const char *id, const GByteArray *body)
{
  char *head = g_strdup_printf ("POST /up/file HTTP/1.1\r\nHost: " FLEET_HOST "\r\nX-Attempt-Id: %s\r\n"
                                "X-Deadline-Ms: %u\r\nContent-Length: %u\r\n\r\n",
                                id, DEADLINE_MS, body->len);
  send_bytes (connection->fd, head, strlen (head));
  send_bytes (connection->fd, body->data, body->len);
  g_free (head);
  sleep_ms (LEAVE_MS);
  gint64 *at = g_new (gint64, 1);
  *at = now_ms ();
  connection_clear (connection, false);
  g_mutex_lock (&mutex);
  g_hash_table_insert (left, g_strdup (id), at);
  g_mutex_unlock (&mutex);
  record ("caller: id=%s closes its connection", id);
}

static gpointer
send_uploads (gpointer data)
{
  unsigned number = GPOINTER_TO_UINT (data);
  for (unsigned i = 0; now_ms () < end_at; i++)
    {
      char id[64];
      const struct entry *entry = &fleet.entries[(number + i) % FLEET_ENTRIES];
      g_snprintf (id, sizeof id, "u%u-%u", number, i);
      GByteArray *body = make_body (UPLOAD_BYTES, id);
      struct connection connection = { .fd = connect_to (entry->front) };
      sent_add (id, body);
      if (callers_leave && g_random_int_range (0, 100) < LEAVE_PERCENT)
        send_and_leave (&connection, id, body);
      else
        {
          struct answer answer = caller_send (&connection, "POST", FLEET_HOST, "/up/file", id, DEADLINE_MS, body, 0);
          record ("caller: id=%s entry=%s answer=%u", id, entry->name, answer.status);
          connection_clear (&connection, false);
        }
      g_byte_array_unref (body);
      sleep_ms (100);
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
  left = g_hash_table_new (g_str_hash, g_str_equal);
  for (unsigned i = 0; i < FLEET_UPLOADS; i++)
    {
      fleet.uploads[i].before_body = before_body;
      fleet.uploads[i].before_run = before_run;
    }
  fleet_start (&fleet);
  for (unsigned i = 0; i < FLEET_UPLOADS; i++)
    fleet.uploads[i].work_ms = WORK_MS;
  callers_leave = trouble_wanted ();
  end_at = now_ms () + TROUBLE_MS;
  for (unsigned i = 0; i < CALLERS; i++)
    threads[i] = g_thread_new ("caller", send_uploads, GUINT_TO_POINTER (i));
  for (unsigned i = 0; i < CALLERS; i++)
    g_thread_join (threads[i]);
  record ("%u requests reached a backend server over %d ms late, %u of them complete", late, LATE_MS, late_runs);
  finish (late > FEW);
}
