import type { IncomingMessage } from 'node:http';
import type { FakeServer } from './fakeServer.js';
import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';
import { describe, test } from 'node:test';
import { World } from './world.js';

/** Milliseconds after which a server with an attempt that is never ended counts as silent. */
const SILENT_MS = 1_600;

/** Lets a server answer some requests with nothing but a head. */
function answerOnly(
  server: FakeServer,
  line: string,
  matches: (req: IncomingMessage) => boolean,
): void {
  server.extra = (req) => {
    if (!matches(req)) return '';
    server.behaviour = 'silent';
    const own = `X-Request-Id: ${String(req.headers['x-request-id'])}\r\nX-Response-Signature: s\r\n`;
    return `HTTP/1.1 ${line}\r\n${own}Content-Length: 0\r\n\r\n`;
  };
}

const isResumed = ({ headers }: IncomingMessage): boolean => headers['last-event-id'] !== undefined;

// Guards against an attempt that is never ended: its server looks silent whenever few requests come, for as long as
// the instance runs.
describe('an answer that can not be passed on leaves no attempt behind', () => {
  const cases = [
    { name: 'a failure of a stream that goes on', path: '/draft/1', line: '500 No' },
    { name: 'a time limit of a stream that goes on', path: '/draft/1', line: '504 No' },
    { name: 'a 404 for a stream that goes on', path: '/draft/1', line: '404 No' },
    { name: 'a redirect of a stream that goes on', path: '/draft/1', line: '302 No' },
    { name: 'a status below 100', path: '/book/1', line: '042 What' },
    { name: 'a status of three zeros', path: '/look/1', line: '000 What' },
  ];
  for (const { name, path, line } of cases) {
    test(name, async (t) => {
      const world = await World.start(t);
      world.behave('e', 'break-stream');
      const isStream = path.startsWith('/draft/');
      for (const server of world.servers) {
        answerOnly(server, line, (req) => !isStream || isResumed(req));
      }
      const answer = await world.generate(path);
      assert.ok(!answer.complete || answer.status >= 500, 'it looks complete');
      assert.ok(![429, 503].includes(answer.status), 'it ran');
      for (const server of world.servers) server.extra = () => '';
      await delay(SILENT_MS);
      assert.ok(!world.events.includes('server-silent'));
      assert.ok(!world.events.includes('service-failed'));
      world.behave('e', 'stream');
      world.behave('p', 'answer');
      assert.equal((await world.generate('/draft/2')).status, 200);
      assert.equal((await world.call({ path: '/book/2' })).status, 200);
    });
  }
});
