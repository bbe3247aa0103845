import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { parseGatewaySettings } from '@flamingocourse/gateway';
import {
  WATCH_REOPEN_MS,
  CONFIGURATION_BATCH_MS,
} from '../../packages/gateway/src/node/configurationWatch.js';
import { EVACUATION_REOPEN_MS } from '../../packages/gateway/src/node/evacuationWatch.js';
import { ANSWER_MARGIN_MS, WAIT_MS } from '../../packages/gateway/src/node/peerFollower.js';
import { SERVER_LIST_BATCH_MS } from '../../packages/gateway/src/node/serverDirectory.js';
import { FRESH_PART, SILENCE_MS } from '../../packages/gateway/src/node/storeRelay.js';

/** Milliseconds that a healthy store takes to return a list over a link of 7 Mbit/s. */
const LIST_MS = 100;

/** Deployments with their time limits. */
const deployments = [
  { name: 'of today', inTouchMs: 3_000, leavingMs: 2_000, applyMs: 2_000 },
  { name: 'grown', inTouchMs: 4_000, leavingMs: 3_000, applyMs: 3_000 },
];
/** Milliseconds within which an evacuation must take effect, where operators evacuate. */
const EVACUATE_MS = 5_000;

// Guards against requests handled by state that is seconds old. The delays from a change to its effect had
// not been added up.
for (const { name, inTouchMs, leavingMs, applyMs } of deployments) {
  const settings = parseGatewaySettings(
    JSON.stringify({
      instance: 'edge-1',
      dataCentre: 'hall-a',
      listen: { entry: '127.0.0.1:1', ready: '127.0.0.1:2' },
      store: { url: 'http://127.0.0.1:3', configurationIdleMs: inTouchMs },
      retries: { ratio: 0.2, slack: 54, windowMs: 10_000 },
    }),
    'test.jsonc',
  ).unwrapOrElse((err) => {
    throw new Error(err);
  });
  const { watchIdleMs, configurationIdleMs } = settings.store;
  const states = [
    {
      state: 'servers that leave',
      pauseMs: SERVER_LIST_BATCH_MS,
      hangMs: watchIdleMs,
      boundMs: leavingMs,
    },
    {
      state: 'configuration, keys and budgets',
      pauseMs: CONFIGURATION_BATCH_MS,
      hangMs: configurationIdleMs - WATCH_REOPEN_MS,
      boundMs: applyMs,
    },
  ];
  describe(`from a change to its effect (${name})`, () => {
    for (const { state, pauseMs, hangMs, boundMs } of states) {
      test(`${state}: in time under normal conditions`, () => {
        assert.ok(pauseMs + LIST_MS <= boundMs);
      });

      test(`${state}: in time after a call that hung`, () => {
        // the first probe is sent when the call times out, and its answer wakes the watch.
        assert.ok(hangMs + LIST_MS <= inTouchMs, `${String(hangMs + LIST_MS)} ms`);
      });
    }

    // an instance that follows another is in touch itself, so the whole time is that of its own bound.
    const watchers = [
      { fault: 'stopped', foundMs: WAIT_MS + ANSWER_MARGIN_MS },
      { fault: 'was cut off', foundMs: FRESH_PART * configurationIdleMs + SILENCE_MS },
    ];
    for (const { fault, foundMs } of watchers) {
      test(`through a watcher that ${fault}: in time through the next one`, () => {
        const ms = foundMs + LIST_MS;
        assert.ok(ms <= Math.min(applyMs, leavingMs), `${String(ms)} ms`);
      });
    }
  });
}

// Guards against an evacuation that takes effect late because the watch had become silent just before it.
test('an evacuation takes effect in time after a call that hung', () => {
  const hangMs = EVACUATE_MS - EVACUATION_REOPEN_MS;
  assert.ok(hangMs + LIST_MS <= EVACUATE_MS, `${String(hangMs + LIST_MS)} ms`);
});
