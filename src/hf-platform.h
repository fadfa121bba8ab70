/**
 * DOC: hf-platform - client of the platform's object API
 *
 * JSON over HTTP: reads, conditional writes answered 409 on a conflict, and
 * watches as streams of JSON lines.
 */
#ifndef HF_PLATFORM_H
#define HF_PLATFORM_H

#include "hf-loop.h"

/* --- public functions --- */

struct hf_platform *hf_platform_open (struct hf_loop *loop, struct hf_str address);         /* connects when needed */
void hf_platform_close (struct hf_platform *platform);                                      /* cancels all calls */
void hf_platform_start_call (struct hf_platform *platform, const struct hf_effect *effect); /* effect PLATFORM */

#endif
