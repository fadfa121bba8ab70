/* Keys of the organisations of a document. */
#include "hf-organisations.h"

#include <glib.h>
#include <string.h>

/* --- types --- */

struct key_entry
{
  uint64_t hash; /* of the key, with the seed of the table */
  struct hf_str key;
  const struct hf_organisation *organisation;
};

struct hf_organisations
{
  uint64_t seed;
  struct key_entry *entries;
  GHashTable *by_key; /* struct key_entry of @entries, as a set */
};

/* --- internal functions: table --- */

static guint
hash_entry (gconstpointer data)
{
  const struct key_entry *entry = data;
  return (guint) entry->hash;
}

/* The time does not depend on where the bytes differ. */
static bool
has_equal_bytes (struct hf_str a, struct hf_str b)
{
  unsigned difference = a.len != b.len;
  for (size_t i = 0; i < MIN (a.len, b.len); i++)
    difference |= (unsigned char) a.data[i] ^ (unsigned char) b.data[i];
  return difference == 0;
}

static gboolean
is_same_entry (gconstpointer a, gconstpointer b)
{
  const struct key_entry *left = a;
  const struct key_entry *right = b;
  return left->hash == right->hash && has_equal_bytes (left->key, right->key);
}

/* --- internal functions: checks --- */

static bool
set_error_at (struct hf_error *error, const char *message, size_t organisation, const char *member)
{
  hf_error_set (error, HF_ERROR_INVALID, "%s", message);
  if (error)
    g_snprintf (error->path, sizeof error->path, "organisations[%zu].%s", organisation, member);
  return false;
}

static bool
has_control_byte (struct hf_str text)
{
  for (size_t i = 0; i < text.len; i++)
    if (g_ascii_iscntrl (text.data[i]))
      return true;
  return false;
}

/* A name is sent as the value of a header field, whose outer blanks a receiver removes. */
static bool
is_field_value (struct hf_str text)
{
  return text.len > 0 && !has_control_byte (text) && text.data[0] != ' ' && text.data[text.len - 1] != ' ';
}

static bool
is_key (struct hf_str text)
{
  return text.len > 0 && !has_control_byte (text) && !memchr (text.data, ' ', text.len);
}

static bool
add_key (struct hf_organisations *table, struct key_entry *entry, size_t i, size_t k, struct hf_error *error)
{
  char member[40];
  g_snprintf (member, sizeof member, "keys[%zu]", k);
  if (!is_key (entry->key))
    return set_error_at (error, "expected a key of at least one byte, without blanks and control bytes", i, member);
  entry->hash = hf_hash (entry->key, table->seed);
  const struct key_entry *known = g_hash_table_lookup (table->by_key, entry);
  if (known && known->organisation != entry->organisation)
    return set_error_at (error, "expected a key that no other organisation has", i, member);
  if (!known)
    g_hash_table_add (table->by_key, entry);
  return true;
}

static bool
add_names (const struct hf_list *organisations, struct hf_error *error)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
  bool ok = true;
  for (size_t i = 0; ok && i < organisations->n; i++)
    {
      const struct hf_organisation *organisation = (const struct hf_organisation *) organisations->items + i;
      if (!is_field_value (organisation->name))
        ok = set_error_at (error, "expected a name without control bytes that begins and ends with no blank", i,
                           "name");
      else if (!g_hash_table_add (names, (char *) organisation->name.data))
        ok = set_error_at (error, "expected a name that no other organisation has", i, "name");
    }
  g_hash_table_destroy (names);
  return ok;
}

static size_t
count_keys (const struct hf_list *organisations)
{
  size_t n = 0;
  for (size_t i = 0; i < organisations->n; i++)
    n += ((const struct hf_organisation *) organisations->items)[i].keys.n;
  return n;
}

/* --- public functions: init and close --- */

struct hf_organisations *
hf_organisations_new (const struct hf_list *organisations, uint64_t seed, struct hf_error *error)
{
  struct hf_organisations *table = g_new0 (struct hf_organisations, 1);
  table->seed = seed;
  table->entries = g_new (struct key_entry, count_keys (organisations));
  table->by_key = g_hash_table_new (hash_entry, is_same_entry);
  bool ok = add_names (organisations, error);
  struct key_entry *entry = table->entries;
  for (size_t i = 0; ok && i < organisations->n; i++)
    {
      const struct hf_organisation *organisation = (const struct hf_organisation *) organisations->items + i;
      for (size_t k = 0; ok && k < organisation->keys.n; k++, entry++)
        {
          entry->key = ((const struct hf_str *) organisation->keys.items)[k];
          entry->organisation = organisation;
          ok = add_key (table, entry, i, k, error);
        }
    }
  if (ok)
    return table;
  hf_organisations_free (table);
  return NULL;
}

void
hf_organisations_free (struct hf_organisations *table)
{
  if (!table)
    return;
  g_hash_table_destroy (table->by_key);
  g_free (table->entries);
  g_free (table);
}

/* --- public functions: look up --- */

const struct hf_organisation *
hf_organisations_find (const struct hf_organisations *table, struct hf_str key)
{
  if (!table || key.len == 0)
    return NULL;
  const struct key_entry wanted = { .hash = hf_hash (key, table->seed), .key = key };
  const struct key_entry *entry = g_hash_table_lookup (table->by_key, &wanted);
  return entry ? entry->organisation : NULL;
}

/* --- public functions: values --- */

uint64_t
hf_organisation_id (const struct hf_organisation *organisation)
{
  return organisation ? hf_hash (organisation->name, 0) : 0;
}

void
hf_organisations_key_digest (struct hf_str key, char digest[HF_KEY_DIGEST_CHARS + 1])
{
  char *all = g_compute_checksum_for_data (G_CHECKSUM_SHA256, (const guchar *) key.data, key.len);
  g_strlcpy (digest, all, HF_KEY_DIGEST_CHARS + 1);
  g_free (all);
}
