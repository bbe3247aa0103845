import type { BodyFraming } from '@flamingocourse/kernel';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { FeedTarget, RequestFeed } from '@flamingocourse/kernel';

const MAX_HEAD = 100;
const CHUNKED = 'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n';

/** Records what is parsed, and takes the framing from the head as the HTTP parser does. */
class RecordingTarget extends FeedTarget {
  readonly parsed: string[] = [];
  isOpen = true;
  refused = 0;
  #framing: BodyFraming | undefined;

  override parse(bytes: Buffer): void {
    const text = bytes.toString();
    this.parsed.push(text);
    if (!/^[A-Z]+ \//.test(text)) return;
    const length = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0);
    const isChunked = /transfer-encoding/i.test(text);
    this.#framing = isChunked ? { type: 'chunked' } : { type: 'length', bytes: length };
  }

  override takeFraming(): BodyFraming | undefined {
    const framing = this.#framing;
    this.#framing = undefined;
    return framing;
  }

  override refuseHead(): void {
    this.refused += 1;
  }
}

function createFeed(): { feed: RequestFeed; target: RecordingTarget } {
  const target = new RecordingTarget();
  return { feed: new RequestFeed(target, MAX_HEAD), target };
}

function push(feed: RequestFeed, text: string): void {
  feed.push(Buffer.from(text));
}

const get = (path: string): string => `GET ${path} HTTP/1.1\r\n\r\n`;

describe('what a parser gets of a connection', () => {
  // Guards against a process that makes a request object of every few bytes that a client sends ahead.
  test('is one request at a time, each once the one before is answered', () => {
    const { feed, target } = createFeed();
    push(feed, get('/1') + get('/2') + get('/3'));
    assert.deepEqual(target.parsed, [get('/1')]);
    assert.equal(feed.hasAhead, true);
    feed.answered();
    assert.deepEqual(target.parsed, [get('/1'), get('/2')]);
    feed.answered();
    feed.answered();
    assert.deepEqual(target.parsed, [get('/1'), get('/2'), get('/3')]);
    assert.equal(feed.phase, 'idle');
  });

  // Guards against a process that keeps strings of each field of a head that never ends.
  test('is a head only when it is whole', () => {
    const { feed, target } = createFeed();
    for (const byte of 'GET / HTTP/1.1\r\na: b\r\n\r') push(feed, byte);
    assert.deepEqual(target.parsed, []);
    assert.equal(feed.phase, 'head');
    push(feed, '\n');
    assert.deepEqual(target.parsed, ['GET / HTTP/1.1\r\na: b\r\n\r\n']);
  });

  test('is a body as it comes, and the next request after its answer', () => {
    const { feed, target } = createFeed();
    const head = 'POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\n';
    push(feed, `${head}ab`);
    assert.equal(feed.phase, 'body');
    push(feed, `cd${get('/2')}`);
    assert.deepEqual(target.parsed, [head, 'ab', 'cd']);
    feed.answered();
    assert.deepEqual(target.parsed, [head, 'ab', 'cd', get('/2')]);
  });

  test('is small chunks put together, without trailers', () => {
    const { feed, target } = createFeed();
    push(feed, `${CHUNKED}1\r\na\r\n1\r\nb\r\n0\r\nx: y\r\n\r\n`);
    assert.equal(target.parsed.join(''), `${CHUNKED}2\r\nab\r\n0\r\n\r\n`);
    assert.equal(feed.phase, 'answer');
  });

  test('is the next request once a body has come whose request was answered before', () => {
    const { feed, target } = createFeed();
    push(feed, `${CHUNKED}1\r\na\r\n`);
    feed.answered();
    push(feed, `0\r\n\r\n${get('/2')}`);
    assert.equal(target.parsed.at(-1), get('/2'));
  });

  test('is nothing while it can parse nothing', () => {
    const { feed, target } = createFeed();
    target.isOpen = false;
    push(feed, get('/1'));
    assert.deepEqual(target.parsed, []);
    target.isOpen = true;
    feed.run();
    assert.deepEqual(target.parsed, [get('/1')]);
  });

  const faults = [
    { name: 'a head over the limit', text: `GET /${'x'.repeat(MAX_HEAD)}`, refused: 1, parsed: 0 },
    { name: 'bytes that are no request', text: '\x16\x03\x01', refused: 0, parsed: 1 },
  ];
  for (const { name, text, refused, parsed } of faults) {
    test(`is nothing after ${name}`, () => {
      const { feed, target } = createFeed();
      push(feed, text);
      push(feed, get('/2'));
      assert.equal(target.refused, refused);
      assert.equal(target.parsed.length, parsed);
    });
  }

  test('is no empty line in front of a request', () => {
    const { feed, target } = createFeed();
    push(feed, `\r\n\r\n${get('/1')}`);
    assert.deepEqual(target.parsed, [get('/1')]);
  });

  test('is everything that follows a request for a tunnel', () => {
    const { feed, target } = createFeed();
    push(feed, 'CONNECT s1 HTTP/1.1\r\n\r\nearly');
    assert.deepEqual(target.parsed, ['CONNECT s1 HTTP/1.1\r\n\r\nearly']);
  });
});
