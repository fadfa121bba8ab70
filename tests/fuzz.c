/*
 * libFuzzer target for every decoder of bytes from outside the process. The
 * first byte selects the decoder: settings, document, datagram, watch line,
 * platform object, HTTP requests and HTTP responses in pieces, store object,
 * packed document, encoded document, an HTTP response against a naive reader.
 */
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "hf-adapter.h"
#include "hf-document.h"
#include "hf-document-pack.h"
#include "hf-http-parser.h"
#include "hf-json.h"
#include "hf-objects.h"
#include "hf-settings.h"
#include "response-reader.h"
#include "hf-store-objects.h"
#include "hf-wire.h"

/* --- constants --- */

#define NAIVE_PIECE_BYTES    7  /* as they arrive on a connection */
#define ENCODED_HEADER_BYTES 12 /* mark and hash of the table, in front of the values */

/* --- internal functions --- */

static void
fuzz_settings (struct hf_str text)
{
  struct hf_settings settings;
  struct hf_error error = { 0 };
  if (hf_settings_load (text, &settings, &error))
    hf_settings_unload (&settings);
}

static void
fuzz_document (struct hf_str text)
{
  struct hf_error error = { 0 };
  hf_document_unref (hf_document_load (text, &error));
}

static void
fuzz_datagram (struct hf_str bytes)
{
  struct hf_rpc_message message;
  if (hf_wire_decode (bytes, &message, NULL))
    hf_wire_free (&message);
}

static void
fuzz_watch_line (struct hf_str line)
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
fuzz_object (struct hf_str text)
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
on_head (void *context, const struct hf_http_head *head)
{
  (void) context;
  hf_http_head_field (head, "Keep-Alive");
  for (guint i = 0; i < head->fields->len; i++)
    hf_http_head_is_hop_by_hop (head, g_array_index (head->fields, struct hf_header, i).name);
  struct hf_event event = { 0 };
  hf_header_codec_read_key (&hf_header_codec_default, head, &event);
  hf_header_codec_read_key (&hf_adapter_header_codec, head, &event);
  hf_header_codec_default.read_response (head);
  struct hf_response_hints hints = hf_adapter_header_codec.read_response (head);
  hf_header_codec_has_restriction (&hf_adapter_header_codec, head, &hints, hf_str ("i-1"));
  return true;
}

static void
on_body (void *context, struct hf_str bytes)
{
  (void) context;
  (void) bytes;
}

static void
on_complete (void *context)
{
  (void) context;
}

static void
on_error (void *context, enum hf_http_parse_error error)
{
  (void) error;
  *(bool *) context = true;
}

/* Feeds HTTP messages in pieces of changing size, as they arrive on a connection. */
static void
fuzz_messages (struct hf_str bytes, bool requests)
{
  static const struct hf_http_parser_callbacks callbacks
      = { .on_head = on_head, .on_body = on_body, .on_complete = on_complete, .on_error = on_error };
  bool failed = false;
  struct hf_http_parser *parser = hf_http_parser_open (requests, &callbacks, &failed);
  hf_http_parser_set_head_limit (parser, 1024);
  for (size_t piece = 1; bytes.len > 0 && !failed; piece = piece * 3 % 61 + 1)
    {
      size_t used = hf_http_parser_feed (parser, (struct hf_str){ bytes.data, MIN (piece, bytes.len) });
      bytes = (struct hf_str){ bytes.data + used, bytes.len - used };
      if (used == 0)
        break;
    }
  hf_http_parser_finish (parser);
  hf_http_parser_close (parser);
}

static void
fuzz_requests (struct hf_str bytes)
{
  fuzz_messages (bytes, true);
}

static void
fuzz_responses (struct hf_str bytes)
{
  fuzz_messages (bytes, false);
}

/* The first response on a connection, against a strict reader: complete for both with the same body, or for none. */
static void
fuzz_response_against_naive (struct hf_str bytes)
{
  struct naive_response expected = naive_response_read (bytes);
  struct naive_response found = response_reader_read (bytes, NAIVE_PIECE_BYTES);
  if (found.complete != expected.complete)
    abort ();
  if (found.complete && (found.status != expected.status || !g_string_equal (found.body, expected.body)))
    abort ();
  g_string_free (expected.body, TRUE);
  g_string_free (found.body, TRUE);
}

static void
fuzz_store_object (struct hf_str text)
{
  struct hf_server_report report;
  struct hf_error error = { 0 };
  uint64_t generation;
  struct hf_str encoded;
  unsigned replaced;
  JsonParser *parser = json_parser_new ();
  JsonObject *object = hf_json_load (parser, text, &replaced, &error);
  if (object)
    hf_store_object_to_server_report (object, &report);
  if (object && hf_store_object_to_document (object, &generation, &encoded, &error))
    {
      hf_document_unref (hf_document_load (encoded, &error));
      hf_str_free (&encoded);
    }
  g_object_unref (parser);
}

static void
fuzz_encoded_document (struct hf_str bytes)
{
  struct hf_document *empty = hf_document_new (0, 0);
  struct hf_str encoded = hf_document_encode (empty);
  struct hf_error error = { 0 };
  GString *text = g_string_new_len (encoded.data, ENCODED_HEADER_BYTES);
  g_string_append_len (text, bytes.data, (gssize) bytes.len);
  hf_document_unref (hf_document_load ((struct hf_str){ text->str, text->len }, &error));
  g_string_free (text, TRUE);
  hf_str_free (&encoded);
  hf_document_unref (empty);
}

static void
fuzz_packed_document (struct hf_str bytes)
{
  struct hf_str text;
  size_t declared = bytes.len > 0 ? (size_t) (uint8_t) bytes.data[0] * 16 : 0;
  if (bytes.len > 0 && hf_document_unpack ((struct hf_str){ bytes.data + 1, bytes.len - 1 }, declared, &text))
    hf_str_free (&text);
}

/* --- public functions --- */

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static void (*const decoders[]) (struct hf_str) = { fuzz_settings,
                                                      fuzz_document,
                                                      fuzz_datagram,
                                                      fuzz_watch_line,
                                                      fuzz_object,
                                                      fuzz_requests,
                                                      fuzz_responses,
                                                      fuzz_store_object,
                                                      fuzz_packed_document,
                                                      fuzz_encoded_document,
                                                      fuzz_response_against_naive };
  if (size == 0)
    return 0;
  decoders[data[0] % (sizeof decoders / sizeof *decoders)](
      (struct hf_str){ .data = (const char *) data + 1, .len = size - 1 });
  return 0;
}
