import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { parseGatewaySettings } from '@flamingocourse/gateway';

const MIB = 1024 * 1024;
const required = {
  instance: 'edge-1',
  dataCentre: 'hall-a',
  listen: { entry: '127.0.0.1:1', ready: '127.0.0.1:2' },
  store: { url: 'http://127.0.0.1:3' },
  retries: { ratio: 0.2, slack: 54, windowMs: 10_000 },
};

const cases: { name: string; limits: object; entry: number; heldMiB: number }[] = [
  { name: 'nothing is set', limits: {}, entry: 1_000, heldMiB: 16 },
  {
    name: 'a machine has few descriptors',
    limits: { memoryMb: 186, descriptors: 2_212 },
    entry: 676,
    heldMiB: 22.4,
  },
  {
    name: 'a machine is large',
    limits: { memoryMb: 602, descriptors: 8_192 },
    entry: 1_000,
    heldMiB: 64,
  },
  {
    name: 'the limits themselves are set',
    limits: { memoryMb: 602, heldBytes: 8 * MIB, connections: { entry: 50 } },
    entry: 50,
    heldMiB: 8,
  },
];

describe('limits on clients follow from the machine', () => {
  for (const { name, limits, entry, heldMiB } of cases) {
    test(`if ${name}`, () => {
      const settings = parseGatewaySettings(JSON.stringify({ ...required, limits }), 'a.jsonc');
      assert.ok(settings.isOk);
      assert.equal(settings.value.limits.connections.entry, entry);
      assert.equal(settings.value.limits.heldBytes, Math.floor(heldMiB * MIB));
    });
  }

  test('and a limit that is none names its place', () => {
    const text = JSON.stringify({ ...required, limits: { connections: { ready: 0 } } });
    const settings = parseGatewaySettings(text, 'a.jsonc');
    assert.ok(settings.isErr);
    assert.match(settings.error, /connections\.ready/);
  });
});
