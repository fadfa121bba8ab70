/**
 * DOC: hf-http-chunks - strict framing of chunked bodies
 *
 * The http_parser library accepts any byte in place of the CR and LF around
 * chunks and blanks in names of trailers. A body whose framing is damaged must
 * not count as complete, so each byte is checked before the library gets it.
 */
#ifndef HF_HTTP_CHUNKS_H
#define HF_HTTP_CHUNKS_H

#include "hf-base.h"

/* --- types --- */

/** enum hf_http_chunks_part - what the next byte belongs to */
enum hf_http_chunks_part
{
  HF_CHUNKS_SIZE,
  HF_CHUNKS_SIZE_END, /* blanks behind the size */
  HF_CHUNKS_EXTENSION,
  HF_CHUNKS_SIZE_LF,
  HF_CHUNKS_DATA,
  HF_CHUNKS_DATA_CR,
  HF_CHUNKS_DATA_LF,
  HF_CHUNKS_TRAILER_START,
  HF_CHUNKS_TRAILER_NAME,
  HF_CHUNKS_TRAILER_VALUE,
  HF_CHUNKS_TRAILER_LF,
  HF_CHUNKS_LAST_LF,
  HF_CHUNKS_DONE,
  HF_CHUNKS_INVALID,
};

/**
 * struct hf_http_chunks - progress within a body; all zero: at its start
 * @part: what the next byte belongs to
 * @digits: of the size so far
 * @bytes: size of the chunk; then, bytes of its data that are still to come
 */
struct hf_http_chunks
{
  enum hf_http_chunks_part part;
  unsigned digits;
  uint64_t bytes;
};

/* --- public functions --- */

/* Takes the next bytes; returns how many are valid. Fewer than given: the body ends there (HF_CHUNKS_DONE) or its
 * framing is wrong (HF_CHUNKS_INVALID). */
size_t hf_http_chunks_take (struct hf_http_chunks *chunks, struct hf_str bytes);

#endif
