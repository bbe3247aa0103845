/** One gateway on the platform, with a fake store and fake backend servers. */

import type { TestContext } from 'node:test';
import type { FleetConditions, GatewaySettings } from '@flamingocourse/gateway';
import type { IncomingHttpHeaders } from 'node:http';
import { once } from 'node:events';
import { request } from 'node:http';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { createGateway, parseGatewaySettings } from '@flamingocourse/gateway';
import { MemoryEventLog, MonotonicClock } from '@flamingocourse/kernel';
import { createPlatformDialects } from '@flamingocourse/platform-adapter';
import { findFreePorts } from '../../packages/lab/src/node/freePorts.js';
import { FakeServer } from './fakeServer.js';
import { FakeStore } from './fakeStore.js';

export const HOST = 'shop.example';
export const KEY = 'key-of-kirk';

/** An instance that has just started has no part of the slack, and these tests are about other things. */
const ENOUGH_RETRIES = { ratio: 10 };

const route = {
  hostname: HOST,
  timeout_ms: 1_500,
  target_latency_ms: 200,
  priority: 1,
  max_attempts: 1,
  public: false,
};

/** Configuration with a route of each kind. */
export function configWith(change: Record<string, unknown> = {}): Record<string, unknown> {
  return {
    version: 7,
    routes: [
      {
        ...route,
        name: 'look',
        path_prefix: '/look/',
        kind: 'idempotent',
        max_attempts: 2,
        service: 'ledger',
      },
      { ...route, name: 'book', path_prefix: '/book/', kind: 'non_idempotent', service: 'ledger' },
      { ...route, name: 'chat', path_prefix: '/chat/', kind: 'streaming', service: 'llm' },
      {
        ...route,
        name: 'draft',
        path_prefix: '/draft/',
        kind: 'streaming',
        resume_streams: true,
        max_attempts: 2,
        service: 'llm',
      },
    ],
    services: [
      { name: 'ledger', health_path: '/health', max_connections: 100 },
      {
        name: 'llm',
        health_path: '/health',
        max_connections: 100,
        engine: { slots: 4, stride: 3, moves: true, kv_capacity_tokens: 1_000_000 },
      },
    ],
    limits: { max_body_bytes: 1_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: 'kirk', api_keys: [KEY], prepaid: 100_000 }],
    ...change,
  };
}

export interface Answer {
  /** 0 when the connection ended without an answer. */
  status: number;
  headers: IncomingHttpHeaders;
  body: string;
  /** Whether the answer was framed as complete. */
  complete: boolean;
}

export interface Call {
  path: string;
  method?: string;
  headers?: Record<string, string>;
  body?: string;
  /** Milliseconds after which the caller disconnects. */
  leaveMs?: number;
}

/** Settings of a gateway that differ from those of the other tests. */
export interface SettingsChange {
  store?: Partial<GatewaySettings['store']>;
  prepaid?: Partial<GatewaySettings['prepaid']>;
  retries?: Partial<GatewaySettings['retries']>;
  /** Whether the instance serves its peers. */
  mesh?: boolean;
  dataCentre?: string;
  regions?: Record<string, string>;
  evacuation?: { applyMs: number };
  coldServers?: { overshoot: number; slack: number };
  terms?: readonly string[];
  conditions?: FleetConditions;
}

export class World {
  readonly log = new MemoryEventLog();
  #entryPort = 0;
  #readyPort = 0;
  #metricsPort = 0;
  #calls = 0;

  private constructor(
    readonly instance: string,
    readonly store: FakeStore,
    readonly servers: FakeServer[],
  ) {}

  /** Starts store, servers (two plain, two engines) and gateway, and waits until it is ready. */
  static async start(
    t: TestContext,
    config = configWith(),
    change: SettingsChange = {},
  ): Promise<World> {
    const store = await new FakeStore().listen(t);
    const servers = await Promise.all(
      ['p1', 'p2', 'e1', 'e2'].map((id) => new FakeServer(id).listen(t)),
    );
    for (const server of servers) {
      store.put('servers', server.id, server.entry(server.id.startsWith('p') ? 'ledger' : 'llm'));
    }
    store.put('config', 'main', config);
    const world = new World('edge-1', store, servers);
    await world.#startGateway(t, change);
    return world;
  }

  /** Starts another gateway with the same store and servers. */
  async join(t: TestContext, instance: string, change: SettingsChange = {}): Promise<World> {
    const world = new World(instance, this.store, this.servers);
    await world.#startGateway(t, change);
    return world;
  }

  /** Waits until each instance of a fleet knows all others. */
  async allKnow(fleet: readonly World[]): Promise<void> {
    await until('all know of each other', () =>
      fleet.every(({ log }) => {
        const last = log.events.findLast(({ event }) => event === 'instances-changed');
        return last?.fields.instances === fleet.length;
      }),
    );
  }

  server(id: string): FakeServer {
    const found = this.servers.find((server) => server.id === id);
    if (!found) throw new RangeError(`no server ${id}`);
    return found;
  }

  /** Requests that reached the plain servers (`p`) or the engines (`e`). */
  seen(kind: 'p' | 'e'): FakeServer['seen'] {
    return this.servers.filter(({ id }) => id.startsWith(kind)).flatMap((server) => server.seen);
  }

  /** Port on which the gateway accepts callers. */
  get entryPort(): number {
    return this.#entryPort;
  }

  /** Names of the logged events. */
  get events(): string[] {
    return this.log.events.map(({ event }) => event);
  }

  behave(kind: 'p' | 'e', behaviour: FakeServer['behaviour']): void {
    for (const server of this.servers) if (server.id.startsWith(kind)) server.behaviour = behaviour;
  }

  async ready(): Promise<number> {
    return (await send(this.#readyPort, { path: '/api/ready', method: 'GET' })).status;
  }

  async metrics(): Promise<string> {
    return (await send(this.#metricsPort, { path: '/metrics', method: 'GET' })).body;
  }

  /** Sends a request as a caller of the platform would. */
  call(call: Call): Promise<Answer> {
    this.#calls += 1;
    const headers = {
      host: HOST,
      'x-request-id': `r-${String(this.#calls)}`,
      'x-deadline-ms': '1200',
      authorization: `Token ${KEY}`,
      ...call.headers,
    };
    return send(this.#entryPort, { method: 'POST', body: 'x=1', ...call, headers });
  }

  /** Sends a complete request and closes its connection before the gateway can read any of it. */
  async sendAndLeave(path: string): Promise<void> {
    (await this.sendOpen(path)).destroy();
  }

  /** Sends a complete request on its own connection, which the test may close at any time. */
  async sendOpen(path: string, headers: Record<string, string> = {}): Promise<Socket> {
    this.#calls += 1;
    const socket = connect(this.#entryPort, '127.0.0.1');
    await once(socket, 'connect');
    const head = [
      `POST ${path} HTTP/1.1`,
      `Host: ${HOST}`,
      `X-Request-Id: r-${String(this.#calls)}`,
      'X-Deadline-Ms: 1200',
      `Authorization: Token ${KEY}`,
      'Content-Length: 3',
      ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    ];
    socket.write(`${head.join('\r\n')}\r\n\r\nx=1`);
    return socket;
  }

  /** Number of requests that ended with this outcome. */
  ended(outcome: string): number {
    return this.log.events.filter(({ event, fields }) => {
      return event === 'request-ended' && fields.outcome === outcome;
    }).length;
  }

  /** Sends a generation request with this number of prompt tokens and at most 80 output tokens. */
  generate(path: string, prompt = 1_000, headers: Record<string, string> = {}): Promise<Answer> {
    return this.call({
      path,
      headers: {
        'x-model': 'm',
        'x-token-usage': `${String(prompt)},80`,
        'x-prompt-prefix': 'a1:300,b2:500,c3:200',
        ...headers,
      },
    });
  }

  async #startGateway(t: TestContext, change: SettingsChange): Promise<void> {
    const [entry, ready, metrics, mesh] = await findFreePorts(4);
    this.#entryPort = entry ?? 0;
    this.#readyPort = ready ?? 0;
    this.#metricsPort = metrics ?? 0;
    const settings = parseGatewaySettings(
      JSON.stringify({
        instance: this.instance,
        dataCentre: change.dataCentre ?? 'hall-a',
        listen: {
          entry: `127.0.0.1:${String(entry)}`,
          ready: `127.0.0.1:${String(ready)}`,
          metrics: `127.0.0.1:${String(metrics)}`,
          ...(change.mesh ? { mesh: `127.0.0.1:${String(mesh)}` } : {}),
        },
        store: {
          url: this.store.url,
          timeoutMs: 300,
          watchIdleMs: 900,
          configurationIdleMs: 900,
          ...change.store,
        },
        prepaid: { reportMs: 100, ...change.prepaid },
        retries: { ratio: 0.2, slack: 54, windowMs: 10_000 },
        ...(change.terms ? { terms: change.terms } : {}),
        ...(change.regions ? { regions: change.regions } : {}),
        ...(change.coldServers ? { coldServers: change.coldServers } : {}),
        ...(change.evacuation ? { evacuation: change.evacuation } : {}),
        stopGraceMs: 4_000,
      }),
      'test.jsonc',
    );
    if (settings.isErr) throw new Error(settings.error);
    Object.assign(settings.value.retries, ENOUGH_RETRIES, change.retries);
    const gateway = createGateway({
      settings: settings.value,
      dialects: createPlatformDialects(),
      clock: new MonotonicClock(),
      log: this.log,
      random: Math.random,
      ...(change.conditions ? { conditions: change.conditions } : {}),
    });
    this.settings = settings.value;
    this.reload = (next) => gateway.reload(next);
    await gateway.start();
    let stopped: Promise<void> | undefined;
    this.stop = () => (stopped ??= gateway.stop());
    t.after(() => this.stop());
    await until('ready', async () => (await this.ready()) === 200);
    // before the instance has joined a group, a request waits a quarter of a second for tokens and is refused.
    await until('joined', () =>
      this.log.events.some(({ event }) => event === 'prepaid-group-joined'),
    );
  }

  settings: GatewaySettings | undefined;
  /** Applies new settings to the gateway. */
  reload: (next: GatewaySettings) => string[] = () => [];
  /** Stops the gateway gracefully. */
  stop: () => Promise<void> = () => Promise.resolve();
}

/** Waits until a condition holds. Throws after 20 s, which only a hang reaches. */
export async function until(what: string, holds: () => boolean | Promise<boolean>): Promise<void> {
  const end = Date.now() + 20_000;
  while (!(await holds())) {
    if (Date.now() > end) throw new Error(`condition not met in time: ${what}`);
    await delay(10);
  }
}

function send(
  port: number,
  { path, method = 'POST', headers = {}, body = '', leaveMs }: Call,
): Promise<Answer> {
  return new Promise((resolve) => {
    const req = request({ host: '127.0.0.1', port, path, method, headers, agent: false });
    const nothing = { status: 0, headers: {}, body: '', complete: false };
    req.on('error', () => {
      resolve(nothing);
    });
    req.on('response', (res) => {
      let text = '';
      res.setEncoding('utf8');
      res.on('data', (chunk: string) => (text += chunk));
      res.on('error', () => undefined);
      res.on('close', () => {
        resolve({
          status: res.statusCode ?? 0,
          headers: res.headers,
          body: text,
          complete: res.complete,
        });
      });
    });
    if (leaveMs !== undefined) setTimeout(() => req.destroy(), leaveMs);
    req.end(method === 'GET' ? undefined : body);
  });
}
