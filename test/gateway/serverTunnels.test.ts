import type { IncomingMessage } from 'node:http';
import type { TestContext } from 'node:test';
import type { Ends } from './tunnelWorld.js';
import assert from 'node:assert/strict';
import { fork } from 'node:child_process';
import { randomBytes } from 'node:crypto';
import { once } from 'node:events';
import { request } from 'node:http';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { MeshClient } from '@flamingocourse/mesh';
import { MAX_TUNNELS } from '../../packages/gateway/src/node/serverTunnels.js';
import { World, until } from '../platform/world.js';
import { startHangingServer } from './hangingServer.js';
import { digestOf, receive } from './socketFixtures.js';
import { TunnelWorld } from './tunnelWorld.js';

const MB = 1024 * 1024;

/** The ends of a tunnel, named by direction. */
const directions: { name: string; from: keyof Ends; to: keyof Ends }[] = [
  { name: 'from the caller to the server', from: 'caller', to: 'server' },
  { name: 'from the server to the caller', from: 'server', to: 'caller' },
];

async function openOne(t: TestContext): Promise<{ world: TunnelWorld; ends: Ends }> {
  const world = await TunnelWorld.start(t);
  await world.addServer('s1');
  return { world, ends: await world.open('s1') };
}

for (const { name, from, to } of directions) {
  // Guards against bytes that are lost, repeated or reordered.
  test(`a tunnel carries some MB whole ${name}`, async (t) => {
    const { ends } = await openOne(t);
    const bytes = randomBytes(8 * MB);
    const received = receive(ends[to]);
    ends[from].end(bytes);
    await until('ended', () => received.end === 'ended');
    assert.equal(received.digest(), digestOf(bytes));
  });

  // Guards against a slow reader who makes this instance buffer a whole transfer.
  test(`a slow reader bounds the memory of a transfer ${name}`, async (t) => {
    const { ends } = await openOne(t);
    const chunk = randomBytes(MB);
    let sent = 0;
    for (let chunks = 0; chunks < 64; chunks += 1) {
      ends[from].write(chunk, () => (sent += chunk.length));
    }
    ends[to].pause();
    await delay(300);
    // what the buffers of the operating system hold on the way.
    assert.ok(sent < 32 * MB, `${String(sent)} bytes were taken without a reader`);
    const received = receive(ends[to]);
    ends[to].resume();
    await until('all have arrived', () => received.bytes === 64 * MB);
  });

  // Guards against an end of one direction that ends the other one too.
  test(`after a half-close ${name} the other direction still carries bytes`, async (t) => {
    const { ends } = await openOne(t);
    const received = { from: receive(ends[from]), to: receive(ends[to]) };
    ends[from].end('last');
    await until('half-closed', () => received.to.end === 'ended');
    ends[to].end('answer');
    await until('closed', () => received.from.end === 'ended');
    assert.deepEqual([received.to.bytes, received.from.bytes], [4, 6]);
  });

  // Guards against a broken response without a length that looks complete.
  test(`a reset is passed on as a reset ${name}`, async (t) => {
    const { world, ends } = await openOne(t);
    const received = receive(ends[to]);
    ends[from].write('begun');
    await until('begun', () => received.bytes === 5);
    ends[from].resetAndDestroy();
    await until('over', () => received.end !== 'open');
    assert.equal(received.end, 'reset');
    await until('closed', () => world.tunnels.open === 0);
  });

  // Guards against a reset that is read as an orderly end because reading was paused when it came.
  test(`a reset behind unread bytes is passed on as a reset ${name}`, async (t) => {
    const { ends } = await openOne(t);
    ends[to].pause();
    ends[from].write(randomBytes(20 * MB));
    await delay(200);
    ends[from].resetAndDestroy();
    await delay(50);
    const received = receive(ends[to]);
    ends[to].resume();
    await until('over', () => received.end !== 'open');
    assert.equal(received.end, 'reset');
  });
}

// Guards against servers that go on working for a caller who has left.
test('a caller who leaves is seen by the server at once', async (t) => {
  const { world, ends: first } = await openOne(t);
  const timesMs: number[] = [];
  for (let ends = first; timesMs.length < 9; ends = await world.open('s1')) {
    const ended = once(ends.server.resume(), 'end');
    const from = performance.now();
    ends.caller.destroy();
    await ended;
    timesMs.push(performance.now() - from);
  }
  // the machine may be busy, but not each time.
  assert.ok(Math.min(...timesMs) < 2, `seen after ${timesMs.join(', ')} ms`);
});

// Guards against a server that streams on to a caller who has left.
test('a caller who leaves in the middle of an answer resets the connection of the server', async (t) => {
  const { world, ends } = await openOne(t);
  const received = receive(ends.server);
  const stream = setInterval(() => ends.server.write('event'), 1);
  t.after(() => {
    clearInterval(stream);
  });
  await once(ends.caller, 'data');
  ends.caller.destroy();
  await until('reset', () => received.end === 'reset');
  await until('closed', () => world.tunnels.open === 0);
});

/** Requests for a tunnel that get none, by what the server or this instance is like. */
const refusals: {
  name: string;
  prepare: (world: TunnelWorld, t: TestContext) => Promise<void> | void;
  refusal: string;
  reason: string;
}[] = [
  {
    name: 'to a server that is not listed',
    prepare: () => undefined,
    refusal: 'not-listed',
    reason: 'not-listed',
  },
  {
    name: 'to a server that is leaving',
    prepare: (world) => {
      world.list('s1', 'http://127.0.0.1:1', 'leaving');
    },
    refusal: 'not-listed',
    reason: 'leaving',
  },
  {
    name: 'to a server that refuses connections',
    prepare: (world) => {
      world.list('s1', 'http://127.0.0.1:1');
    },
    refusal: 'server-refused',
    reason: 'connect-refused',
  },
  {
    name: 'to a server that does not accept connections',
    prepare: async (world, t) => {
      world.list('s1', await startHangingServer(t));
    },
    refusal: 'server-unreachable',
    reason: 'connect-timeout',
  },
  {
    name: 'through an instance that is stopping',
    prepare: async (world) => {
      await world.addServer('s1');
      world.tunnels.beginStop();
    },
    refusal: 'unavailable',
    reason: 'stopping',
  },
  {
    name: 'through an instance that has no room',
    prepare: async (world) => {
      await world.addServer('s1');
      for (let opened = 0; opened < MAX_TUNNELS; opened += 1) await world.open('s1');
    },
    refusal: 'unavailable',
    reason: 'no-room',
  },
];
for (const { name, prepare, refusal, reason } of refusals) {
  // Guards against refusals that don't tell the caller whether another instance can help.
  test(`a tunnel ${name} is refused with its reason, and logged once`, async (t) => {
    const world = await TunnelWorld.start(t);
    await prepare(world, t);
    const { open } = world.tunnels;
    const asked = await Promise.all([world.ask('s1'), world.ask('s1'), world.ask('s1')]);
    const refused = asked.map((tunnel) => (tunnel.isErr ? tunnel.error.refusal : undefined));
    assert.deepEqual(refused, [refusal, refusal, refusal]);
    const lines = world.lines('tunnel-refused');
    assert.deepEqual(lines, [{ server: 's1', reason, open }]);
    const metrics = await world.context.metrics.text();
    assert.match(metrics, new RegExp(`tunnels_refused_total\\{reason="${reason}"\\} 3`));
    await until('refused ones are closed', () => world.tunnels.open === open);
  });
}

// Guards against log lines for each tunnel, and against numbers that miss some.
test('the first and the last tunnel to a server are logged, and all are counted', async (t) => {
  const { world, ends } = await openOne(t);
  const second = await world.open('s1');
  for (const { caller, server } of [ends, second]) {
    server.resume();
    caller.resume();
    caller.end('abc');
    server.end('de');
  }
  await until('closed', () => world.lines('tunnels-closed').length > 0);
  assert.deepEqual(world.lines('tunnels-opened'), [{ server: 's1' }]);
  assert.deepEqual(world.lines('tunnels-closed'), [{ server: 's1', opened: 2, bytes: 10 }]);
  const metrics = await world.context.metrics.text();
  assert.match(metrics, /tunnels_opened_total 2\n/);
  assert.match(metrics, /tunnel_bytes_total 10\n/);
  assert.match(metrics, /tunnels_open 0\n/);
});

// Guards against a stop that cuts the answers of requests that are about to end.
test('a stop waits for open tunnels', async (t) => {
  const { world, ends } = await openOne(t);
  const received = receive(ends.caller);
  world.tunnels.beginStop(10_000);
  const stopped = world.stop();
  await delay(100);
  ends.server.resume().end('answer');
  await until('ended', () => received.end === 'ended');
  ends.caller.end();
  await stopped;
  assert.equal(received.bytes, 6);
});

// Guards against a stop that waits for a tunnel without end, and against an answer that it cuts and that looks complete.
test('a stop resets the tunnels that are open at its end', async (t) => {
  const { world, ends } = await openOne(t);
  const received = [receive(ends.caller), receive(ends.server)];
  world.tunnels.beginStop(900);
  await world.stop();
  await until('reset', () => received.every(({ end }) => end === 'reset'));
});

// Guards against connections to servers for callers who have given up.
test('a caller who leaves while the server is connected to gets no tunnel', async (t) => {
  const world = await TunnelWorld.start(t);
  world.list('s1', await startHangingServer(t));
  const options = { peerUrl: world.mesh.url, target: 's1', timeoutMs: 30 };
  const asked = await world.client.openTunnel(options);
  assert.equal(asked.isErr && asked.error.code, 'timeout');
  await until('given up', () => world.tunnels.open === 0);
  assert.deepEqual(world.lines('tunnel-refused'), []);
});

// Guards against requests that wait for a peer that has ended, and servers that work on for it.
test('the end of the process of the peer ends the tunnel on both sides', async (t) => {
  const world = await TunnelWorld.start(t);
  const serverUrl = await world.addServer('s1');
  const entry = new URL('tunnelPeerProcess.ts', import.meta.url);
  const peer = fork(entry, [serverUrl]);
  t.after(() => peer.kill('SIGKILL'));
  const [peerUrl] = (await once(peer, 'message')) as [string];
  const ends = await world.open('s1', peerUrl);
  const received = [receive(ends.caller), receive(ends.server)];
  ends.server.write('begun');
  await until('begun', () => received[0]?.bytes === 5);
  const from = performance.now();
  peer.kill('SIGKILL');
  await until('over', () => received.every(({ end }) => end !== 'open'));
  assert.ok(performance.now() - from < 1_000);
});

// Guards against a gateway that does not open tunnels, or that opens them while it stops.
test('a gateway with a mesh listener opens tunnels to its servers until it stops', async (t) => {
  const world = await World.start(t, undefined, { mesh: true });
  const client = new MeshClient();
  const { port = 0 } = world.settings?.listen.mesh ?? {};
  const peerUrl = `http://127.0.0.1:${String(port)}`;
  const ask = (): ReturnType<MeshClient['openTunnel']> =>
    client.openTunnel({ peerUrl, target: 'p1', timeoutMs: 2_000 });
  const tunnel = await ask();
  if (tunnel.isErr) throw tunnel.error;
  const socket = tunnel.value;
  const req = request({ path: '/health', createConnection: () => socket });
  const [res] = (await once(req.end(), 'response')) as [IncomingMessage];
  res.resume();
  assert.equal(res.statusCode, 200);
  const stopped = world.stop();
  const refused = await ask();
  assert.equal(refused.isErr && refused.error.refusal, 'unavailable');
  socket.destroy();
  await stopped;
  assert.ok(world.events.includes('tunnels-closed'));
});

// Guards against requests that reach an evacuated data centre through an instance that knows of it.
test('a tunnel to an evacuated data centre is refused', async (t) => {
  const world = await TunnelWorld.start(t);
  await world.addServer('s1');
  world.context.rules.evacuations.begin('hall-a', 0);
  const refused = await world.ask('s1');
  assert.equal(refused.isErr && refused.error.refusal, 'not-listed');
});

// Guards against further requests through a tunnel that was open when its data centre was evacuated.
test('an open tunnel to an evacuated data centre ends its answer and takes no request', async (t) => {
  const { world, ends } = await openOne(t);
  const atServer = receive(ends.server);
  const atCaller = receive(ends.caller);
  ends.caller.write('first request');
  await until('arrived', () => atServer.bytes === 13);
  world.context.rules.evacuations.begin('hall-a', 0);
  ends.server.write('its answer');
  await until('answered', () => atCaller.bytes === 10);
  ends.caller.write('second request');
  await until('closed', () => atCaller.end !== 'open');
  assert.equal(atServer.bytes, 13);
});
