#pragma once
/* What entries and agents agree on about orders to start tasks. */

/* What an agent understands of orders. Entries and agents of several versions run beside
 * each other while a release is rolled out. */
typedef enum
{
  ORDER_VERSION_NONE,
  ORDER_VERSION_NUL, /* U+0000 in a payload, encoded as C0 80 */
} OrderVersion;

#define ORDER_VERSION ORDER_VERSION_NUL

/* Reason of a refused start: the backend server that the entry chose is not there any
 * more. It says nothing on the present one, whose state came before. */
#define ORDER_REPLACED "backend server was replaced"
