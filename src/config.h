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
#define HF_BODY_BUFFER_BYTES    (256 * 1024) /* larger bodies are streamed */
#define HF_HEADER_BYTES_MAX     (32 * 1024)  /* request head, above: 431 */
#define HF_BODY_BYTES_MAX       (1LL << 30)  /* request body, above: 413 */
#define HF_CALLER_SILENT_SEC    60           /* caller bytes stalled, then cut */
#define HF_CALLER_PATH_MS       24           /* a caller's wait outside of this process: connection, both ways */
#define HF_DEADLINE_VOTES_MAX   50           /* so many callers with another deadline change the usual one */
#define HF_RETURN_SHARE         3            /* callers return within this part of the time left */
#define HF_RETURN_RANKS         3            /* priorities told apart when returns are spread */
#define HF_START_RETRY_AFTER_MS 150          /* told while a starting process learns the configuration */
#define HF_RETRY_AFTER_MS       1000         /* told with a refusal that says nothing better */
#define HF_KEEP_ALIVE_SEC       1            /* idle before a probe, and between probes */
#define HF_KEEP_ALIVE_PROBES    2            /* without an answer, then the connection is broken */
#define HF_SOCKET_SILENT_MS     3000         /* bytes not acknowledged, then the connection is broken */
#define HF_SWEEP_MS             100          /* look for connections whose time is over */

/* Connections to backend servers. */
#define HF_ANSWER_HEAD_BYTES_MAX (64 * 1024) /* above: no answer */
#define HF_CONNECT_TIMEOUT_MS    500
#define HF_LINK_IDLE_MS          8000 /* kept that long where the server does not say */
#define HF_LINK_IDLE_MARGIN_MS   1000 /* closed that much before the server does */
#define HF_LINK_PROVED_MS        5000 /* used for what may not be repeated if it answered since */

#define HF_MALLOC_TRIM_BYTES (4 * 1024 * 1024)

/* Log. */
#define HF_LOG_LINES_PER_SEC 400         /* above: dropped and counted */
#define HF_LOG_BYTES_MAX     (64 * 1024) /* waiting for the reader, above: dropped and counted */
#define HF_LOG_RETRY_MS      20          /* a full pipe is tried again */
#define HF_LOG_SAMPLE        16          /* under load the successes of one request in so many are kept */

#define HF_LATENCY_CLASSES_MAX 64 /* classes with histograms of their own */

/* Attempts. */
#define HF_ATTEMPTS_MAX        3
#define HF_BACKOFF_BASE_MS     10
#define HF_BACKOFF_CAP_MS      500
#define HF_FIRST_BYTE_SHARE    2   /* first byte due in deadline / this */
#define HF_HEDGE_LATENCY_RATIO 3.0 /* hedge after this times the mean */
#define HF_HEDGE_MIN_MS        5
#define HF_HEDGE_ROOM_RATIO    1.2  /* a second attempt is given this times the usual latency */
#define HF_RETRY_TOKENS_MAX    20.0 /* retries a full budget allows */
#define HF_RETRY_SHARED_MAX    4.0  /* the same where one bucket is the fleet's */

/* Pools of backend servers. */
#define HF_EWMA_WEIGHT        0.1 /* weight of the newest sample */
#define HF_FAILURES_TO_OUT    5   /* consecutive failures, then out */
#define HF_OUT_BASE_MS        1000
#define HF_OUT_MAX_MS         30000
#define HF_OUT_SHARE_MAX      3   /* at most 1 / this of a service is out */
#define HF_STRAGGLER_RATIO    4.0 /* times the median latency, then out */
#define HF_STRAGGLER_SAMPLES  8
#define HF_RAMP_SUCCESSES     2     /* successes per slot regained */
#define HF_LEAVING_HOLD_MS    30000 /* a drain seen by request or probe */
#define HF_LOAD_REPORT_MAX_MS 50    /* older load reports are ignored */
#define HF_GRANT_GRACE_MS     1000  /* slot record kept past the deadline */

/* What a backend server says of its speed. */
#define HF_SLOWDOWN_LIFE_MS      150 /* a slow time lasts about that long */
#define HF_SLOWDOWN_FACTOR_USUAL 1.5 /* expected where nothing is known */
#define HF_SLOWDOWN_FACTOR_MAX   3.0 /* a slow time ends before most requests do */
#define HF_COLD_FACTOR           2.0 /* times of the usual latency after a start */
#define HF_SPEED_FRESH_MS        20  /* its word is relied on for that long */
#define HF_SPEED_WAIT_MS         40 /* a server that was asked and says nothing for that long is used by its older word */
#define HF_SLOW_LASTING_MS       600 /* slow for that long without a break: it will not end soon */
#define HF_SLOW_WAIT_MS          150 /* a want waits that long before it takes such a server */
#define HF_MEASURE_TICK_MS       20
#define HF_MEASURE_AGAIN_MS      15   /* a server is not asked again before */
#define HF_MEASURE_SLOW_MS       40   /* the same for one that has said that it is slow */
#define HF_MEASURES_OUT_MAX      16   /* measurements of a service that are under way for those that wait */
#define HF_MEASURE_USED_MS       1000 /* a service without requests for that long is not measured */
#define HF_MEASURES_SILENT       2    /* measurements without an answer, then no grants */

/* Directory of backend servers. */
#define HF_DIRECTORY_SETTLE_MS 2000 /* after an outage: servers not listed again by then are gone */

/* Placing. */
#define HF_PLACE_FAR_US      5000 /* another failure domain counts like this much latency */
#define HF_PLACE_FAR_US_BYTE 5.0  /* and this much for each byte of the body */
#define HF_PLACE_LAST_SLOT   1.4  /* times of the usual latency in the last slot */
#define HF_PLACE_BUSY        0.15 /* more of the usual latency for each share of slots in use */

#define HF_PLACE_FAR_WAIT_US  20000 /* cost of the way from which a nearer server is waited for */
#define HF_PLACE_SLOW_FACTOR  1.9   /* expected times of the usual latency from which a server counts as slow */
#define HF_PLACE_PATIENCE_MS  80    /* longest wait for a server that is not slow */
#define HF_LAST_START         0.7   /* with less than this share of the typical latency left, a start is useless */
#define HF_LATE_PRESSURE      2.0   /* what waits ahead of a late want, with what comes meanwhile */
#define HF_AIM_ROOM           1.35  /* with less than this times the typical latency left, the aim counts as missed */
#define HF_TYPICAL_STEP_FIRST 1.0   /* the same with the first answer, divided by their number */
#define HF_TYPICAL_STEP       0.02  /* change of the typical latency with one answer */
#define HF_HEDGE_LONG_RATIO   1.5   /* so many times the typical latency: the attempt has met a slow time */
#define HF_HEDGE_SLOW_MS      150   /* an attempt is doubled if its server was slow within that time */

#define HF_CROWDING_WEIGHT       0.01 /* weight of the newest sample */
#define HF_CROWDING_SAMPLES      40   /* of each kind before anything is concluded */
#define HF_CROWDING_RELATIVE_MAX 2.0  /* longest relative latency that counts */
#define HF_CROWDING_TRY          8    /* one choice in so many may use last slots to find out */
#define HF_CROWDING_TRY_KNOWN    100  /* the same once enough is known */
#define HF_CROWDING_RATIO        1.25 /* latency in a last slot, times that elsewhere, from which it is left free */
#define HF_CROWDING_CALM         150  /* percent of the usual time: above, a server counts as slowed down */

/* Slices of large services. */
#define HF_SLICE_SERVERS_MAX 48 /* up to so many servers a service is one slice */
#define HF_SLICE_SERVERS     24 /* servers of one slice, at most, above that */
#define HF_SLICES_MAX        64

/* Slot grants between entries. */
#define HF_GRANT_ASK_MS        5 /* resend an unanswered request, later each time */
#define HF_GRANT_ASK_DOUBLINGS 3
#define HF_GRANT_GIVE_UP_MS    100 /* then decide locally; a large body fills a small link for as long */
#define HF_GRANT_REASK_MS      100 /* a queued request asks again */
#define HF_GRANT_SUSPECT_MS    500 /* silence of a granter, decide locally */
#define HF_GRANT_SETTLE_MS                                                                                             \
  100 /* grants younger than this may be in transit                                                                    \
       */

/* Membership. */
#define HF_HEARTBEAT_MS          500
#define HF_HEARTBEAT_MEMBERS     35 /* for each so many entries one more turn until all are told */
#define HF_HEARTBEAT_STRETCH_MAX 3
#define HF_PEER_TIMEOUT_MS       1800
#define HF_PEER_FORGET_SEC       60   /* listed, but silent for so long: no heartbeats go there */
#define HF_PAUSE_MS              1500 /* a gap between ticks that means a pause */

/* Duties of entries for the others. */
#define HF_SMALL_FLEET         24  /* up to so many entries all coordinate */
#define HF_COORDINATED_ENTRIES 16  /* entries of a failure domain for each coordinator, in larger fleets */
#define HF_COORDINATORS_MIN    2   /* in each failure domain */
#define HF_DOMAIN_WATCHERS     2   /* entries of a failure domain that follow the directory for the others */
#define HF_GRANTER_SHARE       0.5 /* of the most processor time among coordinators; with less an entry grants nothing */

/* Directory passed on between entries. */
#define HF_RELAY_BEAT_MS   500  /* between messages that say up to where the directory is known */
#define HF_RELAY_FRESH_MS  1000 /* older knowledge is not relied on */
#define HF_RELAY_SETTLE_MS 500  /* a duty to follow the platform is taken up once it has held so long */
#define HF_RELAY_WAIT_MS   500  /* the platform answers: watchers get so long to say more */
#define HF_RELAY_AWAY_MS   2500 /* the same where the platform did not answer this entry lately */
#define HF_RELAY_HOLD_MS   3000 /* an entry that has begun to follow the platform by itself goes on that long */
#define HF_RELAY_BEHIND_MS 200  /* changes that did not come by then are asked for */
#define HF_RELAY_ELSEWHERE_MS                                                                                          \
  600                             /* changes that are known in other failure domains for so long are asked for there   \
                                   */
#define HF_RELAY_CHANGES_MAX 1000 /* remembered for entries that missed some */
#define HF_RELAY_PARTS_MAX   64   /* datagrams of one message */
#define HF_RELAY_WHOLE_MS    500  /* the whole directory comes from one entry at a time, for so long at most */
#define HF_BLIND_MS          5000 /* without the platform's answers, then no duty to follow it */

/* Platform. */
#define HF_PLATFORM_TIMEOUT_SEC  2
#define HF_WATCH_LIFE_SEC        30
#define HF_WATCH_SILENT_MS       5000
#define HF_PLATFORM_RETRY_MS     500
#define HF_PLATFORM_RETRY_MAX_MS 5000
#define HF_CONFIG_CHECK_MS       3000 /* the stored version is compared */
#define HF_CONFIG_PULL_MS        100  /* a part that does not come is asked for again, later each time */
#define HF_CONFIG_PULL_DOUBLINGS 2
#define HF_CONFIG_STALLED_MS     300  /* without a part, then another entry is asked that has the document, too */
#define HF_CHUNK_BYTES           8192 /* document bytes in one datagram */
#define HF_SERVE_WINDOW_MS       100
#define HF_SERVE_BYTES           (96 * 1024) /* of a document told to others in that time: less than small links carry */
#define HF_SERVE_FIRST_BYTES     (48 * 1024) /* above, those that have begun go first */
#define HF_DOCUMENT_BYTES_MAX    (1000 * 1000)

/* Idempotency claims. */
#define HF_CLAIM_SHARDS         8
#define HF_CLAIM_WRITE_EVERY_MS 40 /* 8 shards: at most 200 writes/s */
#define HF_CLAIM_RETENTION_SEC  86400
#define HF_CLAIM_SHARD_KEYS_MAX 12000
#define HF_CLAIM_ASK_MS         150
#define HF_CLAIM_INQUIRE_MS     300
#define HF_CLAIM_MEMORY_SEC     600 /* outcome of own claims is kept */

/* Quarantine of requests that crash backend servers. */
#define HF_STRIKES_MAX       2
#define HF_STRIKE_WINDOW_SEC 60
#define HF_QUARANTINE_SEC    60

/* Probes. */
#define HF_PROBE_EPOCH_SEC   10 /* tokens are allotted for one epoch */
#define HF_PROBE_IDLE_MS     2000
#define HF_PROBE_TIMEOUT_SEC 1

/* Shutdown. */
#define HF_DRAIN_LIMIT_SEC 60
#define HF_EXIT_POLL_MS    100

#endif
