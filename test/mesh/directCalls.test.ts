import type { TestContext } from 'node:test';
import type { FollowRequest } from '@flamingocourse/core';
import type { MeshErrorCode, MeshServerOptions } from '@flamingocourse/mesh';
import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { describe, test } from 'node:test';
import { Kernel } from '@flamingocourse/kernel';
import { MeshClient, MeshServer } from '@flamingocourse/mesh';
import { Result } from 'true-myth';
import type { AddressInfo } from 'node:net';

const question = { positions: { servers: '7' }, waitMs: 10 };

async function startServer(
  t: TestContext,
  options: Partial<MeshServerOptions> = {},
): Promise<MeshServer> {
  const server = new MeshServer({ host: '127.0.0.1', port: 0, ...options });
  const kernel = new Kernel().register(server);
  await kernel.start();
  t.after(() => kernel.stop());
  return server;
}

function createClient(t: TestContext, secret?: string): MeshClient {
  const client = new MeshClient({ secret, timeoutMs: 200 });
  t.after(() => {
    client.close();
  });
  return client;
}

describe('a direct call', () => {
  test('gets the answer of the handler', async (t) => {
    const server = await startServer(t);
    const answer = { collections: { servers: 'ask-store' as const }, heldMs: 3 };
    server.handle('followStore', (request) => {
      assert.deepEqual(request, question);
      return Result.ok(answer);
    });
    const got = await createClient(t).callDirect({ meshUrl: server.url }, 'followStore', question);
    assert.deepEqual(got.isOk && got.value, answer);
  });

  // Guards against an error that says nothing, or that hides whether the peer answered.
  const cases: {
    name: string;
    code: MeshErrorCode;
    options?: Partial<MeshServerOptions>;
    input?: FollowRequest;
    prepare?: (server: MeshServer) => void;
  }[] = [
    { name: 'without a handler', code: 'refused' },
    {
      name: 'that the handler refuses',
      code: 'refused',
      prepare: (server) => {
        server.handle('followStore', () => Result.err('not now'));
      },
    },
    {
      name: 'whose handler throws',
      code: 'unreachable',
      prepare: (server) => {
        server.handle('followStore', () => {
          throw new Error('fault');
        });
      },
    },
    {
      name: 'whose handler does not end',
      code: 'timeout',
      prepare: (server) => {
        server.handle('followStore', () => new Promise(() => undefined));
      },
    },
    { name: 'without the secret', code: 'refused', options: { secret: 'of the fleet' } },
    { name: 'above the limit of calls', code: 'refused', options: { maxConcurrent: 0 } },
    {
      name: 'with a version that is no number',
      code: 'invalid',
      input: { positions: { servers: 'x' }, waitMs: 1 },
    },
    {
      name: 'with too long an input',
      code: 'invalid',
      input: { positions: { ['a'.repeat(20_000)]: '7' }, waitMs: 1 },
    },
  ];
  for (const { name, code, options, input = question, prepare } of cases) {
    test(`${name} ends with ${code}`, async (t) => {
      const server = await startServer(t, options);
      prepare?.(server);
      const target = { meshUrl: server.url };
      const answer = await createClient(t).callDirect(target, 'followStore', input);
      assert.equal(answer.isErr && answer.error.code, code);
    });
  }

  test('to a process that answers no JSON ends with unreachable', async (t) => {
    const server = createServer((_req, res) => res.end('<html>'));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    t.after(() => {
      server.close();
      server.closeAllConnections();
    });
    const { port } = server.address() as AddressInfo;
    const meshUrl = `http://127.0.0.1:${String(port)}`;
    const answer = await createClient(t).callDirect({ meshUrl }, 'followStore', question);
    assert.equal(answer.isErr && answer.error.code, 'unreachable');
  });

  test('beyond the limit of calls to a peer is not sent', async (t) => {
    const server = await startServer(t);
    server.handle('followStore', () => new Promise(() => undefined));
    const client = new MeshClient({ timeoutMs: 200, maxPerPeer: 1 });
    t.after(() => {
      client.close();
    });
    const target = { meshUrl: server.url };
    const first = client.callDirect(target, 'followStore', question);
    const second = await client.callDirect(target, 'followStore', question);
    assert.equal(second.isErr && second.error.code, 'refused');
    const waited = await first;
    assert.equal(waited.isErr && waited.error.code, 'timeout');
    const third = await client.callDirect(target, 'followStore', question);
    assert.equal(third.isErr && third.error.code, 'timeout');
  });

  test('with the secret is served', async (t) => {
    const server = await startServer(t, { secret: 'of the fleet' });
    server.handle('followStore', () => Result.ok({ collections: {}, heldMs: 0 }));
    const client = createClient(t, 'of the fleet');
    const answer = await client.callDirect({ meshUrl: server.url }, 'followStore', question);
    assert.equal(answer.isOk, true);
  });
});
