#pragma once
/* Membership of the entries: discovers them through the platform's table of entries,
 * other entries and settings, keeps links to them, and picks the home of each group. */
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
  MEMBER_SUSPECT, /* link lost, not yet declared dead */
  MEMBER_DOWN,    /* declared dead */
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
  gboolean proved_dead; /* connection refused, or link closed while leaving */
  gboolean draining;    /* it reports that it is leaving */
  Link *link;
  Link *dialing;
  Link *probing;      /* to the address under which others name another incarnation */
  gint64 linked_ms;   /* when the link came up; 0: never linked */
  gint64 received_ms; /* last frame received on any link */
  gint64 lost_ms;     /* when it became suspect or down */
  gint64 dialed_ms;
  guint64 declared_dead_seq;    /* number of our declaration of its death; 0: none */
  guint64 declared_us_dead_seq; /* the same of the member about us, as last reported */
  guint64 config_version;       /* as last reported */
  guint64 pushed_version;       /* of the configuration last sent over its link */
  gint64 row_version;           /* of its row in the table */
  gint64 row_changed_ms;
} Member;

typedef struct
{
  /* A link to the member is up, perhaps to the same incarnation as before: frames sent
   * on an earlier link may be lost. */
  void (*up) (Member *member, gpointer ctx);
  /* The member's incarnation is declared dead. */
  void (*lost) (Member *member, guint64 incarnation, gpointer ctx);
  /* The member had declared this process dead and acted on it. */
  void (*declared_us_dead) (Member *member, gpointer ctx);
  /* The rendezvous ranks may have changed, and with them the home of a group. */
  void (*changed) (gpointer ctx);
} MembersOps;

Members *members_new (struct event_base *base,
                      const LinkConfig *links,
                      Table *table,
                      const Settings *settings,
                      const MembersOps *ops,
                      gpointer ctx);
void members_free (Members *members);

/** members_start - write the own row and start discovery. */
void members_start (Members *members);

/** members_leave - drain: others stop choosing this entry. @final: delete its row. */
void members_leave (Members *members, gboolean final);
gboolean members_leaving (const Members *members);

/** members_link_up - a link to an entry is up. */
void members_link_up (Members *members, Link *link);
/** members_link_down - Return: whether the link was to an entry. */
gboolean members_link_down (Members *members, Link *link, LinkEnd end);
/** members_find_link - the member behind a link, or NULL. */
Member *members_find_link (const Members *members, const Link *link);

/** members_frame_received - process the membership fields of a member's frame. */
void members_frame_received (Members *members, Member *member, const Gw__Frame *frame);

/** members_home - the home of @group; NULL: this entry itself. */
Member *members_home (Members *members, const char *group);

/** members_successor - the next home if the home is lost. Return: NULL if there is none
 * or, with @self set, it is this entry. */
Member *members_successor (Members *members, const char *group, gboolean *self);

Member *members_by_incarnation (const Members *members, guint64 incarnation);
Member *members_first (const Members *members);
Member *members_next (const Member *member);

/**
 * members_complete - whether each known entry is up and has sent a frame within the
 * timeout, or is proved dead, and none has reported a configuration later than @version.
 */
gboolean members_complete (const Members *members, guint64 version);

/** members_have_config - whether every linked entry reported @version or later. */
gboolean members_have_config (const Members *members, guint64 version);

/** members_send_entries - send this entry, and all that are up or suspect, on @link. */
void members_send_entries (Members *members, Link *link);

/** members_touch_all - send a frame to every member now. */
void members_touch_all (Members *members);
