/** Real processes of instances with the memory of the smallest machine, beside faulty servers and callers. */

import type { TestContext } from 'node:test';
import { execFileSync, fork } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { mkdtemp, rm } from 'node:fs/promises';
import { request } from 'node:http';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { findFreePorts } from '../../packages/lab/src/node/freePorts.js';
import { PORTS_PER_INSTANCE, settingsOf, untilReady } from '../soak/soakFleet.js';
import { SoakProcess } from '../soak/soakProcess.js';
import { FakeServer } from './fakeServer.js';
import { FakeStore } from './fakeStore.js';
import { HOST, KEY, configWith, until } from './world.js';

/** Memory of the smallest instance, in bytes. */
export const MAX_INSTANCE_BYTES = 160 * 1024 * 1024;
/** Flags of the run command of the product. */
const NODE_FLAGS = ['--max-old-space-size=64'];
/** Milliseconds between two sound requests beside the faulty ones. */
const SOUND_INTERVAL_MS = 50;
/** Time limit of the routes, in milliseconds. */
export const ROUTE_MS = 1_500;
/** Requests in progress that a faulty server accepts. */
const FLOOD_SLOTS = 200;
const ROUTE = { hostname: HOST, timeout_ms: ROUTE_MS, priority: 1, public: true };

/** How the sound requests of a test ended. */
export interface SoundResults {
  statuses: number[];
  worstMs: number;
}

/** Largest resident set that a process has had, in bytes. */
export function peakMemory(pid: number): number {
  const status = readFileSync(`/proc/${String(pid)}/status`, 'utf8');
  return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) * 1024;
}

let isBundled = false;

function bundleOnce(): void {
  if (!isBundled) execFileSync(process.execPath, ['scripts/bundle.mjs'], { stdio: 'pipe' });
  isBundled = true;
}

/** What a fleet has different from the usual one. */
export interface FleetChange {
  /** Time limit of the routes, in milliseconds. */
  routeMs?: number;
  /** Settings of the first instance that replace others. */
  settings?: object;
}

/** Instances as processes, a store, sound servers and faulty ones. */
export class MemoryFleet {
  readonly instances: SoakProcess[] = [];
  /** Sound requests that were repeated because their connection was closed unread. */
  repeated = 0;

  private constructor(
    readonly store: FakeStore,
    readonly directory: string,
  ) {}

  /** Starts a store with a service of sound servers and one instance. */
  static async start(
    t: TestContext,
    limits: object = {},
    { routeMs = ROUTE_MS, settings = {} }: FleetChange = {},
  ): Promise<MemoryFleet> {
    bundleOnce();
    const directory = await mkdtemp(join(tmpdir(), 'memory-'));
    const fleet = new MemoryFleet(await new FakeStore().listen(t), directory);
    const { services } = configWith() as { services: object[] };
    const route = { ...ROUTE, timeout_ms: routeMs };
    const routes = [
      { ...route, name: 'sound', path_prefix: '/sound/', kind: 'idempotent', service: 'sound' },
      { ...route, name: 'book', path_prefix: '/book/', kind: 'non_idempotent', service: 'ledger' },
      { ...route, name: 'chat', path_prefix: '/chat/', kind: 'streaming', service: 'llm' },
      {
        ...route,
        name: 'draft',
        path_prefix: '/draft/',
        kind: 'streaming',
        resume_streams: true,
        service: 'llm',
      },
    ];
    const sound = { name: 'sound', health_path: '/health' };
    const change = { routes, services: [...services, sound], limits };
    fleet.store.put('config', 'main', configWith(change));
    for (const id of ['s1', 's2']) {
      const server = await new FakeServer(id).listen(t);
      fleet.store.put('servers', id, server.entry('sound', { slots: FLOOD_SLOTS }));
    }
    await fleet.add(t, settings);
    t.after(async () => {
      for (const instance of fleet.instances) await instance.end('SIGKILL');
      await rm(directory, { recursive: true });
    });
    return fleet;
  }

  /** Starts a further instance. */
  async add(t: TestContext, change: object = {}): Promise<SoakProcess> {
    const ports = await findFreePorts(PORTS_PER_INSTANCE);
    const at = this.instances.length;
    const settings = { ...settingsOf(ports, this.store.url, at, 1), ...change };
    const instance = new SoakProcess(`edge-${String(at + 1)}`, this.directory, settings);
    instance.nodeFlags = NODE_FLAGS;
    this.instances.push(instance);
    await instance.start();
    await untilReady(instance);
    return instance;
  }

  /** Starts faulty servers of a service; `checkFlood` answers health checks and states. */
  async addFaulty(
    t: TestContext,
    service: string,
    { count = 2, checkFlood = 'none', entry = {} } = {},
  ): Promise<number[]> {
    const ports: number[] = [];
    for (let at = 0; at < count; at += 1) {
      const child = fork(new URL('floodServerProcess.ts', import.meta.url), [checkFlood]);
      t.after(() => child.kill('SIGKILL'));
      const [port] = (await once(child, 'message')) as [number];
      ports.push(port);
      this.store.put('servers', `f-${service}-${String(at)}`, {
        service,
        address: `127.0.0.1:${String(port)}`,
        zone: 'hall-a',
        version: 'v1',
        slots: FLOOD_SLOTS,
        state: 'ready',
        seq: 1,
        ...entry,
      });
    }
    await until('the servers are known', () => {
      return this.instances.every(({ output }) => {
        const last = output.split('\n').findLast((line) => line.includes('servers-changed'));
        return last?.includes(`"servers":${String(this.store.names('servers').length)}`) ?? false;
      });
    });
    return ports;
  }

  /** Repeats a request whose connection was closed unread, as callers do, within its time limit. */
  async #callUntilRead(port: number, id: string): Promise<{ status: number; tookMs: number }> {
    const startedAt = performance.now();
    for (;;) {
      const { status } = await call(port, { path: '/sound/1', id });
      const tookMs = performance.now() - startedAt;
      if (status !== 0 || tookMs >= ROUTE_MS) return { status, tookMs };
      this.repeated += 1;
    }
  }

  /** Sends sound requests until the signal is aborted. */
  async callSound(signal: AbortSignal, instance = this.instances[0]): Promise<SoundResults> {
    const calls: Promise<{ status: number; tookMs: number }>[] = [];
    for (let at = 0; !signal.aborted; at += 1) {
      calls.push(this.#callUntilRead(instance?.port ?? 0, `sound-${String(at)}`));
      await delay(SOUND_INTERVAL_MS);
    }
    const ended = await Promise.all(calls);
    return {
      statuses: ended.map(({ status }) => status),
      worstMs: Math.max(...ended.map(({ tookMs }) => tookMs)),
    };
  }
}

/** A request whose response is read and discarded. */
export interface Discarded {
  path: string;
  id: string;
  flood?: string;
  /** Whether the caller reads the body of the response. @default true */
  reads?: boolean;
}

/** Sends a request; the status is 0 when the connection ended without a response. */
export function call(
  port: number,
  { path, id, flood, reads = true }: Discarded,
): Promise<{ status: number; tookMs: number; bytes: number; complete: boolean }> {
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const headers = {
      host: HOST,
      'x-request-id': id,
      'x-deadline-ms': String(ROUTE_MS),
      authorization: `Token ${KEY}`,
      ...(flood === undefined ? {} : { 'x-flood': flood }),
    };
    const options = { host: '127.0.0.1', port, path, method: 'POST', headers, agent: false };
    const req = request(options, (res) => {
      let bytes = 0;
      if (reads) res.on('data', (chunk: Buffer) => (bytes += chunk.length));
      res.on('error', () => undefined);
      res.on('close', () => {
        const { statusCode: status = 0, complete } = res;
        resolve({ status, tookMs: performance.now() - sentAt, bytes, complete });
      });
    });
    req.on('error', () => {
      resolve({ status: 0, tookMs: performance.now() - sentAt, bytes: 0, complete: false });
    });
    req.end('x=1');
  });
}

/** A request whose body is written as it is, as far as the instance reads it. */
export interface RawBody {
  port: number;
  id: string;
  /** Header that says how the body ends. */
  framing: string;
  unit: Buffer;
  /** Bytes after which the caller stops sending. */
  totalBytes: number;
}

/** Sends a request with such a body; resolves at the first response or when the connection ends. */
export function callRaw(raw: RawBody): Promise<{ status: number; tookMs: number }> {
  const { port, id, framing, unit, totalBytes } = raw;
  const startedAt = performance.now();
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    const end = (status: number): void => {
      resolve({ status, tookMs: performance.now() - startedAt });
      socket.destroy();
    };
    socket.on('error', () => undefined);
    socket.on('close', () => {
      end(0);
    });
    socket.on('data', (chunk: Buffer) => {
      end(Number(/^HTTP\/1.1 (\d{3})/.exec(chunk.toString())?.[1] ?? 0));
    });
    let bytes = 0;
    const send = (): void => {
      if (socket.destroyed || bytes >= totalBytes) return;
      bytes += unit.length;
      socket.write(unit, () => setImmediate(send));
    };
    const head = [
      `POST /sound/1 HTTP/1.1`,
      `Host: ${HOST}`,
      `X-Request-Id: ${id}`,
      `X-Deadline-Ms: ${String(ROUTE_MS)}`,
      `Authorization: Token ${KEY}`,
      framing,
    ];
    socket.write(`${head.join('\r\n')}\r\n\r\n`, send);
  });
}
