/* Case 9: entries are killed in the middle of a release; the others go on sending to a server that is draining. */
#include "../standins-2/standins.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ZONES           3
#define ENTRIES_IN_ZONE 5
#define ENTRIES         (ZONES * ENTRIES_IN_ZONE)
#define BACKENDS        6  /* before the release */
#define STEPS           13 /* of the release: in each a new server starts and an old one drains */
#define DRAIN_MS        2000
#define NEW_TO_OLD_MS   20  /* from the report of the new server to that of the old one */
#define KILL_AFTER_MS   730 /* after the acknowledgement of the old server's report */
#define DARK_MS         2600
#define KILLED          9    /* of 15: herd_kill takes 0.6 of the machines if no share is named */
#define STAY_MS         6000 /* how long a server goes on after its report was acknowledged */
#define CALM_MS         3700 /* before each step: more than contact */
#define FIRST_CALM_MS   9000 /* until the entries have settled who watches */
#define REQUEST_GAP_MS  45   /* at one entry */
#define DEADLINE_MS     1500

static const char config[]
    = "{\"version\":\"r7\",\"routes\":[{\"name\":\"r-filing\",\"host\":\"filing.example\",\"path_prefix\":\"/filing/\","
      "\"route_kind\":\"unsafe\",\"timeout\":\"1500ms\",\"target_latency\":\"300ms\",\"priority\":1,\"service\":"
      "\"filing\","
      "\"max_attempts\":2}],\"services\":[{\"name\":\"filing\",\"health_path\":\"/health\",\"max_conns\":220,"
      "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
      "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}";

static struct entry entries[ENTRIES];
static struct backend backends[BACKENDS + STEPS];
static bool trouble;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static volatile bool sending = true;
static volatile int64_t acked_at[BACKENDS + STEPS]; /* 0: not draining */
static volatile bool disturbed[ENTRIES];            /* in this step */
static int late, sent, answered;

struct request
{
  int entry;
  int number;
};

static void
make_id (const struct request *request, char *id, size_t size)
{
  snprintf (id, size, "e%d-%06d", request->entry, request->number);
}

/* Notes when a request reaches the server. */
static bool
note_arrival (struct backend *backend, int fd, const struct message *request, const char *id)
{
  int64_t at = now_ms ();
  int index = (int) (backend - backends);
  int entry = 0;
  (void) fd;
  (void) request;
  sscanf (id, "e%d-", &entry);
  int64_t acked = acked_at[index];
  if (acked == 0 || at <= acked + DRAIN_MS)
    return false;
  pthread_mutex_lock (&lock);
  late += !disturbed[entry];
  pthread_mutex_unlock (&lock);
  record ("server %s: %s reaches it by %s, %d ms after its draining was acknowledged%s", backend->id, id,
          entries[entry].name, (int) (at - acked), disturbed[entry] ? " (not counted)" : "");
  return false;
}

static void *
send_request (void *context)
{
  struct request request = *(struct request *) context;
  char id[64];
  free (context);
  make_id (&request, id, sizeof id);
  struct outcome outcome
      = call (entries[request.entry].front, "POST", "filing.example", "/filing/a", id, NULL, "x=1", 3, DEADLINE_MS);
  pthread_mutex_lock (&lock);
  sent++;
  answered += outcome.status == 200;
  pthread_mutex_unlock (&lock);
  if (outcome.status != 200 && outcome.connected)
    record ("caller: %s sent to %s at %.3f ends with %d after %d ms", id, entries[request.entry].name,
            (double) outcome.sent_at / 1000, outcome.status, (int) (outcome.ended_at - outcome.sent_at));
  free (outcome.body);
  return NULL;
}

static void *
send_to_entry (void *context)
{
  struct request next = { .entry = (int) (intptr_t) context };
  for (int64_t at = now_ms (); sending; at += REQUEST_GAP_MS)
    {
      struct request *request = malloc (sizeof *request);
      sleep_until (at);
      *request = next;
      next.number++;
      start_thread (send_request, request);
    }
  return NULL;
}

static void
add_backend (int i)
{
  backends[i] = (struct backend){ .slots = 3, .work_ms = 36, .answer = note_arrival };
  snprintf (backends[i].id, sizeof backends[i].id, "i-filing%d", i);
  snprintf (backends[i].service, sizeof backends[i].service, "filing");
  snprintf (backends[i].zone, sizeof backends[i].zone, "zone-%d", i % ZONES + 1);
  backend_start (&backends[i]);
  backend_report (&backends[i]);
}

static bool
await_ready (void)
{
  for (int i = 0; i < ENTRIES; i++)
    for (int64_t until = now_ms () + 15000; !entry_is_ready (&entries[i]); sleep_ms (50))
      if (now_ms () > until)
        return false;
  return true;
}

static bool
start_all (void)
{
  store_start (ENTRIES);
  store_put ("config", "main", config);
  for (int i = 0; i < BACKENDS; i++)
    add_backend (i);
  for (int i = 0; i < ENTRIES; i++)
    {
      entries[i] = (struct entry){ .index = i, .first_start = true };
      snprintf (entries[i].name, sizeof entries[i].name, "front-%d-%d", i % ZONES + 1, i / ZONES + 1);
      snprintf (entries[i].zone, sizeof entries[i].zone, "zone-%d", i % ZONES + 1);
      entry_prepare (&entries[i]);
      entry_start (&entries[i]);
    }
  if (!await_ready ())
    return false;
  for (int i = 0; i < ENTRIES; i++)
    start_thread (send_to_entry, (void *) (intptr_t) i);
  return true;
}

/* Kills the entries that follow the directory for the others. */
static int
kill_watchers (const bool watches[ENTRIES])
{
  int killed = 0;
  for (int i = 0; i < ENTRIES; i++)
    {
      if (!watches[i])
        continue;
      disturbed[i] = true;
      entry_signal (&entries[i], SIGKILL);
      killed++;
    }
  for (int i = 0; i < ENTRIES; i++)
    if (watches[i])
      {
        record ("platform: %s killed", entries[i].name);
        entry_wait (&entries[i], 1000);
      }
  return killed;
}

static void *
report_old (void *context)
{
  int old = (int) (intptr_t) context;
  backends[old].draining = true;
  acked_at[old] = backend_report (&backends[old]);
  record ("server %s: reports draining, acknowledged", backends[old].id);
  sleep_until (acked_at[old] + STAY_MS);
  store_delete ("servers", backends[old].id);
  record ("server %s: ends", backends[old].id);
  backends[old].stopped = true;
  return NULL;
}

/* One step of the release: a new server starts, an old one drains. */
static void
play_step (int step)
{
  int old = step;
  int killed = 0;
  bool watches[ENTRIES]; /* which are killed: those that watch the directory, and some others */
  for (int i = 0; i < ENTRIES; i++)
    {
      watches[i] = store_is_watched_by (i, "servers");
      disturbed[i] = false;
      killed += watches[i];
    }
  for (int i = 0; killed < KILLED; i = (i + 7) % ENTRIES)
    if (!watches[i])
      {
        watches[i] = true;
        killed++;
      }
  add_backend (BACKENDS + step);
  record ("server %s: starts", backends[BACKENDS + step].id);
  sleep_ms (NEW_TO_OLD_MS);
  start_thread (report_old, (void *) (intptr_t) old);
  sleep_ms (KILL_AFTER_MS);
  if (trouble && killed <= KILLED)
    {
      killed = kill_watchers (watches);
      record ("platform: %d of %d entries were killed", killed, ENTRIES);
      sleep_ms (DARK_MS);
      for (int i = 0; i < ENTRIES; i++)
        if (watches[i])
          {
            entries[i].first_start = false;
            entry_start (&entries[i]);
            record ("platform: %s starts again", entries[i].name);
          }
    }
  sleep_ms (CALM_MS);
}

int
main (void)
{
  const char *setting = getenv ("TROUBLE");
  end_on_signals ();
  trouble = !setting || strcmp (setting, "0") != 0;
  record_open ("review/9/record.txt");
  folder_open ();
  if (!start_all ())
    {
      end_all ();
      folder_remove ();
      fprintf (stderr, "the entries did not become ready\n");
      return 2;
    }
  sleep_ms (FIRST_CALM_MS);
  for (int step = 0; step < STEPS; step++)
    play_step (step);
  sending = false;
  sleep_ms (DEADLINE_MS + 500);
  end_all ();
  folder_remove ();
  record ("%d requests, %d answered 200; %d reached a server later than drain after the acknowledgement: %s", sent,
          answered, late, late > 0 ? "BROKEN" : "held");
  printf ("%d requests, %d answered, %d reached a draining server late: %s\n", sent, answered, late,
          late > 0 ? "broken" : "held");
  return late > 0 ? 1 : 0;
}
