/*
 * hf-soak: a randomized run of real hickoryd processes against a fake store and
 * fake backend servers with injected faults.
 *
 * Each entry is a process of its own that reaches the store through a proxy of
 * its own; each backend server is reached through a proxy, too. Phases with
 * overlapping faults of processes, proxies, store and servers alternate with
 * calm phases without faults. In phases with faults, backend servers also send
 * copies of earlier answers (copies.h), start again at their addresses under new
 * names while the store still lists the former ones, and callers come back under
 * the same id after a refusal.
 *
 * Checked all the time, as callers and backend servers see it:
 * - a request that is not repeatable runs at most once, also if its caller comes back under the same id;
 * - a request that is not repeatable never runs because of an arrival that was refused as not run;
 * - a request that runs has the whole body that its caller sent;
 * - a response is complete and belongs to the caller's request;
 * - a server gets only requests that some configuration routed to its service;
 * - an entry never goes back to an older configuration.
 * Checked in calm phases:
 * - every request succeeds;
 * - the shutdown of an entry breaks off no request;
 * - a change in the store is in force everywhere in time;
 * - a draining server gets no new requests;
 * - an entry to which a server has answered that it leaves, or that it wants no requests for a time, sends it none.
 */
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "copies.h"
#include "fake-store.h"
#include "harness.h"
#include "input.h"
#include "proxy.h"
#include "raw.h"

#include "config.h"

/* --- constants --- */

#define ENTRY_COUNT           4
#define SERVER_COUNT          8
#define SERVICE_COUNT         2
#define SERVER_NAME_BYTES     24
#define FAULT_INTERVAL_MS     250  /* between two injected faults */
#define REQUEST_INTERVAL_MS   12   /* between two requests */
#define CALM_DURATION_S       9    /* at the end of each round */
#define SETTLE_MS             4000 /* after the last fault; then every request must succeed */
#define CHANGE_TIMEOUT_MS     2500 /* until a change in the store is in force at all entries */
#define REQUEST_DEADLINE_MS   2000
#define CALLER_TIMEOUT_MS     3000 /* then a caller closes its connection */
#define FAULT_MS_MAX          1500 /* duration of a fault of a proxy, the store or a server */
#define PAUSE_MS_MAX          2500 /* duration of a SIGSTOP of an entry */
#define SERVICE_TIME_MS_MAX   60   /* of a request at a backend server */
#define START_TIMEOUT_S       10
#define RETRY_BUDGET_WINDOW_S 10
#define RETRY_BUDGET_RATIO    0.2 /* repeats allowed per request in the window */
#define RETRY_BUDGET_EXTRA    58  /* further repeats allowed in the window */
#define WISH_MS               500 /* after an answer with a restriction; then the entry must have stopped */
#define PUSHBACK_REQUESTS_MAX 2   /* that may reach a server within the time for which it wants none */
#define PUSHBACK_S            3   /* Retry-After of a server that turns requests away */
#define DISCONNECT_ONE_IN     20  /* one caller in this many disconnects early, in phases with faults */
#define LONG_BODY_ONE_IN      8   /* one body in this many is about as long as an entry buffers, or longer */
#define SHORT_BODY_BYTES_MAX  1000
#define LONG_BODY_BYTES_MAX   (1024 * 1024)
#define LONG_BODY_BYTES       300000 /* of a server's response; more than an entry buffers */
#define SHORT_SILENCE_MS_MAX  400    /* of the store; shorter than the pauses between its checks */
#define PROGRAM_START_MS      100    /* until a process that was started handles signals */
#define WRITE_ONE_IN          3      /* one request in this many is not repeatable */
#define ARRIVALS_MAX          4      /* of a request whose caller comes back */
#define STAY_AWAY_ONE_IN      4      /* one caller in this many does not come back */
#define COME_BACK_MS_MAX      1000
#define FORMER_LISTED_MS_MAX  3000 /* of a server that has started again at its address */

/* --- types --- */

/** enum server_behaviour - how a fake backend server handles requests */
enum server_behaviour
{
  SENDS_RESPONSE,
  SENDS_NOT_RUN,      /* 503 with X-Not-Executed, without running the request */
  SENDS_LONG_NOT_RUN, /* the same with a long body */
  SENDS_503,          /* after running the request, as all below */
  SENDS_LONG_503,     /* the same with a long body */
  RESETS_CONNECTION,
  SENDS_NOTHING,
  SENDS_FOREIGN_RESPONSE_FIRST, /* a response to another request, then the right one */
  SENDS_EXTRA_BYTES,            /* the right response, then one to another request */
  SENDS_NON_HTTP,
  SERVER_BEHAVIOUR_COUNT,
  RESETS_EARLY, /* part of a response without a length, and a reset, to each head of a request, without running it */
};

/** enum server_restriction - what a backend server says of itself in calm phases, while it is listed as ready */
enum server_restriction
{
  WANTS_REQUESTS,
  LEAVES,      /* all its responses say so */
  PUSHES_BACK, /* it answers the first request of each entry with 503 and Retry-After */
};

/* What one server has told one entry. */
struct told
{
  guint entry_start_count; /* process that was told; 0: none */
  gint64 at;
  guint requests_since; /* from WISH_MS on */
};

/* A fake backend server; it gets a new name each time it is replaced. */
struct server
{
  struct soak *soak;
  struct raw_server *raw_server;
  struct proxy *proxy;
  char name[SERVER_NAME_BYTES];
  guint start_count; /* instances so far */
  guint service;     /* index in service_names */
  enum server_behaviour behaviour;
  gint64 fault_ends_at;
  gboolean listed;
  gint64 draining_since; /* listed as draining since then, in a calm phase; 0: not draining */
  enum server_restriction restriction;
  struct told told[ENTRY_COUNT];
};

struct soak_entry
{
  struct soak *soak;
  guint number;
  char caller_address[32];
  char admin_address[32];
  char peer_address[32];
  struct proxy *store_proxy;
  GSubprocess *process;
  guint start_count;
  gboolean paused;
  gboolean leaving;      /* got SIGTERM */
  gint64 last_action_at; /* start, pause, resumption or signal */
  guint newest_version;  /* newest configuration that a response of this process has shown */
  gint64 newest_version_at;
};

/* Observations of one arrival of a request at an entry. */
struct arrival
{
  guint run_count;
  gboolean refused; /* reported to the caller as not run */
  guint entry;      /* that got it from the caller */
  guint entry_start_count;
};

/* Observations of a request, kept for the whole run. Its caller comes back only after a refusal. */
struct request_record
{
  guint run_count; /* of all arrivals */
  gsize body_size;
  gboolean is_write;
  gboolean has_own_path; /* FALSE: that of all requests in calm phases */
  guint arrival_count;
  struct arrival arrivals[ARRIVALS_MAX];
};

struct request
{
  struct soak *soak;
  struct soak_entry *entry;
  guint entry_start_count; /* when the request was sent */
  guint id;
  guint arrival;        /* index in its record */
  guint config_version; /* configuration that added the route of its path; 0: a route of all versions */
  gint64 sent_at;
  gint64 give_up_at;
  gboolean sent_in_calm; /* sent more than SETTLE_MS after the last fault and the last action on the entry */
  struct raw_client *client;
};

struct soak
{
  struct hf_net *net;
  struct fake_store *store;
  struct server servers[SERVER_COUNT];
  struct soak_entry entries[ENTRY_COUNT];
  GRand *random;
  guint64 seed;
  gboolean check_time_bounds; /* have calm phases and check their bounds */
  char *program;
  char *folder;
  GHashTable *reserved;  /* addresses of entries, as the kernel may give out a port again */
  GHashTable *records;   /* struct request_record by id */
  struct copies *copies; /* of answers of the servers */
  GPtrArray *requests;   /* struct request */
  GArray *request_times; /* gint64, when callers sent them */
  GArray *repeat_times;  /* gint64, when a server ran a request again */
  guint next_id;
  guint config_version;
  gint64 config_changed_at;
  gint64 last_fault_end; /* may be in the future */
  gint64 crowded_until;  /* then the servers stop refusing one request in two */
  gboolean calm;
  gboolean injects_faults; /* not in a calm phase, nor before its requests have ended */
  guint calm_phases;       /* begun so far */
  guint served;
  guint came_back; /* arrivals after the first one */
  guint failures;
};

static const char *const service_names[SERVICE_COUNT] = { "alpha", "beta" };

/* --- internal functions: time and reports --- */

static gint64
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

G_GNUC_PRINTF (2, 3)
static void
report_failure (struct soak *soak, const char *format, ...)
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
note_fault (struct soak *soak, gint64 lasts_ms)
{
  soak->last_fault_end = MAX (soak->last_fault_end, now_ms () + lasts_ms);
}

static gint64
random_ms (struct soak *soak, gint64 most_ms)
{
  return g_rand_int_range (soak->random, 100, (gint32) most_ms);
}

/* True in a calm phase, more than SETTLE_MS after the last fault. */
static gboolean
is_settled (const struct soak *soak)
{
  return soak->calm && now_ms () - soak->last_fault_end > SETTLE_MS;
}

/* --- internal functions: backend servers --- */

static void
put_server (struct server *server, const char *state)
{
  char *spec = g_strdup_printf (
      "{\"address\":\"%s\",\"born\":%u,\"info\":{\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"z%u\",\"slots\":3},"
      "\"status\":{\"state\":\"%s\",\"sequence\":1,\"cold_left\":\"0ms\"}}",
      proxy_address (server->proxy), server->start_count + 1, service_names[server->service], server->start_count % 2,
      state);
  fake_store_put (server->soak->store, "servers", server->name, spec);
  server->listed = TRUE;
  g_free (spec);
}

static void
set_restriction (struct server *server, enum server_restriction restriction)
{
  server->restriction = restriction;
  memset (server->told, 0, sizeof server->told);
}

static void
set_behaviour (struct server *server, enum server_behaviour behaviour)
{
  server->behaviour = behaviour;
  raw_server_set_head_only (server->raw_server, behaviour == RESETS_EARLY);
}

/* Lists a new server at the same address, perhaps for another service. */
static void
start_server (struct server *server, guint service)
{
  server->start_count++;
  server->service = service;
  set_behaviour (server, SENDS_RESPONSE);
  server->draining_since = 0;
  set_restriction (server, WANTS_REQUESTS);
  g_snprintf (server->name, sizeof server->name, "i-%u-%u", (guint) (server - server->soak->servers),
              server->start_count);
  put_server (server, "ready");
}

static char *
header_value (const char *text, const char *name)
{
  char *prefix = g_strdup_printf ("\r\n%s: ", name);
  const char *found = strstr (text, prefix);
  char *copy = found ? g_strndup (found + strlen (prefix), strcspn (found + strlen (prefix), "\r")) : g_strdup ("");
  g_free (prefix);
  return copy;
}

static char *
make_response (const char *id, gboolean leaves)
{
  char *body = g_strdup_printf ("answer to %s", id);
  char *text = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: stamp-%s\r\nX-Backend-Load: 1,0,3,100\r\n%s"
      "Content-Length: %zu\r\n\r\n%s",
      id, id, leaves ? "Server-Leaving: 1\r\n" : "", strlen (body), body);
  g_free (body);
  return text;
}

static void
send_foreign_response (struct raw_connection *connection)
{
  char *text = make_response ("another", FALSE);
  raw_connection_send (connection, "%s", text);
  g_free (text);
}

/* Sends an answer to the request with this id and frees its text. */
static void
send_answer (struct soak *soak, struct raw_connection *connection, enum answer_kind kind, const char *id, char *text)
{
  copies_answer (soak->copies, connection, kind, id, text);
  g_free (text);
}

/* Notes that the entry which sent a request is told something now; returns FALSE if it had been told before. */
static gboolean
note_told (struct server *server, const struct arrival *arrival)
{
  struct told *told = &server->told[arrival->entry];
  if (told->entry_start_count == arrival->entry_start_count)
    return FALSE;
  *told = (struct told){ .entry_start_count = arrival->entry_start_count, .at = now_ms () };
  return TRUE;
}

/* Checks that the entry which sent a request was not told before to send none. */
static void
check_restriction (struct server *server, const struct arrival *arrival, const char *id)
{
  struct soak *soak = server->soak;
  struct told *told = &server->told[arrival->entry];
  gint64 elapsed_ms = now_ms () - told->at;
  if (told->entry_start_count != arrival->entry_start_count || !soak->check_time_bounds || !is_settled (soak)
      || elapsed_ms < WISH_MS)
    return;
  if (server->restriction == LEAVES)
    report_failure (soak, "request %s reached server %s %d ms after it had told the entry that it leaves", id,
                    server->name, (int) elapsed_ms);
  if (server->restriction == PUSHES_BACK && elapsed_ms < PUSHBACK_S * 1000
      && ++told->requests_since > PUSHBACK_REQUESTS_MAX)
    report_failure (soak, "request %s reached server %s %d ms after it had told the entry to wait for %d s", id,
                    server->name, (int) elapsed_ms, PUSHBACK_S);
}

struct work
{
  struct server *server;
  const struct arrival *arrival;
  struct raw_connection *connection;
  enum server_behaviour behaviour;
  char *id;
};

static char *
make_503 (const char *id, const char *fields, gsize body_size)
{
  char *body = make_content (body_size);
  char *text = g_strdup_printf ("HTTP/1.1 503 Failed\r\nX-Attempt-Id: %s\r\n%sContent-Length: %zu\r\n\r\n%s", id,
                                fields, body_size, body);
  g_free (body);
  return text;
}

static gboolean
finish_work (gpointer data)
{
  struct work *work = data;
  const char *id = work->id;
  struct soak *soak = work->server->soak;
  if (work->behaviour == SENDS_FOREIGN_RESPONSE_FIRST)
    send_foreign_response (work->connection);
  if (work->behaviour == SENDS_503)
    send_answer (soak, work->connection, ANSWER_OTHER, id, make_503 (id, "", 0));
  else if (work->behaviour == SENDS_LONG_503)
    send_answer (soak, work->connection, ANSWER_OTHER, id, make_503 (id, "", LONG_BODY_BYTES));
  else if (work->behaviour == RESETS_CONNECTION)
    raw_connection_close (work->connection, TRUE);
  else if (work->behaviour == SENDS_NON_HTTP)
    raw_connection_send (work->connection, "220 this is another protocol\r\n\r\n");
  else if (work->behaviour != SENDS_NOTHING)
    {
      gboolean leaves = work->server->restriction == LEAVES;
      if (leaves)
        note_told (work->server, work->arrival);
      send_answer (soak, work->connection, ANSWER_OTHER, id, make_response (id, leaves));
    }
  if (work->behaviour == SENDS_EXTRA_BYTES)
    send_foreign_response (work->connection);
  g_free (work->id);
  g_free (work);
  return G_SOURCE_REMOVE;
}

/* The body is the caller's, without a hole. */
static void
check_body (struct server *server, const struct request_record *request_record, const char *text, const char *id)
{
  char *content = make_content (request_record->body_size);
  char *received = read_body (text);
  if (strcmp (received, content) != 0)
    report_failure (server->soak, "request %s reached server %s with %zu of %zu bytes, or with others", id,
                    server->name, strlen (received), strlen (content));
  g_free (received);
  g_free (content);
}

static void
check_server_request (struct server *server,
                      struct request_record *request_record,
                      struct arrival *arrival,
                      const char *text,
                      const char *id)
{
  struct soak *soak = server->soak;
  gboolean is_write = g_str_has_prefix (text, "POST /w/");
  request_record->run_count++;
  arrival->run_count++;
  check_body (server, request_record, text, id);
  gint64 now = now_ms ();
  if (arrival->run_count > 1)
    g_array_append_val (soak->repeat_times, now);
  if (request_record->is_write && request_record->run_count > 1)
    report_failure (soak, "request %s is not repeatable, but it ran %u times in %u arrivals", id,
                    request_record->run_count, request_record->arrival_count);
  if (arrival->refused && request_record->is_write)
    report_failure (soak, "request %s ran because of its arrival %u after that was refused as not run", id,
                    (guint) (arrival - request_record->arrivals));
  /* Only reads may be routed to the second service. */
  if (is_write && server->service != 0)
    report_failure (soak, "write request %s ran at service %s, to which no route sends writes", id,
                    service_names[server->service]);
  if (soak->check_time_bounds && server->draining_since > 0 && now - server->draining_since > CHANGE_TIMEOUT_MS
      && soak->calm && now - soak->last_fault_end > SETTLE_MS)
    report_failure (soak, "request %s reached server %s, which has been draining for %d ms", id, server->name,
                    (int) (now - server->draining_since));
}

/* The arrival that a request at a server belongs to: entries pass on the field in which callers number arrivals. */
static struct arrival *
find_arrival (struct request_record *request_record, const char *text)
{
  char *number = header_value (text, "X-Arrival");
  guint64 arrival = *number ? g_ascii_strtoull (number, NULL, 10) : ARRIVALS_MAX;
  g_free (number);
  return request_record && arrival < request_record->arrival_count ? &request_record->arrivals[arrival] : NULL;
}

/* NULL: the server does not refuse the request; the caller frees the text. */
static char *
make_refusal (struct server *server, const struct arrival *arrival, const char *id)
{
  struct soak *soak = server->soak;
  gboolean is_crowded = now_ms () < soak->crowded_until && g_rand_boolean (soak->random);
  if (is_crowded || server->behaviour == SENDS_NOT_RUN)
    return make_503 (id, "X-Not-Executed: 1\r\n", 0);
  if (server->behaviour == SENDS_LONG_NOT_RUN)
    return make_503 (id, "X-Not-Executed: 1\r\n", LONG_BODY_BYTES);
  if (server->restriction != PUSHES_BACK || !arrival || !note_told (server, arrival))
    return NULL;
  char *fields = g_strdup_printf ("X-Not-Executed: 1\r\nRetry-After: %d\r\n", PUSHBACK_S);
  char *text = make_503 (id, fields, 0);
  g_free (fields);
  return text;
}

static void
start_work (struct server *server, const struct arrival *arrival, struct raw_connection *connection, const char *id)
{
  struct work *work = g_new (struct work, 1);
  *work = (struct work){
    .server = server, .arrival = arrival, .connection = connection, .behaviour = server->behaviour, .id = g_strdup (id)
  };
  g_timeout_add ((guint) g_rand_int_range (server->soak->random, 1, SERVICE_TIME_MS_MAX), finish_work, work);
}

static void
answer_request (struct server *server, struct raw_connection *connection, const char *text, const char *id)
{
  struct soak *soak = server->soak;
  guint64 request_id = g_ascii_strtoull (id, NULL, 10);
  struct request_record *request_record = g_hash_table_lookup (soak->records, GUINT_TO_POINTER (request_id));
  struct arrival *arrival = find_arrival (request_record, text);
  if (arrival)
    check_restriction (server, arrival, id);
  char *refusal = make_refusal (server, arrival, id);
  if (refusal)
    send_answer (soak, connection, ANSWER_REFUSAL, id, refusal);
  else if (!arrival)
    report_failure (soak, "a server received request \"%s\", which no caller sent", id);
  else
    {
      check_server_request (server, request_record, arrival, text, id);
      start_work (server, arrival, connection, id);
    }
}

static void
reset_early (struct raw_connection *connection, const char *id)
{
  raw_connection_send (connection, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n\r\nanswer to", id);
  raw_connection_close (connection, TRUE);
}

static void
on_server_request (void *context, struct raw_connection *connection, const char *text)
{
  struct server *server = context;
  char *id = header_value (text, "X-Attempt-Id");
  char *expected = header_value (text, "X-Expect-Instance");
  if (server->behaviour == RESETS_EARLY)
    reset_early (connection, id);
  else if (g_str_has_prefix (text, "GET /health "))
    send_answer (server->soak, connection, ANSWER_WITHOUT_ID, "",
                 g_strdup_printf ("HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Backend-Load: 0,0,3,100\r\n"
                                  "Content-Length: 0\r\n\r\n",
                                  server->name));
  else if (strcmp (expected, server->name) != 0)
    send_answer (server->soak, connection, ANSWER_REFUSAL, id,
                 g_strdup_printf ("HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id));
  else
    answer_request (server, connection, text, id);
  g_free (id);
  g_free (expected);
}

/* --- internal functions: configuration --- */

/* Writes a new configuration to the store. Each version adds a route /g<version>/, so that a response shows whether the
 * entry has adopted this version. Reads are routed to one of the services or split between both. */
static void
put_config (struct soak *soak)
{
  static const char *const targets[] = { "\"service\":\"alpha\"", "\"service\":\"beta\"",
                                         "\"traffic_split\":[{\"service\":\"alpha\",\"weight\":3},{\"service\":"
                                         "\"beta\",\"weight\":1}]" };
  const char *read_target = targets[g_rand_int_range (soak->random, 0, G_N_ELEMENTS (targets))];
  GString *spec = g_string_new (NULL);
  soak->config_version++;
  soak->config_changed_at = now_ms ();
  g_string_append_printf (
      spec,
      "{\"version\":\"r%u\",\"services\":[{\"name\":\"alpha\",\"health_path\":\"/health\",\"max_conns\":50},"
      "{\"name\":\"beta\",\"health_path\":\"/health\",\"max_conns\":50}],"
      "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":64000000,\"header_timeout\":\"500ms\","
      "\"idle_timeout\":\"15000ms\"},\"routes\":["
      "{\"name\":\"read\",\"host\":\"h.example\",\"path_prefix\":\"/r/"
      "\",\"route_kind\":\"safe\",\"timeout\":\"1500ms\","
      "\"target_latency\":\"300ms\",\"priority\":2,%s,\"max_attempts\":2},"
      "{\"name\":\"write\",\"host\":\"h.example\",\"path_prefix\":\"/w/\",\"route_kind\":\"unsafe\",\"timeout\":"
      "\"1500ms\",\"target_latency\":\"300ms\",\"priority\":1,\"service\":\"alpha\",\"max_attempts\":2}",
      soak->config_version, read_target);
  for (guint version = 1; version <= soak->config_version; version++)
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
note_action (struct soak_entry *entry)
{
  entry->last_action_at = now_ms ();
}

/* Finds a free port, which the entry keeps through its restarts. Each hf-soak process has a loopback address of its
 * own, as another one may find the same port while the entry starts again. */
static void
reserve_address (struct soak *soak, char *address, gsize size)
{
  guint process = (guint) getpid ();
  char host[32];
  g_snprintf (host, sizeof host, "127.%u.%u.%u:0", 1 + process / 62500 % 250, 1 + process / 250 % 250,
              1 + process % 250);
  do
    {
      struct hf_listener *listener = hf_listener_open (soak->net, hf_str (host), NULL, NULL, NULL);
      g_strlcpy (address, hf_listener_address (listener).data, size);
      hf_listener_close (listener);
    }
  while (!g_hash_table_add (soak->reserved, g_strdup (address)));
}

static void
start_entry (struct soak_entry *entry)
{
  struct soak *soak = entry->soak;
  char *file = g_strdup_printf ("%s/e%u.yaml", soak->folder, entry->number);
  char *log = g_strdup_printf ("%s/e%u.%u.log", soak->folder, entry->number, entry->start_count);
  char *settings = g_strdup_printf ("name: e%u\nfailure_domain: z%u\nlisten: %s\nadmin: %s\npeers: %s\nstore: %s\n"
                                    "drain_wait_ms: 500\ngrace_ms: 4000\n",
                                    entry->number, entry->number % 2, entry->caller_address, entry->admin_address,
                                    entry->peer_address, proxy_address (entry->store_proxy));
  g_assert_true (g_file_set_contents (file, settings, -1, NULL));
  GSubprocessLauncher *launcher = g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_NONE);
  g_subprocess_launcher_set_stdout_file_path (launcher, log);
  entry->process = g_subprocess_launcher_spawn (launcher, NULL, soak->program, file, NULL);
  g_assert_nonnull (entry->process);
  entry->start_count++;
  entry->paused = FALSE;
  entry->leaving = FALSE;
  entry->newest_version = 0;
  note_action (entry);
  g_object_unref (launcher);
  g_free (settings);
  g_free (log);
  g_free (file);
}

/* By SIGKILL or, after a SIGTERM, in order; or by that SIGTERM, which may come before the program has begun. */
static gboolean
is_expected_end (const struct soak_entry *entry)
{
  int signal = g_subprocess_get_if_signaled (entry->process) ? g_subprocess_get_term_sig (entry->process) : 0;
  if (signal)
    return signal == SIGKILL || (entry->leaving && signal == SIGTERM);
  return entry->leaving && g_subprocess_get_exit_status (entry->process) == 0;
}

static void
on_process_ended (GObject *source, GAsyncResult *result, gpointer data)
{
  struct soak_entry *entry = data;
  g_subprocess_wait_finish (G_SUBPROCESS (source), result, NULL);
  if (entry->process != G_SUBPROCESS (source))
    return;
  if (!is_expected_end (entry))
    report_failure (entry->soak, "entry e%u ended by itself; restarting it", entry->number);
  g_clear_object (&entry->process);
  start_entry (entry);
  g_subprocess_wait_async (entry->process, NULL, on_process_ended, entry);
}

static gboolean
resume_entry (gpointer data)
{
  struct soak_entry *entry = data;
  if (entry->paused && entry->process)
    g_subprocess_send_signal (entry->process, SIGCONT);
  entry->paused = FALSE;
  note_action (entry);
  return G_SOURCE_REMOVE;
}

static void
pause_entry (struct soak_entry *entry, gint64 ms)
{
  if (entry->paused || entry->leaving)
    return;
  entry->paused = TRUE;
  note_action (entry);
  note_fault (entry->soak, ms);
  g_subprocess_send_signal (entry->process, SIGSTOP);
  g_timeout_add ((guint) ms, resume_entry, entry);
}

static void
stop_entry (struct soak_entry *entry, int signal)
{
  if (entry->paused || entry->leaving)
    return;
  entry->leaving = signal == SIGTERM;
  note_action (entry);
  g_subprocess_send_signal (entry->process, signal);
}

/* --- internal functions: callers --- */

static void
close_request (struct request *request)
{
  raw_client_close (request->client);
  g_ptr_array_remove_fast (request->soak->requests, request);
  g_free (request);
}

static gboolean
is_own_response (const struct request *request)
{
  char *stamp = g_strdup_printf ("\r\nX-Server-Stamp: stamp-%u\r\n", request->id);
  char *body = g_strdup_printf ("\r\n\r\nanswer to %u", request->id);
  const char *response = request->client->received->str;
  gboolean is_own = strstr (response, stamp) && g_str_has_suffix (response, body);
  g_free (stamp);
  g_free (body);
  return is_own;
}

static void
check_config_version (struct request *request, guint status)
{
  struct soak *soak = request->soak;
  struct soak_entry *entry = request->entry;
  gboolean same_process = entry->start_count == request->entry_start_count;
  if (status == 404 && same_process && entry->newest_version >= request->config_version
      && request->sent_at > entry->newest_version_at)
    report_failure (soak, "entry e%u has used configuration %u, but returned 404 for a route of configuration %u",
                    entry->number, entry->newest_version, request->config_version);
  gboolean is_overdue = soak->check_time_bounds && request->sent_in_calm
                        && request->config_version == soak->config_version
                        && request->sent_at - soak->config_changed_at > CHANGE_TIMEOUT_MS;
  if (status == 404 && is_overdue)
    report_failure (soak, "entry e%u has not adopted configuration %u after %d ms", entry->number,
                    request->config_version, (int) (request->sent_at - soak->config_changed_at));
  if (status == 200 && same_process && request->config_version > entry->newest_version)
    {
      entry->newest_version = request->config_version;
      entry->newest_version_at = now_ms ();
    }
}

static gboolean come_back (const struct request *request);

static void
check_response (struct request *request)
{
  struct soak *soak = request->soak;
  guint status = raw_client_status (request->client);
  struct request_record *request_record = g_hash_table_lookup (soak->records, GUINT_TO_POINTER (request->id));
  gboolean complete = raw_client_has_response (request->client);
  struct arrival *arrival = &request_record->arrivals[request->arrival];
  gboolean reported_not_run = status == 503 || status == 429 || status == 408 || status == 421;
  if (complete && status == 200 && !is_own_response (request))
    report_failure (soak, "request %u received a response that is not its own: %s", request->id,
                    request->client->received->str);
  if (complete && reported_not_run && request_record->is_write && arrival->run_count > 0)
    report_failure (soak, "arrival %u of request %u at entry e%u was refused as not run (%u), but it has run",
                    request->arrival, request->id, request->entry->number, status);
  arrival->refused = complete && reported_not_run;
  soak->served += complete && status == 200;
  gboolean comes_back = arrival->refused && come_back (request);
  if (request->config_version > 0 && complete)
    check_config_version (request, status);
  else if (request->sent_in_calm && soak->check_time_bounds && !(complete && status == 200) && !comes_back)
    report_failure (soak, "request %u at entry e%u failed in a calm phase: status %u, response %s", request->id,
                    request->entry->number, status, complete ? "whole" : "cut");
}

static void
check_requests (struct soak *soak)
{
  GPtrArray *requests = g_ptr_array_copy (soak->requests, NULL, NULL);
  for (guint i = 0; i < requests->len; i++)
    {
      struct request *request = g_ptr_array_index (requests, i);
      gboolean done = request->client->ended || raw_client_has_response (request->client);
      if (done)
        check_response (request);
      if (done || now_ms () >= request->give_up_at)
        close_request (request);
    }
  g_ptr_array_unref (requests);
}

/* Most are short; of the others, half stand at the limit of what an entry buffers. */
static gsize
choose_body_size (struct soak *soak)
{
  static const gsize sizes[] = { HF_BODY_BUFFER_BYTES - 1, HF_BODY_BUFFER_BYTES, HF_BODY_BUFFER_BYTES + 1 };
  if (g_rand_int_range (soak->random, 0, LONG_BODY_ONE_IN) > 0)
    return (gsize) g_rand_int_range (soak->random, 0, SHORT_BODY_BYTES_MAX);
  if (g_rand_boolean (soak->random))
    return sizes[g_rand_int_range (soak->random, 0, G_N_ELEMENTS (sizes))];
  return (gsize) g_rand_int_range (soak->random, HF_BODY_BUFFER_BYTES, LONG_BODY_BYTES_MAX);
}

/* Of a request with this body; the caller frees it. */
static char *
make_request (struct soak *soak, const struct request *request, const char *method, const char *path, gsize body_size)
{
  char *content = make_content (body_size);
  GString *text = g_string_new (NULL);
  g_string_printf (text,
                   "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %u\r\nX-Arrival: %u\r\nX-Deadline-Ms: %d\r\n",
                   method, path, request->id, request->arrival, REQUEST_DEADLINE_MS);
  if (body_size > 0 && g_rand_boolean (soak->random))
    {
      g_string_append (text, "Transfer-Encoding: chunked\r\n\r\n");
      append_chunks (text, content);
    }
  else
    g_string_append_printf (text, "Content-Length: %zu\r\n\r\n%s", body_size, content);
  g_free (content);
  return g_string_free (text, FALSE);
}

/* Each request sent in a phase with faults has a path of its own: entries refuse a request during which two servers
 * have broken off connections, and know it by method, path and body. The caller frees the path. */
static char *
make_path (const struct request *request, const struct request_record *request_record)
{
  char *name = request_record->has_own_path ? g_strdup_printf ("%u", request->id) : g_strdup ("x");
  char *path = request->config_version > 0 ? g_strdup_printf ("/g%u/%s", request->config_version, name)
                                           : g_strdup_printf (request_record->is_write ? "/w/%s" : "/r/%s", name);
  g_free (name);
  return path;
}

/* Sends a request of which arrival, time and client are not set yet. */
static void
start_arrival (struct request template, struct request_record *request_record)
{
  struct soak *soak = template.soak;
  struct soak_entry *entry = template.entry;
  struct request *request = g_memdup2 (&template, sizeof template);
  request->entry_start_count = entry->start_count;
  request->arrival = request_record->arrival_count++;
  request->sent_at = now_ms ();
  request->give_up_at += request->sent_at;
  request_record->arrivals[request->arrival]
      = (struct arrival){ .entry = (guint) (entry - soak->entries), .entry_start_count = entry->start_count };
  g_array_append_val (soak->request_times, request->sent_at);
  char *path = make_path (request, request_record);
  char *text = make_request (soak, request, request_record->is_write ? "POST" : "GET", path, request_record->body_size);
  request->client = raw_client_connect (soak->net, entry->caller_address, text);
  g_ptr_array_add (soak->requests, request);
  g_free (text);
  g_free (path);
}

static void
send_request (struct soak *soak)
{
  struct soak_entry *entry = &soak->entries[g_rand_int_range (soak->random, 0, ENTRY_COUNT)];
  gboolean is_write = g_rand_int_range (soak->random, 0, WRITE_ONE_IN) == 0;
  gboolean uses_version_route = !is_write && soak->config_version > 0 && g_rand_int_range (soak->random, 0, 4) == 0;
  gboolean disconnects_early = !soak->calm && g_rand_int_range (soak->random, 0, DISCONNECT_ONE_IN) == 0;
  struct request request
      = { .soak = soak,
          .entry = entry,
          .id = ++soak->next_id,
          .config_version = uses_version_route ? soak->config_version : 0,
          .give_up_at = disconnects_early ? random_ms (soak, REQUEST_DEADLINE_MS / 4) : CALLER_TIMEOUT_MS,
          .sent_in_calm = is_settled (soak) && now_ms () - entry->last_action_at > SETTLE_MS };
  struct request_record *request_record = g_new0 (struct request_record, 1);
  request_record->is_write = is_write;
  request_record->has_own_path = !request.sent_in_calm;
  request_record->body_size = is_write ? choose_body_size (soak) : 0;
  g_hash_table_insert (soak->records, GUINT_TO_POINTER (request.id), request_record);
  start_arrival (request, request_record);
}

static gboolean
start_later_arrival (gpointer data)
{
  struct request *request = data;
  struct soak *soak = request->soak;
  soak->came_back++;
  start_arrival (*request, g_hash_table_lookup (soak->records, GUINT_TO_POINTER (request->id)));
  g_free (request);
  return G_SOURCE_REMOVE;
}

/* In phases with faults, most callers come back under the same id after a refusal: at once or later, to the same entry
 * or to any. In calm phases only those come back, at once and once, whose body is too long for the entry to keep: if
 * the server states that it has not run the request, the entry passes that on. Returns FALSE if the caller does not. */
static gboolean
come_back (const struct request *request)
{
  struct soak *soak = request->soak;
  const struct request_record *request_record = g_hash_table_lookup (soak->records, GUINT_TO_POINTER (request->id));
  struct request again = *request;
  guint later_ms = 0;
  again.give_up_at = CALLER_TIMEOUT_MS;
  if (request->sent_in_calm)
    {
      if (request->arrival > 0 || request_record->body_size <= HF_BODY_BUFFER_BYTES)
        return FALSE;
      again.sent_in_calm = is_settled (soak);
    }
  else
    {
      if (!soak->injects_faults || request_record->arrival_count == ARRIVALS_MAX
          || g_rand_int_range (soak->random, 0, STAY_AWAY_ONE_IN) == 0)
        return FALSE;
      if (g_rand_boolean (soak->random))
        again.entry = &soak->entries[g_rand_int_range (soak->random, 0, ENTRY_COUNT)];
      if (g_rand_boolean (soak->random))
        later_ms = (guint) random_ms (soak, COME_BACK_MS_MAX);
    }
  g_timeout_add (later_ms, start_later_arrival, g_memdup2 (&again, sizeof again));
  return TRUE;
}

static gboolean
on_request_timer (gpointer data)
{
  struct soak *soak = data;
  send_request (soak);
  check_requests (soak);
  return G_SOURCE_CONTINUE;
}

/* --- internal functions: faults --- */

static gboolean
clear_proxy_fault (gpointer data)
{
  proxy_set_fault (data, PROXY_NO_FAULT);
  return G_SOURCE_REMOVE;
}

static void
inject_proxy_fault (struct soak *soak, struct proxy *proxy)
{
  gint64 ms = random_ms (soak, FAULT_MS_MAX);
  note_fault (soak, ms);
  if (g_rand_int_range (soak->random, 0, PROXY_FAULT_COUNT) == 0)
    {
      proxy_reset_connections (proxy);
      return;
    }
  proxy_set_fault (proxy, (enum proxy_fault) g_rand_int_range (soak->random, PROXY_NO_FAULT + 1, PROXY_FAULT_COUNT));
  g_timeout_add ((guint) ms, clear_proxy_fault, proxy);
}

static gboolean
clear_store_fault (gpointer data)
{
  struct soak *soak = data;
  fake_store_set_error (soak->store, 0);
  fake_store_set_silent (soak->store, FALSE);
  return G_SOURCE_REMOVE;
}

/* An entry of another writer, beside those of the servers or in place of the one before it. */
static void
put_odd_entry (struct soak *soak)
{
  char *spec = make_odd_entry ((guint) g_rand_int_range (soak->random, 0, (gint32) count_odd_entries ()));
  fake_store_put (soak->store, "servers", "odd", spec);
  g_free (spec);
}

static void
inject_store_fault (struct soak *soak)
{
  gint64 ms = random_ms (soak, FAULT_MS_MAX);
  note_fault (soak, ms);
  switch (g_rand_int_range (soak->random, 0, 6))
    {
    case 4:
      put_config (soak); /* the watches that follow it are lost */
      fake_store_set_silent (soak->store, TRUE);
      ms = random_ms (soak, SHORT_SILENCE_MS_MAX);
      break;
    case 5:
      put_odd_entry (soak);
      break;
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
  g_timeout_add ((guint) ms, clear_store_fault, soak);
}

static gboolean
clear_server_fault (gpointer data)
{
  set_behaviour (data, SENDS_RESPONSE);
  return G_SOURCE_REMOVE;
}

static void
replace_server (struct soak *soak, struct server *server)
{
  note_fault (soak, 0);
  fake_store_delete (soak->store, "servers", server->name);
  /* The first half of the servers stays with the first service, so that it always has servers. */
  start_server (
      server, (guint) (server - soak->servers) < SERVER_COUNT / 2 ? 0 : (guint) g_rand_int_range (soak->random, 0, 2));
}

static void
inject_server_fault (struct soak *soak, struct server *server)
{
  gint64 ms = random_ms (soak, FAULT_MS_MAX);
  note_fault (soak, ms);
  enum server_behaviour behaviour
      = (enum server_behaviour) g_rand_int_range (soak->random, SENDS_RESPONSE + 1, SERVER_BEHAVIOUR_COUNT);
  /* Not drawn, so that the seeds of found-seeds.txt still draw the faults that they did. */
  set_behaviour (server, behaviour == SENDS_NON_HTTP && ms % 2 == 1 ? RESETS_EARLY : behaviour);
  g_timeout_add ((guint) ms, clear_server_fault, server);
}

struct former_start
{
  struct soak *soak;
  char name[SERVER_NAME_BYTES];
};

static gboolean
forget_former_start (gpointer data)
{
  struct former_start *former_start = data;
  fake_store_delete (former_start->soak->store, "servers", former_start->name);
  g_free (former_start);
  return G_SOURCE_REMOVE;
}

/* The server starts again at its address under a new name, while its former one stays listed for a time. */
static void
restart_server (struct soak *soak, struct server *server)
{
  gint64 ms = random_ms (soak, FORMER_LISTED_MS_MAX);
  struct former_start *former_start = g_new (struct former_start, 1);
  note_fault (soak, ms);
  former_start->soak = soak;
  g_strlcpy (former_start->name, server->name, sizeof former_start->name);
  g_timeout_add ((guint) ms, forget_former_start, former_start);
  proxy_reset_connections (server->proxy);
  start_server (server, server->service);
}

/* Some of the servers of the first service, which gets all requests that are not repeatable. */
static void
restart_servers (struct soak *soak)
{
  for (guint i = 0; i < SERVER_COUNT / 2; i++)
    if (g_rand_boolean (soak->random))
      restart_server (soak, &soak->servers[i]);
}

static void
inject_fault (struct soak *soak)
{
  struct soak_entry *entry = &soak->entries[g_rand_int_range (soak->random, 0, ENTRY_COUNT)];
  struct server *server = &soak->servers[g_rand_int_range (soak->random, 0, SERVER_COUNT)];
  note_fault (soak, 0);
  switch (g_rand_int_range (soak->random, 0, 12))
    {
    case 0:
      pause_entry (entry, random_ms (soak, PAUSE_MS_MAX));
      break;
    case 1:
      stop_entry (entry, SIGKILL);
      break;
    case 2:
      stop_entry (entry, SIGTERM);
      break;
    case 3:
      if (!entry->paused && !entry->leaving && now_ms () - entry->last_action_at > PROGRAM_START_MS)
        g_subprocess_send_signal (entry->process, SIGHUP);
      break;
    case 4:
      inject_proxy_fault (soak, entry->store_proxy);
      break;
    case 5:
      inject_proxy_fault (soak, server->proxy);
      break;
    case 6:
      inject_store_fault (soak);
      break;
    case 7:
      inject_server_fault (soak, server);
      break;
    case 8:
      replace_server (soak, server);
      break;
    case 9:
      restart_servers (soak);
      break;
    case 10:
      soak->crowded_until = now_ms () + random_ms (soak, FAULT_MS_MAX);
      note_fault (soak, soak->crowded_until - now_ms ());
      break;
    default:
      put_config (soak);
      break;
    }
}

static gboolean
on_fault_timer (gpointer data)
{
  struct soak *soak = data;
  if (soak->injects_faults)
    inject_fault (soak);
  return G_SOURCE_CONTINUE;
}

/* --- internal functions: run --- */

/* Makes planned changes only: a new configuration, a draining server, another one that restricts requests while it is
 * listed as ready, the shutdown of an entry. The other servers have slots for all requests. */
static void
run_calm_phase (struct soak *soak)
{
  int first = g_rand_int_range (soak->random, 0, SERVER_COUNT / 2);
  struct server *server = &soak->servers[first];
  struct server *restricting_server = &soak->servers[(first + 1) % (SERVER_COUNT / 2)];
  /* A kept-alive connection that lost bytes stays silent after the fault and would fail the next request sent on it. */
  harness_pause (FAULT_MS_MAX);
  for (guint i = 0; i < SERVER_COUNT; i++)
    proxy_reset_lossy_connections (soak->servers[i].proxy);
  harness_pause (SETTLE_MS + 500 - FAULT_MS_MAX);
  put_config (soak);
  put_server (server, "draining");
  server->draining_since = now_ms ();
  set_restriction (restricting_server, soak->calm_phases++ % 2 == 0 ? LEAVES : PUSHES_BACK);
  harness_pause (CHANGE_TIMEOUT_MS + 500);
  stop_entry (&soak->entries[g_rand_int_range (soak->random, 0, ENTRY_COUNT)], SIGTERM);
  harness_pause (CALM_DURATION_S * 1000 - SETTLE_MS - CHANGE_TIMEOUT_MS - 1000);
  replace_server (soak, server);
  replace_server (soak, restricting_server);
}

static void
check_retry_budget (struct soak *soak)
{
  guint begin = 0;
  for (guint i = 0; i < soak->repeat_times->len; i++)
    {
      gint64 end = g_array_index (soak->repeat_times, gint64, i);
      gint64 from = end - RETRY_BUDGET_WINDOW_S * 1000;
      guint requests = 0;
      while (g_array_index (soak->repeat_times, gint64, begin) < from)
        begin++;
      for (guint j = 0; j < soak->request_times->len; j++)
        requests += g_array_index (soak->request_times, gint64, j) >= from
                    && g_array_index (soak->request_times, gint64, j) <= end;
      guint repeats = i - begin + 1;
      if (repeats <= RETRY_BUDGET_RATIO * requests + RETRY_BUDGET_EXTRA)
        continue;
      report_failure (soak, "retry budget exceeded: %u repeats for %u requests in %d s", repeats, requests,
                      RETRY_BUDGET_WINDOW_S);
      return;
    }
}

static struct soak *
open_soak (guint64 seed, const char *program, gboolean check_time_bounds)
{
  struct soak *soak = g_new0 (struct soak, 1);
  char *build = g_path_get_dirname (program);
  *soak = (struct soak){ .net = hf_net_open (),
                         .random = g_rand_new_with_seed ((guint32) seed),
                         .seed = seed,
                         .check_time_bounds = check_time_bounds,
                         .program = g_build_filename (build, "hickoryd", NULL),
                         .folder = g_dir_make_tmp ("hf-soak-XXXXXX", NULL),
                         .reserved = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
                         .records = g_hash_table_new_full (NULL, NULL, NULL, g_free),
                         .requests = g_ptr_array_new (),
                         .request_times = g_array_new (FALSE, FALSE, sizeof (gint64)),
                         .repeat_times = g_array_new (FALSE, FALSE, sizeof (gint64)) };
  soak->store = fake_store_open (soak->net);
  soak->copies = copies_open (soak->random);
  for (guint i = 0; i < SERVER_COUNT; i++)
    {
      struct server *server = &soak->servers[i];
      server->soak = soak;
      server->raw_server = raw_server_open (soak->net, on_server_request, server);
      server->proxy = proxy_open (soak->net, raw_server_address (server->raw_server));
      start_server (server, i < SERVER_COUNT / 2 ? 0 : 1);
    }
  put_config (soak);
  for (guint i = 0; i < ENTRY_COUNT; i++)
    {
      struct soak_entry *entry = &soak->entries[i];
      *entry = (struct soak_entry){ .soak = soak, .number = i };
      reserve_address (soak, entry->caller_address, sizeof entry->caller_address);
      reserve_address (soak, entry->admin_address, sizeof entry->admin_address);
      reserve_address (soak, entry->peer_address, sizeof entry->peer_address);
      entry->store_proxy = proxy_open (soak->net, fake_store_address (soak->store));
      start_entry (entry);
      g_subprocess_wait_async (entry->process, NULL, on_process_ended, entry);
    }
  g_free (build);
  return soak;
}

static void
kill_entries (struct soak *soak)
{
  for (guint i = 0; i < ENTRY_COUNT; i++)
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
run_soak (guint64 seed, const char *program, gboolean check_time_bounds, int rounds, int fault_phase_s)
{
  struct soak *soak = open_soak (seed, program, check_time_bounds);
  harness_pause (1500);
  guint request_timer = g_timeout_add (REQUEST_INTERVAL_MS, on_request_timer, soak);
  guint fault_timer = g_timeout_add (FAULT_INTERVAL_MS, on_fault_timer, soak);
  for (int round = 0; round < rounds; round++)
    {
      soak->injects_faults = TRUE;
      copies_set_sending (soak->copies, TRUE);
      harness_pause (fault_phase_s * 1000);
      soak->injects_faults = FALSE;
      copies_set_sending (soak->copies, FALSE);
      soak->calm = TRUE;
      if (check_time_bounds)
        run_calm_phase (soak);
      soak->calm = FALSE;
      if (check_time_bounds)
        harness_pause (CALLER_TIMEOUT_MS);
    }
  g_source_remove (fault_timer);
  g_source_remove (request_timer);
  /* Requests in progress may still reach a server; refused ones must not. */
  harness_pause (CALLER_TIMEOUT_MS + SERVICE_TIME_MS_MAX);
  check_requests (soak);
  check_retry_budget (soak);
  kill_entries (soak);
  if (soak->served == 0)
    report_failure (soak, "no request succeeded");
  struct copies_counts copies = copies_count (soak->copies);
  printf ("seed %" G_GUINT64_FORMAT
          ": %u requests, %u came back, %u served, %u repeats, %u copies, %u before an answer "
          "with their id, %u failures%s%s\n",
          seed, soak->next_id, soak->came_back, soak->served, soak->repeat_times->len, copies.sent,
          copies.sent_before_own_id, soak->failures, soak->failures ? ", logs in " : "",
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
  int fault_phase_s = 8;
  gboolean untimed = FALSE;
  GError *problem = NULL;
  const GOptionEntry options[] = {
    { "seed", 0, 0, G_OPTION_ARG_INT64, &seed, "Seed of the faults (1)", "N" },
    { "rounds", 0, 0, G_OPTION_ARG_INT, &rounds, "Number of fault phases (2)", "N" },
    { "trouble", 0, 0, G_OPTION_ARG_INT, &fault_phase_s, "Duration of a fault phase (8)", "SECONDS" },
    { "untimed", 0, 0, G_OPTION_ARG_NONE, &untimed, "Leave out the calm phases and the checks of time bounds", NULL },
    { 0 },
  };
  GOptionContext *context = g_option_context_new (NULL);
  g_option_context_set_summary (
      context, "Injects faults into real hickoryd processes and checks what callers and backend servers see.");
  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &problem))
    {
      fprintf (stderr, "hf-soak: cannot parse the command line: %s; see --help\n", problem->message);
      return 2;
    }
  g_option_context_free (context);
  signal (SIGPIPE, SIG_IGN);
  return run_soak ((guint64) seed, argv[0], !untimed, rounds, fault_phase_s) > 0;
}
