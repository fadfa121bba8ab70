/* Case 8: a backend server in trouble sends bytes without end in the body of its answer. */
#include "../standins-2/standins.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENTRIES      3
#define BACKENDS     6
#define REQUESTS     1500
#define GAP_MS       20
#define TIMEOUT_MS   800  /* of the route */
#define DEADLINE_MS  1500 /* of the callers */
#define LATE_MS      500  /* after the route's timeout */
#define PIECE_BYTES  16384
#define PIECE_GAP_MS 10

static const char config[]
    = "{\"version\":\"r7\",\"routes\":[{\"name\":\"r-filing\",\"host\":\"filing.example\",\"path_prefix\":\"/filing/\","
      "\"route_kind\":\"unsafe\",\"timeout\":\"800ms\",\"target_latency\":\"300ms\",\"priority\":1,\"service\":"
      "\"filing\","
      "\"max_attempts\":2}],\"services\":[{\"name\":\"filing\",\"health_path\":\"/health\",\"max_conns\":220,"
      "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
      "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}";

static struct entry entries[ENTRIES];
static struct backend backends[BACKENDS];
static bool trouble;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int done, unanswered_at_timeout, unanswered_later, endless;

/* Sends bytes without end, until the caller closes. */
static bool
answer_without_end (struct backend *backend, int fd, const struct message *request, const char *id)
{
  char text[512];
  char *piece = malloc (PIECE_BYTES);
  size_t sent = 0;
  (void) request;
  sleep_ms (backend->work_ms);
  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s.%s\r\nContent-Type: text/plain\r\n\r\n", id,
            backend->id, id);
  bool open = send_all (fd, text, strlen (text));
  memset (piece, '?', PIECE_BYTES);
  while (open && !backend->stopped)
    {
      open = send_all (fd, piece, PIECE_BYTES);
      sent += PIECE_BYTES;
      sleep_ms (PIECE_GAP_MS);
    }
  free (piece);
  record ("server %s: %s, %zu KB sent until its caller closed", backend->id, id, sent / 1024);
  pthread_mutex_lock (&lock);
  endless++;
  pthread_mutex_unlock (&lock);
  return true;
}

static void *
send_request (void *context)
{
  int number = (int) (intptr_t) context;
  char id[64];
  snprintf (id, sizeof id, "c8-%04d", number);
  struct outcome outcome
      = call (entries[number % ENTRIES].front, "POST", "filing.example", "/filing/a", id, NULL, "x=1", 3, DEADLINE_MS);
  int64_t took = outcome.ended_at - outcome.sent_at;
  bool answered = outcome.status != 0;
  record ("caller: %s sent to %s at %.3f: %s %d after %d ms%s", id, entries[number % ENTRIES].name,
          (double) outcome.sent_at / 1000,
          answered              ? "answered"
          : took >= DEADLINE_MS ? "left without an answer"
                                : "closed",
          outcome.status, (int) took, !answered && outcome.got_bytes ? ", a part of an answer had come" : "");
  pthread_mutex_lock (&lock);
  done++;
  unanswered_at_timeout += took > TIMEOUT_MS;
  unanswered_later += took > TIMEOUT_MS + LATE_MS;
  pthread_mutex_unlock (&lock);
  free (outcome.body);
  return NULL;
}

static bool
start_all (void)
{
  store_start (ENTRIES);
  store_put ("config", "main", config);
  for (int i = 0; i < BACKENDS; i++)
    {
      backends[i] = (struct backend){ .slots = 3, .work_ms = 120 };
      snprintf (backends[i].id, sizeof backends[i].id, "i-filing%d", i);
      snprintf (backends[i].service, sizeof backends[i].service, "filing");
      snprintf (backends[i].zone, sizeof backends[i].zone, "zone-%d", i % ENTRIES + 1);
      backend_start (&backends[i]);
      backend_report (&backends[i]);
    }
  for (int i = 0; i < ENTRIES; i++)
    {
      entries[i] = (struct entry){ .index = i, .first_start = true };
      snprintf (entries[i].name, sizeof entries[i].name, "front-%d", i + 1);
      snprintf (entries[i].zone, sizeof entries[i].zone, "zone-%d", i + 1);
      entry_prepare (&entries[i]);
      entry_start (&entries[i]);
    }
  for (int i = 0; i < ENTRIES; i++)
    for (int64_t until = now_ms () + 15000; !entry_is_ready (&entries[i]); sleep_ms (50))
      if (now_ms () > until)
        return false;
  return true;
}

int
main (void)
{
  const char *setting = getenv ("TROUBLE");
  end_on_signals ();
  trouble = !setting || strcmp (setting, "0") != 0;
  record_open ("review/8/record.txt");
  folder_open ();
  if (!start_all ())
    {
      end_all ();
      folder_remove ();
      fprintf (stderr, "the entries did not become ready\n");
      return 2;
    }
  sleep_ms (4000);
  if (trouble)
    backends[0].answer = answer_without_end;
  for (int i = 0; i < REQUESTS; i++, sleep_ms (GAP_MS))
    start_thread (send_request, (void *) (intptr_t) i);
  for (int64_t until = now_ms () + 5000; done < REQUESTS && now_ms () < until; sleep_ms (20))
    ;
  end_all ();
  folder_remove ();
  bool broken = unanswered_at_timeout >= 8 && 2 * unanswered_later > unanswered_at_timeout;
  record ("%d requests; %d still unanswered at the route's timeout, %d of these %d ms later; endless answers: %d: %s",
          done, unanswered_at_timeout, unanswered_later, LATE_MS, endless, broken ? "BROKEN" : "held");
  printf ("%d requests, %d unanswered at %d ms, %d at %d ms: %s\n", done, unanswered_at_timeout, TIMEOUT_MS,
          unanswered_later, TIMEOUT_MS + LATE_MS, broken ? "broken" : "held");
  return done < REQUESTS ? 2 : broken ? 1 : 0;
}
