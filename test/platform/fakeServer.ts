/** A fake backend server, either plain or a model engine. */

import type { IncomingHttpHeaders, IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { TestContext } from 'node:test';
import { createServer } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

/** A request as the server received it. */
export interface SeenRequest {
  method: string;
  url: string;
  headers: IncomingHttpHeaders;
  body: string;
  /** Time of the monotonic clock in milliseconds. */
  at: number;
  /** Whether the server started to process it; a rejected request did not run. */
  ran: boolean;
  /** Monotonic time at which the answer had left the server or its connection was closed. */
  endedAt: number | undefined;
  /** Whether the server itself broke the connection. */
  broke: boolean;
  /** HTTP status that the server sent; undefined if it sent none. */
  status?: number;
}

/** Status of a response that precedes the end of its request: a failure, or a rejection that did not run. */
export type EarlyStatus = 500 | 503;

/** How a server answers one request. */
export type Behaviour =
  | 'answer'
  /** Answers after the time that the request asks for. */
  | 'slow-answer'
  | 'stream'
  /** Streams the first event at once, and the others over the time that the request asks for. */
  | 'slow-stream'
  /** Resets the connection in the middle of the second event. */
  | 'break-stream'
  | 'shed'
  | 'error'
  /** Answers 503 without stating that the request has not run. */
  | 'unmarked-503'
  | 'other-id'
  | 'no-proof'
  | 'encoded'
  | 'reset'
  /** Holds the request until `release` is called, then streams. */
  | 'hold'
  /** Streams the first event, and the others when `release` is called. */
  | 'pause'
  /** Answers with a body that exceeds the buffers of a connection. */
  | 'large'
  | 'silent';

/** When a crashing request ends the server. */
export type CrashMoment = 'before-head' | 'after-head';

/** Body of the requests that crash a server. */
export const CRASHING_BODY = 'crash=1';
/** Size of a large answer, in bytes. */
export const LARGE_BYTES = 7 * 1024 * 1024;
/** Milliseconds until a server has restarted after a crash. */
const RESTART_MS = 150;
/** Milliseconds that a request runs before its server crashes. */
const CRASH_MS = 5;

const MS_PER_SECOND = 1_000;
/** Software version of a server that is not given another one. */
const FIRST_SOFTWARE = 'v1';
/** Id of the last event of a stream. */
const LAST_EVENT = 4;
/** Path of the health check. */
const HEALTH_PATH = '/health';
/** Path at which a server tells its state. */
const STATE_PATH = '/api/report';

/** A pause that a server requested from an instance, in monotonic clock time. */
export interface RequestedPauseWindow {
  server: string;
  /** Instance that received the request for the pause, from the header that the soak's callers send. */
  instance: string;
  from: number;
  until: number;
}

/** Limits of a server that falls over when it rejects too many requests. */
export interface Brittleness {
  /** Rejections in one second that it survives. */
  rejectionsPerSecond: number;
  /** Requests that it runs and queues at most. */
  places: number;
  /** Requests that it runs at once. */
  slots: number;
  /** Milliseconds that a request runs. */
  runMs: number;
  /** Milliseconds from a fall until it is back. */
  downMs: number;
}

/** Header with which the soak's callers name the instance that they use. */
export const USED_INSTANCE = 'x-used-instance';
/** Header with which the soak's callers ask a server that answers as usual for one of `ASKABLE`. */
export const ASKED_BEHAVIOUR = 'x-asked-behaviour';
/** Header with the milliseconds that a slow answer or stream takes. */
export const ASKED_MS = 'x-asked-ms';
const ASKABLE = ['slow-answer', 'slow-stream', 'large'] as const satisfies Behaviour[];
/** Milliseconds that a slow answer or stream takes if the request asks for no time. */
const SLOW_MS = 2_000;

export class FakeServer {
  readonly seen: SeenRequest[] = [];
  readonly pauses: RequestedPauseWindow[] = [];
  /** Requests whose connection was closed before they were answered. */
  dropped = 0;
  /** Number of health probes. */
  healthProbes = 0;
  behaviour: Behaviour = 'answer';
  /** Rate limit in requests per second that each answer reports. */
  rateLimit: string | undefined;
  /** Load that answers and health checks report. @default answers report one of three figures */
  load: string | undefined;
  /** Limits that each answer reports while they are set. */
  brittle: Brittleness | undefined;
  /** Number of falls after too many rejections. */
  falls = 0;
  /** Whether its health check reports that it is leaving. */
  leaving = false;
  /** Whether every answer reports that it is leaving. */
  saysLeaving = false;
  /** Seconds of the pause that it asks for when it rejects a request. */
  rest: string | undefined;
  address = '';
  /** Version of its software; its events name it. */
  software = FIRST_SOFTWARE;
  /** Start of its process, which its entry and its state name; undefined if they name none. */
  bornAt: number | undefined;
  /** Version of its weights, which its events name; undefined if they name none. */
  weights: number | undefined;
  /** Whether a resumed stream starts at its first event all the same. */
  restartsStreams = false;
  /** Whether its state names its start. */
  statesStart = true;
  /** Number of requests for its state. */
  stateRequests = 0;
  /** Called for each new connection. */
  onConnection: (socket: Socket) => void = () => undefined;
  /** Called for each request before its body is read. */
  onRequest: (req: IncomingMessage, res: ServerResponse) => void = () => undefined;
  /** Status with which it responds before it has read the body; undefined if it reads the body first. */
  earlyStatus: (req: IncomingMessage) => EarlyStatus | undefined = () => undefined;
  /** Body of its usual answer to the request with an id. */
  bodyFor: (requestId: string) => string = () => `from ${this.id}`;
  /** Whether its events name the request that they belong to. */
  namesRequests = false;
  /** Bytes that it sends in front of its answer, for a request that has arrived. */
  extra: (req: IncomingMessage) => string = () => '';
  /** Called after an answer was written. */
  afterAnswer: () => void = () => undefined;
  /** When requests that start with `CRASHING_BODY` crash the server; undefined if they are answered. */
  crashes: CrashMoment | undefined;
  /** Part of a prompt that crashes the server at that moment; undefined if none does. */
  crashingPart: string | undefined;
  /** Number of crashes of this server. */
  crashed = 0;
  /** Called when the server has restarted under a new id. */
  onRestart: () => void = () => undefined;

  readonly #heldStreams: (() => void)[] = [];
  readonly #running = new Set<SeenRequest>();
  /** Requests that a brittle server runs, and those that wait for a slot. */
  #inSlots = 0;
  #queue: (() => void)[] = [];
  /** Times of the rejections in the last second. */
  #rejections: number[] = [];
  #http: Server | undefined;
  #isOver = false;

  constructor(readonly name: string) {}

  /** Id of the current process. */
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
    server.on('connection', (socket) => {
      this.onConnection(socket);
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
    await this.#restart(RESTART_MS);
  }

  async #restart(downMs: number): Promise<void> {
    for (const request of this.#running) request.broke = true;
    this.#close();
    this.#inSlots = 0;
    this.#queue = [];
    this.#rejections = [];
    await delay(downMs);
    if (this.#isOver) return;
    await this.#open(Number(this.address.split(':')[1]));
    this.onRestart();
  }

  /** Ends the process and starts it again under the same id, with other software. */
  async restartAs(software: string): Promise<void> {
    this.software = software;
    if (this.bornAt !== undefined) this.bornAt += 1;
    await this.#restart(RESTART_MS);
  }

  /** Rejects a request for want of room, and falls over if these were too many. */
  #rejectAsFull(res: ServerResponse, { rejectionsPerSecond, downMs }: Brittleness): void {
    const now = performance.now();
    this.#rejections = [...this.#rejections.filter((at) => now - at < MS_PER_SECOND), now];
    this.#reject(res);
    if (this.#rejections.length <= rejectionsPerSecond || !this.#http) return;
    this.falls += 1;
    void this.#restart(downMs);
  }

  #reject(res: ServerResponse): void {
    res.writeHead(503, { 'x-not-executed': '1', ...idOf(res.req) }).end();
  }

  /** Runs a request when a slot is free; a fall in the meantime ends it. */
  #runInSlot(res: ServerResponse, { slots, runMs }: Brittleness, respond: () => void): void {
    const { falls } = this;
    const run = (): void => {
      this.#inSlots += 1;
      setTimeout(() => {
        if (this.falls !== falls) return;
        this.#inSlots -= 1;
        if (!res.destroyed) respond();
        this.#queue.shift()?.();
      }, runMs);
    };
    if (this.#inSlots < slots) run();
    else this.#queue.push(run);
  }

  /** The entry that the server writes for itself into the list of servers. */
  entry(service: string, change: Record<string, unknown> = {}): Record<string, unknown> {
    const { address } = this;
    return {
      service,
      address,
      zone: 'hall-a',
      version: this.software,
      slots: 4,
      state: 'ready',
      seq: 1,
      ...(this.bornAt === undefined ? {} : { born: this.bornAt }),
      ...change,
    };
  }

  async #answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
    this.onRequest(req, res);
    const early = this.earlyStatus(req);
    if (early !== undefined && req.headers['x-expect-instance'] === this.id) {
      this.#answerEarly(early, req, res);
      return;
    }
    const body = await readBody(req);
    if (body === undefined) return;
    const at = performance.now();
    const { method = '', url = '', headers } = req;
    // the request has arrived, so the instance waits for its answer when it reads these bytes.
    req.socket.write(this.extra(req));
    if (this.rateLimit !== undefined) res.setHeader('server-limit', this.rateLimit);
    if (this.brittle) res.setHeader('server-brittle', String(this.brittle.rejectionsPerSecond));
    if (this.saysLeaving) res.setHeader('server-leaving', '1');
    if (url === HEALTH_PATH) {
      this.healthProbes += 1;
      if (this.load !== undefined) res.setHeader('x-server-load', this.load);
      res.writeHead(this.leaving ? 503 : 200, { 'x-instance-id': this.id }).end();
      return;
    }
    if (url === STATE_PATH) {
      this.stateRequests += 1;
      if (this.behaviour === 'silent') return;
      res.writeHead(200, { 'content-type': 'application/json' });
      const born = this.statesStart ? this.bornAt : undefined;
      res.end(JSON.stringify({ stage: 'unified', waiting: 0, born }));
      return;
    }
    const ran = headers['x-expect-instance'] === this.id && this.behaviour !== 'shed';
    const seen = { method, url, headers, body, at, ran, endedAt: undefined, broke: false };
    this.#track(seen, res);
    res.on('close', () => {
      if (!res.writableFinished) this.dropped += 1;
    });
    if (headers['x-expect-instance'] !== this.id) {
      res.writeHead(421, { 'x-instance-id': this.id, ...idOf(req) }).end();
      return;
    }
    if (this.crashes && this.#isCrashing(body, headers)) {
      if (this.crashes === 'after-head') {
        res.writeHead(200, this.#ownHeaders(req)).flushHeaders();
      }
      setTimeout(() => void this.#crash(), CRASH_MS);
      return;
    }
    const behaviour = this.#behaviourFor(req);
    seen.broke = behaviour === 'reset' || behaviour === 'break-stream';
    if (this.brittle) {
      this.#answerBrittle(behaviour, req, res, this.brittle);
      return;
    }
    this.#respond(behaviour, req, res);
    this.afterAnswer();
  }

  /** Responds before the body has arrived; the HTTP server then reads the body and keeps the connection. */
  #answerEarly(status: EarlyStatus, req: IncomingMessage, res: ServerResponse): void {
    const { method = '', url = '', headers } = req;
    const at = performance.now();
    const ran = status === 500;
    this.#track({ method, url, headers, body: '', at, ran, endedAt: undefined, broke: false }, res);
    if (ran) res.writeHead(status, this.#ownHeaders(req)).end('failed');
    else this.#reject(res);
  }

  #track(request: SeenRequest, res: ServerResponse): void {
    this.seen.push(request);
    this.#running.add(request);
    res.on('close', () => {
      if (res.headersSent) request.status = res.statusCode;
      this.#running.delete(request);
      request.endedAt = performance.now();
    });
  }

  #behaviourFor({ headers }: IncomingMessage): Behaviour {
    const isUsual = this.behaviour === 'answer' || this.behaviour === 'stream';
    const asked = ASKABLE.find((each) => each === headers[ASKED_BEHAVIOUR]);
    return isUsual && asked !== undefined ? asked : this.behaviour;
  }

  #answerBrittle(
    behaviour: Behaviour,
    req: IncomingMessage,
    res: ServerResponse,
    brittle: Brittleness,
  ): void {
    if (this.#inSlots + this.#queue.length >= brittle.places) {
      this.#rejectAsFull(res, brittle);
      return;
    }
    this.#runInSlot(res, brittle, () => {
      this.#respond(behaviour, req, res);
      this.afterAnswer();
    });
  }

  #isCrashing(body: string, headers: IncomingHttpHeaders): boolean {
    if (body.startsWith(CRASHING_BODY)) return true;
    const parts = String(headers['x-prompt-prefix'] ?? '').split(',');
    return parts.some((part) => part.split(':')[0] === this.crashingPart);
  }

  /** Streams the answers of all held requests. */
  release(): void {
    for (const stream of this.#heldStreams.splice(0)) stream();
  }

  #requestPause({ headers }: IncomingMessage, res: ServerResponse, rest: string): void {
    res.setHeader('retry-after', rest);
    const instance = String(headers[USED_INSTANCE]);
    const from = performance.now();
    const until = from + Number(rest) * MS_PER_SECOND;
    this.pauses.push({ server: this.id, instance, from, until });
  }

  /** Headers that identify the request and the server of an answer. */
  #ownHeaders(req: IncomingMessage): Record<string, string> {
    return {
      ...idOf(req),
      'x-response-signature': `proof-of-${this.id}`,
      'x-server-load': this.load ?? '1,0,4',
    };
  }

  #respond(behaviour: Behaviour, req: IncomingMessage, res: ServerResponse): void {
    const own = this.#ownHeaders(req);
    const slowMs = Number(req.headers[ASKED_MS] ?? SLOW_MS);
    const { 'x-request-id': requestId } = idOf(req);
    const from = this.restartsStreams ? 0 : Number(req.headers['last-event-id'] ?? 0);
    const eventOf = (id: number): string => {
      const weights =
        this.weights === undefined ? '' : `x-weight-versions: ${String(this.weights)}\n`;
      const named = this.namesRequests ? requestId : undefined;
      return `${weights}${event(id, this.software, named)}`;
    };
    const begin = (): void => {
      res.writeHead(200, { ...own, 'content-type': 'text/event-stream' });
    };
    const finish = (first: number): void => {
      for (let id = first; id <= LAST_EVENT; id += 1) res.write(eventOf(id));
      res.end();
    };
    const stream = (): void => {
      begin();
      finish(from + 1);
    };
    switch (behaviour) {
      case 'answer':
        res.writeHead(200, own).end(this.bodyFor(requestId));
        return;
      case 'slow-answer':
        setTimeout(() => res.writeHead(200, own).end(this.bodyFor(requestId)), slowMs);
        return;
      case 'error':
        res.writeHead(500, own).end('failed');
        return;
      case 'stream':
        stream();
        return;
      case 'slow-stream':
        begin();
        void writeSlowly(res, from + 1, slowMs, eventOf);
        return;
      case 'hold':
        this.#heldStreams.push(stream);
        return;
      case 'pause':
        begin();
        if (from < LAST_EVENT) res.write(eventOf(from + 1));
        this.#heldStreams.push(() => {
          finish(from + 2);
        });
        return;
      case 'large':
        res.writeHead(200, own).end(Buffer.alloc(LARGE_BYTES, 'x'));
        return;
      case 'break-stream':
        begin();
        if (from < LAST_EVENT) res.write(eventOf(from + 1));
        if (from + 1 < LAST_EVENT) res.write(`id: ${String(from + 2)}\nda`);
        setTimeout(() => req.socket.resetAndDestroy(), 20);
        return;
      case 'shed':
        if (this.rest !== undefined) this.#requestPause(req, res, this.rest);
        this.#reject(res);
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

/** Reads a body; undefined if the connection closes before its end. */
async function readBody(req: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of req) chunks.push(chunk as Buffer);
  } catch (err) {
    if (req.complete) throw err;
    return undefined;
  }
  return Buffer.concat(chunks).toString();
}

/** The header with which every answer names its request. */
function idOf({ headers }: IncomingMessage): { 'x-request-id': string } {
  return { 'x-request-id': String(headers['x-request-id']) };
}

/** Writes one event at once and the others evenly over the given time. */
async function writeSlowly(
  res: ServerResponse,
  first: number,
  forMs: number,
  eventOf: (id: number) => string,
): Promise<void> {
  const pauseMs = forMs / Math.max(1, LAST_EVENT - first);
  for (let id = first; id <= LAST_EVENT && !res.destroyed; id += 1) {
    if (id > first) await delay(pauseMs);
    res.write(eventOf(id));
  }
  res.end();
}

/** One event of the stream of a server with this software; it may name its request. */
export function event(id: number, software = FIRST_SOFTWARE, requestId?: string): string {
  const owner = requestId === undefined ? '' : ` for ${requestId}`;
  return `id: ${String(id)}\ndata: piece ${String(id)} of ${software}${owner}\n\n`;
}

/** Software versions that the events of a body name, each once. */
export function softwareOf(body: string): string[] {
  return [
    ...new Set(
      [...body.matchAll(/^data: piece \d+ of (\S+)(?: for \S+)?$/gm)].map(([, name = '']) => name),
    ),
  ];
}
