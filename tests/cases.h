#pragma once
/* Table-driven tests: one test per row, named by its member "name". */
#include <glib.h>

#define ADD_CASES(prefix, cases, func)                                                   \
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)                                       \
    {                                                                                    \
      char *path = g_strdup_printf (prefix "/%s", cases[i].name);                        \
                                                                                         \
      g_test_add_data_func (path, &cases[i], func);                                      \
      g_free (path);                                                                     \
    }
