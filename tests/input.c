/* Bodies of requests and entries of the store, as callers and other writers may send them. */
#include "input.h"

#include <string.h>

/* --- constants --- */

#define CHUNK_BYTES    4096          /* smaller than one read of the entry */
#define NESTED_LEVELS  150000        /* with a key each, less than the store's largest object */
#define UNUSED_ADDRESS "127.0.0.1:1" /* no server listens there */

/* --- bodies --- */

char *
make_content (gsize size)
{
  GString *text = g_string_sized_new (size + 16);
  while (text->len < size)
    g_string_append_printf (text, "%zu.", text->len);
  g_string_truncate (text, size);
  return g_string_free (text, FALSE);
}

void
append_chunks (GString *request, const char *content)
{
  for (gsize left = strlen (content); left > 0;)
    {
      gsize size = MIN (left, CHUNK_BYTES);
      g_string_append_printf (request, "%zx\r\n", size);
      g_string_append_len (request, content, (gssize) size);
      g_string_append (request, "\r\n");
      content += size;
      left -= size;
    }
  g_string_append (request, "0\r\n\r\n");
}

char *
read_body (const char *request)
{
  const char *at = strstr (request, "\r\n\r\n") + 4;
  if (!strstr (request, "chunked\r\n"))
    return g_strdup (at);
  GString *content = g_string_new (NULL);
  for (gsize size = g_ascii_strtoull (at, NULL, 16); size > 0; size = g_ascii_strtoull (at, NULL, 16))
    {
      at = strstr (at, "\r\n") + 2;
      g_string_append_len (content, at, (gssize) size);
      at += size + 2;
    }
  return g_string_free (content, FALSE);
}

/* --- entries of another writer --- */

static char *
make_nested (const char *open, const char *close, guint levels)
{
  GString *text = g_string_new (NULL);
  for (guint i = 0; i < levels; i++)
    g_string_append (text, open);
  g_string_append (text, "1");
  for (guint i = 0; i < levels; i++)
    g_string_append (text, close);
  return g_string_free (text, FALSE);
}

char *
make_odd_entry (guint i)
{
  static const char *const values[] = { "1e999",
                                        "-1e999",
                                        "123456789012345678901234567890",
                                        "-5",
                                        "0",
                                        "3.5e300",
                                        "2.5",
                                        "NaN",
                                        "\"\\ud800\"",
                                        "\"\\udc00\\ud800\"",
                                        "\"\\u0000\"",
                                        "\"\xff\xfe\"",
                                        "\"3\"",
                                        "true",
                                        "null",
                                        "[]",
                                        "{}" };
  static const char *const addresses[]
      = { "127.0.0.1:70000", "127.0.0.1:0",  "127.0.0.1:-1", "127.0.0.1:99999999999999999999",
          "127.0.0.1:",      "127.0.0.1",    "[::1]:80",     "::1:80",
          "256.1.1.1:80",    "127.0.0.1:1 ", "127.0.0.1:+80" };
  static const char format[] = "{\"address\":\"%s\",\"born\":%s,\"info\":{\"service\":\"alpha\",\"version\":\"v1\","
                               "\"zone\":\"z1\",\"slots\":%s},\"status\":{\"state\":\"ready\",\"sequence\":%s,"
                               "\"cold_left\":%s}}";
  const guint n = G_N_ELEMENTS (values);
  if (i < G_N_ELEMENTS (addresses))
    return g_strdup_printf (format, addresses[i], "1", "3", "1", "\"0ms\"");
  i -= G_N_ELEMENTS (addresses);
  if (i < n)
    return g_strdup_printf (format, UNUSED_ADDRESS, "1", values[i], "1", "\"0ms\"");
  i -= n;
  if (i < 2)
    return g_strdup_printf (format, UNUSED_ADDRESS, values[i], "3", "1", "\"0ms\"");
  i -= 2;
  if (i < 2)
    return g_strdup_printf (format, UNUSED_ADDRESS, "1", "3", values[i], "\"0ms\"");
  i -= 2;
  if (i < 2)
    {
      char *nested = make_nested (i ? "{\"a\":" : "[", i ? "}" : "]", NESTED_LEVELS);
      char *entry = g_strdup_printf ("{\"address\":\"%s\",\"info\":%s}", UNUSED_ADDRESS, nested);
      g_free (nested);
      return entry;
    }
  return NULL;
}

guint
count_odd_entries (void)
{
  guint n = 0;
  for (char *spec = make_odd_entry (n); spec; spec = make_odd_entry (n))
    {
      g_free (spec);
      n++;
    }
  return n;
}
