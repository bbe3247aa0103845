/** Priority of a request, from the configuration of its route and account. */

import type { Importance, Route, RoutedAccount } from '@flamingocourse/core';

/** Returns the account's priority if it has one, otherwise the route's; 0 is the most urgent. */
export function effectivePriority(
  route: Pick<Route, 'priority'>,
  account: Pick<RoutedAccount, 'priority'> | undefined,
): number {
  return account?.priority ?? route.priority;
}

/** Returns the importance class of the admission queue for a priority. */
export function importanceOf(priority: number): Importance {
  if (priority <= 0) return 'first';
  return priority === 1 ? 'standard' : 'background';
}
