#pragma once
/* Shared by the parts of the membership: members.c keeps links, members_rank.c ranks the
 * entries for a group, members_rows.c syncs with the platform's table. */
#include "members.h"

#define ROW_REFRESH_MS 10000

struct Members
{
  struct event_base *base;
  const LinkConfig *links;
  Table *table;
  const Settings *settings;
  const MembersOps *ops;
  gpointer ctx;
  struct event *tick;
  struct event *poll; /* reads the table */
  gboolean polling;   /* a read is in flight */
  gboolean leaving;
  guint64 declarations; /* number of times a member was declared dead */
  gint64 row_written_ms;
  TAILQ_HEAD (, Member) list;
};

/* members.c */
const Gw__Hello *members_own_hello (const Members *members);
Member *members_by_name (const Members *members, const char *name);
gboolean members_is_self (const Members *members, const char *name);
void members_learn_entry (Members *members,
                          const char *name,
                          guint64 incarnation,
                          const char *zone,
                          const char *frame_address,
                          const char *http_address);

/* members_rows.c */
void members_write_own_row (Members *members, gboolean final);
void members_on_poll (evutil_socket_t fd, short what, void *ctx);
