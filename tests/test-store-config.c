/*
 * The operator's configuration in the platform's store, converted to a
 * document: what the store accepts comes into force, whatever its numbers,
 * names and lists are.
 */
#include <glib.h>
#include <string.h>

#include "hf-document.h"
#include "hf-json.h"
#include "hf-organisations.h"
#include "hf-store-objects.h"

#include "config.h"

/* --- constants --- */

#define RANDOM_CONFIGS 2000
#define RANDOM_SEED    50
#define LONG_BYTES     5000
#define MANY_ITEMS     12000

/* --- types --- */

/* Members of a configuration with one route and one service, as JSON text. */
struct config_text
{
  const char *limits;  /* members of "limits" */
  const char *route;   /* further members of the route */
  const char *service; /* further members of the service */
  const char *tenant;  /* further members of the tenant */
};

/* --- internal functions --- */

/* NULL: the object or the document was rejected. */
static struct hf_document *
load_config (const char *text)
{
  struct hf_error error = { 0 };
  struct hf_str encoded;
  uint64_t generation;
  unsigned replaced;
  JsonParser *parser = json_parser_new ();
  JsonObject *object = hf_json_load (parser, hf_str (text), &replaced, &error);
  g_assert_nonnull (object);
  struct hf_document *document = NULL;
  if (hf_store_object_to_document (object, &generation, &encoded, &error))
    {
      document = hf_document_load (encoded, &error);
      hf_str_free (&encoded);
    }
  if (!document)
    g_test_message ("%s: %s", error.path, error.message);
  g_object_unref (parser);
  return document;
}

static struct hf_document *
load_with (const struct config_text *text)
{
  char *json = g_strdup_printf (
      "{\"spec\":{\"version\":\"r3\",\"limits\":{%s},\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/"
      "\"%s}],"
      "\"services\":[{\"name\":\"a\"%s},{\"name\":\"b\"}],\"tenants\":[{\"name\":\"p\",\"api_keys\":[\"k\"]%s}]}}",
      text->limits ? text->limits : "", text->route ? text->route : ",\"service\":\"a\"",
      text->service ? text->service : "", text->tenant ? text->tenant : "");
  struct hf_document *document = load_config (json);
  g_free (json);
  return document;
}

static struct hf_caller_limits
load_limits (const char *limits)
{
  struct hf_document *document = load_with (&(struct config_text){ .limits = limits });
  g_assert_nonnull (document);
  struct hf_caller_limits loaded = document->limits;
  hf_document_unref (document);
  return loaded;
}

/* --- tests: numbers --- */

/* A limit of bodies above the default, and any other limit however large or small, comes into force with the rest of
 * its configuration. Guards against a configuration that entries reject though the store accepted it. */
static void
test_limits (void)
{
  g_assert_cmpint (load_limits ("\"max_body_bytes\":2147483648").body_bytes_max, ==, 2147483648LL);
  g_assert_cmpint (load_limits ("\"max_body_bytes\":1e30").body_bytes_max, ==, HF_BODY_LIMIT_BYTES_MAX);
  g_assert_cmpint (load_limits ("\"max_body_bytes\":0").body_bytes_max, ==, 0);
  g_assert_cmpint (load_limits ("\"max_body_bytes\":4096.5").body_bytes_max, ==, 4096);
  g_assert_cmpint (load_limits ("\"max_header_bytes\":100").head_bytes_max, ==, 100);
  g_assert_cmpint (load_limits ("\"max_header_bytes\":4194304").head_bytes_max, ==, HF_HEAD_LIMIT_BYTES_MAX);
  g_assert_cmpint (load_limits ("\"header_timeout\":\"7200s\"").head_timeout_ms, ==, 7200000);
  g_assert_cmpint (load_limits ("\"idle_timeout\":\"0ms\"").idle_timeout_ms, ==, 1);
  g_assert_cmpint (load_limits ("\"idle_timeout\":\"999999999999s\"").idle_timeout_ms, >=, 604800000);
  g_assert_cmpint (load_limits ("\"idle_timeout\":\"1500.000000000000000000ms\"").idle_timeout_ms, ==, 1500);
}

/* Times of a route are kept above one hour; a timeout above the usual deadline is not cut to it. */
static void
test_route_times (void)
{
  struct hf_document *document = load_with (
      &(struct config_text){ .route = ",\"service\":\"a\",\"timeout\":\"7200s\",\"target_latency\":\"5400s\","
                                      "\"priority\":1000,\"max_attempts\":50" });
  g_assert_nonnull (document);
  const struct hf_request_class *class = &hf_document_get_route (document, 0)->class;
  g_assert_cmpint (class->timeout_ms, ==, 7200000);
  g_assert_cmpint (class->deadline_ms, ==, 7200000);
  g_assert_cmpint (class->aim_ms, ==, 5400000);
  g_assert_cmpint (class->priority, ==, 100);
  g_assert_cmpint (class->attempts_max, ==, 3);
  hf_document_unref (document);
}

/* Weights of any size, whole or not, keep their proportions. */
static void
test_weights (void)
{
  static const struct
  {
    const char *weights[2];
    double share; /* of the first */
  } cases[] = { { { "0.9", "0.1" }, 0.9 },
                { { "30000000", "10000000" }, 0.75 },
                { { "-1", "4" }, 0 },
                { { "1", "0.000001" }, 1 / 1.000001 } };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *route
          = g_strdup_printf (",\"traffic_split\":[{\"service\":\"a\",\"weight\":%s},{\"service\":\"b\",\"weight\":%s}]",
                             cases[i].weights[0], cases[i].weights[1]);
      struct hf_document *document = load_with (&(struct config_text){ .route = route });
      g_assert_nonnull (document);
      const struct hf_route *loaded = hf_document_get_route (document, 0);
      double first = (double) hf_route_get_service (loaded, 0)->weight;
      double second = (double) hf_route_get_service (loaded, 1)->weight;
      g_assert_cmpfloat_with_epsilon (first / (first + second), cases[i].share, 1e-9);
      hf_document_unref (document);
      g_free (route);
    }
}

/* --- tests: names and lists --- */

/* Names, hosts and paths of any length. */
static void
test_long_texts (void)
{
  GString *name = g_string_new (NULL);
  while (name->len < LONG_BYTES)
    g_string_append_c (name, 'n');
  char *json
      = g_strdup_printf ("{\"spec\":{\"version\":\"r3\",\"routes\":[{\"name\":\"%1$s\",\"host\":\"%1$s\","
                         "\"path_prefix\":\"/%1$s/\",\"service\":\"%1$s\"}],\"services\":[{\"name\":\"%1$s\","
                         "\"health_path\":\"/%1$s\"}],\"tenants\":[{\"name\":\"%1$s\",\"api_keys\":[\"%1$s\"]}]}}",
                         name->str);
  struct hf_document *document = load_config (json);
  g_assert_nonnull (document);
  g_assert_cmpuint (hf_document_get_route (document, 0)->path_prefix.len, ==, LONG_BYTES + 2);
  g_assert_true (hf_organisations_find (document->organisation_keys, hf_str (name->str)) != NULL);
  hf_document_unref (document);
  g_free (json);
  g_string_free (name, TRUE);
}

/* Appends @format with 0 to @n - 1, with commas. */
static void
append_items (GString *text, const char *format, int n)
{
  for (int i = 0; i < n; i++)
    {
      g_string_append (text, i > 0 ? "," : "");
      g_string_append_printf (text, format, i);
    }
}

/* As many services, keys and parts of a split as an object of the store holds. */
static void
test_long_lists (void)
{
  GString *json = g_string_new ("{\"spec\":{\"version\":\"r3\",\"services\":[");
  append_items (json, "{\"name\":\"s%d\"}", MANY_ITEMS);
  g_string_append (json, "],\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\",\"traffic_split\":[");
  append_items (json, "{\"service\":\"s%d\",\"weight\":1}", MANY_ITEMS / 10);
  g_string_append (json, "]}],\"tenants\":[{\"name\":\"p\",\"api_keys\":[");
  append_items (json, "\"k%d\"", MANY_ITEMS);
  g_string_append (json, "]}]}}");
  struct hf_document *document = load_config (json->str);
  g_assert_nonnull (document);
  g_assert_cmpuint (document->services.n, ==, MANY_ITEMS);
  g_assert_cmpuint (hf_document_get_organisation (document, 0)->keys.n, ==, MANY_ITEMS);
  hf_document_unref (document);
  g_string_free (json, TRUE);
}

/* A version may take away the last service and the last route. An empty split is none. */
static void
test_empty_lists (void)
{
  struct hf_document *document = load_config ("{\"spec\":{\"version\":\"r3\",\"services\":[],\"routes\":[]}}");
  g_assert_nonnull (document);
  hf_document_unref (document);
  document = load_with (&(struct config_text){ .route = ",\"service\":\"b\",\"traffic_split\":[]" });
  g_assert_nonnull (document);
  const struct hf_route *route = hf_document_get_route (document, 0);
  g_assert_cmpuint (route->weighted_services.n, ==, 1);
  g_assert_true (hf_str_equal (hf_route_get_service (route, 0)->service, hf_str ("b")));
  hf_document_unref (document);
}

/* A configuration that contains its list of tenants needs keys, however few there are; one without it needs none.
 * Guards against routes that are opened when the last tenant is taken away. */
static void
test_tenants (void)
{
  static const struct
  {
    const char *member;
    bool needs_keys;
  } members[] = { { "", false },
                  { ",\"tenants\":[]", true },
                  { ",\"tenants\":null", true },
                  { ",\"tenants\":[{\"name\":\"p\"}]", true },
                  { ",\"tenants\":[{\"name\":\"p\",\"api_keys\":[]}]", true },
                  { ",\"tenants\":[{\"name\":\"p\",\"api_keys\":[\"k\"]}]", true } };
  for (size_t i = 0; i < G_N_ELEMENTS (members); i++)
    {
      char *json
          = g_strdup_printf ("{\"spec\":{\"version\":\"r3\",\"services\":[],\"routes\":[]%s}}", members[i].member);
      struct hf_document *document = load_config (json);
      g_assert_nonnull (document);
      g_assert_cmpint (hf_document_needs_keys (document), ==, members[i].needs_keys);
      hf_document_unref (document);
      g_free (json);
    }
}

/* --- tests: anything --- */

/* Values that a writer may choose for a number or a duration. */
static const char *
choose_value (GRand *random)
{
  static const char *const values[] = { "0",         "1",      "-1",      "0.5",    "1e9",       "9223372036854775807",
                                        "1e300",     "-1e300", "\"0ms\"", "\"1s\"", "\"0.1ms\"", "\"9999999s\"",
                                        "\"1e15s\"", "null",   "true",    "\"x\"",  "[]",        "{}" };
  return values[g_rand_int_range (random, 0, G_N_ELEMENTS (values))];
}

static char *
choose_members (GRand *random, const char *const *names)
{
  GString *text = g_string_new (NULL);
  for (; *names; names++)
    if (g_rand_boolean (random))
      g_string_append_printf (text, ",\"%s\":%s", *names, choose_value (random));
  return g_string_free (text, FALSE);
}

/* Every configuration with sound names comes into force, whatever stands in its other members (seeded). */
static void
test_random (void)
{
  static const char *const limits[] = { "max_header_bytes", "max_body_bytes", "header_timeout", "idle_timeout", NULL };
  static const char *const route[]
      = { "route_kind", "timeout", "target_latency", "priority", "max_attempts", "public", "traffic_split", NULL };
  static const char *const service[] = { "health_path", "cold_per_s", "cold_start", NULL };
  static const char *const tenant[] = { "priority", "rate_per_s", "burst", NULL };
  GRand *random = g_rand_new_with_seed (RANDOM_SEED);
  for (int i = 0; i < RANDOM_CONFIGS; i++)
    {
      char *members[] = { choose_members (random, limits), choose_members (random, route),
                          choose_members (random, service), choose_members (random, tenant) };
      char *whole_route = g_strconcat (",\"service\":\"a\"", members[1], NULL);
      struct hf_document *document = load_with (&(struct config_text){ .limits = members[0][0] ? members[0] + 1 : "",
                                                                       .route = whole_route,
                                                                       .service = members[2],
                                                                       .tenant = members[3] });
      if (!document)
        g_error ("rejected: limits %s route %s service %s tenant %s", members[0], whole_route, members[2], members[3]);
      hf_document_unref (document);
      g_free (whole_route);
      for (size_t k = 0; k < G_N_ELEMENTS (members); k++)
        g_free (members[k]);
    }
  g_rand_free (random);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/store-config/limits", test_limits);
  g_test_add_func ("/store-config/route-times", test_route_times);
  g_test_add_func ("/store-config/weights", test_weights);
  g_test_add_func ("/store-config/long-texts", test_long_texts);
  g_test_add_func ("/store-config/long-lists", test_long_lists);
  g_test_add_func ("/store-config/empty-lists", test_empty_lists);
  g_test_add_func ("/store-config/tenants", test_tenants);
  g_test_add_func ("/store-config/random", test_random);
  return g_test_run ();
}
