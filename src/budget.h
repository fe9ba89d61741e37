#pragma once
/* Retry budget: limits retries to a share of first tries, so that they cannot feed an
 * overload. */
#include <glib.h>

typedef struct
{
  double tokens;
} RetryBudget;

/** budget_deposit - count a first try. */
void budget_deposit (RetryBudget *budget);

/** budget_withdraw - Return: whether a retry is allowed; it is counted then. */
gboolean budget_withdraw (RetryBudget *budget);
