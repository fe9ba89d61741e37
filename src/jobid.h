#pragma once
/* Ids of jobs and tasks, and numbers of attempts. */
#include <glib.h>

typedef struct
{
  guint64 holder; /* incarnation of the entry that took the job */
  guint64 number;
} JobKey;

typedef struct
{
  JobKey job;
  guint32 index;
} TaskKey;

/* Attempts number the starts sent for one task, in ascending order: the holder's grant in
 * the high half, the home's placement under that grant in the low half. */
#define ATTEMPT_MAKE(grant, placement) (((guint32)(grant) << 16) | (guint16)(placement))
#define ATTEMPT_GRANT(attempt) ((attempt) >> 16)
#define ATTEMPT_LAST(grant) ATTEMPT_MAKE (grant, 0xffff)

/* For "hhhhhhhhhhhhhhhh-n" and its terminator. */
#define JOB_TEXT_SIZE 40

guint job_key_hash (gconstpointer key);
gboolean job_key_equal (gconstpointer a, gconstpointer b);
guint task_key_hash (gconstpointer key);
gboolean task_key_equal (gconstpointer a, gconstpointer b);

/** job_key_format - write the id in the callers' form. Return: @text. */
const char *job_key_format (const JobKey *key, char text[JOB_TEXT_SIZE]);

/** job_key_parse - read an id in the callers' form. Return: FALSE if it is invalid. */
gboolean job_key_parse (const char *text, JobKey *key);

/** incarnation_new - a random number, unique to this start of the process; never 0. */
guint64 incarnation_new (void);
