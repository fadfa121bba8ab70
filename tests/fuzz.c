/*
 * Fuzzing of every decoder that takes bytes from outside, with libFuzzer. The
 * first byte picks the decoder: settings, document, datagram, watch line,
 * object of the platform.
 */
#include <stddef.h>
#include <stdint.h>

#include "hf-document.h"
#include "hf-objects.h"
#include "hf-settings.h"
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
  hf_object_hex (&object, "boot");
  hf_object_uint (&object, "epoch");
  hf_object_unload (&object);
}

/* --- public functions --- */

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static void (*const decoders[]) (struct hf_str)
      = { try_settings, try_document, try_datagram, try_watch_line, try_object };
  if (size == 0)
    return 0;
  decoders[data[0] % 5]((struct hf_str){ .data = (const char *) data + 1, .len = size - 1 });
  return 0;
}
