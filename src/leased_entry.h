#pragma once
/* Entry of the leased path: runs the jobs of its own callers on all backend servers,
 * whose agents divide the free capacity among the entries. Entries exchange only the
 * configuration, addresses and closed zones, so that the loss of one affects only its own
 * callers. */
#include "catalog.h"
#include "closed_zones.h"
#include "dispatcher.h"
#include "settings.h"

#include <event2/event.h>

typedef struct LeasedEntry LeasedEntry;

/* Callbacks into the platform. */
typedef struct
{
  /* Parse a configuration received from another entry. Return: NULL with @error set. */
  Catalog *(*read_catalog) (const char *source, GError **error);
  /* Whether a configuration is being received from the platform. */
  gboolean (*config_arriving) (gpointer ctx);
  /* Follow the operator's rows in the platform's table, if not yet; until
   * leased_entry_follows_table () says no. */
  void (*follow_table) (gpointer ctx);
  /* Look up the addresses of other entries; results go to leased_entry_learn (). */
  void (*look_up_entries) (gpointer ctx);
  /* The load balancer has had time to notice that the entry drains: accept no more
   * connections, close unused ones. Requests that are received are still served. */
  void (*stop_accepting) (gpointer ctx);
  /* Whether all callers have their answers and none has begun to send a request. */
  gboolean (*callers_are_quiet) (gpointer ctx);
  /* A configuration is in force from now on. */
  void (*config_adopted) (const Catalog *catalog, gpointer ctx);
  /* The entry exits: refuse what is still received. */
  void (*refuse_callers) (gpointer ctx);
} LeasedEntryOps;

LeasedEntry *leased_entry_new (struct event_base *base,
                               const Settings *settings,
                               const LeasedEntryOps *ops,
                               gpointer ctx);
void leased_entry_free (LeasedEntry *entry);
gboolean leased_entry_start (LeasedEntry *entry, GError **error);

/** leased_entry_listen_address - where the started entry listens for frames. */
const char *leased_entry_listen_address (const LeasedEntry *entry);

/** leased_entry_frame_address - the address that the started entry advertises. */
const char *leased_entry_frame_address (const LeasedEntry *entry);

/** leased_entry_reload - replace the seed addresses. */
void leased_entry_reload (LeasedEntry *entry, const Settings *settings);

/** leased_entry_drain - leave: connections are accepted for the grace time; then what was
 * received is served until nothing more comes, at most until shortly before the limit. */
void leased_entry_drain (LeasedEntry *entry);

/** leased_entry_set_catalog - adopt a configuration; one that is not newer is ignored. */
void leased_entry_set_catalog (LeasedEntry *entry, Catalog *catalog);

/** leased_entry_has_config - whether @source is the text of the current configuration. */
gboolean leased_entry_has_config (const LeasedEntry *entry, const char *source);

/** leased_entry_config_pending - whether the platform is sending a configuration or an
 * entry was asked for one. */
gboolean leased_entry_config_pending (const LeasedEntry *entry);

/**
 * leased_entry_config_confirmed - whether the table has been read lately, by this entry
 * or one that it hears from: what the configuration lacks then does not exist.
 */
gboolean leased_entry_config_confirmed (const LeasedEntry *entry);

/** leased_entry_catalog - the configuration in force, or NULL. */
Catalog *leased_entry_catalog (const LeasedEntry *entry);

/** leased_entry_update_zones - apply zone states read from the platform's table;
 * arguments as for closed_zones_apply (). */
void leased_entry_update_zones (LeasedEntry *entry,
                                const ZoneChange *changes,
                                gsize n_changes,
                                gboolean whole,
                                guint64 version);
const ClosedZones *leased_entry_closed_zones (const LeasedEntry *entry);

/** leased_entry_follows_table - whether this entry is to follow the platform's table. */
gboolean leased_entry_follows_table (const LeasedEntry *entry);

/** leased_entry_learn - add an address at which an entry may be reached. */
void leased_entry_learn (LeasedEntry *entry, const char *address);
Dispatcher *leased_entry_dispatcher (LeasedEntry *entry);
gboolean leased_entry_draining (const LeasedEntry *entry);

/** leased_entry_ready - whether the load balancer should send requests. */
gboolean leased_entry_ready (const LeasedEntry *entry);
