import type { FleetEvent } from '@flamingocourse/lab';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ReducerFleet } from '@flamingocourse/lab';

const TICKET_KEY = 8;

test('bills an answered request although its router was sealed and the witness crashed', () => {
  // Guards against a bill lost with its only witness, as the living router that has it was sealed and not asked for its lines.
  const fleet = new ReducerFleet(1_000);
  const request = { type: 'request', crashPoint: 'none' } as const;
  const events: FleetEvent[] = [
    { ...request, router: 0, key: 0 },
    { ...request, router: 1, key: 2 },
    { type: 'platform', isUp: false },
    { ...request, router: 0, key: TICKET_KEY },
    { ...request, router: 1, key: 6, crashPoint: 'after-dispatch' },
    { type: 'seal', router: 0 },
    { type: 'platform', isUp: true },
  ];
  const outcomes = events.map((event) => fleet.handle(event));
  assert.deepEqual(outcomes.slice(3, 5), ['answered', 'no-answer']);
  fleet.settle();
  const bills = fleet.store.journals.flatMap((journal) => journal.bills);
  assert.equal(bills.filter((bill) => bill.ticket === TICKET_KEY).length, 1);
});
