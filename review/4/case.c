/*
 * A request that crashes each backend server that begins to run it comes again
 * and again, among sound requests with the same path and another query.
 */
#include "fleet.h"

#include <stdlib.h>
#include <string.h>

/* --- constants --- */

#define CALLERS         6
#define TROUBLE_MS      30000
#define REPEAT_MS       2500 /* between two attempts of the crashing request */
#define BACK_MS         2000 /* a backend server that has crashed is back after that */
#define CONTACT_MS      3000 /* bound "contact" */
#define CRASHES_BEFORE  3    /* "later than contact after it has crashed the third" */
#define RETRIES_ALLOWED 3    /* "in more than three retries" */
#define DEADLINE_MS     3000
#define CRASHING_QUERY  "key=crash"

static struct fleet fleet;
static GMutex mutex;
static unsigned crashes;
static int64_t third_crash_at;
static unsigned attempts;      /* of the crashing request, by its caller */
static unsigned late_attempts; /* of these, that reached a backend server later than allowed */
static unsigned last_late;     /* the last one that was counted */
static unsigned lost;          /* other requests that ran at a backend server which crashed */
static unsigned starts[FLEET_UPLOADS];
static gint done;

static gpointer
bring_back (gpointer data)
{
  struct backend *backend = data;
  size_t i = (size_t) (backend - fleet.uploads);
  sleep_ms (BACK_MS);
  store_delete (fleet.store, "servers", backend->id);
  g_snprintf (backend->id, sizeof backend->id, "i-uploads-%zu-%u", i, ++starts[i]);
  backend_restart (backend);
  return NULL;
}

static void
count_arrival (const struct backend *backend, const char *id)
{
  unsigned number = (unsigned) atoi (id + strlen ("crash-"));
  if (third_crash_at == 0 || now_ms () - third_crash_at <= CONTACT_MS || number <= last_late)
    return;
  last_late = number;
  late_attempts++;
  record ("BUDGET: id=%s reaches backend %s %d ms after the third crash", id, backend->id,
          (int) (now_ms () - third_crash_at));
}

static bool
before_run (struct backend *backend, struct connection *connection, const struct message *request)
{
  char id[256];
  (void) connection;
  header (request, "X-Attempt-Id", id);
  if (!strstr (request->first_line, CRASHING_QUERY))
    return true;
  g_mutex_lock (&mutex);
  count_arrival (backend, id);
  bool crashes_now = trouble_wanted () && !backend->down;
  if (crashes_now)
    {
      lost += backend->running;
      record ("backend %s: runs id=%s and crashes, with %u others running", backend->id, id, backend->running);
      backend_crash (backend);
      if (++crashes == CRASHES_BEFORE)
        third_crash_at = now_ms ();
    }
  g_mutex_unlock (&mutex);
  if (crashes_now)
    g_thread_unref (g_thread_new ("back", bring_back, backend));
  return !crashes_now;
}

static struct answer
get (const struct entry *entry, const char *path, const char *id)
{
  struct connection connection = { .fd = connect_to (entry->front) };
  struct answer answer = caller_send (&connection, "GET", FLEET_HOST, path, id, DEADLINE_MS, NULL, 0);
  connection_clear (&connection, false);
  return answer;
}

static gpointer
send_sound_requests (gpointer data)
{
  unsigned number = GPOINTER_TO_UINT (data);
  for (unsigned i = 0; !g_atomic_int_get (&done); i++)
    {
      char id[64];
      char path[64];
      g_snprintf (id, sizeof id, "s%u-%u", number, i);
      g_snprintf (path, sizeof path, "/ur/lookup?key=%u-%u", number, i);
      struct answer answer = get (&fleet.entries[(number + i) % FLEET_ENTRIES], path, id);
      record ("caller: id=%s answer=%u", id, answer.status);
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
    {
      fleet.uploads[i].before_run = before_run;
      fleet.uploads[i].work_ms = 40;
    }
  fleet_start (&fleet);
  int64_t end = now_ms () + TROUBLE_MS;
  for (unsigned i = 0; i < CALLERS; i++)
    threads[i] = g_thread_new ("caller", send_sound_requests, GUINT_TO_POINTER (i));
  while (now_ms () < end)
    {
      char id[64];
      g_snprintf (id, sizeof id, "crash-%u", ++attempts);
      struct answer answer = get (&fleet.entries[attempts % FLEET_ENTRIES], "/ur/lookup?" CRASHING_QUERY, id);
      record ("caller: id=%s answer=%u", id, answer.status);
      sleep_ms (REPEAT_MS);
    }
  g_atomic_int_set (&done, 1);
  for (unsigned i = 0; i < CALLERS; i++)
    g_thread_join (threads[i]);
  record ("%u attempts, %u crashes, %u attempts reached a backend server later than allowed, %u other requests were "
          "running where it crashed",
          attempts, crashes, late_attempts, lost);
  finish (late_attempts > RETRIES_ALLOWED);
}
