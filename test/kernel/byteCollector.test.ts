import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { ByteCollector } from '@flamingocourse/kernel';

const MB = 1024 * 1024;
const text = Array.from({ length: 50_000 }, (_, at) => String(at)).join(' ');

describe('the bytes of a body', () => {
  for (const size of [1, 7, 1_000, 70_000, 400_000]) {
    test(`collected in chunks of ${String(size)} bytes are unchanged`, () => {
      const collector = new ByteCollector();
      for (let at = 0; at < text.length; at += size) {
        collector.add(Buffer.from(text.slice(at, at + size)));
      }
      assert.equal(collector.size, text.length);
      assert.equal(collector.toBuffer().toString(), text);
    });
  }

  // Guards against a process that runs out of memory because each small chunk is kept as an object,
  // or keeps alive the buffer that its connection was read into.
  test('take no more memory in chunks of one byte', () => {
    const before = process.memoryUsage();
    const collector = new ByteCollector();
    for (let read = 0; read < 64; read += 1) {
      const buffer = Buffer.allocUnsafeSlow(64 * 1024);
      for (let at = 0; at < 16 * 1024; at += 1) collector.add(buffer.subarray(at, at + 1));
    }
    const after = process.memoryUsage();
    assert.equal(collector.size, MB);
    const used = after.heapUsed + after.external - before.heapUsed - before.external;
    assert.ok(used < 64 * MB, `${String(Math.round(used / MB))} MB`);
  });
});
