import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { BodyBuffers } from '@flamingocourse/kernel';

const KB = 1024;
const MB = 1024 * KB;
const CHUNK = 64 * KB;

describe('the memory of bodies that are held', () => {
  test('has a bound for each', () => {
    const held = new BodyBuffers(64 * MB).open();
    let bytes = 0;
    while (held.addChunk(CHUNK)) bytes += CHUNK;
    assert.equal(bytes, 8 * MB);
  });

  // Guards against bodies in tiny chunks, which take far more processor time than their size tells.
  test('counts a chunk of one byte as more', () => {
    const held = new BodyBuffers(64 * MB).open();
    let chunks = 0;
    while (held.addChunk(1)) chunks += 1;
    assert.equal(chunks, (8 * MB) / 256);
  });

  // Guards against an instance that is ended for its memory because many servers send without end.
  test('has a bound for all together, which answers of usual size do not feel', () => {
    const buffers = new BodyBuffers(32 * MB);
    const endless = Array.from({ length: 200 }, () => ({ held: buffers.open(), given: false }));
    let most = 0;
    for (let round = 0; round < 300; round += 1) {
      const usual = buffers.open();
      assert.equal(usual.addChunk(20 * KB), true, `round ${String(round)}`);
      for (const answer of endless) {
        if (answer.given || answer.held.addChunk(CHUNK)) continue;
        answer.given = true;
        answer.held.release();
      }
      most = Math.max(most, buffers.total);
      usual.release();
    }
    assert.ok(most <= 32 * MB + 200 * CHUNK, String(most));
    assert.ok(endless.every(({ given }) => given));
    assert.equal(buffers.total, 0);
  });

  test('is released once, whatever comes afterwards', () => {
    const buffers = new BodyBuffers();
    const held = buffers.open();
    held.addChunk(KB);
    held.release();
    held.release();
    assert.equal(held.addChunk(KB), false);
    assert.equal(buffers.total, 0);
  });

  // Guards against bodies that stop short of their end and leave no room for others of usual size.
  test('gives up the largest body that does not grow any more', () => {
    const buffers = new BodyBuffers(10 * MB, Infinity);
    const evicted: number[] = [];
    const stalled = [6, 4].map((mb) => {
      const held = buffers.open(() => evicted.push(mb));
      assert.equal(held.set(mb * MB), true);
      return held;
    });
    assert.equal(buffers.open().set(KB), true);
    assert.deepEqual(evicted, [6]);
    assert.equal(buffers.total, 4 * MB + KB);
    assert.equal(stalled[0]?.set(KB), false);
  });

  test('gives up none that is needed', () => {
    const buffers = new BodyBuffers(10 * MB, Infinity);
    const needed = buffers.open(() => assert.fail('given up'));
    needed.set(10 * MB);
    needed.keep();
    assert.equal(buffers.open().set(KB), true);
  });
});
