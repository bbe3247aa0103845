import type { TestContext } from 'node:test';
import type { JournalLine } from '@flamingocourse/core';
import type {
  MeshClientOptions,
  MeshErrorCode,
  MeshServerOptions,
  MeshTarget,
} from '@flamingocourse/mesh';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Kernel } from '@flamingocourse/kernel';
import { MeshClient, MeshServer } from '@flamingocourse/mesh';
import { Result } from 'true-myth';
import { createLink } from '../../packages/lab/src/node/link/index.js';
import { incarnationHeader } from '../../packages/mesh/src/node/meshHeaders.js';

const self = 'dc-a/ruter-1é/0123456789ab';
/** Depth at which a recursive parser overflows its stack. */
const NESTED = 400_000;
const bill: JournalLine = {
  holder: self,
  seq: 1,
  change: {
    type: 'bill',
    bill: {
      holder: self,
      ticket: 1,
      account: 'a',
      workClass: 'c',
      service: 's',
      cost: 3,
      promptTokens: 1,
      completionTokens: 2,
      at: 5,
    },
  },
};

async function startServer(
  t: TestContext,
  options: Partial<MeshServerOptions> = {},
): Promise<{ server: MeshServer; target: MeshTarget }> {
  const server = new MeshServer({ host: '127.0.0.1', port: 0, ...options });
  server.setIncarnationCheck((incarnation) => incarnation === self);
  const kernel = new Kernel().register(server);
  await kernel.start();
  t.after(() => kernel.stop());
  return { server, target: { meshUrl: server.url, incarnation: self } };
}

function createClient(t: TestContext, options: MeshClientOptions = {}): MeshClient {
  const client = new MeshClient(options);
  t.after(() => {
    client.close();
  });
  return client;
}

// Guards against a listener that ends with the process, or stops, after one call whose input is nested very deeply.
for (const where of ['the input', 'a field', 'an unknown field']) {
  test(`a call is refused and the next one answered if ${where} is nested 400,000 deep`, async (t) => {
    const { server, target } = await startServer(t);
    server.handle('keepLines', () => Promise.resolve(Result.ok({ kept: [] })) as never);
    const deep = '['.repeat(NESTED) + ']'.repeat(NESTED);
    const inputs: Record<string, string> = {
      'the input': deep,
      'a field': `{"lines":${deep}}`,
      'an unknown field': `{"lines":[],"more":${deep}}`,
    };
    const post = async (body: string): Promise<number> => {
      const headers = { 'content-type': 'application/json' };
      const res = await fetch(`${target.meshUrl}/keepLines`, { method: 'POST', headers, body });
      return res.status;
    };
    const status = await post(inputs[where] ?? '');
    assert.ok(status === 400 || status === 412, String(status));
    assert.equal(await post('{}'), 400);
  });
}

test('lines arrive as they were sent', async (t) => {
  const { server, target } = await startServer(t);
  const kept: JournalLine[] = [];
  server.handle('keepLines', ({ lines }) => {
    kept.push(...lines);
    return Result.ok('kept');
  });
  server.handle('fenceHolder', () => Promise.resolve(Result.ok({ lines: kept })));
  const client = createClient(t);
  assert.equal((await client.call(target, 'keepLines', { lines: [bill] })).unwrapOr(null), 'kept');
  const fenced = await client.call(target, 'fenceHolder', { holder: self });
  assert.deepEqual(fenced.unwrapOr(null), { lines: [bill] });
});

type Prepare = (server: MeshServer) => void;
const serveRecall: Prepare = (server) => {
  server.handle('recall', ({ amount }) => Result.ok({ amount }));
};

const failures: {
  name: string;
  code: MeshErrorCode;
  prepare?: Prepare;
  server?: Partial<MeshServerOptions>;
  client?: MeshClientOptions;
  to?: string;
  amount?: number;
}[] = [
  {
    name: 'a handler that declines',
    code: 'refused',
    prepare: (server) => {
      server.handle('recall', () => Result.err('nothing idle'));
    },
  },
  {
    name: 'a handler that throws, whose effect is unknown',
    code: 'unreachable',
    prepare: (server) => {
      server.handle('recall', () => {
        throw new Error('half done');
      });
    },
  },
  {
    name: 'a handler that never answers',
    code: 'timeout',
    client: { timeoutMs: 40 },
    prepare: (server) => {
      server.handle('recall', () => new Promise(() => undefined));
    },
  },
  { name: 'a procedure without a handler', code: 'refused' },
  { name: 'an input out of bounds', code: 'invalid', prepare: serveRecall, amount: -1 },
  {
    name: 'a body over the limit',
    code: 'invalid',
    prepare: serveRecall,
    server: { maxBodyBytes: 5 },
  },
  { name: 'a missing secret', code: 'refused', prepare: serveRecall, server: { secret: 's' } },
  {
    name: 'a wrong secret',
    code: 'refused',
    prepare: serveRecall,
    server: { secret: 's' },
    client: { secret: 't' },
  },
  { name: 'a busy server', code: 'refused', prepare: serveRecall, server: { maxConcurrent: 0 } },
  {
    name: 'too many calls to one peer',
    code: 'refused',
    prepare: serveRecall,
    client: { maxPerPeer: 0 },
  },
];

for (const { name, code, prepare, ...options } of failures) {
  test(`${name} gives ${code}`, async (t) => {
    const { server, target } = await startServer(t, options.server);
    prepare?.(server);
    const client = createClient(t, options.client);
    const input = { account: 'a', amount: options.amount ?? 1, forDataCentre: 'dc-a' };
    const result = await client.call(target, 'recall', input);
    assert.ok(result.isErr);
    assert.equal(result.error.code, code, result.error.message);
  });
}

// Guards against a crashed holder that is sealed without its bill: a new process at the address of
// its witness answers instead of the witness.
for (const incarnation of ['dc-a/ruter-1é/ffffffffffff', undefined]) {
  test(`a call meant for ${incarnation ?? 'no stated incarnation'} is refused`, async (t) => {
    const { server, target } = await startServer(t);
    server.handle('fenceHolder', () => Result.ok({ lines: [] }));
    const other = { meshUrl: target.meshUrl, ...(incarnation ? { incarnation } : {}) };
    const result = await createClient(t).call(other, 'fenceHolder', { holder: 'x' });
    assert.ok(result.isErr);
    assert.equal(result.error.code, 'refused');
  });
}

// Guards against a call that fails at its receiver, because the incarnation that it names is malformed.
test('a call to a malformed incarnation is refused as one to another', async (t) => {
  const { server, target } = await startServer(t, {});
  serveRecall(server);
  const statuses = await Promise.all(
    ['other', '%zz'].map(async (incarnation) => {
      const answer = await fetch(new URL('/recall', target.meshUrl), {
        method: 'POST',
        headers: { 'content-type': 'application/json', [incarnationHeader]: incarnation },
        body: JSON.stringify({ account: 'a', amount: 7, forDataCentre: 'dc-a' }),
      });
      return answer.status;
    }),
  );
  assert.equal(statuses[1], statuses[0]);
});

test('a matching secret is accepted', async (t) => {
  const { server, target } = await startServer(t, { secret: 's' });
  serveRecall(server);
  const result = await createClient(t, { secret: 's' }).call(target, 'recall', {
    account: 'a',
    amount: 7,
    forDataCentre: 'dc-a',
  });
  assert.deepEqual(result.unwrapOr(null), { amount: 7 });
});

const cuts = [
  { cut: 'silent', code: 'timeout' },
  { cut: 'reset', code: 'unreachable' },
] as const;

for (const { cut, code } of cuts) {
  test(`a ${cut} cut between data centres gives ${code} until it is healed`, async (t) => {
    const { server, target } = await startServer(t);
    serveRecall(server);
    const { hostname: host, port } = new URL(target.meshUrl);
    const link = await createLink({ target: { host, port: Number(port) } });
    t.after(() => link.close());
    const client = createClient(t, { timeoutMs: 100 });
    const call = (): ReturnType<typeof client.call<'recall'>> =>
      client.call({ ...target, meshUrl: link.url }, 'recall', {
        account: 'a',
        amount: 1,
        forDataCentre: 'dc-a',
      });
    assert.ok((await call()).isOk);
    link.setCut(cut);
    const result = await call();
    assert.equal(result.isErr ? result.error.code : '', code);
    link.setCut('none');
    assert.ok((await call()).isOk);
  });
}
