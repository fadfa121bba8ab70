/* Compressed text of a document. */
#include "hf-document-pack.h"

#include <gio/gio.h>

#include "config.h"

/* --- constants --- */

/* zlib's documented bound on the growth of data that does not compress. */
#define PACKED_GROWTH_DIVISOR 1000
#define PACKED_GROWTH_BYTES   64

/* --- internal functions --- */

/* Converts all of @input; returns the bytes written, or -1 if the output is too small or the input is not valid. */
static gssize
convert_all (GConverter *converter, struct hf_str input, char *output, size_t output_bytes)
{
  gsize read = 0;
  gsize written = 0;
  for (;;)
    {
      gsize step_read = 0;
      gsize step_written = 0;
      GConverterResult result
          = g_converter_convert (converter, input.data + read, input.len - read, output + written,
                                 output_bytes - written, G_CONVERTER_INPUT_AT_END, &step_read, &step_written, NULL);
      read += step_read;
      written += step_written;
      if (result == G_CONVERTER_FINISHED)
        return read == input.len ? (gssize) written : -1;
      if (result == G_CONVERTER_ERROR || (step_read == 0 && step_written == 0))
        return -1;
    }
}

/* --- public functions --- */

GBytes *
hf_document_pack (struct hf_str text)
{
  size_t bytes_max = text.len + text.len / PACKED_GROWTH_DIVISOR + PACKED_GROWTH_BYTES;
  char *packed = g_malloc (bytes_max);
  GZlibCompressor *compressor = g_zlib_compressor_new (G_ZLIB_COMPRESSOR_FORMAT_ZLIB, HF_DOCUMENT_PACK_LEVEL);
  gssize bytes = convert_all (G_CONVERTER (compressor), text, packed, bytes_max);
  g_object_unref (compressor);
  g_assert (bytes > 0);
  return g_bytes_new_take (g_realloc (packed, (gsize) bytes), (gsize) bytes);
}

bool
hf_document_unpack (struct hf_str packed, size_t text_bytes, struct hf_str *text)
{
  if (text_bytes == 0 || text_bytes > HF_DOCUMENT_BYTES_MAX)
    return false;
  /* One more byte than the text has: the end of the input is only reported while there is room for output. */
  char *output = g_malloc0 (text_bytes + 1);
  GZlibDecompressor *decompressor = g_zlib_decompressor_new (G_ZLIB_COMPRESSOR_FORMAT_ZLIB);
  gssize bytes = convert_all (G_CONVERTER (decompressor), packed, output, text_bytes + 1);
  g_object_unref (decompressor);
  if (bytes != (gssize) text_bytes)
    {
      g_free (output);
      return false;
    }
  output[text_bytes] = 0;
  *text = (struct hf_str){ .data = output, .len = text_bytes };
  return true;
}
