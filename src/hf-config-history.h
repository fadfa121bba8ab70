/**
 * DOC: hf-config-history - compressed documents of the last generations
 *
 * An entry that pulls a document in chunks can finish although its source has
 * adopted newer generations meanwhile: the source keeps what it has begun to
 * send. The number of generations and their bytes are bounded.
 */
#ifndef HF_CONFIG_HISTORY_H
#define HF_CONFIG_HISTORY_H

#include "hf-state.h"

GArray *hf_config_history_new (void);                                     /* empty; freed with g_array_unref */
void hf_config_history_add (GArray *history, struct hf_config_copy copy); /* takes the reference to @copy.packed */
const struct hf_config_copy *hf_config_history_find (const GArray *history, uint64_t generation); /* NULL: none */

#endif
