/* Tests of strict revocation in a simulated fleet: which entries accept keys while links, watchers or the store fail.
 */
#include "fleet.h"
#include "hf-revocation.h"

/* --- constants --- */

#define ENTRIES       60
#define DOMAINS       3
#define ROUTES        40
#define IN_FORCE_MS   2500 /* until every entry has a version */
#define REVOKE_MS     5000
#define CALM_MS       30000
#define RECOVERY_MS   3000 /* until the store's return confirms the configuration everywhere */
#define LOSS_INTERVAL 10
#define ISOLATED      40 /* entry that is cut off */

/* --- internal functions --- */

static struct fleet *
open_fleet (void)
{
  struct fleet *fleet = fleet_open (ENTRIES, DOMAINS, 2);
  fleet_write_document (fleet, ROUTES);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    fleet->entries[i].state->revoke_us = REVOKE_MS * HF_MS;
  fleet_advance (fleet, IN_FORCE_MS);
  return fleet;
}

static unsigned
count_due (const struct fleet *fleet)
{
  unsigned n = 0;
  for (unsigned i = 0; i < fleet->entry_count; i++)
    n += hf_revocation_is_due (fleet->entries[i].state);
  return n;
}

/* Advances the time; returns the most entries at once that refused keys. */
static unsigned
advance (struct fleet *fleet, int64_t ms)
{
  unsigned most = 0;
  for (int64_t end = fleet->now + ms * HF_MS; fleet->now < end;)
    {
      fleet_advance (fleet, FLEET_STEP_MS);
      most = MAX (most, count_due (fleet));
    }
  return most;
}

static void
set_store_unreachable (struct fleet *fleet, bool unreachable)
{
  for (unsigned i = 0; i < fleet->entry_count; i++)
    fleet->entries[i].platform_unreachable = unreachable;
}

/* --- tests --- */

/* Entries that make no calls to the store accept keys all the time, also while datagrams are lost, versions come and
 * watchers are lost. Guards against 503 in a fleet that is in touch with the store. */
static void
test_in_touch (void)
{
  struct fleet *fleet = open_fleet ();
  fleet->loss_interval = LOSS_INTERVAL;
  g_assert_cmpuint (advance (fleet, CALM_MS), ==, 0);
  fleet_write_document (fleet, ROUTES);
  g_assert_cmpuint (advance (fleet, CALM_MS), ==, 0);
  for (unsigned i = 0; i < 6; i++)
    fleet->entries[i].platform_unreachable = true;
  g_assert_cmpuint (advance (fleet, CALM_MS), ==, 0);
  fleet_close (fleet);
}

/* An entry that hears nothing from the store and from the others refuses keys after the time, the others go on. Once it
 * hears of them again, it accepts keys. */
static void
test_isolated (void)
{
  struct fleet *fleet = open_fleet ();
  struct fleet_entry *isolated = &fleet->entries[ISOLATED];
  isolated->is_disconnected = true;
  isolated->platform_unreachable = true;
  g_assert_cmpuint (advance (fleet, REVOKE_MS / 2), ==, 0);
  advance (fleet, REVOKE_MS);
  g_assert_true (hf_revocation_is_due (isolated->state));
  g_assert_cmpuint (count_due (fleet), ==, 1);
  isolated->is_disconnected = false;
  advance (fleet, RECOVERY_MS);
  g_assert_cmpuint (count_due (fleet), ==, 0);
  fleet_close (fleet);
}

/* While the store is down no entry confirms another one, however many updates they exchange. Guards against entries
 * that keep one another's keys alive. */
static void
test_store_down (void)
{
  struct fleet *fleet = open_fleet ();
  set_store_unreachable (fleet, true);
  g_assert_cmpuint (advance (fleet, REVOKE_MS / 2), ==, 0);
  advance (fleet, REVOKE_MS);
  g_assert_cmpuint (count_due (fleet), ==, fleet->entry_count);
  set_store_unreachable (fleet, false);
  advance (fleet, RECOVERY_MS);
  g_assert_cmpuint (count_due (fleet), ==, 0);
  fleet_close (fleet);
}

/* An entry knows of a newer version that does not reach it: its own is not confirmed. Guards against a removed key that
 * an entry with a broken pull accepts. */
static void
test_newer_version (void)
{
  struct fleet *fleet = open_fleet ();
  struct fleet_entry *behind = &fleet->entries[ISOLATED];
  uint64_t generation = fleet_generation (behind);
  behind->lost_kind = HF_RPC_CONFIG_CHUNK;
  behind->platform_unreachable = true;
  fleet_write_document (fleet, ROUTES);
  advance (fleet, REVOKE_MS + IN_FORCE_MS);
  g_assert_cmpuint (fleet_generation (behind), ==, generation);
  g_assert_cmpuint (count_due (fleet), ==, 1);
  g_assert_true (hf_revocation_is_due (behind->state));
  behind->lost_kind = 0;
  advance (fleet, RECOVERY_MS);
  g_assert_cmpuint (fleet_generation (behind), >, generation);
  g_assert_cmpuint (count_due (fleet), ==, 0);
  fleet_close (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/revocation/in-touch", test_in_touch);
  g_test_add_func ("/revocation/isolated", test_isolated);
  g_test_add_func ("/revocation/store-down", test_store_down);
  g_test_add_func ("/revocation/newer-version", test_newer_version);
  return g_test_run ();
}
