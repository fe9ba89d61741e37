#pragma once
/* Client of the platform's table service: versioned rows, read singly or by prefix,
 * written in batches of conditional writes. */
#include <event2/event.h>
#include <glib.h>

typedef struct Table Table;

typedef enum
{
  TABLE_OK,
  TABLE_MISSING,
  TABLE_NOT_SENT, /* no byte of the request was sent: nothing was written */
  TABLE_UNKNOWN,  /* no valid response: a write may have taken effect */
} TableStatus;

typedef struct
{
  char *key;
  gint64 version;
  char *value;
} TableRow;

/* A conditional write and its result. */
typedef struct
{
  char *key;
  char *value;       /* NULL deletes */
  gint64 if_version; /* 0: the row must not exist; TABLE_ANY: no condition */
  guint ttl_s;       /* the platform drops the row after this long; 0: never */
  gboolean done;     /* out: written */
  gint64 version;    /* out: the row's current version, 0 if it does not exist */
  char *found;       /* out: the existing value if the condition failed, or NULL */
} TableWrite;

#define TABLE_ANY (-1)

typedef void (*TableRowDone) (TableStatus status, const TableRow *row, gpointer ctx);
typedef void (*TableListDone) (TableStatus status, GPtrArray *rows, gpointer ctx);
typedef void (*TableWriteDone) (TableStatus status, GPtrArray *writes, gpointer ctx);

/**
 * table_new - client of the service at @address, "ip:port"; NULL: every call ends with
 * TABLE_NOT_SENT.
 * @timeout_ms: a call without response is repeated after this time; a read fails after
 * four times this time, a write after twice.
 */
Table *table_new (struct event_base *base, const char *address, guint timeout_ms);
void table_free (Table *table);

void table_read (Table *table, const char *key, TableRowDone done, gpointer ctx);
void table_list (Table *table, const char *prefix, TableListDone done, gpointer ctx);

/** table_write - one request for all of @writes (of TableWrite), which it takes over. */
void table_write (Table *table, GPtrArray *writes, TableWriteDone done, gpointer ctx);

/** table_writes_new - an empty array for table_write (). */
GPtrArray *table_writes_new (void);
void table_writes_add (GPtrArray *writes,
                       const char *key,
                       const char *value,
                       gint64 if_version,
                       guint ttl_s);
