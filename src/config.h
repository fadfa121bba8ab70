/**
 * DOC: config - compile-time settings
 *
 * All constants that are not set by an operator. A name ends in the unit:
 * _US, _MS and _SEC for time, _BYTES for sizes. The others are counts or ratios.
 */
#ifndef HF_CONFIG_H
#define HF_CONFIG_H

#define HF_VERSION "0.1.0"

/* Microseconds in a millisecond and in a second. */
#define HF_MS  1000LL
#define HF_SEC 1000000LL

/* Connections from callers. */
#define HF_BODY_BUFFER_BYTES        (256 * 1024) /* body bytes buffered in each direction; larger bodies are streamed */
#define HF_REQUEST_HEAD_BYTES_MAX   (32 * 1024)  /* default limit of a request head; above: 431 */
#define HF_REQUEST_BODY_BYTES_MAX   (1LL << 30)  /* default limit of a request body; above: 413 */
#define HF_BODY_LIMIT_BYTES_MAX     (1LL << 53)  /* highest limit that a document may set: bodies are passed on */
#define HF_HEAD_LIMIT_BYTES_MAX     (1 << 20)    /* the same of a request head, which is kept in memory */
#define HF_PIPELINE_REQUESTS_MAX    8            /* of one connection in progress at the same time */
#define HF_PIPELINE_BYTES_MAX       (64 * 1024)  /* received and not parsed; above, the socket is not read */
#define HF_CALLER_STALL_TIMEOUT_SEC 60           /* a caller's connection without progress is closed */
#define HF_TCP_KEEP_ALIVE_SEC       1            /* idle time before a keep-alive probe, and between probes */
#define HF_TCP_KEEP_ALIVE_PROBES    2            /* unanswered probes that end a connection */
#define HF_TCP_USER_TIMEOUT_MS      3000         /* unacknowledged data for that long ends a connection */
#define HF_TIMEOUT_CHECK_MS         100          /* interval between checks for connections that timed out */

/* Memory for the bodies of all requests from callers. */
#define HF_BODIES_BYTES_MAX (64 * 1024 * 1024) /* above, requests with bodies that are not short are refused */
#define HF_BODY_SHORT_BYTES (16 * 1024)

/* Deadlines and Retry-After. */
#define HF_CALLER_NETWORK_MS      24 /* a caller's wait outside of this process: connection set-up, both network ways */
#define HF_DEADLINE_VOTES_MAX     50 /* after at most this many callers with another deadline, the usual one changes */
#define HF_RETRY_AFTER_DIVISOR    3  /* Retry-After is spread over about 1 / this of the caller's remaining time */
#define HF_RETRY_AFTER_RANKS      3  /* priorities that Retry-After distinguishes */
#define HF_RETRY_AFTER_STARTUP_MS 150  /* while a starting process loads the configuration */
#define HF_RETRY_AFTER_LEAVING_MS 20   /* another entry serves the request */
#define HF_RETRY_AFTER_DEFAULT_MS 1000 /* for errors without a more specific value */

/* Connections to backend servers. */
#define HF_RESPONSE_HEAD_BYTES_MAX   (64 * 1024) /* a response with a longer head is rejected */
#define HF_CONNECT_TIMEOUT_MS        500
#define HF_CONNECTION_IDLE_MS        8000 /* idle time of a kept connection if the server sends no Keep-Alive timeout */
#define HF_CONNECTION_IDLE_MARGIN_MS 1000 /* closed this long before the server's own timeout */
#define HF_CONNECTION_IDS_MAX        512  /* request ids remembered of a connection; then it is closed */
#define HF_KEEP_ALIVE_MAX_SEC        3600 /* a longer Keep-Alive timeout counts as this */
#define HF_CONNECTION_PROVEN_MS      5000 /* reuse for non-repeatable requests: last response at most this long ago */

/* Memory. */
#define HF_MALLOC_TRIM_BYTES (4 * 1024 * 1024) /* free heap kept before it goes back to the kernel */

/* Values of other writers. */
#define HF_JSON_DEPTH_MAX 32 /* containers in one another; deeper ones are not read */
#define HF_YAML_DEPTH_MAX 32 /* the same; a deeper document is not valid */

/* Log. */
#define HF_LOG_LINES_PER_SEC     400         /* above: lines are dropped and counted */
#define HF_LOG_PENDING_BYTES_MAX (64 * 1024) /* not yet read from the pipe; above: lines are dropped and counted */
#define HF_LOG_WRITE_RETRY_MS    20          /* delay before writing to a full pipe again */
#define HF_LOG_SAMPLE_DIVISOR    16          /* under load, successes are logged for one request in this many */

/* Latency histograms. */
#define HF_LATENCY_SAMPLES_MIN 50 /* durations before a quantile of them is known */
#define HF_LATENCY_CLASSES_MAX 64 /* request classes with their own histograms */

/* Counts of requests by organisation. */
#define HF_ORGANISATION_SERIES_MAX   20   /* with series of their own in the metrics; the rest is added up */
#define HF_ORGANISATIONS_COUNTED_MAX 1000 /* with a count of their own; a record takes about 100 bytes */

/* Attempts. */
#define HF_ATTEMPTS_MAX            3 /* per call, including retries and hedges */
#define HF_BACKOFF_BASE_MS         10
#define HF_BACKOFF_CAP_MS          500
#define HF_FIRST_BYTE_DIVISOR      2   /* the first byte of a response is due after deadline / this */
#define HF_HEDGE_LATENCY_RATIO     3.0 /* a hedge starts after this times the server's mean latency */
#define HF_HEDGE_MIN_MS            5
#define HF_HEDGE_RESERVE_RATIO     1.2  /* time reserved for a hedge, times the median latency */
#define HF_RETRY_TOKENS_MAX        20.0 /* bucket size of the retry budget */
#define HF_RETRY_TOKENS_SHARED_MAX 4.0  /* the same where the whole fleet shares one bucket */

/* Health of backend servers. */
#define HF_HEALTH_EWMA_WEIGHT         0.1 /* weight of the newest sample */
#define HF_EJECT_CONSECUTIVE_FAILURES 5
#define HF_EJECT_BASE_MS              1000 /* doubled with every further ejection */
#define HF_EJECT_MAX_MS               30000
#define HF_EJECT_SERVERS_DIVISOR      3     /* at most 1 / this of a service's servers are ejected */
#define HF_EJECT_FAILURE_RATE_EXCESS  0.35  /* over the median of the service; five failures in a row give 0.41 */
#define HF_EJECT_LATENCY_RATIO        4.0   /* times the median latency of the servers; above: ejected */
#define HF_EJECT_MIN_SAMPLES          8     /* samples before latency or failure rate can eject a server */
#define HF_SLOW_START_SUCCESSES       2     /* successes before the next slot is used again */
#define HF_DRAIN_HOLD_MS              30000 /* how long a draining state seen in a response or probe lasts */
#define HF_LOAD_REPORT_MAX_AGE_MS     50    /* older load reports are ignored */
#define HF_GRANT_GRACE_MS             1000  /* a slot grant is kept this long past the request's deadline */

/* Requests that backend servers do not want. */
#define HF_RETRY_AFTER_MAX_SEC  3600 /* a server's longer Retry-After counts as this */
#define HF_PUSHBACK_SPREAD_MS   1000 /* entries that were told the same time return within at most this after it */
#define HF_RESTRICTION_KEEP_SEC 3600 /* kept for an instance that is not listed: an older list may name it again */

/* Reported speed of backend servers. */
#define HF_SLOWDOWN_DECAY_MS         150 /* typical length of a slow phase; reports decay with this time constant */
#define HF_SLOWDOWN_FACTOR_DEFAULT   1.5 /* expected slowdown once a report has decayed */
#define HF_SLOWDOWN_FACTOR_MAX       3.0 /* cap on a reported slowdown: most slow phases end before the request does */
#define HF_WARMUP_LATENCY_FACTOR     2.0 /* times the usual latency just after a server's start */
#define HF_SPEED_FRESH_MS            20  /* a speed report is relied on for this long */
#define HF_MEASURE_TIMEOUT_MS        40  /* without a reply for this long, the server's older report is used */
#define HF_SLOW_PERSISTENT_MS        600 /* a server that has been slow for this long is expected to stay slow */
#define HF_SLOW_SERVER_WAIT_MS       150 /* a slot request waits this long before it takes such a server */
#define HF_MEASURE_TICK_MS           20
#define HF_MEASURE_MIN_INTERVAL_MS   15   /* between measurements of one server */
#define HF_MEASURE_SLOW_INTERVAL_MS  40   /* the same for a server that reported a slowdown */
#define HF_MEASURES_IN_FLIGHT_MAX    16   /* per service, for the requests in its queue */
#define HF_MEASURE_IDLE_MS           1000 /* a service without requests for this long is not measured */
#define HF_MEASURES_UNANSWERED_LIMIT 2    /* consecutive unanswered measurements that stop grants to a server */

/* Cold backend servers. */
#define HF_COLD_WINDOW_MS         1250  /* one second, and the most by which the way to the server may differ */
#define HF_COLD_TAKEOVER_MS       3000  /* of a new granter: heartbeats to all at three rounds, a lost one, a window */
#define HF_COLD_RESPONSE_FRESH_MS 2000  /* the directory's copy is not newer than a response of that time */
#define HF_COLD_SHARED_MS         500   /* by which the entries may differ in the end of a cold time that all know */
#define HF_COLD_ANNOUNCE_MS       500   /* between two announcements to all entries */
#define HF_COLD_STARTS_MAX        10000 /* limit of starts in a window */
#define HF_COLD_MAX_MS            3600000 /* longest cold time that is taken over */

/* Directory of backend servers. */
#define HF_DIRECTORY_OUTAGE_GRACE_MS 2000 /* after an outage, unlisted servers are kept this long before removal */
#define HF_DIRECTORY_REMOVED_SEC     60   /* an older report of a removed server is recognised for this long */
#define HF_DIRECTORY_REMOVED_MAX     1000 /* removed servers remembered */
#define HF_EVACUATIONS_WAIT_MS       5000 /* of an entry that starts, for the orders: longer than a first start's lists */
#define HF_EVACUATIONS_MAX           32   /* failure domains evacuated together; at most HF_RPC_EVACUATIONS_MAX */

/* Placement: expected latency of a server. */
#define HF_PLACEMENT_FAR_US           5000 /* cost of a server in another failure domain */
#define HF_PLACEMENT_FAR_US_PER_BYTE  5.0  /* added for each byte of the request body */
#define HF_PLACEMENT_LAST_SLOT_FACTOR 1.4  /* latency factor of a server's last free slot */
#define HF_PLACEMENT_LOAD_WEIGHT      0.15 /* added latency at full load, as a share of the usual one */

/* Placement: waiting for a better server. */
#define HF_PLACEMENT_FAR_WAIT_US 20000 /* from this distance cost on, a request waits for a nearer server */
#define HF_PLACEMENT_SLOW_FACTOR 1.9   /* from this expected latency factor on, a server counts as slow */
#define HF_PLACEMENT_WAIT_MAX_MS 80    /* longest wait for a server that is not slow */

/* Admission and median latency. */
#define HF_LAST_START_RATIO    0.7  /* with less than this times the usual latency left, a start is useless */
#define HF_LATE_QUEUE_FACTOR   2.0  /* times the queue ahead of a late request, as later arrivals overtake it */
#define HF_SOFT_DEADLINE_RATIO 1.35 /* the soft deadline counts as missed with less than this times the median left */
#define HF_MEDIAN_STEP_FIRST   1.0  /* first step of the median estimate; divided by the number of samples */
#define HF_MEDIAN_STEP         0.02 /* smallest step of the estimate, as a share of it */

/* Hedging where servers report slowdowns. */
#define HF_HEDGE_LONG_RATIO     1.5 /* an attempt beyond this times the median latency has met a slow phase */
#define HF_HEDGE_SLOW_WINDOW_MS 150 /* an attempt is hedged if its server was slow within this time */

/* Saturation: whether a server's last slot is slower than its others. */
#define HF_SATURATION_EWMA_WEIGHT          0.01 /* weight of the newest sample */
#define HF_SATURATION_MIN_SAMPLES          40   /* of each kind of slot before a conclusion */
#define HF_SATURATION_SAMPLE_MAX           2.0  /* cap on one relative latency */
#define HF_SATURATION_TRIAL_INTERVAL       8    /* one grant in this many may use last slots, to collect samples */
#define HF_SATURATION_KNOWN_TRIAL_INTERVAL 100  /* the same once there are enough samples */
#define HF_SATURATION_LATENCY_RATIO        1.25 /* last slots stay free above this ratio to the other slots' latency */
#define HF_SLOWDOWN_NORMAL_MAX_PERCENT     150  /* of the usual time; above, a server counts as slowed down */

/* Slices of large services. */
#define HF_SLICE_SINGLE_SERVERS_MAX 48 /* a service with up to this many servers is one slice */
#define HF_SLICE_SERVERS            24 /* servers of a slice in larger services: at most this many on average */
#define HF_SLICES_MAX               64

/* Slot grants between entries. */
#define HF_GRANT_RESEND_MS        5 /* before an unanswered slot request is sent again; doubles each time */
#define HF_GRANT_RESEND_DOUBLINGS 3
#define HF_GRANT_TIMEOUT_MS       100 /* then the entry decides locally; a large body can fill a small link this long */
#define HF_GRANT_CONFIRM_MS       100 /* a queued slot request is sent again after this time */
#define HF_GRANTER_BYPASS_MS      500 /* how long an entry decides locally after a granter timed out */
#define HF_GRANT_TRANSIT_MS       100 /* younger grants may be in transit: a heartbeat without them keeps them */

/* Quotas of organisations over the fleet. */
#define HF_QUOTA_LEASE_RATIO 0.9  /* validity of a lease, of what the overshoot allows; the rest is for the slices */
#define HF_QUOTA_SLICES      128  /* time slices in which the credits given in a window are counted */
#define HF_QUOTA_LEASES_MAX  8    /* of one organisation at one entry */
#define HF_QUOTA_MOVED_MS    3000 /* until all entries know the new owner: two rounds of heartbeats of a large fleet */

#define HF_QUOTA_CREDITS_MAX        10000 /* in one request of an entry */
#define HF_QUOTA_LATE_RESERVE_RATIO 0.5   /* of a bucket, for requests that can still meet their target latency */
#define HF_QUOTA_RESEND_MS          5 /* before an unanswered request for credits is sent again; doubles each time */
#define HF_QUOTA_RESEND_DOUBLINGS   2
#define HF_QUOTA_START_MS           3000  /* after its start an owner may not know most others: requests wait for it */
#define HF_FLEET_RESTART_MS         10000 /* a start of the whole fleet is remembered for this long */
#define HF_FLEET_RESTART_SPREAD_MS  2000  /* within which all entries then begin */
#define HF_QUOTA_FILLING_MS         1000  /* requests wait for a bucket that began empty so lately */
#define HF_QUOTA_WAIT_MAX_MS        100   /* before credits of such a bucket are requested again */
#define HF_QUOTA_LOG_INTERVAL_MS    10000 /* between lines on the same organisation */

/* Membership. */
#define HF_HEARTBEAT_MS                500
#define HF_HEARTBEAT_MEMBERS_PER_ROUND 35 /* one more round per this many members, until all have got a heartbeat */
#define HF_HEARTBEAT_ROUNDS_MAX        3
#define HF_PEER_TIMEOUT_MS             1800 /* per heartbeat round: without a heartbeat for this long, timed out */
#define HF_PEER_FORGET_SEC             60 /* a listed member without heartbeats for this long is removed and gets none */
#define HF_PEER_FORGET_UNHEARD_MS      5000 /* the same for one never heard, by a fleet that was started as a whole */
#define HF_PAUSE_THRESHOLD_MS          1500 /* a heartbeat this late means that the process was paused */
#define HF_PAUSE_MS                    500  /* no event for so long: the process was paused */
#define HF_PAUSE_READ_MS               50   /* time to read what arrived during a pause before waits end */

/* Domain affinity: requests stay in the failure domain that they arrived in. */
#define HF_AFFINITY_RTT_MIN_MS      4 /* on from this round trip between failure domains: a part of target latencies */
#define HF_AFFINITY_RTT_KEEP_MS     3 /* below, it is off again; between both the decision stays */
#define HF_AFFINITY_RTT_MAX_MS      10000 /* a longer sample is no round trip, but a clock that jumped */
#define HF_AFFINITY_WINDOW_MS       30000 /* samples count for one or two of these: busy VMs need many for a good one */
#define HF_AFFINITY_SAMPLES_MIN     20    /* round trips that an entry has measured before it decides */
#define HF_AFFINITY_SETTLE_MS       3000  /* the same: time since the first, as the first ones are of VMs that start */
#define HF_AFFINITY_ECHO_MAX_MS     10000 /* a heartbeat that arrived longer ago is not answered any more */
#define HF_AFFINITY_SPREAD_MS       3000  /* until all entries know a decision: heartbeats of both kinds are sent */
#define HF_AFFINITY_CROSS_MIN_MS    20    /* a request crosses if that shortens its wait by the round trip and this */
#define HF_AFFINITY_SPARE_RATIO     0.5   /* a forecast wait of this part of what a request can spare endangers it */
#define HF_AFFINITY_WAIT_MAX_MS     60000 /* forecast where no backend server is usable */
#define HF_AFFINITY_REPORT_MS       1000  /* between load reports without a change; with one: at each pool tick */
#define HF_AFFINITY_REPORT_VALID_MS 2500  /* a forecast is relied on for this long: two reports may be lost */
#define HF_AFFINITY_FAR_US          60000 /* distance cost with affinity: so much longer a request may take to stay */

/* Roles of entries. */
#define HF_SMALL_FLEET_ENTRIES_MAX 24  /* in a fleet of up to this many entries all are coordinators */
#define HF_ENTRIES_PER_COORDINATOR 16  /* in a failure domain of a larger fleet */
#define HF_COORDINATORS_MIN        2   /* in each failure domain */
#define HF_WATCHERS_PER_DOMAIN     2   /* entries that watch the platform's directory for the others */
#define HF_SHORT_WATCHERS          2   /* of the fleet's watchers: so many notice soon that their watches are lost */
#define HF_GRANTERS_HISTORY_MAX    8   /* former sets of granters that are known, to tell who was one before */
#define HF_GRANTER_CPU_SHARE_MIN   0.5 /* of the coordinators' largest CPU share; entries with less grant no slots */

/* Directory sync between entries. One entry at a time sends the full directory. */
#define HF_DIRECTORY_SYNC_INTERVAL_MS       500  /* between messages with the latest known revision */
#define HF_DIRECTORY_SYNC_AGE_MAX_MS        1000 /* a copy confirmed longer ago is not relied on */
#define HF_DIRECTORY_SYNC_PAUSE_MS          600 /* without a confirmation: longer than between checks of the platform */
#define HF_DIRECTORY_SYNC_ROLE_DELAY_MS     200 /* the role must last this long before the entry watches */
#define HF_DIRECTORY_SYNC_WATCHER_WAIT_MS   500 /* platform reachable: wait for watchers before watching it */
#define HF_DIRECTORY_SYNC_OUTAGE_WAIT_MS    2500 /* the same shortly after an outage of the directory */
#define HF_DIRECTORY_SYNC_WATCH_MIN_MS      3000 /* shortest watch by an entry without the role */
#define HF_DIRECTORY_SYNC_LAG_MAX_MS        200  /* changes missing for longer are requested */
#define HF_DIRECTORY_SYNC_REMOTE_LAG_MAX_MS 600  /* changes missing for longer are requested from other domains */
#define HF_DIRECTORY_SYNC_CHANGES_MAX       1000 /* kept for entries that missed some */
#define HF_DIRECTORY_SYNC_PARTS_MAX         64   /* datagrams of one message */
#define HF_DIRECTORY_SYNC_FULL_TIMEOUT_MS   500  /* then another entry may send the full directory */
#define HF_DIRECTORY_SYNC_START_WAIT_MS     1000 /* for the platform's list after a start; then from an entry */
#define HF_PLATFORM_UNREACHABLE_MS          5000 /* after a failed call, no watcher role for this long */

/* Watches of the platform's store: how long one waits for a change, and how much later it counts as lost. */
#define HF_STORE_WATCH_WAIT_MS       15000
#define HF_STORE_WATCH_WAIT_SHORT_MS 1800 /* with the margin less than the 3 s of calm after which bounds hold */
#define HF_STORE_WATCH_MARGIN_MS     700  /* a check waits as long for its response */

/* Platform. */
#define HF_PLATFORM_TIMEOUT_SEC     2
#define HF_WATCH_DURATION_SEC       30
#define HF_WATCH_SILENCE_TIMEOUT_MS 5000
#define HF_PLATFORM_RETRY_MS        500
#define HF_PLATFORM_RETRY_MAX_MS    5000

/* Configuration sync. */
#define HF_CONFIG_CHECK_INTERVAL_MS 3000              /* between comparisons with the stored version */
#define HF_DOCUMENT_BYTES_MAX       (8 * 1024 * 1024) /* more than an external store's largest object gives */
#define HF_MANIFEST_BYTES_MAX       (1000 * 1000)     /* document in an object of the platform's object API */
#define HF_DOCUMENT_PACK_LEVEL      3                 /* of zlib; higher ones take more processor time for little */

/* Configuration spread: documents that entries get from one another. */
#define HF_CONFIG_PROVIDERS          2   /* coordinators that offer a document to each other entry */
#define HF_CONFIG_OFFER_WAIT_MS      150 /* wait for an offer of a provider before pulling from another entry */
#define HF_CONFIG_PULL_RETRY_MS      100 /* before a missing chunk is requested again; doubles each time */
#define HF_CONFIG_PULL_DOUBLINGS_MAX 2
#define HF_CONFIG_PULL_STALL_MS      300  /* without a chunk, the pull moves to another entry with the document */
#define HF_CONFIG_READ_AFTER_MS      800  /* behind the other entries for longer: reads it from the platform */
#define HF_CONFIG_READ_PROGRESS_MS   1500 /* the same while chunks of the document arrive */
#define HF_CONFIG_READ_INTERVAL_MS   1000 /* between two such reads */
#define HF_CONFIG_CHUNK_BYTES        8192 /* compressed bytes in one datagram */
#define HF_CONFIG_SEND_WINDOW_MS     100
#define HF_CONFIG_SEND_LINK_PERCENT  75 /* of what the link carries, for chunks */
#define HF_CONFIG_SEND_FIRST_PERCENT 50 /* of that; above, only pulls that have begun get chunks */
#define HF_LINK_DEFAULT_MBPS         10
#define HF_CONFIG_HISTORY_MAX        16 /* compressed generations kept for pulls in progress */
#define HF_CONFIG_HISTORY_BYTES_MAX  (256 * 1024)

/* Idempotency claims. */
#define HF_CLAIM_SHARDS                8
#define HF_CLAIM_WRITE_INTERVAL_MS     40 /* per shard; 8 shards: at most 200 writes/s */
#define HF_CLAIM_KEY_RETENTION_SEC     86400
#define HF_CLAIM_SHARD_KEYS_MAX        12000
#define HF_CLAIM_RETRY_MS              150
#define HF_CLAIM_QUERY_RETRY_MS        300
#define HF_CLAIM_OUTCOME_RETENTION_SEC 600 /* how long an entry keeps the outcome of its own claims */

/* Quarantine of requests that crash backend servers. */
#define HF_CRASHES_MAX      2 /* distinct servers crashed by a request before its quarantine */
#define HF_CRASH_WINDOW_SEC 60
#define HF_QUARANTINE_SEC   60

/* Health probes. */
#define HF_PROBE_EPOCH_SEC          10   /* probe tokens are allotted for one epoch */
#define HF_PROBE_IDLE_MS            2000 /* servers without a response for this long are probed */
#define HF_PROBE_ALLOTMENT_RETRY_MS 2000 /* until tokens that another entry gives back are found */
#define HF_PROBE_TIMEOUT_SEC        1

/* Start. */
#define HF_ADDRESS_WAIT_MS  1000 /* for an address in use, beyond grace_ms, which a former process has to end */
#define HF_SETTINGS_WAIT_MS 2000 /* for settings that are missing or invalid, as they may be written just now */
#define HF_START_RETRY_MS   50

/* Shutdown. */
#define HF_SHUTDOWN_TIMEOUT_SEC  60   /* default of the setting grace_ms */
#define HF_STOP_IDLE_MS          50   /* idle time after which connections close, once the listener is closed */
#define HF_EXIT_POLL_MS          100  /* interval between checks for connected callers */
#define HF_EXIT_FLUSH_MS         100  /* before the exit, to write the last responses */
#define HF_EXIT_LATENCY_QUANTILE 0.99 /* of a class's latency: a call that ends in time with it is accepted */

#endif
