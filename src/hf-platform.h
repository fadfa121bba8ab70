/**
 * DOC: hf-platform - client of the platform's object API
 *
 * Makes asynchronous calls with JSON over HTTP: reads, conditional writes
 * (status 409 on a conflict), and watches, which are streams of JSON lines.
 * Results are raised as events PLATFORM_RESULT and WATCH_LINE.
 */
#ifndef HF_PLATFORM_H
#define HF_PLATFORM_H

#include "hf-loop.h"

/* --- public functions --- */

struct hf_platform *hf_platform_open (struct hf_loop *loop, struct hf_str address); /* connects with the first call */
void hf_platform_close (struct hf_platform *platform);                              /* cancels all calls */
void hf_platform_start_call (struct hf_platform *platform, const struct hf_effect *effect); /* effect CALL_PLATFORM */

#endif
