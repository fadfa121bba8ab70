/**
 * DOC: hf-document-pack - compressed text of a document
 *
 * Entries send documents to one another in zlib's format.
 */
#ifndef HF_DOCUMENT_PACK_H
#define HF_DOCUMENT_PACK_H

#include <glib.h>

#include "hf-base.h"

GBytes *hf_document_pack (struct hf_str text); /* compressed text */

/* Decompresses a text of @text_bytes bytes; the caller frees it with hf_str_free. False: the bytes are not the
 * compressed form of a text of that length, or it is longer than HF_DOCUMENT_BYTES_MAX. */
bool hf_document_unpack (struct hf_str packed, size_t text_bytes, struct hf_str *text);

#endif
