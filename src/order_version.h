#pragma once
/* What agents understand of orders, by version: agents and entries of several versions
 * run beside each other while a release is rolled out. */

typedef enum
{
  ORDER_VERSION_NONE,
  ORDER_VERSION_NUL, /* U+0000 in a payload, encoded as C0 80 */
} OrderVersion;

#define ORDER_VERSION ORDER_VERSION_NUL
