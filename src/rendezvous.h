#pragma once
/* Rendezvous hashing: processes that know the same entries rank them alike for a group,
 * and the loss of an entry moves only its own groups. */
#include <glib.h>

/** rendezvous_score - weight of entry @name for @group; the highest is its home. */
guint64 rendezvous_score (const char *group, const char *name);

/** rendezvous_pair_score - weight of the pair of @a and @b, whichever is named first. */
guint64 rendezvous_pair_score (const char *a, const char *b);

/** rendezvous_group - a backend server's group, "service/N" with N below @groups; free
 * with g_free. */
char *rendezvous_group (const char *service, const char *backend, guint groups);

/** rendezvous_group_exists - whether N of "service/N" is below @groups. */
gboolean rendezvous_group_exists (const char *group, guint groups);
