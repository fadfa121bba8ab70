/*
 * Tests of cold backend servers and of evacuations in a simulated fleet under
 * load. What reaches each backend server is checked there: a cold one counts
 * the requests of each second, summed over all entries, and one of an evacuated
 * failure domain gets none.
 */
#include <string.h>

#include "fleet.h"
#include "hf-base.h"
#include "hf-members.h"

/* --- constants --- */

#define ENTRIES             9
#define DOMAINS             3
#define SERVERS             9 /* server i is in failure domain i % DOMAINS */
#define SERVICE_MS          60
#define REQUEST_INTERVAL_MS 30 /* between two requests of an entry; two thirds of what the servers run */
#define LIGHT_INTERVAL_MS   40 /* the same, of what two thirds of the servers can run */
#define COLD_MS             4000
#define COLD_LIMIT          17 /* requests to a cold server in one second: floor (6.4 * 1.5 + 8), the rule of the pages */
#define COLD_USED_MIN       8 /* requests to one in a second in which it could have got more */
#define EVACUATE_MS         5000
#define LARGE_ENTRIES       139
#define NEW_BOOT_ID         1000

/* --- types --- */

/* A request or measurement at a backend server. */
struct run
{
  struct fleet_entry *entry;
  uint64_t call;
  unsigned attempt;
  unsigned server;
  uint64_t incarnation;
  bool is_measurement;
  int64_t ends_at;
};

/* A backend server as it sees itself. */
struct server
{
  int64_t cold_until;
  bool tells;         /* in responses to measurements */
  GArray *arrivals;   /* int64_t, times of the requests that arrived while it was cold */
  unsigned sent;      /* requests so far */
  unsigned too_many;  /* arrivals beyond COLD_LIMIT in one second */
  unsigned in_second; /* most arrivals in one second while it was cold */
};

struct simulation
{
  struct fleet *fleet;
  struct server servers[SERVERS];
  GArray *runs; /* struct run */
  uint64_t last_call;
  int64_t interval_ms;                  /* between two requests of an entry */
  unsigned errors;                      /* error responses of the entries */
  int64_t evacuated_since;              /* nothing may be sent to servers of @evacuated from then on; 0: no such time */
  unsigned evacuated;                   /* number of the failure domain */
  unsigned sent_evacuated;              /* requests sent there nevertheless */
  const struct fleet_entry *uninformed; /* its requests are not counted in that; NULL: none */
};

/* --- internal functions --- */

static unsigned
server_index (const struct hf_effect *effect)
{
  return (unsigned) g_ascii_strtoull (effect->name.data + 1, NULL, 10);
}

static void
count_arrival (struct simulation *simulation, struct server *server)
{
  int64_t now = simulation->fleet->now;
  unsigned in_second = 1;
  if (server->cold_until <= now)
    return;
  for (guint i = 0; i < server->arrivals->len; i++)
    in_second += now - g_array_index (server->arrivals, int64_t, i) < HF_SEC;
  g_array_append_val (server->arrivals, now);
  server->in_second = MAX (server->in_second, in_second);
  server->too_many += in_second > COLD_LIMIT;
}

static void
on_effect (void *context, struct fleet_entry *entry, const struct hf_effect *effect)
{
  struct simulation *simulation = context;
  simulation->errors += effect->kind == HF_EFFECT_SEND_ERROR;
  if (effect->kind != HF_EFFECT_DISPATCH && effect->kind != HF_EFFECT_SEND_PROBE)
    return;
  unsigned i = server_index (effect);
  g_assert_cmpuint (i, <, SERVERS);
  struct run run
      = { .entry = entry,
          .call = effect->call,
          .attempt = effect->attempt,
          .server = i,
          .incarnation = effect->incarnation,
          .is_measurement = effect->kind == HF_EFFECT_SEND_PROBE,
          .ends_at = simulation->fleet->now + (effect->kind == HF_EFFECT_SEND_PROBE ? 0 : SERVICE_MS * HF_MS) };
  g_array_append_val (simulation->runs, run);
  if (run.is_measurement)
    return;
  simulation->servers[i].sent++;
  count_arrival (simulation, &simulation->servers[i]);
  bool is_evacuated = simulation->evacuated_since > 0 && simulation->fleet->now >= simulation->evacuated_since;
  simulation->sent_evacuated += is_evacuated && i % DOMAINS == simulation->evacuated && entry != simulation->uninformed;
}

static void
end_measurement (const struct simulation *simulation, const struct run *run)
{
  const struct server *server = &simulation->servers[run->server];
  struct hf_event event = { .kind = HF_EVENT_SERVER_HINTS,
                            .incarnation = run->incarnation,
                            .hints = { .status = 200, .load = -1, .retry_after_ms = -1, .slowdown_percent = 100 } };
  char name[16];
  g_snprintf (name, sizeof name, "s%u", run->server);
  event.server = hf_server_id (hf_str ("a"), hf_str (name));
  event.hints.tells_cold = server->tells;
  event.hints.cold_ms = MAX (server->cold_until - simulation->fleet->now, 0) / HF_MS;
  if (server->tells)
    fleet_raise_event (run->entry, event);
  event.kind = HF_EVENT_PROBE_RESULT;
  fleet_raise_event (run->entry, event);
}

static void
end_run (const struct simulation *simulation, const struct run *run)
{
  if (run->is_measurement)
    {
      end_measurement (simulation, run);
      return;
    }
  fleet_raise_event (run->entry, (struct hf_event){ .kind = HF_EVENT_ATTEMPT_END,
                                                    .call = run->call,
                                                    .attempt = run->attempt,
                                                    .result = HF_ATTEMPT_ANSWERED,
                                                    .bytes_sent = true,
                                                    .hints = { .status = 200, .load = -1, .retry_after_ms = -1 } });
}

static void
end_due_runs (struct simulation *simulation)
{
  for (guint i = simulation->runs->len; i-- > 0;)
    {
      struct run run = g_array_index (simulation->runs, struct run, i);
      if (run.ends_at > simulation->fleet->now || run.entry->is_paused)
        continue;
      g_array_remove_index (simulation->runs, i);
      end_run (simulation, &run);
    }
}

static void
send_requests (struct simulation *simulation)
{
  for (unsigned i = 0; i < simulation->fleet->entry_count; i++)
    if (!simulation->fleet->entries[i].is_paused)
      fleet_raise_event (&simulation->fleet->entries[i], (struct hf_event){ .kind = HF_EVENT_REQUEST,
                                                                            .call = ++simulation->last_call,
                                                                            .request = { .method = hf_str ("GET"),
                                                                                         .host = hf_str ("h.example"),
                                                                                         .path = hf_str ("/p0/x") } });
}

static void
advance (struct simulation *simulation, int64_t ms)
{
  for (int64_t t = 0; t < ms; t += FLEET_STEP_MS)
    {
      if (t % simulation->interval_ms == 0)
        send_requests (simulation);
      fleet_advance (simulation->fleet, FLEET_STEP_MS);
      end_due_runs (simulation);
    }
}

static void
list_server (struct simulation *simulation, unsigned i, uint64_t incarnation, int64_t warmup_ms)
{
  fleet_change_server (simulation->fleet, i,
                       (struct fleet_server){
                           .listed = true, .incarnation = incarnation, .domain = i % DOMAINS, .warmup_ms = warmup_ms });
}

static struct simulation *
open_simulation (unsigned entries)
{
  static const struct hf_settings settings
      = { .domain_affinity = FLEET_AFFINITY, .evacuate_ms = EVACUATE_MS, .cold_overshoot = 1.5, .cold_slack = 8 };
  struct simulation *simulation = g_new0 (struct simulation, 1);
  struct fleet *fleet = fleet_open_with (entries, DOMAINS, 0, &settings);
  simulation->fleet = fleet;
  simulation->interval_ms = REQUEST_INTERVAL_MS;
  simulation->runs = g_array_new (FALSE, FALSE, sizeof (struct run));
  for (unsigned i = 0; i < SERVERS; i++)
    {
      simulation->servers[i].tells = true;
      simulation->servers[i].arrivals = g_array_new (FALSE, FALSE, sizeof (int64_t));
      list_server (simulation, i, 1, 0);
    }
  for (unsigned i = SERVERS; i < 30; i++)
    fleet_change_server (fleet, i, (struct fleet_server){ 0 });
  fleet->service_fields = ", measure_ms: 240, cold_requests_per_s: 6.4, cold_ms: 4000";
  fleet_write_document (fleet, 1);
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS);
  fleet->on_effect = on_effect;
  fleet->context = simulation;
  advance (simulation, HF_COLD_TAKEOVER_MS);
  for (unsigned i = 0; i < SERVERS; i++)
    g_assert_cmpuint (simulation->servers[i].sent, >, 0);
  simulation->errors = 0;
  return simulation;
}

static void
close_simulation (struct simulation *simulation)
{
  fleet_close (simulation->fleet);
  for (unsigned i = 0; i < SERVERS; i++)
    g_array_unref (simulation->servers[i].arrivals);
  g_array_unref (simulation->runs);
  g_free (simulation);
}

/* Server i is cold from now on, as it tells in responses. */
static void
begin_cold (struct simulation *simulation, unsigned i, int64_t ms)
{
  simulation->servers[i].cold_until = simulation->fleet->now + ms * HF_MS;
  g_array_set_size (simulation->servers[i].arrivals, 0);
}

static void
begin_cold_all (struct simulation *simulation, int64_t ms)
{
  for (unsigned i = 0; i < SERVERS; i++)
    begin_cold (simulation, i, ms);
}

static void
check_limit (const struct simulation *simulation)
{
  for (unsigned i = 0; i < SERVERS; i++)
    {
      g_test_message ("server %u: %u requests in a second while cold", i, simulation->servers[i].in_second);
      g_assert_cmpuint (simulation->servers[i].too_many, ==, 0);
    }
}

static unsigned
granter_index (const struct simulation *simulation)
{
  const struct fleet *fleet = simulation->fleet;
  uint64_t owner = hf_members_owner (fleet->entries[0].state, hf_hash (hf_str ("a"), 0));
  for (unsigned i = 0; i < fleet->entry_count; i++)
    if (fleet->entries[i].state->boot_id == owner)
      return i;
  g_error ("no entry grants the slots; the test stops");
  return 0;
}

/* --- tests: cold servers --- */

/* A server starts again under load and says in the directory that it is cold: it gets requests within the limit, and
 * all it can run afterwards. */
static void
test_restart (void)
{
  struct simulation *simulation = open_simulation (ENTRIES);
  begin_cold (simulation, 0, COLD_MS);
  list_server (simulation, 0, 2, COLD_MS);
  advance (simulation, COLD_MS);
  check_limit (simulation);
  unsigned before = simulation->servers[0].sent;
  advance (simulation, COLD_MS);
  g_assert_cmpuint (simulation->servers[0].sent - before, >=, COLD_USED_MIN);
  g_assert_cmpuint (simulation->errors, ==, 0);
  close_simulation (simulation);
}

/* All servers become cold at one moment and say so in responses to measurements only. What the entries had sent in the
 * second before counts, too. Requests beyond the limit are refused as not run. */
static void
test_again (void)
{
  struct simulation *simulation = open_simulation (ENTRIES);
  begin_cold_all (simulation, COLD_MS);
  advance (simulation, COLD_MS + 500);
  check_limit (simulation);
  unsigned before = simulation->servers[0].sent;
  simulation->errors = 0;
  advance (simulation, 2000);
  g_assert_cmpuint (simulation->servers[0].sent - before, >=, COLD_USED_MIN);
  g_assert_cmpuint (simulation->errors, ==, 0);
  close_simulation (simulation);
}

/* The directory alone tells that a server is cold again, with nothing else changed: such a report must not be dropped
 * as unchanged. */
static void
test_again_by_directory (void)
{
  struct simulation *simulation = open_simulation (ENTRIES);
  for (unsigned i = 0; i < SERVERS; i++)
    {
      simulation->servers[i].tells = false;
      list_server (simulation, i, 1, COLD_MS);
    }
  advance (simulation, 1000);
  begin_cold_all (simulation, COLD_MS - 1000);
  advance (simulation, COLD_MS - 1000);
  check_limit (simulation);
  close_simulation (simulation);
}

/* The granter is killed while all servers are cold: neither the entries that decide by themselves until they know
 * another one, nor that one, may exceed the limit together with what the former one granted last. */
static void
test_granter_killed (void)
{
  struct simulation *simulation = open_simulation (ENTRIES);
  begin_cold_all (simulation, 4 * COLD_MS);
  advance (simulation, COLD_MS);
  struct fleet_entry *granter = &simulation->fleet->entries[granter_index (simulation)];
  granter->is_paused = true;
  granter->is_disconnected = true;
  advance (simulation, 3 * COLD_MS);
  check_limit (simulation);
  close_simulation (simulation);
}

/* An entry that ranks before the granter starts, and takes over from it at once while entries hear of it one after the
 * other. */
static void
test_granter_replaced (void)
{
  struct simulation *simulation = open_simulation (ENTRIES);
  begin_cold_all (simulation, 10 * COLD_MS);
  for (uint64_t boot_id = NEW_BOOT_ID; boot_id < NEW_BOOT_ID + 6; boot_id++)
    {
      unsigned i = (granter_index (simulation) + 1) % ENTRIES;
      fleet_restart (simulation->fleet, i, boot_id);
      fleet_report_full_list (&simulation->fleet->entries[i]);
      fleet_report_entries (&simulation->fleet->entries[i]);
      advance (simulation, COLD_MS);
    }
  check_limit (simulation);
  close_simulation (simulation);
}

/** struct split_case - a fleet falls into parts that hear nothing of one another, and comes together again */
struct split_case
{
  const char *name;
  unsigned parts[ENTRIES]; /* of each entry */
};

static const struct split_case split_cases[] = {
  { .name = "one-isolated", .parts = { 1 } },
  { .name = "four-isolated", .parts = { 1, 2, 3, 4 } },
  { .name = "all-isolated", .parts = { 1, 2, 3, 4, 5, 6, 7, 8, 9 } },
  { .name = "domain", .parts = { 0, 0, 1, 0, 0, 1, 0, 0, 1 } },
  { .name = "domains", .parts = { 0, 1, 2, 0, 1, 2, 0, 1, 2 } },
  { .name = "halves", .parts = { 0, 0, 0, 0, 0, 1, 1, 1, 1 } },
};

/* Each part has a granter of its own: their sum must stay within the limit, before, while and after they learn of the
 * split. */
static void
test_split (gconstpointer data)
{
  const struct split_case *split = data;
  struct simulation *simulation = open_simulation (ENTRIES);
  begin_cold_all (simulation, 6 * COLD_MS);
  advance (simulation, COLD_MS);
  for (unsigned i = 0; i < ENTRIES; i++)
    simulation->fleet->entries[i].part = split->parts[i];
  advance (simulation, 3 * COLD_MS);
  for (unsigned i = 0; i < ENTRIES; i++)
    simulation->fleet->entries[i].part = 0;
  advance (simulation, 2 * COLD_MS);
  check_limit (simulation);
  close_simulation (simulation);
}

/* One datagram in five is lost: decisions are sent again, and must not be counted or granted twice. */
static void
test_lost_datagrams (void)
{
  struct simulation *simulation = open_simulation (ENTRIES);
  simulation->fleet->loss_interval = 5;
  begin_cold_all (simulation, 4 * COLD_MS);
  advance (simulation, 4 * COLD_MS);
  check_limit (simulation);
  close_simulation (simulation);
}

/* The count of starts against a naive list of all, at random times: a start that is forgotten too early, or counted too
 * long, differs. */
static void
test_count (void)
{
  struct hf_cold_limits limits = hf_cold_make_limits (6.4, 1.5, 8, COLD_MS * HF_MS);
  struct hf_cold cold = { .until = INT64_MAX };
  GArray *all = g_array_new (FALSE, FALSE, sizeof (int64_t));
  GRand *random = g_rand_new_with_seed (7);
  int64_t now = HF_SEC;
  g_assert_cmpuint (limits.starts, ==, 13);
  g_assert_cmpuint (limits.other_starts, ==, 4);
  for (unsigned i = 0; i < 20000; i++)
    {
      unsigned recent = 0;
      now += g_rand_int_range (random, 0, 150) * HF_MS;
      limits.allowed = (unsigned) g_rand_int_range (random, 0, (gint32) limits.starts + 1);
      for (guint k = 0; k < all->len; k++)
        recent += now - g_array_index (all, int64_t, k) < HF_COLD_WINDOW_MS * HF_MS;
      g_assert_true (hf_cold_allows_start (&limits, &cold, now) == (recent < limits.allowed));
      /* Starts beyond the limit happen while a server is not cold. */
      if (g_rand_boolean (random))
        continue;
      hf_cold_count_start (&limits, &cold, now);
      g_array_append_val (all, now);
      if (all->len > 200)
        g_array_remove_range (all, 0, 100);
    }
  g_rand_free (random);
  g_array_unref (all);
  hf_cold_close (&cold);
}

/* A report of 0 ends the cold time, except one of the directory soon after a response that told otherwise; of several
 * ends the latest counts. */
static void
test_reports (void)
{
  struct hf_cold cold = { 0 };
  hf_cold_record_response (&cold, 1 * HF_SEC, 5 * HF_SEC);
  hf_cold_record_response (&cold, 2 * HF_SEC, 1 * HF_SEC);
  g_assert_cmpint (cold.until, ==, 6 * HF_SEC);
  hf_cold_record_listing (&cold, 2 * HF_SEC, 0);
  g_assert_cmpint (cold.until, ==, 6 * HF_SEC);
  hf_cold_record_listing (&cold, 5 * HF_SEC, 0);
  g_assert_cmpint (cold.until, ==, 0);
  hf_cold_record_listing (&cold, 5 * HF_SEC, 3 * HF_SEC);
  g_assert_cmpint (cold.until, ==, 8 * HF_SEC);
  hf_cold_record_response (&cold, 6 * HF_SEC, 0);
  g_assert_cmpint (cold.until, ==, 0);
}

/* A new start whose entry in the directory does not tell is taken as cold: its
 * state is not known. */
static void
test_unknown (void)
{
  struct simulation *simulation = open_simulation (ENTRIES);
  for (unsigned i = 0; i < SERVERS; i++)
    {
      simulation->servers[i].tells = false;
      list_server (simulation, i, 2, 0);
      simulation->fleet->servers[i].warmup_unknown = true;
    }
  advance (simulation, 500); /* until the entries know of the new starts */
  begin_cold_all (simulation, COLD_MS - 1000);
  advance (simulation, COLD_MS);
  check_limit (simulation);
  close_simulation (simulation);
}

/* --- tests: evacuations --- */

static void
evacuate (struct simulation *simulation, unsigned domain)
{
  char name[16];
  g_snprintf (name, sizeof name, "d%u", domain);
  fleet_evacuate (simulation->fleet, name);
  simulation->evacuated = domain;
  simulation->evacuated_since = simulation->fleet->now + EVACUATE_MS * HF_MS;
}

static unsigned
count_sent_in_domain (const struct simulation *simulation, unsigned domain)
{
  unsigned sent = 0;
  for (unsigned i = domain; i < SERVERS; i += DOMAINS)
    sent += simulation->servers[i].sent;
  return sent;
}

static void
end_evacuation (struct simulation *simulation)
{
  fleet_evacuate (simulation->fleet, "");
  simulation->evacuated_since = 0;
}

/* A failure domain is evacuated under load: its servers get no request after the bound, callers notice nothing, and the
 * servers are used again afterwards, as cold ones, though they do not say that they are. */
static void
test_evacuation (void)
{
  struct simulation *simulation = open_simulation (ENTRIES);
  simulation->interval_ms = LIGHT_INTERVAL_MS;
  evacuate (simulation, 1);
  advance (simulation, 2 * EVACUATE_MS);
  g_assert_cmpuint (simulation->sent_evacuated, ==, 0);
  g_assert_cmpuint (simulation->errors, ==, 0);
  for (unsigned i = 0; i < SERVERS; i++)
    simulation->servers[i].tells = false;
  for (unsigned i = 1; i < SERVERS; i += DOMAINS)
    begin_cold (simulation, i, COLD_MS);
  unsigned before = count_sent_in_domain (simulation, 1);
  end_evacuation (simulation);
  advance (simulation, COLD_MS);
  check_limit (simulation);
  advance (simulation, COLD_MS);
  g_assert_cmpuint (count_sent_in_domain (simulation, 1) - before, >=, COLD_USED_MIN);
  g_assert_cmpuint (simulation->errors, ==, 0);
  close_simulation (simulation);
}

/* The granter hears neither the platform nor a heartbeat, and grants slots in the evacuated domain: the entries return
 * them, and use none. */
static void
test_ignorant_granter (void)
{
  struct simulation *simulation = open_simulation (ENTRIES);
  struct fleet_entry *granter = &simulation->fleet->entries[granter_index (simulation)];
  granter->platform_unreachable = true;
  granter->lost_kind = HF_RPC_HEARTBEAT;
  simulation->uninformed = granter;
  evacuate (simulation, 1);
  simulation->evacuated_since = simulation->fleet->now + 200 * HF_MS;
  uint64_t returned = 0;
  advance (simulation, 1000);
  for (unsigned i = 0; i < ENTRIES; i++)
    returned += simulation->fleet->entries[i].state->counters[HF_COUNT_SLOTS_RETURNED];
  g_assert_cmpuint (returned, >, 0);
  g_assert_cmpuint (simulation->sent_evacuated, ==, 0);
  close_simulation (simulation);
}

static void
check_in_force_everywhere (const struct fleet *fleet, uint64_t domain, bool in_force)
{
  for (unsigned i = 0; i < fleet->entry_count; i++)
    g_assert_true (hf_evacuations_contain (&fleet->entries[i].state->evacuations, domain) == in_force);
}

/* An order reaches all entries of a large fleet in time, although one datagram in four is lost, as does its end; while
 * the platform responds to no entry the last set stays in force. */
static void
test_spread (void)
{
  static const struct hf_settings settings = { .domain_affinity = FLEET_AFFINITY, .evacuate_ms = EVACUATE_MS };
  struct fleet *fleet = fleet_open_with (LARGE_ENTRIES, DOMAINS, 2, &settings);
  uint64_t domain = hf_hash (hf_str ("d2"), 0);
  fleet->loss_interval = 4;
  fleet_evacuate (fleet, "d2");
  fleet_advance (fleet, EVACUATE_MS);
  check_in_force_everywhere (fleet, domain, true);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    fleet->entries[i].platform_unreachable = true;
  fleet_evacuate (fleet, "");
  fleet_advance (fleet, EVACUATE_MS);
  check_in_force_everywhere (fleet, domain, true);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    fleet->entries[i].platform_unreachable = false;
  fleet_advance (fleet, 2 * EVACUATE_MS);
  check_in_force_everywhere (fleet, domain, false);
  fleet_close (fleet);
}

/* The platform comes back from a copy without the order; later positions of the former era must not win over it. */
static void
test_restored (void)
{
  static const struct hf_settings settings = { .domain_affinity = FLEET_AFFINITY, .evacuate_ms = EVACUATE_MS };
  struct fleet *fleet = fleet_open_with (ENTRIES, DOMAINS, 0, &settings);
  uint64_t domain = hf_hash (hf_str ("d2"), 0);
  fleet_save_platform (fleet);
  fleet_evacuate (fleet, "d2");
  fleet_advance (fleet, EVACUATE_MS);
  check_in_force_everywhere (fleet, domain, true);
  fleet_restore_platform (fleet);
  fleet_advance (fleet, EVACUATE_MS);
  check_in_force_everywhere (fleet, domain, false);
  fleet_close (fleet);
}

/* --- tests: the set of evacuations --- */

/* A step takes effect as a whole at its end, and only if its position is later than the one in force. */
static void
test_set (void)
{
  struct hf_evacuations evacuations = { 0 };
  g_assert_true (hf_evacuations_report (&evacuations, 1, true));
  g_assert_true (hf_evacuations_report (&evacuations, 2, true));
  g_assert_false (hf_evacuations_contain (&evacuations, 1));
  g_assert_true (hf_evacuations_end_step (&evacuations, (struct hf_store_position){ 1, 5 }));
  g_assert_true (hf_evacuations_contain (&evacuations, 1));
  g_assert_false (hf_evacuations_end_step (&evacuations, (struct hf_store_position){ 1, 6 }));
  const struct hf_evacuation_set none = { 0 };
  g_assert_false (hf_evacuations_merge (&evacuations, &none, (struct hf_store_position){ 1, 6 }));
  g_assert_true (hf_evacuations_contain (&evacuations, 2));
  g_assert_true (hf_evacuations_merge (&evacuations, &none, (struct hf_store_position){ 2, 1 }));
  g_assert_false (hf_evacuations_contain (&evacuations, 2));
  for (uint64_t i = 1; i <= HF_EVACUATIONS_MAX; i++)
    g_assert_true (hf_evacuations_report (&evacuations, i, true));
  g_assert_false (hf_evacuations_report (&evacuations, HF_EVACUATIONS_MAX + 1, true));
  g_assert_true (hf_evacuations_report (&evacuations, 1, false));
  g_assert_true (hf_evacuations_report (&evacuations, HF_EVACUATIONS_MAX + 1, true));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/cold/restart", test_restart);
  g_test_add_func ("/cold/again", test_again);
  g_test_add_func ("/cold/again-by-directory", test_again_by_directory);
  g_test_add_func ("/cold/granter-killed", test_granter_killed);
  g_test_add_func ("/cold/granter-replaced", test_granter_replaced);
  for (size_t i = 0; i < G_N_ELEMENTS (split_cases); i++)
    {
      char *name = g_strdup_printf ("/cold/split/%s", split_cases[i].name);
      g_test_add_data_func (name, &split_cases[i], test_split);
      g_free (name);
    }
  g_test_add_func ("/cold/lost-datagrams", test_lost_datagrams);
  g_test_add_func ("/cold/count", test_count);
  g_test_add_func ("/cold/reports", test_reports);
  g_test_add_func ("/cold/unknown", test_unknown);
  g_test_add_func ("/evacuation/under-load", test_evacuation);
  g_test_add_func ("/evacuation/ignorant-granter", test_ignorant_granter);
  g_test_add_func ("/evacuation/spread", test_spread);
  g_test_add_func ("/evacuation/restored", test_restored);
  g_test_add_func ("/evacuation/set", test_set);
  return g_test_run ();
}
