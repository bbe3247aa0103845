/** Leaves out changes that later ones of the same answer have overtaken. */

import type { WireChange } from './storeDialect.js';

/**
 * The last change of each object, in their order. What an object was in between is of no use any more, and
 * checking a large one costs more than all else that is done for it.
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
