#pragma once
/* The callers' requests for leased jobs at the entry that took them: handed to a home,
 * and to another one once the first is lost and its runs are surely over. No I/O of its
 * own. */
#include "dispatcher.h"

typedef struct Requests Requests;
typedef struct Request Request;

/** RequestDone - the final word; the request is gone after it. */
typedef void (*RequestDone) (const LeasedResult *result, gpointer ctx);

typedef struct
{
  /* Return: incarnation of the home to use now, 0 if there is none. */
  guint64 (*home) (gpointer ctx);
  /* Whether the link to that home stands. */
  gboolean (*linked) (guint64 home, gpointer ctx);
  /* Whether everything that home ever started for this entry is surely over. */
  gboolean (*is_over) (guint64 home, gpointer ctx);
  void (*submit) (guint64 home, const LeasedSpec *spec, gpointer ctx);
  void (*cancel) (guint64 home, guint64 ticket, gpointer ctx);
} RequestsOps;

Requests *requests_new (guint64 entry, const RequestsOps *ops, gpointer ctx);
void requests_free (Requests *requests);

/** requests_submit - @spec's entry and ticket are filled in here. */
Request *requests_submit (Requests *requests,
                          const LeasedSpec *spec,
                          RequestDone done,
                          gpointer ctx,
                          gint64 now_ms);

/** requests_cancel - the caller has gone; no answer follows. */
void requests_cancel (Request *request, gint64 now_ms);

/** requests_result - a home tells how a job ended. */
void requests_result (Requests *requests, guint64 ticket, const LeasedResult *result);

/** requests_home_up - a link to that home stands (again): what was sent may be lost. */
void requests_home_up (Requests *requests, guint64 home, gint64 now_ms);

/** requests_tick - hand over what waits for a home, end what is out of time. */
void requests_tick (Requests *requests, gint64 now_ms);

guint requests_open (const Requests *requests);
