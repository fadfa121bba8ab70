/* Tests of service near the caller: bytes that cross failure domains, in a simulated fleet. */
#include "fleet.h"

/* --- constants --- */

#define ENTRIES    105
#define DOMAINS    4
#define MEASURE_MS 6000 /* several rounds of heartbeats to all */

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
  g_test_add_func ("/traffic/crossing-bytes", test_crossing_bytes);
  return g_test_run ();
}
