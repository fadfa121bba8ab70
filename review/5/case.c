/*
 * The store goes silent for a moment after it has told the entries of a new
 * configuration. Three seconds later, with the store calm, the next version
 * adds a route; the entries are asked for it once it must be in force.
 */
#include "fleet.h"

#include <stdlib.h>

/* --- constants --- */

#define IDLE_ROUTES     1400 /* added by the platform's operator at once in "big_config" */
#define SILENCE_MS      150
#define CONTACT_MS      3000 /* bound "contact": then the store is stable */
#define CONFIG_APPLY_MS 2000 /* bound "config_apply" */
#define MARGIN_MS       200
#define TRIALS          14
#define DEADLINE_MS     1000

static struct fleet fleet;

/* Until the events of the last change are sent to all entries. */
static void
wait_for_watches (unsigned before)
{
  int64_t end = g_get_monotonic_time () + MARGIN_MS * 1000;
  while (store_watch_answers (fleet.store) < before + FLEET_ENTRIES && g_get_monotonic_time () < end)
    g_usleep (50);
}

static unsigned
count_not_found (unsigned version, unsigned trial)
{
  unsigned n = 0;
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    {
      char id[64];
      char path[64];
      g_snprintf (id, sizeof id, "t%u-%u", trial, i);
      g_snprintf (path, sizeof path, "/version%u/item", version);
      struct connection connection = { .fd = connect_to (fleet.entries[i].front) };
      struct answer answer = caller_send (&connection, "GET", FLEET_HOST, path, id, DEADLINE_MS, NULL, 0);
      record ("caller: id=%s %s entry=%s answer=%u", id, path, fleet.entries[i].name, answer.status);
      connection_clear (&connection, false);
      n += answer.status == 404;
    }
  return n;
}

int
main (int argc, char **argv)
{
  unsigned version = 8;
  unsigned not_found = 0;
  if (argc != 2)
    return 2;
  record_open (argv[1]);
  fleet.idle_routes = IDLE_ROUTES;
  fleet_start (&fleet);
  for (unsigned trial = 0; trial < TRIALS && not_found == 0; trial++)
    {
      unsigned before = store_watch_answers (fleet.store);
      fleet_configure (&fleet, ++version);
      wait_for_watches (before);
      if (trouble_wanted ())
        store_set_silent (fleet.store, true);
      sleep_ms (SILENCE_MS);
      if (trouble_wanted ())
        store_set_silent (fleet.store, false);
      sleep_ms (CONTACT_MS + MARGIN_MS);
      fleet_configure (&fleet, ++version);
      sleep_ms (CONFIG_APPLY_MS + MARGIN_MS);
      not_found = count_not_found (version, trial);
      record ("trial %u: %u of %u entries answer 404, %d ms after the acknowledgement", trial, not_found, FLEET_ENTRIES,
              CONFIG_APPLY_MS + MARGIN_MS);
    }
  if (not_found > 0)
    record ("CONFIG: version r%u is not in force", version);
  for (unsigned waited = 0; not_found > 0 && waited < 20; waited++)
    {
      sleep_ms (1000);
      if (count_not_found (version, 100 + waited) == 0)
        {
          record ("version r%u is in force everywhere %u s later", version, waited + 1);
          break;
        }
    }
  finish (not_found > 0);
}
