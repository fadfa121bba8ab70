/* Tests of service near the caller: bytes that cross failure domains, in a simulated fleet. */
#include "fleet.h"
#include "hf-roles.h"

#include <string.h>

/* --- constants --- */

#define NEW_BOOT_ID       1000 /* of an entry that was restarted */
#define ENTRIES           105
#define DOMAINS           4
#define GRANTERS_AGREE_MS 8000 /* until all know that coordinators were lost, or are back */
#define RANDOM_RUNS       4
#define RANDOM_STEPS      40
#define LOAD_ENTRIES      60
#define LOAD_SERVERS      40
#define SLOTS             3 /* of each server */
#define LATENCY_US        (100 * HF_MS)
#define LOAD_MS           6000
#define MEASURE_MS        6000 /* several rounds of heartbeats to all */

/* --- types --- */

/* An attempt at a simulated backend server. */
struct running
{
  struct fleet_entry *entry;
  uint64_t call;
  unsigned attempt;
  uint64_t server;
  int64_t ends_at;
};

/* Requests to a fleet, counted by the failure domain of the entry that got them. */
struct load
{
  struct fleet *fleet;
  GArray *running; /* struct running */
  uint64_t last_call;
  unsigned asked[DOMAINS];
  unsigned answered[DOMAINS];
  unsigned failed[DOMAINS];
  unsigned sent[DOMAINS][2]; /* attempts; second index: crossing */
  unsigned measured[2];      /* measurements; index: crossing */
  GArray *measurements;      /* uint64_t, servers whose responses arrive next */
  GPtrArray *measuring;      /* struct fleet_entry, which gets each of these */
  unsigned most_at_server;   /* that ran there at the same time */
};

/* --- internal functions --- */

static unsigned
domain_of (const struct fleet_entry *entry)
{
  return (unsigned) (entry->failure_domain[1] - '0');
}

static int64_t
sum_crossing_bytes (const struct fleet *fleet, enum hf_traffic_kind kind)
{
  int64_t bytes = 0;
  for (unsigned i = 0; i < fleet->entry_count; i++)
    bytes += fleet->entries[i].crossing_bytes[kind];
  return bytes;
}

static int64_t
sum_other_bytes (const struct fleet *fleet)
{
  int64_t bytes = 0;
  for (unsigned i = 0; i < fleet->entry_count; i++)
    bytes += fleet->entries[i].sent_bytes_other;
  return bytes;
}

/* Bytes a second that cross failure domains, in datagrams of one kind. */
static int64_t
measure_crossing (struct fleet *fleet, enum hf_traffic_kind kind)
{
  int64_t before = sum_crossing_bytes (fleet, kind);
  fleet_advance (fleet, MEASURE_MS);
  return (sum_crossing_bytes (fleet, kind) - before) * 1000 / MEASURE_MS;
}

/* --- internal functions: requests --- */

static unsigned
count_at_server (const struct load *load, uint64_t server)
{
  unsigned n = 0;
  for (guint i = 0; i < load->running->len; i++)
    n += g_array_index (load->running, struct running, i).server == server;
  return n;
}

static void
note_effect (void *context, struct fleet_entry *entry, const struct hf_effect *effect)
{
  struct load *load = context;
  unsigned domain = domain_of (entry);
  if (effect->kind == HF_EFFECT_RELAY_RESPONSE)
    load->answered[domain]++;
  if (effect->kind == HF_EFFECT_SEND_ERROR)
    load->failed[domain]++;
  if (effect->kind == HF_EFFECT_SEND_PROBE)
    {
      load->measured[effect->crosses_domain]++;
      g_array_append_val (load->measurements, effect->server);
      g_ptr_array_add (load->measuring, entry);
    }
  if (effect->kind != HF_EFFECT_DISPATCH)
    return;
  load->sent[domain][effect->crosses_domain]++;
  struct running running = { .entry = entry,
                             .call = effect->call,
                             .attempt = effect->attempt,
                             .server = effect->server,
                             .ends_at = load->fleet->now + LATENCY_US };
  g_array_append_val (load->running, running);
  load->most_at_server = MAX (load->most_at_server, count_at_server (load, effect->server));
}

static void
end_running (struct load *load)
{
  for (guint i = 0; i < load->running->len;)
    {
      struct running running = g_array_index (load->running, struct running, i);
      if (running.ends_at > load->fleet->now)
        {
          i++;
          continue;
        }
      g_array_remove_index (load->running, i);
      fleet_raise_event (
          running.entry,
          (struct hf_event){ .kind = HF_EVENT_ATTEMPT_END,
                             .call = running.call,
                             .attempt = running.attempt,
                             .result = HF_ATTEMPT_ANSWERED,
                             .bytes_sent = true,
                             .hints = { .status = 200, .load = -1, .slowdown_percent = 100, .retry_after_ms = -1 } });
    }
}

/* Every server runs at its normal speed. */
static void
end_measurements (struct load *load)
{
  guint due = load->measurements->len;
  for (guint i = 0; i < due; i++)
    {
      struct hf_event event = { .kind = HF_EVENT_PROBE_RESULT,
                                .server = g_array_index (load->measurements, uint64_t, i),
                                .hints = { .status = 200, .load = -1, .slowdown_percent = 100, .retry_after_ms = -1 } };
      fleet_raise_event (g_ptr_array_index (load->measuring, i), event);
    }
  g_array_remove_range (load->measurements, 0, due);
  g_ptr_array_remove_range (load->measuring, 0, due);
}

static void
send_request (struct load *load, struct fleet_entry *entry)
{
  load->asked[domain_of (entry)]++;
  fleet_raise_event (entry, (struct hf_event){ .kind = HF_EVENT_REQUEST,
                                               .call = ++load->last_call,
                                               .request = { .method = hf_str ("GET"),
                                                            .host = hf_str ("h.example"),
                                                            .path = hf_str ("/a/x"),
                                                            .arrived_at = load->fleet->now,
                                                            .body_digest = load->last_call } });
}

/* Requests at all entries that are connected; at those of the first failure domain every @first_ms, at the others every
 * @other_ms. */
static void
run_load (struct load *load, int64_t ms, int64_t first_ms, int64_t other_ms)
{
  struct fleet *fleet = load->fleet;
  for (int64_t passed = 0; passed < ms; passed += FLEET_STEP_MS)
    {
      fleet_advance (fleet, FLEET_STEP_MS);
      end_running (load);
      end_measurements (load);
      for (unsigned i = 0; i < fleet->entry_count; i++)
        {
          int64_t interval_ms = domain_of (&fleet->entries[i]) == 0 ? first_ms : other_ms;
          bool is_due = (fleet->now / HF_MS + i * FLEET_STEP_MS) % interval_ms == 0;
          if (is_due && !fleet->entries[i].is_disconnected)
            send_request (load, &fleet->entries[i]);
        }
    }
}

static struct load *
open_load (enum hf_affinity_mode mode)
{
  struct load *load = g_new0 (struct load, 1);
  load->running = g_array_new (FALSE, FALSE, sizeof (struct running));
  load->measurements = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  load->measuring = g_ptr_array_new ();
  load->fleet = fleet_open_with_servers (LOAD_ENTRIES, DOMAINS, 2, mode, DOMAINS);
  load->fleet->on_effect = note_effect;
  load->fleet->context = load;
  for (unsigned i = 0; i < LOAD_SERVERS; i++)
    fleet_change_server (load->fleet, i, (struct fleet_server){ .listed = true });
  fleet_put_document (
      load->fleet, "{version: 1, services: [{name: a, directory: true, queue_limit: 10000, measure_ms: 240}], routes: "
                   "[{name: r, host: h.example, path_prefix: /a/, class: {name: c, aim_ms: 500, "
                   "deadline_ms: 4000, repeatable: true}, parts: [{service: a}]}]}");
  fleet_advance (load->fleet, FLEET_PROPAGATION_MAX_MS);
  return load;
}

static void
clear_counts (struct load *load)
{
  memset (load->asked, 0, sizeof load->asked);
  memset (load->answered, 0, sizeof load->answered);
  memset (load->failed, 0, sizeof load->failed);
  memset (load->sent, 0, sizeof load->sent);
}

static void
close_load (struct load *load)
{
  fleet_close (load->fleet);
  g_array_unref (load->running);
  g_array_unref (load->measurements);
  g_ptr_array_unref (load->measuring);
  g_free (load);
}

/* --- tests: decision --- */

/* Guards against affinity where a crossing takes no noticeable time, and against a decision that toggles with round
 * trips near the limit. */
static void
test_decide (void)
{
  struct hf_affinity affinity = { .mode = HF_AFFINITY_AUTO };
  g_assert_false (hf_affinity_decide (&affinity, 1, 0));
  g_assert_false (hf_affinity_decide (&affinity, 1, 3999));
  g_assert_false (hf_affinity_is_on (&affinity));
  g_assert_true (hf_affinity_decide (&affinity, 1, 4000));
  g_assert_true (hf_affinity_is_on (&affinity));
  g_assert_false (hf_affinity_decide (&affinity, 1, 3000));
  g_assert_false (hf_affinity_decide (&affinity, 1, 0));
  g_assert_true (hf_affinity_decide (&affinity, 1, 2999));
  g_assert_false (hf_affinity_is_on (&affinity));
  g_assert_false (hf_affinity_adopt (&affinity, 1, 1));
  g_assert_true (hf_affinity_adopt (&affinity, 1, 3));
  g_assert_true (hf_affinity_is_on (&affinity));
}

/* Guards against a setting that the measured round trips or other entries override. */
static void
test_fixed_mode (void)
{
  struct hf_affinity on = { .mode = HF_AFFINITY_ON };
  struct hf_affinity off = { .mode = HF_AFFINITY_OFF };
  g_assert_false (hf_affinity_decide (&on, 1, 100));
  g_assert_false (hf_affinity_adopt (&on, 1, 2));
  g_assert_true (hf_affinity_is_on (&on));
  g_assert_false (hf_affinity_decide (&off, 1, 50000));
  g_assert_false (hf_affinity_adopt (&off, 1, 1));
  g_assert_false (hf_affinity_is_on (&off));
}

/* Guards against one slow sample that counts as the round trip, and against a smallest sample that counts for ever. */
static void
test_window (void)
{
  const int64_t window_us = HF_AFFINITY_WINDOW_MS * HF_MS;
  struct hf_affinity affinity = { 0 };
  int64_t now = window_us;
  hf_affinity_record_rtt (&affinity, now, 90000);
  hf_affinity_record_rtt (&affinity, now, 1800);
  hf_affinity_record_rtt (&affinity, now, 50000);
  hf_affinity_record_rtt (&affinity, now, 11 * HF_SEC);
  g_assert_cmpint (hf_affinity_rtt_us (&affinity, now), ==, 1800);
  hf_affinity_record_rtt (&affinity, now + window_us, 7000);
  g_assert_cmpint (hf_affinity_rtt_us (&affinity, now + window_us), ==, 1800);
  g_assert_cmpint (hf_affinity_rtt_us (&affinity, now + 2 * window_us), ==, 7000);
  g_assert_cmpint (hf_affinity_rtt_us (&affinity, now + 4 * window_us), ==, 0);
  g_assert_false (hf_affinity_has_settled (&affinity, now + window_us));
}

/* Guards against a crossing that the target latency does not need, that gains less than it takes, and against two
 * domains with the same load that exchange their requests. */
static void
test_should_cross (void)
{
  const int64_t rtt_us = 7000;
  const struct hf_forecast idle = { .free_slots = 10, .slot_us = 1000 };
  const struct hf_forecast busy = { .wait_us = 200000, .slot_us = 1000 };
  const struct hf_forecast as_busy = { .wait_us = 180000, .slot_us = 1000 };
  g_assert_true (hf_affinity_should_cross (&busy, &idle, 300000, rtt_us));
  g_assert_false (hf_affinity_should_cross (&busy, &idle, 500000, rtt_us));
  g_assert_false (hf_affinity_should_cross (&busy, &as_busy, 300000, rtt_us));
  g_assert_false (hf_affinity_should_cross (&busy, &busy, -1000, rtt_us));
  g_assert_false (hf_affinity_should_cross (&idle, &idle, -1000, rtt_us));
  struct hf_forecast other = { .free_slots = 1, .slot_us = 5000 };
  hf_affinity_count_referral (&other);
  g_assert_cmpint (other.wait_us, ==, 5000);
}

/* Guards against a load report for each change, and against none for a change that matters. */
static void
test_differs (void)
{
  const struct hf_forecast reported = { .free_slots = 20, .wait_us = 0, .slot_us = 1000 };
  g_assert_false (hf_affinity_differs (&(struct hf_forecast){ .free_slots = 12 }, &reported));
  g_assert_true (hf_affinity_differs (&(struct hf_forecast){ .free_slots = 5 }, &reported));
  g_assert_false (hf_affinity_differs (&(struct hf_forecast){ .free_slots = 20, .wait_us = 5000 }, &reported));
  g_assert_true (hf_affinity_differs (&(struct hf_forecast){ .free_slots = 20, .wait_us = 50000 }, &reported));
}

/* Guards against retries beyond the budget because there are more slices: their tokens add up to no more than before.
 */
static void
test_retry_tokens (void)
{
  struct load *load = open_load (HF_AFFINITY_ON);
  GHashTableIter iter;
  const struct hf_service_state *slice;
  double tokens = 0;
  g_hash_table_iter_init (&iter, load->fleet->entries[0].state->services);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &slice))
    if (slice->pool.servers->len > 0)
      tokens += slice->pool.retry_budget.max_tokens;
  g_assert_cmpfloat (tokens, ==, HF_RETRY_TOKENS_SHARED_MAX);
  close_load (load);
}

static void
check_epoch (const struct fleet *fleet, unsigned epoch)
{
  for (unsigned i = 0; i < fleet->entry_count; i++)
    g_assert_cmpuint (fleet->entries[i].state->affinity.epoch, ==, epoch);
}

/* All entries agree on the decision, also one that starts later: they must agree on who grants which slots. */
static void
test_fleet_agrees (void)
{
  struct fleet *fleet = fleet_open_with_affinity (40, 4, 2, HF_AFFINITY_AUTO);
  fleet_advance (fleet, HF_AFFINITY_SETTLE_MS + 3000);
  check_epoch (fleet, 1);
  fleet_restart (fleet, 39, NEW_BOOT_ID);
  fleet_report_entries (&fleet->entries[39]);
  fleet_advance (fleet, 500);
  check_epoch (fleet, 1);
  fleet_close (fleet);
}

/* --- tests: heartbeats --- */

/* Entries that are connected agree on the granters, and none of these is disconnected. */
static void
check_granters (const struct fleet *fleet)
{
  const struct fleet_entry *last = &fleet->entries[fleet->entry_count - 1];
  for (unsigned i = 0; i < fleet->entry_count; i++)
    for (uint64_t subject = 1; !fleet->entries[i].is_disconnected && subject < 50; subject++)
      {
        uint64_t granter = hf_roles_granter (fleet->entries[i].state, subject);
        g_assert_cmpuint (granter, ==, hf_roles_granter (last->state, subject));
        g_assert_false (fleet->entries[granter - 1].is_disconnected);
      }
}

/* Heartbeats of the other failure domains do not reach most entries: guards against entries that do not know that
 * granters there were lost or have come back. The first domain loses all coordinators, then all entries. */
static void
test_lost_coordinators (void)
{
  struct fleet *fleet = fleet_open_with_affinity (60, 3, 2, HF_AFFINITY_ON);
  check_granters (fleet);
  fleet->entries[0].is_disconnected = fleet->entries[3].is_disconnected = true;
  fleet_advance (fleet, GRANTERS_AGREE_MS);
  check_granters (fleet);
  for (unsigned i = 0; i < fleet->entry_count; i += 3)
    fleet->entries[i].is_disconnected = true;
  fleet_advance (fleet, GRANTERS_AGREE_MS);
  check_granters (fleet);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    fleet->entries[i].is_disconnected = false;
  fleet_advance (fleet, GRANTERS_AGREE_MS);
  check_granters (fleet);
  g_assert_cmpuint (fleet->entries[1].state->roles.granters->len, ==, 6);
  fleet_close (fleet);
}

/* An entry that is new and sends no heartbeats to other failure domains is known there by its slot requests, with its
 * failure domain: guards against slot requests that are dropped, and against a domain of its own in the ranking. */
static void
test_introduced (void)
{
  struct fleet *fleet = fleet_open_with_affinity (60, 3, 2, HF_AFFINITY_ON);
  struct hf_rpc_message message = { .boot_id = NEW_BOOT_ID, .body = { .kind = HF_RPC_ACQUIRE } };
  uint64_t domain = hf_hash (hf_str ("d1"), 0);
  message.body.hf_rpc_body_u.acquire.failure_domain = domain;
  struct hf_event event
      = { .kind = HF_EVENT_PEER_MESSAGE, .peer = { .message = &message, .address = hf_str ("10.0.9.9:7000") } };
  fleet_raise_event (&fleet->entries[0], event);
  const struct hf_member *member = hf_state_find_member (fleet->entries[0].state, NEW_BOOT_ID);
  g_assert_nonnull (member);
  g_assert_true (member->failure_domain == domain);
  fleet_close (fleet);
}

/* Guards against heartbeats that cross although the receiver does not need them. */
static void
test_heartbeat_bytes (void)
{
  struct fleet *fleet = fleet_open_with_affinity (ENTRIES, DOMAINS, 2, HF_AFFINITY_OFF);
  int64_t without = measure_crossing (fleet, HF_TRAFFIC_HEARTBEAT);
  fleet_close (fleet);
  fleet = fleet_open_with_affinity (ENTRIES, DOMAINS, 2, HF_AFFINITY_ON);
  int64_t with = measure_crossing (fleet, HF_TRAFFIC_HEARTBEAT);
  fleet_close (fleet);
  g_test_message ("%d B/s of heartbeats of idle entries cross without affinity, %d with", (int) without, (int) with);
  g_assert_cmpint (with, >, 0);
  g_assert_cmpint (with, <, without / 10);
}

/* --- tests: requests --- */

/* With room everywhere no request leaves its failure domain, nor does a measurement: guards against both. */
static void
test_stays_home (void)
{
  struct load *load = open_load (HF_AFFINITY_ON);
  int64_t slot_bytes = sum_crossing_bytes (load->fleet, HF_TRAFFIC_SLOT);
  run_load (load, LOAD_MS, 100, 100);
  slot_bytes = sum_crossing_bytes (load->fleet, HF_TRAFFIC_SLOT) - slot_bytes;
  for (unsigned domain = 0; domain < DOMAINS; domain++)
    {
      g_assert_cmpuint (load->sent[domain][0], >, 0);
      g_assert_cmpuint (load->sent[domain][1], ==, 0);
      g_assert_cmpuint (load->failed[domain], ==, 0);
    }
  g_assert_cmpuint (load->measured[0], >, 0);
  g_assert_cmpuint (load->measured[1], ==, 0);
  g_test_message ("%u requests, %d B of load reports crossed", (unsigned) load->last_call, (int) slot_bytes);
  close_load (load);
}

/* Without affinity the same load crosses: guards against a test that passes because nothing ever crosses. */
static void
test_crosses_without (void)
{
  struct load *load = open_load (HF_AFFINITY_OFF);
  int64_t slot_bytes = sum_crossing_bytes (load->fleet, HF_TRAFFIC_SLOT);
  run_load (load, LOAD_MS, 100, 100);
  slot_bytes = sum_crossing_bytes (load->fleet, HF_TRAFFIC_SLOT) - slot_bytes;
  unsigned crossed = 0;
  unsigned stayed = 0;
  for (unsigned domain = 0; domain < DOMAINS; domain++)
    {
      crossed += load->sent[domain][1];
      stayed += load->sent[domain][0];
    }
  g_test_message ("%u requests crossed and %u did not, with %d B of slot messages and %u measurements that crossed",
                  crossed, stayed, (int) slot_bytes, load->measured[1]);
  g_assert_cmpuint (load->measured[1], >, 0);
  g_assert_cmpuint (crossed, >, 0);
  close_load (load);
}

/* One failure domain has a quarter more requests than its servers can run: the surplus crosses, all of them are
 * answered, and none of the others cross. Guards against requests that fail at home while there is room elsewhere, and
 * against domains that exchange their requests. */
static void
test_overload_crosses (void)
{
  struct load *load = open_load (HF_AFFINITY_ON);
  run_load (load, LOAD_MS, 40, 100);
  clear_counts (load);
  run_load (load, LOAD_MS, 40, 100);
  unsigned surplus = load->asked[0] / 5;
  g_test_message ("of %u requests in the first domain %u crossed, %u failed", load->asked[0], load->sent[0][1],
                  load->failed[0]);
  g_assert_cmpuint (load->sent[0][1], >, surplus / 2);
  g_assert_cmpuint (load->sent[0][1], <, surplus * 2);
  for (unsigned domain = 0; domain < DOMAINS; domain++)
    g_assert_cmpuint (load->failed[domain], ==, 0);
  for (unsigned domain = 1; domain < DOMAINS; domain++)
    g_assert_cmpuint (load->sent[domain][1], ==, 0);
  g_assert_cmpuint (load->most_at_server, <=, SLOTS);
  close_load (load);
}

/* The servers of one failure domain are all removed: its requests are served in the others. */
static void
test_no_servers_at_home (void)
{
  struct load *load = open_load (HF_AFFINITY_ON);
  for (unsigned i = 0; i < LOAD_SERVERS; i += DOMAINS)
    fleet_change_server (load->fleet, i, (struct fleet_server){ 0 });
  fleet_advance (load->fleet, FLEET_PROPAGATION_MAX_MS);
  run_load (load, LOAD_MS, 200, 200);
  g_assert_cmpuint (load->failed[0], ==, 0);
  g_assert_cmpuint (load->sent[0][0], ==, 0);
  g_assert_cmpuint (load->sent[0][1], >, 0);
  close_load (load);
}

/* The granters of one failure domain are lost, then all its entries: the next ones grant its servers' slots, first in
 * that domain, then in another one. Guards against servers whose slots nobody grants. */
static void
test_granters_lost (void)
{
  struct load *load = open_load (HF_AFFINITY_ON);
  struct fleet *fleet = load->fleet;
  fleet->entries[0].is_disconnected = fleet->entries[DOMAINS].is_disconnected = true;
  run_load (load, GRANTERS_AGREE_MS, 200, 200);
  clear_counts (load);
  run_load (load, LOAD_MS, 200, 200);
  g_assert_cmpuint (load->failed[0], ==, 0);
  g_assert_cmpuint (load->sent[0][1], ==, 0);
  for (unsigned i = 0; i < fleet->entry_count; i += DOMAINS)
    fleet->entries[i].is_disconnected = true;
  fleet_advance (fleet, GRANTERS_AGREE_MS);
  clear_counts (load);
  run_load (load, LOAD_MS, 200, 90);
  for (unsigned domain = 1; domain < DOMAINS; domain++)
    g_assert_cmpuint (load->failed[domain], ==, 0);
  close_load (load);
}

static unsigned
sum_failed (const struct load *load)
{
  unsigned failed = 0;
  for (unsigned domain = 0; domain < DOMAINS; domain++)
    failed += load->failed[domain];
  return failed;
}

/* The links between failure domains are lost while requests cross, and are back later: each domain serves what it has
 * room for. Guards against requests that wait for a granter beyond the lost link, and against domains that do not find
 * each other again. */
static void
test_links_lost (void)
{
  struct load *load = open_load (HF_AFFINITY_ON);
  run_load (load, LOAD_MS, 40, 100);
  g_assert_cmpuint (load->sent[0][1], >, 0);
  load->fleet->domains_are_cut = true;
  run_load (load, LOAD_MS, 100, 100);
  g_test_message ("%u requests failed after the links were lost, at most %u at a server of %d slots", sum_failed (load),
                  load->most_at_server, SLOTS);
  clear_counts (load);
  run_load (load, LOAD_MS, 100, 100);
  for (unsigned domain = 0; domain < DOMAINS; domain++)
    g_assert_cmpuint (load->sent[domain][1], ==, 0);
  load->fleet->domains_are_cut = false;
  run_load (load, LOAD_MS, 100, 100);
  run_load (load, LOAD_MS, 40, 100);
  g_assert_cmpuint (load->sent[0][1], >, 0);
  g_assert_cmpuint (sum_failed (load), ==, 0);
  close_load (load);
}

/* The entry that decides for the fleet. */
static struct hf_state *
find_decider (const struct fleet *fleet)
{
  uint64_t boot_id = hf_roles_granter (fleet->entries[0].state, hf_hash (hf_str ("affinity"), 0));
  return fleet->entries[boot_id - 1].state;
}

static void
check_idle (const struct hf_state *state)
{
  GHashTableIter iter;
  const struct hf_service_state *slice;
  g_assert_cmpuint (g_hash_table_size (state->calls), ==, 0);
  g_hash_table_iter_init (&iter, state->services);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &slice))
    {
      g_assert_cmpuint (g_hash_table_size (slice->pool.grants), ==, 0);
      g_assert_cmpuint (hf_pool_queue_length (&slice->pool), ==, 0);
    }
}

/* Affinity is turned off and on again under load: guards against requests that fail or wait for good as their slice is
 * left. */
static void
test_switch_under_load (void)
{
  struct load *load = open_load (HF_AFFINITY_AUTO);
  struct hf_affinity *affinity = &find_decider (load->fleet)->affinity;
  run_load (load, LOAD_MS, 80, 80);
  check_epoch (load->fleet, 1);
  hf_affinity_record_rtt (affinity, load->fleet->now, HF_AFFINITY_RTT_KEEP_MS * HF_MS - 1);
  run_load (load, LOAD_MS, 80, 80);
  check_epoch (load->fleet, 2);
  affinity->window_rtt_us = affinity->previous_rtt_us = 0;
  run_load (load, LOAD_MS, 80, 80);
  check_epoch (load->fleet, 3);
  run_load (load, LOAD_MS, 80, 80);
  g_assert_cmpuint (sum_failed (load), ==, 0);
  g_test_message ("at most %u requests at a server of %d slots", load->most_at_server, SLOTS);
  g_assert_cmpuint (load->most_at_server, <=, 3 * SLOTS);
  fleet_advance (load->fleet, FLEET_PROPAGATION_MAX_MS);
  end_running (load);
  for (unsigned i = 0; i < load->fleet->entry_count; i++)
    g_assert_cmpuint (g_hash_table_size (load->fleet->entries[i].state->calls), ==, 0);
  close_load (load);
}

/* Random losses of datagrams, entries and links under load, in several runs: afterwards every call has ended, no slot
 * is in use, and requests stay at home again. Guards against calls and slots that are forgotten on the way between two
 * granters. */
static void
test_random_failures (void)
{
  for (uint32_t seed = 1; seed <= RANDOM_RUNS; seed++)
    {
      GRand *random = g_rand_new_with_seed (seed);
      struct load *load = open_load (HF_AFFINITY_ON);
      struct fleet *fleet = load->fleet;
      for (unsigned step = 0; step < RANDOM_STEPS; step++)
        {
          struct fleet_entry *entry = &fleet->entries[g_rand_int_range (random, 0, LOAD_ENTRIES)];
          entry->is_disconnected = g_rand_int_range (random, 0, 3) == 0;
          fleet->domains_are_cut = g_rand_int_range (random, 0, 8) == 0;
          fleet->loss_interval = (unsigned) g_rand_int_range (random, 0, 2) * 15;
          run_load (load, 500, 10 * g_rand_int_range (random, 4, 12), 10 * g_rand_int_range (random, 4, 12));
        }
      for (unsigned i = 0; i < fleet->entry_count; i++)
        fleet->entries[i].is_disconnected = false;
      fleet->domains_are_cut = false;
      fleet->loss_interval = 0;
      run_load (load, 2 * GRANTERS_AGREE_MS, 200, 200);
      clear_counts (load);
      run_load (load, LOAD_MS, 200, 200);
      g_assert_cmpuint (sum_failed (load), ==, 0);
      for (unsigned domain = 0; domain < DOMAINS; domain++)
        g_assert_cmpuint (load->sent[domain][1], ==, 0);
      for (unsigned wait = 0; wait < 20; wait++)
        {
          fleet_advance (fleet, 100);
          end_running (load);
          end_measurements (load);
        }
      for (unsigned i = 0; i < fleet->entry_count; i++)
        check_idle (fleet->entries[i].state);
      close_load (load);
      g_rand_free (random);
    }
}

/* --- tests: traffic --- */

/* Guards against bytes that are counted as crossing although they stay in their failure domain, or the reverse: the
 * simulated network counts them by itself. */
static void
test_crossing_bytes (void)
{
  struct fleet *fleet = fleet_open (ENTRIES, DOMAINS, 2);
  fleet_write_document (fleet, 10);
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS);
  int64_t bytes = 0;
  int64_t before = sum_other_bytes (fleet);
  for (int kind = 0; kind < HF_TRAFFIC_KINDS; kind++)
    bytes -= sum_crossing_bytes (fleet, kind);
  int64_t heartbeats = measure_crossing (fleet, HF_TRAFFIC_HEARTBEAT);
  for (int kind = 0; kind < HF_TRAFFIC_KINDS; kind++)
    bytes += sum_crossing_bytes (fleet, kind);
  g_assert_cmpint (bytes, ==, sum_other_bytes (fleet) - before);
  g_assert_cmpint (heartbeats, >, 0);
  g_test_message ("%d B/s of heartbeats of idle entries cross", (int) heartbeats);
  fleet_close (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/affinity/decide", test_decide);
  g_test_add_func ("/affinity/fixed-mode", test_fixed_mode);
  g_test_add_func ("/affinity/window", test_window);
  g_test_add_func ("/affinity/fleet-agrees", test_fleet_agrees);
  g_test_add_func ("/affinity/lost-coordinators", test_lost_coordinators);
  g_test_add_func ("/affinity/introduced", test_introduced);
  g_test_add_func ("/affinity/heartbeat-bytes", test_heartbeat_bytes);
  g_test_add_func ("/affinity/should-cross", test_should_cross);
  g_test_add_func ("/affinity/differs", test_differs);
  g_test_add_func ("/affinity/retry-tokens", test_retry_tokens);
  g_test_add_func ("/affinity/stays-home", test_stays_home);
  g_test_add_func ("/affinity/crosses-without", test_crosses_without);
  g_test_add_func ("/affinity/overload-crosses", test_overload_crosses);
  g_test_add_func ("/affinity/no-servers-at-home", test_no_servers_at_home);
  g_test_add_func ("/affinity/granters-lost", test_granters_lost);
  g_test_add_func ("/affinity/links-lost", test_links_lost);
  g_test_add_func ("/affinity/switch-under-load", test_switch_under_load);
  g_test_add_func ("/affinity/random-failures", test_random_failures);
  g_test_add_func ("/traffic/crossing-bytes", test_crossing_bytes);
  return g_test_run ();
}
