/** A server that sends some responses a second time, and checks of what its callers get. */

import type { AddressInfo, Socket } from 'node:net';
import type { TestContext } from 'node:test';
import type { Answer } from './world.js';
import { once } from 'node:events';
import { createServer } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

/** How a response ends. A `reset` one has neither a length nor all of its body. */
const FRAMINGS = ['length', 'chunked', 'closed', 'reset'] as const;
export type Framing = (typeof FRAMINGS)[number];
/** When the duplicate of a response is sent: at once after it, or where the next response is expected. */
const MOMENTS = [
  'idle',
  'idle, two writes',
  'next',
  'next, two writes',
  'half idle, half next',
] as const;
export type Moment = (typeof MOMENTS)[number];

/** Id of the last event of a stream. */
const LAST_EVENT = 4;
/** Maximum milliseconds between two writes of one response. */
const MAX_GAP_MS = 6;

/** Random numbers from 0 to 1 that a seed determines. */
export function seeded(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

/** What the server does with the responses of a run. */
export interface DuplicatingOptions {
  seed: number;
  /** Fraction of responses that are sent again. */
  again: number;
  moments?: readonly Moment[];
  framings?: readonly Framing[];
}

/** A request as the server received it. */
interface Received {
  id: string;
  path: string;
  after: number;
}

export class DuplicatingServer {
  /** Framings of the responses to each request id, one for each time that it arrived. */
  readonly runs = new Map<string, Framing[]>();
  /** Number of duplicates by moment. */
  readonly sentAgain: Partial<Record<Moment, number>> = {};
  readonly #options: DuplicatingOptions;
  readonly #random: () => number;
  readonly #open = new Set<Socket>();
  /** What comes before the next response of a connection. */
  readonly #late = new WeakMap<Socket, string[]>();
  address = '';

  constructor(options: DuplicatingOptions) {
    this.#options = options;
    this.#random = seeded(options.seed);
  }

  async listen(t: Pick<TestContext, 'after'>): Promise<this> {
    const server = createServer((socket) => {
      this.#open.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.#open.delete(socket));
      let turn = Promise.resolve();
      socket.on('data', (request: Buffer) => {
        turn = turn.then(() => this.#answer(socket, request.toString()));
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    t.after(() => {
      server.close();
      for (const socket of this.#open) socket.destroy();
    });
    this.address = `127.0.0.1:${String((server.address() as AddressInfo).port)}`;
    return this;
  }

  async #answer(socket: Socket, request: string): Promise<void> {
    const [, path = ''] = /^\S+ (\S+)/.exec(request) ?? [];
    const [, id] = /x-request-id: (\S+)/i.exec(request) ?? [];
    if (id === undefined) {
      const [, self = ''] = /x-expect-instance: (\S+)/i.exec(request) ?? [];
      socket.write(`HTTP/1.1 200 OK\r\nX-Instance-Id: ${self}\r\nContent-Length: 0\r\n\r\n`);
      return;
    }
    const after = Number(/last-event-id: (\d+)/i.exec(request)?.[1] ?? 0);
    const framing = this.#pick(this.#options.framings ?? FRAMINGS);
    this.runs.set(id, [...(this.runs.get(id) ?? []), framing]);
    const text = responseText({ id, path, after }, framing);
    for (const part of this.#late.get(socket) ?? []) await this.#write(socket, part);
    this.#late.delete(socket);
    socket.write(text);
    if (framing === 'closed') socket.end();
    if (framing === 'reset') await this.#reset(socket);
    if (framing === 'closed' || framing === 'reset') return;
    if (this.#random() < this.#options.again) await this.#sendAgain(socket, text);
  }

  async #sendAgain(socket: Socket, text: string): Promise<void> {
    const moment = this.#pick(this.#options.moments ?? MOMENTS);
    this.sentAgain[moment] = (this.sentAgain[moment] ?? 0) + 1;
    const at = 1 + Math.floor(this.#random() * (text.length - 1));
    const halves = [text.slice(0, at), text.slice(at)];
    switch (moment) {
      case 'idle':
        await this.#write(socket, text);
        return;
      case 'idle, two writes':
        for (const half of halves) await this.#write(socket, half);
        return;
      case 'next':
        this.#late.set(socket, [text]);
        return;
      case 'next, two writes':
        this.#late.set(socket, halves);
        return;
      case 'half idle, half next':
        socket.write(halves[0] ?? '');
        this.#late.set(socket, halves.slice(1));
        return;
    }
  }

  /** Writes, and mostly pauses afterwards. */
  async #write(socket: Socket, text: string): Promise<void> {
    socket.write(text);
    const gapMs = Math.floor(this.#random() * MAX_GAP_MS);
    if (gapMs > 0) await delay(gapMs);
  }

  async #reset(socket: Socket): Promise<void> {
    const gapMs = Math.floor(this.#random() * MAX_GAP_MS);
    if (gapMs > 0) await delay(gapMs);
    socket.resetAndDestroy();
  }

  #pick<T>(all: readonly T[]): T {
    return all[Math.floor(this.#random() * all.length)] as T;
  }
}

function isStream(path: string): boolean {
  return path.startsWith('/chat/') || path.startsWith('/draft/');
}

/** Body of the whole response to a request. */
function bodyOf({ id, path, after }: Received): string {
  if (!isStream(path)) return `body of ${id}, `.repeat(5);
  let text = '';
  for (let event = after + 1; event <= LAST_EVENT; event += 1) {
    text += `id: ${String(event)}\ndata: event ${String(event)} of ${id}\n\n`;
  }
  return text;
}

function responseText(request: Received, framing: Framing): string {
  const type = isStream(request.path) ? 'text/event-stream' : 'text/plain';
  const own = `X-Request-Id: ${request.id}\r\nX-Response-Signature: s-${request.id}\r\n`;
  const head = `HTTP/1.1 200 OK\r\nContent-Type: ${type}\r\n${own}`;
  const body = bodyOf(request);
  const size = body.length;
  switch (framing) {
    case 'length':
      return `${head}Content-Length: ${String(size)}\r\n\r\n${body}`;
    case 'chunked':
      return `${head}Transfer-Encoding: chunked\r\n\r\n${size === 0 ? '' : `${size.toString(16)}\r\n${body}\r\n`}0\r\n\r\n`;
    case 'closed':
      return `${head}\r\n${body}`;
    case 'reset':
      return `${head}\r\n${body.slice(0, Math.floor(size / 2))}`;
  }
}

/** What is wrong with an answer that a caller got; undefined if nothing is. */
export function faultOf(id: string, path: string, answer: Answer): string | undefined {
  const { status, headers, body, complete } = answer;
  const foreign = [...body.matchAll(/ of (\S+?)(?:,|\n)/g)].find(([, owner]) => owner !== id);
  if (foreign) return `${id} ${path}: bytes of ${String(foreign[1])}`;
  if (status !== 200) return undefined;
  const whole = bodyOf({ id, path, after: 0 });
  if (headers['x-response-signature'] !== `s-${id}`) return `${id} ${path}: another's signature`;
  if (complete && body !== whole) return `${id} ${path}: incomplete: ${body}`;
  if (isStream(path) && !whole.startsWith(body)) return `${id} ${path}: out of order: ${body}`;
  return undefined;
}
