import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { configuration } from '@flamingocourse/platform-adapter';
import { World, configWith, until } from './world.js';

// Guards against choices that neither the log nor the metrics show, and against such lines and counters
// where a deployment does not call for the choice by cost.
describe('cached prompts are weighed where the terms call for it', () => {
  const cases = [
    { terms: ['pressure'], isWeighed: true },
    { terms: [], isWeighed: false },
  ];
  for (const { terms, isWeighed } of cases) {
    test(`terms: ${terms.join() || 'none'}`, async (t) => {
      const world = await World.start(t, configWith(), { terms });
      world.behave('e', 'stream');
      for (let i = 0; i < 3; i += 1) assert.equal((await world.generate('/chat/1')).status, 200);
      await until('all have ended', () => world.ended('answered') === 3);
      const lines = world.log.events.filter(({ event }) => event === 'request-ended');
      for (const { fields } of lines) {
        if (isWeighed) assert.match(String(fields.cost), /^e[12] kept \d+ read \d+ wait \d+/);
        else assert.equal(fields.cost, undefined);
      }
      const metrics = await world.metrics();
      const counted = [
        ...metrics.matchAll(/prompt_tokens_total\{service="llm",how="\w+"\} (\d+)/g),
      ];
      const tokens = counted.reduce((sum, [, count]) => sum + Number(count), 0);
      assert.equal(tokens, isWeighed ? 3_000 : 0);
    });
  }
});

// Guards against a configuration that is refused as a whole for a term of which only copies depend.
describe('terms of engines for copies', () => {
  const cases = [
    { name: 'both', engine: { kv_token_bytes: 1_000, link_mbps: 8 }, bytes: 1_000, perMs: 1_000 },
    { name: 'none', engine: {}, bytes: undefined, perMs: undefined },
    {
      name: 'unusable',
      engine: { kv_token_bytes: 'many', link_mbps: 0 },
      bytes: undefined,
      perMs: undefined,
    },
  ];
  for (const { name, engine, bytes, perMs } of cases) {
    test(name, () => {
      const services = [{ name: 'llm', engine }];
      const { services: parsed } = configuration.schema.parse({ version: 1, routes: [], services });
      assert.equal(parsed[0]?.tokenBytes, bytes);
      assert.equal(parsed[0]?.linkBytesPerMs, perMs);
    });
  }
});
