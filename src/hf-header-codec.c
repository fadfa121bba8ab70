/* Default header fields between callers, entries and backend servers. */
#include "hf-header-codec.h"

#include <string.h>

/* --- constants --- */

#define RETRY_AFTER_MAX_SEC 3600

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
}

static struct hf_response_hints
read_response (const struct hf_http_head *head)
{
  struct hf_response_hints hints = { .status = head->status, .load = -1, .retry_after_ms = -1 };
  int64_t retry = hf_header_codec_parse_number (hf_http_head_field (head, "Retry-After"), RETRY_AFTER_MAX_SEC);
  hints.load = (int) hf_header_codec_parse_number (hf_http_head_field (head, "Backend-Load"), G_MAXINT32);
  if (retry >= 0)
    hints.retry_after_ms = retry * 1000;
  hints.draining = hf_str_equal (hf_http_head_field (head, "Backend-State"), hf_str ("draining"));
  hints.not_run = hf_str_equal (hf_http_head_field (head, "Backend-Outcome"), hf_str ("not-run"));
  return hints;
}

/* --- public data --- */

const struct hf_header_codec hf_header_codec_default = { .request_id_field = "X-Request-Id",
                                                         .generates_request_id = true,
                                                         .read_request = read_request,
                                                         .is_replaced = is_replaced,
                                                         .write_forward_fields = write_forward_fields,
                                                         .read_response = read_response };

/* --- public functions --- */

bool
hf_header_codec_has_restriction (const struct hf_header_codec *codec,
                                 const struct hf_http_head *head,
                                 const struct hf_response_hints *hints,
                                 struct hf_str name)
{
  if (!hints->leaving || hints->wrong_instance)
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
