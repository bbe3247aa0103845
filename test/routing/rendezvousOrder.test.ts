import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { rendezvousOrder, rendezvousOwner } from '@flamingocourse/core';

const items = Array.from({ length: 12 }, (_, n) => ({ name: `edge-${String(n)}` }));
const names = items.map(({ name }) => name);

// Guards against instances that take different ones for the first, because they know them in another order.
describe('the rendezvous order', () => {
  for (const key of ['dc-a', 'club-7', 'store watch']) {
    test(`begins with the owner of ${key}`, () => {
      assert.equal(rendezvousOrder(key, items)[0]?.name, rendezvousOwner(key, names));
    });

    test(`of ${key} does not depend on the order of the items`, () => {
      assert.deepEqual(rendezvousOrder(key, items.toReversed()), rendezvousOrder(key, items));
    });
  }

  test('keeps all items', () => {
    const ordered = rendezvousOrder('dc-a', items).map(({ name }) => name);
    assert.deepEqual(ordered.toSorted(), names.toSorted());
  });
});
