/* Strict framing of chunked bodies. */
#include "hf-http-chunks.h"

#include <glib.h>

#include "hf-http-syntax.h"

/* --- constants --- */

#define SIZE_DIGITS_MAX 15 /* so that a size fits into 64 bits with a sign */

/* --- internal functions --- */

static enum hf_http_chunks_part
after_size (const struct hf_http_chunks *chunks, char byte)
{
  if (chunks->digits == 0)
    return HF_CHUNKS_INVALID;
  if (byte == ';')
    return HF_CHUNKS_EXTENSION;
  if (byte == ' ' || byte == '\t')
    return HF_CHUNKS_SIZE_END;
  return byte == '\r' ? HF_CHUNKS_SIZE_LF : HF_CHUNKS_INVALID;
}

static enum hf_http_chunks_part
take_size_byte (struct hf_http_chunks *chunks, char byte)
{
  if (!g_ascii_isxdigit (byte))
    return after_size (chunks, byte);
  chunks->bytes = chunks->bytes * 16 + (uint64_t) g_ascii_xdigit_value (byte);
  return ++chunks->digits > SIZE_DIGITS_MAX ? HF_CHUNKS_INVALID : HF_CHUNKS_SIZE;
}

static enum hf_http_chunks_part
take_trailer_name_byte (char byte)
{
  if (byte == ':')
    return HF_CHUNKS_TRAILER_VALUE;
  return hf_http_syntax_is_token_byte (byte) ? HF_CHUNKS_TRAILER_NAME : HF_CHUNKS_INVALID;
}

/* A line of text that goes on in @part or ends with CR LF. */
static enum hf_http_chunks_part
take_text_byte (char byte, enum hf_http_chunks_part part, enum hf_http_chunks_part line_end)
{
  if (byte == '\r')
    return line_end;
  return hf_http_syntax_is_text_byte (byte) ? part : HF_CHUNKS_INVALID;
}

static enum hf_http_chunks_part
expect (char byte, char expected, enum hf_http_chunks_part next)
{
  return byte == expected ? next : HF_CHUNKS_INVALID;
}

static enum hf_http_chunks_part
next_part (struct hf_http_chunks *chunks, char byte)
{
  switch (chunks->part)
    {
    case HF_CHUNKS_SIZE:
      return take_size_byte (chunks, byte);
    case HF_CHUNKS_SIZE_END:
      return after_size (chunks, byte);
    case HF_CHUNKS_EXTENSION:
      return take_text_byte (byte, HF_CHUNKS_EXTENSION, HF_CHUNKS_SIZE_LF);
    case HF_CHUNKS_SIZE_LF:
      chunks->digits = 0;
      return expect (byte, '\n', chunks->bytes > 0 ? HF_CHUNKS_DATA : HF_CHUNKS_TRAILER_START);
    case HF_CHUNKS_DATA:
      return --chunks->bytes > 0 ? HF_CHUNKS_DATA : HF_CHUNKS_DATA_CR;
    case HF_CHUNKS_DATA_CR:
      return expect (byte, '\r', HF_CHUNKS_DATA_LF);
    case HF_CHUNKS_DATA_LF:
      return expect (byte, '\n', HF_CHUNKS_SIZE);
    case HF_CHUNKS_TRAILER_START:
      if (byte == '\r')
        return HF_CHUNKS_LAST_LF;
      return byte == ':' ? HF_CHUNKS_INVALID : take_trailer_name_byte (byte);
    case HF_CHUNKS_TRAILER_NAME:
      return take_trailer_name_byte (byte);
    case HF_CHUNKS_TRAILER_VALUE:
      return take_text_byte (byte, HF_CHUNKS_TRAILER_VALUE, HF_CHUNKS_TRAILER_LF);
    case HF_CHUNKS_TRAILER_LF:
      return expect (byte, '\n', HF_CHUNKS_TRAILER_START);
    case HF_CHUNKS_LAST_LF:
      return expect (byte, '\n', HF_CHUNKS_DONE);
    case HF_CHUNKS_DONE:
    case HF_CHUNKS_INVALID:
      break;
    }
  return HF_CHUNKS_INVALID;
}

/* All but the last byte of the data of a chunk are taken at once. */
static size_t
take_data (struct hf_http_chunks *chunks, size_t available)
{
  if (chunks->part != HF_CHUNKS_DATA)
    return 0;
  size_t taken = (size_t) MIN (chunks->bytes - 1, (uint64_t) available);
  chunks->bytes -= taken;
  return taken;
}

/* --- public functions --- */

size_t
hf_http_chunks_take (struct hf_http_chunks *chunks, struct hf_str bytes)
{
  size_t taken = 0;
  while (taken < bytes.len && chunks->part != HF_CHUNKS_DONE)
    {
      taken += take_data (chunks, bytes.len - taken);
      if (taken == bytes.len)
        break;
      chunks->part = next_part (chunks, bytes.data[taken]);
      if (chunks->part == HF_CHUNKS_INVALID)
        break;
      taken++;
    }
  return taken;
}
