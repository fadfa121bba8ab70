/**
 * DOC: config - compile-time settings
 *
 * Every constant of the product that is not set by an operator, with its unit.
 */
#ifndef HF_CONFIG_H
#define HF_CONFIG_H

#define HF_VERSION "0.1.0"

/* Time units, in microseconds. */
#define HF_MS  1000LL
#define HF_SEC 1000000LL

/* Caller side. */
#define HF_BODY_BUFFER_BYTES        (256 * 1024) /* larger bodies are streamed */
#define HF_REQUEST_HEAD_BYTES_MAX   (32 * 1024)  /* request head, above: 431 */
#define HF_REQUEST_BODY_BYTES_MAX   (1LL << 30)  /* request body, above: 413 */
#define HF_CALLER_STALL_TIMEOUT_SEC 60           /* caller bytes stalled, then cut */
#define HF_CALLER_NETWORK_MS        24           /* a caller's wait outside of this process: connection, both ways */
#define HF_DEADLINE_VOTES_MAX       50           /* so many callers with another deadline change the usual one */
#define HF_RETRY_AFTER_DIVISOR      3            /* callers return within this part of the time left */
#define HF_RETRY_AFTER_RANKS        3            /* priorities told apart when returns are spread */
#define HF_RETRY_AFTER_STARTUP_MS   150          /* told while a starting process learns the configuration */
#define HF_RETRY_AFTER_DEFAULT_MS   1000         /* told with a refusal that says nothing better */
#define HF_TCP_KEEP_ALIVE_SEC       1            /* idle before a probe, and between probes */
#define HF_TCP_KEEP_ALIVE_PROBES    2            /* without an answer, then the connection is broken */
#define HF_TCP_USER_TIMEOUT_MS      3000         /* bytes not acknowledged, then the connection is broken */
#define HF_TIMEOUT_CHECK_MS         100          /* look for connections whose time is over */

/* Connections to backend servers. */
#define HF_RESPONSE_HEAD_BYTES_MAX   (64 * 1024) /* above: no answer */
#define HF_CONNECT_TIMEOUT_MS        500
#define HF_CONNECTION_IDLE_MS        8000 /* kept that long where the server does not say */
#define HF_CONNECTION_IDLE_MARGIN_MS 1000 /* closed that much before the server does */
#define HF_CONNECTION_PROVEN_MS      5000 /* used for what may not be repeated if it answered since */

#define HF_MALLOC_TRIM_BYTES (4 * 1024 * 1024)

/* Log. */
#define HF_LOG_LINES_PER_SEC 400         /* above: dropped and counted */
#define HF_LOG_BYTES_MAX     (64 * 1024) /* waiting for the reader, above: dropped and counted */
#define HF_LOG_RETRY_MS      20          /* a full pipe is tried again */
#define HF_LOG_SAMPLE        16          /* under load the successes of one request in so many are kept */

#define HF_LATENCY_CLASSES_MAX 64 /* classes with histograms of their own */

/* Attempts. */
#define HF_ATTEMPTS_MAX            3
#define HF_BACKOFF_BASE_MS         10
#define HF_BACKOFF_CAP_MS          500
#define HF_FIRST_BYTE_DIVISOR      2   /* first byte due in deadline / this */
#define HF_HEDGE_LATENCY_RATIO     3.0 /* hedge after this times the mean */
#define HF_HEDGE_MIN_MS            5
#define HF_HEDGE_RESERVE_RATIO     1.2  /* a second attempt is given this times the usual latency */
#define HF_RETRY_TOKENS_MAX        20.0 /* retries a full budget allows */
#define HF_RETRY_TOKENS_SHARED_MAX 4.0  /* the same where one bucket is the fleet's */

/* Pools of backend servers. */
#define HF_HEALTH_EWMA_WEIGHT         0.1 /* weight of the newest sample */
#define HF_EJECT_CONSECUTIVE_FAILURES 5   /* consecutive failures, then out */
#define HF_EJECT_BASE_MS              1000
#define HF_EJECT_MAX_MS               30000
#define HF_EJECT_SERVERS_DIVISOR      3   /* at most 1 / this of a service is out */
#define HF_EJECT_LATENCY_RATIO        4.0 /* times the median latency, then out */
#define HF_EJECT_MIN_SAMPLES          8
#define HF_SLOW_START_SUCCESSES       2     /* successes per slot regained */
#define HF_DRAIN_HOLD_MS              30000 /* a drain seen by request or probe */
#define HF_LOAD_REPORT_MAX_AGE_MS     50    /* older load reports are ignored */
#define HF_GRANT_GRACE_MS             1000  /* slot record kept past the deadline */

/* What a backend server says of its speed. */
#define HF_SLOWDOWN_DECAY_MS       150 /* a slow time lasts about that long */
#define HF_SLOWDOWN_FACTOR_DEFAULT 1.5 /* expected where nothing is known */
#define HF_SLOWDOWN_FACTOR_MAX     3.0 /* a slow time ends before most requests do */
#define HF_WARMUP_LATENCY_FACTOR   2.0 /* times of the usual latency after a start */
#define HF_SPEED_FRESH_MS          20  /* its word is relied on for that long */
#define HF_MEASURE_TIMEOUT_MS                                                                                          \
  40 /* a server that was asked and says nothing for that long is used by its older word                               \
      */
#define HF_SLOW_PERSISTENT_MS        600 /* slow for that long without a break: it will not end soon */
#define HF_SLOW_SERVER_WAIT_MS       150 /* a want waits that long before it takes such a server */
#define HF_MEASURE_TICK_MS           20
#define HF_MEASURE_MIN_INTERVAL_MS   15   /* a server is not asked again before */
#define HF_MEASURE_SLOW_INTERVAL_MS  40   /* the same for one that has said that it is slow */
#define HF_MEASURES_IN_FLIGHT_MAX    16   /* measurements of a service that are under way for those that wait */
#define HF_MEASURE_IDLE_MS           1000 /* a service without requests for that long is not measured */
#define HF_MEASURES_UNANSWERED_LIMIT 2    /* measurements without an answer, then no grants */

/* Directory of backend servers. */
#define HF_DIRECTORY_OUTAGE_GRACE_MS 2000 /* after an outage: servers not listed again by then are gone */

/* Placing. */
#define HF_PLACEMENT_FAR_US           5000 /* another failure domain counts like this much latency */
#define HF_PLACEMENT_FAR_US_PER_BYTE  5.0  /* and this much for each byte of the body */
#define HF_PLACEMENT_LAST_SLOT_FACTOR 1.4  /* times of the usual latency in the last slot */
#define HF_PLACEMENT_LOAD_WEIGHT      0.15 /* more of the usual latency for each share of slots in use */

#define HF_PLACEMENT_FAR_WAIT_US 20000 /* cost of the way from which a nearer server is waited for */
#define HF_PLACEMENT_SLOW_FACTOR 1.9   /* expected times of the usual latency from which a server counts as slow */
#define HF_PLACEMENT_WAIT_MAX_MS 80    /* longest wait for a server that is not slow */
#define HF_LAST_START_RATIO      0.7   /* with less than this share of the typical latency left, a start is useless */
#define HF_LATE_QUEUE_FACTOR     2.0   /* what waits ahead of a late want, with what comes meanwhile */
#define HF_SOFT_DEADLINE_RATIO   1.35 /* with less than this times the typical latency left, the aim counts as missed */
#define HF_MEDIAN_STEP_FIRST     1.0  /* the same with the first answer, divided by their number */
#define HF_MEDIAN_STEP           0.02 /* change of the typical latency with one answer */
#define HF_HEDGE_LONG_RATIO      1.5  /* so many times the typical latency: the attempt has met a slow time */
#define HF_HEDGE_SLOW_WINDOW_MS  150  /* an attempt is doubled if its server was slow within that time */

#define HF_SATURATION_EWMA_WEIGHT          0.01 /* weight of the newest sample */
#define HF_SATURATION_MIN_SAMPLES          40   /* of each kind before anything is concluded */
#define HF_SATURATION_SAMPLE_MAX           2.0  /* longest relative latency that counts */
#define HF_SATURATION_TRIAL_INTERVAL       8    /* one choice in so many may use last slots to find out */
#define HF_SATURATION_KNOWN_TRIAL_INTERVAL 100  /* the same once enough is known */
#define HF_SATURATION_LATENCY_RATIO                                                                                    \
  1.25                                     /* latency in a last slot, times that elsewhere, from which it is left free \
                                            */
#define HF_SLOWDOWN_NORMAL_MAX_PERCENT 150 /* percent of the usual time: above, a server counts as slowed down */

/* Slices of large services. */
#define HF_SLICE_SINGLE_SERVERS_MAX 48 /* up to so many servers a service is one slice */
#define HF_SLICE_SERVERS            24 /* servers of one slice, at most, above that */
#define HF_SLICES_MAX               64

/* Slot grants between entries. */
#define HF_GRANT_RESEND_MS        5 /* resend an unanswered request, later each time */
#define HF_GRANT_RESEND_DOUBLINGS 3
#define HF_GRANT_TIMEOUT_MS       100 /* then decide locally; a large body fills a small link for as long */
#define HF_GRANT_CONFIRM_MS       100 /* a queued request asks again */
#define HF_GRANTER_BYPASS_MS      500 /* silence of a granter, decide locally */
#define HF_GRANT_TRANSIT_MS                                                                                            \
  100 /* grants younger than this may be in transit                                                                    \
       */

/* Membership. */
#define HF_HEARTBEAT_MS                500
#define HF_HEARTBEAT_MEMBERS_PER_ROUND 35 /* for each so many entries one more turn until all are told */
#define HF_HEARTBEAT_ROUNDS_MAX        3
#define HF_PEER_TIMEOUT_MS             1800
#define HF_PEER_FORGET_SEC             60   /* listed, but silent for so long: no heartbeats go there */
#define HF_PAUSE_THRESHOLD_MS          1500 /* a gap between ticks that means a pause */

/* Duties of entries for the others. */
#define HF_SMALL_FLEET_ENTRIES_MAX 24 /* up to so many entries all coordinate */
#define HF_ENTRIES_PER_COORDINATOR 16 /* entries of a failure domain for each coordinator, in larger fleets */
#define HF_COORDINATORS_MIN        2  /* in each failure domain */
#define HF_WATCHERS_PER_DOMAIN     2  /* entries of a failure domain that follow the directory for the others */
#define HF_GRANTER_CPU_SHARE_MIN                                                                                       \
  0.5 /* of the most processor time among coordinators; with less an entry grants nothing */

/* Directory passed on between entries. */
#define HF_DIRECTORY_SYNC_INTERVAL_MS     500  /* between messages that say up to where the directory is known */
#define HF_DIRECTORY_SYNC_AGE_MAX_MS      1000 /* older knowledge is not relied on */
#define HF_DIRECTORY_SYNC_ROLE_DELAY_MS   500  /* a duty to follow the platform is taken up once it has held so long */
#define HF_DIRECTORY_SYNC_WATCHER_WAIT_MS 500  /* the platform answers: watchers get so long to say more */
#define HF_DIRECTORY_SYNC_OUTAGE_WAIT_MS  2500 /* the same where the platform did not answer this entry lately */
#define HF_DIRECTORY_SYNC_WATCH_MIN_MS                                                                                 \
  3000 /* an entry that has begun to follow the platform by itself goes on that long */
#define HF_DIRECTORY_SYNC_LAG_MAX_MS 200 /* changes that did not come by then are asked for */
#define HF_DIRECTORY_SYNC_REMOTE_LAG_MAX_MS                                                                            \
  600 /* changes that are known in other failure domains for so long are asked for there                               \
       */
#define HF_DIRECTORY_SYNC_CHANGES_MAX 1000 /* remembered for entries that missed some */
#define HF_DIRECTORY_SYNC_PARTS_MAX   64   /* datagrams of one message */
#define HF_DIRECTORY_SYNC_FULL_TIMEOUT_MS                                                                              \
  500                                   /* the whole directory comes from one entry at a time, for so long at most */
#define HF_PLATFORM_UNREACHABLE_MS 5000 /* without the platform's answers, then no duty to follow it */

/* Platform. */
#define HF_PLATFORM_TIMEOUT_SEC      2
#define HF_WATCH_DURATION_SEC        30
#define HF_WATCH_SILENCE_TIMEOUT_MS  5000
#define HF_PLATFORM_RETRY_MS         500
#define HF_PLATFORM_RETRY_MAX_MS     5000
#define HF_CONFIG_CHECK_INTERVAL_MS  3000 /* the stored version is compared */
#define HF_CONFIG_PULL_RETRY_MS      100  /* a part that does not come is asked for again, later each time */
#define HF_CONFIG_PULL_DOUBLINGS_MAX 2
#define HF_CONFIG_PULL_STALL_MS      300  /* without a part, then another entry is asked that has the document, too */
#define HF_CONFIG_CHUNK_BYTES        8192 /* document bytes in one datagram */
#define HF_CONFIG_SEND_WINDOW_MS     100
#define HF_CONFIG_SEND_BYTES_MAX                                                                                       \
  (96 * 1024) /* of a document told to others in that time: less than small links carry */
#define HF_CONFIG_SEND_FIRST_BYTES_MAX (48 * 1024) /* above, those that have begun go first */
#define HF_DOCUMENT_BYTES_MAX          (1000 * 1000)

/* Idempotency claims. */
#define HF_CLAIM_SHARDS                8
#define HF_CLAIM_WRITE_INTERVAL_MS     40 /* 8 shards: at most 200 writes/s */
#define HF_CLAIM_KEY_RETENTION_SEC     86400
#define HF_CLAIM_SHARD_KEYS_MAX        12000
#define HF_CLAIM_RETRY_MS              150
#define HF_CLAIM_QUERY_RETRY_MS        300
#define HF_CLAIM_OUTCOME_RETENTION_SEC 600 /* outcome of own claims is kept */

/* Quarantine of requests that crash backend servers. */
#define HF_CRASHES_MAX      2
#define HF_CRASH_WINDOW_SEC 60
#define HF_QUARANTINE_SEC   60

/* Probes. */
#define HF_PROBE_EPOCH_SEC   10 /* tokens are allotted for one epoch */
#define HF_PROBE_IDLE_MS     2000
#define HF_PROBE_TIMEOUT_SEC 1

/* Shutdown. */
#define HF_DRAIN_LIMIT_SEC 60
#define HF_EXIT_POLL_MS    100

#endif
