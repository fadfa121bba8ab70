/**
 * DOC: hf-log - structured log of numbered events
 *
 * Each line on standard output is a JSON object with the number, level and name
 * of an event from one table; docs/EVENTS.md describes every event. The number
 * of lines per second is limited, and writing never blocks on a slow reader:
 * lines that do not fit are dropped and counted.
 */
#ifndef HF_LOG_H
#define HF_LOG_H

#include "hf-base.h"

/* --- types --- */

/** enum hf_log_level - severity, in ascending order */
enum hf_log_level
{
  HF_LOG_LEVEL_DEBUG,
  HF_LOG_LEVEL_INFO,
  HF_LOG_LEVEL_NOTICE,
  HF_LOG_LEVEL_WARNING,
  HF_LOG_LEVEL_ERR,
};

/** enum hf_log_event_number - numbers of the events, described in docs/EVENTS.md */
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
  HF_LOG_NOT_ACCEPTED = 1010,
  HF_LOG_ADDRESS_IN_USE = 1011,
  HF_LOG_BODIES_REFUSED = 1012,
  HF_LOG_CONFIG_ADOPTED = 2001,
  HF_LOG_CONFIG_INVALID = 2002,
  HF_LOG_CONFIG_OLD = 2003,
  HF_LOG_CONFIG_RESTORED = 2004,
  HF_LOG_CONFIG_SPLIT = 2005,
  HF_LOG_CONFIG_LATE = 2006,
  HF_LOG_CONFIG_UNCONFIRMED = 2007,
  HF_LOG_CONFIG_CONFIRMED = 2008,
  HF_LOG_MEMBER_JOINED = 3001,
  HF_LOG_MEMBER_LOST = 3002,
  HF_LOG_MEMBER_LEAVING = 3003,
  HF_LOG_GRANTER_SILENT = 3004,
  HF_LOG_AFFINITY = 3005,
  HF_LOG_SERVER_LEAVING = 4001,
  HF_LOG_SERVER_OUT = 4002,
  HF_LOG_SERVER_SILENT = 4004,
  HF_LOG_SERVER_LISTED = 4005,
  HF_LOG_SERVER_GONE = 4006,
  HF_LOG_SERVER_PUSHBACK = 4007,
  HF_LOG_RETRY_AFTER_INVALID = 4008,
  HF_LOG_EVACUATION_BEGUN = 4009,
  HF_LOG_EVACUATION_ENDED = 4010,
  HF_LOG_EVACUATION_IGNORED = 4011,
  HF_LOG_SERVER_COLD = 4012,
  HF_LOG_REQUEST_QUARANTINED = 5001,
  HF_LOG_CLAIM_SETTLED = 6001,
  HF_LOG_CLAIM_UNAVAILABLE = 6002,
  HF_LOG_CLAIM_SHARD_FULL = 6003,
  HF_LOG_PLATFORM_LOST = 7001,
  HF_LOG_PLATFORM_BACK = 7002,
  HF_LOG_WATCH_SILENT = 7003,
  HF_LOG_FOLLOW = 7004,
  HF_LOG_PLATFORM_RESTORED = 7005,
  HF_LOG_PLATFORM_OUTDATED = 7006,
  HF_LOG_PLATFORM_UNREADABLE = 7007,
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
  HF_LOG_SLOT_RETURNED = 8013,
  HF_LOG_RESPONSE_SKIPPED = 8014,
  HF_LOG_RESPONSE_MALFORMED = 8015,
  HF_LOG_REQUEST_UNAUTHORISED = 8020,
  HF_LOG_REQUEST_REFERRED = 8021,
  HF_LOG_QUOTA_OWNER_SILENT = 9001,
  HF_LOG_QUOTA_EXCEEDED = 9002,
};

/**
 * struct hf_log_event - row of the table of events
 * @number: number of the event; 0 ends the table
 * @level: severity of all its lines
 * @name: name of the event, such as request-sent
 */
struct hf_log_event
{
  enum hf_log_event_number number;
  enum hf_log_level level;
  const char *name;
};

/**
 * struct hf_log_field - event-specific member of a log line
 * @name: key of the JSON member
 * @text: value if @is_text is true
 * @number: value if @is_text is false
 * @is_text: selects the value
 */
struct hf_log_field
{
  const char *name;
  struct hf_str text;
  int64_t number;
  bool is_text;
};

#define HF_LOG_INT(n, v)  ((struct hf_log_field){ .name = (n), .number = (int64_t) (v) })
#define HF_LOG_TEXT(n, v) ((struct hf_log_field){ .name = (n), .text = (v), .is_text = true })

/* --- public functions: table of events --- */

extern const struct hf_log_event hf_log_events[];          /* ends with number 0 */
const struct hf_log_event *hf_log_find_event (int number); /* NULL: unknown number */

/* --- public functions: writing --- */

/* Opens the process's log, or changes program, entry name and level of the open one. Makes standard output
 * non-blocking. */
void hf_log_open (const char *program, struct hf_str entry_name, enum hf_log_level min_level);
void hf_log_close (void); /* writes pending lines and frees the log */

/* Writes one line. Sampling keeps or drops lines with the same @request_id together; empty: not sampled. */
void hf_log_write_fields (int number, struct hf_str request_id, const struct hf_log_field *fields, size_t n);

/* Writes one line with the formatted text as its field "text". */
void hf_log_write (int number, const char *format, ...) __attribute__ ((format (printf, 2, 3)));

#endif
