/** Removes changes that later changes of the same answer supersede. */

import type { WireChange } from './storeDialect.js';

/**
 * Returns the last change of each object, in the original order. Intermediate versions are not
 * needed, and validating a large object costs more than all other processing of it.
 *
 * @example
 * latestChanges([{ type: 'removed', name: 'a' }, { type: 'changed', object: a }]); // the second
 */
export function latestChanges(changes: readonly WireChange[]): WireChange[] {
  const last = new Map(changes.map((change) => [nameOf(change), change]));
  return changes.filter((change) => last.get(nameOf(change)) === change);
}

function nameOf(change: WireChange): string {
  return change.type === 'removed' ? change.name : change.object.name;
}
