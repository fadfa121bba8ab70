/**
 * DOC: hf-base - strings, errors, identifiers
 *
 * Length-counted strings, the error struct that is passed down, and stable
 * 64-bit identifiers.
 */
#ifndef HF_BASE_H
#define HF_BASE_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* --- types --- */

/**
 * struct hf_str - a length-counted string
 * @data: bytes; a NUL follows when the string was made by this module
 * @len: bytes, without the NUL
 */
struct hf_str
{
  const char *data;
  size_t len;
};

/** enum hf_error_code - what kind of failure an error is */
enum hf_error_code
{
  HF_ERROR_NONE,
  HF_ERROR_SYNTAX,      /* text is not well formed */
  HF_ERROR_INVALID,     /* well formed, but a value is not allowed */
  HF_ERROR_IO,          /* a file or socket failed */
  HF_ERROR_CONFLICT,    /* somebody else changed it first */
  HF_ERROR_UNAVAILABLE, /* the other side did not answer */
};

/**
 * struct hf_error - an outcome that is passed down by the caller
 * @code: kind of failure
 * @line: line in a document, from 1; 0 where there is none
 * @column: column in a document, from 1
 * @path: path of the field, such as services[0].name
 * @message: what was found and what was expected
 */
struct hf_error
{
  enum hf_error_code code;
  unsigned line;
  unsigned column;
  char path[128];
  char message[256];
};

#define HF_STR_FMT    "%.*s"
#define HF_STR_ARG(s) (int) (s).len, (s).data ? (s).data : ""

/* --- public functions: strings --- */

struct hf_str hf_str (const char *text);                           /* view of a C string */
struct hf_str hf_str_dup (struct hf_str text);                     /* copy, NUL-terminated */
void hf_str_free (struct hf_str *text);                            /* frees a copy */
bool hf_str_equal (struct hf_str a, struct hf_str b);              /* same bytes */
bool hf_str_equal_nocase (struct hf_str a, struct hf_str b);       /* same, ASCII case folded */
bool hf_str_has_prefix (struct hf_str text, struct hf_str prefix); /* prefix test */

/* --- public functions: errors --- */

bool hf_error_set (struct hf_error *error, enum hf_error_code code, const char *format, ...)
    __attribute__ ((format (printf, 3, 4))); /* always false */

/* --- public functions: identifiers --- */

uint64_t hf_hash (struct hf_str text, uint64_t seed);                /* stable 64-bit hash */
uint64_t hf_hash_pair (uint64_t a, uint64_t b);                      /* rendezvous weight */
uint64_t hf_server_id (struct hf_str service, struct hf_str server); /* id of a backend server */
uint64_t hf_random_next (uint64_t *state);                           /* deterministic generator */

#endif
