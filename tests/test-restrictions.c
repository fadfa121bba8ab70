/*
 * Tests of what backend servers say of themselves: header fields, and a
 * simulated fleet whose requests are checked at the backend servers, per entry
 * and instance, against a list of what each entry was told.
 */
#include "fleet.h"
#include "hf-adapter.h"
#include "hf-base.h"
#include "hf-members.h"

/* --- constants --- */

#define ENTRIES             6
#define SERVICE_MS          30 /* of each request */
#define SERVERS_IN_USE      6
#define REQUEST_INTERVAL_MS 40 /* between two requests of an entry */

/* --- types --- */

/* A request at a backend server. */
struct run
{
  struct fleet_entry *entry;
  uint64_t call;
  unsigned attempt;
  unsigned server;
  uint64_t incarnation;
  int64_t ends_at;
};

/* What a backend server says in its responses. */
struct server_says
{
  bool leaves;
};

/* What one instance has told one entry. */
struct told
{
  const struct fleet_entry *entry;
  unsigned server;
  uint64_t incarnation;
  bool leaves;
};

struct simulation
{
  struct fleet *fleet;
  struct server_says says[SERVERS_IN_USE];
  GArray *runs; /* struct run */
  GArray *told; /* struct told */
  uint64_t calls;
  unsigned sent[SERVERS_IN_USE];     /* requests */
  unsigned sent_unwanted;            /* requests that the entry had been told not to send */
  unsigned measured[SERVERS_IN_USE]; /* measurements */
  unsigned errors;                   /* error responses of the entries */
  bool silent_to[ENTRIES];           /* servers say nothing to this entry */
};

/* --- internal functions --- */

static unsigned
server_index (const struct hf_effect *effect)
{
  return (unsigned) g_ascii_strtoull (effect->name.data + 1, NULL, 10);
}

static struct told *
find_told (const struct simulation *simulation, const struct fleet_entry *entry, unsigned server, uint64_t incarnation)
{
  for (guint i = 0; i < simulation->told->len; i++)
    {
      struct told *told = &g_array_index (simulation->told, struct told, i);
      if (told->entry == entry && told->server == server && told->incarnation == incarnation)
        return told;
    }
  return NULL;
}

static bool
is_unwanted (const struct simulation *simulation, const struct fleet_entry *entry, const struct hf_effect *effect)
{
  const struct told *told = find_told (simulation, entry, server_index (effect), effect->incarnation);
  return told && told->leaves;
}

static void
on_effect (void *context, struct fleet_entry *entry, const struct hf_effect *effect)
{
  struct simulation *simulation = context;
  simulation->errors += effect->kind == HF_EFFECT_SEND_ERROR;
  if (effect->kind != HF_EFFECT_DISPATCH && effect->kind != HF_EFFECT_SEND_PROBE)
    return;
  unsigned server = server_index (effect);
  g_assert_cmpuint (server, <, SERVERS_IN_USE);
  simulation->sent_unwanted += is_unwanted (simulation, entry, effect);
  if (effect->kind == HF_EFFECT_SEND_PROBE)
    {
      simulation->measured[server]++;
      return;
    }
  simulation->sent[server]++;
  struct run run = { .entry = entry,
                     .call = effect->call,
                     .attempt = effect->attempt,
                     .server = server,
                     .incarnation = effect->incarnation,
                     .ends_at = simulation->fleet->now + SERVICE_MS * HF_MS };
  g_array_append_val (simulation->runs, run);
}

static void
tell (struct simulation *simulation, const struct run *run)
{
  const struct server_says *says = &simulation->says[run->server];
  struct hf_event event = { .kind = HF_EVENT_SERVER_HINTS,
                            .server = hf_server_id (hf_str ("a"), hf_str ("s0")),
                            .incarnation = run->incarnation,
                            .hints = { .status = 200, .load = -1, .retry_after_ms = -1, .leaving = says->leaves } };
  char name[16];
  g_snprintf (name, sizeof name, "s%u", run->server);
  event.server = hf_server_id (hf_str ("a"), hf_str (name));
  if (!says->leaves || simulation->silent_to[run->entry - simulation->fleet->entries])
    return;
  struct told *told = find_told (simulation, run->entry, run->server, run->incarnation);
  if (!told)
    {
      struct told new_told = { .entry = run->entry, .server = run->server, .incarnation = run->incarnation };
      g_array_append_val (simulation->told, new_told);
      told = &g_array_index (simulation->told, struct told, simulation->told->len - 1);
    }
  told->leaves = true;
  fleet_raise_event (run->entry, event);
}

static void
end_run (struct simulation *simulation, const struct run *run)
{
  tell (simulation, run);
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
                                                                            .call = ++simulation->calls,
                                                                            .request = { .method = hf_str ("GET"),
                                                                                         .host = hf_str ("h.example"),
                                                                                         .path = hf_str ("/p0/x") } });
}

static void
advance (struct simulation *simulation, int64_t ms)
{
  for (int64_t t = 0; t < ms; t += FLEET_STEP_MS)
    {
      if (t % REQUEST_INTERVAL_MS == 0)
        send_requests (simulation);
      fleet_advance (simulation->fleet, FLEET_STEP_MS);
      end_due_runs (simulation);
    }
}

static struct simulation *
open_simulation (void)
{
  struct simulation *simulation = g_new0 (struct simulation, 1);
  struct fleet *fleet = fleet_open (ENTRIES, 3, 0);
  simulation->fleet = fleet;
  simulation->runs = g_array_new (FALSE, FALSE, sizeof (struct run));
  simulation->told = g_array_new (FALSE, FALSE, sizeof (struct told));
  for (unsigned i = SERVERS_IN_USE; i < 30; i++)
    fleet_change_server (fleet, i, (struct fleet_server){ 0 });
  fleet_write_document (fleet, 1);
  fleet_advance (fleet, FLEET_PROPAGATION_MAX_MS);
  fleet->on_effect = on_effect;
  fleet->context = simulation;
  advance (simulation, 1000);
  for (unsigned i = 0; i < SERVERS_IN_USE; i++)
    g_assert_cmpuint (simulation->sent[i], >, 0);
  return simulation;
}

static void
close_simulation (struct simulation *simulation)
{
  fleet_close (simulation->fleet);
  g_array_unref (simulation->runs);
  g_array_unref (simulation->told);
  g_free (simulation);
}

static unsigned
granter_index (const struct simulation *simulation)
{
  uint64_t owner = hf_members_owner (simulation->fleet->entries[0].state, hf_hash (hf_str ("a"), 0));
  for (unsigned i = 0; i < ENTRIES; i++)
    if (simulation->fleet->entries[i].state->boot_id == owner)
      return i;
  g_error ("no entry grants the slots; the test stops");
  return 0;
}

/* Lists server i again, as a new instance or as an older list does. */
static void
list_again (struct simulation *simulation, unsigned i, uint64_t incarnation)
{
  fleet_change_server (simulation->fleet, i, (struct fleet_server){ 0 });
  advance (simulation, 500);
  fleet_change_server (simulation->fleet, i, (struct fleet_server){ .listed = true, .incarnation = incarnation });
  advance (simulation, 500);
}

/* --- tests: leaving --- */

/* A server says to all entries that it leaves, and the directory lists it on. */
static void
test_leaving_all (void)
{
  struct simulation *simulation = open_simulation ();
  simulation->says[0].leaves = true;
  advance (simulation, 200);
  unsigned sent = simulation->sent[0];
  advance (simulation, 2000);
  list_again (simulation, 0, 1);
  g_assert_cmpuint (simulation->sent[0], ==, sent);
  g_assert_cmpuint (simulation->sent_unwanted, ==, 0);
  g_assert_cmpuint (simulation->errors, ==, 0);
  simulation->says[0].leaves = false;
  list_again (simulation, 0, 2);
  g_assert_cmpuint (simulation->sent[0], >, sent);
  close_simulation (simulation);
}

/* Only one entry is told, which does not grant the slots: the granter gives it other servers. */
static void
test_leaving_one_entry (void)
{
  struct simulation *simulation = open_simulation ();
  unsigned hearer = (granter_index (simulation) + 1) % ENTRIES;
  for (unsigned i = 0; i < ENTRIES; i++)
    simulation->silent_to[i] = i != hearer;
  simulation->says[0].leaves = true;
  advance (simulation, 3000);
  g_assert_cmpuint (simulation->told->len, ==, 1);
  g_assert_cmpuint (simulation->sent_unwanted, ==, 0);
  g_assert_cmpuint (simulation->errors, ==, 0);
  close_simulation (simulation);
}

/* The same while one datagram in three is lost, and the granter is cut off and another one takes over. */
static void
test_leaving_hand_over (void)
{
  struct simulation *simulation = open_simulation ();
  unsigned granter = granter_index (simulation);
  for (unsigned i = 0; i < ENTRIES; i++)
    simulation->silent_to[i] = i != (granter + 1) % ENTRIES;
  simulation->fleet->loss_interval = 3;
  simulation->says[0].leaves = true;
  advance (simulation, 1000);
  simulation->fleet->entries[granter].is_disconnected = true;
  advance (simulation, 4000);
  simulation->fleet->entries[granter].is_disconnected = false;
  advance (simulation, 4000);
  g_assert_cmpuint (simulation->told->len, ==, 1);
  g_assert_cmpuint (simulation->sent_unwanted, ==, 0);
  close_simulation (simulation);
}

/* The platform does not respond, and an entry without news lists the server from its older copy. */
static void
test_leaving_platform_down (void)
{
  struct simulation *simulation = open_simulation ();
  for (unsigned i = 0; i < ENTRIES; i++)
    simulation->fleet->entries[i].platform_unreachable = true;
  simulation->says[0].leaves = true;
  advance (simulation, 500);
  unsigned sent = simulation->sent[0];
  for (unsigned i = 0; i < ENTRIES; i++)
    fleet_report_full_list (&simulation->fleet->entries[i]);
  advance (simulation, 3000);
  g_assert_cmpuint (simulation->sent[0], ==, sent);
  g_assert_cmpuint (simulation->sent_unwanted, ==, 0);
  close_simulation (simulation);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/restrictions/leaving-all", test_leaving_all);
  g_test_add_func ("/restrictions/leaving-one-entry", test_leaving_one_entry);
  g_test_add_func ("/restrictions/leaving-hand-over", test_leaving_hand_over);
  g_test_add_func ("/restrictions/leaving-platform-down", test_leaving_platform_down);
  return g_test_run ();
}
