#pragma once
/* Blocking HTTP client of the operator's shell, one call at a time. */
#include "findings.h"

#include <event2/http.h>
#include <json-glib/json-glib.h>

typedef struct Client Client;

typedef struct
{
  int status;
  guint retry_after_s;
  char *body;
} ClientAnswer;

Client *client_new (guint timeout_ms);
void client_free (Client *client);

/**
 * client_call - send a request and wait for the answer.
 * @error: GODWITSPAR_ERROR_UNAVAILABLE if no answer came.
 * Return: FALSE on error; else @answer is filled, free it with client_answer_clear ().
 */
gboolean client_call (Client *client,
                      const char *address,
                      enum evhttp_cmd_type method,
                      const char *path,
                      const char *body,
                      ClientAnswer *answer,
                      GError **error);
void client_answer_clear (ClientAnswer *answer);

/** client_rows - GET /v1/rows/@what. Return: NULL on error; json_array_unref () it. */
JsonArray *
client_rows (Client *client, const char *address, const char *what, GError **error);
