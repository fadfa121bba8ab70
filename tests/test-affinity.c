/* Tests of service near the caller: bytes that cross failure domains, in a simulated fleet. */
#include "fleet.h"
#include "hf-roles.h"

/* --- constants --- */

#define NEW_BOOT_ID       1000 /* of an entry that was restarted */
#define ENTRIES           105
#define DOMAINS           4
#define GRANTERS_AGREE_MS 8000 /* until all know that coordinators were lost, or are back */
#define MEASURE_MS        6000 /* several rounds of heartbeats to all */

/* --- internal functions --- */

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
  g_test_add_func ("/traffic/crossing-bytes", test_crossing_bytes);
  return g_test_run ();
}
