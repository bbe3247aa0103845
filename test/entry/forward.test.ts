import type { AddressInfo } from 'node:net';
import type { TestContext } from 'node:test';
import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { describe, test } from 'node:test';
import { forwardRequest } from '../../packages/router/src/node/entry/forward.js';

// Guards against an answer of another router that ends the process of this one.
describe('a forwarded retry', () => {
  const cases = [
    { status: '200', passed: true, seen: 200 },
    { status: '404', passed: true, seen: 404 },
    { status: '000', passed: false, seen: 503 },
    { status: '099', passed: false, seen: 503 },
    { status: '999', passed: false, seen: 503 },
  ];
  for (const { status, passed, seen } of cases) {
    test(`that is answered ${status} is passed on: ${String(passed)}`, async (t) => {
      const issuer = await listen(
        t,
        createTcpServer((socket) => {
          socket.on('error', () => undefined);
          socket.end(`HTTP/1.1 ${status} x\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok`);
        }),
      );
      const results: boolean[] = [];
      const entry = await listen(
        t,
        createServer((req, res) => {
          const forwarded = forwardRequest(issuer, 'ticket', req, Buffer.alloc(0), res);
          forwarded.then(
            (isPassedOn) => {
              results.push(isPassedOn);
              if (!isPassedOn) res.writeHead(503).end();
            },
            () => res.destroy(),
          );
        }),
      );
      const answer = await fetch(`${entry}/v1/chat/completions`);
      await answer.text();
      assert.equal(answer.status, seen);
      assert.deepEqual(results, [passed]);
    });
  }
});

interface Listener {
  listen(port: number, host: string, done: () => void): unknown;
  address(): AddressInfo | string | null;
  close(): unknown;
}

async function listen(t: TestContext, server: Listener): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.after(() => server.close());
  return `http://127.0.0.1:${String((server.address() as AddressInfo).port)}`;
}
