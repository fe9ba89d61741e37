/* What the client of the platform's row store reads of long tables. */
#include "harness.h"
#include "store.h"

#include <string.h>

#define ROWS 40
#define PAGE 32

typedef struct
{
  Harness *harness;
  Process *process;
  Store *store;
  GPtrArray *addresses;
  guint expected;
} Scene;

static void
on_entry (const char *address, gpointer ctx)
{
  Scene *scene = ctx;

  g_ptr_array_add (scene->addresses, g_strdup (address));
}

static gboolean
are_listed (gpointer ctx)
{
  Scene *scene = ctx;

  return scene->addresses->len >= scene->expected;
}

static void
put_row (Scene *scene, guint i)
{
  char *address = g_strdup_printf ("10.0.0.%u:1", i);
  char *value = g_base64_encode ((const guchar *)address, strlen (address));
  char *body = g_strdup_printf (
      "{\"expected\":[],\"puts\":[{\"table\":\"" STORE_ENTRIES
      "\",\"part\":\"\",\"key\":\"entry-%02u\",\"value\":\"%s\"}],\"remove\":[]}",
      i, value);

  exchange_free (harness_post (scene->harness, scene->process->http, "/rows-tx", body));
  g_free (body);
  g_free (value);
  g_free (address);
}

static void
list (Scene *scene, guint expected)
{
  g_ptr_array_set_size (scene->addresses, 0);
  scene->expected = expected;
  store_list_entries (scene->store);
  harness_wait (scene->harness, are_listed, scene, "the rows");
  harness_run_ms (scene->harness, 50);
  g_assert_cmpuint (scene->addresses->len, ==, expected);
}

/* Each process that started read the addresses of all entries from the table: bytes grew
 * with the square of the fleet. */
static void
test_pages (void)
{
  static const StoreOps ops = { .entry = on_entry };
  const char *argv[] = { STORE_EXE, NULL };
  Scene scene = { harness_new_bare () };

  scene.addresses = g_ptr_array_new_with_free_func (g_free);
  scene.process = harness_spawn (scene.harness, "store", argv);
  for (guint i = 0; i < ROWS; i++)
    put_row (&scene, i);
  scene.store = store_new (scene.harness->base, scene.process->http, &ops, &scene);
  list (&scene, PAGE);
  g_assert_cmpstr (g_ptr_array_index (scene.addresses, 0), ==, "10.0.0.0:1");
  list (&scene, ROWS - PAGE);
  g_assert_cmpstr (g_ptr_array_index (scene.addresses, 0), ==, "10.0.0.32:1");
  list (&scene, PAGE);
  store_free (scene.store);
  process_free (scene.process);
  harness_free (scene.harness);
  g_ptr_array_unref (scene.addresses);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/store/entries-are-listed-by-pages", test_pages);
  return g_test_run ();
}
