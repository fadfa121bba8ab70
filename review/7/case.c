/* Case 7: the operator takes away the last tenant; from then on any key is taken, and backends are shown it. */
#include "../standins-2/standins.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENTRIES         3
#define BACKENDS        6
#define ROUNDS          20 /* of requests after the change, each with every kind of credential at every entry */
#define GAP_MS          50
#define CONFIG_APPLY_MS 2500
#define DEADLINE_MS     3000

#define KEY       "ta828m82thhkmgjqnirt" /* of the tenant, until it is taken away */
#define OTHER_KEY "q0000000000000000000" /* that no configuration ever held */

#define CONFIG(version, tenants)                                                                                       \
  "{\"version\":\"" version                                                                                            \
  "\",\"routes\":[{\"name\":\"r-refund\",\"host\":\"docs.example\",\"path_prefix\":\"/refund/\",\"route_kind\":"       \
  "\"unsafe\",\"timeout\":\"1500ms\",\"target_latency\":\"600ms\",\"priority\":1,\"service\":\"docvault\","            \
  "\"max_attempts\":2,\"public\":false}],\"services\":[{\"name\":\"docvault\",\"health_path\":\"/health\","            \
  "\"max_conns\":1060,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"  \
  "67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},\"tenants\":[" tenants "]}"
#define TENANT "{\"name\":\"huka270\",\"api_keys\":[\"" KEY "\"],\"priority\":1,\"rate_per_s\":295,\"burst\":295}"

enum kind
{
  KIND_KEY,       /* the tenant's key */
  KIND_OTHER_KEY, /* a key that no configuration ever held */
  KINDS
};

static struct entry entries[ENTRIES];
static struct backend backends[BACKENDS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int done, ran_other_key, ran_old_key, shown_keys, refused;
static bool trouble;

static bool
note_request (struct backend *backend, int fd, const struct message *request, const char *id)
{
  char key[128] = "-", tenant[128] = "-";
  bool after = id[0] == 'b';
  (void) fd;
  head_field (request->head, "Authorization", key, sizeof key);
  head_field (request->head, "X-Tenant", tenant, sizeof tenant);
  bool is_shown = strcmp (key, "-") != 0;
  pthread_mutex_lock (&lock);
  shown_keys += is_shown;
  ran_other_key += id[1] == '0' + KIND_OTHER_KEY;
  ran_old_key += trouble && after && id[1] == '0' + KIND_KEY;
  pthread_mutex_unlock (&lock);
  record ("server %s: runs %s, X-Tenant: %s, Authorization: %s", backend->id, id, tenant, key);
  return false;
}

struct request
{
  int number;
  int entry;
  enum kind kind;
  bool after;
};

static void *
send_request (void *context)
{
  struct request request = *(struct request *) context;
  char id[64], fields[128];
  free (context);
  /* The first letter tells whether it is sent after the change, the digit behind it the kind of the key. */
  snprintf (id, sizeof id, "%c%d-%d-%d", request.after ? 'b' : 'a', request.kind, request.entry, request.number);
  snprintf (fields, sizeof fields, "Authorization: Token %s\r\n", request.kind == KIND_KEY ? KEY : OTHER_KEY);
  struct outcome outcome
      = call (entries[request.entry].front, "POST", "docs.example", "/refund/a", id, fields, "x=1", 3, DEADLINE_MS);
  record ("caller: %s with the key %s at %s: %d", id, request.kind == KIND_KEY ? KEY : OTHER_KEY,
          entries[request.entry].name, outcome.status);
  pthread_mutex_lock (&lock);
  done++;
  refused += outcome.status == 401;
  pthread_mutex_unlock (&lock);
  free (outcome.body);
  return NULL;
}

static int
send_round (int number, bool after)
{
  for (int entry = 0; entry < ENTRIES; entry++)
    for (int kind = 0; kind < KINDS; kind++)
      {
        struct request *request = malloc (sizeof *request);
        *request = (struct request){ .number = number, .entry = entry, .kind = (enum kind) kind, .after = after };
        start_thread (send_request, request);
      }
  sleep_ms (GAP_MS);
  return ENTRIES * KINDS;
}

static bool
start_all (void)
{
  store_start (ENTRIES);
  store_put ("config", "main", CONFIG ("r7", TENANT));
  for (int i = 0; i < BACKENDS; i++)
    {
      backends[i] = (struct backend){ .slots = 6, .work_ms = 30, .answer = note_request };
      snprintf (backends[i].id, sizeof backends[i].id, "i-doc%d", i);
      snprintf (backends[i].service, sizeof backends[i].service, "docvault");
      snprintf (backends[i].zone, sizeof backends[i].zone, "zone-%d", i % ENTRIES + 1);
      backend_start (&backends[i]);
      backend_report (&backends[i]);
    }
  for (int i = 0; i < ENTRIES; i++)
    {
      entries[i] = (struct entry){ .index = i,
                                   .first_start = true,
                                   .more_settings = "quota_window: \"5s\"\nevacuate: \"5000ms\"\nrevoke: \"5000ms\"\n"
                                                    "quota_overshoot: 0.1\nquota_slack: 20\ncold_overshoot: 1.5\n"
                                                    "cold_slack: 8\nstrict_revoke: false\n" };
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
  int sent = 0;
  end_on_signals ();
  trouble = !setting || strcmp (setting, "0") != 0;
  record_open ("review/7/record.txt");
  folder_open ();
  if (!start_all ())
    {
      end_all ();
      folder_remove ();
      fprintf (stderr, "the entries did not become ready\n");
      return 2;
    }
  sleep_ms (5000);
  for (int i = 0; i < ROUNDS; i++)
    sent += send_round (i, false);
  sleep_ms (1000);
  if (trouble)
    {
      store_put ("config", "main", CONFIG ("r9", ""));
      record ("operator: r9, without the tenant, is acknowledged");
    }
  sleep_ms (CONFIG_APPLY_MS + 500);
  for (int i = 0; i < ROUNDS; i++)
    sent += send_round (i, true);
  for (int64_t until = now_ms () + 5000; done < sent && now_ms () < until; sleep_ms (20))
    ;
  end_all ();
  folder_remove ();
  bool broken = ran_other_key > 0 || ran_old_key > 0 || shown_keys > 0;
  record (
      "%d requests, %d answered 401; run with a key that no configuration held: %d; run with the key that was taken "
      "away: %d; a backend was shown a key: %d: %s",
      done, refused, ran_other_key, ran_old_key, shown_keys, broken ? "BROKEN" : "held");
  printf ("%d requests, %d answered 401, %d run with a foreign key, %d with the old one, %d keys shown: %s\n", done,
          refused, ran_other_key, ran_old_key, shown_keys, broken ? "broken" : "held");
  return done < sent ? 2 : broken ? 1 : 0;
}
