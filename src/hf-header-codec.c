/* Default header fields between callers, entries and backend servers. */
#include "hf-header-codec.h"

#include <libsoup/soup.h>
#include <string.h>

#include "config.h"

/* --- constants --- */

#define RETRY_AFTER_FIELD  "Retry-After"
#define ORGANISATION_FIELD "Hickory-Organisation"
#define DATE_BYTES_MAX     64 /* of an HTTP date */

/* --- internal functions: Retry-After --- */

/* Seconds with or without a fraction, in milliseconds, rounded up; -1: anything else. */
static int64_t
parse_seconds (struct hf_str text)
{
  const int64_t max_ms = HF_RETRY_AFTER_MAX_SEC * 1000;
  int64_t ms = 0;
  int64_t unit_ms = 1000;
  bool has_rest = false;
  size_t i = 0;
  for (; i < text.len && g_ascii_isdigit (text.data[i]); i++)
    ms = MIN (ms * 10 + (text.data[i] - '0') * unit_ms, max_ms);
  if (i == 0)
    return -1;
  if (i == text.len)
    return ms;
  if (text.data[i++] != '.' || i == text.len)
    return -1;
  for (; i < text.len && g_ascii_isdigit (text.data[i]); i++)
    {
      unit_ms /= 10;
      ms += (text.data[i] - '0') * unit_ms;
      has_rest = has_rest || (unit_ms == 0 && text.data[i] != '0');
    }
  return i == text.len ? MIN (ms + has_rest, max_ms) : -1;
}

/* Time until an HTTP date, in milliseconds; 0: it has passed; -1: no date. */
static int64_t
parse_date (struct hf_str text, int64_t wall_time)
{
  char date[DATE_BYTES_MAX];
  if (text.len == 0 || text.len >= sizeof date || !g_ascii_isalpha (text.data[0]))
    return -1;
  memcpy (date, text.data, text.len);
  date[text.len] = 0;
  GDateTime *at = soup_date_time_new_from_http_string (date);
  if (!at)
    return -1;
  int64_t ms = (g_date_time_to_unix (at) * HF_SEC - wall_time) / HF_MS;
  g_date_time_unref (at);
  return CLAMP (ms, 0, HF_RETRY_AFTER_MAX_SEC * 1000);
}

/* --- internal functions: key of an organisation --- */

static bool
is_blank (char byte)
{
  return byte == ' ' || byte == '\t';
}

/* Reads "scheme key"; returns false if the value has another scheme or no key. */
static bool
parse_key (struct hf_str value, struct hf_str scheme, struct hf_str *key)
{
  size_t i = scheme.len;
  if (value.len <= i || !hf_str_equal_nocase ((struct hf_str){ value.data, i }, scheme) || !is_blank (value.data[i]))
    return false;
  while (i < value.len && is_blank (value.data[i]))
    i++;
  *key = (struct hf_str){ value.data + i, value.len - i };
  return key->len > 0;
}

/* --- internal functions --- */

static void
read_request (const struct hf_http_head *head, struct hf_event *event)
{
  event->request.idempotency_key = hf_http_head_field (head, "Idempotency-Key");
}

static bool
is_replaced (struct hf_str name)
{
  return hf_str_equal_nocase (name, hf_str ("Request-Deadline-Ms"));
}

static void
write_forward_fields (GString *text, const struct hf_forward_info *info)
{
  g_string_append_printf (text, "Request-Deadline-Ms: %" G_GINT64_FORMAT "\r\n", info->remaining_ms);
  if (info->organisation.len > 0)
    hf_http_append_field (text, ORGANISATION_FIELD, info->organisation);
}

static struct hf_response_hints
read_response (const struct hf_http_head *head)
{
  struct hf_response_hints hints = { .status = head->status, .load = -1, .retry_after_ms = -1 };
  hints.load = (int) hf_header_codec_parse_number (hf_http_head_field (head, "Backend-Load"), G_MAXINT32);
  hf_header_codec_read_retry_after (head, g_get_real_time (), &hints);
  hints.draining = hf_str_equal (hf_http_head_field (head, "Backend-State"), hf_str ("draining"));
  hints.not_run = hf_str_equal (hf_http_head_field (head, "Backend-Outcome"), hf_str ("not-run"));
  return hints;
}

/* --- public data --- */

const struct hf_header_codec hf_header_codec_default = { .request_id_field = "X-Request-Id",
                                                         .generates_request_id = true,
                                                         .key_field = "Authorization",
                                                         .key_scheme = "Bearer",
                                                         .organisation_field = ORGANISATION_FIELD,
                                                         .read_request = read_request,
                                                         .is_replaced = is_replaced,
                                                         .write_forward_fields = write_forward_fields,
                                                         .read_response = read_response };

/* --- public functions --- */

struct hf_str
hf_header_codec_request_id (const struct hf_header_codec *codec, const struct hf_http_head *head)
{
  return hf_http_head_field (head, codec->request_id_field);
}

bool
hf_header_codec_is_response_to (const struct hf_header_codec *codec,
                                const struct hf_http_head *head,
                                struct hf_str request_id)
{
  return !codec->echoes_request_id || hf_str_equal (hf_header_codec_request_id (codec, head), request_id);
}

void
hf_header_codec_read_key (const struct hf_header_codec *codec, const struct hf_http_head *head, struct hf_event *event)
{
  struct hf_str key = { 0 };
  event->request.credential = HF_CREDENTIAL_NONE;
  for (guint i = 0; i < head->fields->len; i++)
    {
      const struct hf_header *field = &g_array_index (head->fields, struct hf_header, i);
      if (!hf_str_equal_nocase (field->name, hf_str (codec->key_field)))
        continue;
      bool is_first = event->request.credential == HF_CREDENTIAL_NONE;
      bool is_valid = parse_key (field->value, hf_str (codec->key_scheme), &key);
      event->request.credential = is_valid ? HF_CREDENTIAL_KEY : HF_CREDENTIAL_MALFORMED;
      if (!is_first)
        event->request.credential = HF_CREDENTIAL_SEVERAL;
    }
  event->request.organisation_key = event->request.credential == HF_CREDENTIAL_KEY ? key : (struct hf_str){ 0 };
}

bool
hf_header_codec_is_organisation_field (const struct hf_header_codec *codec, struct hf_str name)
{
  return hf_str_equal_nocase (name, hf_str (codec->key_field))
         || hf_str_equal_nocase (name, hf_str (codec->organisation_field));
}

void
hf_header_codec_read_retry_after (const struct hf_http_head *head, int64_t wall_time, struct hf_response_hints *hints)
{
  if (head->status < 400)
    return;
  for (guint i = 0; i < head->fields->len; i++)
    {
      const struct hf_header *field = &g_array_index (head->fields, struct hf_header, i);
      if (!hf_str_equal_nocase (field->name, hf_str (RETRY_AFTER_FIELD)))
        continue;
      int64_t ms = MAX (parse_seconds (field->value), parse_date (field->value, wall_time));
      hints->retry_after_ms = MAX (hints->retry_after_ms, ms);
      hints->retry_after_invalid = hints->retry_after_invalid || ms < 0;
    }
}

bool
hf_header_codec_has_restriction (const struct hf_header_codec *codec,
                                 const struct hf_http_head *head,
                                 const struct hf_response_hints *hints,
                                 struct hf_str name)
{
  bool pushes_back = hints->status == 503 && (hints->retry_after_ms > 0 || hints->retry_after_invalid);
  if (!(hints->leaving || pushes_back) || hints->wrong_instance)
    return false;
  struct hf_str instance = codec->instance_field ? hf_http_head_field (head, codec->instance_field) : hf_str ("");
  return instance.len == 0 || name.len == 0 || hf_str_equal (instance, name);
}

int64_t
hf_header_codec_parse_number (struct hf_str text, int64_t max)
{
  int64_t number = 0;
  if (text.len == 0)
    return -1;
  for (size_t i = 0; i < text.len; i++)
    {
      if (!g_ascii_isdigit (text.data[i]))
        return -1;
      number = number * 10 + (text.data[i] - '0');
      if (number > max)
        return -1;
    }
  return number;
}
