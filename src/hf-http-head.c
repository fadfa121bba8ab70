/* Heads of HTTP/1.1 messages. */
#include "hf-http-head.h"

#include <string.h>

/* --- internal functions --- */

static void
clear_header (void *data)
{
  struct hf_header *header = data;
  hf_str_free (&header->name);
  hf_str_free (&header->value);
}

/* Whether a comma-separated list of tokens contains name. */
static bool
list_contains (struct hf_str list, struct hf_str name)
{
  size_t begin = 0;
  for (size_t i = 0; i <= list.len; i++)
    {
      if (i < list.len && list.data[i] != ',')
        continue;
      struct hf_str token = { .data = list.data + begin, .len = i - begin };
      while (token.len > 0 && strchr (" \t", token.data[0]))
        token = (struct hf_str){ .data = token.data + 1, .len = token.len - 1 };
      while (token.len > 0 && strchr (" \t", token.data[token.len - 1]))
        token.len--;
      if (hf_str_equal_nocase (token, name))
        return true;
      begin = i + 1;
    }
  return false;
}

static const char *
reason_phrase (unsigned status)
{
  static const struct
  {
    unsigned status;
    const char *reason;
  } reasons[] = { { 200, "OK" },
                  { 204, "No Content" },
                  { 400, "Bad Request" },
                  { 401, "Unauthorized" },
                  { 404, "Not Found" },
                  { 405, "Method Not Allowed" },
                  { 408, "Request Timeout" },
                  { 409, "Conflict" },
                  { 413, "Content Too Large" },
                  { 422, "Unprocessable Content" },
                  { 429, "Too Many Requests" },
                  { 431, "Request Header Fields Too Large" },
                  { 500, "Internal Server Error" },
                  { 502, "Bad Gateway" },
                  { 503, "Service Unavailable" },
                  { 504, "Gateway Timeout" } };
  for (size_t i = 0; i < G_N_ELEMENTS (reasons); i++)
    if (reasons[i].status == status)
      return reasons[i].reason;
  return "Answer";
}

static const struct hf_header *
find_field (const struct hf_http_head *head, const char *name)
{
  for (guint i = 0; i < head->fields->len; i++)
    {
      const struct hf_header *field = &g_array_index (head->fields, struct hf_header, i);
      if (hf_str_equal_nocase (field->name, hf_str (name)))
        return field;
    }
  return NULL;
}

/* --- public functions: received heads --- */

struct hf_str
hf_http_head_field (const struct hf_http_head *head, const char *name)
{
  const struct hf_header *field = find_field (head, name);
  return field ? field->value : (struct hf_str){ 0 };
}

bool
hf_http_head_has_field (const struct hf_http_head *head, const char *name)
{
  return find_field (head, name) != NULL;
}

struct hf_http_head *
hf_http_head_copy (const struct hf_http_head *head)
{
  struct hf_http_head *copy = g_memdup2 (head, sizeof *head);
  copy->method = hf_str_dup (head->method);
  copy->target = hf_str_dup (head->target);
  copy->fields = g_array_new (FALSE, FALSE, sizeof (struct hf_header));
  g_array_set_clear_func (copy->fields, clear_header);
  for (guint i = 0; i < head->fields->len; i++)
    {
      const struct hf_header *field = &g_array_index (head->fields, struct hf_header, i);
      struct hf_header header = { .name = hf_str_dup (field->name), .value = hf_str_dup (field->value) };
      g_array_append_val (copy->fields, header);
    }
  return copy;
}

void
hf_http_head_free (struct hf_http_head *head)
{
  hf_str_free (&head->method);
  hf_str_free (&head->target);
  g_array_unref (head->fields);
  g_free (head);
}

bool
hf_http_head_is_hop_by_hop (const struct hf_http_head *head, struct hf_str name)
{
  static const char *const names[] = { "Connection",
                                       "Keep-Alive",
                                       "Proxy-Authenticate",
                                       "Proxy-Authorization",
                                       "Proxy-Connection",
                                       "TE",
                                       "Trailer",
                                       "Transfer-Encoding",
                                       "Upgrade",
                                       "Content-Length",
                                       "Expect" };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (hf_str_equal_nocase (name, hf_str (names[i])))
      return true;
  for (guint i = 0; i < head->fields->len; i++)
    {
      const struct hf_header *field = &g_array_index (head->fields, struct hf_header, i);
      if (hf_str_equal_nocase (field->name, hf_str ("Connection")) && list_contains (field->value, name))
        return true;
    }
  return false;
}

void
hf_http_append_field (GString *text, const char *name, struct hf_str value)
{
  g_string_append (text, name);
  g_string_append (text, ": ");
  g_string_append_len (text, value.data, (gssize) value.len);
  g_string_append (text, "\r\n");
}

/* Whether at most one field declares the body length, and none can be interpreted in two ways. */
bool
hf_http_head_has_clear_length (const struct hf_http_head *head)
{
  unsigned lengths = 0;
  unsigned codings = 0;
  for (guint i = 0; i < head->fields->len; i++)
    {
      const struct hf_header *field = &g_array_index (head->fields, struct hf_header, i);
      if (hf_str_equal_nocase (field->name, hf_str ("Content-Length")))
        lengths++;
      if (!hf_str_equal_nocase (field->name, hf_str ("Transfer-Encoding")))
        continue;
      codings++;
      if (!hf_str_equal_nocase (field->value, hf_str ("chunked")))
        return false;
    }
  return lengths + codings <= 1;
}

bool
hf_http_status_has_no_body (unsigned status)
{
  return status / 100 == 1 || status == 204 || status == 304;
}

bool
hf_http_head_expects_continue (const struct hf_http_head *head)
{
  return hf_str_equal_nocase (hf_http_head_field (head, "Expect"), hf_str ("100-continue"));
}

/* --- public functions: heads to be sent --- */

GString *
hf_http_response_head_format (const struct hf_http_response_head *head)
{
  GString *text = g_string_sized_new (head->fields.len + 128);
  g_string_append_printf (text, "HTTP/1.1 %u %s\r\n", head->status, reason_phrase (head->status));
  g_string_append_len (text, head->fields.data, (gssize) head->fields.len);
  if (head->chunked)
    g_string_append (text, "Transfer-Encoding: chunked\r\n");
  else if (head->content_length >= 0)
    g_string_append_printf (text, "Content-Length: %" G_GINT64_FORMAT "\r\n", head->content_length);
  if (head->closes)
    g_string_append (text, "Connection: close\r\n");
  g_string_append (text, "\r\n");
  return text;
}
