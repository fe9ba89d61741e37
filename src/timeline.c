#include "timeline.h"
#include "clock.h"

#define DETAIL_SIZE 64

typedef struct
{
  guint64 stamp;
  const char *verb;
  JobKey job;
  int index;
  gboolean has_job;
  char detail[DETAIL_SIZE];
} Event;

static char *process_name;
static Event *ring;
static guint ring_size;
static guint64 ring_next;

void
timeline_init (const char *process, guint capacity)
{
  g_free (process_name);
  g_free (ring);
  process_name = g_strdup (process);
  ring = g_new0 (Event, capacity);
  ring_size = capacity;
  ring_next = 0;
}

void
timeline_add (const char *verb, const JobKey *job, int index, const char *detail)
{
  Event *event;

  if (ring_size == 0)
    return;

  event = &ring[ring_next++ % ring_size];
  event->stamp = hlc_now ();
  event->verb = verb;
  event->has_job = job != NULL;
  if (job != NULL)
    event->job = *job;
  event->index = index;
  g_strlcpy (event->detail, detail != NULL ? detail : "", DETAIL_SIZE);
}

static gboolean
event_matches (const Event *event, const JobKey *job, guint64 since_ms)
{
  if (hlc_wall_ms (event->stamp) < since_ms)
    return FALSE;
  return job == NULL || (event->has_job && job_key_equal (&event->job, job));
}

static void
event_append (GString *page, const Event *event)
{
  char id[JOB_TEXT_SIZE] = "";
  char *detail = g_strescape (event->detail, NULL);

  if (event->has_job)
    job_key_format (&event->job, id);
  g_string_append_printf (
      page,
      "{\"stamp\":\"%" G_GUINT64_FORMAT "\",\"process\":\"%s\","
      "\"verb\":\"%s\",\"job\":\"%s\",\"task\":%d,\"detail\":\"%s\"}\n",
      event->stamp, process_name, event->verb, id, event->index, detail);
  g_free (detail);
}

char *
timeline_page (const JobKey *job, guint64 since_ms)
{
  GString *page = g_string_new (NULL);
  guint64 first = ring_next > ring_size ? ring_next - ring_size : 0;

  for (guint64 i = first; i < ring_next; i++)
    if (event_matches (&ring[i % ring_size], job, since_ms))
      event_append (page, &ring[i % ring_size]);
  return g_string_free (page, FALSE);
}
