/* Case 10: a configuration with a limit that the product doesn't take is never in force, nor what else it changes. */
#include "../standins-2/standins.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENTRIES         3
#define BACKENDS        6 /* every second one of the new service */
#define REQUESTS        120
#define GAP_MS          50
#define CONFIG_APPLY_MS 2000
#define DEADLINE_MS     1500

/* r7: the route goes to the old service. r9: to the new one, another route is added, and longer bodies are allowed. */
static const char first_config[]
    = "{\"version\":\"r7\",\"routes\":[{\"name\":\"r-filing\",\"host\":\"filing.example\",\"path_prefix\":\"/filing/\","
      "\"route_kind\":\"unsafe\",\"timeout\":\"800ms\",\"target_latency\":\"300ms\",\"priority\":1,\"service\":\"old\","
      "\"max_attempts\":2}],\"services\":[{\"name\":\"old\",\"health_path\":\"/health\",\"max_conns\":220,\"protocol\":"
      "\"h1\",\"tls\":false},{\"name\":\"new\",\"health_path\":\"/"
      "health\",\"max_conns\":220,\"protocol\":\"h1\",\"tls\":"
      "false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\","
      "\"idle_timeout\":\"15000ms\"}}";
static const char second_config[]
    = "{\"version\":\"r9\",\"routes\":[{\"name\":\"r-filing\",\"host\":\"filing.example\",\"path_prefix\":\"/filing/\","
      "\"route_kind\":\"unsafe\",\"timeout\":\"800ms\",\"target_latency\":\"300ms\",\"priority\":1,\"service\":\"new\","
      "\"max_attempts\":2},{\"name\":\"r-added\",\"host\":\"filing.example\",\"path_prefix\":\"/added/"
      "\",\"route_kind\":"
      "\"unsafe\",\"timeout\":\"800ms\",\"target_latency\":\"300ms\",\"priority\":1,\"service\":\"new\",\"max_"
      "attempts\":2}"
      "],\"services\":[{\"name\":\"old\",\"health_path\":\"/"
      "health\",\"max_conns\":220,\"protocol\":\"h1\",\"tls\":false},"
      "{\"name\":\"new\",\"health_path\":\"/health\",\"max_conns\":220,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
      "\"max_header_bytes\":16384,\"max_body_bytes\":%s,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}";

static struct entry entries[ENTRIES];
static struct backend backends[BACKENDS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int done, by_old, by_new, not_found;

static bool
note_request (struct backend *backend, int fd, const struct message *request, const char *id)
{
  (void) fd;
  (void) request;
  record ("server %s of %s: runs %s", backend->id, backend->service, id);
  pthread_mutex_lock (&lock);
  by_old += strcmp (backend->service, "old") == 0;
  by_new += strcmp (backend->service, "new") == 0;
  pthread_mutex_unlock (&lock);
  return false;
}

static void *
send_request (void *context)
{
  int number = (int) (intptr_t) context;
  char id[64];
  const char *path = number % 2 ? "/added/a" : "/filing/a";
  snprintf (id, sizeof id, "c10-%04d", number);
  struct outcome outcome
      = call (entries[number % ENTRIES].front, "POST", "filing.example", path, id, NULL, "x=1", 3, DEADLINE_MS);
  record ("caller: %s %s at %s: %d", id, path, entries[number % ENTRIES].name, outcome.status);
  pthread_mutex_lock (&lock);
  done++;
  not_found += outcome.status == 404;
  pthread_mutex_unlock (&lock);
  free (outcome.body);
  return NULL;
}

static bool
start_all (void)
{
  store_start (ENTRIES);
  store_put ("config", "main", first_config);
  for (int i = 0; i < BACKENDS; i++)
    {
      backends[i] = (struct backend){ .slots = 3, .work_ms = 60, .answer = note_request };
      snprintf (backends[i].id, sizeof backends[i].id, "i-server%d", i);
      snprintf (backends[i].service, sizeof backends[i].service, i % 2 ? "new" : "old");
      snprintf (backends[i].zone, sizeof backends[i].zone, "zone-%d", i / 2 + 1);
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
  bool trouble = !setting || strcmp (setting, "0") != 0;
  char config[4096];
  end_on_signals ();
  record_open ("review/10/record.txt");
  folder_open ();
  if (!start_all ())
    {
      end_all ();
      folder_remove ();
      fprintf (stderr, "the entries did not become ready\n");
      return 2;
    }
  sleep_ms (5000);
  /* 2 GiB; without trouble 1 GiB less a byte. */
  snprintf (config, sizeof config, second_config, trouble ? "2147483648" : "1073741823");
  store_put ("config", "main", config);
  record ("operator: r9 is acknowledged");
  sleep_ms (CONFIG_APPLY_MS + 500);
  for (int i = 0; i < REQUESTS; i++, sleep_ms (GAP_MS))
    start_thread (send_request, (void *) (intptr_t) i);
  for (int64_t until = now_ms () + 5000; done < REQUESTS && now_ms () < until; sleep_ms (20))
    ;
  end_all ();
  folder_remove ();
  bool broken = by_old > 0 || not_found > 0;
  record (
      "%d requests later than config_apply after the acknowledgement of r9: %d run by the old service, %d by the new "
      "one, %d answered 404 though the route is there: %s",
      done, by_old, by_new, not_found, broken ? "BROKEN" : "held");
  printf ("%d requests, %d run by the old service, %d by the new one, %d answered 404: %s\n", done, by_old, by_new,
          not_found, broken ? "broken" : "held");
  return done < REQUESTS ? 2 : broken ? 1 : 0;
}
