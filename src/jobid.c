#include "jobid.h"

#include <stdio.h>
#include <string.h>
#include <sys/random.h>
#include <xxhash.h>

#define HOLDER_DIGITS 16

guint
job_key_hash (gconstpointer key)
{
  return (guint)XXH3_64bits (key, sizeof (JobKey));
}

gboolean
job_key_equal (gconstpointer a, gconstpointer b)
{
  const JobKey *left = a;
  const JobKey *right = b;

  return left->holder == right->holder && left->number == right->number;
}

guint
task_key_hash (gconstpointer key)
{
  const TaskKey *task = key;

  return job_key_hash (&task->job) * 31 + task->index;
}

gboolean
task_key_equal (gconstpointer a, gconstpointer b)
{
  const TaskKey *left = a;
  const TaskKey *right = b;

  return left->index == right->index && job_key_equal (&left->job, &right->job);
}

const char *
job_key_format (const JobKey *key, char text[JOB_TEXT_SIZE])
{
  g_snprintf (text, JOB_TEXT_SIZE, "%016" G_GINT64_MODIFIER "x-%" G_GUINT64_FORMAT,
              key->holder, key->number);
  return text;
}

gboolean
job_key_parse (const char *text, JobKey *key)
{
  char *copy = NULL;
  gboolean ok;

  if (strlen (text) >= JOB_TEXT_SIZE || strlen (text) <= HOLDER_DIGITS
      || text[HOLDER_DIGITS] != '-')
    return FALSE;

  copy = g_strndup (text, HOLDER_DIGITS);
  ok = g_ascii_string_to_unsigned (copy, 16, 0, G_MAXUINT64, &key->holder, NULL)
       && g_ascii_string_to_unsigned (text + HOLDER_DIGITS + 1, 10, 0, G_MAXUINT64,
                                      &key->number, NULL);
  g_free (copy);
  return ok;
}

guint64
incarnation_new (void)
{
  guint64 value = 0;

  while (value == 0)
    if (getrandom (&value, sizeof value, 0) != sizeof value)
      value = 0;
  return value;
}
