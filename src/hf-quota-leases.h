/**
 * DOC: hf-quota-leases - credits of limited organisations between entries
 *
 * A call of an organisation with a limit begins once it has a credit. Credits
 * come from a lease that this entry holds, or from the owner of the organisation,
 * the first granter by rendezvous hashing. If that one does not respond, the
 * second granter gives a few, and then there is a small local reserve. As owner,
 * this entry answers the requests of the others. A call that is refused ends with
 * 429. The credit of a call that waited long for a slot is renewed before the
 * call is sent, so that a credit is used before it expires.
 */
#ifndef HF_QUOTA_LEASES_H
#define HF_QUOTA_LEASES_H

#include "hf-settings.h"
#include "hf-state.h"

struct hf_quota_leases;

/* --- types --- */

/** struct hf_quota_callbacks - what happens to a call that waited for a credit; the reducer's state is the context */
struct hf_quota_callbacks
{
  void (*begin) (struct hf_state *state, uint64_t call); /* it has one: begins, or is sent if it has a slot */
  void (*refuse) (struct hf_state *state, struct hf_call *call, int64_t retry_after_ms); /* ends it with 429 */
};

/* --- public functions: init and close --- */

/* NULL: the settings set no window, limits are not enforced. */
struct hf_quota_leases *hf_quota_leases_open (const struct hf_settings *settings, struct hf_quota_callbacks callbacks);
void hf_quota_leases_close (struct hf_quota_leases *leases); /* NULL is ignored */

/* --- public functions: calls --- */

/* Takes a credit for a new call. True: it may begin. False: it waits and begins later, or it
 * did so already, or it was refused and is removed. */
bool hf_quota_leases_admit (struct hf_state *state, struct hf_call *call);
/* Whether a call that has a slot at a server may be sent. False: its credit had expired; it waits for another
 * one, or was sent with it already, or was refused and is removed. */
bool hf_quota_leases_confirm (struct hf_state *state, struct hf_call *call, unsigned attempt, uint64_t server);
void hf_quota_leases_keep_unsent (struct hf_call *call); /* the credit of an attempt that failed before it was sent */
void hf_quota_leases_release (struct hf_state *state, struct hf_call *call); /* the call ends */

/* --- public functions: events --- */

void hf_quota_leases_handle_message (struct hf_state *state, const struct hf_event *event);
void hf_quota_leases_handle_timer (struct hf_state *state, uint64_t key);
void hf_quota_leases_update_owners (struct hf_state *state); /* the granters may have changed */
void hf_quota_leases_expire (struct hf_state *state);        /* drops what is no longer used */

#endif
