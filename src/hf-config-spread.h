/**
 * DOC: hf-config-spread - documents that entries get from one another
 *
 * A new generation spreads as a tree of two levels in each failure domain. The
 * watchers, which get it from the platform, offer it to the coordinators of
 * their failure domain; each coordinator offers it to some of the other entries
 * there. Who has an offer pulls the compressed document in chunks.
 *
 * A pull in progress is finished although newer generations appear, so that
 * versions that follow each other closely cannot keep an entry on an old one;
 * then it goes on with the newest known one. Heartbeats and directory updates
 * name generations, too. They let an entry that got no offer pull from whoever
 * has the document. If no entry sends it, the platform's copy is read.
 */
#ifndef HF_CONFIG_SPREAD_H
#define HF_CONFIG_SPREAD_H

#include "hf-state.h"

/* --- types --- */

/** struct hf_config_received - a document that was received completely */
struct hf_config_received
{
  uint64_t generation;
  struct hf_str text; /* the caller frees it */
  enum hf_config_origin origin;
};

/* --- public functions: init and close --- */

void hf_config_spread_init (struct hf_config_spread *spread, double link_mbps);
void hf_config_spread_close (struct hf_config_spread *spread); /* frees all */

/* --- public functions: events --- */

/* The document in force was adopted: offers it, and goes on with a newer one if another entry has it. */
void hf_config_spread_handle_adopted (struct hf_state *state, enum hf_config_origin origin);
void hf_config_spread_note_member (struct hf_state *state, uint64_t boot_id); /* it may have named a generation */

/* CONFIG_OFFER, CONFIG_PULL, CONFIG_CHUNK. Returns true if a document newer than the one in force is complete. */
bool hf_config_spread_handle_message (struct hf_state *state,
                                      const struct hf_event *event,
                                      struct hf_config_received *received);
void hf_config_spread_handle_timer (struct hf_state *state); /* no chunk or offer in time */

#endif
