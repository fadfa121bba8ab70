/**
 * DOC: hf-stream-end - how a connection ended
 *
 * One value from the socket to the exchange. Only an orderly close by the
 * remote end may end a body without a length.
 */
#ifndef HF_STREAM_END_H
#define HF_STREAM_END_H

#include <stdbool.h>

/* --- types --- */

/** enum hf_stream_end - how a connection ended */
enum hf_stream_end
{
  HF_STREAM_OPEN,           /* it has not ended */
  HF_STREAM_CLOSED,         /* closed in order by the remote end; no write had failed before */
  HF_STREAM_RESET,          /* reset by the remote end, or another error of the socket */
  HF_STREAM_WRITE_FAILED,   /* a write failed; that takes the error from the socket, so that a read reports a close */
  HF_STREAM_TIMED_OUT,      /* the remote end did not respond in time, or no connection was established in time */
  HF_STREAM_CLOSED_LOCALLY, /* closed by this process */
  HF_STREAM_CONNECT_FAILED, /* the connection was never established */
};

/* --- public functions --- */

/* End of a socket that reported @error, a value of errno, to a write or to a read. */
enum hf_stream_end hf_stream_end_of_error (int error, bool by_write);
const char *hf_stream_end_name (enum hf_stream_end end); /* for logs */
/* Whether the end of the connection completes a body without a length; @request_written: the request has been written
 * completely. */
bool hf_stream_end_completes_body (enum hf_stream_end end, bool request_written);

#endif
