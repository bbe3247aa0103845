import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect } from 'node:net';
import type { TestContext } from 'node:test';
import { describe, test } from 'node:test';
import { AnswerMemory } from '@flamingocourse/gateway';
import { BodyBuffers } from '@flamingocourse/kernel';

const MB = 1024 * 1024;

/** Opens connections whose answers are not read, and returns the answers in their order. */
async function unreadAnswers(t: TestContext, count: number): Promise<ServerResponse[]> {
  const answers: ServerResponse[] = [];
  const server = createServer((_req, res) => answers.push(res)).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const sockets: Socket[] = [];
  for (let at = 0; at < count; at += 1) {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
    await once(server, 'request');
  }
  t.after(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return answers;
}

describe('answers that are written and not read', () => {
  // Guards against a process that runs out of memory because its callers do not read large answers.
  test('make room for others, those that are unread for longest first', async (t) => {
    const answers = await unreadAnswers(t, 3);
    const memory = new AnswerMemory(new BodyBuffers(10 * MB, Infinity));
    for (const answer of answers) memory.hold(answer, 4 * MB);
    assert.deepEqual(
      answers.map(({ destroyed }) => destroyed),
      [true, false, false],
    );
  });

  test('make room for one that is read from its server', async (t) => {
    const [answer] = await unreadAnswers(t, 1);
    assert.ok(answer);
    const memory = new AnswerMemory(new BodyBuffers(10 * MB, Infinity));
    memory.hold(answer, 9 * MB);
    const reading = memory.open(() => assert.fail('given up'));
    assert.equal(memory.fits(reading, 6 * MB), true);
    assert.equal(answer.destroyed, true);
  });

  test('count no more once they are read', async (t) => {
    const [answer] = await unreadAnswers(t, 1);
    assert.ok(answer);
    const bytes = new BodyBuffers(10 * MB, Infinity);
    const memory = new AnswerMemory(bytes);
    memory.hold(answer, 9 * MB);
    assert.equal(bytes.total, 9 * MB);
    memory.release(answer);
    assert.equal(bytes.total, 0);
  });

  // Guards against a stream that gathers listeners because its caller reads slowly.
  test('leave no listeners once they are read', async (t) => {
    const [answer] = await unreadAnswers(t, 1);
    assert.ok(answer);
    const before = answer.listenerCount('close');
    const memory = new AnswerMemory(new BodyBuffers(10 * MB, Infinity));
    for (let pause = 0; pause < 20; pause += 1) {
      memory.hold(answer, MB);
      memory.release(answer);
    }
    assert.equal(answer.listenerCount('close'), before);
  });
});
