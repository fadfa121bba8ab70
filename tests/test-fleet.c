/* Tests of the roles of entries, and of how the directory of backend servers spreads, in a simulated fleet. */
#include "fleet.h"
#include "hf-base.h"
#include "hf-directory.h"
#include "hf-roles.h"
#include "hf-status.h"

/* --- constants --- */

#define ONE_CHECK_MS        500   /* in which each entry that watches checks the platform once */
#define BOTH_HAND_OVERS_MS  10000 /* HF_PLATFORM_UNREACHABLE_MS is between them */
#define NEW_BOOT_ID         1000  /* of an entry that was restarted */
#define PAUSE_FLEET_ENTRIES 123
#define CONTACT_MS          3000 /* of calm, after which bounds hold */
#define WATCH_BATCH_MS      800  /* of a bound, for changes to be collected before a watch is sent */
#define LOSS_ROUNDS         8
#define LOSS_ROUND_STEP_MS  130  /* by which the losses of the rounds fall at other times between heartbeats */
#define RELIST_BYTES_MAX    2048 /* for each entry, after a list that brought two changes */

/* --- internal functions --- */

static int64_t
count_sent_bytes (const struct fleet *fleet)
{
  int64_t bytes = 0;
  for (unsigned i = 0; i < fleet->entry_count; i++)
    bytes += fleet->entries[i].sent_bytes;
  return bytes;
}

/* --- tests: roles --- */

/* In a small fleet all entries are coordinators, and two in each failure domain watch the platform. */
static void
test_small_fleet (void)
{
  struct fleet *fleet = fleet_open (19, 3, 0);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    {
      const struct hf_state *state = fleet->entries[i].state;
      g_assert_true (state->roles.is_coordinator);
      g_assert_cmpuint (state->roles.granters->len, ==, 19);
      for (uint64_t subject = 1; subject < 50; subject++)
        g_assert_cmpuint (hf_roles_granter (state, subject), ==, hf_roles_granter (fleet->entries[0].state, subject));
    }
  for (unsigned domain = 0; domain < 3; domain++)
    g_assert_cmpuint (fleet_count_watchers (fleet, 3, domain), ==, 2);
  g_assert_cmpuint (fleet_count_active_watches (fleet), ==, 6);
  fleet_close (fleet);
}

/* In a large fleet the entries with more processor time are the granters, all entries agree on them, and an entry
 * without a role exchanges heartbeats with few others. */
static void
test_large_fleet (void)
{
  struct fleet *fleet = fleet_open (139, 3, 2);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    {
      const struct hf_state *state = fleet->entries[i].state;
      g_assert_cmpuint (state->roles.granters->len, ==, 6);
      for (uint64_t subject = 1; subject < 50; subject++)
        {
          uint64_t granter = hf_roles_granter (state, subject);
          g_assert_cmpuint (granter, <=, 6);
          g_assert_cmpuint (granter, ==, hf_roles_granter (fleet->entries[0].state, subject));
        }
      fleet->entries[i].heartbeats_sent = 0;
    }
  g_assert_cmpuint (fleet_count_active_watches (fleet), ==, 6);
  fleet_advance (fleet, 3000);
  /* In 3 s two heartbeats per second to each of 9 coordinators. */
  for (unsigned i = 0; i < fleet->entry_count; i++)
    if (!fleet->entries[i].state->roles.is_coordinator)
      g_assert_cmpuint (fleet->entries[i].heartbeats_sent, <=, 3 * 2 * 9);
  fleet_close (fleet);
}

/* Without any large entry, some entries of each failure domain are granters and watchers. */
static void
test_equal_fleet (void)
{
  struct fleet *fleet = fleet_open (90, 3, 0);
  g_assert_cmpuint (fleet->entries[0].state->roles.granters->len, ==, 6);
  for (unsigned domain = 0; domain < 3; domain++)
    g_assert_cmpuint (fleet_count_watchers (fleet, 3, domain), ==, 2);
  fleet_close (fleet);
}

/* When all large entries are lost, others take over their roles; when they return they get their roles back. */
static void
test_large_lost (void)
{
  struct fleet *fleet = fleet_open (60, 3, 2);
  for (unsigned i = 0; i < 6; i++)
    fleet->entries[i].is_disconnected = true;
  fleet_advance (fleet, 8000);
  for (unsigned i = 6; i < fleet->entry_count; i++)
    for (uint64_t subject = 1; subject < 50; subject++)
      {
        uint64_t granter = hf_roles_granter (fleet->entries[i].state, subject);
        g_assert_cmpuint (granter, >, 6);
        g_assert_cmpuint (granter, ==, hf_roles_granter (fleet->entries[6].state, subject));
      }
  for (unsigned i = 0; i < 6; i++)
    fleet->entries[i].is_disconnected = false;
  fleet_advance (fleet, 5000);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    for (uint64_t subject = 1; subject < 50; subject++)
      g_assert_cmpuint (hf_roles_granter (fleet->entries[i].state, subject), <=, 6);
  fleet_close (fleet);
}

/* An entry that restarts has no directory as long as neither the platform nor another entry sends it. It must not
 * become a granter: it would refuse every slot, as it knows no backend server. */
static void
test_starting_entry (void)
{
  struct fleet *fleet = fleet_open (19, 3, 0);
  fleet_write_document (fleet, 1);
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    fleet->entries[i].platform_unreachable = true;
  fleet->entries[7].lost_kind = HF_RPC_DIRECTORY_UPDATE;
  fleet_restart (fleet, 7, NEW_BOOT_ID);
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    for (uint64_t subject = 1; subject < 500; subject++)
      g_assert_cmpuint (hf_roles_granter (fleet->entries[i].state, subject), !=, NEW_BOOT_ID);
  fleet_report_full_list (&fleet->entries[7]);
  fleet_report_entries (&fleet->entries[7]);
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    g_assert_cmpuint (fleet->entries[i].state->roles.granters->len, ==, 19);
  fleet_close (fleet);
}

/* --- tests: the directory --- */

/* A change reaches all entries within 100 ms, and none but the watchers begins to watch the platform. */
static void
test_changes (void)
{
  struct fleet *fleet = fleet_open (60, 3, 2);
  fleet->watch_starts = 0;
  fleet_change_server (fleet, 3, (struct fleet_server){ 0 });
  fleet_change_server (fleet, 200, (struct fleet_server){ .listed = true });
  fleet_advance (fleet, 100);
  fleet_check_directories (fleet);
  fleet_advance (fleet, 5000);
  g_assert_cmpuint (fleet->watch_starts, ==, 0);
  fleet_close (fleet);
}

/* Both watchers of a failure domain send an update of more than one datagram at the same time. The datagrams of the
 * two updates arrive interleaved; no change may get lost. */
static void
test_many_changes (void)
{
  struct fleet *fleet = fleet_open (60, 3, 2);
  for (unsigned i = 40; i < FLEET_SERVERS_MAX; i++)
    fleet_change_server (fleet, i, (struct fleet_server){ .listed = true });
  fleet_advance (fleet, 300);
  fleet_check_directories (fleet);
  fleet_close (fleet);
}

/* One datagram in three is lost; added and removed servers still reach all entries in time. */
static void
test_lost_datagrams (void)
{
  struct fleet *fleet = fleet_open (60, 3, 2);
  fleet->loss_interval = 3;
  for (unsigned round = 0; round < 10; round++)
    {
      fleet_change_server (fleet, round, (struct fleet_server){ 0 });
      fleet_change_server (fleet, 100 + round, (struct fleet_server){ .listed = true });
      fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS);
      fleet_check_directories (fleet);
    }
  fleet_close (fleet);
}

/* The watchers list the directory again instead of watching it, and so see no removal. Servers that are missing from
 * the list must be removed at the other entries, too. */
static void
test_relisting (void)
{
  struct fleet *fleet = fleet_open (60, 3, 2);
  fleet_change_server (fleet, 3, (struct fleet_server){ 0 });
  fleet_change_server (fleet, 200, (struct fleet_server){ .listed = true });
  for (unsigned i = 0; i < fleet->entry_count; i++)
    if (fleet->entries[i].watch_mode == HF_WATCH_MODE_ON)
      fleet_report_full_list (&fleet->entries[i]);
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS);
  fleet_check_directories (fleet);
  fleet_close (fleet);
}

/* The same in a large directory: the others get the few changes, not the whole directory. */
static void
test_relisting_sends_changes (void)
{
  struct fleet *fleet = fleet_open (60, 3, 2);
  for (unsigned i = 30; i < FLEET_SERVERS_MAX; i++)
    fleet_change_server (fleet, i, (struct fleet_server){ .listed = true });
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS);
  fleet_check_directories (fleet);
  int64_t before = count_sent_bytes (fleet);
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS);
  int64_t idle_bytes = count_sent_bytes (fleet) - before;
  fleet_change_server (fleet, 3, (struct fleet_server){ 0 });
  fleet_change_server (fleet, 50, (struct fleet_server){ .listed = true, .draining = true });
  for (unsigned i = 0; i < fleet->entry_count; i++)
    if (fleet->entries[i].watch_mode == HF_WATCH_MODE_ON)
      fleet_report_full_list (&fleet->entries[i]);
  before = count_sent_bytes (fleet);
  fleet->watch_starts = 0;
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS);
  fleet_check_directories (fleet);
  g_assert_cmpint (count_sent_bytes (fleet) - before - idle_bytes, <, fleet->entry_count * RELIST_BYTES_MAX);
  g_assert_cmpuint (fleet->watch_starts, ==, 0);
  fleet_close (fleet);
}

/* The platform does not respond to the watchers of one failure domain: other entries take over their role. */
static void
test_unreachable_platform (void)
{
  struct fleet *fleet = fleet_open (60, 3, 2);
  for (unsigned i = 0; i < fleet->entry_count; i += 3)
    fleet->entries[i].platform_unreachable = fleet->entries[i].state->roles.is_watcher;
  fleet_change_server (fleet, 3, (struct fleet_server){ 0 });
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS);
  fleet_check_directories (fleet);
  fleet_advance (fleet, 3000);
  g_assert_cmpuint (fleet_count_active_watches (fleet), <=, 10);
  fleet_close (fleet);
}

/* The watchers are disconnected, and their loss is not detected yet: entries that receive no updates watch the
 * platform themselves, and few of them still do so later. */
static void
test_watchers_lost (void)
{
  struct fleet *fleet = fleet_open (60, 3, 2);
  for (unsigned i = 0; i < 6; i++)
    fleet->entries[i].is_disconnected = true;
  fleet_advance (fleet, 50);
  fleet_change_server (fleet, 3, (struct fleet_server){ 0 });
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS);
  fleet_check_directories (fleet);
  fleet_advance (fleet, 15000);
  for (unsigned i = 0; i < 6; i++)
    g_assert_cmpuint (fleet->entries[i].watch_mode, ==, HF_WATCH_MODE_ON);
  g_assert_cmpuint (fleet_count_active_watches (fleet), <=, 6 + 6);
  fleet_close (fleet);
}

/* The platform responds to no entry for a time: entries only check whether it is reachable. Once it is, the watchers
 * send the changes, and few other entries begin a watch. */
static void
test_platform_outage (void)
{
  struct fleet *fleet = fleet_open (60, 3, 2);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    fleet->entries[i].platform_unreachable = true;
  fleet_advance (fleet, 6000);
  fleet_change_server (fleet, 200, (struct fleet_server){ .listed = true });
  fleet->watch_starts = 0;
  for (unsigned i = 0; i < fleet->entry_count; i++)
    fleet->entries[i].platform_unreachable = false;
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS);
  fleet_check_directories (fleet);
  g_assert_cmpuint (fleet->watch_starts, <=, 20);
  fleet_close (fleet);
}

/* One check of the platform fails at each watcher, so that other entries take over their role, and later give it back.
 * Neither hand-over leaves the others without current changes: none of them begins to watch the platform. */
static void
test_hand_over (void)
{
  struct fleet *fleet = fleet_open (123, 3, 2);
  fleet->watch_starts = 0;
  fleet->probe_starts = 0;
  for (unsigned i = 0; i < 6; i++)
    fleet->entries[i].platform_unreachable = true;
  fleet_advance (fleet, ONE_CHECK_MS);
  for (unsigned i = 0; i < 6; i++)
    fleet->entries[i].platform_unreachable = false;
  fleet_advance (fleet, BOTH_HAND_OVERS_MS);
  for (unsigned i = 0; i < 6; i++)
    g_assert_cmpuint (fleet->entries[i].watch_mode, ==, HF_WATCH_MODE_ON);
  g_assert_cmpuint (fleet->probe_starts, ==, 0);
  g_assert_cmpuint (fleet->watch_starts, <=, 6 + 6);
  fleet_close (fleet);
}

/* While the platform responds to no entry, those that are to watch it then check often whether it responds again, and
 * no others: its return is noticed soon and for few calls. Former watchers keep their mode, as nobody replaces them;
 * when they are lost, those next in rank await the platform in their place. */
static void
test_await_platform (void)
{
  struct fleet *fleet = fleet_open (60, 3, 2);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    fleet->entries[i].platform_unreachable = true;
  fleet_advance (fleet, 6000);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    g_assert_cmpuint (fleet->entries[i].watch_mode, ==, i < 6 ? HF_WATCH_MODE_ON : HF_WATCH_MODE_PROBE);
  for (unsigned i = 0; i < 6; i++)
    fleet->entries[i].is_disconnected = true;
  fleet_advance (fleet, 6000);
  unsigned awaiting = 0;
  for (unsigned i = 6; i < fleet->entry_count; i++)
    {
      g_assert_cmpuint (fleet->entries[i].watch_mode, !=, HF_WATCH_MODE_ON);
      awaiting += fleet->entries[i].watch_mode == HF_WATCH_MODE_AWAIT;
    }
  g_assert_cmpuint (awaiting, ==, 6);
  fleet_close (fleet);
}

/* An entry that was paused or disconnected for a time receives the changes that it missed. */
static void
test_rejoined (void)
{
  struct fleet *fleet = fleet_open (60, 3, 2);
  struct fleet_entry *entry = &fleet->entries[30];
  entry->is_disconnected = true;
  entry->platform_unreachable = true;
  fleet_advance (fleet, 3000);
  for (unsigned i = 50; i < 90; i++)
    fleet_change_server (fleet, i, (struct fleet_server){ .listed = true });
  fleet_change_server (fleet, 3, (struct fleet_server){ 0 });
  fleet_advance (fleet, 3000);
  entry->is_disconnected = false;
  entry->platform_unreachable = false;
  /* Servers that were removed meanwhile stay in its directory until the grace period after the outage is over. */
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS + HF_DIRECTORY_OUTAGE_GRACE_MS);
  fleet_check_directories (fleet);
  fleet_close (fleet);
}

/* Paused entries: @first to @last, in steps of @step. */
struct pause_case
{
  const char *name;
  unsigned first, last, step;
};

/* In a fleet of PAUSE_FLEET_ENTRIES, with two large entries in each of three failure domains. */
static const struct pause_case pause_cases[] = {
  { "watcher", 0, 0, 1 },       /* also coordinator and granter */
  { "both-watchers", 0, 3, 3 }, /* of the first failure domain */
  { "coordinator", 6, 6, 1 },   /* watches nothing, grants nothing */
  { "follower", 60, 60, 1 },
};

/* With @full_socket the datagrams that arrive during the pause are lost, else they are read after it. */
static void
set_paused (struct fleet *fleet, const struct pause_case *pause_case, bool paused, bool full_socket)
{
  for (unsigned i = pause_case->first; i <= pause_case->last; i += pause_case->step)
    {
      fleet->entries[i].is_paused = paused;
      fleet->entries[i].is_disconnected = paused && full_socket;
    }
}

/* Advances step by step; no running entry may use an older directory than before, or the removed server again. */
static void
advance_without_return (struct fleet *fleet, int64_t ms, uint64_t *revisions, const char *removed)
{
  for (int64_t end = fleet->now + ms * HF_MS; fleet->now < end;)
    {
      fleet_advance (fleet, FLEET_STEP_MS);
      for (unsigned i = 0; i < fleet->entry_count; i++)
        {
          const struct hf_directory *directory = &fleet->entries[i].state->directory;
          g_assert_cmpuint (directory->position.revision, >=, revisions[i]);
          revisions[i] = directory->position.revision;
          if (revisions[i] >= fleet->revision)
            g_assert_false (g_hash_table_contains (directory->servers, removed));
        }
    }
}

/* While entries are paused, servers are removed, drained and added. The others get the changes in time; after the pause
 * nobody goes back to what the paused entries knew, and these are current in time, too. */
static void
check_pause (const struct pause_case *pause_case, int64_t pause_ms, bool full_socket)
{
  struct fleet *fleet = fleet_open (PAUSE_FLEET_ENTRIES, 3, 2);
  uint64_t revisions[PAUSE_FLEET_ENTRIES] = { 0 };
  set_paused (fleet, pause_case, true, full_socket);
  fleet_advance (fleet, 50);
  fleet_change_server (fleet, 5, (struct fleet_server){ .listed = true, .draining = true });
  fleet_change_server (fleet, 200, (struct fleet_server){ .listed = true });
  fleet_change_server (fleet, 3, (struct fleet_server){ 0 });
  advance_without_return (fleet, pause_ms, revisions, "s3");
  for (unsigned i = 0; i < fleet->entry_count; i++)
    if (!fleet->entries[i].is_paused)
      g_assert_cmpuint (revisions[i], ==, fleet->revision);
  set_paused (fleet, pause_case, false, full_socket);
  advance_without_return (fleet, FLEET_PROPAGATION_MAX_MS, revisions, "s3");
  fleet_check_directories (fleet);
  fleet_close (fleet);
}

static void
test_paused (gconstpointer data)
{
  for (int64_t pause_ms = 2000; pause_ms <= 10000; pause_ms += 4000)
    {
      check_pause (data, pause_ms, false);
      check_pause (data, pause_ms, true);
    }
}

/* An entry that restarts while the platform does not respond gets directory and configuration from the others, and can
 * serve. */
static void
test_start_without_platform (void)
{
  struct fleet *fleet = fleet_open (60, 3, 2);
  fleet_write_document (fleet, 1);
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    fleet->entries[i].platform_unreachable = true;
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS);
  fleet_restart (fleet, 0, NEW_BOOT_ID);
  fleet_restart (fleet, 30, NEW_BOOT_ID + 1);
  fleet_advance (fleet, 2 * FLEET_PROPAGATION_MAX_MS);
  g_assert_true (hf_state_is_ready (fleet->entries[0].state));
  g_assert_true (hf_state_is_ready (fleet->entries[30].state));
  fleet_check_directories (fleet);
  fleet_close (fleet);
}

/* Lets the watches of the first @count watchers of the first failure domain hang. */
static void
hang_watches (struct fleet *fleet, unsigned domains, unsigned count)
{
  unsigned n = 0;
  for (unsigned i = 0; i < fleet->entry_count && n < count; i += domains)
    {
      fleet->entries[i].watch_hangs = fleet->entries[i].state->roles.is_watcher;
      n += fleet->entries[i].watch_hangs;
    }
  g_assert_cmpuint (n, ==, count);
}

/* The watch of one watcher hangs on a silent connection: the other watcher sends it the changes, too. */
static void
test_hanging_watch (void)
{
  struct fleet *fleet = fleet_open (19, 3, 0);
  hang_watches (fleet, 3, 1);
  fleet_change_server (fleet, 3, (struct fleet_server){ 0 });
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS);
  fleet_check_directories (fleet);
  fleet_close (fleet);
}

/* The watches of both watchers of a failure domain hang: heartbeats from other failure domains carry a higher revision,
 * so the entries request the changes from there. */
static void
test_hanging_watches (void)
{
  struct fleet *fleet = fleet_open (60, 3, 2);
  hang_watches (fleet, 3, 2);
  fleet_change_server (fleet, 3, (struct fleet_server){ 0 });
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS);
  fleet_check_directories (fleet);
  fleet_close (fleet);
}

/* --- tests: watches lost in a short silence of the store --- */

/* All entries have started: each has a configuration. */
static struct fleet *
open_started_fleet (unsigned entries, unsigned domains, unsigned large_per_domain)
{
  struct fleet *fleet = fleet_open (entries, domains, large_per_domain);
  fleet_write_document (fleet, 1);
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS);
  return fleet;
}

static void
lose_watches (struct fleet *fleet, const char *domain)
{
  for (unsigned i = 0; i < fleet->entry_count; i++)
    if (!domain || strcmp (fleet->entries[i].failure_domain, domain) == 0)
      fleet_lose_watches (&fleet->entries[i]);
}

/* A server that leaves and a configuration, written now, are known to all entries in time. */
static void
check_bounds (struct fleet *fleet)
{
  fleet_change_server (fleet, 3, (struct fleet_server){ .listed = !fleet->servers[3].listed });
  fleet_write_document (fleet, 1);
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS - WATCH_BATCH_MS);
  fleet_check_directories (fleet);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    if (!fleet->entries[i].is_disconnected)
      g_assert_cmpuint (fleet_generation (&fleet->entries[i]), ==, fleet->generation);
}

struct loss_case
{
  const char *name;
  unsigned entries;
  unsigned domains;
  unsigned large_per_domain;
  const char *lost_domain; /* NULL: all */
};

static const struct loss_case loss_cases[] = {
  { .name = "alone", .entries = 1, .domains = 1 },
  { .name = "pair", .entries = 2, .domains = 1 },
  { .name = "one-domain", .entries = 15, .domains = 1 },
  { .name = "small", .entries = 19, .domains = 3 },
  { .name = "large", .entries = 139, .domains = 3, .large_per_domain = 2 },
  { .name = "small-one-of-three", .entries = 19, .domains = 3, .lost_domain = "d0" },
  { .name = "large-one-of-three", .entries = 139, .domains = 3, .large_per_domain = 2, .lost_domain = "d1" },
};

/* Guards against review/5 with watches that wait long: all watches of the fleet, or of a failure domain, are lost. */
static void
test_lost_watches (const void *data)
{
  const struct loss_case *loss = data;
  struct fleet *fleet = open_started_fleet (loss->entries, loss->domains, loss->large_per_domain);
  for (unsigned round = 0; round < LOSS_ROUNDS; round++)
    {
      fleet_advance (fleet, LOSS_ROUND_STEP_MS);
      lose_watches (fleet, loss->lost_domain);
      fleet_advance (fleet, CONTACT_MS);
      check_bounds (fleet);
    }
  fleet_close (fleet);
}

static bool
has_short_watches (const struct fleet_entry *entry)
{
  return entry->watch_mode == HF_WATCH_MODE_ON && entry->watch_wait_ms == HF_STORE_WATCH_WAIT_SHORT_MS;
}

static void
disconnect_short_watchers (struct fleet *fleet, unsigned count)
{
  for (unsigned i = 0; i < fleet->entry_count && count > 0; i++)
    if (has_short_watches (&fleet->entries[i]))
      {
        fleet->entries[i].is_disconnected = true;
        count--;
      }
  g_assert_cmpuint (count, ==, 0);
}

/* All watches are lost, and at the same time one entry is cut off that would have noticed it soon. */
static void
test_lost_watches_one_cut (void)
{
  struct fleet *fleet = open_started_fleet (139, 3, 2);
  lose_watches (fleet, NULL);
  disconnect_short_watchers (fleet, 1);
  fleet_advance (fleet, CONTACT_MS);
  check_bounds (fleet);
  fleet_close (fleet);
}

/* The same with both: others take over, and replace their watches, which may be lost, at once. */
static void
test_lost_watches_both_cut (void)
{
  struct fleet *fleet = open_started_fleet (19, 3, 0);
  lose_watches (fleet, NULL);
  disconnect_short_watchers (fleet, HF_SHORT_WATCHERS);
  fleet_advance (fleet, CONTACT_MS);
  check_bounds (fleet);
  fleet_close (fleet);
}

/* All watches are lost while the store does not respond to those that would notice it soon: others take over. */
static void
test_lost_watches_unreachable (void)
{
  struct fleet *fleet = open_started_fleet (19, 3, 0);
  lose_watches (fleet, NULL);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    fleet->entries[i].platform_unreachable = has_short_watches (&fleet->entries[i]);
  fleet_advance (fleet, CONTACT_MS);
  check_bounds (fleet);
  fleet_close (fleet);
}

/* However large the fleet is, two watchers renew their watches often, in different failure domains if there are. */
static void
test_short_watchers (void)
{
  static const unsigned sizes[] = { 4, 15, 60, 139, 472 };
  for (unsigned n = 0; n < G_N_ELEMENTS (sizes); n++)
    {
      struct fleet *fleet = open_started_fleet (sizes[n], 3, 1);
      const char *domain = NULL;
      g_assert_cmpuint (fleet_count_short_watches (fleet), ==, HF_SHORT_WATCHERS);
      for (unsigned i = 0; i < fleet->entry_count; i++)
        if (has_short_watches (&fleet->entries[i]))
          {
            g_assert_cmpstr (fleet->entries[i].failure_domain, !=, domain);
            domain = fleet->entries[i].failure_domain;
          }
      fleet_close (fleet);
    }
}

/* One entry gets a large document first, and all others pull it concurrently over its link of 10 Mbit/s. Repeated
 * requests must not overload the link: all entries have the document in time. */
static void
test_small_link (void)
{
  struct fleet *fleet = fleet_open (60, 3, 0);
  char *text = fleet_make_document (300);
  struct fleet_entry *source = &fleet->entries[0];
  for (unsigned i = 0; i < fleet->entry_count; i++)
    if (fleet->entries[i].state->roles.is_watcher)
      source = &fleet->entries[i];
  fleet->link_bytes_per_ms = 1250;
  fleet_raise_event (
      source, (struct hf_event){ .kind = HF_EVENT_DOCUMENT, .document = { .generation = 7, .text = hf_str (text) } });
  g_assert_nonnull (source->state->document);
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    {
      const struct hf_document *document = fleet->entries[i].state->document;
      g_assert_true (document && document->generation == 7);
    }
  g_free (text);
  fleet_close (fleet);
}

/* --- tests: lists of which a part is lost --- */

struct update
{
  unsigned sender;
  uint64_t from;
  uint64_t to;
  unsigned server;
  unsigned parts; /* only the first is delivered */
  bool full;
};

static void
deliver_update (struct fleet_entry *entry, struct update update)
{
  char server[16];
  const struct fleet_entry *sender = &entry->fleet->entries[update.sender];
  g_snprintf (server, sizeof server, "s%u", update.server);
  hf_rpc_server_report report = { .name = { (u_int) strlen (server), server },
                                  .service = { 1, "a" },
                                  .address = { 11, "10.1.0.1:80" },
                                  .slots = 3,
                                  .incarnation = 1,
                                  .sequence = 1000,
                                  .draining = true };
  struct hf_rpc_message message = { .boot_id = sender->state->boot_id, .body = { .kind = HF_RPC_DIRECTORY_UPDATE } };
  message.body.hf_rpc_body_u.directory_update
      = (struct hf_rpc_directory_update){ .from = { .era = 1, .revision = update.from },
                                          .to = { .era = 1, .revision = update.to },
                                          .parts = update.parts,
                                          .full = update.full,
                                          .reports = { .reports_len = 1, .reports_val = &report } };
  fleet_raise_event (entry, (struct hf_event){ .kind = HF_EVENT_PEER_MESSAGE,
                                               .peer = { .message = &message, .address = hf_str (sender->address) } });
}

/* Counts the reports of server s3 that entries send. */
static void
count_reports (void *context, struct fleet_entry *entry, const struct hf_effect *effect)
{
  const struct hf_rpc_directory_update *update = &effect->message.body.hf_rpc_body_u.directory_update;
  unsigned *count = context;
  (void) entry;
  if (effect->kind != HF_EFFECT_SEND_MESSAGE || effect->message.body.kind != HF_RPC_DIRECTORY_UPDATE)
    return;
  for (u_int i = 0; i < update->reports.reports_len; i++)
    {
      const hf_rpc_server_report *report = &update->reports.reports_val[i];
      *count += hf_str_equal ((struct hf_str){ report->name.name_val, report->name.name_len }, hf_str ("s3"));
    }
}

/* Guards against a change that is lost at others, as it came in a part of a list whose rest was lost. */
static void
test_lost_part (void)
{
  struct fleet *fleet = fleet_open (19, 3, 0);
  struct fleet_entry *entry = &fleet->entries[18];
  unsigned reports = 0;
  struct hf_rpc_message pull = { .boot_id = 16, .body = { .kind = HF_RPC_DIRECTORY_PULL } };
  pull.body.hf_rpc_body_u.directory_pull.from = (struct hf_rpc_store_position){ .era = 1, .revision = 31 };
  deliver_update (entry, (struct update){ .sender = 0, .to = 32, .server = 3, .parts = 2, .full = true });
  deliver_update (entry, (struct update){ .sender = 3, .from = 30, .to = 31, .server = 4, .parts = 1 });
  deliver_update (entry, (struct update){ .sender = 3, .from = 31, .to = 32, .server = 3, .parts = 1 });
  fleet->on_effect = count_reports;
  fleet->context = &reports;
  fleet_raise_event (entry,
                     (struct hf_event){ .kind = HF_EVENT_PEER_MESSAGE,
                                        .peer = { .message = &pull, .address = hf_str (fleet->entries[15].address) } });
  g_assert_cmpuint (entry->state->directory.position.revision, ==, 32);
  g_assert_cmpuint (reports, >, 0);
  fleet_close (fleet);
}

/* --- tests: the platform comes back from an older copy --- */

/* Changes that are lost, and others in their place under the same revisions. */
static void
restore_and_change (struct fleet *fleet)
{
  fleet_restore_platform (fleet);
  fleet_change_server (fleet, 202, (struct fleet_server){ .listed = true });
  fleet_change_server (fleet, 5, (struct fleet_server){ 0 });
  fleet_change_server (fleet, 3, (struct fleet_server){ 0 });
  fleet_change_server (fleet, 4, (struct fleet_server){ 0 });
}

static struct fleet *
open_fleet_with_lost_changes (void)
{
  struct fleet *fleet = fleet_open (60, 3, 2);
  fleet_save_platform (fleet);
  fleet_change_server (fleet, 200, (struct fleet_server){ .listed = true });
  fleet_change_server (fleet, 201, (struct fleet_server){ .listed = true });
  fleet_change_server (fleet, 3, (struct fleet_server){ 0 });
  fleet_change_server (fleet, 4, (struct fleet_server){ 0 });
  fleet_advance (fleet, 300);
  fleet_check_directories (fleet);
  return fleet;
}

/* Every entry is in the new era, has the platform's servers, and has counted one restore. */
static void
check_restored (const struct fleet *fleet)
{
  fleet_check_directories (fleet);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    {
      const struct hf_state *state = fleet->entries[i].state;
      g_assert_cmpuint (state->directory.position.era, ==, 2);
      g_assert_cmpuint (state->counters[HF_COUNT_PLATFORM_RESTORED], ==, 1);
    }
}

/* Two histories of the platform share revisions and differ in content: every entry ends up with the second one. */
static void
test_restored_shared_revisions (void)
{
  struct fleet *fleet = open_fleet_with_lost_changes ();
  fleet->watch_starts = 0;
  restore_and_change (fleet);
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS + HF_DIRECTORY_OUTAGE_GRACE_MS);
  check_restored (fleet);
  g_assert_cmpuint (fleet->watch_starts, ==, 0);
  fleet_close (fleet);
}

/* A server that joins after the restore is used everywhere as soon as any other new one. */
static void
test_restored_joined_server (void)
{
  struct fleet *fleet = open_fleet_with_lost_changes ();
  restore_and_change (fleet);
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    g_assert_true (g_hash_table_contains (fleet->entries[i].state->directory.servers, "s202"));
  fleet_close (fleet);
}

/* A server that registered after the copy was made registers again within the time that one has after an outage. */
static void
test_restored_missing_server (void)
{
  struct fleet *fleet = open_fleet_with_lost_changes ();
  restore_and_change (fleet);
  for (unsigned i = 0; i < 15; i++)
    {
      fleet_advance (fleet, 100);
      for (unsigned entry = 0; entry < fleet->entry_count; entry++)
        g_assert_true (g_hash_table_contains (fleet->entries[entry].state->directory.servers, "s200"));
    }
  fleet_change_server (fleet, 200, (struct fleet_server){ .listed = true });
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS + HF_DIRECTORY_OUTAGE_GRACE_MS);
  check_restored (fleet);
  fleet_close (fleet);
}

static void
set_cut (struct fleet_entry *entry, bool is_cut)
{
  entry->is_disconnected = is_cut;
  entry->platform_unreachable = is_cut;
}

/* Entries that were cut off during the restore, a watcher and one that is none, come back with positions of the lost
 * history that are as high as the new ones. */
static void
test_restored_while_cut (void)
{
  struct fleet *fleet = open_fleet_with_lost_changes ();
  set_cut (&fleet->entries[0], true);
  set_cut (&fleet->entries[30], true);
  fleet_advance (fleet, 1000);
  restore_and_change (fleet);
  fleet_advance (fleet, 3000);
  set_cut (&fleet->entries[0], false);
  set_cut (&fleet->entries[30], false);
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS + HF_DIRECTORY_OUTAGE_GRACE_MS);
  check_restored (fleet);
  fleet_close (fleet);
}

/* The same for entries that were paused. */
static void
test_restored_while_paused (void)
{
  struct fleet *fleet = open_fleet_with_lost_changes ();
  fleet->entries[0].is_paused = true;
  fleet->entries[30].is_paused = true;
  restore_and_change (fleet);
  fleet_advance (fleet, 4000);
  fleet->entries[0].is_paused = false;
  fleet->entries[30].is_paused = false;
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS + HF_DIRECTORY_OUTAGE_GRACE_MS);
  check_restored (fleet);
  fleet_close (fleet);
}

/* One watcher of a failure domain goes on in the lost history, as its watch hangs. */
static void
test_restored_one_watcher_behind (void)
{
  struct fleet *fleet = open_fleet_with_lost_changes ();
  hang_watches (fleet, 3, 1);
  restore_and_change (fleet);
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS + HF_DIRECTORY_OUTAGE_GRACE_MS);
  check_restored (fleet);
  fleet_close (fleet);
}

/* Both watchers of a failure domain go on in the lost history: the new one comes from other failure domains. */
static void
test_restored_both_watchers_behind (void)
{
  struct fleet *fleet = open_fleet_with_lost_changes ();
  hang_watches (fleet, 3, 2);
  restore_and_change (fleet);
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS + HF_DIRECTORY_OUTAGE_GRACE_MS);
  check_restored (fleet);
  fleet_close (fleet);
}

/* Datagrams get lost while the new history spreads. */
static void
test_restored_lost_datagrams (void)
{
  struct fleet *fleet = open_fleet_with_lost_changes ();
  fleet->loss_interval = 3;
  restore_and_change (fleet);
  fleet_advance (fleet, 2 * FLEET_PROPAGATION_MAX_MS + HF_DIRECTORY_OUTAGE_GRACE_MS);
  check_restored (fleet);
  fleet_close (fleet);
}

/* The platform goes back a second time, before all of the first restore has been applied. */
static void
test_restored_twice (void)
{
  struct fleet *fleet = open_fleet_with_lost_changes ();
  restore_and_change (fleet);
  fleet_advance (fleet, 150);
  restore_and_change (fleet);
  fleet_change_server (fleet, 203, (struct fleet_server){ .listed = true });
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS + HF_DIRECTORY_OUTAGE_GRACE_MS);
  fleet_check_directories (fleet);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    g_assert_cmpuint (fleet->entries[i].state->directory.position.era, ==, 3);
  fleet_close (fleet);
}

/* A list of the lost history arrives late, from a replica that lags: it neither removes nor confirms anything. */
static void
test_restored_stale_list (void)
{
  struct fleet *fleet = open_fleet_with_lost_changes ();
  restore_and_change (fleet);
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS + HF_DIRECTORY_OUTAGE_GRACE_MS);
  struct fleet_entry *entry = &fleet->entries[0];
  struct hf_event step
      = { .kind = HF_EVENT_LIST_STEP, .list_step = HF_LIST_BEGIN, .position = { .era = 1, .revision = 100000 } };
  fleet_raise_event (entry, step);
  fleet_raise_event (entry, (struct hf_event){ .kind = HF_EVENT_SERVER_REPORT,
                                               .position = { .era = 1 },
                                               .report = { .name = hf_str ("s300"),
                                                           .service = hf_str ("a"),
                                                           .address = hf_str ("10.1.0.9:80"),
                                                           .slots = 3,
                                                           .incarnation = 1 } });
  step.list_step = HF_LIST_END;
  fleet_raise_event (entry, step);
  step.list_step = HF_LIST_PROGRESS;
  fleet_raise_event (entry, step);
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS + HF_DIRECTORY_OUTAGE_GRACE_MS);
  check_restored (fleet);
  fleet_close (fleet);
}

/* An update of an entry that is still in the lost history does not confirm the directory of one that is not. */
static void
test_restored_outdated_confirmation (void)
{
  struct fleet *fleet = open_fleet_with_lost_changes ();
  restore_and_change (fleet);
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS);
  struct hf_state *state = fleet->entries[30].state;
  struct hf_rpc_message message = { .boot_id = 1, .body = { .kind = HF_RPC_DIRECTORY_UPDATE } };
  message.body.hf_rpc_body_u.directory_update
      = (struct hf_rpc_directory_update){ .to = { .era = 1, .revision = 100000 }, .parts = 1, .full = true };
  int64_t confirmed_at = state->directory.confirmed_at;
  fleet->now += 100 * HF_MS;
  fleet_raise_event (
      &fleet->entries[30],
      (struct hf_event){ .kind = HF_EVENT_PEER_MESSAGE,
                         .peer = { .message = &message, .address = hf_str (fleet->entries[0].address) } });
  g_assert_cmpint (state->directory.confirmed_at, ==, confirmed_at);
  g_assert_cmpuint (state->directory.position.era, ==, 2);
  fleet_close (fleet);
}

/* An entry that starts after the restore gets its directory from others, as the platform does not respond to it. */
static void
test_restored_start (void)
{
  struct fleet *fleet = open_fleet_with_lost_changes ();
  restore_and_change (fleet);
  fleet->entries[30].platform_unreachable = true;
  fleet_restart (fleet, 30, NEW_BOOT_ID);
  fleet_advance (fleet, 2 * FLEET_PROPAGATION_MAX_MS + HF_DIRECTORY_OUTAGE_GRACE_MS);
  fleet_check_directories (fleet);
  g_assert_cmpuint (fleet->entries[30].state->directory.position.era, ==, 2);
  fleet_close (fleet);
}

/* --- tests: older reports of a backend server --- */

/* Whether an entry lists a server of the fleet, and not as draining or removed. */
static bool
is_in_use (const struct fleet_entry *entry, const char *server)
{
  struct hf_server_report report = hf_directory_lookup (entry->state, hf_str (server));
  return !report.removed && !report.draining;
}

static bool
is_in_use_anywhere (const struct fleet *fleet, const char *server)
{
  for (unsigned i = 0; i < fleet->entry_count; i++)
    if (!fleet->entries[i].is_disconnected && is_in_use (&fleet->entries[i], server))
      return true;
  return false;
}

/* The older copy lists servers as ready that have reported draining, or have left, since: nobody uses them again, not
 * after an entry returns that has missed their leaving, and not before they have written anew. */
static void
test_restored_servers_stay_out (void)
{
  struct fleet *fleet = fleet_open (60, 3, 2);
  fleet_save_platform (fleet);
  set_cut (&fleet->entries[0], true);
  fleet_change_server (fleet, 3, (struct fleet_server){ 0 });
  fleet_change_server (fleet, 4, (struct fleet_server){ .listed = true, .draining = true });
  fleet_advance (fleet, 3000);
  fleet_restore_platform (fleet);
  fleet_change_server (fleet, 200, (struct fleet_server){ .listed = true });
  for (unsigned i = 0; i < 60; i++)
    {
      fleet_advance (fleet, 100);
      g_assert_false (is_in_use_anywhere (fleet, "s3"));
      g_assert_false (is_in_use_anywhere (fleet, "s4"));
    }
  fleet_change_server (fleet, 4, (struct fleet_server){ .listed = true, .draining = true });
  set_cut (&fleet->entries[0], false);
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS);
  for (unsigned i = 1; i < fleet->entry_count; i++)
    {
      g_assert_false (is_in_use (&fleet->entries[i], "s3"));
      g_assert_false (is_in_use (&fleet->entries[i], "s4"));
    }
  fleet_change_server (fleet, 3, (struct fleet_server){ .listed = true });
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    g_assert_true (is_in_use (&fleet->entries[i], "s3"));
  fleet_close (fleet);
}

static void
report_change (struct fleet_entry *entry, uint64_t incarnation, uint64_t sequence, bool draining, bool removed)
{
  fleet_raise_event (entry, (struct hf_event){ .kind = HF_EVENT_SERVER_REPORT,
                                               .position = { .era = entry->fleet->era },
                                               .report = { .name = hf_str ("s0"),
                                                           .service = hf_str ("a"),
                                                           .address = hf_str ("10.1.0.1:80"),
                                                           .failure_domain = hf_str ("d0"),
                                                           .slots = 3,
                                                           .incarnation = incarnation,
                                                           .sequence = sequence,
                                                           .draining = draining,
                                                           .removed = removed } });
}

/* Within one history, too, a report that arrives late takes nothing back. A later start of the server counts its
 * reports anew. */
static void
test_late_report (void)
{
  struct fleet *fleet = fleet_open (4, 1, 0);
  struct fleet_entry *entry = &fleet->entries[0];
  report_change (entry, 5, 21, true, false);
  report_change (entry, 5, 17, false, false);
  g_assert_false (is_in_use (entry, "s0"));
  report_change (entry, 4, 90, false, false);
  g_assert_false (is_in_use (entry, "s0"));
  report_change (entry, 6, 1, false, false);
  g_assert_true (is_in_use (entry, "s0"));
  report_change (entry, 6, 20, false, true);
  report_change (entry, 6, 17, false, false);
  g_assert_false (is_in_use (entry, "s0"));
  report_change (entry, 6, 20, false, false);
  g_assert_true (is_in_use (entry, "s0"));
  fleet_close (fleet);
}

/* A removed server is forgotten after a time, and of very many the first ones are. */
static void
test_removed_servers_bounded (void)
{
  struct hf_removed_servers *removed = hf_removed_servers_open ();
  for (unsigned i = 0; i <= HF_DIRECTORY_REMOVED_MAX; i++)
    {
      char name[16];
      g_snprintf (name, sizeof name, "s%u", i);
      hf_removed_servers_add (removed,
                              &(struct hf_server_report){ .name = hf_str (name), .incarnation = 1, .sequence = i + 1 },
                              (struct hf_store_position){ .era = 1, .revision = i + 1 }, i);
    }
  int64_t now = HF_DIRECTORY_REMOVED_MAX;
  g_assert_null (hf_removed_servers_find (removed, hf_str ("s0"), now));
  g_assert_cmpuint (hf_removed_servers_find (removed, hf_str ("s1"), now)->sequence, ==, 2);
  g_assert_cmpuint (hf_removed_servers_find_position (removed, hf_str ("s1")).revision, ==, 2);
  g_assert_null (hf_removed_servers_find (removed, hf_str ("s1"), HF_DIRECTORY_REMOVED_SEC * HF_SEC + 1));
  hf_removed_servers_forget (removed, hf_str ("s2"));
  g_assert_null (hf_removed_servers_find (removed, hf_str ("s2"), now));
  hf_removed_servers_close (removed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/roles/small-fleet", test_small_fleet);
  g_test_add_func ("/roles/large-fleet", test_large_fleet);
  g_test_add_func ("/roles/equal-fleet", test_equal_fleet);
  g_test_add_func ("/roles/large-lost", test_large_lost);
  g_test_add_func ("/roles/starting", test_starting_entry);
  g_test_add_func ("/relay/changes", test_changes);
  g_test_add_func ("/relay/many-changes", test_many_changes);
  g_test_add_func ("/relay/lost-datagrams", test_lost_datagrams);
  g_test_add_func ("/relay/listed-anew", test_relisting);
  g_test_add_func ("/relay/listed-anew-changes", test_relisting_sends_changes);
  g_test_add_func ("/relay/blind-watchers", test_unreachable_platform);
  g_test_add_func ("/relay/watchers-gone", test_watchers_lost);
  g_test_add_func ("/relay/platform-away", test_platform_outage);
  g_test_add_func ("/relay/hand-over", test_hand_over);
  g_test_add_func ("/relay/await-platform", test_await_platform);
  g_test_add_func ("/relay/returned", test_rejoined);
  for (guint i = 0; i < G_N_ELEMENTS (pause_cases); i++)
    {
      char *name = g_strdup_printf ("/paused/%s", pause_cases[i].name);
      g_test_add_data_func (name, &pause_cases[i], test_paused);
      g_free (name);
    }
  g_test_add_func ("/relay/start-without-platform", test_start_without_platform);
  g_test_add_func ("/relay/hanging-watch", test_hanging_watch);
  g_test_add_func ("/relay/hanging-watches", test_hanging_watches);
  for (size_t i = 0; i < G_N_ELEMENTS (loss_cases); i++)
    {
      char *name = g_strdup_printf ("/lost-watches/%s", loss_cases[i].name);
      g_test_add_data_func (name, &loss_cases[i], test_lost_watches);
      g_free (name);
    }
  g_test_add_func ("/lost-watches/one-cut", test_lost_watches_one_cut);
  g_test_add_func ("/lost-watches/both-cut", test_lost_watches_both_cut);
  g_test_add_func ("/lost-watches/unreachable", test_lost_watches_unreachable);
  g_test_add_func ("/lost-watches/short-watchers", test_short_watchers);
  g_test_add_func ("/relay/small-link", test_small_link);
  g_test_add_func ("/relay/lost-part", test_lost_part);
  g_test_add_func ("/restored/shared-revisions", test_restored_shared_revisions);
  g_test_add_func ("/restored/joined-server", test_restored_joined_server);
  g_test_add_func ("/restored/missing-server", test_restored_missing_server);
  g_test_add_func ("/restored/while-cut", test_restored_while_cut);
  g_test_add_func ("/restored/while-paused", test_restored_while_paused);
  g_test_add_func ("/restored/one-watcher-behind", test_restored_one_watcher_behind);
  g_test_add_func ("/restored/both-watchers-behind", test_restored_both_watchers_behind);
  g_test_add_func ("/restored/lost-datagrams", test_restored_lost_datagrams);
  g_test_add_func ("/restored/twice", test_restored_twice);
  g_test_add_func ("/restored/stale-list", test_restored_stale_list);
  g_test_add_func ("/restored/outdated-confirmation", test_restored_outdated_confirmation);
  g_test_add_func ("/restored/start", test_restored_start);
  g_test_add_func ("/restored/servers-stay-out", test_restored_servers_stay_out);
  g_test_add_func ("/reports/late", test_late_report);
  g_test_add_func ("/reports/removed-bounded", test_removed_servers_bounded);
  return g_test_run ();
}
