/**
 * DOC: hf-base - strings, errors, identifiers
 *
 * Length-counted strings, the error struct that callers pass to functions
 * that can fail, and stable 64-bit identifiers.
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
 * @data: bytes; NUL-terminated if returned by hf_str() or hf_str_dup()
 * @len: length in bytes, without the NUL
 */
struct hf_str
{
  const char *data;
  size_t len;
};

/** enum hf_error_code - kind of failure */
enum hf_error_code
{
  HF_ERROR_NONE,
  HF_ERROR_SYNTAX,      /* text is not well-formed */
  HF_ERROR_INVALID,     /* well-formed, but a value is not allowed */
  HF_ERROR_IO,          /* file or socket operation failed */
  HF_ERROR_CONFLICT,    /* object was changed by another writer first */
  HF_ERROR_UNAVAILABLE, /* no response from the remote side */
  HF_ERROR_IN_USE,      /* another process has the address */
};

/**
 * struct hf_error - details of a failure, filled in by the function that failed
 * @code: kind of failure; %HF_ERROR_NONE if nothing failed
 * @line: line in the YAML text, counted from 1; 0 if the error has no place there
 * @column: column in the YAML text, counted from 1
 * @path: path of the field, such as services[0].name; empty if none
 * @message: expected and found value, or the reason of the failure
 */
struct hf_error
{
  enum hf_error_code code;
  unsigned line;
  unsigned column;
  char path[128];
  char message[256];
};

#define HF_STR_FMT    "%.*s" /* printf conversion of a struct hf_str, given as HF_STR_ARG */
#define HF_STR_ARG(s) (int) (s).len, (s).data ? (s).data : ""

/* --- public functions: strings --- */

struct hf_str hf_str (const char *text);                           /* view of a C string, not copied */
struct hf_str hf_str_dup (struct hf_str text);                     /* NUL-terminated copy */
void hf_str_free (struct hf_str *text);                            /* frees a copy and clears *text */
bool hf_str_equal (struct hf_str a, struct hf_str b);              /* compares bytes */
bool hf_str_equal_nocase (struct hf_str a, struct hf_str b);       /* compares, ignoring ASCII case */
bool hf_str_has_prefix (struct hf_str text, struct hf_str prefix); /* true if text starts with prefix */

/* --- public functions: errors --- */

/* Sets *error unless it is NULL. Always returns false, so that a function can fail by "return hf_error_set (...)". */
bool hf_error_set (struct hf_error *error, enum hf_error_code code, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* --- public functions: identifiers --- */

uint64_t hf_hash (struct hf_str text, uint64_t seed);                /* stable 64-bit hash (XXH64) */
uint64_t hf_hash_pair (uint64_t a, uint64_t b);                      /* weight for rendezvous hashing */
uint64_t hf_server_id (struct hf_str service, struct hf_str server); /* stable id of a backend server */
uint64_t hf_random_next (uint64_t *state);                           /* next pseudo-random number, advances *state */

#endif
