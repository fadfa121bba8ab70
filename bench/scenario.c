/* Load and documents of the two organisations. */
#include "scenario.h"

/* --- constants --- */

static const struct scenario_service association_services[] = {
  { "history", "/history", 15 },
  { "recording", "/tests", 8 },
  { "certificates", "/certificates", 6 },
  { "clearance", "/clearance", 6 },
  { 0 },
};

static const struct load_class association_classes[] = {
  { "read-history", "history", "GET", "/history/d-1", 1.0, 2, 1000, TRUE, TRUE, 0 },
  { "register-test", "recording", "POST", "/tests", 1.0, 8, 2000, FALSE, FALSE, 400 },
  { "upload-certificate", "certificates", "POST", "/certificates", 0.3, 3, 5000, FALSE, FALSE, 40000 },
  { "read-certificate", "certificates", "GET", "/certificates/c-1", 0.7, 2, 1000, TRUE, TRUE, 0 },
  { "check-clearance", "clearance", "GET", "/clearance/d-1", 1.0, 10, 1000, TRUE, TRUE, 0 },
  { 0 },
};

static const struct scenario_service nonprofit_services[] = {
  { "status", "/status", 20 },
  { "filing", "/registrations", 11 },
  { "evidence", "/evidence", 6 },
  { "claims", "/claims", 6 },
  { 0 },
};

static const struct load_class nonprofit_classes[] = {
  { "query-status", "status", "GET", "/status/w-1", 1.0, 3, 800, TRUE, TRUE, 0 },
  { "file-registration", "filing", "POST", "/registrations", 1.0, 10, 3000, FALSE, FALSE, 600 },
  { "upload-evidence", "evidence", "POST", "/evidence", 1.0, 1, 20000, FALSE, FALSE, 60000 },
  { "read-claims", "claims", "GET", "/claims/w-1", 1.0, 5, 1000, TRUE, TRUE, 0 },
  { 0 },
};

const struct scenario scenario_association = { .name = "association",
                                               .services = association_services,
                                               .classes = association_classes,
                                               .slots_per_server = 3,
                                               .connections_per_server = 220 };
const struct scenario scenario_nonprofit = { .name = "non-profit",
                                             .services = nonprofit_services,
                                             .classes = nonprofit_classes,
                                             .slots_per_server = 4,
                                             .connections_per_server = 260 };

/* --- internal functions --- */

static void
write_class (GString *text, const struct load_class *class)
{
  g_string_append_printf (text,
                          "      - name: %s\n        methods: [%s]\n        worth: %d\n        "
                          "deadline_ms: %d\n        repeatable: %s\n        hedge: %s\n",
                          class->name, class->method, class->worth, class->deadline_ms,
                          class->repeatable ? "true" : "false", class->hedge ? "true" : "false");
}

/* --- public functions --- */

int
scenario_server_count (const struct scenario *scenario)
{
  int n = 0;
  for (const struct scenario_service *service = scenario->services; service->name; service++)
    n += service->server_count;
  return n;
}

char *
scenario_make_document (const struct scenario *scenario,
                        GPtrArray *addresses,
                        const char *policy,
                        const char *service_keys)
{
  GString *text = g_string_new ("version: 1\nentries_max: 19\nservices:\n");
  guint next = 0;
  for (const struct scenario_service *service = scenario->services; service->name; service++)
    {
      g_string_append_printf (text, "  - name: %s\n    path_prefix: %s\n    policy: %s\n%s    servers:\n",
                              service->name, service->path, policy, service_keys ? service_keys : "");
      for (int i = 0; i < service->server_count; i++, next++)
        g_string_append_printf (text,
                                "      - {name: %s-%d, address: \"%s\", failure_domain: d%d, "
                                "slots: %d, connections: %d}\n",
                                service->name, i + 1, (char *) g_ptr_array_index (addresses, next), i % 3 + 1,
                                scenario->slots_per_server, scenario->connections_per_server);
      g_string_append (text, "    classes:\n");
      for (const struct load_class *class = scenario->classes; class->name; class ++)
        if (g_str_equal (class->service, service->name))
          write_class (text, class);
    }
  return g_string_free (text, FALSE);
}

double
scenario_capacity (const struct scenario *scenario, double mean_ms)
{
  return scenario_server_count (scenario) * scenario->slots_per_server * 1000.0 / mean_ms;
}
