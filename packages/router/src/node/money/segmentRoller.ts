/**
 * Moves bills and answers from the journal into closed segments, so that the journal stays small.
 */

import type { EventLog } from '@flamingocourse/kernel';
import type { BillSegment } from '@flamingocourse/core';
import type { JournalWriter } from './lineTransport.js';
import type { ObjectStore } from '../../types/moneyPorts.js';
import { currentSegment, pruneHolders, rollSegment } from '@flamingocourse/core';
import { Result } from 'true-myth';
import { segmentName } from './ticketResolver.js';

/** Estimated size at which a segment is closed, in characters. */
const SEGMENT_SIZE = 200_000;

/** Estimated size of a bill or of an outcome without its body, in characters. */
const BILL_SIZE = 300;

/** Closes the open segment once it is large. Any router can repeat each step. */
export async function rollLargeSegment(
  store: ObjectStore,
  writer: JournalWriter,
  log: EventLog,
  size = SEGMENT_SIZE,
): Promise<void> {
  // A segment never changes once written, so it may contain stored bills only. `latest` is stored.
  const state = writer.latest?.state;
  if (!state || sizeOf(currentSegment(state)) < size) return;
  const segment = currentSegment(state);
  const name = segmentName(segment.dataCentre, segment.number);
  const created = await store.create('segments', name, segment);
  const stored = created.isErr ? await store.get('segments', name) : created;
  if (stored.isErr) return;
  const closed = stored.value.value as BillSegment;
  const rolled = await writer.change((now) => Result.ok(pruneHolders(rollSegment(now, closed))));
  if (rolled.isOk) log.write('segment-rolled', { segment: name, bills: closed.bills.length });
}

function sizeOf(segment: BillSegment): number {
  const bodies = segment.outcomes.reduce((sum, one) => sum + (one.body?.length ?? 0), 0);
  return (segment.bills.length + segment.outcomes.length) * BILL_SIZE + bodies;
}
