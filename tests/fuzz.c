/*
 * Fuzzing of every decoder that takes bytes from outside, with libFuzzer. The
 * first byte picks the decoder: settings, document, datagram, watch line,
 * object of the platform, requests and answers in pieces, objects of the store.
 */
#include <stddef.h>
#include <stdint.h>

#include "hf-document.h"
#include "hf-http-parser.h"
#include "hf-objects.h"
#include "hf-settings.h"
#include "hf-store-objects.h"
#include "hf-wire.h"

/* --- internal functions --- */

static void
try_settings (struct hf_str text)
{
  struct hf_settings settings;
  struct hf_error error = { 0 };
  if (hf_settings_load (text, &settings, &error))
    hf_settings_unload (&settings);
}

static void
try_document (struct hf_str text)
{
  struct hf_error error = { 0 };
  hf_document_unload (hf_document_load (text, &error));
}

static void
try_datagram (struct hf_str bytes)
{
  struct hf_rpc_message message;
  if (hf_wire_decode (bytes, &message, NULL))
    hf_wire_free (&message);
}

static void
try_watch_line (struct hf_str line)
{
  struct hf_object object;
  struct hf_vm vm;
  struct hf_error error = { 0 };
  if (!hf_object_load_watch (line, &object, &error))
    return;
  hf_vm_read (&object, &vm, &error);
  hf_object_unload (&object);
}

static void
try_object (struct hf_str text)
{
  struct hf_object object;
  struct hf_manifest manifest;
  struct hf_error error = { 0 };
  if (!hf_object_load (text, &object, &error))
    return;
  hf_manifest_read (&object, &manifest, &error);
  hf_object_get_hex (&object, "boot");
  hf_object_get_uint (&object, "epoch");
  hf_object_unload (&object);
}

static bool
take_head (void *context, const struct hf_http_head *head)
{
  (void) context;
  hf_http_head_field (head, "Keep-Alive");
  for (guint i = 0; i < head->fields->len; i++)
    hf_http_head_is_hop_by_hop (head, g_array_index (head->fields, struct hf_header, i).name);
  return true;
}

static void
take_body (void *context, struct hf_str bytes)
{
  (void) context;
  (void) bytes;
}

static void
take_whole (void *context)
{
  (void) context;
}

static void
take_failure (void *context, enum hf_http_parse_error error)
{
  (void) error;
  *(bool *) context = true;
}

/* Messages in pieces of changing size, as a connection brings them. */
static void
try_messages (struct hf_str bytes, bool requests)
{
  static const struct hf_http_parser_callbacks calls
      = { .on_head = take_head, .on_body = take_body, .on_complete = take_whole, .on_error = take_failure };
  bool failed = false;
  struct hf_http_parser *reader = hf_http_parser_open (requests, &calls, &failed);
  hf_http_parser_set_head_limit (reader, 1024);
  for (size_t piece = 1; bytes.len > 0 && !failed; piece = piece * 3 % 61 + 1)
    {
      size_t used = hf_http_parser_feed (reader, (struct hf_str){ bytes.data, MIN (piece, bytes.len) });
      bytes = (struct hf_str){ bytes.data + used, bytes.len - used };
      if (used == 0)
        break;
    }
  hf_http_parser_finish (reader);
  hf_http_parser_close (reader);
}

static void
try_requests (struct hf_str bytes)
{
  try_messages (bytes, true);
}

static void
try_answers (struct hf_str bytes)
{
  try_messages (bytes, false);
}

static void
try_store_object (struct hf_str text)
{
  struct hf_server_report report;
  struct hf_error error = { 0 };
  uint64_t generation;
  char *copy = g_strndup (text.data, text.len);
  JsonNode *node = json_from_string (copy, NULL);
  if (node && JSON_NODE_HOLDS_OBJECT (node))
    {
      hf_store_object_to_server_report (json_node_get_object (node), &report);
      char *document = hf_store_object_to_document (json_node_get_object (node), &generation, &error);
      if (document)
        hf_document_unload (hf_document_load (hf_str (document), &error));
      g_free (document);
    }
  g_clear_pointer (&node, json_node_unref);
  g_free (copy);
}

/* --- public functions --- */

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static void (*const decoders[]) (struct hf_str) = { try_settings, try_document, try_datagram, try_watch_line,
                                                      try_object,   try_requests, try_answers,  try_store_object };
  if (size == 0)
    return 0;
  decoders[data[0] % (sizeof decoders / sizeof *decoders)](
      (struct hf_str){ .data = (const char *) data + 1, .len = size - 1 });
  return 0;
}
