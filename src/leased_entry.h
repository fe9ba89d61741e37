#pragma once
/* An entry of leased jobs: runs its own callers' jobs on all backend servers, whose
 * agents divide the room among the entries. Entries tell each other configurations and
 * addresses, nothing else: the loss of one costs only its own callers. */
#include "catalog.h"
#include "closed_zones.h"
#include "dispatcher.h"
#include "settings.h"

#include <event2/event.h>

typedef struct LeasedEntry LeasedEntry;

/* What an entry needs of the platform it runs on. */
typedef struct
{
  /* Read a configuration that another entry passed on. Return: NULL with @error. */
  Catalog *(*read_catalog) (const char *source, GError **error);
  /* Whether a configuration is coming in from the platform. */
  gboolean (*config_arriving) (gpointer ctx);
  /* Find other entries' addresses; leased_entry_learn () takes them. */
  void (*look_up_entries) (gpointer ctx);
  /* The balancer has had its time to notice: take no new requests, close what is idle. */
  void (*take_no_more) (gpointer ctx);
} LeasedEntryOps;

LeasedEntry *leased_entry_new (struct event_base *base,
                               const Settings *settings,
                               const LeasedEntryOps *ops,
                               gpointer ctx);
void leased_entry_free (LeasedEntry *entry);
gboolean leased_entry_start (LeasedEntry *entry, GError **error);

/** leased_entry_listen_address - where it listens for frames, once it has started. */
const char *leased_entry_listen_address (const LeasedEntry *entry);

/** leased_entry_frame_address - where others reach it, once it has started. */
const char *leased_entry_frame_address (const LeasedEntry *entry);

/** leased_entry_reload - other seeds. */
void leased_entry_reload (LeasedEntry *entry, const Settings *settings);

/** leased_entry_drain - leave: what is open is finished. */
void leased_entry_drain (LeasedEntry *entry);

/** leased_entry_offer - a configuration; an older one than known is ignored. */
void leased_entry_offer (LeasedEntry *entry, Catalog *catalog);

/** leased_entry_knows - whether that text is the configuration in force. */
gboolean leased_entry_knows (const LeasedEntry *entry, const char *source);

/** leased_entry_config_is_coming - whether the platform or an entry is sending one. */
gboolean leased_entry_config_is_coming (const LeasedEntry *entry);

/** leased_entry_catalog - the configuration in force, or NULL. */
Catalog *leased_entry_catalog (const LeasedEntry *entry);

/** leased_entry_zones - what the platform's table says of availability zones, as for
 * closed_zones_apply (). */
void leased_entry_zones (LeasedEntry *entry,
                         const ZoneChange *changes,
                         gsize n_changes,
                         gboolean whole,
                         guint64 version);
const ClosedZones *leased_entry_closures (const LeasedEntry *entry);

void leased_entry_learn (LeasedEntry *entry, const char *address);
Dispatcher *leased_entry_dispatcher (LeasedEntry *entry);
gboolean leased_entry_draining (const LeasedEntry *entry);

/** leased_entry_ready - whether the balancer should send requests. */
gboolean leased_entry_ready (const LeasedEntry *entry);
