/* A request body on its way through. */
#include "hf-upload.h"

#include "config.h"

/* --- constants --- */

#define FULL_BYTES (4 * HF_RELAY_CHUNK_BYTES)

/* --- types --- */

struct _HfUpload
{
  GInputStream parent;
  GQueue chunks; /* GBytes */
  gsize queued;
  gboolean finished;
  gboolean failed;
  GTask *reader; /* a read that waits for bytes */
  void *buffer;
  gsize wanted;
  void (*drained) (void *context);
  void *context;
};

G_DEFINE_TYPE (HfUpload, hf_upload, G_TYPE_INPUT_STREAM)

/* --- internal functions --- */

static gsize
take (HfUpload *upload, void *buffer, gsize wanted)
{
  gsize used = 0;
  while (used < wanted && !g_queue_is_empty (&upload->chunks))
    {
      GBytes *first = g_queue_pop_head (&upload->chunks);
      gsize size;
      const char *data = g_bytes_get_data (first, &size);
      gsize part = MIN (size, wanted - used);
      memcpy ((char *) buffer + used, data, part);
      if (part < size)
        g_queue_push_head (&upload->chunks, g_bytes_new_from_bytes (first, part, size - part));
      g_bytes_unref (first);
      used += part;
    }
  upload->queued -= used;
  return used;
}

static void
answer_reader (HfUpload *upload)
{
  GTask *reader = upload->reader;
  if (!reader || (upload->queued == 0 && !upload->finished && !upload->failed))
    return;
  upload->reader = NULL;
  if (upload->failed)
    g_task_return_new_error (reader, G_IO_ERROR, G_IO_ERROR_BROKEN_PIPE, "the caller is gone");
  else
    g_task_return_int (reader, (gssize) take (upload, upload->buffer, upload->wanted));
  g_object_unref (reader);
  if (upload->drained && !hf_upload_is_full (upload))
    upload->drained (upload->context);
}

static gssize
read_now (GInputStream *stream, void *buffer, gsize count, GCancellable *cancellable, GError **error)
{
  HfUpload *upload = HF_UPLOAD (stream);
  (void) cancellable;
  if (upload->queued > 0 || upload->finished)
    return (gssize) take (upload, buffer, count);
  g_set_error_literal (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK, "no bytes yet");
  return -1;
}

static void
read_async (GInputStream *stream,
            void *buffer,
            gsize count,
            int priority,
            GCancellable *cancellable,
            GAsyncReadyCallback callback,
            gpointer data)
{
  HfUpload *upload = HF_UPLOAD (stream);
  GTask *task = g_task_new (stream, cancellable, callback, data);
  g_task_set_priority (task, priority);
  upload->reader = task;
  upload->buffer = buffer;
  upload->wanted = count;
  answer_reader (upload);
}

static gssize
read_finish (GInputStream *stream, GAsyncResult *result, GError **error)
{
  (void) stream;
  return g_task_propagate_int (G_TASK (result), error);
}

static void
hf_upload_finalize (GObject *object)
{
  HfUpload *upload = HF_UPLOAD (object);
  g_queue_clear_full (&upload->chunks, (GDestroyNotify) g_bytes_unref);
  G_OBJECT_CLASS (hf_upload_parent_class)->finalize (object);
}

static void
hf_upload_class_init (HfUploadClass *klass)
{
  GInputStreamClass *stream = G_INPUT_STREAM_CLASS (klass);
  G_OBJECT_CLASS (klass)->finalize = hf_upload_finalize;
  stream->read_fn = read_now;
  stream->read_async = read_async;
  stream->read_finish = read_finish;
}

static void
hf_upload_init (HfUpload *upload)
{
  g_queue_init (&upload->chunks);
}

/* --- public functions --- */

HfUpload *
hf_upload_new (void (*drained) (void *context), void *context)
{
  HfUpload *upload = g_object_new (HF_TYPE_UPLOAD, NULL);
  upload->drained = drained;
  upload->context = context;
  return upload;
}

void
hf_upload_feed (HfUpload *upload, GBytes *bytes)
{
  upload->queued += g_bytes_get_size (bytes);
  g_queue_push_tail (&upload->chunks, g_bytes_ref (bytes));
  answer_reader (upload);
}

void
hf_upload_finish (HfUpload *upload)
{
  upload->finished = TRUE;
  answer_reader (upload);
}

void
hf_upload_fail (HfUpload *upload)
{
  upload->failed = TRUE;
  answer_reader (upload);
}

gboolean
hf_upload_is_full (HfUpload *upload)
{
  return upload->queued >= FULL_BYTES;
}

void
hf_upload_detach (HfUpload *upload)
{
  upload->drained = NULL;
}
