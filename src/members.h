#pragma once
/* Membership: the entries this one knows, found through the platform's table, through
 * each other and through settings; their links; and which of them is home for a group. */
#include "link.h"
#include "settings.h"
#include "table.h"

#include <glib.h>
#include <sys/queue.h>

typedef struct Members Members;

typedef enum
{
  MEMBER_KNOWN, /* never linked */
  MEMBER_UP,
  MEMBER_SUSPECT, /* link lost, not yet given up */
  MEMBER_DOWN,
} MemberState;

typedef struct Member
{
  TAILQ_ENTRY (Member) link_entry;
  Members *members;
  char *name;
  guint64 incarnation;
  char *zone;
  char *frame_address;
  char *http_address;
  MemberState state;
  gboolean proved_dead; /* its machine refused the connection, or it said it leaves */
  gboolean draining;
  Link *link;
  Link *dialing;
  gint64 linked_ms; /* since when the link stands */
  gint64 heard_ms;  /* last frame on any link */
  gint64 lost_ms;   /* since when suspect or down */
  gint64 dialed_ms;
  guint64 given_up;    /* when it was last given up here, by Members.given_up; 0: never */
  guint64 given_up_by; /* the same at the member, as last reported */
  guint64 config_version; /* as last reported */
  guint64 pushed_version; /* of the configuration last sent over its link */
  gint64 row_version;     /* of its row in the table */
  gint64 row_changed_ms;
} Member;

typedef struct
{
  /* A link to the member stands, perhaps a new one of the same incarnation: whatever was
   * sent on an earlier one may be lost. */
  void (*up) (Member *member, gpointer ctx);
  /* The member's incarnation is given up. */
  void (*lost) (Member *member, guint64 incarnation, gpointer ctx);
  /* The member had given this process up, and has gone on without it. */
  void (*given_up) (Member *member, gpointer ctx);
  /* The ranking may have changed. */
  void (*changed) (gpointer ctx);
} MembersOps;

Members *members_new (struct event_base *base,
                      const LinkConfig *links,
                      Table *table,
                      const Settings *settings,
                      const MembersOps *ops,
                      gpointer ctx);
void members_free (Members *members);

/** members_start - write the own row, begin to look for others. */
void members_start (Members *members);

/** members_leave - drain: others stop choosing this entry; @gone: its row is dropped. */
void members_leave (Members *members, gboolean gone);
gboolean members_leaving (const Members *members);

/** members_link_up - a link whose peer is an entry. */
void members_link_up (Members *members, Link *link);
/** members_link_down - Return: whether the link was one of an entry. */
gboolean members_link_down (Members *members, Link *link, LinkEnd end);
/** members_find_link - the member behind a link, or NULL. */
Member *members_find_link (const Members *members, const Link *link);

/** members_frame_received - note what rides on a member's frame. */
void members_frame_received (Members *members, Member *member, const Gw__Frame *frame);

/** members_home - the home of @group; NULL: this entry itself. */
Member *members_home (Members *members, const char *group);

/** members_successor - the home should the first one go; *self if it is this entry. */
Member *members_successor (Members *members, const char *group, gboolean *self);

Member *members_by_incarnation (const Members *members, guint64 incarnation);
Member *members_first (const Members *members);
Member *members_next (const Member *member);

/**
 * members_complete - whether each known entry is linked and heard, or proved dead, and
 * none has reported a configuration later than @version.
 */
gboolean members_complete (const Members *members, guint64 version);

/** members_have_config - whether every linked entry reported @version or later. */
gboolean members_have_config (const Members *members, guint64 version);

/** members_send_entries - tell a link all entries this one believes in. */
void members_send_entries (Members *members, Link *link);

/** members_touch_all - send every member a frame now. */
void members_touch_all (Members *members);
