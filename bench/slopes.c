/*
 * hf-slopes: measures how processor time, memory and message bytes of the
 * reducer grow with the numbers of services and entries, and those of a
 * document with the number of keys of organisations, for docs/CAPACITY.md.
 * Prints one CSV line per size.
 */
#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "harness.h"
#include "hf-document-pack.h"
#include "hf-organisations.h"
#include "hf-reduce.h"
#include "hf-state.h"
#include "hf-wire.h"

/* --- constants --- */

#define SERVERS_PER_SERVICE   7
#define KEYS_PER_ORGANISATION 10
#define KEY_BYTES             33 /* 32 characters, which do not compress to less than half, and a NUL */
#define LOOKUPS               1000000

/* --- internal functions --- */

static size_t
allocated_bytes (void)
{
  return mallinfo2 ().uordblks;
}

static char *
make_document (int services, int servers)
{
  GString *text = g_string_new ("version: 1\nentries_max: 200\nservices:\n");
  for (int s = 0; s < services; s++)
    {
      g_string_append_printf (text, "  - name: service-%d\n    path_prefix: /s%d/\n    servers:\n", s, s);
      for (int i = 0; i < servers; i++)
        g_string_append_printf (text,
                                "      - {name: b%d, address: \"10.%d.%d.%d:80\", failure_domain: "
                                "d%d, slots: 4}\n",
                                i, s / 250, s % 250, i, i % 18);
      g_string_append (text, "    classes:\n      - {name: read, methods: [GET], repeatable: "
                             "true, hedge: true}\n      - {name: write, methods: [POST]}\n");
    }
  return g_string_free (text, FALSE);
}

static void
raise_event (struct hf_state *state, struct hf_event event, size_t *sent_bytes)
{
  struct hf_effects effects;
  char buffer[HF_WIRE_BYTES_MAX];
  hf_effects_init (&effects);
  hf_reduce (state, &event, &effects);
  for (guint i = 0; i < effects.items->len; i++)
    {
      const struct hf_effect *effect = &g_array_index (effects.items, struct hf_effect, i);
      if (effect->kind == HF_EFFECT_SEND_MESSAGE)
        *sent_bytes += hf_wire_encode (&effect->message, buffer, sizeof buffer);
    }
  hf_effects_close (&effects);
}

static void
deliver_document (struct hf_state *state, uint64_t generation, const char *text, size_t *sent)
{
  struct hf_manifest manifest
      = { .generation = generation, .digest = hf_hash (hf_str (text), 0), .document = hf_str (text) };
  char *json = hf_manifest_to_json (generation, &manifest);
  char *line = g_strdup_printf ("{\"type\":\"MODIFIED\",\"object\":%s}", json);
  raise_event (state,
               (struct hf_event){ .kind = HF_EVENT_WATCH_LINE,
                                  .now = 1000,
                                  .platform = { .purpose = HF_PURPOSE_CONFIG, .data = hf_str (line) } },
               sent);
  g_free (line);
  g_free (json);
}

static struct hf_state *
start_state (const char *document, int entries, size_t *sent)
{
  struct hf_settings settings = { .name = hf_str ("vm-1"), .failure_domain = hf_str ("d1") };
  struct hf_state *state = hf_state_new (&settings, 1);
  raise_event (state, (struct hf_event){ .kind = HF_EVENT_START, .now = 1000 }, sent);
  deliver_document (state, 5, document, sent);
  for (int i = 0; i < entries - 1; i++)
    {
      struct hf_rpc_message message = { .boot_id = (uint64_t) i + 2, .body = { .kind = HF_RPC_HEARTBEAT } };
      char address[32];
      message.body.hf_rpc_body_u.heartbeat.generation = 5;
      g_snprintf (address, sizeof address, "10.9.%d.%d:1", i / 250, i % 250);
      raise_event (state,
                   (struct hf_event){ .kind = HF_EVENT_PEER_MESSAGE,
                                      .now = 1000,
                                      .peer = { .message = &message, .address = hf_str (address) } },
                   sent);
    }
  return state;
}

/* Per second of simulated time: sends the entry's heartbeats and receives one from each member in every period. */
static void
measure_heartbeats (struct hf_state *state, int entries, int servers, double *us, double *bytes)
{
  size_t sent = 0;
  gint64 begin = g_get_monotonic_time ();
  const int periods = 20;
  for (int p = 1; p <= periods; p++)
    {
      int64_t now = 1000 + p * (HF_HEARTBEAT_MS + 1) * HF_MS;
      raise_event (state, (struct hf_event){ .kind = HF_EVENT_TICK, .now = now, .wall_time = now }, &sent);
      for (int i = 0; i < entries - 1; i++)
        {
          struct hf_rpc_server_load loads[8];
          struct hf_rpc_message message = { .boot_id = (uint64_t) i + 2, .body = { .kind = HF_RPC_HEARTBEAT } };
          struct hf_rpc_heartbeat *heartbeat = &message.body.hf_rpc_body_u.heartbeat;
          char address[32];
          heartbeat->generation = 5;
          heartbeat->loads.loads_len = (u_int) MIN (servers, 8);
          heartbeat->loads.loads_val = loads;
          for (u_int l = 0; l < heartbeat->loads.loads_len; l++)
            loads[l] = (struct hf_rpc_server_load){ .server = l, .count = 1 };
          g_snprintf (address, sizeof address, "10.9.%d.%d:1", i / 250, i % 250);
          raise_event (state,
                       (struct hf_event){ .kind = HF_EVENT_PEER_MESSAGE,
                                          .now = now,
                                          .peer = { .message = &message, .address = hf_str (address) } },
                       &sent);
        }
    }
  double seconds = periods * HF_HEARTBEAT_MS / 1000.0;
  *us = (double) (g_get_monotonic_time () - begin) / seconds;
  *bytes = (double) sent / seconds;
}

/* Per call: request, attempt and response, and the messages to the granter if that is another entry. */
static void
measure_calls (struct hf_state *state, int services, double *us, double *bytes)
{
  const int calls = 20000;
  size_t sent = 0;
  gint64 begin = g_get_monotonic_time ();
  for (int i = 0; i < calls; i++)
    {
      char path[32];
      int64_t now = 20 * HF_SEC + i * 10;
      struct hf_event event = { .kind = HF_EVENT_REQUEST, .now = now, .wall_time = now, .call = (uint64_t) i + 1 };
      g_snprintf (path, sizeof path, "/s%d/x", i % services);
      event.request.method = hf_str ("GET");
      event.request.path = hf_str (path);
      event.request.host = hf_str ("h");
      raise_event (state, event, &sent);
      raise_event (state,
                   (struct hf_event){ .kind = HF_EVENT_ATTEMPT_END,
                                      .now = now + 5,
                                      .call = event.call,
                                      .result = HF_ATTEMPT_ANSWERED,
                                      .hints = { .status = 200, .load = -1 } },
                   &sent);
      raise_event (state, (struct hf_event){ .kind = HF_EVENT_CALLER_GONE, .now = now + 6, .call = event.call }, &sent);
    }
  *us = (double) (g_get_monotonic_time () - begin) / calls;
  *bytes = (double) sent / calls;
}

static void
measure_scale (int services, int entries)
{
  size_t sent = 0;
  double heartbeat_us;
  double heartbeat_bytes;
  double call_us;
  double call_bytes;
  char *document = make_document (services, SERVERS_PER_SERVICE);
  size_t before = allocated_bytes ();
  gint64 begin = g_get_monotonic_time ();
  struct hf_state *state = start_state (document, entries, &sent);
  double start_us = (double) (g_get_monotonic_time () - begin);
  size_t memory = allocated_bytes () - before;
  measure_heartbeats (state, entries, services * SERVERS_PER_SERVICE, &heartbeat_us, &heartbeat_bytes);
  measure_calls (state, services, &call_us, &call_bytes);
  printf ("%d,%d,%d,%zu,%.0f,%.0f,%.1f,%.0f,%.2f,%.0f\n", services, services * SERVERS_PER_SERVICE, entries,
          strlen (document), start_us, (double) memory / 1024, heartbeat_us / 1e4, heartbeat_bytes, call_us,
          call_bytes);
  fflush (stdout);
  hf_state_free (state);
  g_free (document);
}

static void
format_key (int i, char key[KEY_BYTES])
{
  g_snprintf (key, KEY_BYTES, "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
              (guint64) hf_hash_pair ((uint64_t) i, 1), (guint64) hf_hash_pair ((uint64_t) i, 2));
}

/* As platform/ makes it. */
static struct hf_str
encode_document_with_keys (int keys)
{
  struct hf_document *document = hf_document_new (1, 0);
  struct hf_service *service = hf_document_get_service (document, 0);
  hf_str_free (&service->name);
  service->name = hf_str_dup (hf_str ("a"));
  hf_document_set_organisation_count (document, (size_t) (keys / KEYS_PER_ORGANISATION));
  for (int i = 0; i < keys; i++)
    {
      struct hf_organisation *organisation
          = hf_document_get_organisation (document, (size_t) (i / KEYS_PER_ORGANISATION));
      char text[KEY_BYTES];
      if (i % KEYS_PER_ORGANISATION == 0)
        {
          g_snprintf (text, sizeof text, "organisation-%d", i / KEYS_PER_ORGANISATION);
          hf_str_free (&organisation->name);
          organisation->name = hf_str_dup (hf_str (text));
          hf_organisation_set_key_count (organisation, KEYS_PER_ORGANISATION);
        }
      format_key (i, text);
      ((struct hf_str *) organisation->keys.items)[i % KEYS_PER_ORGANISATION] = hf_str_dup (hf_str (text));
    }
  struct hf_str encoded = hf_document_encode (document);
  hf_document_unref (document);
  return encoded;
}

/* Every second key looked up is in the document. */
static double
measure_lookups (const struct hf_document *document, int keys)
{
  char (*all)[KEY_BYTES] = g_malloc_n ((gsize) keys * 2, KEY_BYTES);
  int found = 0;
  for (int i = 0; i < keys * 2; i++)
    format_key (i, all[i]);
  gint64 begin = g_get_monotonic_time ();
  for (int i = 0; i < LOOKUPS; i++)
    found += hf_organisations_find (document->organisation_keys,
                                    (struct hf_str){ all[(gint64) i * 7919 % (keys * 2)], KEY_BYTES - 1 })
             != NULL;
  double us = (double) (g_get_monotonic_time () - begin) / LOOKUPS;
  g_assert_cmpint (found, >, LOOKUPS / 3);
  g_free (all);
  return us;
}

static void
measure_keys (int keys)
{
  struct hf_str encoded = encode_document_with_keys (keys);
  size_t before = allocated_bytes ();
  gint64 begin = g_get_monotonic_time ();
  struct hf_document *document = hf_document_load (encoded, NULL);
  double load_us = (double) (g_get_monotonic_time () - begin);
  size_t memory = allocated_bytes () - before;
  g_assert_nonnull (document);
  begin = g_get_monotonic_time ();
  struct hf_organisations *table = hf_organisations_new (&document->organisations, 1, NULL);
  double table_us = (double) (g_get_monotonic_time () - begin);
  hf_organisations_free (table);
  GBytes *packed = hf_document_pack (encoded);
  printf ("%d,%d,%zu,%zu,%.0f,%.0f,%.0f,%.3f\n", keys, keys / KEYS_PER_ORGANISATION, encoded.len,
          g_bytes_get_size (packed), load_us, table_us, (double) memory / 1024, measure_lookups (document, keys));
  fflush (stdout);
  g_bytes_unref (packed);
  hf_document_unref (document);
  hf_str_free (&encoded);
}

int
main (int argc, char **argv)
{
  static const int keys[] = { 100, 1000, 10000, 100000 };
  static const int services[] = { 4, 16, 64, 256, 540 };
  static const int entries[] = { 2, 8, 19, 40, 100 };
  harness_parse_options (
      &argc, &argv,
      "Prints as CSV how start time, memory and messages grow with the numbers of services, entries and keys.");
  printf ("services,servers,entries,document_bytes,start_us,state_kb,heartbeat_"
          "core_percent,heartbeat_bytes_s,call_us,granter_bytes_per_call\n");
  for (gsize i = 0; i < G_N_ELEMENTS (services); i++)
    measure_scale (services[i], 19);
  for (gsize i = 0; i < G_N_ELEMENTS (entries); i++)
    measure_scale (4, entries[i]);
  measure_scale (540, 100);
  printf ("keys,organisations,document_bytes,packed_bytes,load_us,table_us,document_kb,lookup_us\n");
  for (gsize i = 0; i < G_N_ELEMENTS (keys); i++)
    measure_keys (keys[i]);
  return 0;
}
