import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { EventFrames, EventOrder } from '@flamingocourse/core';

/** Milliseconds of processor time in which an event of the maximum size must be read. */
const MAX_EVENT_MS = 500;
const MICROSECONDS_PER_MS = 1_000;
/** Chunks of which an event may consist at most. */
const MAX_EVENT_CHUNKS = 4096;

const stream = 'id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\nid: 3\ndata: three\n\n';

describe('an event stream', () => {
  // guards against missing or repeated text: a server disconnected in the middle of an event, and
  // the stream was resumed at another server.
  const sizes = [1, 2, 3, 7, 1_000];
  for (const size of sizes) {
    test(`in chunks of ${String(size)} bytes is forwarded unchanged`, () => {
      const frames = new EventFrames();
      let passed = '';
      for (let at = 0; at < stream.length; at += size) {
        passed += frames.push(Buffer.from(stream.slice(at, at + size))).bytes.toString();
      }
      assert.equal(passed, stream);
      assert.equal(frames.total, 3);
      assert.equal(frames.lastId, '3');
      assert.equal(frames.isOpen, false);
    });
  }

  test('holds back an incomplete event', () => {
    const frames = new EventFrames();
    const { bytes, events } = frames.push(Buffer.from('id: 7\ndata: a\n\nid: 8\ndata: b'));
    assert.equal(bytes.toString(), 'id: 7\ndata: a\n\n');
    assert.equal(events, 1);
    assert.equal(frames.lastId, '7');
    assert.equal(frames.isOpen, true);
  });

  // Guards against a stream that goes on after another event than the last one, or an id that no request carries.
  const ids = [
    { id: '7', lastId: '7', isResumable: true },
    { id: 'é', lastId: '\u00c3\u00a9', isResumable: true },
    { id: 'a\u0000b', lastId: 'a\u0000b', isResumable: false },
    { id: 'a ', lastId: 'a ', isResumable: false },
    { id: 'x'.repeat(8_001), lastId: 'x'.repeat(8_001), isResumable: false },
  ];
  for (const { id, lastId, isResumable } of ids) {
    test(`with the id ${JSON.stringify(id.slice(0, 20))} ${isResumable ? 'can' : 'cannot'} go on`, () => {
      const frames = new EventFrames();
      frames.push(Buffer.from(`id: 1\ndata: a\n\nid: ${id}\ndata: b\n\n`));
      assert.equal(frames.lastId, lastId);
      assert.equal(frames.isResumable, isResumable);
    });
  }

  // Guards against an instance that serves nobody while it reads an event in small chunks: if each
  // chunk cost a copy of the event so far, an event of the maximum size would take 15 s and more.
  for (const unit of ['x', 'x\n', 'x\r\n']) {
    test(`of ${JSON.stringify(unit)} without end is given up soon`, () => {
      const frames = new EventFrames();
      const chunk = Buffer.from(unit);
      const before = process.cpuUsage();
      let bytes = frames.push(Buffer.from('data: ')).bytes.length;
      let chunks = 0;
      for (; !frames.isTooLong; chunks += 1) bytes += frames.push(chunk).bytes.length;
      const { user, system } = process.cpuUsage(before);
      const tookMs = (user + system) / MICROSECONDS_PER_MS;
      assert.equal(bytes, 0);
      assert.ok(chunks <= MAX_EVENT_CHUNKS, `${String(chunks)} chunks`);
      assert.ok(tookMs < MAX_EVENT_MS, `${String(Math.round(tookMs))} ms`);
    });
  }
});

// Guards against an event that a caller gets twice or after a newer one, from a server that does not continue the stream.
describe('events out of order', () => {
  const cases: { name: string; after?: string; events: string[]; accepted: number }[] = [
    { name: 'increasing ids', events: ['id: 1', 'id: 2', 'id: 9'], accepted: 3 },
    { name: 'an id twice', events: ['id: 1', 'id: 1'], accepted: 1 },
    { name: 'a smaller id', events: ['id: 9', 'id: 10', 'id: 2'], accepted: 2 },
    {
      name: 'ids after one of an earlier try',
      after: '1',
      events: ['id: 2', 'id: 3'],
      accepted: 2,
    },
    { name: 'an id of an earlier try', after: '3', events: ['data: 2', 'id: 3'], accepted: 1 },
    { name: 'ids that are no numbers', events: ['id: b', 'id: a'], accepted: 2 },
    { name: 'no ids', events: ['data: 2', 'data: 1'], accepted: 2 },
    {
      name: 'newer weights',
      events: ['x-weight-versions: 3\nid: 1', 'id: 2', 'x-weight-versions: 4\nid: 3'],
      accepted: 3,
    },
    {
      name: 'older weights',
      events: ['x-weight-versions: 4\nid: 1', 'id: 2', 'x-weight-versions: 3\nid: 3'],
      accepted: 2,
    },
  ];
  for (const { name, after, events, accepted } of cases) {
    test(`${name}: ${String(accepted)} of ${String(events.length)} are forwarded`, () => {
      const order = new EventOrder({ weightsField: 'x-weight-versions', after });
      const [first = '', ...rest] = events.map((event) => `${event}\n\n`);
      // the second server delivers all others at once.
      const begun = new EventFrames(order).push(Buffer.from(first));
      const frames = new EventFrames(order);
      const resumed = frames.push(Buffer.from(rest.join('')));
      assert.equal(begun.events + resumed.events, accepted);
      assert.equal(frames.isOutOfOrder, accepted < events.length);
    });
  }
});
