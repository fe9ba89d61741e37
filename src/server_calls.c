#include "server_calls.h"

#include <string.h>

gboolean
run_key_equal (const RunKey *a, const RunKey *b)
{
  return a->index == b->index && a->run == b->run && strcmp (a->job, b->job) == 0;
}
