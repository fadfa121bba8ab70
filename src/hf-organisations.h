/**
 * DOC: hf-organisations - keys of the organisations of a document
 *
 * A hash table from each key to its organisation, built once with the document
 * and not changed afterwards. Its hash depends on a random seed, and a lookup
 * compares the bytes of a key only after the whole hash was equal, so that
 * neither the time of a lookup nor chosen keys tell anything about other keys.
 * Keys are named in logs and errors by a prefix of a digest only.
 */
#ifndef HF_ORGANISATIONS_H
#define HF_ORGANISATIONS_H

#include "hf-document.h"

/* --- constants --- */

#define HF_KEY_DIGEST_CHARS 8 /* of the digest that stands for a key in logs and errors */

/* --- types --- */

/** struct hf_organisations - table of keys; NULL stands for a document without organisations */
struct hf_organisations;

/* --- public functions: init and close --- */

/* Checks names and keys, and builds the table; the organisations, struct hf_organisation, must outlive it. seed:
 * random. Returns NULL and sets *error with the path of the field if a value is not valid. */
struct hf_organisations *
hf_organisations_new (const struct hf_list *organisations, uint64_t seed, struct hf_error *error);
void hf_organisations_free (struct hf_organisations *table); /* NULL is ignored */

/* --- public functions: look up --- */

/* The organisation that has a key; NULL: none has. Takes constant time, whatever the number of keys. */
const struct hf_organisation *hf_organisations_find (const struct hf_organisations *table, struct hf_str key);

/* --- public functions: values --- */

uint64_t hf_organisation_id (const struct hf_organisation *organisation); /* stable, hash of the name; NULL: 0 */
/* Writes the first characters of the key's SHA-256 in hexadecimal, NUL-terminated. */
void hf_organisations_key_digest (struct hf_str key, char digest[HF_KEY_DIGEST_CHARS + 1]);

#endif
