/**
 * DOC: hf-log - numbered events
 *
 * Every line that a process writes is a JSON object with a number, a level and
 * a name from one table; docs/EVENTS.md explains each. Lines are bounded in
 * number, and writing them never waits for whoever reads them.
 */
#ifndef HF_LOG_H
#define HF_LOG_H

#include "hf-base.h"

/* --- types --- */

/** enum hf_log_level - severity, the most severe last */
enum hf_log_level
{
  HF_LOG_LEVEL_DEBUG,
  HF_LOG_LEVEL_INFO,
  HF_LOG_LEVEL_NOTICE,
  HF_LOG_LEVEL_WARNING,
  HF_LOG_LEVEL_ERR,
};

/** enum hf_log_event_number - numbers of the events; see docs/EVENTS.md */
enum hf_log_event_number
{
  HF_LOG_STARTED = 1001,
  HF_LOG_LISTENING = 1002,
  HF_LOG_SHUTDOWN = 1003,
  HF_LOG_EXIT = 1004,
  HF_LOG_SETTINGS_INVALID = 1005,
  HF_LOG_STATE_DUMP = 1006,
  HF_LOG_PAUSED = 1007,
  HF_LOG_RELOADED = 1008,
  HF_LOG_LINES_DROPPED = 1009,
  HF_LOG_CONFIG_ADOPTED = 2001,
  HF_LOG_CONFIG_INVALID = 2002,
  HF_LOG_CONFIG_OLD = 2003,
  HF_LOG_CONFIG_RESTORED = 2004,
  HF_LOG_CONFIG_SPLIT = 2005,
  HF_LOG_MEMBER_JOINED = 3001,
  HF_LOG_MEMBER_LOST = 3002,
  HF_LOG_MEMBER_LEAVING = 3003,
  HF_LOG_GRANTER_SILENT = 3004,
  HF_LOG_SERVER_LEAVING = 4001,
  HF_LOG_SERVER_OUT = 4002,
  HF_LOG_SERVER_SILENT = 4004,
  HF_LOG_SERVER_LISTED = 4005,
  HF_LOG_SERVER_GONE = 4006,
  HF_LOG_REQUEST_QUARANTINED = 5001,
  HF_LOG_CLAIM_SETTLED = 6001,
  HF_LOG_CLAIM_UNAVAILABLE = 6002,
  HF_LOG_CLAIM_SHARD_FULL = 6003,
  HF_LOG_PLATFORM_LOST = 7001,
  HF_LOG_PLATFORM_BACK = 7002,
  HF_LOG_WATCH_SILENT = 7003,
  HF_LOG_FOLLOW = 7004,
  HF_LOG_REQUEST_ROUTED = 8001,
  HF_LOG_REQUEST_QUEUED = 8002,
  HF_LOG_REQUEST_SENT = 8003,
  HF_LOG_ATTEMPT_ENDED = 8004,
  HF_LOG_ATTEMPT_FAILED = 8005,
  HF_LOG_REQUEST_AGAIN = 8006,
  HF_LOG_REQUEST_REFUSED = 8007,
  HF_LOG_REQUEST_ANSWERED = 8008,
  HF_LOG_REQUEST_FAILED = 8009,
  HF_LOG_REQUEST_CUT = 8010,
  HF_LOG_CALLER_GONE = 8011,
  HF_LOG_SLOT_DENIED = 8012,
};

/** struct hf_log_event - one row of the table of events */
struct hf_log_event
{
  enum hf_log_event_number number;
  enum hf_log_level level;
  const char *name;
};

/** struct hf_log_field - one member of a line beside the common ones */
struct hf_log_field
{
  const char *name;
  struct hf_str text;
  int64_t number;
  bool is_text;
};

#define HF_LOG_INT(n, v)  ((struct hf_log_field){ .name = (n), .number = (int64_t) (v) })
#define HF_LOG_TEXT(n, v) ((struct hf_log_field){ .name = (n), .text = (v), .is_text = true })

/* --- public functions --- */

extern const struct hf_log_event hf_log_events[];          /* ended by number 0 */
const struct hf_log_event *hf_log_find_event (int number); /* row of an event */
void hf_log_open (const char *program,
                  struct hf_str entry_name,
                  enum hf_log_level min_level); /* who writes, and what at least */
void hf_log_close (void);                       /* writes what waits */
void hf_log_write_fields (int number,
                          struct hf_str request_id,
                          const struct hf_log_field *fields,
                          size_t n); /* one line; lines of one request are sampled together */
void hf_log_write (int number, const char *format, ...)
    __attribute__ ((format (printf, 2, 3))); /* one line with a text */

#endif
