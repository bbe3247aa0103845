import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { MAX_JSON_DEPTH, isDeeperThan, parseJsonText } from '@flamingocourse/kernel';

/** Arrays within each other. */
const nested = (levels: number): string => '['.repeat(levels) + ']'.repeat(levels);

// Guards against a value of another process on which code that recurses into it throws.
describe('parseJsonText', () => {
  const cases = [
    { name: 'a scalar', text: '"text"', depth: 0 },
    { name: 'a value of the greatest depth', text: nested(MAX_JSON_DEPTH), depth: MAX_JSON_DEPTH },
    { name: 'one level more', text: nested(MAX_JSON_DEPTH + 1), depth: MAX_JSON_DEPTH },
    { name: '100,000 levels', text: nested(100_000), depth: MAX_JSON_DEPTH },
  ];
  for (const { name, text, depth } of cases) {
    test(`${name} has at most ${String(depth)} levels`, () => {
      const value = parseJsonText(text);
      assert.equal(isDeeperThan(value, depth), false);
      assert.equal(depth > 0 && !isDeeperThan(value, depth - 1), false);
      assert.doesNotThrow(() => JSON.stringify(value));
    });
  }

  test('keeps what stands beside a part that is too deep', () => {
    const text = `{"slots":8,"deep":${nested(100_000)},"__proto__":{"a":1}}`;
    const value = parseJsonText(text) as Record<string, unknown>;
    assert.equal(value.slots, 8);
    assert.ok(Object.hasOwn(value, '__proto__'));
  });

  test('throws if the text is no JSON', () => {
    assert.throws(() => parseJsonText('{'), SyntaxError);
  });
});
