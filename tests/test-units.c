/*
 * Unit tests: errors in configuration documents, routing, invalid datagrams,
 * slices of a large service, and reference pages in docs/ that must match the
 * tables in the code.
 */
#include <glib.h>
#include <string.h>

#include "hf-config-history.h"
#include "hf-document.h"
#include "hf-document-pack.h"
#include "hf-json.h"
#include "hf-keep-alive.h"
#include "hf-log.h"
#include "hf-reduce.h"
#include "hf-reuse.h"
#include "hf-routing.h"
#include "hf-slices.h"
#include "hf-settings.h"
#include "hf-state.h"
#include "hf-wire.h"

#include "config.h"

/* --- constants --- */

#define DOCUMENT_PREFIX                                                                                                \
  "version: 1\nservices:\n  - name: a\n    servers: []\n    classes:\n      "                                          \
  "- {name: c"

/* --- types --- */

struct invalid_document
{
  const char *text;
  unsigned line;
  unsigned column;
  const char *path;
  const char *message; /* part of the error message */
};

/* --- internal functions --- */

static const struct invalid_document invalid_documents[] = {
  { "", 0, 0, "", "empty" },
  { "version: [1\n", 2, 1, "", "not well-formed" },
  { "version: 1\n", 1, 1, "", "\"services\" is missing" },
  { "version: 2\nservices: []\n", 1, 10, "version", "from 1 to 1" },
  { DOCUMENT_PREFIX "}\nother: 1\n", 7, 1, "other", "unknown key" },
  { DOCUMENT_PREFIX ", worth: high}\n", 6, 26, "services[0].classes[0].worth", "whole number" },
  { DOCUMENT_PREFIX ", repeatable: maybe}\n", 6, 31, "services[0].classes[0].repeatable", "true or false" },
  { DOCUMENT_PREFIX ", hedge: true}\n", 6, 26, "services[0].classes[0].hedge", "repeatable" },
  { DOCUMENT_PREFIX "}\n      - {name: c}\n", 7, 16, "services[0].classes[1].name", "no other class" },
  { DOCUMENT_PREFIX "}\n    policy: best\n", 7, 13, "services[0].policy", "one of grants" },
  { DOCUMENT_PREFIX "}\n  - name: a\n    servers: []\n    classes: [{name: c}]\n", 7, 11, "services[1].name",
    "no other service" },
  { "version: 1\nservices:\n  - name: a\n    servers: [{name: s, address: "
    "here}]\n",
    4, 34, "services[0].servers[0].address", "IP:PORT" },
  { "version: 1\nversion: 1\n", 2, 1, "version", "appears twice" },
};

/* Each invalid document is rejected with the position, the path and the text of its error. */
static void
test_document_errors (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (invalid_documents); i++)
    {
      struct hf_error error = { 0 };
      g_test_message ("case %d", (int) i);
      g_assert_null (hf_document_load (hf_str (invalid_documents[i].text), &error));
      g_assert_nonnull (strstr (error.message, invalid_documents[i].message));
      g_assert_cmpuint (error.line, ==, invalid_documents[i].line);
      g_assert_cmpuint (error.column, ==, invalid_documents[i].column);
      g_assert_cmpstr (error.path, ==, invalid_documents[i].path);
    }
}

/* The documents in examples/ load. */
static void
test_example_documents (void)
{
  static const char *const names[] = { "association.yaml", "non-profit.yaml" };
  for (gsize i = 0; i < G_N_ELEMENTS (names); i++)
    {
      char *path = g_build_filename (HF_SOURCE, "examples", names[i], NULL);
      char *text = NULL;
      g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
      struct hf_document *document = hf_document_load (hf_str (text), NULL);
      g_assert_nonnull (document);
      hf_document_unref (document);
      g_free (text);
      g_free (path);
    }
}

/* The service with the longest matching path prefix and a matching host is chosen, then the first matching class. */
static void
test_routing (void)
{
  struct hf_document *document
      = hf_document_load (hf_str ("version: 1\nservices:\n"
                                  "  - {name: all, path_prefix: /, servers: [], classes: [{name: "
                                  "any}]}\n"
                                  "  - {name: deep, path_prefix: /a/b, servers: [], classes: [{name: "
                                  "get, methods: [GET]}, {name: high, header: 'X-P: high'}]}\n"
                                  "  - {name: hosted, host: h.example, path_prefix: /a/b/c, servers: "
                                  "[], classes: [{name: any}]}\n"),
                          NULL);
  struct hf_header header = { hf_str ("x-p"), hf_str ("high") };
  struct hf_request_head head = { hf_str ("GET"), hf_str ("other"), hf_str ("/a/b/c"), &header, 1 };
  struct hf_route_target target;
  g_assert_true (hf_routing_find_target (document, &head, 0, &target));
  g_assert_cmpstr (target.service->name.data, ==, "deep");
  g_assert_cmpstr (target.class->name.data, ==, "get");
  head.method = hf_str ("PUT");
  g_assert_true (hf_routing_find_target (document, &head, 0, &target));
  g_assert_cmpstr (target.class->name.data, ==, "high");
  head.n_headers = 0;
  g_assert_false (hf_routing_find_target (document, &head, 0, &target));
  head.host = hf_str ("H.example:8080");
  g_assert_true (hf_routing_find_target (document, &head, 0, &target));
  g_assert_cmpstr (target.service->name.data, ==, "hosted");
  head.path = hf_str ("/x");
  g_assert_true (hf_routing_find_target (document, &head, 0, &target));
  g_assert_cmpstr (target.service->name.data, ==, "all");
  hf_document_unref (document);
}

/* A truncated datagram is rejected. A corrupted one is rejected or decodes, without invalid memory accesses. */
static void
test_wire (void)
{
  char buffer[HF_WIRE_BYTES_MAX];
  uint64_t grants[3] = { 1, 2, 3 };
  struct hf_rpc_server_load loads[2] = { { 1, 2 }, { 3, 4 } };
  struct hf_rpc_message message = { .boot_id = 7, .body = { .kind = HF_RPC_HEARTBEAT } };
  struct hf_rpc_message decoded;
  message.body.hf_rpc_body_u.heartbeat.grants.grants_len = 3;
  message.body.hf_rpc_body_u.heartbeat.grants.grants_val = grants;
  message.body.hf_rpc_body_u.heartbeat.loads.loads_len = 2;
  message.body.hf_rpc_body_u.heartbeat.loads.loads_val = loads;
  size_t size = hf_wire_encode (&message, buffer, sizeof buffer);
  g_assert_true (hf_wire_decode ((struct hf_str){ buffer, size }, &decoded, NULL));
  g_assert_cmpuint (decoded.body.hf_rpc_body_u.heartbeat.loads.loads_val[1].count, ==, 4);
  hf_wire_free (&decoded);
  for (size_t cut = 0; cut < size; cut++)
    g_assert_false (hf_wire_decode ((struct hf_str){ buffer, cut }, &decoded, NULL));
  for (int i = 0; i < 20000; i++)
    {
      char changed[HF_WIRE_BYTES_MAX];
      memcpy (changed, buffer, size);
      changed[g_test_rand_int_range (0, (gint32) size)] = (char) g_test_rand_int ();
      if (hf_wire_decode ((struct hf_str){ changed, size }, &decoded, NULL))
        hf_wire_free (&decoded);
    }
}

static void
raise_event (struct hf_state *state, struct hf_event event)
{
  struct hf_effects effects;
  hf_effects_init (&effects);
  event.now = HF_SEC;
  hf_reduce (state, &event, &effects);
  hf_effects_close (&effects);
}

/* Reports the servers from @begin up to @end as listed or removed, then the revision that the list has reached. */
static void
list_servers (struct hf_state *state, unsigned begin, unsigned end, bool removed)
{
  static uint64_t revision = 0;
  for (unsigned i = begin; i < end; i++)
    {
      char name[16];
      g_snprintf (name, sizeof name, "s%u", i);
      struct hf_event event = { .kind = HF_EVENT_SERVER_REPORT,
                                .report = { .name = hf_str (name),
                                            .service = hf_str ("a"),
                                            .address = hf_str ("10.0.0.1:80"),
                                            .failure_domain = hf_str ("d"),
                                            .slots = 3,
                                            .removed = removed } };
      raise_event (state, event);
    }
  raise_event (state, (struct hf_event){
                          .kind = HF_EVENT_LIST_STEP, .list_step = HF_LIST_PROGRESS, .position.revision = ++revision });
}

/* Counts the servers in all pools; @pools gets the number of pools that have servers. */
static unsigned
count_servers (const struct hf_state *state, unsigned *pools)
{
  GHashTableIter iter;
  struct hf_service_state *service;
  unsigned servers = 0;
  *pools = 0;
  g_hash_table_iter_init (&iter, state->services);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *) &service))
    {
      servers += service->pool.servers->len;
      *pools += service->pool.servers->len > 0;
    }
  return servers;
}

/* A large service is split into slices. Each server is in exactly one of them, also after servers were added or
 * removed, and every slice is chosen for some requests. A service that has shrunk is one slice again. */
static void
test_slices (void)
{
  struct hf_settings settings
      = { .name = hf_str ("e1"), .failure_domain = hf_str ("d"), .store_address = hf_str ("127.0.0.1:1") };
  struct hf_state *state = hf_state_new (&settings, 1);
  unsigned pools;
  raise_event (state, (struct hf_event){ .kind = HF_EVENT_START });
  list_servers (state, 0, 20, false);
  raise_event (state, (struct hf_event){ .kind = HF_EVENT_DOCUMENT,
                                         .document = { .generation = 1,
                                                       .text = hf_str ("{version: 1, services: [{name: a, directory: "
                                                                       "true}]}") } });
  g_assert_cmpuint (count_servers (state, &pools), ==, 20);
  g_assert_cmpuint (pools, ==, 1);
  list_servers (state, 20, 120, false);
  g_assert_cmpuint (count_servers (state, &pools), ==, 120);
  g_assert_cmpuint (pools, ==, 8);
  bool chosen[8] = { false };
  for (int i = 0; i < 1000; i++)
    {
      uint64_t slice = hf_slices_choose (state, hf_hash (hf_str ("a"), 0));
      for (unsigned j = 0; j < G_N_ELEMENTS (chosen); j++)
        chosen[j] = chosen[j] || hf_slices_find (state, hf_hash (hf_str ("a"), 0), j)->id == slice;
    }
  for (unsigned j = 0; j < G_N_ELEMENTS (chosen); j++)
    g_assert_true (chosen[j]);
  list_servers (state, 10, 120, true);
  g_assert_cmpuint (count_servers (state, &pools), ==, 10);
  list_servers (state, 10, 12, false);
  g_assert_cmpuint (count_servers (state, &pools), ==, 12);
  g_assert_cmpuint (pools, ==, 1);
  hf_state_free (state);
}

/* --- reference pages that must match the code --- */

static char *
read_page (const char *name)
{
  char *path = g_build_filename (HF_SOURCE, "docs", name, NULL);
  char *text = NULL;
  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  g_free (path);
  return text;
}

static void
check_fields (const char *page, const struct hf_yaml_field *fields)
{
  for (; fields->name; fields++)
    {
      char *row = g_strdup_printf ("| `%s` |", fields->name);
      if (!strstr (page, row))
        g_test_fail_printf ("docs/CONFIGURATION.md has no row for %s", fields->name);
      if (!strstr (page, fields->help))
        g_test_fail_printf ("docs/CONFIGURATION.md does not contain the help text of %s", fields->name);
      if (fields->fields)
        check_fields (page, fields->fields);
      g_free (row);
    }
}

/* A document survives compression; truncated, changed and wrongly declared bytes are refused. */
static void
test_document_pack (void)
{
  char *long_text = g_strnfill (HF_DOCUMENT_BYTES_MAX, 'x');
  const char *const texts[] = { "a", "version: 1\nservices: []\n", long_text };
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      struct hf_str text = hf_str (texts[i]);
      struct hf_str unpacked;
      gsize size;
      GBytes *packed = hf_document_pack (text);
      const char *bytes = g_bytes_get_data (packed, &size);
      struct hf_str whole = { .data = bytes, .len = size };
      g_assert_true (hf_document_unpack (whole, text.len, &unpacked));
      g_assert_true (hf_str_equal (text, unpacked));
      hf_str_free (&unpacked);
      g_assert_false (hf_document_unpack ((struct hf_str){ bytes, size - 1 }, text.len, &unpacked));
      g_assert_false (hf_document_unpack (whole, text.len + 1, &unpacked));
      g_assert_false (hf_document_unpack (whole, text.len - 1, &unpacked));
      g_bytes_unref (packed);
    }
  struct hf_str unpacked;
  g_assert_false (hf_document_unpack (hf_str ("not compressed"), 10, &unpacked));
  g_assert_false (hf_document_unpack ((struct hf_str){ 0 }, 10, &unpacked));
  g_free (long_text);
}

static const char full_document[]
    = "version: 1\n"
      "limits: {head_bytes: 4096, idle_ms: 9000}\n"
      "services:\n"
      "  - name: a\n"
      "    policy: two-choices\n"
      "    servers: [{name: s1, address: \"10.0.0.1:80\", slots: 4, drain: true}]\n"
      "    classes: [{name: c, methods: [GET, PUT], header: \"X: y\", hedge: true, repeatable: true}]\n"
      "  - {name: b, directory: true, measure_ms: 250}\n"
      "routes:\n"
      "  - {name: r, host: h.example, path_prefix: /r/, class: {name: r, deadline_ms: 900, priority: 2},\n"
      "     parts: [{service: a, weight: 3}, {service: b, weight: 0}]}\n";

/* What YAML gives and what its encoded form gives are the same; truncated or foreign bytes are refused. */
static void
test_document_encode (void)
{
  struct hf_error error = { 0 };
  struct hf_document *from_yaml = hf_document_load (hf_str (full_document), &error);
  g_assert_nonnull (from_yaml);
  struct hf_str encoded = hf_document_encode (from_yaml);
  struct hf_document *decoded = hf_document_load (encoded, &error);
  g_assert_nonnull (decoded);
  struct hf_str encoded_again = hf_document_encode (decoded);
  g_assert_true (hf_str_equal (encoded, encoded_again));
  g_assert_cmpint (hf_document_get_service (decoded, 0)->policy, ==, HF_POLICY_TWO_CHOICES);
  g_assert_cmpint (hf_route_get_service (hf_document_get_route (decoded, 0), 0)->weight, ==, 3);
  for (size_t len = 1; len < encoded.len; len++)
    g_assert_null (hf_document_load ((struct hf_str){ encoded.data, len }, &error));
  char *foreign = g_memdup2 (encoded.data, encoded.len);
  foreign[sizeof (uint32_t)] ^= 1;
  g_assert_null (hf_document_load ((struct hf_str){ foreign, encoded.len }, &error));
  g_assert_cmpstr (error.message, ==, "the values were encoded with another table of fields");
  g_free (foreign);
  hf_str_free (&encoded);
  hf_str_free (&encoded_again);
  hf_document_unref (from_yaml);
  hf_document_unref (decoded);
}

/* A value that YAML would not be allowed to have is refused in the encoded form, too. */
static void
test_document_encode_ranges (void)
{
  struct hf_error error = { 0 };
  for (unsigned variant = 0; variant < 7; variant++)
    {
      struct hf_document *document = hf_document_load (hf_str (full_document), &error);
      struct hf_route *route = hf_document_get_route (document, 0);
      struct hf_service *service = hf_document_get_service (document, 0);
      struct hf_str *name = &hf_document_get_service (document, 1)->name;
      if (variant == 1)
        route->class.priority = 101;
      else if (variant == 2)
        service->policy = HF_POLICY_ROUND_ROBIN + 1;
      else if (variant == 3)
        service->path_prefix.len = 0;
      else if (variant == 4)
        hf_service_get_server (service, 0)->address.len = 3;
      else if (variant == 5)
        *name = (hf_str_free (name), hf_str_dup (hf_str ("a")));
      else if (variant == 6)
        document->version = 0;
      struct hf_str encoded = hf_document_encode (document);
      struct hf_document *decoded = hf_document_load (encoded, &error);
      g_assert_true ((decoded != NULL) == (variant == 0));
      hf_document_unref (decoded);
      hf_str_free (&encoded);
      hf_document_unref (document);
    }
}

/* The last generations are kept, and fewer of them if they are large; the newest always. */
static void
test_config_history (void)
{
  GArray *history = hf_config_history_new ();
  for (uint64_t generation = 1; generation <= HF_CONFIG_HISTORY_MAX + 3; generation++)
    hf_config_history_add (
        history, (struct hf_config_copy){ .generation = generation, .packed = g_bytes_new_static ("abc", 3) });
  g_assert_null (hf_config_history_find (history, 3));
  g_assert_nonnull (hf_config_history_find (history, 4));
  g_assert_nonnull (hf_config_history_find (history, HF_CONFIG_HISTORY_MAX + 3));
  char *large = g_strnfill (HF_CONFIG_HISTORY_BYTES_MAX + 1, 'x');
  hf_config_history_add (history,
                         (struct hf_config_copy){ .generation = 100, .packed = g_bytes_new (large, strlen (large)) });
  g_assert_nonnull (hf_config_history_find (history, 100));
  g_assert_cmpuint (history->len, ==, 1);
  g_free (large);
  g_array_unref (history);
}

static void
reduce (struct hf_state *state, struct hf_event event)
{
  struct hf_effects effects;
  hf_effects_init (&effects);
  hf_reduce (state, &event, &effects);
  hf_effects_close (&effects);
}

/* A service that is no longer measured does not wait for measurements: its requests would wait to their deadline. */
static void
test_measuring_ends (void)
{
  const char *measured = "{version: 1, services: [{name: a, directory: true, measure_ms: 240}]}";
  const char *not_measured = "{version: 1, services: [{name: a, directory: true}]}";
  struct hf_settings settings = { .name = hf_str ("e1"), .store_address = hf_str ("10.9.0.1:1") };
  struct hf_state *state = hf_state_new (&settings, 1);
  uint64_t service = hf_hash (hf_str ("a"), 0);
  reduce (state, (struct hf_event){ .kind = HF_EVENT_START, .now = HF_SEC });
  reduce (state, (struct hf_event){ .kind = HF_EVENT_DOCUMENT,
                                    .now = HF_SEC,
                                    .document = { .generation = 1, .text = hf_str (measured) } });
  reduce (state, (struct hf_event){ .kind = HF_EVENT_TICK, .now = 2 * HF_SEC });
  g_assert_true (hf_state_find_service (state, service)->pool.requires_measurements);
  reduce (state, (struct hf_event){ .kind = HF_EVENT_DOCUMENT,
                                    .now = 2 * HF_SEC,
                                    .document = { .generation = 2, .text = hf_str (not_measured) } });
  reduce (state, (struct hf_event){ .kind = HF_EVENT_TICK, .now = 3 * HF_SEC });
  g_assert_false (hf_state_find_service (state, service)->pool.requires_measurements);
  hf_state_free (state);
}

/* docs/CONFIGURATION.md has a row and the help text for every key of the settings and the document. */
static void
test_page_configuration (void)
{
  char *page = read_page ("CONFIGURATION.md");
  check_fields (page, hf_settings_fields);
  check_fields (page, hf_document_fields);
  g_free (page);
}

/* A quantile is known from HF_LATENCY_SAMPLES_MIN durations on, and lies in the bucket of the exact one. */
static void
test_latency_quantile (void)
{
  struct hf_latency latency;
  hf_latency_init (&latency);
  for (int i = 1; i < HF_LATENCY_SAMPLES_MIN; i++)
    hf_latency_record (&latency, hf_str ("c"), HF_STAGE_WHOLE, 10 * HF_MS);
  g_assert_cmpint (hf_latency_quantile (&latency, hf_str ("c"), HF_STAGE_WHOLE, 0.5), ==, -1);
  g_assert_cmpint (hf_latency_quantile (&latency, hf_str ("d"), HF_STAGE_WHOLE, 0.5), ==, -1);
  hf_latency_record (&latency, hf_str ("c"), HF_STAGE_WHOLE, 1000 * HF_MS);
  g_assert_cmpint (hf_latency_quantile (&latency, hf_str ("c"), HF_STAGE_WHOLE, 0.98), ==, 12 * HF_MS);
  g_assert_cmpint (hf_latency_quantile (&latency, hf_str ("c"), HF_STAGE_WHOLE, 0.99), ==, 1024 * HF_MS);
  g_assert_cmpint (hf_latency_quantile (&latency, hf_str ("c"), HF_STAGE_ATTEMPT, 0.5), ==, -1);
  hf_latency_close (&latency);
}

/* docs/EVENTS.md has a row for every log event. */
static void
test_page_events (void)
{
  char *page = read_page ("EVENTS.md");
  for (const struct hf_log_event *event = hf_log_events; event->number; event++)
    {
      char *row = g_strdup_printf ("| HF%d | %s |", event->number, event->name);
      if (!strstr (page, row))
        g_test_fail_printf ("docs/EVENTS.md has no row for HF%d %s", event->number, event->name);
      g_free (row);
    }
  g_free (page);
}

struct json_case
{
  const char *text;
  const char *expected; /* as json-glib writes what was read; NULL: no object */
};

/* Values that json-glib cannot read, or reads wrongly, become null; the rest of the text holds. */
static void
test_json (void)
{
  static const struct json_case cases[] = {
    { "{\"a\":1,\"b\":[true,false,null,-2,0,1.5,1e3]}", "{\"a\":1,\"b\":[true,false,null,-2,0,1.5,1000.0]}" },
    { "{\"a\":9223372036854775807,\"b\":-9223372036854775808}",
      "{\"a\":9223372036854775807,\"b\":-9223372036854775808}" },
    { "{\"a\":9223372036854775808,\"b\":-9223372036854775809}", "{\"a\":null,\"b\":null}" },
    { "{\"a\":1e999,\"b\":-1e999,\"c\":1.5}", "{\"a\":null,\"b\":null,\"c\":1.5}" },
    { "{\"a\":NaN,\"b\":-Infinity,\"c\":0x10,\"d\":010,\"e\":1e,\"f\":-,\"g\":+1,\"h\":.5}",
      "{\"a\":null,\"b\":null,\"c\":null,\"d\":null,\"e\":null,\"f\":null,\"g\":null,\"h\":null}" },
    { "{\"a\":\"x\\ud83d\\ude00y\\n\\\"\"}", "{\"a\":\"x\xf0\x9f\x98\x80y\\n\\\"\"}" },
    { "{\"a\":\"\\ud800\",\"b\":\"\\udc00\\ud800\",\"c\":\"\\ud800\\u0041\",\"d\":\"\\u0000\"}",
      "{\"a\":\"\xef\xbf\xbd\",\"b\":\"\xef\xbf\xbd\xef\xbf\xbd\",\"c\":\"\xef\xbf\xbd"
      "A\",\"d\":\"\xef\xbf\xbd\"}" },
    { "{\"a\":\"\xff\"}", "{\"a\":\"\xef\xbf\xbd\"}" },
    { "{\"a\":\"1\\qx\\uzz\"}", "{\"a\":\"1\xef\xbf\xbdqx\xef\xbf\xbdzz\"}" },
    { "{\"a\":/*\"*/[[1]],\"b\":\"*/\"}", NULL },
    { "{\"a\":'\"'}", NULL },
    { "{\"a\":1]", NULL },
    { "]", NULL },
    { "{\"a\":\"", NULL },
    { "[1]", NULL },
    { "", NULL },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      JsonParser *parser = json_parser_new ();
      unsigned replaced;
      struct hf_error error = { 0 };
      JsonObject *object = hf_json_load (parser, hf_str (cases[i].text), &replaced, &error);
      char *text = object ? json_to_string (json_parser_get_root (parser), FALSE) : NULL;
      g_assert_cmpstr (text, ==, cases[i].expected);
      g_free (text);
      g_object_unref (parser);
    }
}

/* Guards against the end of the process by one entry: containers in one another up to the limit, one more, and as many
 * as fit into the store's largest object, as value and as YAML. */
static void
test_nesting (void)
{
  static const unsigned levels[] = { HF_JSON_DEPTH_MAX - 1, HF_JSON_DEPTH_MAX, 500000 };
  for (size_t i = 0; i < G_N_ELEMENTS (levels); i++)
    {
      char *open = g_strnfill (levels[i], '[');
      char *close = g_strnfill (levels[i], ']');
      char *text = g_strdup_printf ("{\"a\":%s%s,\"b\":1}", open, close);
      JsonParser *parser = json_parser_new ();
      unsigned replaced;
      JsonObject *object = hf_json_load (parser, hf_str (text), &replaced, NULL);
      g_assert_nonnull (object);
      g_assert_cmpint (json_object_get_int_member (object, "b"), ==, 1);
      g_assert_cmpuint (replaced, ==, levels[i] < HF_JSON_DEPTH_MAX ? 0 : 1);
      struct hf_error error = { 0 };
      g_assert_null (hf_document_load (hf_str (text), &error));
      g_assert_null (hf_document_load (hf_str (open), &error));
      g_object_unref (parser);
      g_free (text);
      g_free (close);
      g_free (open);
    }
}

struct reuse_case
{
  const char *carried; /* ids, separated by spaces */
  const char *id;
  bool usable;
  int idle_ms;
  int idle_max_ms;
  enum hf_reuse expected;
};

/* A connection that the server closes after 1000 ms. */
static const struct reuse_case reuse_cases[] = {
  { "", "a", true, 10, 500, HF_REUSE_YES },          { "b c", "a", true, 10, 500, HF_REUSE_YES },
  { "a", "a", true, 10, 500, HF_REUSE_NOT_BY_THIS }, { "a b c d", "a", true, 10, 500, HF_REUSE_NOT_BY_THIS },
  { "aa", "a", true, 10, 500, HF_REUSE_YES },        { "a", "", true, 10, 500, HF_REUSE_YES },
  { "", "", true, 10, 500, HF_REUSE_YES },           { "b", "a", true, 500, 500, HF_REUSE_YES },
  { "b", "a", true, 501, 500, HF_REUSE_IDLE_LONG },  { "a", "a", true, 501, 500, HF_REUSE_IDLE_LONG },
  { "b", "a", true, 1000, 5000, HF_REUSE_NEVER },    { "b", "a", false, 10, 500, HF_REUSE_NEVER },
};

static void
test_reuse (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (reuse_cases); i++)
    {
      const struct reuse_case *reuse_case = &reuse_cases[i];
      struct hf_carried carried = { 0 };
      char **ids = g_strsplit (reuse_case->carried, " ", -1);
      for (char **id = ids; *id; id++)
        hf_carried_add (&carried, hf_str (*id));
      const struct hf_kept_connection kept = { .usable = reuse_case->usable,
                                               .idle_us = reuse_case->idle_ms * HF_MS,
                                               .idle_timeout_us = 1000 * HF_MS,
                                               .carried = &carried };
      g_test_message ("case %zu", i);
      g_assert_cmpint (hf_reuse_decide (&kept, hf_str (reuse_case->id), reuse_case->idle_max_ms * HF_MS), ==,
                       reuse_case->expected);
      hf_carried_clear (&carried);
      g_strfreev (ids);
    }
}

/* What is remembered of a connection is bounded: it ends, and forgets no id before. */
static void
test_reuse_bound (void)
{
  struct hf_carried carried = { 0 };
  char id[16];
  for (guint i = 0; i < HF_CONNECTION_IDS_MAX; i++)
    {
      g_assert_false (hf_carried_is_full (&carried));
      g_snprintf (id, sizeof id, "id%u", i);
      hf_carried_add (&carried, hf_str (id));
    }
  g_assert_true (hf_carried_is_full (&carried));
  g_assert_true (hf_carried_has (&carried, hf_str ("id0")));
  const struct hf_kept_connection kept = { .usable = true, .idle_timeout_us = HF_SEC, .carried = &carried };
  g_assert_cmpint (hf_reuse_decide (&kept, hf_str ("another"), HF_SEC), ==, HF_REUSE_NEVER);
  hf_carried_clear (&carried);
}

/* Guards against connections kept for ever, or not at all, after a Keep-Alive with an odd timeout. */
static void
test_keep_alive (void)
{
  static const int64_t unstated_ms = HF_CONNECTION_IDLE_MS;
  static const struct
  {
    const char *field;
    int64_t idle_ms;
  } cases[] = {
    { "", unstated_ms },
    { "max=3", unstated_ms },
    { "timeout=0", 0 },
    { "timeout=1", 0 },
    { "timeout=2", 1000 },
    { "timeout=5", 4000 },
    { "timeout=005", 4000 },
    { "timeout= 5", 4000 },
    { " timeout = 5 ", 4000 },
    { "Timeout=5", 4000 },
    { "TIMEOUT=5", 4000 },
    { "timeout=\"5\"", 4000 },
    { "timeout=5, max=3", 4000 },
    { "max=3, timeout=5", 4000 },
    { "max=3,timeout=5", 4000 },
    { "timeout=5, timeout=3", 2000 },
    { "timeout=x, timeout=3", 2000 },
    { "read-timeout=2, timeout=5", 4000 },
    { "read-timeout=2", unstated_ms },
    { "timeout", unstated_ms },
    { "timeout=", unstated_ms },
    { "timeout=x", unstated_ms },
    { "timeout=5x", unstated_ms },
    { "timeout=5 6", unstated_ms },
    { "timeout=+5", unstated_ms },
    { "timeout=-1", unstated_ms },
    { "timeout=9", unstated_ms },
    { "timeout=100", unstated_ms },
    { "timeout=9223372036854", unstated_ms },
    { "timeout=9223372036855", unstated_ms },
    { "timeout=100000000000000", unstated_ms },
    { "timeout=9223372036854775808", unstated_ms },
    { "timeout=18446744073709551615", unstated_ms },
    { "timeout=18446744073709551617", unstated_ms },
    { "timeout=99999999999999999999", unstated_ms },
    { "a=0123456789012345678901234567890123456789012345678901234567890, timeout=5", 4000 },
    { ",,;=,timeout=5", 4000 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_test_message ("%s", cases[i].field);
      g_assert_cmpint (hf_keep_alive_idle_us (hf_str (cases[i].field)), ==, cases[i].idle_ms * HF_MS);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/units/document-errors", test_document_errors);
  g_test_add_func ("/units/json", test_json);
  g_test_add_func ("/units/nesting", test_nesting);
  g_test_add_func ("/units/keep-alive", test_keep_alive);
  g_test_add_func ("/units/samples", test_example_documents);
  g_test_add_func ("/units/routing", test_routing);
  g_test_add_func ("/units/wire", test_wire);
  g_test_add_func ("/units/slices", test_slices);
  g_test_add_func ("/units/document-pack", test_document_pack);
  g_test_add_func ("/units/document-encode", test_document_encode);
  g_test_add_func ("/units/document-encode-ranges", test_document_encode_ranges);
  g_test_add_func ("/units/config-history", test_config_history);
  g_test_add_func ("/units/measuring-ends", test_measuring_ends);
  g_test_add_func ("/units/latency-quantile", test_latency_quantile);
  g_test_add_func ("/units/reuse", test_reuse);
  g_test_add_func ("/units/reuse-bound", test_reuse_bound);
  g_test_add_func ("/pages/configuration", test_page_configuration);
  g_test_add_func ("/pages/events", test_page_events);
  return g_test_run ();
}
