import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { World, configWith, until } from './world.js';

const REQUEST_TOKENS = 9_000;
/** Requests of one account that fit into its budget. */
const FITTING = 11;
const MANY_DIGITS = '9'.repeat(320);
const NAMES = ['kirk', 'picard'];

const sizes = [
  { name: 'most tokens of 320 digits', usage: `900,${MANY_DIGITS}` },
  { name: 'a prompt of 320 digits', usage: `${MANY_DIGITS},80` },
  { name: 'both of 320 digits', usage: `${MANY_DIGITS},${MANY_DIGITS}` },
  { name: 'most tokens of 15 digits', usage: `900,${'9'.repeat(15)}` },
  { name: 'more than the budget', usage: '900,100000' },
];

// Guards against a caller whose one request takes the tokens of all accounts, because its size is infinite.
describe('a request that states', { concurrency: 4 }, () => {
  for (const { name, usage } of sizes) {
    test(`${name} is refused, and all accounts keep their tokens`, async (t) => {
      const { services, ...rest } = configWith({
        tenants: NAMES.map((account) => ({
          name: account,
          api_keys: [`key-of-${account}`],
          prepaid: 100_000,
        })),
      });
      const [ledger, engine] = services as Record<string, object>[];
      // without a capacity no prompt is too large for the memory of a server.
      const unbounded = { ...engine, engine: { slots: 4, stride: 3, moves: true } };
      const world = await World.start(t, { ...rest, services: [ledger, unbounded] });
      world.behave('e', 'stream');
      await until('the tokens are known', async () => {
        const { status } = await world.call({
          path: '/chat/1',
          headers: { 'x-model': 'm', 'x-token-usage': usage },
        });
        assert.ok(status === 402 || status === 503, String(status));
        return status === 402;
      });
      for (const account of NAMES) {
        const headers = { authorization: `Token key-of-${account}` };
        for (let sent = 0; sent < FITTING; sent += 1) {
          const { status, body } = await world.generate('/chat/1', REQUEST_TOKENS, headers);
          assert.equal(status, 200, `${account}: ${body}`);
        }
      }
      assert.ok(!world.events.includes('service-failed'));
    });
  }

  test('prompt parts of 320 digits leaves its servers to others', async (t) => {
    const world = await World.start(t);
    world.behave('e', 'stream');
    const parts = { 'x-prompt-prefix': `aa:${MANY_DIGITS},bb:${MANY_DIGITS}` };
    await world.generate('/chat/1', 1_000, parts);
    for (let sent = 0; sent < 4; sent += 1) {
      assert.equal(
        (await world.generate('/chat/1', 1_000, { 'x-prompt-prefix': 'aa:500' })).status,
        200,
      );
    }
    assert.ok(!world.events.includes('service-failed'));
  });
});
