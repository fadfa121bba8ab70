/* A small deployment. */
#include "fleet.h"

#include <string.h>

#define READY_TIMEOUT_MS 20000
#define SETTLE_MS        1500
#define STARTS_MAX       3

static GMutex sent_mutex;
static GHashTable *sent; /* digest by request id */

void
sent_add (const char *id, const GByteArray *body)
{
  char text[20];
  g_mutex_lock (&sent_mutex);
  if (!sent)
    sent = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_insert (sent, g_strdup (id), g_strdup (digest (body, text)));
  g_mutex_unlock (&sent_mutex);
  record ("caller: sends id=%s bytes=%u digest=%s", id, body->len, text);
}

bool
sent_matches (const struct backend *backend, const struct message *request)
{
  char id[256];
  char text[20];
  header (request, "X-Attempt-Id", id);
  g_mutex_lock (&sent_mutex);
  const char *expected = sent ? g_hash_table_lookup (sent, id) : NULL;
  g_mutex_unlock (&sent_mutex);
  if (expected && strcmp (expected, digest (request->body, text)) == 0)
    return true;
  record ("UNASKED: backend %s gets a complete request id=%s with another body: bytes=%u digest=%s, sent: %s",
          backend->id, id, request->body->len, digest (request->body, text), expected ? expected : "no such id");
  return false;
}

void
fleet_configure (struct fleet *fleet, unsigned version)
{
  GString *idle = g_string_new (NULL);
  for (unsigned i = 0; i < fleet->idle_routes; i++)
    g_string_append_printf (idle,
                            ",{\"name\":\"r-idle-%u\",\"host\":\"" FLEET_HOST "\",\"path_prefix\":\"/idle%u/\","
                            "\"route_kind\":\"safe\",\"timeout\":\"1500ms\",\"target_latency\":\"400ms\","
                            "\"priority\":2,\"service\":\"reads\",\"max_attempts\":2}",
                            i, i);
  char *spec = g_strdup_printf (
      "{\"version\":\"r%u\",\"routes\":["
      "{\"name\":\"r-up\",\"host\":\"" FLEET_HOST "\",\"path_prefix\":\"/up/\",\"route_kind\":\"upload\","
      "\"timeout\":\"3000ms\",\"target_latency\":\"600ms\",\"priority\":1,\"service\":\"uploads\",\"max_attempts\":2},"
      "{\"name\":\"r-un\",\"host\":\"" FLEET_HOST "\",\"path_prefix\":\"/un/\",\"route_kind\":\"unsafe\","
      "\"timeout\":\"2000ms\",\"target_latency\":\"500ms\",\"priority\":1,\"service\":\"uploads\",\"max_attempts\":2},"
      "{\"name\":\"r-ur\",\"host\":\"" FLEET_HOST "\",\"path_prefix\":\"/ur/\",\"route_kind\":\"safe\","
      "\"timeout\":\"1500ms\",\"target_latency\":\"400ms\",\"priority\":2,\"service\":\"uploads\",\"max_attempts\":2},"
      "{\"name\":\"r-re\",\"host\":\"" FLEET_HOST "\",\"path_prefix\":\"/re/\",\"route_kind\":\"safe\","
      "\"timeout\":\"1500ms\",\"target_latency\":\"400ms\",\"priority\":2,\"service\":\"reads\",\"max_attempts\":2},"
      "{\"name\":\"r-version\",\"host\":\"" FLEET_HOST "\",\"path_prefix\":\"/version%u/\",\"route_kind\":\"safe\","
      "\"timeout\":\"1500ms\",\"target_latency\":\"400ms\",\"priority\":2,\"service\":\"reads\",\"max_attempts\":2}%s],"
      "\"services\":[{\"name\":\"uploads\",\"health_path\":\"/health\",\"max_conns\":260,\"protocol\":\"h1\","
      "\"tls\":false},{\"name\":\"reads\",\"health_path\":\"/health\",\"max_conns\":260,\"protocol\":\"h1\","
      "\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
      "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}",
      version, version, idle->str);
  store_put (fleet->store, "config", "main", spec);
  g_string_free (idle, TRUE);
  g_free (spec);
}

static void
start_backends (struct fleet *fleet, struct backend *backends, unsigned n, const char *service, unsigned work_ms)
{
  for (unsigned i = 0; i < n; i++)
    {
      struct backend *backend = &backends[i];
      g_snprintf (backend->id, sizeof backend->id, "i-%s-%u", service, i);
      g_strlcpy (backend->service, service, sizeof backend->service);
      g_snprintf (backend->zone, sizeof backend->zone, "zone-%u", i % FLEET_ENTRIES + 1);
      backend->store = fleet->store;
      backend->slots = 4;
      backend->queue = 16;
      backend->work_ms = work_ms;
      backend_start (backend);
    }
}

/* Another program may take a free port before the entry does: the entry is then started once more, with other ports. */
static void
wait_ready (struct fleet *fleet, struct entry *entry)
{
  for (unsigned starts = 1; !entry_wait_ready (entry, READY_TIMEOUT_MS); starts++)
    {
      if (starts == STARTS_MAX || entry_is_running (entry))
        give_up ("entry %s does not get ready", entry->name);
      entry->front[0] = 0;
      entry_start (entry, fleet->store, true);
    }
}

void
fleet_start (struct fleet *fleet)
{
  fleet->store = store_start ();
  fleet_configure (fleet, 7);
  start_backends (fleet, fleet->uploads, FLEET_UPLOADS, "uploads", 40);
  start_backends (fleet, fleet->reads, FLEET_READS, "reads", 20);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    {
      struct entry *entry = &fleet->entries[i];
      g_snprintf (entry->name, sizeof entry->name, "front-zone-%u-1", i + 1);
      g_snprintf (entry->zone, sizeof entry->zone, "zone-%u", i + 1);
      entry_start (entry, fleet->store, true);
    }
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    wait_ready (fleet, &fleet->entries[i]);
  sleep_ms (SETTLE_MS);
  record ("fleet: all entries are ready");
}
