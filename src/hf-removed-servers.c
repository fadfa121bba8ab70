/* Bounded memory of removed backend servers. */
#include "hf-removed-servers.h"

#include "config.h"

/* --- types --- */

struct removed_server
{
  struct hf_server_report report; /* incarnation and sequence only */
  struct hf_store_position position;
  int64_t removed_at;
};

struct hf_removed_servers
{
  GHashTable *by_name; /* struct removed_server */
};

/* --- internal functions --- */

static struct removed_server *
find (const struct hf_removed_servers *removed, struct hf_str name)
{
  char *text = g_strndup (name.data, name.len);
  struct removed_server *server = g_hash_table_lookup (removed->by_name, text);
  g_free (text);
  return server;
}

static void
drop_oldest (struct hf_removed_servers *removed)
{
  GHashTableIter iter;
  char *name;
  const struct removed_server *server;
  const char *oldest_name = NULL;
  int64_t oldest_at = G_MAXINT64;
  g_hash_table_iter_init (&iter, removed->by_name);
  while (g_hash_table_iter_next (&iter, (gpointer *) &name, (gpointer *) &server))
    if (server->removed_at < oldest_at)
      {
        oldest_at = server->removed_at;
        oldest_name = name;
      }
  if (oldest_name)
    g_hash_table_remove (removed->by_name, oldest_name);
}

/* --- public functions --- */

struct hf_removed_servers *
hf_removed_servers_open (void)
{
  struct hf_removed_servers *removed = g_new0 (struct hf_removed_servers, 1);
  removed->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return removed;
}

void
hf_removed_servers_close (struct hf_removed_servers *removed)
{
  g_hash_table_destroy (removed->by_name);
  g_free (removed);
}

void
hf_removed_servers_add (struct hf_removed_servers *removed,
                        const struct hf_server_report *report,
                        struct hf_store_position position,
                        int64_t now)
{
  struct removed_server *server = find (removed, report->name);
  if (!server)
    {
      if (g_hash_table_size (removed->by_name) >= HF_DIRECTORY_REMOVED_MAX)
        drop_oldest (removed);
      server = g_new0 (struct removed_server, 1);
      g_hash_table_insert (removed->by_name, g_strndup (report->name.data, report->name.len), server);
    }
  server->removed_at = now;
  server->position = hf_store_position_max (server->position, position);
  if (hf_server_report_compare_age (report, &server->report) <= 0)
    return;
  server->report = (struct hf_server_report){ .incarnation = report->incarnation, .sequence = report->sequence };
}

void
hf_removed_servers_forget (struct hf_removed_servers *removed, struct hf_str name)
{
  char *text = g_strndup (name.data, name.len);
  g_hash_table_remove (removed->by_name, text);
  g_free (text);
}

const struct hf_server_report *
hf_removed_servers_find (const struct hf_removed_servers *removed, struct hf_str name, int64_t now)
{
  const struct removed_server *server = find (removed, name);
  bool is_recent = server && now - server->removed_at < HF_DIRECTORY_REMOVED_SEC * HF_SEC;
  return is_recent ? &server->report : NULL;
}

struct hf_store_position
hf_removed_servers_find_position (const struct hf_removed_servers *removed, struct hf_str name)
{
  const struct removed_server *server = find (removed, name);
  return server ? server->position : (struct hf_store_position){ 0 };
}
