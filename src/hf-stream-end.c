/* How a connection ended. */
#include "hf-stream-end.h"

#include <errno.h>

/* --- constants --- */

static const char *const names[] = {
  [HF_STREAM_OPEN] = "open",
  [HF_STREAM_CLOSED] = "closed",
  [HF_STREAM_RESET] = "reset",
  [HF_STREAM_WRITE_FAILED] = "write-failed",
  [HF_STREAM_TIMED_OUT] = "timed-out",
  [HF_STREAM_CLOSED_LOCALLY] = "closed-locally",
  [HF_STREAM_CONNECT_FAILED] = "connect-failed",
};

/* --- public functions --- */

enum hf_stream_end
hf_stream_end_of_error (int error, bool by_write)
{
  if (error == ETIMEDOUT)
    return HF_STREAM_TIMED_OUT;
  return by_write ? HF_STREAM_WRITE_FAILED : HF_STREAM_RESET;
}

const char *
hf_stream_end_name (enum hf_stream_end end)
{
  return names[end];
}

bool
hf_stream_end_completes_body (enum hf_stream_end end, bool request_written)
{
  return end == HF_STREAM_CLOSED && request_written;
}
