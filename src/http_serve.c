#include "http.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

void
http_reply (struct evhttp_request *request,
            int status,
            const char *type,
            const void *body,
            gsize size,
            guint retry_after_s)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  struct evbuffer *buffer = evbuffer_new ();
  char number[16];

  evhttp_add_header (headers, "Content-Type", type);
  if (retry_after_s > 0)
    {
      g_snprintf (number, sizeof number, "%u", retry_after_s);
      evhttp_add_header (headers, "Retry-After", number);
    }
  evbuffer_add (buffer, body, size);
  evhttp_send_reply (request, status, NULL, buffer);
  evbuffer_free (buffer);
}

char *
http_request_body (struct evhttp_request *request, gsize *size)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  char *body;

  *size = evbuffer_get_length (input);
  body = g_malloc (*size + 1);
  evbuffer_remove (input, body, *size);
  body[*size] = '\0';
  return body;
}

char *
http_query_value (struct evhttp_request *request, const char *name)
{
  const char *query = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
  struct evkeyvalq values;
  char *value = NULL;

  if (query == NULL || evhttp_parse_query_str (query, &values) < 0)
    return NULL;
  value = g_strdup (evhttp_find_header (&values, name));
  evhttp_clear_headers (&values);
  return value;
}
