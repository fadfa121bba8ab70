/* Operators' client of the platform and of entries. */
#include "hf-admin-client.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "hf-soup.h"
#include "hf-yaml.h"
#include "hf-objects.h"

/* --- constants --- */

#define API_PATH                  "/apis/hickoryfield/v1"
#define CALL_TIMEOUT_SEC          5
#define VERIFY_ATTEMPTS           5
#define VERIFY_DELAY_US           300000
#define GENERATION_COMMENT_PREFIX "# generation: "

/* --- internal functions --- */

/* Returns the body of the response, or NULL and *error if no complete response arrived. */
static char *
send_request (const char *method,
              const char *address,
              const char *path,
              const char *query,
              const char *body,
              unsigned *status,
              struct hf_error *error)
{
  SoupSession *session = hf_soup_session_new (1, CALL_TIMEOUT_SEC);
  SoupMessage *message
      = hf_address_is_valid (hf_str (address)) ? hf_soup_message_new (method, hf_str (address), path, query) : NULL;
  GError *http_error = NULL;
  char *text = NULL;
  if (!message)
    {
      hf_error_set (error, HF_ERROR_INVALID, "expected an address of the form IP:PORT, found \"%s\"", address);
      g_object_unref (session);
      return NULL;
    }
  if (body)
    {
      GBytes *bytes = g_bytes_new (body, strlen (body));
      soup_message_set_request_body_from_bytes (message, "application/json", bytes);
      g_bytes_unref (bytes);
    }
  GBytes *response = soup_session_send_and_read (session, message, NULL, &http_error);
  if (response)
    {
      gsize size;
      const char *data = g_bytes_get_data (response, &size);
      text = g_strndup (data, size);
      *status = soup_message_get_status (message);
      g_bytes_unref (response);
    }
  else
    hf_error_set (error, HF_ERROR_UNAVAILABLE, "%s: %s", address, http_error->message);
  g_clear_error (&http_error);
  g_object_unref (message);
  g_object_unref (session);
  return text;
}

static uint64_t
next_generation (uint64_t stored)
{
  /* Milliseconds since 1970 exceed every generation accepted before, even those lost in a failover of the platform. */
  uint64_t now = (uint64_t) (g_get_real_time () / 1000);
  return MAX (stored + 1, now);
}

/* A write without a response may or may not have taken effect: reads the document back to find out. */
static bool
verify_write (const char *address, const struct hf_manifest *manifest, struct hf_error *error)
{
  for (int i = 0; i < VERIFY_ATTEMPTS; i++)
    {
      struct hf_stored_document stored;
      if (hf_admin_client_read_document (address, &stored, error))
        {
          bool is_own_write
              = stored.generation == manifest->generation && hf_str_equal (stored.text, manifest->document);
          bool is_newer_write = !is_own_write && stored.generation > manifest->generation;
          hf_admin_client_free_document (&stored);
          if (is_own_write)
            return true;
          if (is_newer_write)
            return hf_error_set (
                error, HF_ERROR_CONFLICT,
                "another operator has written a newer generation; read the current document before trying again");
          return hf_error_set (error, HF_ERROR_UNAVAILABLE,
                               "the platform did not store the write; nothing has changed");
        }
      g_usleep (VERIFY_DELAY_US);
    }
  return hf_error_set (error, HF_ERROR_UNAVAILABLE,
                       "the platform does not respond; the change may or may not have been accepted");
}

static bool
vm_is_live_entry (JsonObject *data)
{
  const char *role = json_object_get_string_member_with_default (data, "role", "");
  const char *phase = json_object_get_string_member_with_default (data, "phase", "Live");
  return strcmp (role, "entry") == 0 && strcmp (phase, "Live") == 0;
}

/* --- public functions --- */

bool
hf_admin_client_read_document (const char *address, struct hf_stored_document *stored, struct hf_error *error)
{
  unsigned status = 0;
  struct hf_object object;
  struct hf_manifest manifest;
  *stored = (struct hf_stored_document){ 0 };
  char *text = send_request ("GET", address, API_PATH "/objects/config", NULL, NULL, &status, error);
  if (!text)
    return false;
  bool ok = status == 404;
  if (status == 200 && hf_object_load (hf_str (text), &object, error))
    {
      ok = hf_manifest_read (&object, &manifest, error);
      if (ok)
        *stored = (struct hf_stored_document){ .version = object.version,
                                               .generation = manifest.generation,
                                               .text = hf_str_dup (manifest.document) };
      hf_object_unload (&object);
    }
  else if (!ok)
    hf_error_set (error, HF_ERROR_UNAVAILABLE, "the platform responded with status %u", status);
  g_free (text);
  return ok;
}

void
hf_admin_client_free_document (struct hf_stored_document *stored)
{
  hf_str_free (&stored->text);
}

bool
hf_admin_client_write_document (const char *address,
                                const struct hf_stored_document *base,
                                struct hf_str text,
                                uint64_t *generation,
                                struct hf_error *error)
{
  struct hf_manifest manifest
      = { .generation = next_generation (base->generation), .digest = hf_hash (text, 0), .document = text };
  char *json = hf_manifest_to_json (base->version, &manifest);
  unsigned status = 0;
  const char *path = base->version ? API_PATH "/objects/config" : API_PATH "/objects";
  char *response = send_request (base->version ? "PUT" : "POST", address, path, NULL, json, &status, error);
  g_free (json);
  *generation = manifest.generation;
  bool is_outcome_unknown = !response || status >= 500;
  g_free (response);
  if (is_outcome_unknown)
    return verify_write (address, &manifest, error);
  if (status == 409)
    return hf_error_set (error, HF_ERROR_CONFLICT,
                         "another operator changed the document first; nothing has been changed");
  if (status != 200 && status != 201)
    return hf_error_set (error, HF_ERROR_UNAVAILABLE, "the platform responded with status %u", status);
  return true;
}

bool
hf_admin_client_set_evacuation (const char *address, const char *failure_domain, bool evacuated, struct hf_error *error)
{
  unsigned status = 0;
  char *name = g_uri_escape_string (failure_domain, NULL, FALSE);
  char *path = g_strdup_printf (API_PATH "/evacuations/%s", name);
  char *json = hf_object_to_json (failure_domain, 0, json_node_init_object (json_node_alloc (), json_object_new ()));
  char *response = evacuated ? send_request ("POST", address, API_PATH "/evacuations", NULL, json, &status, error)
                             : send_request ("DELETE", address, path, NULL, NULL, &status, error);
  bool has_response = response != NULL;
  bool was_done = status == (evacuated ? 409 : 404);
  g_free (response);
  g_free (json);
  g_free (path);
  g_free (name);
  if (has_response && !was_done && status != 200 && status != 201)
    return hf_error_set (error, HF_ERROR_UNAVAILABLE, "the platform responded with status %u", status);
  return has_response;
}

bool
hf_admin_client_list_addresses (const char *address, GPtrArray *addresses, struct hf_error *error)
{
  unsigned status = 0;
  char *text = send_request ("GET", address, API_PATH "/vms", NULL, NULL, &status, error);
  if (!text)
    return false;
  JsonParser *parser = json_parser_new ();
  bool ok = status == 200 && json_parser_load_from_data (parser, text, -1, NULL)
            && JSON_NODE_HOLDS_OBJECT (json_parser_get_root (parser));
  JsonArray *items
      = ok ? json_object_get_array_member (json_node_get_object (json_parser_get_root (parser)), "items") : NULL;
  for (guint i = 0; items && i < json_array_get_length (items); i++)
    {
      JsonObject *data = json_object_get_object_member (json_array_get_object_element (items, i), "data");
      const char *admin_address = data ? json_object_get_string_member_with_default (data, "admin", "") : "";
      if (data && vm_is_live_entry (data) && *admin_address)
        g_ptr_array_add (addresses, g_strdup (admin_address));
    }
  g_object_unref (parser);
  g_free (text);
  if (!items)
    return hf_error_set (error, HF_ERROR_UNAVAILABLE,
                         "cannot read the platform's VM list, so the admin addresses of the entries are unknown");
  return true;
}

char *
hf_admin_client_get_text (const char *address, const char *path, unsigned *status, struct hf_error *error)
{
  return send_request ("GET", address, path, NULL, NULL, status, error);
}

uint64_t
hf_admin_client_base_generation (struct hf_str text)
{
  if (!hf_str_has_prefix (text, hf_str (GENERATION_COMMENT_PREFIX)))
    return 0;
  char *number = g_strndup (text.data + strlen (GENERATION_COMMENT_PREFIX),
                            MIN (text.len - strlen (GENERATION_COMMENT_PREFIX), 20));
  uint64_t base = g_ascii_strtoull (number, NULL, 10);
  g_free (number);
  return base;
}
