import type { BackendServer } from '@flamingocourse/core';
import type { Placement } from '@flamingocourse/router';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { AdmissionQueue, createServerChooser, ServerPool } from '@flamingocourse/core';
import { BackgroundWork, ManualClock, MemoryEventLog } from '@flamingocourse/kernel';
import { QuarantineRegister, ServiceLane } from '@flamingocourse/router';

const SLOTS = 100;
/** Milliseconds between two requests of the class. */
const INTERVAL_MS = 200;
/** Milliseconds that the server takes while it does not stall, in turn. */
const ANSWERS_MS = [5, 190, 20, 110];
/** Milliseconds after the stall from which requests must be served again, and until which they are sent. */
const RECOVERY_MS = 6_000;
const WATCHED_MS = 12_000;
/** Fraction of them that must be placed. */
const MIN_PLACED_FRACTION = 0.9;

/** A lane with one server whose answers the test ends. */
class StallFixture {
  readonly #clock = new ManualClock();
  readonly #lane: ServiceLane;

  constructor() {
    const url = 'http://s1';
    const server: BackendServer = {
      id: 's1',
      service: 'ledger',
      dataCentre: 'a',
      url,
      state: 'live',
    };
    const pool = new ServerPool({
      dataCentre: 'a',
      concurrencyPerServer: SLOTS,
      limitKind: 'fixed',
    });
    pool.applyList([server], 0);
    this.#lane = new ServiceLane({
      pool,
      queue: new AdmissionQueue({ maxSize: 64 }),
      chooser: createServerChooser('power-of-two'),
      quarantine: new QuarantineRegister(this.#clock, new MemoryEventLog(), {
        publish: () => undefined,
        onUpdate: () => undefined,
      }),
      clock: this.#clock,
      background: new BackgroundWork(),
      random: () => 0.5,
    });
  }

  advance(ms: number): void {
    this.#clock.advance(ms);
  }

  /** Places a request; undefined if it is refused. */
  async place(deadlineMs: number): Promise<Placement | undefined> {
    const placed = await this.#lane.place({
      service: 'ledger',
      workClass: 'book',
      importance: 'standard',
      deadline: this.#clock.now() + deadlineMs,
      startBy: this.#clock.now() + deadlineMs,
      tried: [],
      fingerprint: 'f',
      signal: new AbortController().signal,
    });
    if (placed.isErr) return undefined;
    placed.value.recordSent();
    return placed.value;
  }

  /** Sends a request each interval, each answered in the usual time, and returns the fraction that was placed. */
  async serve(forMs: number, deadlineMs: number): Promise<number> {
    let placed = 0;
    for (let at = 0; at < forMs; at += INTERVAL_MS) {
      const placement = await this.place(deadlineMs);
      const answerMs = ANSWERS_MS[placed % ANSWERS_MS.length] ?? 0;
      this.advance(answerMs);
      placement?.end('ok', answerMs);
      this.advance(INTERVAL_MS - answerMs);
      if (placement) placed += 1;
    }
    return (placed * INTERVAL_MS) / forMs;
  }

  /** Requests arrive for the given time and are all answered at its end. */
  async stall(forMs: number, count: number): Promise<void> {
    const placements: { placement: Placement | undefined; leftMs: number }[] = [];
    for (let at = 0; at < count; at += 1) {
      const leftMs = forMs - (at * forMs) / count;
      placements.push({ placement: await this.place(Infinity), leftMs });
      this.advance(forMs / count);
    }
    for (const { placement, leftMs } of placements.reverse()) placement?.end('ok', leftMs);
  }
}

// Guards against a class that is refused long after its servers were unresponsive for a second: the few
// answers that arrived late raised its expected time above the deadline.
describe('a class is served again soon after a stall of its servers', () => {
  const cases = [
    { deadlineMs: 900, stalled: 3 },
    { deadlineMs: 900, stalled: 6 },
    { deadlineMs: 900, stalled: 20 },
    { deadlineMs: 1_450, stalled: 20 },
  ];
  for (const { deadlineMs, stalled } of cases) {
    test(`${String(stalled)} late answers, deadline ${String(deadlineMs)} ms`, async () => {
      const fixture = new StallFixture();
      await fixture.serve(8_000, deadlineMs);
      await fixture.stall(1_200, stalled);
      await fixture.serve(RECOVERY_MS, deadlineMs);
      const placed = await fixture.serve(WATCHED_MS, deadlineMs);
      assert.ok(placed >= MIN_PLACED_FRACTION, `${String(placed)} were placed`);
    });
  }
});
