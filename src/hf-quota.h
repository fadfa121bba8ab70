/**
 * DOC: hf-quota - credits of organisations that are limited over the whole fleet
 *
 * A request of a limited organisation takes one credit. The owner of an
 * organisation has a token bucket and gives credits to entries in leases; an
 * entry that holds a lease uses its credits until they expire, and returns the
 * others. The owner also counts the credits that it gave in a sliding window:
 * credits that are returned go into the bucket without regard to what it could
 * not hold meanwhile, and the window keeps the sum within the rule.
 *
 * Pure: it reads no clock and sends no message. Times are monotonic and in
 * microseconds; those of the owner and of a holder are never compared.
 */
#ifndef HF_QUOTA_H
#define HF_QUOTA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "config.h"

/* --- types: limits --- */

/**
 * struct hf_quota_rule - the rule that the fleet keeps for every organisation
 * @window_us: in any window of this length at most (rate * window + burst) * (1 + @overshoot) + @slack requests run
 * @overshoot: share of the limit; leases use it
 * @slack: requests; one half for entries that give without being the owner, one half for local reserves
 */
struct hf_quota_rule
{
  int64_t window_us;
  double overshoot;
  double slack;
};

/**
 * struct hf_quota_limit - what one bucket may give
 * @rate_per_s: credits a second
 * @capacity: most credits in the bucket
 * @window_max: most credits given in one window, returned ones not counted
 * @window_us: length of that window: the rule's one and the validity of a lease
 * @partial: only a share of the slack, as the bucket's entry may not be the only owner
 */
struct hf_quota_limit
{
  double rate_per_s;
  double capacity;
  double window_max;
  int64_t window_us;
  bool partial;
};

/* --- types: the owner --- */

/**
 * struct hf_quota_bucket - token bucket, and the credits given lately
 * @limit: of the bucket
 * @level: credits in the bucket at @filled_at
 * @filled_at: last update of @level
 * @forecast_at: credit for the next request that is refused is expected then
 * @slice: number of the newest time slice in @given
 * @given: credits given in each time slice, less the returned ones; by number modulo HF_QUOTA_SLICES
 * @given_total: sum of @given
 */
struct hf_quota_bucket
{
  struct hf_quota_limit limit;
  double level;
  int64_t filled_at;
  int64_t forecast_at;
  int64_t slice;
  unsigned given[HF_QUOTA_SLICES];
  unsigned given_total;
};

/**
 * struct hf_quota_request - a holder's request to the owner
 * @organisation: id of the organisation
 * @holder: boot id of the entry
 * @sequence: rises with each request of the holder; a request that is sent again has the same number
 * @late: they cannot be answered within their target latency any more
 * @needed: credits for requests that wait for them
 * @expected: further credits that it expects to need soon
 * @returned: credits that it has not used
 * @returned_sequence: number of the request that it got them for
 */
struct hf_quota_request
{
  uint64_t organisation;
  uint64_t holder;
  uint64_t sequence;
  bool late;
  unsigned needed;
  unsigned expected;
  unsigned returned;
  uint64_t returned_sequence;
};

/** struct hf_quota_answer - the owner's answer */
struct hf_quota_answer
{
  bool is_repeated; /* the request came before */
  unsigned credits;
  int64_t retry_after_us; /* if not all that were needed are given: when credit is expected for the others */
  bool is_filling;        /* the bucket began empty in the last HF_QUOTA_FILLING_MS */
};

struct hf_quota_book;

/* --- types: a holder --- */

/** struct hf_quota_credit - one credit taken by a request */
struct hf_quota_credit
{
  uint64_t owner;    /* boot id of who gave it; 0: none */
  uint64_t sequence; /* of the request that it was given for; 0: not to be returned */
  int64_t expires_at;
};

/** struct hf_quota_lease - credits that were given together and are not used yet */
struct hf_quota_lease
{
  uint64_t owner;
  uint64_t sequence;
  unsigned credits;
  int64_t expires_at;
};

/**
 * struct hf_quota_account - credits of one organisation at one entry
 * @leases: those without credits are free
 * @use: requests of the last second, older ones with less weight
 * @use_at: last update of @use
 * @request: the request that has no answer yet; sequence 0: none
 * @owner: who it was sent to
 * @sent_at: when it was first sent; its credits are valid from then on
 */
struct hf_quota_account
{
  struct hf_quota_lease leases[HF_QUOTA_LEASES_MAX];
  double use;
  int64_t use_at;
  struct hf_quota_request request;
  uint64_t owner;
  int64_t sent_at;
};

/* --- public functions: limits --- */

int64_t hf_quota_lease_us (const struct hf_quota_rule *rule); /* how long a lease is valid */
struct hf_quota_limit hf_quota_limit_full (const struct hf_quota_rule *rule, double rate_per_s, double burst);
/* For an entry that may not be the only owner: of half the slack, the share of the fleet that it reaches. */
struct hf_quota_limit hf_quota_limit_partial (const struct hf_quota_rule *rule, size_t reached, size_t entries);
/* Limit of an entry's bucket, by its rank among the granters for the organisation as it knows them. At most one side of
 * a split fleet reaches more than half of the entries; of two halves each has half the rate. @rank: 0: owner, 1:
 * second;
 * @reached: entries that it has contact to, itself included; false: it gives nothing. */
bool hf_quota_limit_by_rank (const struct hf_quota_rule *rule,
                             double rate_per_s,
                             double burst,
                             size_t rank,
                             size_t reached,
                             size_t entries,
                             struct hf_quota_limit *limit);
/* Credits that an entry may take without any owner in one window; @rank: of this entry among all, from 0. */
unsigned hf_quota_reserve (const struct hf_quota_rule *rule, size_t rank, size_t entries);

/* --- public functions: bucket --- */

void hf_quota_bucket_init (struct hf_quota_bucket *bucket, struct hf_quota_limit limit, double level, int64_t now);
/* Cuts the level to a changed limit. */
void hf_quota_bucket_set_limit (struct hf_quota_bucket *bucket, struct hf_quota_limit limit, int64_t now);
unsigned hf_quota_bucket_available (struct hf_quota_bucket *bucket, int64_t now); /* credits that it can give */
void hf_quota_bucket_take (struct hf_quota_bucket *bucket, int64_t now, unsigned credits); /* available ones */
void hf_quota_bucket_return (struct hf_quota_bucket *bucket, int64_t now, unsigned credits, int64_t given_at);
/* Time until credit is expected for the first of some refused requests; each one gets a place after the former ones. */
int64_t hf_quota_bucket_forecast (struct hf_quota_bucket *bucket, int64_t now, unsigned refused);

/* --- public functions: the owner's book of leases --- */

struct hf_quota_book *hf_quota_book_open (void);
void hf_quota_book_close (struct hf_quota_book *book);

/* Answers a request from an organisation's bucket. The same request gets the same answer again; false: an older
 * request. @level: of a bucket that is new, or that another owner may have had meanwhile; negative: it fills later.
 * @entries: how many may ask; what is expected beyond the need is given in small shares. */
bool hf_quota_book_answer (struct hf_quota_book *book,
                           const struct hf_quota_request *request,
                           struct hf_quota_limit limit,
                           double level,
                           size_t entries,
                           int64_t now,
                           struct hf_quota_answer *answer);

/* How long the owner has waited for the level that a former owner hands over; -1: it need not. */
int64_t hf_quota_book_await_handover (struct hf_quota_book *book,
                                      uint64_t organisation,
                                      struct hf_quota_limit limit,
                                      int64_t now);
void hf_quota_book_receive_handover (struct hf_quota_book *book, uint64_t organisation, double level, int64_t now);
/* Hands a bucket over to another owner and returns its level; 0 if this entry was not its owner just now.
 * @level: of a bucket that is new. */
double hf_quota_book_hand_over (struct hf_quota_book *book,
                                uint64_t organisation,
                                struct hf_quota_limit limit,
                                double level,
                                uint64_t owner,
                                int64_t now);
/* Who got the bucket in the last HF_QUOTA_MOVED_MS, and after this entry last became the owner; 0: nobody. */
uint64_t
hf_quota_book_moved_to (const struct hf_quota_book *book, uint64_t organisation, int64_t owner_since, int64_t now);
/* Notes for which organisations another entry is the owner now: their buckets get a new level later. */
void hf_quota_book_disown (struct hf_quota_book *book,
                           int64_t now,
                           bool (*is_owner) (const void *context, uint64_t organisation),
                           const void *context);
void hf_quota_book_expire (struct hf_quota_book *book, int64_t now); /* drops what was not used for some windows */

/* --- public functions: a holder's account --- */

/* Takes a credit that is valid, the one that expires first; false: there is none. */
bool hf_quota_account_take (struct hf_quota_account *account, int64_t now, struct hf_quota_credit *credit);
void hf_quota_account_put_back (struct hf_quota_account *account, struct hf_quota_credit credit);
void hf_quota_account_count_use (struct hf_quota_account *account, int64_t now); /* one more request */

/* Writes a new request, with the credits that are to be returned to @owner. */
void hf_quota_account_request (struct hf_quota_account *account,
                               int64_t now,
                               const struct hf_quota_rule *rule,
                               uint64_t owner,
                               uint64_t sequence,
                               unsigned needed);
/* Accepts the answer to the request; false: to another one. Its credits may have expired already. */
bool hf_quota_account_receive (struct hf_quota_account *account,
                               uint64_t owner,
                               uint64_t sequence,
                               unsigned credits,
                               int64_t valid_us);
int64_t hf_quota_account_next_expiry (const struct hf_quota_account *account); /* of unused credits; -1: none */
/* Owner of unused credits that have expired; 0: there are none. */
uint64_t hf_quota_account_return_to (const struct hf_quota_account *account, int64_t now);

#endif
