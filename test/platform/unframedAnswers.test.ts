import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { WHOLE_STREAM, idsOf, sendUntilReceived, startServer } from './serverProcesses.js';
import { World, configWith } from './world.js';

// Guards against a truncated response that appears complete: a killed process closes its connections in order, like
// a server that ends a response without a length.
describe('a response without a length whose server is killed', () => {
  test('does not end as a complete stream that may not be resumed', async (t) => {
    const world = await World.start(t, configWith());
    const child = await startServer(t, world, 'killed', { service: 'llm', isAlone: true });
    const [answer] = await sendUntilReceived(world, '/chat/', () => child.signalCode !== null);
    assert.ok(answer);
    assert.deepEqual(idsOf(answer), ['1']);
    assert.equal(answer.complete, false);
  });

  test('goes on elsewhere if its stream may be resumed', async (t) => {
    const world = await World.start(t, configWith());
    world.behave('e', 'stream');
    const child = await startServer(t, world, 'killed', { service: 'llm', isAlone: false });
    const answers = await sendUntilReceived(world, '/draft/', () => child.signalCode !== null);
    for (const answer of answers) assert.deepEqual(idsOf(answer), WHOLE_STREAM);
    assert.ok(answers.every(({ complete }) => complete));
  });

  test('is repeated if it is plain and idempotent', async (t) => {
    const world = await World.start(t, configWith());
    const child = await startServer(t, world, 'killed', { service: 'ledger', isAlone: false });
    const answers = await sendUntilReceived(world, '/look/', () => child.signalCode !== null);
    for (const { status, body } of answers)
      assert.match(`${String(status)} ${body}`, /^200 from p\d$/);
  });

  test('is no success if it is plain and must not be repeated', async (t) => {
    const world = await World.start(t, configWith());
    const child = await startServer(t, world, 'killed', { service: 'ledger', isAlone: true });
    const [answer] = await sendUntilReceived(world, '/book/', () => child.signalCode !== null);
    assert.equal(answer?.status, 502);
  });
});

// Guards against failures of servers that end their responses by closing the connection.
describe('a response without a length whose server closes the connection and stays', () => {
  test('is a complete stream', async (t) => {
    const world = await World.start(t, configWith());
    await startServer(t, world, 'closes', { service: 'llm', isAlone: true });
    const answer = await world.generate('/chat/1');
    assert.deepEqual(idsOf(answer), WHOLE_STREAM);
    assert.ok(answer.complete);
  });

  test('is a complete plain response', async (t) => {
    const world = await World.start(t, configWith());
    await startServer(t, world, 'closes', { service: 'ledger', isAlone: true });
    const { status, body } = await world.call({ path: '/book/1' });
    assert.deepEqual({ status, body }, { status: 200, body: 'the whole body' });
  });
});
