/* Tests of how the operator's configuration reaches all entries of a simulated fleet. */
#include "fleet.h"
#include "hf-base.h"

/* --- constants --- */

#define LINK_BYTES_PER_MS   1250 /* 10 Mbit/s, the smallest link of the users' VMs */
#define IN_FORCE_MAX_MS     1000 /* until every entry has a version, while nothing fails */
#define FAULT_IN_FORCE_MS   2000 /* the same while entries fail; the users allow 2,500 ms on these deployments */
#define STORM_VERSIONS      25
#define STORM_INTERVAL_MS   80
#define ROUTES              40    /* a document of some kilobytes */
#define ROUTES_LARGE        300   /* a document of some tens of kilobytes */
#define ROUTES_LARGEST      12000 /* a document of more than a megabyte, as the platform's largest object gives */
#define LARGE_LINK_FACTOR   20
#define GENERATIONS_MAX     64
#define STORE_READS_DIVISOR 8 /* at most 1 / this of the entries may need the store for a version */

/* --- types --- */

/* How long after each write the slowest entry had that generation or a later one. */
struct lag
{
  int64_t written_at[GENERATIONS_MAX];
  uint64_t reached[FLEET_ENTRIES_MAX];
  int64_t worst_ms;
  unsigned worst_entry;
};

/* --- internal functions --- */

static void
write_version (struct fleet *fleet, struct lag *lag, unsigned routes)
{
  fleet_write_document (fleet, routes);
  g_assert_cmpuint (fleet->generation, <, GENERATIONS_MAX);
  lag->written_at[fleet->generation] = fleet->now;
}

static void
note_lag (struct lag *lag, unsigned entry, int64_t lag_ms)
{
  if (lag_ms <= lag->worst_ms)
    return;
  lag->worst_ms = lag_ms;
  lag->worst_entry = entry;
}

/* Advances the time; notes for each running entry which generations it has reached. */
static void
advance (struct fleet *fleet, struct lag *lag, int64_t ms)
{
  for (int64_t end = fleet->now + ms * HF_MS; fleet->now < end;)
    {
      fleet_advance (fleet, FLEET_STEP_MS);
      for (unsigned i = 0; i < fleet->entry_count; i++)
        {
          const struct fleet_entry *entry = &fleet->entries[i];
          while (lag->reached[i] < fleet_generation (entry))
            note_lag (lag, i, (fleet->now - lag->written_at[++lag->reached[i]]) / HF_MS);
        }
    }
}

/* Every entry that takes part has the newest generation, and none got any generation later than @max_ms. */
static void
check_in_force (const struct fleet *fleet, const struct lag *lag, int64_t max_ms)
{
  for (unsigned i = 0; i < fleet->entry_count; i++)
    {
      const struct fleet_entry *entry = &fleet->entries[i];
      if (entry->is_disconnected || entry->is_paused)
        continue;
      if (fleet_generation (entry) != fleet->generation)
        g_error ("%s has generation %d of %d", entry->name, (int) fleet_generation (entry), (int) fleet->generation);
    }
  if (lag->worst_ms > max_ms)
    g_error ("%s got a generation after %d ms", fleet->entries[lag->worst_entry].name, (int) lag->worst_ms);
}

/* A fleet with a first version in force everywhere. */
static struct fleet *
open_fleet (unsigned entries, unsigned domains, struct lag *lag)
{
  struct fleet *fleet = fleet_open (entries, domains, 2);
  fleet->link_bytes_per_ms = LINK_BYTES_PER_MS;
  *lag = (struct lag){ 0 };
  write_version (fleet, lag, ROUTES);
  advance (fleet, lag, FAULT_IN_FORCE_MS);
  check_in_force (fleet, lag, FAULT_IN_FORCE_MS);
  lag->worst_ms = 0;
  return fleet;
}

static void
write_storm (struct fleet *fleet, struct lag *lag)
{
  for (unsigned version = 0; version < STORM_VERSIONS; version++)
    {
      write_version (fleet, lag, ROUTES + version);
      advance (fleet, lag, STORM_INTERVAL_MS);
    }
}

static unsigned
count_reads (const struct fleet *fleet)
{
  unsigned reads = 0;
  for (unsigned i = 0; i < fleet->entry_count; i++)
    reads += fleet->entries[i].document_reads;
  return reads;
}

/* --- tests --- */

/* The operator writes a version every 80 ms for 2 s: each one, or a later one, is in force everywhere in time. */
static void
test_storm (void)
{
  struct lag lag;
  struct fleet *fleet = open_fleet (123, 3, &lag);
  write_storm (fleet, &lag);
  advance (fleet, &lag, FAULT_IN_FORCE_MS);
  check_in_force (fleet, &lag, IN_FORCE_MAX_MS);
  g_assert_cmpuint (count_reads (fleet), ==, 0);
  fleet_close (fleet);
}

/* The same with one datagram in ten lost. */
static void
test_lossy_storm (void)
{
  struct lag lag;
  struct fleet *fleet = open_fleet (123, 3, &lag);
  fleet->loss_interval = 10;
  write_storm (fleet, &lag);
  advance (fleet, &lag, FAULT_IN_FORCE_MS);
  check_in_force (fleet, &lag, FAULT_IN_FORCE_MS);
  g_assert_cmpuint (count_reads (fleet), <=, fleet->entry_count / STORE_READS_DIVISOR);
  fleet_close (fleet);
}

/* Several hundred entries: one version is in force everywhere in time, and its document crosses to each other failure
 * domain at most a few times. */
static void
test_large_fleet (void)
{
  struct lag lag;
  struct fleet *fleet = open_fleet (472, 5, &lag);
  int64_t before = 0;
  int64_t after = 0;
  for (unsigned i = 0; i < fleet->entry_count; i++)
    before += fleet->entries[i].sent_bytes_other;
  fleet_advance (fleet, IN_FORCE_MAX_MS);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    after += fleet->entries[i].sent_bytes_other;
  int64_t idle_bytes = after - before;
  write_version (fleet, &lag, ROUTES);
  advance (fleet, &lag, IN_FORCE_MAX_MS);
  check_in_force (fleet, &lag, IN_FORCE_MAX_MS);
  before = after;
  after = 0;
  for (unsigned i = 0; i < fleet->entry_count; i++)
    after += fleet->entries[i].sent_bytes_other;
  g_assert_cmpint (after - before - idle_bytes, <, 5 * 4 * (int64_t) strlen (fleet->document));
  fleet_close (fleet);
}

/* A large document over small links. */
static void
test_large_document (void)
{
  struct lag lag;
  struct fleet *fleet = open_fleet (123, 3, &lag);
  write_version (fleet, &lag, ROUTES_LARGE);
  advance (fleet, &lag, FAULT_IN_FORCE_MS);
  check_in_force (fleet, &lag, IN_FORCE_MAX_MS);
  fleet_close (fleet);
}

/* Guards against entries that reject a document from one another because of its size. */
static void
test_largest_document (void)
{
  struct lag lag;
  struct fleet *fleet = open_fleet (24, 2, &lag);
  write_version (fleet, &lag, ROUTES_LARGEST);
  g_assert_cmpuint (strlen (fleet->document), >, 1024 * 1024);
  advance (fleet, &lag, FAULT_IN_FORCE_MS);
  check_in_force (fleet, &lag, FAULT_IN_FORCE_MS);
  g_assert_cmpuint (count_reads (fleet), ==, 0);
  fleet_close (fleet);
}

/* Guards against watchers with large links that send as little as those with small ones. */
static void
test_large_links (void)
{
  struct lag lag;
  struct fleet *fleet = open_fleet (60, 2, &lag);
  for (unsigned i = 0; i < 4; i++)
    {
      fleet->entries[i].link_factor = LARGE_LINK_FACTOR;
      fleet->entries[i].state->config_spread.send_bytes_max *= LARGE_LINK_FACTOR;
    }
  write_version (fleet, &lag, ROUTES_LARGEST);
  advance (fleet, &lag, FAULT_IN_FORCE_MS);
  check_in_force (fleet, &lag, IN_FORCE_MAX_MS);
  fleet_close (fleet);
}

/* Watchers and coordinators stop running just after a version was written: the others get it nevertheless. */
static void
test_lost_sources (void)
{
  struct lag lag;
  struct fleet *fleet = open_fleet (123, 3, &lag);
  for (unsigned version = 0; version < 5; version++)
    {
      write_version (fleet, &lag, ROUTES + version);
      fleet_advance (fleet, FLEET_STEP_MS);
      /* The first entries of each failure domain are its watchers and coordinators. */
      fleet->entries[version].is_paused = true;
      fleet->entries[version + 6].is_disconnected = true;
      advance (fleet, &lag, FAULT_IN_FORCE_MS);
      check_in_force (fleet, &lag, FAULT_IN_FORCE_MS);
    }
  fleet_close (fleet);
}

/* The platform does not respond to any entry of one failure domain: they get versions from the others. */
static void
test_unreachable_domain (void)
{
  struct lag lag;
  struct fleet *fleet = open_fleet (60, 3, &lag);
  for (unsigned i = 0; i < fleet->entry_count; i += 3)
    fleet->entries[i].platform_unreachable = true;
  for (unsigned version = 0; version < 5; version++)
    {
      write_version (fleet, &lag, ROUTES + version);
      advance (fleet, &lag, FAULT_IN_FORCE_MS);
      check_in_force (fleet, &lag, FAULT_IN_FORCE_MS);
    }
  fleet_close (fleet);
}

/* No chunk of a document reaches one entry: it reads the configuration from the platform. */
static void
test_store_read (void)
{
  struct lag lag;
  struct fleet *fleet = open_fleet (60, 3, &lag);
  fleet->entries[40].lost_kind = HF_RPC_CONFIG_CHUNK;
  write_version (fleet, &lag, ROUTES);
  advance (fleet, &lag, FAULT_IN_FORCE_MS);
  check_in_force (fleet, &lag, FAULT_IN_FORCE_MS);
  g_assert_cmpuint (count_reads (fleet), <=, 2);
  fleet_close (fleet);
}

/* An entry that was paused during several versions goes to the newest. */
static void
test_paused (void)
{
  struct lag lag;
  struct fleet *fleet = open_fleet (60, 3, &lag);
  struct fleet_entry *entry = &fleet->entries[50];
  entry->is_paused = true;
  write_storm (fleet, &lag);
  advance (fleet, &lag, FAULT_IN_FORCE_MS);
  check_in_force (fleet, &lag, IN_FORCE_MAX_MS);
  entry->is_paused = false;
  fleet_advance (fleet, IN_FORCE_MAX_MS);
  g_assert_cmpuint (fleet_generation (entry), ==, fleet->generation);
  fleet_close (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/config-spread/storm", test_storm);
  g_test_add_func ("/config-spread/lossy-storm", test_lossy_storm);
  g_test_add_func ("/config-spread/large-fleet", test_large_fleet);
  g_test_add_func ("/config-spread/large-document", test_large_document);
  g_test_add_func ("/config-spread/largest-document", test_largest_document);
  g_test_add_func ("/config-spread/large-links", test_large_links);
  g_test_add_func ("/config-spread/lost-sources", test_lost_sources);
  g_test_add_func ("/config-spread/unreachable-domain", test_unreachable_domain);
  g_test_add_func ("/config-spread/store-read", test_store_read);
  g_test_add_func ("/config-spread/paused", test_paused);
  return g_test_run ();
}
