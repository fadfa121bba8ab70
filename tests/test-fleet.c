/*
 * Simulates many entries in one process, to test how roles are assigned and how
 * the directory of backend servers spreads. Each entry is a reducer of its own,
 * datagrams pass through a queue that can lose them, and a fake platform reports
 * directory changes to the entries that watch it.
 */
#include <glib.h>
#include <string.h>

#include "hf-base.h"
#include "hf-reduce.h"
#include "hf-roles.h"
#include "hf-state.h"
#include "hf-wire.h"

/* --- constants --- */

#define ENTRIES_MAX           160
#define STEP_MS               10
#define REACHABILITY_CHECK_MS 500 /* between an entry's checks whether the platform responds */
#define SERVERS_MAX           400
#define PROPAGATION_MAX_MS    2000 /* until every entry has applied a change */
#define STARTUP_MS            4000 /* until all entries have exchanged heartbeats and their roles are stable */

/* --- types --- */

struct entry
{
  struct fleet *fleet;
  struct hf_state *state;
  char name[16];
  char failure_domain[16];
  char address[32];
  enum hf_watch_mode watch_mode;
  unsigned datagrams_sent;
  bool is_disconnected;      /* no datagram reaches it or leaves it */
  bool platform_unreachable; /* the platform does not respond to it */
  bool watch_hangs;          /* its watch delivers nothing, although its checks of the platform succeed */
  uint64_t revision;         /* directory revision that the platform has reported to it */
  unsigned heartbeats_sent;
  int64_t link_free_at; /* time when its datagrams so far have been sent */
};

struct datagram
{
  unsigned to;
  unsigned from;
  size_t size;
  int64_t due_at;
  char bytes[HF_WIRE_BYTES_MAX];
};

/* A backend server in the platform's directory, and the revision of its last change. */
struct backend_server
{
  bool listed;
  bool draining;
  uint64_t revision;
};

struct fleet
{
  struct entry entries[ENTRIES_MAX];
  unsigned entry_count;
  GQueue *datagrams;
  int64_t now;
  unsigned loss_interval; /* one datagram in this many is lost; 0: none */
  unsigned loss_counter;
  struct backend_server servers[SERVERS_MAX];
  uint64_t revision;
  int64_t link_bytes_per_ms; /* bandwidth of each entry's link; 0: unlimited */
  unsigned watch_starts;     /* how often an entry began to watch the platform */
};

/* --- internal functions: events and effects --- */

static void
send_datagram (struct entry *entry, const struct hf_effect *effect)
{
  struct fleet *fleet = entry->fleet;
  entry->datagrams_sent++;
  entry->heartbeats_sent += effect->message.body.kind == HF_RPC_HEARTBEAT;
  for (unsigned i = 0; i < fleet->entry_count; i++)
    {
      if (!hf_str_equal (hf_str (fleet->entries[i].address), effect->address))
        continue;
      struct datagram *datagram = g_new (struct datagram, 1);
      datagram->to = i;
      datagram->from = (unsigned) (entry - fleet->entries);
      datagram->size = hf_wire_encode (&effect->message, datagram->bytes, sizeof datagram->bytes);
      g_assert_cmpuint (datagram->size, >, 0);
      datagram->due_at = MAX (fleet->now, entry->link_free_at);
      if (fleet->link_bytes_per_ms > 0)
        datagram->due_at += (int64_t) datagram->size * HF_MS / fleet->link_bytes_per_ms;
      entry->link_free_at = datagram->due_at;
      g_queue_push_tail (fleet->datagrams, datagram);
    }
}

static void
raise_event (struct entry *entry, struct hf_event event)
{
  struct hf_effects effects;
  hf_effects_init (&effects);
  event.now = entry->fleet->now;
  hf_reduce (entry->state, &event, &effects);
  for (guint i = 0; i < effects.items->len; i++)
    {
      const struct hf_effect *effect = &g_array_index (effects.items, struct hf_effect, i);
      if (effect->kind == HF_EFFECT_SEND_MESSAGE)
        send_datagram (entry, effect);
      if (effect->kind != HF_EFFECT_SET_WATCH)
        continue;
      entry->fleet->watch_starts += effect->watch_mode == HF_WATCH_MODE_ON && entry->watch_mode != HF_WATCH_MODE_ON;
      entry->watch_mode = effect->watch_mode;
      entry->revision = MAX (entry->revision, effect->revision);
    }
  hf_effects_close (&effects);
}

static void
deliver (struct fleet *fleet, struct datagram *datagram)
{
  struct entry *to = &fleet->entries[datagram->to];
  const struct entry *from = &fleet->entries[datagram->from];
  bool lost = fleet->loss_interval > 0 && ++fleet->loss_counter % fleet->loss_interval == 0;
  struct hf_rpc_message message;
  if (to->is_disconnected || from->is_disconnected || lost)
    return;
  g_assert_true (hf_wire_decode ((struct hf_str){ datagram->bytes, datagram->size }, &message, NULL));
  raise_event (to, (struct hf_event){ .kind = HF_EVENT_PEER_MESSAGE,
                                      .peer = { .message = &message, .address = hf_str (from->address) } });
  hf_wire_free (&message);
}

/* --- internal functions: fake platform --- */

static void
report_server (struct entry *entry, unsigned i)
{
  const struct backend_server *server = &entry->fleet->servers[i];
  char name[16];
  char address[32];
  g_snprintf (name, sizeof name, "s%u", i);
  g_snprintf (address, sizeof address, "10.1.0.%u:80", i % 200 + 1);
  raise_event (entry, (struct hf_event){ .kind = HF_EVENT_SERVER_REPORT,
                                         .report = { .name = hf_str (name),
                                                     .service = hf_str ("a"),
                                                     .address = hf_str (address),
                                                     .failure_domain = hf_str ("d0"),
                                                     .slots = 3,
                                                     .incarnation = 1,
                                                     .draining = server->draining,
                                                     .removed = !server->listed } });
}

static void
raise_list_step (struct entry *entry, enum hf_list_step step, uint64_t revision)
{
  raise_event (entry, (struct hf_event){ .kind = HF_EVENT_LIST_STEP, .list_step = step, .revision = revision });
}

/* Reports the changes since the last report to this entry. */
static void
report_changes (struct entry *entry)
{
  struct fleet *fleet = entry->fleet;
  if (entry->watch_mode != HF_WATCH_MODE_ON || entry->platform_unreachable || entry->watch_hangs
      || entry->revision >= fleet->revision)
    return;
  raise_list_step (entry, HF_LIST_REACHABLE, 0);
  for (unsigned i = 0; i < SERVERS_MAX; i++)
    if (fleet->servers[i].revision > entry->revision)
      report_server (entry, i);
  entry->revision = fleet->revision;
  raise_list_step (entry, HF_LIST_PROGRESS, entry->revision);
}

/* Reports all servers that are listed, as the response to a list call. */
static void
report_full_list (struct entry *entry)
{
  raise_list_step (entry, HF_LIST_BEGIN, 0);
  for (unsigned i = 0; i < SERVERS_MAX; i++)
    if (entry->fleet->servers[i].listed)
      report_server (entry, i);
  entry->revision = entry->fleet->revision;
  raise_list_step (entry, HF_LIST_END, entry->revision);
}

static void
change_server (struct fleet *fleet, unsigned i, struct backend_server server)
{
  server.revision = ++fleet->revision;
  fleet->servers[i] = server;
}

/* --- internal functions: the fleet --- */

/* Advances the time in steps: delivers the datagrams that are due, then ticks every entry. */
static void
advance (struct fleet *fleet, int64_t ms)
{
  for (int64_t end = fleet->now + ms * HF_MS; fleet->now < end;)
    {
      guint queued = g_queue_get_length (fleet->datagrams);
      fleet->now += STEP_MS * HF_MS;
      for (guint i = 0; i < queued; i++)
        {
          struct datagram *datagram = g_queue_pop_head (fleet->datagrams);
          if (datagram->due_at > fleet->now)
            {
              g_queue_push_tail (fleet->datagrams, datagram);
              continue;
            }
          deliver (fleet, datagram);
          g_free (datagram);
        }
      for (unsigned i = 0; i < fleet->entry_count; i++)
        {
          struct entry *entry = &fleet->entries[i];
          bool is_check_due = entry->watch_mode != HF_WATCH_MODE_OFF
                              && (fleet->now / HF_MS + i * STEP_MS) % REACHABILITY_CHECK_MS == 0;
          raise_event (entry, (struct hf_event){ .kind = HF_EVENT_TICK });
          if (is_check_due)
            raise_list_step (entry, entry->platform_unreachable ? HF_LIST_UNREACHABLE : HF_LIST_REACHABLE, 0);
          report_changes (entry);
        }
    }
}

static void
open_entry (struct fleet *fleet, unsigned i, unsigned domains, double cpu_share)
{
  struct entry *entry = &fleet->entries[i];
  *entry = (struct entry){ .fleet = fleet };
  g_snprintf (entry->name, sizeof entry->name, "e%u", i);
  g_snprintf (entry->failure_domain, sizeof entry->failure_domain, "d%u", i % domains);
  g_snprintf (entry->address, sizeof entry->address, "10.0.%u.%u:7000", i / 100, i % 100 + 1);
  struct hf_settings settings = { .name = hf_str (entry->name),
                                  .failure_domain = hf_str (entry->failure_domain),
                                  .peer_address = hf_str (entry->address),
                                  .cpu_share = cpu_share,
                                  .store_address = hf_str ("10.9.0.1:1") };
  entry->state = hf_state_new (&settings, i + 1);
  raise_event (entry, (struct hf_event){ .kind = HF_EVENT_START });
}

static void
report_initial_lists (struct fleet *fleet, struct entry *entry)
{
  for (unsigned i = 0; i < fleet->entry_count; i++)
    {
      const struct entry *other = &fleet->entries[i];
      raise_event (entry, (struct hf_event){ .kind = HF_EVENT_ENTRY_REPORT,
                                             .entry = { .name = hf_str (other->name),
                                                        .address = hf_str (other->address),
                                                        .failure_domain = hf_str (other->failure_domain),
                                                        .cpu_share = other->state->cpu_share } });
    }
  report_full_list (entry);
  raise_list_step (entry, HF_LIST_ENTRIES_END, 0);
}

/* The first @large_per_domain entries of each failure domain have five times the processor time of the others. */
static struct fleet *
open_fleet (unsigned entries, unsigned domains, unsigned large_per_domain)
{
  struct fleet *fleet = g_new0 (struct fleet, 1);
  fleet->entry_count = entries;
  fleet->now = HF_SEC;
  fleet->datagrams = g_queue_new ();
  for (unsigned i = 0; i < 30; i++)
    change_server (fleet, i, (struct backend_server){ .listed = true });
  for (unsigned i = 0; i < entries; i++)
    open_entry (fleet, i, domains, i < large_per_domain * domains ? 0.5 : 0.1);
  for (unsigned i = 0; i < entries; i++)
    report_initial_lists (fleet, &fleet->entries[i]);
  advance (fleet, STARTUP_MS);
  return fleet;
}

static void
close_fleet (struct fleet *fleet)
{
  for (unsigned i = 0; i < fleet->entry_count; i++)
    hf_state_free (fleet->entries[i].state);
  g_queue_free_full (fleet->datagrams, g_free);
  g_free (fleet);
}

static unsigned
count_active_watches (const struct fleet *fleet)
{
  unsigned n = 0;
  for (unsigned i = 0; i < fleet->entry_count; i++)
    n += fleet->entries[i].watch_mode == HF_WATCH_MODE_ON;
  return n;
}

static unsigned
count_watchers (const struct fleet *fleet, unsigned domains, unsigned domain)
{
  unsigned n = 0;
  for (unsigned i = domain; i < fleet->entry_count; i += domains)
    n += fleet->entries[i].state->roles.is_watcher;
  return n;
}

/* Every entry that is not disconnected has exactly the servers that the platform lists. */
static void
check_directories (const struct fleet *fleet)
{
  for (unsigned i = 0; i < fleet->entry_count; i++)
    {
      const struct hf_directory *directory = &fleet->entries[i].state->directory;
      if (fleet->entries[i].is_disconnected)
        continue;
      for (unsigned server = 0; server < SERVERS_MAX; server++)
        {
          char name[16];
          g_snprintf (name, sizeof name, "s%u", server);
          bool is_listed = g_hash_table_contains (directory->servers, name);
          if (is_listed != fleet->servers[server].listed)
            g_error ("directory of entry %s %s %s at revision %d, the platform is at %d; the test stops",
                     fleet->entries[i].name, is_listed ? "still lists" : "misses", name, (int) directory->revision,
                     (int) fleet->revision);
        }
    }
}

/* --- tests: roles --- */

/* In a small fleet all entries are coordinators, and two in each failure domain watch the platform. */
static void
test_small_fleet (void)
{
  struct fleet *fleet = open_fleet (19, 3, 0);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    {
      const struct hf_state *state = fleet->entries[i].state;
      g_assert_true (state->roles.is_coordinator);
      g_assert_cmpuint (state->roles.granters->len, ==, 19);
      for (uint64_t subject = 1; subject < 50; subject++)
        g_assert_cmpuint (hf_roles_granter (state, subject), ==, hf_roles_granter (fleet->entries[0].state, subject));
    }
  for (unsigned domain = 0; domain < 3; domain++)
    g_assert_cmpuint (count_watchers (fleet, 3, domain), ==, 2);
  g_assert_cmpuint (count_active_watches (fleet), ==, 6);
  close_fleet (fleet);
}

/* In a large fleet the entries with more processor time are the granters, all entries agree on them, and an entry
 * without a role exchanges heartbeats with few others. */
static void
test_large_fleet (void)
{
  struct fleet *fleet = open_fleet (139, 3, 2);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    {
      const struct hf_state *state = fleet->entries[i].state;
      g_assert_cmpuint (state->roles.granters->len, ==, 6);
      for (uint64_t subject = 1; subject < 50; subject++)
        g_assert_cmpuint (hf_roles_granter (state, subject), <=, 6);
      fleet->entries[i].heartbeats_sent = 0;
    }
  g_assert_cmpuint (count_active_watches (fleet), ==, 6);
  advance (fleet, 3000);
  /* In 3 s two heartbeats per second to each of 9 coordinators. */
  for (unsigned i = 0; i < fleet->entry_count; i++)
    if (!fleet->entries[i].state->roles.is_coordinator)
      g_assert_cmpuint (fleet->entries[i].heartbeats_sent, <=, 3 * 2 * 9);
  close_fleet (fleet);
}

/* Without any large entry, some entries of each failure domain are granters and watchers. */
static void
test_equal_fleet (void)
{
  struct fleet *fleet = open_fleet (90, 3, 0);
  g_assert_cmpuint (fleet->entries[0].state->roles.granters->len, ==, 6);
  for (unsigned domain = 0; domain < 3; domain++)
    g_assert_cmpuint (count_watchers (fleet, 3, domain), ==, 2);
  close_fleet (fleet);
}

/* When all large entries are lost, others take over their roles; when they return they get their roles back. */
static void
test_large_lost (void)
{
  struct fleet *fleet = open_fleet (60, 3, 2);
  for (unsigned i = 0; i < 6; i++)
    fleet->entries[i].is_disconnected = true;
  advance (fleet, 8000);
  for (unsigned i = 6; i < fleet->entry_count; i++)
    for (uint64_t subject = 1; subject < 50; subject++)
      {
        uint64_t granter = hf_roles_granter (fleet->entries[i].state, subject);
        g_assert_cmpuint (granter, >, 6);
        g_assert_cmpuint (granter, ==, hf_roles_granter (fleet->entries[6].state, subject));
      }
  for (unsigned i = 0; i < 6; i++)
    fleet->entries[i].is_disconnected = false;
  advance (fleet, 5000);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    for (uint64_t subject = 1; subject < 50; subject++)
      g_assert_cmpuint (hf_roles_granter (fleet->entries[i].state, subject), <=, 6);
  close_fleet (fleet);
}

/* --- tests: the directory --- */

/* A change reaches all entries within 100 ms, and none but the watchers begins to watch the platform. */
static void
test_changes (void)
{
  struct fleet *fleet = open_fleet (60, 3, 2);
  fleet->watch_starts = 0;
  change_server (fleet, 3, (struct backend_server){ 0 });
  change_server (fleet, 200, (struct backend_server){ .listed = true });
  advance (fleet, 100);
  check_directories (fleet);
  advance (fleet, 5000);
  g_assert_cmpuint (fleet->watch_starts, ==, 0);
  close_fleet (fleet);
}

/* Both watchers of a failure domain send an update of more than one datagram at the same time. The datagrams of the
 * two updates arrive interleaved; no change may get lost. */
static void
test_many_changes (void)
{
  struct fleet *fleet = open_fleet (60, 3, 2);
  for (unsigned i = 40; i < SERVERS_MAX; i++)
    change_server (fleet, i, (struct backend_server){ .listed = true });
  advance (fleet, 300);
  check_directories (fleet);
  close_fleet (fleet);
}

/* One datagram in three is lost; added and removed servers still reach all entries in time. */
static void
test_lost_datagrams (void)
{
  struct fleet *fleet = open_fleet (60, 3, 2);
  fleet->loss_interval = 3;
  for (unsigned round = 0; round < 10; round++)
    {
      change_server (fleet, round, (struct backend_server){ 0 });
      change_server (fleet, 100 + round, (struct backend_server){ .listed = true });
      advance (fleet, PROPAGATION_MAX_MS);
      check_directories (fleet);
    }
  close_fleet (fleet);
}

/* The watchers list the directory again instead of watching it, and so see no removal. Servers that are missing from
 * the list must be removed at the other entries, too. */
static void
test_relisting (void)
{
  struct fleet *fleet = open_fleet (60, 3, 2);
  change_server (fleet, 3, (struct backend_server){ 0 });
  change_server (fleet, 200, (struct backend_server){ .listed = true });
  for (unsigned i = 0; i < fleet->entry_count; i++)
    if (fleet->entries[i].watch_mode == HF_WATCH_MODE_ON)
      report_full_list (&fleet->entries[i]);
  advance (fleet, PROPAGATION_MAX_MS);
  check_directories (fleet);
  close_fleet (fleet);
}

/* The platform does not respond to the watchers of one failure domain: other entries take over their role. */
static void
test_unreachable_platform (void)
{
  struct fleet *fleet = open_fleet (60, 3, 2);
  for (unsigned i = 0; i < fleet->entry_count; i += 3)
    fleet->entries[i].platform_unreachable = fleet->entries[i].state->roles.is_watcher;
  change_server (fleet, 3, (struct backend_server){ 0 });
  advance (fleet, PROPAGATION_MAX_MS);
  check_directories (fleet);
  advance (fleet, 3000);
  g_assert_cmpuint (count_active_watches (fleet), <=, 10);
  close_fleet (fleet);
}

/* The watchers are disconnected, and their loss is not detected yet: entries that receive no updates watch the
 * platform themselves, and few of them still do so later. */
static void
test_watchers_lost (void)
{
  struct fleet *fleet = open_fleet (60, 3, 2);
  for (unsigned i = 0; i < 6; i++)
    fleet->entries[i].is_disconnected = true;
  advance (fleet, 50);
  change_server (fleet, 3, (struct backend_server){ 0 });
  advance (fleet, PROPAGATION_MAX_MS);
  check_directories (fleet);
  advance (fleet, 15000);
  for (unsigned i = 0; i < 6; i++)
    g_assert_cmpuint (fleet->entries[i].watch_mode, ==, HF_WATCH_MODE_ON);
  g_assert_cmpuint (count_active_watches (fleet), <=, 6 + 6);
  close_fleet (fleet);
}

/* The platform responds to no entry for a time: entries only check whether it is reachable. Once it is, the watchers
 * send the changes, and few other entries begin a watch. */
static void
test_platform_outage (void)
{
  struct fleet *fleet = open_fleet (60, 3, 2);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    fleet->entries[i].platform_unreachable = true;
  advance (fleet, 6000);
  change_server (fleet, 200, (struct backend_server){ .listed = true });
  fleet->watch_starts = 0;
  for (unsigned i = 0; i < fleet->entry_count; i++)
    fleet->entries[i].platform_unreachable = false;
  advance (fleet, PROPAGATION_MAX_MS);
  check_directories (fleet);
  g_assert_cmpuint (fleet->watch_starts, <=, 20);
  close_fleet (fleet);
}

/* An entry that was paused or disconnected for a time receives the changes that it missed. */
static void
test_rejoined (void)
{
  struct fleet *fleet = open_fleet (60, 3, 2);
  struct entry *entry = &fleet->entries[30];
  entry->is_disconnected = true;
  entry->platform_unreachable = true;
  advance (fleet, 3000);
  for (unsigned i = 50; i < 90; i++)
    change_server (fleet, i, (struct backend_server){ .listed = true });
  change_server (fleet, 3, (struct backend_server){ 0 });
  advance (fleet, 3000);
  entry->is_disconnected = false;
  entry->platform_unreachable = false;
  /* Servers that were removed meanwhile stay in its directory until the grace period after the outage is over. */
  advance (fleet, PROPAGATION_MAX_MS + HF_DIRECTORY_OUTAGE_GRACE_MS);
  check_directories (fleet);
  close_fleet (fleet);
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
  struct fleet *fleet = open_fleet (19, 3, 0);
  hang_watches (fleet, 3, 1);
  change_server (fleet, 3, (struct backend_server){ 0 });
  advance (fleet, PROPAGATION_MAX_MS);
  check_directories (fleet);
  close_fleet (fleet);
}

/* The watches of both watchers of a failure domain hang: heartbeats from other failure domains carry a higher revision,
 * so the entries request the changes from there. */
static void
test_hanging_watches (void)
{
  struct fleet *fleet = open_fleet (60, 3, 2);
  hang_watches (fleet, 3, 2);
  change_server (fleet, 3, (struct backend_server){ 0 });
  advance (fleet, PROPAGATION_MAX_MS);
  check_directories (fleet);
  close_fleet (fleet);
}

/* A configuration document of some tens of kilobytes. */
static char *
large_document (void)
{
  GString *text = g_string_new ("{version: 1, services: [{name: a, directory: true}], routes: [");
  for (unsigned i = 0; i < 300; i++)
    g_string_append_printf (text,
                            "%s{name: r%u, host: h.example, path_prefix: /p%u/, class: {name: c%u}, parts: [{service: "
                            "a}]}",
                            i ? ", " : "", i, i, i);
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

/* One entry gets a large document first, and all others pull it concurrently over its link of 10 Mbit/s. Repeated
 * requests must not overload the link: all entries have the document in time. */
static void
test_small_link (void)
{
  struct fleet *fleet = open_fleet (60, 3, 0);
  char *text = large_document ();
  struct entry *source = &fleet->entries[0];
  for (unsigned i = 0; i < fleet->entry_count; i++)
    if (fleet->entries[i].state->roles.is_watcher)
      source = &fleet->entries[i];
  fleet->link_bytes_per_ms = 1250;
  raise_event (source,
               (struct hf_event){ .kind = HF_EVENT_DOCUMENT, .document = { .generation = 7, .text = hf_str (text) } });
  g_assert_nonnull (source->state->document);
  advance (fleet, PROPAGATION_MAX_MS);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    {
      const struct hf_document *document = fleet->entries[i].state->document;
      g_assert_true (document && document->generation == 7);
    }
  g_free (text);
  close_fleet (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/roles/small-fleet", test_small_fleet);
  g_test_add_func ("/roles/large-fleet", test_large_fleet);
  g_test_add_func ("/roles/equal-fleet", test_equal_fleet);
  g_test_add_func ("/roles/large-lost", test_large_lost);
  g_test_add_func ("/relay/changes", test_changes);
  g_test_add_func ("/relay/many-changes", test_many_changes);
  g_test_add_func ("/relay/lost-datagrams", test_lost_datagrams);
  g_test_add_func ("/relay/listed-anew", test_relisting);
  g_test_add_func ("/relay/blind-watchers", test_unreachable_platform);
  g_test_add_func ("/relay/watchers-gone", test_watchers_lost);
  g_test_add_func ("/relay/platform-away", test_platform_outage);
  g_test_add_func ("/relay/returned", test_rejoined);
  g_test_add_func ("/relay/hanging-watch", test_hanging_watch);
  g_test_add_func ("/relay/hanging-watches", test_hanging_watches);
  g_test_add_func ("/relay/small-link", test_small_link);
  return g_test_run ();
}
