import type { AddressInfo, Socket } from 'node:net';
import type { CopyMoment } from './soakDuplicates.js';
import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import { describe, test } from 'node:test';
import { createRandom } from '../../packages/lab/src/runtime/random.js';
import { until } from '../platform/world.js';
import { AnswerParser } from './soakAnswerParser.js';
import { planCopy, writesOf } from './soakDuplicates.js';
import { ResponseCopies } from './soakResponseCopies.js';

// Guards against a soak that sends hardly any duplicate responses, or only of one kind.
test('about 12 in 100 responses are sent again, at all moments, half of them in two writes', () => {
  const random = createRandom(7);
  const plans = Array.from({ length: 2_000 }, () => planCopy(random)).filter((plan) => !!plan);
  const countOf = (moment: CopyMoment): number =>
    plans.filter((plan) => plan.moment === moment).length;
  const split = plans.filter(({ splitAt }) => splitAt !== undefined).length;
  assert.ok(plans.length > 200 && plans.length < 280, String(plans.length));
  assert.ok(split > 80 && split < 160, String(split));
  for (const moment of ['later', 'before-next', 'after-next'] as const) {
    assert.ok(countOf(moment) > 20, moment);
  }
});

// Guards against copies that lose bytes.
describe('the writes of a copy', () => {
  for (const { splitAt, expected } of [
    { splitAt: undefined, expected: ['abcd'] },
    { splitAt: 0, expected: ['a', 'bcd'] },
    { splitAt: 0.5, expected: ['ab', 'cd'] },
    { splitAt: 0.999, expected: ['abc', 'd'] },
  ]) {
    test(`split at ${String(splitAt)}`, () => {
      const writes = writesOf(Buffer.from('abcd'), splitAt);
      assert.deepEqual(
        writes.map((bytes) => bytes.toString()),
        expected,
      );
    });
  }
});

// Guards against copies that break the framing of other responses, so that any client would notice them.
describe('a copy of the first response', () => {
  const cases: { moment: CopyMoment; order: string[] }[] = [
    { moment: 'later', order: ['a', 'a', 'b', 'c'] },
    { moment: 'before-next', order: ['a', 'a', 'b', 'c'] },
    { moment: 'after-next', order: ['a', 'b', 'a', 'c'] },
  ];
  for (const { moment, order } of cases) {
    for (const splitAt of [undefined, 0.3]) {
      test(`${moment}, ${splitAt === undefined ? 'whole' : 'in two writes'}`, async (t) => {
        const server = createServer((req, res) => {
          copies?.begin(res);
          const id = req.url?.slice(1) ?? '';
          res.writeHead(200, { 'x-request-id': id });
          res.write(`one of ${id}, `);
          setTimeout(() => res.end(`two of ${id}`), 5);
        });
        let copies: ResponseCopies | undefined;
        let responses = 0;
        server.on('connection', (socket: Socket) => {
          copies = new ResponseCopies(socket, () => {
            responses += 1;
            return responses === 1 ? { moment, delayMs: 0, splitAt, gapMs: 20 } : undefined;
          });
        });
        await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
        t.after(() => server.close());
        const parser = new AnswerParser();
        const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
        t.after(() => socket.destroy());
        socket.on('data', (bytes) => {
          parser.push(bytes);
        });
        const ask = async (id: string): Promise<void> => {
          socket.write(`GET /${id} HTTP/1.1\r\nHost: x\r\n\r\n`);
          await until(`${id} is answered`, () =>
            parser.answers.some((each) => each.id === id && each.complete),
          );
        };
        await ask('a');
        if (moment === 'later') await until('the copy', () => parser.completed === 2);
        await ask('b');
        await ask('c');
        const answers = parser.answers.map(({ id = '', body }) => ({ id, body }));
        assert.deepEqual(
          answers,
          order.map((id) => ({ id, body: `one of ${id}, two of ${id}` })),
        );
      });
    }
  }
});
