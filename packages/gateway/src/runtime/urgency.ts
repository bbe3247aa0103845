/** How urgent a request is, as the operators declared it. */

import type { Importance, Route, RoutedAccount } from '@flamingocourse/core';

/** The account's priority goes before the route's; 0 is the most urgent. */
export function urgencyOf(
  route: Pick<Route, 'priority'>,
  account: Pick<RoutedAccount, 'priority'> | undefined,
): number {
  return account?.priority ?? route.priority;
}

/** Lane of the queue for a priority. */
export function importanceOf(priority: number): Importance {
  if (priority <= 0) return 'first';
  return priority === 1 ? 'standard' : 'background';
}
