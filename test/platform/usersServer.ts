/** A small stand-in of one of the users' servers, plain or model engine. */

import type { IncomingHttpHeaders, IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { TestContext } from 'node:test';
import { createServer } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

/** A request as the server saw it. */
export interface SeenRequest {
  method: string;
  url: string;
  headers: IncomingHttpHeaders;
  body: string;
  /** Milliseconds of the process's steady clock. */
  at: number;
  /** Whether the server began to work on it; what it turned away did not run. */
  ran: boolean;
}

/** How a server answers one request. */
export type Behaviour =
  | 'answer'
  | 'stream'
  /** Breaks off in the middle of the second event. */
  | 'break-stream'
  | 'shed'
  | 'error'
  /** Says 503 without saying that the request has not run. */
  | 'unmarked-503'
  | 'other-id'
  | 'no-proof'
  | 'encoded'
  | 'reset'
  /** Keeps the request until it is released, and streams then. */
  | 'hold'
  | 'silent';

/** When a request that crashes its servers brings one down. */
export type CrashMoment = 'before-head' | 'after-head';

/** Body of the requests that crash a server. */
export const CRASHING_BODY = 'crash=1';
/** Milliseconds for which a server is away after a crash. */
const RESTART_MS = 150;
/** Milliseconds that a request runs before its server crashes. */
const CRASH_MS = 5;

const MS_PER_SECOND = 1_000;
/** Path at which it tells whether it is well and stays. */
const HEALTH_PATH = '/health';

/** A time for which a server asked instances to leave it alone, told by its steady clock. */
export interface Rest {
  server: string;
  /** Instance that was told, by the header that the soak's callers send. */
  instance: string;
  from: number;
  until: number;
}

/** Header by which the soak's callers tell the instance that they use. */
export const USED_INSTANCE = 'x-used-instance';

export class UsersServer {
  readonly seen: SeenRequest[] = [];
  readonly rests: Rest[] = [];
  /** Requests whose connection was closed before they were answered. */
  dropped = 0;
  /** Questions for its status. */
  asked = 0;
  behaviour: Behaviour = 'answer';
  /** Limit of requests a second that it names in each answer. */
  rateLimit: string | undefined;
  /** Whether it says of itself that it leaves, when it is asked for its status. */
  leaving = false;
  /** Whether it says so in every answer. */
  saysLeaving = false;
  /** Seconds of rest that it asks for when it turns a request away. */
  rest: string | undefined;
  address = '';
  /** Called when a connection comes in. */
  onConnection: () => void = () => undefined;
  /** Called when an answer was written. */
  afterAnswer: () => void = () => undefined;
  /** When requests with a body that begins so bring the server down; undefined where they are answered. */
  crashes: CrashMoment | undefined;
  /** Lives of this server that ended in a crash. */
  crashed = 0;
  /** Called when the server has started again, under another id. */
  onRestart: () => void = () => undefined;

  readonly #kept: (() => void)[] = [];
  #http: Server | undefined;
  #isOver = false;

  constructor(readonly name: string) {}

  /** Id of the present life. */
  get id(): string {
    return this.crashed === 0 ? this.name : `${this.name}-${String(this.crashed)}`;
  }

  async listen(t: Pick<TestContext, 'after'>): Promise<this> {
    await this.#open(0);
    t.after(() => {
      this.#isOver = true;
      this.#close();
    });
    return this;
  }

  async #open(port: number): Promise<void> {
    const server = createServer((req, res) => {
      void this.#answer(req, res);
    });
    server.on('connection', () => {
      this.onConnection();
    });
    await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve));
    this.#http = server;
    this.address = `127.0.0.1:${String((server.address() as AddressInfo).port)}`;
  }

  #close(): void {
    this.#http?.close();
    this.#http?.closeAllConnections();
    this.#http = undefined;
  }

  async #crash(): Promise<void> {
    if (!this.#http) return;
    this.crashed += 1;
    this.#close();
    await delay(RESTART_MS);
    if (this.#isOver) return;
    await this.#open(Number(this.address.split(':')[1]));
    this.onRestart();
  }

  /** The entry that the server writes of itself. */
  entry(service: string, change: Record<string, unknown> = {}): Record<string, unknown> {
    const { address } = this;
    return {
      service,
      address,
      zone: 'hall-a',
      version: 'v1',
      slots: 4,
      state: 'ready',
      seq: 1,
      ...change,
    };
  }

  async #answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk as Buffer);
    const at = performance.now();
    const { method = '', url = '', headers } = req;
    if (this.rateLimit !== undefined) res.setHeader('server-limit', this.rateLimit);
    if (this.saysLeaving) res.setHeader('server-leaving', '1');
    if (url === HEALTH_PATH) {
      this.asked += 1;
      res.writeHead(this.leaving ? 503 : 200, { 'x-instance-id': this.id }).end();
      return;
    }
    const ran = headers['x-expect-instance'] === this.id && this.behaviour !== 'shed';
    this.seen.push({ method, url, headers, body: Buffer.concat(chunks).toString(), at, ran });
    res.on('close', () => {
      if (!res.writableFinished) this.dropped += 1;
    });
    if (headers['x-expect-instance'] !== this.id) {
      res.writeHead(421, { 'x-instance-id': this.id }).end();
      return;
    }
    if (this.crashes && Buffer.concat(chunks).toString().startsWith(CRASHING_BODY)) {
      if (this.crashes === 'after-head') {
        res.writeHead(200, this.#own(req)).flushHeaders();
      }
      setTimeout(() => void this.#crash(), CRASH_MS);
      return;
    }
    this.#behave(req, res);
    this.afterAnswer();
  }

  /** Streams the answers of all requests that are kept. */
  release(): void {
    for (const stream of this.#kept.splice(0)) stream();
  }

  #askForRest({ headers }: IncomingMessage, res: ServerResponse, rest: string): void {
    res.setHeader('retry-after', rest);
    const instance = String(headers[USED_INSTANCE]);
    const from = performance.now();
    const until = from + Number(rest) * MS_PER_SECOND;
    this.rests.push({ server: this.id, instance, from, until });
  }

  /** Headers that say whose answer it is. */
  #own({ headers }: IncomingMessage): Record<string, string> {
    return {
      'x-request-id': String(headers['x-request-id']),
      'x-response-signature': `proof-of-${this.id}`,
      'x-server-load': '1,0,4',
    };
  }

  #behave(req: IncomingMessage, res: ServerResponse): void {
    const own = this.#own(req);
    const from = Number(req.headers['last-event-id'] ?? 0);
    const stream = (): void => {
      res.writeHead(200, { ...own, 'content-type': 'text/event-stream' });
      for (let id = from + 1; id <= 4; id += 1) res.write(event(id));
      res.end();
    };
    switch (this.behaviour) {
      case 'answer':
        res.writeHead(200, own).end(`from ${this.id}`);
        return;
      case 'error':
        res.writeHead(500, own).end('failed');
        return;
      case 'stream':
        stream();
        return;
      case 'hold':
        this.#kept.push(stream);
        return;
      case 'break-stream':
        res.writeHead(200, { ...own, 'content-type': 'text/event-stream' });
        res.write(`${event(from + 1)}id: ${String(from + 2)}\nda`);
        setTimeout(() => req.socket.resetAndDestroy(), 20);
        return;
      case 'shed':
        if (this.rest !== undefined) this.#askForRest(req, res, this.rest);
        res.writeHead(503, { 'x-not-executed': '1' }).end();
        return;
      case 'unmarked-503':
        res.writeHead(503, own).end();
        return;
      case 'other-id':
        res.writeHead(200, { ...own, 'x-request-id': 'another' }).end('of somebody else');
        return;
      case 'no-proof':
        res.writeHead(200, { 'x-request-id': own['x-request-id'] }).end('of nobody');
        return;
      case 'encoded':
        res.writeHead(200, { ...own, 'content-encoding': 'gzip' }).end('of a proxy');
        return;
      case 'reset':
        req.socket.resetAndDestroy();
        return;
      case 'silent':
        return;
    }
  }
}

/** One event of the stand-in's stream. */
export function event(id: number): string {
  return `id: ${String(id)}\ndata: piece ${String(id)}\n\n`;
}
