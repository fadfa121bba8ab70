/*
 * Quotas in a simulated fleet: reducers that exchange messages, callers of two
 * organisations at all entries, and backend servers that count what they run.
 * HF_SEED=NUMBER draws other times of arrival.
 */
#include "fleet.h"
#include "hf-base.h"
#include "hf-roles.h"

/* --- constants --- */

#define ENTRIES       24
#define LARGE         2 /* entries of each failure domain with much processor time; those grant */
#define DOMAINS       3
#define SERVICE_MS    30 /* of each request */
#define SMALL_RATE    10
#define SMALL_BURST   10
#define LARGE_RATE    150
#define LARGE_BURST   150
#define FAILING_CALLS 10
#define RUNS_MAX      32768
#define LEFT          16    /* of the entries, where machines are taken away for good */
#define RECOVERY_MS   15000 /* after a start of all: then a fleet serves as before */
#define DOCUMENT_WITH(large)                                                                                           \
  "{version: 1, services: [{name: a, directory: true}],"                                                               \
  " organisations: [{name: small, keys: [ks], rate_per_s: 10, burst: 10},"                                             \
  " {name: large, keys: [kl], " large "}, {name: free, keys: [kf]}],"                                                  \
  " routes: [{name: r, host: h, path_prefix: /, class: {name: c, deadline_ms: 4000, repeatable: true},"                \
  " parts: [{service: a}]}]}"
#define DOCUMENT DOCUMENT_WITH ("rate_per_s: 150, burst: 150")

/* --- types --- */

enum organisation
{
  SMALL,
  LARGE_ONE,
  FREE,
  ORGANISATIONS,
};

struct run
{
  struct fleet_entry *entry;
  uint64_t call;
  unsigned attempt;
  int64_t ends_at;
};

/* What became of the requests of one organisation. */
struct tally
{
  int64_t run_at[RUNS_MAX]; /* in order of time */
  unsigned n_run;
  unsigned refused; /* 429 */
  unsigned other;   /* errors of any other kind */
  int64_t retry_after_min_ms;
  int64_t refused_after_max_ms; /* from a request to its refusal */
  int64_t refused_at;           /* the last one */
};

struct simulation
{
  struct fleet *fleet;
  uint64_t random;
  GArray *runs;    /* struct run */
  GArray *sent_at; /* int64_t of each call */
  GArray *owners;  /* unsigned, organisation of each call */
  struct tally tallies[ORGANISATIONS];
  bool servers_stall;
  bool attempts_fail; /* the first attempt of one call in FAILING_CALLS cannot connect, so that nothing is sent */
  unsigned explained; /* log lines that name the organisation and who refused a request */
};

/* --- internal functions: servers --- */

static bool
explains_refusal (const struct hf_effect *effect)
{
  unsigned n = 0;
  for (size_t i = 0; effect->log_number == HF_LOG_REQUEST_REFUSED && i < effect->n_log_fields; i++)
    n += g_str_equal (effect->log_fields[i].name, "organisation") || g_str_equal (effect->log_fields[i].name, "by");
  return n == 2;
}

static void
on_effect (void *context, struct fleet_entry *entry, const struct hf_effect *effect)
{
  struct simulation *simulation = context;
  struct fleet *fleet = simulation->fleet;
  simulation->explained += effect->kind == HF_EFFECT_LOG && explains_refusal (effect);
  if (effect->kind != HF_EFFECT_DISPATCH && effect->kind != HF_EFFECT_SEND_ERROR)
    return;
  struct tally *tally = &simulation->tallies[g_array_index (simulation->owners, unsigned, effect->call - 1)];
  int64_t sent_at = g_array_index (simulation->sent_at, int64_t, effect->call - 1);
  if (effect->kind == HF_EFFECT_DISPATCH)
    {
      struct run run = { entry, effect->call, effect->attempt, fleet->now + SERVICE_MS * HF_MS };
      g_array_append_val (simulation->runs, run);
      g_assert_cmpuint (tally->n_run, <, RUNS_MAX);
      tally->run_at[tally->n_run++] = fleet->now;
    }
  else if (effect->status == 429)
    {
      g_assert_cmpint (effect->outcome, ==, HF_OUTCOME_NOT_RUN);
      g_assert_cmpint (effect->retry_after_ms, >, 0);
      tally->refused++;
      tally->refused_at = fleet->now;
      tally->refused_after_max_ms = MAX (tally->refused_after_max_ms, (fleet->now - sent_at) / HF_MS);
    }
  else
    tally->other++;
}

static void
end_runs (struct simulation *simulation)
{
  for (guint i = 0; i < simulation->runs->len && !simulation->servers_stall;)
    {
      struct run run = g_array_index (simulation->runs, struct run, i);
      if (run.ends_at > simulation->fleet->now)
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (simulation->runs, i);
      bool fails = simulation->attempts_fail && run.attempt == 0 && run.call % FAILING_CALLS == 0;
      fleet_raise_event (run.entry,
                         (struct hf_event){ .kind = HF_EVENT_ATTEMPT_END,
                                            .call = run.call,
                                            .attempt = run.attempt,
                                            .result = fails ? HF_ATTEMPT_CONNECT_FAILED : HF_ATTEMPT_ANSWERED,
                                            .bytes_sent = !fails,
                                            .hints = { .status = 200, .load = -1, .retry_after_ms = -1 } });
    }
}

/* --- internal functions: callers --- */

static void
send_request (struct simulation *simulation, enum organisation organisation)
{
  static const char *const keys[] = { "ks", "kl", "kf" };
  struct fleet *fleet = simulation->fleet;
  unsigned index = (unsigned) (hf_random_next (&simulation->random) % fleet->entry_count);
  struct fleet_entry *entry = &fleet->entries[index];
  unsigned owner = organisation;
  g_array_append_val (simulation->sent_at, fleet->now);
  g_array_append_val (simulation->owners, owner);
  if (entry->is_paused || entry->state->leaving)
    return;
  fleet_raise_event (entry, (struct hf_event){ .kind = HF_EVENT_REQUEST,
                                               .call = simulation->sent_at->len,
                                               .request = { .method = hf_str ("GET"),
                                                            .host = hf_str ("h"),
                                                            .path = hf_str ("/"),
                                                            .organisation_key = hf_str (keys[organisation]),
                                                            .credential = HF_CREDENTIAL_KEY,
                                                            .arrived_at = fleet->now } });
}

/* Requests arrive at random times; @rates: a second, of each organisation. */
static void
run_load (struct simulation *simulation, int64_t ms, const double rates[ORGANISATIONS])
{
  for (int64_t end = simulation->fleet->now + ms * HF_MS; simulation->fleet->now < end;)
    {
      for (unsigned i = 0; i < ORGANISATIONS; i++)
        {
          double expected = rates[i] * FLEET_STEP_MS / 1000;
          double p = expected / (1 + expected);
          while ((double) (hf_random_next (&simulation->random) >> 11) / (double) (1ULL << 53) < p)
            send_request (simulation, i);
        }
      fleet_advance (simulation->fleet, FLEET_STEP_MS);
      end_runs (simulation);
    }
}

/* --- internal functions: open, close and check --- */

static void
write_document (struct fleet *fleet, const char *text)
{
  struct hf_error error = { 0 };
  struct hf_document *document = hf_document_load (hf_str (text), &error);
  if (!document)
    g_error ("%s", error.message);
  hf_str_free (&fleet->encoded_document);
  fleet->encoded_document = hf_document_encode (document);
  fleet->generation++;
  hf_document_unref (document);
}

static struct simulation *
open_simulation (unsigned entries)
{
  struct simulation *simulation = g_new0 (struct simulation, 1);
  simulation->random = g_getenv ("HF_SEED") ? g_ascii_strtoull (g_getenv ("HF_SEED"), NULL, 10) : 7;
  simulation->runs = g_array_new (FALSE, FALSE, sizeof (struct run));
  simulation->sent_at = g_array_new (FALSE, FALSE, sizeof (int64_t));
  simulation->owners = g_array_new (FALSE, FALSE, sizeof (unsigned));
  simulation->fleet = fleet_open (entries, DOMAINS, LARGE);
  simulation->fleet->on_effect = on_effect;
  simulation->fleet->context = simulation;
  write_document (simulation->fleet, DOCUMENT);
  fleet_advance (simulation->fleet, FLEET_PROPAGATION_MAX_MS);
  return simulation;
}

static void
close_simulation (struct simulation *simulation)
{
  fleet_close (simulation->fleet);
  g_array_unref (simulation->runs);
  g_array_unref (simulation->sent_at);
  g_array_unref (simulation->owners);
  g_free (simulation);
}

static unsigned
most_in_window (const struct tally *tally)
{
  unsigned most = 0;
  unsigned begin = 0;
  for (unsigned i = 0; i < tally->n_run; i++)
    {
      while (tally->run_at[begin] <= tally->run_at[i] - FLEET_QUOTA_WINDOW_MS * HF_MS)
        begin++;
      most = MAX (most, i - begin + 1);
    }
  return most;
}

static void
check_windows (const struct simulation *simulation)
{
  static const double rates[] = { SMALL_RATE, LARGE_RATE };
  static const double bursts[] = { SMALL_BURST, LARGE_BURST };
  for (unsigned i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      double max
          = (rates[i] * FLEET_QUOTA_WINDOW_MS / 1000 + bursts[i]) * (1 + FLEET_QUOTA_OVERSHOOT) + FLEET_QUOTA_SLACK;
      const struct tally *tally = &simulation->tallies[i];
      g_test_message ("organisation %u: %u run, at most %u of %.0f in a window, %u refused, %u other errors, refused "
                      "after at most %d ms",
                      i, tally->n_run, most_in_window (tally), max, tally->refused, tally->other,
                      (int) tally->refused_after_max_ms);
      g_assert_cmpfloat (most_in_window (tally), <=, max);
    }
}

static uint64_t
count (const struct simulation *simulation, enum hf_counter counter)
{
  uint64_t n = 0;
  for (unsigned i = 0; i < simulation->fleet->entry_count; i++)
    n += simulation->fleet->entries[i].state->counters[counter];
  return n;
}

/* The entry that owns an organisation, as entry 0 knows it. */
static struct fleet_entry *
find_owner (const struct simulation *simulation, const char *name)
{
  uint64_t owner = hf_roles_granter (simulation->fleet->entries[0].state, hf_hash (hf_str (name), 0));
  for (unsigned i = 0; i < simulation->fleet->entry_count; i++)
    if (simulation->fleet->entries[i].state->boot_id == owner)
      return &simulation->fleet->entries[i];
  g_assert_not_reached ();
}

/* --- tests --- */

/* Below their limits organisations are not refused, with at most about one request for credits per request, and one
 * without a limit causes none: guards against credits that are left over at entries, and against messages without use.
 */
static void
test_calm (void)
{
  struct simulation *simulation = open_simulation (ENTRIES);
  run_load (simulation, 20000, (double[]){ 5, 100, 50 });
  check_windows (simulation);
  for (unsigned i = 0; i < ORGANISATIONS; i++)
    g_assert_cmpuint (simulation->tallies[i].refused + simulation->tallies[i].other, ==, 0);
  unsigned limited = simulation->tallies[SMALL].n_run + simulation->tallies[LARGE_ONE].n_run;
  g_test_message ("%d requests for credits, %u requests of limited organisations",
                  (int) count (simulation, HF_COUNT_QUOTA_REQUESTS), limited);
  g_assert_cmpuint (count (simulation, HF_COUNT_QUOTA_REQUESTS), <=, limited + limited / 10);
  close_simulation (simulation);
}

/* Beyond the limit requests are refused at once, the limit itself is used, and other organisations do not suffer. */
static void
test_beyond (void)
{
  struct simulation *simulation = open_simulation (ENTRIES);
  run_load (simulation, 20000, (double[]){ 5, 400, 50 });
  check_windows (simulation);
  g_assert_cmpuint (simulation->tallies[SMALL].refused, ==, 0);
  g_assert_cmpuint (simulation->tallies[FREE].refused, ==, 0);
  g_assert_cmpuint (simulation->tallies[LARGE_ONE].n_run, >, 20 * LARGE_RATE);
  g_assert_cmpint (simulation->tallies[LARGE_ONE].refused_after_max_ms, <=, 100);
  g_assert_cmpuint (simulation->explained, ==, simulation->tallies[LARGE_ONE].refused);
  close_simulation (simulation);
}

/* An owner is killed and comes back as a new process some seconds later, twice: each time another entry may take over.
 * The rule holds, and the organisation gets its limit again. */
static void
test_owner_killed (void)
{
  static const double rates[] = { 5, 250, 0 };
  struct simulation *simulation = open_simulation (ENTRIES);
  struct tally *tally = &simulation->tallies[LARGE_ONE];
  run_load (simulation, 8000, rates);
  for (uint64_t i = 0; i < 2; i++)
    {
      struct fleet_entry *owner = find_owner (simulation, "large");
      owner->is_disconnected = true;
      owner->is_paused = true;
      run_load (simulation, 2500, rates);
      owner->is_disconnected = false;
      owner->is_paused = false;
      fleet_restart (simulation->fleet, (unsigned) (owner - simulation->fleet->entries), 1000 + i);
      fleet_report_full_list (owner);
      fleet_report_entries (owner);
      run_load (simulation, 1500, rates);
    }
  run_load (simulation, 10000, rates);
  check_windows (simulation);
  unsigned before = tally->n_run;
  run_load (simulation, 5000, rates);
  g_assert_cmpuint (tally->n_run - before, >, 4 * LARGE_RATE);
  close_simulation (simulation);
}

/* A restarted entry becomes the owner while the former one lives: no moment with two full buckets, and an organisation
 * below its limit is not refused. */
static void
test_owner_joins (void)
{
  static const double rates[] = { 5, 100, 0 };
  struct simulation *simulation = open_simulation (ENTRIES);
  run_load (simulation, 3000, rates);
  for (uint64_t i = 0; i < 12; i++)
    {
      unsigned other = (unsigned) (i % (DOMAINS * LARGE));
      struct fleet_entry *entry = &simulation->fleet->entries[other];
      if (entry == find_owner (simulation, "large") || entry == find_owner (simulation, "small"))
        continue;
      fleet_restart (simulation->fleet, other, 2000 + i);
      fleet_report_full_list (entry);
      fleet_report_entries (entry);
      run_load (simulation, 1000, rates);
    }
  check_windows (simulation);
  g_assert_cmpuint (simulation->tallies[SMALL].refused, ==, 0);
  g_assert_cmpuint (simulation->tallies[LARGE_ONE].refused, ==, 0);
  close_simulation (simulation);
}

/* One failure domain loses its links: both sides together keep the rule, and the larger one gets nearly the limit. */
static void
test_split (void)
{
  static const double rates[] = { 30, 400, 0 };
  struct simulation *simulation = open_simulation (ENTRIES);
  struct fleet *fleet = simulation->fleet;
  run_load (simulation, 8000, rates);
  for (unsigned i = 0; i < fleet->entry_count; i += DOMAINS)
    fleet->entries[i].is_disconnected = true;
  run_load (simulation, 12000, rates);
  unsigned before = simulation->tallies[LARGE_ONE].n_run;
  run_load (simulation, 5000, rates);
  g_assert_cmpuint (simulation->tallies[LARGE_ONE].n_run - before, >, 4 * LARGE_RATE);
  for (unsigned i = 0; i < fleet->entry_count; i += DOMAINS)
    fleet->entries[i].is_disconnected = false;
  run_load (simulation, 12000, rates);
  check_windows (simulation);
  close_simulation (simulation);
}

/* Servers do not respond for two seconds, then all of them do: requests that waited longer than their credit is valid
 * take another one. Guards against a window in which the waiting requests come on top of the limit. */
static void
test_stall (void)
{
  static const double rates[] = { 5, 400, 0 };
  struct simulation *simulation = open_simulation (ENTRIES);
  run_load (simulation, 8000, rates);
  for (unsigned i = 0; i < 3; i++)
    {
      simulation->servers_stall = true;
      run_load (simulation, 2000, rates);
      simulation->servers_stall = false;
      run_load (simulation, 3000, rates);
    }
  check_windows (simulation);
  g_assert_cmpuint (simulation->tallies[LARGE_ONE].n_run, >, 17 * LARGE_RATE);
  close_simulation (simulation);
}

/* Every second datagram of some is lost: no request waits longer than for one owner and the next. */
static void
test_loss (void)
{
  static const double rates[] = { 5, 100, 0 };
  struct simulation *simulation = open_simulation (ENTRIES);
  simulation->fleet->loss_interval = 10;
  run_load (simulation, 10000, rates);
  check_windows (simulation);
  g_assert_cmpuint (simulation->tallies[SMALL].refused, ==, 0);
  g_assert_cmpuint (simulation->tallies[LARGE_ONE].refused, ==, 0);
  close_simulation (simulation);
}

/* All processes are killed at once and start again: the buckets begin empty, and requests wait for them instead of
 * being refused. */
static void
test_all_killed (void)
{
  static const double rates[] = { 5, 100, 0 };
  struct simulation *simulation = open_simulation (ENTRIES);
  struct fleet *fleet = simulation->fleet;
  run_load (simulation, 5000, rates);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    fleet_restart (fleet, i, 3000 + i);
  g_array_set_size (simulation->runs, 0);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    {
      fleet_report_full_list (&fleet->entries[i]);
      fleet_report_entries (&fleet->entries[i]);
    }
  fleet_advance (fleet, 300);
  unsigned before[] = { simulation->tallies[SMALL].other, simulation->tallies[LARGE_ONE].other };
  run_load (simulation, 5000, rates);
  check_windows (simulation);
  g_test_message ("errors other than 429 after the start: %u", simulation->tallies[LARGE_ONE].other - before[1]);
  g_assert_cmpuint (simulation->tallies[SMALL].refused, ==, 0);
  g_assert_cmpuint (simulation->tallies[LARGE_ONE].refused, ==, 0);
  close_simulation (simulation);
}

/* Guards against requests that wait for credits long after all processes were killed: of those that come in the first
 * second and find a configuration, nine of ten have been sent to a server at its end, and no window has more than the
 * rule allows. */
static void
test_all_killed_wait (void)
{
  static const double rates[] = { 0, 120, 0 };
  struct simulation *simulation = open_simulation (ENTRIES);
  struct fleet *fleet = simulation->fleet;
  struct tally *tally = &simulation->tallies[LARGE_ONE];
  run_load (simulation, 5000, rates);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    fleet_restart (fleet, i, 3000 + i);
  g_array_set_size (simulation->runs, 0);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    {
      fleet_report_full_list (&fleet->entries[i]);
      fleet_report_entries (&fleet->entries[i]);
    }
  unsigned run_before = tally->n_run;
  unsigned without_config = tally->other;
  unsigned sent = simulation->sent_at->len;
  run_load (simulation, 1000, rates);
  sent = simulation->sent_at->len - sent - (tally->other - without_config);
  g_test_message ("%u of %u requests of the first second were sent to a server in it", tally->n_run - run_before, sent);
  g_assert_cmpuint ((tally->n_run - run_before) * 10, >=, sent * 9);
  check_windows (simulation);
  close_simulation (simulation);
}

/* Takes the last LEFT entries away for good: they leave in order, or are killed. */
static void
remove_entries (struct simulation *simulation, bool in_order)
{
  struct fleet *fleet = simulation->fleet;
  for (unsigned i = fleet->entry_count - LEFT; i < fleet->entry_count; i++)
    {
      struct fleet_entry *entry = &fleet->entries[i];
      if (in_order)
        fleet_raise_event (entry, (struct hf_event){ .kind = HF_EVENT_SHUTDOWN });
      run_load (simulation, in_order ? 300 : 0, (double[ORGANISATIONS]){ 0 });
      entry->is_disconnected = true;
      entry->is_paused = true;
    }
}

/* The processes that are left are killed and start again, and find the objects of all. */
static void
restart_others (struct simulation *simulation)
{
  struct fleet *fleet = simulation->fleet;
  for (unsigned i = 0; i < fleet->entry_count - LEFT; i++)
    fleet_restart (fleet, i, 5000 + i);
  g_array_set_size (simulation->runs, 0);
  for (unsigned i = 0; i < fleet->entry_count - LEFT; i++)
    {
      fleet_report_full_list (&fleet->entries[i]);
      fleet_report_entries (&fleet->entries[i]);
    }
}

/* Of an organisation's requests within its limit none is refused any more. */
static void
check_served (struct simulation *simulation)
{
  static const double rates[] = { 5, 100, 0 };
  unsigned refused = simulation->tallies[LARGE_ONE].refused;
  unsigned run = simulation->tallies[LARGE_ONE].n_run;
  run_load (simulation, 10000, rates);
  g_test_message ("%u run, %u refused", simulation->tallies[LARGE_ONE].n_run - run,
                  simulation->tallies[LARGE_ONE].refused - refused);
  g_assert_cmpuint (simulation->tallies[LARGE_ONE].refused, ==, refused);
  g_assert_cmpuint (simulation->tallies[LARGE_ONE].n_run, >, run);
  check_windows (simulation);
}

/* Guards against entries that are gone for good and still count where a majority is needed: two of three machines have
 * been taken away, and the processes of the others are killed and start again. */
static void
test_all_killed_after_removal (gconstpointer data)
{
  static const double rates[] = { 5, 100, 0 };
  struct simulation *simulation = open_simulation (ENTRIES);
  run_load (simulation, 5000, rates);
  remove_entries (simulation, GPOINTER_TO_INT (data));
  restart_others (simulation);
  run_load (simulation, RECOVERY_MS, rates);
  check_served (simulation);
  close_simulation (simulation);
}

/* The same without a restart: once the machines that were killed count as gone, their fleet is the one that is left. */
static void
test_most_killed (void)
{
  struct simulation *simulation = open_simulation (ENTRIES);
  remove_entries (simulation, false);
  fleet_advance (simulation->fleet, (HF_PEER_FORGET_SEC + RECOVERY_MS / 1000) * 1000);
  check_served (simulation);
  close_simulation (simulation);
}

/* A process of a part of the fleet that is cut off is killed, starts again, finds the others in the store and never
 * hears them: the rule holds over both parts together. Guards against an entry that takes its part for the fleet. */
static void
test_part_restarted (void)
{
  static const double rates[] = { 5, 250, 0 };
  struct simulation *simulation = open_simulation (ENTRIES);
  struct fleet *fleet = simulation->fleet;
  run_load (simulation, 5000, rates);
  for (unsigned i = 0; i < fleet->entry_count / 3; i++)
    fleet->entries[i].part = 1;
  fleet_restart (fleet, 0, 6000);
  fleet_report_full_list (&fleet->entries[0]);
  fleet_report_entries (&fleet->entries[0]);
  run_load (simulation, RECOVERY_MS, rates);
  check_windows (simulation);
  close_simulation (simulation);
}

/* The owner leaves, again and again: the next one gets its bucket and has no second one. */
static void
test_owner_leaves (void)
{
  static const double rates[] = { 5, 100, 0 };
  struct simulation *simulation = open_simulation (ENTRIES);
  run_load (simulation, 3000, rates);
  for (uint64_t i = 0; i < 6; i++)
    {
      struct fleet_entry *owner = find_owner (simulation, i % 2 ? "large" : "small");
      unsigned index = (unsigned) (owner - simulation->fleet->entries);
      if (index == 0)
        continue;
      fleet_raise_event (owner, (struct hf_event){ .kind = HF_EVENT_SHUTDOWN });
      run_load (simulation, 1500, rates);
      fleet_restart (simulation->fleet, index, 4000 + i);
      fleet_report_full_list (owner);
      fleet_report_entries (owner);
      run_load (simulation, 1500, rates);
    }
  check_windows (simulation);
  g_assert_cmpuint (simulation->tallies[SMALL].refused, ==, 0);
  g_assert_cmpuint (simulation->tallies[LARGE_ONE].refused, ==, 0);
  close_simulation (simulation);
}

/* The same beyond the limit: guards against a full bucket at each new owner. */
static void
test_owner_leaves_beyond (void)
{
  static const double rates[] = { 30, 400, 0 };
  struct simulation *simulation = open_simulation (ENTRIES);
  run_load (simulation, 8000, rates);
  for (uint64_t i = 0; i < 8; i++)
    {
      struct fleet_entry *owner = find_owner (simulation, "large");
      unsigned index = (unsigned) (owner - simulation->fleet->entries);
      if (index == 0)
        break;
      fleet_raise_event (owner, (struct hf_event){ .kind = HF_EVENT_SHUTDOWN });
      run_load (simulation, 1000, rates);
      fleet_restart (simulation->fleet, index, 5000 + i);
      fleet_report_full_list (owner);
      fleet_report_entries (owner);
      run_load (simulation, 1000, rates);
    }
  run_load (simulation, 5000, rates);
  check_windows (simulation);
  close_simulation (simulation);
}

/* A large fleet, in which each entry sees few requests: credits that are left over at entries must not starve others,
 * and a split or a silent owner is noticed late there. */
static void
test_large_fleet (void)
{
  static const double calm[] = { 6, 120, 0 };
  static const double rates[] = { 30, 400, 0 };
  struct simulation *simulation = open_simulation (127);
  struct fleet *fleet = simulation->fleet;
  run_load (simulation, 10000, calm);
  g_assert_cmpuint (simulation->tallies[SMALL].refused, ==, 0);
  g_assert_cmpuint (simulation->tallies[LARGE_ONE].refused, ==, 0);
  unsigned limited = simulation->tallies[SMALL].n_run + simulation->tallies[LARGE_ONE].n_run;
  g_test_message ("%d requests for credits, %u requests of limited organisations",
                  (int) count (simulation, HF_COUNT_QUOTA_REQUESTS), limited);
  g_assert_cmpuint (count (simulation, HF_COUNT_QUOTA_REQUESTS), <=, limited + limited / 10);
  run_load (simulation, 6000, rates);
  for (unsigned i = 0; i < fleet->entry_count; i += DOMAINS)
    fleet->entries[i].is_disconnected = true;
  run_load (simulation, 14000, rates);
  for (unsigned i = 0; i < fleet->entry_count; i += DOMAINS)
    fleet->entries[i].is_disconnected = false;
  run_load (simulation, 10000, rates);
  check_windows (simulation);
  close_simulation (simulation);
}

/* The owner is silent and does not come back: the rule holds, and organisations below their limits get credits again
 * once it has left the granters. Guards against an owner that is waited for without end. */
static void
test_owner_silent (void)
{
  static const double rates[] = { 5, 100, 0 };
  struct simulation *simulation = open_simulation (127);
  run_load (simulation, 8000, rates);
  struct fleet_entry *owner = find_owner (simulation, "large");
  int64_t silent_at = simulation->fleet->now;
  owner->is_disconnected = true;
  owner->is_paused = true;
  run_load (simulation, 15000, rates);
  check_windows (simulation);
  g_test_message ("refused until %d ms after the owner fell silent",
                  (int) ((simulation->tallies[LARGE_ONE].refused_at - silent_at) / HF_MS));
  g_assert_cmpint (simulation->tallies[LARGE_ONE].refused_at - silent_at, <, 12 * HF_SEC);
  close_simulation (simulation);
}

/* The owner is paused until another one has replaced it, and wakes while that one's burst is being used: guards against
 * the full bucket of an owner that did not notice its pause. */
static void
test_owner_paused (void)
{
  static const double calm[] = { 2, 20, 0 };
  static const double surge[] = { 2, 600, 0 };
  struct simulation *simulation = open_simulation (ENTRIES);
  run_load (simulation, 8000, calm);
  struct fleet_entry *owner = find_owner (simulation, "large");
  owner->is_paused = true;
  run_load (simulation, 10000, calm);
  run_load (simulation, 1000, surge);
  owner->is_paused = false;
  run_load (simulation, 6000, surge);
  check_windows (simulation);
  close_simulation (simulation);
}

/* A second attempt takes no second credit, and a request that ends before it was sent gives its credit back: guards
 * against limits that count attempts. */
static void
test_attempts (void)
{
  static const double rates[] = { 4, 0, 0 };
  struct simulation *simulation = open_simulation (ENTRIES);
  simulation->attempts_fail = true;
  run_load (simulation, 10000, rates);
  run_load (simulation, 1000, (double[]){ 0, 0, 0 });
  unsigned calls = simulation->sent_at->len;
  g_assert_cmpuint (simulation->tallies[SMALL].n_run, ==, calls + calls / FAILING_CALLS);
  g_assert_cmpuint (count (simulation, HF_COUNT_QUOTA_CREDITS_GIVEN), ==, calls);
  simulation->attempts_fail = false;
  simulation->servers_stall = true;
  run_load (simulation, 10000, (double[]){ 0, 0, 200 });
  fleet_advance (simulation->fleet, 1000);
  unsigned sent = simulation->tallies[SMALL].n_run;
  calls = simulation->sent_at->len;
  for (unsigned i = 0; i < 5; i++)
    send_request (simulation, SMALL);
  fleet_advance (simulation->fleet, 100);
  for (unsigned i = 0; i < simulation->fleet->entry_count; i++)
    for (unsigned call = calls + 1; call <= simulation->sent_at->len; call++)
      fleet_raise_event (&simulation->fleet->entries[i],
                         (struct hf_event){ .kind = HF_EVENT_CALLER_GONE, .call = call });
  uint64_t returned = count (simulation, HF_COUNT_QUOTA_CREDITS_RETURNED);
  fleet_advance (simulation->fleet, 1000);
  g_assert_cmpuint (simulation->tallies[SMALL].n_run, ==, sent);
  g_assert_cmpuint (count (simulation, HF_COUNT_QUOTA_CREDITS_RETURNED) - returned, ==, 5);
  close_simulation (simulation);
}

/* A granter is lost that does not own the organisation, which was idle: its bucket is as full as before. */
static void
test_other_granter_lost (void)
{
  struct simulation *simulation = open_simulation (ENTRIES);
  struct fleet *fleet = simulation->fleet;
  run_load (simulation, 15000, (double[]){ 0, 100, 0 });
  const struct fleet_entry *owner = find_owner (simulation, "small");
  for (unsigned i = 1; i < DOMAINS * LARGE; i++)
    if (&fleet->entries[i] != owner)
      {
        fleet->entries[i].is_disconnected = true;
        fleet->entries[i].is_paused = true;
        break;
      }
  while (fleet->entries[0].state->roles.granters->len == DOMAINS * LARGE)
    fleet_advance (fleet, 100);
  run_load (simulation, 3000, (double[]){ 5, 0, 0 });
  g_assert_cmpuint (simulation->tallies[SMALL].n_run, >, 0);
  g_assert_cmpuint (simulation->tallies[SMALL].refused, ==, 0);
  close_simulation (simulation);
}

/* An entry without links uses what it holds, then refuses; it runs nothing beyond its reserve. */
static void
test_isolated_entry (void)
{
  static const double rates[] = { 5, 100, 0 };
  struct simulation *simulation = open_simulation (ENTRIES);
  struct fleet_entry *entry = &simulation->fleet->entries[ENTRIES - 1];
  run_load (simulation, 8000, rates);
  entry->is_disconnected = true;
  run_load (simulation, 12000, rates);
  uint64_t sent = entry->state->counters[HF_COUNT_DISPATCHED];
  run_load (simulation, 12000, rates);
  sent = entry->state->counters[HF_COUNT_DISPATCHED] - sent;
  check_windows (simulation);
  g_test_message ("%d requests sent by an isolated entry in 12 s", (int) sent);
  g_assert_cmpuint (sent, <=, 3 * FLEET_QUOTA_SLACK / 2);
  close_simulation (simulation);
}

/* A limit is lowered and taken away: the lower one binds a window after all entries have it, and without a limit
 * nothing is refused. Guards against limits of documents that are not in force any more. */
static void
test_limit_changes (void)
{
  static const double rates[] = { 5, 200, 0 };
  struct simulation *simulation = open_simulation (ENTRIES);
  struct tally *tally = &simulation->tallies[LARGE_ONE];
  run_load (simulation, 8000, rates);
  write_document (simulation->fleet, DOCUMENT_WITH ("rate_per_s: 20, burst: 20"));
  run_load (simulation, FLEET_PROPAGATION_MAX_MS + FLEET_QUOTA_WINDOW_MS, rates);
  tally->n_run = 0;
  run_load (simulation, 12000, rates);
  g_assert_cmpuint (most_in_window (tally), <=, (20 * 5 + 20) * 1.1 + 20);
  g_assert_cmpuint (tally->n_run, >, 12 * 20 * 9 / 10);
  write_document (simulation->fleet, DOCUMENT_WITH ("rate_per_s: 0"));
  run_load (simulation, FLEET_PROPAGATION_MAX_MS, rates);
  unsigned refused = tally->refused;
  run_load (simulation, 3000, rates);
  g_assert_cmpuint (tally->refused, ==, refused);
  write_document (simulation->fleet, DOCUMENT_WITH ("rate_per_s: 400, burst: 400"));
  run_load (simulation, 5000, rates);
  g_assert_cmpuint (tally->refused, ==, refused);
  close_simulation (simulation);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/quota-fleet/calm", test_calm);
  g_test_add_func ("/quota-fleet/beyond", test_beyond);
  g_test_add_func ("/quota-fleet/owner-killed", test_owner_killed);
  g_test_add_func ("/quota-fleet/owner-joins", test_owner_joins);
  g_test_add_func ("/quota-fleet/owner-leaves", test_owner_leaves);
  g_test_add_func ("/quota-fleet/owner-leaves-beyond", test_owner_leaves_beyond);
  g_test_add_func ("/quota-fleet/large-fleet", test_large_fleet);
  g_test_add_func ("/quota-fleet/split", test_split);
  g_test_add_func ("/quota-fleet/stall", test_stall);
  g_test_add_func ("/quota-fleet/loss", test_loss);
  g_test_add_func ("/quota-fleet/all-killed", test_all_killed);
  g_test_add_func ("/quota-fleet/all-killed-wait", test_all_killed_wait);
  g_test_add_data_func ("/quota-fleet/all-killed-after-leaving", GINT_TO_POINTER (true), test_all_killed_after_removal);
  g_test_add_data_func ("/quota-fleet/all-killed-after-kills", GINT_TO_POINTER (false), test_all_killed_after_removal);
  g_test_add_func ("/quota-fleet/most-killed", test_most_killed);
  g_test_add_func ("/quota-fleet/part-restarted", test_part_restarted);
  g_test_add_func ("/quota-fleet/owner-silent", test_owner_silent);
  g_test_add_func ("/quota-fleet/owner-paused", test_owner_paused);
  g_test_add_func ("/quota-fleet/other-granter-lost", test_other_granter_lost);
  g_test_add_func ("/quota-fleet/attempts", test_attempts);
  g_test_add_func ("/quota-fleet/isolated-entry", test_isolated_entry);
  g_test_add_func ("/quota-fleet/limit-changes", test_limit_changes);
  return g_test_run ();
}
