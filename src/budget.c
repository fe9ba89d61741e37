#include "budget.h"

#define TOKENS_PER_FIRST_TRY 0.1
/* Retries allowed at once. */
#define TOKENS_MAX 20.0

void
budget_deposit (RetryBudget *budget)
{
  budget->tokens = MIN (budget->tokens + TOKENS_PER_FIRST_TRY, TOKENS_MAX);
}

gboolean
budget_withdraw (RetryBudget *budget)
{
  if (budget->tokens < 1.0)
    return FALSE;
  budget->tokens -= 1.0;
  return TRUE;
}
