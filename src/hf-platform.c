/* Client of the platform's object API. */
#include "hf-platform.h"

#include "hf-soup.h"

#include "config.h"

/* --- constants --- */

#define API_PATH             "/apis/hickoryfield/v1"
#define WATCH_COUNT          (HF_PURPOSE_EVACUATIONS + 1)
#define ACCEPT_METADATA_ONLY "application/json;as=PartialObjectMetadata;g=meta.k8s.io;v=1"

/* --- types --- */

struct hf_platform
{
  struct hf_loop *loop;
  struct hf_str address;
  SoupSession *session;       /* reads and writes */
  SoupSession *watch_session; /* without a timeout, as a watch stays open */
  GCancellable *calls_cancellable;
  GCancellable *watch_cancellables[WATCH_COUNT]; /* by enum hf_platform_purpose; NULL: not watched yet */
};

/* A call in progress. */
struct call
{
  struct hf_platform *platform;
  enum hf_platform_op op;
  enum hf_platform_purpose purpose;
  uint64_t arg;
  SoupMessage *message;
  GDataInputStream *lines;
  GCancellable *cancellable;
};

/* --- internal functions --- */

static struct call *
new_call (struct hf_platform *platform, const struct hf_effect *effect, SoupMessage *message)
{
  struct call *call = g_new0 (struct call, 1);
  call->platform = platform;
  call->op = effect->op;
  call->purpose = effect->purpose;
  call->arg = effect->arg;
  call->message = message;
  return call;
}

static void
free_call (struct call *call)
{
  g_clear_object (&call->message);
  g_clear_object (&call->lines);
  g_clear_object (&call->cancellable);
  g_free (call);
}

static struct hf_event
make_event (const struct call *call, enum hf_event_kind kind, unsigned status, struct hf_str data)
{
  return (struct hf_event){
    .kind = kind,
    .platform = { .purpose = call->purpose, .op = call->op, .arg = call->arg, .status = status, .data = data }
  };
}

static void
on_call_done (GObject *source, GAsyncResult *result, gpointer data)
{
  struct call *call = data;
  GError *error = NULL;
  GBytes *body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, &error);
  bool closing = g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CANCELLED);
  gsize size = 0;
  const char *text = body ? g_bytes_get_data (body, &size) : NULL;
  unsigned status = body ? soup_message_get_status (call->message) : 0;
  if (status >= 500)
    status = 0; /* with a server error a write may or may not have taken effect, as without a response */
  if (!closing)
    hf_loop_raise_event (call->platform->loop, make_event (call, HF_EVENT_PLATFORM_RESULT, status,
                                                           (struct hf_str){ .data = text, .len = size }));
  g_clear_error (&error);
  if (body)
    g_bytes_unref (body);
  free_call (call);
}

static void read_watch_line (struct call *call);

/* Reports the end of a watch by its HTTP status: 200 if the stream ended, 599 if the connection failed. A cancelled
 * watch is not reported. */
static void
finish_watch (struct call *call, bool cancelled, unsigned status)
{
  if (!cancelled)
    hf_loop_raise_event (call->platform->loop,
                         make_event (call, HF_EVENT_WATCH_LINE, status ? status : 599, (struct hf_str){ 0 }));
  free_call (call);
}

static void
on_watch_line (GObject *source, GAsyncResult *result, gpointer data)
{
  struct call *call = data;
  GError *error = NULL;
  gsize size = 0;
  char *line = g_data_input_stream_read_line_finish (G_DATA_INPUT_STREAM (source), result, &size, &error);
  bool cancelled
      = g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CANCELLED) || g_cancellable_is_cancelled (call->cancellable);
  bool failed = error != NULL;
  g_clear_error (&error);
  if (!line)
    {
      finish_watch (call, cancelled, failed ? 0 : 200);
      return;
    }
  if (size > 0 && !cancelled)
    hf_loop_raise_event (call->platform->loop,
                         make_event (call, HF_EVENT_WATCH_LINE, 0, (struct hf_str){ .data = line, .len = size }));
  g_free (line);
  read_watch_line (call);
}

static void
read_watch_line (struct call *call)
{
  g_data_input_stream_read_line_async (call->lines, G_PRIORITY_DEFAULT, call->cancellable, on_watch_line, call);
}

static void
on_watch_response (GObject *source, GAsyncResult *result, gpointer data)
{
  struct call *call = data;
  GError *error = NULL;
  GInputStream *stream = soup_session_send_finish (SOUP_SESSION (source), result, &error);
  bool cancelled
      = g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CANCELLED) || g_cancellable_is_cancelled (call->cancellable);
  g_clear_error (&error);
  unsigned status = stream ? soup_message_get_status (call->message) : 0;
  if (!stream || cancelled || status != 200)
    {
      g_clear_object (&stream);
      finish_watch (call, cancelled, status);
      return;
    }
  call->lines = g_data_input_stream_new (stream);
  g_object_unref (stream);
  read_watch_line (call);
}

static void
start_watch (struct hf_platform *platform, const struct hf_effect *effect)
{
  static const char *const paths[WATCH_COUNT] = { [HF_PURPOSE_CONFIG] = API_PATH "/objects",
                                                  [HF_PURPOSE_VMS] = API_PATH "/vms",
                                                  [HF_PURPOSE_EVACUATIONS] = API_PATH "/evacuations" };
  bool is_config = effect->purpose == HF_PURPOSE_CONFIG;
  char query[160];
  g_snprintf (query, sizeof query, "watch=true&allowWatchBookmarks=true&timeoutSeconds=%d%s", HF_WATCH_DURATION_SEC,
              is_config ? "&fieldSelector=metadata.name%3Dconfig" : "");
  SoupMessage *message = hf_soup_message_new ("GET", platform->address, paths[effect->purpose], query);
  /* Uses a new connection, as the kept one may be dead if the previous watch on it fell silent. */
  soup_message_add_flags (message, SOUP_MESSAGE_NEW_CONNECTION);
  struct call *call = new_call (platform, effect, message);
  g_cancellable_cancel (platform->watch_cancellables[effect->purpose]);
  g_clear_object (&platform->watch_cancellables[effect->purpose]);
  platform->watch_cancellables[effect->purpose] = g_cancellable_new ();
  call->cancellable = g_object_ref (platform->watch_cancellables[effect->purpose]);
  soup_session_send_async (platform->watch_session, message, G_PRIORITY_DEFAULT, call->cancellable, on_watch_response,
                           call);
}

static void
start_object_call (struct hf_platform *platform, const struct hf_effect *effect)
{
  bool create = effect->op == HF_PLATFORM_PUT && effect->version == 0;
  char *path = create ? g_strdup (API_PATH "/objects")
                      : g_strdup_printf (API_PATH "/objects/" HF_STR_FMT, HF_STR_ARG (effect->name));
  bool write = effect->op == HF_PLATFORM_PUT;
  const char *method = !write ? "GET" : create ? "POST" : "PUT";
  SoupMessage *message = hf_soup_message_new (method, platform->address, path, NULL);
  g_free (path);
  if (effect->op == HF_PLATFORM_HEAD)
    soup_message_headers_replace (soup_message_get_request_headers (message), "Accept", ACCEPT_METADATA_ONLY);
  if (write)
    {
      /* Uses a new connection, as libsoup resends a request if a reused connection closes. */
      soup_message_add_flags (message, SOUP_MESSAGE_NEW_CONNECTION);
      GBytes *body = g_bytes_new (effect->data.data, effect->data.len);
      soup_message_set_request_body_from_bytes (message, "application/json", body);
      g_bytes_unref (body);
    }
  soup_session_send_and_read_async (platform->session, message, G_PRIORITY_DEFAULT, platform->calls_cancellable,
                                    on_call_done, new_call (platform, effect, message));
}

/* --- public functions --- */

struct hf_platform *
hf_platform_open (struct hf_loop *loop, struct hf_str address)
{
  struct hf_platform *platform = g_new0 (struct hf_platform, 1);
  platform->loop = loop;
  platform->address = hf_str_dup (address);
  platform->session = hf_soup_session_new (16, HF_PLATFORM_TIMEOUT_SEC);
  platform->watch_session = hf_soup_session_new (16, 0);
  platform->calls_cancellable = g_cancellable_new ();
  return platform;
}

void
hf_platform_close (struct hf_platform *platform)
{
  if (!platform)
    return;
  g_cancellable_cancel (platform->calls_cancellable);
  g_object_unref (platform->calls_cancellable);
  for (int i = 0; i < WATCH_COUNT; i++)
    {
      g_cancellable_cancel (platform->watch_cancellables[i]);
      g_clear_object (&platform->watch_cancellables[i]);
    }
  g_object_unref (platform->session);
  g_object_unref (platform->watch_session);
  hf_str_free (&platform->address);
  g_free (platform);
}

void
hf_platform_start_call (struct hf_platform *platform, const struct hf_effect *effect)
{
  if (effect->op == HF_PLATFORM_WATCH)
    start_watch (platform, effect);
  else
    start_object_call (platform, effect);
}
