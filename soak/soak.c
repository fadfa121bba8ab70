/*
 * A randomized run of the real hickoryd against stand-ins that misbehave.
 *
 * Several entries run as processes of their own, each with its links to the
 * store through a proxy that can be harmed, and so has each backend server.
 * Troubles come in series and overlap; times of calm lie between them. What
 * callers and backend servers see is checked all the while: a request that may
 * not be repeated runs at most once, one that is refused as not run never runs,
 * an answer is whole and its caller's own, a server gets only requests that a
 * configuration ever sent to its service, a configuration never reverts. In
 * calm, everything is served, shutdowns cut nothing, changes are in force in
 * time and leaving servers get no new work.
 */
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake-store.h"
#include "harness.h"
#include "proxy.h"
#include "raw.h"

/* --- constants --- */

#define ENTRIES         4
#define SERVERS         8
#define SERVICES        2
#define TROUBLE_MS      250  /* between two troubles */
#define REQUEST_MS      12   /* between two requests */
#define CALM_SEC        9    /* of each round, at its end */
#define SETTLED_MS      4000 /* of calm, then everything is served */
#define IN_FORCE_MS     2500 /* a change of the store is in force everywhere */
#define DEADLINE_MS     2000
#define LEAVE_MS        3000 /* a caller gives up its connection */
#define HARM_MS         1500 /* longest time that a link, the store or a server is harmed */
#define PAUSE_MS        2500 /* longest time that a process is stopped */
#define WORK_MS         60   /* longest time of a request at a server */
#define START_SEC       10
#define BUDGET_WINDOW_S 10
#define BUDGET_RATIO    0.2
#define BUDGET_EXTRA    58
#define LEAVERS         20 /* one caller in so many leaves early */
#define WRITERS         3  /* one request in so many may not be repeated */

/* --- types --- */

/** enum manner - what a backend server does with requests */
enum manner
{
  ANSWERS,
  REFUSES,
  FAILS,
  RESETS,
  IS_SILENT,
  ANSWERS_TWICE,
  ADDS_BYTES,
  TALKS_NONSENSE,
  MANNERS,
};

struct server
{
  struct soak *soak;
  struct raw_server *raw;
  struct proxy *link;
  char name[24];
  guint starts;
  guint service;
  enum manner manner;
  gint64 sound_at; /* it is harmed until then */
  gboolean listed;
  gint64 leaving_at; /* it has said so, and the store is well since; 0: not */
};

struct node
{
  struct soak *soak;
  guint number;
  char callers[32];
  char admin[32];
  char peers[32];
  struct proxy *store_link;
  GSubprocess *process;
  guint starts;
  gboolean paused;
  gboolean leaving;
  gint64 touched_at; /* the last thing that was done to it */
  guint newest;      /* configuration whose effect it has shown */
  gint64 newest_at;
};

/* What became of a request, kept for the whole run. */
struct record
{
  guint runs;
  gboolean writes;
  gboolean refused; /* told not to have run */
};

struct request
{
  struct soak *soak;
  struct node *entry;
  guint starts; /* of the entry when it was sent */
  guint id;
  guint tests; /* configuration whose route it uses; 0: none */
  gint64 sent_at;
  gint64 leave_at;
  gboolean calm; /* sent when all had been calm for long */
  struct raw_client *call;
};

struct soak
{
  struct hf_net *net;
  struct fake_store *store;
  struct server servers[SERVERS];
  struct node entries[ENTRIES];
  GRand *random;
  guint64 seed;
  gboolean timed; /* bounds in time are checked, too */
  char *program;
  char *folder;
  GHashTable *records; /* struct record by id */
  GPtrArray *requests; /* struct request */
  GArray *firsts;      /* gint64, times of requests */
  GArray *repeats;     /* gint64, times of arrivals beyond the first */
  guint next_id;
  guint version;
  gint64 version_at;
  gint64 trouble_at; /* the last one ended then */
  gint64 store_sound_at;
  gboolean calm;
  guint served;
  guint failures;
};

static const char *const service_names[SERVICES] = { "alpha", "beta" };

/* --- internal functions: findings --- */

static gint64
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

G_GNUC_PRINTF (2, 3)
static void
find_fault (struct soak *soak, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  va_end (args);
  printf ("seed %" G_GUINT64_FORMAT ": %s\n", soak->seed, text);
  soak->failures++;
  g_free (text);
}

static void
note_trouble (struct soak *soak, gint64 lasts_ms)
{
  soak->trouble_at = MAX (soak->trouble_at, now_ms () + lasts_ms);
}

static gint64
draw_ms (struct soak *soak, gint64 most)
{
  return g_rand_int_range (soak->random, 100, (gint32) most);
}

/* --- internal functions: backend servers --- */

static void
list_server (struct server *server, const char *state)
{
  char *spec = g_strdup_printf (
      "{\"address\":\"%s\",\"born\":%u,\"info\":{\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"z%u\",\"slots\":3},"
      "\"status\":{\"state\":\"%s\",\"sequence\":1,\"cold_left\":\"0ms\"}}",
      proxy_address (server->link), server->starts + 1, service_names[server->service], server->starts % 2, state);
  fake_store_put (server->soak->store, "servers", server->name, spec);
  server->listed = TRUE;
  g_free (spec);
}

/* Another server, perhaps of another service, at the same address. */
static void
start_server (struct server *server, guint service)
{
  server->starts++;
  server->service = service;
  server->manner = ANSWERS;
  server->leaving_at = 0;
  g_snprintf (server->name, sizeof server->name, "i-%u-%u", (guint) (server - server->soak->servers), server->starts);
  list_server (server, "ready");
}

static char *
field_of (const char *text, const char *name)
{
  char *start = g_strdup_printf ("\r\n%s: ", name);
  const char *at = strstr (text, start);
  char *copy = at ? g_strndup (at + strlen (start), strcspn (at + strlen (start), "\r")) : g_strdup ("");
  g_free (start);
  return copy;
}

static void
send_answer (struct raw_connection *connection, const char *id)
{
  char *body = g_strdup_printf ("answer to %s", id);
  raw_connection_send (
      connection,
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: stamp-%s\r\nX-Backend-Load: 1,0,3,100\r\n"
      "Content-Length: %zu\r\n\r\n%s",
      id, id, strlen (body), body);
  g_free (body);
}

struct work
{
  struct raw_connection *connection;
  enum manner manner;
  char *id;
};

static gboolean
work_done (gpointer data)
{
  struct work *work = data;
  const char *id = work->id;
  if (work->manner == ANSWERS_TWICE)
    send_answer (work->connection, "another");
  if (work->manner == FAILS)
    raw_connection_send (work->connection, "HTTP/1.1 503 Failed\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id);
  else if (work->manner == RESETS)
    raw_connection_close (work->connection, TRUE);
  else if (work->manner == TALKS_NONSENSE)
    raw_connection_send (work->connection, "220 this is another protocol\r\n\r\n");
  else if (work->manner != IS_SILENT)
    send_answer (work->connection, id);
  if (work->manner == ADDS_BYTES)
    send_answer (work->connection, "another");
  g_free (work->id);
  g_free (work);
  return G_SOURCE_REMOVE;
}

static void
check_run (struct server *server, const char *text, const char *id)
{
  struct soak *soak = server->soak;
  guint64 number = g_ascii_strtoull (id, NULL, 10);
  struct record *record = g_hash_table_lookup (soak->records, GUINT_TO_POINTER (number));
  gboolean is_write = g_str_has_prefix (text, "POST /w/");
  if (!record)
    {
      find_fault (soak, "a server runs request \"%s\", which no caller sent", id);
      return;
    }
  record->runs++;
  gint64 now = now_ms ();
  if (record->runs > 1)
    g_array_append_val (soak->repeats, now);
  if (record->writes && record->runs > 1)
    find_fault (soak, "request %s may not be repeated and runs for the %u. time", id, record->runs);
  if (record->refused && record->writes)
    find_fault (soak, "request %s runs and was refused as not run", id);
  /* Writes go to the first service only, others to either. */
  if (is_write && server->service != 0)
    find_fault (soak, "request %s runs at service %s", id, service_names[server->service]);
  if (soak->timed && server->leaving_at > 0 && now - server->leaving_at > IN_FORCE_MS && soak->calm
      && now - soak->trouble_at > SETTLED_MS)
    find_fault (soak, "request %s reaches server %s, which said %d ms ago that it is leaving", id, server->name,
                (int) (now - server->leaving_at));
}

static void
server_request (void *context, struct raw_connection *connection, const char *text)
{
  struct server *server = context;
  if (g_str_has_prefix (text, "GET /health "))
    {
      raw_connection_send (
          connection, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Backend-Load: 0,0,3,100\r\nContent-Length: 0\r\n\r\n",
          server->name);
      return;
    }
  char *id = field_of (text, "X-Attempt-Id");
  char *expected = field_of (text, "X-Expect-Instance");
  if (strcmp (expected, server->name) != 0)
    raw_connection_send (connection, "HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id);
  else if (server->manner == REFUSES)
    raw_connection_send (connection,
                         "HTTP/1.1 503 Full\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id);
  else
    {
      struct work *work = g_new (struct work, 1);
      check_run (server, text, id);
      *work = (struct work){ .connection = connection, .manner = server->manner, .id = g_strdup (id) };
      g_timeout_add ((guint) g_rand_int_range (server->soak->random, 1, WORK_MS), work_done, work);
    }
  g_free (id);
  g_free (expected);
}

/* --- internal functions: the configuration --- */

/* Each version adds a route of its own; reads go to either service or to both. */
static void
configure (struct soak *soak)
{
  static const char *const targets[] = { "\"service\":\"alpha\"", "\"service\":\"beta\"",
                                         "\"traffic_split\":[{\"service\":\"alpha\",\"weight\":3},{\"service\":"
                                         "\"beta\",\"weight\":1}]" };
  const char *reads = targets[g_rand_int_range (soak->random, 0, G_N_ELEMENTS (targets))];
  GString *spec = g_string_new (NULL);
  soak->version++;
  soak->version_at = now_ms ();
  g_string_append_printf (
      spec,
      "{\"version\":\"r%u\",\"services\":[{\"name\":\"alpha\",\"health_path\":\"/health\",\"max_conns\":50},"
      "{\"name\":\"beta\",\"health_path\":\"/health\",\"max_conns\":50}],"
      "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":10000,\"header_timeout\":\"500ms\","
      "\"idle_timeout\":\"15000ms\"},\"routes\":["
      "{\"name\":\"read\",\"host\":\"h.example\",\"path_prefix\":\"/r/"
      "\",\"route_kind\":\"safe\",\"timeout\":\"1500ms\","
      "\"target_latency\":\"300ms\",\"priority\":2,%s,\"max_attempts\":2},"
      "{\"name\":\"write\",\"host\":\"h.example\",\"path_prefix\":\"/w/\",\"route_kind\":\"unsafe\",\"timeout\":"
      "\"1500ms\",\"target_latency\":\"300ms\",\"priority\":1,\"service\":\"alpha\",\"max_attempts\":2}",
      soak->version, reads);
  for (guint version = 1; version <= soak->version; version++)
    g_string_append_printf (spec,
                            ",{\"name\":\"g%u\",\"host\":\"h.example\",\"path_prefix\":\"/g%u/\",\"route_kind\":"
                            "\"safe\",\"timeout\":\"1500ms\",\"target_latency\":\"300ms\",\"priority\":2,"
                            "\"service\":\"alpha\",\"max_attempts\":2}",
                            version, version);
  g_string_append (spec, "]}");
  fake_store_put (soak->store, "config", "main", spec->str);
  g_string_free (spec, TRUE);
}

/* --- internal functions: entries --- */

static void
touch (struct node *entry)
{
  entry->touched_at = now_ms ();
}

/* A port that is free now; the entry keeps it through its restarts. */
static void
take_address (struct soak *soak, char *address, gsize size)
{
  struct hf_listener *listener = hf_listener_open (soak->net, hf_str ("127.0.0.1:0"), NULL, NULL, NULL);
  g_strlcpy (address, hf_listener_address (listener).data, size);
  hf_listener_close (listener);
}

static void
start_entry (struct node *entry)
{
  struct soak *soak = entry->soak;
  char *file = g_strdup_printf ("%s/e%u.yaml", soak->folder, entry->number);
  char *log = g_strdup_printf ("%s/e%u.%u.log", soak->folder, entry->number, entry->starts);
  char *settings = g_strdup_printf ("name: e%u\nfailure_domain: z%u\nlisten: %s\nadmin: %s\npeers: %s\nstore: %s\n"
                                    "drain_wait_ms: 500\ngrace_ms: 4000\n",
                                    entry->number, entry->number % 2, entry->callers, entry->admin, entry->peers,
                                    proxy_address (entry->store_link));
  g_assert_true (g_file_set_contents (file, settings, -1, NULL));
  GSubprocessLauncher *launcher = g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_NONE);
  g_subprocess_launcher_set_stdout_file_path (launcher, log);
  entry->process = g_subprocess_launcher_spawn (launcher, NULL, soak->program, file, NULL);
  g_assert_nonnull (entry->process);
  entry->starts++;
  entry->paused = FALSE;
  entry->leaving = FALSE;
  entry->newest = 0;
  touch (entry);
  g_object_unref (launcher);
  g_free (settings);
  g_free (log);
  g_free (file);
}

static void
process_ended (GObject *source, GAsyncResult *result, gpointer data)
{
  struct node *entry = data;
  g_subprocess_wait_finish (G_SUBPROCESS (source), result, NULL);
  if (entry->process != G_SUBPROCESS (source))
    return;
  if (!entry->leaving && g_subprocess_get_if_exited (entry->process))
    find_fault (entry->soak, "entry e%u ended by itself", entry->number);
  g_clear_object (&entry->process);
  start_entry (entry);
  g_subprocess_wait_async (entry->process, NULL, process_ended, entry);
}

static gboolean
wake_entry (gpointer data)
{
  struct node *entry = data;
  if (entry->paused && entry->process)
    g_subprocess_send_signal (entry->process, SIGCONT);
  entry->paused = FALSE;
  touch (entry);
  return G_SOURCE_REMOVE;
}

static void
pause_entry (struct node *entry, gint64 ms)
{
  if (entry->paused || entry->leaving)
    return;
  entry->paused = TRUE;
  touch (entry);
  note_trouble (entry->soak, ms);
  g_subprocess_send_signal (entry->process, SIGSTOP);
  g_timeout_add ((guint) ms, wake_entry, entry);
}

static void
end_entry (struct node *entry, int signal)
{
  if (entry->paused || entry->leaving)
    return;
  entry->leaving = signal == SIGTERM;
  touch (entry);
  g_subprocess_send_signal (entry->process, signal);
}

/* --- internal functions: callers --- */

static void
end_request (struct request *request)
{
  raw_client_close (request->call);
  g_ptr_array_remove_fast (request->soak->requests, request);
  g_free (request);
}

static gboolean
is_own_answer (const struct request *request)
{
  char *stamp = g_strdup_printf ("\r\nX-Server-Stamp: stamp-%u\r\n", request->id);
  char *body = g_strdup_printf ("\r\n\r\nanswer to %u", request->id);
  const char *got = request->call->received->str;
  gboolean own = strstr (got, stamp) && g_str_has_suffix (got, body);
  g_free (stamp);
  g_free (body);
  return own;
}

static void
check_version (struct request *request, guint status)
{
  struct soak *soak = request->soak;
  struct node *entry = request->entry;
  gboolean same = entry->starts == request->starts;
  if (status == 404 && same && entry->newest >= request->tests && request->sent_at > entry->newest_at)
    find_fault (soak, "entry e%u has shown configuration %u and answers 404 to a request of %u", entry->number,
                entry->newest, request->tests);
  gboolean late = soak->timed && request->calm && request->tests == soak->version
                  && request->sent_at - soak->version_at > IN_FORCE_MS;
  if (status == 404 && late)
    find_fault (soak, "entry e%u does not know configuration %u after %d ms", entry->number, request->tests,
                (int) (request->sent_at - soak->version_at));
  if (status == 200 && same && request->tests > entry->newest)
    {
      entry->newest = request->tests;
      entry->newest_at = now_ms ();
    }
}

static void
check_answer (struct request *request)
{
  struct soak *soak = request->soak;
  guint status = raw_client_status (request->call);
  struct record *record = g_hash_table_lookup (soak->records, GUINT_TO_POINTER (request->id));
  gboolean whole = raw_client_has_response (request->call);
  gboolean promise = status == 503 || status == 429 || status == 408 || status == 421;
  if (whole && status == 200 && !is_own_answer (request))
    find_fault (soak, "request %u got another answer: %s", request->id, request->call->received->str);
  if (whole && promise && record->writes && record->runs > 0)
    find_fault (soak, "request %u was refused as not run and has run", request->id);
  record->refused = record->refused || (whole && promise);
  soak->served += whole && status == 200;
  if (request->tests > 0 && whole)
    check_version (request, status);
  else if (request->calm && soak->timed && !(whole && status == 200))
    find_fault (soak, "request %u at e%u in calm ended with status %u, %s", request->id, request->entry->number, status,
                whole ? "whole" : "cut");
}

static void
look_at_requests (struct soak *soak)
{
  GPtrArray *requests = g_ptr_array_copy (soak->requests, NULL, NULL);
  for (guint i = 0; i < requests->len; i++)
    {
      struct request *request = g_ptr_array_index (requests, i);
      gboolean done = request->call->ended || raw_client_has_response (request->call);
      if (done)
        check_answer (request);
      if (done || now_ms () >= request->leave_at)
        end_request (request);
    }
  g_ptr_array_unref (requests);
}

static gboolean
is_long_calm (const struct soak *soak)
{
  return soak->calm && now_ms () - soak->trouble_at > SETTLED_MS;
}

static void
send_request (struct soak *soak)
{
  struct node *entry = &soak->entries[g_rand_int_range (soak->random, 0, ENTRIES)];
  gboolean writes = g_rand_int_range (soak->random, 0, WRITERS) == 0;
  gboolean tests = !writes && soak->version > 0 && g_rand_int_range (soak->random, 0, 4) == 0;
  gboolean leaves = !soak->calm && g_rand_int_range (soak->random, 0, LEAVERS) == 0;
  struct request *request = g_new0 (struct request, 1);
  struct record *record = g_new0 (struct record, 1);
  gint64 now = now_ms ();
  *request = (struct request){ .soak = soak,
                               .entry = entry,
                               .starts = entry->starts,
                               .id = ++soak->next_id,
                               .tests = tests ? soak->version : 0,
                               .sent_at = now,
                               .leave_at = now + (leaves ? draw_ms (soak, DEADLINE_MS / 4) : LEAVE_MS),
                               .calm = is_long_calm (soak) && now - entry->touched_at > SETTLED_MS };
  record->writes = writes;
  g_hash_table_insert (soak->records, GUINT_TO_POINTER (request->id), record);
  g_array_append_val (soak->firsts, now);
  char *path = tests ? g_strdup_printf ("/g%u/x", request->tests) : g_strdup (writes ? "/w/x" : "/r/x");
  char *text
      = g_strdup_printf ("%s %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %u\r\nX-Deadline-Ms: %d\r\n"
                         "Content-Length: %d\r\n\r\n%s",
                         writes ? "POST" : "GET", path, request->id, DEADLINE_MS, writes ? 4 : 0, writes ? "data" : "");
  request->call = raw_client_connect (soak->net, entry->callers, text);
  g_ptr_array_add (soak->requests, request);
  g_free (text);
  g_free (path);
}

static gboolean
request_due (gpointer data)
{
  struct soak *soak = data;
  send_request (soak);
  look_at_requests (soak);
  return G_SOURCE_CONTINUE;
}

/* --- internal functions: troubles --- */

static gboolean
link_sound (gpointer data)
{
  proxy_harm (data, PROXY_SOUND);
  return G_SOURCE_REMOVE;
}

static void
harm_link (struct soak *soak, struct proxy *link)
{
  gint64 ms = draw_ms (soak, HARM_MS);
  note_trouble (soak, ms);
  if (g_rand_int_range (soak->random, 0, PROXY_HARMS_TIMED) == 0)
    {
      proxy_reset (link);
      return;
    }
  proxy_harm (link, (enum proxy_harm) g_rand_int_range (soak->random, PROXY_SOUND + 1, PROXY_HARMS_TIMED));
  g_timeout_add ((guint) ms, link_sound, link);
}

static gboolean
store_sound (gpointer data)
{
  struct soak *soak = data;
  fake_store_set_error (soak->store, 0);
  fake_store_set_silent (soak->store, FALSE);
  return G_SOURCE_REMOVE;
}

static void
harm_store (struct soak *soak)
{
  gint64 ms = draw_ms (soak, HARM_MS);
  note_trouble (soak, ms);
  switch (g_rand_int_range (soak->random, 0, 4))
    {
    case 0:
      fake_store_set_error (soak->store, g_rand_boolean (soak->random) ? 503 : 429);
      break;
    case 1:
      fake_store_set_silent (soak->store, TRUE);
      break;
    case 2:
      fake_store_drop_responses (soak->store, 1);
      break;
    default:
      fake_store_compact (soak->store);
      break;
    }
  g_timeout_add ((guint) ms, store_sound, soak);
}

static gboolean
server_sound (gpointer data)
{
  ((struct server *) data)->manner = ANSWERS;
  return G_SOURCE_REMOVE;
}

static void
replace_server (struct soak *soak, struct server *server)
{
  note_trouble (soak, 0);
  fake_store_delete (soak->store, "servers", server->name);
  /* At least half of the servers stay with the first service. */
  start_server (server,
                (guint) (server - soak->servers) < SERVERS / 2 ? 0 : (guint) g_rand_int_range (soak->random, 0, 2));
}

static void
harm_server (struct soak *soak, struct server *server)
{
  gint64 ms = draw_ms (soak, HARM_MS);
  note_trouble (soak, ms);
  server->manner = (enum manner) g_rand_int_range (soak->random, ANSWERS + 1, MANNERS);
  g_timeout_add ((guint) ms, server_sound, server);
}

static void
make_trouble (struct soak *soak)
{
  struct node *entry = &soak->entries[g_rand_int_range (soak->random, 0, ENTRIES)];
  struct server *server = &soak->servers[g_rand_int_range (soak->random, 0, SERVERS)];
  note_trouble (soak, 0);
  switch (g_rand_int_range (soak->random, 0, 10))
    {
    case 0:
      pause_entry (entry, draw_ms (soak, PAUSE_MS));
      break;
    case 1:
      end_entry (entry, SIGKILL);
      break;
    case 2:
      end_entry (entry, SIGTERM);
      break;
    case 3:
      if (!entry->paused && !entry->leaving)
        g_subprocess_send_signal (entry->process, SIGHUP);
      break;
    case 4:
      harm_link (soak, entry->store_link);
      break;
    case 5:
      harm_link (soak, server->link);
      break;
    case 6:
      harm_store (soak);
      break;
    case 7:
      harm_server (soak, server);
      break;
    case 8:
      replace_server (soak, server);
      break;
    default:
      configure (soak);
      break;
    }
}

static gboolean
trouble_due (gpointer data)
{
  struct soak *soak = data;
  if (!soak->calm)
    make_trouble (soak);
  return G_SOURCE_CONTINUE;
}

/* --- internal functions: the run --- */

/* Planned work only: a configuration, a server that leaves, an entry that is asked to stop. */
static void
work_in_calm (struct soak *soak)
{
  struct server *server = &soak->servers[g_rand_int_range (soak->random, 0, SERVERS / 2)];
  /* A kept connection that is silent for good costs the next request on it. */
  harness_pause (HARM_MS);
  for (guint i = 0; i < SERVERS; i++)
    proxy_reset_lost (soak->servers[i].link);
  harness_pause (SETTLED_MS + 500 - HARM_MS);
  configure (soak);
  list_server (server, "draining");
  server->leaving_at = now_ms ();
  harness_pause (IN_FORCE_MS + 500);
  end_entry (&soak->entries[g_rand_int_range (soak->random, 0, ENTRIES)], SIGTERM);
  harness_pause (CALM_SEC * 1000 - SETTLED_MS - IN_FORCE_MS - 1000);
  replace_server (soak, server);
}

static void
check_budget (struct soak *soak)
{
  guint begin = 0;
  for (guint i = 0; i < soak->repeats->len; i++)
    {
      gint64 end = g_array_index (soak->repeats, gint64, i);
      gint64 from = end - BUDGET_WINDOW_S * 1000;
      guint requests = 0;
      while (g_array_index (soak->repeats, gint64, begin) < from)
        begin++;
      for (guint j = 0; j < soak->firsts->len; j++)
        requests += g_array_index (soak->firsts, gint64, j) >= from && g_array_index (soak->firsts, gint64, j) <= end;
      guint repeats = i - begin + 1;
      if (repeats <= BUDGET_RATIO * requests + BUDGET_EXTRA)
        continue;
      find_fault (soak, "%u repeats for %u requests in %d s", repeats, requests, BUDGET_WINDOW_S);
      return;
    }
}

static struct soak *
open_soak (guint64 seed, const char *program, gboolean timed)
{
  struct soak *soak = g_new0 (struct soak, 1);
  char *build = g_path_get_dirname (program);
  *soak = (struct soak){ .net = hf_net_open (),
                         .random = g_rand_new_with_seed ((guint32) seed),
                         .seed = seed,
                         .timed = timed,
                         .program = g_build_filename (build, "hickoryd", NULL),
                         .folder = g_dir_make_tmp ("hf-soak-XXXXXX", NULL),
                         .records = g_hash_table_new_full (NULL, NULL, NULL, g_free),
                         .requests = g_ptr_array_new (),
                         .firsts = g_array_new (FALSE, FALSE, sizeof (gint64)),
                         .repeats = g_array_new (FALSE, FALSE, sizeof (gint64)) };
  soak->store = fake_store_open (soak->net);
  for (guint i = 0; i < SERVERS; i++)
    {
      struct server *server = &soak->servers[i];
      server->soak = soak;
      server->raw = raw_server_open (soak->net, server_request, server);
      server->link = proxy_open (soak->net, raw_server_address (server->raw));
      start_server (server, i < SERVERS / 2 ? 0 : 1);
    }
  configure (soak);
  for (guint i = 0; i < ENTRIES; i++)
    {
      struct node *entry = &soak->entries[i];
      *entry = (struct node){ .soak = soak, .number = i };
      take_address (soak, entry->callers, sizeof entry->callers);
      take_address (soak, entry->admin, sizeof entry->admin);
      take_address (soak, entry->peers, sizeof entry->peers);
      entry->store_link = proxy_open (soak->net, fake_store_address (soak->store));
      start_entry (entry);
      g_subprocess_wait_async (entry->process, NULL, process_ended, entry);
    }
  g_free (build);
  return soak;
}

static void
stop_entries (struct soak *soak)
{
  for (guint i = 0; i < ENTRIES; i++)
    {
      GSubprocess *process = g_steal_pointer (&soak->entries[i].process);
      g_subprocess_force_exit (process);
      g_subprocess_wait (process, NULL, NULL);
      g_object_unref (process);
    }
}

static void
remove_folder (const char *folder)
{
  GDir *dir = g_dir_open (folder, 0, NULL);
  for (const char *name = g_dir_read_name (dir); name; name = g_dir_read_name (dir))
    {
      char *path = g_build_filename (folder, name, NULL);
      g_remove (path);
      g_free (path);
    }
  g_dir_close (dir);
  g_rmdir (folder);
}

static guint
run (guint64 seed, const char *program, gboolean timed, int rounds, int trouble_sec)
{
  struct soak *soak = open_soak (seed, program, timed);
  harness_pause (1500);
  guint requests = g_timeout_add (REQUEST_MS, request_due, soak);
  guint troubles = g_timeout_add (TROUBLE_MS, trouble_due, soak);
  for (int round = 0; round < rounds; round++)
    {
      soak->calm = FALSE;
      harness_pause (trouble_sec * 1000);
      soak->calm = TRUE;
      if (timed)
        work_in_calm (soak);
    }
  g_source_remove (troubles);
  g_source_remove (requests);
  /* What is under way may still run, and must not where it was refused. */
  harness_pause (LEAVE_MS + WORK_MS);
  look_at_requests (soak);
  check_budget (soak);
  stop_entries (soak);
  if (soak->served == 0)
    find_fault (soak, "nothing was served");
  printf ("seed %" G_GUINT64_FORMAT ": %u requests, %u served, %u repeats, %u failures%s%s\n", seed, soak->next_id,
          soak->served, soak->repeats->len, soak->failures, soak->failures ? ", logs in " : "",
          soak->failures ? soak->folder : "");
  if (soak->failures == 0)
    remove_folder (soak->folder);
  return soak->failures;
}

int
main (int argc, char **argv)
{
  gint64 seed = 1;
  int rounds = 2;
  int trouble_sec = 8;
  gboolean untimed = FALSE;
  GError *problem = NULL;
  const GOptionEntry options[] = {
    { "seed", 0, 0, G_OPTION_ARG_INT64, &seed, "Seed of the troubles (1)", "N" },
    { "rounds", 0, 0, G_OPTION_ARG_INT, &rounds, "Times of trouble (2)", "N" },
    { "trouble", 0, 0, G_OPTION_ARG_INT, &trouble_sec, "Length of each (8)", "SECONDS" },
    { "untimed", 0, 0, G_OPTION_ARG_NONE, &untimed, "Check no bounds in time, and leave out times of calm", NULL },
    { 0 },
  };
  GOptionContext *context = g_option_context_new (NULL);
  g_option_context_set_summary (context, "Plays troubles on real processes and checks what callers and servers see.");
  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &problem))
    {
      fprintf (stderr, "hf-soak: %s; see --help\n", problem->message);
      return 2;
    }
  g_option_context_free (context);
  signal (SIGPIPE, SIG_IGN);
  return run ((guint64) seed, argv[0], !untimed, rounds, trouble_sec) > 0;
}
