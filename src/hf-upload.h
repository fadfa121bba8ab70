/**
 * DOC: hf-upload - a request body on its way through
 *
 * An input stream that is fed by the caller's connection and read by the
 * backend server's. It holds at most a few chunks: who feeds it asks first
 * whether there is room.
 */
#ifndef HF_UPLOAD_H
#define HF_UPLOAD_H

#include <gio/gio.h>

/* --- types --- */

#define HF_TYPE_UPLOAD (hf_upload_get_type ())
G_DECLARE_FINAL_TYPE (HfUpload, hf_upload, HF, UPLOAD, GInputStream)

/* --- public functions --- */

HfUpload *hf_upload_new (void (*drained) (void *context), void *context); /* calls drained when it has room again */
void hf_upload_feed (HfUpload *upload, GBytes *bytes);                    /* appends bytes */
void hf_upload_finish (HfUpload *upload);                                 /* no more bytes follow */
void hf_upload_fail (HfUpload *upload);                                   /* the caller is gone */
gboolean hf_upload_is_full (HfUpload *upload);                            /* stop feeding until drained */
void hf_upload_detach (HfUpload *upload);                                 /* drained is not called any more */

#endif
