/*
 * Many entries in one process: each is a reducer of its own, datagrams go
 * through a queue that can lose them, and a stand-in for the platform tells
 * changes of the directory to those entries that follow it.
 */
#include <glib.h>
#include <string.h>

#include "hf-base.h"
#include "hf-reduce.h"
#include "hf-roles.h"
#include "hf-state.h"
#include "hf-wire.h"

/* --- constants --- */

#define ENTRIES_MAX 160
#define STEP_MS     10
#define PULSE_MS    500 /* between answers of the platform that an entry hears */
#define SERVERS_MAX 400
#define CONFIG_MS   2000 /* bound for a change to be known everywhere */
#define STARTED_MS  4000

/* --- types --- */

struct node
{
  struct fleet *fleet;
  struct hf_state *state;
  char name[16];
  char domain[16];
  char address[32];
  enum hf_watch_mode follow;
  unsigned sent;       /* datagrams */
  bool is_cut;         /* no datagram reaches it or leaves it */
  bool is_blind;       /* the platform does not answer it */
  bool hangs;          /* its watch says nothing, though the platform answers otherwise */
  uint64_t revision;   /* told by the platform so far */
  unsigned heartbeats; /* sent */
  int64_t link_free_at;
};

struct datagram
{
  unsigned to;
  unsigned from;
  size_t size;
  int64_t due;
  char bytes[HF_WIRE_BYTES_MAX];
};

/* A backend server of the directory, and when it changed. */
struct backend_server
{
  bool listed;
  bool leaving;
  uint64_t revision;
};

struct fleet
{
  struct node nodes[ENTRIES_MAX];
  unsigned n;
  GQueue *datagrams;
  int64_t now;
  unsigned lose_one_in; /* 0: none */
  unsigned counted;
  struct backend_server servers[SERVERS_MAX];
  uint64_t revision;
  int64_t link_bytes_ms; /* that one entry sends at most; 0: any number */
  unsigned follows;      /* how often an entry began to follow the platform */
};

/* --- internal functions: events and effects --- */

static void
send_datagram (struct node *node, const struct hf_effect *effect)
{
  struct fleet *fleet = node->fleet;
  node->sent++;
  node->heartbeats += effect->message.body.kind == HF_RPC_HEARTBEAT;
  for (unsigned i = 0; i < fleet->n; i++)
    {
      if (!hf_str_equal (hf_str (fleet->nodes[i].address), effect->address))
        continue;
      struct datagram *datagram = g_new (struct datagram, 1);
      datagram->to = i;
      datagram->from = (unsigned) (node - fleet->nodes);
      datagram->size = hf_wire_encode (&effect->message, datagram->bytes, sizeof datagram->bytes);
      g_assert_cmpuint (datagram->size, >, 0);
      datagram->due = MAX (fleet->now, node->link_free_at);
      if (fleet->link_bytes_ms > 0)
        datagram->due += (int64_t) datagram->size * HF_MS / fleet->link_bytes_ms;
      node->link_free_at = datagram->due;
      g_queue_push_tail (fleet->datagrams, datagram);
    }
}

static void
raise_at (struct node *node, struct hf_event event)
{
  struct hf_effects effects;
  hf_effects_init (&effects);
  event.now = node->fleet->now;
  hf_reduce (node->state, &event, &effects);
  for (guint i = 0; i < effects.items->len; i++)
    {
      const struct hf_effect *effect = &g_array_index (effects.items, struct hf_effect, i);
      if (effect->kind == HF_EFFECT_SEND_MESSAGE)
        send_datagram (node, effect);
      if (effect->kind != HF_EFFECT_SET_WATCH)
        continue;
      node->fleet->follows += effect->watch_mode == HF_WATCH_MODE_ON && node->follow != HF_WATCH_MODE_ON;
      node->follow = effect->watch_mode;
      node->revision = MAX (node->revision, effect->revision);
    }
  hf_effects_close (&effects);
}

static void
deliver (struct fleet *fleet, struct datagram *datagram)
{
  struct node *to = &fleet->nodes[datagram->to];
  const struct node *from = &fleet->nodes[datagram->from];
  bool lost = fleet->lose_one_in > 0 && ++fleet->counted % fleet->lose_one_in == 0;
  struct hf_rpc_message message;
  if (to->is_cut || from->is_cut || lost)
    return;
  g_assert_true (hf_wire_decode ((struct hf_str){ datagram->bytes, datagram->size }, &message, NULL));
  raise_at (to, (struct hf_event){ .kind = HF_EVENT_PEER_MESSAGE,
                                   .peer = { .message = &message, .address = hf_str (from->address) } });
  hf_wire_free (&message);
}

/* --- internal functions: the platform --- */

static void
report_server (struct node *node, unsigned i)
{
  const struct backend_server *server = &node->fleet->servers[i];
  char name[16];
  char address[32];
  g_snprintf (name, sizeof name, "s%u", i);
  g_snprintf (address, sizeof address, "10.1.0.%u:80", i % 200 + 1);
  raise_at (node, (struct hf_event){ .kind = HF_EVENT_SERVER_REPORT,
                                     .report = { .name = hf_str (name),
                                                 .service = hf_str ("a"),
                                                 .address = hf_str (address),
                                                 .failure_domain = hf_str ("d0"),
                                                 .slots = 3,
                                                 .incarnation = 1,
                                                 .draining = server->leaving,
                                                 .removed = !server->listed } });
}

static void
raise_list (struct node *node, enum hf_list_step step, uint64_t revision)
{
  raise_at (node, (struct hf_event){ .kind = HF_EVENT_LIST_STEP, .list_step = step, .revision = revision });
}

/* Tells what changed since the entry heard of the platform last. */
static void
tell_changes (struct node *node)
{
  struct fleet *fleet = node->fleet;
  if (node->follow != HF_WATCH_MODE_ON || node->is_blind || node->hangs || node->revision >= fleet->revision)
    return;
  raise_list (node, HF_LIST_REACHABLE, 0);
  for (unsigned i = 0; i < SERVERS_MAX; i++)
    if (fleet->servers[i].revision > node->revision)
      report_server (node, i);
  node->revision = fleet->revision;
  raise_list (node, HF_LIST_PROGRESS, node->revision);
}

static void
list_all (struct node *node)
{
  raise_list (node, HF_LIST_BEGIN, 0);
  for (unsigned i = 0; i < SERVERS_MAX; i++)
    if (node->fleet->servers[i].listed)
      report_server (node, i);
  node->revision = node->fleet->revision;
  raise_list (node, HF_LIST_END, node->revision);
}

static void
change_server (struct fleet *fleet, unsigned i, struct backend_server server)
{
  server.revision = ++fleet->revision;
  fleet->servers[i] = server;
}

/* --- internal functions: the fleet --- */

static void
advance (struct fleet *fleet, int64_t ms)
{
  for (int64_t end = fleet->now + ms * HF_MS; fleet->now < end;)
    {
      guint due = g_queue_get_length (fleet->datagrams);
      fleet->now += STEP_MS * HF_MS;
      for (guint i = 0; i < due; i++)
        {
          struct datagram *datagram = g_queue_pop_head (fleet->datagrams);
          if (datagram->due > fleet->now)
            {
              g_queue_push_tail (fleet->datagrams, datagram);
              continue;
            }
          deliver (fleet, datagram);
          g_free (datagram);
        }
      for (unsigned i = 0; i < fleet->n; i++)
        {
          struct node *node = &fleet->nodes[i];
          bool asks = node->follow != HF_WATCH_MODE_OFF && (fleet->now / HF_MS + i * STEP_MS) % PULSE_MS == 0;
          raise_at (node, (struct hf_event){ .kind = HF_EVENT_TICK });
          if (asks)
            raise_list (node, node->is_blind ? HF_LIST_UNREACHABLE : HF_LIST_REACHABLE, 0);
          tell_changes (node);
        }
    }
}

static void
open_node (struct fleet *fleet, unsigned i, unsigned domains, double cpu_share)
{
  struct node *node = &fleet->nodes[i];
  *node = (struct node){ .fleet = fleet };
  g_snprintf (node->name, sizeof node->name, "e%u", i);
  g_snprintf (node->domain, sizeof node->domain, "d%u", i % domains);
  g_snprintf (node->address, sizeof node->address, "10.0.%u.%u:7000", i / 100, i % 100 + 1);
  struct hf_settings settings = { .name = hf_str (node->name),
                                  .failure_domain = hf_str (node->domain),
                                  .peers = hf_str (node->address),
                                  .cpu_share = cpu_share,
                                  .store = hf_str ("10.9.0.1:1") };
  node->state = hf_state_new (&settings, i + 1);
  raise_at (node, (struct hf_event){ .kind = HF_EVENT_START });
}

static void
introduce (struct fleet *fleet, struct node *node)
{
  for (unsigned i = 0; i < fleet->n; i++)
    {
      const struct node *other = &fleet->nodes[i];
      raise_at (node, (struct hf_event){ .kind = HF_EVENT_ENTRY_REPORT,
                                         .entry = { .name = hf_str (other->name),
                                                    .address = hf_str (other->address),
                                                    .failure_domain = hf_str (other->domain),
                                                    .cpu_share = other->state->cpu_share } });
    }
  list_all (node);
  raise_list (node, HF_LIST_ENTRIES_END, 0);
}

/* Entries with @large of the processor time of the others come first in each failure domain. */
static struct fleet *
open_fleet (unsigned entries, unsigned domains, unsigned large_each)
{
  struct fleet *fleet = g_new0 (struct fleet, 1);
  fleet->n = entries;
  fleet->now = HF_SEC;
  fleet->datagrams = g_queue_new ();
  for (unsigned i = 0; i < 30; i++)
    change_server (fleet, i, (struct backend_server){ .listed = true });
  for (unsigned i = 0; i < entries; i++)
    open_node (fleet, i, domains, i < large_each * domains ? 0.5 : 0.1);
  for (unsigned i = 0; i < entries; i++)
    introduce (fleet, &fleet->nodes[i]);
  advance (fleet, STARTED_MS);
  return fleet;
}

static void
close_fleet (struct fleet *fleet)
{
  for (unsigned i = 0; i < fleet->n; i++)
    hf_state_free (fleet->nodes[i].state);
  g_queue_free_full (fleet->datagrams, g_free);
  g_free (fleet);
}

static unsigned
count_following (const struct fleet *fleet)
{
  unsigned n = 0;
  for (unsigned i = 0; i < fleet->n; i++)
    n += fleet->nodes[i].follow == HF_WATCH_MODE_ON;
  return n;
}

static unsigned
count_watching (const struct fleet *fleet, unsigned domains, unsigned domain)
{
  unsigned n = 0;
  for (unsigned i = domain; i < fleet->n; i += domains)
    n += fleet->nodes[i].state->roles.is_watcher;
  return n;
}

/* Each entry that is not cut off lists just what the platform lists. */
static void
check_directories (const struct fleet *fleet)
{
  for (unsigned i = 0; i < fleet->n; i++)
    {
      const struct hf_directory *directory = &fleet->nodes[i].state->directory;
      if (fleet->nodes[i].is_cut)
        continue;
      for (unsigned server = 0; server < SERVERS_MAX; server++)
        {
          char name[16];
          g_snprintf (name, sizeof name, "s%u", server);
          bool known = g_hash_table_contains (directory->servers, name);
          if (known != fleet->servers[server].listed)
            g_error ("entry %s %s %s at revision %d of %d", fleet->nodes[i].name, known ? "still lists" : "misses",
                     name, (int) directory->revision, (int) fleet->revision);
        }
    }
}

/* --- tests: duties --- */

/* Of few entries all coordinate, and two in each failure domain follow the platform. */
static void
test_small_fleet (void)
{
  struct fleet *fleet = open_fleet (19, 3, 0);
  for (unsigned i = 0; i < fleet->n; i++)
    {
      const struct hf_state *state = fleet->nodes[i].state;
      g_assert_true (state->roles.is_coordinator);
      g_assert_cmpuint (state->roles.granters->len, ==, 19);
      for (uint64_t subject = 1; subject < 50; subject++)
        g_assert_cmpuint (hf_roles_granter (state, subject), ==, hf_roles_granter (fleet->nodes[0].state, subject));
    }
  for (unsigned domain = 0; domain < 3; domain++)
    g_assert_cmpuint (count_watching (fleet, 3, domain), ==, 2);
  g_assert_cmpuint (count_following (fleet), ==, 6);
  close_fleet (fleet);
}

/* In a large fleet those with more processor time grant, all agree on them, and an
 * entry without duties hears from and sends to few others. */
static void
test_large_fleet (void)
{
  struct fleet *fleet = open_fleet (139, 3, 2);
  for (unsigned i = 0; i < fleet->n; i++)
    {
      const struct hf_state *state = fleet->nodes[i].state;
      g_assert_cmpuint (state->roles.granters->len, ==, 6);
      for (uint64_t subject = 1; subject < 50; subject++)
        g_assert_cmpuint (hf_roles_granter (state, subject), <=, 6);
      fleet->nodes[i].heartbeats = 0;
    }
  g_assert_cmpuint (count_following (fleet), ==, 6);
  advance (fleet, 3000);
  for (unsigned i = 0; i < fleet->n; i++)
    if (!fleet->nodes[i].state->roles.is_coordinator)
      g_assert_cmpuint (fleet->nodes[i].heartbeats, <=, 3 * 2 * 9);
  close_fleet (fleet);
}

/* Without any large entry, some of each failure domain share the work. */
static void
test_equal_fleet (void)
{
  struct fleet *fleet = open_fleet (90, 3, 0);
  g_assert_cmpuint (fleet->nodes[0].state->roles.granters->len, ==, 6);
  for (unsigned domain = 0; domain < 3; domain++)
    g_assert_cmpuint (count_watching (fleet, 3, domain), ==, 2);
  close_fleet (fleet);
}

/* When all large entries are gone the next take over; when they are back they have their duties again. */
static void
test_large_lost (void)
{
  struct fleet *fleet = open_fleet (60, 3, 2);
  for (unsigned i = 0; i < 6; i++)
    fleet->nodes[i].is_cut = true;
  advance (fleet, 8000);
  for (unsigned i = 6; i < fleet->n; i++)
    for (uint64_t subject = 1; subject < 50; subject++)
      {
        uint64_t granter = hf_roles_granter (fleet->nodes[i].state, subject);
        g_assert_cmpuint (granter, >, 6);
        g_assert_cmpuint (granter, ==, hf_roles_granter (fleet->nodes[6].state, subject));
      }
  for (unsigned i = 0; i < 6; i++)
    fleet->nodes[i].is_cut = false;
  advance (fleet, 5000);
  for (unsigned i = 0; i < fleet->n; i++)
    for (uint64_t subject = 1; subject < 50; subject++)
      g_assert_cmpuint (hf_roles_granter (fleet->nodes[i].state, subject), <=, 6);
  close_fleet (fleet);
}

/* --- tests: the directory --- */

/* A change is known everywhere at once, and only the watchers ask the platform. */
static void
test_changes (void)
{
  struct fleet *fleet = open_fleet (60, 3, 2);
  fleet->follows = 0;
  change_server (fleet, 3, (struct backend_server){ 0 });
  change_server (fleet, 200, (struct backend_server){ .listed = true });
  advance (fleet, 100);
  check_directories (fleet);
  advance (fleet, 5000);
  g_assert_cmpuint (fleet->follows, ==, 0);
  close_fleet (fleet);
}

/* Both watchers tell more than one datagram holds at the same time; their parts mix. */
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

/* One datagram in three is lost; changes of any kind are still known in time. */
static void
test_lost_datagrams (void)
{
  struct fleet *fleet = open_fleet (60, 3, 2);
  fleet->lose_one_in = 3;
  for (unsigned round = 0; round < 10; round++)
    {
      change_server (fleet, round, (struct backend_server){ 0 });
      change_server (fleet, 100 + round, (struct backend_server){ .listed = true });
      advance (fleet, CONFIG_MS);
      check_directories (fleet);
    }
  close_fleet (fleet);
}

/* The watchers had to list anew: what they did not see go is gone for the others too. */
static void
test_listed_anew (void)
{
  struct fleet *fleet = open_fleet (60, 3, 2);
  change_server (fleet, 3, (struct backend_server){ 0 });
  change_server (fleet, 200, (struct backend_server){ .listed = true });
  for (unsigned i = 0; i < fleet->n; i++)
    if (fleet->nodes[i].follow == HF_WATCH_MODE_ON)
      list_all (&fleet->nodes[i]);
  advance (fleet, CONFIG_MS);
  check_directories (fleet);
  close_fleet (fleet);
}

/* The platform answers none of the watchers of one failure domain: others take their place. */
static void
test_blind_watchers (void)
{
  struct fleet *fleet = open_fleet (60, 3, 2);
  for (unsigned i = 0; i < fleet->n; i += 3)
    fleet->nodes[i].is_blind = fleet->nodes[i].state->roles.is_watcher;
  change_server (fleet, 3, (struct backend_server){ 0 });
  advance (fleet, CONFIG_MS);
  check_directories (fleet);
  advance (fleet, 3000);
  g_assert_cmpuint (count_following (fleet), <=, 10);
  close_fleet (fleet);
}

/* The watchers are gone, and nobody knows it yet: an entry that hears nothing asks the platform itself. */
static void
test_watchers_gone (void)
{
  struct fleet *fleet = open_fleet (60, 3, 2);
  for (unsigned i = 0; i < 6; i++)
    fleet->nodes[i].is_cut = true;
  advance (fleet, 50);
  change_server (fleet, 3, (struct backend_server){ 0 });
  advance (fleet, CONFIG_MS);
  check_directories (fleet);
  advance (fleet, 15000);
  for (unsigned i = 0; i < 6; i++)
    g_assert_cmpuint (fleet->nodes[i].follow, ==, HF_WATCH_MODE_ON);
  g_assert_cmpuint (count_following (fleet), <=, 6 + 6);
  close_fleet (fleet);
}

/* The platform answers nobody for a time: entries only ask whether it does, and when it is back the watchers tell. */
static void
test_platform_away (void)
{
  struct fleet *fleet = open_fleet (60, 3, 2);
  for (unsigned i = 0; i < fleet->n; i++)
    fleet->nodes[i].is_blind = true;
  advance (fleet, 6000);
  change_server (fleet, 200, (struct backend_server){ .listed = true });
  fleet->follows = 0;
  for (unsigned i = 0; i < fleet->n; i++)
    fleet->nodes[i].is_blind = false;
  advance (fleet, CONFIG_MS);
  check_directories (fleet);
  g_assert_cmpuint (fleet->follows, <=, 20);
  close_fleet (fleet);
}

/* An entry that was frozen, or cut off, learns what it missed. */
static void
test_returned (void)
{
  struct fleet *fleet = open_fleet (60, 3, 2);
  struct node *node = &fleet->nodes[30];
  node->is_cut = true;
  node->is_blind = true;
  advance (fleet, 3000);
  for (unsigned i = 50; i < 90; i++)
    change_server (fleet, i, (struct backend_server){ .listed = true });
  change_server (fleet, 3, (struct backend_server){ 0 });
  advance (fleet, 3000);
  node->is_cut = false;
  node->is_blind = false;
  /* What the platform took away meanwhile may be listed again for a time. */
  advance (fleet, CONFIG_MS + HF_DIRECTORY_OUTAGE_GRACE_MS);
  check_directories (fleet);
  close_fleet (fleet);
}

static void
hang_watches (struct fleet *fleet, unsigned domains, unsigned most)
{
  unsigned n = 0;
  for (unsigned i = 0; i < fleet->n && n < most; i += domains)
    {
      fleet->nodes[i].hangs = fleet->nodes[i].state->roles.is_watcher;
      n += fleet->nodes[i].hangs;
    }
  g_assert_cmpuint (n, ==, most);
}

/* The watch of one watcher hangs on a silent connection; the other one tells it, too. */
static void
test_hanging_watch (void)
{
  struct fleet *fleet = open_fleet (19, 3, 0);
  hang_watches (fleet, 3, 1);
  change_server (fleet, 3, (struct backend_server){ 0 });
  advance (fleet, CONFIG_MS);
  check_directories (fleet);
  close_fleet (fleet);
}

/* Those of both watchers of a failure domain hang: heartbeats from elsewhere show that there are changes. */
static void
test_hanging_watches (void)
{
  struct fleet *fleet = open_fleet (60, 3, 2);
  hang_watches (fleet, 3, 2);
  change_server (fleet, 3, (struct backend_server){ 0 });
  advance (fleet, CONFIG_MS);
  check_directories (fleet);
  close_fleet (fleet);
}

/* A document of some tens of kilobytes, which one entry with a small link learns first. */
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

/* All others ask for it at once, and its link does not collapse under repeated questions. */
static void
test_small_link (void)
{
  struct fleet *fleet = open_fleet (60, 3, 0);
  char *text = large_document ();
  struct node *first = &fleet->nodes[0];
  for (unsigned i = 0; i < fleet->n; i++)
    if (fleet->nodes[i].state->roles.is_watcher)
      first = &fleet->nodes[i];
  fleet->link_bytes_ms = 1250;
  raise_at (first,
            (struct hf_event){ .kind = HF_EVENT_DOCUMENT, .document = { .generation = 7, .text = hf_str (text) } });
  g_assert_nonnull (first->state->document);
  advance (fleet, CONFIG_MS);
  for (unsigned i = 0; i < fleet->n; i++)
    {
      const struct hf_document *document = fleet->nodes[i].state->document;
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
  g_test_add_func ("/relay/listed-anew", test_listed_anew);
  g_test_add_func ("/relay/blind-watchers", test_blind_watchers);
  g_test_add_func ("/relay/watchers-gone", test_watchers_gone);
  g_test_add_func ("/relay/platform-away", test_platform_away);
  g_test_add_func ("/relay/returned", test_returned);
  g_test_add_func ("/relay/hanging-watch", test_hanging_watch);
  g_test_add_func ("/relay/hanging-watches", test_hanging_watches);
  g_test_add_func ("/relay/small-link", test_small_link);
  return g_test_run ();
}
