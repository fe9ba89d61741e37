#pragma once
/* Rendezvous hashing: every process that knows the same entries ranks them alike for a
 * group, and the loss of one moves only its own groups. */
#include <glib.h>

/** rendezvous_score - the rank weight of @name for @group; the highest is its home. */
guint64 rendezvous_score (const char *group, const char *name);

/** rendezvous_group - the group of a backend server among @groups of its service. */
char *rendezvous_group (const char *service, const char *backend, guint groups);

/** rendezvous_group_exists - whether "service/N" is one of @groups groups. */
gboolean rendezvous_group_exists (const char *group, guint groups);
