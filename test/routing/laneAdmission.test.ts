import type { FleetLoad } from './fixtures/laneFleet.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { CAPACITY, LaneFleet } from './fixtures/laneFleet.js';

const SECONDS = 12;
const TARGET_MS = 336;
/** Callers honour a Retry-After up to a third of their remaining time, which is 4,096 ms at most. */
const HONOURED_MS = 4_096 / 3;

function run(load: Partial<FleetLoad> & Pick<FleetLoad, 'demand'>): Promise<LaneFleet> {
  const usual = { instances: 4, targetMs: TARGET_MS, seconds: SECONDS, isOn: true };
  return new LaneFleet({ ...usual, ...load }).run();
}

/** What the servers ended, as a fraction of what they can. */
function throughput({ counts }: LaneFleet): number {
  const served = Object.values(counts).reduce((sum, count) => sum + count.served, 0);
  return served / (CAPACITY * SECONDS);
}

const instanceCounts = [1, 4, 12];

describe('with room for all', () => {
  for (const instances of instanceCounts) {
    for (const demand of [0.6, 0.95]) {
      // Guards against refusals of requests for which there is room.
      test(`${String(demand)} of the capacity, ${String(instances)} instances: none refused`, async () => {
        const { standard } = (await run({ instances, demand: { standard: demand } })).counts;
        assert.equal(standard.refused, 0);
      });
    }
  }

  // Guards against refusals for lateness alone, of requests whose target no server can ever meet.
  test('none is refused for a target that is shorter than the work', async () => {
    const { standard } = (await run({ targetMs: 50, demand: { standard: 0.6 } })).counts;
    assert.equal(standard.refused, 0);
  });
});

describe('with demand for one and a half times the capacity', () => {
  for (const instances of instanceCounts) {
    const title = `${String(instances)} instances`;

    // Guards against a standing queue that makes all requests late: without adaptive load, 0.045 of
    // them are in time.
    test(`${title}: most of what is served is in time`, async () => {
      const fleet = await run({ instances, demand: { standard: 1.5 } });
      const { served, inTime } = fleet.counts.standard;
      assert.ok(inTime > served / 2, `${String(inTime)} of ${String(served)}`);
    });

    for (const targetMs of [TARGET_MS, 50]) {
      // Guards against servers that are idle while requests wait or are refused.
      test(`${title}, target ${String(targetMs)} ms: the servers stay busy`, async () => {
        const fleet = await run({ instances, targetMs, demand: { standard: 1.5 } });
        assert.ok(throughput(fleet) >= 0.99, throughput(fleet).toFixed(3));
      });
    }

    // Guards against urgent requests that are refused in favour of others, at their own instance or
    // at another one.
    test(`${title}: the urgent are served more often`, async () => {
      const { first, background } = (
        await run({ instances, demand: { first: 0.8, background: 0.7 } })
      ).counts;
      const rates = [first.served / first.sent, background.served / background.sent] as const;
      assert.ok(rates[1] <= rates[0] + 0.05, rates.join(', '));
      assert.ok(background.served / CAPACITY / SECONDS >= 0.05, 'minimum share');
    });
  }

  // Guards against refused callers that give up, because Retry-After is later than they may wait, or
  // that all return at the same time.
  test('Retry-After is one that callers honour, and spread', async () => {
    const { retryAfterMs } = (await run({ demand: { standard: 1.5 } })).counts.standard;
    assert.ok(retryAfterMs.length > 0);
    assert.ok(Math.max(...retryAfterMs) <= HONOURED_MS, String(Math.max(...retryAfterMs)));
    assert.ok(new Set(retryAfterMs).size > retryAfterMs.length / 10);
  });
});
